/** @file transport.hpp HTTP/2 streams between our processes (nghttp2) and HTTP towards callers (libwebsockets). */
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

/** Sends the response to one request; may be called from any thread, once. */
using respond_fn = std::function<void(http_response)>;
/** Handles one request; must call the reply function exactly once, now or later, from any thread. */
using request_handler = std::function<void(http_request const&, respond_fn)>;

/** Limits and identity of a server. */
struct server_options {
    endpoint listen{"127.0.0.1", 0};      ///< Address to bind; port 0 picks a free port.
    std::size_t max_body_bytes = 1 << 20; ///< Larger bodies are refused with 413.
    std::size_t max_connections = 1024;   ///< Connections above this are closed at once.
    milliseconds tick_interval{100};      ///< How often the tick hook runs.
};

/**
 * HTTP/2 server with prior knowledge (h2c) built on nghttp2 sessions over plain sockets.
 * One task: a thread owns the listening socket, every connection and every stream; handlers run on it
 * and replies come back to it as messages through a queue.
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
    /** Sets a hook run on the server thread every tick with the present time. @param tick the hook. */
    void set_tick(std::function<void(time_point)> tick);
    /** Runs @p task on the server thread soon. Thread-safe. @param task the work. */
    void post(std::function<void()> task);
    /**
     * Stops accepting, sends GOAWAY on every connection, and waits until every accepted request has been
     * answered or @p limit has passed.
     * @param limit longest wait.
     * @return the number of requests still unanswered when it returned.
     */
    std::size_t drain(milliseconds limit);
    /** @return the number of requests accepted and not yet answered. Thread-safe. */
    std::size_t in_flight() const;
    /** Fault injection: a frozen server reads nothing and accepts nothing. @param frozen on or off. */
    void set_frozen(bool frozen);
    /** Fault injection: connections open now go silent for good (nothing read, nothing written); new ones work. */
    void silence_open_connections();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the server thread.
};

/** Why a request to a peer failed, in the terms the caller needs for "not run" and at-most-once. */
enum class send_outcome {
    answered, ///< A response arrived.
    not_sent, ///< No byte of the request left this process: it did not run.
    unknown,  ///< The request was sent, but no response came (timeout, reset, closed connection).
};

/** Result of one request to a peer. */
struct client_result {
    send_outcome outcome = send_outcome::not_sent; ///< What is known about the request.
    http_response response;                        ///< The response when answered.
    std::string detail;                            ///< Why it failed, for logs.
};

/** Called once with the result of a request, on the client thread. */
using result_callback = std::function<void(client_result)>;

/** Identifies a submitted request for cancellation. */
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

/** Limits of the client's connections. */
struct client_options {
    milliseconds connect_timeout{1000}; ///< Longest wait for a TCP connection.
    milliseconds ping_after{500};       ///< With calls open, a PING is sent after this long without a byte read.
    milliseconds ping_timeout{500};     ///< No byte this long after a PING: the connection is silent and is closed.
    milliseconds retire_after{100};     ///< A call that timed out on a connection quiet this long retires it.
};

/** What the client has done since it started. */
struct client_stats {
    std::uint64_t connections_opened = 0; ///< TCP connections begun.
    std::uint64_t connections_silent = 0; ///< Connections closed because a PING got no answer.
    std::uint64_t bytes_sent = 0;         ///< Bytes written to sockets.
    std::uint64_t bytes_received = 0;     ///< Bytes read from sockets.
};

/**
 * HTTP/2 client (h2c, prior knowledge) on nghttp2: one task whose thread owns one warm connection per
 * peer, every stream and every timer. Requests arrive as messages; results leave through callbacks run
 * on that thread, so code driven by callbacks needs no locks of its own.
 *
 * A connection that goes silent while calls are open is found by PING and closed, so its calls end as
 * "unknown" well before their deadlines; a peer that sends GOAWAY gets no new stream on that connection.
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
     * @param timeout time after which the request is reset and reported "unknown" (or "not sent").
     * @param done called once with the result on the client thread.
     * @return an id for cancel().
     */
    call_id submit(endpoint const& peer, http_request request, milliseconds timeout, result_callback done);
    /** Resets the stream of @p id; its callback is not called. Thread-safe. @param id from submit(). */
    void cancel(call_id id);
    /** Runs @p task on the client thread. Thread-safe. @param task the work. */
    void post(std::function<void()> task);
    /** Runs @p task on the client thread at @p when; call on the client thread only. */
    void run_at(time_point when, std::function<void()> task);
    /** @return counters since the start. Thread-safe. */
    client_stats stats() const;
    /**
     * Sends and waits for the result; for tools and tests, not for the query path.
     * @param peer address.
     * @param request the request.
     * @param timeout deadline.
     * @return the result.
     */
    client_result call(endpoint const& peer, http_request request, milliseconds timeout);
    /** Ends the client thread; requests still open get no callback. Called by the destructor too. */
    void stop();
    /** Closes every connection to @p peer abruptly (fault injection and after a peer was removed). */
    void drop_connections(endpoint const& peer);

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the client thread.
};

/**
 * HTTP/1.1 server for callers and operators on libwebsockets. One task: its service thread owns the
 * context and every connection; replies come back to it as messages through a queue.
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
     * Waits until every accepted request has been answered or @p limit passed.
     * @param limit longest wait.
     * @return requests still unanswered.
     */
    std::size_t drain(milliseconds limit);
    /** @return requests accepted and not yet answered. Thread-safe. */
    std::size_t in_flight() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the service thread.
};

/**
 * HTTP/1.1 client on libwebsockets, as callers use the entry nodes: for the load tool and the tests.
 * One task: its service thread owns the context and every connection; a request arrives as a message
 * and its result leaves through a callback run on that thread. One connection per request.
 */
class http_client {
public:
    /** Creates the client-only context and starts the service thread. */
    http_client();
    /** Stops the thread; callbacks of requests still pending are not run. */
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /**
     * Sends @p request to @p peer. Thread-safe.
     * @param peer address. @param request the request. @param timeout deadline; the result is then "unknown".
     * @param done called once with the result on the client thread.
     */
    void submit(endpoint const& peer, http_request request, milliseconds timeout, result_callback done);
    /** Sends and waits. @param peer address. @param request request. @param timeout deadline. @return the result. */
    client_result call(endpoint const& peer, http_request request, milliseconds timeout);

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State owned by the service thread.
};

/** Makes SIGTERM and SIGINT set a flag that wait_for_stop_signal() waits on; call early in main. */
void install_stop_signals();

/** Blocks until SIGTERM or SIGINT arrives. */
void wait_for_stop_signal();

} // namespace cornelspring
