/** @file quota_accounts.cpp Accounts of customers that this VM keeps for all VMs. */
#include <cornelspring/customers.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** @return @p seconds, rounded up to milliseconds. */
std::chrono::milliseconds in_ms(double seconds)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

/** Most entries of an account for one window; requests that are charged closer to each other share one. */
constexpr int max_entries = 100;
/** Entries over which the use of a window is spread that is assumed for a new account. */
constexpr int assumed_parts = 20;
/** Standard deviations of the number of arrivals in a window that a bucket holds beside the burst. */
constexpr double spare_deviations = 2;

/** @return most tokens of an account. */
double bucket_size(quota_limit const& limit, std::chrono::milliseconds window)
{
    auto const arrivals = limit.per_second * std::chrono::duration<double>(window).count();
    return std::max(limit.burst, 1.0) + spare_deviations * std::sqrt(arrivals);
}

} // namespace

double quota_accounts::max_in_window(quota_limit const& limit) const
{
    return limit.per_second * std::chrono::duration<double>(m_window).count() + std::max(limit.burst, 1.0);
}

void quota_accounts::open(account& made, quota_limit const& limit, bool whole_window, time_point now) const
{
    made.updated_at = now;
    if (whole_window) {
        made.tokens = bucket_size(limit, m_window);
        return;
    }
    made.tokens = 1;
    auto const part = (max_in_window(limit) - 1) / assumed_parts;
    for (int i = assumed_parts; i > 0; --i) {
        auto const at = now - m_window * i / assumed_parts;
        made.recent.push_back({at, at, part});
        made.in_window += part;
    }
}

void quota_accounts::refill(account& state, quota_limit const& limit, time_point now) const
{
    auto const elapsed_s = std::chrono::duration<double>(now - state.updated_at).count();
    // A limit that was lowered takes effect at once: tokens above the new size are dropped.
    state.tokens = std::min(bucket_size(limit, m_window), state.tokens + elapsed_s * limit.per_second);
    state.updated_at = now;
    while (!state.recent.empty() && state.recent.front().at + m_window < now) {
        state.in_window -= state.recent.front().count;
        state.recent.pop_front();
    }
}

void quota_accounts::add(account& state, double count, time_point now) const
{
    if (count <= 0) return;
    state.tokens -= count;
    state.in_window += count;
    // Entries close to each other are merged, under the later time.
    if (!state.recent.empty() && now < state.recent.back().opened_at + m_window / max_entries) {
        state.recent.back().count += count;
        state.recent.back().at = now;
    } else {
        state.recent.push_back({now, now, count});
    }
}

std::chrono::milliseconds quota_accounts::time_to_token(account const& state, quota_limit const& limit,
                                                        time_point now) const
{
    auto const by_tokens = in_ms(std::max(0.0, 1 - state.tokens) / limit.per_second);
    auto excess = state.in_window - (max_in_window(limit) - 1);
    auto free_at = now;
    for (auto const& each : state.recent) {
        if (excess <= 0) break;
        excess -= each.count;
        free_at = each.at + m_window;
    }
    return std::max(by_tokens, std::chrono::ceil<std::chrono::milliseconds>(free_at - now));
}

quota_verdict quota_accounts::charge(quota_report const& report, quota_limit const& limit, bool whole_window,
                                     time_point now)
{
    quota_verdict verdict{report.name, report.waiting, std::chrono::milliseconds(0)};
    if (limit.unlimited()) return verdict;
    auto const [found, is_new] = m_accounts.try_emplace(report.name.value());
    auto& state = found->second;
    if (is_new) open(state, limit, whole_window, now);
    refill(state, limit, now);
    add(state, report.used, now);
    auto const available = std::min(state.tokens, max_in_window(limit) - state.in_window);
    verdict.granted = std::clamp(static_cast<int>(std::floor(available)), 0, report.waiting);
    add(state, verdict.granted, now);
    bool const used_up = available - verdict.granted < 0 || verdict.granted < report.waiting;
    if (used_up) verdict.blocked_for = std::max(time_to_token(state, limit, now), std::chrono::milliseconds(1));
    return verdict;
}

void quota_accounts::drop_unless(std::function<bool(customer_name const&)> const& kept)
{
    std::erase_if(m_accounts, [&](auto const& each) { return !kept(customer_name(each.first)); });
}

void quota_accounts::drop_idle(clock::duration idle, time_point now)
{
    std::erase_if(m_accounts, [&](auto const& each) { return each.second.updated_at + idle < now; });
}

} // namespace cornelspring
