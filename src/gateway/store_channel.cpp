/** @file store_channel.cpp One connection for calls to the store or to another gateway. */
#include "store_channel.hpp"

namespace cornelspring {

void store_channel::call(endpoint const& peer, http_request request, milliseconds limit,
                         std::function<void(exchange_result const&)> done)
{
    if (!m_connection || !m_connection->reusable() || m_peer != peer) {
        stream_options options;
        options.keep_alive = true; // A connection that went silent is found while a watch waits.
        m_connection = std::make_unique<client_connection>(m_loop, peer, options, message_limits{});
        m_peer = peer;
    }
    m_loop.cancel(m_limit);
    auto const number = ++m_call;
    request.headers.insert(request.headers.begin(), {"host", peer.to_string()});
    m_limit = m_loop.run_at(m_loop.now() + limit, [this, number, done] {
        m_connection.reset(); // A connection on which an answer is lost returns nothing further.
        finish(number, {false, true, {}, "no answer in time"}, done);
    });
    client_connection::exchange exchange;
    exchange.write = [bytes = serialize(request)](time_point) { return bytes; };
    exchange.matches = [](http_response const&) { return client_connection::match::mine; };
    exchange.done = [this, number, done](exchange_result result) { finish(number, std::move(result), done); };
    m_connection->start(std::move(exchange));
}

void store_channel::finish(std::uint64_t number, exchange_result result,
                           std::function<void(exchange_result const&)> const& done)
{
    if (m_call != number) return;
    ++m_call;
    m_loop.cancel(m_limit);
    // Deferred: the next call may replace the connection that is reporting.
    m_loop.run_at(m_loop.now(), [result = std::move(result), done] { done(result); });
}

} // namespace cornelspring
