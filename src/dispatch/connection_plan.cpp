/** @file connection_plan.cpp Which backend servers a gateway connects to before a request needs it. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {

std::vector<std::shared_ptr<backend_server>>
plan_connections(serving_config const& config, backend_registry& registry, place_rules const& places,
                 std::function<bool(std::shared_ptr<backend_server> const&)> const& connected, std::mt19937_64& random,
                 time_point now)
{
    std::map<service_name, region_set const*> services;
    for (auto const& via : config.routes()) {
        if (!via.gather) continue;
        for (auto const& shard : via.gather->shards)
            services.emplace(shard, &via.homes);
    }
    std::vector<std::shared_ptr<backend_server>> missing;
    for (auto const& [service, homes] : services) {
        place_demand const asked{*homes, config.warmup(service)};
        for (auto const& server : registry.group(service).backends) {
            bool const wanted = !server->gone && !server->draining_since && !server->load.suspect(now) &&
                                places.refusal(server->place, asked, now) == place_refusal::none;
            if (wanted && server->load.in_flight() == 0 && !connected(server)) missing.push_back(server);
        }
    }
    std::shuffle(missing.begin(), missing.end(), random);
    std::stable_sort(missing.begin(), missing.end(),
                     [](auto const& left, auto const& right) { return left->where < right->where; });
    return missing;
}

} // namespace cornelspring
