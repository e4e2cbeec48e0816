/** @file demand_exchange.cpp Calls about demand between the emulated gateways. */
#include "demand_exchange.hpp"

namespace cornelspring {
namespace {

/** Time between calls during an overload, as in the gateway. */
constexpr milliseconds urgent_interval{250};
/** Time between calls otherwise. */
constexpr milliseconds calm_interval{1000};

} // namespace

void demand_exchange::start()
{
    for (std::size_t vm = 0; vm < m_vms; ++vm)
        m_events.schedule(m_events.now() + calm_interval * vm / m_vms, [this, vm] { step(vm); });
}

void demand_exchange::step(std::size_t vm)
{
    auto const now = m_events.now();
    m_events.schedule(now + urgent_interval, [this, vm] { step(vm); });
    auto& demand = m_dispatcher(vm).demand();
    demand.set_active_vms(m_vms);
    if (!demand.urgent(now) && now < m_called_at[vm] + calm_interval) return;
    m_called_at[vm] = now;
    auto body = encode_demand_report(demand.start_report("vm" + std::to_string(vm), now));
    m_events.schedule(now + m_delay, [this, vm, body = std::move(body)] {
        auto update = encode_share_update(m_collector.add(decode_demand_report(body), m_events.now()));
        m_events.schedule(m_events.now() + m_delay, [this, vm, update = std::move(update)] {
            m_dispatcher(vm).demand().on_update(decode_share_update(update), m_events.now());
        });
    });
}

} // namespace cornelspring
