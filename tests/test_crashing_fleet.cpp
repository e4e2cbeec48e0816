/** @file test_crashing_fleet.cpp Quarantine of a request that crashes backend servers, with 7 to 195 emulated VMs. */
#include <cornelspring/emulator.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace cornelspring;

namespace {

/** @return a deployment of @p vms gateways over 20 shards with one kind of query. A request that crashes backend
 * servers is sent every 2.3 s. */
emulated_deployment crashing_deployment(int vms, std::uint64_t seed)
{
    emulated_deployment made;
    emulated_kind search;
    search.name = "search";
    search.per_second = 70;
    search.min_coverage = 0.89;
    made.kinds = {search};
    made.vms = vms;
    made.max_connections = std::max(26, 4 * vms);
    made.seconds = 40;
    made.seed = seed;
    emulated_fault fault;
    fault.kind = "crashing_request";
    fault.at_s = 3;
    fault.for_s = 35;
    fault.x = 2.3;
    made.faults = {fault};
    return made;
}

} // namespace

TEST_CASE("emulator: a request that crashes backend servers is quarantined at all gateways")
{
    for (int const vms : {7, 70, 195}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(vms);
            CAPTURE(seed);
            auto const result = emulate(crashing_deployment(vms, seed));
            CHECK(result.servers_crashed >= 3); // The crashes are needed to detect it.
            CHECK(result.servers_crashed <= 25);
            CHECK(result.crashing_repeats <= 3);
        }
    }
}

TEST_CASE("emulator: other queries are served while a request crashes backend servers")
{
    // Share of the response value with this seed: 0.408 without crash records, 0.991 with them.
    CHECK(emulate(crashing_deployment(7, 1)).earned_share() > 0.9);
}

TEST_CASE("emulator: the quarantine survives a restart of all gateways")
{
    auto deployment = crashing_deployment(7, 1);
    emulated_fault restart;
    restart.kind = "restart";
    restart.at_s = 20;
    deployment.faults.push_back(restart);
    CHECK(emulate(deployment).crashing_repeats <= 3);
}
