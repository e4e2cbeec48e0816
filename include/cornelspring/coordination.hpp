/** @file coordination.hpp Store client, configuration watch, membership by leases, and scatter-gather. */
#pragma once

#include <cornelspring/dispatch.hpp>
#include <cornelspring/state.hpp>
#include <cornelspring/transport.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <random>
#include <set>
#include <thread>
#include <unordered_map>

namespace cornelspring {

/** Result of a store watch call. */
struct watch_batch {
    std::vector<watch_event> events; ///< Changes, oldest first.
    std::int64_t revision = 0;       ///< Store revision when answered.
    cluster_id cluster;              ///< Cluster that answered.
    bool compacted = false;          ///< The start revision is gone: read everything again.
};

/** Result of reading a prefix. */
struct range_result {
    std::vector<key_value> kvs; ///< Keys and values.
    std::int64_t revision = 0;  ///< Store revision of the read.
    cluster_id cluster;         ///< Cluster that answered.
};

/** A lease as the store granted it. */
struct granted_lease {
    std::int64_t id = 0; ///< Its id; 0: none.
    cluster_id cluster;  ///< Cluster that granted it.
};

/**
 * Client of the platform store's etcd v3 JSON gateway over HTTP/2. Each call blocks its caller (a
 * background task such as the watcher); the query path never calls the store.
 * Failures are typed: not_run when nothing reached the store, outcome_unknown when a write may have
 * taken effect, unavailable when the store refused, conflict for a failed compare.
 */
class store_client {
public:
    /** @param client HTTP/2 client to use. @param store address of the store. @param timeout per call. */
    store_client(h2_client& client, endpoint store, milliseconds timeout);
    /** @return keys under @p prefix. */
    range_result range_prefix(std::string const& prefix);
    /** @return the key, if present, and the read's revision. */
    std::pair<std::optional<key_value>, std::int64_t> get(std::string const& key);
    /** Writes @p key. @return the write's revision. */
    std::int64_t put(std::string const& key, std::string const& value, std::int64_t lease = 0);
    /** Runs a transaction. @return its result. */
    txn_result txn(txn_request const& request);
    /**
     * Writes @p key when it is still at revision @p expected, and finds out what became of the write when the
     * reply is lost: reads the key back, and repeats the write while nothing changed.
     * @param key key. @param expected mod_revision it must have (0: must not exist). @param value new value.
     * @param max_attempts most writes sent.
     * @return succeeded and the revision of the write; or not succeeded: someone else changed the key.
     * @throw error the last one, when the outcome is still not known after @p max_attempts.
     */
    txn_result compare_and_swap(std::string const& key, std::int64_t expected, std::string const& value,
                                int max_attempts = 5);
    /** @return a new lease with @p ttl_s seconds to live. */
    granted_lease grant_lease(std::int64_t ttl_s);
    /** Renews @p lease. @return the cluster that did. @throw error not_found when it lapsed. */
    cluster_id keep_alive(std::int64_t lease);
    /** Ends @p lease. */
    void revoke(std::int64_t lease);
    /** Ends the calls in progress (as "unknown") by closing the connection; for stopping a task that waits. */
    void interrupt() { m_client.drop_connections(m_store); }
    /** Waits for changes under @p prefix after revision @p after, at most @p wait. */
    watch_batch watch_prefix(std::string const& prefix, std::int64_t after, milliseconds wait);

private:
    /** Posts @p body to @p path and returns the parsed answer. */
    nlohmann::json call(std::string const& path, nlohmann::json const& body, milliseconds timeout);

    h2_client& m_client;    ///< Transport.
    endpoint m_store;       ///< Store address.
    milliseconds m_timeout; ///< Per-call timeout.
};

/**
 * A task that keeps a config_view equal to the store: a full read, then watches from the read's
 * revision. After a failure it waits and watches again from where it was; it reads everything again only
 * when the store no longer has the history, or was restored from an older copy. The view's monotonic rule keeps a
 * stale read of the same cluster from reverting what was applied.
 */
class config_watcher {
public:
    /**
     * @param store client. @param view view to keep current.
     * @param retry_delay wait after a failed call.
     */
    config_watcher(store_client& store, config_view& view, milliseconds retry_delay);
    /** Stops the task. */
    ~config_watcher();
    /** Starts the task. */
    void start();
    /** Stops the task, interrupting the watch call in progress. */
    void stop();
    /** @return true after the first full read succeeded. */
    bool synced() const { return m_synced; }

private:
    /** Body of the task. */
    void run();

    store_client& m_store;               ///< Store.
    config_view& m_view;                 ///< Target.
    milliseconds m_retry_delay;          ///< Back-off after failure.
    std::atomic<bool> m_stopping{false}; ///< Set to end the task.
    std::atomic<bool> m_synced{false};   ///< First read done.
    std::thread m_thread;                ///< The task.
};

/**
 * A task that registers this entry node in the store under a lease and renews it by heartbeat. When the
 * lease lapses (the process was paused, the store was down) it grants a new one and registers again; so too when the
 * store was restored from an older copy, which may lack the key.
 */
class membership {
public:
    /**
     * @param store client. @param self this node. @param ttl_s lease time to live in seconds.
     */
    membership(store_client& store, member self, std::int64_t ttl_s);
    /** Revokes the lease and stops. */
    ~membership();
    /** Starts the task. */
    void start();
    /** Revokes the lease now so that callers stop being sent here. */
    void leave();

private:
    /** Body of the task. */
    void run();
    /** Grants a lease and writes the member key. */
    void register_self();

    store_client& m_store;               ///< Store.
    member m_self;                       ///< This node.
    std::int64_t m_ttl_s;                ///< Lease time to live.
    granted_lease m_lease;               ///< Current lease, if any.
    bool m_registered = false;           ///< The member key was written under m_lease.
    std::atomic<bool> m_stopping{false}; ///< Set to end the task.
    std::thread m_thread;                ///< The task.
};

/** A bounded allowance for extra requests: each ordinary request earns a fraction, each extra one costs 1. */
class token_budget {
public:
    /** @param ratio tokens earned per ordinary request. @param burst most tokens kept; it starts full. */
    token_budget(double ratio, double burst) : m_ratio(ratio), m_burst(burst), m_tokens(burst) {}
    /** Earns for @p requests ordinary requests. @param requests how many. */
    void earn(std::size_t requests)
    {
        m_tokens = std::min(m_burst, m_tokens + m_ratio * static_cast<double>(requests));
    }
    /** @return true, and pays, when one extra request is allowed now. */
    bool spend();

private:
    double m_ratio;  ///< Earned per ordinary request.
    double m_burst;  ///< Upper bound.
    double m_tokens; ///< Tokens left.
};

/** How a back end answered one request, as the tracker sees it. */
enum class attempt_outcome {
    succeeded, ///< A usable answer.
    canceled,  ///< Cancelled because another replica answered first: its latency is at least the time it ran.
    not_held,  ///< It does not hold the shard at that version; says nothing of its speed.
    shed,      ///< Refused for lack of a slot.
    draining,  ///< Refused because it is leaving.
    failed,    ///< Connection lost, timeout, or an answer that cannot be used.
};

/** @return how a request that gave no usable answer ended. @param result its result. */
attempt_outcome classify_failure(client_result const& result);

/** Settings of the back-end tracker. */
struct tracker_options {
    milliseconds eject_base{200};        ///< First ejection after repeated failures; doubles up to eject_max.
    milliseconds eject_max{5000};        ///< Longest ejection.
    int failures_to_eject = 2;           ///< Failures in a row before a back end is ejected.
    milliseconds drain_backoff{5000};    ///< A back end that said it drains gets no work for this long.
    milliseconds shed_backoff{20};       ///< A back end that shed is avoided for this long when another can serve.
    double latency_weight = 0.2;         ///< Weight of a new latency sample in the moving average.
    double outlier_factor = 4;           ///< A sample counts as at most this many times the average.
    milliseconds latency_half_life{500}; ///< Without samples, the average halves in this time, so it is tried again.
    std::chrono::microseconds initial_latency{100}; ///< Assumed of a back end not yet seen: low, so that it is tried.
};

/**
 * What one entry node has observed of the back ends: in_flight requests, latency, failures, drain
 * signals and the platform's VM list. Owned by the HTTP/2 client's thread. It trusts what requests
 * show, not the back ends' own health and load endpoints, which lag or mislead.
 */
class backend_tracker {
public:
    /** @param options thresholds. */
    explicit backend_tracker(tracker_options options = {}) : m_options(options) {}
    /** Notes a request sent. @param name back end. */
    void on_sent(std::string const& name);
    /** Notes how a request ended. @param name back end. @param outcome how. @param elapsed time it ran. @param now
     * present. */
    void on_finished(std::string const& name, attempt_outcome outcome, std::chrono::microseconds elapsed,
                     time_point now);
    /** Replaces the addresses that the platform's VM list calls leaving. @param addresses host:port. */
    void set_leaving_addresses(std::set<std::string> addresses) { m_leaving_addresses = std::move(addresses); }
    /** @return whether new work may go to @p target. @param target replica. @param now present time. */
    bool accepts_requests(replica const& target, time_point now) const;
    /** @return whether @p target is neither ejected nor shedding. @param target replica. @param now present time. */
    bool healthy(replica const& target, time_point now) const;
    /** @return expected wait at @p target in microseconds; lower is better. @param target replica. @param now present.
     */
    double expected_wait_us(replica const& target, time_point now) const;

private:
    /** Observations of one back end. */
    struct observation {
        int in_flight = 0;      ///< Requests sent and not ended.
        double latency_us = 0;  ///< Moving average; 0 before the first sample.
        time_point sampled_at;  ///< When the last sample came.
        int failures = 0;       ///< Failures in a row.
        time_point eject_until; ///< Ejected until then.
        time_point drain_until; ///< Said it drains; no work until then.
        time_point shed_until;  ///< Shed a request; avoided until then.
    };

    tracker_options m_options;                               ///< Thresholds.
    std::unordered_map<std::string, observation> m_backends; ///< Observations by back end name.
    std::set<std::string> m_leaving_addresses;               ///< Leaving addresses from the VM list.
};

/** Chooses among replicas of a shard: returns an index into @p candidates, skipping @p tried. */
using replica_chooser = std::function<std::optional<std::size_t>(std::vector<replica> const& candidates,
                                                                 std::vector<bool> const& tried, time_point now)>;

/** @return the plain policy: a random untried replica, whatever was observed. @param seed random seed. */
replica_chooser make_random_chooser(std::uint64_t seed);
/**
 * @return the measured policy: a random one of the untried replicas whose expected wait is near the lowest among
 * healthy ones; ejected or shedding ones only when no other is left; never one that is leaving.
 * @param tracker observations; must outlive the chooser. @param seed random seed for ties.
 */
replica_chooser make_adaptive_chooser(backend_tracker const& tracker, std::uint64_t seed);

/** Outcome of a scatter-gather. */
struct gather_result {
    std::optional<query_answer> response; ///< The answer, when at least one shard answered.
    std::optional<error> failure;         ///< Otherwise why not.
    int retry_after_s = 0;                ///< When the caller may come back, for failures.
    std::int32_t attempts = 0;            ///< Shard requests submitted (first tries, retries and hedges).
    std::int32_t sent = 0;                ///< Of those, requests that left this process (may have run).
    std::int32_t retries = 0;             ///< Requests sent after a failure.
    std::int32_t hedges = 0;              ///< Requests sent while another was still open.
};

/** Settings of scatter-gather. */
struct gather_options {
    milliseconds default_deadline{1000};   ///< Deadline when the caller gives none.
    std::int32_t max_tries_per_shard = 4;  ///< First try and retries of one shard.
    std::int32_t max_hedges_per_shard = 3; ///< Hedges of one shard; they do not use up its tries.
    milliseconds retry_backoff{10};        ///< Wait before a replica that failed is tried again.
    double retry_ratio = 0.2;              ///< Retries allowed per shard request, in the long run.
    double retry_burst = 200;              ///< Retries allowed at once.
    bool hedge = true;                     ///< Send a second request for a slow shard.
    double hedge_quantile = 0.95;          ///< A shard slower than this quantile of recent answers is hedged.
    double hedge_tail_share = 0.1;         ///< Hedging begins when at most this share of a query's shards is open.
    double hedge_ratio = 0.05;             ///< Hedges allowed per shard request, in the long run.
    double hedge_burst = 50;               ///< Hedges allowed at once.
    milliseconds min_hedge_delay{1};       ///< Shortest hedge delay.
    milliseconds initial_hedge_delay{20};  ///< Hedge delay before latencies are known.
};

/** Gives the configuration in force now; hook used to re-pin a query whose index version was retired. */
using snapshot_source = std::function<std::shared_ptr<config_snapshot const>()>;

/**
 * Fans a query out to one replica of every shard of a service, pinned to one index version, retries
 * shards on other replicas that hold the same version, hedges slow shards, and merges what came back
 * before the deadline. Runs on the HTTP/2 client's thread: its per-query state is touched only there.
 */
class scatter_gather {
public:
    /**
     * @param client transport. @param options limits. @param chooser replica policy.
     * @param tracker observations to feed; must outlive this.
     * @param current configuration source for re-pinning; may be empty.
     */
    scatter_gather(h2_client& client, gather_options options, replica_chooser chooser, backend_tracker& tracker,
                   snapshot_source current = {});
    /**
     * Starts one query. @param snapshot configuration to route by. @param query the caller's request, with its id.
     * @param done called once on the client thread with the result.
     */
    void run(std::shared_ptr<config_snapshot const> snapshot, query_request query,
             std::function<void(gather_result)> done);

private:
    struct query_state;
    struct attempt;
    using state_ptr = std::shared_ptr<query_state>;

    /** Pins @p state to the index version of @p snapshot and sends every shard. */
    void start(state_ptr const& state, std::shared_ptr<config_snapshot const> snapshot);
    /** Sends shard @p shard to its next replica. @return false when no replica can be tried. */
    bool send_shard(state_ptr const& state, std::size_t shard);
    /** Sends the request of shard @p shard to candidate @p candidate. */
    void send_attempt(state_ptr const& state, std::size_t shard, std::size_t candidate, time_point now);
    /** Handles the result of one shard request. */
    void on_result(state_ptr const& state, std::uint64_t generation, std::size_t shard, std::int32_t number,
                   client_result result);
    /** Takes a shard's answer when it is this query's own. @return whether it was taken. */
    bool accept_response(query_state& state, std::size_t shard, std::string const& body);
    /** Tries shard @p shard again after a failure: another replica now, or the same ones after a wait. */
    void retry_shard(state_ptr const& state, std::size_t shard);
    /** Cancels the requests of shard @p shard that are still open. */
    void cancel_open_attempts(query_state& state, std::size_t shard, time_point now);
    /** Hedges every shard that has been open longer than the hedge delay, and comes back later. */
    void hedge_slow_shards(state_ptr const& state, std::uint64_t generation);
    /** @return the present hedge delay for @p service. */
    std::chrono::microseconds hedge_delay(std::string const& service);
    /** Marks a shard as settled. */
    void finish_shard(state_ptr const& state, std::size_t shard);
    /** Starts over at the version now in force when the pinned one was retired. @return whether it did. */
    bool restart_at_current_version(state_ptr const& state);
    /** Finishes the query when every shard is settled. */
    void finish_if_complete(state_ptr const& state);

    h2_client& m_client;                                ///< Transport.
    gather_options m_options;                           ///< Limits.
    replica_chooser m_chooser;                          ///< Policy.
    backend_tracker& m_tracker;                         ///< Observations.
    snapshot_source m_current;                          ///< Configuration in force.
    token_budget m_retry_budget;                        ///< Allowance for retries.
    token_budget m_hedge_budget;                        ///< Allowance for hedges.
    std::map<std::string, duration_window> m_latencies; ///< Recent shard latencies by service.
};

/** Steps of a non-idempotent request, for fault injection in tests. */
enum class write_step {
    before_claim,    ///< Nothing done yet.
    before_dispatch, ///< The claim is recorded; nothing sent to a back end.
    before_record,   ///< The back end has answered (or not); the outcome is not recorded yet.
};

/** Settings of the write coordinator. */
struct write_options {
    std::string owner = "entry";             ///< Entry node id, kept in the records.
    std::size_t workers = 8;                 ///< Writes carried at once.
    std::size_t queue_limit = 256;           ///< Writes waiting; more are refused as not run.
    milliseconds default_deadline{2000};     ///< Deadline when the caller gives none.
    milliseconds claim_timeout{1000};        ///< Longest time spent on a store that does not answer.
    milliseconds retry_delay{50};            ///< Wait between store tries.
    std::int64_t retention_s = 86400;        ///< How long a record is kept: the idempotency window.
    std::function<void(write_step)> on_step; ///< Fault-injection hook; may block (a paused process).
};

/** What became of a non-idempotent request. */
struct write_result {
    std::optional<write_answer> response; ///< Its result, when it ran (now or before).
    std::optional<error> failure;         ///< Otherwise not_run, unavailable, conflict or outcome_unknown.
    int retry_after_s = 0;                ///< When the caller may come back.
};

/**
 * Runs non-idempotent requests at most once. Before anything is sent, the idempotency key is claimed by a
 * compare-and-swap record in the store; after an attempt whose outcome is not known nothing is ever sent
 * again for that key. See docs/design/at-most-once.md.
 */
class write_coordinator {
public:
    /**
     * @param store store client. @param client transport to back ends. @param chooser replica policy.
     * @param tracker observations. @param options limits.
     */
    write_coordinator(store_client& store, h2_client& client, replica_chooser chooser, backend_tracker& tracker,
                      write_options options);
    /** Stops the workers after the writes in progress. */
    ~write_coordinator();
    /**
     * Queues one write. @param snapshot configuration to route by. @param request the caller's request.
     * @param done called once from a worker thread (or at once, when the queue is full).
     */
    void run(std::shared_ptr<config_snapshot const> snapshot, write_request request,
             std::function<void(write_result)> done);
    /** @return record updates that still wait for the store. Thread-safe. */
    std::size_t pending_record_updates() const;

private:
    /** A queued write. */
    struct job {
        std::shared_ptr<config_snapshot const> snapshot; ///< Routing.
        write_request request;                           ///< Request.
        time_point deadline;                             ///< When the caller gives up.
        std::function<void(write_result)> done;          ///< Result sink.
    };
    /** A record change that must still be written. */
    struct record_update {
        std::string key;  ///< Store key.
        std::string from; ///< Value it must replace.
        std::string to;   ///< New value.
    };
    /** What a claim attempt found. */
    struct claim_result;
    /** How the back ends dealt with a claimed request. */
    struct dispatch_result;

    /** Body of a worker: runs queued writes until the stop. */
    void run_worker();
    /** Carries one write through claim, send and record. @return what the caller is told. */
    write_result execute(job& task);
    /** Creates the record @p own_record at @p key, or finds who has it. @param deadline when the caller gives up. */
    claim_result claim(std::string const& key, write_record const& own_record, time_point deadline);
    /** Sends a claimed write to one replica, and to others only while it certainly did not run. */
    dispatch_result dispatch(job const& task);
    /** Asks the policy on the client thread. @return index of the replica, or none. */
    std::optional<std::size_t> choose_replica(std::vector<replica> const& candidates, std::vector<bool> const& tried);
    /** Tells the tracker that a request was sent (no @p outcome) or how it ended. */
    void update_tracker(std::string const& backend, std::optional<attempt_outcome> outcome,
                        std::chrono::microseconds elapsed);
    /** @return what a submission of a key that already has a record is told. */
    write_result replay(write_record const& record, write_request const& request) const;
    /** Writes a record change now, or later when the store does not answer. */
    void update_record(record_update change);
    /** @return whether the change is in the store (or overtaken). @throw error when the store does not answer. */
    bool try_update(record_update const& change);
    /** Body of the recorder: repeats record changes until the store takes them. */
    void run_recorder();
    /** @return the store lease that new records hang on; grants one when due. */
    std::int64_t retention_lease();
    /** @return a new unique claim id. */
    std::string new_claim_id();
    /** Runs the fault-injection hook. */
    void run_step_hook(write_step where) const;

    store_client& m_store;                  ///< Store.
    h2_client& m_client;                    ///< Transport.
    replica_chooser m_chooser;              ///< Policy; called on the client thread.
    backend_tracker& m_tracker;             ///< Observations; touched on the client thread.
    write_options m_options;                ///< Limits.
    mutable std::mutex m_mutex;             ///< Guards the fields below.
    std::condition_variable m_job_ready;    ///< Signals a job or the stop, to the workers.
    std::condition_variable m_update_ready; ///< Signals an update or the stop, to the recorder.
    std::deque<job> m_jobs;                 ///< Waiting writes.
    std::deque<record_update> m_updates;    ///< Record changes waiting for the store.
    std::mt19937_64 m_random;               ///< Claim ids.
    std::int64_t m_lease = 0;               ///< Retention lease in use.
    time_point m_lease_renew_at;            ///< When a new retention lease is granted.
    bool m_stopping = false;                ///< Workers should end.
    std::vector<std::thread> m_workers;     ///< Workers.
    std::thread m_recorder;                 ///< Writes m_updates.
};

/** Settings of the VM-list watcher. */
struct vm_list_options {
    endpoint address;            ///< The platform's VM list.
    milliseconds interval{1000}; ///< Time between reads.
    milliseconds timeout{1000};  ///< Timeout of one read.
};

/** A task that reads the platform's VM list and tells the tracker which back ends are leaving. */
class vm_list_watcher {
public:
    /** @param client transport; its thread owns @p tracker. @param tracker told. @param options where and how often. */
    vm_list_watcher(h2_client& client, backend_tracker& tracker, vm_list_options options);
    /** Stops the task. */
    ~vm_list_watcher();

private:
    /** Reads the list once. */
    void read_once();

    h2_client& m_client;                 ///< Transport.
    backend_tracker& m_tracker;          ///< Told on the client thread.
    vm_list_options m_options;           ///< Where and how often.
    std::atomic<bool> m_stopping{false}; ///< Ends the task.
    std::thread m_thread;                ///< The task.
};

} // namespace cornelspring
