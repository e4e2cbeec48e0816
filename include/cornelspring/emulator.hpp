/**
 * @file emulator.hpp Deterministic model of a whole deployment in virtual time: it drives the gateway's own decisions
 * (dispatcher, replica choice, admission) with modelled callers, network and backend servers, without sockets.
 */
#pragma once

#include <cornelspring/dispatch.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** One kind of request in an emulated deployment. */
struct emulated_kind {
    std::string name;          ///< Name; also its path prefix.
    double per_second = 10;    ///< Arrivals a second over all callers.
    double work_ms = 10;       ///< Mean work of one shard.
    double work_spread = 0.35; ///< Relative spread of the work.
    double tail_share = 0.01;  ///< Share of the work that takes tail_factor times as long.
    double tail_factor = 5;    ///< See tail_share.
    int goal_ms = 250;         ///< Goal.
    int deadline_ms = 2500;    ///< Callers' deadline.
    int priority = 1;          ///< Rank; 0 is the highest.
    double worth = 1;          ///< Value of an answer within its goal.
    double late_worth = 0.1;   ///< Value of a later one, as a share of worth.
    double min_coverage = 0.9; ///< Least share of the shards in a success.
    int retries = 1;           ///< Times a caller tries again.
    double repeat_share = 0;   ///< Share of the callers that repeat at once, whatever they are told,
    int repeat_tries = 4;      ///< so many times.
};

/** A time in which something is different. */
struct emulated_fault {
    double at_s = 0;     ///< Begin.
    double for_s = 1;    ///< Length.
    std::string kind;    ///< burst (x times the arrivals), slow (x times the work at share of the backend servers),
                         ///< dark (share of the backend servers is silent), crash (a share is gone and refuses
                         ///< connections), restart (all gateways forget everything), crashing_request (one that
                         ///< crashes the servers that run it comes again each x seconds, at any gateway).
    double x = 2;        ///< Strength.
    double share = 0.15; ///< Part of the backend servers.
    /** It strikes servers drawn at random, so that some shards lose all their replicas and most lose none; else it is
     *  spread evenly over the shards. */
    bool scattered = false;
};

/** An emulated deployment. */
struct emulated_deployment {
    int vms = 7;                        ///< Gateway VMs, spread over the regions in turn.
    int regions = 3;                    ///< Regions.
    double region_ms = 12;              ///< One way between regions.
    double local_ms = 0.3;              ///< One way within a region.
    int shards = 20;                    ///< Shards.
    int replicas = 2;                   ///< Backend servers of each shard, in regions in turn.
    int slots = 2;                      ///< Requests a backend server works on at once.
    int queue = 12;                     ///< Requests it queues; more are refused.
    double pause_ms = 300;              ///< Length of a pause.
    double pause_every_s = 7.5;         ///< Mean time between pauses; 0: none.
    int max_connections = 26;           ///< Connections a backend server accepts.
    double told_ms = 300;               ///< Time until all gateways know what one tells of crashing requests.
    double down_s = 3;                  ///< Time until a server that a request has crashed is back.
    double seconds = 20;                ///< Length of the run.
    std::uint64_t seed = 1;             ///< Random seed.
    std::vector<emulated_kind> kinds;   ///< Kinds of request.
    std::vector<emulated_fault> faults; ///< Faults.
    dispatcher_options options;         ///< Decisions under test.
};

/** Outcome of one kind of request. */
struct emulated_outcome {
    std::string name;               ///< Kind.
    int asked = 0;                  ///< Requests, without callers' repetitions.
    int in_goal = 0;                ///< Answered within the goal, from the first try on.
    int late = 0;                   ///< Answered later.
    int refused = 0;                ///< Ended refused.
    int failed = 0;                 ///< Ended otherwise.
    double earned = 0;              ///< Value earned.
    double owed = 0;                ///< Value of all answers in time and whole.
    std::vector<double> latency_ms; ///< Of the answered ones, from the first try on.
};

/** Outcome of a run. */
struct emulation_result {
    std::vector<emulated_outcome> kinds; ///< By kind.
    std::vector<double> share_by_second; ///< Value earned of that owed, by second of arrival.
    std::uint64_t attempts = 0;          ///< Attempts at backend servers.
    std::uint64_t other_region = 0;      ///< Attempts that crossed regions.
    std::uint64_t shed = 0;              ///< Attempts refused by backend servers.
    int servers_crashed = 0;             ///< Backend servers that ended under a crashing request.
    int crashing_repeats = 0;            ///< Repetitions of it that reached servers though it was to be known by then.
    /** @return value earned as a share of that owed. */
    double earned_share() const;
};

/** Runs a deployment. @param deployment what to run. @return its outcome; the same for the same input. */
emulation_result emulate(emulated_deployment const& deployment);
/** @return a deployment read from TOML. @param toml_text text. @param source file name. @throw error bad_settings. */
emulated_deployment parse_deployment(std::string const& toml_text, std::string const& source);
/** @return a result as JSON, with percentiles. @param result result. */
nlohmann::json to_json(emulation_result const& result);

} // namespace cornelspring
