/** @file test_failures.cpp Promises under failure: planned stops, store outages, "not run". */
#include "deployment.hpp"

#include <csignal>
#include <future>

using namespace cornelspring;
using cornelspring::testing::deployment;

namespace {

/** Time a straggling back end holds each search: long enough that a stop happens while searches run. */
constexpr std::int64_t straggle_ms = 3000;
/** Deadline of the queries in flight during a stop. */
constexpr std::int64_t long_deadline_ms = 20000;
/** Queries in flight during a stop. */
constexpr int in_flight = 4;
/** Slots of each back end in the stop tests: enough that no search is shed while queries are in flight. */
constexpr int roomy_slots = 16;

/** Sends @p count queries without waiting; @return futures of their results. */
std::vector<std::future<client_result>> send_many(deployment& d, int count)
{
    std::vector<std::future<client_result>> results;
    for (int i = 0; i < count; ++i) {
        auto promise = std::make_shared<std::promise<client_result>>();
        results.push_back(promise->get_future());
        http_request request;
        request.method = "POST";
        request.path = paths::query;
        request.body = nlohmann::json{{"service", "svc"},
                                      {"query", "sea"},
                                      {"deadline_ms", long_deadline_ms},
                                      {"request_id", "stop-" + std::to_string(i)}}
                           .dump();
        d.client.submit({"127.0.0.1", d.entry}, std::move(request), milliseconds(long_deadline_ms + 5000),
                        [promise](client_result result) { promise->set_value(std::move(result)); });
    }
    return results;
}

/** Checks that every result is a whole answer to its own request. */
void check_whole(std::vector<std::future<client_result>>& results)
{
    for (std::size_t i = 0; i < results.size(); ++i) {
        auto const result = results[i].get();
        CAPTURE(i);
        REQUIRE(result.outcome == send_outcome::answered);
        REQUIRE(result.response.status == 200);
        auto const answer = parse_message<query_response>(result.response.body, "answer");
        CHECK(answer.request_id == "stop-" + std::to_string(i));
        CHECK(answer.coverage == doctest::Approx(1.0));
    }
}

} // namespace

TEST_CASE("SIGTERM on an entry node finishes the queries in flight and sends new callers elsewhere")
{
    deployment d(roomy_slots);
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_until_whole();
    for (auto port : d.backends)
        REQUIRE(d.fault(port, {{"delay_ms", straggle_ms}, {"delay_probability", 1.0}}) == 200);
    auto results = send_many(d, in_flight);
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // let the queries reach the back ends
    auto stopped = std::async(std::launch::async, [&d] { return d.group.stop("entry", SIGTERM); });
    REQUIRE(d.wait_until_draining());
    auto const refused = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
    CHECK(refused.response.status == 503);
    CHECK_FALSE(refused.response.header("retry-after").empty());
    auto const body = nlohmann::json::parse(refused.response.body);
    CHECK(body["error"] == "not_run");
    CHECK(body.contains("entries"));
    check_whole(results);
    CHECK(stopped.get() == 0);
}

TEST_CASE("SIGTERM on an entry node finishes the writes in flight, and each ran once")
{
    deployment d(roomy_slots);
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_until_whole();
    for (auto port : d.backends)
        REQUIRE(d.fault(port, {{"delay_ms", 1500}, {"delay_probability", 1.0}}) == 200);
    std::vector<std::future<client_result>> results;
    for (int i = 0; i < in_flight; ++i) {
        results.push_back(std::async(std::launch::async, [&d, i] {
            http_client caller;
            http_request request;
            request.method = "POST";
            request.path = paths::writes;
            request.body =
                nlohmann::json(write_request{"svc", "w" + std::to_string(i), "course", "seat", long_deadline_ms})
                    .dump();
            return caller.call({"127.0.0.1", d.entry}, std::move(request), milliseconds(long_deadline_ms));
        }));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // let the writes reach the back ends
    CHECK(d.group.stop("entry", SIGTERM) == 0);
    for (auto& result : results) {
        auto const reply = result.get();
        REQUIRE(reply.outcome == send_outcome::answered);
        CHECK(reply.response.status == 200);
    }
    std::map<std::string, int> runs;
    for (auto port : d.backends) {
        http_request request;
        request.path = paths::journal;
        auto const reply = d.peers.call({"127.0.0.1", port}, std::move(request), milliseconds(5000));
        auto const journal = nlohmann::json::parse(reply.response.body);
        for (auto const& entry : journal["entries"]) {
            if (entry["write"] == true && entry["event"] == "ran") ++runs[entry["id"]];
        }
    }
    CHECK(runs.size() == in_flight);
    for (auto const& [key, count] : runs)
        CHECK(count == 1);
}

TEST_CASE("queries stay whole while a back end is frozen by SIGSTOP, and after it wakes")
{
    deployment d(roomy_slots);
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_until_whole();
    auto const ask = [&d] {
        auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea","deadline_ms":4000})");
        REQUIRE(result.response.status == 200);
        CHECK(parse_message<query_response>(result.response.body, "answer").coverage == doctest::Approx(1.0));
    };
    d.group.stop("b0", SIGSTOP);
    for (int i = 0; i < 10; ++i)
        ask();
    d.group.stop("b0", SIGCONT);
    for (int i = 0; i < 10; ++i)
        ask();
}

TEST_CASE("SIGTERM on a back end finishes the searches it holds")
{
    deployment d(roomy_slots);
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_until_whole();
    // Only b0 straggles, so the queries wait on it while it is told to stop.
    REQUIRE(d.fault(d.backends[0], {{"delay_ms", straggle_ms}, {"delay_probability", 1.0}}) == 200);
    auto results = send_many(d, 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(d.group.stop("b0", SIGTERM) == 0);
    check_whole(results);
}

TEST_CASE("queries are served through a store outage and later changes still arrive")
{
    deployment d;
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_until_whole();
    auto const before = d.entry_revision();
    REQUIRE(d.fault(d.store, {{"outage_ms", 2000}}) == 200);
    for (int i = 0; i < 5; ++i) {
        auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
        REQUIRE(result.response.status == 200);
        CHECK(parse_message<query_response>(result.response.body, "answer").coverage == doctest::Approx(1.0));
        CHECK(d.entry_revision() >= before);
    }
    // During the outage the write is refused; once it ends, it goes through and reaches the entry node.
    std::ofstream(d.group.path("route.toml"))
        << "[[route]]\nname = \"r\"\ncustomer = \"Rechtshilfe\"\nservice = \"svc\"\n";
    auto const until = std::chrono::steady_clock::now() + cornelspring::testing::converge_wait;
    std::string output;
    int status = -1;
    while (status != 0 && std::chrono::steady_clock::now() < until) {
        status = d.ctl({"apply", d.group.path("route.toml")}, output);
        if (status != 0) std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    REQUIRE(status == 0);
    auto const applied = std::stoll(output.substr(output.rfind(' ') + 1));
    while (d.entry_revision() < applied && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(d.entry_revision() >= applied);
}

TEST_CASE("a query refused as not run reached no back end")
{
    deployment d;
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_until_whole();
    for (auto const* name : {"b0", "b1", "b2"})
        d.group.stop(name, SIGKILL);
    auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
    REQUIRE(result.outcome == send_outcome::answered);
    CHECK(result.response.status == 503);
    CHECK_FALSE(result.response.header("retry-after").empty());
    CHECK(nlohmann::json::parse(result.response.body)["error"] == "not_run");
}
