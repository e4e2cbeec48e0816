/** @file test_broken_store.cpp A store or a peer gateway whose responses are broken, with gateway processes. */
#include "gateway_fixture.hpp"

#include <cornelspring/gateway.hpp>

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using nlohmann::json;

namespace {

/** Memory of the smallest VM of the users' platform. */
constexpr int vm_memory_mib = 160;
/** Longer than two calls with their back-off. */
constexpr milliseconds broken_for{1500};

/** @return a response with @p body. */
std::string response_with(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nstore-era: 1\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Responses that are not valid, or whose bodies are not what was asked for. */
std::vector<std::string> broken_responses()
{
    std::vector<std::string> responses{"HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}",
                                       "HTTP/1.1 200 OK\r\nx a: v\r\ncontent-length: 2\r\n\r\n{}",
                                       "HTTP/1.1 200 OK\r\nstore-era: 99999999999999999999\r\n\r\n", "\x16\x03\x01"};
    for (std::string const& body :
         {std::string(), std::string("abc"), std::string("[]"), std::string("null"), std::string("{}"),
          std::string(R"({"lease":"x","as_of":"x","items":"x","events":"x"})"),
          std::string(R"({"lease":1e300,"as_of":1e300,"items":[],"events":[],"ttl_ms":1e300})"),
          std::string(R"({"lease":99999999999999999999,"as_of":-1,"items":[],"more_pages":true})"),
          std::string(R"({"lease":1,"as_of":1,"items":[{"key":1}],"events":[{}]})"),
          std::string(R"({"lease":1,"as_of":1,"events":[{"key":"servers/a","value":"%","revision":1}]})"),
          std::string(100000, '['), std::string(50000, '[') + std::string(50000, ']')})
        responses.push_back(response_with(body));
    return responses;
}

/** Responses without an end: bytes sent once and bytes sent again and again. */
std::vector<std::pair<std::string, std::string>> const endless_responses{
    {"HTTP/1.1 200 OK\r\nx-fill: ", "a"},
    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "10\r\n[[[[[[[[[[[[[[[[\r\n"},
    {"HTTP/1.1 200 OK\r\n\r\n", "["},
    {"\x16\x03\x01", "a"}};

/** Checks that callers of gateway 1 get responses. */
void check_serving(gateway_fleet& fleet)
{
    static int number = 0;
    auto const tag = std::to_string(++number);
    CHECK(fleet.send_request(1, "/r/" + tag, "r" + tag).status == 200);
    CHECK(fleet.send_request(1, "/q/" + tag, "q" + tag).status == 200);
}

} // namespace

TEST_CASE("a store whose responses are broken does not end a gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    for (auto const& response : broken_responses()) {
        CAPTURE(response.substr(0, 120));
        fleet.break_store(response);
        std::this_thread::sleep_for(broken_for);
        check_serving(fleet);
    }
    fleet.replace_store(2);
    CHECK(within_ten_seconds([&] { return fleet.call_store("keys").contains("gateways/d1/gw-1"); }));
    check_serving(fleet);
}

TEST_CASE("a store whose responses have no end does not exhaust the memory of a gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    for (auto const& [start, repeated] : endless_responses) {
        CAPTURE(start);
        CAPTURE(repeated);
        fleet.break_store(start, repeated);
        std::this_thread::sleep_for(2 * broken_for);
        check_serving(fleet);
        CHECK(fleet.peak_memory_mib(1) < vm_memory_mib);
    }
    fleet.replace_store(2);
    CHECK(within_ten_seconds([&] { return fleet.call_store("keys").contains("gateways/d1/gw-1"); }));
    check_serving(fleet);
}

TEST_CASE("a gateway starts when the responses of the store are broken no longer")
{
    gateway_fleet fleet;
    for (auto const& response : {response_with("abc"), response_with(R"({"lease":"x"})")}) {
        fleet.break_store(response);
        fleet.start_gateway(1, "d1", false);
        std::this_thread::sleep_for(broken_for);
        fleet.replace_store(1);
        CHECK_NOTHROW(fleet.await_ready(1));
        CHECK(fleet.processes.stop("gw-1", SIGKILL) == 128 + SIGKILL);
    }
}

TEST_CASE("peer gateways whose responses are broken do not end a gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.start_gateway(2);
    int round = 0;
    auto const check_peers = [&](std::string const& response, std::string const& repeated) {
        CAPTURE(response.substr(0, 120));
        CAPTURE(repeated);
        auto const name = "peer-" + std::to_string(++round);
        auto const text = [](std::string const& value) { return json(value).dump(-1, ' ', true); };
        auto const port = fleet.processes.start(
            name, "cornel-stand-in",
            {"raw", "--set", "response=" + text(response), "--set", "repeated=" + text(repeated)});
        for (int i = 0; i < 4; ++i) {
            gateway_member member{gateway_fleet::address(1, "frontend"),
                                  {"127.0.0.1", port},
                                  domain_name("d1"),
                                  region_name("r-d1"),
                                  1,
                                  false,
                                  true};
            fleet.call_store("put", {{"key", "gateways/d1/peer-" + std::to_string(i)},
                                     {"value", json::parse(encode_member(member))}});
        }
        std::this_thread::sleep_for(broken_for);
        check_serving(fleet);
        fleet.processes.stop(name, SIGTERM);
    };
    for (auto const& response : broken_responses())
        check_peers(response, "");
    for (auto const& [start, repeated] : endless_responses)
        check_peers(start, repeated);
    for (int number : {1, 2})
        CHECK(fleet.peak_memory_mib(number) < vm_memory_mib);
}
