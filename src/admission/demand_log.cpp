/** @file demand_log.cpp Demand that this VM receives, and the shares that it applies. */
#include <cornelspring/admission.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Without a response of a collector for this time, the shares are outdated. */
constexpr milliseconds max_share_age{3000};
/** A query is slow above this ratio; then the next report is sent soon. */
constexpr double slow_ratio = 0.75;
/** Limit of a ratio in a report. */
constexpr double max_ratio = 100;
/** Open queries beyond their goal that do not change shares. Paused servers can delay several queries of a VM. */
constexpr double free_overdue = 3;
/** Factor on shares for each further one. */
constexpr double overdue_factor = 0.7;
/** The same for the highest rank. It is the last to be refused. */
constexpr double overdue_factor_highest = 0.85;
/** Part of a query that a retry may borrow from the error accumulator of its rank and customer, so that it precedes new
 *  queries. Those make up for it. More would exceed the share noticeably over many VMs with few queries each. */
constexpr double max_borrowed = 0.25;
/** Most samples and rows kept for one report. A collector that does not respond must not make memory grow. */
constexpr std::size_t max_samples = 2000;
/** Most rows of demand, and most error accumulators, for one shard set. */
constexpr std::size_t max_rows = 5000;

/** @return a number from 0 to 1 that depends on @p seed, @p rank and @p customer only. */
double first_credit(std::uint64_t seed, admission_rank rank, customer_name const& customer)
{
    std::uint64_t hash = seed ^ 14695981039346656037ULL;
    auto const mix = [&](std::uint64_t value) {
        hash = (hash ^ value) * 0xff51afd7ed558ccdULL;
        hash ^= hash >> 33;
    };
    for (unsigned char const byte : customer.value())
        mix(byte);
    mix(static_cast<std::uint64_t>(rank.of_customer));
    mix(static_cast<std::uint64_t>(rank.of_route));
    return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

/** @return the rank of @p query. */
admission_rank rank_of(arriving_query const& query) { return {query.customer_priority, query.of.route_priority}; }

/** @return the element of @p sets for @p id, or null. */
set_shares const* find_set(share_update const& update, shard_set_id const& id)
{
    auto const found = std::find_if(update.sets.begin(), update.sets.end(), [&](auto const& e) { return e.id == id; });
    return found == update.sets.end() ? nullptr : &*found;
}

/** @return the share of @p query in @p set. */
double share_in(set_shares const& set, arriving_query const& query)
{
    for (auto const& rank : set.ranks) {
        if (rank.rank != rank_of(query)) continue;
        for (auto const& each : rank.customers)
            if (each.customer == query.customer) return each.share;
        return rank.share;
    }
    return 1;
}

/** @return the time until the needed shards of @p query are expected to have responded. */
milliseconds expected_time(set_shares const& set, arriving_query const& query)
{
    for (auto const& each : set.expected)
        if (each.of == query.of)
            return milliseconds(std::llround(each.ratio * static_cast<double>(query.of.goal.count())));
    return milliseconds(0);
}

/** @return the usual ratio of a class in @p set; 0 if it is not known. */
double usual_ratio(set_shares const* set, query_class of)
{
    if (set == nullptr) return 0;
    for (auto const& each : set->expected)
        if (each.of == of) return each.usual;
    return 0;
}

} // namespace

bool demand_log::in_force(time_point now) const
{
    return enough_vms() && m_informed_at && now <= *m_informed_at + max_share_age;
}

share_update const& demand_log::shares(time_point now) const
{
    static share_update const none;
    return in_force(now) ? m_shares : none;
}

customer_demand& demand_log::row(arriving_query const& query)
{
    auto& rows = m_sets[query.set].rows;
    if (rows.size() >= max_rows) rows.clear();
    auto& row = rows[{query.of, query.customer_priority, query.customer}];
    row.of = query.of;
    row.customer_priority = query.customer_priority;
    row.customer = query.customer;
    if (query.weight > 0) row.weight = query.weight;
    return row;
}

double demand_log::queue_factor(shard_set_id const& set, bool highest_rank, time_point now) const
{
    auto const overdue = std::count_if(m_open.begin(), m_open.end(), [&](auto const& each) {
        return each.second.set == set && now - each.second.started_at > each.second.key.of.goal;
    });
    double const excess = static_cast<double>(overdue) - free_overdue;
    return excess <= 0 ? 1 : std::pow(highest_rank ? overdue_factor_highest : overdue_factor, excess);
}

/** The accumulators start with different values, so that VMs with one query each do not all admit or all refuse it. */
bool demand_log::draw(arriving_query const& query, double share)
{
    auto& all = m_sets[query.set].credit;
    if (all.size() >= max_rows) all.clear();
    auto const rank = rank_of(query);
    auto const [found, added] = all.try_emplace({rank, query.customer}, 0);
    auto& credit = found->second;
    if (added) credit = first_credit(m_seed, rank, query.customer);
    credit += share;
    double const needed = query.returns_as_told ? 1 - max_borrowed : 1;
    // Without the small term, rounding errors would refuse one query in some thousand at share 1.
    bool const admitted = credit + 1e-9 >= needed;
    if (admitted) credit -= 1;
    return admitted;
}

share_decision demand_log::decide(arriving_query const& query, time_point now)
{
    share_decision decision{share_outcome::admitted, query.max_share, m_shares.epoch, m_shares.sequence};
    auto const* set = find_set(m_shares, query.set);
    double share = 1;
    if (set != nullptr) {
        share = share_in(*set, query);
        if (query.time_left < expected_time(*set, query)) {
            decision.outcome = share_outcome::no_time;
            return decision;
        }
    }
    bool const highest = set == nullptr || set->ranks.empty() || set->ranks.front().rank == rank_of(query);
    double const corrected = std::min(share * queue_factor(query.set, highest, now), query.max_share);
    decision.share = corrected;
    if (corrected >= 1 || draw(query, corrected)) return decision;
    decision.outcome = corrected < share ? share_outcome::own_queue : share_outcome::over_share;
    return decision;
}

query_ticket demand_log::on_started(arriving_query const& query, time_point now)
{
    auto& counts = row(query);
    ++counts.offered;
    ++counts.admitted;
    query_ticket const ticket(++m_last_ticket);
    m_open.emplace(ticket, open_query{query.set, {query.of, query.customer_priority, query.customer}, now, false});
    return ticket;
}

void demand_log::add_delay(open_query const& query, time_point now)
{
    double const waited = std::chrono::duration<double, std::milli>(now - query.started_at).count();
    double const goal = std::max(1.0, static_cast<double>(query.key.of.goal.count()));
    double const ratio = std::clamp(waited / goal, 0.0, max_ratio);
    m_slow = m_slow || ratio > slow_ratio;
    auto& samples = m_sets[query.set].delays[query.key.of];
    if (samples.size() < max_samples) samples.push_back(ratio);
}

void demand_log::on_needed(query_ticket ticket, time_point now)
{
    auto const found = m_open.find(ticket);
    if (found == m_open.end()) return;
    auto const& query = found->second;
    arriving_query counted;
    counted.set = query.set;
    counted.of = query.key.of;
    counted.customer_priority = query.key.customer_priority;
    counted.customer = query.key.customer;
    auto& counts = row(counted);
    ++(now - query.started_at > query.key.of.goal ? counts.late : counts.in_goal);
    if (!query.counted_late) add_delay(query, now);
    m_open.erase(found);
}

void demand_log::on_paused(clock::duration length)
{
    for (auto& [ticket, query] : m_open)
        query.started_at += length;
}

bool demand_log::urgent(time_point now) const
{
    if (m_slow || !shares(now).sets.empty()) return true;
    return std::any_of(m_open.begin(), m_open.end(), [&](auto const& each) {
        auto const& query = each.second;
        return !query.counted_late && now - query.started_at > query.key.of.goal;
    });
}

demand_report demand_log::start_report(std::string const& sender, time_point now)
{
    // Queries beyond their goal show a growing queue earlier than the finished ones.
    for (auto& [ticket, query] : m_open) {
        if (query.counted_late || now - query.started_at <= query.key.of.goal) continue;
        query.counted_late = true;
        add_delay(query, now);
    }
    demand_report report{sender, {}};
    for (auto& [id, set] : m_sets) {
        auto const* applied = find_set(shares(now), id);
        set_demand demand{id, applied == nullptr ? 0 : applied->limit, {}, {}};
        for (auto& [key, row] : std::exchange(set.rows, {}))
            demand.customers.push_back(std::move(row));
        for (auto& [of, ratios] : std::exchange(set.delays, {}))
            demand.delays.push_back({of, usual_ratio(applied, of), std::move(ratios)});
        if (!demand.customers.empty() || !demand.delays.empty()) report.sets.push_back(std::move(demand));
    }
    m_slow = false;
    return report;
}

void demand_log::on_update(share_update update, time_point now)
{
    m_informed_at = now;
    // A new collector knows too little in its first seconds to lift the limits of the one before.
    if (!update.known && update.sets.empty() && !m_shares.sets.empty()) return;
    m_shares = std::move(update);
}

} // namespace cornelspring
