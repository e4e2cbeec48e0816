/** @file platform_store.hpp Stand-in for the users' platform store, over HTTP/1.1, with faults. */
#pragma once

#include <cornelspring/gateway.hpp>

#include "store/kv_store.hpp"

#include <nlohmann/json.hpp>

namespace cornelspring::testing {

/**
 * The platform's store as its page describes it: items, watches, transactions, leases. Besides, calls under /stand-in/
 * by which a test writes what operators and backend servers would write, and sets faults: among these the loss of all
 * that was written since a copy was made.
 */
class platform_store {
public:
    /** @param loop event loop. @param listen address; port 0 picks one. */
    platform_store(event_loop& loop, endpoint const& listen);
    /** @return the bound port. */
    std::uint16_t port() const { return m_port; }

private:
    /** A watch that waits. */
    struct waiting_watch {
        request_key key;        ///< Its request.
        std::string prefix;     ///< Prefix watched.
        std::int64_t after = 0; ///< Revision it has seen.
        time_point until;       ///< When it is answered without events.
    };

    void on_request(caller_request request);
    /** Answers a call, naming the era. */
    void respond(request_key key, http_response response);
    /** Puts back what the store held when the last copy was made. */
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
    kv_store m_store;                     ///< State.
    kv_store m_copy;                      ///< State when the last copy was made.
    std::int64_t m_era = 1;               ///< Rises with each return to a copy.
    std::vector<waiting_watch> m_watches; ///< Waiting watches.
    std::map<std::string, int> m_calls;   ///< Calls by path.
    std::string m_mode = "ok";            ///< ok, silent, busy.
    int m_lose_writes = 0;                ///< Writes done whose answer is lost.
    bool m_deaf_watches = false;          ///< Waiting watches hear nothing.
    std::uint16_t m_port = 0;             ///< Bound port.
};

} // namespace cornelspring::testing
