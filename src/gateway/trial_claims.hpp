/** @file trial_claims.hpp Claims of trials of requests that crash backend servers, in the store (internal). */
#pragma once

#include "store_channel.hpp"

#include <cornelspring/quarantine.hpp>

#include <deque>

namespace cornelspring {

/**
 * Claims trials for this VM, so that only one VM in the fleet tries a request at a time. A claim is a key that exists
 * for claim_ttl: long enough for the outcome of the trial to reach all VMs. Without the store nothing is claimed.
 */
class trial_claims {
public:
    /** Called with whether this VM may try the request. */
    using decided_hook = std::function<void(request_digest const&, bool granted)>;
    /** How long other VMs may not try a request after a claim. */
    static constexpr milliseconds claim_ttl{10000};

    /** @param loop event loop. @param store address. @param codec encodes calls to the store. @param on_decided
     * receives the decisions, never during claim(). */
    trial_claims(event_loop& loop, endpoint store, store_codec const& codec, decided_hook on_decided);
    /** Claims a trial. @param digest request. */
    void claim(request_digest const& digest);

private:
    /** Starts the next claim, if none is in progress. */
    void start_next();
    /** Creates the key of the claim under a lease. */
    void create_key(std::int64_t lease);
    /** Reports the decision on the claim in progress and starts the next one. */
    void finish(bool granted);

    event_loop& m_loop;                   ///< Event loop.
    endpoint m_store;                     ///< Address of the store.
    store_codec const& m_codec;           ///< Encodes calls to the store.
    decided_hook m_on_decided;            ///< Receives the decisions.
    store_channel m_channel;              ///< Connection to the store.
    std::deque<request_digest> m_waiting; ///< Claims to make; the first one is in progress.
    bool m_in_progress = false;           ///< A claim is in progress.
};

} // namespace cornelspring
