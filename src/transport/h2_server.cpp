/** @file h2_server.cpp HTTP/2 (h2c) server: one thread owns the listener, the connections and the streams. */
#include "../net/socket.hpp"

#include <cornelspring/transport.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <thread>

#include <nghttp2/nghttp2.h>

namespace cornelspring {
namespace {

/** Bytes read from a socket per read() call. */
constexpr std::size_t read_chunk = 16384;

/** A request and its response on one stream. */
struct server_stream {
    http_request request;   ///< Request received so far.
    bool too_large = false; ///< The body exceeds the limit; the response will be 413.
    std::string body;       ///< Response body being sent.
    std::size_t offset = 0; ///< Bytes of body already handed to nghttp2.
};

/** One accepted connection and its nghttp2 session. */
struct server_connection {
    std::uint64_t id = 0;                                  ///< Id by which responses find it.
    int fd = -1;                                           ///< Socket.
    nghttp2_session* session = nullptr;                    ///< Server session.
    std::map<std::int32_t, server_stream> streams;         ///< Open streams by id.
    std::string send_buffer;                               ///< Serialised frames not yet written.
    bool broken = false;                                   ///< Read or write failed; close it.
    bool silent = false;                                   ///< Fault injection: no longer read or written.
    std::function<void(std::int32_t)> on_request_complete; ///< Called when a request is complete.
    std::size_t max_body = 0;                              ///< Body limit in bytes.
};

} // namespace

/** State of the server; owned by its thread except for the queue and the atomics. */
struct h2_server::impl {
    server_options options;  ///< Address and limits.
    request_handler handler; ///< Application handler.
    int listen_fd = -1;      ///< Listening socket; -1 once draining.
    std::uint16_t port = 0;  ///< Bound port.
    std::shared_ptr<detail::task_queue> queue = std::make_shared<detail::task_queue>(); ///< Tasks posted to the thread.
    std::thread thread;                                                                 ///< The server thread.
    std::atomic<bool> stopping{false};                                                  ///< Set by the destructor.
    std::atomic<bool> frozen{false};                                         ///< Fault injection: read nothing.
    std::atomic<std::size_t> pending{0};                                     ///< Requests without a response yet.
    std::map<std::uint64_t, std::unique_ptr<server_connection>> connections; ///< Open connections.
    std::uint64_t next_id = 1;                                               ///< Next connection id.
    std::function<void(time_point)> tick;                                    ///< Periodic hook.
    nghttp2_session_callbacks* callbacks = nullptr;                          ///< Shared callback table.

    void loop();
    void accept_all();
    void read_from(server_connection& connection);
    void flush(server_connection& connection);
    void dispatch(server_connection& connection, std::int32_t stream_id);
    void send_response(std::uint64_t connection_id, std::int32_t stream_id, http_response response);
    void close_broken();
    void send_goaway();
};

namespace {

/** @return the connection passed as nghttp2 user data. */
server_connection& connection_of(void* user_data) { return *static_cast<server_connection*>(user_data); }

/** Signals to the handler of @p stream that its response is no longer needed. */
void mark_canceled(server_stream& stream)
{
    if (stream.request.canceled != nullptr) stream.request.canceled->store(true);
}

int on_begin_headers(nghttp2_session*, nghttp2_frame const* frame, void* user_data)
{
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        auto& stream = connection_of(user_data).streams[frame->hd.stream_id];
        stream.request.canceled = std::make_shared<std::atomic<bool>>(false);
    }
    return 0;
}

int on_header(nghttp2_session*, nghttp2_frame const* frame, uint8_t const* name, size_t name_length,
              uint8_t const* value, size_t value_length, uint8_t, void* user_data)
{
    auto& streams = connection_of(user_data).streams;
    auto found = streams.find(frame->hd.stream_id);
    if (found == streams.end()) return 0;
    std::string key(reinterpret_cast<char const*>(name), name_length);
    std::string text(reinterpret_cast<char const*>(value), value_length);
    auto& request = found->second.request;
    if (key == ":method") {
        request.method = std::move(text);
    } else if (key == ":path") {
        request.path = std::move(text);
    } else if (!key.empty() && key[0] != ':') {
        request.headers.push_back({std::move(key), std::move(text)});
    }
    return 0;
}

int on_data_chunk(nghttp2_session*, uint8_t, int32_t stream_id, uint8_t const* data, size_t length, void* user_data)
{
    auto& connection = connection_of(user_data);
    auto found = connection.streams.find(stream_id);
    if (found == connection.streams.end()) return 0;
    auto& stream = found->second;
    if (stream.too_large) return 0;
    if (stream.request.body.size() + length > connection.max_body) {
        stream.too_large = true;
        stream.request.body.clear();
        return 0;
    }
    stream.request.body.append(reinterpret_cast<char const*>(data), length);
    return 0;
}

int on_stream_close(nghttp2_session*, int32_t stream_id, uint32_t, void* user_data)
{
    auto& streams = connection_of(user_data).streams;
    auto found = streams.find(stream_id);
    if (found == streams.end()) return 0;
    mark_canceled(found->second);
    streams.erase(found);
    return 0;
}

int on_frame_recv(nghttp2_session*, nghttp2_frame const* frame, void* user_data)
{
    bool const ends_stream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    bool const carries_request = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (ends_stream && carries_request) connection_of(user_data).on_request_complete(frame->hd.stream_id);
    return 0;
}

ssize_t read_body(nghttp2_session*, int32_t, uint8_t* buf, size_t length, uint32_t* flags, nghttp2_data_source* source,
                  void*)
{
    auto& stream = *static_cast<server_stream*>(source->ptr);
    std::size_t const count = std::min(length, stream.body.size() - stream.offset);
    std::copy_n(stream.body.data() + stream.offset, count, buf);
    stream.offset += count;
    if (stream.offset == stream.body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

} // namespace

void h2_server::impl::dispatch(server_connection& connection, std::int32_t stream_id)
{
    auto found = connection.streams.find(stream_id);
    if (found == connection.streams.end()) return;
    auto& stream = found->second;
    ++pending;
    std::weak_ptr<detail::task_queue> inbox = queue;
    std::uint64_t const connection_id = connection.id;
    auto respond = [this, inbox, connection_id, stream_id](http_response response) {
        if (auto target = inbox.lock()) {
            target->post([this, connection_id, stream_id, response = std::move(response)]() mutable {
                send_response(connection_id, stream_id, std::move(response));
            });
        }
    };
    if (stream.too_large) {
        respond(error_response(
            error(error_kind::too_large, "request body is larger than the server's limit.", "Send a smaller body.")));
        return;
    }
    try {
        handler(stream.request, respond);
    } catch (error const& failure) {
        respond(error_response(failure));
    } catch (std::exception const& failure) {
        respond(error_response(error(error_kind::internal, failure.what(), "Report this bug.")));
    }
}

void h2_server::impl::send_response(std::uint64_t connection_id, std::int32_t stream_id, http_response response)
{
    --pending;
    auto found = connections.find(connection_id);
    if (found == connections.end()) return;
    auto& connection = *found->second;
    auto stream_found = connection.streams.find(stream_id);
    if (stream_found == connection.streams.end()) return;
    auto& stream = stream_found->second;
    stream.body = std::move(response.body);
    std::vector<std::string> storage;
    storage.push_back(std::to_string(response.status));
    std::vector<nghttp2_nv> headers;
    auto add = [&headers](std::string const& name, std::string const& value) {
        headers.push_back({reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
                           reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
                           NGHTTP2_NV_FLAG_NONE});
    };
    std::string const status_name = ":status";
    add(status_name, storage[0]);
    for (auto const& header : response.headers)
        add(header.name, header.value);
    nghttp2_data_provider provider{};
    provider.source.ptr = &stream;
    provider.read_callback = read_body;
    nghttp2_submit_response(connection.session, stream_id, headers.data(), headers.size(), &provider);
    flush(connection);
}

void h2_server::impl::accept_all()
{
    while (listen_fd >= 0) {
        int const fd = accept(listen_fd, nullptr, nullptr);
        if (fd < 0) return;
        if (connections.size() >= options.max_connections) {
            close(fd);
            continue;
        }
        detail::tune_socket(fd);
        auto connection = std::make_unique<server_connection>();
        connection->id = next_id++;
        connection->fd = fd;
        connection->max_body = options.max_body_bytes;
        auto* raw = connection.get();
        connection->on_request_complete = [this, raw](std::int32_t stream_id) { dispatch(*raw, stream_id); };
        nghttp2_session_server_new(&connection->session, callbacks, connection.get());
        nghttp2_settings_entry setting{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1000};
        nghttp2_submit_settings(connection->session, NGHTTP2_FLAG_NONE, &setting, 1);
        flush(*connection);
        connections[connection->id] = std::move(connection);
    }
}

void h2_server::impl::read_from(server_connection& connection)
{
    uint8_t buffer[read_chunk];
    while (true) {
        ssize_t const count = read(connection.fd, buffer, sizeof buffer);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            connection.broken = true;
            return;
        }
        if (count < 0) return;
        if (nghttp2_session_mem_recv(connection.session, buffer, static_cast<size_t>(count)) < 0) {
            connection.broken = true;
            return;
        }
    }
}

void h2_server::impl::flush(server_connection& connection)
{
    if (connection.silent) return;
    while (true) {
        uint8_t const* data = nullptr;
        ssize_t const count = nghttp2_session_mem_send(connection.session, &data);
        if (count <= 0) break;
        connection.send_buffer.append(reinterpret_cast<char const*>(data), static_cast<size_t>(count));
    }
    while (!connection.send_buffer.empty()) {
        ssize_t const written =
            send(connection.fd, connection.send_buffer.data(), connection.send_buffer.size(), MSG_NOSIGNAL);
        if (written < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK) connection.broken = true;
            return;
        }
        connection.send_buffer.erase(0, static_cast<size_t>(written));
    }
    if (!nghttp2_session_want_read(connection.session) && !nghttp2_session_want_write(connection.session)) {
        connection.broken = true;
    }
}

void h2_server::impl::close_broken()
{
    for (auto it = connections.begin(); it != connections.end();) {
        if (it->second->broken) {
            for (auto& [stream_id, stream] : it->second->streams)
                mark_canceled(stream);
            nghttp2_session_del(it->second->session);
            close(it->second->fd);
            it = connections.erase(it);
        } else {
            ++it;
        }
    }
}

void h2_server::impl::send_goaway()
{
    if (listen_fd >= 0) {
        close(listen_fd);
        listen_fd = -1;
    }
    for (auto& [id, connection] : connections) {
        nghttp2_submit_goaway(connection->session, NGHTTP2_FLAG_NONE,
                              nghttp2_session_get_last_proc_stream_id(connection->session), NGHTTP2_NO_ERROR, nullptr,
                              0);
        flush(*connection);
    }
}

void h2_server::impl::loop()
{
    auto next_tick = clock::now();
    while (!stopping) {
        std::vector<pollfd> fds;
        std::vector<server_connection*> polled;
        fds.push_back({queue->wait_fd(), POLLIN, 0});
        bool const reading = !frozen;
        if (listen_fd >= 0 && reading) fds.push_back({listen_fd, POLLIN, 0});
        std::size_t const first_connection = fds.size();
        for (auto& [id, connection] : connections) {
            if (connection->silent) continue;
            short events = reading ? POLLIN : 0;
            if (!connection->send_buffer.empty()) events |= POLLOUT;
            fds.push_back({connection->fd, events, 0});
            polled.push_back(connection.get());
        }
        auto const wait = std::chrono::duration_cast<milliseconds>(next_tick - clock::now()).count();
        poll(fds.data(), fds.size(), static_cast<int>(std::max<long>(0, wait)));
        if (fds[0].revents != 0) queue->run_all();
        if (first_connection > 1 && fds[1].revents != 0 && !frozen) accept_all();
        for (std::size_t i = first_connection; i < fds.size(); ++i) {
            auto& connection = *polled[i - first_connection];
            // The server may have been frozen during poll(); data sent after that must stay unread.
            bool const readable = !frozen && (fds[i].revents & POLLIN) != 0;
            if (readable || (fds[i].revents & (POLLHUP | POLLERR)) != 0) read_from(connection);
            if (!connection.broken) flush(connection);
        }
        close_broken();
        auto const now = clock::now();
        if (now >= next_tick) {
            if (tick) tick(now);
            next_tick = now + options.tick_interval;
        }
    }
}

h2_server::h2_server(server_options options, request_handler handler) : m_impl(std::make_unique<impl>())
{
    m_impl->options = std::move(options);
    m_impl->handler = std::move(handler);
    m_impl->listen_fd = detail::listen_tcp(m_impl->options.listen);
    m_impl->port = detail::local_port(m_impl->listen_fd);
    nghttp2_session_callbacks_new(&m_impl->callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(m_impl->callbacks, on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(m_impl->callbacks, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(m_impl->callbacks, on_data_chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(m_impl->callbacks, on_frame_recv);
    nghttp2_session_callbacks_set_on_stream_close_callback(m_impl->callbacks, on_stream_close);
}

h2_server::~h2_server()
{
    m_impl->stopping = true;
    m_impl->queue->post([] {});
    if (m_impl->thread.joinable()) m_impl->thread.join();
    for (auto& [id, connection] : m_impl->connections) {
        nghttp2_session_del(connection->session);
        close(connection->fd);
    }
    if (m_impl->listen_fd >= 0) close(m_impl->listen_fd);
    nghttp2_session_callbacks_del(m_impl->callbacks);
}

std::uint16_t h2_server::port() const { return m_impl->port; }

void h2_server::start()
{
    m_impl->thread = std::thread([this] { m_impl->loop(); });
}

void h2_server::set_tick(std::function<void(time_point)> tick)
{
    post([this, tick = std::move(tick)]() mutable { m_impl->tick = std::move(tick); });
}

void h2_server::post(std::function<void()> task) { m_impl->queue->post(std::move(task)); }

std::size_t h2_server::drain(milliseconds limit)
{
    post([this] { m_impl->send_goaway(); });
    auto const until = clock::now() + limit;
    while (m_impl->pending > 0 && clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    std::this_thread::sleep_for(milliseconds(50));
    return m_impl->pending;
}

std::size_t h2_server::in_flight() const { return m_impl->pending; }

void h2_server::silence_open_connections()
{
    post([this] {
        for (auto& [id, connection] : m_impl->connections)
            connection->silent = true;
    });
}

void h2_server::set_frozen(bool frozen)
{
    m_impl->frozen = frozen;
    post([] {});
}

} // namespace cornelspring
