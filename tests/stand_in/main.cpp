/** @file main.cpp cornel-stand-in: stand-in for the users' platform on loopback, for tests and the soak. */
#include "platform_store.hpp"
#include "raw_server.hpp"
#include "shard_server.hpp"

#include <csignal>

namespace {

using namespace cornelspring;
using namespace cornelspring::testing;
using nlohmann::json;

/** Settings of cornel-stand-in. */
std::vector<setting_def> const stand_in_settings = {
    {"port", setting_type::integer, setting_value{std::int64_t{0}}, 0, 65535,
     "port of the store or of the control API; 0 picks one"},
    {"ready_file", setting_type::text, setting_value{std::string()}, 0, 0, "file that receives the bound port"},
    {"services", setting_type::text_list, setting_value{std::vector<std::string>{}}, 0, 0,
     "services; each has its own backend servers"},
    {"domains", setting_type::text_list, setting_value{std::vector<std::string>{"d1"}}, 0, 0,
     "failure domains, assigned to the backend servers in rotation"},
    {"replicas", setting_type::integer, setting_value{std::int64_t{2}}, 1, 10,
     "number of backend servers of each service"},
    {"name", setting_type::text, setting_value{std::string("i")}, 0, 0, "prefix of the ids of the backend servers"},
    {"response", setting_type::text, setting_value{std::string()}, 0, 0, "bytes that the raw server sends"},
    {"repeated", setting_type::text, setting_value{std::string()}, 0, 0,
     "bytes that the raw server sends without an end after them"},
};

/** Stops the loop on SIGTERM or SIGINT. */
void stop_on_signals(event_loop& loop)
{
    loop.on_signals({SIGTERM, SIGINT}, [&loop](int) { loop.stop(); });
}

/** Runs the store until it is stopped. */
int run_store(settings const& config)
{
    event_loop loop;
    stop_on_signals(loop);
    platform_store store(loop, {"127.0.0.1", static_cast<std::uint16_t>(config.integer("port"))});
    write_file_atomic(config.text("ready_file"), std::to_string(store.port()));
    loop.run();
    return 0;
}

/** Runs a raw server until it is stopped. */
int run_raw(settings const& config)
{
    constexpr std::size_t block_size = 65536;
    std::string repeated;
    while (!config.text("repeated").empty() && repeated.size() < block_size)
        repeated += config.text("repeated");
    event_loop loop;
    stop_on_signals(loop);
    raw_server server(loop, {"127.0.0.1", static_cast<std::uint16_t>(config.integer("port"))}, config.text("response"),
                      repeated);
    write_file_atomic(config.text("ready_file"), std::to_string(server.port()));
    loop.run();
    return 0;
}

/** Backend servers with a control API: /entries (their registrations), /journal (received requests), /behave (faults).
 */
class shard_fleet {
public:
    explicit shard_fleet(settings const& config)
        : m_control(m_loop, {[this](caller_request request) { on_request(std::move(request)); }, [](request_key) {},
                             [] {
                                 return caller_limits{16384, 1 << 20, milliseconds(5000), milliseconds(60000)};
                             },
                             [](int, char const*) {}})
    {
        stop_on_signals(m_loop);
        int number = 0;
        auto const& domains = config.text_list("domains");
        for (auto const& service : config.text_list("services")) {
            for (int i = 0; i < config.integer("replicas"); ++i) {
                auto const id = config.text("name") + "-" + service + "-" + std::to_string(i);
                m_servers.push_back(std::make_unique<shard_server>(m_loop, id, service, m_journal));
                m_domains[id] = domains[static_cast<std::size_t>(number++) % domains.size()];
            }
        }
        auto const port =
            m_control.listen({"127.0.0.1", static_cast<std::uint16_t>(config.integer("port"))}, address_role::callers);
        write_file_atomic(config.text("ready_file"), std::to_string(port));
    }
    /** Serves requests until it is stopped. */
    void run() { m_loop.run(); }

private:
    void on_request(caller_request request)
    {
        auto const& message = request.message;
        json result;
        if (message.path == "/entries") result = entries();
        if (message.path == "/journal") result = journal();
        if (message.path == "/behave") behave(json::parse(message.body));
        m_control.respond(request.key, json_response(200, result.dump()));
    }
    json entries() const
    {
        json all = json::object();
        for (auto const& server : m_servers) {
            all[server->id()] = {{"service", server->service()},
                                 {"address", "127.0.0.1:" + std::to_string(server->port())},
                                 {"zone", m_domains.at(server->id())},
                                 {"version", "v1"},
                                 {"slots", 2},
                                 {"state", "ready"},
                                 {"warmup_left_ms", 0},
                                 {"seq", 1}};
        }
        return all;
    }
    json journal() const
    {
        json all = json::array();
        for (auto const& entry : m_journal) {
            all.push_back({{"id", entry.request_id},
                           {"backend", entry.backend},
                           {"service", entry.service},
                           {"line", entry.line},
                           {"body", entry.body},
                           {"ran", entry.ran},
                           {"at_ms", entry.at_ms},
                           {"customer", entry.customer},
                           {"authorization", entry.authorization},
                           {"headers", entry.headers}});
        }
        return all;
    }
    void behave(json const& body)
    {
        for (auto const& server : m_servers) {
            if (body.contains("service") && server->service() != body["service"]) continue;
            if (body.contains("backend") && server->id() != body["backend"]) continue;
            if (body.contains("rename")) {
                m_domains[body["rename"]] = m_domains[server->id()];
                server->rename(body["rename"]);
            }
            if (body.contains("crash_path"))
                server->set_crash(
                    {body["crash_path"], milliseconds(body.value("down_ms", 1000)), body.value("crash_form", "end")});
            if (body.contains("mode") || body.contains("work_ms"))
                server->set_behaviour({body.value("mode", "ok"), body.value("work_ms", 5), body.value("times", -1),
                                       body.value("raw_response", "")});
        }
    }

    event_loop m_loop;                                    ///< Event loop.
    caller_server m_control;                              ///< Control API.
    std::vector<std::unique_ptr<shard_server>> m_servers; ///< Backend servers.
    std::map<std::string, std::string> m_domains;         ///< Failure domain by id.
    std::vector<journal_entry> m_journal;                 ///< Received requests.
};

/** Runs the component that the first argument names. */
int run(settings const& config, std::vector<std::string> const& args)
{
    if (args.size() == 1 && args[0] == "store") return run_store(config);
    if (args.size() == 1 && args[0] == "raw") return run_raw(config);
    if (args.size() == 1 && args[0] == "backends") {
        shard_fleet fleet(config);
        fleet.run();
        return 0;
    }
    throw error(error_kind::bad_settings, "no component named.", "Run 'cornel-stand-in' with store, backends or raw.");
}

} // namespace

int main(int argc, char const** argv)
{
    return run_program({"cornel-stand-in", "stand-in for the users' platform on loopback", stand_in_settings}, argc,
                       argv, run);
}
