/** @file test_end_to_end.cpp Real processes on loopback: store, back ends, entry node and cornel-ctl. */
#include "process_fixture.hpp"

#include <cornelspring/protocol.hpp>

#include <csignal>
#include <fstream>
#include <thread>

#include <doctest/doctest.h>

using namespace cornelspring;
using cornelspring::testing::loopback;
using cornelspring::testing::process_group;

namespace {

/** Longest bounded wait for an entry node to reach a configuration revision. */
constexpr auto converge_wait = std::chrono::seconds(10);
/** Timeout of one HTTP call from the test. */
constexpr milliseconds call_timeout{5000};

/** A small deployment: one store, three back ends holding a 3-shard service twice over, one entry node. */
struct deployment {
    process_group group;
    http_client client;
    std::uint16_t store = 0;
    std::uint16_t entry = 0;
    std::vector<std::uint16_t> backends;

    deployment()
    {
        store = group.start("store", "cornel-store", {"--set", "listen.port=0"});
        std::vector<std::string> const holdings = {"[0,1]", "[1,2]", "[2,0]"};
        for (std::size_t i = 0; i < holdings.size(); ++i) {
            backends.push_back(
                group.start("b" + std::to_string(i), "cornel-backend",
                            {"--set", "name=\"b" + std::to_string(i) + "\"", "--set", "service=\"svc\"", "--set",
                             "shard_count=3", "--set", "shards=" + holdings[i], "--set", "corpus.max_documents=3000"}));
        }
        entry = group.start(
            "entry", "cornel-entry",
            {"--set", "id=\"e1\"", "--set", "listen.port=0", "--set", "store.address=\"" + loopback(store) + "\""});
    }

    /** @return the resource file for the service and its back ends. */
    std::string resources(std::int64_t version) const
    {
        std::string text = "[[service]]\nname = \"svc\"\ncustomer = \"Rechtshilfe\"\nshards = 3\nindex_version = " +
                           std::to_string(version) + "\n";
        std::vector<std::string> const holdings = {"[0,1]", "[1,2]", "[2,0]"};
        for (std::size_t i = 0; i < backends.size(); ++i) {
            text += "[[backend]]\nname = \"b" + std::to_string(i) + "\"\naddress = \"" + loopback(backends[i]) +
                    "\"\nservice = \"svc\"\nzone = \"Wien\"\nshards = " + holdings[i] + "\n";
        }
        return text;
    }

    /** Runs cornel-ctl against the store. @return exit status; @p output gets stdout. */
    int ctl(std::vector<std::string> args, std::string& output)
    {
        args.insert(args.begin(), {"--set", "store.address=\"" + loopback(store) + "\""});
        return group.run("cornel-ctl", args, output);
    }

    /** Writes @p text to a file of the run and applies it. @return ctl's exit status. */
    int apply(std::string const& text)
    {
        std::string const file = group.path("resources.toml");
        std::ofstream(file) << text;
        std::string output;
        return ctl({"apply", file}, output);
    }

    /** @return the result of a request to the entry node. */
    client_result send(std::string const& method, std::string const& path, std::string const& body)
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        if (!body.empty()) request.headers.push_back({"content-type", "application/json"});
        return client.call({"127.0.0.1", entry}, std::move(request), call_timeout);
    }

    /** @return the entry node's configuration revision from /healthz. */
    std::int64_t entry_revision()
    {
        auto const result = send("GET", paths::health, "");
        if (result.outcome != send_outcome::answered) return -1;
        return nlohmann::json::parse(result.response.body).value("config_revision", std::int64_t{-1});
    }

    /** Waits (bounded) until the entry node has every back end and the service. */
    void wait_for_backends(std::size_t count)
    {
        auto const until = std::chrono::steady_clock::now() + converge_wait;
        while (std::chrono::steady_clock::now() < until) {
            auto const result = send("POST", paths::query, R"({"service":"svc","query":"sea"})");
            if (result.response.status == 200 && nlohmann::json::parse(result.response.body)["coverage"] == 1.0 &&
                count > 0) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        FAIL("the entry node did not converge within 10 s");
    }
};

} // namespace

TEST_CASE("a query is answered from every shard at one index version")
{
    deployment d;
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_for_backends(3);
    auto const result =
        d.send("POST", paths::query, R"({"service":"svc","query":"love and war","k":5,"request_id":"r-1"})");
    REQUIRE(result.outcome == send_outcome::answered);
    REQUIRE(result.response.status == 200);
    auto const answer = parse_message<query_answer>(result.response.body, "answer");
    CHECK(answer.request_id == "r-1");
    CHECK(answer.index_version == 1);
    CHECK(answer.shards_total == 3);
    CHECK(answer.shards_answered == 3);
    CHECK(answer.coverage == doctest::Approx(1.0));
    CHECK(answer.hits.size() == 5);
    for (std::size_t i = 1; i < answer.hits.size(); ++i)
        CHECK(answer.hits[i - 1].score >= answer.hits[i].score);
}

TEST_CASE("bad input gets a typed error and changes no state")
{
    deployment d;
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_for_backends(3);
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
    for (auto const& item : cases) {
        CAPTURE(std::string(item.body).substr(0, 60));
        auto const result = d.send("POST", paths::query, item.body);
        REQUIRE(result.outcome == send_outcome::answered);
        CHECK(result.response.status == item.status);
        auto const body = nlohmann::json::parse(result.response.body, nullptr, false);
        REQUIRE(body.is_object());
        CHECK(body.value("error", "") == item.kind);
        CHECK_FALSE(body.value("remedy", "").empty());
    }
    std::string output;
    std::ofstream(d.group.path("bad.toml")) << "[[service]]\nname = \"x\"\nshards = 0\n";
    CHECK(d.ctl({"apply", d.group.path("bad.toml")}, output) != 0);
    CHECK(d.entry_revision() == before);
}

TEST_CASE("cornel-ctl refuses a write made against a stale revision")
{
    deployment d;
    REQUIRE(d.apply(d.resources(1)) == 0);
    std::string listing;
    REQUIRE(d.ctl({"get", "service", "svc"}, listing) == 0);
    auto const stale = nlohmann::json::parse(listing)["revision"].get<std::int64_t>();
    REQUIRE(d.apply(d.resources(1)) == 0); // another operator writes in between
    std::string const racing = "[[service]]\nname = \"svc\"\nshards = 3\nrevision = " + std::to_string(stale) + "\n";
    CHECK(d.apply(racing) == 3); // conflict
    std::string after;
    REQUIRE(d.ctl({"get", "service", "svc"}, after) == 0);
    CHECK(nlohmann::json::parse(after)["spec"]["customer"] == "Rechtshilfe");
}

TEST_CASE("a killed replica's shards are retried on the other replica")
{
    deployment d;
    REQUIRE(d.apply(d.resources(1)) == 0);
    d.wait_for_backends(3);
    d.group.stop("b0", SIGKILL);
    for (int i = 0; i < 5; ++i) {
        auto const result = d.send("POST", paths::query, R"({"service":"svc","query":"sea"})");
        REQUIRE(result.response.status == 200);
        CHECK(parse_message<query_answer>(result.response.body, "answer").coverage == doctest::Approx(1.0));
    }
}

TEST_CASE("the entry list names the entry node and how long to keep it")
{
    deployment d;
    auto const until = std::chrono::steady_clock::now() + converge_wait;
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
