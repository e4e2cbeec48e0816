/** @file test_coverage_admission.cpp Overload of some shards: queries that would lack shards are rejected on arrival.
 */
#include <cornelspring/emulator.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;

namespace {

/** Outcomes of queries, summed over several seeds. */
struct query_outcomes {
    double deadline_check_in_goal =
        0;               ///< Queries of kind 1 (deadline-check: short goal, lower coverage) within their goal.
    double served = 0;   ///< Queries with a successful response.
    double rejected = 0; ///< Queries rejected as not run.
    double failed = 0;   ///< Queries that failed otherwise.
};

/** @return the deployment of the example file with @p seed. */
emulated_deployment slow_shards_at_size(std::uint64_t seed)
{
    std::string const path = std::string(CORNEL_SOURCE_DIR) + "/examples/emulator/slow-shards-at-size.toml";
    auto made = parse_deployment(read_file(path), path);
    made.seed = seed;
    return made;
}

/** @return the outcomes over the seeds 1 to 16. @param by_coverage whether coverable_share() limits admission. */
query_outcomes emulate_seeds(bool by_coverage)
{
    query_outcomes total;
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        auto deployment = slow_shards_at_size(seed);
        deployment.options.by_coverage = by_coverage;
        auto const result = emulate(deployment);
        total.deadline_check_in_goal += result.kinds.at(1).in_goal;
        for (auto const& kind : result.kinds) {
            total.served += kind.in_goal + kind.late;
            total.rejected += kind.refused;
            total.failed += kind.failed;
        }
    }
    return total;
}

} // namespace

TEST_CASE(
    "admission by coverage: queries that would lack shards are rejected instead of failing, and no fewer are served")
{
    // Measured over seeds 1 to 48, per run of 747 queries, without and with by_coverage: failed 126 and 89, rejected 5
    // and 36, served 615 and 623, deadline-check queries within their goal 114 and 117 of 186.
    auto const before = emulate_seeds(false);
    auto const after = emulate_seeds(true);
    CHECK(after.failed < 0.75 * before.failed);
    CHECK(after.served > 0.99 * before.served);
    CHECK(after.deadline_check_in_goal > before.deadline_check_in_goal);
}

TEST_CASE("admission by coverage: runs with random crashes and faults are reproducible by their seed")
{
    CHECK(to_json(emulate(slow_shards_at_size(3))) == to_json(emulate(slow_shards_at_size(3))));
    CHECK(to_json(emulate(slow_shards_at_size(3))) != to_json(emulate(slow_shards_at_size(4))));
}

TEST_CASE("admission by coverage: no query is rejected for coverage if all shards can handle the load")
{
    auto calm = slow_shards_at_size(1);
    calm.faults.clear();
    auto const result = emulate(calm);
    for (auto const& kind : result.kinds)
        CHECK(kind.refused + kind.failed == 0);
}

TEST_CASE("coverable share: the worst shards may be left out, and the next worst one limits the share")
{
    std::vector<double> shares(20, 1.0);
    CHECK(coverable_share(shares, 18) == 1.0);
    shares[3] = shares[11] = 0;
    CHECK(coverable_share(shares, 18) == 1.0);
    shares[7] = 0.4;
    CHECK(coverable_share(shares, 18) == doctest::Approx(0.5));
    CHECK(coverable_share(shares, 20) == doctest::Approx(0.1)); // The minimum share, which detects the recovery.
    CHECK(coverable_share({}, 0) == 1.0);
}

TEST_CASE("shard outlook: a failure counts for some seconds, and simultaneous failures count little more than one")
{
    using std::chrono::milliseconds;
    auto const start = time_point{} + std::chrono::seconds(100);
    shard_availability outlook;
    CHECK(outlook.response_rate(start) == 1.0);
    outlook.on_outcome(false, start);
    CHECK(outlook.response_rate(start) == doctest::Approx(0.5));
    CHECK(outlook.response_rate(start + milliseconds(10000)) > 0.99);
    for (int i = 1; i <= 5; ++i)
        outlook.on_outcome(false, start + milliseconds(i));
    CHECK(outlook.response_rate(start + milliseconds(5)) > 0.35);
    outlook.on_outcome(false, start + milliseconds(900));
    CHECK(outlook.response_rate(start + milliseconds(900)) < 0.35);
    outlook.on_outcome(true, start + milliseconds(1800));
    CHECK(outlook.response_rate(start + milliseconds(1800)) > 0.6);
}
