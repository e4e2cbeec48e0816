/** @file gateway_connections.cpp Connections to backend servers that are opened before a request needs them. */
#include "gateway_impl.hpp"

namespace cornelspring {
namespace {

/** How often it is looked where connections are missing. */
constexpr milliseconds plan_interval{1000};
/** Connections are opened in pieces: a backend server's handshake takes one of its slots for some milliseconds, and a
 *  small VM has other work to do. */
constexpr milliseconds piece_interval{20};
/** Connections in one piece. */
constexpr std::size_t piece_size = 2;

} // namespace

void gateway::impl::plan_connections_ahead()
{
    loop.run_at(loop.now() + plan_interval, [this] { plan_connections_ahead(); });
    // Only VMs that callers are sent to: the others would take connections that these need.
    if (stopping || !configs.current() || !active.contains(member_key())) return;
    auto const connected = [this](std::shared_ptr<backend_server> const& server) { return pool->prepared(server); };
    bool const idle = connections_ahead.empty();
    connections_ahead = backends_to_preconnect(*configs.current(), registry, placement, connected, random, loop.now());
    if (idle) open_connections_ahead();
}

void gateway::impl::open_connections_ahead()
{
    auto const count = std::min(piece_size, connections_ahead.size());
    for (std::size_t i = 0; i < count; ++i)
        pool->prepare(connections_ahead[i]);
    connections_ahead.erase(connections_ahead.begin(), connections_ahead.begin() + static_cast<std::ptrdiff_t>(count));
    if (!connections_ahead.empty()) loop.run_at(loop.now() + piece_interval, [this] { open_connections_ahead(); });
}

} // namespace cornelspring
