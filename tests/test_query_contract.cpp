/**
 * @file test_query_contract.cpp Query responses under each fault and under random faults: hits of one index version
 * only, correct coverage, no hits of other queries, and no attempt at a query reported as not run.
 */
#include "local_fleet.hpp"
#include "random_run.hpp"

#include <future>

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace cornelspring::testing;

namespace {

/** Search terms of the queries; all occur in the corpus. */
char const* const words[] = {"love", "war", "sea", "life", "time", "court", "money", "work", "god", "computer"};

/** Queries sent with each fault of the table. */
constexpr int queries_per_fault = 4;

/** @return a query of two random words. */
std::string random_query(std::mt19937_64& random)
{
    return std::string(words[random() % std::size(words)]) + " " + words[random() % std::size(words)];
}

/** @return a query request. */
query_request make_query(std::string const& id, std::string const& text, std::int64_t deadline_ms)
{
    query_request query;
    query.service = "svc";
    query.query = text;
    query.k = 10;
    query.deadline_ms = deadline_ms;
    query.request_id = id;
    return query;
}

/** @return the shards that contributed according to @p response. */
std::set<std::int32_t> contributing_shards(query_response const& response)
{
    std::set<std::int32_t> shards;
    for (std::int32_t shard = 0; shard < response.shards_total; ++shard)
        shards.insert(shard);
    for (auto shard : response.missing)
        shards.erase(shard);
    return shards;
}

/** Checks @p result against an index built without the fleet, and against the journals of the backend servers. */
void check_result(local_fleet& fleet, query_request const& query, gather_result const& result,
                  std::set<std::string> const& received,
                  std::set<std::tuple<std::string, std::int32_t, std::int64_t>> const& ran)
{
    CAPTURE(query.request_id);
    CHECK(result.response.has_value() != result.failure.has_value());
    if (result.failure) {
        CHECK(result.retry_after_s > 0);
        if (result.failure->kind() == error_kind::not_run) CHECK(received.count(query.request_id) == 0);
        return;
    }
    auto const& response = *result.response;
    CHECK(response.request_id == query.request_id);
    CHECK(response.shards_total == fleet.shard_count(response.index_version));
    auto const shards = contributing_shards(response);
    CHECK(response.shards_answered == static_cast<std::int32_t>(shards.size()));
    CHECK(response.coverage == doctest::Approx(static_cast<double>(shards.size()) / response.shards_total));
    for (auto shard : shards)
        CHECK(ran.count({query.request_id, shard, response.index_version}) == 1);
    // The hits are exactly those of the contributing shards at that version: none added, none lost.
    auto const expected =
        fleet.expected_hits(response.index_version, shards, query.query, static_cast<std::size_t>(query.k));
    REQUIRE(response.hits.size() == expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i)
        CHECK(response.hits[i].doc == expected[i].doc);
}

/** The backend servers' journals as sets, for lookup. */
struct journal_sets {
    std::set<std::string> received;
    std::set<std::tuple<std::string, std::int32_t, std::int64_t>> ran;
    explicit journal_sets(local_fleet const& fleet)
    {
        for (auto const& entry : fleet.journals()) {
            if (entry.is_write) continue;
            received.insert(entry.id);
            if (entry.event == journal_event::ran) ran.insert({entry.id, entry.shard, entry.index_version});
        }
    }
};

} // namespace

TEST_CASE("under each fault, the coverage, the index version and the reported failure of a query are correct")
{
    struct fault_case {
        std::string name;
        std::function<void(local_fleet&)> inject;
        double coverage;     ///< Expected coverage; -1 when the query must fail.
        char const* refusal; ///< Expected error kind when the query must fail.
    };
    fault_case const cases[] = {
        {"no fault", [](local_fleet&) {}, 1.0, ""},
        {"one backend server frozen", [](local_fleet& f) { f.backends[0]->server.set_frozen(true); }, 1.0, ""},
        {"one backend server's connections silent",
         [](local_fleet& f) { f.backends[1]->server.silence_open_connections(); }, 1.0, ""},
        {"all connections silent at the same time",
         [](local_fleet& f) {
             for (auto const& backend : f.backends)
                 backend->server.silence_open_connections();
         },
         1.0, ""},
        {"one backend server sheds load",
         [](local_fleet& f) { f.backends[0]->service.set_faults({.shed_probability = 1.0}); }, 1.0, ""},
        {"one backend server drains", [](local_fleet& f) { f.backends[0]->service.set_faults({.draining = true}); },
         1.0, ""},
        {"one backend server sends malformed responses",
         [](local_fleet& f) { f.backends[0]->service.set_faults({.garble_probability = 1.0}); }, 1.0, ""},
        {"one backend server is slow",
         [](local_fleet& f) { f.backends[2]->service.set_faults({.delay_ms = 10000, .delay_probability = 1.0}); }, 1.0,
         ""},
        {"one backend server loses responses",
         [](local_fleet& f) { f.backends[0]->service.set_faults({.lost_reply_probability = 1.0}); }, 1.0, ""},
        {"both replicas of one of three shards are slow",
         [](local_fleet& f) {
             // Backend servers 0 and 1 hold shard 0; server 2 holds shards 1 and 2, each with one of them.
             f.backends[0]->service.set_faults({.delay_ms = 10000, .delay_probability = 1.0});
             f.backends[1]->service.set_faults({.delay_ms = 10000, .delay_probability = 1.0});
         },
         2.0 / 3.0, ""},
        {"every backend server sheds load",
         [](local_fleet& f) {
             for (auto const& backend : f.backends)
                 backend->service.set_faults({.shed_probability = 1.0});
         },
         -1, "unavailable"},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        local_fleet fleet(3, 1, 3, 8);
        REQUIRE(fleet.wait_until_applied(fleet.publish()));
        REQUIRE(fleet.entries[0]->query(make_query("warm", "sea", 5000)).response.has_value());
        item.inject(fleet);
        std::this_thread::sleep_for(milliseconds(50)); // until the fault is in effect
        // More than one query, because the policy chooses among equal replicas at random.
        for (int i = 0; i < queries_per_fault; ++i) {
            auto const query = make_query("q" + std::to_string(i), "love war", 2500);
            auto const result = fleet.entries[0]->query(query);
            journal_sets const journals(fleet);
            check_result(fleet, query, result, journals.received, journals.ran);
            if (item.coverage < 0) {
                REQUIRE(result.failure.has_value());
                CHECK(to_string(result.failure->kind()) == item.refusal);
            } else {
                REQUIRE(result.response.has_value());
                CHECK(result.response->coverage == doctest::Approx(item.coverage));
            }
        }
        fleet.clear_faults();
    }
}

TEST_CASE("a query pinned to an index version that was dropped restarts at the new version")
{
    local_fleet fleet(3, 1, 3, 8);
    REQUIRE(fleet.wait_until_applied(fleet.publish()));
    auto const old_snapshot = fleet.entries[0]->view.current();
    fleet.load_version(2, 5);
    fleet.versions = {2};
    fleet.published_version = 2;
    REQUIRE(fleet.wait_until_applied(fleet.publish()));
    for (auto const& backend : fleet.backends)
        backend->service.drop_version(1);
    // The query starts from the old snapshot, as one does that arrives just before the change is applied.
    std::promise<gather_result> promise;
    auto const query = make_query("q", "sea life", 4000);
    fleet.entries[0]->gather.run(old_snapshot, query,
                                 [&](gather_result result) { promise.set_value(std::move(result)); });
    auto const result = promise.get_future().get();
    REQUIRE(result.response.has_value());
    CHECK(result.response->index_version == 2);
    CHECK(result.response->coverage == doctest::Approx(1.0));
    journal_sets const journals(fleet);
    check_result(fleet, query, result, journals.received, journals.ran);
}

TEST_CASE("randomised: each response has exactly the hits of its query from one index version, and correct coverage")
{
    for (auto seed : random_seeds()) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto const chance = [&random](double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; };
        constexpr std::size_t backend_count = 4;
        constexpr std::size_t entry_count = 2;
        local_fleet fleet(backend_count, entry_count, 6, 16);
        REQUIRE(fleet.wait_until_applied(fleet.publish()));
        std::vector<query_request> queries;
        std::vector<std::future<gather_result>> futures;
        std::vector<std::shared_ptr<std::atomic<int>>> callbacks;
        std::vector<std::int64_t> last_revision(entry_count, 0);
        std::int64_t next_version = 2;
        for (int step = 0; step < steps_per_seed(); ++step) {
            if (chance(0.15)) {
                auto& backend = *fleet.backends[random() % backend_count];
                backend.service.set_faults({.delay_ms = static_cast<std::int64_t>(random() % 500),
                                            .delay_probability = chance(0.5) ? 0.2 : 0.0,
                                            .shed_probability = chance(0.3) ? 0.3 : 0.0,
                                            .garble_probability = chance(0.2) ? 0.2 : 0.0,
                                            .lost_reply_probability = chance(0.2) ? 0.1 : 0.0,
                                            .draining = chance(0.1)});
                backend.server.set_frozen(chance(0.1));
                if (chance(0.15)) backend.server.silence_open_connections();
            }
            if (chance(0.03)) fleet.store.set_faults({{"outage_ms", random() % 500}});
            if (chance(0.03)) fleet.store.server.silence_open_connections();
            if (chance(0.03)) {
                // Repartitioning: a new version with another number of shards is published, and the oldest is dropped.
                fleet.load_version(next_version, static_cast<std::int32_t>(3 + random() % 6));
                fleet.versions = {next_version - 1, next_version};
                fleet.published_version = next_version;
                fleet.store.set_faults(nlohmann::json::object());
                fleet.publish();
                for (auto const& backend : fleet.backends)
                    backend->service.drop_version(next_version - 2);
                ++next_version;
            }
            auto& entry = *fleet.entries[random() % entry_count];
            queries.push_back(make_query("q" + std::to_string(step), random_query(random),
                                         static_cast<std::int64_t>(50 + random() % 1500)));
            auto promise = std::make_shared<std::promise<gather_result>>();
            auto calls = std::make_shared<std::atomic<int>>(0);
            futures.push_back(promise->get_future());
            callbacks.push_back(calls);
            entry.gather.run(entry.view.current(), queries.back(), [promise, calls](gather_result result) {
                if (++*calls == 1) promise->set_value(std::move(result));
            });
            for (std::size_t i = 0; i < entry_count; ++i) {
                auto const revision = fleet.entries[i]->view.current()->revision;
                CHECK(revision >= last_revision[i]);
                last_revision[i] = revision;
            }
            std::this_thread::sleep_for(milliseconds(random() % 8));
        }
        std::vector<gather_result> results;
        for (auto& future : futures)
            results.push_back(future.get());
        fleet.clear_faults();
        std::this_thread::sleep_for(milliseconds(100));
        journal_sets const journals(fleet);
        std::map<std::string, int> outcome_counts;
        for (std::size_t i = 0; i < results.size(); ++i) {
            check_result(fleet, queries[i], results[i], journals.received, journals.ran);
            CHECK(callbacks[i]->load() == 1);
            auto const& result = results[i];
            ++outcome_counts[!result.response ? to_string(result.failure->kind())
                                              : (result.response->missing.empty() ? "whole" : "partial")];
            outcome_counts["retries"] += result.retries;
            outcome_counts["hedges"] += result.hedges;
        }
        outcome_counts["versions"] = static_cast<int>(next_version - 1);
        print_outcome_counts("queries", seed, outcome_counts);
        CHECK(invariant_violations() == 0);
    }
}
