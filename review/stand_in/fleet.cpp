/** @file fleet.cpp Gateway processes and their settings files. */
#include "fleet.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iomanip>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;

/** Zones and their regions. */
std::vector<std::pair<std::string, std::string>> const zones = {
    {"wien-halle-a", "wien"}, {"graz-halle-b", "graz"}, {"linz-halle-c", "linz"}};
/** Program and arguments of the deploy file, in the folder of the repository. */
constexpr char const* gateway_command = "target/cornel-gateway";

/** @return the settings of @p of. */
json settings_of(gateway_process const& of, address const& store, std::vector<gateway_process> const& all)
{
    json regions = json::object();
    for (auto const& [zone, region] : zones)
        regions[zone] = region;
    json seeds = json::array();
    for (std::size_t i = 0; i < all.size() && i < 3; ++i)
        seeds.push_back(all[i].control.text());
    return {{"node_name", of.name},
            {"role", "gateway"},
            {"node_class", "edge"},
            {"serves", {"edge", "control", "directory"}},
            {"ip", of.ip},
            {"zone", of.zone},
            {"region", regions[of.zone]},
            {"zones", regions},
            {"bind_addrs",
             {{"frontend", of.frontend.text()},
              {"ready", of.ready.text()},
              {"control_plane", of.control.text()},
              {"directory", of.directory.text()}}},
            {"seeds", seeds},
            {"first_start", true},
            {"loss_counts", false},
            {"limits",
             {{"cpu_share", 0.25},
              {"cores", 1},
              {"memory_mb", 260},
              {"max_fds", 4100},
              {"link_mbps", 1000.0},
              {"disk_mb", 0}}},
            {"data_dir", nullptr},
            {"discovery", "platform"},
            {"entry", "directory"},
            {"heartbeat_ms", 1200},
            {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"}},
            {"fault_tolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
            {"bounds",
             {{"seed_lag_s", 3},
              {"addr_reuse_s", 2},
              {"stable_ms", 5000},
              {"ack_ms", 6000},
              {"catch_up_s", 4},
              {"drain_ms", 3000},
              {"grace_s", 6},
              {"loss_slack_ms", 200},
              {"config_apply_ms", 3000},
              {"revert_slack_ms", 250},
              {"skew_max_ms", 15000},
              {"retry_ratio", 0.2},
              {"retry_window_s", 10},
              {"retry_slack", 54},
              {"recovery_s", 12},
              {"ttl_max_s", 5}}},
            {"platform",
             {{"address", store.text()},
              {"form", "kv"},
              {"writes_per_s", 400},
              {"reads_per_s", 2000},
              {"history_s", 20},
              {"value_bytes", 1048576},
              {"ttl_min_ms", 1000}}}};
}

} // namespace

fleet::fleet(address const& store, int count)
{
    char const* folder = std::getenv("REVIEW_FOLDER");
    if (folder == nullptr) throw std::runtime_error("REVIEW_FOLDER names no temporary folder");
    m_folder = folder;
    std::random_device random;
    auto const part = [&random] { return std::to_string(10 + random() % 200); };
    auto const prefix = "127." + part() + "." + part() + ".";
    m_stand_in_host = prefix + "100";
    for (int i = 0; i < count; ++i) {
        gateway_process made;
        made.zone = zones[static_cast<std::size_t>(i) % zones.size()].first;
        made.name = "edge-" + made.zone + "-" + std::to_string(i / static_cast<int>(zones.size()) + 1);
        made.ip = prefix + std::to_string(i + 1);
        for (auto* each : {&made.frontend, &made.ready, &made.control, &made.directory})
            *each = {made.ip, free_port(made.ip)};
        made.boot = m_folder + "/" + made.name + ".json";
        m_gateways.push_back(made);
    }
    for (auto const& each : m_gateways)
        std::ofstream(each.boot) << settings_of(each, store, m_gateways).dump(2);
}

void fleet::stop()
{
    for (auto& each : m_gateways) {
        if (each.pid < 0) continue;
        kill(each.pid, SIGCONT);
        kill(each.pid, SIGKILL);
        waitpid(each.pid, nullptr, 0);
        each.pid = -1;
    }
}

void fleet::start(gateway_process& of)
{
    auto const log = of.boot + ".log";
    of.pid = fork();
    if (of.pid < 0) throw std::runtime_error("cannot start a process");
    if (of.pid > 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("CORNELSPRING_BOOT", of.boot.c_str(), 1);
    execl(gateway_command, gateway_command, static_cast<char*>(nullptr));
    _exit(127);
}

void fleet::signal(gateway_process const& of, int number) { kill(of.pid, number); }

bool fleet::wait_end(gateway_process& of, steady::time_point until)
{
    while (steady::now() < until) {
        if (waitpid(of.pid, nullptr, WNOHANG) == of.pid) {
            of.pid = -1;
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

bool fleet::wait_ready(steady::time_point until) const
{
    for (auto const& each : m_gateways) {
        message question;
        question.method = "GET";
        question.target = "/cornelspring/ready";
        while (true) {
            auto const answer = fetch(each.ready, question, milliseconds(500));
            if (answer && answer->status == 200) break;
            if (steady::now() >= until) return false;
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

void record::line(std::string const& text)
{
    auto const at = std::chrono::duration<double>(steady::now() - m_start).count();
    std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << at << " " << text << "\n" << std::flush;
}

bool with_trouble()
{
    char const* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

nlohmann::json single_route(std::string const& prefix, std::string const& kind, std::string const& service,
                            int timeout_ms)
{
    return {{"name", "r-" + service}, {"hostname", "pupu76.example"}, {"prefix", prefix},
            {"route_type", kind},     {"timeout_ms", timeout_ms},     {"goal_ms", 1000},
            {"priority", 2},          {"service", service},           {"attempts", 2}};
}

nlohmann::json service_of(std::string const& name, int max_connections)
{
    return {
        {"name", name}, {"health_path", "/health"}, {"max_conns", max_connections}, {"protocol", "h1"}, {"tls", false}};
}

nlohmann::json configuration(int version, nlohmann::json const& routes, nlohmann::json const& services)
{
    return {{"version", version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

} // namespace review
