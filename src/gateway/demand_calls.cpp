/** @file demand_calls.cpp Calls between gateways about the demand of callers. */
#include "demand_calls.hpp"

#include <cornelspring/protocol.hpp>

#include <cmath>

namespace cornelspring {
namespace {

/** Time between calls during an overload. */
constexpr milliseconds urgent_interval{250};
/** Time between calls otherwise. */
constexpr milliseconds calm_interval{1000};
/** Longest wait for the response to a call. */
constexpr milliseconds call_timeout{600};
/** A collector that did not respond is avoided for this time. */
constexpr milliseconds avoid_period{3000};
/** Gateways that may be the collector. */
constexpr std::size_t max_collectors = 2;
/** Subject of the rendezvous hashing. */
constexpr char const* subject = "demand of callers";
/** Steps of a share in the log. */
constexpr double log_steps = 5;

/** @return the shares of @p update in steps. */
std::vector<int> steps_of(share_update const& update)
{
    std::vector<int> steps;
    for (auto const& set : update.sets)
        for (auto const& rank : set.ranks)
            steps.push_back(static_cast<int>(std::lround(log_steps * rank.share)));
    return steps;
}

} // namespace

demand_calls::demand_calls(event_loop& loop, std::string self, demand_log& demand, std::uint64_t epoch, hooks outside)
    : m_loop(loop), m_self(std::move(self)), m_demand(demand), m_collector(epoch), m_hooks(std::move(outside)),
      m_channel(loop)
{
    step();
}

std::string demand_calls::choose_collector() const
{
    for (auto const& key : rendezvous_order(subject, m_hooks.active(), max_collectors)) {
        auto const avoided = m_avoid.find(key);
        if (avoided == m_avoid.end() || avoided->second <= m_loop.now()) return key;
    }
    return {};
}

void demand_calls::step()
{
    m_loop.run_at(m_loop.now() + urgent_interval, [this] { step(); });
    auto const now = m_loop.now();
    auto const& active = m_hooks.active();
    m_demand.set_active_vms(active.contains(m_self) ? active.size() : 0);
    if (!m_demand.enough_vms() || !m_demand.has_shard_sets()) return;
    log_changes({}); // Shares that have become outdated.
    if (m_in_flight || (!m_demand.urgent(now) && now < m_called_at + calm_interval)) return;
    auto const collector = choose_collector();
    if (collector.empty()) return;
    auto const member = m_hooks.members().find(collector);
    if (collector != m_self && member == m_hooks.members().end()) return;
    m_called_at = now;
    auto const report = m_demand.start_report(m_self, now);
    if (collector == m_self) {
        on_update(collector, m_collector.add(report, now));
        return;
    }
    m_in_flight = true;
    m_channel.call(member->second.peer_address, json_post(peer_paths::demand, encode_demand_report(report)),
                   call_timeout, [this, collector](exchange_result const& result) { on_result(collector, result); });
}

void demand_calls::on_result(std::string const& collector, exchange_result const& result)
{
    m_in_flight = false;
    if (!result.completed || result.response.status != 200) {
        avoid(collector, result.completed ? "status " + std::to_string(result.response.status) : "no response");
        return;
    }
    try {
        on_update(collector, decode_share_update(result.response.body));
    } catch (error const& failure) {
        avoid(collector, failure.what());
    }
}

void demand_calls::avoid(std::string const& collector, std::string const& reason)
{
    m_avoid[collector] = m_loop.now() + avoid_period;
    m_hooks.on_failed(collector, reason);
}

void demand_calls::on_update(std::string const& collector, share_update update)
{
    m_demand.on_update(std::move(update), m_loop.now());
    log_changes(collector);
}

void demand_calls::log_changes(std::string const& collector)
{
    auto const& shares = m_demand.shares(m_loop.now());
    auto steps = steps_of(shares);
    if (steps == m_logged_steps) return;
    m_logged_steps = std::move(steps);
    m_hooks.on_shares(collector, shares);
}

http_response demand_calls::handle_report(http_request const& request)
{
    http_response response;
    response.headers.push_back({"content-type", "application/cbor"});
    response.body = encode_share_update(m_collector.add(decode_demand_report(request.body), m_loop.now()));
    return response;
}

} // namespace cornelspring
