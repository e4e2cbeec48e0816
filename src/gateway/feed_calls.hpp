/** @file feed_calls.hpp The calls of a state feed to the store and to peer gateways (internal). */
#pragma once

#include "store_channel.hpp"

namespace cornelspring {

/** Makes the calls of one state feed over HTTP connections. */
class feed_calls {
public:
    /** @param loop event loop. @param store translates calls to the store. @param peer translates calls to peer
     * gateways. @param member_prefix prefix of the store keys
     * of the gateways of this failure domain.
     */
    feed_calls(event_loop& loop, store_codec const& store, store_codec const& peer, std::string member_prefix);
    /** @return the functions through which a feed makes its calls; the feed must not outlive this object. */
    feed_io io();

private:
    /** @return the HTTP request of @p call. */
    http_request request_of(feed_call const& call) const;
    /** @return the response to @p call that @p result contains. */
    feed_response response_of(feed_call const& call, exchange_result const& result) const;
    /** @return the codec for calls to @p source. */
    store_codec const& codec(feed_source const& source) const { return source.is_store() ? m_store : m_peer; }
    /** Makes a freshness check on its own connection, which is closed afterwards. */
    void check_freshness(feed_call call, feed_io::response_handler done);

    event_loop& m_loop;          ///< Event loop.
    store_codec const& m_store;  ///< Translates calls to the store.
    store_codec const& m_peer;   ///< Translates calls to peer gateways.
    std::string m_member_prefix; ///< Prefix of the store keys of the gateways of this failure domain.
    store_channel m_channel;     ///< For reads and watches.
    std::map<std::uint64_t, std::unique_ptr<store_channel>>
        m_freshness_calls;                   ///< Freshness checks in flight, by number.
    std::uint64_t m_last_freshness_call = 0; ///< Number of the last freshness check.
};

} // namespace cornelspring
