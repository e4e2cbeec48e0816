/** @file failure_calls.cpp Calls between gateways about failing and slow backend servers. */
#include "failure_calls.hpp"

#include <cornelspring/protocol.hpp>

namespace cornelspring {
namespace {

/** Time between calls while a backend server fails. */
constexpr milliseconds urgent_interval{250};
/** Time between calls while none does. */
constexpr milliseconds calm_interval{1000};
/** Longest wait for the response to a call. */
constexpr milliseconds call_timeout{600};
/** A collector that did not respond is avoided for this time. */
constexpr milliseconds avoid_period{3000};
/** Without a response for this time, what is known of the others counts as outdated. */
constexpr milliseconds max_news_age{3000};
/** Gateways that may be the collector. */
constexpr std::size_t max_collectors = 2;
/** Subject of the rendezvous hashing. */
constexpr char const* subject = "failing backend servers";

} // namespace

failure_calls::failure_calls(event_loop& loop, std::string self, failure_log& log, std::uint64_t epoch, hooks outside)
    : m_loop(loop), m_self(std::move(self)), m_epoch(epoch), m_log(log), m_collector(epoch, outside.service_of),
      m_hooks(std::move(outside)), m_channel(loop)
{
    step();
}

std::string failure_calls::choose_collector() const
{
    for (auto const& key : rendezvous_order(subject, m_hooks.active(), max_collectors)) {
        auto const avoided = m_avoid.find(key);
        if (avoided == m_avoid.end() || avoided->second <= m_loop.now()) return key;
    }
    return {};
}

void failure_calls::step()
{
    m_loop.run_at(m_loop.now() + urgent_interval, [this] { step(); });
    auto const now = m_loop.now();
    if (m_log.informed() && now > m_informed_at + max_news_age) forget();
    bool const due = m_log.urgent() || now >= m_called_at + calm_interval;
    // Only active gateways send enough requests to learn or need anything.
    if (!due || m_in_flight || !m_hooks.active().contains(m_self)) return;
    auto const collector = choose_collector();
    if (collector.empty()) return;
    m_called_at = now;
    auto report = m_log.start_report(now, m_hooks.shares_load() ? latency_entries(m_hooks.active().size()) : 0);
    report.sender = m_epoch;
    if (collector == m_self) {
        m_used = collector;
        on_news(m_collector.add(report, now));
        return;
    }
    auto const member = m_hooks.members().find(collector);
    if (member == m_hooks.members().end()) return;
    m_in_flight = true;
    m_channel.call(member->second.peer_address, json_post(peer_paths::failures, encode_failure_report(report)),
                   call_timeout, [this, collector](exchange_result const& result) { on_result(collector, result); });
}

void failure_calls::on_result(std::string const& collector, exchange_result const& result)
{
    m_in_flight = false;
    if (result.completed && result.response.status == 200) {
        try {
            m_used = collector;
            on_news(decode_failure_news(result.response.body));
            return;
        } catch (error const&) {
            m_used.clear(); // The collector is avoided like one that did not respond.
        }
    }
    m_avoid[collector] = m_loop.now() + avoid_period;
    m_hooks.on_changed(collector + " (no response)", m_log.failing());
}

void failure_calls::on_news(failure_news const& news)
{
    m_informed_at = m_loop.now();
    m_log.on_news(news);
    m_hooks.on_informed();
    notify_slow_changes();
    if (m_log.failing() == m_logged_failing) return;
    m_logged_failing = m_log.failing();
    m_hooks.on_changed(m_used, m_logged_failing);
}

void failure_calls::forget()
{
    m_log.on_no_collector();
    notify_slow_changes();
}

void failure_calls::notify_slow_changes()
{
    auto const changes = m_log.take_slow_changes();
    if (changes.entered_count + changes.left_count > 0) m_hooks.on_slow_changed(m_used, changes);
}

http_response failure_calls::handle_report(http_request const& request)
{
    http_response response;
    response.headers.push_back({"content-type", "application/cbor"});
    response.body = encode_failure_news(m_collector.add(decode_failure_report(request.body), m_loop.now()));
    return response;
}

} // namespace cornelspring
