/** @file results.hpp Results of a load run: samples, percentiles, coverage, extra attempts, and checks that each write
 * ran once. */
#pragma once

#include "scenario.hpp"

#include <map>

namespace cornelspring {

/** Outcome of one request of the run. */
struct request_sample {
    std::size_t group = 0; ///< Index of the caller group.
    double at_s = 0;       ///< Scheduled arrival, in seconds after the start.
    double latency_ms = 0; ///< From the scheduled arrival to the response, including any delay in sending.
    double coverage = 0;   ///< Coverage that the response reports; 0 without a response.
    bool is_write = false; ///< Whether it is a write (non-idempotent).
    std::string outcome;   ///< "whole", "partial", "late", "lost" or an error kind.
    std::string key;       ///< Idempotency key (writes).
};

/** Numbers of attempts that entry nodes sent to backend servers, from their metrics. */
struct backend_requests {
    double first = 0; ///< First attempts.
    double retry = 0; ///< Retries.
    double hedge = 0; ///< Hedges.
};

/** @return the shard-request counters summed over all entry nodes. @param texts Prometheus text of each one. */
backend_requests read_backend_requests(std::vector<std::string> const& texts);

/**
 * @return the results as JSON: totals, one object per caller group, and a timeline by second.
 * @param plan the scenario. @param samples all requests. @param sent attempts sent from the end of the warm-up on.
 * @param runs how often a write with each idempotency key ran, from the backend servers' journals.
 */
nlohmann::json summarize_run(scenario const& plan, std::vector<request_sample> const& samples,
                             backend_requests const& sent, std::map<std::string, int> const& runs);

} // namespace cornelspring
