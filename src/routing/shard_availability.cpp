/** @file shard_availability.cpp Recent share of queries to which a shard responded. */
#include <cornelspring/routing.hpp>

namespace cornelspring {
namespace {

/** A VM with one query per second must detect a failing shard within two queries. With many queries per second, one
 * short failure, while the VM is cut off or a backend server has just started, must not count once per query. */
constexpr sample_weight outcome_weight{milliseconds(800), 0.05, 0.5};
/** Half-life of a shard's missing share when there are no outcomes: a full backend server works off its queue within a
 *  second or two, and queries must be sent again to detect that. */
constexpr milliseconds recovery_half_life{1500};

} // namespace

double shard_availability::response_rate(time_point now) const
{
    return 1 - (1 - m_share) * decay_factor(now - m_sampled_at, recovery_half_life);
}

void shard_availability::on_outcome(bool answered, time_point now)
{
    double const share = response_rate(now);
    m_share = share + outcome_weight.after(now - m_sampled_at) * ((answered ? 1.0 : 0.0) - share);
    m_sampled_at = now;
}

} // namespace cornelspring
