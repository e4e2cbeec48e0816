/** @file test_crash_suspects.cpp Requests that may crash backend servers: attempts one at a time, trials, quarantine.
 */
#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** @return the number of attempts from index @p from on that were not canceled. */
std::size_t not_canceled(dispatcher_fixture const& fleet, std::size_t from)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.sent.begin() + static_cast<std::ptrdiff_t>(from), fleet.sent.end(),
                      [&](outgoing_attempt const& attempt) { return !fleet.canceled.contains(attempt.id.value()); }));
}

/** Crashes every backend server that runs the request, until a response is sent. */
void crash_all(dispatcher_fixture& fleet, request_key key, std::size_t from,
               attempt_status form = attempt_status::disconnected)
{
    for (auto i = from; i < fleet.sent.size() && !fleet.has_response(key); ++i) {
        if (!fleet.canceled.contains(fleet.sent[i].id.value())) fleet.finish_attempt(i, form);
        fleet.advance(20ms);
    }
}

} // namespace

TEST_CASE(
    "crash suspects: a query that crashes backend servers is retried at one server, not at a replica of each shard")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/x", "id1");
    REQUIRE(fleet.sent.size() == 4);
    fleet.finish_attempt(0, attempt_status::disconnected);
    CHECK(fleet.sent.size() == 4); // The three other attempts show soon whether the query is the cause.
    fleet.finish_attempt(1, attempt_status::disconnected);
    CHECK(fleet.canceled.size() == 2);
    REQUIRE(fleet.sent.size() == 5);
    fleet.finish_attempt(4, attempt_status::disconnected);
    CHECK(fleet.response_to(key).status == 502);
    CHECK(fleet.sent.size() == 5);
    CHECK(fleet.finished.back().reason == std::string("crashed_servers"));

    // The same query is rejected immediately, without being run, until the quarantine ends. Another query is not.
    // The digest does not depend on the caller's address, which backend servers do not receive.
    fleet.caller = caller_address("192.0.2.7");
    auto const again = fleet.start("/gather/x", "id2");
    CHECK(fleet.response_to(again).status == 503);
    CHECK(std::stod(fleet.response_to(again).header("retry-after")) == 60);
    CHECK(fleet.sent.size() == 5);
    fleet.start("/gather/y", "id3");
    CHECK(fleet.sent.size() == 9);
}

TEST_CASE("crash suspects: a query that does not cause crashes gets a complete response from the remaining servers")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/x", "id1");
    fleet.finish_attempt(0, attempt_status::disconnected);
    SUBCASE("after one crash, as soon as another shard has responded") { fleet.respond(1, 200, std::string(16, 'a')); }
    SUBCASE("after two crashes, as soon as one server has responded")
    {
        fleet.finish_attempt(1, attempt_status::disconnected);
        REQUIRE(fleet.sent.size() == 5);
        fleet.respond(4, 200, std::string(16, 'a'));
    }
    for (std::size_t i = 2; i < fleet.sent.size(); ++i) {
        if (!fleet.canceled.contains(fleet.sent[i].id.value())) fleet.respond(i, 200, std::string(16, 'a'));
    }
    CHECK(fleet.response_to(key).status == 200);
    CHECK(fleet.response_to(key).header("missing") == "0");
    CHECK(fleet.quarantine.status(fleet.finished.back().digest, fleet.now) == quarantine_status::clear);
}

TEST_CASE("crash suspects: slow shards are hedged again once another shard has responded")
{
    dispatcher_fixture fleet;
    fleet.start("/gather/x", "id1");
    fleet.finish_attempt(0, attempt_status::disconnected);
    fleet.advance(150ms);
    CHECK(fleet.sent.size() == 4);
    fleet.respond(1, 200, std::string(16, 'a'));
    CHECK(fleet.sent.size() == 5); // The retry of the shard whose server crashed.
    fleet.advance(100ms);
    CHECK(fleet.sent.size() >= 7); // Hedges of the two slow shards.
}

TEST_CASE("crash suspects: crashes add up over repetitions of a request with one shard, also on non-idempotent routes")
{
    for (char const* path : {"/plain/x", "/write/x"}) {
        CAPTURE(path);
        dispatcher_fixture fleet;
        int repetitions = 0;
        for (; repetitions < 10; ++repetitions) {
            auto const before = fleet.sent.size();
            auto const key = fleet.start(path, "id");
            if (fleet.has_response(key)) {
                CHECK(fleet.response_to(key).status == 503);
                break;
            }
            crash_all(fleet, key, before);
            CHECK(fleet.response_to(key).status == 502);
        }
        CHECK(fleet.sent.size() == 3);
        CHECK(repetitions <= 3);
    }
}

TEST_CASE("crash suspects: a suspect is sent to one server at a time, in one trial at a time")
{
    dispatcher_options options;
    options.by_coverage = false; // Otherwise queries would be rejected because of the shards that are unreachable.
    dispatcher_fixture fleet(options);
    auto const first = fleet.start("/gather/x", "id1");
    fleet.finish_attempt(0, attempt_status::disconnected);
    fleet.finish_attempt(1, attempt_status::disconnected);
    fleet.finish_attempt(4, attempt_status::not_sent);
    for (int i = 0; i < 30 && !fleet.has_response(first); ++i) {
        for (std::size_t each = 5; each < fleet.sent.size(); ++each)
            fleet.finish_attempt(each, attempt_status::not_sent);
        fleet.advance(20ms);
    }
    CHECK(fleet.response_to(first).status == 502);
    auto const before = fleet.sent.size();

    REQUIRE(fleet.quarantine.own_records(fleet.now).size() == 1);
    auto const trial = fleet.start("/gather/x", "id2");
    REQUIRE(fleet.sent.size() == before + 1);
    auto const meanwhile = fleet.start("/gather/x", "id3");
    CHECK(fleet.response_to(meanwhile).status == 503);
    SUBCASE("a response clears it, and attempts are sent to all shards")
    {
        fleet.respond(before, 200, std::string(16, 'a'));
        CHECK(fleet.sent.size() == before + 4);
        for (auto i = before + 1; i < before + 4; ++i)
            fleet.respond(i, 200, std::string(16, 'a'));
        CHECK(fleet.response_to(trial).status == 200);
        fleet.start("/gather/x", "id4");
        CHECK(fleet.sent.size() == before + 8);
    }
    SUBCASE("another crash leads to quarantine")
    {
        fleet.finish_attempt(before, attempt_status::disconnected);
        CHECK(fleet.response_to(trial).status == 502);
        CHECK(fleet.response_to(fleet.start("/gather/x", "id4")).status == 503);
        CHECK(fleet.sent.size() == before + 1);
    }
    SUBCASE("a rejection by a server neither clears nor incriminates it")
    {
        fleet.finish_attempt(before, attempt_status::not_executed);
        fleet.advance(20ms);
        CHECK(not_canceled(fleet, before + 1) == 1);
    }
    SUBCASE("a caller that disconnects during the trial cannot cause repeated trials")
    {
        // Two crashes are recorded, and a third one is needed.
        fleet.finish_attempt(before, attempt_status::disconnected);
        auto const digest = fleet.finished.back().digest;
        fleet.advance(60s);
        CHECK(fleet.quarantine.status(digest, fleet.now) == quarantine_status::suspect);
        auto const second = fleet.start("/gather/x", "id5");
        fleet.requests->on_caller_disconnected(second, fleet.now);
        CHECK(fleet.quarantine.status(digest, fleet.now) == quarantine_status::quarantined);
    }
}

TEST_CASE("crash suspects: a quarantine reported by a peer gateway applies here")
{
    dispatcher_fixture fleet;
    http_request message;
    message.path = "/plain/x";
    message.headers = {{"host", "h.example"}};
    auto const digest = digest_of(message, caller_identity());
    fleet.quarantine.apply_peer_records("gw", {{digest, 3, 1, milliseconds(30000)}}, fleet.now);
    CHECK(fleet.response_to(fleet.start("/plain/x", "id1")).status == 503);
    CHECK(fleet.sent.empty());
    CHECK(fleet.finished.back().reason == std::string("quarantined"));
}

/*
 * Regression test: a query that all callers send was quarantined for a minute at every gateway. Another query was
 * crashing backend servers, and the common query ran on two of them and then on a third one in its trial. In a soak run
 * (seed 301, 14 s), 1,292 of 1,737 queries were rejected.
 * Cause: the gateway recorded the crashes during a request, but not its successful responses.
 */
TEST_CASE("crash suspects: a query with recent responses is not quarantined for crashes that another query causes")
{
    dispatcher_fixture fleet;
    fleet.start("/gather/common", "id1");
    for (std::size_t i = 0; i < 4; ++i)
        fleet.respond(i, 200, std::string(16, 'a'));
    auto const unlucky = fleet.start("/gather/common", "id2");
    crash_all(fleet, unlucky, 4);
    CHECK(fleet.response_to(unlucky).status == 502);

    SUBCASE("crashes at this gateway") {}
    SUBCASE("crashes reported by a peer gateway")
    {
        http_request message;
        message.path = "/gather/common";
        message.headers = {{"host", "h.example"}};
        fleet.quarantine.apply_peer_records("gw", {{digest_of(message, caller_identity()), 3, 1, milliseconds(30000)}},
                                            fleet.now);
        fleet.start("/gather/common", "id3");
        // The peer gateways are notified that it received a response.
        REQUIRE(fleet.quarantine.own_records(fleet.now).size() == 1);
        CHECK(fleet.quarantine.own_records(fleet.now)[0].answered);
    }
    auto const before = fleet.sent.size();
    auto const next = fleet.start("/gather/common", "id4");
    CHECK(fleet.sent.size() == before + 4);
    CHECK_FALSE(fleet.has_response(next));
    // Backend servers may change, so that old responses do not count.
    fleet.advance(40s);
    auto const later = fleet.sent.size();
    auto const changed = fleet.start("/gather/common", "id5");
    crash_all(fleet, changed, later);
    CHECK(fleet.finished.back().reason == std::string("crashed_servers"));
}

TEST_CASE("crash suspects: crashes that reset connections add up over repetitions of a request with one shard")
{
    for (char const* path : {"/plain/x", "/write/x"}) {
        CAPTURE(path);
        dispatcher_fixture fleet;
        int repetitions = 0;
        for (; repetitions < 10; ++repetitions) {
            auto const before = fleet.sent.size();
            auto const key = fleet.start(path, "id");
            if (fleet.has_response(key)) {
                CHECK(fleet.response_to(key).status == 503);
                break;
            }
            crash_all(fleet, key, before, attempt_status::reset);
            CHECK(fleet.response_to(key).status == 502);
        }
        CHECK(fleet.sent.size() <= 4);
        CHECK(repetitions <= 3);
    }
}

TEST_CASE("crash suspects: a query whose attempts all end with resets is tried once more at one server")
{
    dispatcher_fixture fleet;
    auto const first = fleet.start("/gather/x", "id1");
    crash_all(fleet, first, 0, attempt_status::reset);
    CHECK(fleet.response_to(first).status == 502);
    auto const before = fleet.sent.size();
    CHECK(before <= 4 + 2); // One attempt per shard, and two more, one after the other.
    crash_all(fleet, fleet.start("/gather/x", "id2"), before, attempt_status::reset);
    CHECK(fleet.sent.size() == before + 1);
    CHECK(fleet.finished.back().reason == std::string("crashed_servers"));
    CHECK(fleet.response_to(fleet.start("/gather/x", "id3")).status == 503);
}

TEST_CASE("crash suspects: a query on dropped connections waits for one response and is sent again on new connections")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/x", "id1");
    for (std::size_t i = 0; i < 3; ++i)
        fleet.finish_attempt(i, attempt_status::reset);
    CHECK(fleet.canceled.empty());
    REQUIRE(fleet.sent.size() == 4);
    fleet.respond(3, 200, std::string(16, 'a'));
    REQUIRE(fleet.sent.size() == 7);
    for (std::size_t i = 4; i < 7; ++i) {
        CHECK(fleet.sent[i].needs_new_connection);
        fleet.respond(i, 200, std::string(16, 'a'));
    }
    CHECK(fleet.response_to(key).status == 200);
    CHECK(fleet.response_to(key).header("missing") == "0");
    CHECK(fleet.quarantine.status(fleet.finished.back().digest, fleet.now) == quarantine_status::clear);
}

TEST_CASE("crash suspects: where callers have no keys, the header authorization tells them apart")
{
    dispatcher_fixture fleet;
    auto const from = [&fleet](char const* caller) {
        return fleet.start("/gather/x", "id", {{"authorization", caller}});
    };
    crash_all(fleet, from("Basic one"), 0);
    CHECK(fleet.response_to(from("Basic one")).status == 503);
    CHECK_FALSE(fleet.has_response(from("Basic two")));
}
