/** @file test_load_tools.cpp Tests of cornel-load's scenarios and results, and of the report of cornel-report. */
#include "load/results.hpp"
#include "report/report.hpp"

#include <doctest/doctest.h>

using namespace cornelspring;

namespace {

/** A small valid scenario. */
char const* const valid = R"(
name = "t"
duration_s = 10.0
warmup_s = 1.0
entries = ["127.0.0.1:8080"]
[[caller]]
customer = "Leeuwin"
school = "Fremantle"
window = "summer"
service = "catalogue"
rate = 5.0
objective = 0.9
[[fault]]
at_s = 2.0
target = "127.0.0.1:9000"
body = { delay_ms = 5 }
)";

/** @return a sample of the caller group of the valid scenario. */
request_sample sample(double at_s, double latency_ms, double coverage, std::string outcome)
{
    request_sample out;
    out.at_s = at_s;
    out.latency_ms = latency_ms;
    out.coverage = coverage;
    out.outcome = std::move(outcome);
    return out;
}

} // namespace

TEST_CASE("a valid scenario is parsed, and errors for invalid ones name the key")
{
    auto const plan = parse_scenario(valid, "t.toml");
    CHECK(plan.callers.size() == 1);
    CHECK(plan.callers[0].objective == doctest::Approx(0.9));
    CHECK(plan.faults[0].body["delay_ms"] == 5);
    std::string const text = valid;
    struct bad_case {
        char const* from;
        char const* to;
        char const* named;
    };
    bad_case const cases[] = {
        {"duration_s = 10.0", "duration_s = 4000.0", "duration_s"},
        {"rate = 5.0", "rate = 0.0", "rate"},
        {"rate = 5.0", "rate = 1e9", "rate"},
        {"objective = 0.9", "objective = 1.0", "objective"},
        {"127.0.0.1:8080", "10.0.0.1:8080", "10.0.0.1:8080"},
        {"127.0.0.1:9000", "192.168.0.1:9000", "192.168.0.1:9000"},
        {"school = ", "colour = ", "colour"},
        {"service = \"catalogue\"", "", "service"},
    };
    for (auto const& item : cases) {
        CAPTURE(item.to);
        auto changed = text;
        changed.replace(changed.find(item.from), std::string(item.from).size(), item.to);
        try {
            parse_scenario(changed, "t.toml");
            FAIL("invalid scenario was accepted");
        } catch (error const& failure) {
            CHECK(failure.kind() == error_kind::bad_settings);
            CHECK(failure.message().find(item.named) != std::string::npos);
        }
    }
}

TEST_CASE("results count the requests after the warm-up, and percentiles are exact")
{
    auto const plan = parse_scenario(valid, "t.toml");
    std::vector<request_sample> samples{sample(0.5, 900, 0, "lost")}; // In the warm-up: not counted.
    for (int i = 1; i <= 1000; ++i)
        samples.push_back(sample(2, i, 1.0, "whole"));
    samples.push_back(sample(3, 5000, 0.5, "partial"));
    auto const results = summarize_run(plan, samples, {1000, 10, 20}, {});
    CHECK(results["total"]["requests"] == 1001);
    CHECK(results["total"]["served"] == 1000);
    CHECK(results["total"]["p50_ms"] == doctest::Approx(501));
    CHECK(results["total"]["p99_ms"] == doctest::Approx(991));
    CHECK(results["total"]["max_ms"] == doctest::Approx(5000));
    CHECK(results["backend_requests"]["extra_share"] == doctest::Approx(0.03));
    CHECK(results["groups"][0]["timeline"].size() == 2);
}

TEST_CASE("results count writes that ran more than once, or succeeded without running")
{
    auto plan = parse_scenario(valid, "t.toml");
    plan.backends.push_back({"127.0.0.1", 1});
    std::vector<request_sample> samples;
    for (char const* key : {"once", "twice", "never"}) {
        auto write = sample(2, 10, 1.0, "whole");
        write.is_write = true;
        write.key = key;
        samples.push_back(write);
    }
    auto const results = summarize_run(plan, samples, {}, {{"once", 1}, {"twice", 2}});
    CHECK(results["writes"]["ran_more_than_once"] == 1);
    CHECK(results["writes"]["answered_but_did_not_run"] == 1);
}

TEST_CASE("shard requests are summed over all entry nodes, by kind")
{
    std::string const text = "# HELP x\ncornel_shard_requests_total{kind=\"first\"} 10\n"
                             "cornel_shard_requests_total{kind=\"hedge\"} 2\n";
    auto const sent = read_backend_requests({text, text});
    CHECK(sent.first == doctest::Approx(20));
    CHECK(sent.hedge == doctest::Approx(4));
    CHECK(sent.retry == doctest::Approx(0));
}

TEST_CASE("the burn report shows each customer, service, school and window, with HTML escaped")
{
    auto plan = parse_scenario(valid, "t.toml");
    plan.callers[0].school = "<Fremantle>";
    std::vector<request_sample> samples;
    for (int i = 0; i < 8; ++i)
        samples.push_back(sample(2, 10, 1.0, "whole"));
    samples.push_back(sample(3, 10, 0.5, "partial"));
    samples.push_back(sample(3, 10, 0.5, "partial"));
    error_budget const spent{10, 8, 0.9};
    CHECK(spent.burn_rate() == doctest::Approx(2.0));
    auto const page = render_report({summarize_run(plan, samples, {}, {})});
    for (char const* part : {"Leeuwin", "catalogue", "&lt;Fremantle&gt;", "summer", "<svg", "2.00"}) {
        CAPTURE(part);
        CHECK(page.find(part) != std::string::npos);
    }
    CHECK(page.find("<Fremantle>") == std::string::npos);
    CHECK_THROWS_AS(render_report({nlohmann::json::object()}), error);
}
