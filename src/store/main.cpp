/** @file main.cpp cornel-store: stand-in for the platform's key-value store, with the API of etcd's v3 JSON gateway. */
#include "store_service.hpp"

#include <cornelspring/transport.hpp>

namespace cornelspring {
namespace {

/** Settings of cornel-store. */
std::vector<setting_def> const store_settings = {
    {"listen.host", setting_type::text, setting_value{std::string("127.0.0.1")}, 0, 0, "address to bind"},
    {"listen.port", setting_type::integer, setting_value{std::int64_t{2379}}, 0, 65535, "TCP port; 0 picks one"},
    {"ready_file", setting_type::text, setting_value{std::string()}, 0, 0, "file that receives the bound port"},
    {"history_limit", setting_type::integer, setting_value{std::int64_t{100000}}, 100, 10000000,
     "number of events held for watches"},
    {"max_body_bytes", setting_type::integer, setting_value{std::int64_t{1 << 20}}, 1024, 16 << 20,
     "largest request body in bytes (the platform accepts values of up to 1 MB)"},
};

/** Runs the store until SIGTERM. */
int run(settings const& config, std::vector<std::string> const&)
{
    install_stop_signals();
    store_service service(static_cast<std::size_t>(config.integer("history_limit")));
    server_options listen;
    listen.listen = {config.text("listen.host"), static_cast<std::uint16_t>(config.integer("listen.port"))};
    listen.max_body_bytes = static_cast<std::size_t>(config.integer("max_body_bytes"));
    h2_server server(listen, [&service](http_request const& request, respond_fn reply) {
        service.handle(request, std::move(reply));
    });
    server.set_tick([&service](time_point now) { service.tick(now); });
    server.start();
    auto logger = get_logger("store");
    LOG4CPLUS_INFO(logger, "listening on port " << server.port());
    if (!config.text("ready_file").empty()) write_file_atomic(config.text("ready_file"), std::to_string(server.port()));
    wait_for_stop_signal();
    LOG4CPLUS_INFO(logger, "stopping");
    server.drain(milliseconds(2000));
    return 0;
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    using namespace cornelspring;
    return run_program({"cornel-store", "stand-in for the key-value store", store_settings}, argc, argv, run);
}
