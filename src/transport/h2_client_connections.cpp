/** @file h2_client_connections.cpp Connections of the HTTP/2 client: one per peer, checked by PING. */
#include "h2_client_impl.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

namespace cornelspring {
namespace {

/** Bytes read per read() call. */
constexpr std::size_t read_chunk = 16384;
/** Most streams that a server may open to the client. Servers open none; the value only fills the SETTINGS frame. */
constexpr std::uint32_t settings_max_streams = 1000;

} // namespace

h2_connection* h2_client::impl::find_connection(std::uint64_t id)
{
    auto found = connections.find(id);
    return found == connections.end() ? nullptr : found->second.get();
}

h2_connection* h2_client::impl::connection_for(endpoint const& peer, time_point now)
{
    auto known = connection_by_peer.find(peer);
    if (known != connection_by_peer.end()) return find_connection(known->second);
    int const fd = detail::connect_tcp(peer);
    if (fd < 0) return nullptr;
    ++opened;
    auto connection = std::make_unique<h2_connection>();
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
    connection_by_peer[peer] = raw->id;
    connections.emplace(raw->id, std::move(connection));
    return raw;
}

void h2_client::impl::on_connected(h2_connection& connection)
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

void h2_client::impl::retire(h2_connection& connection)
{
    connection.retiring = true;
    auto known = connection_by_peer.find(connection.peer);
    if (known != connection_by_peer.end() && known->second == connection.id) connection_by_peer.erase(known);
}

void h2_client::impl::fail_connection(h2_connection& connection, std::string const& why)
{
    if (connection.broken) return;
    connection.broken = true;
    has_broken = true;
    retire(connection); // first, so that a retry from a callback below opens a new connection
    auto const open = connection.calls;
    for (auto id : open) {
        auto found = calls.find(id);
        if (found == calls.end()) continue;
        finish(id, found->second.sent ? send_outcome::unknown : send_outcome::not_sent, why);
    }
}

void h2_client::impl::read_from(h2_connection& connection)
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

void h2_client::impl::poll_write(h2_connection& connection, bool wanted)
{
    if (connection.polls_write == wanted) return;
    connection.polls_write = wanted;
    epoll_event event{};
    event.events = EPOLLIN | (wanted ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.u64 = connection.id;
    epoll_ctl(epoll_fd, EPOLL_CTL_MOD, connection.fd, &event);
}

void h2_client::impl::flush(h2_connection& connection)
{
    if (!connection.connected || connection.broken) return;
    while (true) {
        uint8_t const* data = nullptr;
        ssize_t const count = nghttp2_session_mem_send(connection.session, &data);
        if (count <= 0) break;
        connection.send_buffer.append(reinterpret_cast<char const*>(data), static_cast<size_t>(count));
    }
    std::size_t written_total = 0;
    while (written_total < connection.send_buffer.size()) {
        ssize_t const written = send(connection.fd, connection.send_buffer.data() + written_total,
                                     connection.send_buffer.size() - written_total, MSG_NOSIGNAL);
        if (written < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK) break;
            fail_connection(connection, "write failed");
            return;
        }
        written_total += static_cast<std::size_t>(written);
    }
    sent_bytes += written_total;
    connection.send_buffer.erase(0, written_total);
    poll_write(connection, !connection.send_buffer.empty());
    if (!nghttp2_session_want_read(connection.session) && !nghttp2_session_want_write(connection.session)) {
        fail_connection(connection, "HTTP/2 session closed by peer");
    }
}

void h2_client::impl::flush_dirty()
{
    // A flush may finish calls whose callbacks start new ones, which can mark more connections dirty.
    while (!dirty.empty()) {
        auto const ids = std::move(dirty);
        dirty.clear();
        for (auto id : ids) {
            if (auto* connection = find_connection(id)) flush(*connection);
        }
    }
}

void h2_client::impl::check_connections(time_point now)
{
    std::vector<h2_connection*> all;
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
        auto const idle_since = std::max(connection->last_read, connection->busy_since);
        if (connection->ping_open) {
            if (now - connection->ping_sent < options.ping_timeout) continue;
            ++silent;
            fail_connection(*connection, "no byte received after PING");
        } else if (now - idle_since >= options.ping_after) {
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

void h2_client::impl::on_event(h2_connection& connection, std::uint32_t events)
{
    if (connection.broken) return;
    if (!connection.connected) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) on_connected(connection);
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read_from(connection);
    dirty.insert(connection.id);
}

} // namespace cornelspring
