/** @file registration.cpp Maintains one item of this VM in the store under a lease. */
#include "store_channel.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for the response to a call. */
constexpr milliseconds call_timeout{1000};
/** Wait after a failed call; doubles with each further failure, up to max_retry_wait. */
constexpr milliseconds retry_wait{400};
/** Longest wait after a failed call: within it a VM is registered again, and its address given to callers, once the
 * store is back. Without the back-off, VMs whose calls the store rejects would call it several times as often. */
constexpr milliseconds max_retry_wait{1600};
/** Renewals within each time to live, so that one may be lost. */
constexpr int renewals_per_ttl = 3;
/** Status of a response that says that the lease is unknown. */
constexpr int status_not_found = 404;

/** @return whether the call of @p result succeeded. */
bool succeeded(exchange_result const& result) { return result.completed && result.response.status == 200; }

} // namespace

/** State of the registration. */
struct registration::impl {
    event_loop& loop;                     ///< Event loop.
    endpoint store;                       ///< Address of the store.
    store_codec const& codec;             ///< Translates calls to the store.
    milliseconds ttl;                     ///< Time to live of the lease.
    std::function<void(bool ok)> on_call; ///< Receives for each call whether it succeeded.
    store_channel channel;                ///< Connection to the store.
    std::string key;                      ///< Key of the item.
    std::string value;                    ///< Value of the item.
    std::int64_t lease = 0;               ///< Current lease; 0: none.
    store_era lease_era;                  ///< Era of the store in which the lease was granted.
    bool written = false;                 ///< The current value was written under the lease.
    bool revoked = false;                 ///< revoke() was called.
    milliseconds backoff{0};              ///< Wait after the last failed call; 0 after a success.
    timer_id timer;                       ///< Runs the next step.

    /** Makes the next call: grants a lease, writes the item or renews the lease. */
    void step();
    /** Runs step() after @p wait. */
    void schedule(milliseconds wait);
    /** Runs step() again with back-off, after a failed call. */
    void retry();
    /** Reports whether a call succeeded. @return @p ok. */
    bool report(bool ok);
    void on_lease(exchange_result const& result);
    void on_written(std::string const& sent, exchange_result const& result);
    void on_renewed(exchange_result const& result);
    /** @return whether the response is of another era than the lease. After a restoration the store may have lost the
     *  item or the lease, or may have granted the number of the lease to another VM. */
    bool from_other_era(exchange_result const& result) const
    {
        return result.completed && codec.parse_era(result.response) != lease_era;
    }
    /** Discards the lease, so that step() starts over with a new one. */
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
    auto const granted = granted_lease(result, codec);
    if (!report(granted.has_value())) return retry();
    lease = *granted;
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
    m_impl->channel.set_from_own_host(false);
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
    m_impl->discard_lease(); // The lease may have been revoked together with the item.
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
