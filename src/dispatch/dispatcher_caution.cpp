/** @file dispatcher_caution.cpp Handling of requests that may crash backend servers: attempts one at a time. */
#include "dispatcher_impl.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Number of closed connections, without any usable response, at which the attempts in flight are cancelled. */
constexpr int losses_to_give_up = 2;
/** Maximum length of a request's method, host and path in the log. */
constexpr std::size_t logged_line_length = 120;

/** @return whether a shard still needs a response. */
bool wanted(shard_state const& shard) { return !shard.done && !shard.failed; }

/** @return whether an attempt of a shard is in flight, queued or scheduled. */
bool under_way(shard_state const& shard)
{
    return wanted(shard) && (!shard.open.empty() || shard.waiting || shard.retry_at != time_point::max());
}

} // namespace

void dispatcher::impl::look_at(request_state& request)
{
    auto& summary = request.summary;
    if (!summary.digest.value().empty()) return;
    auto const& message = request.message;
    summary.digest = digest_of(message);
    summary.request_line = (message.method + " " + message.header("host") + message.path).substr(0, logged_line_length);
}

request_standing dispatcher::impl::look_up(request_state& request, time_point now)
{
    if (quarantine.empty()) return request_standing::clear;
    auto const digest = digest_of(request.message);
    auto const standing = quarantine.standing(digest, now);
    if (standing == request_standing::clear) return standing;
    if (answered.contains(request.message, now)) {
        quarantine.on_answered(digest, now);
        return request_standing::clear;
    }
    look_at(request);
    return standing;
}

http_response dispatcher::impl::quarantine_refusal(request_state const& request, time_point now) const
{
    auto response = own_answer(503, "this request has crashed backend servers");
    auto const left = std::chrono::ceil<std::chrono::seconds>(quarantine.quarantine_left(request.summary.digest, now));
    response.headers.push_back({"retry-after", std::to_string(left.count())});
    return response;
}

void dispatcher::impl::begin_trial(request_state& request)
{
    quarantine.begin_trial(request.summary.digest);
    request.on_trial = true;
    become_cautious(request);
}

void dispatcher::impl::first_attempts(request_state& request, time_point now)
{
    if (request.cautious) {
        for (auto& shard : request.shards)
            shard.held = true;
        next_cautious(request, now);
        return;
    }
    for (std::size_t i = 0; i < request.shards.size(); ++i)
        first_attempt(request, i, now);
}

/**
 * If no backend server has sent a usable response yet, the first closed connection does not lead to a retry at another
 * replica of the shard: the other shards in flight show within milliseconds whether the request or the server caused
 * it. From the second closed connection on, the attempts in flight are cancelled and attempts are sent one at a time.
 */
bool dispatcher::impl::on_disconnect(request_state& request, time_point now)
{
    ++request.summary.disconnects;
    if (request.survived) return true;
    look_at(request);
    bool const convicted = quarantine.convicts(request.summary.digest, request.summary.disconnects);
    if (request.trials > 0 && convicted && !answered.contains(request.message, now)) {
        finish(request.key, failure_answer(request, false), "crashed_servers", now);
        return false;
    }
    if (!request.cautious) become_cautious(request);
    if (request.summary.disconnects >= losses_to_give_up) hold_all(request, now);
    return true;
}

bool dispatcher::impl::waits_for_others(request_state const& request)
{
    return request.cautious && std::any_of(request.shards.begin(), request.shards.end(), under_way);
}

void dispatcher::impl::become_cautious(request_state& request)
{
    request.cautious = request.summary.sequential = true;
    leave_admission(request); // From now on its response time is no measure of the queues.
    for (auto& shard : request.shards)
        shard.hedge_at = time_point::max();
}

/** Most backend servers drop cancelled requests, so that they survive a request that would crash them. */
void dispatcher::impl::hold_all(request_state& request, time_point now)
{
    std::vector<attempt_id> given_up;
    for (auto& shard : request.shards) {
        bool const may_be_sent_again = shard.open.empty() || shard.runs < request.via->attempts;
        if (!wanted(shard) || !may_be_sent_again) continue;
        shard.held = true;
        shard.waiting = false;
        shard.retry_at = time_point::max();
        given_up.insert(given_up.end(), shard.open.begin(), shard.open.end());
        shard.open.clear();
    }
    for (auto const id : given_up)
        release(id, false, now);
}

void dispatcher::impl::send_shard(request_state& request, std::size_t index, time_point now)
{
    if (request.shards[index].sends == 0) {
        first_attempt(request, index, now);
    } else {
        retry(request, index, now);
    }
}

void dispatcher::impl::next_cautious(request_state& request, time_point now)
{
    auto const key = request.key.value();
    auto const is_open = [this, key] { return open.contains(key); };
    if (!is_open()) return;
    auto const count = request.shards.size();
    // Starts at a random shard, so that a repeated request does not crash the same backend servers each time.
    auto const from = random() % count;
    for (std::size_t i = 0; i < count && is_open(); ++i) {
        if (waits_for_others(request)) return;
        auto const index = (from + i) % count;
        auto& shard = request.shards[index];
        if (!shard.held || !wanted(shard)) continue;
        shard.held = false;
        send_shard(request, index, now);
    }
    if (!is_open()) return;
    rearm(request, now);
    check_finish(request, now);
}

bool dispatcher::impl::on_survived(request_state& request, time_point now)
{
    request.survived = true;
    if (!std::exchange(request.cautious, false)) return false;
    look_at(request);
    quarantine.on_answered(request.summary.digest, now);
    return true;
}

void dispatcher::impl::send_held(request_state& request, time_point now)
{
    auto const key = request.key.value();
    for (std::size_t i = 0; i < request.shards.size() && open.contains(key); ++i) {
        auto& shard = request.shards[i];
        bool const held = std::exchange(shard.held, false);
        if (!wanted(shard)) continue;
        if (!shard.open.empty()) plan_hedge(request, shard, attempts.at(shard.open.back().value()).target->where, now);
        if (held) send_shard(request, i, now);
    }
    if (!open.contains(key)) return;
    rearm(request, now);
    check_finish(request, now);
}

/**
 * A trial that finishes without a usable response leads to quarantine too, if the request has crashed enough backend
 * servers before. Otherwise a caller that always disconnects early could get it sent to another server each time.
 */
void dispatcher::impl::draw_conclusions(request_state& request, time_point now)
{
    auto const& summary = request.summary;
    if (request.on_trial) quarantine.end_trial(summary.digest);
    if (request.survived) {
        answered.add(request.message, now);
        // Peer gateways may have started to suspect the request while it was in flight.
        if (!quarantine.empty()) quarantine.on_answered(digest_of(request.message), now);
    }
    bool const nothing_seen = summary.disconnects == 0 && !request.on_trial;
    if (request.survived || nothing_seen || answered.contains(request.message, now)) return;
    look_at(request);
    if (summary.disconnects > 0) quarantine.on_crashes(summary.digest, summary.disconnects, now);
    if (request.trials > 0 && quarantine.convicts(summary.digest, 0)) {
        quarantine.convict(summary.digest, now);
    }
}

} // namespace cornelspring
