/** @file dispatcher_attempts.cpp Attempts: sending, hedges, retries and results. */
#include "dispatcher_impl.hpp"

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Additional attempts of one shard beyond the route's limit, in place of attempts that certainly did not run. */
constexpr int extra_sends = 3;
/** Delay before backend servers that rejected a request are tried again; about the time until a slot becomes free. */
constexpr milliseconds refused_backoff{15};
/** An attempt that takes this many times the usual latency marks its backend server as stalled. */
constexpr double stall_factor = 2.0;
/** Weight of a sample in the moving average of a service's latency. */
constexpr double usual_latency_weight = 0.05;
/** While congested, the expected wait of a hedge must be below this share of the time since the first attempt. */
constexpr double queued_hedge_gain = 0.8;
/** A hedge that is handled later than this after it was due shows that the process is behind with its work. */
constexpr milliseconds hedge_lateness{5};
/** Time in which the event loop reads the responses received so far. */
constexpr milliseconds read_pass{1};
/** Maximum number of hedges and retries described in a summary. */
constexpr int extras_named = 4;
/** Maximum number of failed attempts described in a summary. */
constexpr int failures_named = 4;

} // namespace

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
    auto const asked = scope(request, shard);
    auto const chosen = choose_backend(*shard.group, shard.tried, room(request, shard), asked, random, now);
    if (!chosen.target) {
        if (reason != attempt_reason::hedge) note_miss(request.summary, chosen.miss);
        return chosen.miss;
    }
    // A hedge to a backend server that may be stalled too would only add load.
    if (reason == attempt_reason::hedge && (chosen.suspect || !hedge_gains(request, shard, chosen, now))) {
        return selection_miss::no_gain;
    }
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
    outgoing_attempt order;
    order.id = id;
    order.target = chosen.target;
    order.head = request.head_bytes + options.names.target_backend + ": " + chosen.target->entry.id.value() + "\r\n";
    order.body = request.message.body;
    order.caller_deadline = request.deadline + deadline_margin;
    order.request_id = request.summary.request_id;
    order.head_request = request.message.method == "HEAD";
    order.idempotent = request.via->kind == route_kind::idempotent;
    attempts.emplace(id.value(),
                     open_attempt{request.key, index, shard.group, chosen.target,
                                  &request.latencies->of(chosen.target->where), now, request.cautious, false});
    chosen.target->load.on_sent();
    places.on_sent(chosen.target->place, scope(request, shard).asked, now);
    shard.tried.push_back(chosen.target->entry.id);
    shard.open.push_back(id);
    ++shard.sends;
    ++shard.arrivals;
    ++shard.runs;
    ++request.summary.attempts;
    if (request.cautious) ++request.trials;
    if (reason != attempt_reason::first) note_extra(request, *shard.group, chosen, reason, now);
    plan_hedge(request, shard, chosen.target->where, now);
    hooks.send(std::move(order));
}

void dispatcher::impl::plan_hedge(request_state const& request, shard_state& shard, proximity where,
                                  time_point now) const
{
    bool const repeatable = request.via->kind == route_kind::idempotent;
    bool const may_hedge = options.hedging && repeatable && !request.cautious && shard.runs < request.via->attempts;
    shard.hedge_postponed = false;
    shard.hedge_at = may_hedge ? now + hedge_delay(request, where) : time_point::max();
}

void dispatcher::impl::note_extra(request_state& request, service_group& group, selection const& chosen,
                                  attempt_reason reason, time_point now)
{
    bool const hedged = reason == attempt_reason::hedge;
    auto& summary = request.summary;
    ++(hedged ? summary.hedges : summary.retries);
    if (summary.hedges + summary.retries > extras_named) return;
    auto const at_ms = std::chrono::duration_cast<milliseconds>(now - request.arrived).count();
    auto const whole = [](double value) { return std::to_string(std::llround(value)); };
    summary.extra_attempts += std::string(hedged ? "hedge:" : "retry:") + chosen.target->entry.id.value() +
                              ":at_ms=" + std::to_string(at_ms) + ",expected_ms=" + whole(chosen.wait_ms) +
                              ",suspect=" + (chosen.suspect ? "1" : "0") +
                              ",budget=" + whole(group.budget.left(options.budget, vms, now)) + " ";
}

void dispatcher::impl::first_attempt(request_state& request, std::size_t index, time_point now)
{
    switch (send(request, index, attempt_reason::first, now)) {
    case selection_miss::none: return;
    case selection_miss::no_room: wait_for_room(request, index); return;
    case selection_miss::no_budget:
    case selection_miss::no_gain:
    case selection_miss::no_backend:
    case selection_miss::away:
    case selection_miss::evacuated:
    case selection_miss::cold:
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

bool dispatcher::impl::queued(request_state const& request, time_point now) const
{
    return request.admission != nullptr && request.admission->congested(request.via->goal, now);
}

/**
 * While congested, a hedge delays other queries. It is sent only if the other backend server is expected to be much
 * faster, that is, if one server is slow and not all of them.
 */
bool dispatcher::impl::hedge_gains(request_state const& request, shard_state const& shard, selection const& other,
                                   time_point now) const
{
    if (!options.hedge_check || !queued(request, now)) return true;
    clock::duration longest{0};
    for (auto const id : shard.open)
        longest = std::max(longest, now - attempts.at(id.value()).sent);
    return other.wait_ms < queued_hedge_gain * std::chrono::duration<double, std::milli>(longest).count();
}

/**
 * A process that is behind with its work has received responses that it has not read yet, because the event loop
 * handles timers first. Without the delay, a small VM would hedge every shard of a query, which delays it even more.
 */
bool dispatcher::impl::postpone_hedge(shard_state& shard, time_point now) const
{
    if (!options.hedge_pause) return false;
    if (shard.hedge_postponed || now < shard.hedge_at + hedge_lateness) return false;
    shard.hedge_postponed = true;
    shard.hedge_at = now + read_pass;
    return true;
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
    auto const miss = send(request, index, attempt_reason::hedge, now);
    if (miss != selection_miss::none) {
        ++request.summary.hedges_denied;
        request.summary.hedge_denied_reason = to_string(miss);
        shard.hedge_at = now + hedge_delay(request, proximity::other_region);
    }
}

void dispatcher::impl::retry(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    shard.retry_at = time_point::max();
    shard.held = waits_for_others(request);
    if (shard.held) return;
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
    shard.tried.clear(); // Every replica was tried: after a short delay, any of them may be tried again.
    shard.retry_at = now + refused_backoff;
}

void dispatcher::impl::on_result(attempt_id id, attempt_result result, time_point now)
{
    auto const found = attempts.find(id.value());
    if (found == attempts.end()) return;
    auto const attempt = found->second;
    attempts.erase(found);
    auto const took = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.sent);
    attempt.target->load.on_ended(result.outcome, took, now);
    if (result.outcome == attempt_end::wrong_server) attempt.target->gone = true;
    if (result.outcome == attempt_end::answered) note_warmup(*attempt.target, result.response, now);
    if (result.outcome == attempt_end::answered) {
        attempt.latencies->add(took);
        double const ms = static_cast<double>(took.count()) / 1000.0;
        attempt.group->usual_latency_ms += usual_latency_weight * (ms - attempt.group->usual_latency_ms);
    }
    if (auto const owner = open.find(attempt.request.value()); owner != open.end() && !attempt.observed) {
        auto& request = *owner->second;
        std::erase(request.shards[attempt.shard].open, id);
        if (attempt.trial && !may_have_run(result.outcome)) --request.trials;
        if (result.outcome != attempt_end::answered && ++request.summary.failed_attempts <= failures_named) {
            request.summary.failure_details +=
                attempt.target->entry.id.value() + ":" + to_string(result.outcome) + ":" + result.detail + " ";
        }
        if (result.outcome == attempt_end::answered) {
            bool const held = usable_answer(request, result.response) && on_survived(request, now);
            on_answer(request, attempt.shard, std::move(result.response), now);
            if (held) send_held(request, now);
        } else if (result.outcome != attempt_end::disconnected || on_disconnect(request, now)) {
            on_failure(request, attempt.shard, result, now);
        }
        if (request.cautious) next_cautious(request, now);
    }
    pump(*attempt.group, now);
}

void dispatcher::impl::note_warmup(backend_server& server, http_response const& response, time_point now) const
{
    if (options.names.warmup_left.empty()) return;
    if (auto const left = parse_ms(response.header(options.names.warmup_left))) server.place.cold_until = now + *left;
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
    if (!may_have_run(result.outcome)) --shard.runs;
    if (result.outcome == attempt_end::not_sent) --shard.arrivals;
    if (shard.done || shard.failed || !shard.open.empty()) return;
    retry(request, index, now);
    rearm(request, now);
    check_finish(request, now);
}

void dispatcher::impl::shard_done(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    shard.done = true;
    shard.group->outlook.on_outcome(true, now);
    shard.hedge_at = shard.retry_at = time_point::max();
    ++request.done;
    if (2 * request.done >= request.shards.size() && !request.half_answered) {
        request.half_answered = true;
        if (request.admission != nullptr) request.admission->on_half_responded(request.arrived, now);
    }
    auto const others = std::move(shard.open);
    shard.open.clear();
    bool const observe = !queued(request, now); // While congested, an attempt that is not needed only uses a slot.
    for (auto const id : others)
        release(id, observe, now);
    check_finish(request, now);
}

void dispatcher::impl::shard_failed(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    if (shard.done || shard.failed) return;
    shard.failed = true;
    shard.group->outlook.on_outcome(false, now);
    shard.hedge_at = shard.retry_at = time_point::max();
    ++request.failed;
    check_finish(request, now);
}

/**
 * If the attempt is the only one in flight at its backend server, it may run on for a while, because its response shows
 * that a pause of the server is over. Otherwise it is cancelled, which frees its slot.
 */
void dispatcher::impl::release(attempt_id id, bool may_observe, time_point now)
{
    auto const found = attempts.find(id.value());
    if (found == attempts.end()) return;
    auto& attempt = found->second;
    if (may_observe && attempt.target->load.in_flight() == 1) {
        attempt.observed = true;
        observed.emplace_back(now + options.observation_time, id);
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

} // namespace cornelspring
