/** @file http.cpp Blocking sockets and HTTP/1.1 messages. */
#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

/** Bytes read by one call. */
constexpr std::size_t read_size = 65536;

/** @return @p text in lower case. */
std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/** @return the socket address of @p where. */
sockaddr_in socket_address(address const& where)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(where.port);
    inet_pton(AF_INET, where.host.c_str(), &out.sin_addr);
    return out;
}

/** Reads start line and headers from @p head into @p out. */
void parse_head(std::string const& head, bool is_request, message& out)
{
    std::size_t at = head.find("\r\n");
    auto const line = head.substr(0, at);
    auto const first = line.find(' ');
    auto const second = line.find(' ', first + 1);
    if (is_request) {
        out.method = line.substr(0, first);
        out.target = line.substr(first + 1, second - first - 1);
    } else {
        out.status = std::stoi(line.substr(first + 1));
    }
    while (at != std::string::npos && at + 2 < head.size()) {
        auto const end = head.find("\r\n", at + 2);
        auto const field = head.substr(at + 2, end == std::string::npos ? end : end - at - 2);
        at = end;
        auto const colon = field.find(':');
        if (colon == std::string::npos) continue;
        auto value = field.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers[lower(field.substr(0, colon))] = value;
    }
}

/** @return the headers and the body of a message. */
std::string tail_of(message const& from, bool with_length)
{
    std::string out;
    for (auto const& [name, value] : from.headers)
        out += name + ": " + value + "\r\n";
    if (with_length) out += "content-length: " + std::to_string(from.body.size()) + "\r\n";
    return out + "\r\n" + from.body;
}

} // namespace

std::string message::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string serialize_response(message const& response)
{
    return "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n" + tail_of(response, true);
}

std::string serialize_request(message const& request)
{
    return request.method + " " + request.target + " HTTP/1.1\r\n" +
           tail_of(request, !request.body.empty() || request.method == "POST");
}

std::optional<connection> connection::open(address const& peer, int receive_buffer)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    auto const to = socket_address(peer);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0) {
        close(fd);
        return std::nullopt;
    }
    int const one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return connection(fd);
}

connection::connection(connection&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1)), m_buffer(std::move(other.m_buffer))
{
}

connection& connection::operator=(connection&& other) noexcept
{
    if (m_fd >= 0) close(m_fd);
    m_fd = std::exchange(other.m_fd, -1);
    m_buffer = std::move(other.m_buffer);
    return *this;
}

connection::~connection()
{
    if (m_fd >= 0) close(m_fd);
}

bool connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(steady::time_point until)
{
    auto const more = read_some(read_size, until);
    m_buffer += more;
    return !more.empty();
}

std::string connection::read_some(std::size_t size, steady::time_point until)
{
    auto const left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
    pollfd waiting{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        m_end = "no bytes until the time was over";
        return {};
    }
    std::string out(size, '\0');
    auto const count = recv(m_fd, out.data(), out.size(), 0);
    if (count == 0) m_end = "closed by the peer";
    if (count < 0) m_end = std::strerror(errno);
    out.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return out;
}

std::optional<message> connection::read(bool is_request, steady::time_point until)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        if (!fill(until)) return std::nullopt;
    message out;
    parse_head(m_buffer.substr(0, end), is_request, out);
    m_buffer.erase(0, end + 4);
    auto const length = out.header("content-length");
    std::size_t const size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size)
        if (!fill(until)) return std::nullopt;
    out.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return out;
}

bool connection::peer_gone() const
{
    char byte = 0;
    auto const count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

server::server(std::string const& host, std::uint16_t port, std::function<void(connection&)> serve)
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_where{host, port}, m_serve(std::move(serve))
{
    int const one = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto bound = socket_address(m_where);
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 || listen(m_fd, 256) != 0)
        throw std::runtime_error("cannot listen on " + m_where.text());
    socklen_t size = sizeof bound;
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&bound), &size);
    m_where.port = ntohs(bound.sin_port);
    std::thread([this] {
        while (true) {
            int const fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 && m_stopped) return;
            if (fd < 0) continue;
            int const yes = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::thread([this, fd] {
                connection accepted(fd);
                m_serve(accepted);
            }).detach();
        }
    }).detach();
}

void server::stop()
{
    m_stopped = true;
    shutdown(m_fd, SHUT_RDWR); // Wakes the thread that accepts.
}

std::uint16_t free_port(std::string const& host)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto bound = socket_address({host, 0});
    socklen_t size = sizeof bound;
    bool const ok = bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof bound) == 0 &&
                    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) == 0;
    close(fd);
    if (!ok) throw std::runtime_error("no free port on " + host);
    return ntohs(bound.sin_port);
}

std::optional<message> fetch(address const& peer, message request, milliseconds timeout)
{
    auto made = connection::open(peer);
    if (!made) return std::nullopt;
    request.headers.emplace("host", peer.text());
    if (!made->send(serialize_request(request))) return std::nullopt;
    return made->read(false, steady::now() + timeout);
}

} // namespace review
