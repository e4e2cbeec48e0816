/** @file test_end_to_end.cpp Store, backend servers, entry node and cornel-ctl as processes on loopback. */
#include "deployment.hpp"

#include <cornelspring/protocol.hpp>

#include <csignal>
#include <fstream>
#include <thread>

#include <doctest/doctest.h>

using namespace cornelspring;
using cornelspring::testing::convergence_timeout;
using cornelspring::testing::deployment;
using cornelspring::testing::loopback;

TEST_CASE("a query gets a response from every shard at one index version")
{
    deployment d;
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    auto const result =
        d.send("POST", paths::query, R"({"service":"svc","query":"love and war","k":5,"request_id":"r-1"})");
    REQUIRE(result.outcome == send_outcome::answered);
    REQUIRE(result.response.status == 200);
    auto const response = parse_message<query_response>(result.response.body, "answer");
    CHECK(response.request_id == "r-1");
    CHECK(response.index_version == 1);
    CHECK(response.shards_total == 3);
    CHECK(response.shards_answered == 3);
    CHECK(response.coverage == doctest::Approx(1.0));
    CHECK(response.hits.size() == 5);
    for (std::size_t i = 1; i < response.hits.size(); ++i)
        CHECK(response.hits[i - 1].score >= response.hits[i].score);
}

TEST_CASE("bad input gets a typed error and changes no state")
{
    deployment d;
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    auto const before = d.entry_revision();
    struct fault_case {
        char const* body;
        int status;
        char const* kind;
    };
    std::string const oversized = R"({"service":"svc","query":")" + std::string(70000, 'a') + R"("})";
    fault_case const cases[] = {
        {"{not json", 400, "bad_request"},
        {R"({"service":"nosuch","query":"sea"})", 404, "not_found"},
        {R"({"service":"svc","query":"sea","deadline_ms":-5})", 400, "bad_request"},
        {R"({"service":"svc","query":"sea","deadline_ms":999999999})", 400, "bad_request"},
        {R"({"service":"svc","query":"sea","k":0})", 400, "bad_request"},
        {R"({"service":"svc","query":"   "})", 400, "bad_request"},
        {R"({"service":"svc","query":"sea","colour":"red"})", 400, "bad_request"},
        {oversized.c_str(), 413, "too_large"},
    };
    for (auto const& each : cases) {
        CAPTURE(std::string(each.body).substr(0, 60));
        auto const result = d.send("POST", paths::query, each.body);
        REQUIRE(result.outcome == send_outcome::answered);
        CHECK(result.response.status == each.status);
        auto const body = nlohmann::json::parse(result.response.body, nullptr, false);
        REQUIRE(body.is_object());
        CHECK(body.value("error", "") == each.kind);
        CHECK_FALSE(body.value("remedy", "").empty());
    }
    std::string output;
    std::ofstream(d.processes.path("bad.toml")) << "[[service]]\nname = \"x\"\nshards = 0\n";
    CHECK(d.run_ctl({"apply", d.processes.path("bad.toml")}, output) != 0);
    CHECK(d.entry_revision() == before);
}

TEST_CASE("cornel-ctl rejects a write against a stale revision")
{
    deployment d;
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    std::string listing;
    REQUIRE(d.run_ctl({"get", "service", "svc"}, listing) == 0);
    auto const stale = nlohmann::json::parse(listing)["revision"].get<std::int64_t>();
    REQUIRE(d.apply_resources(d.resources(1)) == 0); // Another operator writes in between.
    std::string const racing = "[[service]]\nname = \"svc\"\nshards = 3\nrevision = " + std::to_string(stale) + "\n";
    CHECK(d.apply_resources(racing) == 3); // Exit status for a conflict.
    std::string after;
    REQUIRE(d.run_ctl({"get", "service", "svc"}, after) == 0);
    CHECK(nlohmann::json::parse(after)["spec"]["customer"] == "Rechtshilfe");
}

TEST_CASE("a killed replica's shards are retried on the other replica")
{
    deployment d;
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    d.processes.stop("b0", SIGKILL);
    for (int i = 0; i < 5; ++i) {
        auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
        REQUIRE(result.response.status == 200);
        CHECK(parse_message<query_response>(result.response.body, "answer").coverage == doctest::Approx(1.0));
    }
}

TEST_CASE("the entry list has the entry node and how long callers may use it")
{
    deployment d;
    auto const until = std::chrono::steady_clock::now() + convergence_timeout;
    entry_list list;
    while (std::chrono::steady_clock::now() < until && list.addresses.empty()) {
        auto const result = d.send("GET", paths::entries, "");
        if (result.response.status == 200) list = parse_message<entry_list>(result.response.body, "entries");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    REQUIRE(list.addresses.size() == 1);
    CHECK(list.addresses.front() == loopback(d.entry));
    CHECK(list.ttl_s > 0);
}
