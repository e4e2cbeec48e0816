/** @file dispatcher_caution.cpp Requests that may crash the backend servers that run them: one server at a time. */
#include "dispatcher_impl.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Servers that end under a request, none having answered it, from which on what is under way is given up. */
constexpr int losses_to_give_up = 2;
/** Characters of a request's method, host and path in the log. */
constexpr std::size_t logged_line_length = 120;

/** @return whether a shard still needs an answer. */
bool wanted(shard_state const& shard) { return !shard.done && !shard.failed; }

/** @return whether something of a shard is under way, or will be by itself. */
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

quarantine_status dispatcher::impl::look_up(request_state& request, time_point now)
{
    if (quarantine.empty()) return quarantine_status::clear;
    auto const digest = digest_of(request.message);
    auto const standing = quarantine.status(digest, now);
    if (standing == quarantine_status::clear) return standing;
    if (answered.contains(request.message, now)) {
        quarantine.on_response(digest, now);
        return quarantine_status::clear;
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
    quarantine.start_trial(request.summary.digest);
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
 * The first loss of a request that nobody has answered yet is no reason to ask a second server of the shard: the shards
 * that are under way tell within milliseconds whether the request or the server is to blame. From the second loss on,
 * what is under way is given up, and one server at a time is asked.
 */
bool dispatcher::impl::on_disconnect(request_state& request, time_point now)
{
    ++request.summary.disconnects;
    if (request.survived) return true;
    look_at(request);
    bool const convicted = quarantine.reaches_crash_threshold(request.summary.digest, request.summary.disconnects);
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
    leave_admission(request); // The time until it is answered says nothing about a queue from now on.
    for (auto& shard : request.shards)
        shard.hedge_at = time_point::max();
}

/** Most servers drop what nobody waits for, and so outlive a request that would crash them. */
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
    // Another shard each time, so that a request that comes again and again does not strike the same servers.
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
    quarantine.on_response(request.summary.digest, now);
    return true;
}

void dispatcher::impl::send_held(request_state& request, time_point now)
{
    auto const key = request.key.value();
    for (std::size_t i = 0; i < request.shards.size() && open.contains(key); ++i) {
        auto& shard = request.shards[i];
        bool const held = std::exchange(shard.held, false);
        if (!wanted(shard)) continue;
        if (!shard.open.empty())
            plan_hedge(request, shard, attempts.at(shard.open.back().value()).target->distance, now);
        if (held) send_shard(request, i, now);
    }
    if (!open.contains(key)) return;
    rearm(request, now);
    check_finish(request, now);
}

/**
 * A trial that ends without an answer reaches_crash_threshold too, when enough servers have ended under the request
 * before: otherwise a caller that always leaves early could bring it to a server each time.
 */
void dispatcher::impl::draw_conclusions(request_state& request, time_point now)
{
    auto const& summary = request.summary;
    if (request.on_trial) quarantine.finish_trial(summary.digest);
    if (request.survived) {
        answered.add(request.message, now);
        // Others may suspect by now what had begun before.
        if (!quarantine.empty()) quarantine.on_response(digest_of(request.message), now);
    }
    bool const nothing_seen = summary.disconnects == 0 && !request.on_trial;
    if (request.survived || nothing_seen || answered.contains(request.message, now)) return;
    look_at(request);
    if (summary.disconnects > 0) quarantine.on_crashes(summary.digest, summary.disconnects, now);
    if (request.trials > 0 && quarantine.reaches_crash_threshold(summary.digest, 0)) {
        quarantine.start_quarantine(summary.digest, now);
    }
}

} // namespace cornelspring
