/** @file http.hpp Small blocking HTTP/1.1 client and server on loopback, for the stand-ins of the review. */
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Headers by lower-case name. */
using header_map = std::map<std::string, std::string>;

/** An IPv4 address and a port. */
struct address {
    std::string host;       ///< Loopback address.
    std::uint16_t port = 0; ///< Port; 0: the system chooses one.
    /** @return HOST:PORT. */
    std::string text() const { return host + ":" + std::to_string(port); }
};

/** A request or a response. */
struct message {
    std::string method; ///< Method of a request.
    std::string target; ///< Request target.
    int status = 0;     ///< Status of a response.
    header_map headers; ///< Headers.
    std::string body;   ///< Body.
    /** @return the header @p name, or nothing in it. @param name lower-case name. */
    std::string header(std::string const& name) const;
};

/** @return @p response as bytes, with a Content-Length. */
std::string serialize_response(message const& response);
/** @return @p request as bytes, with a Content-Length if it has a body. */
std::string serialize_request(message const& request);

/** A connected TCP socket. */
class connection {
public:
    /** @param fd connected socket. */
    explicit connection(int fd) : m_fd(fd) {}
    /** Connects to @p peer. @return the connection, or nothing. @param receive_buffer size of the socket's receive
     *  buffer in bytes; 0: the system's. */
    static std::optional<connection> open(address const& peer, int receive_buffer = 0);
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection();

    /** Sends all @p bytes. @return whether the socket accepted them. */
    bool send(std::string const& bytes);
    /** Reads one message. @param is_request whether it is a request. @param until latest time. @return the message, or
     *  nothing when the connection ended or the time was over before it was complete. */
    std::optional<message> read(bool is_request, steady::time_point until);
    /** Reads at most @p size bytes. @return the bytes; empty: none until @p until or the connection ended. */
    std::string read_some(std::size_t size, steady::time_point until);
    /** @return whether the peer has closed or reset the connection. */
    bool peer_gone() const;
    /** @return why the last read ended without a complete message. */
    std::string const& end_reason() const { return m_end; }

private:
    /** Reads more bytes into the buffer. @return whether there were any. */
    bool fill(steady::time_point until);

    int m_fd = -1;        ///< Socket.
    std::string m_buffer; ///< Bytes read and not yet used.
    std::string m_end;    ///< Why the last read ended.
};

/** Accepts connections and serves each of them in a thread of its own. */
class server {
public:
    /** Listens on @p host. @param host loopback address. @param port port; 0 picks a free one. @param serve serves one
     *  connection until it ends. */
    server(std::string const& host, std::uint16_t port, std::function<void(connection&)> serve);
    /** @return where it listens. */
    address const& where() const { return m_where; }
    /** Stops listening: later connections are refused. */
    void stop();

private:
    std::atomic<bool> m_stopped{false};       ///< stop() was called.
    int m_fd = -1;                            ///< Listening socket.
    address m_where;                          ///< Where it listens.
    std::function<void(connection&)> m_serve; ///< Serves one connection.
};

/** @return a port of @p host that is free now. */
std::uint16_t free_port(std::string const& host);
/** Sends one request on a new connection. @return the response, or nothing. */
std::optional<message> fetch(address const& peer, message request, milliseconds timeout);

} // namespace review
