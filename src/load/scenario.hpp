/** @file scenario.hpp Scenario of a load run: its requests, their targets, and the faults to inject. */
#pragma once

#include <cornelspring/base.hpp>

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** A stream of requests: the callers of one customer that use one service in one booking window. */
struct caller_group {
    std::string customer;                ///< Customer, such as Leeuwin.
    std::string school;                  ///< School or office of the callers.
    std::string window;                  ///< Booking window, such as "summer-term".
    std::string service;                 ///< Service that receives the requests.
    double rate = 10;                    ///< Mean arrivals per second (open loop, exponential gaps).
    double write_share = 0;              ///< Share of writes (non-idempotent requests).
    std::int64_t deadline_ms = 1000;     ///< Deadline of each request.
    double objective = 0.99;             ///< Share of requests that must be served: full coverage, within the deadline.
    std::vector<std::string> vocabulary; ///< Words to compose queries from.
};

/** A fault to inject at a stand-in at a given time of the run. */
struct fault_event {
    double at_s = 0;     ///< Seconds after the start.
    endpoint target;     ///< Address of the stand-in.
    nlohmann::json body; ///< Body of the request to its fault interface.
};

/** Scenario of a load run. */
struct scenario {
    std::string name;                  ///< Name, copied to the results.
    std::uint64_t seed = 1;            ///< Seed of the random arrivals and queries.
    double duration_s = 10;            ///< Duration of the run.
    double warmup_s = 2;               ///< Requests that arrive before this time are not counted.
    std::vector<endpoint> entries;     ///< Entry nodes that are asked for the list of addresses.
    std::vector<endpoint> backends;    ///< Backend servers whose journals are read after the run to check writes.
    std::vector<caller_group> callers; ///< Caller groups.
    std::vector<fault_event> faults;   ///< Faults in order of time.
};

/** Maximum duration of a run, in seconds. */
inline constexpr double max_duration_s = 600;
/** Maximum expected number of requests of a run. */
inline constexpr std::size_t max_requests = 2000000;

/**
 * Parses a scenario.
 * @param text TOML text. @param source file name, for error messages.
 * @return the scenario.
 * @throw error bad_settings with the key and the remedy, also for an address that is not a loopback address.
 */
scenario parse_scenario(std::string const& text, std::string const& source);

} // namespace cornelspring
