/** @file main.cpp cornel-entry: the entry node. */
#include "entry_service.hpp"

#include <unistd.h>

namespace cornelspring {
namespace {

/** Settings of cornel-entry. */
std::vector<setting_def> const entry_settings = {
    {"id", setting_type::text, std::nullopt, 0, 0, "entry node id, unique among the entry nodes"},
    {"failure_domain", setting_type::text, setting_value{std::string("")}, 0, 0, "failure domain of this VM"},
    {"listen.host", setting_type::text, setting_value{std::string("127.0.0.1")}, 0, 0, "address to bind"},
    {"listen.port", setting_type::integer, setting_value{std::int64_t{8080}}, 0, 65535,
     "TCP port; 0 selects a free one"},
    {"advertise", setting_type::text, setting_value{std::string("")}, 0, 0,
     "host:port that callers use; empty means listen.host and the bound port"},
    {"store.address", setting_type::text, setting_value{std::string("127.0.0.1:2379")}, 0, 0,
     "host:port of the platform store"},
    {"store.timeout_ms", setting_type::integer, setting_value{std::int64_t{2000}}, 10, 60000,
     "timeout of one store call, in milliseconds"},
    {"store.retry_ms", setting_type::integer, setting_value{std::int64_t{200}}, 10, 60000,
     "wait after a failed store call, in milliseconds"},
    {"lease_ttl_s", setting_type::integer, setting_value{std::int64_t{6}}, 2, 3600,
     "time to live of the membership lease, in seconds"},
    {"entries_ttl_s", setting_type::integer, setting_value{std::int64_t{30}}, 1, 3600,
     "how long callers may keep the list of entry addresses, in seconds"},
    {"entries_limit", setting_type::integer, setting_value{std::int64_t{16}}, 1, 1000,
     "maximum number of entry addresses returned to a caller; same failure domain first"},
    {"query.default_deadline_ms", setting_type::integer, setting_value{std::int64_t{1000}}, 1, 60000,
     "deadline of a query that sets none, in milliseconds"},
    {"query.max_tries_per_shard", setting_type::integer, setting_value{std::int64_t{4}}, 1, 10,
     "maximum of the first attempt and the retries of one shard"},
    {"query.policy", setting_type::text, setting_value{std::string("adaptive")}, 0, 0,
     "replica policy: adaptive (measured latency and load) or random (the baseline)"},
    {"query.retry_ratio", setting_type::floating, setting_value{0.2}, 0, 10,
     "retries allowed per shard request in the long run"},
    {"query.retry_burst", setting_type::integer, setting_value{std::int64_t{200}}, 0, 100000,
     "retries allowed at once"},
    {"query.hedge", setting_type::boolean, setting_value{true}, 0, 0,
     "send a second request for a shard slower than query.hedge_quantile"},
    {"query.hedge_quantile", setting_type::floating, setting_value{0.95}, 0.5, 0.999,
     "a shard slower than this quantile of recent responses is hedged"},
    {"query.hedge_ratio", setting_type::floating, setting_value{0.05}, 0, 1,
     "hedges allowed per shard request in the long run"},
    {"query.hedge_burst", setting_type::integer, setting_value{std::int64_t{50}}, 0, 100000, "hedges allowed at once"},
    {"write.workers", setting_type::integer, setting_value{std::int64_t{8}}, 1, 256,
     "non-idempotent requests in progress at the same time"},
    {"write.queue_limit", setting_type::integer, setting_value{std::int64_t{256}}, 1, 100000,
     "maximum number of queued non-idempotent requests; more are rejected as not run"},
    {"write.default_deadline_ms", setting_type::integer, setting_value{std::int64_t{2000}}, 1, 60000,
     "deadline of a non-idempotent request that sets none, in milliseconds"},
    {"write.retention_s", setting_type::integer, setting_value{std::int64_t{86400}}, 60, 31536000,
     "how long the record of an idempotency key is kept, in seconds"},
    {"vm_list.address", setting_type::text, setting_value{std::string("")}, 0, 0,
     "host:port of the platform's VM list; empty means that it is not read"},
    {"vm_list.interval_ms", setting_type::integer, setting_value{std::int64_t{1000}}, 100, 60000,
     "time between reads of the VM list, in milliseconds"},
    {"max_connections", setting_type::integer, setting_value{std::int64_t{1024}}, 16, 65000,
     "maximum number of caller connections"},
    {"max_body_bytes", setting_type::integer, setting_value{std::int64_t{65536}}, 256, 1 << 24,
     "largest caller request body, in bytes"},
    {"ready_file", setting_type::text, setting_value{std::string()}, 0, 0, "file to which the bound port is written"},
    {"drain_ms", setting_type::integer, setting_value{std::int64_t{5000}}, 0, 600000,
     "longest wait for requests in flight at SIGTERM, in milliseconds"},
};

/** @return the replica policy named @p name. @throw error bad_settings when unknown. */
replica_chooser make_chooser(std::string const& name, backend_tracker const& tracker)
{
    if (name == "adaptive") return make_adaptive_chooser(tracker, std::random_device{}());
    if (name == "random") return make_random_chooser(std::random_device{}());
    throw error(error_kind::bad_settings, "query.policy '" + name + "' is unknown.", "Use adaptive or random.");
}

/** @return the scatter-gather settings. */
gather_options make_gather_options(settings const& config)
{
    gather_options options;
    options.default_deadline = milliseconds(config.integer("query.default_deadline_ms"));
    options.max_tries_per_shard = static_cast<std::int32_t>(config.integer("query.max_tries_per_shard"));
    options.retry_ratio = config.floating("query.retry_ratio");
    options.retry_burst = static_cast<double>(config.integer("query.retry_burst"));
    options.hedge = config.boolean("query.hedge");
    options.hedge_quantile = config.floating("query.hedge_quantile");
    options.hedge_ratio = config.floating("query.hedge_ratio");
    options.hedge_burst = static_cast<double>(config.integer("query.hedge_burst"));
    return options;
}

/** @return the settings of non-idempotent requests. */
write_options make_write_options(settings const& config)
{
    write_options options;
    options.owner = config.text("id");
    options.workers = static_cast<std::size_t>(config.integer("write.workers"));
    options.queue_limit = static_cast<std::size_t>(config.integer("write.queue_limit"));
    options.default_deadline = milliseconds(config.integer("write.default_deadline_ms"));
    options.retention_s = config.integer("write.retention_s");
    return options;
}

/** @return the task that reads the platform's VM list, or null when no address is set. */
std::unique_ptr<vm_list_watcher> make_vm_list_watcher(settings const& config, h2_client& client,
                                                      backend_tracker& tracker)
{
    if (config.text("vm_list.address").empty()) return nullptr;
    vm_list_options options;
    options.address = parse_endpoint(config.text("vm_list.address"));
    options.interval = milliseconds(config.integer("vm_list.interval_ms"));
    return std::make_unique<vm_list_watcher>(client, tracker, options);
}

/** @return this node's identity and the settings of the list of entry addresses. */
entry_config make_entry_config(settings const& config)
{
    entry_config identity;
    identity.id = config.text("id");
    identity.failure_domain = config.text("failure_domain");
    identity.entries_limit = static_cast<std::size_t>(config.integer("entries_limit"));
    identity.entries_ttl_s = config.integer("entries_ttl_s");
    return identity;
}

/** @return the address and limits of the listener for callers. */
server_options make_server_options(settings const& config)
{
    server_options listen;
    listen.listen = {config.text("listen.host"), static_cast<std::uint16_t>(config.integer("listen.port"))};
    listen.max_body_bytes = static_cast<std::size_t>(config.integer("max_body_bytes"));
    listen.max_connections = static_cast<std::size_t>(config.integer("max_connections"));
    return listen;
}

/** Runs the entry node until SIGTERM. */
int run(settings const& config, std::vector<std::string> const&)
{
    install_stop_signals();
    auto logger = get_logger("entry");

    h2_client client;
    store_client store(client, parse_endpoint(config.text("store.address")),
                       milliseconds(config.integer("store.timeout_ms")));
    config_view view;
    config_watcher watcher(store, view, milliseconds(config.integer("store.retry_ms")));
    watcher.start();

    backend_tracker tracker;
    std::string const policy = config.text("query.policy");
    auto chooser = make_chooser(policy, tracker);
    scatter_gather gather(client, make_gather_options(config), chooser, tracker, [&view] { return view.current(); });
    auto writes = std::make_unique<write_coordinator>(store, client, chooser, tracker, make_write_options(config));
    auto vm_list = make_vm_list_watcher(config, client, tracker);
    auto const identity = make_entry_config(config);
    entry_service service(identity, view, gather, *writes, std::make_shared<prometheus::Registry>());
    service.set_transport_stats([&client] { return client.stats(); });
    auto const listen = make_server_options(config);
    http_server server(listen, [&service](http_request const& request, respond_fn reply) {
        service.handle(request, std::move(reply));
    });
    server.start();
    std::string advertise = config.text("advertise");
    if (advertise.empty()) advertise = endpoint{listen.listen.host, server.port()}.to_string();
    membership members(store, member{identity.id, advertise, identity.failure_domain}, config.integer("lease_ttl_s"));
    members.start();
    LOG4CPLUS_INFO(logger, identity.id << " listening on " << advertise);
    if (!config.text("ready_file").empty()) write_file_atomic(config.text("ready_file"), std::to_string(server.port()));

    wait_for_stop_signal();
    LOG4CPLUS_INFO(logger, "stopping: removing the registration and draining");
    auto const drain_until = clock::now() + milliseconds(config.integer("drain_ms"));
    service.start_drain();
    members.leave();
    auto const unfinished_requests =
        server.drain(std::max(milliseconds(0), std::chrono::ceil<milliseconds>(drain_until - clock::now())));
    while (writes->pending_record_updates() > 0 && clock::now() < drain_until)
        std::this_thread::sleep_for(milliseconds(10));
    LOG4CPLUS_INFO(logger, "stopped; requests not finished: " << unfinished_requests
                                                              << ", write outcomes not recorded: "
                                                              << writes->pending_record_updates());
    // The tasks that wait for store calls must stop before the client, whose thread completes those calls.
    vm_list.reset();
    writes.reset();
    watcher.stop();
    client.stop();
    return 0;
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    using namespace cornelspring;
    return run_program({"cornel-entry", "entry node", entry_settings}, argc, argv, run);
}
