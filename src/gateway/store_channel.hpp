/** @file store_channel.hpp One connection for calls to the store or to another gateway (internal). */
#pragma once

#include <cornelspring/gateway.hpp>

namespace cornelspring {

/** A connection that carries one call at a time and is replaced when a call gets no answer. */
class store_channel {
public:
    /** @param loop event loop. */
    explicit store_channel(event_loop& loop) : m_loop(loop) {}
    /**
     * Makes a call. A call still under way is abandoned.
     * @param peer where to. @param request call. @param timeout longest wait for the answer to begin; while it arrives,
     * it is waited for. @param done receives the result, later.
     */
    void call(endpoint const& peer, http_request request, milliseconds timeout,
              std::function<void(exchange_result const&)> done);

private:
    /** Ends the call @p number when nothing has arrived since @p received bytes, else looks again later. */
    void arm_timeout(std::uint64_t number, std::uint64_t received, milliseconds timeout,
                     std::function<void(exchange_result const&)> const& done);
    /** Reports the result of a call, once. */
    void finish(std::uint64_t number, exchange_result result, std::function<void(exchange_result const&)> const& done);

    event_loop& m_loop;                              ///< Event loop.
    std::unique_ptr<client_connection> m_connection; ///< Connection.
    endpoint m_peer;                                 ///< Its peer.
    timer_id m_timeout_timer;                        ///< Ends a call without an answer.
    std::uint64_t m_call_number = 0; ///< Grows with each call and each end of one; tells late results apart.
};

} // namespace cornelspring
