/** @file feed_calls.hpp The calls of a state feed over connections to the store and to other gateways (internal). */
#pragma once

#include "store_channel.hpp"

namespace cornelspring {

/** Makes the calls of one state feed. */
class feed_calls {
public:
    /** @param loop event loop. @param store calls to the store. @param peer calls to another gateway. */
    feed_calls(event_loop& loop, store_codec const& store, store_codec const& peer);
    /** @return the calls, for a feed that lives no longer than this. */
    feed_io io();

private:
    /** @return @p call as a request. */
    http_request request_of(feed_call const& call) const;
    /** @return what @p result says. */
    feed_response reply_of(feed_call const& call, exchange_result const& result) const;
    /** @return the calls that @p source takes. */
    store_codec const& codec(feed_source const& source) const { return source.is_store() ? m_store : m_peer; }
    /** Asks for proof on a connection of its own, which is closed after the answer. */
    void check_freshness(feed_call call, feed_io::response_handler done);

    event_loop& m_loop;                                                        ///< Event loop.
    store_codec const& m_store;                                                ///< Store calls.
    store_codec const& m_peer;                                                 ///< Calls to another gateway.
    store_channel m_channel;                                                   ///< For the state.
    std::map<std::uint64_t, std::unique_ptr<store_channel>> m_freshness_calls; ///< Questions for proof under way.
    std::uint64_t m_last_freshness_call = 0;                                   ///< Number of the last question.
};

} // namespace cornelspring
