/** @file tcp_stream.cpp Non-blocking TCP connections and listeners on the event loop. */
#include "event_loop_impl.hpp"
#include "socket.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>

namespace cornelspring {

/** Implementation of a stream. Callbacks registered with the loop refer to it weakly. */
struct tcp_stream::impl : std::enable_shared_from_this<tcp_stream::impl> {
    std::shared_ptr<descriptor_watch> watch = std::make_shared<descriptor_watch>(); ///< Registration with the loop.
    stream_events events;                                                           ///< Callbacks to the owner.
    std::string pending;                                                            ///< Bytes waiting to be sent.
    std::size_t pending_from = 0; ///< Offset of the first unsent byte in pending.
    bool connecting = false;      ///< The connection is not established yet.
    bool ended = false;           ///< on_end was called, or the owner destroyed the stream.

    /** Sets the options of @p fd and registers it with @p loop. */
    void start(event_loop& loop, int fd, stream_options const& options);
    /** Reads bytes and passes them to the owner. */
    void on_readable();
    /** Continues connecting or sending. */
    void on_writable();
    /** Writes @p bytes until the socket accepts no more. @return the number of bytes accepted. */
    std::size_t send_now(std::string_view bytes);
    /** Closes the connection and reports its end, once. */
    void end(stream_end how);
};

namespace {

/** Bytes read by one recv(); a larger buffer would only help bodies larger than this. */
constexpr std::size_t read_size = 64 * 1024;
/** Calls of recv() per event, so that one stream does not delay other descriptors. */
constexpr int reads_per_event = 4;
/** Connections accepted per event, so that a listener does not delay other descriptors. */
constexpr int accepts_per_event = 32;
/** Seconds between keep-alive probes; with keep_alive_probes, an unreachable peer is detected in about 4 s. */
constexpr int keep_alive_interval_s = 1;
/** Number of lost keep-alive probes that end a connection. */
constexpr int keep_alive_probes = 3;

/** Sets an integer socket option. Errors are ignored, as all waits have timers of their own. */
void set_option(int fd, int level, int name, int value) { setsockopt(fd, level, name, &value, sizeof value); }

/** Applies @p options to @p fd. */
void apply_options(int fd, stream_options const& options)
{
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(options.unacknowledged_timeout.count()));
    if (!options.keep_alive) return;
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

} // namespace

void tcp_stream::impl::start(event_loop& loop, int fd, stream_options const& options)
{
    apply_options(fd, options);
    watch->fd = fd;
    std::weak_ptr<impl> const weak = weak_from_this();
    watch->on_readable = [weak] {
        if (auto const self = weak.lock()) self->on_readable();
    };
    watch->on_writable = [weak] {
        if (auto const self = weak.lock()) self->on_writable();
    };
    watch->on_removed = [weak] {
        if (auto const self = weak.lock()) self->end(self->connecting ? stream_end::connect_failed : stream_end::reset);
    };
    if (!loop.state().watch(watch)) {
        loop.run_at(loop.now(), [weak] {
            if (auto const self = weak.lock()) self->end(stream_end::connect_failed);
        });
        return;
    }
    if (connecting) watch->want_write();
}

void tcp_stream::impl::on_readable()
{
    static thread_local std::array<char, read_size> buffer;
    auto const keep = shared_from_this();
    for (int i = 0; i < reads_per_event && !ended; ++i) {
        auto const count = recv(watch->fd, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            if (events.on_bytes) events.on_bytes({buffer.data(), static_cast<std::size_t>(count)});
            if (static_cast<std::size_t>(count) < buffer.size()) return;
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
        end(count == 0 ? stream_end::closed : connecting ? stream_end::connect_failed : stream_end::reset);
        return;
    }
}

void tcp_stream::impl::on_writable()
{
    if (ended) return;
    auto const keep = shared_from_this();
    if (connecting) {
        int failure = 0;
        socklen_t length = sizeof failure;
        getsockopt(watch->fd, SOL_SOCKET, SO_ERROR, &failure, &length);
        if (failure != 0) {
            end(stream_end::connect_failed);
            return;
        }
        connecting = false;
        if (events.on_connected) events.on_connected();
        if (ended) return;
    }
    if (pending_from < pending.size()) {
        pending_from += send_now(std::string_view(pending).substr(pending_from));
        if (ended) return;
        if (pending_from < pending.size()) {
            watch->want_write();
            return;
        }
        pending.clear();
        pending_from = 0;
        if (events.on_flushed) events.on_flushed();
    }
}

std::size_t tcp_stream::impl::send_now(std::string_view bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const accepted = ::send(watch->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (accepted > 0) {
            watch->loop->uplink.record_sent(static_cast<std::size_t>(accepted), watch->loop->now);
            sent += static_cast<std::size_t>(accepted);
            continue;
        }
        if (accepted < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) break;
        break; // recv() reports the error, after any bytes received before it.
    }
    return sent;
}

void tcp_stream::impl::end(stream_end how)
{
    if (ended) return;
    ended = true;
    auto const keep = shared_from_this();
    watch->close();
    if (events.on_end) events.on_end(how);
}

tcp_stream::tcp_stream(event_loop& loop, endpoint const& peer, stream_options options, stream_events events)
    : m_impl(std::make_shared<impl>())
{
    m_impl->events = std::move(events);
    m_impl->connecting = true;
    int const fd = detail::connect_tcp(peer, options.from_own_host ? loop.own_host() : std::string());
    if (fd >= 0) {
        m_impl->start(loop, fd, options);
        return;
    }
    loop.run_at(loop.now(), [weak = m_impl->weak_from_this()] {
        if (auto const self = weak.lock()) self->end(stream_end::connect_failed);
    });
}

tcp_stream::tcp_stream(event_loop& loop, int socket, stream_options options, stream_events events)
    : m_impl(std::make_shared<impl>())
{
    m_impl->events = std::move(events);
    m_impl->start(loop, socket, options);
}

tcp_stream::~tcp_stream()
{
    bool const was_open = !m_impl->ended;
    m_impl->ended = true; // Keeps the callbacks, as one may be running now; none is called after this.
    if (was_open) m_impl->watch->close();
}

void tcp_stream::send(std::string_view bytes)
{
    if (m_impl->ended) return;
    std::size_t sent = 0;
    if (!m_impl->connecting && m_impl->pending.empty()) sent = m_impl->send_now(bytes);
    if (sent == bytes.size()) return;
    m_impl->pending.append(bytes.substr(sent));
    if (!m_impl->connecting) m_impl->watch->want_write();
}

std::size_t tcp_stream::unsent() const { return m_impl->pending.size() - m_impl->pending_from; }

std::size_t tcp_stream::unacknowledged() const
{
    int in_socket = 0;
    if (m_impl->ended || ioctl(m_impl->watch->fd, SIOCOUTQ, &in_socket) != 0) in_socket = 0;
    return unsent() + static_cast<std::size_t>(in_socket);
}

bool tcp_stream::open() const { return !m_impl->ended; }

std::chrono::microseconds tcp_stream::round_trip() const
{
    tcp_info info{};
    socklen_t length = sizeof info;
    if (m_impl->ended || getsockopt(m_impl->watch->fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return {};
    return std::chrono::microseconds(info.tcpi_rtt);
}

std::string tcp_stream::peer_host() const
{
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    if (m_impl->ended || getpeername(m_impl->watch->fd, reinterpret_cast<sockaddr*>(&peer), &length) != 0) return {};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    return text.data();
}

tcp_listener::tcp_listener(event_loop& loop, endpoint const& address, std::function<void(int)> on_accept)
    : m_impl(std::make_shared<tcp_stream::impl>())
{
    int const fd = detail::listen_tcp(address);
    m_port = detail::local_port(fd);
    m_impl->watch->fd = fd;
    m_impl->watch->on_readable = [fd, on_accept = std::move(on_accept)] {
        for (int i = 0; i < accepts_per_event; ++i) {
            int const accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0) return;
            set_option(accepted, IPPROTO_TCP, TCP_NODELAY, 1);
            on_accept(accepted);
        }
    };
    if (!loop.state().watch(m_impl->watch)) {
        throw error(error_kind::internal, "cannot register the listening socket.", "Raise the limit of open files.");
    }
}

tcp_listener::~tcp_listener() { m_impl->watch->close(); }

} // namespace cornelspring
