/** @file store_channel.hpp A connection for calls to the store or to a peer gateway (internal). */
#pragma once

#include <cornelspring/gateway.hpp>

namespace cornelspring {

/** A connection that carries one call at a time and is replaced after a call without a response. */
class store_channel {
public:
    /** @param loop event loop. */
    explicit store_channel(event_loop& loop) : m_loop(loop) {}
    /** Sets whether the next new connection is made from this VM's own address. Gateways accept calls only from the
     *  addresses of other gateways, so this is the default; calls to the store need no certain address.
     *  @param from_own_host whether it is. */
    void set_from_own_host(bool from_own_host) { m_from_own_host = from_own_host; }
    /**
     * Makes a call and cancels the previous one if it is still in flight.
     * @param peer address of the store or the gateway. @param request request. @param timeout longest wait for the
     * start of the response; after that the call lasts as long as bytes keep arriving. @param done receives the result,
     * never during this call.
     */
    void call(endpoint const& peer, http_request request, milliseconds timeout,
              std::function<void(exchange_result const&)> done);

private:
    /** Cancels the call @p number after @p timeout if no bytes arrived meanwhile, else checks again later. @param
     * received bytes received on the connection so far. */
    void arm_timeout(std::uint64_t number, std::uint64_t received, milliseconds timeout,
                     std::function<void(exchange_result const&)> const& done);
    /** Reports the result of the call @p number, once. */
    void finish(std::uint64_t number, exchange_result result, std::function<void(exchange_result const&)> const& done);

    event_loop& m_loop;                              ///< Event loop.
    std::unique_ptr<client_connection> m_connection; ///< Connection.
    endpoint m_peer;                                 ///< Peer of the connection.
    bool m_from_own_host = true;                     ///< Connect from this VM's own address.
    timer_id m_timeout_timer;                        ///< Cancels a call without a response.
    std::uint64_t m_call_number = 0; ///< Incremented when a call starts or finishes, to detect late results.
};

/** @return the lease that a call for one was granted; none when the call failed or its response is malformed.
 *  @param result result of the call. @param codec translates responses of the store. */
std::optional<std::int64_t> granted_lease(exchange_result const& result, store_codec const& codec);

} // namespace cornelspring
