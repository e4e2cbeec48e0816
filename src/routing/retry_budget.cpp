/** @file retry_budget.cpp Sliding-window limit on extra attempts. */
#include <cornelspring/routing.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/**
 * Share of the limit that this VM uses. The rest covers VMs that restarted within the window and lost their counts, and
 * the rounding of the counts to whole seconds.
 */
constexpr double used_share = 0.75;

/** @return the second of the steady clock that contains @p now. */
std::int64_t second_of(time_point now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

retry_budget::second_count& retry_budget::at(time_point now)
{
    auto const second = second_of(now);
    auto& count = m_seconds[static_cast<std::size_t>(second) % m_seconds.size()];
    if (count.second != second) count = {second, 0, 0};
    return count;
}

void retry_budget::on_request(time_point now) { ++at(now).requests; }

double retry_budget::remaining(limits const& bound, std::size_t vms, time_point now)
{
    auto const second = second_of(now);
    double requests = 0;
    double extras = 0;
    for (auto const& count : m_seconds) {
        if (count.second < 0 || count.second > second) continue;
        // The counts cover whole seconds, so extra attempts up to one second older may share a window with the next
        // one.
        if (second - count.second <= bound.window.count()) extras += count.extras;
        if (second - count.second < bound.window.count()) requests += count.requests;
    }
    double const share = bound.slack / static_cast<double>(std::max<std::size_t>(vms, 1));
    return used_share * (bound.ratio * requests + share) - extras;
}

bool retry_budget::try_consume(limits const& bound, std::size_t vms, time_point now)
{
    if (remaining(bound, vms, now) < 1.0) return false;
    ++at(now).extras;
    return true;
}

} // namespace cornelspring
