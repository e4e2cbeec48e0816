/** @file dispatcher_arrival.cpp A request arrives: route, deadline, shards, admission. */
#include "dispatcher_impl.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cornelspring {
namespace {

/**
 * Seconds a caller waits at least before it asks a VM again that knows no configuration yet. A process that starts
 * knows it within that time, and callers with one try left and less than a second must not come back too late for it.
 */
constexpr double starting_retry_after_s = 0.1;

/** Longest of these times, in seconds: callers that wait for 10 s come back in the second in which the configuration is
 *  there again. */
constexpr double starting_retry_after_most_s = 1.0;

/** Window of the times that callers of a route still wait; it answers from the first one on, and anew for each: a VM
 * that sees one query a second must not believe its first caller for many seconds. */
constexpr duration_window::sizes deadline_window{256, 1, 1};
/** So many requests show how long callers of a route wait; of fewer the longest counts, and the route's own timeout, */
constexpr std::size_t deadline_samples = 32;
/** where it is longer by less than this share of the goal: callers that have looked up an address are that close. */
constexpr double configured_near_share = 0.5;
/** Quantile of these that counts as the time that callers wait at first. Most requests
 *  have all of it left; fewer than one in twenty that wait longer than the rest do not count. */
constexpr double full_deadline_quantile = 0.95;
/** A caller has been here before when more than this share of its time has gone. */
constexpr double returning_share = 0.03;

} // namespace

std::optional<milliseconds> parse_ms(std::string const& text)
{
    std::int64_t value = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size() || value < 0) return std::nullopt;
    return milliseconds(value);
}

void dispatcher::impl::start(request_key key, http_request message, request_timing timing, caller_address caller,
                             time_point now)
{
    auto const& config = configs.current();
    request_summary summary;
    summary.request_id = message.header(options.names.request_id);
    summary.caller = std::move(caller);
    if (!config) {
        answer_at_once(key, summary, refusal("no configuration is known yet", starting_wait_s(now)), "starting");
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
    if (!set_deadline(request, timing)) {
        answer_at_once(key, request.summary, refusal("too little time is left", options.retry_after_s), "no_time");
        return;
    }
    auto const standing = look_up(request, now);
    if (standing == quarantine_status::quarantined) {
        answer_at_once(key, request.summary, quarantine_refusal(request, now), "quarantined");
        return;
    }
    bool const suspect = standing == quarantine_status::suspect;
    if (suspect && quarantine.on_trial(request.summary.digest)) {
        auto const text = "this request is being tried at one backend server, after others crashed";
        answer_at_once(key, request.summary, refusal(text, options.retry_after_s), "on_trial");
        return;
    }
    add_shards(request, now);
    if (double const wait = blocked_wait_s(request, now); wait > 0) {
        auto const& summary = request.summary;
        bool const for_place = summary.no_home + summary.evacuated + summary.cold > 0;
        auto const* text =
            for_place ? "too few backend servers may serve it where they are" : "too few backend servers have room";
        answer_at_once(key, summary, refusal(text, wait), for_place ? "no_place" : "no_room");
        return;
    }
    if (options.admission && !admitted(request, now)) {
        answer_at_once(key, request.summary, return_later(request), "overloaded");
        return;
    }
    request.head_bytes = head_bytes(request);
    if (suspect) begin_trial(request);
    open.emplace(key.value(), std::move(made));
    first_attempts(request, now);
    rearm(request, now);
    check_finish(request, now);
}

/** What lasts for some time already is taken to last as long again: after a power cut the store may be away for
 *  seconds, and callers have one more try. */
double dispatcher::impl::starting_wait_s(time_point now)
{
    if (!unconfigured_since) unconfigured_since = now;
    auto const lasted_s = std::chrono::duration<double>(now - *unconfigured_since).count();
    return std::clamp(lasted_s, starting_retry_after_s, starting_retry_after_most_s);
}

/**
 * What the request may have waited unread is taken off its deadline, which backend servers are told, and not off its
 * goal: it is a bound, and a long one on a small VM in the middle of another query's work. Answers that left so much
 * earlier would lack shards for nothing.
 */
bool dispatcher::impl::set_deadline(request_state& request, request_timing timing)
{
    auto left = request.via->timeout;
    if (auto const asked = parse_ms(request.message.header(options.names.deadline))) {
        left = std::min(left, *asked);
        auto const full = full_deadline(request, *asked);
        request.gone = full - *asked;
        request.returning =
            static_cast<double>(request.gone.count()) > returning_share * static_cast<double>(full.count());
    }
    request.deadline = request.arrived - timing.max_unread + left - deadline_margin;
    auto spent = options.caller_time ? request.gone + timing.round_trip : clock::duration(0);
    // What is late already has no goal to keep, or its caller simply waits for less time than others.
    clock::duration const fixed = options.answer_margin;
    auto const of_goal = std::chrono::duration_cast<clock::duration>(options.answer_margin_share * request.via->goal);
    auto const margin = std::max(fixed, of_goal);
    if (spent + margin >= request.via->goal) spent = clock::duration(0);
    request.answer_by = options.early_answer ? request.arrived + request.via->goal - margin - spent : request.deadline;
    request.summary.caller_time_spent = std::chrono::duration_cast<milliseconds>(spent);
    return request.deadline > request.arrived;
}

/**
 * Callers of one route wait equally long, and a request says how long its caller still waits. What is missing to the
 * usual longest time has gone: the caller looked up an address, which takes several round trips, connected, or tried
 * before. It counts for the goal too: with one margin for all, the answers to callers that had looked up an address
 * come late. A few callers that wait longer than the rest change nothing. In the first seconds all callers have looked
 * up an address, so that none shows its whole time; operators set a route's timeout to what its callers wait.
 */
milliseconds dispatcher::impl::full_deadline(request_state const& request, milliseconds asked)
{
    auto& recent = deadlines.try_emplace(request.via->name, deadline_window).first->second;
    recent.add(asked);
    bool const few = recent.count() < deadline_samples;
    auto const usual = recent.quantile(few ? 1.0 : full_deadline_quantile);
    auto const seen = usual ? std::max(std::chrono::duration_cast<milliseconds>(*usual), asked) : asked;
    if (!few) return seen;
    auto const configured = request.via->timeout;
    bool const near = configured - seen < configured_near_share * request.via->goal;
    return near ? std::max(configured, seen) : seen;
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
        shard.warmup = &request.config->warmup(service);
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

selection_context dispatcher::impl::scope(request_state const& request, shard_state const& shard) const
{
    return {options.selection, placement, {request.via->home_regions, *shard.warmup}};
}

void dispatcher::impl::note_miss(request_summary& summary, selection_failure miss)
{
    if (miss == selection_failure::outside_home_regions) ++summary.no_home;
    if (miss == selection_failure::evacuated) ++summary.evacuated;
    if (miss == selection_failure::cold) ++summary.cold;
}

/**
 * Admission: a request that would wait for room beyond its goal at more shards than it can spare is refused on
 * arrival, so that callers come back later in place of queueing past their deadlines.
 * A shard without any backend server to send to counts as blocked too.
 * @return the expected wait in seconds when it is to be refused, else 0.
 */
double dispatcher::impl::blocked_wait_s(request_state& request, time_point now) const
{
    std::size_t blocked = 0;
    double longest = options.retry_after_s;
    for (auto const& shard : request.shards) {
        auto const miss = unavailability_reason(*shard.group, scope(request, shard), now);
        if (miss != selection_failure::none) {
            note_miss(request.summary, miss);
            ++blocked;
            continue;
        }
        auto const ahead = static_cast<double>(shard.group->wait_queue.size());
        if (ahead == 0) continue;
        double const lanes = std::max(1.0, static_cast<double>(shard.group->backends.size()) * room(request, shard));
        double const wait_s = ahead * shard.group->average_latency_ms / lanes / 1000.0;
        longest = std::max(longest, wait_s);
        if (wait_s > std::chrono::duration<double>(request.via->goal).count()) ++blocked;
    }
    return blocked > request.shards.size() - request.needed ? longest : 0;
}

double dispatcher::impl::coverable(request_state const& request, time_point now)
{
    std::vector<double> answered_shares;
    answered_shares.reserve(request.shards.size());
    for (auto const& shard : request.shards)
        answered_shares.push_back(shard.group->availability.response_rate(now));
    return coverable_share(std::move(answered_shares), request.needed);
}

/** Asks for admission among the queries over the same shards. */
bool dispatcher::impl::admitted(request_state& request, time_point now)
{
    if (!request.gathers()) return true;
    auto const& first = *request.shards.front().group;
    auto& control = admissions[first.name.value()];
    admission_request asked;
    asked.goal = request.via->goal;
    asked.started_at = request.arrived;
    asked.retried = options.retries_last && request.returning;
    if (options.by_coverage) asked.max_share = coverable(request, now);
    request.summary.coverable_share = asked.max_share;
    asked.highest_priority = !options.by_priority || request.via->highest_priority;
    auto const decision = control.admit(asked, std::uniform_real_distribution<double>(0, 1)(random), now);
    request.summary.admission_wait_ms = decision.wait_ms;
    request.summary.admitted_share = decision.share;
    if (!decision.admitted) return false;
    request.admission = &control;
    return true;
}

void dispatcher::impl::leave_admission(request_state& request)
{
    if (request.admission == nullptr) return;
    if (!request.half_answered) request.admission->on_finished(request.arrived);
    request.admission = nullptr;
}

/** Refuses a request for load; callers come back spread evenly over the time in which they can. */
http_response dispatcher::impl::return_later(request_state const& request)
{
    auto const left_s = std::chrono::duration<double>(request.deadline - request.arrived).count();
    auto response = own_answer(503, "too many requests are open");
    std::uniform_real_distribution<double> share(options.overload_retry_min, options.overload_retry_max);
    response.headers.push_back({"retry-after", std::to_string(std::round(share(random) * left_s * 1000) / 1000)});
    return response;
}

} // namespace cornelspring
