/** @file test_crashing_requests.cpp Requests that crash the backend servers that run them, with gateway processes. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
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

/** Time after the third crash within which all gateways must know of it; below the platform's shortest bound, 5 s. */
constexpr std::int64_t known_within_ms = 1500;

/** @return how many repetitions of the request for @p path reached backend servers after all gateways must have known
 *  that it crashes them. */
std::size_t late_repetitions(gateway_fleet& fleet, std::string const& path)
{
    std::vector<std::pair<std::int64_t, std::string>> arrivals;
    for (auto const& entry : fleet.journal()) {
        if (entry.at("line") == "GET " + path) arrivals.emplace_back(entry.at("at_ms"), entry.at("id"));
    }
    constexpr std::size_t crash_threshold = 3;
    if (arrivals.size() < crash_threshold) return 0;
    auto const known_at = arrivals[crash_threshold - 1].first + known_within_ms;
    std::set<std::string> late;
    for (auto const& [at_ms, id] : arrivals) {
        if (at_ms > known_at) late.insert(id);
    }
    return late.size();
}

/** Most repetitions that may reach backend servers late. */
constexpr std::size_t max_late_repetitions = 3;

/** Sends a request that crashes backend servers in the form @p form to three gateways in turn, for eight seconds.
 *  @return how many of its repetitions reached backend servers late. */
std::size_t late_repetitions_after(char const* form, std::string const& path)
{
    gateway_fleet fleet;
    for (int const number : {1, 2, 3})
        fleet.start_gateway(number);
    fleet.set_backend_behavior({{"crash_path", path}, {"crash_form", form}, {"down_ms", 300}});
    for (int i = 0; i < 16; ++i) {
        CHECK(fleet.send_request(1 + i % 3, path, "id-" + std::to_string(i)).status >= 500);
        std::this_thread::sleep_for(milliseconds(500));
    }
    return late_repetitions(fleet, path);
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

TEST_CASE("repetitions of a request under which backend servers reset their connections stay away from them")
{
    CHECK(late_repetitions_after("reset", "/r/deadly") <= max_late_repetitions);
    CHECK(late_repetitions_after("reset", "/q/deadly") <= max_late_repetitions);
}

TEST_CASE("repetitions of a request under which backend servers break off their responses stay away from them")
{
    for (char const* form : {"half_head", "half_body", "garbage"}) {
        CAPTURE(form);
        CHECK(late_repetitions_after(form, "/r/deadly") <= max_late_repetitions);
    }
    CHECK(late_repetitions_after("half_body", "/q/deadly") <= max_late_repetitions);
}

TEST_CASE("repetitions of a request that silences backend servers stay away from them")
{
    CHECK(late_repetitions_after("silence", "/r/deadly") <= max_late_repetitions);
}

TEST_CASE("a request that crashes backend servers is not tried by all gateways at once when the servers are back")
{
    gateway_fleet fleet;
    constexpr int gateways = 6;
    for (int number = 1; number <= gateways; ++number)
        fleet.start_gateway(number);
    std::string const path = "/r/deadly";
    fleet.set_backend_behavior({{"crash_path", path}, {"down_ms", 2000}, {"work_ms", 100}});
    std::vector<std::thread> callers;
    for (int number = 1; number <= gateways; ++number) {
        callers.emplace_back([&fleet, &path, number] {
            for (int i = 0; i < 60; ++i) {
                fleet.send_request(number, path, "id-" + std::to_string(number) + "-" + std::to_string(i));
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK(late_repetitions(fleet, path) <= max_late_repetitions);
}

TEST_CASE("a request that crashes backend servers is recognized whichever key of its customer it has")
{
    gateway_fleet fleet;
    json const keys{"k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"};
    fleet.configure(2, {"g0", "g1", "g2", "g3"}, {}, {{{"name", "school"}, {"api_keys", keys}}});
    for (int const number : {1, 2, 3})
        fleet.start_gateway(number);
    std::string const path = "/r/deadly";
    fleet.set_backend_behavior({{"crash_path", path}, {"down_ms", 300}});
    for (std::size_t i = 0; i < 16; ++i) {
        raw_connection connection(gateway_fleet::address(1 + static_cast<int>(i % 3), "frontend"));
        http_request request;
        request.path = path;
        request.headers = {{"Host", "h.example"},
                           {"Request-Id", "id-" + std::to_string(i)},
                           {"Deadline", "1500"},
                           {"Authorization", "Bearer " + keys.at(i % keys.size()).get<std::string>()}};
        connection.send(serialize(request));
        CHECK(connection.receive().value_or(http_response{}).status >= 500);
        std::this_thread::sleep_for(milliseconds(500));
    }
    CHECK(late_repetitions(fleet, path) <= max_late_repetitions);
}
