/**
 * @file dispatch.hpp Processing of a request over its shards, without sockets or clock reads: admission, attempts,
 * hedges and retries, merging, and when the response is sent.
 */
#pragma once

#include <cornelspring/admission.hpp>
#include <cornelspring/quarantine.hpp>
#include <cornelspring/quota.hpp>
#include <cornelspring/routing.hpp>

namespace cornelspring {

// ---- Admission ----

/** Outcome of admission control for one query, with its inputs for the log. */
struct admission_decision {
    bool admitted = true; ///< The query may start.
    double wait_ms = 0;   ///< Current wait until half of a query's shards have responded.
    double share = 1;     ///< Share of such queries that is admitted.
};

/** Properties of a query that admission control decides about. */
struct admission_request {
    milliseconds goal{1000};      ///< Latency goal of its route.
    time_point started_at;        ///< When it started.
    bool highest_priority = true; ///< No route over the same shards has a higher priority than its route.
    bool retried = false;         ///< Its caller has sent it before, judging by the time already spent.
    double max_share = 1;         ///< Upper bound on the admitted share, from coverable_share().
};

/**
 * @return the share of queries that can reach their minimum coverage, estimated from the shards that respond least
 * often. Admission by wait time does not notice when more shards are overloaded or down than a query may leave out
 * while the other shards are healthy: half of the shards still respond quickly, so all queries are admitted, and those
 * that fail use capacity that the others need. With this bound, the excess queries are rejected on arrival, before any
 * attempt is sent, with a Retry-After header.
 * @param response_rates share of recent requests to which each shard responded. @param needed number of shards that a
 * successful response needs.
 */
double coverable_share(std::vector<double> response_rates, std::size_t needed);

/**
 * Load shedding for the queries over one set of shards: admits a share of them when the load exceeds what the backend
 * servers or this VM can handle, for example many users at once, callers that retry, or all VMs restarting together.
 * Without it, every query waits in the queues of the backend servers and all responses are late.
 * The share decreases as the measured wait grows. The wait is the time until half of a query's shards have responded,
 * compared to its usual value and to the latency goal. A few slow or failed backend servers do not affect it, as their
 * shards are not among the first half to respond.
 * A share works with any number of VMs, whereas a limit on the open queries of each VM cannot go below one: seven VMs
 * with four open queries each already cause queues longer than callers of high priority can wait.
 */
class admission_control {
public:
    /** Decides whether a query may start. on_half_responded() or on_finished() must follow when it is admitted.
     *  @return the decision and its inputs. @param request query. @param draw random number from 0 to 1.
     *  @param now current time. */
    admission_decision admit(admission_request const& request, double draw, time_point now);
    /** Half of a query's shards have responded. @param started_at when the query started. @param now current time. */
    void on_half_responded(time_point started_at, time_point now);
    /** A query finished before half of its shards had responded. @param started_at when the query started. */
    void on_finished(time_point started_at);
    /** @return whether queries queue at the backend servers, relative to @p goal. @param goal latency goal.
     *  @param now current time. */
    bool congested(milliseconds goal, time_point now) const;

private:
    /** @return the current wait until half of a query's shards have responded. */
    double wait_ms(time_point now) const;
    /** @return the wait in excess of the usual wait, divided by the time between the usual wait and the goal. */
    double queue_load(milliseconds goal, time_point now) const;
    /** @return the share of queries like @p request that is admitted. */
    double admitted_share(admission_request const& request, time_point now);

    double m_wait_ms = 0;                                        ///< Moving average of the wait.
    double m_usual_ms = std::numeric_limits<double>::infinity(); ///< Usual wait, without a queue.
    double m_highest_priority_share = 1; ///< Admitted share of the queries of highest priority, as last computed.
    double m_gap_ms = 0;                 ///< Average time between two queries.
    time_point m_last_query_at;          ///< Time of the last query.
    time_point m_last_sample_at;         ///< Time of the last sample of the wait.
    std::multiset<time_point> m_pending; ///< Start times of queries waiting for half of their shards.
};

// ---- Merging records ----

/** Size in bytes of one record in a shard's response. */
inline constexpr std::size_t record_size = 16;
/**
 * @return the greatest @p top_k records of all @p bodies, greatest first, compared byte by byte. Duplicates are kept.
 * @param bodies bodies of the shard responses; a trailing part shorter than a record is ignored.
 * @param top_k maximum number of records to return.
 */
std::string merge_records(std::vector<std::string_view> const& bodies, std::size_t top_k);

// ---- Pre-connect ----

/**
 * @return backend servers of the shards of gather routes to which this VM should open a connection before a request
 * needs it. Nearer servers come first. Servers at the same distance are in random order, so that VMs do not all connect
 * to the same one at once.
 * Pre-connecting speeds up the first queries after a start, a reshard or an idle period, and hedges to servers that
 * rarely receive one. Opening a connection takes two round trips and the server's handshake, which is most of the time
 * that a caller of high priority waits.
 * @param config configuration. @param registry backend servers. @param placement placement rules.
 * @param max_replicas most servers of a shard; the nearest ones. @param connected returns whether there is a connection
 * to a server. @param random random source for the order. @param now current time.
 */
std::vector<std::shared_ptr<backend_server>>
backends_to_preconnect(serving_config const& config, backend_registry& registry, placement_rules const& placement,
                       std::size_t max_replicas,
                       std::function<bool(std::shared_ptr<backend_server> const&)> const& connected,
                       std::mt19937_64& random, time_point now);

// ---- One request ----

/** Lower-case names of the headers that carry a request's context, set by the platform adapter. */
struct header_names {
    std::string request_id;      ///< Id of one send of a request by its caller.
    std::string deadline;        ///< Milliseconds that the sender waits for the response.
    std::string target_backend;  ///< Id of the backend server that the request is meant for.
    std::string signature;       ///< A backend server's signature of its response.
    std::string not_executed;    ///< Set by a backend server that did not run the request.
    std::string warmup_left;     ///< Remaining warm-up time of a backend server in milliseconds.
    std::string part_signatures; ///< Signatures of the shard responses in a merged response.
    std::string customer;        ///< Name of the customer that holds the request's API key.
    std::string missing_parts;   ///< Number of shards missing from a merged response.
};

/** Id of an attempt, unique within this process. */
using attempt_id = strong_id<struct attempt_id_tag, std::uint64_t>;
/** Id of a connection to a backend server, unique within this process; 0: none. */
using connection_id = strong_id<struct connection_id_tag, std::uint64_t>;

/** An attempt to send to a backend server. */
struct outgoing_attempt {
    attempt_id id;                          ///< Id for on_result() and dispatcher_hooks::cancel.
    std::shared_ptr<backend_server> target; ///< Backend server to send it to.
    std::string head;                       ///< Start line and headers, except for the deadline header.
    std::string body;                       ///< Body.
    time_point caller_deadline; ///< Deadline of the caller, sent to the backend server as the remaining time.
    std::string request_id;     ///< The caller's request id, which the response must repeat.
    bool head_request = false;  ///< HEAD request, so the response has no body.
    bool idempotent = true;     ///< Its route is idempotent, so it may use an idle connection that may be closed.
    /** Connections that have carried an attempt of the same request for the same shard. It is not sent on these: a
     *  response to the earlier attempt that the backend server repeats late has the request id expected here. */
    std::vector<connection_id> used_connections;
    bool needs_new_connection = false; ///< It is not sent on a connection that was open before.
};

/** Result of an attempt. */
struct attempt_result {
    attempt_status outcome = attempt_status::lost; ///< Outcome.
    http_response response;                        ///< The response, if the outcome is answered or not_executed.
    std::string detail;                            ///< Cause of a failure, for logs.
    connection_id connection{};                    ///< Connection that it was sent on.
    bool new_connection = false;                   ///< That connection was opened for it.
};

/** Time that a request spends outside the dispatcher: waiting to be read, and on the network. */
struct request_timing {
    clock::duration max_unread{0}; ///< Upper bound on the time that it was unread at this VM.
    clock::duration round_trip{0}; ///< Network time of request and response together; 0 if unknown.
    clock::duration quota_wait{0}; ///< Time that it waited for a token of its customer's quota.
};

/** Outcome of a request, for logs and metrics. */
struct request_summary {
    std::string request_id;                ///< The caller's id of the request.
    std::string route_name;                ///< Route, or empty if none matched.
    customer_name customer;                ///< Holder of its API key; empty if none.
    milliseconds quota_wait{0};            ///< Time that it waited for a token of its customer's quota.
    quota_limit quota;                     ///< Limit of its customer, if it was rejected for it.
    bool quota_isolated = false;           ///< No keeper of its customer's quota could be asked.
    config_version version;                ///< Configuration that it was handled with.
    int status = 0;                        ///< HTTP status of the response; 0 if the caller disconnected.
    char const* reason = "";               ///< Reason for the outcome, one word.
    std::size_t shards = 0;                ///< Number of shards of the request.
    std::size_t shards_answered = 0;       ///< Number of shards in the response.
    int attempts = 0;                      ///< Number of attempts.
    int hedges = 0;                        ///< Number of hedges among the attempts.
    int retries = 0;                       ///< Number of retries among the attempts.
    std::chrono::microseconds duration{0}; ///< Time from arrival to response.
    milliseconds caller_time_spent{0};     ///< Caller's time until its request was read, plus network time.
    int failed_attempts = 0;               ///< Number of failed attempts.
    int disconnects = 0;                   ///< Failed attempts for which the backend server closed the connection.
    int unanswered = 0;                    ///< Failed attempts that may have run, these included.
    request_digest digest;                 ///< Digest of the request, the same for its repetitions; empty until set.
    caller_address caller;                 ///< Address of the caller.
    bool sequential = false;               ///< Its attempts were sent one at a time.
    std::string request_line;              ///< Method, host and path, truncated; set with the digest.
    std::string failure_details;           ///< Backend server, cause and connection of the first failed attempts.
    std::string extra_attempts;           ///< Targets of the first hedges and retries, with the inputs of their choice.
    int hedges_denied = 0;                ///< Number of hedges that were due and not sent.
    char const* hedge_denied_reason = ""; ///< Reason why the last of these was not sent.
    double admission_wait_ms = 0;         ///< admission_decision::wait_ms; 0 if admission was not checked.
    double admitted_share = 1;            ///< Share of such queries that admission control admitted.
    admission_rank rank;                  ///< Rank in fleet-wide admission control.
    std::uint64_t share_epoch = 0;        ///< Collector that computed the share; 0 if this VM decided by itself.
    std::uint64_t share_sequence = 0;     ///< Computation of that collector.
    double coverable_share = 1;           ///< Result of coverable_share(), an upper bound on admitted_share.
    int no_home = 0;                      ///< Failed choices of a server: none was left in the home regions.
    int evacuated = 0;                    ///< Failed choices: all remaining servers were evacuated.
    int cold = 0;                         ///< Failed choices: the remaining servers were at their warm-up limit.
};

/** Callbacks of the dispatcher. */
struct dispatcher_hooks {
    std::function<void(outgoing_attempt)> send;              ///< Sends an attempt; dispatcher::on_result() follows.
    std::function<void(attempt_id)> cancel;                  ///< Cancels an attempt; a later result is ignored.
    std::function<void(request_key, http_response)> respond; ///< Sends the response to a caller.
    std::function<void(request_summary const&)> on_finished; ///< Called when a request has finished.
    /** Claims the only trial in the fleet of a request that crashes backend servers; dispatcher::on_trial_claimed()
     *  follows, not during this call. May be empty: then each VM tries it on its own. */
    std::function<void(request_digest const&)> claim_trial;
    /** Called when an attempt has finished. May be empty. */
    std::function<void(backend_server const&, bool failed)> on_attempt_finished;
    /** Called with the latency of an attempt that was answered, or that was canceled after more than the usual latency
     *  of its service, both in milliseconds. May be empty. */
    std::function<void(backend_server const&, double took_ms, double usual_ms)> on_latency;
};

/** Settings of the dispatcher. */
struct dispatcher_options {
    header_names names;           ///< Header names.
    retry_budget::limits budget;  ///< Limits of the retry budget for extra attempts.
    selection_options selection;  ///< Replica choice.
    double hedge_quantile = 0.92; ///< Hedge a shard that is slower than this quantile of recent latencies.
    /** Minimum hedge delay. With a shorter one, most hedges would be wasted: the first attempt responds too. */
    milliseconds hedge_min{5};
    double hedge_goal_share = 0.4; ///< Maximum hedge delay, as a share of the route's latency goal.
    /** A response is sent this long before its latency goal, in addition to the caller's time already spent and the
     *  network time, so that it arrives in time. It covers scheduling delays before reads and before writes, as the
     *  process has only a quarter of a core. */
    milliseconds answer_margin{11};
    /** The same margin as a share of the goal; the larger of the two applies. With a longer goal, fewer shards respond
     *  in its last milliseconds. */
    double answer_margin_share = 0.05;
    bool caller_time = true; ///< Send responses earlier by the caller's time already spent and the network time.
    /** How long an attempt that is no longer needed may run on, to detect when its backend server recovers. */
    milliseconds observation_time{300};
    /** Share of a backend server's connections that all VMs use together. The connections of a VM that lost power stay
     *  open at the backend server; the remaining share lets the VMs reconnect after a restart. */
    double connection_share = 0.6;
    /** Minimum Retry-After of rejected requests. The value is random between it and twice it. */
    double retry_after_s = 0.3;
    double overload_retry_min = 0.08; ///< Minimum Retry-After after overload, as a share of the caller's time left.
    double overload_retry_max = 0.3;  ///< Its maximum; a caller waits at most a third of its time for a retry.
    bool admission = true;            ///< Reject queries by the measured wait.
    bool by_priority = true;          ///< Admit queries of the highest priority first.
    bool retries_last = true;         ///< Admit retries of callers last.
    bool hedging = true;              ///< Hedge slow shards.
    bool hedge_pause = true;     ///< Postpone a hedge that is due late until the responses received meanwhile are read.
    bool hedge_check = true;     ///< While congested, hedge only to backend servers that are expected to be faster.
    bool early_answer = true;    ///< Send a response with the shards received so far in time for the goal.
    bool by_coverage = true;     ///< Limit the admitted share by coverable_share() too.
    bool fair_queues = true;     ///< Serve waiting shards by customer and due time, not in order of arrival.
    bool peer_access = true;     ///< Accept calls between gateways only from known gateways.
    bool fleet_admission = true; ///< Admit queries by the shares that a collector computes for all VMs.
};

/** A mechanism that can be disabled to measure its effect. */
struct feature_toggle {
    std::string name;                                 ///< Name in the settings.
    std::string help;                                 ///< Description.
    std::function<void(dispatcher_options&)> disable; ///< Disables it.
};
/** @return all mechanisms that can be disabled. */
std::vector<feature_toggle> const& feature_toggles();
/** @return names and descriptions of these mechanisms, for the help text of the setting. */
std::string feature_toggles_help();
/** Disables a mechanism. @param options options to change. @param mechanism its name. @throw error bad_settings if
 *  there is none of that name. */
void disable_feature(dispatcher_options& options, std::string const& mechanism);

/** Window of recent durations, from which a quantile is computed. */
class duration_window {
public:
    /** Sizes of a window. */
    struct sizes {
        std::size_t capacity = 1024;     ///< Number of samples kept.
        std::size_t min_samples = 32;    ///< Number of samples needed for a quantile.
        std::size_t refresh_after = 128; ///< The quantile is computed again after this many samples.
    };
    /** Creates a window of the default sizes, for latencies. */
    duration_window() = default;
    /** Creates a window. @param of sizes. */
    explicit duration_window(sizes of) : m_sizes(of) {}
    /** Adds a sample. @param time duration. */
    void add(std::chrono::microseconds time);
    /** @return the number of samples in the window. */
    std::size_t count() const { return m_samples.size(); }
    /** @return the @p quantile of the window, or nothing if there are too few samples. @param quantile 0 to 1. */
    std::optional<std::chrono::microseconds> quantile(double quantile);

private:
    sizes m_sizes;                                     ///< Sizes.
    std::vector<std::chrono::microseconds> m_samples;  ///< Ring buffer of samples.
    std::size_t m_next = 0;                            ///< Index of the oldest sample once the ring buffer is full.
    std::size_t m_since_sort = 0;                      ///< Samples added since m_cached was computed.
    std::optional<std::chrono::microseconds> m_cached; ///< Quantile as last computed.
};

/**
 * Processes requests: chooses their route and backend servers, sends attempts, hedges and retries within the retry
 * budget, merges the responses of shards, and sends each caller exactly one response. The hooks must not call back into
 * the dispatcher.
 */
class dispatcher {
public:
    /** @param options settings. @param configs configuration in force. @param registry backend servers.
     *  @param placement placement rules. @param quarantine requests that crash backend servers. @param quotas use of
     *  customers' quotas. @param hooks callbacks. @param seed random seed. */
    dispatcher(dispatcher_options options, config_holder const& configs, backend_registry& registry,
               placement_rules const& placement, request_quarantine& quarantine, quota_usage& quotas,
               dispatcher_hooks hooks, std::uint64_t seed);
    ~dispatcher();
    /** Handles a complete request. @param key unused key for it. @param message as received. @param timing its time
     *  outside the dispatcher. @param caller address of the caller. @param now current time. */
    void start(request_key key, http_request message, request_timing timing, caller_address caller, time_point now);
    /** The caller has disconnected. Cancels all attempts of its request. @param key request.
     *  @param now current time. */
    void on_caller_disconnected(request_key key, time_point now);
    /** Handles the result of an attempt. @param id attempt. @param result result. @param now current time. */
    void on_result(attempt_id id, attempt_result result, time_point now);
    /** The quota of a customer was decided: decides again about its requests that wait. @param name customer.
     *  @param now current time. */
    void on_quota_decided(customer_name const& name, time_point now);
    /** The trial of a request was claimed: starts the request that waits for it, or rejects it. @param digest request.
     *  @param granted whether no other VM has claimed it. @param now current time. */
    void on_trial_claimed(request_digest const& digest, bool granted, time_point now);
    /** Runs all timers that are due. @param now current time. */
    void on_timer(time_point now);
    /** @return when on_timer() must be called next, or nothing if no timer is set. */
    std::optional<time_point> next_due() const;
    /** @return the number of requests without a response. */
    std::size_t open_requests() const;
    /** Sets the number of VMs that share retry budgets and connections. @param vms at least 1. */
    void set_vm_count(std::size_t vms);
    /** Sets what is known of the load of backend servers as all VMs observe it. @param state state. */
    void set_shared_load(shared_load_state const& state);
    /** The process was paused: the time counts for deadlines, but not as a wait at the backend servers.
     *  @param length length of the pause. */
    void on_process_paused(clock::duration length);
    /** @return the demand of this VM and the shares that it applies, for the calls to the collector. */
    demand_log& demand();
    /** Rejects new requests from now on, as this process stops before they could finish. */
    void reject_new_requests();
    /** Finishes every open request now. The response says so if the request has certainly not run.
     *  @param now current time. */
    void finish_all(time_point now);

    /** Private state, defined in the source files. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Requests and attempts.
};

} // namespace cornelspring
