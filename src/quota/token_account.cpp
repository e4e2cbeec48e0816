/** @file token_account.cpp Division of a limit, and the token bucket of one part. */
#include <cornelspring/quota.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Most entries of the tokens that may come back; those granted closer to each other share one. */
constexpr int max_entries = 50;
/** Longest wait that is stated; an account with a smaller rate is asked more often than it has tokens. */
constexpr double max_wait_s = 60;

/** @return @p time in seconds. */
double in_seconds(clock::duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

double quota_tolerance::bound(quota_limit const& limit) const
{
    return (limit.per_second * in_seconds(window) + limit.burst) * (1 + over) + slack;
}

std::string subject_of(quota_part const& part) { return part.name.value() + "\n" + std::to_string(part.number); }

account_limits limits_of_part(quota_limit const& limit, quota_tolerance const& tolerance)
{
    double const bound = tolerance.bound(limit);
    double const interval_s = in_seconds(tolerance.window + tolerance.token_lifetime());
    // Each part is rounded once. A bucket holds at least one token, or it could grant none.
    double const wanted = (1 + tolerance.over) * limit.burst + tolerance.slack - quota_part_count;
    double const smallest = std::min<double>(quota_part_count, bound);
    double const size = std::max(std::min(wanted, bound - limit.per_second * interval_s), smallest);
    double const rate = std::clamp((bound - size) / interval_s, 0.0, limit.per_second);
    return {rate / quota_part_count, size / quota_part_count};
}

void token_account::limit_returns(int most)
{
    while (m_returnable_count > most) {
        auto& oldest = m_returnable.front();
        auto const dropped = std::min(oldest.count, m_returnable_count - most);
        oldest.count -= dropped;
        m_returnable_count -= dropped;
        if (oldest.count == 0) m_returnable.pop_front();
    }
}

void token_account::refill(account_limits const& limits, time_point now)
{
    auto const elapsed = std::max(now - m_updated_at, clock::duration(0));
    auto const added = in_seconds(elapsed) * limits.per_second;
    m_level = std::min(limits.size, m_level + added);
    m_level_if_full = std::min(limits.size, m_level_if_full + added);
    if (now >= m_alone_at) m_level = m_level_if_full;
    m_updated_at = std::max(now, m_updated_at);
    while (!m_returnable.empty() && m_returnable.front().at + m_lifetime <= now) {
        m_returnable_count -= m_returnable.front().count;
        m_returnable.pop_front();
    }
    limit_returns(static_cast<int>(limits.size - m_level));
}

int token_account::grant(int count, time_point now)
{
    auto const granted = std::clamp(static_cast<int>(m_level), 0, count);
    if (granted == 0) return 0;
    m_level -= granted;
    m_level_if_full -= granted;
    m_returnable_count += granted;
    if (!m_returnable.empty() && now < m_returnable.back().opened_at + m_lifetime / max_entries) {
        m_returnable.back().at = now;
        m_returnable.back().count += granted;
    } else {
        m_returnable.push_back({now, now, granted});
    }
    return granted;
}

int token_account::credit(int count, account_limits const& limits)
{
    auto const credited = std::clamp(count, 0, m_returnable_count);
    m_level = std::min(limits.size, m_level + credited);
    m_level_if_full = std::min(limits.size, m_level_if_full + credited);
    limit_returns(m_returnable_count - credited);
    return credited;
}

std::chrono::milliseconds token_account::time_to_token(account_limits const& limits) const
{
    double const missing = std::max(0.0, 1 - m_level);
    double const wait_s = missing < limits.per_second * max_wait_s ? missing / limits.per_second : max_wait_s;
    return std::chrono::milliseconds(std::max<std::int64_t>(1, std::llround(std::ceil(wait_s * 1000))));
}

} // namespace cornelspring
