/** @file failure_calls.hpp Calls between gateways about failing and slow backend servers (internal). */
#pragma once

#include "store_channel.hpp"

#include <cornelspring/failures.hpp>

namespace cornelspring {

/**
 * Tells the gateway that collects the outcomes of attempts what this VM has observed, and learns from it which backend
 * servers fail or are slow. All active gateways choose the same collector by rendezvous hashing; when it does not
 * respond, the second one, which starts without knowledge. A call is made each 250 ms while a server fails or is slow,
 * otherwise each second, so that the collector of n active gateways handles 4 n calls a second at most.
 */
class failure_calls {
public:
    /** Callbacks into the gateway. */
    struct hooks {
        std::function<member_map const&()> members;           ///< Registered gateways.
        std::function<std::set<std::string> const&()> active; ///< Store keys of the active ones.
        std::function<void(std::string const& collector, std::size_t failing)>
            on_changed; ///< Another count or collector.
        /** @return the service of a backend server; empty if the server is not known. */
        slowness_collector::service_lookup service_of;
        std::function<bool()> shares_load; ///< @return whether latencies are reported.
        std::function<void()> on_informed; ///< Called when the collector has responded.
        std::function<void(std::string const& collector, slow_server_changes const& changes)>
            on_slow_changed; ///< Called when the set of slow servers has changed.
    };
    /** @param loop event loop. @param self store key of this VM. @param log outcomes of this VM. @param epoch
     * identifies this process. @param outside callbacks. */
    failure_calls(event_loop& loop, std::string self, failure_log& log, std::uint64_t epoch, hooks outside);
    /** Handles the report of another gateway. @param request its request. @return the response. @throw error
     *  bad_request when it is malformed. */
    http_response handle_report(http_request const& request);

private:
    /** Makes a call if one is due. */
    void step();
    /** @return the gateway that collects the outcomes; empty if there is none. */
    std::string choose_collector() const;
    /** Applies the response of the collector. */
    void on_news(failure_news const& news);
    /** Forgets what the collector told, as it is outdated. */
    void forget();
    /** Calls hooks::on_slow_changed if the set of slow servers has changed. */
    void notify_slow_changes();
    /** Handles the result of a call to @p collector. */
    void on_result(std::string const& collector, exchange_result const& result);

    event_loop& m_loop;                        ///< Event loop.
    std::string m_self;                        ///< Store key of this VM.
    std::uint64_t m_epoch;                     ///< Identifies this process.
    failure_log& m_log;                        ///< Outcomes of this VM.
    failure_collector m_collector;             ///< Used when this VM is the collector.
    hooks m_hooks;                             ///< Callbacks.
    store_channel m_channel;                   ///< Connection to the collector.
    bool m_in_flight = false;                  ///< A call is in flight.
    time_point m_called_at;                    ///< When the last call was made.
    time_point m_informed_at;                  ///< When the collector last responded.
    std::map<std::string, time_point> m_avoid; ///< Collectors that did not respond, until when they are avoided.
    std::string m_used;                        ///< Collector of the last response.
    std::size_t m_logged_failing = 0;          ///< Number of failing servers when it was last logged.
};

} // namespace cornelspring
