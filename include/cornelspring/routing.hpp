/**
 * @file routing.hpp What requests are routed by, without sockets or clock reads: routes, placement, backend servers and
 * what was observed of them, replica choice, retry budget.
 */
#pragma once

#include <cornelspring/net.hpp>
#include <cornelspring/places.hpp>

#include <array>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>

namespace cornelspring {

/** Name of a service. */
using service_name = strong_id<struct service_name_tag, std::string>;
/** Id of a backend server; one that starts again may keep it. */
using backend_id = strong_id<struct backend_id_tag, std::string>;
/** Start of a backend server, in Unix milliseconds: tells its incarnations apart; 0 when it does not say. */
using start_time = strong_id<struct start_time_tag, std::int64_t>;
/** Key of a request within this process. */
using request_key = strong_id<struct request_key_tag, std::uint64_t>;
/** Version of the operators' configuration; grows with every change. */
using config_version = strong_id<struct config_version_tag, std::int64_t>;

// ---- Moving averages ----

/** How much a new sample counts in a moving average over time: the more, the longer ago the last one was. */
struct sample_weight {
    milliseconds time_constant{1000}; ///< Time over which samples are averaged.
    double min_weight = 0.1;          ///< Weight of a sample right after another.
    double max_weight = 0.5;          ///< Weight of one after a long pause.
    /** @return the weight. @param gap time since the sample before. */
    double after(clock::duration gap) const;
};

/** @return what is left of 1 after @p age when half of it goes in each @p half_life. @param age time that has gone.
 *  @param half_life time. */
double decay_factor(clock::duration age, milliseconds half_life);

// ---- Configuration ----

/** What may be repeated. */
enum class route_kind {
    idempotent,    ///< May run more than once.
    non_idempotent ///< Runs at most once for each request.
};

/** One of the services among which a route distributes its requests. */
struct split_target {
    service_name service; ///< Service.
    double weight = 1;    ///< Its share, relative to the other parts.
};

/** How the answers of many shards make up one answer. */
struct gather_spec {
    std::vector<service_name> shards; ///< One service for each shard.
    std::size_t top_k = 10;           ///< Records of the merged answer.
    double min_coverage = 1;          ///< Least share of the shards in a success.
};

/** One route: which requests, where to, and within which time. */
struct route {
    std::string name;                         ///< Operators' name.
    std::string host;                         ///< Host it serves.
    std::string prefix;                       ///< Path prefix; begins and ends with a slash.
    route_kind kind = route_kind::idempotent; ///< What may be repeated.
    milliseconds timeout{1000};               ///< Longest time a caller may be kept waiting.
    milliseconds goal{1000};                  ///< Time within which an answer is worth its full value.
    int priority = 0;                         ///< Rank; 0 is the highest.
    bool highest_priority = true;             ///< No other route over the same shards ranks higher; by serving_config.
    int attempts = 1;                         ///< Most backend servers one request (of one shard) may run on.
    region_set home_regions;                  ///< Regions that may serve it; empty: all.
    std::vector<split_target> split;          ///< Services that share the requests; one for a plain route.
    std::optional<gather_spec> gather;        ///< Set for a route over shards; split is then empty.
};

/** What the configuration says of one service. */
struct service_limits {
    int max_connections = 16; ///< Connections a backend server of it accepts from all VMs together.
    warmup_spec warmup;       ///< Its backend servers while they are cold.
};

/** Limits on what callers may send. */
struct caller_limits {
    std::size_t max_header_bytes = 16384; ///< Start line and headers.
    std::size_t max_body_bytes = 262144;  ///< Body.
    milliseconds header_timeout{3000};    ///< Longest time to send one request.
    milliseconds idle_timeout{15000};     ///< Longest idle time of a kept connection.
};

/** One version of the operators' configuration. Immutable once in force. */
class serving_config {
public:
    /** @param version version. @param routes routes. @param services limits by service. @param limits for callers. */
    serving_config(config_version version, std::vector<route> routes, std::map<service_name, service_limits> services,
                   caller_limits limits);
    /** @return the version. */
    config_version version() const { return m_version; }
    /** @return all routes. */
    std::vector<route> const& routes() const { return m_routes; }
    /** @return the limits for callers. */
    caller_limits const& limits() const { return m_limits; }
    /** @return the connection limit of @p service; a default when it is not named. @param service service. */
    int max_connections(service_name const& service) const;
    /** @return what @p service says of its cold backend servers. @param service service. */
    warmup_spec const& warmup(service_name const& service) const;
    /** @return the regions that may serve all routes of @p host, else those that may serve some; empty: all regions.
     *  @param host host. */
    region_set home_regions_of_host(std::string const& host) const;
    /** @return the lowest connection limit among the services over which routes gather; 0 when none does. */
    int min_gather_connections() const { return m_min_gather_connections; }
    /**
     * @return the route of @p host with the longest prefix that begins @p path, or null.
     * @param host value of the Host header. @param path request target; a query is ignored.
     */
    route const* match(std::string_view host, std::string_view path) const;

private:
    config_version m_version;                                   ///< Version.
    std::vector<route> m_routes;                                ///< Routes.
    std::map<service_name, service_limits> m_services;          ///< Limits by service.
    caller_limits m_limits;                                     ///< For callers.
    int m_min_gather_connections = 0;                           ///< See min_gather_connections().
    std::unordered_map<std::string, std::size_t> m_by_location; ///< Route index by host and prefix.
};

/** The configuration in force; it never goes back to an older version. */
class config_holder {
public:
    /** Puts @p next into force when it is newer. @return whether it was. @param next candidate. */
    bool set_if_newer(std::shared_ptr<serving_config const> next);
    /** @return the configuration in force, or null before the first. */
    std::shared_ptr<serving_config const> const& current() const { return m_current; }

private:
    std::shared_ptr<serving_config const> m_current; ///< In force.
};

// ---- Backend servers ----

/** What a backend server has registered about itself. */
struct backend_registration {
    backend_id id;               ///< Incarnation.
    service_name service;        ///< Service it belongs to.
    endpoint address;            ///< Where it listens.
    domain_name domain;          ///< Failure domain.
    int slots = 1;               ///< Requests it works on at once.
    bool draining = false;       ///< It leaves soon and takes no new work.
    milliseconds warmup_left{0}; ///< How much longer it is slow after its start.
    start_time started_at{};     ///< Its start.
    std::int64_t sequence = 0;   ///< Grows with each entry of one incarnation.
};

/** How one attempt at a backend server ended. */
enum class attempt_status {
    answered,     ///< A whole response of that backend server to that request.
    not_executed, ///< The backend server said that it did not run the request.
    wrong_server, ///< Another incarnation holds the address; it did not run the request.
    not_sent,     ///< No byte of the request was accepted by the peer.
    lost,         ///< Sent, but no usable response: it may have run.
    /** Sent, and the peer closed the connection without a byte of a response: it may have run, and the backend server
     *  may have crashed under it. A reset is not meant: so ends what a backend server has not read, over its limit of
     *  connections or on a kept connection that it forgot. */
    disconnected,
};
/** @return whether a request may have run in an attempt that ended so. @param end the end. */
inline bool may_have_run(attempt_status end)
{
    return end == attempt_status::lost || end == attempt_status::disconnected;
}
/** @return the name of @p end for logs. @param end the end. */
char const* to_string(attempt_status end);

/** What this VM has observed of one backend server. */
class backend_load {
public:
    /** Notes an attempt begun. */
    void on_sent() { ++m_in_flight; }
    /** Notes an attempt cancelled before it ended: its latency is at least the time it ran.
     *  @param ran time it ran. @param now present time. */
    void on_cancelled(std::chrono::microseconds ran, time_point now);
    /** Notes how an attempt ended. @param end how. @param took time it ran. @param now present time. */
    void on_finished(attempt_status end, std::chrono::microseconds took, time_point now);
    /** Notes that an attempt runs longer than usual. @param now present time. */
    void on_stalled(time_point now);
    /** @return attempts that have not ended. */
    int in_flight() const { return m_in_flight; }
    /** @return whether new work should go elsewhere when it can. @param now present time. */
    bool suspect(time_point now) const { return now < m_suspect_until; }
    /** @return end of the suspicion. */
    time_point suspect_until() const { return m_suspect_until; }
    /** @return the expected latency in milliseconds. @param usual latency assumed without samples. @param now present.
     */
    double latency_ms(double usual, time_point now) const;
    /** @return recent share of attempts that were shed or failed, 0 to 1. */
    double failure_rate() const { return m_failure_rate; }

private:
    int m_in_flight = 0;        ///< Attempts not ended.
    int m_strikes = 0;          ///< Failures and stalls in a row.
    double m_latency_ms = 0;    ///< Moving average; 0 before the first sample.
    double m_failure_rate = 0;  ///< Moving average of failures.
    time_point m_sampled_at;    ///< Time of the last sample.
    time_point m_suspect_until; ///< Avoided until then.
};

/** A backend server as this VM knows it. */
struct backend_server {
    backend_registration registration;           ///< What it registered last.
    proximity distance = proximity::same_domain; ///< How far it is.
    server_placement placement;                  ///< What decides which requests may reach it.
    backend_load load;                           ///< What was observed of it.
    std::optional<time_point> draining_since;    ///< When this VM learned that it leaves.
    bool removed = false;                        ///< Its entry was removed: no new work.
    std::optional<time_point> lapsed_until;      ///< Its entry was removed by a store outage; gone at that time.
};

/** Allowance of extra arrivals at one service within a sliding window; this VM's part of a bound over all VMs. */
class retry_budget {
public:
    /** Limits of all services' budgets. */
    struct limits {
        double ratio = 0.2;              ///< Extra arrivals for each request.
        double slack = 50;               ///< Extra arrivals beyond that, over all VMs.
        std::chrono::seconds window{10}; ///< Length of the window.
    };
    /** Counts a request for the service. @param now present time. */
    void on_request(time_point now);
    /**
     * Takes one extra arrival, if the window has room for it.
     * @param bound limits. @param vms VMs that share the slack. @param now present time. @return whether it was taken.
     */
    bool try_consume(limits const& bound, std::size_t vms, time_point now);
    /** @return extra arrivals left in this window. @param bound limits. @param vms sharing VMs. @param now present. */
    double remaining(limits const& bound, std::size_t vms, time_point now);

private:
    /** Counts of one second. */
    struct second_count {
        std::int64_t second = -1; ///< Seconds of the steady clock.
        int requests = 0;         ///< Requests in it.
        int extras = 0;           ///< Extra arrivals in it.
    };
    /** @return the counts of the second of @p now. */
    second_count& at(time_point now);
    std::array<second_count, 16> m_seconds; ///< Ring of seconds; longer than any window in use.
};

/** How often one shard answered the queries of this VM lately, however late: it fails when its backend servers are full
 *  or gone. */
class shard_availability {
public:
    /** Notes how it went for one query. @param answered whether the shard answered. @param now present time. */
    void on_outcome(bool answered, time_point now);
    /** @return share of recent queries that it answered, 0 to 1; 1 when nothing is known. @param now present time. */
    double response_rate(time_point now) const;

private:
    double m_share = 1;      ///< Moving average at the last outcome.
    time_point m_sampled_at; ///< Time of the last outcome.
};

/** The backend servers of one service and what all requests for it share. */
struct service_group {
    service_name name;                                     ///< Service.
    std::vector<std::shared_ptr<backend_server>> backends; ///< Known backend servers.
    retry_budget budget;                                   ///< Extra arrivals allowed.
    shard_availability availability;                       ///< How often it answers, as a shard.
    double average_latency_ms = 20;                        ///< Moving average over its backend servers.
    /** A shard of a request that waits for a backend server with room. */
    struct waiter {
        std::uint64_t request = 0; ///< Request key.
        std::size_t shard = 0;     ///< Shard of the request.
    };
    std::multimap<int, waiter> wait_queue; ///< By route priority, first come first served within one.
};

/** All backend servers known to this VM, by service. */
class backend_registry {
public:
    /** @param place where this VM is. @param lapse_grace how long entries that lapsed in an outage may take to return.
     */
    backend_registry(locality place, milliseconds lapse_grace) : m_place(std::move(place)), m_lapse_grace(lapse_grace)
    {
    }
    /**
     * Takes in an entry. One of an earlier start or of an earlier moment than the entry known is left out: a write that
     * the store carries out late, or a copy that comes late, must not bring back what has ended. A later start is a new
     * backend server of which nothing is known.
     * @param entry entry. @param now present time. @return whether routing changes.
     */
    bool apply(backend_registration const& entry, time_point now);
    /** Takes in the removal of an entry. @param id whose. @param now present time. @return whether it was known. */
    bool remove(backend_id const& id, time_point now);
    /** Notes that the store answers again after an outage; removals seen now may be entries that lapsed. */
    void on_store_recovered(time_point now) { m_lapses_until = now + m_lapse_grace; }
    /** Drops the lapsed entries that did not return in time. @param now present time. @return those dropped. */
    std::vector<backend_id> remove_lapsed(time_point now);
    /** @return backend servers that say that they are cold. @param now present time. */
    std::size_t cold_count(time_point now) const;
    /** @return ids of all entries that are not gone. */
    std::vector<backend_id> ids() const;
    /** @return the group of @p service, made when absent; the reference stays valid. @param service service. */
    service_group& group(service_name const& service);
    /** @return the backend server @p id, or null. @param id id. */
    std::shared_ptr<backend_server> find(backend_id const& id) const;

private:
    /** @return whether @p entry is older than what is known of its backend server. */
    bool outdated(backend_registration const& entry) const;
    /** Ends a backend server: it gets no new work. */
    void retire(std::shared_ptr<backend_server> const& server);

    locality m_place;                                                            ///< Where this VM is.
    milliseconds m_lapse_grace;                                                  ///< Time lapsed entries get.
    time_point m_lapses_until;                                                   ///< Removals until then may be lapses.
    std::unordered_map<std::string, std::unique_ptr<service_group>> m_groups;    ///< By service name.
    std::unordered_map<std::string, std::shared_ptr<backend_server>> m_backends; ///< By id.
    /** The last that was known of a backend server that was removed. */
    struct ended_server {
        start_time started;        ///< Its start.
        std::int64_t sequence = 0; ///< Count of its last entry.
    };
    std::unordered_map<std::string, ended_server> m_ended; ///< Removed ones, by id.
    std::deque<std::string> m_ended_order;                 ///< Their ids, oldest removal first.
};

/** Settings of replica choice. */
struct selection_options {
    double other_region_penalty_ms = 25;     ///< Added to the expected wait at another region: bytes there are dear.
    double other_domain_penalty_ms = 2;      ///< Added at another failure domain of the region.
    double cold_factor = 1.6;                ///< Slowdown of a backend server that has just started.
    double failure_weight = 5;               ///< Weight of the recent failure rate.
    bool by_expected_wait = true;            ///< By expected wait; else by distance alone.
    bool avoid_suspect = true;               ///< Those that failed or stalled are avoided for a while.
    milliseconds draining_last_resort{1000}; ///< A draining one may still be used so long when none else is left.
};

/** Why no attempt was sent. */
enum class selection_failure {
    none,                 ///< One was sent.
    no_backend,           ///< No backend server may get it.
    outside_home_regions, ///< Those that are left are in no home of the request.
    evacuated,            ///< Those that are left are evacuated.
    cold,                 ///< Those that are left are cold, and have got what this VM may send.
    no_room,              ///< All have as many attempts as this VM may send.
    no_budget,            ///< The allowance of extra arrivals is used up.
    no_gain,              ///< A hedge would not bring the answer sooner.
};
/** @return the name of @p miss for logs. @param miss the miss. */
char const* to_string(selection_failure miss);

/** Result of a choice. */
struct selection {
    std::shared_ptr<backend_server> target;              ///< The choice, or null.
    selection_failure failure = selection_failure::none; ///< Why null.
    bool suspect = false;                                ///< The choice is under suspicion; no better one had room.
    double wait_ms = 0;                                  ///< Expected wait there, in milliseconds.
};

/** What a choice goes by besides what was observed of the backend servers. */
struct selection_context {
    selection_options const& options;    ///< Weights.
    placement_rules const& placement;    ///< Which backend servers may be reached at all,
    placement_requirements requirements; ///< by this request.
};

/**
 * Chooses the backend server with the lowest expected wait among those that the request may reach.
 * @param group service. @param tried ids to leave out. @param room most attempts in flight at one backend server.
 * @param scope weights and places. @param random tie breaks. @param now present time.
 * @return the choice.
 */
selection choose_backend(service_group const& group, std::vector<backend_id> const& tried, int room,
                         selection_context const& scope, std::mt19937_64& random, time_point now);

/** @return none when some backend server of @p group may get work, else why not. @param group service. @param scope
 *  weights and places. @param now present time. */
selection_failure unavailability_reason(service_group const& group, selection_context const& scope, time_point now);

} // namespace cornelspring
