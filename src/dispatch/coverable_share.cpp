/** @file coverable_share.cpp Estimate of the share of queries that can reach their minimum coverage. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** If the shards respond to at least this share of the requests, no query is rejected: a single failure that is two
 *  seconds old, or that a response followed, does not indicate overload. */
constexpr double unrestricted_share = 0.8;
/** Minimum admitted share, so that the recovery of a shard is detected. */
constexpr double min_share = 0.1;

} // namespace

double coverable_share(std::vector<double> response_rates, std::size_t needed)
{
    if (response_rates.empty() || needed == 0) return 1;
    // A query may leave out the worst shards. Of the others, the one that responds least often limits the share.
    auto const spare = response_rates.size() - std::min(needed, response_rates.size());
    auto const deciding = response_rates.begin() + static_cast<std::ptrdiff_t>(spare);
    std::nth_element(response_rates.begin(), deciding, response_rates.end());
    return std::clamp(*deciding / unrestricted_share, min_share, 1.0);
}

} // namespace cornelspring
