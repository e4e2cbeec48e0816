/** @file dispatcher_customers.cpp The customer of a request: its API key and its quota. */
#include "dispatcher_impl.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Minimum Retry-After of a request beyond its customer's quota, in seconds. */
constexpr double min_quota_retry_after_s = 0.05;

} // namespace

/** Several Authorization headers identify nobody: backend servers and gateways could read different ones. */
char const* dispatcher::impl::authenticate(request_state& request) const
{
    auto const& customers = request.config->customers();
    if (!customers.keys_required()) return nullptr;
    auto const& headers = request.message.headers;
    auto const is_authorization = [](http_header const& each) { return each.name == authorization_header; };
    auto const count = std::count_if(headers.begin(), headers.end(), is_authorization);
    auto const value = count == 1 ? request.message.header(std::string(authorization_header)) : std::string();
    request.by = customers.find_key(bearer_key(value));
    if (request.by != nullptr) request.summary.customer = request.by->name;
    if (request.by != nullptr || !request.matched_route->needs_key) return nullptr;
    return count == 0 ? "no_key" : "unknown_key";
}

bool dispatcher::impl::within_quota(request_state& request, request_timing timing, time_point now)
{
    if (request.by == nullptr) return true;
    auto const decision = quotas.take(*request.by, now);
    request.summary.quota_isolated = decision.isolated;
    if (decision.outcome == quota_decision::kind::admitted) return true;
    if (decision.outcome == quota_decision::kind::waiting) {
        awaiting_quota.emplace(request.key.value(),
                               quota_waiter{std::move(request.message), timing, std::move(request.summary), now});
        return false;
    }
    request.summary.quota = request.by->quota;
    auto response = local_response(429, "the customer's quota is used up");
    auto const left_s = std::chrono::duration<double>(decision.retry_after).count();
    response.headers.push_back({"retry-after", retry_after(std::max(left_s, min_quota_retry_after_s))});
    respond_immediately(request.key, request.summary, std::move(response), "over_quota");
    return false;
}

void dispatcher::impl::on_quota_decided(customer_name const& name, time_point now)
{
    std::vector<std::pair<request_key, quota_waiter>> waiters;
    for (auto each = awaiting_quota.begin(); each != awaiting_quota.end();) {
        if (each->second.summary.customer != name) {
            ++each;
            continue;
        }
        waiters.emplace_back(request_key(each->first), std::move(each->second));
        each = awaiting_quota.erase(each);
    }
    for (auto& [key, waiter] : waiters) {
        auto const waited = now - waiter.since;
        waiter.timing.max_unread += waited;
        waiter.timing.round_trip += waited;
        waiter.timing.quota_wait += waited;
        start(key, std::move(waiter.message), waiter.timing, std::move(waiter.summary.caller), now);
    }
}

void dispatcher::impl::reject_within_quota(request_state const& request, http_response response, char const* reason,
                                           time_point now)
{
    if (request.by != nullptr) quotas.give_back(request.by->name, now);
    respond_immediately(request.key, request.summary, std::move(response), reason);
}

} // namespace cornelspring
