/** @file load_run.hpp Sending a scenario's requests in an open loop and collecting what came of each. */
#pragma once

#include "results.hpp"

#include <cornelspring/protocol.hpp>
#include <cornelspring/transport.hpp>

#include <mutex>
#include <random>

namespace cornelspring {

/**
 * Runs one scenario. Arrivals are drawn beforehand and sent at their times whether or not earlier ones
 * were answered, so a slow system cannot slow its own load. Bounded by the scenario's length and count.
 */
class load_run {
public:
    /** @param plan the scenario. */
    explicit load_run(scenario plan);
    /** Sends everything and waits for the last answer. @return the results as JSON. */
    nlohmann::json run();

private:
    /** A request to be sent. */
    struct arrival {
        double at_s;       ///< When.
        std::size_t group; ///< Caller group.
    };

    /** Draws every arrival of the run. */
    std::vector<arrival> draw_arrivals();
    /** Sends one request. */
    void send(arrival const& item, std::size_t number);
    /** Notes the result of a request. */
    void record(request_sample sample, client_result const& result, time_point due, std::int64_t deadline_ms);
    /** Sends the faults that are due. */
    void send_faults(double now_s);
    /** Asks an entry node which addresses to use, and keeps the answer for its time to keep. */
    void refresh_addresses(time_point now);
    /** @return the metrics of every entry node. */
    std::vector<std::string> scrape_metrics();
    /** @return how often each idempotency key ran, from the back ends' journals. */
    std::map<std::string, int> read_journals();

    scenario m_plan;                       ///< What to run.
    std::mt19937_64 m_random;              ///< Arrivals, queries and entry choice.
    http_client m_entry_client;            ///< Towards entry nodes.
    h2_client m_stand_in_client;           ///< Towards stand-ins.
    std::vector<endpoint> m_addresses;     ///< Entry addresses in use.
    time_point m_refresh_at;               ///< When they are asked for again.
    std::size_t m_next_fault = 0;          ///< Next of m_plan.faults.
    time_point m_start;                    ///< Start of the run.
    std::mutex m_mutex;                    ///< Guards the fields below.
    std::vector<request_sample> m_samples; ///< Finished requests.
    std::size_t m_in_flight = 0;           ///< Requests without a result.
};

} // namespace cornelspring
