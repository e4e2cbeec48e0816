/** @file coverable_share.cpp Which share of the queries the shards that decide can answer. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Shards that answer this share of the queries or more refuse none: one failure that is two seconds old, or that was
 *  followed by an answer, says nothing of load. */
constexpr double full_share = 0.8;
/** Least share let in, so that a shard that is well again is noticed. */
constexpr double least_share = 0.1;

} // namespace

double coverable_share(std::vector<double> answered_shares, std::size_t needed)
{
    if (answered_shares.empty() || needed == 0) return 1;
    // The worst shards may be left out; of the others, the one that answers least often decides.
    auto const spare = answered_shares.size() - std::min(needed, answered_shares.size());
    auto const deciding = answered_shares.begin() + static_cast<std::ptrdiff_t>(spare);
    std::nth_element(answered_shares.begin(), deciding, answered_shares.end());
    return std::clamp(*deciding / full_share, least_share, 1.0);
}

} // namespace cornelspring
