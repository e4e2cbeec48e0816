/** @file uplink_backlog.cpp Estimate of the queueing delay at this VM's uplink. */
#include <cornelspring/net.hpp>

#include <algorithm>

namespace cornelspring {

void uplink_backlog::record_sent(std::size_t bytes, time_point now)
{
    if (m_bytes_per_s <= 0) return;
    auto const transfer = std::chrono::duration<double>(static_cast<double>(bytes) / m_bytes_per_s);
    m_drained_at = std::max(m_drained_at, now) + std::chrono::duration_cast<clock::duration>(transfer);
}

clock::duration uplink_backlog::wait(time_point now) const { return std::max(m_drained_at - now, clock::duration(0)); }

} // namespace cornelspring
