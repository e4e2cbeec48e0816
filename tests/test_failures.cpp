/** @file test_failures.cpp Guarantees of the entry node under failures: planned stops, store outages, rejected
 * requests. */
#include "deployment.hpp"

#include <csignal>
#include <future>

using namespace cornelspring;
using cornelspring::testing::deployment;

namespace {

/** Delay of each search at a slow backend server, long enough for a stop to happen while searches run. */
constexpr std::int64_t search_delay_ms = 3000;
/** Deadline of the queries in flight during a stop. */
constexpr std::int64_t long_deadline_ms = 20000;
/** Queries in flight during a stop. */
constexpr int in_flight = 4;
/** Slots of each backend server in the stop tests, enough that no search is shed while queries are in flight. */
constexpr int ample_slots = 16;

/** Sends @p count queries without waiting for the responses. @return futures of their results. */
std::vector<std::future<client_result>> send_queries(deployment& d, int count)
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

/** Checks that every result is a response to its own request with full coverage. */
void check_complete(std::vector<std::future<client_result>>& results)
{
    for (std::size_t i = 0; i < results.size(); ++i) {
        auto const result = results[i].get();
        CAPTURE(i);
        REQUIRE(result.outcome == send_outcome::answered);
        REQUIRE(result.response.status == 200);
        auto const response = parse_message<query_response>(result.response.body, "answer");
        CHECK(response.request_id == "stop-" + std::to_string(i));
        CHECK(response.coverage == doctest::Approx(1.0));
    }
}

} // namespace

TEST_CASE("an entry node finishes the queries in flight after SIGTERM and refers new callers to other entry nodes")
{
    deployment d(ample_slots);
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    for (auto port : d.backends)
        REQUIRE(d.set_fault(port, {{"delay_ms", search_delay_ms}, {"delay_probability", 1.0}}) == 200);
    auto results = send_queries(d, in_flight);
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // Time for the queries to reach the backend servers.
    auto stop_status = std::async(std::launch::async, [&d] { return d.processes.stop("entry", SIGTERM); });
    REQUIRE(d.wait_until_draining());
    auto const rejected = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
    CHECK(rejected.response.status == 503);
    CHECK_FALSE(rejected.response.header("retry-after").empty());
    auto const body = nlohmann::json::parse(rejected.response.body);
    CHECK(body["error"] == "not_run");
    CHECK(body.contains("entries"));
    check_complete(results);
    CHECK(stop_status.get() == 0);
}

TEST_CASE("an entry node finishes the writes in flight after SIGTERM, and each runs once")
{
    deployment d(ample_slots);
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    for (auto port : d.backends)
        REQUIRE(d.set_fault(port, {{"delay_ms", 1500}, {"delay_probability", 1.0}}) == 200);
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
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // Time for the writes to reach the backend servers.
    CHECK(d.processes.stop("entry", SIGTERM) == 0);
    for (auto& result : results) {
        auto const sent = result.get();
        REQUIRE(sent.outcome == send_outcome::answered);
        CHECK(sent.response.status == 200);
    }
    std::map<std::string, int> run_counts;
    for (auto port : d.backends) {
        http_request request;
        request.path = paths::journal;
        auto const result = d.stand_in_client.call({"127.0.0.1", port}, std::move(request), milliseconds(5000));
        auto const journal = nlohmann::json::parse(result.response.body);
        for (auto const& entry : journal["entries"]) {
            if (entry["write"] == true && entry["event"] == "ran") ++run_counts[entry["id"]];
        }
    }
    CHECK(run_counts.size() == in_flight);
    for (auto const& [key, count] : run_counts)
        CHECK(count == 1);
}

TEST_CASE("queries have full coverage while a backend server is paused by SIGSTOP, and after it continues")
{
    deployment d(ample_slots);
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    auto const send_query = [&d] {
        auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea","deadline_ms":4000})");
        REQUIRE(result.response.status == 200);
        CHECK(parse_message<query_response>(result.response.body, "answer").coverage == doctest::Approx(1.0));
    };
    d.processes.stop("b0", SIGSTOP);
    for (int i = 0; i < 10; ++i)
        send_query();
    d.processes.stop("b0", SIGCONT);
    for (int i = 0; i < 10; ++i)
        send_query();
}

TEST_CASE("a backend server finishes its searches after SIGTERM")
{
    deployment d(ample_slots);
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    // Only b0 is slow, so the queries wait for it when it is stopped.
    REQUIRE(d.set_fault(d.backends[0], {{"delay_ms", search_delay_ms}, {"delay_probability", 1.0}}) == 200);
    auto results = send_queries(d, 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(d.processes.stop("b0", SIGTERM) == 0);
    check_complete(results);
}

TEST_CASE("queries are served during a store outage, and later changes arrive")
{
    deployment d;
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    auto const before = d.entry_revision();
    REQUIRE(d.set_fault(d.store, {{"outage_ms", 2000}}) == 200);
    for (int i = 0; i < 5; ++i) {
        auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
        REQUIRE(result.response.status == 200);
        CHECK(parse_message<query_response>(result.response.body, "answer").coverage == doctest::Approx(1.0));
        CHECK(d.entry_revision() >= before);
    }
    // During the outage the write fails. After it, the write succeeds and reaches the entry node.
    std::ofstream(d.processes.path("route.toml"))
        << "[[route]]\nname = \"r\"\ncustomer = \"Rechtshilfe\"\nservice = \"svc\"\n";
    auto const until = std::chrono::steady_clock::now() + cornelspring::testing::convergence_timeout;
    std::string output;
    int status = -1;
    while (status != 0 && std::chrono::steady_clock::now() < until) {
        status = d.run_ctl({"apply", d.processes.path("route.toml")}, output);
        if (status != 0) std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    REQUIRE(status == 0);
    auto const applied = std::stoll(output.substr(output.rfind(' ') + 1));
    while (d.entry_revision() < applied && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(d.entry_revision() >= applied);
}

TEST_CASE("a query that is rejected as not run reached no backend server")
{
    deployment d;
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    for (auto const* name : {"b0", "b1", "b2"})
        d.processes.stop(name, SIGKILL);
    auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
    REQUIRE(result.outcome == send_outcome::answered);
    CHECK(result.response.status == 503);
    CHECK_FALSE(result.response.header("retry-after").empty());
    CHECK(nlohmann::json::parse(result.response.body)["error"] == "not_run");
}
