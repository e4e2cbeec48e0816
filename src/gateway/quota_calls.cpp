/** @file quota_calls.cpp Calls between gateways about the quotas of customers. */
#include "quota_calls.hpp"

#include <cornelspring/protocol.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for the response to a report; requests may wait for it. A round trip between regions takes a tenth. */
constexpr milliseconds report_timeout{250};
/** A gateway that did not respond is not asked for this time: its registration lapses within it if it is down. */
constexpr milliseconds avoid_period{3000};
/** Gateways that may be asked for an account: the first by rendezvous hashing, and its replacement until the loss of
 * the first is known to all. */
constexpr std::size_t max_keepers = 2;
/** Idle accounts are dropped after this many windows. */
constexpr int idle_windows = 6;

} // namespace

quota_calls::quota_calls(event_loop& loop, std::string self, quota_usage& usage, quota_tolerance tolerance,
                         hooks outside)
    : m_loop(loop), m_self(std::move(self)), m_usage(usage), m_tolerance(tolerance), m_hooks(std::move(outside)),
      m_accounts(tolerance.window)
{
}

std::string quota_calls::choose_keeper(customer_name const& name) const
{
    for (auto const& key : rendezvous_order(name.value(), m_hooks.active(), max_keepers)) {
        // A VM whose local copy is old may be cut off, and another one keeps its accounts already.
        if (key == m_self && m_hooks.state_age() > max_fresh_age) continue;
        auto const found = m_keepers.find(key);
        if (found == m_keepers.end() || found->second.avoid_until <= m_loop.now()) return key;
    }
    return {};
}

void quota_calls::send_reports()
{
    std::map<std::string, std::vector<customer_name>> by_keeper;
    for (auto const& name : m_usage.to_report()) {
        auto const key = choose_keeper(name);
        if (key.empty()) {
            m_usage.on_no_account(name, m_loop.now());
            m_hooks.on_decided(name);
        } else if (key == m_self) {
            apply(charge(m_usage.start_report(name)));
        } else {
            by_keeper[key].push_back(name);
        }
    }
    for (auto const& [key, names] : by_keeper) {
        if (!m_keepers[key].in_flight) call(key, names);
    }
}

void quota_calls::call(std::string const& key, std::vector<customer_name> const& names)
{
    auto const member = m_hooks.members().find(key);
    if (member == m_hooks.members().end()) return;
    std::vector<quota_report> reports;
    for (auto const& name : names)
        reports.push_back(m_usage.start_report(name));
    auto& to = m_keepers[key];
    if (!to.channel) to.channel = std::make_unique<store_channel>(m_loop);
    to.in_flight = true;
    to.channel->call(member->second.peer_address, json_post(peer_paths::quota, encode_quota_reports(reports)),
                     report_timeout,
                     [this, key, names](exchange_result const& result) { on_result(key, names, result); });
}

void quota_calls::on_result(std::string const& key, std::vector<customer_name> const& names,
                            exchange_result const& result)
{
    auto& from = m_keepers[key];
    from.in_flight = false;
    auto open = names;
    char const* reason = result.completed ? "refused" : result.detail;
    if (result.completed && result.response.status == 200) {
        try {
            for (auto const& verdict : decode_quota_verdicts(result.response.body)) {
                std::erase(open, verdict.name);
                apply(verdict);
            }
        } catch (error const&) {
            reason = "malformed answer"; // Logged by on_failed.
        }
    }
    if (!open.empty()) {
        from.avoid_until = m_loop.now() + avoid_period;
        m_hooks.on_failed(key, reason);
    }
    for (auto const& name : open)
        m_usage.on_report_failed(name);
    send_reports();
}

void quota_calls::apply(quota_verdict const& verdict)
{
    m_usage.on_verdict(verdict, m_loop.now());
    m_hooks.on_decided(verdict.name);
}

quota_verdict quota_calls::charge(quota_report const& report)
{
    auto const now = m_loop.now();
    m_accounts.drop_idle(m_tolerance.window * idle_windows, now);
    bool const whole_window = m_active_since + m_tolerance.window <= now;
    return m_accounts.charge(report, m_hooks.limit_of(report.name), whole_window, now);
}

http_response quota_calls::handle_reports(http_request const& request)
{
    std::vector<quota_verdict> verdicts;
    for (auto const& report : decode_quota_reports(request.body))
        verdicts.push_back(charge(report));
    return json_response(200, encode_quota_verdicts(verdicts));
}

void quota_calls::on_active_changed()
{
    m_active_since = m_loop.now();
    m_accounts.drop_unless([this](customer_name const& name) {
        auto const keepers = rendezvous_order(name.value(), m_hooks.active(), max_keepers);
        return std::find(keepers.begin(), keepers.end(), m_self) != keepers.end();
    });
    std::erase_if(m_keepers, [this](auto const& each) {
        return !each.second.in_flight && !m_hooks.active().contains(each.first);
    });
}

} // namespace cornelspring
