/** @file duration_window.cpp Quantiles of recent durations: latencies for hedge delays, and time-outs of callers. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {

void duration_window::add(std::chrono::microseconds time)
{
    if (m_samples.size() < m_sizes.capacity) {
        m_samples.push_back(time);
    } else {
        m_samples[m_next] = time;
        m_next = (m_next + 1) % m_sizes.capacity;
    }
    ++m_since_sort;
}

std::optional<std::chrono::microseconds> duration_window::quantile(double quantile)
{
    if (m_samples.size() < m_sizes.min_samples) return std::nullopt;
    if (!m_cached || m_since_sort >= m_sizes.refresh_after) {
        auto sorted = m_samples;
        auto const index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
        auto const nth = sorted.begin() + static_cast<std::ptrdiff_t>(index);
        std::nth_element(sorted.begin(), nth, sorted.end());
        m_cached = *nth;
        m_since_sort = 0;
    }
    return m_cached;
}

} // namespace cornelspring
