/** @file request_state.hpp State of each request, shard and attempt in the dispatcher (internal). */
#pragma once

#include <cornelspring/dispatch.hpp>

namespace cornelspring {

/** Recent shard latencies of one route. Responses from another region take an additional round trip, so that a common
 *  window would delay the hedges of near shards. */
struct route_latencies {
    duration_window near; ///< From backend servers of this region.
    duration_window far;  ///< From other regions.
    /** @return the window for backend servers at distance @p where. */
    duration_window& of(proximity where) { return where == proximity::other_region ? far : near; }
};

/** Why an attempt is sent. */
enum class attempt_reason { first, retry, hedge };

/** An attempt in flight. */
struct open_attempt {
    request_key request;                    ///< Request it belongs to.
    std::size_t shard = 0;                  ///< Index of the shard in the request.
    service_group* group = nullptr;         ///< Service.
    std::shared_ptr<backend_server> target; ///< Backend server.
    duration_window* latencies = nullptr;   ///< Window that receives its latency.
    time_point sent_at;                     ///< Time of sending.
    bool sequential = false;                ///< Sent while the attempts of its request were sent one at a time.
    bool observed = false;                  ///< No longer needed; runs on only to measure its backend server.
};

/** Progress of one shard of a request. A request without a gather has one shard. */
struct shard_state {
    service_group* group = nullptr;        ///< Service.
    warmup_spec const* warmup = nullptr;   ///< Warm-up settings of the service in the request's configuration.
    std::vector<backend_id> tried;         ///< Backend servers that an attempt was sent to.
    std::vector<attempt_id> in_flight;     ///< Attempts in flight.
    int sends = 0;                         ///< Number of attempts.
    int maybe_received = 0;                ///< Number of attempts that may have reached a backend server.
    int maybe_run = 0;                     ///< Number of attempts that may have run.
    bool done = false;                     ///< A usable response was received.
    bool failed = false;                   ///< It has finished without a usable response.
    bool queued = false;                   ///< In the service's queue for a free connection.
    bool held = false;                     ///< Waits for attempts at other shards, as attempts are sent one at a time.
    time_point hedge_at;                   ///< Time of the hedge; max: none.
    bool hedge_postponed = false;          ///< The hedge was postponed once, as it was due late.
    time_point retry_at;                   ///< Time of the retry; max: none.
    std::optional<http_response> response; ///< Usable response, or else the last response received.
    /** Connections of the attempts that have finished without a usable response. */
    std::vector<connection_id> used_connections;
};

/** A request that waits for a token of its customer's quota. */
struct quota_waiter {
    http_request message;    ///< Request as received.
    request_timing timing;   ///< Its time outside the dispatcher.
    request_summary summary; ///< Summary so far.
    time_point since;        ///< When it began to wait.
};

/** A request that waits until this VM may try it, as it has crashed backend servers. */
struct trial_waiter {
    request_key key;         ///< Key.
    http_request message;    ///< Request as received.
    request_timing timing;   ///< Its time outside the dispatcher.
    request_summary summary; ///< Summary so far.
    time_point since;        ///< When it began to wait.
};

/** A request without a response. */
struct request_state {
    request_key key;                              ///< Key.
    http_request message;                         ///< Request as received.
    std::string head_bytes;                       ///< Start line and forwarded headers, serialized.
    std::shared_ptr<serving_config const> config; ///< Configuration that it is handled with.
    route const* matched_route = nullptr;         ///< Route, inside config.
    customer const* by = nullptr;                 ///< Customer, inside config; null if it has no key and needs none.
    region_set home_region_set;                   ///< Regions that may serve it, by route and customer; empty: all.
    time_point arrived_at;                        ///< Time at which it was read.
    time_point admission_at;                      ///< The same on the clock of admission control.
    time_point deadline;                          ///< Latest time of the response.
    bool retried = false;                         ///< Its caller has tried before, judging by the time already spent.
    milliseconds caller_time_spent{0};            ///< Time that its caller had spent before sending it.
    time_point respond_by;                        ///< When a response with sufficient coverage is sent, at the latest.
    time_point due = time_point::max();           ///< Its timer in the dispatcher's list.
    route_latencies* latencies = nullptr;         ///< Recent shard latencies of the route.
    std::vector<shard_state> shards;              ///< Shards.
    std::size_t done = 0;                         ///< Number of shards with a usable response.
    std::size_t failed = 0;                       ///< Number of failed shards.
    std::size_t needed = 1;                       ///< Number of shards that a successful response needs.
    admission_control* admission = nullptr;       ///< Admission control that admitted it, or null.
    std::optional<query_ticket> ticket;           ///< Its entry in the demand, while its needed shards are missing.
    /** Decision of fleet-wide admission control. */
    share_outcome by_share = share_outcome::admitted;
    bool half_responded = false;  ///< Half of the shards have responded.
    bool sequential = false;      ///< Attempts are sent one at a time, as it may crash backend servers.
    bool on_trial = false;        ///< It was a suspect on arrival, and this is its trial.
    bool usable_received = false; ///< Some backend server has sent a usable response.
    int sequential_runs = 0;      ///< Attempts of the one-at-a-time phase that may have run.
    int resets = 0;               ///< Attempts that ended with a reset which may not be due to a crash.
    request_summary summary;      ///< Summary for logs and metrics.
    /** @return its priority in queues. */
    request_priority priority() const { return {by == nullptr ? 0 : by->priority, matched_route->priority}; }
    /** @return whether its route is a gather. */
    bool gathers() const { return matched_route->gather.has_value(); }
    /** @return whether some attempt may have run or may still run. */
    bool may_have_run() const;
};

} // namespace cornelspring
