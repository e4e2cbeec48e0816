/** @file request_state.hpp What the dispatcher keeps of each request, shard and attempt (internal). */
#pragma once

#include <cornelspring/dispatch.hpp>

namespace cornelspring {

/** Recent shard latencies of one route: answers from another region take a round trip more, so that one window for both
 *  would hedge the near ones too late. */
struct route_latencies {
    duration_window near; ///< From backend servers of this region.
    duration_window far;  ///< From other regions.
    /** @return the window for backend servers at @p where. */
    duration_window& of(proximity where) { return where == proximity::other_region ? far : near; }
};

/** Why an attempt is sent. */
enum class attempt_reason { first, retry, hedge };

/** An attempt that has not ended. */
struct open_attempt {
    request_key request;                    ///< Request it serves.
    std::size_t shard = 0;                  ///< Shard of the request.
    service_group* group = nullptr;         ///< Service.
    std::shared_ptr<backend_server> target; ///< Backend server.
    duration_window* latencies = nullptr;   ///< Window of the route, for its sample.
    time_point sent;                        ///< When it was sent.
    bool trial = false;                     ///< Sent while its request was cautious.
    bool observed = false;                  ///< Its shard is done; it runs on only to time its backend server.
};

/** Progress of one shard of a request; a plain request has one. */
struct shard_state {
    service_group* group = nullptr;      ///< Service.
    warmup_spec const* warmup = nullptr; ///< Its word on cold servers, in the request's configuration.
    std::vector<backend_id> tried;       ///< Backend servers that had an attempt.
    std::vector<attempt_id> open;        ///< Attempts not ended.
    int sends = 0;                       ///< Attempts begun.
    int arrivals = 0;                    ///< Attempts that may have reached a backend server.
    int runs = 0;                        ///< Attempts that may have run.
    bool done = false;                   ///< A usable answer is there.
    bool failed = false;                 ///< Given up.
    bool waiting = false;                ///< In the group's queue for room.
    bool held = false;                   ///< Waits until another shard of a cautious request was answered.
    time_point hedge_at;                 ///< When to hedge; max: never.
    bool hedge_postponed = false;        ///< The hedge came up late once.
    time_point retry_at;                 ///< When to try again; max: never.
    std::optional<http_response> answer; ///< The answer, or the latest failure of a backend server.
};

/** A request not yet answered. */
struct request_state {
    request_key key;                              ///< Key.
    http_request message;                         ///< As received.
    std::string head_bytes;                       ///< Start line and forwarded headers, ready to send.
    std::shared_ptr<serving_config const> config; ///< Version that serves it.
    route const* via = nullptr;                   ///< Route, inside config.
    time_point arrived;                           ///< When it was read.
    time_point deadline;                          ///< Final answer at the latest.
    bool returning = false;                       ///< Its caller tried before, by the time that has gone.
    milliseconds gone{0};                         ///< Time of its caller that had gone before it sent the request.
    time_point answer_by;                         ///< A sufficient answer goes out at this time.
    time_point due = time_point::max();           ///< Entry in the dispatcher's time list.
    route_latencies* latencies = nullptr;         ///< Recent shard latencies of the route.
    std::vector<shard_state> shards;              ///< Shards.
    std::size_t done = 0;                         ///< Shards done.
    std::size_t failed = 0;                       ///< Shards given up.
    std::size_t needed = 1;                       ///< Shards that a success needs.
    admission_control* admission = nullptr;       ///< Where it was admitted; null when it was not asked.
    bool half_answered = false;                   ///< Half of the shards have answered.
    bool cautious = false;                        ///< It goes to one backend server at a time.
    bool on_trial = false;                        ///< It was a suspect when it came.
    bool survived = false;                        ///< Some backend server answered it.
    int trials = 0;                               ///< Attempts sent while it was cautious that may have run.
    request_summary summary;                      ///< For logs.
    /** @return whether the route gathers shards. */
    bool gathers() const { return via->gather.has_value(); }
    /** @return whether some attempt may have run, or still may. */
    bool may_have_run() const;
};

} // namespace cornelspring
