/** @file address_query.cpp Selection of the gateways for callers, and the encoding of members in the store. */
#include <cornelspring/checked.hpp>
#include <cornelspring/gateway.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

/** Largest capacity of a VM, in processor cores. */
constexpr double max_capacity = 100000;
/** Most addresses in one response. */
constexpr std::size_t max_addresses = 64;
/** Fewest addresses in a response if more gateways exist: one of them may have failed just now. */
constexpr std::size_t min_addresses = 2;

/** A VM with less than this share of the largest VM's capacity is small: with a hundred shards, one query takes it most
 *  of the time within which high-priority callers need the response. */
constexpr double small_vm_share = 0.3;
/** Small VMs are left out if the others have at least this share of the total capacity, which is enough for the load.
 */
constexpr double sufficient_share = 0.75;

/** Gateways that have a copy of the store are chosen alone if there are this many, as a share of those that are chosen
 *  when all have one. */
constexpr double min_synced_share = 0.5;

/** Gateways by failure domain, in the order in which they are chosen. */
using domain_lists = std::map<domain_name, std::vector<member_map::const_iterator>>;

/**
 * Removes small VMs from the active members. Fewer queries are late then, and each of the other VMs handles more
 * queries and detects slow backend servers sooner.
 * @return the active members without the small ones, or all if the others have too little capacity in total or are too
 * few in a failure domain.
 */
std::set<std::string> without_small_vms(member_map const& members, std::set<std::string> const& active)
{
    double largest = 0;
    for (auto const& key : active)
        largest = std::max(largest, members.at(key).capacity);
    std::set<std::string> large;
    std::map<domain_name, std::size_t> large_in;
    double all_capacity = 0;
    double large_capacity = 0;
    for (auto const& key : active) {
        auto const& member = members.at(key);
        auto& in_domain = large_in[member.domain];
        all_capacity += member.capacity;
        if (member.capacity < small_vm_share * largest) continue;
        large_capacity += member.capacity;
        large.insert(key);
        ++in_domain;
    }
    bool const enough = large_capacity >= sufficient_share * all_capacity &&
                        std::all_of(large_in.begin(), large_in.end(),
                                    [](auto const& domain) { return domain.second >= min_addresses; });
    return enough ? large : active;
}

/** @return the addresses of the active members for which @p wanted returns true. */
std::vector<endpoint> active_members(member_map const& members, std::set<std::string> const& active,
                                     std::function<bool(gateway_member const&)> const& wanted)
{
    std::vector<endpoint> found;
    for (auto const& [key, member] : members) {
        if (active.contains(key) && wanted(member)) found.push_back(member.address);
    }
    return found;
}

} // namespace

namespace {

/** @return the first @p max_count of @p by_domain, alternating between the failure domains, without small VMs. */
std::set<std::string> choose_by_rank(member_map const& members, domain_lists const& by_domain, std::size_t max_count)
{
    std::size_t largest = 0;
    for (auto const& [domain, list] : by_domain)
        largest = std::max(largest, list.size());
    std::set<std::string> active;
    for (std::size_t rank = 0; rank < largest; ++rank) {
        for (auto const& [domain, list] : by_domain) {
            if (active.size() >= std::max(max_count, by_domain.size())) return without_small_vms(members, active);
            if (rank < list.size()) active.insert(list[rank]->first);
        }
    }
    return without_small_vms(members, active);
}

/** @return the members for which @p wanted returns true by failure domain, the largest first. */
domain_lists by_domain_and_size(member_map const& members, std::function<bool(gateway_member const&)> const& wanted)
{
    domain_lists by_domain;
    for (auto each = members.begin(); each != members.end(); ++each) {
        if (wanted(each->second)) by_domain[each->second.domain].push_back(each);
    }
    for (auto& [domain, list] : by_domain)
        std::sort(list.begin(), list.end(), [](auto left, auto right) { return larger_first(*left, *right); });
    return by_domain;
}

} // namespace

std::set<std::string> choose_active(member_map const& members, std::size_t max_count)
{
    bool const any_running =
        std::any_of(members.begin(), members.end(), [](auto const& m) { return !m.second.stopping; });
    auto const running = [any_running](gateway_member const& each) { return !any_running || !each.stopping; };
    auto const synced = [&](gateway_member const& each) { return running(each) && each.synced; };
    auto const all = choose_by_rank(members, by_domain_and_size(members, running), max_count);
    auto const ready = choose_by_rank(members, by_domain_and_size(members, synced), max_count);
    // While most VMs are starting, the few that are synced could not bear the load of all callers.
    return static_cast<double>(ready.size()) < min_synced_share * static_cast<double>(all.size()) ? all : ready;
}

std::vector<endpoint> choose_addresses(member_map const& members, std::set<std::string> const& active,
                                       address_query const& query, region_set const& homes, std::mt19937_64& random)
{
    auto const in_domain = [&](gateway_member const& each) { return each.domain == query.domain; };
    auto const in_region = [&](gateway_member const& each) { return each.region == query.region; };
    auto const in_home = [&](gateway_member const& each) { return homes.contains(each.region); };
    auto const anywhere = [](gateway_member const&) { return true; };
    auto const min_elsewhere = homes.empty() ? min_addresses : 1;
    auto chosen = active_members(members, active, in_domain);
    if (chosen.size() < min_addresses) chosen = active_members(members, active, in_region);
    if (chosen.size() < min_elsewhere) chosen = active_members(members, active, in_home);
    if (chosen.size() < min_elsewhere) chosen = active_members(members, active, anywhere);
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), max_addresses));
    return chosen;
}

std::string encode_member(gateway_member const& member)
{
    return nlohmann::json{{"address", member.address.to_string()},
                          {"peer", member.peer_address.to_string()},
                          {"domain", member.domain.value()},
                          {"region", member.region.value()},
                          {"capacity", member.capacity},
                          {"stopping", member.stopping},
                          {"synced", member.synced}}
        .dump();
}

gateway_member decode_member(std::string const& value)
{
    return checked::decode(value, checked::encoding::json, [](nlohmann::json const& fields) {
        return gateway_member{parse_endpoint(checked::name(fields.at("address"))),
                              parse_endpoint(checked::name(fields.at("peer"))),
                              domain_name(checked::name(fields.at("domain"))),
                              region_name(checked::name(fields.at("region"))),
                              checked::number(fields.at("capacity"), 0, max_capacity),
                              fields.at("stopping").get<bool>(),
                              fields.value("synced", true)};
    });
}

} // namespace cornelspring
