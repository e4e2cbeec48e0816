/** @file dispatcher_impl.hpp State of the dispatcher, shared by its source files (internal). */
#pragma once

#include "request_state.hpp"

namespace cornelspring {

/** Time the final answer needs to reach the caller before its deadline. */
inline constexpr milliseconds deadline_margin{25};

/** @return @p text as a number of milliseconds, when it is one. @param text text. */
std::optional<milliseconds> parse_ms(std::string const& text);
/** @return a response of this VM's own. @param status status. @param text one line for people. */
http_response own_answer(int status, std::string const& text);

/** State of the dispatcher. */
struct dispatcher::impl {
    dispatcher_options options;                                             ///< Settings.
    config_holder const& configs;                                           ///< Configuration in force.
    backend_registry& registry;                                             ///< Backend servers.
    placement_rules const& placement;                                       ///< Which of them a request may reach.
    recent_responses answered;                                              ///< Requests that do not crash servers.
    request_quarantine& quarantine;                                         ///< Requests that crash them.
    dispatcher_hooks hooks;                                                 ///< Outside calls.
    std::mt19937_64 random;                                                 ///< Tie breaks and jitter.
    std::size_t vms = 1;                                                    ///< VMs that share budgets.
    std::optional<time_point> unconfigured_since;                           ///< First request without a configuration.
    std::uint64_t last_attempt = 0;                                         ///< Last attempt id.
    std::unordered_map<std::uint64_t, std::unique_ptr<request_state>> open; ///< By key.
    std::unordered_map<std::uint64_t, open_attempt> attempts;               ///< By id.
    std::set<std::pair<time_point, std::uint64_t>> due;                     ///< Requests by time.
    std::deque<std::pair<time_point, attempt_id>> observed;  ///< Observed attempts by end of observation.
    std::map<std::string, admission_control> admissions;     ///< By the first service of a gather.
    std::map<std::string, duration_window> deadlines;        ///< Recent times that callers of a route still waited.
    std::map<std::string, route_latencies> latencies;        ///< By route name.
    std::map<std::string, std::vector<double>> split_credit; ///< Weighted round robin, by route name.
    /** Requests that ended during the present outside call; functions further up may still refer to them. */
    std::vector<std::unique_ptr<request_state>> ended;

    impl(dispatcher_options o, config_holder const& c, backend_registry& r, placement_rules const& p,
         request_quarantine& q, dispatcher_hooks h, std::uint64_t seed)
        : options(std::move(o)), configs(c), registry(r), placement(p), quarantine(q), hooks(std::move(h)), random(seed)
    {
    }

    /** @return a Retry-After value of at least @p least seconds, spread over as much again. */
    std::string retry_after(double least)
    {
        double const spread = std::uniform_real_distribution<double>(least, 2 * least)(random);
        return std::to_string(std::round(spread * 1000) / 1000);
    }

    /** @return the refusal of a request that has not run. */
    http_response refusal(std::string const& text, double least_s)
    {
        auto response = own_answer(503, text);
        response.headers.push_back({"retry-after", retry_after(least_s)});
        return response;
    }

    /** Answers a request that never became open. */
    void answer_at_once(request_key key, request_summary summary, http_response response, char const* reason)
    {
        summary.status = response.status;
        summary.reason = reason;
        hooks.respond(key, std::move(response));
        hooks.on_finished(summary);
    }

    /** Takes in a request: route, deadline, shards, admission, first attempts. */
    void start(request_key key, http_request message, request_timing timing, caller_address caller, time_point now);
    /** @return seconds after which callers come back at least while no configuration is known. */
    double starting_wait_s(time_point now);
    /** @return the service of a split route for the next request. */
    service_name const& choose_part(route const& via);
    /** Sets deadline and answer time. @return whether enough time is left to begin. */
    bool set_deadline(request_state& request, request_timing timing);
    /** Makes the shards of a request and counts it for their budgets. */
    void add_shards(request_state& request, time_point now);
    /** @return start line and forwarded headers of every attempt of the request. */
    std::string head_bytes(request_state const& request) const;
    /** @return the wait in seconds when too few shards have room, else 0. */
    double blocked_wait_s(request_state& request, time_point now) const;
    /** @return what a choice of a backend server goes by. */
    selection_context scope(request_state const& request, shard_state const& shard) const;
    /** Notes that no backend server was left for a shard, for the log. */
    static void note_miss(request_summary& summary, selection_failure miss);
    /** @return the share of queries like this one that its shards can answer. */
    static double coverable(request_state const& request, time_point now);
    /** @return whether a query may begin now. */
    bool admitted(request_state& request, time_point now);
    /** @return how long callers of the request's route wait at first. @param asked how long this one still waits. */
    milliseconds full_deadline(request_state const& request, milliseconds asked);
    /** Tells admission control how a query went. */
    void leave_admission(request_state& request);
    /** @return the refusal for load, with the time to come back. */
    http_response return_later(request_state const& request);

    /** Notes the digest of a request, for the quarantine and the log. */
    static void look_at(request_state& request);
    /** @return what is believed of a request that arrives. */
    quarantine_status look_up(request_state& request, time_point now);
    /** @return the refusal of a request in quarantine, with the time that it stays there. */
    http_response quarantine_refusal(request_state const& request, time_point now) const;
    /** A suspect begins: it goes to one backend server at a time. */
    void begin_trial(request_state& request);
    /** Sends the first attempts of all shards, or of one when the request is cautious. */
    void first_attempts(request_state& request, time_point now);
    /** A backend server closed the connection under a request. @return false when the request has ended by it. */
    bool on_disconnect(request_state& request, time_point now);
    /** @return whether a shard of a cautious request waits until what is under way of the others has ended. */
    static bool waits_for_others(request_state const& request);
    /** Sends nothing more until a backend server answers, or all attempts have ended; then to one at a time. */
    void become_cautious(request_state& request);
    /** Gives up what runs of a cautious request, where it may be sent again. */
    void hold_all(request_state& request, time_point now);
    /** Sends the first attempt of a shard that was held, or a further one. */
    void send_shard(request_state& request, std::size_t index, time_point now);
    /** Sends the next attempt of a cautious request that has none under way. */
    void next_cautious(request_state& request, time_point now);
    /** A backend server gave an answer to use, so that the request crashes not all. @return whether shards are held. */
    bool on_survived(request_state& request, time_point now);
    /** Sends the shards of a request that was cautious until now. */
    void send_held(request_state& request, time_point now);
    /** Notes for later requests what became of the servers under one that has ended. */
    void draw_conclusions(request_state& request, time_point now);

    /** @return most attempts in flight from this VM at one backend server of the shard. */
    int room(request_state const& request, shard_state const& shard) const;
    /** @return how long an attempt at that distance runs before it is hedged. */
    milliseconds hedge_delay(request_state const& request, proximity where) const;
    /** Sets when the attempt of a shard that is under way at @p where is hedged. */
    void plan_hedge(request_state const& request, shard_state& shard, proximity where, time_point now) const;
    /** Chooses a backend server and sends an attempt. @return why not, if not. */
    selection_failure send(request_state& request, std::size_t index, attempt_reason reason, time_point now);
    /** Sends an attempt to a chosen backend server. */
    void submit(request_state& request, std::size_t index, selection const& chosen, attempt_reason reason,
                time_point now);
    /** Notes a hedge or retry for the log: why there, and what is left of the budget. */
    void note_extra(request_state& request, service_group& group, selection const& chosen, attempt_reason reason,
                    time_point now);
    /** Sends the first attempt of a shard, or lets it wait for room. */
    void first_attempt(request_state& request, std::size_t index, time_point now);
    /** @return whether queries queue at the backend servers of the request's shards. */
    bool queued(request_state const& request, time_point now) const;
    /** @return whether a second attempt at @p other may bring the answer sooner without making others late. */
    bool hedge_gains(request_state const& request, shard_state const& shard, selection const& other,
                     time_point now) const;
    /** @return whether a second attempt that comes up late waits until what has arrived meanwhile is read. */
    bool postpone_hedge(shard_state& shard, time_point now) const;
    /** Sends a second attempt of a slow shard, when budget and replicas allow. */
    void hedge(request_state& request, std::size_t index, time_point now);
    /** Sends a further attempt of a shard whose attempts all failed, or gives it up. */
    void retry(request_state& request, std::size_t index, time_point now);
    /** Puts a shard into its service's queue. */
    void wait_for_room(request_state& request, std::size_t index);
    /** Sends the waiting shards of a service while there is room. */
    void pump(service_group& group, time_point now);

    /** Takes in the result of an attempt. */
    void on_result(attempt_id id, attempt_result result, time_point now);
    /** Takes in how long a backend server says that it stays cold. */
    void note_warmup(backend_server& server, http_response const& response, time_point now) const;
    /** Takes in a whole response. */
    void on_answer(request_state& request, std::size_t index, http_response response, time_point now);
    /** Takes in an attempt without a response to use. */
    void on_failure(request_state& request, std::size_t index, attempt_result const& result, time_point now);
    /** @return whether a response can be (part of) the answer. */
    bool usable_answer(request_state const& request, http_response const& response) const;
    /** A shard has its answer. */
    void shard_done(request_state& request, std::size_t index, time_point now);
    /** A shard is given up. */
    void shard_failed(request_state& request, std::size_t index, time_point now);
    /** Lets go of an attempt that is not needed any more. */
    void release(attempt_id id, bool may_observe, time_point now);

    /** Answers the caller when the request is decided. */
    void check_finish(request_state& request, time_point now);
    /** Ends a request with an answer. */
    void finish(request_key key, http_response response, char const* reason, time_point now);
    /** Tells what became of a request that has ended. */
    void report(request_state& request, time_point now);
    /** @return the answer made of the shards that are done. */
    http_response merged(request_state& request) const;
    /** @return the final failure, true to what may have run. */
    http_response failure_answer(request_state& request, bool timed_out);
    /** Wakes the request at a time, when that is earlier than planned. */
    void arm(request_state& request, time_point when);
    /** Wakes the request at the next of all its times. */
    void rearm(request_state& request, time_point now);
    /** Does what is due for a request. */
    void on_due(request_state& request, time_point now);
    /** Does all that is due. */
    void on_timer(time_point now);
};

} // namespace cornelspring
