/**
 * @file emulator.hpp Deterministic discrete-event simulation of a complete deployment. Callers, network and backend
 * servers are modelled; the gateways run the production dispatcher, replica choice and admission code, without
 * sockets.
 */
#pragma once

#include <cornelspring/dispatch.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** One kind of request in an emulated deployment; the members are named after their TOML keys. */
struct emulated_kind {
    std::string name;          ///< Name; also the path prefix of its requests.
    double per_second = 10;    ///< Arrivals per second over all callers.
    double work_ms = 10;       ///< Mean processing time of one shard's part of a request, in milliseconds.
    double work_spread = 0.35; ///< Standard deviation of the processing time, relative to its mean.
    double tail_share = 0.01;  ///< Share of the attempts that take tail_factor times as long.
    double tail_factor = 5;    ///< Factor on the processing time of the attempts in tail_share.
    int goal_ms = 250;         ///< Latency goal.
    int deadline_ms = 2500;    ///< Deadline, from the first try.
    int priority = 1;          ///< Priority; 0 is the highest.
    double worth = 1;          ///< Value of a complete response within the latency goal.
    double late_worth = 0.1;   ///< Value of a response after the goal, as a share of worth.
    double min_coverage = 0.9; ///< Minimum coverage of a successful response.
    int retries = 1;           ///< Maximum number of retries by a caller.
    double repeat_share = 0;   ///< Share of the callers that retry immediately and ignore Retry-After.
    int repeat_tries = 4;      ///< Maximum number of retries by the callers in repeat_share.
};

/** A fault or load change that lasts for a given time. */
struct emulated_fault {
    double at_s = 0;     ///< Start, in seconds after the start of the run.
    double for_s = 1;    ///< Duration in seconds.
    std::string kind;    ///< "burst": x times the arrival rate. "slow": x times the processing time at a share of the
                         ///< backend servers. "dark": a share of them accepts requests and sends no response.
                         ///< "crash": a share of them is down and refuses connections. "restart": all gateways
                         ///< restart and lose their state. "crashing_request": a request that crashes each backend
                         ///< server that runs it is sent every x seconds, each time to a random gateway.
    double x = 2;        ///< Factor or interval; see kind.
    double share = 0.15; ///< Share of the backend servers that are affected.
    /** Affects randomly chosen backend servers, so that some shards lose all their replicas and most lose none.
     *  Otherwise, the affected servers are spread evenly over the shards. */
    bool scattered = false;
};

/** An emulated deployment; the members are named after their TOML keys. */
struct emulated_deployment {
    int vms = 7;                ///< Number of VMs, each with one gateway; assigned to the regions round-robin.
    int regions = 3;            ///< Number of regions.
    double region_ms = 12;      ///< One-way network delay between two regions.
    double local_ms = 0.3;      ///< One-way network delay within a region.
    int shards = 20;            ///< Number of shards.
    int replicas = 2;           ///< Number of replicas of each shard, placed in consecutive regions.
    int slots = 2;              ///< Requests that a backend server runs concurrently.
    int queue = 12;             ///< Queue length of a backend server; it rejects requests beyond that.
    double pause_ms = 300;      ///< Duration of a pause, in which a backend server makes no progress.
    double pause_every_s = 7.5; ///< Mean time between two pauses of a backend server; 0: no pauses.
    int max_connections = 26;   ///< Connections that a backend server accepts, as configured for its service.
    double told_ms = 300;       ///< Time until a gateway's crash records reach all other gateways.
    /** Time of a gateway's call to the collector of demand, in one direction; 0: no such calls, so that each gateway
     *  controls admission by itself. */
    double demand_ms = 0;
    double down_s = 3;                  ///< Time until a backend server that a request crashed runs again.
    double seconds = 20;                ///< Time in which requests arrive, in seconds.
    std::uint64_t seed = 1;             ///< Random seed.
    std::vector<emulated_kind> kinds;   ///< Kinds of requests.
    std::vector<emulated_fault> faults; ///< Faults.
    dispatcher_options options;         ///< Settings of the gateways' dispatchers.
};

/** Outcome of the requests of one kind; the members are named after their JSON keys. */
struct emulated_outcome {
    std::string name;               ///< Name of the kind.
    int asked = 0;                  ///< Requests, not counting callers' retries.
    int in_goal = 0;                ///< Successful within the latency goal, measured from the first try.
    int late = 0;                   ///< Successful after the latency goal.
    int refused = 0;                ///< Last try rejected with status 503.
    int failed = 0;                 ///< Last try failed in another way.
    double earned = 0;              ///< Sum of the values of the responses.
    double owed = 0;                ///< Value if every response had been complete and within the goal.
    std::vector<double> latency_ms; ///< Latencies of the successful requests, from the first try.
};

/** Outcome of a run; the members are named after their JSON keys. */
struct emulation_result {
    std::vector<emulated_outcome> kinds; ///< Outcome by kind of request.
    std::vector<double> share_by_second; ///< Earned share of the owed value, by second of arrival.
    std::uint64_t attempts = 0;          ///< Attempts sent to backend servers.
    std::uint64_t other_region = 0;      ///< Attempts sent to another region.
    std::uint64_t shed = 0;              ///< Attempts rejected by backend servers because their queues were full.
    int servers_crashed = 0;             ///< Crashes of backend servers that a crashing request caused.
    int crashing_repeats = 0; ///< Crashing requests sent to backend servers after quarantine had to be in force.
    /** @return the earned share of the owed value. */
    double earned_share() const;
};

/** Simulates a deployment. @param deployment deployment to run. @return outcome; equal for equal input. */
emulation_result emulate(emulated_deployment const& deployment);
/** Parses a deployment. @param toml_text TOML text. @param source file name, for error messages. @return the
 *  deployment. @throw error bad_settings. */
emulated_deployment parse_deployment(std::string const& toml_text, std::string const& source);
/** @return @p result as JSON, with latency percentiles. @param result outcome of a run. */
nlohmann::json to_json(emulation_result const& result);

} // namespace cornelspring
