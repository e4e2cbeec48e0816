/** @file test_crashing_requests.cpp Requests that crash the backend servers that run them, with gateway processes. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using nlohmann::json;

namespace {

/** Path of a query that crashes every backend server that runs it. */
constexpr char const* crashing_path = "/q/deadly";

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

/** @return how many backend servers the crashing query reached, by the caller's request id. */
std::map<std::string, int> arrivals_by_id(gateway_fleet& fleet)
{
    std::map<std::string, int> count;
    for (auto const& entry : fleet.journal()) {
        if (entry.at("line") == std::string("GET ") + crashing_path) ++count[entry.at("id").get<std::string>()];
    }
    return count;
}

/** @return how many ids in @p count start with @p prefix. */
int ids_with_prefix(std::map<std::string, int> const& count, std::string const& prefix)
{
    return static_cast<int>(
        std::count_if(count.begin(), count.end(), [&](auto const& each) { return each.first.starts_with(prefix); }));
}

} // namespace

TEST_CASE("the log shows which request servers closed their connections under, and an equal digest for its repetition")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior({{"crash_path", crashing_path}, {"down_ms", 300}});
    CHECK(fleet.send_request(1, crashing_path, "first").status >= 500);
    std::this_thread::sleep_for(milliseconds(700));
    CHECK(fleet.send_request(1, crashing_path, "second").status >= 500);
    std::vector<json> lines;
    REQUIRE(within_ten_seconds([&] { return !(lines = log_lines(fleet, 1, "second")).empty(); }));
    auto const first = log_lines(fleet, 1, "first").at(0);
    CHECK(first.at("disconnects").get<int>() >= 1);
    CHECK(first.at("answered") == 0);
    CHECK(first.at("caller") == "127.0.0.1");
    CHECK(first.at("line") == "GET h.example/q/deadly");
    CHECK(first.at("digest") == lines.at(0).at("digest"));
}

TEST_CASE("the log and the metrics show how backend servers end the connections of a request, and its digest")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior({{"crash_path", "/r/deadly"}, {"crash_form", "reset"}, {"down_ms", 300}});
    CHECK(fleet.send_request(1, "/r/deadly", "reset").status >= 500);
    std::vector<json> lines;
    REQUIRE(within_ten_seconds([&] { return !(lines = log_lines(fleet, 1, "reset")).empty(); }));
    CHECK(lines.at(0).at("unanswered").get<int>() >= 1);
    CHECK(lines.at(0).at("failures").get<std::string>().find("reset without a response") != std::string::npos);
    CHECK(lines.at(0).at("line") == "GET h.example/r/deadly");
    CHECK(lines.at(0).at("digest").get<std::string>().size() == 32);
    auto const metrics = gateway_fleet::get({gateway_fleet::address(1, "ready").host, 9464}, "/metrics").body;
    CHECK(metrics.find("cornel_gateway_unanswered_attempts_total{how=\"reset without a response\"}") !=
          std::string::npos);
}

/*
 * Guards against an outage of a whole service: for most of a minute no query over shards got a response, because all
 * backend servers of the service were down.
 * A query crashed every server that started to run it. At first it crashed 38 of 40 within 0.1 s, since each gateway
 * retries a shard at a second server when the first is lost. The servers were back after three seconds, the same caller
 * repeated the query at another gateway, and all crashed again; servers started 451 times that day.
 * An attempt during which a server closed the connection counted only against the server. Nothing was recorded about
 * the request: neither for the other shards of the same query, nor for its repetitions, nor for other gateways.
 * The log line of the first query of such a wave showed 19 closed connections, no response and 38 servers with an
 * attempt; other queries at that time lost one shard and got responses from the rest. Before requests were
 * quarantined, 9 of 9 repetitions in this test reached a server.
 */
TEST_CASE("a query that crashes backend servers becomes known to all gateways, which then reject it")
{
    gateway_fleet fleet;
    for (int const number : {1, 2, 3})
        fleet.start_gateway(number);
    fleet.set_backend_behavior({{"crash_path", crashing_path}, {"down_ms", 300}});
    auto const wait_for_server_restarts = [] { std::this_thread::sleep_for(milliseconds(600)); };

    CHECK(fleet.send_request(1, crashing_path, "first").status == 502);
    wait_for_server_restarts();
    // At most three repetitions may reach a server, over all gateways.
    for (int round = 0; round < 3; ++round) {
        for (int const number : {1, 2, 3}) {
            auto const repetition = round * 3 + number;
            // The caller may use another address each time. A request is recognized by its contents only.
            auto const from = "127.0.0." + std::to_string(10 + repetition);
            auto const id = "again-" + std::to_string(repetition);
            CHECK(fleet.send_request(number, crashing_path, id, "GET", "", from).status >= 500);
            wait_for_server_restarts();
        }
    }
    CHECK(ids_with_prefix(arrivals_by_id(fleet), "again-") <= 3);

    // A gateway that starts now never received this query itself.
    fleet.start_gateway(4);
    auto const rejected = fleet.send_request(4, crashing_path, "late");
    CHECK(rejected.status == 503); // The status promises that the request did not run.
    CHECK(rejected.header("retry-after") != "");
    CHECK(ids_with_prefix(arrivals_by_id(fleet), "late") == 0);
    CHECK(fleet.send_request(4, "/q/harmless", "other").status == 200);
}

TEST_CASE("a query that crashes backend servers is not retried at the other servers of its shards")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior({{"crash_path", crashing_path}, {"work_ms", 30}, {"down_ms", 300}});
    CHECK(fleet.send_request(1, crashing_path, "first").status == 502);
    // Four shards with two servers each: one attempt per shard, and at most one more to confirm the crash.
    CHECK(arrivals_by_id(fleet)["first"] <= 5);
}
