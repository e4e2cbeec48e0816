/** @file address_answers.cpp Which gateways a caller is told to use; the members' store values. */
#include "address_answers.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

/** A region counts as holding the backend servers when it has at least this share of an even spread. */
constexpr double region_share = 0.5;
/** Fewer gateways than this in a region do not make up an answer: one may just have failed. */
constexpr std::size_t fewest_addresses = 2;

/** @return addresses of the members whose region @p wanted accepts. */
std::vector<endpoint> members_in(std::map<std::string, gateway_member> const& members,
                                 std::function<bool(region_name const&)> const& wanted)
{
    std::vector<endpoint> found;
    for (auto const& [key, member] : members) {
        if (wanted(member.region)) found.push_back(member.address);
    }
    return found;
}

} // namespace

std::vector<endpoint> choose_addresses(std::map<std::string, gateway_member> const& members, region_name const& region,
                                       domain_name const&, backend_registry const& registry, std::mt19937_64& random)
{
    auto const by_region = registry.backends_by_region();
    std::size_t total = 0;
    for (auto const& [name, count] : by_region)
        total += count;
    auto const holds = [&](region_name const& name) {
        auto const found = by_region.find(name);
        if (found == by_region.end()) return false;
        double const even = static_cast<double>(total) / static_cast<double>(registry.known_regions());
        return static_cast<double>(found->second) >= region_share * even;
    };
    std::vector<endpoint> chosen;
    if (holds(region)) chosen = members_in(members, [&](region_name const& each) { return each == region; });
    if (chosen.size() < fewest_addresses) chosen = members_in(members, holds);
    if (chosen.size() < fewest_addresses) chosen = members_in(members, [](region_name const&) { return true; });
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), max_addresses));
    return chosen;
}

std::string encode_member(gateway_member const& member)
{
    return nlohmann::json{{"address", member.address.to_string()},
                          {"peer", member.peer.to_string()},
                          {"domain", member.domain.value()},
                          {"region", member.region.value()}}
        .dump();
}

gateway_member decode_member(std::string const& value)
{
    try {
        auto const fields = nlohmann::json::parse(value);
        return {parse_endpoint(fields.at("address").get<std::string>()),
                parse_endpoint(fields.at("peer").get<std::string>()),
                domain_name(fields.at("domain").get<std::string>()),
                region_name(fields.at("region").get<std::string>())};
    } catch (nlohmann::json::exception const& failure) {
        throw error(error_kind::bad_request, std::string("malformed gateway registration: ") + failure.what(),
                    "Gateways of one fleet must run the same release.");
    }
}

} // namespace cornelspring
