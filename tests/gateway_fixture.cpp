/** @file gateway_fixture.cpp Gateways, the platform's store and backend servers as processes on loopback. */
#include "gateway_fixture.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <thread>

namespace cornelspring::testing {
namespace {

using nlohmann::json;

/** Time-out of a receive call. */
constexpr int receive_timeout_s = 5;

/** @return @p text as a TOML string. The escapes of JSON are valid in it. */
std::string toml_text(std::string const& text) { return json(text).dump(-1, ' ', true); }

} // namespace

raw_connection::raw_connection(endpoint const& peer, std::string const& source) : m_fd(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in own{};
    own.sin_family = AF_INET;
    inet_pton(AF_INET, source.c_str(), &own.sin_addr);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(peer.port);
    inet_pton(AF_INET, peer.host.c_str(), &to.sin_addr);
    timeval limit{receive_timeout_s, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 ||
        connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        close(m_fd);
        m_fd = -1;
    }
}

raw_connection::~raw_connection()
{
    if (m_fd >= 0) close(m_fd);
}

void raw_connection::send(std::string const& bytes)
{
    if (m_fd >= 0) [[maybe_unused]]
        auto const sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::optional<http_response> raw_connection::receive()
{
    message_reader reader(message_reader::kind::response);
    char buffer[65536];
    while (true) {
        m_unparsed.erase(0, reader.feed(m_unparsed));
        if (reader.state() == parse_state::complete) return reader.response();
        if (reader.state() != parse_state::incomplete || m_fd < 0) return std::nullopt;
        auto const got = recv(m_fd, buffer, sizeof buffer, 0);
        if (got <= 0) return std::nullopt;
        m_unparsed.append(buffer, static_cast<std::size_t>(got));
    }
}

bool within_ten_seconds(std::function<bool()> const& condition)
{
    auto const deadline = clock::now() + std::chrono::seconds(10);
    while (clock::now() < deadline) {
        if (condition()) return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

gateway_fleet::gateway_fleet()
{
    m_store_port = processes.start("store", "cornel-stand-in", {"store"});
    m_backends_port = processes.start(
        "backends", "cornel-stand-in",
        {"backends", "--set", R"(services=["g0","g1","g2","g3","s"])", "--set", R"(domains=["d1","d2"])"});
    auto const all = registrations();
    for (auto const& [id, entry] : all.items())
        register_backend(id, entry);
    configure(1);
}

void gateway_fleet::break_store(std::string const& response, std::string const& repeated)
{
    processes.stop("store", SIGKILL);
    processes.stop("raw", SIGKILL);
    processes.start("raw", "cornel-stand-in",
                    {"raw", "--set", "port=" + std::to_string(m_store_port), "--set", "response=" + toml_text(response),
                     "--set", "repeated=" + toml_text(repeated)});
}

void gateway_fleet::replace_store(int version)
{
    processes.stop("raw", SIGKILL);
    processes.start("store", "cornel-stand-in", {"store", "--set", "port=" + std::to_string(m_store_port)});
    auto const all = registrations();
    for (auto const& [id, entry] : all.items())
        register_backend(id, entry);
    configure(version);
}

int gateway_fleet::peak_memory_mib(int number) const
{
    std::ifstream status("/proc/" + std::to_string(processes.pid("gw-" + std::to_string(number))) + "/status");
    for (std::string name; status >> name;) {
        int kib = 0;
        if (name == "VmHWM:" && status >> kib) return kib / 1024;
    }
    return 0;
}

json gateway_fleet::post(endpoint const& to, std::string const& path, json const& body)
{
    raw_connection connection(to);
    http_request request;
    request.method = "POST";
    request.path = path;
    request.headers = {{"host", "stand-in"}};
    request.body = body.dump();
    connection.send(serialize(request));
    auto const response = connection.receive();
    return response && !response->body.empty() ? json::parse(response->body) : json();
}

json gateway_fleet::call_store(std::string const& path, json const& body)
{
    return post({"127.0.0.1", m_store_port}, "/stand-in/" + path, body);
}

void gateway_fleet::set_backend_behavior(json const& behavior)
{
    post({"127.0.0.1", m_backends_port}, "/behave", behavior);
}
json gateway_fleet::journal() { return post({"127.0.0.1", m_backends_port}, "/journal", json::object()); }
json gateway_fleet::registrations() { return post({"127.0.0.1", m_backends_port}, "/entries", json::object()); }

void gateway_fleet::register_backend(std::string const& id, json const& entry)
{
    call_store("put", {{"key", "servers/" + id}, {"value", entry}});
}

void gateway_fleet::configure(int version, std::vector<std::string> const& shards,
                              std::vector<std::string> const& home_region_set, json const& customers)
{
    auto const route = [&home_region_set](char const* prefix, char const* kind) {
        return json{{"name", prefix},     {"hostname", "h.example"}, {"prefix", prefix},
                    {"route_type", kind}, {"timeout_ms", 2000},      {"goal_ms", 400},
                    {"priority", 1},      {"attempts", 2},           {"home_regions", home_region_set}};
    };
    auto gather = route("/q/", "idempotent");
    gather["gather"] = shards;
    gather["top_k"] = 4;
    gather["min_coverage"] = 0.75;
    auto read = route("/r/", "idempotent");
    read["service"] = "s";
    auto write = route("/w/", "non_idempotent");
    write["service"] = "s";
    json services = json::array();
    for (char const* name : {"g0", "g1", "g2", "g3", "s"}) {
        services.push_back(
            {{"name", name}, {"health_path", "/health"}, {"max_conns", 40}, {"protocol", "h1"}, {"tls", false}});
    }
    json config{{"version", version},
                {"routes", {gather, read, write}},
                {"services", services},
                {"limits",
                 {{"max_header_bytes", 4096},
                  {"max_body_bytes", 10000},
                  {"header_timeout_ms", 700},
                  {"idle_timeout_ms", 3000}}}};
    if (!customers.empty()) config["tenants"] = customers;
    call_store("put", {{"key", "op/config"}, {"value", config}});
}

endpoint gateway_fleet::address(int number, char const* purpose)
{
    std::map<std::string, std::uint16_t> const ports{
        {"frontend", 18104}, {"ready", 18108}, {"control_plane", 18106}, {"directory", 18100}};
    // The address depends on the process id, since several tests run at the same time.
    return {"127." + std::to_string(getpid() / 250 % 250 + 1) + "." + std::to_string(getpid() % 250 + 1) + "." +
                std::to_string(number),
            ports.at(purpose)};
}

void gateway_fleet::start_gateway(int number, std::string const& domain, bool wait)
{
    json addresses;
    for (char const* purpose : {"frontend", "ready", "control_plane", "directory"})
        addresses[purpose] = address(number, purpose).to_string();
    json const settings{{"node_name", "gw-" + std::to_string(number)},
                        {"ip", address(number, "ready").host},
                        {"zone", domain},
                        {"region", "r-" + domain},
                        {"zones", {{"d1", "r-d1"}, {"d2", "r-d2"}}},
                        {"bind_addrs", addresses},
                        {"seeds", {address(1, "control_plane").to_string(), address(2, "control_plane").to_string()}},
                        {"limits", {{"cpu_share", 1.0}, {"cores", 1}}},
                        {"platform", {{"address", "127.0.0.1:" + std::to_string(m_store_port)}}},
                        {"bounds",
                         {{"retry_ratio", 0.2},
                          {"retry_slack", 200},
                          {"retry_window_s", 10},
                          {"grace_s", 4},
                          {"drain_ms", 3000},
                          {"config_apply_ms", 3000},
                          {"ttl_max_s", 5}}}};
    auto const name = "gw-" + std::to_string(number);
    write_file_atomic(processes.path(name + ".json"), settings.dump());
    processes.spawn(
        name, "cornel-gateway",
        {"--set", "fleet_admission=true", "--set", "platform_settings=\"" + processes.path(name + ".json") + "\""});
    if (wait) await_ready(number);
}

void gateway_fleet::await_ready(int number, int status)
{
    bool const is_ready =
        within_ten_seconds([&] { return get(address(number, "ready"), "/cornelspring/ready").status == status; });
    if (!is_ready)
        throw error(error_kind::unavailable, "the gateway was not ready within ten seconds.",
                    "Read the log of the gateway.");
}

http_response gateway_fleet::get(endpoint const& to, std::string const& path)
{
    raw_connection connection(to);
    connection.send("GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n");
    http_response no_response;
    no_response.status = 0;
    return connection.receive().value_or(no_response);
}

http_response gateway_fleet::send_request(int number, std::string const& path, std::string const& id,
                                          std::string const& method, std::string const& body, std::string const& source)
{
    raw_connection connection(address(number, "frontend"), source);
    http_request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", "h.example"}, {"Request-Id", id}, {"Deadline", "1500"}};
    request.body = body;
    connection.send(serialize(request));
    http_response no_response;
    no_response.status = 0;
    return connection.receive().value_or(no_response);
}

} // namespace cornelspring::testing
