/** @file coordination.hpp The entry node's store client, configuration watch, registration, queries and writes. */
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
    std::int64_t revision = 0;       ///< Store revision at the time of the response.
    cluster_id cluster;              ///< Cluster that sent the response.
    bool compacted = false;          ///< The store no longer has the start revision: read everything again.
};

/** Result of reading a prefix. */
struct range_result {
    std::vector<key_value> kvs; ///< Keys and values.
    std::int64_t revision = 0;  ///< Store revision of the read.
    cluster_id cluster;         ///< Cluster that sent the response.
};

/** A lease granted by the store. */
struct granted_lease {
    std::int64_t id = 0; ///< Lease id; 0: none.
    cluster_id cluster;  ///< Cluster that granted it.
};

/**
 * Client of the platform store's etcd v3 JSON gateway over HTTP/2. Every call blocks, so calls are made
 * from background tasks such as the configuration watcher; the query path never calls the store.
 * Failures are typed: not_run when the call did not reach the store, outcome_unknown when a write may have
 * taken effect, unavailable when the store rejected the call, conflict for a failed compare.
 */
class store_client {
public:
    /** @param client HTTP/2 client to use. @param store address of the store. @param timeout per call. */
    store_client(h2_client& client, endpoint store, milliseconds timeout);
    /** Reads all keys under @p prefix. @return the keys and the read's revision. */
    range_result range_prefix(std::string const& prefix);
    /** @return the key, if present, and the read's revision. */
    std::pair<std::optional<key_value>, std::int64_t> get(std::string const& key);
    /** Writes @p key, bound to @p lease unless that is 0. @return the write's revision. */
    std::int64_t put(std::string const& key, std::string const& value, std::int64_t lease = 0);
    /** Runs a transaction. @return its result. */
    txn_result txn(txn_request const& request);
    /**
     * Writes @p key if it is still at revision @p expected. When a response is lost, sends the write again, and
     * compares the stored value with @p value to learn whether the earlier write took effect.
     * @param key key. @param expected mod_revision it must have (0: must not exist). @param value new value.
     * @param max_attempts maximum number of writes sent.
     * @return succeeded and the revision of the write; or not succeeded, when another client has changed the key.
     * @throw error outcome_unknown when the write may have taken effect, otherwise the last failure.
     */
    txn_result compare_and_swap(std::string const& key, std::int64_t expected, std::string const& value,
                                int max_attempts = 5);
    /** @return a new lease with a time to live of @p ttl_s seconds. */
    granted_lease grant_lease(std::int64_t ttl_s);
    /** Renews @p lease. @return the cluster that renewed it. @throw error not_found when it has expired. */
    cluster_id keep_alive(std::int64_t lease);
    /** Revokes @p lease. */
    void revoke(std::int64_t lease);
    /** Closes the connection, so that calls in progress fail with an unknown outcome; used to stop a waiting task. */
    void interrupt() { m_client.drop_connections(m_store); }
    /** Waits for changes under @p prefix after revision @p after, for at most @p wait. @return the changes. */
    watch_batch watch_prefix(std::string const& prefix, std::int64_t after, milliseconds wait);

private:
    /** Posts @p body to @p path. @return the response, whose status is 200. */
    http_response send(std::string const& path, nlohmann::json const& body, milliseconds timeout);
    /** Posts @p body to @p path. @return what @p decode returns for the JSON of the response. @throw error
     *  outcome_unknown when the response is malformed: a write may have taken effect. */
    template <typename Decode>
    auto call(std::string const& path, nlohmann::json const& body, milliseconds timeout, Decode const& decode);

    h2_client& m_client;    ///< Transport.
    endpoint m_store;       ///< Store address.
    milliseconds m_timeout; ///< Per-call timeout.
};

/**
 * A task that keeps a config_view equal to the store: it reads everything once, then watches from the revision of
 * that read. After a failure it waits and resumes the watch from the last applied revision. It reads everything again
 * only when the store no longer has that part of its history, or was restored from an older copy. The view never
 * goes back to a lower revision of the same cluster, so a stale read cannot undo changes already applied.
 */
class config_watcher {
public:
    /**
     * @param store client. @param view view to keep up to date.
     * @param retry_delay minimum wait after a failed call.
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
    config_view& m_view;                 ///< View that is kept up to date.
    milliseconds m_retry_delay;          ///< Minimum wait after a failed call.
    std::atomic<bool> m_stopping{false}; ///< Set to stop the task.
    std::atomic<bool> m_synced{false};   ///< The first full read succeeded.
    std::thread m_thread;                ///< The task.
};

/**
 * A task that registers this entry node in the store under a lease and renews the lease by heartbeat. When the
 * lease expires (because the process was paused or the store was down), it grants a new lease and registers again. It
 * does the same when the store was restored from an older copy, which may lack the key.
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
    /** Stops the task and revokes the lease, so that callers are no longer given this node's address. */
    void leave();

private:
    /** Body of the task. */
    void run();
    /** Grants a lease, if there is none, and writes the member key. */
    void register_self();

    store_client& m_store;               ///< Store.
    member m_self;                       ///< This node.
    std::int64_t m_ttl_s;                ///< Lease time to live.
    granted_lease m_lease;               ///< Current lease, if any.
    bool m_registered = false;           ///< The member key was written under m_lease.
    std::atomic<bool> m_stopping{false}; ///< Set to stop the task.
    std::thread m_thread;                ///< The task.
};

/** A bounded budget for extra requests: each ordinary request earns a fraction of a token, each extra one costs 1. */
class token_budget {
public:
    /** @param ratio tokens earned per ordinary request. @param burst maximum number of tokens; also the start value. */
    token_budget(double ratio, double burst) : m_ratio(ratio), m_burst(burst), m_tokens(burst) {}
    /** Earns tokens for @p requests ordinary requests. @param requests number of requests. */
    void earn(std::size_t requests)
    {
        m_tokens = std::min(m_burst, m_tokens + m_ratio * static_cast<double>(requests));
    }
    /** Takes one token. @return true when there was one: the extra request may be sent. */
    bool try_consume();

private:
    double m_ratio;  ///< Tokens earned per ordinary request.
    double m_burst;  ///< Maximum number of tokens.
    double m_tokens; ///< Tokens left.
};

/** Outcome of one attempt at a backend server, as the tracker records it. */
enum class attempt_outcome {
    succeeded, ///< A usable response.
    canceled,  ///< Canceled because another replica responded first; the latency is at least the elapsed time.
    not_held,  ///< The server does not hold the shard at that version; says nothing about its latency.
    shed,      ///< Rejected because the server had no free slot.
    draining,  ///< Rejected because the server is draining.
    failed,    ///< Connection lost, timeout, or a response that cannot be used.
};

/** @return the outcome of an attempt that got no usable response. @param result its result. */
attempt_outcome classify_failure(client_result const& result);

/** Settings of the backend tracker. */
struct tracker_options {
    milliseconds eject_base{200};        ///< First ejection after repeated failures; doubles up to eject_max.
    milliseconds eject_max{5000};        ///< Longest ejection.
    int failures_to_eject = 2;           ///< Consecutive failures after which a backend server is ejected.
    milliseconds drain_backoff{5000};    ///< A server that reported draining gets no new requests for this long.
    milliseconds shed_backoff{20};       ///< A server that shed a request is avoided for this long if others can serve.
    double latency_weight = 0.2;         ///< Weight of a new latency sample in the moving average.
    double outlier_factor = 4;           ///< A sample counts as at most this many times the average.
    milliseconds latency_half_life{500}; ///< Half-life of an average without new samples: a slow server is tried again.
    std::chrono::microseconds initial_latency{100}; ///< Assumed without samples; low, so that the server is tried.
};

/**
 * What one entry node has observed of the backend servers: requests in flight, latency, failures, drain signals, and
 * the platform's VM list. Used only on the HTTP/2 client's thread. It relies on the outcomes of requests, not
 * on the servers' own health and load endpoints, which lag or mislead.
 */
class backend_tracker {
public:
    /** @param options thresholds. */
    explicit backend_tracker(tracker_options options = {}) : m_options(options) {}
    /** Records that a request was sent. @param name backend server. */
    void on_sent(std::string const& name);
    /**
     * Records the outcome of a request.
     * @param name backend server. @param outcome its outcome. @param elapsed time since it was sent.
     * @param now current time.
     */
    void on_finished(std::string const& name, attempt_outcome outcome, std::chrono::microseconds elapsed,
                     time_point now);
    /** Replaces the addresses that the platform's VM list reports as leaving. @param addresses host:port. */
    void set_leaving_addresses(std::set<std::string> addresses) { m_leaving_addresses = std::move(addresses); }
    /** @return whether new requests may be sent to @p target. @param target replica. @param now current time. */
    bool accepts_requests(replica const& target, time_point now) const;
    /** @return whether @p target is neither ejected nor shedding. @param target replica. @param now current time. */
    bool healthy(replica const& target, time_point now) const;
    /** @return expected wait at @p target in microseconds. @param target replica. @param now current time. */
    double expected_wait_us(replica const& target, time_point now) const;

private:
    /** Observations of one backend server. */
    struct observation {
        int in_flight = 0;      ///< Requests sent and not finished.
        double latency_us = 0;  ///< Moving average; 0 before the first sample.
        time_point sampled_at;  ///< Time of the last sample.
        int failures = 0;       ///< Consecutive failures.
        time_point eject_until; ///< Ejected until then.
        time_point drain_until; ///< Reported draining; no new requests until then.
        time_point shed_until;  ///< Shed a request; avoided until then.
    };

    tracker_options m_options;                               ///< Thresholds.
    std::unordered_map<std::string, observation> m_backends; ///< Observations by name of the backend server.
    std::set<std::string> m_leaving_addresses;               ///< Leaving addresses from the VM list.
};

/** Chooses a replica of a shard: returns an index into @p candidates that is not marked in @p tried, or none. */
using replica_chooser = std::function<std::optional<std::size_t>(std::vector<replica> const& candidates,
                                                                 std::vector<bool> const& tried, time_point now)>;

/** @return the baseline policy: a random untried replica, regardless of observations. @param seed random seed. */
replica_chooser make_random_chooser(std::uint64_t seed);
/**
 * @return the adaptive policy: a random one of the untried healthy replicas whose expected wait is close to the lowest.
 * Ejected or shedding replicas are chosen only when no healthy one is left, draining or leaving ones never.
 * @param tracker observations; must outlive the chooser. @param seed random seed for the choice among near equals.
 */
replica_chooser make_adaptive_chooser(backend_tracker const& tracker, std::uint64_t seed);

/** Outcome of a scatter-gather. */
struct gather_result {
    std::optional<query_response> response; ///< The response, when at least one shard responded.
    std::optional<error> failure;           ///< Reason for the failure otherwise.
    int retry_after_s = 0;                  ///< For failures: seconds after which the caller may retry.
    std::int32_t attempts = 0;              ///< Shard requests submitted (first attempts, retries and hedges).
    std::int32_t sent = 0;                  ///< Of those, requests that left this process (may have run).
    std::int32_t retries = 0;               ///< Requests sent after a failure.
    std::int32_t hedges = 0;                ///< Requests sent while another for the same shard was in flight.
};

/** Settings of scatter-gather. */
struct gather_options {
    milliseconds default_deadline{1000};   ///< Deadline when the caller sets none.
    std::int32_t max_tries_per_shard = 4;  ///< Maximum of the first attempt and the retries of one shard.
    std::int32_t max_hedges_per_shard = 3; ///< Maximum hedges of one shard; not counted as tries.
    milliseconds retry_backoff{10};        ///< Wait, per earlier try, before replicas that failed are tried again.
    double retry_ratio = 0.2;              ///< Retries allowed per shard request, in the long run.
    double retry_burst = 200;              ///< Retries allowed at once.
    bool hedge = true;                     ///< Send a second request for a slow shard.
    double hedge_quantile = 0.95;          ///< A shard slower than this quantile of recent responses is hedged.
    double hedge_tail_share = 0.1;        ///< Hedging starts when at most this share of a query's shards is unfinished.
    double hedge_ratio = 0.05;            ///< Hedges allowed per shard request, in the long run.
    double hedge_burst = 50;              ///< Hedges allowed at once.
    milliseconds min_hedge_delay{1};      ///< Shortest hedge delay.
    milliseconds initial_hedge_delay{20}; ///< Hedge delay before any latency was observed.
};

/** Returns the current configuration; used to restart a query whose index version was retired. */
using snapshot_source = std::function<std::shared_ptr<config_snapshot const>()>;

/**
 * Fans a query out to one replica of every shard of a service, pinned to one index version. Retries
 * shards on other replicas that hold the same version, hedges slow shards, and merges the responses received
 * before the deadline. Runs on the HTTP/2 client's thread: the state of a query is used only there.
 */
class scatter_gather {
public:
    /**
     * @param client transport. @param options limits. @param chooser replica policy.
     * @param tracker receives the outcomes; must outlive this.
     * @param current source of the current configuration; may be empty: a query is then never restarted.
     */
    scatter_gather(h2_client& client, gather_options options, replica_chooser chooser, backend_tracker& tracker,
                   snapshot_source current = {});
    /**
     * Starts one query. @param snapshot configuration to route by. @param query the caller's request, with its id.
     * @param done called once with the result: on the client thread, or at once for an unknown service.
     */
    void run(std::shared_ptr<config_snapshot const> snapshot, query_request query,
             std::function<void(gather_result)> done);

private:
    struct query_state;
    struct attempt;
    using state_ptr = std::shared_ptr<query_state>;

    /** Pins @p state to the index version of @p snapshot and sends a request for every shard. */
    void start(state_ptr const& state, std::shared_ptr<config_snapshot const> snapshot);
    /** Sends shard @p shard to its next replica. @return false when no replica can be tried. */
    bool send_shard(state_ptr const& state, std::size_t shard);
    /** Sends a request for shard @p shard to the replica with index @p candidate. */
    void send_attempt(state_ptr const& state, std::size_t shard, std::size_t candidate, time_point now);
    /** Handles the result of one shard request. */
    void on_result(state_ptr const& state, std::uint64_t generation, std::size_t shard, std::int32_t number,
                   client_result result);
    /** Stores a shard's response if it belongs to this query. @return whether it was stored. */
    bool accept_response(query_state& state, std::size_t shard, std::string const& body);
    /** Retries shard @p shard after a failure: on another replica now, or on the same ones after a wait. */
    void retry_shard(state_ptr const& state, std::size_t shard);
    /** Cancels the requests of shard @p shard that are in flight. */
    void cancel_open_attempts(query_state& state, std::size_t shard, time_point now);
    /** Hedges every shard that has been in flight longer than the hedge delay, and schedules the next check. */
    void hedge_slow_shards(state_ptr const& state, std::uint64_t generation);
    /** @return the current hedge delay for @p service. */
    std::chrono::microseconds hedge_delay(std::string const& service);
    /** Marks a shard as finished and cancels its requests in flight. */
    void finish_shard(state_ptr const& state, std::size_t shard);
    /** Restarts the query at the current index version if the pinned one was retired. @return whether it did. */
    bool restart_at_current_version(state_ptr const& state);
    /** Finishes the query when every shard is finished. */
    void finish_if_complete(state_ptr const& state);

    h2_client& m_client;                                ///< Transport.
    gather_options m_options;                           ///< Limits.
    replica_chooser m_chooser;                          ///< Replica policy.
    backend_tracker& m_tracker;                         ///< Observations.
    snapshot_source m_current;                          ///< Source of the current configuration.
    token_budget m_retry_budget;                        ///< Budget for retries.
    token_budget m_hedge_budget;                        ///< Budget for hedges.
    std::map<std::string, duration_window> m_latencies; ///< Recent shard latencies by service.
};

/** Steps of a non-idempotent request, for fault injection in tests. */
enum class write_step {
    before_claim,    ///< Nothing done yet.
    before_dispatch, ///< The claim is recorded; nothing sent to a backend server.
    before_record,   ///< The attempts have finished; the outcome is not recorded yet.
};

/** Settings of the write coordinator. */
struct write_options {
    std::string owner = "entry";             ///< Entry node id, stored in the records.
    std::size_t workers = 8;                 ///< Writes in progress at the same time.
    std::size_t queue_limit = 256;           ///< Maximum number of queued writes; more are rejected as not run.
    milliseconds default_deadline{2000};     ///< Deadline when the caller sets none.
    milliseconds claim_timeout{1000};        ///< Longest time spent on claiming while the store does not respond.
    milliseconds retry_delay{50};            ///< Wait before a failed store call is repeated.
    std::int64_t retention_s = 86400;        ///< How long a record is kept: the idempotency window.
    std::function<void(write_step)> on_step; ///< Fault-injection hook; may block, to simulate a paused process.
};

/** Outcome of a non-idempotent request. */
struct write_result {
    std::optional<write_response> response; ///< Its result, if it ran (now or for an earlier submission).
    std::optional<error> failure;           ///< Otherwise not_run, unavailable, conflict or outcome_unknown.
    int retry_after_s = 0;                  ///< Seconds after which the caller may retry.
};

/**
 * Runs non-idempotent requests at most once. Before anything is sent, the idempotency key is claimed by a
 * compare-and-swap record in the store. After an attempt whose outcome is unknown, nothing is sent again for
 * that key. See docs/design/at-most-once.md.
 */
class write_coordinator {
public:
    /**
     * @param store store client. @param client transport to backend servers. @param chooser replica policy.
     * @param tracker observations. @param options limits.
     */
    write_coordinator(store_client& store, h2_client& client, replica_chooser chooser, backend_tracker& tracker,
                      write_options options);
    /** Finishes the queued writes and those in progress, then stops the workers. */
    ~write_coordinator();
    /**
     * Queues one write. @param snapshot configuration to route by. @param request the caller's request.
     * @param done called once: from a worker thread, or at once for an unknown service or a full queue.
     */
    void run(std::shared_ptr<config_snapshot const> snapshot, write_request request,
             std::function<void(write_result)> done);
    /** @return record updates not yet written to the store. Thread-safe. */
    std::size_t pending_record_updates() const;

private:
    /** A queued write. */
    struct job {
        std::shared_ptr<config_snapshot const> snapshot; ///< Configuration to route by.
        write_request request;                           ///< Request.
        time_point deadline;                             ///< Time after which the caller no longer waits.
        std::function<void(write_result)> done;          ///< Receives the result.
    };
    /** A record update that must still be written. */
    struct record_update {
        std::string key;  ///< Store key.
        std::string from; ///< Value it must replace.
        std::string to;   ///< New value.
    };
    /** Outcome of claiming a key. */
    struct claim_result;
    /** Outcome of sending a claimed request to backend servers. */
    struct dispatch_result;

    /** Body of a worker: runs queued writes until the coordinator stops. */
    void run_worker();
    /** Claims the key of one write, sends the write and records its outcome. @return the result for the caller. */
    write_result execute(job& task);
    /**
     * Creates the record @p own_record at @p key, or returns the record that another submission left there.
     * @param key store key. @param own_record record to create. @param deadline deadline of the caller.
     */
    claim_result claim(std::string const& key, write_record const& own_record, time_point deadline);
    /** Sends a claimed write to one replica, and to others only as long as it is certain that it did not run. */
    dispatch_result dispatch(job const& task);
    /** Runs the replica policy on the client thread. @return index of the replica, or none. */
    std::optional<std::size_t> choose_replica(std::vector<replica> const& candidates, std::vector<bool> const& tried);
    /** Records in the tracker that a request was sent (no @p outcome), or its outcome. */
    void update_tracker(std::string const& backend, std::optional<attempt_outcome> outcome,
                        std::chrono::microseconds elapsed);
    /** @return the result of a submission whose key already has a record. */
    write_result replay(write_record const& record, write_request const& request) const;
    /** Writes a record update now, or queues it when the store does not respond. */
    void update_record(record_update change);
    /**
     * Writes a record update. @return whether it is in the store, or no longer needed because the record has changed.
     * @throw error when the store does not respond.
     */
    bool try_update(record_update const& change);
    /** Body of the recorder: writes queued record updates, repeating each until it is in the store. */
    void run_recorder();
    /** @return the store lease that new records are bound to; grants a new one when due. */
    std::int64_t retention_lease();
    /** @return a new unique claim id. */
    std::string new_claim_id();
    /** Runs the fault-injection hook. */
    void run_step_hook(write_step where) const;

    store_client& m_store;                  ///< Store.
    h2_client& m_client;                    ///< Transport.
    replica_chooser m_chooser;              ///< Replica policy; called on the client thread.
    backend_tracker& m_tracker;             ///< Observations; used on the client thread.
    write_options m_options;                ///< Limits.
    mutable std::mutex m_mutex;             ///< Guards the fields below.
    std::condition_variable m_job_ready;    ///< Wakes the workers for a job or the stop.
    std::condition_variable m_update_ready; ///< Wakes the recorder for an update or the stop.
    std::deque<job> m_jobs;                 ///< Queued writes.
    std::deque<record_update> m_updates;    ///< Record updates not yet in the store.
    std::mt19937_64 m_random;               ///< Source of claim ids.
    std::int64_t m_lease = 0;               ///< Current retention lease.
    time_point m_lease_renew_at;            ///< When the next retention lease is granted.
    bool m_stopping = false;                ///< Set to stop the workers and the recorder.
    std::vector<std::thread> m_workers;     ///< Workers.
    std::thread m_recorder;                 ///< Writes m_updates.
};

/** Settings of the VM-list watcher. */
struct vm_list_options {
    endpoint address;            ///< Address of the platform's VM list.
    milliseconds interval{1000}; ///< Time between reads.
    milliseconds timeout{1000};  ///< Timeout of one read.
};

/** A task that reads the platform's VM list and passes the addresses of leaving backend servers to the tracker. */
class vm_list_watcher {
public:
    /** @param client transport; its thread owns @p tracker. @param tracker updated. @param options address and
     * interval. */
    vm_list_watcher(h2_client& client, backend_tracker& tracker, vm_list_options options);
    /** Stops the task. */
    ~vm_list_watcher();

private:
    /** Reads the list once. */
    void read_once();

    h2_client& m_client;                 ///< Transport.
    backend_tracker& m_tracker;          ///< Updated on the client thread.
    vm_list_options m_options;           ///< Address and interval.
    std::atomic<bool> m_stopping{false}; ///< Set to stop the task.
    std::thread m_thread;                ///< The task.
};

} // namespace cornelspring
