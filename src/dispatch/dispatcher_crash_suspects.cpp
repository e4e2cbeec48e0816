/** @file dispatcher_crash_suspects.cpp Handling of requests that may crash backend servers: attempts one at a time. */
#include "dispatcher_impl.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Number of closed connections, without any usable response, at which the attempts in flight are canceled. */
constexpr int disconnects_before_cancel = 2;
/** Maximum length of a request's method, host and path in the log. */
constexpr std::size_t max_logged_line_length = 120;

/** @return what names the caller of a request to backend servers. */
caller_identity identity_of(request_state const& request)
{
    if (request.by != nullptr) return caller_identity("customer " + request.by->name.value());
    if (request.config->customers().keys_required()) return {}; // The header is not forwarded.
    return caller_identity(request.message.header(std::string(authorization_header)));
}

/** @return whether a shard still needs a response. */
bool needs_response(shard_state const& shard) { return !shard.done && !shard.failed; }

/** @return whether an attempt of a shard is in flight, queued or scheduled. */
bool in_progress(shard_state const& shard)
{
    return needs_response(shard) && (!shard.in_flight.empty() || shard.queued || shard.retry_at != time_point::max());
}

} // namespace

void dispatcher::impl::set_digest(request_state& request)
{
    auto& summary = request.summary;
    if (!summary.digest.value().empty()) return;
    auto const& message = request.message;
    summary.digest = digest_of(message, identity_of(request));
    summary.request_line =
        (message.method + " " + message.header("host") + message.path).substr(0, max_logged_line_length);
}

quarantine_status dispatcher::impl::check_quarantine(request_state& request, time_point now)
{
    if (quarantine.empty()) return quarantine_status::clear;
    auto const digest = digest_of(request.message, identity_of(request));
    auto const quarantine_state = quarantine.status(digest, now);
    if (quarantine_state == quarantine_status::clear) return quarantine_state;
    if (safe_requests.contains(request.message, identity_of(request), now)) {
        quarantine.on_response(digest, now);
        return quarantine_status::clear;
    }
    set_digest(request);
    return quarantine_state;
}

bool dispatcher::impl::passes_quarantine(request_state& request, request_timing timing, bool claimed, time_point now)
{
    auto const state = check_quarantine(request, now);
    if (state == quarantine_status::clear) return true;
    auto const& digest = request.summary.digest;
    if (state == quarantine_status::quarantined) {
        respond_immediately(request.key, request.summary, quarantine_rejection(request, now), "quarantined");
        return false;
    }
    if (quarantine.on_trial(digest)) {
        respond_immediately(request.key, request.summary, on_trial_rejection(), "on_trial");
        return false;
    }
    request.on_trial = true;
    if (claimed || !hooks.claim_trial || !quarantine.needs_claim(digest)) return true;
    quarantine.start_trial(digest);
    auto const waiter = awaiting_trial.insert_or_assign(
        digest.value(), trial_waiter{request.key, std::move(request.message), timing, request.summary, now});
    hooks.claim_trial(waiter.first->second.summary.digest);
    return false;
}

void dispatcher::impl::on_trial_claimed(request_digest const& digest, bool granted, time_point now)
{
    quarantine.finish_trial(digest);
    auto found = awaiting_trial.extract(digest.value());
    if (!found) return;
    auto& waiter = found.mapped();
    if (!granted) {
        respond_immediately(waiter.key, std::move(waiter.summary), on_trial_rejection(), "on_trial");
        return;
    }
    auto const waited = now - waiter.since;
    waiter.timing.max_unread += waited;
    waiter.timing.round_trip += waited;
    start(waiter.key, std::move(waiter.message), waiter.timing, std::move(waiter.summary.caller), now, true);
}

std::optional<trial_waiter> dispatcher::impl::stop_awaiting_trial(request_key key)
{
    auto const found = std::find_if(awaiting_trial.begin(), awaiting_trial.end(),
                                    [key](auto const& each) { return each.second.key == key; });
    if (found == awaiting_trial.end()) return std::nullopt;
    return std::move(awaiting_trial.extract(found).mapped());
}

http_response dispatcher::impl::on_trial_rejection()
{
    return rejection("this request is being tried at one backend server, after others crashed", options.retry_after_s);
}

http_response dispatcher::impl::quarantine_rejection(request_state const& request, time_point now) const
{
    auto response = local_response(503, "this request has crashed backend servers");
    auto const left = std::chrono::ceil<std::chrono::seconds>(quarantine.quarantine_left(request.summary.digest, now));
    response.headers.push_back({"retry-after", std::to_string(left.count())});
    return response;
}

void dispatcher::impl::start_trial(request_state& request)
{
    quarantine.start_trial(request.summary.digest);
    request.on_trial = true;
    switch_to_sequential(request);
    leave_admission(request);
}

void dispatcher::impl::send_first_attempts(request_state& request, time_point now)
{
    if (request.sequential) {
        for (auto& shard : request.shards)
            shard.held = true;
        send_next_sequential(request, now);
        return;
    }
    for (std::size_t i = 0; i < request.shards.size(); ++i)
        send_first_attempt(request, i, now);
}

bool dispatcher::impl::on_unanswered(request_state& request, open_attempt const& attempt, attempt_result const& result,
                                     time_point now)
{
    // A backend server does not reset a new connection without a reason. Its limit of connections is one, but a request
    // that is alone in flight and meets it everywhere, again and again, is unlikely.
    bool const crash_likely = result.outcome == attempt_status::disconnected ||
                              (result.outcome == attempt_status::reset && attempt.sequential && result.new_connection);
    if (crash_likely) return on_backend_disconnected(request, now);
    if (result.outcome == attempt_status::reset) on_backend_reset(request);
    return true;
}

/**
 * Other attempts of the request in flight show whether it or the connection caused the reset. The next ones use new
 * connections, which a backend server cannot have dropped.
 */
void dispatcher::impl::on_backend_reset(request_state& request)
{
    ++request.resets;
    if (!request.usable_received) switch_to_sequential(request);
}

/**
 * If no backend server has sent a usable response yet, the first closed connection does not lead to a retry at another
 * replica of the shard: the other shards in flight show within milliseconds whether the request or the server caused
 * it. From the second closed connection on, the attempts in flight are canceled and attempts are sent one at a time.
 */
bool dispatcher::impl::on_backend_disconnected(request_state& request, time_point now)
{
    ++request.summary.disconnects;
    if (request.usable_received) return true;
    set_digest(request);
    bool const convicted = quarantine.reaches_crash_threshold(request.summary.digest, request.summary.disconnects);
    if (request.sequential_runs > 0 && convicted &&
        !safe_requests.contains(request.message, identity_of(request), now)) {
        finish(request.key, failure_response(request, false), "crashed_servers", now);
        return false;
    }
    switch_to_sequential(request);
    leave_admission(request); // From now on its response time is no measure of the queues.
    if (request.summary.disconnects >= disconnects_before_cancel) cancel_and_hold(request, now);
    return true;
}

bool dispatcher::impl::waits_for_other_attempts(request_state const& request)
{
    return request.sequential && std::any_of(request.shards.begin(), request.shards.end(), in_progress);
}

void dispatcher::impl::switch_to_sequential(request_state& request)
{
    if (request.sequential) return;
    request.sequential = request.summary.sequential = true;
    for (auto& shard : request.shards)
        shard.hedge_at = time_point::max();
}

/** Most backend servers drop canceled requests, so that they survive a request that would crash them. */
void dispatcher::impl::cancel_and_hold(request_state& request, time_point now)
{
    std::vector<attempt_id> canceled;
    for (auto& shard : request.shards) {
        bool const may_be_sent_again = shard.in_flight.empty() || shard.maybe_run < request.matched_route->attempts;
        if (!needs_response(shard) || !may_be_sent_again) continue;
        shard.held = true;
        shard.queued = false;
        shard.retry_at = time_point::max();
        canceled.insert(canceled.end(), shard.in_flight.begin(), shard.in_flight.end());
        shard.in_flight.clear();
    }
    for (auto const id : canceled)
        release_attempt(id, false, now);
}

void dispatcher::impl::send_shard(request_state& request, std::size_t index, time_point now)
{
    if (request.shards[index].sends == 0) {
        send_first_attempt(request, index, now);
    } else {
        retry(request, index, now);
    }
}

void dispatcher::impl::send_next_sequential(request_state& request, time_point now)
{
    auto const key = request.key.value();
    auto const is_open = [this, key] { return requests.contains(key); };
    if (!is_open()) return;
    auto const count = request.shards.size();
    // Starts at a random shard, so that a repeated request does not crash the same backend servers each time.
    auto const from = random() % count;
    for (std::size_t i = 0; i < count && is_open(); ++i) {
        if (waits_for_other_attempts(request)) return;
        auto const index = (from + i) % count;
        auto& shard = request.shards[index];
        if (!shard.held || !needs_response(shard)) continue;
        shard.held = false;
        send_shard(request, index, now);
    }
    if (!is_open()) return;
    schedule_next(request, now);
    finish_if_decided(request, now);
}

bool dispatcher::impl::on_usable_response(request_state& request, time_point now)
{
    request.usable_received = true;
    if (!std::exchange(request.sequential, false)) return false;
    set_digest(request);
    quarantine.on_response(request.summary.digest, now);
    return true;
}

void dispatcher::impl::send_held_shards(request_state& request, time_point now)
{
    auto const key = request.key.value();
    for (std::size_t i = 0; i < request.shards.size() && requests.contains(key); ++i) {
        auto& shard = request.shards[i];
        bool const held = std::exchange(shard.held, false);
        if (!needs_response(shard)) continue;
        if (!shard.in_flight.empty())
            schedule_hedge(request, shard, attempts.at(shard.in_flight.back().value()).target->distance, now);
        if (held) send_shard(request, i, now);
    }
    if (!requests.contains(key)) return;
    schedule_next(request, now);
    finish_if_decided(request, now);
}

/**
 * A trial that finishes without a usable response leads to quarantine too, if the request has crashed enough backend
 * servers before. Otherwise a caller that always disconnects early could get it sent to another server each time.
 */
void dispatcher::impl::update_quarantine(request_state& request, time_point now)
{
    auto const& summary = request.summary;
    if (request.on_trial) quarantine.finish_trial(summary.digest);
    if (request.usable_received) {
        safe_requests.add(request.message, identity_of(request), now);
        // Peer gateways may have started to suspect the request while it was in flight.
        if (!quarantine.empty()) quarantine.on_response(digest_of(request.message, identity_of(request)), now);
    }
    // Resets that may have other reasons count as one crash, so that a repetition of the request goes on trial.
    int const crashes = summary.disconnects > 0 ? summary.disconnects : std::min(request.resets, 1);
    bool const no_evidence = crashes == 0 && !request.on_trial;
    if (request.usable_received || no_evidence || safe_requests.contains(request.message, identity_of(request), now))
        return;
    set_digest(request);
    if (crashes > 0) quarantine.on_crashes(summary.digest, crashes, now);
    if (request.sequential_runs > 0 && quarantine.reaches_crash_threshold(summary.digest, 0)) {
        quarantine.start_quarantine(summary.digest, now);
    }
}

} // namespace cornelspring
