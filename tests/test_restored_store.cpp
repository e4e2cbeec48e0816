/** @file test_restored_store.cpp The store comes back from an older copy: gateways as processes on loopback. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** The store is away, and back with what it held when the last copy was made. */
void return_to_copy(gateway_fleet& fleet, std::chrono::milliseconds away = 700ms)
{
    fleet.store("fault", {{"mode", "busy"}});
    std::this_thread::sleep_for(away);
    fleet.store("restore");
    fleet.store("fault", {{"mode", "ok"}});
}

/** @return whether gateway @p number answers queries over @p shards shards. */
bool serves(gateway_fleet& fleet, int number, std::size_t shards)
{
    static int asked = 0;
    auto const answer = fleet.ask(number, "/q/a", "id-" + std::to_string(++asked));
    auto const stamps = answer.header("part-stamps");
    auto const parts = 1 + static_cast<std::size_t>(std::count(stamps.begin(), stamps.end(), ','));
    auto const missing = answer.header("missing-parts");
    return answer.status == 200 && parts + std::stoul(missing.empty() ? "0" : missing) == shards;
}

/** Configures until the store's revision is that of the copy and @p more. */
void configure_times(gateway_fleet& fleet, int first_version, int more)
{
    for (int i = 0; i < more; ++i)
        fleet.configure(first_version + i, {"g0", "g1"});
}

/** How soon a configuration is to be in force after its acknowledgement. */
constexpr auto apply_bound = 3000ms;

} // namespace

TEST_CASE("a configuration acknowledged after the store came back from an older copy is in force at every gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.start_gateway(2, "d1");
    fleet.start_gateway(3, "d2");
    int version = 1;
    for (int times = 0; times < 2; ++times) {
        std::this_thread::sleep_for(500ms);
        fleet.store("copy");
        configure_times(fleet, version + 1, 6);
        version += 6;
        for (int const gateway : {1, 2, 3})
            CHECK(within_ten_seconds([&] { return serves(fleet, gateway, 2); }));
        return_to_copy(fleet);
        std::this_thread::sleep_for(1s);
        fleet.configure(++version, {"g0", "g1", "g2"});
        auto const acknowledged = clock::now();
        for (int const gateway : {1, 2, 3}) {
            CAPTURE(gateway);
            CHECK(within_ten_seconds([&] { return serves(fleet, gateway, 3); }));
        }
        CHECK(clock::now() - acknowledged < apply_bound);
    }
}

TEST_CASE("a gateway that restarts or is cut off while the store returns to a copy learns what comes after")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.start_gateway(2, "d1");
    fleet.start_gateway(3, "d2");
    fleet.store("copy");
    configure_times(fleet, 2, 6);
    std::this_thread::sleep_for(500ms);
    fleet.processes.stop("gw-3", SIGSTOP);
    fleet.processes.stop("gw-1", SIGKILL);
    return_to_copy(fleet);
    fleet.start_gateway(1, "d1");
    std::this_thread::sleep_for(1s);
    fleet.processes.stop("gw-3", SIGCONT);
    fleet.configure(8, {"g0", "g1", "g2"});
    auto const acknowledged = clock::now();
    for (int const gateway : {1, 2, 3}) {
        CAPTURE(gateway);
        CHECK(within_ten_seconds([&] { return serves(fleet, gateway, 3); }));
    }
    CHECK(clock::now() - acknowledged < apply_bound + 1s);
}

TEST_CASE("what a gateway wrote and the store lost with an older copy is there again, and it stays named meanwhile")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.store("copy");
    fleet.start_gateway(2, "d1");
    auto const named = [&] {
        return gateway_fleet::get(gateway_fleet::address(1, "directory"),
                                  "/cornelspring/resolve?name=h.example&region=r-d1&zone=d1")
                   .body.find(gateway_fleet::address(2, "frontend").to_string()) != std::string::npos;
    };
    REQUIRE(within_ten_seconds(named));
    return_to_copy(fleet);
    auto const until = clock::now() + 4s;
    while (clock::now() < until) {
        CHECK(named());
        std::this_thread::sleep_for(50ms);
    }
    CHECK(fleet.store("keys").contains("gateways/gw-2"));
}

TEST_CASE("what gateways know of crashing requests is in the store again after it lost that with an older copy")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.store("copy");
    fleet.behave({{"crash_path", "/q/deadly"}, {"down_ms", 300}});
    fleet.ask(1, "/q/deadly", "first");
    auto const recorded = [&] { return fleet.store("keys").contains("crash-records/gw-1"); };
    REQUIRE(within_ten_seconds(recorded));
    return_to_copy(fleet);
    CHECK_FALSE(recorded());
    CHECK(within_ten_seconds(recorded));
}

TEST_CASE("an evacuation that the store lost with an older copy holds until operators had time to write it again")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.store("copy");
    fleet.store("put", {{"key", "op/evacuate/d1"}, {"value", json::object()}});
    std::this_thread::sleep_for(500ms);
    return_to_copy(fleet);
    auto const from = fleet.journal().size();
    auto const until = clock::now() + 1500ms;
    for (int asked = 0; clock::now() < until; ++asked)
        CHECK(fleet.ask(1, "/q/a", "lost-" + std::to_string(asked)).status == 200);
    fleet.store("put", {{"key", "op/evacuate/d1"}, {"value", json::object()}});
    std::this_thread::sleep_for(2s);
    for (int asked = 0; asked < 10; ++asked)
        CHECK(fleet.ask(1, "/q/a", "again-" + std::to_string(asked)).status == 200);
    auto const entries = fleet.entries();
    auto const journal = fleet.journal();
    for (auto i = from; i < journal.size(); ++i)
        CHECK(entries[journal[i]["backend"].get<std::string>()]["zone"] != "d1");
}

TEST_CASE("backend servers that the store lost with an older copy are used until they had time to register again")
{
    gateway_fleet fleet;
    auto const entries = fleet.entries();
    fleet.store("drop", {{"key", "servers/i-s-0"}});
    fleet.store("drop", {{"key", "servers/i-s-1"}});
    fleet.store("copy");
    fleet.register_backend("i-s-0", entries["i-s-0"]);
    fleet.start_gateway(1, "d1");
    CHECK(fleet.ask(1, "/r/a", "before").status == 200);
    return_to_copy(fleet);
    auto const until = clock::now() + 1500ms;
    for (int asked = 0; clock::now() < until; ++asked)
        CHECK(fleet.ask(1, "/r/a", "lost-" + std::to_string(asked)).status == 200);
    fleet.register_backend("i-s-0", entries["i-s-0"]);
    std::this_thread::sleep_for(2500ms);
    CHECK(fleet.ask(1, "/r/a", "again").status == 200);
}
