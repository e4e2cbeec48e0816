/** @file feed_calls.cpp The calls of a state feed to the store and to peer gateways. */
#include "feed_calls.hpp"

namespace cornelspring {

feed_calls::feed_calls(event_loop& loop, store_codec const& store, store_codec const& peer, std::string member_prefix)
    : m_loop(loop), m_store(store), m_peer(peer), m_member_prefix(std::move(member_prefix)), m_channel(loop)
{
}

feed_io feed_calls::io()
{
    feed_io made;
    made.fetch = [this](feed_call const& call, feed_io::response_handler const& done) {
        m_channel.set_from_own_host(!call.source.is_store());
        m_channel.call(call.source.address, request_of(call), call.timeout,
                       [this, call, done](exchange_result const& result) { done(response_of(call, result)); });
    };
    made.check_freshness = [this](feed_call call, feed_io::response_handler done) {
        check_freshness(std::move(call), std::move(done));
    };
    made.now = [this] { return m_loop.now(); };
    made.run_at = [this](time_point when, std::function<void()> task) { m_loop.run_at(when, std::move(task)); };
    return made;
}

http_request feed_calls::request_of(feed_call const& call) const
{
    auto const& translate = codec(call.source);
    switch (call.kind) {
    case feed_call_kind::members: return translate.read(m_member_prefix, call.page_token);
    case feed_call_kind::read: return translate.read("", call.page_token);
    case feed_call_kind::watch: return translate.watch("", call.after, call.wait);
    case feed_call_kind::freshness: break;
    }
    return translate.freshness(call.after);
}

feed_response feed_calls::response_of(feed_call const& call, exchange_result const& result) const
{
    if (!result.completed) return {0, result.detail, {}};
    if (result.response.status != 200) return {result.response.status, "", {}};
    try {
        auto batch = codec(call.source).parse_batch(result.response);
        // parse_batch of the store's codec has removed the keys.
        if (!call.source.is_store() && m_store.remove_keys) {
            for (auto& item : batch.items)
                m_store.remove_keys(item);
        }
        return {200, "", std::move(batch)};
    } catch (std::exception const&) {
        return {0, "malformed answer", {}}; // The feed logs this as the reason for the failure of the source.
    }
}

void feed_calls::check_freshness(feed_call call, feed_io::response_handler done)
{
    auto const number = ++m_last_freshness_call;
    auto& channel = m_freshness_calls[number] = std::make_unique<store_channel>(m_loop);
    channel->set_from_own_host(!call.source.is_store());
    auto const address = call.source.address;
    auto const limit = call.timeout;
    auto request = request_of(call);
    channel->call(address, std::move(request), limit,
                  [this, number, call = std::move(call), done = std::move(done)](exchange_result const& result) {
                      auto const reply = response_of(call, result);
                      m_freshness_calls.erase(number);
                      done(reply);
                  });
}

} // namespace cornelspring
