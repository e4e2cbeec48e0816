/** @file dispatcher_queue.cpp Shards that wait for a backend server with room. */
#include "dispatcher_impl.hpp"

namespace cornelspring {
namespace {

/** A waiting shard with less time left than this share of the usual latency is not sent any more. */
constexpr double min_latency_share = 0.5;

} // namespace

void dispatcher::impl::enqueue_shard(request_state& request, std::size_t index)
{
    auto& shard = request.shards[index];
    shard.queued = true;
    auto const customer = request.by == nullptr ? customer_name() : request.by->name;
    shard.group->wait_queue.push({request.key.value(), index, request.priority(), customer, request.respond_by},
                                 options.fair_queues ? queue_order::fair : queue_order::arrival);
}

/** A backend server would still work on it when the caller has left, while others wait for the server. */
bool dispatcher::impl::too_late_to_send(request_state const& request, service_group const& group, time_point now)
{
    auto const left = std::chrono::duration<double, std::milli>(request.deadline - now).count();
    return left < group.average_latency_ms * min_latency_share;
}

void dispatcher::impl::send_queued(service_group& group, time_point now)
{
    while (auto const* first = group.wait_queue.next()) {
        auto const next = *first;
        auto const found = requests.find(next.request);
        if (found == requests.end() || !found->second->shards[next.shard].queued) {
            group.wait_queue.pop(false);
            continue;
        }
        auto& request = *found->second;
        if (options.fair_queues && too_late_to_send(request, group, now)) {
            group.wait_queue.pop(false);
            request.shards[next.shard].queued = false;
            fail_shard(request, next.shard, now);
            continue;
        }
        auto const miss = send(request, next.shard, attempt_reason::first, now);
        if (miss == selection_failure::no_room) return;
        group.wait_queue.pop(miss == selection_failure::none);
        request.shards[next.shard].queued = false;
        if (miss != selection_failure::none) {
            fail_shard(request, next.shard, now);
            continue;
        }
        schedule(request, request.shards[next.shard].hedge_at);
    }
}

} // namespace cornelspring
