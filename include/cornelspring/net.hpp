/** @file net.hpp Event loop, TCP streams and strict HTTP/1.1 messages for processes with one I/O thread. */
#pragma once

#include <cornelspring/base.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cornelspring {

/** One HTTP header. */
struct http_header {
    std::string name;  ///< Lower-case name.
    std::string value; ///< Value.
};

/** A request as the transport delivers it to a handler or sends it to a peer. */
struct http_request {
    std::string method = "GET";       ///< HTTP method.
    std::string path = "/";           ///< Path with query string.
    std::vector<http_header> headers; ///< Headers other than pseudo-headers.
    std::string body;                 ///< Body.
    /** Set once the peer gave the request up (stream reset or connection lost); null on the sending side. */
    std::shared_ptr<std::atomic<bool>> cancelled;
    /** @return the value of header @p name, or "" when absent. @param name lower-case name. */
    std::string header(std::string const& name) const;
    /** @return true when the peer no longer waits for the answer. */
    bool is_cancelled() const { return cancelled != nullptr && cancelled->load(); }
};

/** @return a POST of @p json_text as application/json. @param path path. @param json_text body. */
http_request json_post(std::string path, std::string json_text);

/** A response. */
struct http_response {
    int status = 200;                 ///< HTTP status.
    std::vector<http_header> headers; ///< Headers; content-type is set by the helpers below.
    std::string body;                 ///< Body.
    /** @return the value of header @p name, or "" when absent. @param name lower-case name. */
    std::string header(std::string const& name) const;
};

/** @return a response carrying @p json_text as application/json. @param status HTTP status. @param json_text body. */
http_response json_response(int status, std::string json_text);

/**
 * @return the JSON error response for @p failure: {"error": kind, "message", "remedy"}, with Retry-After
 * when @p retry_after_s is positive.
 * @param failure the error.
 * @param retry_after_s seconds after which the caller may come back, or 0.
 */
http_response error_response(error const& failure, int retry_after_s = 0);

/**
 * Estimates how long bytes wait at this VM's own link: what sockets have taken drains at the link's rate. A socket
 * takes up to its buffer at once, so that many of them together hold seconds of a small link.
 */
class uplink_backlog {
public:
    /** @param bytes_per_s what the link carries; 0: not known, nothing is taken to wait. */
    explicit uplink_backlog(double bytes_per_s = 0) : m_bytes_per_s(bytes_per_s) {}
    /** Notes bytes that a socket has taken. @param bytes how many. @param now present time. */
    void record_sent(std::size_t bytes, time_point now);
    /** @return how long a byte that is taken now waits behind the others. @param now present time. */
    clock::duration wait(time_point now) const;

private:
    double m_bytes_per_s;     ///< Rate of the link.
    time_point m_empty_again; ///< When all bytes taken so far have left.
};

/** Identifies a timer of an event_loop, for cancellation; 0 names none. */
using timer_id = strong_id<struct timer_id_tag, std::uint64_t>;

/**
 * The one I/O thread of a process: a libwebsockets context that polls descriptors, and timers.
 * Everything it calls runs on the thread that called run().
 */
class event_loop {
public:
    /** Creates the libwebsockets context. @throw error internal when that fails. */
    event_loop();
    /** Closes every descriptor that is still registered. */
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /** Serves descriptors and timers until stop() is called. */
    void run();
    /** Makes run() return after the present callback. */
    void stop();
    /** @return the time at which the present callback began. */
    time_point now() const;
    /**
     * @return the longest time for which bytes read by the present callback may have waited unread: what this pass over
     * the descriptors, the timers before it and the pass before it have taken. Next to nothing unless the process is
     * behind with its work.
     */
    clock::duration max_unread_time() const;
    /** Says what this VM's link carries. @param bytes_per_s rate of the link; 0: not known. */
    void set_uplink(double bytes_per_s);
    /** @return how long bytes that a stream sends now wait at this VM's link behind those sent before. */
    clock::duration uplink_wait() const;
    /** Runs @p task once at @p when. @param when due time. @param task the work. @return id for cancel(). */
    timer_id run_at(time_point when, std::function<void()> task);
    /** Forgets a timer; does nothing when it has run. @param id from run_at(). */
    void cancel(timer_id id);
    /** Calls @p handler on the loop for each delivered signal. @param signals numbers. @param handler hook. */
    void on_signals(std::vector<int> const& signals, std::function<void(int)> handler);

    /** Opaque state, defined in the source file. */
    struct impl;
    /** @return the state, for the classes of this library. */
    impl& state() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl; ///< libwebsockets context, descriptors, timers.
};

/** Why a stream ended. */
enum class stream_end {
    closed,         ///< The peer closed in order: every byte it sent was read.
    reset,          ///< The connection was reset or failed.
    connect_failed, ///< It never was established.
};

/** What a stream reports to its owner. */
struct stream_events {
    std::function<void()> on_connected;                   ///< An outgoing connection is established.
    std::function<void(std::string_view bytes)> on_bytes; ///< Bytes arrived.
    std::function<void(stream_end end)> on_end;           ///< Ended by the peer or the network; at most once.
    std::function<void()> on_flushed;                     ///< Everything handed to send() has left.
};

/** Limits of a TCP connection. */
struct stream_options {
    milliseconds unacknowledged_timeout{
        3000};               ///< TCP_USER_TIMEOUT: unacknowledged bytes end the connection after this.
    bool keep_alive = false; ///< Probe an idle peer each second; three lost probes end the connection.
};

/** A TCP connection owned by one task of the event loop. Destroying it closes it; no event follows. */
class tcp_stream {
public:
    /**
     * Starts connecting; events tell the outcome.
     * @param loop event loop. @param peer IPv4 address and port. @param options limits. @param events hooks.
     */
    tcp_stream(event_loop& loop, endpoint const& peer, stream_options options, stream_events events);
    /** Takes over an accepted socket. @param loop event loop. @param socket descriptor. @param events hooks. */
    tcp_stream(event_loop& loop, int socket, stream_options options, stream_events events);
    /** Closes the connection at once. */
    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;

    /** Sends @p bytes, as many as the socket takes now and the rest when it can. @param bytes data. */
    void send(std::string_view bytes);
    /** @return bytes accepted by send() that have not left yet. */
    std::size_t unsent() const;
    /** @return whether the stream has not ended. */
    bool open() const;
    /** @return the round trip time that the system measured on the connection; 0 when it does not say. */
    std::chrono::microseconds round_trip() const;
    /** @return the peer's numeric IPv4 address; empty when the connection has ended. */
    std::string peer_host() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::shared_ptr<impl> m_impl; ///< Shared with the loop until its descriptor is closed.
};

/** Accepts TCP connections on one address. Destroying it stops accepting. */
class tcp_listener {
public:
    /**
     * @param loop event loop. @param address IPv4 address and port (0 picks one).
     * @param on_accept receives each accepted, non-blocking socket, which it owns.
     * @throw error unavailable when the address cannot be bound.
     */
    tcp_listener(event_loop& loop, endpoint const& address, std::function<void(int socket)> on_accept);
    /** Stops accepting. */
    ~tcp_listener();
    tcp_listener(tcp_listener const&) = delete;
    tcp_listener& operator=(tcp_listener const&) = delete;
    /** @return the bound port. */
    std::uint16_t port() const { return m_port; }

private:
    std::shared_ptr<tcp_stream::impl> m_impl; ///< Registration with the loop.
    std::uint16_t m_port = 0;                 ///< Bound port.
};

/** Why a received message is refused, or that it is not. */
enum class parse_state {
    incomplete,       ///< More bytes are needed.
    complete,         ///< One whole message was read.
    malformed,        ///< Not HTTP/1.1, or ambiguous about where the body ends.
    header_too_large, ///< Start line and headers exceed the limit.
    body_too_large,   ///< The body exceeds the limit.
    truncated,        ///< The connection ended before the message did.
};

/** Limits on a received message. */
struct message_limits {
    std::size_t max_header_bytes = 16384;  ///< Start line and headers.
    std::size_t max_body_bytes = 16 << 20; ///< Body.
};

/** Reads one HTTP/1.1 message at a time, strictly (Debian's http_parser). */
class message_reader {
public:
    /** Whether requests or responses are read. */
    enum class kind { request, response };
    /** @param what kind of message. @param limits limits. */
    explicit message_reader(kind what, message_limits limits = {});
    ~message_reader();
    message_reader(message_reader const&) = delete;
    message_reader& operator=(message_reader const&) = delete;

    /**
     * Reads bytes up to the end of the present message.
     * @param bytes received bytes.
     * @return bytes consumed; the rest belongs to what follows and is given again after restart().
     */
    std::size_t feed(std::string_view bytes);
    /** Tells that the connection ended in order, which completes a response without a length. */
    void finish();
    /** Prepares for the next message on the same connection. */
    void restart();
    /** Says that the response being read answers a HEAD request and so has no body. */
    void expect_no_body();

    /** @return progress or error. */
    parse_state state() const;
    /** @return whether any byte of the present message was read. */
    bool started() const;
    /** @return whether the headers of the present message are complete. */
    bool headers_done() const;
    /** @return whether the message came with a length (or in chunks), so that it ends before the connection does. */
    bool has_length() const;
    /** @return whether the sender keeps the connection open after the message. */
    bool keep_alive() const;
    /** @return whether the sender waits for 100 Continue before it sends the body. */
    bool expects_continue() const;
    /** @return the request read; valid when complete. */
    http_request& request();
    /** @return the response read; valid when complete. */
    http_response& response();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Parser and message.
};

/** @return whether header names @p left and @p right are equal regardless of case. */
bool same_header(std::string_view left, std::string_view right);
/** @return whether header @p name concerns one connection only and must not be forwarded (RFC 9110, 7.6.1). */
bool is_hop_by_hop(std::string_view name);
/** Removes the headers that concern one connection only, those named by Connection included. */
void remove_hop_by_hop(std::vector<http_header>& headers);
/** @return a request as bytes; Content-Length is set from the body. @param request the request. */
std::string serialize(http_request const& request);
/**
 * @return a response as bytes; Content-Length is set from the body.
 * @param response the response. @param close whether the connection closes after it.
 * @param head_only whether it answers HEAD, so that the body stays out.
 */
std::string serialize(http_response const& response, bool close, bool head_only = false);

} // namespace cornelspring
