/** @file demand_collector.cpp Collects the demand that all VMs report, and computes the shares. */
#include <cornelspring/admission.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Time between two computations. */
constexpr milliseconds update_interval{250};
/** Time constant of the offered queries. VMs without overload report once a second. It equals that of the answered
 *  work, so that both have the same bias. */
constexpr double demand_time_s = 1.0;
/** After this time without a report, what was collected is outdated. */
constexpr milliseconds max_gap{2000};
/** After this time of collecting, every VM has reported at least once, as calm VMs do so once a second. */
constexpr milliseconds learning_time{1500};
/** A VM counts as a reporter for this time. */
constexpr milliseconds reporter_time{1000};
/** Demand below this number of queries per second is dropped. */
constexpr double min_offered = 0.01;
/** A rank with a share below this one serves as a sample only: its delays do not limit the others. */
constexpr double counted_share = 0.15;
/** Shares above this one count as 1: the difference is within the error of the estimate. */
constexpr double full_share = 0.97;
/** A customer is listed if its share differs from that of its rank by more than this. */
constexpr double listed_difference = 0.03;
/** Most customers listed in the shares of one shard set, so that a response has at most about 1 KiB. */
constexpr std::size_t max_listed = 32;
/** Most shard sets; a configuration has a few. */
constexpr std::size_t max_sets = 256;
/** Most rows of demand for one shard set; a fleet has some hundred. */
constexpr std::size_t max_rows = 20000;

/** A customer whose share may be listed. */
struct listed_customer {
    std::size_t index = 0; ///< Index of the demand.
    double difference = 0; ///< Work that the rank's share would admit too much or too little.
};

/** @return the share of the middle customer of each rank, by the number of customers. */
std::map<admission_rank, double> middle_shares(std::vector<share_request> const& requests,
                                               std::vector<double> const& shares)
{
    std::map<admission_rank, std::vector<double>> by_rank;
    for (std::size_t i = 0; i < requests.size(); ++i)
        by_rank[requests[i].rank].push_back(shares[i]);
    std::map<admission_rank, double> middle;
    for (auto& [rank, values] : by_rank) {
        auto const half = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), half, values.end());
        middle[rank] = *half;
    }
    return middle;
}

/** @return the customers to list, the ones with the greatest effect first. */
std::vector<listed_customer> customers_to_list(std::vector<share_request> const& requests,
                                               std::vector<double> const& shares,
                                               std::map<admission_rank, double> const& middle)
{
    std::vector<listed_customer> listed;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        double const difference = std::abs(shares[i] - middle.at(requests[i].rank));
        if (difference > listed_difference) listed.push_back({i, difference * requests[i].work});
    }
    std::sort(listed.begin(), listed.end(), [](auto const& a, auto const& b) { return a.difference > b.difference; });
    listed.resize(std::min(listed.size(), max_listed));
    return listed;
}

} // namespace

void demand_collector::add_set(set_demand const& demand, std::string const& sender, time_point now)
{
    if (m_sets.size() >= max_sets && !m_sets.contains(demand.id)) return;
    auto& set = m_sets[demand.id];
    // Later on, a sender may still apply a limit that this collector has lifted.
    if (now < *m_collecting_at + learning_time) {
        set.capacity.adopt(demand.limit);
        for (auto const& each : demand.delays)
            set.capacity.adopt_usual(each.of, each.usual);
    }
    for (auto const& row : demand.customers) {
        demand_key key{{row.customer_priority, row.of.route_priority}, row.of.goal, row.customer};
        if (set.demand.size() >= max_rows && !set.demand.contains(key)) continue;
        auto& state = set.demand[std::move(key)];
        state.offered += row.offered;
        if (row.weight > 0) state.weight = row.weight;
        set.capacity.add_answered((row.in_goal + row.late) * set.capacity.work_of(row.of));
    }
    for (auto const& each : demand.delays)
        for (double const ratio : each.ratios)
            set.capacity.add_delay(each.of, ratio);
    if (!demand.delays.empty()) set.reporters[sender] = now;
}

share_update demand_collector::add(demand_report const& report, time_point now)
{
    if (!m_collecting_at || now > m_reported_at + max_gap) {
        m_sets.clear();
        m_collecting_at = m_updated_at = now;
    }
    m_reported_at = now;
    for (auto const& each : report.sets)
        add_set(each, report.sender, now);
    if (now >= m_updated_at + update_interval) update(now);
    share_update update{m_epoch, m_sequence, now >= *m_collecting_at + learning_time, {}};
    for (auto const& [id, set] : m_sets)
        if (set.capacity.overloaded()) update.sets.push_back(set.shares);
    return update;
}

void demand_collector::update(time_point now)
{
    auto const elapsed = now - m_updated_at;
    m_updated_at = now;
    ++m_sequence;
    for (auto& [id, set] : m_sets) {
        set.shares.id = id;
        update_set(set, elapsed, now);
    }
}

std::vector<share_request> demand_collector::merged_demand(set_state const& set)
{
    std::map<std::pair<admission_rank, customer_name>, share_request> merged;
    for (auto const& [key, state] : set.demand) {
        auto& request = merged[{key.rank, key.customer}];
        request.rank = key.rank;
        request.customer = key.customer;
        request.work += state.offered * set.capacity.work_of({key.rank.of_route, key.goal});
        request.weight = state.weight;
    }
    std::vector<share_request> requests;
    requests.reserve(merged.size());
    for (auto& each : merged)
        requests.push_back(std::move(each.second));
    return requests;
}

int demand_collector::counted_priority(set_state const& set, std::vector<share_request> const& requests)
{
    int counted = requests.empty() ? 0 : requests.front().rank.of_route;
    auto const& ranks = set.shares.ranks;
    for (auto const& request : requests) {
        auto const same_rank = [&request](rank_shares const& each) { return each.rank == request.rank; };
        auto const found = std::find_if(ranks.begin(), ranks.end(), same_rank);
        if (found == ranks.end() || found->share >= counted_share) counted = std::max(counted, request.rank.of_route);
    }
    return counted;
}

void demand_collector::update_set(set_state& set, clock::duration elapsed, time_point now)
{
    auto const requests = merged_demand(set);
    double offered = 0;
    for (auto const& request : requests)
        offered += request.work;
    std::erase_if(set.reporters, [&](auto const& each) { return now > each.second + reporter_time; });
    set.capacity.update(elapsed, offered, set.reporters.size(), counted_priority(set, requests));
    compute_shares(set, requests);
    double const decay = std::exp(-std::chrono::duration<double>(elapsed).count() / demand_time_s);
    for (auto each = set.demand.begin(); each != set.demand.end();) {
        each->second.offered *= decay;
        each = each->second.offered < min_offered ? set.demand.erase(each) : std::next(each);
    }
}

void demand_collector::compute_shares(set_state& set, std::vector<share_request> const& requests)
{
    set.shares.ranks.clear();
    set.shares.limit = set.capacity.overloaded() ? set.capacity.limit() : 0;
    set.shares.expected = set.capacity.expected();
    if (!set.capacity.overloaded()) return;
    auto shares = divide_capacity(requests, set.shares.limit);
    for (auto& share : shares)
        if (share > full_share) share = 1;
    auto const middle = middle_shares(requests, shares);
    std::map<admission_rank, rank_shares> ranks;
    for (auto const& [rank, share] : middle)
        ranks[rank] = {rank, share, {}};
    for (auto const& each : customers_to_list(requests, shares, middle)) {
        auto const& request = requests[each.index];
        ranks[request.rank].customers.push_back({request.customer, shares[each.index]});
    }
    for (auto& [rank, each] : ranks)
        set.shares.ranks.push_back(std::move(each));
}

} // namespace cornelspring
