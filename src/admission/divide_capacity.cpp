/** @file divide_capacity.cpp Division of capacity by rank, and within a rank by weighted max-min fairness. */
#include <cornelspring/admission.hpp>

#include <algorithm>
#include <numeric>

namespace cornelspring {
namespace {

/** Part of the capacity that a lower rank keeps. It shows when the overload ends, and keeps its callers from being
 *  shut out entirely. */
constexpr double floor_part = 0.05;
/** Most of the capacity that all these floors take together. */
constexpr double max_floors = 0.3;
/** Lowest share of a customer relative to that of its rank. It is above a quarter, so that rounding does not take the
 *  served part of a customer below a quarter of that of all. */
constexpr double min_relative_share = 0.3;

/** Indexes of the requests of one rank, and their work. */
struct rank_group {
    std::vector<std::size_t> members; ///< Indexes.
    double work = 0;                  ///< Offered work.
    double granted = 0;               ///< Granted work.
};

/** @return the requests by rank. */
std::map<admission_rank, rank_group> group_by_rank(std::vector<share_request> const& requests)
{
    std::map<admission_rank, rank_group> groups;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        auto& group = groups[requests[i].rank];
        group.members.push_back(i);
        group.work += requests[i].work;
    }
    return groups;
}

/** Grants capacity to the ranks in order. */
void grant_ranks(std::map<admission_rank, rank_group>& groups, double capacity)
{
    double floors = 0;
    for (auto each = std::next(groups.begin()); each != groups.end(); ++each)
        floors += std::min(floor_part * capacity, each->second.work);
    double const scale = floors > max_floors * capacity ? max_floors * capacity / floors : 1;
    double left = capacity;
    double reserved = floors * scale;
    for (auto each = groups.begin(); each != groups.end(); ++each) {
        auto& group = each->second;
        if (each != groups.begin()) reserved -= std::min(floor_part * capacity, group.work) * scale;
        group.granted = std::clamp(left - reserved, 0.0, group.work);
        left -= group.granted;
    }
}

/** @return the weights of the members of @p group; members without one have the mean of the others. */
std::vector<double> weights_of(std::vector<share_request> const& requests, rank_group const& group)
{
    double sum = 0;
    std::size_t known = 0;
    for (auto const i : group.members) {
        sum += requests[i].weight;
        known += requests[i].weight > 0 ? 1 : 0;
    }
    double const mean = known > 0 ? sum / static_cast<double>(known) : 1;
    std::vector<double> weights;
    weights.reserve(group.members.size());
    for (auto const i : group.members)
        weights.push_back(requests[i].weight > 0 ? requests[i].weight : mean);
    return weights;
}

/** Divides @p amount among demands: each receives its demand or the same amount for each unit of weight.
 *  @return the received amounts. */
std::vector<double> max_min(std::vector<double> const& demands, std::vector<double> const& weights, double amount)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return demands[a] * weights[b] < demands[b] * weights[a]; });
    double weight_left = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<double> received(demands.size(), 0);
    for (auto const i : order) {
        received[i] = std::min(demands[i], amount * weights[i] / weight_left);
        amount = std::max(0.0, amount - received[i]);
        weight_left = std::max(weight_left - weights[i], std::numeric_limits<double>::min());
    }
    return received;
}

/** Divides the granted work of a rank among its members. */
void divide_rank(std::vector<share_request> const& requests, rank_group const& group, std::vector<double>& shares)
{
    if (group.work <= 0) return;
    double const least = min_relative_share * group.granted / group.work;
    std::vector<double> demands;
    demands.reserve(group.members.size());
    for (auto const i : group.members)
        demands.push_back((1 - least) * requests[i].work);
    auto const received = max_min(demands, weights_of(requests, group), (1 - min_relative_share) * group.granted);
    for (std::size_t n = 0; n < group.members.size(); ++n) {
        auto const i = group.members[n];
        if (requests[i].work > 0) shares[i] = std::min(1.0, least + received[n] / requests[i].work);
    }
}

} // namespace

std::vector<double> divide_capacity(std::vector<share_request> const& requests, double capacity)
{
    std::vector<double> shares(requests.size(), 1);
    auto groups = group_by_rank(requests);
    if (groups.empty()) return shares;
    grant_ranks(groups, std::max(0.0, capacity));
    for (auto const& [rank, group] : groups)
        divide_rank(requests, group, shares);
    return shares;
}

} // namespace cornelspring
