/** @file test_caller_time.cpp Responses are sent earlier by the caller's time already spent and by the network time. */
#include "dispatcher_fixture.hpp"

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** Default answer_margin. */
constexpr auto margin = 11ms;
/** Latency goal of the fixture's routes. */
constexpr auto goal = 200ms;

/** Starts a query whose last shard never responds. @return the time from its arrival to the response. */
std::chrono::milliseconds response_delay(dispatcher_fixture& fleet, std::string const& id,
                                         std::vector<http_header> const& headers)
{
    auto const first = fleet.sent.size();
    auto const started_at = fleet.now;
    auto const key = fleet.start("/gather/x", id, headers);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.respond(first + i, 200, std::string(16, 'a'));
    while (!fleet.has_response(key) && fleet.now < started_at + 2s)
        fleet.advance(1ms);
    return std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - started_at);
}

/** @return the headers of a caller that waits @p deadline milliseconds. */
std::vector<http_header> waiting(char const* deadline) { return {{"deadline", deadline}}; }

} // namespace

TEST_CASE("caller time: a response is sent earlier by the time that its caller spent before sending the request")
{
    dispatcher_fixture fleet;
    CHECK(response_delay(fleet, "id1", waiting("800")) == goal - margin);
    // The second caller looked up an address first.
    CHECK(response_delay(fleet, "id2", waiting("786")) == goal - margin - 14ms);
    CHECK(response_delay(fleet, "id3", waiting("800")) == goal - margin);
}

TEST_CASE("caller time: a response is sent earlier by the network time")
{
    dispatcher_fixture fleet;
    fleet.round_trip = 30ms;
    CHECK(response_delay(fleet, "id1", waiting("800")) == goal - margin - 30ms);
}

TEST_CASE(
    "caller time: a request whose goal has passed, or whose caller has a shorter time-out, gets no earlier response")
{
    dispatcher_fixture fleet;
    CHECK(response_delay(fleet, "id1", waiting("800")) == goal - margin);
    CHECK(response_delay(fleet, "id2", waiting("500")) == goal - margin);
}

TEST_CASE("caller time: a caller with a longer time-out does not make the others' time look spent")
{
    dispatcher_fixture fleet;
    for (int i = 0; i < 40; ++i)
        response_delay(fleet, "id" + std::to_string(i), waiting(i == 5 ? "950" : "800"));
    CHECK(response_delay(fleet, "late", waiting("786")) == goal - margin - 14ms);
}

TEST_CASE("caller time: on a VM with few callers, the second one shows how much time the first one had spent")
{
    dispatcher_fixture fleet;
    response_delay(fleet, "id1", waiting("786"));
    CHECK(response_delay(fleet, "id2", waiting("800")) == goal - margin);
    CHECK(response_delay(fleet, "id3", waiting("786")) == goal - margin - 14ms);
}

TEST_CASE("caller time: the route's timeout is used while all callers have just looked up an address")
{
    dispatcher_fixture fleet; // Its routes have a timeout of one second.
    CHECK(response_delay(fleet, "id1", waiting("978")) == goal - margin - 22ms);
    CHECK(response_delay(fleet, "id2", waiting("1000")) == goal - margin);
    SUBCASE("after enough requests, a shorter time-out of all callers is recognized")
    {
        for (int i = 0; i < 40; ++i)
            response_delay(fleet, "many" + std::to_string(i), waiting("950"));
        CHECK(response_delay(fleet, "late", waiting("950")) == goal - margin);
    }
}

TEST_CASE("caller time: without a deadline header, no time counts as spent")
{
    dispatcher_fixture fleet;
    CHECK(response_delay(fleet, "id1", {}) == goal - margin);
}

TEST_CASE("caller time: for a long goal, the margin is a twentieth of the goal")
{
    dispatcher_options options;
    options.answer_margin_share = 0.2; // 40 ms of the 200 ms goal, the same margin as a twentieth of 800 ms.
    dispatcher_fixture fleet(options);
    CHECK(response_delay(fleet, "id1", waiting("800")) == goal - 40ms);
    CHECK(dispatcher_options{}.answer_margin_share == doctest::Approx(0.05));
}
