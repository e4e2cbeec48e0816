/** @file net.hpp Event loop, TCP streams and strict HTTP/1.1 parsing for processes with one I/O thread. */
#pragma once

#include <cornelspring/base.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelspring {

/** One HTTP header. */
struct http_header {
    std::string name;  ///< Lower-case name.
    std::string value; ///< Value.
};

/** An HTTP request, received or to be sent. */
struct http_request {
    std::string method = "GET";       ///< HTTP method.
    std::string path = "/";           ///< Path with query string.
    std::vector<http_header> headers; ///< Headers other than pseudo-headers.
    std::string body;                 ///< Body.
    /** Set when the peer cancels the request (stream reset or connection lost); null on the sending side. */
    std::shared_ptr<std::atomic<bool>> canceled;
    /** @return the value of header @p name, or "" when absent. @param name lower-case name. */
    std::string header(std::string const& name) const;
    /** @return whether the peer has canceled the request. */
    bool is_canceled() const { return canceled != nullptr && canceled->load(); }
};

/** @return a POST of @p json_text as application/json. @param path path. @param json_text body. */
http_request json_post(std::string path, std::string json_text);

/** An HTTP response. */
struct http_response {
    int status = 200;                 ///< HTTP status.
    std::vector<http_header> headers; ///< Headers; json_response() sets content-type.
    std::string body;                 ///< Body.
    /** @return the value of header @p name, or "" when absent. @param name lower-case name. */
    std::string header(std::string const& name) const;
};

/** @return a response with @p json_text as application/json. @param status HTTP status. @param json_text body. */
http_response json_response(int status, std::string json_text);

/**
 * @return the JSON error response for @p failure, with the fields "error" (its kind), "message" and "remedy".
 * When @p retry_after_s is positive, it also has the field "retry_after_s" and the header Retry-After.
 * @param failure the error.
 * @param retry_after_s seconds after which the caller may retry, or 0.
 */
http_response error_response(error const& failure, int retry_after_s = 0);

/**
 * Estimates the queueing delay at this VM's uplink: bytes written to sockets leave at the rate of the link. Each
 * socket accepts as many bytes as fit its send buffer at once, so the buffers of many sockets together can hold
 * several seconds of a slow link's traffic.
 */
class uplink_backlog {
public:
    /** @param bytes_per_s rate of the uplink; 0: not known, the delay is then taken as 0. */
    explicit uplink_backlog(double bytes_per_s = 0) : m_bytes_per_s(bytes_per_s) {}
    /** Records bytes that a socket has accepted. @param bytes their number. @param now current time. */
    void record_sent(std::size_t bytes, time_point now);
    /** @return the queueing delay of a byte that a socket accepts now. @param now current time. */
    clock::duration wait(time_point now) const;

private:
    double m_bytes_per_s;    ///< Rate of the uplink.
    time_point m_drained_at; ///< When all bytes accepted so far have left.
};

/** Id of a timer of an event_loop, for cancellation; 0 means no timer. */
using timer_id = strong_id<struct timer_id_tag, std::uint64_t>;

/**
 * Event loop of a process with one I/O thread: a libwebsockets context that polls descriptors and runs timers.
 * All callbacks run on the thread that called run().
 */
class event_loop {
public:
    /** Creates the libwebsockets context. @throw error internal when that fails. */
    event_loop();
    /** Closes all descriptors that are still registered. */
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /** Handles descriptor events and timers until stop() is called. */
    void run();
    /** Makes run() return after the current callback. */
    void stop();
    /** @return the time at which the current callback started. */
    time_point now() const;
    /**
     * @return an upper bound on the time for which bytes read by the current callback have waited in the socket: the
     * time spent so far in this pass over the descriptors, in the timers run before it and in the previous pass.
     * Close to 0 unless the process is overloaded.
     */
    clock::duration max_unread_time() const;
    /** Sets the rate of this VM's uplink. @param bytes_per_s rate; 0: not known. */
    void set_uplink(double bytes_per_s);
    /** Sets the address from which streams with the option from_own_host connect. @param host numeric IPv4 address;
     *  empty: the system chooses. */
    void set_own_host(std::string host);
    /** @return the address set with set_own_host(). */
    std::string const& own_host() const;
    /** @return the estimated queueing delay at this VM's uplink of bytes that a stream sends now. */
    clock::duration uplink_wait() const;
    /** Runs @p task once at @p when. @param when due time. @param task callback. @return id for cancel(). */
    timer_id run_at(time_point when, std::function<void()> task);
    /** Cancels a timer; does nothing if it has already run. @param id from run_at(). */
    void cancel(timer_id id);
    /** Calls @p handler on the loop for each signal received. @param signals numbers. @param handler callback. */
    void on_signals(std::vector<int> const& signals, std::function<void(int)> handler);

    /** Sets the hook for pauses of the process, which are detected while watch_pauses() is in effect.
     *  @param hook receives the length of each pause, before the events that waited for its end are handled. */
    void on_paused(std::function<void(clock::duration)> hook);
    /** Detects pauses from now on for as long as @p needed returns true, at the cost of a wake-up each 50 ms.
     *  @param needed asked at each wake-up. */
    void watch_pauses(std::function<bool()> needed);

    /** Implementation, defined in a private header. */
    struct impl;
    /** @return the implementation, for the classes of this library. */
    impl& state() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl; ///< libwebsockets context and timers.
};

/**
 * Detects that the process was not running although it had work to do: stopped by a signal, suspended with its VM, or
 * not scheduled. Without it, a process takes the age of requests that waited for it for a queue elsewhere.
 * A process that is late because it is busy uses processor time meanwhile; one that was paused does not.
 */
class pause_detector {
public:
    /** Starts a check that is due at @p due. @param due time of the next check(). @param cpu_time processor time used
     *  by the process so far. */
    void expect(time_point due, clock::duration cpu_time);
    /** Stops expecting a check. */
    void stop() { m_due = time_point::max(); }
    /** @return length of the pause that ends now; 0 when the check is on time or the process was busy. The check is
     * then expected again by the next expect() only. @param now current time. @param cpu_time processor time used so
     * far. */
    clock::duration check(time_point now, clock::duration cpu_time);
    /** @return whether a check at @p now would be late enough for a pause. @param now current time. */
    bool late(time_point now) const;

private:
    time_point m_due = time_point::max(); ///< When the check is due; max: none is expected.
    clock::duration m_cpu_time{0};        ///< Processor time at expect().
};

/** How a TCP connection ended. */
enum class stream_end {
    closed,         ///< The peer closed it normally; all bytes it sent have been read.
    reset,          ///< It was reset or failed.
    connect_failed, ///< It was never established.
};

/** Callbacks of a stream to its owner. */
struct stream_events {
    std::function<void()> on_connected;                   ///< An outgoing connection was established.
    std::function<void(std::string_view bytes)> on_bytes; ///< Bytes were received.
    std::function<void(stream_end end)> on_end;           ///< The peer or the network ended it; at most once.
    std::function<void()> on_flushed;                     ///< The socket has accepted all bytes given to send().
};

/** Options of a TCP connection. */
struct stream_options {
    milliseconds unacknowledged_timeout{
        3000};                  ///< TCP_USER_TIMEOUT: unacknowledged bytes end the connection after this.
    bool keep_alive = false;    ///< Probe an idle peer every second; three lost probes end the connection.
    bool from_own_host = false; ///< Connect from event_loop::own_host(), by which the peer identifies this VM.
};

/** A TCP connection on an event loop. The destructor closes it; no callback is called after that. */
class tcp_stream {
public:
    /**
     * Starts to connect; on_connected or on_end reports the outcome.
     * @param loop event loop. @param peer IPv4 address and port. @param options options. @param events callbacks.
     */
    tcp_stream(event_loop& loop, endpoint const& peer, stream_options options, stream_events events);
    /**
     * Takes ownership of an accepted socket.
     * @param loop event loop. @param socket descriptor. @param options options. @param events callbacks.
     */
    tcp_stream(event_loop& loop, int socket, stream_options options, stream_events events);
    /** Closes the connection immediately. */
    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;

    /** Sends @p bytes; buffers what the socket does not accept immediately. @param bytes data. */
    void send(std::string_view bytes);
    /** @return the number of bytes given to send() that the socket has not accepted yet. */
    std::size_t unsent() const;
    /** @return the number of bytes given to send() that the peer has not acknowledged yet. */
    std::size_t unacknowledged() const;
    /** @return whether the connection has not ended; also true while connecting. */
    bool open() const;
    /** @return the round-trip time measured by the kernel for this connection; 0 when not available. */
    std::chrono::microseconds round_trip() const;
    /** @return the peer's numeric IPv4 address; empty when the connection has ended. */
    std::string peer_host() const;

    /** Implementation, defined in the source file. */
    struct impl;

private:
    std::shared_ptr<impl> m_impl; ///< Shared with callbacks that are running.
};

/** Accepts TCP connections on one address until destroyed. */
class tcp_listener {
public:
    /**
     * @param loop event loop. @param address IPv4 address and port (0: the system chooses a port).
     * @param on_accept called with each accepted, non-blocking socket; takes ownership of it.
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

/** Progress of reading a message, or why it is rejected. */
enum class parse_state {
    incomplete,       ///< More bytes are needed.
    complete,         ///< One complete message was read.
    malformed,        ///< Not valid HTTP/1.x, or the length of the body is ambiguous.
    header_too_large, ///< The start line and headers exceed the limit.
    body_too_large,   ///< The body exceeds the limit.
    truncated,        ///< The connection ended before the message was complete.
};

/** Limits on a received message. */
struct message_limits {
    std::size_t max_header_bytes = 16384;  ///< Limit on start line and headers.
    std::size_t max_body_bytes = 16 << 20; ///< Limit on the body.
};

/** Strict incremental parser of HTTP/1.1 messages, one at a time, on Debian's http_parser. */
class message_reader {
public:
    /** Whether requests or responses are read. */
    enum class kind { request, response };
    /** @param what kind of message to read. @param limits size limits. */
    explicit message_reader(kind what, message_limits limits = {});
    ~message_reader();
    message_reader(message_reader const&) = delete;
    message_reader& operator=(message_reader const&) = delete;

    /**
     * Parses bytes up to the end of the current message.
     * @param bytes received bytes.
     * @return the number of bytes consumed; pass the rest, which belongs to the next message, again after restart().
     */
    std::size_t feed(std::string_view bytes);
    /** Handles a normal end of the connection; this completes a response without a length. */
    void finish();
    /** Prepares for the next message on the same connection. */
    void restart();
    /** States that the response being read is to a HEAD request and so has no body. */
    void expect_no_body();

    /** @return progress, or why the message is rejected. */
    parse_state state() const;
    /** @return whether any byte of the current message has been read. */
    bool started() const;
    /** @return whether the headers of the current message are complete. */
    bool headers_done() const;
    /** @return whether the message has a Content-Length or is chunked, and so can end before the connection does. */
    bool has_length() const;
    /** @return whether the connection stays open after the message. */
    bool keep_alive() const;
    /** @return whether the client waits for 100 Continue before it sends the body. */
    bool expects_continue() const;
    /** @return the request that was read; valid when complete. */
    http_request& request();
    /** @return the response that was read; valid when complete. */
    http_response& response();

    /** Implementation, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Parser and current message.
};

/** @return the status of a response in @p text; none unless it has three digits and is from 100 to 599 (RFC 9110, 15).
 *  @param text the status. */
std::optional<int> parse_status(std::string_view text);

/** @return whether the header names @p left and @p right are equal, ignoring case. */
bool same_header(std::string_view left, std::string_view right);
/** @return whether header @p name must not be forwarded: hop-by-hop (RFC 9110, 7.6.1), or Content-Length or Expect. */
bool is_hop_by_hop(std::string_view name);
/** Removes the headers that must not be forwarded, including those listed in Connection. */
void remove_hop_by_hop(std::vector<http_header>& headers);
/** @return @p request as bytes, with Content-Length set from the body. @param request the request. */
std::string serialize(http_request const& request);
/**
 * @return @p response as bytes, with Content-Length set from the body.
 * @param response the response. @param close whether the connection closes after it.
 * @param head_only whether it is the response to a HEAD request, so that the body is left out.
 */
std::string serialize(http_response const& response, bool close, bool head_only = false);

} // namespace cornelspring
