/** @file test_caution.cpp Requests under which backend servers close connections: care, trial, refusal. */
#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** @return the attempts sent from @p from on that were not given up. */
std::size_t under_way(dispatcher_fixture const& fleet, std::size_t from)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.sent.begin() + static_cast<std::ptrdiff_t>(from), fleet.sent.end(),
                      [&](outgoing_attempt const& order) { return !fleet.cancelled.contains(order.id.value()); }));
}

/** Crashes every backend server that runs the request, until it has an answer. */
void crash_all(dispatcher_fixture& fleet, request_key key, std::size_t from)
{
    for (auto i = from; i < fleet.sent.size() && !fleet.has_response(key); ++i) {
        if (!fleet.cancelled.contains(fleet.sent[i].id.value())) fleet.finish_attempt(i, attempt_status::disconnected);
        fleet.advance(20ms);
    }
}

} // namespace

TEST_CASE("caution: a query under which servers end goes on to one server, not to the other ones of its shards")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/x", "id1");
    REQUIRE(fleet.sent.size() == 4);
    fleet.finish_attempt(0, attempt_status::disconnected);
    CHECK(fleet.sent.size() == 4); // The three others tell soon whether the query is to blame.
    fleet.finish_attempt(1, attempt_status::disconnected);
    CHECK(fleet.cancelled.size() == 2);
    REQUIRE(fleet.sent.size() == 5);
    fleet.finish_attempt(4, attempt_status::disconnected);
    CHECK(fleet.response_to(key).status == 502);
    CHECK(fleet.sent.size() == 5);
    CHECK(fleet.finished.back().reason == std::string("crashed_servers"));

    // The same query is refused at once, truly not run, until the quarantine ends; another one is not.
    fleet.caller = caller_address("192.0.2.7"); // Backend servers see nothing of the caller's address.
    auto const again = fleet.start("/gather/x", "id2");
    CHECK(fleet.response_to(again).status == 503);
    CHECK(std::stod(fleet.response_to(again).header("retry-after")) == 60);
    CHECK(fleet.sent.size() == 5);
    fleet.start("/gather/y", "id3");
    CHECK(fleet.sent.size() == 9);
}

TEST_CASE("caution: a query that only met crashing servers is answered whole, by the other ones")
{
    dispatcher_fixture fleet;
    auto const key = fleet.start("/gather/x", "id1");
    fleet.finish_attempt(0, attempt_status::disconnected);
    SUBCASE("after one loss, as soon as another shard has answered") { fleet.respond(1, 200, std::string(16, 'a')); }
    SUBCASE("after two losses, as soon as one server has answered")
    {
        fleet.finish_attempt(1, attempt_status::disconnected);
        REQUIRE(fleet.sent.size() == 5);
        fleet.respond(4, 200, std::string(16, 'a'));
    }
    for (std::size_t i = 2; i < fleet.sent.size(); ++i) {
        if (!fleet.cancelled.contains(fleet.sent[i].id.value())) fleet.respond(i, 200, std::string(16, 'a'));
    }
    CHECK(fleet.response_to(key).status == 200);
    CHECK(fleet.response_to(key).header("missing") == "0");
    CHECK(fleet.quarantine.status(fleet.finished.back().digest, fleet.now) == quarantine_status::clear);
}

TEST_CASE("caution: a slow shard is hedged again once another one has answered")
{
    dispatcher_fixture fleet;
    fleet.start("/gather/x", "id1");
    fleet.finish_attempt(0, attempt_status::disconnected);
    fleet.advance(150ms);
    CHECK(fleet.sent.size() == 4);
    fleet.respond(1, 200, std::string(16, 'a'));
    CHECK(fleet.sent.size() == 5); // The shard that lost its server.
    fleet.advance(100ms);
    CHECK(fleet.sent.size() >= 7); // The two that are slow.
}

TEST_CASE("caution: single requests add up over repetitions, also at most-once routes")
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

TEST_CASE("caution: a suspect is tried at one server at a time, and only once at a time")
{
    dispatcher_options options;
    options.by_coverage = false; // The shards that could not be reached would have queries refused.
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
    SUBCASE("an answer clears it, and all shards are asked")
    {
        fleet.respond(before, 200, std::string(16, 'a'));
        CHECK(fleet.sent.size() == before + 4);
        for (auto i = before + 1; i < before + 4; ++i)
            fleet.respond(i, 200, std::string(16, 'a'));
        CHECK(fleet.response_to(trial).status == 200);
        fleet.start("/gather/x", "id4");
        CHECK(fleet.sent.size() == before + 8);
    }
    SUBCASE("one more crash puts it into quarantine")
    {
        fleet.finish_attempt(before, attempt_status::disconnected);
        CHECK(fleet.response_to(trial).status == 502);
        CHECK(fleet.response_to(fleet.start("/gather/x", "id4")).status == 503);
        CHECK(fleet.sent.size() == before + 1);
    }
    SUBCASE("a server that refuses says nothing of it")
    {
        fleet.finish_attempt(before, attempt_status::not_executed);
        fleet.advance(20ms);
        CHECK(under_way(fleet, before + 1) == 1);
    }
    SUBCASE("a caller that leaves during the trial does not get it tried again and again")
    {
        // Two crashes are known; a third is needed.
        fleet.finish_attempt(before, attempt_status::disconnected);
        auto const digest = fleet.finished.back().digest;
        fleet.advance(60s);
        CHECK(fleet.quarantine.status(digest, fleet.now) == quarantine_status::suspect);
        auto const second = fleet.start("/gather/x", "id5");
        fleet.requests->on_caller_disconnected(second, fleet.now);
        CHECK(fleet.quarantine.status(digest, fleet.now) == quarantine_status::quarantined);
    }
}

TEST_CASE("caution: a quarantine told by another gateway holds here")
{
    dispatcher_fixture fleet;
    http_request message;
    message.path = "/plain/x";
    message.headers = {{"host", "h.example"}};
    auto const digest = digest_of(message);
    fleet.quarantine.apply_peer_records("gw", {{digest, 3, 1, milliseconds(30000)}}, fleet.now);
    CHECK(fleet.response_to(fleet.start("/plain/x", "id1")).status == 503);
    CHECK(fleet.sent.empty());
    CHECK(fleet.finished.back().reason == std::string("quarantined"));
}

/*
 * What callers saw: a query that all of them ask was refused for a minute at every gateway. Another query crashed the
 * servers meanwhile, and the common one ran on them, lost two, and lost the one that it was tried at: 1,292 of 1,737
 * queries of a soak run were refused (seed 301, 14 s).
 * Cause: what speaks against a request was kept, what speaks for it was not.
 */
TEST_CASE("caution: a query that is answered again and again is not taken for one that crashes servers")
{
    dispatcher_fixture fleet;
    fleet.start("/gather/common", "id1");
    for (std::size_t i = 0; i < 4; ++i)
        fleet.respond(i, 200, std::string(16, 'a'));
    auto const unlucky = fleet.start("/gather/common", "id2");
    crash_all(fleet, unlucky, 4);
    CHECK(fleet.response_to(unlucky).status == 502);

    SUBCASE("here") {}
    SUBCASE("when another gateway says so")
    {
        http_request message;
        message.path = "/gather/common";
        message.headers = {{"host", "h.example"}};
        fleet.quarantine.apply_peer_records("gw", {{digest_of(message), 3, 1, milliseconds(30000)}}, fleet.now);
        fleet.start("/gather/common", "id3");
        // The others learn that it was answered.
        REQUIRE(fleet.quarantine.own_records(fleet.now).size() == 1);
        CHECK(fleet.quarantine.own_records(fleet.now)[0].answered);
    }
    auto const before = fleet.sent.size();
    auto const next = fleet.start("/gather/common", "id4");
    CHECK(fleet.sent.size() == before + 4);
    CHECK_FALSE(fleet.has_response(next));
    // Servers may change: what was answered long ago says nothing.
    fleet.advance(40s);
    auto const later = fleet.sent.size();
    auto const changed = fleet.start("/gather/common", "id5");
    crash_all(fleet, changed, later);
    CHECK(fleet.finished.back().reason == std::string("crashed_servers"));
}
