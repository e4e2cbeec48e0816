/** @file dispatcher_attempts.cpp Attempts: sending, hedges, retries and results. */
#include "dispatcher_impl.hpp"

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Additional attempts of one shard beyond the route's limit, in place of attempts that certainly did not run. */
constexpr int max_additional_attempts = 3;
/** Delay before backend servers that rejected a request are tried again; about the time until a slot becomes free. */
constexpr milliseconds refused_backoff{15};
/** An attempt that takes this many times the usual latency marks its backend server as stalled. */
constexpr double stall_factor = 2.0;
/** Weight of a sample in the moving average of a service's latency. */
constexpr double usual_latency_weight = 0.05;
/** While congested, the expected wait of a hedge must be below this share of the time since the first attempt. */
constexpr double congested_hedge_share = 0.8;
/** A hedge that is handled later than this after it was due shows that the process is behind with its work. */
constexpr milliseconds hedge_lateness{5};
/** Time in which the event loop reads the responses received so far. */
constexpr milliseconds read_delay{1};
/** Maximum number of hedges and retries described in a summary. */
constexpr int max_described_extras = 4;
/** Maximum number of failed attempts described in a summary. */
constexpr int max_described_failures = 4;

} // namespace

int dispatcher::impl::connection_limit(request_state const& request, shard_state const& shard) const
{
    double const all = options.connection_share * request.config->max_connections(shard.group->name);
    return std::max(1, static_cast<int>(all / static_cast<double>(vms)));
}

milliseconds dispatcher::impl::hedge_delay(request_state const& request, proximity where) const
{
    auto const longest =
        std::chrono::duration_cast<milliseconds>(request.matched_route->goal * options.hedge_goal_share);
    auto const usual = request.latencies->of(where).quantile(options.hedge_quantile);
    if (!usual) return longest;
    return std::clamp(std::chrono::duration_cast<milliseconds>(*usual) + milliseconds(1), options.hedge_min,
                      std::max(longest, options.hedge_min));
}

selection_failure dispatcher::impl::send(request_state& request, std::size_t index, attempt_reason reason,
                                         time_point now)
{
    auto& shard = request.shards[index];
    auto const inputs = context(request, shard);
    auto const chosen =
        choose_backend(*shard.group, shard.tried, connection_limit(request, shard), inputs, random, now);
    if (!chosen.target) {
        if (reason != attempt_reason::hedge) count_miss(request.summary, chosen.failure);
        return chosen.failure;
    }
    // A hedge to a backend server that may be stalled too would only add load.
    if (reason == attempt_reason::hedge && (chosen.suspect || !hedge_worthwhile(request, shard, chosen, now))) {
        return selection_failure::no_gain;
    }
    bool const extra = shard.maybe_received > 0;
    if (extra && !shard.group->budget.try_consume(options.budget, vms, now)) return selection_failure::no_budget;
    submit(request, index, chosen, reason, now);
    return selection_failure::none;
}

void dispatcher::impl::submit(request_state& request, std::size_t index, selection const& chosen, attempt_reason reason,
                              time_point now)
{
    auto& shard = request.shards[index];
    attempt_id const id(++last_attempt);
    outgoing_attempt attempt;
    attempt.id = id;
    attempt.target = chosen.target;
    attempt.head =
        request.head_bytes + options.names.target_backend + ": " + chosen.target->registration.id.value() + "\r\n";
    attempt.body = request.message.body;
    attempt.caller_deadline = request.deadline + deadline_margin;
    attempt.request_id = request.summary.request_id;
    attempt.head_request = request.message.method == "HEAD";
    attempt.idempotent = request.matched_route->kind == route_kind::idempotent;
    attempt.used_connections = shard.used_connections;
    attempt.needs_new_connection = request.resets > 0 || (request.on_trial && request.sequential);
    attempts.emplace(id.value(),
                     open_attempt{request.key, index, shard.group, chosen.target,
                                  &request.latencies->of(chosen.target->distance), now, request.sequential, false});
    chosen.target->load.on_sent();
    record_choice(*shard.group, chosen, now);
    placement.on_sent(chosen.target->placement, context(request, shard).requirements, now);
    shard.tried.push_back(chosen.target->registration.id);
    shard.in_flight.push_back(id);
    ++shard.sends;
    ++shard.maybe_received;
    ++shard.maybe_run;
    ++request.summary.attempts;
    if (request.sequential) ++request.sequential_runs;
    if (reason != attempt_reason::first) record_extra_attempt(request, *shard.group, chosen, reason, now);
    schedule_hedge(request, shard, chosen.target->distance, now);
    hooks.send(std::move(attempt));
}

void dispatcher::impl::schedule_hedge(request_state const& request, shard_state& shard, proximity where,
                                      time_point now) const
{
    bool const repeatable = request.matched_route->kind == route_kind::idempotent;
    bool const may_hedge =
        options.hedging && repeatable && !request.sequential && shard.maybe_run < request.matched_route->attempts;
    shard.hedge_postponed = false;
    shard.hedge_at = may_hedge ? now + hedge_delay(request, where) : time_point::max();
}

void dispatcher::impl::record_extra_attempt(request_state& request, service_group& group, selection const& chosen,
                                            attempt_reason reason, time_point now)
{
    bool const hedged = reason == attempt_reason::hedge;
    auto& summary = request.summary;
    ++(hedged ? summary.hedges : summary.retries);
    if (summary.hedges + summary.retries > max_described_extras) return;
    auto const at_ms = std::chrono::duration_cast<milliseconds>(now - request.arrived_at).count();
    auto const rounded = [](double value) { return std::to_string(std::llround(value)); };
    summary.extra_attempts += std::string(hedged ? "hedge:" : "retry:") + chosen.target->registration.id.value() +
                              ":at_ms=" + std::to_string(at_ms) + ",expected_ms=" + rounded(chosen.wait_ms) +
                              ",suspect=" + (chosen.suspect ? "1" : "0") +
                              ",budget=" + rounded(group.budget.remaining(options.budget, vms, now)) + " ";
}

void dispatcher::impl::send_first_attempt(request_state& request, std::size_t index, time_point now)
{
    switch (send(request, index, attempt_reason::first, now)) {
    case selection_failure::none: return;
    case selection_failure::no_room: enqueue_shard(request, index); return;
    case selection_failure::no_budget:
    case selection_failure::no_gain:
    case selection_failure::no_backend:
    case selection_failure::outside_home_region:
    case selection_failure::evacuated:
    case selection_failure::cold:
        request.shards[index].failed = true;
        ++request.failed;
        return;
    }
}

bool dispatcher::impl::congested(request_state const& request, time_point now) const
{
    return request.admission != nullptr &&
           request.admission->congested(request.matched_route->goal, admission_time(now));
}

/**
 * While congested, a hedge delays other queries. It is sent only if the other backend server is expected to be much
 * faster, that is, if one server is slow and not all of them.
 */
bool dispatcher::impl::hedge_worthwhile(request_state const& request, shard_state const& shard, selection const& other,
                                        time_point now) const
{
    if (!options.hedge_check || !congested(request, now)) return true;
    clock::duration longest{0};
    for (auto const id : shard.in_flight)
        longest = std::max(longest, now - attempts.at(id.value()).sent_at);
    return other.wait_ms < congested_hedge_share * std::chrono::duration<double, std::milli>(longest).count();
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
    shard.hedge_at = now + read_delay;
    return true;
}

void dispatcher::impl::hedge(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    for (auto const id : shard.in_flight) {
        auto const& attempt = attempts.at(id.value());
        auto const ran = std::chrono::duration<double, std::milli>(now - attempt.sent_at).count();
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
    shard.held = waits_for_other_attempts(request);
    if (shard.held) return;
    bool const may_run_again =
        shard.maybe_run < (request.matched_route->kind == route_kind::idempotent ? request.matched_route->attempts : 1);
    if (!may_run_again || shard.sends >= request.matched_route->attempts + max_additional_attempts) {
        fail_shard(request, index, now);
        return;
    }
    auto miss = send(request, index, attempt_reason::retry, now);
    if (miss == selection_failure::none) return;
    if (miss == selection_failure::no_room) {
        enqueue_shard(request, index);
        return;
    }
    if (shard.tried.empty() || miss == selection_failure::no_budget) {
        fail_shard(request, index, now);
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
    auto const took = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.sent_at);
    attempt.target->load.on_finished(result.outcome, took, now);
    bool const failed = result.outcome != attempt_status::answered || result.response.status / 100 == 5;
    if (hooks.on_attempt_finished) hooks.on_attempt_finished(*attempt.target, failed);
    if (result.outcome == attempt_status::wrong_server) attempt.target->removed = true;
    if (result.outcome == attempt_status::answered) update_warmup(*attempt.target, result.response, now);
    if (result.outcome == attempt_status::answered) {
        attempt.latencies->add(took);
        double const ms = static_cast<double>(took.count()) / 1000.0;
        attempt.group->average_latency_ms += usual_latency_weight * (ms - attempt.group->average_latency_ms);
        if (!failed) record_latency(*attempt.group, *attempt.target, ms);
    }
    if (auto const owner = requests.find(attempt.request.value()); owner != requests.end() && !attempt.observed) {
        auto& request = *owner->second;
        auto& shard = request.shards[attempt.shard];
        std::erase(shard.in_flight, id);
        bool const usable = result.outcome == attempt_status::answered && is_usable(request, result.response);
        if (!usable) shard.used_connections.push_back(result.connection);
        if (attempt.sequential && !may_have_run(result.outcome)) --request.sequential_runs;
        if (may_have_run(result.outcome)) ++request.summary.unanswered;
        if (result.outcome != attempt_status::answered && ++request.summary.failed_attempts <= max_described_failures) {
            request.summary.failure_details += attempt.target->registration.id.value() + ":" +
                                               to_string(result.outcome) + ":" + result.detail +
                                               ":connection=" + std::to_string(result.connection.value()) + " ";
        }
        if (result.outcome == attempt_status::answered) {
            bool const held = usable && on_usable_response(request, now);
            on_response(request, attempt.shard, std::move(result.response), now);
            if (held) send_held_shards(request, now);
        } else if (on_unanswered(request, attempt, result, now)) {
            on_failure(request, attempt.shard, result, now);
        }
        if (request.sequential) send_next_sequential(request, now);
    }
    send_queued(*attempt.group, now);
}

void dispatcher::impl::record_latency(service_group& group, backend_server const& server, double took_ms) const
{
    group.on_latency(server, took_ms);
    if (hooks.on_latency) hooks.on_latency(server, took_ms, group.reference_ms);
}

void dispatcher::impl::update_warmup(backend_server& server, http_response const& response, time_point now) const
{
    if (options.names.warmup_left.empty()) return;
    if (auto const left = parse_ms(response.header(options.names.warmup_left)))
        server.placement.cold_until = now + *left;
}

bool dispatcher::impl::is_usable(request_state const& request, http_response const& response) const
{
    bool const success = response.status / 100 == 2;
    if (success && response.header(options.names.signature).empty()) return false;
    return success || (!request.gathers() && response.status < 500);
}

void dispatcher::impl::on_response(request_state& request, std::size_t index, http_response response, time_point now)
{
    auto& shard = request.shards[index];
    if (shard.done || shard.failed) return;
    bool const usable = is_usable(request, response);
    shard.response = std::move(response);
    if (usable || request.matched_route->kind == route_kind::non_idempotent) {
        complete_shard(request, index, now);
        return;
    }
    if (!shard.in_flight.empty()) return;
    retry(request, index, now);
    schedule_next(request, now);
    finish_if_decided(request, now);
}

void dispatcher::impl::on_failure(request_state& request, std::size_t index, attempt_result const& result,
                                  time_point now)
{
    auto& shard = request.shards[index];
    if (!may_have_run(result.outcome)) --shard.maybe_run;
    if (result.outcome == attempt_status::not_sent) --shard.maybe_received;
    if (shard.done || shard.failed || !shard.in_flight.empty()) return;
    retry(request, index, now);
    schedule_next(request, now);
    finish_if_decided(request, now);
}

void dispatcher::impl::complete_shard(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    shard.done = true;
    shard.group->availability.on_outcome(true, now);
    shard.hedge_at = shard.retry_at = time_point::max();
    ++request.done;
    if (request.done == request.needed) on_needed_responded(request, now);
    if (2 * request.done >= request.shards.size() && !request.half_responded) {
        request.half_responded = true;
        if (request.admission != nullptr)
            request.admission->on_half_responded(request.admission_at, admission_time(now));
    }
    auto const others = std::move(shard.in_flight);
    shard.in_flight.clear();
    bool const observe = !congested(request, now); // While congested, an attempt that is not needed only uses a slot.
    for (auto const id : others)
        release_attempt(id, observe, now);
    finish_if_decided(request, now);
}

void dispatcher::impl::fail_shard(request_state& request, std::size_t index, time_point now)
{
    auto& shard = request.shards[index];
    if (shard.done || shard.failed) return;
    shard.failed = true;
    shard.group->availability.on_outcome(false, now);
    shard.hedge_at = shard.retry_at = time_point::max();
    ++request.failed;
    finish_if_decided(request, now);
}

/**
 * If the attempt is the only one in flight at its backend server, it may run on for a while, because its response shows
 * that a pause of the server is over. Otherwise it is canceled, which frees its slot.
 */
void dispatcher::impl::release_attempt(attempt_id id, bool may_observe, time_point now)
{
    auto const found = attempts.find(id.value());
    if (found == attempts.end()) return;
    auto& attempt = found->second;
    if (may_observe && attempt.target->load.in_flight() == 1) {
        attempt.observed = true;
        observed.emplace_back(now + options.observation_time, id);
        return;
    }
    auto const ran = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.sent_at);
    attempt.target->load.on_canceled(ran, now);
    attempt.latencies->add(ran);
    auto* group = attempt.group;
    // Without the slow attempts that a hedge made unnecessary, a slow server would look as fast as the others.
    double const ran_ms = static_cast<double>(ran.count()) / 1000.0;
    if (ran_ms > group->average_latency_ms) record_latency(*group, *attempt.target, ran_ms);
    attempts.erase(found);
    hooks.cancel(id);
    send_queued(*group, now);
}

} // namespace cornelspring
