/** @file scenario.hpp What a load run sends, to whom, and which faults it provokes when. */
#pragma once

#include <cornelspring/base.hpp>

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** One stream of requests: a customer's callers of one service in one booking window. */
struct caller_group {
    std::string customer;                ///< Customer, such as Leeuwin.
    std::string school;                  ///< School or office the callers belong to.
    std::string window;                  ///< Booking window, such as "summer-term".
    std::string service;                 ///< Service queried.
    double rate = 10;                    ///< Mean arrivals per second (open loop, exponential gaps).
    double write_share = 0;              ///< Share of the requests that are non-idempotent.
    std::int64_t deadline_ms = 1000;     ///< Deadline given with each request.
    double objective = 0.99;             ///< Share of requests that must be answered whole and in time.
    std::vector<std::string> vocabulary; ///< Words that queries are made of.
};

/** A fault set on a stand-in at a moment of the run. */
struct fault_event {
    double at_s = 0;     ///< Seconds after the start.
    endpoint target;     ///< Stand-in's address.
    nlohmann::json body; ///< Body for its fault interface.
};

/** A load run. */
struct scenario {
    std::string name;                  ///< Name, kept in the results.
    std::uint64_t seed = 1;            ///< Seed of arrivals and queries.
    double duration_s = 10;            ///< Length of the run.
    double warmup_s = 2;               ///< Requests sent before this are not counted.
    std::vector<endpoint> entries;     ///< Entry nodes first asked for addresses.
    std::vector<endpoint> backends;    ///< Back ends whose journals are read at the end (writes).
    std::vector<caller_group> callers; ///< Streams of requests.
    std::vector<fault_event> faults;   ///< Faults by time.
};

/** Longest run, in seconds. */
inline constexpr double max_duration_s = 600;
/** Most requests of one run. */
inline constexpr std::size_t max_requests = 2000000;

/**
 * Reads a scenario from TOML.
 * @param text the TOML. @param source file name, for messages.
 * @return the scenario.
 * @throw error bad_settings naming the key and the remedy; addresses must be on loopback.
 */
scenario parse_scenario(std::string const& text, std::string const& source);

} // namespace cornelspring
