/**
 * @file dispatch.hpp The life of a request over its shards, without sockets or clock reads: admission, attempts, hedges
 * and retries, merging, and when its answer leaves.
 */
#pragma once

#include <cornelspring/quarantine.hpp>
#include <cornelspring/routing.hpp>

namespace cornelspring {

// ---- Admission ----

/** What admission went by. */
struct admission_decision {
    bool admitted = true; ///< The query may begin.
    double wait_ms = 0;   ///< Present wait for half of a query's shards.
    double share = 1;     ///< Share of such queries that is let in.
};

/** A query that asks for admission. */
struct admission_request {
    milliseconds goal{1000};      ///< Goal of its route.
    time_point started_at;        ///< When it began.
    bool highest_priority = true; ///< No other route to its services has a higher rank.
    bool retried = false;         ///< Its caller was refused before.
    double max_share = 1;         ///< Share of such queries that its shards leave, by coverable_share().
};

/**
 * @return the share of queries that can be answered, as far as their slowest shards decide it. It answers windows in
 * which more shards are full or gone than a query can spare, though most are well: half of the shards answer at once,
 * so that admission by their wait lets all queries in, and those that end failed have taken places of the others in
 * vain. Callers that can't be served are told at once, truly not run and when to come back.
 * @param answered_shares how often each shard answered lately. @param needed shards that a success needs.
 */
double coverable_share(std::vector<double> answered_shares, std::size_t needed);

/**
 * Lets in a share of the queries over one set of shards. It answers load beyond what the backend servers, or this VM,
 * can do (many users at once, callers that repeat, all VMs back after a restart): without it every query waits in
 * their queues and all are late. The share falls with the wait that is measured: the time until half of a query's
 * shards have answered, against what is usual and what its goal leaves. A few slow or dead backend servers do not show
 * in the half that answers first. A share works at any number of VMs, where a bound on each VM's open queries cannot
 * go below one: seven VMs with four each already queue for longer than urgent callers have.
 */
class admission_control {
public:
    /** @return whether a query may begin, and why; on_half_responded() or on_finished() follows. @param request query.
     *  @param draw random number from 0 to 1. @param now present time. */
    admission_decision admit(admission_request const& request, double draw, time_point now);
    /** Half of a query's shards have answered. @param begun when it began. @param now present time. */
    void on_half_responded(time_point begun, time_point now);
    /** A query ended before half of its shards had answered. @param begun when it began. */
    void on_finished(time_point begun);
    /** @return whether queries with @p goal queue at the backend servers. @param goal goal. @param now present time. */
    bool congested(milliseconds goal, time_point now) const;

private:
    /** @return the present wait for half of the shards. */
    double wait_ms(time_point now) const;
    /** @return the wait beyond the usual one, as a share of what the goal leaves beyond it. */
    double strain(milliseconds goal, time_point now) const;
    /** @return the share of queries like @p request that is let in. */
    double share(admission_request const& request, time_point now);

    double m_wait_ms = 0;                                        ///< Average wait.
    double m_usual_ms = std::numeric_limits<double>::infinity(); ///< Wait without a queue.
    double m_urgent_share = 1;                                   ///< Share of the most urgent ones last let in.
    double m_gap_ms = 0;                                         ///< Average time between two queries.
    time_point m_asked_at;                                       ///< Time of the last query.
    time_point m_sampled_at;                                     ///< Time of the last sample.
    std::multiset<time_point> m_waiting;                         ///< Begins of queries without half of their shards.
};

// ---- Merging records ----

/** Bytes of one record of a shard's answer. */
inline constexpr std::size_t record_size = 16;
/**
 * @return the greatest @p top_k records of all @p bodies, greatest first, compared byte by byte; equal ones all count.
 * @param bodies shard answers; a remainder shorter than a record is left out. @param top_k records wanted.
 */
std::string merge_records(std::vector<std::string_view> const& bodies, std::size_t top_k);

// ---- Connections ahead ----

/**
 * @return backend servers of shards to which this VM has no connection and should make one, the near ones first and
 * equally near ones in random order, so that VMs do not all knock at the same one. It answers the first queries after a
 * start, a reshard or a quiet time, and second attempts at servers that seldom get one: a connection that does not
 * exist yet costs two round trips and the server's handshake, which is most of what an urgent caller has.
 * @param config configuration. @param registry backend servers. @param places which of them may be reached.
 * @param connected tells whether there is a connection. @param random order. @param now present time.
 */
std::vector<std::shared_ptr<backend_server>>
backends_to_preconnect(serving_config const& config, backend_registry& registry, placement_rules const& placement,
                       std::function<bool(std::shared_ptr<backend_server> const&)> const& connected,
                       std::mt19937_64& random, time_point now);

// ---- One request ----

/** Lower-case names of the headers that carry a request's context; the adapter of a platform gives them. */
struct header_names {
    std::string request_id;      ///< Id of one attempt of a caller.
    std::string deadline;        ///< Milliseconds the sender will wait.
    std::string target_backend;  ///< Id of the backend server meant.
    std::string signature;       ///< A backend server's mark on its answer.
    std::string not_executed;    ///< Set by a backend server that did not run the request.
    std::string warmup_left;     ///< How long a backend server stays cold, in milliseconds.
    std::string part_signatures; ///< Signatures of the shard answers in a merged answer.
    std::string missing_parts;   ///< Number of shards left out of a merged answer.
};

/** Id of one attempt at a backend server within this process. */
using attempt_id = strong_id<struct attempt_id_tag, std::uint64_t>;

/** An attempt to be sent. */
struct outgoing_attempt {
    attempt_id id;                          ///< For on_result() and cancel.
    std::shared_ptr<backend_server> target; ///< Where to.
    std::string head;                       ///< Start line and headers, all but the deadline.
    std::string body;                       ///< Body.
    time_point caller_deadline;             ///< The caller waits no longer; told to the backend server as time left.
    std::string request_id;                 ///< The caller's request id, which the answer must carry.
    bool head_request = false;              ///< A HEAD request, whose response has no body.
    bool idempotent = true;                 ///< May be sent on a kept connection that could be dead.
};

/** Result of an attempt. */
struct attempt_result {
    attempt_status outcome = attempt_status::lost; ///< How it ended.
    http_response response;                        ///< The response when answered or not executed.
    std::string detail;                            ///< Why it failed, for logs.
};

/** What is known of a request's time before it was read, and after it will be answered. */
struct request_timing {
    clock::duration max_unread{0}; ///< Longest time that it may have waited unread at this VM.
    clock::duration round_trip{0}; ///< Time that it and its answer take on the network; 0 when not known.
};

/** What became of a request, for logs and metrics. */
struct request_summary {
    std::string request_id;                ///< The caller's id of the request.
    std::string route_name;                ///< Route, or empty.
    config_version version;                ///< Configuration that decided.
    int status = 0;                        ///< Status answered; 0 when the caller left.
    char const* reason = "";               ///< Why, in one word.
    std::size_t shards = 0;                ///< Shards of the request.
    std::size_t shards_answered = 0;       ///< Shards in the answer.
    int attempts = 0;                      ///< Attempts sent.
    int hedges = 0;                        ///< Of these, sent while another was open.
    int retries = 0;                       ///< Of these, sent after a failure.
    std::chrono::microseconds duration{0}; ///< From arrival to answer.
    milliseconds caller_time_spent{0}; ///< Time of its caller that had gone when it was read, or goes with its answer.
    int failed_attempts = 0;           ///< Attempts that failed.
    int disconnects = 0;               ///< Of these, ended by the backend server's closing the connection.
    request_digest digest;             ///< Of the request, once it was looked at: the same for its repetitions.
    caller_address caller;             ///< Who sent it.
    bool sequential = false;           ///< It went to one backend server at a time.
    std::string request_line;          ///< With a digest: method, host and path, as far as a log line takes them.
    std::string failure_details;       ///< The first of these: backend server and reason.
    std::string extra_attempts;        ///< The first hedges and retries: why there, and the budget that was left.
    int hedges_denied = 0;             ///< Hedges that were due and not sent.
    char const* hedge_denied_reason = ""; ///< Why the last of them was not.
    double admission_wait_ms = 0;         ///< Wait for half of the shards that admission went by; 0: it was not asked.
    double admitted_share = 1;            ///< Share of such queries that it let in.
    double coverable_share = 1;           ///< Share that the shards which decide leave at most.
    int no_home = 0;                      ///< Choices that failed as no server was left at home,
    int evacuated = 0;                    ///< as those left were evacuated,
    int cold = 0;                         ///< as those left were cold and had got enough.
};

/** Calls of the dispatcher to the outside. */
struct dispatcher_hooks {
    std::function<void(outgoing_attempt)> send;              ///< Sends an attempt; its result comes back later.
    std::function<void(attempt_id)> cancel;                  ///< Gives an attempt up; no result is wanted.
    std::function<void(request_key, http_response)> respond; ///< Answers a caller.
    std::function<void(request_summary const&)> on_finished; ///< A request ended.
};

/** Settings of the dispatcher. */
struct dispatcher_options {
    header_names names;            ///< Header names.
    retry_budget::limits budget;   ///< Bound on extra arrivals.
    selection_options selection;   ///< Replica choice.
    double hedge_quantile = 0.92;  ///< A shard slower than this quantile of recent ones is hedged.
    milliseconds hedge_min{5};     ///< Shortest hedge delay: below it, two answers are the rule.
    double hedge_goal_share = 0.4; ///< Longest hedge delay, as a share of the route's goal.
    /** An answer leaves so long before its goal, besides the caller's time that has gone and the time on the network,
     * to arrive in time: the process waits for its turn on a quarter of a core before it reads and before it writes. */
    milliseconds answer_margin{11};
    /** The same as a share of the goal, whichever is more: the longer the goal, the fewer shards still come in its last
     *  milliseconds. */
    double answer_margin_share = 0.05;
    bool caller_time = true; ///< Answers leave earlier by the caller's time that has gone and that on the network.
    milliseconds observation_time{300}; ///< A hedged attempt is watched so long, to learn when its server recovers.
    /** Share of a backend server's connections that all VMs together use. Connections of VMs that lost power stay open
     *  at the backend server; the rest lets the VMs connect again when they are back. */
    double connection_share = 0.6;
    double retry_after_s = 0.3;       ///< Told to callers that were refused, at least; spread up to twice it.
    double overload_retry_min = 0.08; ///< Callers refused for load come back after this share of their time,
    double overload_retry_max = 0.3;  ///< at the latest after this one; they wait a third of it at most.
    bool admission = true;            ///< Bound the open requests.
    bool by_priority = true;          ///< Urgent queries are let in first.
    bool retries_last = true;         ///< Callers that come again are let in last.
    bool hedging = true;              ///< Slow shards get a second attempt.
    bool hedge_pause = true;          ///< One that comes up late waits until arrived answers are read.
    bool hedge_check = true;          ///< While queries queue, it goes only where it gains.
    bool early_answer = true;         ///< Answers leave before the goal with what is there.
    bool by_coverage = true;          ///< Admission goes by the shards that decide too, see coverable_share().
};

/** A mechanism that can be switched off, to measure what it is worth. */
struct feature_toggle {
    std::string name;                                 ///< Name in settings.
    std::string help;                                 ///< What it does.
    std::function<void(dispatcher_options&)> disable; ///< Switches it off.
};
/** @return all of them. */
std::vector<feature_toggle> const& feature_toggles();
/** @return their names and what they do, for a setting's help. */
std::string feature_toggles_help();
/** Switches one off. @param options where. @param mechanism its name. @throw error bad_settings when there is none. */
void disable_feature(dispatcher_options& options, std::string const& mechanism);

/** Recent times of one kind. */
class duration_window {
public:
    /** Sizes of a window. */
    struct sizes {
        std::size_t capacity = 1024;     ///< Observations kept.
        std::size_t min_samples = 32;    ///< Observations needed before a quantile is given.
        std::size_t refresh_after = 128; ///< A quantile is computed anew after so many observations.
    };
    /** A window of the usual sizes, for latencies. */
    duration_window() = default;
    /** @param of sizes. */
    explicit duration_window(sizes of) : m_sizes(of) {}
    /** Adds one observation. @param time observed time. */
    void add(std::chrono::microseconds time);
    /** @return observations in the window. */
    std::size_t count() const { return m_samples.size(); }
    /** @return the @p quantile of the window, or nothing before enough samples. @param quantile 0 to 1. */
    std::optional<std::chrono::microseconds> quantile(double quantile);

private:
    sizes m_sizes;                                     ///< Sizes.
    std::vector<std::chrono::microseconds> m_samples;  ///< Ring of samples.
    std::size_t m_next = 0;                            ///< Next place in the ring.
    std::size_t m_since_sort = 0;                      ///< Samples added since m_cached was computed.
    std::optional<std::chrono::microseconds> m_cached; ///< Last quantile computed.
};

/**
 * Carries requests: chooses their route and backend servers, sends, hedges and retries within the budget, merges the
 * answers of shards, and answers each caller exactly once. The hooks must not call back into it.
 */
class dispatcher {
public:
    /** @param options settings. @param configs configuration in force. @param registry backend servers.
     *  @param places which of them a request may reach. @param quarantine requests that crash them. @param hooks
     * outside calls. @param seed random seed. */
    dispatcher(dispatcher_options options, config_holder const& configs, backend_registry& registry,
               placement_rules const& placement, request_quarantine& quarantine, dispatcher_hooks hooks,
               std::uint64_t seed);
    ~dispatcher();
    /** Takes in a whole request. @param key new key for it. @param message as received. @param timing its time before
     *  and after. @param caller who sent it. @param now present time. */
    void start(request_key key, http_request message, request_timing timing, caller_address caller, time_point now);
    /** The caller has left: gives up all work for it. @param key request. @param now present time. */
    void on_caller_disconnected(request_key key, time_point now);
    /** Takes in the result of an attempt. @param id attempt. @param result result. @param now present time. */
    void on_result(attempt_id id, attempt_result result, time_point now);
    /** Does what is due. @param now present time. */
    void on_timer(time_point now);
    /** @return when on_timer() has something to do next. */
    std::optional<time_point> next_due() const;
    /** @return requests not yet answered. */
    std::size_t open_requests() const;
    /** Sets how many VMs share budgets and connections. @param vms at least 1. */
    void set_vm_count(std::size_t vms);
    /** Ends every open request at once: not run where that is certain. @param now present time. */
    void finish_all(time_point now);

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Requests and attempts.
};

} // namespace cornelspring
