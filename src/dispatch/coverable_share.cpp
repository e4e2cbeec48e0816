/** @file coverable_share.cpp Estimate of the share of queries that can reach their minimum coverage. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** If the shards respond to at least this share of the requests, no query is rejected: a single failure that is two
 *  seconds old, or that a response followed, does not indicate overload. */
constexpr double full_share = 0.8;
/** Minimum admitted share, so that the recovery of a shard is detected. */
constexpr double least_share = 0.1;

} // namespace

double coverable_share(std::vector<double> answered_shares, std::size_t needed)
{
    if (answered_shares.empty() || needed == 0) return 1;
    // A query may leave out the worst shards. Of the others, the one that responds least often limits the share.
    auto const spare = answered_shares.size() - std::min(needed, answered_shares.size());
    auto const deciding = answered_shares.begin() + static_cast<std::ptrdiff_t>(spare);
    std::nth_element(answered_shares.begin(), deciding, answered_shares.end());
    return std::clamp(*deciding / full_share, least_share, 1.0);
}

} // namespace cornelspring
