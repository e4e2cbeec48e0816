/** @file h2_client.cpp HTTP/2 (h2c) client: one thread owns a connection per peer, the streams and the timers. */
#include "socket.hpp"

#include <cornelspring/transport.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <future>
#include <map>
#include <thread>

#include <nghttp2/nghttp2.h>

namespace cornelspring {
namespace {

/** Bytes read per read() call. */
constexpr std::size_t read_chunk = 16384;

/** One request in progress. */
struct client_call {
    std::uint64_t id = 0;        ///< Id given to the caller.
    endpoint peer;               ///< Where it goes.
    http_request request;        ///< What it sends.
    time_point deadline;         ///< When it is reset.
    result_callback done;        ///< Result sink.
    std::int32_t stream_id = -1; ///< Stream once submitted.
    bool sent = false;           ///< Its HEADERS frame was handed to the socket.
    bool has_status = false;     ///< A :status header arrived.
    http_response response;      ///< What has arrived.
    std::size_t body_offset = 0; ///< Request body bytes handed to nghttp2.
};

/** One connection to a peer. */
struct client_connection {
    endpoint peer;                      ///< The peer.
    int fd = -1;                        ///< Socket.
    nghttp2_session* session = nullptr; ///< Session once connected.
    bool connected = false;             ///< TCP connect completed.
    time_point connect_deadline;        ///< Give up connecting at this time.
    std::string out;                    ///< Frames not yet written.
    std::vector<std::uint64_t> waiting; ///< Calls waiting for the connection.
    bool broken = false;                ///< Failed; close it.
};

} // namespace

/** State of the client task. */
struct h2_client::impl {
    client_options options;                                                             ///< Limits.
    std::shared_ptr<detail::task_queue> queue = std::make_shared<detail::task_queue>(); ///< Inbox.
    std::thread thread;                                                                 ///< Client thread.
    std::atomic<bool> stopping{false};                                                  ///< Set by the destructor.
    std::atomic<std::uint64_t> next_id{1};                                              ///< Next call id.
    std::map<std::uint64_t, client_call> calls;                                         ///< Calls in progress.
    std::map<endpoint, std::unique_ptr<client_connection>> connections;                 ///< Connections by peer.
    nghttp2_session_callbacks* callbacks = nullptr;                                     ///< Callback table.

    void loop();
    void start_call(client_call call);
    void open_stream(client_connection& connection, client_call& call);
    void on_connected(client_connection& connection);
    void read_from(client_connection& connection);
    void flush(client_connection& connection);
    void finish(std::uint64_t id, send_outcome outcome, std::string detail);
    void fail_connection(client_connection& connection, std::string const& why);
    void expire(time_point now);
    void close_broken();
    client_call* call_of_stream(nghttp2_session* session, std::int32_t stream_id);
};

client_call* h2_client::impl::call_of_stream(nghttp2_session* session, std::int32_t stream_id)
{
    // The stream's user data is the call id itself, so a stream that outlives its call finds nothing.
    auto const id = reinterpret_cast<std::uintptr_t>(nghttp2_session_get_stream_user_data(session, stream_id));
    if (id == 0) return nullptr;
    auto found = calls.find(id);
    return found == calls.end() ? nullptr : &found->second;
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
        } else {
            self.finish(id, call->sent ? send_outcome::unknown : send_outcome::not_sent,
                        "stream closed with code " + std::to_string(error_code));
        }
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

void h2_client::impl::finish(std::uint64_t id, send_outcome outcome, std::string detail)
{
    auto found = calls.find(id);
    if (found == calls.end()) return;
    client_call call = std::move(found->second);
    calls.erase(found);
    client_result result;
    result.outcome = outcome;
    result.response = std::move(call.response);
    result.detail = std::move(detail);
    if (call.done) call.done(std::move(result));
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
    if (call.stream_id < 0) {
        finish(call.id, send_outcome::not_sent, "cannot open a stream");
    }
}

void h2_client::impl::start_call(client_call call)
{
    std::uint64_t const id = call.id;
    endpoint const peer = call.peer;
    calls.emplace(id, std::move(call));
    auto& slot = connections[peer];
    if (!slot) {
        int const fd = detail::connect_tcp(peer);
        if (fd < 0) {
            connections.erase(peer);
            finish(id, send_outcome::not_sent, "cannot connect to " + peer.to_string());
            return;
        }
        slot = std::make_unique<client_connection>();
        slot->peer = peer;
        slot->fd = fd;
        slot->connect_deadline = clock::now() + options.connect_timeout;
    }
    if (slot->connected) {
        open_stream(*slot, calls.find(id)->second);
        flush(*slot);
    } else {
        slot->waiting.push_back(id);
    }
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
    nghttp2_session_client_new(&connection.session, callbacks, this);
    nghttp2_settings_entry setting{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1000};
    nghttp2_submit_settings(connection.session, NGHTTP2_FLAG_NONE, &setting, 1);
    auto waiting = std::move(connection.waiting);
    for (auto id : waiting) {
        auto found = calls.find(id);
        if (found != calls.end()) open_stream(connection, found->second);
    }
    flush(connection);
}

void h2_client::impl::fail_connection(client_connection& connection, std::string const& why)
{
    connection.broken = true;
    for (auto id : connection.waiting)
        finish(id, send_outcome::not_sent, why);
    connection.waiting.clear();
    std::vector<std::uint64_t> on_it;
    for (auto const& [id, call] : calls) {
        if (call.peer == connection.peer && call.stream_id >= 0) on_it.push_back(id);
    }
    for (auto id : on_it) {
        auto& call = calls.find(id)->second;
        finish(id, call.sent ? send_outcome::unknown : send_outcome::not_sent, why);
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
        if (nghttp2_session_mem_recv(connection.session, buffer, static_cast<size_t>(count)) < 0) {
            fail_connection(connection, "protocol error from peer");
            return;
        }
    }
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
    while (!connection.out.empty()) {
        ssize_t const written = send(connection.fd, connection.out.data(), connection.out.size(), MSG_NOSIGNAL);
        if (written < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK) fail_connection(connection, "write failed");
            return;
        }
        connection.out.erase(0, static_cast<size_t>(written));
    }
    if (!nghttp2_session_want_read(connection.session) && !nghttp2_session_want_write(connection.session)) {
        fail_connection(connection, "peer ended the session");
    }
}

void h2_client::impl::expire(time_point now)
{
    std::vector<std::uint64_t> late;
    for (auto const& [id, call] : calls) {
        if (call.deadline <= now) late.push_back(id);
    }
    for (auto id : late) {
        auto& call = calls.find(id)->second;
        auto found = connections.find(call.peer);
        if (found != connections.end() && found->second->session != nullptr && call.stream_id >= 0) {
            nghttp2_submit_rst_stream(found->second->session, NGHTTP2_FLAG_NONE, call.stream_id, NGHTTP2_CANCEL);
        }
        finish(id, call.sent ? send_outcome::unknown : send_outcome::not_sent, "timeout");
    }
    for (auto& [peer, connection] : connections) {
        if (!connection->connected && connection->connect_deadline <= now) {
            fail_connection(*connection, "connect timeout");
        }
        flush(*connection);
    }
}

void h2_client::impl::close_broken()
{
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

void h2_client::impl::loop()
{
    while (!stopping) {
        std::vector<pollfd> fds;
        std::vector<client_connection*> polled;
        fds.push_back({queue->wait_fd(), POLLIN, 0});
        for (auto& [peer, connection] : connections) {
            short events = POLLIN;
            if (!connection->connected || !connection->out.empty()) events |= POLLOUT;
            fds.push_back({connection->fd, events, 0});
            polled.push_back(connection.get());
        }
        auto next = clock::now() + milliseconds(50);
        for (auto const& [id, call] : calls)
            next = std::min(next, call.deadline);
        auto const wait = std::chrono::duration_cast<milliseconds>(next - clock::now()).count() + 1;
        poll(fds.data(), fds.size(), static_cast<int>(std::max<long>(0, wait)));
        if (fds[0].revents != 0) queue->run_all();
        for (std::size_t i = 1; i < fds.size(); ++i) {
            auto& connection = *polled[i - 1];
            if (connection.broken) continue;
            if (!connection.connected) {
                if (fds[i].revents & (POLLOUT | POLLERR | POLLHUP)) on_connected(connection);
                continue;
            }
            if (fds[i].revents & (POLLIN | POLLHUP | POLLERR)) read_from(connection);
            flush(connection);
        }
        expire(clock::now());
        close_broken();
    }
}

h2_client::h2_client(client_options options) : m_impl(std::make_unique<impl>())
{
    m_impl->options = options;
    nghttp2_session_callbacks_new(&m_impl->callbacks);
    nghttp2_session_callbacks_set_on_frame_send_callback(m_impl->callbacks, client_callbacks::on_frame_send);
    nghttp2_session_callbacks_set_on_header_callback(m_impl->callbacks, client_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(m_impl->callbacks, client_callbacks::on_data_chunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(m_impl->callbacks, client_callbacks::on_stream_close);
    m_impl->thread = std::thread([this] { m_impl->loop(); });
}

h2_client::~h2_client()
{
    m_impl->stopping = true;
    m_impl->queue->post([] {});
    m_impl->thread.join();
    for (auto& [peer, connection] : m_impl->connections) {
        if (connection->session != nullptr) nghttp2_session_del(connection->session);
        close(connection->fd);
    }
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
    post([this, call = std::move(call)]() mutable { m_impl->start_call(std::move(call)); });
    return id;
}

void h2_client::cancel(call_id id)
{
    post([this, id] {
        auto found = m_impl->calls.find(id.value());
        if (found == m_impl->calls.end()) return;
        auto& call = found->second;
        auto connection = m_impl->connections.find(call.peer);
        if (connection != m_impl->connections.end() && connection->second->session != nullptr && call.stream_id >= 0) {
            nghttp2_submit_rst_stream(connection->second->session, NGHTTP2_FLAG_NONE, call.stream_id, NGHTTP2_CANCEL);
            m_impl->flush(*connection->second);
        }
        call.done = nullptr;
        m_impl->calls.erase(found);
    });
}

void h2_client::post(std::function<void()> task) { m_impl->queue->post(std::move(task)); }

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
        auto found = m_impl->connections.find(peer);
        if (found != m_impl->connections.end()) m_impl->fail_connection(*found->second, "dropped");
        m_impl->close_broken();
    });
}

} // namespace cornelspring
