/** @file gateway_connections.cpp Connections to backend servers that are opened before a request needs them. */
#include "gateway_impl.hpp"

namespace cornelspring {
namespace {

/** How often it is looked where connections are missing. */
constexpr milliseconds plan_interval{1000};
/** Connections are opened in pieces: a backend server's handshake takes one of its slots for some milliseconds, and a
 *  small VM has other work to do. */
constexpr milliseconds batch_interval{20};
/** Connections in one piece. */
constexpr std::size_t batch_size = 2;

} // namespace

void gateway::impl::plan_preconnects()
{
    loop.run_at(loop.now() + plan_interval, [this] { plan_preconnects(); });
    // Only VMs that callers are sent to: the others would take connections that these need.
    if (stopping || !configs.current() || !active.contains(member_key())) return;
    auto const connected = [this](std::shared_ptr<backend_server> const& server) {
        return pool->skip_preconnect(server);
    };
    bool const idle = preconnect_queue.empty();
    preconnect_queue = backends_to_preconnect(*configs.current(), registry, places, connected, random, loop.now());
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
