/** @file gateway_connections.cpp Pre-connect: connections to backend servers that are opened before a request needs
 *  them. */
#include "gateway_impl.hpp"

namespace cornelspring {
namespace {

/** How often to look for backend servers without a connection. */
constexpr milliseconds plan_interval{1000};
/** Time between batches. Connections are opened in small batches, because each handshake occupies one of the backend
 *  server's slots for some milliseconds and because a small VM needs its processor for requests. */
constexpr milliseconds batch_interval{20};
/** Connections opened in one batch. */
constexpr std::size_t batch_size = 2;

} // namespace

void gateway::impl::plan_preconnects()
{
    loop.run_at(loop.now() + plan_interval, [this] { plan_preconnects(); });
    // Only active gateways pre-connect: others would use up connections that the active ones need.
    if (stopping || !configs.current() || !active.contains(member_key())) return;
    auto const connected = [this](std::shared_ptr<backend_server> const& server) {
        return pool->skip_preconnect(server);
    };
    bool const idle = preconnect_queue.empty();
    preconnect_queue =
        backends_to_preconnect(*configs.current(), registry, placement, settings.dispatch.selection.preferred_replicas,
                               connected, random, loop.now());
    if (idle) open_preconnects();
}

void gateway::impl::open_preconnects()
{
    auto const count = std::min(batch_size, preconnect_queue.size());
    for (std::size_t i = 0; i < count; ++i)
        pool->preconnect(preconnect_queue[i]);
    preconnect_queue.erase(preconnect_queue.begin(), preconnect_queue.begin() + static_cast<std::ptrdiff_t>(count));
    if (!preconnect_queue.empty()) loop.run_at(loop.now() + batch_interval, [this] { open_preconnects(); });
}

} // namespace cornelspring
