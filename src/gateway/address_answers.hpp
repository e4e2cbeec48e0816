/** @file address_answers.hpp Which gateways a caller is told to use (internal). */
#pragma once

#include <cornelspring/gateway.hpp>

namespace cornelspring {

/** Most addresses in one answer. */
inline constexpr std::size_t max_addresses = 64;

/**
 * Chooses the gateways for a caller. Those of its own region come first when backend servers of the sharded services
 * stand there: then the shard answers, many times the bytes of the caller's own, stay within the region.
 * Else all gateways of regions that hold such backend servers are named.
 * @param members live gateways. @param region the caller's region. @param domain its failure domain.
 * @param registry backend servers. @param random order of the answer.
 * @return addresses, in random order.
 */
std::vector<endpoint> choose_addresses(std::map<std::string, gateway_member> const& members, region_name const& region,
                                       domain_name const& domain, backend_registry const& registry,
                                       std::mt19937_64& random);

} // namespace cornelspring
