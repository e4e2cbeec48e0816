/** @file latency_window.cpp Quantiles of recent latencies, for hedge delays. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Samples kept per service for hedge delays. */
constexpr std::size_t window_size = 1024;
/** Samples needed before a quantile is given. */
constexpr std::size_t window_minimum = 32;
/** A quantile is computed anew after this many samples. */
constexpr std::size_t window_refresh = 128;

} // namespace

void latency_window::add(std::chrono::microseconds latency)
{
    if (m_samples.size() < window_size) {
        m_samples.push_back(latency);
    } else {
        m_samples[m_next] = latency;
        m_next = (m_next + 1) % window_size;
    }
    ++m_since_sort;
}

std::optional<std::chrono::microseconds> latency_window::quantile(double quantile)
{
    if (m_samples.size() < window_minimum) return std::nullopt;
    if (!m_cached || m_since_sort >= window_refresh) {
        auto sorted = m_samples;
        auto const place = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
        auto const nth = sorted.begin() + static_cast<std::ptrdiff_t>(place);
        std::nth_element(sorted.begin(), nth, sorted.end());
        m_cached = *nth;
        m_since_sort = 0;
    }
    return m_cached;
}

} // namespace cornelspring
