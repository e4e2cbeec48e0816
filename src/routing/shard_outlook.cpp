/** @file shard_outlook.cpp How often one shard answered lately. */
#include <cornelspring/routing.hpp>

#include <cmath>

namespace cornelspring {
namespace {

/** Weight of a new outcome. A VM sees about one query a second at 195 VMs, and must learn from two of them. */
constexpr double outcome_weight = 0.5;
/** Without outcomes, a shard is taken to answer again half as often more in this time: a backend server that crashed is
 *  replaced, and one that is full has worked off its queue, within some seconds. */
constexpr double recovery_half_life_s = 1.5;

} // namespace

double shard_outlook::answered_share(time_point now) const
{
    double const age_s = std::chrono::duration<double>(now - m_sampled_at).count();
    return 1 - (1 - m_share) * std::exp2(-age_s / recovery_half_life_s);
}

void shard_outlook::on_outcome(bool answered, time_point now)
{
    double const share = answered_share(now);
    m_share = share + outcome_weight * ((answered ? 1.0 : 0.0) - share);
    m_sampled_at = now;
}

} // namespace cornelspring
