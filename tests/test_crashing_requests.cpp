/** @file test_crashing_requests.cpp Requests that crash the backend servers that run them, with real processes. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <sstream>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using nlohmann::json;

namespace {

/** A query that crashes every backend server that runs it. */
constexpr char const* deadly_path = "/q/deadly";

/** @return the log lines of gateway @p number about request @p id. */
std::vector<json> log_lines(gateway_fleet const& fleet, int number, std::string const& id)
{
    std::vector<json> found;
    std::istringstream log(read_file(fleet.processes.path("gw-" + std::to_string(number) + ".log")));
    for (std::string line; std::getline(log, line);) {
        auto const fields = json::parse(line, nullptr, false);
        if (fields.is_object() && fields.value("event", "") == "request" && fields.value("id", "") == id)
            found.push_back(fields);
    }
    return found;
}

} // namespace

TEST_CASE("the log tells under which request servers closed their connections, and that another one is the same")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.behave({{"crash_path", deadly_path}, {"down_ms", 300}});
    CHECK(fleet.ask(1, deadly_path, "first").status >= 500);
    std::this_thread::sleep_for(milliseconds(700));
    CHECK(fleet.ask(1, deadly_path, "second").status >= 500);
    std::vector<json> lines;
    REQUIRE(within_ten_seconds([&] { return !(lines = log_lines(fleet, 1, "second")).empty(); }));
    auto const first = log_lines(fleet, 1, "first").at(0);
    CHECK(first.at("disconnects").get<int>() >= 1);
    CHECK(first.at("answered") == 0);
    CHECK(first.at("caller") == "127.0.0.1");
    CHECK(first.at("line") == "GET h.example/q/deadly");
    CHECK(first.at("digest") == lines.at(0).at("digest"));
}
