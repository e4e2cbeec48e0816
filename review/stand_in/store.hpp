/** @file store.hpp Stand-in for the platform's store: keys, watches, transactions and leases. */
#pragma once

#include "http.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>

#include <nlohmann/json.hpp>

namespace review {

/** The platform's store, served on a loopback address. */
class platform_store {
public:
    /** Starts to serve. @param host loopback address. */
    explicit platform_store(std::string const& host);
    /** @return where it listens. */
    address const& where() const { return m_server->where(); }
    /** Writes an item as the operator or a backend server does. @param key key. @param value value. */
    void put(std::string const& key, std::string const& value);
    /** Removes an item as the operator or a backend server does. @param key key. */
    void drop(std::string const& key);
    /** From now on, cuts each watch that has waited for @p after; 0: none. @param after time. */
    void cut_watches(milliseconds after);
    /** @return the values of the items whose keys begin with @p prefix, by key. */
    std::map<std::string, std::string> items(std::string const& prefix) const;

private:
    /** One item. */
    struct item {
        std::string value;         ///< Value.
        std::int64_t revision = 0; ///< Last change.
        std::int64_t created = 0;  ///< Creation.
        std::int64_t lease = 0;    ///< Lease; 0: none.
    };
    /** A change. */
    struct change {
        std::int64_t revision = 0; ///< Its revision.
        std::string key;           ///< Key.
        std::optional<item> now;   ///< The item as written; nothing: it was removed.
    };
    /** A lease. */
    struct lease {
        milliseconds ttl{0};        ///< Time to live.
        steady::time_point ends_at; ///< When it ends.
    };

    /** Serves one connection. */
    void serve(connection& from);
    /** @return the response to @p request; nothing: the connection is closed. */
    std::optional<message> respond(message const& request);
    message range(message const& request);
    /** @return the response to a watch; nothing when it is cut. */
    std::optional<message> watch(message const& request);
    message transact(nlohmann::json const& body);
    message lease_call(std::string const& path, message const& request);
    /** Writes an item at revision @p revision. */
    void write(std::string const& key, std::string const& value, std::int64_t of_lease, std::int64_t revision);
    /** Removes an item at revision @p revision. */
    void remove(std::string const& key, std::int64_t revision);
    /** Removes a lease and its items. */
    void end_lease(std::int64_t number);
    /** Removes the leases that have ended. */
    void expire();

    mutable std::mutex m_mutex;             ///< Guards all below.
    std::condition_variable m_changed;      ///< Notified at each change.
    std::map<std::string, item> m_items;    ///< By key.
    std::vector<change> m_history;          ///< All changes, oldest first.
    std::map<std::int64_t, lease> m_leases; ///< By number.
    milliseconds m_cut_after{0};            ///< Watches are cut after this; 0: they are not.
    std::int64_t m_revision = 1;            ///< Revision of the last change.
    std::int64_t m_last_lease = 100;        ///< Last number of a lease.
    std::unique_ptr<server> m_server;       ///< Accepts connections.
};

} // namespace review
