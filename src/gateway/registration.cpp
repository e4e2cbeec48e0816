/** @file registration.cpp One key of this VM in the store, kept by a lease. */
#include "store_channel.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for the answer of a call. */
constexpr milliseconds call_limit{1000};
/** Wait after a failed call; doubles up to the longest. */
constexpr milliseconds retry_wait{400};
/** Longest wait after a failed call: a VM is named to callers again within it when the store is back. Without it,
 *  the VMs that the store turns away would call it several times as often. */
constexpr milliseconds longest_retry_wait{1600};
/** Renewals in each time to live: one may be lost. */
constexpr int renewals_per_ttl = 3;
/** Status of an unknown lease. */
constexpr int status_not_found = 404;

/** @return whether @p result is a success. */
bool succeeded(exchange_result const& result) { return result.answered && result.response.status == 200; }

} // namespace

/** State of the registration. */
struct registration::impl {
    event_loop& loop;                     ///< Event loop.
    endpoint store;                       ///< Store.
    store_codec const& codec;             ///< Store calls.
    milliseconds ttl;                     ///< Time to live.
    std::function<void(bool ok)> on_call; ///< Receives the success of calls.
    store_channel channel;                ///< Connection.
    std::string key;                      ///< Key.
    std::string value;                    ///< Value.
    std::int64_t lease = 0;               ///< Lease, or 0.
    store_era lease_era;                  ///< Era of the store that granted it.
    bool written = false;                 ///< The value was written under the lease.
    bool ended = false;                   ///< end() was called.
    milliseconds backoff{0};              ///< Wait after the last failed call; 0 after a success.
    timer_id timer;                       ///< Next step.

    void step();
    void later(milliseconds wait);
    /** Tries again after a failed call. */
    void again();
    /** Reports a call. @return whether it succeeded. */
    bool note(bool ok);
    void take_lease(exchange_result const& result);
    void take_write(std::string const& sent, exchange_result const& result);
    void take_renewal(exchange_result const& result);
    /** @return whether the store names another era than that of the lease: it may have lost the key, or the lease, or
     *  have given the lease's number to another VM. */
    bool of_other_era(exchange_result const& result) const
    {
        return result.answered && codec.parse_era(result.response) != lease_era;
    }
    /** Starts over with a new lease. */
    void forget_lease()
    {
        lease = 0;
        written = false;
    }
};

void registration::impl::later(milliseconds wait)
{
    loop.cancel(timer);
    timer = loop.run_at(loop.now() + wait, [this] { step(); });
}

void registration::impl::again()
{
    backoff = std::clamp(backoff * 2, retry_wait, longest_retry_wait);
    later(backoff);
}

bool registration::impl::note(bool ok)
{
    on_call(ok);
    if (ok) backoff = milliseconds(0);
    return ok;
}

void registration::impl::step()
{
    if (ended) return;
    if (lease == 0) {
        channel.call(store, codec.grant_lease(ttl), call_limit, [this](exchange_result const& r) { take_lease(r); });
    } else if (!written) {
        channel.call(store, codec.write({{key, value, lease}}), call_limit,
                     [this, sent = value](exchange_result const& r) { take_write(sent, r); });
    } else {
        channel.call(store, codec.renew_lease(lease), call_limit,
                     [this](exchange_result const& r) { take_renewal(r); });
    }
}

void registration::impl::take_lease(exchange_result const& result)
{
    if (!note(succeeded(result))) return again();
    lease = codec.parse_lease(result.response);
    lease_era = codec.parse_era(result.response);
    step();
}

void registration::impl::take_write(std::string const& sent, exchange_result const& result)
{
    if (note(succeeded(result))) {
        if (of_other_era(result)) {
            forget_lease();
            return step();
        }
        written = sent == value;
        return written ? later(ttl / renewals_per_ttl) : step();
    }
    if (result.answered && result.response.status == status_not_found) forget_lease();
    again();
}

void registration::impl::take_renewal(exchange_result const& result)
{
    bool const unknown = result.answered && result.response.status == status_not_found;
    bool const heard = note(succeeded(result) || unknown);
    bool const lapsed = unknown || (heard && of_other_era(result));
    if (lapsed) forget_lease();
    if (!heard) return again();
    later(lapsed ? milliseconds(0) : ttl / renewals_per_ttl);
}

registration::registration(event_loop& loop, endpoint store, store_codec const& codec, milliseconds ttl,
                           std::function<void(bool)> on_call)
    : m_impl(new impl{loop,
                      std::move(store),
                      codec,
                      ttl,
                      std::move(on_call),
                      store_channel(loop),
                      {},
                      {},
                      0,
                      {},
                      false,
                      false,
                      {},
                      {}})
{
}

registration::~registration() = default;

void registration::set(std::string key, std::string value)
{
    auto& state = *m_impl;
    if (state.key == key && state.value == value) return;
    state.key = std::move(key);
    state.value = std::move(value);
    state.written = false;
    state.later(milliseconds(0));
}

void registration::on_removed()
{
    if (m_impl->key.empty() || !m_impl->written || m_impl->ended) return;
    m_impl->forget_lease(); // It may have been revoked together with the key.
    m_impl->later(retry_wait);
}

void registration::on_store_era(store_era era)
{
    auto& state = *m_impl;
    if (state.lease == 0 || state.lease_era == era || state.ended) return;
    state.forget_lease();
    state.later(milliseconds(0));
}

void registration::end()
{
    auto& state = *m_impl;
    if (state.ended) return;
    state.ended = true;
    state.loop.cancel(state.timer);
    if (state.lease == 0) return;
    state.channel.call(state.store, state.codec.revoke_lease(state.lease), call_limit, [](exchange_result const&) {});
}

} // namespace cornelspring
