/** @file demand_calls.hpp Calls between gateways about the demand of callers (internal). */
#pragma once

#include "store_channel.hpp"

namespace cornelspring {

/**
 * Reports the demand that this VM receives to the gateway that collects it, and receives the shares of the queries to
 * admit. All active gateways choose the same collector by rendezvous hashing; when it does not respond, the second one,
 * which continues with the limits that the reports contain. A call is made each 250 ms during an overload, otherwise
 * each second. No calls are made with fewer than min_vms_for_shares active gateways, or while
 * no queries over shards arrive.
 */
class demand_calls {
public:
    /** Callbacks into the gateway. */
    struct hooks {
        std::function<member_map const&()> members;           ///< Registered gateways.
        std::function<std::set<std::string> const&()> active; ///< Store keys of the active ones.
        /** The shares changed by a step. */
        std::function<void(std::string const& collector, share_update const&)> on_shares;
        /** A collector did not respond, or sent a malformed response. */
        std::function<void(std::string const& collector, std::string const& reason)> on_failed;
    };
    /** @param loop event loop. @param self store key of this VM. @param demand demand of this VM. @param epoch
     *  identifies this process; not 0. @param outside callbacks. */
    demand_calls(event_loop& loop, std::string self, demand_log& demand, std::uint64_t epoch, hooks outside);
    /** Handles the report of another gateway. @param request its request. @return the response; 400 if the request is
     *  malformed. */
    http_response handle_report(http_request const& request);

private:
    /** Makes a call if one is due. */
    void step();
    /** @return the gateway that collects the demand; empty if there is none. */
    std::string choose_collector() const;
    /** Applies the response of a collector. */
    void on_update(std::string const& collector, share_update update);
    /** Handles the result of a call to @p collector. */
    void on_result(std::string const& collector, exchange_result const& result);
    /** Avoids a collector for a while. */
    void avoid(std::string const& collector, std::string const& reason);
    /** Calls hooks::on_shares if the shares differ by a step from those of its last call. */
    void log_changes(std::string const& collector);

    event_loop& m_loop;                        ///< Event loop.
    std::string m_self;                        ///< Store key of this VM.
    demand_log& m_demand;                      ///< Demand of this VM.
    demand_collector m_collector;              ///< Used when this VM is the collector.
    hooks m_hooks;                             ///< Callbacks.
    store_channel m_channel;                   ///< Connection to the collector.
    bool m_in_flight = false;                  ///< A call is in flight.
    time_point m_called_at;                    ///< When the last call was made.
    std::map<std::string, time_point> m_avoid; ///< Collectors that did not respond, until when they are avoided.
    std::vector<int> m_logged_steps;           ///< Shares as last logged, in steps.
};

} // namespace cornelspring
