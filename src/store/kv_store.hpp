/** @file kv_store.hpp In-memory state of the store stand-in: keys, revisions, history, leases. */
#pragma once

#include <cornelspring/protocol.hpp>

#include <deque>
#include <map>
#include <set>

namespace cornelspring {

/**
 * The key-value state of the store stand-in, with the semantics of etcd v3 that this project relies on:
 * one revision counter for the whole store, compare-and-swap transactions, leases whose lapse deletes
 * their keys, and a bounded history for watches. Single-threaded: its owner is the store's server task.
 */
class kv_store {
public:
    /** @param history_limit events kept for watches; older ones are compacted. */
    explicit kv_store(std::size_t history_limit = 100000);

    /** @return the store's current revision. */
    std::int64_t revision() const { return m_revision; }
    /** @return the oldest revision a watch may start after. */
    std::int64_t compacted() const { return m_compacted; }

    /**
     * Writes @p key. @param key key. @param value value. @param lease lease id or 0.
     * @return the revision of the write. @throw error not_found when the lease does not exist.
     */
    std::int64_t put(std::string const& key, std::string const& value, std::int64_t lease);
    /** @return keys in [key, range_end), or only @p key when @p range_end is empty. */
    std::vector<key_value> range(std::string const& key, std::string const& range_end) const;
    /** Deletes keys in the range. @return the number deleted. */
    std::int64_t remove(std::string const& key, std::string const& range_end);
    /** Runs a compare-and-swap transaction as one revision. @return its result. */
    txn_result txn(txn_request const& request);

    /**
     * Grants a lease. @param ttl_s time to live in seconds. @param now present time.
     * @param requested_id id asked for, or 0 to pick one. @return the lease id.
     */
    std::int64_t grant(std::int64_t ttl_s, time_point now, std::int64_t requested_id);
    /** Renews lease @p id at @p now. @return its ttl in seconds. @throw error not_found when it lapsed. */
    std::int64_t keepalive(std::int64_t id, time_point now);
    /** Ends lease @p id and deletes its keys. */
    void revoke(std::int64_t id);
    /** Gives every lease its whole time to live again, as after a time in which the store was away. @param now present
     *  time. */
    void renew_all_leases(time_point now);
    /** Ends every lease whose time ran out before @p now. @return the ids ended. */
    std::vector<std::int64_t> expire(time_point now);

    /**
     * @return events with revision above @p after on keys in the range, oldest first.
     * @throw error conflict when @p after is older than the compacted revision.
     */
    std::vector<watch_event> events_after(std::int64_t after, std::string const& key,
                                          std::string const& range_end) const;

private:
    /** Lease bookkeeping. */
    struct lease_state {
        std::int64_t ttl_s = 0;     ///< Time to live.
        time_point expiry;          ///< When it lapses unless renewed.
        std::set<std::string> keys; ///< Keys bound to it.
    };

    /** @return true when @p key lies in the range. */
    static bool in_range(std::string const& key, std::string const& start, std::string const& range_end);
    /** Records an event and trims history. */
    void record(watch_event event);
    /** Starts a new revision for a write when one is not open. */
    std::int64_t open_revision();
    /** Deletes @p key at the open revision. */
    void erase_key(std::string const& key);
    /** @return whether comparison @p c holds. */
    bool holds(compare const& c) const;
    /** Applies one operation of a transaction. */
    void apply(txn_op const& op, txn_result& result);

    std::map<std::string, key_value> m_data;      ///< Current keys.
    std::map<std::int64_t, lease_state> m_leases; ///< Live leases.
    std::deque<watch_event> m_history;            ///< Recent events, oldest first.
    std::size_t m_history_limit;                  ///< Most events kept.
    std::int64_t m_revision = 1;                  ///< Current revision.
    std::int64_t m_compacted = 0;                 ///< Events at or below this were dropped.
    std::int64_t m_next_lease = 0x1000;           ///< Next lease id.
    bool m_revision_open = false;                 ///< A write batch is in progress.
};

} // namespace cornelspring
