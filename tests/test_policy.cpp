/** @file test_policy.cpp Decisions of the adaptive routing policy at given times. */
#include <cornelspring/coordination.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;
using std::chrono::microseconds;

namespace {

/** A fixed time; the decisions depend on differences of times only. */
time_point const start{std::chrono::seconds(1000)};

/** @return two replicas, a and b. */
std::vector<replica> two_replicas() { return {{"a", {"127.0.0.1", 1}, "Wien", 2}, {"b", {"127.0.0.1", 2}, "Graz", 2}}; }

/** Records one finished attempt at the backend server @p name. */
void observe(backend_tracker& tracker, std::string const& name, attempt_outcome outcome, int took_ms, time_point now)
{
    tracker.on_sent(name);
    tracker.on_finished(name, outcome, milliseconds(took_ms), now);
}

} // namespace

TEST_CASE("the adaptive policy chooses by observed latency, load and failures")
{
    struct policy_case {
        char const* name;
        std::function<void(backend_tracker&)> observed;
        milliseconds later; ///< Time from start to the choice.
        std::optional<std::size_t> pick;
    };
    policy_case const cases[] = {
        {"b is faster",
         [](backend_tracker& t) {
             observe(t, "a", attempt_outcome::succeeded, 50, start);
             observe(t, "b", attempt_outcome::succeeded, 5, start);
         },
         milliseconds(0), 1},
        {"b has no samples: it is tried",
         [](backend_tracker& t) { observe(t, "a", attempt_outcome::succeeded, 1, start); }, milliseconds(0), 1},
        {"a has a queue",
         [](backend_tracker& t) {
             for (int i = 0; i < 4; ++i)
                 t.on_sent("a");
         },
         milliseconds(0), 1},
        {"a shed just now", [](backend_tracker& t) { observe(t, "a", attempt_outcome::shed, 1, start); },
         milliseconds(1), 1},
        {"a reported that it drains", [](backend_tracker& t) { observe(t, "a", attempt_outcome::draining, 1, start); },
         milliseconds(1000), 1},
        {"a failed twice",
         [](backend_tracker& t) {
             observe(t, "a", attempt_outcome::failed, 1, start);
             observe(t, "a", attempt_outcome::failed, 1, start);
         },
         milliseconds(100), 1},
        {"a is overtaken again and again",
         [](backend_tracker& t) {
             observe(t, "b", attempt_outcome::succeeded, 10, start);
             observe(t, "a", attempt_outcome::canceled, 500, start);
         },
         milliseconds(0), 1},
        {"the VM list marks b as leaving, though it is faster",
         [](backend_tracker& t) {
             observe(t, "b", attempt_outcome::succeeded, 1, start);
             observe(t, "a", attempt_outcome::succeeded, 100, start);
             t.set_leaving_addresses({"127.0.0.1:2"});
         },
         milliseconds(0), 0},
        {"both are leaving: no new attempts",
         [](backend_tracker& t) {
             t.set_leaving_addresses({"127.0.0.1:1", "127.0.0.1:2"});
         },
         milliseconds(0), std::nullopt},
        {"both failed: the less loaded one is tried nevertheless",
         [](backend_tracker& t) {
             for (char const* name : {"a", "b"}) {
                 observe(t, name, attempt_outcome::failed, 1, start);
                 observe(t, name, attempt_outcome::failed, 1, start);
             }
             t.on_sent("a");
         },
         milliseconds(10), 1},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        backend_tracker tracker;
        item.observed(tracker);
        for (std::uint64_t seed = 0; seed < 8; ++seed) {
            auto const choose = make_adaptive_chooser(tracker, seed);
            CHECK(choose(two_replicas(), {false, false}, start + item.later) == item.pick);
        }
    }
}

TEST_CASE("an ejection expires, doubles with further failures and is lifted by a response")
{
    backend_tracker tracker;
    auto const target = two_replicas()[0];
    observe(tracker, "a", attempt_outcome::failed, 1, start);
    CHECK(tracker.healthy(target, start));
    observe(tracker, "a", attempt_outcome::failed, 1, start);
    CHECK_FALSE(tracker.healthy(target, start + milliseconds(199)));
    CHECK(tracker.healthy(target, start + milliseconds(200)));
    observe(tracker, "a", attempt_outcome::failed, 1, start);
    CHECK_FALSE(tracker.healthy(target, start + milliseconds(399)));
    for (int i = 0; i < 20; ++i)
        observe(tracker, "a", attempt_outcome::failed, 1, start);
    CHECK_FALSE(tracker.healthy(target, start + milliseconds(4999)));
    CHECK(tracker.healthy(target, start + milliseconds(5000)));
    observe(tracker, "a", attempt_outcome::succeeded, 1, start + milliseconds(5000));
    observe(tracker, "a", attempt_outcome::failed, 1, start + milliseconds(5000));
    CHECK(tracker.healthy(target, start + milliseconds(5000)));
}

TEST_CASE("an overtaken request raises the average and never lowers it")
{
    backend_tracker tracker;
    auto const target = two_replicas()[0];
    observe(tracker, "a", attempt_outcome::succeeded, 100, start);
    double const before = tracker.expected_wait_us(target, start);
    observe(tracker, "a", attempt_outcome::canceled, 1, start);
    CHECK(tracker.expected_wait_us(target, start) == doctest::Approx(before));
    observe(tracker, "a", attempt_outcome::canceled, 1000, start);
    CHECK(tracker.expected_wait_us(target, start) > before);
}

TEST_CASE("one straggler changes the average little, and the average of a slow backend server decays with time")
{
    backend_tracker tracker;
    auto const target = two_replicas()[0];
    observe(tracker, "a", attempt_outcome::succeeded, 10, start);
    observe(tracker, "a", attempt_outcome::succeeded, 1000, start);
    CHECK(tracker.expected_wait_us(target, start) == doctest::Approx(16000)); // 0.8 * 10 ms + 0.2 * 4 * 10 ms
    CHECK(tracker.expected_wait_us(target, start + milliseconds(500)) == doctest::Approx(8000));
}

TEST_CASE("a budget allows its burst, then only its ratio")
{
    token_budget budget(0.05, 2);
    CHECK(budget.try_consume());
    CHECK(budget.try_consume());
    CHECK_FALSE(budget.try_consume());
    budget.earn(19);
    CHECK_FALSE(budget.try_consume());
    budget.earn(2);
    CHECK(budget.try_consume());
    budget.earn(1000000);
    CHECK(budget.try_consume());
    CHECK(budget.try_consume());
    CHECK_FALSE(budget.try_consume());
}

TEST_CASE("the latency window gives a quantile of the recent samples only")
{
    duration_window window;
    CHECK_FALSE(window.quantile(0.95).has_value());
    for (int i = 0; i < 2000; ++i)
        window.add(microseconds(1000));
    CHECK(window.quantile(0.95) == microseconds(1000));
    for (int i = 0; i < 2000; ++i)
        window.add(microseconds(i % 100 < 90 ? 2000 : 9000));
    CHECK(window.quantile(0.95) == microseconds(9000));
}
