/** @file shard_availability.cpp How often one shard answered lately. */
#include <cornelspring/routing.hpp>

namespace cornelspring {
namespace {

/** A VM that sees one query a second must learn from two of them; where it sees many, the moment in which it was cut
 * off, or in which a server has just started, must not count as often as there were queries. */
constexpr sample_weight outcome_weight{milliseconds(800), 0.05, 0.5};
/** Without outcomes, half of what a shard lacked is forgiven in this time: a backend server that is full works off its
 *  queue within a second or two, and queries must find out. */
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
