/** @file demand_exchange.hpp Calls about demand between the emulated gateways (internal). */
#pragma once

#include "event_queue.hpp"

#include <cornelspring/dispatch.hpp>

namespace cornelspring {

/** Reports the demand of all gateways to the first one, which is the collector, and returns the shares. */
class demand_exchange {
public:
    /** @param events event queue. @param vms number of gateways. @param delay time of a call in one direction.
     *  @param of returns the dispatcher of a gateway. */
    demand_exchange(event_queue& events, std::size_t vms, clock::duration delay,
                    std::function<dispatcher&(std::size_t)> of)
        : m_events(events), m_vms(vms), m_delay(delay), m_dispatcher(std::move(of)), m_called_at(vms)
    {
    }
    /** Starts the calls of all gateways, spread over the interval between two calls. */
    void start();

private:
    /** Makes the call of a gateway if one is due. */
    void step(std::size_t vm);

    event_queue& m_events;                                ///< Event queue.
    std::size_t m_vms;                                    ///< Number of gateways.
    clock::duration m_delay;                              ///< Time of a call in one direction.
    std::function<dispatcher&(std::size_t)> m_dispatcher; ///< Dispatchers.
    std::vector<time_point> m_called_at;                  ///< Last call of each gateway.
    demand_collector m_collector{1};                      ///< Collector.
};

} // namespace cornelspring
