/** @file test_odd_entries.cpp Registrations of backend servers that another program wrote wrongly, with gateway
 *  processes. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace cornelspring::testing;
using nlohmann::json;

namespace {

/** Memory of the smallest VM of the users' platform. */
constexpr int vm_memory_mib = 160;

/** @return a list that is nested @p depth levels deep, as JSON text. */
std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/** @return wrong registrations, as the text in the store. */
std::vector<std::string> odd_entries()
{
    std::string const entry =
        R"({"service":"s","address":"127.0.0.1:9","zone":"d1","version":"v1","slots":2,"state":"ready",)"
        R"("warmup_left_ms":0,"seq":1,"born":0})";
    auto const with = [&entry](std::string const& field, std::string const& value) {
        auto const at = entry.find("\"" + field + "\":") + field.size() + 3;
        return entry.substr(0, at) + value + entry.substr(entry.find_first_of(",}", at));
    };
    std::vector<std::string> all{nested(400000),
                                 std::string(1048000, '['),
                                 R"({"a":)" + nested(400000) + "}",
                                 with("version", nested(400000)),
                                 with("service", nested(1000)),
                                 "\"\\ud800\"",
                                 "7"};
    for (char const* number : {"1e400", "-1e400", "1e308", "99999999999999999999", "18446744073709551615",
                               "9223372036854775808", "-9223372036854775809", "-1", "0.5", "1e-400"})
        for (char const* field : {"slots", "seq", "warmup_left_ms", "born"})
            all.push_back(with(field, number));
    for (char const* address : {"127.0.0.1:70000", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:0",
                                "127.0.0.1:", "127.0.0.1", ":80", "127.0.0.1:99999999999999999999", "127.0.0.1:80x",
                                "host:80", "[::1]:80", "[[::1:80", "127.0.0.1:1e3", "999.0.0.1:80", ""})
        all.push_back(with("address", "\"" + std::string(address) + "\""));
    all.push_back(with("address", "\"" + std::string(300000, 'a') + ":80\""));
    return all;
}

} // namespace

TEST_CASE("one odd entry among the backend servers neither ends the gateways nor stops them from following the list")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.start_gateway(2); // Follows the first.
    auto config = json::parse(fleet.call_store("keys")["op/config"].get<std::string>());
    int version = 1;
    auto const follows = [&](int number) {
        auto const path = "/n" + std::to_string(version) + "/a";
        return within_ten_seconds(
            [&] { return fleet.send_request(number, path, "n" + std::to_string(number)).status == 200; });
    };
    auto const entries = odd_entries();
    std::size_t const batch = 8;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        CAPTURE(entries[i].substr(0, 200));
        // One of the names is that of a backend server in use.
        auto const id = i % 2 == 0 ? std::string("i-s-0") : "odd-" + std::to_string(i);
        fleet.call_store("put", {{"key", "servers/" + id}, {"text", entries[i]}});
        if (i % batch != 0 && i + 1 < entries.size()) continue;
        auto added = config["routes"].back();
        added["name"] = added["prefix"] = "/n" + std::to_string(++version) + "/";
        added["route_type"] = "idempotent";
        config["routes"].push_back(added);
        config["version"] = version;
        fleet.call_store("put", {{"key", "op/config"}, {"value", config}});
        for (int number : {1, 2}) {
            CAPTURE(number);
            REQUIRE(follows(number));
            CHECK(fleet.send_request(number, "/q/a", "q").status == 200);
        }
    }
    // A gateway that starts now reads all of them at once.
    fleet.start_gateway(3);
    for (int number : {1, 2, 3}) {
        CHECK(follows(number));
        CHECK(fleet.peak_memory_mib(number) < vm_memory_mib);
    }
    fleet.register_backend("i-s-0", fleet.registrations()["i-s-0"]);
    CHECK(within_ten_seconds([&] {
        fleet.send_request(1, "/r/back", "back");
        return fleet.journal().back()["backend"] == "i-s-0";
    }));
}
