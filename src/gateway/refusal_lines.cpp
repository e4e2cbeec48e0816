/** @file refusal_lines.cpp Which refusals of feed sources are logged. */
#include "refusal_lines.hpp"

namespace cornelspring {
namespace {

/** Shortest time between two lines. */
constexpr std::chrono::seconds min_interval{1};
/** A refusal without a change of state is logged again after this time, with the number of those before it. */
constexpr std::chrono::seconds repeat_interval{30};
/** Most sources that are remembered; a fleet has fewer gateways. */
constexpr std::size_t max_sources = 2000;

} // namespace

std::optional<std::uint64_t> refusal_lines::on_refused(std::string const& source, time_point now)
{
    auto const interval = m_refusing.contains(source) ? repeat_interval : min_interval;
    if (m_last_at && now < *m_last_at + interval) {
        ++m_suppressed;
        return std::nullopt;
    }
    if (m_refusing.size() >= max_sources) m_refusing.clear();
    m_refusing.insert(source);
    m_last_at = now;
    return std::exchange(m_suppressed, 0);
}

} // namespace cornelspring
