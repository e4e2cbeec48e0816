/** @file dispatcher_arrival.cpp Handling of new requests: route, deadline, shards, admission. */
#include "dispatcher_impl.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cornelspring {
namespace {

/**
 * Minimum Retry-After in seconds while there is no configuration. A starting process usually receives it within this
 * time, and callers with one retry left and less than a second must not retry too late.
 */
constexpr double no_config_min_retry_after_s = 0.1;

/** Upper limit of this minimum, in seconds, so that callers with a time-out of 10 s retry within a second after the
 *  configuration has become available again. */
constexpr double no_config_max_retry_after_s = 1.0;

/** Window of recent deadlines in the requests of a route. It gives a quantile from the first sample on and recomputes
 *  it for each sample. Otherwise a VM with one query per second would use its first caller's value for many seconds. */
constexpr duration_window::sizes deadline_window{256, 1, 1};
/** Minimum number of requests to estimate the total time that callers of a route wait. With fewer, the longest deadline
 *  counts, or the route's timeout if it is only a little longer. */
constexpr std::size_t min_deadline_samples = 32;
/** The route's timeout counts if it is longer by less than this share of the goal, which is about the time that callers
 *  spend on looking up an address. */
constexpr double near_timeout_share = 0.5;
/** Quantile of the recent deadlines that is used as the total time that callers wait. Most requests have all of it
 *  left. Callers with a longer deadline do not count if they send fewer than one in twenty requests. */
constexpr double full_caller_time_quantile = 0.95;
/** A request counts as a caller's retry if more than this share of the caller's time is spent. */
constexpr double retried_share = 0.03;

} // namespace

std::optional<milliseconds> parse_ms(std::string const& text)
{
    std::int64_t value = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size() || value < 0) return std::nullopt;
    return milliseconds(value);
}

void dispatcher::impl::start(request_key key, http_request message, request_timing timing, caller_address caller,
                             time_point now, bool trial_claimed)
{
    auto const& config = configs.current();
    request_summary summary;
    summary.request_id = message.header(options.names.request_id);
    summary.caller = std::move(caller);
    summary.quota_wait = std::chrono::duration_cast<milliseconds>(timing.quota_wait);
    if (stopping) {
        respond_immediately(key, summary, stop_rejection(), "stopping");
        return;
    }
    if (!config) {
        respond_immediately(key, summary, rejection("no configuration is known yet", no_config_retry_after_s(now)),
                            "starting");
        return;
    }
    summary.version = config->version();
    auto const* via = config->match(message.header("host"), message.path);
    if (via == nullptr) {
        respond_immediately(key, summary, local_response(404, "no route matches host and path"), "no_route");
        return;
    }
    auto made = std::make_unique<request_state>();
    auto& request = *made;
    request.key = key;
    request.message = std::move(message);
    request.config = config;
    request.matched_route = via;
    request.arrived_at = now;
    request.admission_at = admission_time(now);
    request.summary = summary;
    request.summary.route_name = via->name;
    request.latencies = &latencies[via->name];
    if (auto const* reason = authenticate(request); reason != nullptr) {
        auto response = local_response(401, "the request needs a valid API key");
        response.headers.push_back({"www-authenticate", "Bearer"});
        respond_immediately(key, request.summary, std::move(response), reason);
        return;
    }
    request.home_region_set =
        request.by == nullptr ? via->home_region_set : common_homes(via->home_region_set, request.by->home_region_set);
    if (!set_deadline(request, timing)) {
        respond_immediately(key, request.summary, rejection("too little time is left", options.retry_after_s),
                            "no_time");
        return;
    }
    if (!passes_quarantine(request, timing, trial_claimed, now)) return;
    if (!within_quota(request, timing, now)) return;
    add_shards(request, now);
    if (double const wait = blocked_wait_s(request, now); wait > 0) {
        auto const& summary = request.summary;
        bool const placement_refused = summary.no_home + summary.evacuated + summary.cold > 0;
        auto const* text = placement_refused ? "too few backend servers may serve it where they are"
                                             : "too few backend servers have room";
        reject_within_quota(request, rejection(text, wait), placement_refused ? "no_place" : "no_room", now);
        return;
    }
    if (options.admission && !admitted(request, now)) {
        reject_within_quota(request, overload_response(request), overload_reason(request), now);
        return;
    }
    request.head_bytes = head_bytes(request);
    if (request.on_trial) start_trial(request);
    requests.emplace(key.value(), std::move(made));
    send_first_attempts(request, now);
    schedule_next(request, now);
    finish_if_decided(request, now);
}

/** The state without a configuration is expected to last as long again as it has lasted so far. After a power cut the
 *  store may be unreachable for seconds, and callers have only one retry left. */
double dispatcher::impl::no_config_retry_after_s(time_point now)
{
    if (!unconfigured_since) unconfigured_since = now;
    auto const lasted_s = std::chrono::duration<double>(now - *unconfigured_since).count();
    return std::clamp(lasted_s, no_config_min_retry_after_s, no_config_max_retry_after_s);
}

/**
 * The time that the request may have been unread is subtracted from its deadline, which is sent to the backend servers,
 * but not from its goal. It is only an upper bound, and a high one on a small VM that is busy with another query.
 * Responses sent that much earlier would lack shards without need.
 */
bool dispatcher::impl::set_deadline(request_state& request, request_timing timing)
{
    auto left = request.matched_route->timeout;
    if (auto const remaining = parse_ms(request.message.header(options.names.deadline))) {
        left = std::min(left, *remaining);
        auto const full = full_caller_time(request, *remaining);
        request.caller_time_spent = full - *remaining;
        request.retried =
            static_cast<double>(request.caller_time_spent.count()) > retried_share * static_cast<double>(full.count());
    }
    request.deadline = request.arrived_at - timing.max_unread + left - deadline_margin;
    auto spent = options.caller_time ? request.caller_time_spent + timing.round_trip : clock::duration(0);
    // The goal cannot be met any more, or the caller only has a shorter time-out than others.
    clock::duration const fixed = options.answer_margin;
    auto const of_goal =
        std::chrono::duration_cast<clock::duration>(options.answer_margin_share * request.matched_route->goal);
    auto const margin = std::max(fixed, of_goal);
    if (spent + margin >= request.matched_route->goal) spent = clock::duration(0);
    request.respond_by =
        options.early_answer ? request.arrived_at + request.matched_route->goal - margin - spent : request.deadline;
    request.summary.caller_time_spent = std::chrono::duration_cast<milliseconds>(spent);
    return request.deadline > request.arrived_at;
}

/**
 * Callers of one route have the same time-out, and the deadline in a request is what remains of it. The difference to
 * the usual longest deadline is time that the caller has spent already: it looked up an address, which takes several
 * round trips, connected, or tried before. This time counts towards the latency goal too. With the same margin for all
 * requests, responses to callers that had looked up an address would be late. A few callers with a longer time-out than
 * the others do not change the result. In the first seconds all callers have just looked up an address, so no request
 * shows the full time-out; therefore the route's timeout is used, which operators set to the time-out of its callers.
 */
milliseconds dispatcher::impl::full_caller_time(request_state const& request, milliseconds remaining)
{
    auto& recent = caller_deadlines.try_emplace(request.matched_route->name, deadline_window).first->second;
    recent.add(remaining);
    bool const few = recent.count() < min_deadline_samples;
    auto const usual = recent.quantile(few ? 1.0 : full_caller_time_quantile);
    auto const seen = usual ? std::max(std::chrono::duration_cast<milliseconds>(*usual), remaining) : remaining;
    if (!few) return seen;
    auto const configured = request.matched_route->timeout;
    bool const near = configured - seen < near_timeout_share * request.matched_route->goal;
    return near ? std::max(configured, seen) : seen;
}

/** Smooth weighted round robin: the shares match the weights exactly, even over few requests. */
service_name const& dispatcher::impl::choose_split_service(route const& via)
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
        add(choose_split_service(*request.matched_route));
    } else {
        auto const& gather = *request.matched_route->gather;
        request.shards.reserve(gather.shards.size());
        for (auto const& service : gather.shards)
            add(service);
        auto const count = static_cast<double>(gather.shards.size());
        // The small term avoids that rounding errors add one shard.
        request.needed =
            std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(gather.min_coverage * count - 1e-9)));
    }
    request.summary.shards = request.shards.size();
}

std::string dispatcher::impl::head_bytes(request_state const& request) const
{
    bool const keys_required = request.config->customers().keys_required();
    auto headers = request.message.headers;
    remove_hop_by_hop(headers);
    std::string out = request.message.method + " " + request.message.path + " HTTP/1.1\r\n";
    for (auto const& header : headers) {
        if (header.name == options.names.deadline || header.name == options.names.target_backend) continue;
        // A key must not reach backend servers, and only this gateway states the customer.
        if (keys_required && (header.name == authorization_header || header.name == options.names.customer)) continue;
        out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (request.by != nullptr)
        out.append(options.names.customer).append(": ").append(request.by->name.value()).append("\r\n");
    if (!request.message.body.empty() || request.message.method == "POST" || request.message.method == "PUT") {
        out.append("content-length: ").append(std::to_string(request.message.body.size())).append("\r\n");
    }
    return out;
}

selection_context dispatcher::impl::context(request_state const& request, shard_state const& shard) const
{
    auto const preferred =
        request.gathers() ? options.selection.preferred_replicas : std::numeric_limits<std::size_t>::max();
    return {options.selection, placement, {request.home_region_set, *shard.warmup}, preferred, shared_load};
}

void dispatcher::impl::count_miss(request_summary& summary, selection_failure miss)
{
    if (miss == selection_failure::outside_home_region) ++summary.no_home;
    if (miss == selection_failure::evacuated) ++summary.evacuated;
    if (miss == selection_failure::cold) ++summary.cold;
}

/**
 * A request is rejected on arrival if it would wait for a free connection beyond its goal at more shards than it may
 * leave out, so that callers retry later instead of queueing past their deadlines. A shard without any backend server
 * to send to counts as blocked too.
 * @return the expected wait in seconds if the request must be rejected, else 0.
 */
double dispatcher::impl::blocked_wait_s(request_state& request, time_point now) const
{
    std::size_t blocked = 0;
    double longest = options.retry_after_s;
    for (auto const& shard : request.shards) {
        auto const miss = unavailability_reason(*shard.group, context(request, shard), now);
        if (miss != selection_failure::none) {
            count_miss(request.summary, miss);
            ++blocked;
            continue;
        }
        auto const ahead = static_cast<double>(shard.group->wait_queue.size());
        if (ahead == 0) continue;
        double const lanes =
            std::max(1.0, static_cast<double>(shard.group->backends.size()) * connection_limit(request, shard));
        double const wait_s = ahead * shard.group->average_latency_ms / lanes / 1000.0;
        longest = std::max(longest, wait_s);
        if (wait_s > std::chrono::duration<double>(request.matched_route->goal).count()) ++blocked;
    }
    return blocked > request.shards.size() - request.needed ? longest : 0;
}

double dispatcher::impl::coverable(request_state const& request, time_point now)
{
    std::vector<double> response_rates;
    response_rates.reserve(request.shards.size());
    for (auto const& shard : request.shards)
        response_rates.push_back(shard.group->availability.response_rate(now));
    return coverable_share(std::move(response_rates), request.needed);
}

/** Checks admission among the queries over the same shards. */
bool dispatcher::impl::admitted(request_state& request, time_point now)
{
    if (!request.gathers()) return true;
    auto const& first = *request.shards.front().group;
    auto& control = admissions[first.name.value()];
    admission_request query;
    query.goal = request.matched_route->goal;
    query.started_at = request.admission_at;
    query.retried = options.retries_last && request.retried;
    if (options.by_coverage) query.max_share = coverable(request, now);
    request.summary.coverable_share = query.max_share;
    query.highest_priority = !options.by_priority || request.matched_route->highest_priority;
    if (counts_demand() && demand.in_force(now)) return admitted_by_share(request, control, query, now);
    auto const decision =
        control.admit(query, std::uniform_real_distribution<double>(0, 1)(random), admission_time(now));
    request.summary.admission_wait_ms = decision.wait_ms;
    request.summary.admitted_share = decision.share;
    if (counts_demand()) count_demand(request, arriving(request, query.max_share), decision.admitted, now);
    if (!decision.admitted) return false;
    request.admission = &control;
    return true;
}

void dispatcher::impl::leave_admission(request_state& request)
{
    if (request.ticket) demand.on_finished(*std::exchange(request.ticket, std::nullopt));
    if (request.admission == nullptr) return;
    if (!request.half_responded) request.admission->on_finished(request.admission_at);
    request.admission = nullptr;
}

/** The Retry-After is random, so that the retries spread evenly over the time in which callers can retry. */
http_response dispatcher::impl::overload_response(request_state const& request)
{
    auto const left_s = std::chrono::duration<double>(request.deadline - request.arrived_at).count();
    auto response = local_response(503, "too many requests are open");
    std::uniform_real_distribution<double> share(options.overload_retry_min, options.overload_retry_max);
    response.headers.push_back({"retry-after", std::to_string(std::round(share(random) * left_s * 1000) / 1000)});
    return response;
}

} // namespace cornelspring
