/** @file dispatcher_attempts.cpp Attempts at backend servers: sending, hedging, retrying, results. */
#include "dispatcher_impl.hpp"

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Attempts of one shard beyond the route's limit, for those that certainly did not run. */
constexpr int extra_sends = 3;
/** Wait before a backend server that refused is tried again; about the time in which a slot frees. */
constexpr milliseconds refused_backoff{15};
/** An attempt this many times slower than usual marks its backend server as stalled. */
constexpr double stall_factor = 2.0;
/** Weight of a sample in a service's usual latency. */
constexpr double usual_latency_weight = 0.05;
/** While queries queue, a second attempt must be expected to take at most this share of what the first one ran. */
constexpr double queued_hedge_gain = 0.8;
/** A second attempt that comes up later than this finds the process behind with its work. */
constexpr milliseconds hedge_lateness{5};
/** Time in which the event loop reads what has arrived. */
constexpr milliseconds read_pass{1};
/** Hedges and retries described in a summary. */
constexpr int extras_named = 4;
/** Failed attempts named in a summary. */
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

selection_failure dispatcher::impl::send(request_state& request, std::size_t index, attempt_reason reason,
                                         time_point now)
{
    auto& shard = request.shards[index];
    auto const asked = scope(request, shard);
    auto const chosen = choose_backend(*shard.group, shard.tried, room(request, shard), asked, random, now);
    if (!chosen.target) {
        if (reason != attempt_reason::hedge) note_miss(request.summary, chosen.failure);
        return chosen.failure;
    }
    // A hedge at a server that may be stalled too would only add load.
    if (reason == attempt_reason::hedge && (chosen.suspect || !hedge_gains(request, shard, chosen, now))) {
        return selection_failure::no_gain;
    }
    bool const extra = shard.arrivals > 0;
    if (extra && !shard.group->budget.try_consume(options.budget, vms, now)) return selection_failure::no_budget;
    submit(request, index, chosen, reason, now);
    return selection_failure::none;
}

void dispatcher::impl::submit(request_state& request, std::size_t index, selection const& chosen, attempt_reason reason,
                              time_point now)
{
    auto& shard = request.shards[index];
    attempt_id const id(++last_attempt);
    outgoing_attempt order;
    order.id = id;
    order.target = chosen.target;
    order.head =
        request.head_bytes + options.names.target_backend + ": " + chosen.target->registration.id.value() + "\r\n";
    order.body = request.message.body;
    order.caller_deadline = request.deadline + deadline_margin;
    order.request_id = request.summary.request_id;
    order.head_request = request.message.method == "HEAD";
    order.idempotent = request.via->kind == route_kind::idempotent;
    attempts.emplace(id.value(),
                     open_attempt{request.key, index, shard.group, chosen.target,
                                  &request.latencies->of(chosen.target->distance), now, request.cautious, false});
    chosen.target->load.on_sent();
    placement.on_sent(chosen.target->placement, scope(request, shard).requirements, now);
    shard.tried.push_back(chosen.target->registration.id);
    shard.open.push_back(id);
    ++shard.sends;
    ++shard.arrivals;
    ++shard.runs;
    ++request.summary.attempts;
    if (request.cautious) ++request.trials;
    if (reason != attempt_reason::first) note_extra(request, *shard.group, chosen, reason, now);
    plan_hedge(request, shard, chosen.target->distance, now);
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
    summary.extra_attempts += std::string(hedged ? "hedge:" : "retry:") + chosen.target->registration.id.value() +
                              ":at_ms=" + std::to_string(at_ms) + ",expected_ms=" + whole(chosen.wait_ms) +
                              ",suspect=" + (chosen.suspect ? "1" : "0") +
                              ",budget=" + whole(group.budget.remaining(options.budget, vms, now)) + " ";
}

void dispatcher::impl::first_attempt(request_state& request, std::size_t index, time_point now)
{
    switch (send(request, index, attempt_reason::first, now)) {
    case selection_failure::none: return;
    case selection_failure::no_room: wait_for_room(request, index); return;
    case selection_failure::no_budget:
    case selection_failure::no_gain:
    case selection_failure::no_backend:
    case selection_failure::outside_home_regions:
    case selection_failure::evacuated:
    case selection_failure::cold:
        request.shards[index].failed = true;
        ++request.failed;
        return;
    }
}

void dispatcher::impl::wait_for_room(request_state& request, std::size_t index)
{
    auto& shard = request.shards[index];
    shard.waiting = true;
    shard.group->wait_queue.emplace(request.via->priority, service_group::waiter{request.key.value(), index});
}

void dispatcher::impl::pump(service_group& group, time_point now)
{
    while (!group.wait_queue.empty()) {
        auto const next = group.wait_queue.begin()->second;
        auto const found = open.find(next.request);
        if (found == open.end() || !found->second->shards[next.shard].waiting) {
            group.wait_queue.erase(group.wait_queue.begin());
            continue;
        }
        auto& request = *found->second;
        auto const miss = send(request, next.shard, attempt_reason::first, now);
        if (miss == selection_failure::no_room) return;
        group.wait_queue.erase(group.wait_queue.begin());
        request.shards[next.shard].waiting = false;
        if (miss != selection_failure::none) {
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
 * While queries queue, a second attempt makes others late; it is sent only when the other backend server is much
 * faster, so that it helps where one is slow, and not where all are.
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
 * A process that is behind has answers that it has not read yet, and timers come first. A small VM
 * would ask every shard of a query twice so, which puts it further behind.
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
        if (ran > stall_factor * shard.group->average_latency_ms) attempt.target->load.on_stalled(now);
    }
    shard.hedge_at = time_point::max();
    auto const miss = send(request, index, attempt_reason::hedge, now);
    if (miss != selection_failure::none) {
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
    if (miss == selection_failure::none) return;
    if (miss == selection_failure::no_room) {
        wait_for_room(request, index);
        return;
    }
    if (shard.tried.empty() || miss == selection_failure::no_budget) {
        shard_failed(request, index, now);
        return;
    }
    shard.tried.clear(); // Every replica was tried: after a short wait, any may be tried again.
    shard.retry_at = now + refused_backoff;
}

void dispatcher::impl::on_result(attempt_id id, attempt_result result, time_point now)
{
    auto const found = attempts.find(id.value());
    if (found == attempts.end()) return;
    auto const attempt = found->second;
    attempts.erase(found);
    auto const took = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.sent);
    attempt.target->load.on_finished(result.outcome, took, now);
    if (result.outcome == attempt_status::wrong_server) attempt.target->removed = true;
    if (result.outcome == attempt_status::answered) note_warmup(*attempt.target, result.response, now);
    if (result.outcome == attempt_status::answered) {
        attempt.latencies->add(took);
        double const ms = static_cast<double>(took.count()) / 1000.0;
        attempt.group->average_latency_ms += usual_latency_weight * (ms - attempt.group->average_latency_ms);
    }
    if (auto const owner = open.find(attempt.request.value()); owner != open.end() && !attempt.observed) {
        auto& request = *owner->second;
        std::erase(request.shards[attempt.shard].open, id);
        if (attempt.trial && !may_have_run(result.outcome)) --request.trials;
        if (result.outcome != attempt_status::answered && ++request.summary.failed_attempts <= failures_named) {
            request.summary.failure_details +=
                attempt.target->registration.id.value() + ":" + to_string(result.outcome) + ":" + result.detail + " ";
        }
        if (result.outcome == attempt_status::answered) {
            bool const held = usable_answer(request, result.response) && on_survived(request, now);
            on_answer(request, attempt.shard, std::move(result.response), now);
            if (held) send_held(request, now);
        } else if (result.outcome != attempt_status::disconnected || on_disconnect(request, now)) {
            on_failure(request, attempt.shard, result, now);
        }
        if (request.cautious) next_cautious(request, now);
    }
    pump(*attempt.group, now);
}

void dispatcher::impl::note_warmup(backend_server& server, http_response const& response, time_point now) const
{
    if (options.names.warmup_left.empty()) return;
    if (auto const left = parse_ms(response.header(options.names.warmup_left)))
        server.placement.cold_until = now + *left;
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
    if (result.outcome == attempt_status::not_sent) --shard.arrivals;
    if (shard.done || shard.failed || !shard.open.empty()) return;
    retry(request, index, now);
    rearm(request, now);
    check_finish(request, now);
}

void dispatcher::impl::shard_done(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    shard.done = true;
    shard.group->availability.on_outcome(true, now);
    shard.hedge_at = shard.retry_at = time_point::max();
    ++request.done;
    if (2 * request.done >= request.shards.size() && !request.half_answered) {
        request.half_answered = true;
        if (request.admission != nullptr) request.admission->on_half_responded(request.arrived, now);
    }
    auto const others = std::move(shard.open);
    shard.open.clear();
    bool const observe = !queued(request, now); // While queries queue, an answer of no use only takes a slot.
    for (auto const id : others)
        release(id, observe, now);
    check_finish(request, now);
}

void dispatcher::impl::shard_failed(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    if (shard.done || shard.failed) return;
    shard.failed = true;
    shard.group->availability.on_outcome(false, now);
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
