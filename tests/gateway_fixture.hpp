/** @file gateway_fixture.hpp Gateways, the platform's store and backend servers as processes on loopback. */
#pragma once

#include "process_fixture.hpp"

#include <nlohmann/json.hpp>

namespace cornelspring::testing {

/** A blocking connection that sends and receives raw bytes. */
class raw_connection {
public:
    /** Connects; reads and writes give up after five seconds. @param peer address. @param from own numeric address. */
    explicit raw_connection(endpoint const& peer, std::string const& source = "127.0.0.1");
    ~raw_connection();
    raw_connection(raw_connection const&) = delete;
    raw_connection& operator=(raw_connection const&) = delete;
    /** Sends @p bytes. */
    void send(std::string const& bytes);
    /** @return one response, or nothing when the connection ended before a whole one came. */
    std::optional<http_response> receive();

private:
    int m_fd;               ///< Socket.
    std::string m_unparsed; ///< Bytes after the last response.
};

/** One fleet. Services: g0 to g3 (shards) and s; two backend servers each, in failure domains d1 and d2. */
class gateway_fleet {
public:
    gateway_fleet();
    /** Starts gateway @p number (1 to 9) in failure domain @p domain and waits until it is ready. */
    void start_gateway(int number, std::string const& domain = "d1", bool wait = true);
    /** Waits until gateway @p number answers the readiness question with @p status. */
    void await_ready(int number, int status = 200);
    /** @return the address of gateway @p number for @p what: frontend, ready, control_plane or directory. */
    static endpoint address(int number, char const* what);
    /** Sends a request over a new connection from the address @p from. @return the response, or status 0 when none
     *  came. */
    http_response send_request(int number, std::string const& path, std::string const& id,
                               std::string const& method = "GET", std::string const& body = "",
                               std::string const& source = "127.0.0.1");
    /** @return the answer of @p path at @p to. */
    static http_response get(endpoint const& to, std::string const& path);
    /** Puts configuration @p version into the store, gathering over @p shards, with @p homes for all routes. */
    void configure(int version, std::vector<std::string> const& shards = {"g0", "g1", "g2", "g3"},
                   std::vector<std::string> const& home_regions = {});
    /** Calls the store's own API for tests. */
    nlohmann::json call_store(std::string const& path, nlohmann::json const& body = nlohmann::json::object());
    /** Sets what backend servers do. */
    void set_backend_behavior(nlohmann::json const& what);
    /** @return all that reached backend servers. */
    nlohmann::json journal();
    /** @return the entries of all backend servers. */
    nlohmann::json registrations();
    /** Writes an entry of a backend server. */
    void register_backend(std::string const& id, nlohmann::json const& entry);

    process_group processes; ///< All processes.

private:
    /** Posts JSON. */
    static nlohmann::json post(endpoint const& to, std::string const& path, nlohmann::json const& body);
    std::uint16_t m_store_port = 0;    ///< Store's port.
    std::uint16_t m_backends_port = 0; ///< Control port of the backend servers.
};

/** @return whether @p holds came true within ten seconds. */
bool within_ten_seconds(std::function<bool()> const& condition);

} // namespace cornelspring::testing
