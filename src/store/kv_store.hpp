/** @file kv_store.hpp In-memory state of the store stand-in: items, revisions, history and leases. */
#pragma once

#include <cornelspring/protocol.hpp>

#include <deque>
#include <map>
#include <set>

namespace cornelspring {

/**
 * Key-value state of the store stand-in, with the semantics of etcd v3 that this project relies on:
 * one revision counter for the whole store, compare-and-swap transactions, leases that delete their keys
 * when they expire, and a bounded history for watches. Not thread-safe: only the store's server thread uses it.
 */
class kv_store {
public:
    /** @param history_limit number of events held for watches; older ones are compacted. */
    explicit kv_store(std::size_t history_limit = 100000);

    /** @return the store's current revision. */
    std::int64_t revision() const { return m_revision; }
    /** @return the lowest revision after which a watch may start. */
    std::int64_t compacted() const { return m_compacted; }

    /**
     * Writes @p key. @param key key. @param value value. @param lease lease id, or 0 for none.
     * @return the revision of the write. @throw error not_found when the lease does not exist.
     */
    std::int64_t put(std::string const& key, std::string const& value, std::int64_t lease);
    /** @return the items in [key, range_end), or only that of @p key when @p range_end is empty. */
    std::vector<key_value> range(std::string const& key, std::string const& range_end) const;
    /** Deletes the items in the range. @return the number of deleted items. */
    std::int64_t remove(std::string const& key, std::string const& range_end);
    /** Runs a compare-and-swap transaction as one revision. @return its result. */
    txn_result txn(txn_request const& request);

    /**
     * Grants a lease. @param ttl_s time to live in seconds. @param now current time.
     * @param requested_id lease id to use, or 0 to assign one. @return the lease id.
     */
    std::int64_t grant(std::int64_t ttl_s, time_point now, std::int64_t requested_id);
    /** Renews lease @p id at @p now. @return its time to live in seconds. @throw error not_found when it has expired.
     */
    std::int64_t keepalive(std::int64_t id, time_point now);
    /** Revokes lease @p id and deletes its keys. */
    void revoke(std::int64_t id);
    /** Restarts the time to live of every lease, as a store does after an outage. @param now current time. */
    void renew_all_leases(time_point now);
    /** Revokes every lease that has expired at @p now. @return the ids of these leases. */
    std::vector<std::int64_t> expire(time_point now);

    /**
     * @return the events in the range with a revision greater than @p after, oldest first.
     * @throw error conflict when @p after is less than compacted().
     */
    std::vector<watch_event> events_after(std::int64_t after, std::string const& key,
                                          std::string const& range_end) const;

private:
    /** State of a lease. */
    struct lease_state {
        std::int64_t ttl_s = 0;     ///< Time to live.
        time_point expiry;          ///< Time at which it expires unless it is renewed.
        std::set<std::string> keys; ///< Keys attached to it.
    };

    /** @return whether @p key is in the range. */
    static bool in_range(std::string const& key, std::string const& start, std::string const& range_end);
    /** Appends an event to the history and compacts the history to its limit. */
    void record(watch_event event);
    /** Starts a new revision unless a transaction has one open. @return the open revision. */
    std::int64_t open_revision();
    /** Deletes @p key at the open revision. */
    void erase_key(std::string const& key);
    /** @return whether comparison @p c is true. */
    bool holds(compare const& c) const;
    /** Applies one operation of a transaction. */
    void apply(txn_op const& op, txn_result& result);

    std::map<std::string, key_value> m_data;      ///< Current items by key.
    std::map<std::int64_t, lease_state> m_leases; ///< Leases that have not expired, by id.
    std::deque<watch_event> m_history;            ///< Recent events, oldest first.
    std::size_t m_history_limit;                  ///< Largest number of events held.
    std::int64_t m_revision = 1;                  ///< Current revision.
    std::int64_t m_compacted = 0;                 ///< Highest revision of a compacted event.
    std::int64_t m_next_lease = 0x1000;           ///< Next lease id to assign.
    bool m_revision_open = false;                 ///< Further writes belong to the current revision.
};

} // namespace cornelspring
