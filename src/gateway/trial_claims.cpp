/** @file trial_claims.cpp Claims of trials of requests that crash backend servers, in the store. */
#include "trial_claims.hpp"

namespace cornelspring {
namespace {

/** Prefix of the store keys of claims. */
constexpr char const* claim_prefix = "crash-trials/";
/** Longest wait for the response to a call. */
constexpr milliseconds call_timeout{1000};
/** Most claims that wait; further ones are denied. */
constexpr std::size_t max_waiting = 16;

/** @return whether the call of @p result succeeded. */
bool succeeded(exchange_result const& result) { return result.completed && result.response.status == 200; }

} // namespace

trial_claims::trial_claims(event_loop& loop, endpoint store, store_codec const& codec, decided_hook on_decided)
    : m_loop(loop), m_store(std::move(store)), m_codec(codec), m_on_decided(std::move(on_decided)), m_channel(loop)
{
    m_channel.set_from_own_host(false);
}

void trial_claims::claim(request_digest const& digest)
{
    if (m_waiting.size() >= max_waiting) {
        m_loop.run_at(m_loop.now(), [this, digest] { m_on_decided(digest, false); });
        return;
    }
    m_waiting.push_back(digest);
    start_next();
}

void trial_claims::start_next()
{
    if (m_in_progress || m_waiting.empty()) return;
    m_in_progress = true;
    m_channel.call(m_store, m_codec.grant_lease(claim_ttl), call_timeout, [this](exchange_result const& result) {
        if (auto const lease = granted_lease(result, m_codec))
            create_key(*lease);
        else
            finish(false);
    });
}

void trial_claims::create_key(std::int64_t lease)
{
    store_write const write{claim_prefix + m_waiting.front().value(), "", lease};
    m_channel.call(m_store, m_codec.create(write), call_timeout,
                   [this](exchange_result const& result) { finish(succeeded(result)); });
}

void trial_claims::finish(bool granted)
{
    auto const digest = m_waiting.front();
    m_waiting.pop_front();
    m_in_progress = false;
    m_on_decided(digest, granted);
    start_next();
}

} // namespace cornelspring
