/** @file preconnect.cpp Choice of backend servers to connect to before a request needs it. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {

std::vector<std::shared_ptr<backend_server>>
backends_to_preconnect(serving_config const& config, backend_registry& registry, placement_rules const& placement,
                       std::size_t max_replicas,
                       std::function<bool(std::shared_ptr<backend_server> const&)> const& connected,
                       std::mt19937_64& random, time_point now)
{
    // Routes over the same shards may have different home regions.
    std::map<service_name, std::set<region_set>> services;
    for (auto const& via : config.routes()) {
        if (!via.gather) continue;
        for (auto const& shard : via.gather->shards)
            services[shard].insert(via.home_region_set);
    }
    std::vector<std::shared_ptr<backend_server>> missing;
    for (auto const& [service, all_homes] : services) {
        auto const reachable = [&, &service = service, &all_homes = all_homes](backend_server const& server) {
            return std::any_of(all_homes.begin(), all_homes.end(), [&](region_set const& homes) {
                placement_requirements const demand{homes, config.warmup(service)};
                return placement.refusal(server.placement, demand, now) == placement_refusal::none;
            });
        };
        std::vector<std::shared_ptr<backend_server>> usable;
        for (auto const& server : registry.group(service).backends)
            if (!server->removed && !server->draining_since && reachable(*server)) usable.push_back(server);
        std::sort(usable.begin(), usable.end(),
                  [](auto const& left, auto const& right) { return left->preference_rank < right->preference_rank; });
        usable.resize(std::min(usable.size(), max_replicas));
        for (auto const& server : usable) {
            bool const idle = server->load.in_flight() == 0 && !server->load.suspect(now);
            if (idle && !connected(server)) missing.push_back(server);
        }
    }
    std::shuffle(missing.begin(), missing.end(), random);
    std::stable_sort(missing.begin(), missing.end(),
                     [](auto const& left, auto const& right) { return left->distance < right->distance; });
    return missing;
}

} // namespace cornelspring
