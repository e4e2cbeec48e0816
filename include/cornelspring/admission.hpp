/**
 * @file admission.hpp Fleet-wide admission control, without sockets or clock reads. Each VM reports the demand that it
 * receives to one VM, the collector, which estimates how much work the backend servers can do within the latency goals
 * and returns the shares of the queries that are admitted. A VM alone sees about two queries per second, too few to
 * detect an overload in time.
 */
#pragma once

#include <cornelspring/customers.hpp>

#include <map>
#include <set>

namespace cornelspring {

/** Fewest active VMs with which shares are applied. With fewer, each VM sees enough load itself. */
inline constexpr std::size_t min_vms_for_shares = 16;

/** Identifies the services of a gather, by the name of the first one. */
using shard_set_id = strong_id<struct shard_set_id_tag, std::string>;

/** Order in which queries are admitted; lower values first. */
struct admission_rank {
    int of_customer = 0; ///< Priority of the customer.
    int of_route = 0;    ///< Priority of the route, among queries of customers with the same priority.
    /** Compares the customers first. */
    auto operator<=>(admission_rank const&) const = default;
};

/** Queries that need about the same work and have the same latency goal. */
struct query_class {
    int route_priority = 0; ///< Priority of the route.
    milliseconds goal{0};   ///< Latency goal of the route.
    /** Compares both members. */
    auto operator<=>(query_class const&) const = default;
};

// ---- Messages ----

/** Queries of one customer in one class. */
struct customer_demand {
    query_class of;         ///< Class.
    int customer_priority;  ///< Priority of the customer.
    customer_name customer; ///< Customer; empty if the queries need no API key.
    double weight = 0;      ///< Weight of the customer, its quota in requests per second; 0: none configured.
    double offered = 0;     ///< Queries that arrived.
    double admitted = 0;    ///< Queries that were started.
    double in_goal = 0;     ///< Queries whose needed shards responded within the goal.
    double late = 0;        ///< Queries whose needed shards responded later.
};

/** Times until the needed shards had responded. */
struct class_delays {
    query_class of;             ///< Class of the queries.
    double usual = 0;           ///< Usual time relative to the goal, as in expected_delay; 0: not known.
    std::vector<double> ratios; ///< Times relative to the goal.
};

/** Demand for one shard set. */
struct set_demand {
    shard_set_id id;                        ///< Shard set.
    double limit = 0;                       ///< Limit that the sender applies, as in set_shares; 0: none.
    std::vector<customer_demand> customers; ///< Queries by class and customer.
    std::vector<class_delays> delays;       ///< Times by class.
};

/** What a VM reports to the collector. */
struct demand_report {
    std::string sender;           ///< Name of the sender.
    std::vector<set_demand> sets; ///< Demand since the last report.
};

/** Share of the queries of one customer. */
struct customer_share {
    customer_name customer; ///< Customer.
    double share = 1;       ///< Share that is admitted, 0 to 1.
};

/** Shares of the queries of one rank. */
struct rank_shares {
    admission_rank rank;                   ///< Rank.
    double share = 1;                      ///< Share of the customers that are not listed.
    std::vector<customer_share> customers; ///< Customers with another share.
};

/** Expected time until the needed shards have responded. */
struct expected_delay {
    query_class of;   ///< Class.
    double ratio = 0; ///< Time relative to the goal.
    double usual = 0; ///< The same without overload.
};

/** Shares in force for an overloaded shard set. */
struct set_shares {
    shard_set_id id;                      ///< Shard set.
    double limit = 0;                     ///< Admitted work, in milliseconds per second; only relative values matter.
    std::vector<rank_shares> ranks;       ///< Shares. Queries of a rank that is not listed have the share 1.
    std::vector<expected_delay> expected; ///< Expected times by class.
};

/** The response to a report: all shares in force. */
struct share_update {
    std::uint64_t epoch = 0;      ///< Identifies the collector's process.
    std::uint64_t sequence = 0;   ///< Number of the collector's computation that gave these shares.
    bool known = false;           ///< The collector has collected for long enough; otherwise earlier shares stay.
    std::vector<set_shares> sets; ///< Overloaded shard sets. All queries over other ones are admitted.
};

// ---- Division of capacity ----

/** A demand that competes for capacity. */
struct share_request {
    admission_rank rank;    ///< Rank.
    customer_name customer; ///< Customer.
    double work = 0;        ///< Offered work per second.
    double weight = 0;      ///< Weight within the rank; 0: the mean of the others.
};

/**
 * Divides capacity by rank in order. Each lower rank keeps a floor of 5 % of the capacity, at most 30 % for all of them
 * together. Within a rank, capacity is divided by weighted max-min fairness, except that no customer's share is less
 * than 0.3 times that of the rank.
 * @param requests demands; each pair of rank and customer once. @param capacity work per second.
 * @return the admitted share of each of @p requests, 0 to 1.
 */
std::vector<double> divide_capacity(std::vector<share_request> const& requests, double capacity);

// ---- Estimate of the capacity ----

/** Detects overload of one shard set and estimates how much work its backend servers do within the goals. */
class capacity_estimate {
public:
    /** Adds a time until the needed shards had responded. @param of class. @param ratio time relative to the goal. */
    void add_delay(query_class of, double ratio);
    /** Adds answered queries. @param work their work in milliseconds. */
    void add_answered(double work) { m_answered += work; }
    /** Updates the estimate. @param elapsed time since the last update. @param offered offered work in milliseconds per
     *  second. @param reporters number of VMs that reported recently. @param counted_priority classes of a lower
     *  priority have no effect. */
    void update(clock::duration elapsed, double offered, std::size_t reporters, int counted_priority);
    /** Continues with a limit that another collector had set. @param limit the limit. */
    void adopt(double limit);
    /** Continues with a usual time that another collector had learned. @param of class. @param usual time relative to
     *  the goal; 0: not known. */
    void adopt_usual(query_class of, double usual);
    /** @return whether the shard set is overloaded, so that limit() applies. */
    bool overloaded() const { return m_overloaded; }
    /** @return the work to admit in milliseconds per second. */
    double limit() const { return m_capacity * m_drain; }
    /** @return the work of a query of class @p of in milliseconds: the usual time of its class. @param of class. */
    double work_of(query_class of) const;
    /** @return expected times until the needed shards have responded, by class. */
    std::vector<expected_delay> expected() const;

private:
    /** Recent delays of one class. */
    struct class_state {
        double sum = 0;       ///< Decaying sum of the ratios.
        double samples = 0;   ///< Decaying number of the ratios.
        double usual = 0;     ///< Usual ratio, without overload; 0 until known.
        double calm_time = 0; ///< Number of updates that contributed to the usual ratio.
        /** @return the usual ratio, or a default. */
        double usual_ratio() const;
        /** @return the current ratio; the usual one if there are no samples. */
        double ratio() const;
        /** @return the delay in excess of the usual one, relative to the time between that and the goal. */
        double pressure() const;
    };
    /** @return the highest pressure of the counted classes. */
    double pressure(int counted_priority) const;
    /** Learns usual ratios while there is no overload. */
    void learn_usual();
    /** Starts an overload if the pressure has been high for long enough. */
    void detect(double pressure, double offered, std::size_t reporters);
    /** Adapts the capacity during an overload, and ends it. */
    void adapt(double pressure, double offered, clock::duration elapsed);

    std::map<query_class, class_state> m_classes; ///< Classes with recent queries.
    double m_answered = 0;                        ///< Decaying sum of answered work, per second.
    double m_capacity = 0;                        ///< Estimated capacity during an overload.
    double m_drain = 1;                           ///< Factor on it that shortens or uses the queue.
    bool m_overloaded = false;                    ///< There is an overload.
    int m_high_updates = 0;                       ///< Consecutive updates with high pressure.
    clock::duration m_unlimited_for{0};           ///< Time for which the limit has exceeded the offered work.
};

// ---- Collector ----

/** Collects the demand that all VMs report, and computes the shares. */
class demand_collector {
public:
    /** @param epoch identifies this process; not 0. */
    explicit demand_collector(std::uint64_t epoch) : m_epoch(epoch) {}
    /** Adds a report. @param report report. @param now current time. @return the shares in force. */
    share_update add(demand_report const& report, time_point now);

private:
    /** Identifies a row of demand. */
    struct demand_key {
        admission_rank rank;    ///< Rank.
        milliseconds goal{0};   ///< Latency goal.
        customer_name customer; ///< Customer.
        /** Compares all members. */
        auto operator<=>(demand_key const&) const = default;
    };
    /** Recent queries of one customer in one class. */
    struct demand_state {
        double offered = 0; ///< Decaying sum of the queries, per second.
        double weight = 0;  ///< Weight of the customer.
    };
    /** State of one shard set. */
    struct set_state {
        std::map<demand_key, demand_state> demand;   ///< Demand by rank, goal and customer.
        std::map<std::string, time_point> reporters; ///< Last report with delays, by sender.
        capacity_estimate capacity;                  ///< Estimate of the capacity.
        set_shares shares;                           ///< Shares as last computed.
    };
    /** Adds the demand of one shard set. */
    void add_set(set_demand const& demand, std::string const& sender, time_point now);
    /** Computes all shares. */
    void update(time_point now);
    /** @return the demand for a shard set by rank and customer, in order. */
    static std::vector<share_request> merged_demand(set_state const& set);
    /** @return the lowest priority of a route whose delays count, as enough of its queries are admitted. */
    static int counted_priority(set_state const& set, std::vector<share_request> const& requests);
    /** Computes the shares of one shard set. */
    static void update_set(set_state& set, clock::duration elapsed, time_point now);
    /** Sets the shares of one shard set from the limit. */
    static void compute_shares(set_state& set, std::vector<share_request> const& requests);

    std::uint64_t m_epoch;                     ///< Identifies this process.
    std::uint64_t m_sequence = 0;              ///< Number of the last computation.
    std::map<shard_set_id, set_state> m_sets;  ///< Shard sets.
    std::optional<time_point> m_collecting_at; ///< Since when reports have arrived without a long gap.
    time_point m_reported_at;                  ///< Last report.
    time_point m_updated_at;                   ///< Last computation.
};

// ---- VM ----

/** A query that arrives at a VM. */
struct arriving_query {
    shard_set_id set;             ///< Shard set.
    query_class of;               ///< Class.
    int customer_priority = 0;    ///< Priority of its customer.
    customer_name customer;       ///< Customer; empty if none.
    double weight = 0;            ///< Weight of the customer; 0: none configured.
    bool returns_as_told = false; ///< It is a retry, not before the time that the caller was told.
    milliseconds time_left{0};    ///< Time until the caller's deadline.
    double max_share = 1;         ///< Upper bound on the share, from this VM's own observations.
};

/** Outcome of the decision on a query. */
enum class share_outcome {
    admitted,   ///< It may start.
    over_share, ///< It exceeds the share of its rank and customer.
    own_queue,  ///< It exceeds the share as corrected for the queue of this VM.
    no_time,    ///< The needed shards are not expected to respond before the caller's deadline.
};

/** Decision on a query, with its inputs. */
struct share_decision {
    share_outcome outcome = share_outcome::admitted; ///< Outcome.
    double share = 1;                                ///< Share that was applied.
    std::uint64_t epoch = 0;                         ///< Collector that computed it.
    std::uint64_t sequence = 0;                      ///< Its computation.
};

/** Identifies a query between its start and its end. */
using query_ticket = strong_id<struct query_ticket_tag, std::uint64_t>;

/** Demand that this VM receives, and the shares that it applies. */
class demand_log {
public:
    /** @param seed different for each VM. */
    explicit demand_log(std::uint64_t seed) : m_seed(seed) {}
    /** Sets the number of active VMs. @param vms number. */
    void set_active_vms(std::size_t vms) { m_active_vms = vms; }
    /** @return whether there are enough VMs, so that demand is counted and reported. */
    bool enough_vms() const { return m_active_vms >= min_vms_for_shares; }
    /** @return whether queries over a shard set have arrived since the start of the process. */
    bool has_shard_sets() const { return !m_sets.empty(); }
    /** @return whether the shares decide: there are enough VMs, and the collector has responded within 3 s.
     *  @param now current time. */
    bool in_force(time_point now) const;
    /** Decides on a query by the shares. It does not count it. @param query query. @param now current time.
     *  @return the decision. */
    share_decision decide(arriving_query const& query, time_point now);
    /** Counts a query that was rejected. @param query query. */
    void on_rejected(arriving_query const& query) { ++row(query).offered; }
    /** Counts a query that starts. on_needed() or on_finished() must follow. @param query query. @param now current
     *  time. @return identifies the query. */
    query_ticket on_started(arriving_query const& query, time_point now);
    /** The needed shards of a query have responded. @param ticket query. @param now current time. */
    void on_needed(query_ticket ticket, time_point now);
    /** A query ended before its needed shards had responded. @param ticket query; ignored if it has ended before. */
    void on_finished(query_ticket ticket) { m_open.erase(ticket); }
    /** The process was paused: the time does not count for open queries. @param length length of the pause. */
    void on_paused(clock::duration length);
    /** @return whether a report is due soon. @param now current time. */
    bool urgent(time_point now) const;
    /** Starts a report. @param sender name of this VM. @param now current time. @return the demand since the last one.
     */
    demand_report start_report(std::string const& sender, time_point now);
    /** Applies a response of the collector. @param update response. @param now current time. */
    void on_update(share_update update, time_point now);
    /** @return the shares in force. @param now current time. */
    share_update const& shares(time_point now) const;

private:
    /** Identifies a row of demand. */
    struct row_key {
        query_class of;            ///< Class.
        int customer_priority = 0; ///< Priority of the customer.
        customer_name customer;    ///< Customer.
        /** Compares all members. */
        auto operator<=>(row_key const&) const = default;
    };
    /** Demand for one shard set that was not reported yet. */
    struct set_state {
        std::map<row_key, customer_demand> rows;           ///< Queries.
        std::map<query_class, std::vector<double>> delays; ///< Times until the needed shards had responded.
        std::map<std::pair<admission_rank, customer_name>, double> credit; ///< Error accumulators of the shares.
    };
    /** A query that waits for its needed shards. */
    struct open_query {
        shard_set_id set;          ///< Shard set.
        row_key key;               ///< Its row.
        time_point started_at;     ///< When it started.
        bool counted_late = false; ///< Its delay was reported while it was open.
    };
    /** @return the row that counts @p query. */
    customer_demand& row(arriving_query const& query);
    /** Records the delay of a query. */
    void add_delay(open_query const& query, time_point now);
    /** @return the factor on shares by which this VM corrects them for its own queue. */
    double queue_factor(shard_set_id const& set, bool highest_rank, time_point now) const;
    /** Draws one query from the error accumulator of its rank and customer. @return whether it is admitted. */
    bool draw(arriving_query const& query, double share);

    std::uint64_t m_seed;                      ///< Start of the error accumulators.
    std::size_t m_active_vms = 0;              ///< Active VMs.
    std::map<shard_set_id, set_state> m_sets;  ///< Unreported demand.
    std::map<query_ticket, open_query> m_open; ///< Queries that wait for their needed shards.
    std::uint64_t m_last_ticket = 0;           ///< Last ticket used.
    share_update m_shares;                     ///< Shares as last received.
    std::optional<time_point> m_informed_at;   ///< When the collector last responded.
    bool m_slow = false;                       ///< A query was slow since the last report.
};

// ---- Codec ----

/** @return @p report as the body of a call between gateways. @param report report. */
std::string encode_demand_report(demand_report const& report);
/** @return the report in @p body. @param body body. @throw error bad_request if it is malformed, a number is not finite
 *  or not within 0 to 1,000,000, a name is longer than 200 bytes, or there are more than 20,000 entries. */
demand_report decode_demand_report(std::string const& body);
/** @return @p update as the body of a response. @param update update. */
std::string encode_share_update(share_update const& update);
/** @return the update in @p body. @param body body. @throw error bad_request as decode_demand_report(). */
share_update decode_share_update(std::string const& body);

} // namespace cornelspring
