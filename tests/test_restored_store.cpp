/** @file test_restored_store.cpp The store is restored from an older copy, with gateways as processes on loopback. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** Makes the store unavailable for the time @p outage, then restores the last copy of it. */
void restore_copy(gateway_fleet& fleet, std::chrono::milliseconds outage = 700ms)
{
    fleet.call_store("fault", {{"mode", "busy"}});
    std::this_thread::sleep_for(outage);
    fleet.call_store("restore");
    fleet.call_store("fault", {{"mode", "ok"}});
}

/** @return whether gateway @p number serves a query over @p shards shards. */
bool serves_shards(gateway_fleet& fleet, int number, std::size_t shards)
{
    static int sent = 0;
    auto const response = fleet.send_request(number, "/q/a", "id-" + std::to_string(++sent));
    auto const signatures = response.header("part-stamps");
    auto const parts = 1 + static_cast<std::size_t>(std::count(signatures.begin(), signatures.end(), ','));
    auto const missing = response.header("missing-parts");
    return response.status == 200 && parts + std::stoul(missing.empty() ? "0" : missing) == shards;
}

/** Writes @p count configurations, starting with version @p first_version, each of which advances the store's revision.
 */
void configure_repeatedly(gateway_fleet& fleet, int first_version, int count)
{
    for (int i = 0; i < count; ++i)
        fleet.configure(first_version + i, {"g0", "g1"});
}

/** Time within which a configuration must be in force after the store acknowledged it. */
constexpr auto max_apply_time = 3000ms;

} // namespace

TEST_CASE("a configuration acknowledged after the store was restored from an older copy is in force at every gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.start_gateway(2, "d1");
    fleet.start_gateway(3, "d2");
    int version = 1;
    for (int round = 0; round < 2; ++round) {
        std::this_thread::sleep_for(500ms);
        fleet.call_store("copy");
        configure_repeatedly(fleet, version + 1, 6);
        version += 6;
        for (int const gateway : {1, 2, 3})
            CHECK(within_ten_seconds([&] { return serves_shards(fleet, gateway, 2); }));
        restore_copy(fleet);
        std::this_thread::sleep_for(1s);
        fleet.configure(++version, {"g0", "g1", "g2"});
        auto const acknowledged_at = clock::now();
        for (int const gateway : {1, 2, 3}) {
            CAPTURE(gateway);
            CHECK(within_ten_seconds([&] { return serves_shards(fleet, gateway, 3); }));
        }
        CHECK(clock::now() - acknowledged_at < max_apply_time);
    }
}

TEST_CASE("a gateway that restarts or is paused while the store is restored from a copy receives later changes")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.start_gateway(2, "d1");
    fleet.start_gateway(3, "d2");
    fleet.call_store("copy");
    configure_repeatedly(fleet, 2, 6);
    std::this_thread::sleep_for(500ms);
    fleet.processes.stop("gw-3", SIGSTOP);
    fleet.processes.stop("gw-1", SIGKILL);
    restore_copy(fleet);
    fleet.start_gateway(1, "d1");
    std::this_thread::sleep_for(1s);
    fleet.processes.stop("gw-3", SIGCONT);
    fleet.configure(8, {"g0", "g1", "g2"});
    auto const acknowledged_at = clock::now();
    for (int const gateway : {1, 2, 3}) {
        CAPTURE(gateway);
        CHECK(within_ten_seconds([&] { return serves_shards(fleet, gateway, 3); }));
    }
    CHECK(clock::now() - acknowledged_at < max_apply_time + 1s);
}

TEST_CASE(
    "a registration that a restored store lost is written again, and its gateway stays in address responses meanwhile")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.call_store("copy");
    fleet.start_gateway(2, "d1");
    auto const is_resolved = [&] {
        return gateway_fleet::get(gateway_fleet::address(1, "directory"),
                                  "/cornelspring/resolve?name=h.example&region=r-d1&zone=d1")
                   .body.find(gateway_fleet::address(2, "frontend").to_string()) != std::string::npos;
    };
    REQUIRE(within_ten_seconds(is_resolved));
    restore_copy(fleet);
    auto const until = clock::now() + 4s;
    while (clock::now() < until) {
        CHECK(is_resolved());
        std::this_thread::sleep_for(50ms);
    }
    CHECK(fleet.call_store("keys").contains("gateways/d1/gw-2"));
}

TEST_CASE("records of crashing requests that a restored store lost are written again")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.call_store("copy");
    fleet.set_backend_behavior({{"crash_path", "/q/deadly"}, {"down_ms", 300}});
    fleet.send_request(1, "/q/deadly", "first");
    auto const is_recorded = [&] { return fleet.call_store("keys").contains("crash-records/gw-1"); };
    REQUIRE(within_ten_seconds(is_recorded));
    restore_copy(fleet);
    CHECK_FALSE(is_recorded());
    CHECK(within_ten_seconds(is_recorded));
}

TEST_CASE("an evacuation that a restored store lost stays in force until operators had time to write it again")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.call_store("copy");
    fleet.call_store("put", {{"key", "op/evacuate/d1"}, {"value", json::object()}});
    std::this_thread::sleep_for(500ms);
    restore_copy(fleet);
    auto const from = fleet.journal().size();
    auto const until = clock::now() + 1500ms;
    for (int sent = 0; clock::now() < until; ++sent)
        CHECK(fleet.send_request(1, "/q/a", "lost-" + std::to_string(sent)).status == 200);
    fleet.call_store("put", {{"key", "op/evacuate/d1"}, {"value", json::object()}});
    std::this_thread::sleep_for(2s);
    for (int sent = 0; sent < 10; ++sent)
        CHECK(fleet.send_request(1, "/q/a", "again-" + std::to_string(sent)).status == 200);
    auto const entries = fleet.registrations();
    auto const journal = fleet.journal();
    for (auto i = from; i < journal.size(); ++i)
        CHECK(entries[journal[i]["backend"].get<std::string>()]["zone"] != "d1");
}

TEST_CASE("backend servers that a restored store lost stay in use until they had time to register again")
{
    gateway_fleet fleet;
    auto const entries = fleet.registrations();
    fleet.call_store("drop", {{"key", "servers/i-s-0"}});
    fleet.call_store("drop", {{"key", "servers/i-s-1"}});
    fleet.call_store("copy");
    fleet.register_backend("i-s-0", entries["i-s-0"]);
    fleet.start_gateway(1, "d1");
    CHECK(fleet.send_request(1, "/r/a", "before").status == 200);
    restore_copy(fleet);
    auto const until = clock::now() + 1500ms;
    for (int sent = 0; clock::now() < until; ++sent)
        CHECK(fleet.send_request(1, "/r/a", "lost-" + std::to_string(sent)).status == 200);
    fleet.register_backend("i-s-0", entries["i-s-0"]);
    std::this_thread::sleep_for(2500ms);
    CHECK(fleet.send_request(1, "/r/a", "again").status == 200);
}
