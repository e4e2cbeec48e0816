/** @file gateway_fixture.hpp Gateways, the platform's store and backend servers as processes on loopback. */
#pragma once

#include "process_fixture.hpp"

#include <nlohmann/json.hpp>

namespace cornelspring::testing {

/** A blocking connection that sends and receives raw bytes. */
class raw_connection {
public:
    /** Connects; receive() times out after five seconds without data. @param peer address to connect to.
     *  @param source numeric local address of the connection. */
    explicit raw_connection(endpoint const& peer, std::string const& source = "127.0.0.1");
    ~raw_connection();
    raw_connection(raw_connection const&) = delete;
    raw_connection& operator=(raw_connection const&) = delete;
    void send(std::string const& bytes);
    /** @return the next response, or nothing when none arrived completely, in time and well-formed. */
    std::optional<http_response> receive();

private:
    int m_fd;               ///< Socket.
    std::string m_unparsed; ///< Bytes received after the last response.
};

/**
 * Gateways, one store and backend servers. Services: g0 to g3 (shards of a gather) and s, each with two backend
 * servers, one in failure domain d1 and one in d2.
 */
class gateway_fleet {
public:
    gateway_fleet();
    /** Starts gateway @p number (1 to 9) in failure domain @p domain. @param wait whether to wait until it is ready. */
    void start_gateway(int number, std::string const& domain = "d1", bool wait = true);
    /** Waits until the readiness endpoint of gateway @p number responds with @p status.
     *  @throw error unavailable after ten seconds. */
    void await_ready(int number, int status = 200);
    /** @return the address of gateway @p number for @p purpose: frontend, ready, control_plane or directory. */
    static endpoint address(int number, char const* purpose);
    /** Sends a request to gateway @p number over a new connection from the address @p source. @return the response; its
     *  status is 0 when there was none. */
    http_response send_request(int number, std::string const& path, std::string const& id,
                               std::string const& method = "GET", std::string const& body = "",
                               std::string const& source = "127.0.0.1");
    /** @return the response to a GET of @p path at @p to; its status is 0 when there was none. */
    static http_response get(endpoint const& to, std::string const& path);
    /** Replaces the store by a server that sends @p response, and @p repeated without an end, for each read. */
    void break_store(std::string const& response, std::string const& repeated = "");
    /** Replaces that server by a new, empty store, and writes all registrations and configuration @p version to it. */
    void replace_store(int version);
    /** @return the peak of the memory of gateway @p number in MiB. */
    int peak_memory_mib(int number) const;
    /** Writes configuration @p version into the store: the gather is over @p shards, all routes have
     * @p home_region_set. @param customers customers in the platform's format; empty: none.
     */
    void configure(int version, std::vector<std::string> const& shards = {"g0", "g1", "g2", "g3"},
                   std::vector<std::string> const& home_region_set = {},
                   nlohmann::json const& customers = nlohmann::json::array());
    /** Calls the test API of the store process. @return its response. */
    nlohmann::json call_store(std::string const& path, nlohmann::json const& body = nlohmann::json::object());
    /** Sets the behavior of backend servers, e.g. a fault mode or the time per request. */
    void set_backend_behavior(nlohmann::json const& behavior);
    /** @return the journal of all requests that reached backend servers, in order of arrival. */
    nlohmann::json journal();
    /** @return the registrations of all backend servers, by id. */
    nlohmann::json registrations();
    /** Writes the registration @p entry of backend server @p id into the store. */
    void register_backend(std::string const& id, nlohmann::json const& entry);

    process_group processes; ///< All processes.

private:
    /** Sends a POST request with a JSON body. @return the JSON of the response; null when there was none. */
    static nlohmann::json post(endpoint const& to, std::string const& path, nlohmann::json const& body);
    std::uint16_t m_store_port = 0;    ///< Port of the store.
    std::uint16_t m_backends_port = 0; ///< Control port of the backend servers.
};

/** Polls @p condition. @return whether it became true within ten seconds. */
bool within_ten_seconds(std::function<bool()> const& condition);

} // namespace cornelspring::testing
