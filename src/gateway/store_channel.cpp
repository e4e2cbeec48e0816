/** @file store_channel.cpp One connection for calls to the store or to another gateway. */
#include "store_channel.hpp"

namespace cornelspring {
namespace {

/** An answer that has begun is given up when nothing of it arrives for so long. Large ones take a while on a small
 * link: given up and asked for anew, they never arrive. */
constexpr milliseconds progress_limit{500};

} // namespace

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
    watch_limit(number, m_connection->received(), limit, done);
    client_connection::exchange exchange;
    exchange.write = [bytes = serialize(request)](time_point) { return bytes; };
    exchange.matches = [](http_response const&) { return client_connection::match::mine; };
    exchange.done = [this, number, done](exchange_result result) { finish(number, std::move(result), done); };
    m_connection->start(std::move(exchange));
}

void store_channel::watch_limit(std::uint64_t number, std::uint64_t received, milliseconds limit,
                                std::function<void(exchange_result const&)> const& done)
{
    m_limit = m_loop.run_at(m_loop.now() + limit, [this, number, received, done] {
        auto const by_now = m_connection->received();
        if (by_now > received) {
            watch_limit(number, by_now, progress_limit, done);
            return;
        }
        m_connection.reset(); // A connection on which an answer is lost returns nothing further.
        finish(number, {false, true, false, {}, "no answer in time"}, done);
    });
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
