/** @file dispatcher.cpp The life of a request: route, attempts, hedges, retries, merged answer. */
#include "request_state.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cornelspring {
namespace {

/** Attempts of one shard beyond the route's limit, for those that certainly did not run. */
constexpr int extra_sends = 3;
/** Wait before a backend server that refused is tried again; about the time in which a slot frees. */
constexpr milliseconds refused_backoff{15};
/** Time the final answer needs to reach the caller before its deadline. */
constexpr milliseconds deadline_margin{25};
/** An attempt this many times slower than usual marks its backend server as stalled. */
constexpr double stall_factor = 2.0;
/** Weight of a sample in a service's usual latency. */
constexpr double usual_latency_weight = 0.05;
/** Failed attempts named in a summary. */
constexpr int failures_named = 4;
/** Seconds a caller waits before it asks a VM again that knows no configuration yet. */
constexpr double starting_retry_after_s = 0.5;

/** @return @p text as a number of milliseconds, when it is one. */
std::optional<milliseconds> parse_ms(std::string const& text)
{
    std::int64_t value = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size() || value < 0) return std::nullopt;
    return milliseconds(value);
}

/** @return a response of this VM's own. */
http_response own_answer(int status, std::string const& text)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"content-type", "text/plain"});
    response.body = text + "\n";
    return response;
}

} // namespace

bool request_state::may_have_run() const
{
    return std::any_of(shards.begin(), shards.end(), [](shard_state const& shard) { return shard.runs > 0; });
}

/** State of the dispatcher. */
struct dispatcher::impl {
    dispatcher_options options;                                             ///< Settings.
    config_holder const& configs;                                           ///< Configuration in force.
    backend_registry& registry;                                             ///< Backend servers.
    dispatcher_hooks hooks;                                                 ///< Outside calls.
    std::mt19937_64 random;                                                 ///< Tie breaks and jitter.
    std::size_t vms = 1;                                                    ///< VMs that share budgets.
    std::uint64_t last_attempt = 0;                                         ///< Last attempt id.
    std::unordered_map<std::uint64_t, std::unique_ptr<request_state>> open; ///< By key.
    std::unordered_map<std::uint64_t, open_attempt> attempts;               ///< By id.
    std::set<std::pair<time_point, std::uint64_t>> due;                     ///< Requests by time.
    std::deque<std::pair<time_point, attempt_id>> observed;  ///< Observed attempts by end of observation.
    std::map<std::string, admission_control> admissions;     ///< By the first service of a gather.
    std::map<std::string, milliseconds> full_deadlines;      ///< Longest time callers of a route ever gave.
    std::map<std::string, route_latencies> latencies;        ///< By route name.
    std::map<std::string, std::vector<double>> split_credit; ///< Weighted round robin, by route name.
    /** Requests that ended during the present outside call; functions further up may still refer to them. */
    std::vector<std::unique_ptr<request_state>> ended;

    impl(dispatcher_options o, config_holder const& c, backend_registry& r, dispatcher_hooks h, std::uint64_t seed)
        : options(std::move(o)), configs(c), registry(r), hooks(std::move(h)), random(seed)
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
        hooks.answer(key, std::move(response));
        hooks.finished(summary);
    }

    void start(request_key key, http_request message, time_point now);
    service_name const& choose_part(route const& via);
    bool set_deadline(request_state& request, time_point now) const;
    void add_shards(request_state& request, time_point now);
    std::string head_bytes(request_state const& request) const;
    double blocked_wait_s(request_state const& request, time_point now) const;
    bool admitted(request_state& request);
    bool comes_back(request_state const& request, milliseconds left);
    void leave_admission(request_state& request, time_point now);
    http_response return_later(request_state const& request);

    int room(request_state const& request, shard_state const& shard) const;
    milliseconds hedge_delay(request_state const& request, proximity where) const;
    selection_miss send(request_state& request, std::size_t index, attempt_reason reason, time_point now);
    void submit(request_state& request, std::size_t index, selection const& chosen, attempt_reason reason,
                time_point now);
    void first_attempt(request_state& request, std::size_t index, time_point now);
    void hedge(request_state& request, std::size_t index, time_point now);
    void retry(request_state& request, std::size_t index, time_point now);
    void wait_for_room(request_state& request, std::size_t index);
    void pump(service_group& group, time_point now);

    void on_result(attempt_id id, attempt_result result, time_point now);
    void on_answer(request_state& request, std::size_t index, http_response response, time_point now);
    void on_failure(request_state& request, std::size_t index, attempt_result const& result, time_point now);
    bool usable_answer(request_state const& request, http_response const& response) const;
    void shard_done(request_state& request, std::size_t index, time_point now);
    void shard_failed(request_state& request, std::size_t index, time_point now);
    void release(attempt_id id, bool may_observe, time_point now);

    void check_finish(request_state& request, time_point now);
    void finish(request_key key, http_response response, char const* reason, time_point now);
    http_response merged(request_state& request) const;
    http_response failure_answer(request_state& request, bool timed_out);
    void arm(request_state& request, time_point when);
    void rearm(request_state& request, time_point now);
    void on_due(request_state& request, time_point now);
    void on_time(time_point now);
};

// ---- Arrival ----

void dispatcher::impl::start(request_key key, http_request message, time_point now)
{
    auto const& config = configs.current();
    request_summary summary;
    summary.caller_id = message.header(options.names.request_id);
    if (!config) {
        answer_at_once(key, summary, refusal("no configuration is known yet", starting_retry_after_s), "starting");
        return;
    }
    summary.version = config->version();
    auto const* via = config->match(message.header("host"), message.path);
    if (via == nullptr) {
        answer_at_once(key, summary, own_answer(404, "no route matches host and path"), "no_route");
        return;
    }
    auto made = std::make_unique<request_state>();
    auto& request = *made;
    request.key = key;
    request.message = std::move(message);
    request.config = config;
    request.via = via;
    request.arrived = now;
    request.summary = summary;
    request.summary.route_name = via->name;
    request.latencies = &latencies[via->name];
    if (!set_deadline(request, now)) {
        answer_at_once(key, request.summary, refusal("too little time is left", options.retry_after_s), "no_time");
        return;
    }
    add_shards(request, now);
    if (double const wait = blocked_wait_s(request, now); wait > 0) {
        answer_at_once(key, request.summary, refusal("too few backend servers have room", wait), "no_room");
        return;
    }
    if (options.admission && !admitted(request)) {
        answer_at_once(key, request.summary, return_later(request), "overloaded");
        return;
    }
    request.head_bytes = head_bytes(request);
    open.emplace(key.value(), std::move(made));
    for (std::size_t i = 0; i < request.shards.size(); ++i)
        first_attempt(request, i, now);
    rearm(request, now);
    check_finish(request, now);
}

bool dispatcher::impl::set_deadline(request_state& request, time_point now) const
{
    auto left = request.via->timeout;
    if (auto const asked = parse_ms(request.message.header(options.names.deadline))) left = std::min(left, *asked);
    request.deadline = now + left - deadline_margin;
    request.answer_by = now + request.via->goal - options.answer_margin;
    return left > deadline_margin;
}

/** Smooth weighted round robin: shares follow the weights exactly, also over few requests. */
service_name const& dispatcher::impl::choose_part(route const& via)
{
    auto& credit = split_credit[via.name];
    credit.resize(via.split.size(), 0);
    double total = 0;
    for (auto const& part : via.split)
        total += part.weight;
    std::size_t best = 0;
    for (std::size_t i = 0; i < via.split.size(); ++i) {
        credit[i] += via.split[i].weight;
        if (credit[i] > credit[best]) best = i;
    }
    credit[best] -= total;
    return via.split[best].service;
}

void dispatcher::impl::add_shards(request_state& request, time_point now)
{
    auto const add = [&](service_name const& service) {
        shard_state shard;
        shard.group = &registry.group(service);
        shard.group->budget.on_request(now);
        shard.hedge_at = shard.retry_at = time_point::max();
        request.shards.push_back(std::move(shard));
    };
    if (!request.gathers()) {
        add(choose_part(*request.via));
    } else {
        auto const& gather = *request.via->gather;
        request.shards.reserve(gather.shards.size());
        for (auto const& service : gather.shards)
            add(service);
        auto const count = static_cast<double>(gather.shards.size());
        // The small term keeps rounding from asking for one shard more than the share names.
        request.needed =
            std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(gather.min_coverage * count - 1e-9)));
    }
    request.summary.shards = request.shards.size();
}

std::string dispatcher::impl::head_bytes(request_state const& request) const
{
    auto headers = request.message.headers;
    remove_hop_by_hop(headers);
    std::string out = request.message.method + " " + request.message.path + " HTTP/1.1\r\n";
    for (auto const& header : headers) {
        if (header.name == options.names.deadline || header.name == options.names.target_backend) continue;
        out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (!request.message.body.empty() || request.message.method == "POST" || request.message.method == "PUT") {
        out.append("content-length: ").append(std::to_string(request.message.body.size())).append("\r\n");
    }
    return out;
}

/**
 * Admission: a request that would wait for room beyond its goal at more shards than it can spare is refused on
 * arrival, so that callers come back later in place of queueing past their deadlines.
 * A shard without any backend server to send to counts as blocked too.
 * @return the expected wait in seconds when it is to be refused, else 0.
 */
double dispatcher::impl::blocked_wait_s(request_state const& request, time_point now) const
{
    std::size_t blocked = 0;
    double longest = options.retry_after_s;
    for (auto const& shard : request.shards) {
        if (!takes_work(*shard.group, options.selection, now)) {
            ++blocked;
            continue;
        }
        auto const ahead = static_cast<double>(shard.group->waiting.size());
        if (ahead == 0) continue;
        double const lanes = std::max(1.0, static_cast<double>(shard.group->backends.size()) * room(request, shard));
        double const wait_s = ahead * shard.group->usual_latency_ms / lanes / 1000.0;
        longest = std::max(longest, wait_s);
        if (wait_s > std::chrono::duration<double>(request.via->goal).count()) ++blocked;
    }
    return blocked > request.shards.size() - request.needed ? longest : 0;
}

/** Asks for admission among the queries over the same shards. */
bool dispatcher::impl::admitted(request_state& request)
{
    if (!request.gathers()) return true;
    auto const& first = *request.shards.front().group;
    auto& control = admissions[first.name.value()];
    double slots = 0;
    for (auto const& server : first.backends)
        slots += server->entry.slots;
    control.begin(slots, vms);
    auto const left = std::chrono::duration_cast<milliseconds>(request.deadline + deadline_margin - request.arrived);
    admission_request asked;
    asked.returning = comes_back(request, left);
    for (auto const& other : request.config->routes()) {
        bool const same = other.gather && other.gather->shards == request.via->gather->shards;
        if (same && other.priority < request.via->priority) asked.most_urgent = false;
    }
    if (!control.admit(asked)) return false;
    request.admission = &control;
    return true;
}

/** A caller that was refused comes back with less time than callers of the route have at first. */
bool dispatcher::impl::comes_back(request_state const& request, milliseconds left)
{
    auto& full = full_deadlines[request.via->name];
    full = std::max(full, left);
    constexpr double first_share = 0.97;
    return static_cast<double>(left.count()) < first_share * static_cast<double>(full.count());
}

void dispatcher::impl::leave_admission(request_state& request, time_point now)
{
    if (request.admission == nullptr) return;
    request.admission->on_finished({request.via->goal, request.half, request.shards.size(), request.shed}, now);
    request.admission = nullptr;
}

/** Refuses a request for load; callers come back spread evenly over the time in which they can. */
http_response dispatcher::impl::return_later(request_state const& request)
{
    auto const left_s = std::chrono::duration<double>(request.deadline - request.arrived).count();
    auto response = own_answer(503, "too many requests are open");
    std::uniform_real_distribution<double> share(options.return_from, options.return_to);
    response.headers.push_back({"retry-after", std::to_string(std::round(share(random) * left_s * 1000) / 1000)});
    return response;
}

// ---- Sending ----

int dispatcher::impl::room(request_state const& request, shard_state const& shard) const
{
    double const all = options.connection_share * request.config->max_connections(shard.group->name);
    return std::max(1, static_cast<int>(all / static_cast<double>(vms)));
}

milliseconds dispatcher::impl::hedge_delay(request_state const& request, proximity where) const
{
    auto const longest = std::chrono::duration_cast<milliseconds>(request.via->goal * options.hedge_goal_share);
    auto const usual = request.latencies->of(where).quantile(options.hedge_quantile);
    if (!usual) return longest;
    return std::clamp(std::chrono::duration_cast<milliseconds>(*usual) + milliseconds(1), options.hedge_min,
                      std::max(longest, options.hedge_min));
}

selection_miss dispatcher::impl::send(request_state& request, std::size_t index, attempt_reason reason, time_point now)
{
    auto& shard = request.shards[index];
    auto const chosen = choose_backend(*shard.group, shard.tried, room(request, shard), options.selection, random, now);
    if (!chosen.target) return chosen.miss;
    // A hedge at a server that may be stalled too would only add load.
    if (reason == attempt_reason::hedge && chosen.suspect) return selection_miss::no_backend;
    bool const extra = shard.arrivals > 0;
    if (extra && !shard.group->budget.take(options.budget, vms, now)) return selection_miss::no_budget;
    submit(request, index, chosen, reason, now);
    return selection_miss::none;
}

void dispatcher::impl::submit(request_state& request, std::size_t index, selection const& chosen, attempt_reason reason,
                              time_point now)
{
    auto& shard = request.shards[index];
    attempt_id const id(++last_attempt);
    auto const left = std::chrono::duration_cast<milliseconds>(request.deadline + deadline_margin - now);
    attempt_order order;
    order.id = id;
    order.target = chosen.target;
    order.bytes = request.head_bytes + options.names.deadline + ": " +
                  std::to_string(std::max<std::int64_t>(left.count(), 1)) + "\r\n" + options.names.target_backend +
                  ": " + chosen.target->entry.id.value() + "\r\n\r\n" + request.message.body;
    order.caller_id = request.summary.caller_id;
    order.head = request.message.method == "HEAD";
    order.repeatable = request.via->kind == route_kind::idempotent;
    attempts.emplace(id.value(), open_attempt{request.key, index, shard.group, chosen.target,
                                              &request.latencies->of(chosen.target->where), now, false});
    chosen.target->load.on_sent();
    shard.tried.push_back(chosen.target->entry.id);
    shard.open.push_back(id);
    ++shard.sends;
    ++shard.arrivals;
    ++shard.runs;
    ++request.summary.sent;
    if (reason == attempt_reason::hedge) ++request.summary.hedges;
    if (reason == attempt_reason::retry) ++request.summary.retries;
    bool const may_hedge = order.repeatable && shard.runs < request.via->attempts;
    shard.hedge_at = may_hedge ? now + hedge_delay(request, chosen.target->where) : time_point::max();
    hooks.send(std::move(order));
}

void dispatcher::impl::first_attempt(request_state& request, std::size_t index, time_point now)
{
    switch (send(request, index, attempt_reason::first, now)) {
    case selection_miss::none: return;
    case selection_miss::no_room: wait_for_room(request, index); return;
    case selection_miss::no_budget:
    case selection_miss::no_backend:
        request.shards[index].failed = true;
        ++request.failed;
        return;
    }
}

void dispatcher::impl::wait_for_room(request_state& request, std::size_t index)
{
    auto& shard = request.shards[index];
    shard.waiting = true;
    shard.group->waiting.emplace(request.via->priority, service_group::waiter{request.key.value(), index});
}

void dispatcher::impl::pump(service_group& group, time_point now)
{
    while (!group.waiting.empty()) {
        auto const next = group.waiting.begin()->second;
        auto const found = open.find(next.request);
        if (found == open.end() || !found->second->shards[next.shard].waiting) {
            group.waiting.erase(group.waiting.begin());
            continue;
        }
        auto& request = *found->second;
        auto const miss = send(request, next.shard, attempt_reason::first, now);
        if (miss == selection_miss::no_room) return;
        group.waiting.erase(group.waiting.begin());
        request.shards[next.shard].waiting = false;
        if (miss != selection_miss::none) {
            shard_failed(request, next.shard, now);
            continue;
        }
        arm(request, request.shards[next.shard].hedge_at);
    }
}

void dispatcher::impl::hedge(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    for (auto const id : shard.open) {
        auto const& attempt = attempts.at(id.value());
        auto const ran = std::chrono::duration<double, std::milli>(now - attempt.sent).count();
        if (ran > stall_factor * shard.group->usual_latency_ms) attempt.target->load.on_stalled(now);
    }
    shard.hedge_at = time_point::max();
    // While all queue, a second attempt is late as well and makes others late.
    bool const queued = request.admission != nullptr && request.admission->congested(now);
    if (queued || send(request, index, attempt_reason::hedge, now) != selection_miss::none) {
        shard.hedge_at = now + hedge_delay(request, proximity::other_region);
    }
}

void dispatcher::impl::retry(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    shard.retry_at = time_point::max();
    bool const may_run_again = shard.runs < (request.via->kind == route_kind::idempotent ? request.via->attempts : 1);
    if (!may_run_again || shard.sends >= request.via->attempts + extra_sends) {
        shard_failed(request, index, now);
        return;
    }
    auto miss = send(request, index, attempt_reason::retry, now);
    if (miss == selection_miss::none) return;
    if (miss == selection_miss::no_room) {
        wait_for_room(request, index);
        return;
    }
    if (shard.tried.empty() || miss == selection_miss::no_budget) {
        shard_failed(request, index, now);
        return;
    }
    shard.tried.clear(); // Every replica was tried: after a short wait, any may be tried again.
    shard.retry_at = now + refused_backoff;
}

// ---- Results ----

void dispatcher::impl::on_result(attempt_id id, attempt_result result, time_point now)
{
    auto const found = attempts.find(id.value());
    if (found == attempts.end()) return;
    auto const attempt = found->second;
    attempts.erase(found);
    auto const took = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.sent);
    attempt.target->load.on_ended(result.end, took, now);
    if (result.end == attempt_end::wrong_server) attempt.target->gone = true;
    if (result.end == attempt_end::answered) {
        attempt.latencies->add(took);
        double const ms = static_cast<double>(took.count()) / 1000.0;
        attempt.group->usual_latency_ms += usual_latency_weight * (ms - attempt.group->usual_latency_ms);
    }
    if (auto const owner = open.find(attempt.request.value()); owner != open.end() && !attempt.observed) {
        auto& request = *owner->second;
        std::erase(request.shards[attempt.shard].open, id);
        if (result.end != attempt_end::answered && ++request.summary.failed_attempts <= failures_named) {
            request.summary.failures +=
                attempt.target->entry.id.value() + ":" + to_string(result.end) + ":" + result.detail + " ";
        }
        if (result.end == attempt_end::answered) {
            on_answer(request, attempt.shard, std::move(result.response), now);
        } else {
            on_failure(request, attempt.shard, result, now);
        }
    }
    pump(*attempt.group, now);
}

bool dispatcher::impl::usable_answer(request_state const& request, http_response const& response) const
{
    bool const success = response.status / 100 == 2;
    if (success && response.header(options.names.signature).empty()) return false;
    return success || (!request.gathers() && response.status < 500);
}

void dispatcher::impl::on_answer(request_state& request, std::size_t index, http_response response, time_point now)
{
    auto& shard = request.shards[index];
    if (shard.done || shard.failed) return;
    bool const usable = usable_answer(request, response);
    shard.answer = std::move(response);
    if (usable || request.via->kind == route_kind::non_idempotent) {
        shard_done(request, index, now);
        return;
    }
    if (!shard.open.empty()) return;
    retry(request, index, now);
    rearm(request, now);
    check_finish(request, now);
}

void dispatcher::impl::on_failure(request_state& request, std::size_t index, attempt_result const& result,
                                  time_point now)
{
    auto& shard = request.shards[index];
    if (result.end != attempt_end::lost) --shard.runs;
    if (result.end == attempt_end::not_executed) ++request.shed;
    if (result.end == attempt_end::not_sent) --shard.arrivals;
    if (shard.done || shard.failed || !shard.open.empty()) return;
    retry(request, index, now);
    rearm(request, now);
    check_finish(request, now);
}

void dispatcher::impl::shard_done(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    shard.done = true;
    shard.hedge_at = shard.retry_at = time_point::max();
    ++request.done;
    if (2 * request.done >= request.shards.size() && !request.half) {
        request.half = std::chrono::duration_cast<std::chrono::microseconds>(now - request.arrived);
    }
    auto const others = std::move(shard.open);
    shard.open.clear();
    for (auto const id : others)
        release(id, true, now);
    check_finish(request, now);
}

void dispatcher::impl::shard_failed(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    if (shard.done || shard.failed) return;
    shard.failed = true;
    shard.hedge_at = shard.retry_at = time_point::max();
    ++request.failed;
    check_finish(request, now);
}

/**
 * Lets go of an attempt whose answer is not needed. When it is the only one at its backend server, it may run on for a
 * while: its answer is the sign that a pause is over. Else it is cancelled, which frees its slot.
 */
void dispatcher::impl::release(attempt_id id, bool may_observe, time_point now)
{
    auto const found = attempts.find(id.value());
    if (found == attempts.end()) return;
    auto& attempt = found->second;
    if (may_observe && attempt.target->load.in_flight() == 1) {
        attempt.observed = true;
        observed.emplace_back(now + options.observe, id);
        return;
    }
    auto const ran = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.sent);
    attempt.target->load.on_cancelled(ran, now);
    attempt.latencies->add(ran);
    auto* group = attempt.group;
    attempts.erase(found);
    hooks.cancel(id);
    pump(*group, now);
}

// ---- Answers ----

void dispatcher::impl::check_finish(request_state& request, time_point now)
{
    if (!open.contains(request.key.value())) return;
    auto const total = request.shards.size();
    if (!request.gathers()) {
        if (request.done == 1) {
            auto answer = std::move(*request.shards[0].answer);
            // A non-idempotent request that ran must not get a status that promises it did not.
            bool const promises =
                answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
            bool const unsigned_success = answer.status / 100 == 2 && answer.header(options.names.signature).empty();
            if (promises || unsigned_success) answer = own_answer(502, "the backend server failed");
            remove_hop_by_hop(answer.headers);
            finish(request.key, std::move(answer), "answered", now);
        } else if (request.failed == 1) {
            finish(request.key, failure_answer(request, false), "failed", now);
        }
        return;
    }
    bool const sufficient = request.done >= request.needed;
    if (request.done == total || (sufficient && (request.done + request.failed == total || now >= request.answer_by))) {
        finish(request.key, merged(request), request.done == total ? "whole" : "partial", now);
    } else if (total - request.failed < request.needed) {
        finish(request.key, failure_answer(request, false), "too_few_shards", now);
    }
}

http_response dispatcher::impl::merged(request_state& request) const
{
    std::vector<std::string_view> bodies;
    std::string signatures;
    for (auto const& shard : request.shards) {
        if (!shard.done) continue;
        bodies.push_back(shard.answer->body);
        if (!signatures.empty()) signatures += ", ";
        signatures += shard.answer->header(options.names.signature);
    }
    http_response response;
    response.headers.push_back({options.names.part_signatures, signatures});
    response.headers.push_back({options.names.missing_parts, std::to_string(request.shards.size() - request.done)});
    response.headers.push_back({"content-type", "application/octet-stream"});
    response.body = merge_records(bodies, request.via->gather->top_k);
    return response;
}

http_response dispatcher::impl::failure_answer(request_state& request, bool timed_out)
{
    if (!request.may_have_run()) return refusal("no backend server could take the request", options.retry_after_s);
    if (timed_out) return own_answer(504, "the deadline passed");
    if (!request.gathers() && request.shards[0].answer) {
        auto answer = std::move(*request.shards[0].answer);
        bool const promises =
            answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
        if (!promises && answer.status / 100 != 2) {
            remove_hop_by_hop(answer.headers);
            return answer;
        }
    }
    return own_answer(502, "the backend servers failed");
}

void dispatcher::impl::finish(request_key key, http_response response, char const* reason, time_point now)
{
    auto const found = open.find(key.value());
    if (found == open.end()) return;
    auto* request = found->second.get();
    ended.push_back(std::move(found->second));
    open.erase(found);
    due.erase({request->due, key.value()});
    leave_admission(*request, now);
    for (auto& shard : request->shards) {
        for (auto const id : shard.open)
            release(id, request->via->kind == route_kind::idempotent, now);
    }
    request->summary.status = response.status;
    request->summary.reason = reason;
    request->summary.answered = request->done;
    request->summary.took = std::chrono::duration_cast<std::chrono::microseconds>(now - request->arrived);
    hooks.answer(key, std::move(response));
    hooks.finished(request->summary);
}

// ---- Time ----

void dispatcher::impl::arm(request_state& request, time_point when)
{
    if (when >= request.due) return;
    due.erase({request.due, request.key.value()});
    request.due = when;
    due.emplace(when, request.key.value());
}

void dispatcher::impl::rearm(request_state& request, time_point now)
{
    if (!open.contains(request.key.value())) return;
    arm(request, request.deadline);
    if (request.gathers() && request.answer_by > now) arm(request, request.answer_by);
    for (auto const& shard : request.shards)
        arm(request, std::min(shard.hedge_at, shard.retry_at));
}

void dispatcher::impl::on_due(request_state& request, time_point now)
{
    auto const key = request.key.value();
    if (now >= request.deadline) {
        finish(request.key, failure_answer(request, true), "deadline", now);
        return;
    }
    check_finish(request, now);
    for (std::size_t i = 0; i < request.shards.size() && open.contains(key); ++i) {
        auto& shard = request.shards[i];
        if (shard.retry_at <= now)
            retry(request, i, now);
        else if (shard.hedge_at <= now && !shard.open.empty())
            hedge(request, i, now);
        else if (shard.hedge_at <= now)
            shard.hedge_at = time_point::max();
    }
    rearm(request, now);
}

void dispatcher::impl::on_time(time_point now)
{
    while (!due.empty() && due.begin()->first <= now) {
        auto const key = due.begin()->second;
        due.erase(due.begin());
        auto const found = open.find(key);
        if (found == open.end()) continue;
        found->second->due = time_point::max();
        on_due(*found->second, now);
    }
    while (!observed.empty() && observed.front().first <= now) {
        auto const id = observed.front().second;
        observed.pop_front();
        release(id, false, now);
    }
}

// ---- Public interface ----

dispatcher::dispatcher(dispatcher_options options, config_holder const& configs, backend_registry& registry,
                       dispatcher_hooks hooks, std::uint64_t seed)
    : m_impl(std::make_unique<impl>(std::move(options), configs, registry, std::move(hooks), seed))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::start(request_key key, http_request message, time_point now)
{
    m_impl->ended.clear();
    m_impl->start(key, std::move(message), now);
}

void dispatcher::caller_gone(request_key key, time_point now)
{
    auto const found = m_impl->open.find(key.value());
    if (found == m_impl->open.end()) return;
    auto const request = std::move(found->second);
    m_impl->ended.clear();
    m_impl->open.erase(found);
    m_impl->due.erase({request->due, key.value()});
    m_impl->leave_admission(*request, now);
    for (auto& shard : request->shards) {
        for (auto const id : shard.open)
            m_impl->release(id, false, now);
    }
    request->summary.reason = "caller_gone";
    request->summary.answered = request->done;
    request->summary.took = std::chrono::duration_cast<std::chrono::microseconds>(now - request->arrived);
    m_impl->hooks.finished(request->summary);
}

void dispatcher::on_result(attempt_id id, attempt_result result, time_point now)
{
    m_impl->ended.clear();
    m_impl->on_result(id, std::move(result), now);
}

void dispatcher::on_time(time_point now)
{
    m_impl->ended.clear();
    m_impl->on_time(now);
}

std::optional<time_point> dispatcher::next_due() const
{
    std::optional<time_point> next;
    if (!m_impl->due.empty()) next = m_impl->due.begin()->first;
    if (!m_impl->observed.empty() && (!next || m_impl->observed.front().first < *next)) {
        next = m_impl->observed.front().first;
    }
    return next;
}

std::size_t dispatcher::open_requests() const { return m_impl->open.size(); }

void dispatcher::set_vms(std::size_t vms) { m_impl->vms = std::max<std::size_t>(vms, 1); }

void dispatcher::abandon_all(time_point now)
{
    std::vector<request_key> keys;
    for (auto const& [key, request] : m_impl->open)
        keys.emplace_back(key);
    for (auto const key : keys) {
        auto const found = m_impl->open.find(key.value());
        if (found == m_impl->open.end()) continue;
        m_impl->finish(key, m_impl->failure_answer(*found->second, true), "stopping", now);
    }
}

} // namespace cornelspring
