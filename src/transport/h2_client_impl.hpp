/** @file h2_client_impl.hpp State of the HTTP/2 client, its calls and connections; internal to its source files. */
#pragma once

#include <cornelspring/transport.hpp>

#include "../net/socket.hpp"

#include <map>
#include <set>
#include <thread>
#include <unordered_map>

#include <nghttp2/nghttp2.h>

namespace cornelspring {

/** One request in flight. */
struct h2_call {
    std::uint64_t id = 0;            ///< Id returned by submit().
    endpoint peer;                   ///< Server it is sent to.
    http_request request;            ///< Request to send.
    time_point started_at;           ///< Time at which it was started.
    time_point deadline;             ///< Time at which its stream is reset.
    result_callback done;            ///< Receives the result.
    std::uint64_t connection_id = 0; ///< Connection it uses, or 0.
    std::int32_t stream_id = -1;     ///< Stream; -1 until it is submitted.
    bool sent = false;               ///< Its HEADERS frame was serialised for sending.
    bool has_status = false;         ///< The status of a response, interim or final, was received.
    bool header_complete = false;    ///< The header of the final response was received; trailers may follow.
    std::size_t header_bytes = 0;    ///< Bytes of all headers and trailers so far, those of interim responses included.
    http_response response;          ///< Response received so far.
    std::size_t body_offset = 0;     ///< Request body bytes handed to nghttp2.
};

/** One connection to a peer. */
struct h2_connection {
    std::uint64_t id = 0;               ///< Id, used as epoll user data.
    endpoint peer;                      ///< Server it is connected to.
    int fd = -1;                        ///< Socket.
    nghttp2_session* session = nullptr; ///< Session once connected.
    bool connected = false;             ///< TCP connect completed.
    time_point connect_deadline;        ///< The connect times out at this time.
    time_point last_read;               ///< Time of the last byte received, or of the connect.
    time_point busy_since;              ///< Start of the first call since the connection was idle.
    bool ping_open = false;             ///< A PING was sent and nothing received since.
    time_point ping_sent;               ///< Time at which the PING was sent.
    std::string send_buffer;            ///< Frames not yet written.
    std::set<std::uint64_t> calls;      ///< Calls that wait for the connect or have a stream.
    bool polls_write = false;           ///< Registered for write events.
    bool retiring = false;              ///< Takes no new call; closed when its calls have finished.
    bool broken = false;                ///< Failed; close it.
};

/** State of the client; owned by its thread except for the queue and the atomics. */
struct h2_client::impl {
    client_options options;                                                             ///< Limits.
    std::shared_ptr<detail::task_queue> queue = std::make_shared<detail::task_queue>(); ///< Tasks posted to the thread.
    int epoll_fd = -1;                                                                  ///< epoll descriptor.
    std::thread thread;                                                                 ///< Client thread.
    std::atomic<bool> stopping{false};                                                  ///< Set by stop().
    std::atomic<std::uint64_t> next_id{1};                                              ///< Next call id.
    std::uint64_t next_connection_id = 1;                                               ///< 0 is the queue's epoll id.
    std::unordered_map<std::uint64_t, h2_call> calls;                                   ///< Calls in flight, by id.
    std::set<std::pair<time_point, std::uint64_t>> deadlines;                           ///< Calls by deadline.
    std::multimap<time_point, std::function<void()>> timers;                            ///< Tasks by due time.
    std::unordered_map<std::uint64_t, std::unique_ptr<h2_connection>> connections;      ///< Connections by id.
    std::map<endpoint, std::uint64_t> connection_by_peer; ///< Connection that takes new calls, by peer.
    std::set<std::uint64_t> dirty;                        ///< Connections with frames to write.
    nghttp2_session_callbacks* callbacks = nullptr;       ///< nghttp2 callback table.
    time_point next_check;                                ///< Time of the next check_connections().
    bool has_broken = false;                              ///< Some connection is marked broken.
    std::size_t incomplete_bytes = 0;                     ///< Bytes of the bodies of all incomplete responses.
    std::atomic<std::uint64_t> opened{0};                 ///< See client_stats.
    std::atomic<std::uint64_t> silent{0};                 ///< See client_stats.
    std::atomic<std::uint64_t> sent_bytes{0};             ///< See client_stats.
    std::atomic<std::uint64_t> received_bytes{0};         ///< See client_stats.

    /** Body of the thread. */
    void loop();
    /** @return the time until the next deadline, timer or check. */
    milliseconds time_to_next(time_point now) const;
    /** Assigns a call to a connection and opens its stream, at once or when the connect has completed. */
    void start_call(h2_call call);
    /** Removes a call without running its callback and resets its stream. */
    void cancel_call(std::uint64_t id);
    /** @return the connection that takes new calls to @p peer, opening one when needed; null when that fails. */
    h2_connection* connection_for(endpoint const& peer, time_point now);
    /** Submits a call's request on a connected connection. */
    void open_stream(h2_connection& connection, h2_call& call);
    /** Handles socket events. */
    void on_event(h2_connection& connection, std::uint32_t events);
    /** Starts the HTTP/2 session once TCP is connected. */
    void on_connected(h2_connection& connection);
    /** Reads from the socket until no more data is available. */
    void read_from(h2_connection& connection);
    /** Writes the session's pending frames to the socket. */
    void flush(h2_connection& connection);
    /** Flushes every connection that is marked dirty. */
    void flush_dirty();
    /** Enables or disables write events of a connection. */
    void poll_write(h2_connection& connection, bool wanted);
    /** Sends RST_STREAM for a call's stream. */
    void reset_stream(h2_call const& call);
    /** Finishes a call whose response is invalid or too large, and resets its stream. */
    void reject_response(h2_call const& call, std::string detail);
    /** Appends to the body of a response, or rejects the response. */
    void append_body(h2_call& call, std::string_view bytes);
    /** Removes a call and runs its callback with the result. */
    void finish(std::uint64_t id, send_outcome outcome, std::string detail);
    /** Removes a call's deadline and its entry in its connection. */
    void unregister_call(h2_call const& call);
    /** Stops a connection from taking new calls; it is closed when its calls have finished. */
    void retire(h2_connection& connection);
    /** Finishes every call of a connection and marks it for closing. */
    void fail_connection(h2_connection& connection, std::string const& why);
    /** Finishes the calls whose deadline has passed. */
    void expire(time_point now);
    /** Runs the tasks that are due. */
    void run_timers(time_point now);
    /** Sends PINGs, and fails connections that time out or are retired and have no calls. */
    void check_connections(time_point now);
    /** Closes the connections marked broken. */
    void close_finished();
    /** @return the call of a stream, or null when it has finished. */
    h2_call* call_of_stream(nghttp2_session* session, std::int32_t stream_id);
    /** Creates the nghttp2 callback table. */
    void make_callbacks();
    /** @return the connection with this id, or null. */
    h2_connection* find_connection(std::uint64_t id);
};

} // namespace cornelspring
