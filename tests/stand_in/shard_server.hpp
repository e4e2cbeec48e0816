/** @file shard_server.hpp Stand-in for a backend server of the users' platform, with faults and a journal. */
#pragma once

#include <cornelspring/gateway.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring::testing {

/** Behaviour of a backend server for the next requests. */
struct shard_behaviour {
    /** One of: ok, shed (rejects with 503, not run), error (500), hang (no response), reset and silent_run (run, then
     *  close the connection without a response), extra (sends the response twice), late_extra (sends the response again
     *  before the next response), late_rejection (rejects like shed, and sends the rejection again before the next
     *  response), late_unidentified (the same, without the request id in the second rejection), unframed (no
     * content-length, then closes), endless_head, endless_interim, endless_body, endless_bytes (sends a header, interim
     * responses, a body or bytes that are no response until the connection is closed), truncated (closes before the
     * last bytes), no_signature (no server-stamp), encoded (claims gzip), early (rejects with 503 before the body is
     * complete), raw (sends raw_response). */
    std::string mode = "ok";
    int work_ms = 5;          ///< Simulated run time of a request.
    int times = -1;           ///< Number of requests to which it applies; -1 for all.
    std::string raw_response; ///< Bytes of the response in mode raw; each "{id}" stands for the request id.
};

/** How a crash of a backend server looks to its callers. */
struct crash_behaviour {
    std::string path;         ///< Path of the requests that crash the server; empty for none.
    milliseconds down{1000};  ///< Time after a crash until the server listens again.
    std::string form = "end"; ///< One of: end (of stream), reset, half_head, half_body, garbage (then end), silence.
};

/** A request that a backend server received. */
struct journal_entry {
    std::string request_id;    ///< Id of the request, set by the caller.
    std::string backend;       ///< Id of the backend server.
    std::string service;       ///< Service of the backend server.
    std::string line;          ///< Method and path.
    std::string body;          ///< Body.
    bool ran = false;          ///< Whether it ran.
    std::int64_t at_ms = 0;    ///< Time of receipt, steady clock, in milliseconds.
    std::string customer;      ///< Value of the header that names the customer.
    std::string authorization; ///< Value of the Authorization header.
    std::string headers;       ///< All headers.
};

/** One backend server. Serves one request at a time on each connection. */
class shard_server {
public:
    /** @param loop event loop. @param id id. @param service service. @param journal records the received requests. */
    shard_server(event_loop& loop, std::string id, std::string service, std::vector<journal_entry>& journal);
    /** @return the bound port. */
    std::uint16_t port() const { return m_port; }
    /** @return the id. */
    std::string const& id() const { return m_id; }
    /** @return the service. */
    std::string const& service() const { return m_service; }
    /** Sets the behaviour for the next requests. */
    void set_behaviour(shard_behaviour behaviour) { m_behaviour = std::move(behaviour); }
    /** Makes requests for a path crash the server when they run, unless the behaviour rejects them: all connections
     *  end, and new ones are refused for a while. */
    void set_crash(crash_behaviour crash) { m_crash = std::move(crash); }
    /** Changes the id, to simulate that another backend server now uses the address. */
    void rename(std::string id) { m_id = std::move(id); }
    /** @return the records in the response. @param service service. @param request_id id of the request. */
    static std::string records(std::string const& service, std::string const& request_id);

private:
    /** An open connection. */
    struct connection {
        std::unique_ptr<tcp_stream> stream;     ///< Stream.
        std::unique_ptr<message_reader> reader; ///< Parser of the requests.
        std::string late_response;              ///< Bytes to send before the next response.
        int socket = -1;                        ///< Socket of the stream.
        bool silent = false;                    ///< Nothing is read or sent any more.
    };
    void on_bytes(std::uint64_t number, std::string_view bytes);
    /** Rejects @p request, which does not run. @param misdirected it was meant for another server. */
    void reject(connection& to, http_request const& request, bool misdirected, std::string const& mode);
    void on_request(std::uint64_t number, http_request request);
    void respond(std::uint64_t number, http_request const& request, shard_behaviour const& behaviour);
    /** Sends bytes of the endless response to connection @p number, as fast as its peer reads. */
    void send_endlessly(std::uint64_t number, std::string const& bytes);
    /** @return the behaviour for the next request. */
    shard_behaviour consume_behaviour();
    /** Listens on @p port; 0 picks a free port. */
    void listen(std::uint16_t port);
    /** Ends all connections and the listener, and listens again after a while. @param number connection of the request
     *  that crashes the server. */
    void crash(std::uint64_t number);
    http_response make_response(http_request const& request) const;

    event_loop& m_loop;                                          ///< Event loop.
    std::string m_id;                                            ///< Id.
    std::string m_service;                                       ///< Service.
    std::vector<journal_entry>& m_journal;                       ///< Received requests.
    shard_behaviour m_behaviour;                                 ///< Behaviour for the next requests.
    crash_behaviour m_crash;                                     ///< Which requests crash the server, and how.
    std::unordered_map<std::uint64_t, connection> m_connections; ///< Open connections by number.
    std::uint64_t m_last_number = 0;                             ///< Number of the most recent connection.
    std::uint16_t m_port = 0;                                    ///< Bound port.
    std::unique_ptr<tcp_listener> m_listener;                    ///< Listener; null after a crash.
};

} // namespace cornelspring::testing
