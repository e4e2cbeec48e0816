/** @file transport.hpp HTTP/2 between the project's processes (nghttp2), HTTP/1.1 for callers (libwebsockets). */
#pragma once

#include <cornelspring/net.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelspring {

/** Sends the response to one request; may be called once, from any thread. */
using respond_fn = std::function<void(http_response)>;
/** Handles one request; must call the respond_fn exactly once, immediately or later, from any thread. */
using request_handler = std::function<void(http_request const&, respond_fn)>;

/** Address and limits of a server. */
struct server_options {
    endpoint listen{"127.0.0.1", 0};      ///< Address to bind; port 0 picks a free port.
    std::size_t max_body_bytes = 1 << 20; ///< Larger bodies are rejected with 413.
    std::size_t max_connections = 1024;   ///< Further connections are closed right after accept().
    milliseconds tick_interval{100};      ///< How often the tick hook runs.
};

/**
 * HTTP/2 server (h2c, prior knowledge) on nghttp2 sessions over plain sockets.
 * Its one thread owns the listening socket, all connections and all streams. Handlers run on that thread;
 * their responses are passed back to it through a queue.
 */
class h2_server {
public:
    /**
     * Binds the socket; the thread starts with start().
     * @param options address and limits.
     * @param handler called on the server thread for each complete request.
     * @throw error unavailable when the address cannot be bound.
     */
    h2_server(server_options options, request_handler handler);
    /** Stops the thread and closes every socket. */
    ~h2_server();
    h2_server(h2_server const&) = delete;
    h2_server& operator=(h2_server const&) = delete;

    /** @return the bound port. */
    std::uint16_t port() const;
    /** Starts the server thread. */
    void start();
    /** Sets a hook that runs on the server thread every tick_interval with the current time. @param tick the hook. */
    void set_tick(std::function<void(time_point)> tick);
    /** Queues @p task to run on the server thread. Thread-safe. @param task the work. */
    void post(std::function<void()> task);
    /**
     * Stops accepting connections, sends GOAWAY on the open ones, and waits until every accepted request has
     * its response or @p limit has passed.
     * @param limit longest wait.
     * @return the number of requests that still have no response.
     */
    std::size_t drain(milliseconds limit);
    /** @return the number of accepted requests that have no response yet. Thread-safe. */
    std::size_t in_flight() const;
    /** Fault injection: a frozen server reads no data and accepts no connections. @param frozen on or off. */
    void set_frozen(bool frozen);
    /** Fault injection: permanently stops reading and writing on the open connections; new connections work. */
    void silence_open_connections();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the server thread.
};

/** How a request to a peer finished; says whether it can have run, which at-most-once execution needs. */
enum class send_outcome {
    answered, ///< A response arrived.
    not_sent, ///< It did not run: no byte of it left this process, or the peer refused the stream unprocessed.
    unknown,  ///< It may have run: sent, but no complete, valid response arrived (timeout, reset, closed connection).
};

/** Result of one request to a peer. */
struct client_result {
    send_outcome outcome = send_outcome::not_sent; ///< How the request finished.
    http_response response;                        ///< The response, when answered.
    std::string detail;                            ///< Why it failed, for logs.
};

/** Called once with the result of a request, on the client thread. */
using result_callback = std::function<void(client_result)>;

/** Identifies a submitted request for cancellation. */
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

/** Limits of the client's connections and of the responses to it. */
struct client_options {
    milliseconds connect_timeout{1000}; ///< Longest wait for a TCP connection.
    milliseconds ping_after{500};     ///< With calls in flight, a PING is sent after this long without a byte received.
    milliseconds ping_timeout{500};   ///< A connection that receives no byte within this time after a PING is closed.
    milliseconds retire_after{100};   ///< A timed-out call retires its connection if no byte arrived for this long.
    message_limits response_limits{}; ///< Limits on the size of a response.
    /** Limit on the bytes of the bodies of all incomplete responses. Beyond it the largest one is rejected. */
    std::size_t max_incomplete_bytes = 64 << 20;
};

/** Counters of a client since its start. */
struct client_stats {
    std::uint64_t connections_opened = 0; ///< TCP connections started.
    std::uint64_t connections_silent = 0; ///< Connections closed because a PING got no response.
    std::uint64_t bytes_sent = 0;         ///< Bytes written to sockets.
    std::uint64_t bytes_received = 0;     ///< Bytes read from sockets.
};

/**
 * HTTP/2 client (h2c, prior knowledge) on nghttp2. Its one thread owns one open connection per peer, all
 * streams and all timers. Requests are passed to that thread through a queue. Result callbacks run on it, so
 * code that runs only in callbacks needs no locks.
 *
 * While calls are in flight, PINGs detect a connection that no longer delivers data. It is closed, so that its calls
 * finish as "unknown" well before their deadlines. After a GOAWAY, no new stream is opened on the connection.
 */
class h2_client {
public:
    /** Starts the client thread. @param options connection limits. */
    explicit h2_client(client_options options = {});
    /** Stops the thread; callbacks of requests still pending are not run. */
    ~h2_client();
    h2_client(h2_client const&) = delete;
    h2_client& operator=(h2_client const&) = delete;

    /**
     * Sends @p request to @p peer. Thread-safe.
     * @param peer address of the server.
     * @param request the request.
     * @param timeout time after which the stream is reset and the outcome is unknown, or not_sent if nothing was sent.
     * @param done called once with the result on the client thread.
     * @return an id for cancel().
     */
    call_id submit(endpoint const& peer, http_request request, milliseconds timeout, result_callback done);
    /** Cancels a call and resets its stream; its callback is not called. Thread-safe. @param id from submit(). */
    void cancel(call_id id);
    /** Queues @p task to run on the client thread. Thread-safe. @param task the work. */
    void post(std::function<void()> task);
    /** Runs @p task on the client thread at @p when; must be called on the client thread. */
    void run_at(time_point when, std::function<void()> task);
    /** @return counters since the start. Thread-safe. */
    client_stats stats() const;
    /**
     * Sends a request and blocks until its result; for tools and tests, not for the query path.
     * @param peer address.
     * @param request the request.
     * @param timeout time limit.
     * @return the result.
     */
    client_result call(endpoint const& peer, http_request request, milliseconds timeout);
    /** Stops the client thread; callbacks of requests still pending are not run. Called by the destructor too. */
    void stop();
    /** Closes the connection that takes new calls to @p peer, without GOAWAY (fault injection, removed peers). */
    void drop_connections(endpoint const& peer);

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the client thread.
};

/**
 * HTTP/1.1 server for callers and operators on libwebsockets. Its service thread owns the libwebsockets
 * context and all connections; responses are passed back to that thread through a queue.
 */
class http_server {
public:
    /**
     * Creates the libwebsockets context and binds the port.
     * @param options address and limits.
     * @param handler called on the service thread for each complete request.
     * @throw error unavailable when the port cannot be bound.
     */
    http_server(server_options options, request_handler handler);
    /** Stops the service thread and destroys the context. */
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /** @return the bound port. */
    std::uint16_t port() const;
    /** Starts the service thread. */
    void start();
    /**
     * Waits until every accepted request has its response or @p limit has passed.
     * @param limit longest wait.
     * @return the number of requests that still have no response.
     */
    std::size_t drain(milliseconds limit);
    /** @return the number of accepted requests that have no response yet. Thread-safe. */
    std::size_t in_flight() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the service thread.
};

/**
 * HTTP/1.1 client on libwebsockets for the load tool and the tests, which use entry nodes as callers do.
 * Its service thread owns the libwebsockets context and all connections. Requests are passed to that thread
 * through a queue, and result callbacks run on it. Each request has its own connection.
 */
class http_client {
public:
    /** Creates a libwebsockets context without a listener and starts the service thread. */
    http_client();
    /** Stops the thread; callbacks of requests still pending are not run. */
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /**
     * Sends @p request to @p peer. Thread-safe.
     * @param peer address. @param request the request. @param timeout time limit; then the outcome is unknown, or
     * not_sent.
     * @param done called once with the result on the client thread.
     */
    void submit(endpoint const& peer, http_request request, milliseconds timeout, result_callback done);
    /**
     * Sends a request and blocks until its result.
     * @param peer address. @param request the request. @param timeout time limit.
     * @return the result.
     */
    client_result call(endpoint const& peer, http_request request, milliseconds timeout);

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the service thread.
};

/** Makes SIGTERM and SIGINT wake wait_for_stop_signal(), and ignores SIGPIPE; call early in main. */
void install_stop_signals();

/** Blocks until SIGTERM or SIGINT arrives. */
void wait_for_stop_signal();

} // namespace cornelspring
