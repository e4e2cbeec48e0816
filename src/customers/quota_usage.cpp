/** @file quota_usage.cpp Use of quotas by this VM. */
#include <cornelspring/customers.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelspring {
namespace {

/** Share of the tolerated requests that VMs may admit before they are reported; the rest covers a change of the VM that
 *  keeps an account, when two of them grant tokens for a moment. */
constexpr double unreported_share = 0.9;
/** A granted token that is not used within this time is lost: it must not add to the quota of a later window. */
constexpr std::chrono::milliseconds grant_lifetime{1000};
/** How long a VM uses its own share after no account could be asked. */
constexpr std::chrono::milliseconds isolation_period{1000};
/** State of a customer is dropped after this time without requests. */
constexpr std::chrono::seconds idle_period{30};

} // namespace

void quota_usage::set_participants(std::size_t vms, bool active)
{
    m_vms = std::max<std::size_t>(vms, 1);
    m_active = active;
}

int quota_usage::max_unreported() const
{
    if (!m_active) return 0; // The active VMs divide all of the slack among themselves.
    return static_cast<int>(unreported_share * m_tolerance.slack / static_cast<double>(m_vms));
}

quota_decision quota_usage::take_own_share(usage& state, quota_limit const& limit, time_point now) const
{
    auto const vms = static_cast<double>(m_vms);
    auto const rate = limit.per_second / vms;
    auto const elapsed_s = std::chrono::duration<double>(now - state.own_updated_at).count();
    state.own_tokens = std::min(std::max(limit.burst / vms, 1.0), state.own_tokens + elapsed_s * rate);
    state.own_updated_at = now;
    if (state.own_tokens >= 1) {
        state.own_tokens -= 1;
        ++state.unreported; // Reported once an account can be asked again.
        return {quota_decision::kind::admitted, {}, true};
    }
    auto const wait_ms = std::ceil((1 - state.own_tokens) / rate * 1000);
    return {quota_decision::kind::rejected, std::chrono::milliseconds(static_cast<std::int64_t>(wait_ms)), true};
}

quota_decision quota_usage::take(customer const& of, time_point now)
{
    if (of.quota.unlimited()) return {};
    auto& state = m_customers[of.name.value()];
    state.used_at = now;
    if (now >= state.granted_until) state.granted = 0;
    if (state.granted > 0) {
        --state.granted;
        return {};
    }
    if (now < state.blocked_until) {
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(state.blocked_until - now);
        return {quota_decision::kind::rejected, left, false};
    }
    m_due.insert(of.name.value());
    if (now < state.isolated_until) return take_own_share(state, of.quota, now);
    if (state.unreported + state.in_report < max_unreported()) {
        ++state.unreported;
        return {};
    }
    ++state.waiting;
    return {quota_decision::kind::waiting, {}, false};
}

void quota_usage::give_back(customer_name const& name, time_point now)
{
    auto const found = m_customers.find(name.value());
    if (found == m_customers.end()) return;
    auto& state = found->second;
    if (state.unreported > 0) {
        --state.unreported;
        return;
    }
    ++state.granted;
    state.granted_until = now + grant_lifetime;
}

void quota_usage::stop_waiting(customer_name const& name)
{
    auto const found = m_customers.find(name.value());
    if (found != m_customers.end() && found->second.waiting > 0) --found->second.waiting;
}

std::vector<customer_name> quota_usage::to_report() const
{
    std::vector<customer_name> due;
    for (auto const& name : m_due) {
        auto const& state = m_customers.at(name);
        if (!state.reporting && (state.unreported > 0 || state.waiting > 0)) due.emplace_back(name);
    }
    return due;
}

quota_report quota_usage::start_report(customer_name const& name)
{
    auto& state = m_customers.at(name.value());
    state.reporting = true;
    m_due.erase(name.value());
    state.in_report = std::exchange(state.unreported, 0);
    return {name, state.in_report, state.waiting};
}

void quota_usage::on_report_failed(customer_name const& name)
{
    auto const found = m_customers.find(name.value());
    if (found == m_customers.end()) return;
    auto& state = found->second;
    // The report may have been charged. It is charged again, as the other error would pass the quota.
    state.unreported += std::exchange(state.in_report, 0);
    state.reporting = false;
    m_due.insert(name.value());
}

void quota_usage::on_verdict(quota_verdict const& verdict, time_point now)
{
    auto const found = m_customers.find(verdict.name.value());
    if (found == m_customers.end()) return;
    auto& state = found->second;
    state.reporting = false;
    state.in_report = 0;
    state.waiting = 0; // Those that wait are decided again.
    state.isolated_until = {};
    if (verdict.granted > 0) {
        state.granted += verdict.granted;
        state.granted_until = now + grant_lifetime;
    }
    if (verdict.blocked_for.count() > 0) state.blocked_until = now + verdict.blocked_for;
}

void quota_usage::on_no_account(customer_name const& name, time_point now)
{
    auto const found = m_customers.find(name.value());
    if (found == m_customers.end()) return;
    auto& state = found->second;
    state.waiting = 0; // Those that wait are decided again.
    if (now >= state.isolated_until) {
        state.own_tokens = 0;
        state.own_updated_at = now;
    }
    state.isolated_until = now + isolation_period;
}

void quota_usage::drop_idle(time_point now)
{
    std::erase_if(m_customers, [this, now](auto const& each) {
        auto const& state = each.second;
        return !m_due.contains(each.first) && !state.reporting && state.waiting == 0 && state.unreported == 0 &&
               state.used_at + idle_period < now;
    });
}

} // namespace cornelspring
