/** @file load_run.hpp Sends a scenario's requests in an open loop and collects the outcome of each. */
#pragma once

#include "results.hpp"

#include <cornelspring/protocol.hpp>
#include <cornelspring/transport.hpp>

#include <mutex>
#include <random>

namespace cornelspring {

/**
 * Runs one scenario. Arrival times are chosen before the run. Each request is sent at its time whether or not
 * earlier ones have finished, so a slow system does not reduce its own load. The scenario's duration and number of
 * requests are bounded.
 */
class load_run {
public:
    /** @param plan the scenario. */
    explicit load_run(scenario plan);
    /** Sends all requests and waits until all have finished. @return the results as JSON. */
    nlohmann::json run();

private:
    /** A scheduled request. */
    struct arrival {
        double at_s;       ///< Time to send it, in seconds after the start.
        std::size_t group; ///< Index of the caller group.
    };

    /** @return all arrivals of the run, with exponential gaps, in order of time. */
    std::vector<arrival> draw_arrivals();
    /** Sends one request. @param item its arrival. @param number its number, part of its id. */
    void send(arrival const& item, std::size_t number);
    /** Records the outcome of a request. @param due scheduled time of its arrival. */
    void record(request_sample sample, client_result const& result, time_point due, std::int64_t deadline_ms);
    /** Sends the faults that are due to the stand-ins. @param now_s seconds after the start. */
    void send_faults(double now_s);
    /** Requests the list of addresses from an entry node once the current list has expired. @param now current time. */
    void refresh_addresses(time_point now);
    /** @return the metrics of each entry node, as Prometheus text. */
    std::vector<std::string> scrape_metrics();
    /** @return how often a write with each idempotency key ran, from the backend servers' journals. */
    std::map<std::string, int> read_journals();

    scenario m_plan;                       ///< Scenario to run.
    std::mt19937_64 m_random;              ///< Random numbers for arrivals, queries and choice of entry node.
    http_client m_entry_client;            ///< Client for requests to entry nodes.
    h2_client m_stand_in_client;           ///< Client for requests to stand-ins and backend servers.
    std::vector<endpoint> m_addresses;     ///< Current addresses of entry nodes.
    time_point m_refresh_at;               ///< Time of the next refresh of m_addresses.
    std::size_t m_next_fault = 0;          ///< Index in m_plan.faults of the next fault.
    time_point m_start;                    ///< Start of the run.
    std::mutex m_mutex;                    ///< Guards the members below.
    std::vector<request_sample> m_samples; ///< Finished requests.
    std::size_t m_in_flight = 0;           ///< Requests in flight.
};

} // namespace cornelspring
