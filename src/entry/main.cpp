/** @file main.cpp cornel-entry: the entry node. */
#include "entry_service.hpp"

#include <iostream>
#include <unistd.h>

namespace cornelspring {
namespace {

/** Settings of cornel-entry. */
std::vector<setting_def> const entry_settings = {
    {"id", setting_type::text, std::nullopt, 0, 0, "entry node id, unique in the fleet"},
    {"zone", setting_type::text, setting_value{std::string("")}, 0, 0, "failure domain of this machine"},
    {"listen.host", setting_type::text, setting_value{std::string("127.0.0.1")}, 0, 0, "address to bind"},
    {"listen.port", setting_type::integer, setting_value{std::int64_t{8080}}, 0, 65535, "TCP port; 0 picks one"},
    {"advertise", setting_type::text, setting_value{std::string("")}, 0, 0,
     "host:port callers use; empty takes listen.host and the bound port"},
    {"store.address", setting_type::text, setting_value{std::string("127.0.0.1:2379")}, 0, 0,
     "host:port of the platform store"},
    {"store.timeout_ms", setting_type::integer, setting_value{std::int64_t{2000}}, 10, 60000,
     "timeout of one store call, in milliseconds"},
    {"store.retry_ms", setting_type::integer, setting_value{std::int64_t{200}}, 10, 60000,
     "wait after a failed store call, in milliseconds"},
    {"lease_ttl_s", setting_type::integer, setting_value{std::int64_t{6}}, 2, 3600,
     "time to live of the membership lease, in seconds"},
    {"entries_ttl_s", setting_type::integer, setting_value{std::int64_t{30}}, 1, 3600,
     "how long callers keep the list of entry addresses, in seconds"},
    {"query.default_deadline_ms", setting_type::integer, setting_value{std::int64_t{1000}}, 1, 60000,
     "deadline of a query that gives none, in milliseconds"},
    {"query.max_tries_per_shard", setting_type::integer, setting_value{std::int64_t{3}}, 1, 10,
     "first try plus retries of one shard on other replicas"},
    {"max_body_bytes", setting_type::integer, setting_value{std::int64_t{65536}}, 256, 1 << 24,
     "largest caller request body, in bytes"},
    {"ready_file", setting_type::text, setting_value{std::string()}, 0, 0, "file that receives the bound port"},
    {"drain_ms", setting_type::integer, setting_value{std::int64_t{5000}}, 0, 600000,
     "longest wait for queries in flight at SIGTERM, in milliseconds"},
};

/** Runs the entry node until SIGTERM. */
int run(int argc, char const** argv)
{
    auto const options = parse_command_line("cornel-entry", "entry node", argc, argv, entry_settings);
    if (options.exit_now) return 0;
    init_logging("cornel-entry", options.log_level);
    auto const config = load_settings_file(options, entry_settings);
    install_stop_signals();
    auto logger = get_logger("entry");

    h2_client client;
    store_client store(client, parse_endpoint(config.text("store.address")),
                       milliseconds(config.integer("store.timeout_ms")));
    config_view view;
    config_watcher watcher(store, view, milliseconds(config.integer("store.retry_ms")));
    watcher.start();

    gather_options gathering;
    gathering.default_deadline = milliseconds(config.integer("query.default_deadline_ms"));
    gathering.max_tries_per_shard = static_cast<std::int32_t>(config.integer("query.max_tries_per_shard"));
    scatter_gather gather(client, gathering, make_rotating_chooser());

    entry_config identity{config.text("id"), config.text("zone"), config.integer("entries_ttl_s")};
    entry_service service(identity, view, gather, std::make_shared<prometheus::Registry>());
    server_options listen;
    listen.listen = {config.text("listen.host"), static_cast<std::uint16_t>(config.integer("listen.port"))};
    listen.max_body_bytes = static_cast<std::size_t>(config.integer("max_body_bytes"));
    http_server server(
        listen, [&service](http_request const& request, reply_fn reply) { service.handle(request, std::move(reply)); });
    server.start();
    std::string advertise = config.text("advertise");
    if (advertise.empty()) advertise = endpoint{listen.listen.host, server.port()}.to_string();
    membership members(store, member{identity.id, advertise, identity.zone}, config.integer("lease_ttl_s"));
    members.start();
    LOG4CPLUS_INFO(logger, identity.id << " listening on " << advertise);
    if (!config.text("ready_file").empty()) write_file_atomic(config.text("ready_file"), std::to_string(server.port()));

    wait_for_stop_signal();
    LOG4CPLUS_INFO(logger, "stopping: leaving the member list and draining");
    service.begin_drain();
    members.leave();
    auto const left = server.drain(milliseconds(config.integer("drain_ms")));
    LOG4CPLUS_INFO(logger, "stopped; queries cut off: " << left);
    return 0;
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    try {
        return cornelspring::run(argc, argv);
    } catch (cornelspring::error const& failure) {
        std::cerr << "cornel-entry: " << failure.what() << "\n";
        return 2;
    }
}
