/** @file harness.hpp Stand-ins for the platform's store, backend servers and clients, and control of gateway processes,
 *  for the scripts of the second review. It uses blocking sockets and one thread per connection. */
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

/** Exit codes of a script. */
constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

inline steady::time_point const started_at = steady::now();

/** @return milliseconds since the start of the script. */
inline long now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - started_at).count();
}

/** Record of what was sent, answered and run. */
class record_file {
public:
    explicit record_file(std::string const& path) : m_out(path) {}
    void line(std::string const& text)
    {
        std::lock_guard lock(m_mutex);
        m_out << now_ms() << " ms  " << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/** Ends the script because it could not run. */
[[noreturn]] inline void cannot_run(std::string const& why)
{
    std::cerr << "cannot run: " << why << "\n";
    std::_Exit(not_run); // Gateways end with this process.
}

// ---- Sockets and HTTP ----

inline sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** @return a listening socket; @p port receives the bound port if it is 0. */
inline int listen_on(std::string const& ip, int& port, int backlog = 512)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto address = address_of(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/** @return a connected socket, or -1. */
inline int connect_to(std::string const& ip, int port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = address_of(ip, port);
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0) return fd;
    close(fd);
    return -1;
}

/** Sends all of @p bytes. @return false when the connection has failed. */
inline bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto const sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/** A message of HTTP/1.1 with header names in lower case. */
struct message {
    std::string start;                          ///< Start line.
    std::map<std::string, std::string> headers; ///< Headers.
    std::string body;                           ///< Body.
    std::string header(std::string const& name) const
    {
        auto const found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/** How reading a message ended. */
enum class read_end { complete, closed, reset, timed_out };

/** Reads messages with a Content-Length from a connection. */
class message_stream {
public:
    explicit message_stream(int fd) : m_fd(fd) {}
    /** Reads one message. @param limit longest wait. */
    read_end read(message& out, std::chrono::milliseconds limit = 60s)
    {
        auto const until = steady::now() + limit;
        std::size_t head = 0;
        while ((head = m_bytes.find("\r\n\r\n")) == std::string::npos)
            if (auto const end = more(until); end != read_end::complete) return end;
        out = {};
        std::size_t at = m_bytes.find("\r\n");
        out.start = m_bytes.substr(0, at);
        while (at < head) {
            auto const end = m_bytes.find("\r\n", at + 2);
            auto const line = m_bytes.substr(at + 2, end - at - 2);
            auto const colon = line.find(':');
            auto name = line.substr(0, colon);
            for (auto& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            auto const from = line.find_first_not_of(' ', colon + 1);
            out.headers[name] = from == std::string::npos ? "" : line.substr(from);
            at = end;
        }
        auto const length = static_cast<std::size_t>(std::atol(out.header("content-length").c_str()));
        while (m_bytes.size() < head + 4 + length)
            if (auto const end = more(until); end != read_end::complete) return end;
        out.body = m_bytes.substr(head + 4, length);
        m_bytes.erase(0, head + 4 + length);
        return read_end::complete;
    }
    /** Waits until the peer ends the connection. */
    read_end wait_for_end(std::chrono::milliseconds limit)
    {
        auto const until = steady::now() + limit;
        read_end end;
        while ((end = more(until)) == read_end::complete) {
        }
        return end;
    }

private:
    read_end more(steady::time_point until)
    {
        pollfd entry{m_fd, POLLIN, 0};
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) return read_end::timed_out;
        char buffer[65536];
        auto const got = recv(m_fd, buffer, sizeof buffer, 0);
        if (got == 0) return read_end::closed;
        if (got < 0) return read_end::reset;
        m_bytes.append(buffer, static_cast<std::size_t>(got));
        return read_end::complete;
    }
    int m_fd;
    std::string m_bytes;
};

inline std::string make_response(int status, std::map<std::string, std::string> const& headers, std::string const& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (auto const& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Accepts connections in a thread of its own and handles each in another one. */
class server {
public:
    server(std::string const& ip, int port, std::function<void(int)> handle) : m_port(port)
    {
        m_fd = listen_on(ip, m_port);
        if (m_fd < 0) cannot_run("no listening socket at " + ip);
        std::thread([fd = m_fd, handle = std::move(handle)] {
            while (true) {
                int const accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) return;
                int one = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([accepted, handle] {
                    handle(accepted);
                    close(accepted);
                }).detach();
            }
        }).detach();
    }
    int port() const { return m_port; }

private:
    int m_fd;
    int m_port;
};

// ---- The platform's store ----

inline std::string base64(std::string const& in)
{
    static char const* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned const n = (static_cast<unsigned char>(in[i]) << 16) |
                           (i + 1 < in.size() ? static_cast<unsigned char>(in[i + 1]) << 8 : 0) |
                           (i + 2 < in.size() ? static_cast<unsigned char>(in[i + 2]) : 0);
        out += digits[n >> 18 & 63];
        out += digits[n >> 12 & 63];
        out += i + 1 < in.size() ? digits[n >> 6 & 63] : '=';
        out += i + 2 < in.size() ? digits[n & 63] : '=';
    }
    return out;
}

inline std::string unbase64(std::string const& in)
{
    std::string out;
    unsigned n = 0;
    int bits = 0;
    for (char const c : in) {
        int const v = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
        if (v < 0) continue;
        n = n << 6 | static_cast<unsigned>(v);
        if ((bits += 6) >= 8) out += static_cast<char>(n >> (bits -= 8) & 255);
    }
    return out;
}

/** @return the decoded value of a parameter of the query in @p target; empty if there is none. */
inline std::string query_value(std::string const& target, std::string const& name)
{
    for (auto at = target.find('?'); at != std::string::npos;) {
        auto const next = target.find('&', at + 1);
        auto const pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (pair.starts_with(name + "=")) {
            std::string out;
            for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
                if (pair[i] != '%') {
                    out += pair[i];
                    continue;
                }
                out += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            return out;
        }
        at = next;
    }
    return {};
}

/** The platform's store as PROTOCOL.md describes it: items, watches, transactions and leases; it keeps all history. */
class store {
public:
    store() : m_server("127.0.0.1", 0, [this](int fd) { serve(fd); })
    {
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(20ms);
                std::lock_guard lock(m_mutex);
                expire();
            }
        }).detach();
    }
    int port() const { return m_server.port(); }
    /** Writes an item as the operator or a backend server does. @return the revision. */
    long put(std::string const& key, std::string const& value)
    {
        std::lock_guard lock(m_mutex);
        write(key, value, 0);
        return m_revision;
    }
    /** Removes an item as a backend server that leaves does. */
    void drop(std::string const& key)
    {
        std::lock_guard lock(m_mutex);
        remove(key);
    }
    /** @return the keys that begin with @p prefix. */
    std::vector<std::string> keys(std::string const& prefix)
    {
        std::lock_guard lock(m_mutex);
        std::vector<std::string> found;
        for (auto const& [key, each] : m_items)
            if (key.starts_with(prefix)) found.push_back(key);
        return found;
    }
    /** Ends all leases and removes their items, as may happen while the store is down. */
    void lapse()
    {
        std::lock_guard lock(m_mutex);
        for (auto& [id, each] : m_leases)
            each.until = steady::now();
        expire();
    }

private:
    struct item {
        std::string value;
        long revision = 0, created = 0, lease = 0;
    };
    struct lease {
        steady::time_point until;
        std::chrono::milliseconds ttl;
    };
    void write(std::string const& key, std::string const& value, long lease)
    {
        auto& to = m_items[key];
        ++m_revision;
        to = {value, m_revision, to.created == 0 ? m_revision : to.created, lease};
        m_events.emplace_back(m_revision, encode(key, to));
        m_changed.notify_all();
    }
    void remove(std::string const& key)
    {
        if (m_items.erase(key) == 0) return;
        ++m_revision;
        m_events.emplace_back(m_revision, json{{"key", key}, {"revision", m_revision}, {"tombstone", true}});
        m_changed.notify_all();
    }
    static json encode(std::string const& key, item const& of)
    {
        return {{"key", key},
                {"value", base64(of.value)},
                {"revision", of.revision},
                {"created", of.created},
                {"lease", of.lease}};
    }
    void end_lease(long id)
    {
        m_leases.erase(id);
        std::vector<std::string> gone;
        for (auto const& [key, each] : m_items)
            if (each.lease == id) gone.push_back(key);
        for (auto const& key : gone)
            remove(key);
    }
    void expire()
    {
        std::vector<long> ended;
        for (auto const& [id, each] : m_leases)
            if (each.until <= steady::now()) ended.push_back(id);
        for (auto const id : ended)
            end_lease(id);
    }
    void serve(int fd)
    {
        message_stream in(fd);
        message request;
        while (in.read(request) == read_end::complete) {
            auto const line = request.start;
            auto const method = line.substr(0, line.find(' '));
            auto const target = line.substr(method.size() + 1, line.rfind(' ') - method.size() - 1);
            auto const [status, body] = handle(method, target, request.body);
            if (!send_all(fd, make_response(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                                            status == 200 ? body.dump() : "")))
                return;
        }
    }
    std::pair<int, json> handle(std::string const& method, std::string const& target, std::string const& text)
    {
        auto const path = target.substr(0, target.find('?'));
        auto const body = text.empty() ? json::object() : json::parse(text);
        std::unique_lock lock(m_mutex);
        if (path == "/cornelspring/kv-range") {
            auto const prefix = query_value(target, "prefix");
            auto const after = query_value(target, "after");
            json items = json::array();
            bool more = false;
            for (auto const& [key, each] : m_items) {
                if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
                if ((more = items.size() == 500)) break;
                items.push_back(encode(key, each));
            }
            return {200, {{"items", items}, {"more_pages", more}, {"as_of", m_revision}}};
        }
        if (path == "/cornelspring/kv-watch") {
            auto const prefix = query_value(target, "prefix");
            long const after = std::stol(query_value(target, "after"));
            auto const until = steady::now() + std::chrono::milliseconds(std::stol(query_value(target, "wait_ms")));
            while (true) {
                json events = json::array();
                for (auto const& [revision, event] : m_events)
                    if (revision > after && event["key"].get<std::string>().starts_with(prefix))
                        events.push_back(event);
                if (!events.empty() || steady::now() >= until)
                    return {200, {{"events", events}, {"as_of", m_revision}}};
                m_changed.wait_until(lock, until);
            }
        }
        if (path == "/cornelspring/kv-txn") {
            for (auto const& row : body.at("expected_rev")) {
                auto const found = m_items.find(row.at("key"));
                if ((found == m_items.end() ? 0 : found->second.revision) != row.at("revision").get<long>())
                    return {412, {}};
            }
            for (auto const& each : body.at("puts")) {
                long const id = each.value("lease", 0L);
                if (id != 0 && !m_leases.contains(id)) return {404, {}};
            }
            for (auto const& each : body.at("puts"))
                write(each.at("key"), unbase64(each.at("value")), each.value("lease", 0L));
            for (auto const& key : body.at("drop"))
                remove(key);
            return {200, {{"revision", m_revision}}};
        }
        if (path == "/cornelspring/kv-lease") {
            auto const ttl = std::chrono::milliseconds(body.at("ttl_ms").get<long>());
            m_leases[++m_last_lease] = {steady::now() + ttl, ttl};
            return {200, {{"lease", m_last_lease}, {"ttl_ms", ttl.count()}}};
        }
        long const id = std::atol(path.c_str() + path.rfind('/') + 1);
        auto const found = m_leases.find(id);
        if (found == m_leases.end()) return {404, {}};
        if (method == "DELETE")
            end_lease(id);
        else
            found->second.until = steady::now() + found->second.ttl;
        return {200, {{"lease", id}, {"ttl_ms", 0}}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<std::pair<long, json>> m_events;
    std::map<long, lease> m_leases;
    long m_revision = 100;
    long m_last_lease = 0;
    server m_server; ///< Last member: it starts to serve when everything else exists.
};

// ---- Gateways ----

/** The figures of a small deployment, which go into each settings file. */
inline json small_bounds()
{
    return {{"seed_lag_s", 3},         {"addr_reuse_s", 2},      {"stable_ms", 5000},    {"ack_ms", 6000},
            {"catch_up_s", 4},         {"drain_ms", 3000},       {"grace_s", 6},         {"loss_slack_ms", 200},
            {"config_apply_ms", 3000}, {"revert_slack_ms", 250}, {"skew_max_ms", 15000}, {"retry_ratio", 0.2},
            {"retry_window_s", 10},    {"retry_slack", 54},      {"recovery_s", 12},     {"ttl_max_s", 5}};
}

/** Gateway processes on loopback addresses, started like the deploy file says. */
class fleet {
public:
    /** @param root repository. @param folder temporary folder. @param zones zone of each gateway. */
    fleet(std::string root, std::string folder, std::vector<std::string> zones, int store_port, json bounds)
        : m_root(std::move(root)), m_folder(std::move(folder)), m_zones(std::move(zones)), m_store_port(store_port),
          m_bounds(std::move(bounds)), m_pids(m_zones.size(), 0)
    {
        auto const id = static_cast<int>(getpid());
        m_net = "127." + std::to_string(id / 250 % 100 + 100) + "." + std::to_string(id % 250 + 1) + ".";
        for (char const* name : {"frontend", "ready", "control_plane", "directory"}) {
            int port = 0;
            int const fd = listen_on(ip(0), port);
            if (fd < 0) cannot_run("no free port");
            close(fd);
            m_ports[name] = port;
        }
    }
    /** Kills all gateways and ends the script with @p code, without destroying what other threads still use. */
    [[noreturn]] void end_script(int code)
    {
        for (auto const pid : m_pids) {
            if (pid <= 0) continue;
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        std::cout << std::flush;
        std::_Exit(code);
    }
    std::string ip(std::size_t number) const { return m_net + std::to_string(number + 1); }
    int port(std::string const& name) const { return m_ports.at(name); }
    std::string address(std::size_t number, std::string const& name) const
    {
        return ip(number) + ":" + std::to_string(port(name));
    }
    /** Starts a gateway. @param store_port port of the store or of a proxy before it; 0: the store. */
    void start(std::size_t number, int store_port = 0)
    {
        json addresses;
        for (auto const& [name, port] : m_ports)
            addresses[name] = address(number, name);
        json zones, seeds = json::array();
        for (auto const& zone : m_zones)
            zones[zone] = "region-" + zone;
        for (std::size_t i = 0; i < m_zones.size() && i < 3; ++i)
            seeds.push_back(address(i, "control_plane"));
        json const settings{
            {"node_name", "edge-" + m_zones[number] + "-" + std::to_string(number)},
            {"role", "gateway"},
            {"node_class", "edge"},
            {"serves", {"edge", "control", "directory"}},
            {"ip", ip(number)},
            {"zone", m_zones[number]},
            {"region", "region-" + m_zones[number]},
            {"zones", zones},
            {"bind_addrs", addresses},
            {"port_range", {7380, 7395}},
            {"seeds", seeds},
            {"first_start", true},
            {"limits",
             {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", 1000.0}}},
            {"heartbeat_ms", 1200},
            {"bounds", m_bounds},
            {"platform",
             {{"address", "127.0.0.1:" + std::to_string(store_port == 0 ? m_store_port : store_port)},
              {"form", "kv"},
              {"writes_per_s", 400},
              {"reads_per_s", 2000},
              {"history_s", 20},
              {"value_bytes", 1048576},
              {"ttl_min_ms", 1000}}}};
        auto const path = m_folder + "/gateway-" + std::to_string(number);
        std::ofstream(path + ".json") << settings.dump(1);
        auto const boot = "CORNELSPRING_BOOT=" + path + ".json";
        auto const log = path + ".log";
        pid_t const pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if the script itself is killed.
            if (chdir(m_root.c_str()) != 0) _exit(127);
            if (freopen(log.c_str(), "a", stdout) == nullptr) _exit(127);
            dup2(1, 2);
            char const* const arguments[] = {"target/cornel-gateway", nullptr};
            char const* const environment[] = {boot.c_str(), "PATH=/usr/bin:/bin", nullptr};
            execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            _exit(127);
        }
        m_pids[number] = pid;
    }
    /** @return whether a gateway says that it is ready. */
    bool ready(std::size_t number) const
    {
        int const fd = connect_to(ip(number), port("ready"));
        if (fd < 0) return false;
        send_all(fd, "GET /cornelspring/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        message answer;
        bool const ok = message_stream(fd).read(answer, 1s) == read_end::complete && answer.status() == 200;
        close(fd);
        return ok;
    }
    void await_ready(std::size_t number) const
    {
        for (int i = 0; i < 200; ++i) {
            if (ready(number)) return;
            std::this_thread::sleep_for(50ms);
        }
        cannot_run("gateway " + std::to_string(number) + " was not ready within 10 s");
    }
    void signal(std::size_t number, int which) const { ::kill(m_pids[number], which); }
    /** @return the exit status once the process has ended; nothing while it runs. */
    std::optional<int> ended(std::size_t number)
    {
        int status = 0;
        if (m_pids[number] <= 0) return 0;
        if (waitpid(m_pids[number], &status, WNOHANG) == 0) return std::nullopt;
        m_pids[number] = 0;
        return status;
    }

private:
    std::string m_root, m_folder;
    std::vector<std::string> m_zones;
    int m_store_port;
    json m_bounds;
    std::vector<pid_t> m_pids;
    std::string m_net;
    std::map<std::string, int> m_ports;
};

/** @return a route of the configuration. */
inline json make_route(std::string const& name, std::string const& kind, int timeout_ms, int goal_ms, int attempts)
{
    return {{"name", name},       {"hostname", "h.example"},  {"prefix", "/" + name + "/"},
            {"route_type", kind}, {"timeout_ms", timeout_ms}, {"goal_ms", goal_ms},
            {"priority", 1},      {"attempts", attempts}};
}

/** @return the configuration. */
inline json make_config(int version, json routes, std::vector<std::string> const& services, int max_conns)
{
    json list = json::array();
    for (auto const& name : services)
        list.push_back({{"name", name}, {"health_path", "/health"}, {"max_conns", max_conns}});
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", list},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

/** @return the registration of a backend server. */
inline json make_entry(std::string const& service, std::string const& zone, int port, int slots, long seq = 1)
{
    return {{"service", service},  {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", zone},        {"version", "v1"},
            {"slots", slots},      {"state", "ready"},
            {"warmup_left_ms", 0}, {"seq", seq},
            {"born", 1000}};
}

/** @return whether the disruption is to happen: TROUBLE=0 switches it off. */
inline bool trouble()
{
    char const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
