/** @file store_channel.cpp A connection for calls to the store or to a peer gateway. */
#include "store_channel.hpp"

namespace cornelspring {
namespace {

/** A call is canceled if no bytes arrive for this time after its response has started. There is no limit on the
 * complete response: large ones take long on a slow link, and would never arrive if they were canceled and requested
 * again. */
constexpr milliseconds progress_timeout{500};

} // namespace

void store_channel::call(endpoint const& peer, http_request request, milliseconds timeout,
                         std::function<void(exchange_result const&)> done)
{
    if (!m_connection || !m_connection->reusable() || m_peer != peer) {
        stream_options options;
        options.keep_alive = true; // Detects a dead connection while a watch waits.
        options.from_own_host = m_from_own_host;
        m_connection = std::make_unique<client_connection>(m_loop, peer, options, message_limits{});
        m_peer = peer;
    }
    m_loop.cancel(m_timeout_timer);
    auto const number = ++m_call_number;
    request.headers.insert(request.headers.begin(), {"host", peer.to_string()});
    arm_timeout(number, m_connection->bytes_received(), timeout, done);
    client_connection::exchange exchange;
    exchange.write_request = [bytes = serialize(request)](time_point) { return bytes; };
    exchange.matches = [](http_response const&) { return client_connection::match::expected; };
    exchange.done = [this, number, done](exchange_result result) { finish(number, std::move(result), done); };
    m_connection->start(std::move(exchange));
}

void store_channel::arm_timeout(std::uint64_t number, std::uint64_t received, milliseconds timeout,
                                std::function<void(exchange_result const&)> const& done)
{
    m_timeout_timer = m_loop.run_at(m_loop.now() + timeout, [this, number, received, done] {
        auto const by_now = m_connection->bytes_received();
        if (by_now > received) {
            arm_timeout(number, by_now, progress_timeout, done);
            return;
        }
        m_connection.reset(); // After a lost response nothing more arrives on this connection.
        finish(number, {false, true, peer_failure::none, {}, "no answer in time"}, done);
    });
}

void store_channel::finish(std::uint64_t number, exchange_result result,
                           std::function<void(exchange_result const&)> const& done)
{
    if (m_call_number != number) return;
    ++m_call_number;
    m_loop.cancel(m_timeout_timer);
    // Deferred: this runs within a callback of the connection, which the next call may replace.
    m_loop.run_at(m_loop.now(), [result = std::move(result), done] { done(result); });
}

std::optional<std::int64_t> granted_lease(exchange_result const& result, store_codec const& codec)
{
    constexpr int status_ok = 200;
    if (!result.completed || result.response.status != status_ok) return std::nullopt;
    try {
        return codec.parse_lease(result.response);
    } catch (error const&) {
        return std::nullopt; // The callers log this as a failed call.
    }
}

} // namespace cornelspring
