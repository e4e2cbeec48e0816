/** @file socket.cpp Socket helpers, the task queue and helpers for HTTP requests and responses. */
#include "socket.hpp"

#include <cornelspring/net.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <nlohmann/json.hpp>

namespace cornelspring {
namespace detail {
namespace {

/** @return the addresses of @p where, to be freed with freeaddrinfo(), or null. @param passive for listening. */
addrinfo* resolve(endpoint const& where, bool passive)
{
    addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = passive ? AI_PASSIVE : 0;
    addrinfo* found = nullptr;
    std::string const port = std::to_string(where.port);
    if (getaddrinfo(where.host.c_str(), port.c_str(), &hints, &found) != 0) {
        return nullptr;
    }
    return found;
}

} // namespace

void tune_socket(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK);
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

int listen_tcp(endpoint const& where)
{
    addrinfo* found = resolve(where, true);
    if (found == nullptr) {
        throw error(error_kind::unavailable, "cannot resolve listen address " + where.to_string() + ".",
                    "Use a numeric address such as 127.0.0.1.");
    }
    int fd = socket(found->ai_family, SOCK_STREAM, 0);
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    bool const bound = bind(fd, found->ai_addr, found->ai_addrlen) == 0 && listen(fd, 512) == 0;
    freeaddrinfo(found);
    if (!bound) {
        std::string const reason = std::strerror(errno);
        close(fd);
        throw error(error_kind::unavailable, "cannot listen on " + where.to_string() + ": " + reason + ".",
                    "Choose a free port, or port 0 to let the system choose one.");
    }
    tune_socket(fd);
    return fd;
}

std::uint16_t local_port(int fd)
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

/** Sets the local address of @p fd to @p source. The port is chosen by connect(), so that connections to different
 * peers may share one. If that fails, the system chooses the address; this is logged once. */
void bind_source(int fd, std::string const& source)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (inet_pton(AF_INET, source.c_str(), &address.sin_addr) != 1) return;
    int one = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof one);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return;
    static std::atomic<bool> logged{false};
    if (logged.exchange(true)) return;
    LOG4CPLUS_WARN(get_logger("net"), "cannot connect from " << source << ": " << std::strerror(errno));
}

/** @return a socket that is connecting to an IPv4 address, or -1 on failure. @param host address. @param port port.
 *  @param source local address; empty: the system chooses. */
int connect_ipv4(in_addr host, std::uint16_t port, std::string const& source)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr = host;
    address.sin_port = htons(port);
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0) return -1;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    bind_source(fd, source);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

int connect_tcp(endpoint const& peer, std::string const& source)
{
    // Numeric IPv4 addresses, the usual case, are not passed to the resolver.
    in_addr numeric{};
    if (inet_pton(AF_INET, peer.host.c_str(), &numeric) == 1) return connect_ipv4(numeric, peer.port, source);
    addrinfo* found = resolve(peer, false);
    if (found == nullptr) return -1;
    int fd = socket(found->ai_family, SOCK_STREAM, 0);
    tune_socket(fd);
    int const rc = connect(fd, found->ai_addr, found->ai_addrlen);
    freeaddrinfo(found);
    if (rc != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

task_queue::task_queue()
{
    if (pipe(m_pipe) != 0) {
        throw error(error_kind::internal, "cannot create the wake-up pipe.", "Raise the limit of open files.");
    }
    fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    fcntl(m_pipe[1], F_SETFL, O_NONBLOCK);
}

task_queue::~task_queue()
{
    close(m_pipe[0]);
    close(m_pipe[1]);
}

void task_queue::post(std::function<void()> task)
{
    {
        std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    char const byte = 1;
    [[maybe_unused]] auto written = write(m_pipe[1], &byte, 1);
}

void task_queue::run_all()
{
    char discarded[256];
    while (read(m_pipe[0], discarded, sizeof discarded) > 0) {
    }
    std::vector<std::function<void()>> tasks;
    {
        std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (auto& task : tasks) {
        task();
    }
}

} // namespace detail

namespace {
/** @return the value of header @p name in @p headers. */
std::string find_header(std::vector<http_header> const& headers, std::string const& name)
{
    for (auto const& h : headers) {
        if (h.name == name) return h.value;
    }
    return {};
}
} // namespace

std::string http_request::header(std::string const& name) const { return find_header(headers, name); }
std::string http_response::header(std::string const& name) const { return find_header(headers, name); }

http_request json_post(std::string path, std::string json_text)
{
    http_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers.push_back({"content-type", "application/json"});
    request.body = std::move(json_text);
    return request;
}

http_response json_response(int status, std::string json_text)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"content-type", "application/json"});
    response.body = std::move(json_text);
    return response;
}

http_response error_response(error const& failure, int retry_after_s)
{
    nlohmann::json body{
        {"error", to_string(failure.kind())}, {"message", failure.message()}, {"remedy", failure.remedy()}};
    if (retry_after_s > 0) body["retry_after_s"] = retry_after_s;
    auto response = json_response(http_status(failure.kind()), body.dump());
    if (retry_after_s > 0) response.headers.push_back({"retry-after", std::to_string(retry_after_s)});
    return response;
}

} // namespace cornelspring
