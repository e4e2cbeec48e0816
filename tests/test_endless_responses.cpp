/** @file test_endless_responses.cpp Backend servers that send bytes without an end, with gateway processes. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <array>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;

namespace {

/** Memory of the smallest VM of the users' platform. */
constexpr int vm_memory_mib = 160;

constexpr std::array modes{"endless_head", "endless_interim", "endless_body", "endless_bytes"};

} // namespace

TEST_CASE("a backend server that sends bytes without an end costs callers nothing")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    for (std::string const mode : modes) {
        CAPTURE(mode);
        for (char const* server : {"i-s-0", "i-g0-0", "i-g1-0"})
            fleet.set_backend_behavior({{"backend", server}, {"mode", mode}});
        for (int i = 0; i < 10; ++i) {
            CHECK(fleet.send_request(1, "/r/" + mode + std::to_string(i), mode + std::to_string(i)).status == 200);
            CHECK(fleet.send_request(1, "/q/" + mode + std::to_string(i), mode + "-q" + std::to_string(i)).status ==
                  200);
        }
        fleet.set_backend_behavior({{"mode", "ok"}});
    }
    CHECK(fleet.peak_memory_mib(1) < vm_memory_mib);
}

TEST_CASE("backend servers that all send bytes without an end do not exhaust the memory of a gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    for (std::string const mode : modes) {
        CAPTURE(mode);
        fleet.set_backend_behavior({{"mode", mode}});
        std::vector<std::thread> callers;
        for (int i = 0; i < 16; ++i) {
            callers.emplace_back([&fleet, &mode, i] {
                fleet.send_request(1, "/q/" + mode + std::to_string(i), mode + "-all-" + std::to_string(i));
            });
        }
        for (auto& caller : callers)
            caller.join();
        fleet.set_backend_behavior({{"mode", "ok"}});
        CHECK(within_ten_seconds([&] { return fleet.send_request(1, "/q/z", mode + "-after").status == 200; }));
    }
    CHECK(fleet.peak_memory_mib(1) < vm_memory_mib);
}
