/** @file shard_outlook.cpp How often one shard answered lately. */
#include <cornelspring/routing.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Time over which outcomes are averaged where a VM sees many queries: longer than the moment in which a VM that was
 *  cut off, or a server that has just started, fails everything. */
constexpr double average_s = 0.8;
/** Bounds of an outcome's weight: with one query a second, as at 195 VMs, a VM must learn from two of them, */
constexpr double most_weight = 0.5;
/** and of many at the same moment each still counts. */
constexpr double least_weight = 0.05;
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
    double const gap_s = std::chrono::duration<double>(now - m_sampled_at).count();
    double const weight = std::clamp(1 - std::exp(-gap_s / average_s), least_weight, most_weight);
    m_share = share + weight * ((answered ? 1.0 : 0.0) - share);
    m_sampled_at = now;
}

} // namespace cornelspring
