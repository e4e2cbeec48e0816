/** @file test_write_contract.cpp Non-idempotent requests run at most once, under each fault and under random faults. */
#include "local_fleet.hpp"
#include "random_run.hpp"

#include <future>

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace cornelspring::testing;

namespace {

/** Size of the fleets in these tests. */
constexpr std::size_t backend_count = 2;
constexpr std::size_t entry_count = 2;
constexpr std::int32_t shards = 2;
constexpr std::size_t slot_count = 8;

/** @return a booking with the idempotency key @p key. */
write_request booking(std::string const& key, std::int64_t deadline_ms = 3000)
{
    return {"svc", key, "course-7", "seat for " + key, deadline_ms};
}

/** @return "ran", "replayed" or the error kind of @p result. */
std::string outcome(write_result const& result)
{
    if (result.response) return result.response->replayed ? "replayed" : "ran";
    return to_string(result.failure->kind());
}

/** A fleet whose configuration is published and applied by every entry node. */
struct write_fleet : local_fleet {
    explicit write_fleet(entry_setup const& setup = {})
        : local_fleet(backend_count, entry_count, shards, slot_count, setup)
    {
        REQUIRE(wait_until_applied(publish()));
    }
    /** Sets the same faults on every backend server. */
    void set_backend_faults(backend_faults const& faults)
    {
        for (auto const& backend : backends)
            backend->service.set_faults(faults);
    }
};

} // namespace

TEST_CASE("under each fault, the reported outcome of a write is correct and it runs at most once")
{
    struct fault_case {
        std::string name;
        std::function<void(write_fleet&)> inject;
        std::string first;  ///< Outcome of the first submission.
        std::string second; ///< Outcome of a second one, at the other entry node, after the fault is cleared.
        int runs;           ///< Number of times it ran.
    };
    auto const shed_all = [](write_fleet& f) { f.set_backend_faults({.shed_probability = 1.0}); };
    auto const lose_replies = [](write_fleet& f) { f.set_backend_faults({.lost_reply_probability = 1.0}); };
    fault_case const cases[] = {
        {"no fault", [](write_fleet&) {}, "ran", "replayed", 1},
        {"store response lost after the claim took effect",
         [](write_fleet& f) {
             f.store.set_faults({{"lose_replies", 1}});
         },
         "ran", "replayed", 1},
        {"two store responses lost",
         [](write_fleet& f) {
             f.store.set_faults({{"lose_replies", 2}});
         },
         "ran", "replayed", 1},
        {"store down",
         [](write_fleet& f) {
             f.store.set_faults({{"outage_ms", 60000}});
         },
         "not_run", "ran", 1},
        {"store frozen", [](write_fleet& f) { f.store.server.set_frozen(true); }, "not_run", "ran", 1},
        {"every backend server sheds load", shed_all, "unavailable", "ran", 1},
        {"every backend server drains", [](write_fleet& f) { f.set_backend_faults({.draining = true}); }, "unavailable",
         "ran", 1},
        {"the backend server runs it and its response is lost", lose_replies, "outcome_unknown", "outcome_unknown", 1},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        entry_setup setup;
        setup.gather.hedge = false;
        write_fleet fleet(setup);
        // Each node gets its retention lease before the fault, so that the first store call with the fault is the
        // claim.
        REQUIRE(outcome(fleet.entries[0]->write(booking("warm"))) == "ran");
        REQUIRE(outcome(fleet.entries[1]->write(booking("warm"))) == "replayed");
        item.inject(fleet);
        CHECK(outcome(fleet.entries[0]->write(booking("k", 2500))) == item.first);
        fleet.clear_faults();
        // The caller gets its response at once, but the claim made during a store fault is released after the fault.
        CHECK(eventually([&] { return fleet.entries[0]->writes.pending_record_updates() == 0; }));
        for (auto& entry : fleet.entries)
            entry->tracker = backend_tracker(); // clears the drain signal, which would make the second write fail
        CHECK(outcome(fleet.entries[1]->write(booking("k"))) == item.second);
        CHECK(fleet.write_runs("k") == item.runs);
    }
}

TEST_CASE("an entry node that is paused past the deadline after its claim does not send the request")
{
    entry_setup setup;
    setup.write.on_step = [](write_step where) {
        if (where == write_step::before_dispatch) std::this_thread::sleep_for(milliseconds(400));
    };
    write_fleet fleet(setup);
    CHECK(outcome(fleet.entries[0]->write(booking("k", 200))) == "not_run");
    CHECK(fleet.write_runs("k") == 0);
    CHECK(outcome(fleet.entries[1]->write(booking("k", 3000))) == "ran");
    CHECK(fleet.write_runs("k") == 1);
}

TEST_CASE("while one entry node holds the claim of a key, another does not run a request with that key")
{
    std::atomic<bool> paused{false};
    std::atomic<bool> resume{false};
    entry_setup setup;
    setup.write.on_step = [&](write_step where) {
        if (where != write_step::before_dispatch || paused.exchange(true)) return;
        while (!resume)
            std::this_thread::sleep_for(milliseconds(5));
    };
    write_fleet fleet(setup);
    auto first = std::async(std::launch::async, [&] { return fleet.entries[0]->write(booking("k", 30000)); });
    REQUIRE(eventually([&] { return paused.load(); }));
    CHECK(outcome(fleet.entries[1]->write(booking("k"))) == "outcome_unknown");
    resume = true;
    CHECK(outcome(first.get()) == "ran");
    CHECK(outcome(fleet.entries[1]->write(booking("k"))) == "replayed");
    CHECK(fleet.write_runs("k") == 1);
}

TEST_CASE("a different request with a used idempotency key is rejected")
{
    write_fleet fleet;
    REQUIRE(outcome(fleet.entries[0]->write(booking("k"))) == "ran");
    auto other = booking("k");
    other.body = "two seats";
    CHECK(outcome(fleet.entries[1]->write(other)) == "conflict");
    CHECK(fleet.write_runs("k") == 1);
}

TEST_CASE("randomised: a write runs at most once, and one reported as not run did not run")
{
    for (auto seed : random_seeds()) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto const chance = [&random](double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; };
        entry_setup setup;
        setup.write.claim_timeout = milliseconds(400);
        write_fleet fleet(setup);
        std::map<std::string, std::vector<std::future<write_result>>> submissions;
        for (int step = 0; step < steps_per_seed(); ++step) {
            if (chance(0.3)) {
                auto& backend = *fleet.backends[random() % backend_count];
                backend.service.set_faults({.shed_probability = chance(0.3) ? 0.5 : 0.0,
                                            .lost_reply_probability = chance(0.4) ? 0.3 : 0.0,
                                            .draining = chance(0.1)});
                if (chance(0.1)) backend.server.silence_open_connections();
                backend.server.set_frozen(chance(0.05));
            }
            if (chance(0.1)) fleet.store.set_faults({{"lose_replies", static_cast<int>(random() % 4)}});
            if (chance(0.05)) fleet.store.set_faults({{"outage_ms", 100}});
            if (chance(0.03)) fleet.store.server.silence_open_connections();
            // Most submissions use a new key; some repeat a recent one, at the same or the other entry node.
            std::string const key = "w" + std::to_string(chance(0.4) ? random() % 10 + step * 2 / 3 : step * 2 / 3);
            auto& entry = *fleet.entries[random() % entry_count];
            auto promise = std::make_shared<std::promise<write_result>>();
            submissions[key].push_back(promise->get_future());
            entry.writes.run(entry.view.current(), booking(key, 800),
                             [promise](write_result result) { promise->set_value(std::move(result)); });
            std::this_thread::sleep_for(milliseconds(random() % 10));
        }
        fleet.clear_faults();
        std::map<std::string, int> runs;
        std::map<std::string, int> outcome_counts;
        std::map<std::string, std::vector<write_result>> results;
        for (auto& [key, futures] : submissions) {
            for (auto& future : futures)
                results[key].push_back(future.get());
        }
        for (auto const& entry : fleet.journals()) {
            if (entry.is_write && entry.event == journal_event::ran) ++runs[entry.id];
        }
        for (auto const& [key, list] : results) {
            CAPTURE(key);
            bool none_may_have_run = true;
            bool any_response = false;
            for (auto const& result : list) {
                ++outcome_counts[outcome(result)];
                any_response = any_response || result.response.has_value();
                none_may_have_run =
                    none_may_have_run && !result.response && result.failure->kind() != error_kind::outcome_unknown;
                if (!result.response) CHECK(result.retry_after_s > 0);
            }
            CHECK(runs[key] <= 1);
            if (any_response) CHECK(runs[key] == 1);
            if (none_may_have_run) CHECK(runs[key] == 0);
        }
        for (auto const& entry : fleet.entries)
            CHECK(eventually([&] { return entry->writes.pending_record_updates() == 0; }));
        print_outcome_counts("writes", seed, outcome_counts);
        CHECK(invariant_violations() == 0);
    }
}
