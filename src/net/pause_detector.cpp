/** @file pause_detector.cpp Detects that the process was not running although it had work to do. */
#include <cornelspring/net.hpp>

namespace cornelspring {
namespace {

/** Shortest delay that counts as a pause; ordinary scheduling delays of a busy machine are shorter. */
constexpr milliseconds min_pause{150};
/** A delay is a pause if the process used less than this share of it as processor time. */
constexpr double max_cpu_share = 0.05;

} // namespace

void pause_detector::expect(time_point due, clock::duration cpu_time)
{
    m_due = due;
    m_cpu_time = cpu_time;
}

bool pause_detector::late(time_point now) const { return m_due != time_point::max() && now - m_due >= min_pause; }

clock::duration pause_detector::check(time_point now, clock::duration cpu_time)
{
    if (!late(now)) return clock::duration(0);
    auto const delay = now - m_due;
    stop();
    auto const used = std::chrono::duration<double>(cpu_time - m_cpu_time);
    return used > max_cpu_share * std::chrono::duration<double>(delay) ? clock::duration(0) : delay;
}

} // namespace cornelspring
