/** @file platform_store.hpp Stand-in for the store of the users' platform, over HTTP/1.1, with fault injection. */
#pragma once

#include <cornelspring/gateway.hpp>

#include "store/kv_store.hpp"

#include <nlohmann/json.hpp>

namespace cornelspring::testing {

/**
 * The platform's store as its documentation describes it: items, watches, transactions and leases. With the calls under
 * /stand-in/ a test writes the items of operators and backend servers, and sets faults. One of these restores the store
 * from an older copy, which loses all writes since that copy.
 */
class platform_store {
public:
    /** @param loop event loop. @param listen address to bind; port 0 picks a free port. */
    platform_store(event_loop& loop, endpoint const& listen);
    /** @return the bound port. */
    std::uint16_t port() const { return m_port; }

private:
    /** A watch call that waits for events. */
    struct waiting_watch {
        request_key key;        ///< Request.
        std::string prefix;     ///< Prefix of the watched keys.
        std::int64_t after = 0; ///< Events with a greater revision are reported.
        time_point until;       ///< Time at which a response without events is sent.
    };

    void on_request(caller_request request);
    /** Sends a response, with the era in its headers. */
    void respond(request_key key, http_response response);
    /** Restores the store from the last copy and starts a new era. */
    void restore();
    http_response handle(http_request const& request, bool& hold, request_key key);
    http_response control(std::string const& path, nlohmann::json const& body);
    http_response read_range(std::string const& target) const;
    http_response transact(nlohmann::json const& body);
    http_response lease_call(std::string const& path, http_request const& request, nlohmann::json const& body);
    nlohmann::json item(key_value const& kv) const;
    std::optional<http_response> watch_response(waiting_watch const& watch, bool timed_out) const;
    void respond_to_watches();
    void tick();

    event_loop& m_loop;                   ///< Event loop.
    caller_server m_server;               ///< HTTP server.
    kv_store m_store;                     ///< Items and leases.
    kv_store m_copy;                      ///< Copy from which restore() restores.
    std::int64_t m_era = 1;               ///< Era; incremented by each restore.
    std::vector<waiting_watch> m_watches; ///< Watch calls that wait for events.
    std::map<std::string, int> m_calls;   ///< Number of calls by path.
    std::string m_mode = "ok";            ///< "ok", "silent" (no responses) or "busy" (503).
    int m_lose_writes = 0;                ///< Number of transactions to apply without a response.
    bool m_deaf_watches = false;          ///< Watches receive no events, only empty responses after their wait.
    std::uint16_t m_port = 0;             ///< Bound port.
};

} // namespace cornelspring::testing
