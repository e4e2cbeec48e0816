/**
 * @file routing.hpp Routing, without sockets or clock reads: routes, the registry of backend servers with their
 * observed load, replica choice, retry budget.
 */
#pragma once

#include <cornelspring/customers.hpp>
#include <cornelspring/net.hpp>
#include <cornelspring/queueing.hpp>

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
/** Id of a backend server; it may keep its id over a restart. */
using backend_id = strong_id<struct backend_id_tag, std::string>;
/** Start time of a backend server in Unix milliseconds. It distinguishes its incarnations; 0 when not registered. */
using start_time = strong_id<struct start_time_tag, std::int64_t>;
/** Key of a request within this process. */
using request_key = strong_id<struct request_key_tag, std::uint64_t>;
/** Version of the operators' configuration; grows with every change. */
using config_version = strong_id<struct config_version_tag, std::int64_t>;

// ---- Moving averages ----

/** Weight of a new sample in a moving average over time; it grows with the time since the previous sample. */
struct sample_weight {
    milliseconds time_constant{1000}; ///< Time constant of the average.
    double min_weight = 0.1;          ///< Weight of a sample that follows another at once.
    double max_weight = 0.5;          ///< Weight of a sample after a long pause.
    /** @return the weight. @param gap time since the sample before. */
    double after(clock::duration gap) const;
};

/** @return the exponential decay factor after @p age: 1 at age 0, 0.5 after one half-life. @param age elapsed time.
 *  @param half_life half-life. */
double decay_factor(clock::duration age, milliseconds half_life);

// ---- Configuration ----

/** Whether requests may be retried after they may have run. */
enum class route_kind {
    idempotent,    ///< A request may run more than once.
    non_idempotent ///< A request runs at most once.
};

/** One of the services over which a route splits its requests. */
struct split_target {
    service_name service; ///< Service.
    double weight = 1;    ///< Relative share of the requests.
};

/** How the responses of many shards are merged into one. */
struct gather_spec {
    std::vector<service_name> shards; ///< One service for each shard.
    std::size_t top_k = 10;           ///< Records in the merged response.
    double min_coverage = 1;          ///< Lowest share of the shards in a successful response.
};

/** One route: which requests it matches, where they are sent, and their deadline and latency goal. */
struct route {
    std::string name;                         ///< Operators' name.
    std::string host;                         ///< Host it serves.
    std::string prefix;                       ///< Path prefix; begins and ends with a slash.
    route_kind kind = route_kind::idempotent; ///< Whether requests may be retried after they may have run.
    milliseconds timeout{1000};               ///< Longest deadline of a caller.
    milliseconds goal{1000};                  ///< Latency goal: time within which a response has its full value.
    int priority = 0;                         ///< Priority; 0 is the highest.
    bool highest_priority = true;      ///< No route over the same shards has a higher priority; set by serving_config.
    int attempts = 1;                  ///< Most attempts of one request, per shard.
    bool needs_key = true;             ///< Its requests need an API key, if customers are configured.
    region_set home_region_set;        ///< Regions that may serve it; empty: all.
    std::vector<split_target> split;   ///< Services that share the requests; one entry for a route to one service.
    std::optional<gather_spec> gather; ///< Set for a route over shards; split is then empty.
};

/** Configuration of one service. */
struct service_limits {
    int max_connections = 16; ///< Connections that one backend server accepts from all VMs together.
    warmup_spec warmup;       ///< Warm-up of its backend servers.
};

/** Limits on what callers may send. */
struct caller_limits {
    std::size_t max_header_bytes = 16384; ///< Start line and headers.
    std::size_t max_body_bytes = 262144;  ///< Body.
    milliseconds header_timeout{3000};    ///< Longest time to send one request.
    milliseconds idle_timeout{15000};     ///< Longest idle time of a keep-alive connection.
};

/** One version of the operators' configuration. Immutable once in force. */
class serving_config {
public:
    /** @param version version. @param routes routes. @param services limits by service. @param limits for callers.
     *  @param customers customers; none: requests need no key. */
    serving_config(config_version version, std::vector<route> routes, std::map<service_name, service_limits> services,
                   caller_limits limits, customer_directory customers = {});
    /** @return the version. */
    config_version version() const { return m_version; }
    /** @return all routes. */
    std::vector<route> const& routes() const { return m_routes; }
    /** @return the limits for callers. */
    caller_limits const& limits() const { return m_limits; }
    /** @return the customers. */
    customer_directory const& customers() const { return m_customers; }
    /** @return the connection limit of @p service; a default when it is not configured. @param service service. */
    int max_connections(service_name const& service) const;
    /** @return the warm-up of the backend servers of @p service. @param service service. */
    warmup_spec const& warmup(service_name const& service) const;
    /** @return the regions that are home regions of every route of @p host with home regions. If there is no such
     *  region, those that are a home region of at least one. Empty: all regions. @param host host. */
    region_set home_region_set_of_host(std::string const& host) const;
    /** @return the lowest connection limit among the shards of all gathers; 0 when no route gathers. */
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
    customer_directory m_customers;                             ///< Customers.
    int m_min_gather_connections = 0;                           ///< See min_gather_connections().
    std::unordered_map<std::string, std::size_t> m_by_location; ///< Route index by host and prefix.
};

/** Holds the configuration in force; an older version never replaces a newer one. */
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

/** Registration of a backend server: what it writes about itself into the store. */
struct backend_registration {
    backend_id id;               ///< Id of the backend server.
    service_name service;        ///< Service it belongs to.
    endpoint address;            ///< Where it listens.
    domain_name domain;          ///< Failure domain.
    int slots = 1;               ///< Requests that it runs concurrently.
    bool draining = false;       ///< It stops soon and accepts no new attempts.
    milliseconds warmup_left{0}; ///< Remaining time of its warm-up.
    start_time started_at{};     ///< Its start time.
    std::int64_t sequence = 0;   ///< Grows with each registration that one incarnation writes.
};

/** Outcome of one attempt at a backend server. */
enum class attempt_status {
    answered,     ///< A complete response of that backend server to that request.
    not_executed, ///< The backend server reported that it did not run the request.
    wrong_server, ///< Another incarnation has the address; it did not run the request.
    not_sent,     ///< No byte of the request was accepted by the peer.
    lost,         ///< Sent, but the response cannot be used: it may have run.
    /** Sent, and the backend server closed the connection, broke off its response, or sent bytes that are none: the
     *  request may have run and crashed it. */
    disconnected,
    /** Sent, and the connection was reset before any byte of a response. The request may have run and crashed the
     *  backend server, or was not read: above its limit of connections, or on a connection that it has dropped. */
    reset,
};
/** @return whether the request may have run in an attempt with this outcome. @param end outcome. */
inline bool may_have_run(attempt_status end)
{
    return end == attempt_status::lost || end == attempt_status::disconnected || end == attempt_status::reset;
}
/** @return the name of @p end for logs. @param end outcome. */
char const* to_string(attempt_status end);

/** Load, latency and failures of one backend server as observed by this VM. */
class backend_load {
public:
    /** Records a started attempt. */
    void on_sent() { ++m_in_flight; }
    /** Records an attempt that was canceled in flight: its latency is at least the time it ran.
     *  @param ran time it ran. @param now current time. */
    void on_canceled(std::chrono::microseconds ran, time_point now);
    /** Records a finished attempt. @param end outcome. @param took time it ran. @param now current time. */
    void on_finished(attempt_status end, std::chrono::microseconds took, time_point now);
    /** Records that an attempt takes longer than usual. @param now current time. */
    void on_stalled(time_point now);
    /** @return attempts in flight. */
    int in_flight() const { return m_in_flight; }
    /** @return whether new attempts avoid this backend server when another one has room. @param now current time. */
    bool suspect(time_point now) const { return now < m_suspect_until; }
    /** @return the time until which it is suspect. */
    time_point suspect_until() const { return m_suspect_until; }
    /** @return the expected latency in milliseconds. @param usual latency assumed without samples. @param now current
     *  time. */
    double latency_ms(double usual, time_point now) const;
    /** @return the recent share of attempts that were shed or failed, 0 to 1. */
    double failure_rate() const { return m_failure_rate; }

private:
    int m_in_flight = 0;            ///< Attempts in flight.
    int m_consecutive_failures = 0; ///< Failures and stalls in a row.
    double m_latency_ms = 0;        ///< Moving average; 0 before the first sample.
    double m_failure_rate = 0;      ///< Moving average of failures.
    time_point m_sampled_at;        ///< Time of the last sample.
    time_point m_suspect_until;     ///< It is suspect until then.
};

/** A backend server in this VM's registry. */
struct backend_server {
    backend_registration registration;           ///< Its last registration.
    proximity distance = proximity::same_domain; ///< Its distance from this VM.
    std::uint64_t affinity = 0;                  ///< Order among servers at the same distance, different on each VM.
    std::size_t preference_rank = 0; ///< Rank in its service by distance, then affinity; 0 is preferred most.
    server_placement placement;      ///< Input of the placement rules.
    backend_load load;               ///< Observed load, latency and failures.
    double shared_failure_rate = 0;  ///< Share of the attempts of all VMs that fail there, 0 to 1.
    double shared_slowness = 1;      ///< Latency relative to the median of its service, as all VMs observe it.
    time_point sent_at;              ///< Time of this VM's last attempt there while the shared load was in force.
    double turn = 0;                 ///< Its place in the weighted turns of the servers of its service.
    std::optional<time_point> draining_since; ///< When this VM was notified that it is draining.
    bool removed = false;                     ///< Its registration was removed: no new attempts.
    std::optional<time_point> lapsed_until; ///< Its registration lapsed in a store outage; it is removed at that time.
};

/** Limit on the extra attempts at one service within a sliding window; this VM's part of a limit over all VMs. */
class retry_budget {
public:
    /** Limits of all services' budgets. */
    struct limits {
        double ratio = 0.2;              ///< Extra attempts per request.
        double slack = 50;               ///< Further extra attempts, over all VMs.
        std::chrono::seconds window{10}; ///< Length of the window.
    };
    /** Counts a request for the service. @param now current time. */
    void on_request(time_point now);
    /**
     * Consumes one extra attempt if the window has one left.
     * @param bound limits. @param vms VMs that share the slack. @param now current time. @return whether it was
     * consumed.
     */
    bool try_consume(limits const& bound, std::size_t vms, time_point now);
    /** @return extra attempts left in this window. @param bound limits. @param vms VMs that share the slack. @param now
     *  current time. */
    double remaining(limits const& bound, std::size_t vms, time_point now);

private:
    /** Counts of one second. */
    struct second_count {
        std::int64_t second = -1; ///< Seconds of the steady clock.
        int requests = 0;         ///< Requests in it.
        int extras = 0;           ///< Extra attempts in it.
    };
    /** @return the counts of the second that contains @p now. @param now current time. */
    second_count& at(time_point now);
    std::array<second_count, 16> m_seconds; ///< Ring buffer of seconds; longer than any window in use.
};

/** Recent share of this VM's queries to which one shard responded, including late responses. It drops when the shard's
 * backend servers are full or removed. */
class shard_availability {
public:
    /** Records the outcome of one query. @param answered whether the shard responded. @param now current time. */
    void on_outcome(bool answered, time_point now);
    /** @return the share of recent queries with a response, 0 to 1; 1 without outcomes. @param now current time. */
    double response_rate(time_point now) const;

private:
    double m_share = 1;      ///< Moving average at the last outcome.
    time_point m_sampled_at; ///< Time of the last outcome.
};

/** The backend servers of one service and the state that all requests for it share. */
struct service_group {
    service_name name;                                     ///< Service.
    std::vector<std::shared_ptr<backend_server>> backends; ///< Known backend servers.
    retry_budget budget;                                   ///< Limit on extra attempts.
    shard_availability availability;                       ///< Share of queries with a response, when it is a shard.
    double average_latency_ms = 20;                        ///< Moving average of the latency over its backend servers.
    double reference_ms = 0; ///< Moving average of the latency of its fastest servers in this VM's region; 0: unknown.
    double turn = 0;         ///< Place in the weighted turns of the server that was last chosen.
    time_point probed_at;    ///< When this VM last sent an attempt to a slow server in order to measure it.
    /** @return the least backend_server::shared_slowness of its backend servers; 1 without any. */
    double least_slowness() const;
    /** Updates reference_ms. @param server backend server that answered. @param took_ms latency in milliseconds. */
    void on_latency(backend_server const& server, double took_ms);
    shard_queue wait_queue; ///< Shards that wait for a backend server with room.
};

/** All backend servers known to this VM, by service. */
class backend_registry {
public:
    /** @param where locality of this VM. @param lapse_grace time within which registrations that lapsed in a store
     * outage may return. @param seed seed of the servers' affinity to this VM. */
    backend_registry(locality where, milliseconds lapse_grace, std::uint64_t seed = 0)
        : m_locality(std::move(where)), m_lapse_grace(lapse_grace), m_seed(seed)
    {
    }
    /**
     * Applies a registration. One of an earlier start, or with a lower sequence than the last one applied, is ignored:
     * a write that the store applies late, or an outdated copy, must not bring back a backend server that was removed.
     * A later start makes a new backend server without observations.
     * @param registration registration. @param now current time. @return whether routing changes.
     */
    bool apply(backend_registration const& registration, time_point now);
    /** Applies the removal of a registration. @param id backend server. @param now current time. @return whether it was
     *  known. */
    bool remove(backend_id const& id, time_point now);
    /** Records that the store responds again after an outage: removals received in the time after it may be lapsed
     *  registrations. @param now current time. */
    void on_store_recovered(time_point now) { m_lapses_until = now + m_lapse_grace; }
    /** Removes the lapsed registrations that did not return in time, for good: a store that is lost and regained again
     *  and again would otherwise keep servers in use that have left. @param now current time. @return those removed. */
    std::vector<backend_id> remove_lapsed(time_point now);
    /** @return the number of backend servers in their warm-up by their own report. @param now current time. */
    std::size_t cold_count(time_point now) const;
    /** @return the ids of all backend servers that are not removed. */
    std::vector<backend_id> ids() const;
    /** @return the group of @p service, created when absent; the reference stays valid. @param service service. */
    service_group& group(service_name const& service);
    /** @return the backend server @p id, or null. @param id id. */
    std::shared_ptr<backend_server> find(backend_id const& id) const;

private:
    /** @return whether @p registration is older than the last registration of its backend server. @param registration
     * registration.
     */
    bool outdated(backend_registration const& registration) const;
    /** Sets the preference ranks of the servers of @p group. @param group service. */
    static void rank_by_preference(service_group& group);
    /** Forgets a backend server, but for its last registration. @param known its place in m_backends. */
    void drop(std::unordered_map<std::string, std::shared_ptr<backend_server>>::iterator known);
    /** Removes a backend server from its group: it gets no new attempts. @param server backend server. */
    void retire(std::shared_ptr<backend_server> const& server);

    locality m_locality;        ///< Locality of this VM.
    milliseconds m_lapse_grace; ///< Time within which lapsed registrations may return.
    std::uint64_t m_seed;       ///< Seed of the servers' affinity to this VM.
    time_point m_lapses_until;  ///< Removals until then may be lapses.
    std::unordered_map<std::string, std::unique_ptr<service_group>> m_groups;    ///< By service name.
    std::unordered_map<std::string, std::shared_ptr<backend_server>> m_backends; ///< By id.
    /** Last registration of a removed backend server. */
    struct removed_server {
        start_time started;        ///< Its start time.
        std::int64_t sequence = 0; ///< Sequence of its last registration.
    };
    std::unordered_map<std::string, removed_server> m_removed; ///< Removed backend servers, by id.
    std::deque<std::string> m_removal_order;                   ///< Their ids, oldest removal first.
};

/** What this VM knows of the load of backend servers as all VMs observe it (backend_server::shared_slowness). */
struct shared_load_state {
    /** Fewest active VMs with which it is used. Fewer of them see enough of each server by themselves. */
    static constexpr std::size_t min_vms = 10;
    bool in_force = false;         ///< Replica choice uses it.
    std::size_t vms_in_region = 1; ///< Active VMs in this VM's region, itself included.
    time_point informed_at;        ///< When the collector last responded.
    /** @return the weight of the shared knowledge against this VM's own measurements: 1 while it is current; decreases
     *  to 0 within 3 s after the last response of the collector. @param now current time. */
    double weight(time_point now) const;
};

/** Settings of replica choice. */
struct selection_options {
    double other_region_penalty_ms =
        25; ///< Added to the expected wait in another region: traffic between regions is costly.
    double other_domain_penalty_ms = 2; ///< Added to the expected wait in another failure domain of the region.
    /** Replicas of a shard that this VM prefers, the nearest ones. With twenty replicas of each of some hundred shards,
     *  a VM that uses all of them keeps a connection to each, and sees each too seldom to learn which ones are slow. */
    std::size_t preferred_replicas = 4;
    double other_replica_penalty_ms = 5;     ///< Added to the expected wait at the others: about a new connection.
    double cold_factor = 1.6;                ///< Slowdown of a cold backend server.
    double failure_weight = 5;               ///< Weight of the recent failure rate.
    bool by_expected_wait = true;            ///< Choose by expected wait; else by distance only.
    bool shared_failures = true;             ///< Count the failures that other VMs observe.
    bool shared_load = true;                 ///< Use the latencies that other VMs observe.
    bool avoid_suspect = true;               ///< Avoid backend servers that failed or stalled recently.
    milliseconds draining_last_resort{1000}; ///< How long a draining one may be used when no other is left.
};

/** Why no attempt was sent. */
enum class selection_failure {
    none,                ///< One was sent.
    no_backend,          ///< No backend server is usable.
    outside_home_region, ///< The usable ones are outside the request's home regions.
    evacuated,           ///< The usable ones are in evacuated failure domains.
    cold,                ///< The usable ones are cold, and this VM's quota for them is used up.
    no_room,             ///< All have as many attempts in flight as this VM may have.
    no_budget,           ///< The retry budget is used up.
    no_gain,             ///< A hedge would not give an earlier response.
};
/** @return the name of @p miss for logs. @param miss the reason. */
char const* to_string(selection_failure miss);

/** Result of replica choice. */
struct selection {
    std::shared_ptr<backend_server> target;              ///< The chosen backend server, or null.
    selection_failure failure = selection_failure::none; ///< Why the target is null.
    bool suspect = false; ///< The chosen one is suspect or draining; no better one had room.
    double wait_ms = 0;   ///< Expected wait there, in milliseconds.
    double turn_step = 0; ///< Step of the target in the weighted turns; 0 if it was not chosen in turn.
    bool probe = false;   ///< The target is slow and was chosen to measure it.
};

/** Input of replica choice besides the observed load of the backend servers. */
struct selection_context {
    selection_options const& options;    ///< Weights.
    placement_rules const& placement;    ///< Which backend servers the request may be sent to.
    placement_requirements requirements; ///< What the rules need of the request.
    std::size_t preferred = std::numeric_limits<std::size_t>::max(); ///< Number of servers that are preferred.
    shared_load_state shared{};                                      ///< What is known of the load of all VMs.
};

/**
 * Chooses the backend server with the lowest expected wait among those that the request may be sent to. While the
 * shared load is in force, servers that are nearly as fast are used in turn, in proportion to their speed, so that VMs
 * with the same knowledge do not all choose the same server. A slow server of this VM's region gets a first attempt now
 * and then, so that the VMs together notice when it has recovered.
 * @param group service. @param tried ids to exclude. @param room most attempts in flight at one backend server.
 * @param context weights, placement rules and what they need of the request. @param random breaks ties. @param now
 * current time.
 * @return the choice.
 */
selection choose_backend(service_group const& group, std::vector<backend_id> const& tried, int room,
                         selection_context const& context, std::mt19937_64& random, time_point now);

/** Records that an attempt was sent to the chosen backend server; takes its turn. @param group service. @param chosen
 *  choice. @param now current time. */
void record_choice(service_group& group, selection const& chosen, time_point now);

/** @return none when some backend server of @p group may get an attempt, else why not. @param group service.
 *  @param context weights, placement rules and what they need of the request. @param now current time. */
selection_failure unavailability_reason(service_group const& group, selection_context const& context, time_point now);

} // namespace cornelspring
