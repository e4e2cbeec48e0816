/** @file h2_client.cpp HTTP/2 (h2c) client: one thread owns a connection per peer, the streams and the timers. */
#include "../net/socket.hpp"

#include <cornelspring/transport.hpp>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <future>
#include <map>
#include <set>
#include <thread>
#include <unordered_map>

#include <nghttp2/nghttp2.h>

namespace cornelspring {
namespace {

/** Bytes read per read() call. */
constexpr std::size_t read_chunk = 16384;
/** Socket events taken per wait. */
constexpr int events_per_wait = 256;
/** How often connections are checked for silence. */
constexpr milliseconds check_interval{50};
/** Streams a server may open towards us: none are used, the value only fills the SETTINGS frame. */
constexpr std::uint32_t settings_max_streams = 1000;

/** One request in progress. */
struct client_call {
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
struct client_connection {
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

} // namespace

/** State of the client task. */
struct h2_client::impl {
    client_options options;                                                             ///< Limits.
    std::shared_ptr<detail::task_queue> queue = std::make_shared<detail::task_queue>(); ///< Inbox.
    int epoll_fd = -1;                                                                  ///< Event poll descriptor.
    std::thread thread;                                                                 ///< Client thread.
    std::atomic<bool> stopping{false};                                                  ///< Set by the destructor.
    std::atomic<std::uint64_t> next_id{1};                                              ///< Next call id.
    std::uint64_t next_connection_id = 1;                                               ///< 0 stands for the inbox.
    std::unordered_map<std::uint64_t, client_call> calls;                               ///< Calls in progress.
    std::set<std::pair<time_point, std::uint64_t>> deadlines;                           ///< Calls by deadline.
    std::multimap<time_point, std::function<void()>> timers;                            ///< Tasks for later.
    std::unordered_map<std::uint64_t, std::unique_ptr<client_connection>> connections;  ///< Connections by id.
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
    void start_call(client_call call);
    /** Drops a call without a result and resets its stream. */
    void cancel_call(std::uint64_t id);
    /** @return the connection that takes new calls to @p peer, opening one when needed; null when it cannot. */
    client_connection* connection_for(endpoint const& peer, time_point now);
    /** Submits a call's request on a connected connection. */
    void open_stream(client_connection& connection, client_call& call);
    /** Handles socket events. */
    void on_event(client_connection& connection, std::uint32_t events);
    /** Starts the HTTP/2 session once TCP is connected. */
    void on_connected(client_connection& connection);
    /** Reads all that has arrived. */
    void read_from(client_connection& connection);
    /** Writes what the session has to send. */
    void flush(client_connection& connection);
    /** Flushes every connection marked dirty since the last time. */
    void flush_dirty();
    /** Asks for write events, or no longer. */
    void poll_write(client_connection& connection, bool wanted);
    /** Sends RST_STREAM for a call's stream. */
    void reset_stream(client_call const& call);
    /** Ends a call and reports its result. */
    void finish(std::uint64_t id, send_outcome outcome, std::string detail);
    /** Forgets a call's deadline and place on its connection. */
    void release(client_call const& call);
    /** Lets a connection take no new calls; it is closed when its calls have ended. */
    void retire(client_connection& connection);
    /** Ends every call of a connection and marks it for closing. */
    void fail_connection(client_connection& connection, std::string const& why);
    /** Ends the calls whose deadline has passed. */
    void expire(time_point now);
    /** Runs the tasks that are due. */
    void run_timers(time_point now);
    /** Finds silent, retired and unconnectable connections. */
    void check_connections(time_point now);
    /** Closes the connections marked broken. */
    void close_finished();
    /** @return the call of a stream, or null when it has ended. */
    client_call* call_of_stream(nghttp2_session* session, std::int32_t stream_id);
    /** @return the connection with this id, or null. */
    client_connection* find_connection(std::uint64_t id);
};

client_call* h2_client::impl::call_of_stream(nghttp2_session* session, std::int32_t stream_id)
{
    // The stream's user data is the call id itself, so a stream that outlives its call finds nothing.
    auto const id = reinterpret_cast<std::uintptr_t>(nghttp2_session_get_stream_user_data(session, stream_id));
    if (id == 0) return nullptr;
    auto found = calls.find(id);
    return found == calls.end() ? nullptr : &found->second;
}

client_connection* h2_client::impl::find_connection(std::uint64_t id)
{
    auto found = connections.find(id);
    return found == connections.end() ? nullptr : found->second.get();
}

namespace {

template <class Impl> Impl& impl_of(void* user_data) { return *static_cast<Impl*>(user_data); }

} // namespace

/** nghttp2 callbacks of the client; they forward to the impl. */
struct client_callbacks {
    static int on_frame_send(nghttp2_session* session, nghttp2_frame const* frame, void* user_data)
    {
        if (frame->hd.type != NGHTTP2_HEADERS) return 0;
        auto& self = impl_of<h2_client::impl>(user_data);
        if (auto* call = self.call_of_stream(session, frame->hd.stream_id)) call->sent = true;
        return 0;
    }

    static int on_frame_recv(nghttp2_session* session, nghttp2_frame const* frame, void* user_data)
    {
        if (frame->hd.type != NGHTTP2_GOAWAY) return 0;
        auto& self = impl_of<h2_client::impl>(user_data);
        for (auto& [id, connection] : self.connections) {
            if (connection->session == session) self.retire(*connection);
        }
        return 0;
    }

    static int on_header(nghttp2_session* session, nghttp2_frame const* frame, uint8_t const* name, size_t name_length,
                         uint8_t const* value, size_t value_length, uint8_t, void* user_data)
    {
        auto& self = impl_of<h2_client::impl>(user_data);
        auto* call = self.call_of_stream(session, frame->hd.stream_id);
        if (call == nullptr) return 0;
        std::string key(reinterpret_cast<char const*>(name), name_length);
        std::string text(reinterpret_cast<char const*>(value), value_length);
        if (key == ":status") {
            call->response.status = std::atoi(text.c_str());
            call->has_status = true;
        } else {
            call->response.headers.push_back({std::move(key), std::move(text)});
        }
        return 0;
    }

    static int on_data_chunk(nghttp2_session* session, uint8_t, int32_t stream_id, uint8_t const* data, size_t length,
                             void* user_data)
    {
        auto& self = impl_of<h2_client::impl>(user_data);
        if (auto* call = self.call_of_stream(session, stream_id)) {
            call->response.body.append(reinterpret_cast<char const*>(data), length);
        }
        return 0;
    }

    static int on_stream_close(nghttp2_session* session, int32_t stream_id, uint32_t error_code, void* user_data)
    {
        auto& self = impl_of<h2_client::impl>(user_data);
        auto* call = self.call_of_stream(session, stream_id);
        if (call == nullptr) return 0;
        std::uint64_t const id = call->id;
        if (error_code == NGHTTP2_NO_ERROR && call->has_status) {
            self.finish(id, send_outcome::answered, "");
            return 0;
        }
        // REFUSED_STREAM promises that the peer did not process the request (RFC 9113, 8.7): it did not run.
        bool const ran_maybe = call->sent && error_code != NGHTTP2_REFUSED_STREAM;
        self.finish(id, ran_maybe ? send_outcome::unknown : send_outcome::not_sent,
                    "stream closed with code " + std::to_string(error_code));
        return 0;
    }

    static ssize_t read_body(nghttp2_session* session, int32_t stream_id, uint8_t* buf, size_t length, uint32_t* flags,
                             nghttp2_data_source*, void* user_data)
    {
        auto& self = impl_of<h2_client::impl>(user_data);
        auto* call = self.call_of_stream(session, stream_id);
        if (call == nullptr) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return 0;
        }
        auto const& body = call->request.body;
        std::size_t const count = std::min(length, body.size() - call->body_offset);
        std::copy_n(body.data() + call->body_offset, count, buf);
        call->body_offset += count;
        if (call->body_offset == body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
};

void h2_client::impl::release(client_call const& call)
{
    deadlines.erase({call.deadline, call.id});
    if (auto* connection = find_connection(call.connection_id)) connection->calls.erase(call.id);
}

void h2_client::impl::finish(std::uint64_t id, send_outcome outcome, std::string detail)
{
    auto found = calls.find(id);
    if (found == calls.end()) return;
    client_call call = std::move(found->second);
    calls.erase(found);
    release(call);
    client_result result;
    result.outcome = outcome;
    result.response = std::move(call.response);
    result.detail = std::move(detail);
    if (call.done) call.done(std::move(result));
}

void h2_client::impl::reset_stream(client_call const& call)
{
    auto* connection = find_connection(call.connection_id);
    if (connection == nullptr || connection->session == nullptr || call.stream_id < 0) return;
    nghttp2_submit_rst_stream(connection->session, NGHTTP2_FLAG_NONE, call.stream_id, NGHTTP2_CANCEL);
    dirty.insert(connection->id);
}

void h2_client::impl::cancel_call(std::uint64_t id)
{
    auto found = calls.find(id);
    if (found == calls.end()) return;
    client_call call = std::move(found->second);
    calls.erase(found);
    reset_stream(call);
    release(call);
}

void h2_client::impl::open_stream(client_connection& connection, client_call& call)
{
    std::string const authority = connection.peer.to_string();
    std::vector<std::pair<std::string, std::string>> fields{
        {":method", call.request.method}, {":path", call.request.path}, {":scheme", "http"}, {":authority", authority}};
    for (auto const& header : call.request.headers)
        fields.emplace_back(header.name, header.value);
    if (!call.request.body.empty()) fields.emplace_back("content-length", std::to_string(call.request.body.size()));
    std::vector<nghttp2_nv> headers;
    for (auto& [name, value] : fields) {
        headers.push_back({reinterpret_cast<uint8_t*>(name.data()), reinterpret_cast<uint8_t*>(value.data()),
                           name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    nghttp2_data_provider provider{};
    provider.read_callback = client_callbacks::read_body;
    call.stream_id = nghttp2_submit_request(connection.session, nullptr, headers.data(), headers.size(),
                                            call.request.body.empty() ? nullptr : &provider,
                                            reinterpret_cast<void*>(static_cast<std::uintptr_t>(call.id)));
    dirty.insert(connection.id);
    if (call.stream_id < 0) finish(call.id, send_outcome::not_sent, "cannot open a stream");
}

client_connection* h2_client::impl::connection_for(endpoint const& peer, time_point now)
{
    auto known = current.find(peer);
    if (known != current.end()) return find_connection(known->second);
    int const fd = detail::connect_tcp(peer);
    if (fd < 0) return nullptr;
    ++opened;
    auto connection = std::make_unique<client_connection>();
    auto* raw = connection.get();
    raw->id = next_connection_id++;
    raw->peer = peer;
    raw->fd = fd;
    raw->connect_deadline = now + options.connect_timeout;
    raw->last_read = now;
    raw->polls_write = true;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT;
    event.data.u64 = raw->id;
    epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event);
    current[peer] = raw->id;
    connections.emplace(raw->id, std::move(connection));
    return raw;
}

void h2_client::impl::start_call(client_call call)
{
    std::uint64_t const id = call.id;
    auto const now = clock::now();
    call.begun = now;
    auto* connection = connection_for(call.peer, now);
    if (connection != nullptr) call.connection_id = connection->id;
    deadlines.insert({call.deadline, id});
    auto& placed = calls.emplace(id, std::move(call)).first->second;
    if (connection == nullptr) {
        finish(id, send_outcome::not_sent, "cannot connect to " + placed.peer.to_string());
        return;
    }
    if (connection->calls.empty()) connection->busy_since = now;
    connection->calls.insert(id);
    if (connection->connected) open_stream(*connection, placed);
}

void h2_client::impl::on_connected(client_connection& connection)
{
    int socket_error = 0;
    socklen_t length = sizeof socket_error;
    getsockopt(connection.fd, SOL_SOCKET, SO_ERROR, &socket_error, &length);
    if (socket_error != 0) {
        fail_connection(connection, "connect failed: " + std::string(std::strerror(socket_error)));
        return;
    }
    connection.connected = true;
    connection.last_read = clock::now();
    nghttp2_session_client_new(&connection.session, callbacks, this);
    nghttp2_settings_entry setting{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, settings_max_streams};
    nghttp2_submit_settings(connection.session, NGHTTP2_FLAG_NONE, &setting, 1);
    dirty.insert(connection.id);
    auto const waiting = connection.calls;
    for (auto id : waiting) {
        auto found = calls.find(id);
        if (found != calls.end()) open_stream(connection, found->second);
    }
}

void h2_client::impl::retire(client_connection& connection)
{
    connection.retiring = true;
    auto known = current.find(connection.peer);
    if (known != current.end() && known->second == connection.id) current.erase(known);
}

void h2_client::impl::fail_connection(client_connection& connection, std::string const& why)
{
    if (connection.broken) return;
    connection.broken = true;
    has_broken = true;
    retire(connection); // first, so that a retry made by a callback below opens a new connection
    auto const open = connection.calls;
    for (auto id : open) {
        auto found = calls.find(id);
        if (found == calls.end()) continue;
        finish(id, found->second.sent ? send_outcome::unknown : send_outcome::not_sent, why);
    }
}

void h2_client::impl::read_from(client_connection& connection)
{
    uint8_t buffer[read_chunk];
    while (!connection.broken) {
        ssize_t const count = read(connection.fd, buffer, sizeof buffer);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            fail_connection(connection, "connection closed by peer");
            return;
        }
        if (count < 0) return;
        connection.last_read = clock::now();
        connection.ping_open = false;
        received_bytes += static_cast<std::uint64_t>(count);
        if (nghttp2_session_mem_recv(connection.session, buffer, static_cast<size_t>(count)) < 0) {
            fail_connection(connection, "protocol error from peer");
            return;
        }
        dirty.insert(connection.id);
    }
}

void h2_client::impl::poll_write(client_connection& connection, bool wanted)
{
    if (connection.polls_write == wanted) return;
    connection.polls_write = wanted;
    epoll_event event{};
    event.events = EPOLLIN | (wanted ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.u64 = connection.id;
    epoll_ctl(epoll_fd, EPOLL_CTL_MOD, connection.fd, &event);
}

void h2_client::impl::flush(client_connection& connection)
{
    if (!connection.connected || connection.broken) return;
    while (true) {
        uint8_t const* data = nullptr;
        ssize_t const count = nghttp2_session_mem_send(connection.session, &data);
        if (count <= 0) break;
        connection.out.append(reinterpret_cast<char const*>(data), static_cast<size_t>(count));
    }
    std::size_t written_total = 0;
    while (written_total < connection.out.size()) {
        ssize_t const written = send(connection.fd, connection.out.data() + written_total,
                                     connection.out.size() - written_total, MSG_NOSIGNAL);
        if (written < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK) break;
            fail_connection(connection, "write failed");
            return;
        }
        written_total += static_cast<std::size_t>(written);
    }
    sent_bytes += written_total;
    connection.out.erase(0, written_total);
    poll_write(connection, !connection.out.empty());
    if (!nghttp2_session_want_read(connection.session) && !nghttp2_session_want_write(connection.session)) {
        fail_connection(connection, "peer ended the session");
    }
}

void h2_client::impl::flush_dirty()
{
    // A flush may end calls whose callbacks start new ones, so more connections may become dirty meanwhile.
    while (!dirty.empty()) {
        auto const ids = std::move(dirty);
        dirty.clear();
        for (auto id : ids) {
            if (auto* connection = find_connection(id)) flush(*connection);
        }
    }
}

void h2_client::impl::expire(time_point now)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        std::uint64_t const id = deadlines.begin()->second;
        auto& call = calls.find(id)->second;
        auto* connection = find_connection(call.connection_id);
        // Quiet for the whole call and for a while: new calls go to a new connection; this one is judged by PING.
        bool const quiet = connection != nullptr && connection->connected && connection->last_read < call.begun &&
                           now - connection->last_read >= options.suspect_after;
        reset_stream(call);
        finish(id, call.sent ? send_outcome::unknown : send_outcome::not_sent, "timeout");
        if (quiet) retire(*connection);
    }
}

void h2_client::impl::run_timers(time_point now)
{
    while (!timers.empty() && timers.begin()->first <= now) {
        auto task = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        task();
    }
}

void h2_client::impl::check_connections(time_point now)
{
    std::vector<client_connection*> all;
    for (auto& [id, connection] : connections)
        all.push_back(connection.get());
    for (auto* connection : all) {
        if (connection->broken) continue;
        if (!connection->connected) {
            if (connection->connect_deadline <= now) fail_connection(*connection, "connect timeout");
            continue;
        }
        if (connection->calls.empty()) {
            if (connection->retiring) fail_connection(*connection, "retired");
            continue;
        }
        auto const quiet_since = std::max(connection->last_read, connection->busy_since);
        if (connection->ping_open) {
            if (now - connection->ping_sent < options.ping_timeout) continue;
            ++silent;
            fail_connection(*connection, "connection went silent");
        } else if (now - quiet_since >= options.ping_after) {
            nghttp2_submit_ping(connection->session, NGHTTP2_FLAG_NONE, nullptr);
            connection->ping_open = true;
            connection->ping_sent = now;
            dirty.insert(connection->id);
        }
    }
}

void h2_client::impl::close_finished()
{
    has_broken = false;
    for (auto it = connections.begin(); it != connections.end();) {
        if (it->second->broken) {
            if (it->second->session != nullptr) nghttp2_session_del(it->second->session);
            close(it->second->fd);
            it = connections.erase(it);
        } else {
            ++it;
        }
    }
}

milliseconds h2_client::impl::time_to_next(time_point now) const
{
    auto next = next_check;
    if (!deadlines.empty()) next = std::min(next, deadlines.begin()->first);
    if (!timers.empty()) next = std::min(next, timers.begin()->first);
    if (next <= now) return milliseconds(0);
    return std::chrono::ceil<milliseconds>(next - now);
}

void h2_client::impl::on_event(client_connection& connection, std::uint32_t events)
{
    if (connection.broken) return;
    if (!connection.connected) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) on_connected(connection);
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read_from(connection);
    dirty.insert(connection.id);
}

void h2_client::impl::loop()
{
    epoll_event events[events_per_wait];
    while (!stopping) {
        int const wait = static_cast<int>(time_to_next(clock::now()).count());
        int const count = epoll_wait(epoll_fd, events, events_per_wait, wait);
        for (int i = 0; i < count; ++i) {
            if (events[i].data.u64 == 0) continue;
            if (auto* connection = find_connection(events[i].data.u64)) on_event(*connection, events[i].events);
        }
        queue->run_all();
        auto const now = clock::now();
        expire(now);
        run_timers(now);
        if (now >= next_check) {
            check_connections(now);
            next_check = now + check_interval;
        }
        flush_dirty();
        if (has_broken) close_finished();
    }
}

h2_client::h2_client(client_options options) : m_impl(std::make_unique<impl>())
{
    m_impl->options = options;
    m_impl->epoll_fd = epoll_create1(0);
    epoll_event inbox{};
    inbox.events = EPOLLIN;
    inbox.data.u64 = 0;
    epoll_ctl(m_impl->epoll_fd, EPOLL_CTL_ADD, m_impl->queue->wait_fd(), &inbox);
    nghttp2_session_callbacks_new(&m_impl->callbacks);
    nghttp2_session_callbacks_set_on_frame_send_callback(m_impl->callbacks, client_callbacks::on_frame_send);
    nghttp2_session_callbacks_set_on_frame_recv_callback(m_impl->callbacks, client_callbacks::on_frame_recv);
    nghttp2_session_callbacks_set_on_header_callback(m_impl->callbacks, client_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(m_impl->callbacks, client_callbacks::on_data_chunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(m_impl->callbacks, client_callbacks::on_stream_close);
    m_impl->thread = std::thread([this] { m_impl->loop(); });
}

void h2_client::stop()
{
    m_impl->stopping = true;
    m_impl->queue->post([] {});
    if (m_impl->thread.joinable()) m_impl->thread.join();
}

h2_client::~h2_client()
{
    stop();
    for (auto& [id, connection] : m_impl->connections) {
        if (connection->session != nullptr) nghttp2_session_del(connection->session);
        close(connection->fd);
    }
    close(m_impl->epoll_fd);
    nghttp2_session_callbacks_del(m_impl->callbacks);
}

call_id h2_client::submit(endpoint const& peer, http_request request, milliseconds timeout, result_callback done)
{
    client_call call;
    call.id = m_impl->next_id++;
    call.peer = peer;
    call.request = std::move(request);
    call.deadline = clock::now() + timeout;
    call.done = std::move(done);
    call_id const id{call.id};
    if (std::this_thread::get_id() == m_impl->thread.get_id()) {
        m_impl->timers.emplace(time_point{},
                               [this, call = std::move(call)]() mutable { m_impl->start_call(std::move(call)); });
    } else {
        post([this, call = std::move(call)]() mutable { m_impl->start_call(std::move(call)); });
    }
    return id;
}

void h2_client::cancel(call_id id)
{
    // On the client thread the call may still wait among the timers; a later timer finds it started.
    if (std::this_thread::get_id() == m_impl->thread.get_id()) {
        m_impl->timers.emplace(time_point{}, [this, id] { m_impl->cancel_call(id.value()); });
    } else {
        post([this, id] { m_impl->cancel_call(id.value()); });
    }
}

void h2_client::post(std::function<void()> task) { m_impl->queue->post(std::move(task)); }

void h2_client::run_at(time_point when, std::function<void()> task) { m_impl->timers.emplace(when, std::move(task)); }

client_stats h2_client::stats() const
{
    return {m_impl->opened, m_impl->silent, m_impl->sent_bytes, m_impl->received_bytes};
}

client_result h2_client::call(endpoint const& peer, http_request request, milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<client_result>>();
    auto future = promise->get_future();
    submit(peer, std::move(request), timeout,
           [promise](client_result result) { promise->set_value(std::move(result)); });
    return future.get();
}

void h2_client::drop_connections(endpoint const& peer)
{
    post([this, peer] {
        auto found = m_impl->current.find(peer);
        if (found == m_impl->current.end()) return;
        if (auto* connection = m_impl->find_connection(found->second)) m_impl->fail_connection(*connection, "dropped");
    });
}

} // namespace cornelspring
