/** @file test_dispatcher.cpp Processing of requests over their shards, without sockets or clocks. */
#include "dispatcher_fixture.hpp"

using namespace cornelspring;
using namespace std::chrono_literals;

TEST_CASE("dispatcher: a request without any configuration is rejected as not run")
{
    dispatcher_fixture fleet({}, nullptr);
    auto const key = fleet.start("/any/", "id1");
    CHECK(fleet.response_to(key).status == 503);
    // The configuration is usually available within 0.1 s. A caller with a time-out of 0.8 s retries after at most a
    // third of it.
    auto const seconds = std::stod(fleet.response_to(key).header("retry-after"));
    CHECK(seconds >= 0.1);
    CHECK(seconds <= 0.8 / 3);
}

TEST_CASE("dispatcher: Retry-After grows with the time without a configuration")
{
    dispatcher_fixture fleet({}, nullptr);
    auto const retry_after = [&fleet] {
        return std::stod(fleet.response_to(fleet.start("/any/", "id")).header("retry-after"));
    };
    CHECK(retry_after() <= 0.2);
    fleet.advance(std::chrono::milliseconds(500));
    auto const after_half_a_second = retry_after();
    CHECK(after_half_a_second >= 0.5);
    CHECK(after_half_a_second <= 1.0);
    fleet.advance(std::chrono::milliseconds(20000));
    auto const after_long = retry_after();
    CHECK(after_long >= 1.0);
    CHECK(after_long <= 2.0);
}

TEST_CASE("dispatcher: a request without a route gets 404 and is not sent")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/nowhere/", "id1");
    CHECK(fleet.response_to(key).status == 404);
    CHECK(fleet.sent.empty());
}

TEST_CASE("dispatcher: attempts carry the request unchanged, with the target, the caller's deadline and the request id")
{
    dispatcher_fixture fleet;
    fleet.start("/plain/x?y=1", "id1",
                {{"deadline", "800"}, {"x-own", "v"}, {"connection", "x-hop"}, {"x-hop", "1"}, {"target", "forged"}});
    REQUIRE(fleet.sent.size() == 1);
    auto const& bytes = fleet.sent[0].head;
    CHECK(bytes.starts_with("GET /plain/x?y=1 HTTP/1.1\r\n"));
    CHECK(bytes.find("request-id: id1\r\n") != std::string::npos);
    CHECK(bytes.find("x-own: v\r\n") != std::string::npos);
    CHECK(bytes.find("x-hop") == std::string::npos);
    CHECK(bytes.find("target: " + fleet.sent[0].target->registration.id.value() + "\r\n") != std::string::npos);
    CHECK(bytes.find("forged") == std::string::npos);
    CHECK(bytes.find("deadline") == std::string::npos); // Written from caller_deadline when the attempt is sent.
    CHECK(fleet.sent[0].caller_deadline == fleet.now + 800ms);
}

TEST_CASE("dispatcher: retry and final status for each outcome of an attempt")
{
    struct row {
        char const* path;
        attempt_status end;
        bool sent_again;
        int status; ///< Final status if every further attempt has the same outcome.
    };
    for (auto const& each :
         {row{"/plain/", attempt_status::lost, true, 502}, row{"/plain/", attempt_status::not_sent, true, 503},
          row{"/plain/", attempt_status::not_executed, true, 503},
          row{"/plain/", attempt_status::wrong_server, true, 503}, row{"/write/", attempt_status::lost, false, 502},
          row{"/write/", attempt_status::not_sent, true, 503}, row{"/write/", attempt_status::not_executed, true, 503},
          row{"/write/", attempt_status::wrong_server, true, 503}}) {
        CAPTURE(each.path);
        CAPTURE(to_string(each.end));
        dispatcher_fixture fleet;
        auto const key = fleet.start(each.path, "id1");
        REQUIRE(fleet.sent.size() == 1);
        fleet.finish_attempt(0, each.end);
        CHECK((fleet.sent.size() == 2) == each.sent_again);
        for (std::size_t i = 1; i < fleet.sent.size() && i < 20; ++i) {
            fleet.finish_attempt(i, each.end);
            fleet.advance(20ms);
        }
        CHECK(fleet.response_to(key).status == each.status);
        if (each.status == 503) CHECK(fleet.response_to(key).header("retry-after") != "");
    }
}

TEST_CASE("dispatcher: a non-idempotent request that ran never gets a status that says it did not run")
{
    for (int const status : {503, 429, 408, 421}) {
        dispatcher_fixture fleet;
        auto const key = fleet.start("/write/", "id1");
        fleet.respond(0, status, "body");
        CHECK(fleet.sent.size() == 1);
        CHECK(fleet.response_to(key).status == 502);
    }
}

// Guards against a retry on a connection where a late copy of the earlier attempt's response may still arrive.
TEST_CASE("dispatcher: an attempt names the connections of all earlier attempts of its request")
{
    for (char const* path : {"/plain/", "/write/"}) {
        CAPTURE(path);
        dispatcher_fixture fleet;
        fleet.start(path, "id1");
        for (std::uint64_t connection = 11; connection <= 13; ++connection) {
            attempt_result rejected{attempt_status::not_executed, {}, "test", connection_id(connection)};
            fleet.requests->on_result(fleet.sent.back().id, std::move(rejected), fleet.now);
            fleet.advance(20ms);
        }
        REQUIRE(fleet.sent.size() == 4);
        CHECK(fleet.sent[0].used_connections.empty());
        CHECK(fleet.sent[3].used_connections == std::vector{connection_id(11), connection_id(12), connection_id(13)});
    }
}

TEST_CASE("dispatcher: a success without a signature is not accepted as a response of the backend server")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/plain/", "id1");
    http_response forged;
    forged.status = 200;
    fleet.respond(0, forged);
    CHECK(fleet.sent.size() == 2);
    fleet.respond(1, 200, "whole");
    CHECK(fleet.response_to(key).status == 200);
    CHECK(fleet.response_to(key).body == "whole");
}

TEST_CASE("dispatcher: a merged response lists its signatures and the number of missing shards")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/", "id1");
    REQUIRE(fleet.sent.size() == 4);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.respond(i, 200, std::string(16, static_cast<char>('a' + i)));
    CHECK_FALSE(fleet.has_response(key));
    SUBCASE("complete")
    {
        fleet.respond(3, 200, std::string(16, 'z'));
        auto const& response = fleet.response_to(key);
        CHECK(response.status == 200);
        CHECK(response.header("missing") == "0");
        CHECK(response.body == std::string(16, 'z') + std::string(16, 'c'));
        CHECK(response.header("parts") == "sig-0, sig-1, sig-2, sig-3");
    }
    SUBCASE("a response with sufficient coverage is sent in time for the goal")
    {
        fleet.advance(188ms);
        CHECK_FALSE(fleet.has_response(key));
        fleet.advance(2ms); // goal 200 ms, margin 11 ms
        CHECK(fleet.response_to(key).header("missing") == "1");
    }
    SUBCASE("a shard that fails for good does not delay the response")
    {
        for (std::size_t i = 3; i < fleet.sent.size() && i < 20; ++i) {
            fleet.finish_attempt(i, attempt_status::not_sent);
            fleet.advance(16ms);
        }
        CHECK(fleet.response_to(key).header("missing") == "1");
    }
}

TEST_CASE("dispatcher: a query that can no longer reach its coverage fails immediately")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/", "id1");
    for (std::size_t i = 0; i < fleet.sent.size() && i < 40 && !fleet.has_response(key); ++i)
        fleet.finish_attempt(i, attempt_status::lost);
    CHECK(fleet.response_to(key).status == 502);
    CHECK(fleet.now < fleet.start_time + 100ms);
}

TEST_CASE("dispatcher: a query whose shards have no backend servers is rejected on arrival")
{
    dispatcher_fixture fleet;
    for (auto const& id : fleet.registry.ids()) {
        if (id.value().starts_with("g0") || id.value().starts_with("g1")) fleet.registry.remove(id, fleet.now);
    }
    auto const key = fleet.start("/gather/", "id1");
    CHECK(fleet.response_to(key).status == 503);
    CHECK(fleet.sent.empty());
}

TEST_CASE("dispatcher: a slow shard is hedged once, to the other replica, and the slower attempt is canceled")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/", "id1");
    for (std::size_t i = 0; i < 3; ++i)
        fleet.respond(i, 200, std::string(16, 'a'));
    fleet.advance(85ms); // 0.4 of the goal of 200 ms
    REQUIRE(fleet.sent.size() == 5);
    CHECK(fleet.sent[4].target != fleet.sent[3].target);
    fleet.advance(50ms);
    CHECK(fleet.sent.size() == 5);
    fleet.respond(4, 200, std::string(16, 'b'));
    CHECK(fleet.response_to(key).header("missing") == "0");
    fleet.advance(400ms);
    CHECK(fleet.canceled == std::set<std::uint64_t>{fleet.sent[3].id.value()});
    CHECK(fleet.sent[3].target->load.in_flight() == 0);
}

TEST_CASE("dispatcher: slow responses from other regions do not delay the hedges of near shards")
{
    dispatcher_fixture fleet;
    for (char const* replica : {"a", "b"})
        fleet.add_backend("far", replica, "elsewhere");
    fleet.configs.set_if_newer(fleet.config_of(2, {"g0", "far"}));
    for (int i = 0; i < 60; ++i) {
        auto const at = fleet.sent.size();
        fleet.start("/gather/", "id" + std::to_string(i));
        fleet.advance(5ms);
        fleet.respond(at, 200, std::string(16, 'a'));
        fleet.advance(45ms);
        fleet.respond(at + 1, 200, std::string(16, 'a'));
    }
    auto const at = fleet.sent.size();
    fleet.start("/gather/", "slow");
    fleet.advance(10ms);
    REQUIRE(fleet.sent.size() == at + 3);
    CHECK(fleet.sent[at + 2].target->registration.service == service_name("g0"));
}

TEST_CASE("dispatcher: the caller gets a response at the deadline")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/plain/", "id1", {{"deadline", "300"}});
    fleet.advance(270ms);
    CHECK_FALSE(fleet.has_response(key));
    fleet.advance(10ms);
    CHECK(fleet.response_to(key).status == 504);
}

TEST_CASE("dispatcher: all attempts are canceled when the caller disconnects")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/", "id1");
    fleet.requests->on_caller_disconnected(key, fleet.now);
    CHECK(fleet.canceled.size() == 4);
    CHECK_FALSE(fleet.has_response(key));
    CHECK(fleet.requests->open_requests() == 0);
}

TEST_CASE("dispatcher: the services of a traffic split get their exact shares")
{
    dispatcher_fixture fleet;
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        auto const at = fleet.sent.size();
        fleet.start("/split/", "id" + std::to_string(i));
        ++counts[fleet.sent[at].target->registration.service.value()];
        fleet.respond(at, 200, "x");
    }
    CHECK(counts["s"] == 75);
    CHECK(counts["t"] == 25);
}

TEST_CASE("dispatcher: a request keeps the configuration that it started with")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/", "id1");
    auto changed = fleet.config_of(2, {"t"});
    fleet.configs.set_if_newer(changed);
    for (std::size_t i = 0; i < 4; ++i)
        fleet.respond(i, 200, std::string(16, 'a'));
    CHECK(fleet.response_to(key).header("missing") == "0");
    fleet.start("/gather/", "id2");
    CHECK(fleet.sent.size() == 5);
}

TEST_CASE("dispatcher: the summary of a request lists its hedges with their inputs, and counts denied hedges")
{
    dispatcher_options options;
    options.budget = {0.0, 4.0, std::chrono::seconds(10)}; // One extra attempt per service: 0.75 * 4 / 3 VMs.
    dispatcher_fixture fleet(options);
    fleet.requests->set_vm_count(3);
    for (char const* id : {"id1", "id2"}) {
        auto const before = fleet.sent.size();
        fleet.start("/gather/x", id);
        for (std::size_t i = before + 1; i < before + 4; ++i)
            fleet.respond(i, 200, std::string(16, 'a'));
        fleet.advance(300ms);
    }
    REQUIRE(fleet.finished.size() == 2);
    auto const& first = fleet.finished[0];
    CHECK(first.hedges == 1);
    CHECK(first.extra_attempts.find("hedge:g0") == 0);
    CHECK(first.extra_attempts.find("budget=0") != std::string::npos);
    CHECK(first.extra_attempts.find("expected_ms=") != std::string::npos);
    auto const& second = fleet.finished[1];
    CHECK(second.hedges == 0);
    CHECK(second.hedges_denied > 0);
    CHECK(std::string(second.hedge_denied_reason) == "no_budget");
}
