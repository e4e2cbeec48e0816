/** @file test_gateway_placement.cpp Home regions and evacuations, with gateways, a store and backend servers as
 * processes. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** @return the number of requests in the journal, starting at index @p from, that reached backend servers in failure
 *  domain @p domain. */
int requests_in_domain(gateway_fleet& fleet, std::size_t from, std::string const& domain)
{
    auto const entries = fleet.registrations();
    auto const journal = fleet.journal();
    int found = 0;
    for (std::size_t i = from; i < journal.size(); ++i)
        found += entries[journal[i]["backend"].get<std::string>()]["zone"] == domain ? 1 : 0;
    return found;
}

/** Sends five queries and five single requests to gateway @p gateway. @return how many succeeded. */
int send_ten(gateway_fleet& fleet, int gateway, std::string const& id_prefix)
{
    int succeeded = 0;
    for (int i = 0; i < 5; ++i) {
        succeeded += fleet.send_request(gateway, "/q/x", id_prefix + "q" + std::to_string(i)).status == 200 ? 1 : 0;
        succeeded += fleet.send_request(gateway, "/r/x", id_prefix + "r" + std::to_string(i)).status == 200 ? 1 : 0;
    }
    return succeeded;
}

} // namespace

TEST_CASE("an evacuated failure domain gets no requests until the evacuation is removed, also from a new gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    CHECK(send_ten(fleet, 1, "a") == 10);
    CHECK(requests_in_domain(fleet, 0, "d1") > 0);
    fleet.call_store("put", {{"key", "op/evacuate/d1"}, {"value", json::object()}});
    std::this_thread::sleep_for(500ms);
    auto const evacuated = fleet.journal().size();
    CHECK(send_ten(fleet, 1, "b") == 10);
    fleet.start_gateway(2, "d1");
    CHECK(send_ten(fleet, 2, "c") == 10);
    CHECK(requests_in_domain(fleet, evacuated, "d1") == 0);
    fleet.call_store("drop", {{"key", "op/evacuate/d1"}});
    CHECK(within_ten_seconds([&] {
        auto const from = fleet.journal().size();
        send_ten(fleet, 1, "d");
        return requests_in_domain(fleet, from, "d1") > 0;
    }));
}

TEST_CASE("a route with home regions is served only there, also during a store outage")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1");
    fleet.configure(2, {"g0", "g1", "g2", "g3"}, {"r-d2"});
    std::this_thread::sleep_for(500ms);
    auto const from = fleet.journal().size();
    CHECK(send_ten(fleet, 1, "a") == 10);
    fleet.call_store("fault", {{"mode", "silent"}});
    CHECK(send_ten(fleet, 1, "b") == 10);
    CHECK(requests_in_domain(fleet, from, "d1") == 0);
    CHECK(requests_in_domain(fleet, from, "d2") > 0);
}
