/** @file test_caller_time.cpp Answers leave early enough for their caller, by what its request and connection show. */
#include "dispatcher_fixture.hpp"

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** Margin of the process itself. */
constexpr auto margin = 11ms;
/** Goal of the fixture's routes. */
constexpr auto goal = 200ms;

/** Starts a query whose last shard never answers. @return when its answer leaves, counted from its arrival. */
std::chrono::milliseconds answered_after(dispatcher_fixture& fleet, std::string const& id,
                                         std::vector<http_header> const& headers)
{
    auto const first = fleet.sent.size();
    auto const begun = fleet.now;
    auto const key = fleet.start("/gather/x", id, headers);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.respond(first + i, 200, std::string(16, 'a'));
    while (!fleet.has_response(key) && fleet.now < begun + 2s)
        fleet.advance(1ms);
    return std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - begun);
}

/** @return the headers of a caller that waits for @p deadline milliseconds more. */
std::vector<http_header> waiting(char const* deadline) { return {{"deadline", deadline}}; }

} // namespace

TEST_CASE("caller time: an answer leaves earlier by the time that its caller spent before it sent the request")
{
    dispatcher_fixture fleet;
    CHECK(answered_after(fleet, "id1", waiting("800")) == goal - margin);
    CHECK(answered_after(fleet, "id2", waiting("786")) == goal - margin - 14ms); // It had looked up an address.
    CHECK(answered_after(fleet, "id3", waiting("800")) == goal - margin);
}

TEST_CASE("caller time: an answer leaves earlier by its time on the network")
{
    dispatcher_fixture fleet;
    fleet.round_trip = 30ms;
    CHECK(answered_after(fleet, "id1", waiting("800")) == goal - margin - 30ms);
}

TEST_CASE("caller time: a request whose goal has passed already, or a caller that waits for less time, loses nothing")
{
    dispatcher_fixture fleet;
    CHECK(answered_after(fleet, "id1", waiting("800")) == goal - margin);
    CHECK(answered_after(fleet, "id2", waiting("500")) == goal - margin);
}

TEST_CASE("caller time: a caller that waits longer than the rest does not make theirs look spent")
{
    dispatcher_fixture fleet;
    for (int i = 0; i < 40; ++i)
        answered_after(fleet, "id" + std::to_string(i), waiting(i == 5 ? "950" : "800"));
    CHECK(answered_after(fleet, "late", waiting("786")) == goal - margin - 14ms);
}

TEST_CASE("caller time: the second caller of a VM that sees few shows what the first one had spent")
{
    dispatcher_fixture fleet;
    answered_after(fleet, "id1", waiting("786"));
    CHECK(answered_after(fleet, "id2", waiting("800")) == goal - margin);
    CHECK(answered_after(fleet, "id3", waiting("786")) == goal - margin - 14ms);
}

TEST_CASE("caller time: first callers have all looked up an address, and the route's timeout tells what they had")
{
    dispatcher_fixture fleet; // Its routes have a timeout of one second.
    CHECK(answered_after(fleet, "id1", waiting("978")) == goal - margin - 22ms);
    CHECK(answered_after(fleet, "id2", waiting("1000")) == goal - margin);
    SUBCASE("callers that wait for less than the timeout are believed once enough of them were seen")
    {
        for (int i = 0; i < 40; ++i)
            answered_after(fleet, "many" + std::to_string(i), waiting("950"));
        CHECK(answered_after(fleet, "late", waiting("950")) == goal - margin);
    }
}

TEST_CASE("caller time: without a deadline nothing is assumed to have gone")
{
    dispatcher_fixture fleet;
    CHECK(answered_after(fleet, "id1", {}) == goal - margin);
}

TEST_CASE("caller time: of a long goal, an answer leaves a twentieth before it")
{
    dispatcher_options options;
    options.answer_margin_share = 0.2; // 40 ms of the goal here, as a twentieth is of 800 ms.
    dispatcher_fixture fleet(options);
    CHECK(answered_after(fleet, "id1", waiting("800")) == goal - 40ms);
    CHECK(dispatcher_options{}.answer_margin_share == doctest::Approx(0.05));
}
