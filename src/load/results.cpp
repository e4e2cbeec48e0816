/** @file results.cpp Percentiles and counts of a load run. All samples are kept, so that percentiles are exact. */
#include "results.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace cornelspring {
namespace {

/** @return the @p quantile of the sorted @p values by nearest rank, or 0 if there are none. */
double percentile(std::vector<double> const& values, double quantile)
{
    if (values.empty()) return 0;
    auto const rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    return values[std::min(values.size(), std::max<std::size_t>(1, rank)) - 1];
}

/** @return p50, p99, p99.9 and maximum of @p values. */
nlohmann::json latency_json(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {{"p50_ms", percentile(values, 0.50)},
            {"p99_ms", percentile(values, 0.99)},
            {"p999_ms", percentile(values, 0.999)},
            {"max_ms", values.empty() ? 0 : values.back()}};
}

/** @return whether @p sample counts as served: full coverage and within the deadline. */
bool is_served(request_sample const& sample) { return sample.outcome == "whole"; }

/** @return counts, latencies and coverage of @p samples. */
nlohmann::json summary_json(std::vector<request_sample const*> const& samples)
{
    std::map<std::string, int> outcomes;
    std::map<std::string, int> coverage;
    std::vector<double> latencies;
    double coverage_sum = 0;
    int queries = 0;
    int served = 0;
    for (auto const* sample : samples) {
        ++outcomes[sample->outcome];
        latencies.push_back(sample->latency_ms);
        if (is_served(*sample)) ++served;
        if (sample->is_write) continue;
        ++queries;
        coverage_sum += sample->coverage;
        std::ostringstream bucket;
        bucket.precision(2);
        bucket << std::fixed << std::floor(sample->coverage * 20) / 20;
        ++coverage[bucket.str()];
    }
    nlohmann::json out = latency_json(std::move(latencies));
    out["requests"] = samples.size();
    out["served"] = served;
    out["outcomes"] = outcomes;
    out["coverage_mean"] = queries == 0 ? 1.0 : coverage_sum / queries;
    out["coverage"] = coverage;
    return out;
}

/** @return requests, served requests and p99 latency of @p samples for each second. */
nlohmann::json timeline_json(std::vector<request_sample const*> const& samples)
{
    std::map<int, std::pair<int, int>> seconds;
    std::map<int, std::vector<double>> latencies;
    for (auto const* sample : samples) {
        int const second = static_cast<int>(sample->at_s);
        ++seconds[second].first;
        if (is_served(*sample)) ++seconds[second].second;
        latencies[second].push_back(sample->latency_ms);
    }
    nlohmann::json list = nlohmann::json::array();
    for (auto const& [second, counts] : seconds) {
        auto& values = latencies[second];
        std::sort(values.begin(), values.end());
        list.push_back({{"second", second},
                        {"requests", counts.first},
                        {"served", counts.second},
                        {"p99_ms", percentile(values, 0.99)}});
    }
    return list;
}

} // namespace

backend_requests read_backend_requests(std::vector<std::string> const& texts)
{
    backend_requests total;
    for (auto const& text : texts) {
        std::istringstream lines(text);
        std::string line;
        while (std::getline(lines, line)) {
            if (line.rfind("cornel_shard_requests_total{", 0) != 0) continue;
            double const value = std::atof(line.substr(line.rfind(' ') + 1).c_str());
            if (line.find("kind=\"first\"") != std::string::npos) total.first += value;
            if (line.find("kind=\"retry\"") != std::string::npos) total.retry += value;
            if (line.find("kind=\"hedge\"") != std::string::npos) total.hedge += value;
        }
    }
    return total;
}

nlohmann::json summarize_run(scenario const& plan, std::vector<request_sample> const& samples,
                             backend_requests const& sent, std::map<std::string, int> const& runs)
{
    std::vector<request_sample const*> counted;
    std::vector<std::vector<request_sample const*>> by_group(plan.callers.size());
    int ran_twice = 0;
    int answered_not_ran = 0;
    for (auto const& sample : samples) {
        if (sample.at_s < plan.warmup_s) continue;
        counted.push_back(&sample);
        by_group[sample.group].push_back(&sample);
        if (!sample.is_write || plan.backends.empty()) continue;
        auto const found = runs.find(sample.key);
        int const times = found == runs.end() ? 0 : found->second;
        if (times > 1) ++ran_twice;
        if (is_served(sample) && times == 0) ++answered_not_ran;
    }
    nlohmann::json groups = nlohmann::json::array();
    for (std::size_t i = 0; i < by_group.size(); ++i) {
        auto const& group = plan.callers[i];
        auto item = summary_json(by_group[i]);
        item["customer"] = group.customer;
        item["school"] = group.school;
        item["window"] = group.window;
        item["service"] = group.service;
        item["deadline_ms"] = group.deadline_ms;
        item["objective"] = group.objective;
        item["timeline"] = timeline_json(by_group[i]);
        groups.push_back(std::move(item));
    }
    double const extra = sent.first == 0 ? 0 : (sent.retry + sent.hedge) / sent.first;
    return {{"scenario", plan.name},
            {"seed", plan.seed},
            {"duration_s", plan.duration_s},
            {"warmup_s", plan.warmup_s},
            {"total", summary_json(counted)},
            {"backend_requests",
             {{"first", sent.first}, {"retry", sent.retry}, {"hedge", sent.hedge}, {"extra_share", extra}}},
            {"writes", {{"ran_more_than_once", ran_twice}, {"answered_but_did_not_run", answered_not_ran}}},
            {"groups", groups}};
}

} // namespace cornelspring
