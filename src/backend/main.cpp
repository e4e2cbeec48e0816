/** @file main.cpp cornel-backend: stand-in for backend servers that hold shards of the corpus, over HTTP/2. */
#include "backend_service.hpp"

#include <memory>
#include <sstream>

namespace cornelspring {
namespace {

/** Settings of cornel-backend. */
std::vector<setting_def> const backend_settings = {
    {"name", setting_type::text, std::nullopt, 0, 0, "name of this backend server, reported in responses"},
    {"service", setting_type::text, std::nullopt, 0, 0, "service to which the shards belong"},
    {"shard_count", setting_type::integer, std::nullopt, 1, 4096, "number of shards of the service"},
    {"shards", setting_type::integer_list, setting_value{std::vector<std::int64_t>{}}, 0, 4095,
     "shard numbers held (required without 'instances')"},
    {"index_versions", setting_type::integer_list, setting_value{std::vector<std::int64_t>{1}}, 1, 1e12,
     "index versions held"},
    {"instances", setting_type::text_list, setting_value{std::vector<std::string>{}}, 0, 0,
     "several backend servers in this process: the shards of each one, as \"0,1\"; replaces 'shards'"},
    {"slots", setting_type::integer, setting_value{std::int64_t{2}}, 1, 256, "requests run concurrently"},
    {"max_connections", setting_type::integer, setting_value{std::int64_t{25}}, 1, 100000,
     "largest number of connections; further ones are closed on accept"},
    {"listen.host", setting_type::text, setting_value{std::string("127.0.0.1")}, 0, 0, "address to bind"},
    {"listen.port", setting_type::integer, setting_value{std::int64_t{0}}, 0, 65535, "TCP port; 0 picks one"},
    {"ready_file", setting_type::text, setting_value{std::string()}, 0, 0, "file that receives the bound port"},
    {"corpus.directory", setting_type::text, setting_value{std::string("/usr/share/games/fortunes")}, 0, 0,
     "directory of the fortunes package"},
    {"corpus.max_documents", setting_type::integer, setting_value{std::int64_t{0}}, 0, 10000000,
     "largest number of documents read (0: all)"},
    {"work_ms", setting_type::floating, setting_value{0.0}, 0, 60000,
     "mean simulated run time of a request, in addition to the search itself, in milliseconds"},
    {"cold_start.ms", setting_type::integer, setting_value{std::int64_t{0}}, 0, 600000,
     "time after the start during which requests take longer, in milliseconds"},
    {"cold_start.extra_ms", setting_type::integer, setting_value{std::int64_t{0}}, 0, 60000,
     "additional run time of a request during the cold start, in milliseconds"},
    {"drain_ms", setting_type::integer, setting_value{std::int64_t{5000}}, 0, 600000,
     "longest wait for requests in flight after SIGTERM, in milliseconds"},
};

/** One backend server of this process. */
struct instance {
    backend_service service; ///< Runs the searches and writes.
    h2_server server;        ///< HTTP/2 server.
    /** @param config configuration. @param corpus documents. @param listen address and limits. */
    instance(backend_config config, std::vector<document> const& corpus, server_options listen)
        : service(std::move(config), corpus),
          server(std::move(listen),
                 [this](http_request const& request, respond_fn reply) { service.handle(request, std::move(reply)); })
    {
        server.start();
    }
};

/** @return the shard numbers in a list such as "0,1". */
std::vector<std::int64_t> parse_shards(std::string const& text)
{
    std::vector<std::int64_t> shards;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, ','))
        shards.push_back(std::atoll(part.c_str()));
    return shards;
}

/** @return the configuration of the backend server @p name, which holds @p shards. */
backend_config make_config(settings const& config, std::string const& name, std::vector<std::int64_t> const& shards)
{
    backend_config out;
    out.name = name;
    out.service = config.text("service");
    held_version held;
    held.shard_count = static_cast<std::int32_t>(config.integer("shard_count"));
    if (shards.empty()) {
        throw error(error_kind::bad_settings, "backend server '" + name + "' holds no shard.",
                    "List its shards in 'shards' or 'instances'.");
    }
    for (auto shard : shards) {
        if (shard < 0 || shard >= held.shard_count) {
            throw error(error_kind::bad_settings, "shard " + std::to_string(shard) + " is not less than shard_count.",
                        "List only shards from 0 to shard_count - 1.");
        }
        held.shards.push_back(static_cast<std::int32_t>(shard));
    }
    for (auto version : config.integer_list("index_versions")) {
        held.index_version = version;
        out.versions.push_back(held);
    }
    out.slots = static_cast<std::size_t>(config.integer("slots"));
    out.work_ms = config.floating("work_ms");
    out.cold_start_ms = config.integer("cold_start.ms");
    out.cold_extra_ms = config.integer("cold_start.extra_ms");
    return out;
}

/** @return the configurations of all backend servers of this process. */
std::vector<backend_config> make_configs(settings const& config)
{
    std::string const& name = config.text("name");
    auto const& instances = config.text_list("instances");
    if (instances.empty()) return {make_config(config, name, config.integer_list("shards"))};
    std::vector<backend_config> out;
    for (std::size_t i = 0; i < instances.size(); ++i)
        out.push_back(make_config(config, name + "-" + std::to_string(i), parse_shards(instances[i])));
    return out;
}

/** Runs the backend servers until SIGTERM. */
int run(settings const& config, std::vector<std::string> const&)
{
    install_stop_signals();
    auto const configs = make_configs(config);
    auto const corpus =
        load_corpus(config.text("corpus.directory"), static_cast<std::size_t>(config.integer("corpus.max_documents")));
    server_options listen;
    listen.listen = {config.text("listen.host"), static_cast<std::uint16_t>(config.integer("listen.port"))};
    listen.max_connections = static_cast<std::size_t>(config.integer("max_connections"));
    auto logger = get_logger("backend");
    std::vector<std::unique_ptr<instance>> running;
    std::string ports;
    for (auto const& item : configs) {
        running.push_back(std::make_unique<instance>(item, corpus, listen));
        ports += (ports.empty() ? "" : ",") + std::to_string(running.back()->server.port());
        LOG4CPLUS_INFO(logger, item.name << " listening on port " << running.back()->server.port() << " with "
                                         << corpus.size() << " documents");
    }
    if (!config.text("ready_file").empty()) write_file_atomic(config.text("ready_file"), ports);
    wait_for_stop_signal();
    for (auto const& item : running)
        item->service.start_drain();
    std::size_t left = 0;
    for (auto const& item : running)
        left += item->server.drain(milliseconds(config.integer("drain_ms")));
    LOG4CPLUS_INFO(logger, "stopped; requests not finished: " << left);
    return 0;
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    using namespace cornelspring;
    return run_program({"cornel-backend", "stand-in for backend servers", backend_settings}, argc, argv, run);
}
