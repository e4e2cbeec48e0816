/** @file registration.cpp One key of this VM in the store, kept by a lease. */
#include "store_channel.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for the answer of a call. */
constexpr milliseconds call_timeout{1000};
/** Wait after a failed call; doubles up to the longest. */
constexpr milliseconds retry_wait{400};
/** Longest wait after a failed call: a VM is named to callers again within it when the store is back. Without it,
 *  the VMs that the store turns away would call it several times as often. */
constexpr milliseconds max_retry_wait{1600};
/** Renewals in each time to live: one may be lost. */
constexpr int renewals_per_ttl = 3;
/** Status of an unknown lease. */
constexpr int status_not_found = 404;

/** @return whether @p result is a success. */
bool succeeded(exchange_result const& result) { return result.completed && result.response.status == 200; }

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
    bool revoked = false;                 ///< revoke() was called.
    milliseconds backoff{0};              ///< Wait after the last failed call; 0 after a success.
    timer_id timer;                       ///< Next step.

    void step();
    void schedule(milliseconds wait);
    /** Tries again after a failed call. */
    void retry();
    /** Reports a call. @return whether it succeeded. */
    bool report(bool ok);
    void on_lease(exchange_result const& result);
    void on_written(std::string const& sent, exchange_result const& result);
    void on_renewed(exchange_result const& result);
    /** @return whether the store names another era than that of the lease: it may have lost the key, or the lease, or
     *  have given the lease's number to another VM. */
    bool from_other_era(exchange_result const& result) const
    {
        return result.completed && codec.parse_era(result.response) != lease_era;
    }
    /** Starts over with a new lease. */
    void discard_lease()
    {
        lease = 0;
        written = false;
    }
};

void registration::impl::schedule(milliseconds wait)
{
    loop.cancel(timer);
    timer = loop.run_at(loop.now() + wait, [this] { step(); });
}

void registration::impl::retry()
{
    backoff = std::clamp(backoff * 2, retry_wait, max_retry_wait);
    schedule(backoff);
}

bool registration::impl::report(bool ok)
{
    on_call(ok);
    if (ok) backoff = milliseconds(0);
    return ok;
}

void registration::impl::step()
{
    if (revoked) return;
    if (lease == 0) {
        channel.call(store, codec.grant_lease(ttl), call_timeout, [this](exchange_result const& r) { on_lease(r); });
    } else if (!written) {
        channel.call(store, codec.write({{key, value, lease}}), call_timeout,
                     [this, sent = value](exchange_result const& r) { on_written(sent, r); });
    } else {
        channel.call(store, codec.renew_lease(lease), call_timeout,
                     [this](exchange_result const& r) { on_renewed(r); });
    }
}

void registration::impl::on_lease(exchange_result const& result)
{
    if (!report(succeeded(result))) return retry();
    lease = codec.parse_lease(result.response);
    lease_era = codec.parse_era(result.response);
    step();
}

void registration::impl::on_written(std::string const& sent, exchange_result const& result)
{
    if (report(succeeded(result))) {
        if (from_other_era(result)) {
            discard_lease();
            return step();
        }
        written = sent == value;
        return written ? schedule(ttl / renewals_per_ttl) : step();
    }
    if (result.completed && result.response.status == status_not_found) discard_lease();
    retry();
}

void registration::impl::on_renewed(exchange_result const& result)
{
    bool const unknown = result.completed && result.response.status == status_not_found;
    bool const responded = report(succeeded(result) || unknown);
    bool const lease_lost = unknown || (responded && from_other_era(result));
    if (lease_lost) discard_lease();
    if (!responded) return retry();
    schedule(lease_lost ? milliseconds(0) : ttl / renewals_per_ttl);
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
    state.schedule(milliseconds(0));
}

void registration::on_removed()
{
    if (m_impl->key.empty() || !m_impl->written || m_impl->revoked) return;
    m_impl->discard_lease(); // It may have been revoked together with the key.
    m_impl->schedule(retry_wait);
}

void registration::on_store_era(store_era era)
{
    auto& state = *m_impl;
    if (state.lease == 0 || state.lease_era == era || state.revoked) return;
    state.discard_lease();
    state.schedule(milliseconds(0));
}

void registration::revoke()
{
    auto& state = *m_impl;
    if (state.revoked) return;
    state.revoked = true;
    state.loop.cancel(state.timer);
    if (state.lease == 0) return;
    state.channel.call(state.store, state.codec.revoke_lease(state.lease), call_timeout, [](exchange_result const&) {});
}

} // namespace cornelspring
