/** @file h2_client_impl.hpp State of the HTTP/2 client, its calls and connections, shared by its source files
 * (internal). */
#pragma once

#include <cornelspring/transport.hpp>

#include "../net/socket.hpp"

#include <map>
#include <set>
#include <thread>
#include <unordered_map>

#include <nghttp2/nghttp2.h>

namespace cornelspring {

/** One request in progress. */
struct h2_call {
    std::uint64_t id = 0;            ///< Id given to the caller.
    endpoint peer;                   ///< Where it goes.
    http_request request;            ///< What it sends.
    time_point begun;                ///< When it was started.
    time_point deadline;             ///< When it is reset.
    result_callback done;            ///< Result sink.
    std::uint64_t connection_id = 0; ///< Connection it uses.
    std::int32_t stream_id = -1;     ///< Stream once submitted.
    bool sent = false;               ///< Its HEADERS frame was handed to the socket.
    bool has_status = false;         ///< A :status header arrived.
    http_response response;          ///< What has arrived.
    std::size_t body_offset = 0;     ///< Request body bytes handed to nghttp2.
};

/** One connection to a peer. */
struct h2_connection {
    std::uint64_t id = 0;               ///< Id, used as the poll data.
    endpoint peer;                      ///< The peer.
    int fd = -1;                        ///< Socket.
    nghttp2_session* session = nullptr; ///< Session once connected.
    bool connected = false;             ///< TCP connect completed.
    time_point connect_deadline;        ///< Give up connecting at this time.
    time_point last_read;               ///< When a byte last arrived (or the connection opened).
    time_point busy_since;              ///< When its oldest open call began, or the first after being idle.
    bool ping_open = false;             ///< A PING waits for an answer.
    time_point ping_sent;               ///< When it was sent.
    std::string out;                    ///< Frames not yet written.
    std::set<std::uint64_t> calls;      ///< Calls waiting for or open on this connection.
    bool polls_write = false;           ///< Registered for write events.
    bool retiring = false;              ///< Takes no new call; closed once its calls have ended.
    bool broken = false;                ///< Failed; close it.
};

/** State of the client task. */
struct h2_client::impl {
    client_options options;                                                             ///< Limits.
    std::shared_ptr<detail::task_queue> queue = std::make_shared<detail::task_queue>(); ///< Inbox.
    int epoll_fd = -1;                                                                  ///< Event poll descriptor.
    std::thread thread;                                                                 ///< Client thread.
    std::atomic<bool> stopping{false};                                                  ///< Set by the destructor.
    std::atomic<std::uint64_t> next_id{1};                                              ///< Next call id.
    std::uint64_t next_connection_id = 1;                                               ///< 0 stands for the inbox.
    std::unordered_map<std::uint64_t, h2_call> calls;                                   ///< Calls in progress.
    std::set<std::pair<time_point, std::uint64_t>> deadlines;                           ///< Calls by deadline.
    std::multimap<time_point, std::function<void()>> timers;                            ///< Tasks for later.
    std::unordered_map<std::uint64_t, std::unique_ptr<h2_connection>> connections;      ///< Connections by id.
    std::map<endpoint, std::uint64_t> current;      ///< Connection that takes new calls, by peer.
    std::set<std::uint64_t> dirty;                  ///< Connections with frames to write.
    nghttp2_session_callbacks* callbacks = nullptr; ///< Callback table.
    time_point next_check;                          ///< Next check for silence.
    bool has_broken = false;                        ///< Some connection waits to be closed.
    std::atomic<std::uint64_t> opened{0};           ///< See client_stats.
    std::atomic<std::uint64_t> silent{0};           ///< See client_stats.
    std::atomic<std::uint64_t> sent_bytes{0};       ///< See client_stats.
    std::atomic<std::uint64_t> received_bytes{0};   ///< See client_stats.

    /** Body of the thread. */
    void loop();
    /** @return the wait until the next deadline, timer or check. */
    milliseconds time_to_next(time_point now) const;
    /** Takes in a call: finds its connection and opens its stream, or lets it wait for the connect. */
    void start_call(h2_call call);
    /** Drops a call without a result and resets its stream. */
    void cancel_call(std::uint64_t id);
    /** @return the connection that takes new calls to @p peer, opening one when needed; null when it cannot. */
    h2_connection* connection_for(endpoint const& peer, time_point now);
    /** Submits a call's request on a connected connection. */
    void open_stream(h2_connection& connection, h2_call& call);
    /** Handles socket events. */
    void on_event(h2_connection& connection, std::uint32_t events);
    /** Starts the HTTP/2 session once TCP is connected. */
    void on_connected(h2_connection& connection);
    /** Reads all that has arrived. */
    void read_from(h2_connection& connection);
    /** Writes what the session has to send. */
    void flush(h2_connection& connection);
    /** Flushes every connection marked dirty since the last time. */
    void flush_dirty();
    /** Asks for write events, or no longer. */
    void poll_write(h2_connection& connection, bool wanted);
    /** Sends RST_STREAM for a call's stream. */
    void reset_stream(h2_call const& call);
    /** Ends a call and reports its result. */
    void finish(std::uint64_t id, send_outcome outcome, std::string detail);
    /** Forgets a call's deadline and place on its connection. */
    void release(h2_call const& call);
    /** Lets a connection take no new calls; it is closed when its calls have ended. */
    void retire(h2_connection& connection);
    /** Ends every call of a connection and marks it for closing. */
    void fail_connection(h2_connection& connection, std::string const& why);
    /** Ends the calls whose deadline has passed. */
    void expire(time_point now);
    /** Runs the tasks that are due. */
    void run_timers(time_point now);
    /** Finds silent, retired and unconnectable connections. */
    void check_connections(time_point now);
    /** Closes the connections marked broken. */
    void close_finished();
    /** @return the call of a stream, or null when it has ended. */
    h2_call* call_of_stream(nghttp2_session* session, std::int32_t stream_id);
    /** Makes the table of nghttp2's callbacks. */
    void make_callbacks();
    /** @return the connection with this id, or null. */
    h2_connection* find_connection(std::uint64_t id);
};

} // namespace cornelspring
