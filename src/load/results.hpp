/** @file results.hpp What a load run measured: samples, percentiles, coverage, extra back-end load, exactly-once. */
#pragma once

#include "scenario.hpp"

#include <map>

namespace cornelspring {

/** How one request of the run ended. */
struct request_sample {
    std::size_t group = 0; ///< Caller group.
    double at_s = 0;       ///< Scheduled arrival, seconds after the start.
    double latency_ms = 0; ///< From the scheduled arrival to the answer: waiting to be sent counts.
    double coverage = 0;   ///< Coverage reported; 0 without an answer.
    bool is_write = false; ///< Non-idempotent request.
    std::string outcome;   ///< "whole", "partial", "late", "lost" or an error kind.
    std::string key;       ///< Idempotency key (writes).
};

/** Requests that entry nodes sent to back ends, by kind, from their metrics. */
struct backend_requests {
    double first = 0; ///< First tries.
    double retry = 0; ///< After a failure.
    double hedge = 0; ///< While another was open.
};

/** @return the shard-request counters summed over Prometheus texts. @param texts one per entry node. */
backend_requests read_backend_requests(std::vector<std::string> const& texts);

/**
 * @return the results as JSON: totals, one object per caller group, and a timeline by second.
 * @param plan the scenario. @param samples every request. @param sent back-end requests of the run.
 * @param runs how often each idempotency key ran, from the back ends' journals.
 */
nlohmann::json summarize_run(scenario const& plan, std::vector<request_sample> const& samples,
                             backend_requests const& sent, std::map<std::string, int> const& runs);

} // namespace cornelspring
