/** @file dispatcher.cpp Responses, timers, and the public interface of the dispatcher. */
#include "dispatcher_impl.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** @return whether @p status tells a caller that its request has not run and will not. */
bool promises_not_run(int status) { return status == 503 || status == 429 || status == 408 || status == 421; }

} // namespace

bool request_state::may_have_run() const
{
    return std::any_of(shards.begin(), shards.end(), [](shard_state const& shard) { return shard.maybe_run > 0; });
}

http_response local_response(int status, std::string const& text)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"content-type", "text/plain"});
    response.body = text + "\n";
    return response;
}

void dispatcher::impl::finish_if_decided(request_state& request, time_point now)
{
    if (!requests.contains(request.key.value())) return;
    auto const total = request.shards.size();
    if (!request.gathers()) {
        if (request.done == 1) {
            auto response = std::move(*request.shards[0].response);
            remove_hop_by_hop(response.headers); // Connection may name the signature.
            // A non-idempotent request that ran must not get a status that says that it did not run.
            bool const promises = promises_not_run(response.status);
            bool const unsigned_success =
                response.status / 100 == 2 && response.header(options.names.signature).empty();
            if (promises || unsigned_success) response = local_response(502, "the backend server failed");
            finish(request.key, std::move(response), "answered", now);
        } else if (request.failed == 1) {
            finish(request.key, failure_response(request, false), "failed", now);
        }
        return;
    }
    bool const sufficient = request.done >= request.needed;
    if (request.done == total ||
        (sufficient && (request.done + request.failed == total || now >= request.respond_by))) {
        finish(request.key, merged_response(request), request.done == total ? "whole" : "partial", now);
    } else if (total - request.failed < request.needed) {
        finish(request.key, failure_response(request, false), "too_few_shards", now);
    }
}

http_response dispatcher::impl::merged_response(request_state& request) const
{
    std::vector<std::string_view> bodies;
    std::string signatures;
    for (auto const& shard : request.shards) {
        if (!shard.done) continue;
        bodies.push_back(shard.response->body);
        if (!signatures.empty()) signatures += ", ";
        signatures += shard.response->header(options.names.signature);
    }
    http_response response;
    response.headers.push_back({options.names.part_signatures, signatures});
    response.headers.push_back({options.names.missing_parts, std::to_string(request.shards.size() - request.done)});
    response.headers.push_back({"content-type", "application/octet-stream"});
    response.body = merge_records(bodies, request.matched_route->gather->top_k);
    return response;
}

http_response dispatcher::impl::failure_response(request_state& request, bool timed_out)
{
    if (!request.may_have_run()) return rejection("no backend server could take the request", options.retry_after_s);
    if (timed_out) return local_response(504, "the deadline passed");
    if (!request.gathers() && request.shards[0].response) {
        auto response = std::move(*request.shards[0].response);
        bool const promises = promises_not_run(response.status);
        if (!promises && response.status / 100 != 2) {
            remove_hop_by_hop(response.headers);
            return response;
        }
    }
    return local_response(502, "the backend servers failed");
}

void dispatcher::impl::finish(request_key key, http_response response, char const* reason, time_point now)
{
    auto const found = requests.find(key.value());
    if (found == requests.end()) return;
    auto* request = found->second.get();
    finished.push_back(std::move(found->second));
    requests.erase(found);
    due.erase({request->due, key.value()});
    bool const observe = request->matched_route->kind == route_kind::idempotent && !congested(*request, now);
    leave_admission(*request);
    for (auto& shard : request->shards) {
        for (auto const id : shard.in_flight)
            release_attempt(id, observe, now);
    }
    update_quarantine(*request, now);
    request->summary.status = response.status;
    request->summary.reason = reason;
    hooks.respond(key, std::move(response));
    report(*request, now);
}

void dispatcher::impl::report(request_state& request, time_point now)
{
    auto& summary = request.summary;
    summary.shards_answered = request.done;
    summary.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - request.arrived_at);
    if (summary.unanswered > 0) set_digest(request);
    hooks.on_finished(summary);
}

// ---- Timers ----

void dispatcher::impl::schedule(request_state& request, time_point when)
{
    if (when >= request.due) return;
    due.erase({request.due, request.key.value()});
    request.due = when;
    due.emplace(when, request.key.value());
}

void dispatcher::impl::schedule_next(request_state& request, time_point now)
{
    if (!requests.contains(request.key.value())) return;
    schedule(request, request.deadline);
    if (request.gathers() && request.respond_by > now) schedule(request, request.respond_by);
    for (auto const& shard : request.shards)
        schedule(request, std::min(shard.hedge_at, shard.retry_at));
}

void dispatcher::impl::on_due(request_state& request, time_point now)
{
    auto const key = request.key.value();
    if (now >= request.deadline) {
        finish(request.key, failure_response(request, true), "deadline", now);
        return;
    }
    finish_if_decided(request, now);
    for (std::size_t i = 0; i < request.shards.size() && requests.contains(key); ++i) {
        auto& shard = request.shards[i];
        if (shard.retry_at <= now)
            retry(request, i, now);
        else if (shard.hedge_at <= now && shard.in_flight.empty())
            shard.hedge_at = time_point::max();
        else if (shard.hedge_at <= now && !postpone_hedge(shard, now))
            hedge(request, i, now);
    }
    schedule_next(request, now);
}

void dispatcher::impl::on_timer(time_point now)
{
    while (!due.empty() && due.begin()->first <= now) {
        auto const key = due.begin()->second;
        due.erase(due.begin());
        auto const found = requests.find(key);
        if (found == requests.end()) continue;
        found->second->due = time_point::max();
        on_due(*found->second, now);
    }
    while (!observed.empty() && observed.front().first <= now) {
        auto const id = observed.front().second;
        observed.pop_front();
        release_attempt(id, false, now);
    }
}

// ---- Public interface ----

dispatcher::dispatcher(dispatcher_options options, config_holder const& configs, backend_registry& registry,
                       placement_rules const& placement, request_quarantine& quarantine, quota_usage& quotas,
                       dispatcher_hooks hooks, std::uint64_t seed)
    : m_impl(std::make_unique<impl>(std::move(options), configs, registry, placement, quarantine, quotas,
                                    std::move(hooks), seed))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::start(request_key key, http_request message, request_timing timing, caller_address caller,
                       time_point now)
{
    m_impl->finished.clear();
    m_impl->start(key, std::move(message), timing, std::move(caller), now);
}

void dispatcher::on_caller_disconnected(request_key key, time_point now)
{
    if (auto const waiter = m_impl->awaiting_quota.extract(key.value())) {
        auto& summary = waiter.mapped().summary;
        m_impl->quotas.stop_waiting(summary.customer);
        summary.reason = "caller_gone";
        m_impl->hooks.on_finished(summary);
        return;
    }
    if (auto waiter = m_impl->stop_awaiting_trial(key)) {
        waiter->summary.reason = "caller_gone";
        m_impl->hooks.on_finished(waiter->summary);
        return;
    }
    auto const found = m_impl->requests.find(key.value());
    if (found == m_impl->requests.end()) return;
    auto const request = std::move(found->second);
    m_impl->finished.clear();
    m_impl->requests.erase(found);
    m_impl->due.erase({request->due, key.value()});
    m_impl->leave_admission(*request);
    for (auto& shard : request->shards) {
        for (auto const id : shard.in_flight)
            m_impl->release_attempt(id, false, now);
    }
    m_impl->update_quarantine(*request, now);
    request->summary.reason = "caller_gone";
    m_impl->report(*request, now);
}

void dispatcher::on_result(attempt_id id, attempt_result result, time_point now)
{
    m_impl->finished.clear();
    m_impl->on_result(id, std::move(result), now);
}

void dispatcher::on_quota_decided(customer_name const& name, time_point now)
{
    m_impl->finished.clear();
    m_impl->on_quota_decided(name, now);
}

void dispatcher::on_trial_claimed(request_digest const& digest, bool granted, time_point now)
{
    m_impl->finished.clear();
    m_impl->on_trial_claimed(digest, granted, now);
}

void dispatcher::on_timer(time_point now)
{
    m_impl->finished.clear();
    m_impl->on_timer(now);
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

std::size_t dispatcher::open_requests() const
{
    return m_impl->requests.size() + m_impl->awaiting_quota.size() + m_impl->awaiting_trial.size();
}

void dispatcher::set_vm_count(std::size_t vms) { m_impl->vms = std::max<std::size_t>(vms, 1); }

void dispatcher::set_shared_load(shared_load_state const& state) { m_impl->shared_load = state; }

void dispatcher::on_process_paused(clock::duration length)
{
    m_impl->paused += length;
    m_impl->demand.on_paused(length);
}

demand_log& dispatcher::demand() { return m_impl->demand; }

void dispatcher::reject_new_requests() { m_impl->stopping = true; }

void dispatcher::finish_all(time_point now)
{
    for (auto& [key, waiter] : std::exchange(m_impl->awaiting_quota, {})) {
        auto response = m_impl->stop_rejection();
        m_impl->quotas.stop_waiting(waiter.summary.customer);
        m_impl->respond_immediately(request_key(key), std::move(waiter.summary), std::move(response), "stopping");
    }
    for (auto& [digest, waiter] : std::exchange(m_impl->awaiting_trial, {})) {
        auto response = m_impl->stop_rejection();
        m_impl->respond_immediately(waiter.key, std::move(waiter.summary), std::move(response), "stopping");
    }
    std::vector<request_key> keys;
    for (auto const& [key, request] : m_impl->requests)
        keys.emplace_back(key);
    for (auto const key : keys) {
        auto const found = m_impl->requests.find(key.value());
        if (found == m_impl->requests.end()) continue;
        m_impl->finish(key, m_impl->failure_response(*found->second, true), "stopping", now);
    }
}

} // namespace cornelspring
