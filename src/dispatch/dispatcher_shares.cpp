/** @file dispatcher_shares.cpp Fleet-wide admission control: counts the demand and applies the collector's shares. */
#include "dispatcher_impl.hpp"

namespace cornelspring {
namespace {

/** Draw that admission_control admits always: the shares decide, and it only measures the wait. */
constexpr double always_admitted = -1;

} // namespace

/**
 * Callers are told to wait at least a given part of their time left. A caller that has spent less has come back
 * earlier.
 */
bool dispatcher::impl::returns_as_told(request_state const& request) const
{
    if (!request.retried) return false;
    auto const spent = std::chrono::duration<double>(request.caller_time_spent).count();
    auto const left = std::chrono::duration<double>(request.deadline - request.arrived_at).count();
    return spent >= options.overload_retry_min * (spent + left);
}

arriving_query dispatcher::impl::arriving(request_state const& request, double max_share) const
{
    arriving_query query;
    query.set = shard_set_id(request.shards.front().group->name.value());
    query.of = {request.matched_route->priority, request.matched_route->goal};
    if (request.by != nullptr) {
        query.customer_priority = request.by->priority;
        query.customer = request.by->name;
        query.weight = request.by->quota.unlimited() ? 0 : request.by->quota.per_second;
    }
    query.returns_as_told = returns_as_told(request);
    query.time_left = std::chrono::duration_cast<milliseconds>(request.deadline - request.arrived_at);
    query.max_share = max_share;
    return query;
}

void dispatcher::impl::count_demand(request_state& request, arriving_query const& query, bool started, time_point now)
{
    if (started)
        request.ticket = demand.on_started(query, now);
    else
        demand.on_rejected(query);
}

bool dispatcher::impl::admitted_by_share(request_state& request, admission_control& control,
                                         admission_request const& query, time_point now)
{
    auto const arrived = arriving(request, query.max_share);
    auto const decision = demand.decide(arrived, now);
    bool const started = decision.outcome == share_outcome::admitted;
    request.by_share = decision.outcome;
    request.summary.rank = {arrived.customer_priority, arrived.of.route_priority};
    request.summary.admitted_share = decision.share;
    request.summary.share_epoch = decision.epoch;
    request.summary.share_sequence = decision.sequence;
    count_demand(request, arrived, started, now);
    if (!started) return false;
    request.summary.admission_wait_ms = control.admit(query, always_admitted, admission_time(now)).wait_ms;
    request.admission = &control;
    return true;
}

void dispatcher::impl::on_needed_responded(request_state& request, time_point now)
{
    if (request.ticket) demand.on_needed(*std::exchange(request.ticket, std::nullopt), now);
}

char const* dispatcher::impl::overload_reason(request_state const& request)
{
    switch (request.by_share) {
    case share_outcome::over_share: return "over_share";
    case share_outcome::own_queue: return "own_queue";
    case share_outcome::no_time: return "too_late";
    case share_outcome::admitted: break;
    }
    return "overloaded";
}

} // namespace cornelspring
