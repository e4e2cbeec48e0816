/** @file serving_config.cpp Routes by host and longest prefix; the configuration in force. */
#include <cornelspring/routing.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Connection limit of a service that is not configured. */
constexpr int default_max_connections = 16;

/** @return the key of @p prefix at @p host. */
std::string location_key(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    key.append(host).append("\n").append(prefix);
    return key;
}

/** @return whether one of @p routes over the same shards has a higher priority than @p via. */
bool has_higher_priority_route(route const& via, std::vector<route> const& routes)
{
    return std::any_of(routes.begin(), routes.end(), [&via](route const& other) {
        return other.priority < via.priority && other.gather && other.gather->shards == via.gather->shards;
    });
}

} // namespace

serving_config::serving_config(config_version version, std::vector<route> routes,
                               std::map<service_name, service_limits> services, caller_limits limits,
                               customer_directory customers)
    : m_version(version), m_routes(std::move(routes)), m_services(std::move(services)), m_limits(limits),
      m_customers(std::move(customers))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        m_by_location.emplace(location_key(m_routes[i].host, m_routes[i].prefix), i);
        if (!m_routes[i].gather) continue;
        for (auto const& shard : m_routes[i].gather->shards) {
            int const limit = max_connections(shard);
            m_min_gather_connections =
                m_min_gather_connections == 0 ? limit : std::min(m_min_gather_connections, limit);
        }
        m_routes[i].highest_priority = !has_higher_priority_route(m_routes[i], m_routes);
    }
}

int serving_config::max_connections(service_name const& service) const
{
    auto const found = m_services.find(service);
    return found == m_services.end() ? default_max_connections : found->second.max_connections;
}

warmup_spec const& serving_config::warmup(service_name const& service) const
{
    static warmup_spec const unbounded;
    auto const found = m_services.find(service);
    return found == m_services.end() ? unbounded : found->second.warmup;
}

region_set serving_config::home_region_set_of_host(std::string const& host) const
{
    region_set some;
    std::optional<region_set> all;
    for (auto const& each : m_routes) {
        if (each.host != host || each.home_region_set.empty()) continue;
        some.insert(each.home_region_set.begin(), each.home_region_set.end());
        if (!all) all = each.home_region_set;
        std::erase_if(*all, [&each](region_name const& region) { return !each.home_region_set.contains(region); });
    }
    return all && !all->empty() ? *all : some;
}

route const* serving_config::match(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so each slash of the path ends one candidate, the longest first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        auto const found = m_by_location.find(location_key(host, path.substr(0, slash + 1)));
        if (found != m_by_location.end()) return &m_routes[found->second];
        if (slash == 0) break;
    }
    auto const port = host.rfind(':');
    return port == std::string_view::npos ? nullptr : match(host.substr(0, port), path);
}

bool config_holder::set_if_newer(std::shared_ptr<serving_config const> next)
{
    if (m_current && next->version() <= m_current->version()) return false;
    m_current = std::move(next);
    return true;
}

} // namespace cornelspring
