/** @file shard_server.hpp Stand-in for backend servers on the users' platform, with faults and a journal. */
#pragma once

#include <cornelspring/gateway.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring::testing {

/** What a backend server does with the next requests. */
struct shard_behaviour {
    /** One of: ok, shed, error, hang, reset, silent_run (runs, answer lost), extra (a second answer after it),
     *  late_extra (the second answer comes before the next one), unframed (no length), truncated, no_signature,
     *  encoded, early (answers before the body is in). */
    std::string mode = "ok";
    int work_ms = 5; ///< Time a request takes.
    int times = -1;  ///< Requests it applies to; -1: all.
};

/** A request that reached a backend server. */
struct journal_entry {
    std::string request_id; ///< Caller's id.
    std::string backend;    ///< Backend server.
    std::string service;    ///< Service.
    std::string line;       ///< Method and path.
    std::string body;       ///< Body.
    bool ran = false;       ///< It ran.
    std::int64_t at_ms = 0; ///< Steady clock.
};

/** One backend server: serves one request at a time on each connection. */
class shard_server {
public:
    /** @param loop event loop. @param id its id. @param service its service. @param journal receives what arrives. */
    shard_server(event_loop& loop, std::string id, std::string service, std::vector<journal_entry>& journal);
    /** @return the bound port. */
    std::uint16_t port() const { return m_port; }
    /** @return its id. */
    std::string const& id() const { return m_id; }
    /** @return its service. */
    std::string const& service() const { return m_service; }
    /** Sets what it does. */
    void set_behaviour(shard_behaviour behaviour) { m_behaviour = std::move(behaviour); }
    /** From now on a request for @p path crashes it once it runs, whatever it does with others: all its connections
     *  close, and it refuses new ones for @p down. */
    void crash_on(std::string path, milliseconds down);
    /** Changes its id, as when another backend server gets the address. */
    void rename(std::string id) { m_id = std::move(id); }
    /** @return the records it holds. @param request_id request. */
    static std::string records(std::string const& service, std::string const& request_id);

private:
    /** A connection. */
    struct connection {
        std::unique_ptr<tcp_stream> stream;     ///< Connection.
        std::unique_ptr<message_reader> reader; ///< Reader.
        std::string late_response;              ///< Bytes that go out before the next answer.
    };
    void on_bytes(std::uint64_t number, std::string_view bytes);
    void on_request(std::uint64_t number, http_request request);
    void respond(std::uint64_t number, http_request const& request, std::string const& mode);
    std::string consume_mode();
    /** Listens at @p port; 0 picks one. */
    void listen(std::uint16_t port);
    /** Ends all connections, and is back after a while. */
    void crash();
    http_response make_response(http_request const& request) const;

    event_loop& m_loop;                                          ///< Event loop.
    std::string m_id;                                            ///< Id.
    std::string m_service;                                       ///< Service.
    std::vector<journal_entry>& m_journal;                       ///< What arrived.
    shard_behaviour m_behaviour;                                 ///< What it does.
    std::string m_crash_path;                                    ///< What crashes it; empty: nothing.
    milliseconds m_down_time{0};                                 ///< Time until it is back after a crash.
    std::unordered_map<std::uint64_t, connection> m_connections; ///< By number.
    std::uint64_t m_last_number = 0;                             ///< Last number.
    std::uint16_t m_port = 0;                                    ///< Bound port.
    std::unique_ptr<tcp_listener> m_listener;                    ///< Listener; null while it is down.
};

} // namespace cornelspring::testing
