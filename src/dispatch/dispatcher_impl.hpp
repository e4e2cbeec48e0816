/** @file dispatcher_impl.hpp State of the dispatcher, shared by its source files (internal). */
#pragma once

#include "request_state.hpp"

namespace cornelspring {

/** Time that the final response needs to reach the caller before its deadline. */
inline constexpr milliseconds deadline_margin{25};

/** Header that carries an API key. */
inline constexpr std::string_view authorization_header = "authorization";

/** @return the milliseconds that @p text gives as a decimal number, or nothing if it is none. @param text text. */
std::optional<milliseconds> parse_ms(std::string const& text);
/** @return a response made by this gateway. @param status HTTP status. @param text one line of text for its body. */
http_response local_response(int status, std::string const& text);

/** State of the dispatcher. */
struct dispatcher::impl {
    dispatcher_options options;                   ///< Settings.
    config_holder const& configs;                 ///< Configuration in force.
    backend_registry& registry;                   ///< Backend servers.
    placement_rules const& placement;             ///< Placement rules.
    recent_responses safe_requests;               ///< Requests known not to crash backend servers.
    request_quarantine& quarantine;               ///< Requests that crash backend servers.
    quota_usage& quotas;                          ///< Use of customers' quotas.
    dispatcher_hooks hooks;                       ///< Callbacks.
    std::mt19937_64 random;                       ///< Tie breaks and jitter.
    std::size_t vms = 1;                          ///< Number of VMs that share retry budgets and connections.
    shared_load_state shared_load;                ///< Load of backend servers as all VMs observe it.
    clock::duration paused{0};                    ///< Total time for which the process was paused.
    std::optional<time_point> unconfigured_since; ///< Time of the first request without a configuration.
    std::uint64_t last_attempt = 0;               ///< Last attempt id used.
    std::unordered_map<std::uint64_t, std::unique_ptr<request_state>> requests; ///< Open requests by key.
    std::map<std::uint64_t, quota_waiter> awaiting_quota;     ///< Requests that wait for a token, by key.
    std::map<std::string, trial_waiter> awaiting_trial;       ///< Requests that wait for a trial, by digest.
    std::unordered_map<std::uint64_t, open_attempt> attempts; ///< Attempts in flight by id.
    std::set<std::pair<time_point, std::uint64_t>> due;       ///< Timers of requests, by time.
    bool stopping = false;                                    ///< New requests are rejected.
    std::deque<std::pair<time_point, attempt_id>> observed;   ///< Attempts that run on for measurement, by cancel time.
    std::map<std::string, admission_control> admissions;      ///< Admission control by the first shard of a gather.
    demand_log demand;                                        ///< Demand, and the shares of admission control.
    std::map<std::string, duration_window> caller_deadlines;  ///< Recent deadlines in callers' requests, by route name.
    std::map<std::string, route_latencies> latencies;         ///< Recent shard latencies by route name.
    std::map<std::string, std::vector<double>> split_credit;  ///< Weighted round robin, by route name.
    /** Requests that finished during the current public call. Callers up the stack may still refer to them. */
    std::vector<std::unique_ptr<request_state>> finished;

    impl(dispatcher_options o, config_holder const& c, backend_registry& r, placement_rules const& p,
         request_quarantine& q, quota_usage& u, dispatcher_hooks h, std::uint64_t seed)
        : options(std::move(o)), configs(c), registry(r), placement(p), quarantine(q), quotas(u), hooks(std::move(h)),
          random(seed), demand(seed)
    {
    }

    /** @return a random Retry-After value between @p min_s and twice @p min_s seconds. */
    std::string retry_after(double min_s)
    {
        double const spread = std::uniform_real_distribution<double>(min_s, 2 * min_s)(random);
        return std::to_string(std::round(spread * 1000) / 1000);
    }

    /** @return the response that rejects a request that has not run. */
    http_response rejection(std::string const& text, double min_s)
    {
        auto response = local_response(503, text);
        response.headers.push_back({"retry-after", retry_after(min_s)});
        return response;
    }
    /** @return the rejection of a request that this process could not finish before it stops. */
    http_response stop_rejection() { return rejection("this gateway stops", options.retry_after_s); }

    /** Sends the response to a request that is not processed any further. */
    void respond_immediately(request_key key, request_summary summary, http_response response, char const* reason)
    {
        summary.status = response.status;
        summary.reason = reason;
        hooks.respond(key, std::move(response));
        hooks.on_finished(summary);
    }

    /** Handles a request: finds its route, sets deadline and shards, checks admission, sends the first attempts. */
    void start(request_key key, http_request message, request_timing timing, caller_address caller, time_point now,
               bool trial_claimed = false);
    /** Decides whether a request may be sent in view of the crashes that are known of it. @return whether it may
     *  proceed, or else it was rejected or waits in awaiting_trial. @param claimed its trial was claimed. */
    bool passes_quarantine(request_state& request, request_timing timing, bool claimed, time_point now);
    /** The claim of a trial was decided. */
    void on_trial_claimed(request_digest const& digest, bool granted, time_point now);
    /** Removes the request @p key from those that wait for a trial. @return it, or nothing if it does not wait. */
    std::optional<trial_waiter> stop_awaiting_trial(request_key key);
    /** @return the response to a request whose like is being tried. */
    http_response on_trial_rejection();
    /** Finds the customer of a request by its API key. @return why the request must be rejected; null when it may
     *  proceed. */
    char const* authenticate(request_state& request) const;
    /** Decides on the quota of the request's customer. @return whether the request may proceed; otherwise it was
     *  rejected, or waits in awaiting_quota. */
    bool within_quota(request_state& request, request_timing timing, time_point now);
    /** Decides again about the requests of @p name that wait for a token. */
    void on_quota_decided(customer_name const& name, time_point now);
    /** Rejects a request that was counted for its customer's quota and was not sent. */
    void reject_within_quota(request_state const& request, http_response response, char const* reason, time_point now);
    /** @return the minimum Retry-After in seconds while there is no configuration. */
    double no_config_retry_after_s(time_point now);
    /** @return the service of a traffic split that the next request goes to. */
    service_name const& choose_split_service(route const& via);
    /** Sets the deadline and the time of the response. @return whether enough time is left to start. */
    bool set_deadline(request_state& request, request_timing timing);
    /** Creates the shards of a request and counts it for their retry budgets. */
    void add_shards(request_state& request, time_point now);
    /** @return the start line and the forwarded headers, which are the same for all attempts. */
    std::string head_bytes(request_state const& request) const;
    /** @return the expected wait in seconds if too few shards have a free connection, else 0. */
    double blocked_wait_s(request_state& request, time_point now) const;
    /** @return the inputs for the choice of a backend server. */
    selection_context context(request_state const& request, shard_state const& shard) const;
    /** Records the latency of an attempt at @p server for the choices of all VMs. */
    void record_latency(service_group& group, backend_server const& server, double took_ms) const;
    /** Counts a failed choice of a backend server in the summary, by cause. */
    static void count_miss(request_summary& summary, selection_failure miss);
    /** @return coverable_share() for the shards of the request. */
    static double coverable(request_state const& request, time_point now);
    /** @return @p now on the clock of admission control, which stops while the process is paused. */
    time_point admission_time(time_point now) const { return now - paused; }
    /** @return whether admission control lets a query start. */
    bool admitted(request_state& request, time_point now);
    /** @return whether the demand for the request's shards is counted for the collector. */
    bool counts_demand() const { return options.fleet_admission && demand.enough_vms(); }
    /** @return the request as fleet-wide admission control sees it. @param max_share upper bound on its share. */
    arriving_query arriving(request_state const& request, double max_share) const;
    /** @return whether the request is a retry that arrives when its caller was told to, or later. */
    bool returns_as_told(request_state const& request) const;
    /** Counts the demand of a request. @param started whether it was admitted. */
    void count_demand(request_state& request, arriving_query const& query, bool started, time_point now);
    /** @return whether the shares of the collector let a query start. */
    bool admitted_by_share(request_state& request, admission_control& control, admission_request const& query,
                           time_point now);
    /** The needed shards of a request have responded. */
    void on_needed_responded(request_state& request, time_point now);
    /** @return the reason of a rejection by admission control, one word. */
    static char const* overload_reason(request_state const& request);
    /** @return the usual total time that callers of the request's route wait. @param remaining deadline of this
     * request. */
    milliseconds full_caller_time(request_state const& request, milliseconds remaining);
    /** Removes a query from admission control. */
    void leave_admission(request_state& request);
    /** @return the response that rejects a request for overload, with a Retry-After. */
    http_response overload_response(request_state const& request);

    /** Sets the digest of a request, for the quarantine and the log. */
    static void set_digest(request_state& request);
    /** @return whether an arriving request is clear, a suspect or quarantined. */
    quarantine_status check_quarantine(request_state& request, time_point now);
    /** @return the response that rejects a quarantined request, with the remaining quarantine time as Retry-After. */
    http_response quarantine_rejection(request_state const& request, time_point now) const;
    /** Starts the trial of a suspect: its attempts are sent one at a time. */
    void start_trial(request_state& request);
    /** Sends the first attempt of every shard, or of only one shard if attempts are sent one at a time. */
    void send_first_attempts(request_state& request, time_point now);
    /** A backend server closed the connection of an attempt. @return false if that finished the request. */
    bool on_backend_disconnected(request_state& request, time_point now);
    /** @return whether attempts are sent one at a time and one is in flight or about to be sent. */
    static bool waits_for_other_attempts(request_state const& request);
    /** Stops sending until a backend server sends a usable response or all attempts have finished. In the second case
     *  the next attempts are sent one at a time. */
    void switch_to_sequential(request_state& request);
    /** Cancels the attempts of all shards that may be sent again, and holds these shards. */
    void cancel_and_hold(request_state& request, time_point now);
    /** Sends the next attempt of a shard that was held. */
    void send_shard(request_state& request, std::size_t index, time_point now);
    /** Sends the next attempt of a request whose attempts are sent one at a time, if none is in flight. */
    void send_next_sequential(request_state& request, time_point now);
    /** A backend server sent a usable response, so the request does not crash every server. @return whether shards
     *  may be held, so that send_held_shards() is needed. */
    bool on_usable_response(request_state& request, time_point now);
    /** Sends the held shards of a request, once attempts may be sent in parallel again. */
    void send_held_shards(request_state& request, time_point now);
    /** Updates the quarantine with the outcome of a finished request. */
    void update_quarantine(request_state& request, time_point now);

    /** @return the maximum number of attempts in flight from this VM at one backend server of the shard. */
    int connection_limit(request_state const& request, shard_state const& shard) const;
    /** @return the delay after which an attempt at a backend server at distance @p where is hedged. */
    milliseconds hedge_delay(request_state const& request, proximity where) const;
    /** Schedules the hedge of an attempt in flight at a backend server at distance @p where. */
    void schedule_hedge(request_state const& request, shard_state& shard, proximity where, time_point now) const;
    /** Chooses a backend server and sends an attempt. @return the reason if none was sent. */
    selection_failure send(request_state& request, std::size_t index, attempt_reason reason, time_point now);
    /** Sends an attempt to a chosen backend server. */
    void submit(request_state& request, std::size_t index, selection const& chosen, attempt_reason reason,
                time_point now);
    /** Adds a hedge or retry to the summary, with the inputs of its choice and the remaining retry budget. */
    void record_extra_attempt(request_state& request, service_group& group, selection const& chosen,
                              attempt_reason reason, time_point now);
    /** Sends the first attempt of a shard, or queues it if there is no free connection. */
    void send_first_attempt(request_state& request, std::size_t index, time_point now);
    /** @return whether the backend servers of the request's shards are congested. */
    bool congested(request_state const& request, time_point now) const;
    /** @return whether a hedge to @p other is worth the load that it adds. */
    bool hedge_worthwhile(request_state const& request, shard_state const& shard, selection const& other,
                          time_point now) const;
    /** @return whether a hedge that is due late was postponed until the responses received meanwhile are read. */
    bool postpone_hedge(shard_state& shard, time_point now) const;
    /** Sends a hedge for a slow shard, if the retry budget allows it and another replica is available. */
    void hedge(request_state& request, std::size_t index, time_point now);
    /** Sends a retry for a shard whose attempts have all failed, or fails the shard. */
    void retry(request_state& request, std::size_t index, time_point now);
    /** Adds a shard to the queue of its service. */
    void enqueue_shard(request_state& request, std::size_t index);
    /** Sends the queued shards of a service while it has free connections. */
    void send_queued(service_group& group, time_point now);
    /** @return whether a waiting shard of @p request cannot be answered in the time that its caller has left. */
    static bool too_late_to_send(request_state const& request, service_group const& group, time_point now);

    /** Handles the result of an attempt. */
    void on_result(attempt_id id, attempt_result result, time_point now);
    /** Handles an attempt that finished without a response: whether its request may have crashed the backend server.
     *  @return whether the request is still open. */
    bool on_unanswered(request_state& request, open_attempt const& attempt, attempt_result const& result,
                       time_point now);
    /** Handles a reset that may have other reasons than a crash. */
    void on_backend_reset(request_state& request);
    /** Updates the warm-up time of a backend server from its response. */
    void update_warmup(backend_server& server, http_response const& response, time_point now) const;
    /** Handles a complete response. */
    void on_response(request_state& request, std::size_t index, http_response response, time_point now);
    /** Handles an attempt that finished without a response. */
    void on_failure(request_state& request, std::size_t index, attempt_result const& result, time_point now);
    /** @return whether a response may be sent to the caller or merged. */
    bool is_usable(request_state const& request, http_response const& response) const;
    /** A shard has received its response: cancels its other attempts. */
    void complete_shard(request_state& request, std::size_t index, time_point now);
    /** A shard has failed for good. */
    void fail_shard(request_state& request, std::size_t index, time_point now);
    /** Cancels an attempt that is no longer needed, or lets it run on for measurement. */
    void release_attempt(attempt_id id, bool may_observe, time_point now);

    /** Finishes the request if its response is decided. */
    void finish_if_decided(request_state& request, time_point now);
    /** Finishes a request with a response. */
    void finish(request_key key, http_response response, char const* reason, time_point now);
    /** Completes the summary of a finished request and passes it to the hook. */
    void report(request_state& request, time_point now);
    /** @return the response merged from the shards that have one. */
    http_response merged_response(request_state& request) const;
    /** @return the response to a failed request. It says that the request has not run only if that is certain. */
    http_response failure_response(request_state& request, bool timed_out);
    /** Sets the request's timer to @p when, unless it is due earlier. */
    void schedule(request_state& request, time_point when);
    /** Sets the request's timer to the earliest of its deadline, response time, hedges and retries. */
    void schedule_next(request_state& request, time_point now);
    /** Handles the timer of a request. */
    void on_due(request_state& request, time_point now);
    /** Runs all timers that are due. */
    void on_timer(time_point now);
};

} // namespace cornelspring
