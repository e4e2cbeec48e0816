/** @file coordination.hpp Store client, configuration watch, membership by leases, and scatter-gather. */
#pragma once

#include <cornelspring/state.hpp>
#include <cornelspring/transport.hpp>

#include <atomic>
#include <thread>

namespace cornelspring {

/** Result of a store watch call. */
struct watch_batch {
    std::vector<watch_event> events; ///< Changes, oldest first.
    std::int64_t revision = 0;       ///< Store revision when answered.
    bool compacted = false;          ///< The start revision is gone: read everything again.
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
    /** @return keys under @p prefix and the read's revision. */
    std::pair<std::vector<key_value>, std::int64_t> range_prefix(std::string const& prefix);
    /** @return the key, if present, and the read's revision. */
    std::pair<std::optional<key_value>, std::int64_t> get(std::string const& key);
    /** Writes @p key. @return the write's revision. */
    std::int64_t put(std::string const& key, std::string const& value, std::int64_t lease = 0);
    /** Runs a transaction. @return its result. */
    txn_result txn(txn_request const& request);
    /** @return a new lease with @p ttl_s seconds to live. */
    std::int64_t grant_lease(std::int64_t ttl_s);
    /** Renews @p lease. @throw error not_found when it lapsed. */
    void keep_alive(std::int64_t lease);
    /** Ends @p lease. */
    void revoke(std::int64_t lease);
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
 * revision. On any failure it waits and reads everything again; the view's monotonic rule keeps a
 * stale read from reverting what was applied.
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
 * lease lapses (the process was paused, the store was down) it grants a new one and registers again.
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
    std::int64_t m_lease = 0;            ///< Current lease, or 0.
    std::atomic<bool> m_stopping{false}; ///< Set to end the task.
    std::thread m_thread;                ///< The task.
};

/** Outcome of a scatter-gather. */
struct gather_result {
    std::optional<query_answer> answer; ///< The answer, when at least one shard answered.
    std::optional<error> failure;       ///< Otherwise why not.
    int retry_after_s = 0;              ///< When the caller may come back, for failures.
    std::int32_t dispatched = 0;        ///< Shard requests submitted (first tries and retries).
    std::int32_t reached = 0;           ///< Of those, requests that left this process (may have run).
};

/** Chooses among replicas of a shard: returns an index into @p candidates, skipping @p tried. */
using replica_chooser = std::function<std::optional<std::size_t>(std::vector<replica> const& candidates,
                                                                 std::vector<bool> const& tried, time_point now)>;

/** @return a chooser that takes the first untried replica after a start chosen by the request's hash. */
replica_chooser make_rotating_chooser();

/** Settings of scatter-gather. */
struct gather_options {
    milliseconds default_deadline{1000};  ///< Deadline when the caller gives none.
    std::int32_t max_tries_per_shard = 3; ///< First try plus retries on other replicas.
};

/**
 * Fans a query out to one replica of every shard of a service, pinned to one index version, retries
 * shards on other replicas that hold the same version, and merges what came back before the deadline.
 * Runs on the HTTP/2 client's thread: its per-query state is touched only there.
 */
class scatter_gather {
public:
    /** @param client transport. @param options limits. @param chooser replica policy. */
    scatter_gather(h2_client& client, gather_options options, replica_chooser chooser);
    /**
     * Starts one query. @param snapshot configuration to route by. @param query the caller's request, with its id.
     * @param done called once on the client thread with the result.
     */
    void run(std::shared_ptr<config_snapshot const> snapshot, query_request query,
             std::function<void(gather_result)> done);

private:
    struct query_state;
    /** Sends shard @p shard of @p state to its next replica, or marks it failed. */
    void send_shard(std::shared_ptr<query_state> const& state, std::size_t shard);
    /** Handles the result of one shard request. */
    void on_result(std::shared_ptr<query_state> const& state, std::size_t shard, client_result result);
    /** Finishes the query when every shard is settled. */
    void maybe_finish(std::shared_ptr<query_state> const& state);

    h2_client& m_client;       ///< Transport.
    gather_options m_options;  ///< Limits.
    replica_chooser m_chooser; ///< Policy.
};

} // namespace cornelspring
