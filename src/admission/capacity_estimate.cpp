/** @file capacity_estimate.cpp Detects overload of a shard set and estimates its capacity. */
#include <cornelspring/admission.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Time constant of the delays. At 48 queries per second, about 20 samples count. */
constexpr double delay_time_s = 0.4;
/** Time constant of the answered work. VMs without overload report once a second. */
constexpr double answered_time_s = 1.0;
/** Highest ratio that counts, so that a few queries that wait for a paused server do not outweigh the others. */
constexpr double max_ratio = 1.5;
/** Usual ratio of a class without samples from calm periods. */
constexpr double default_usual = 0.3;
/** Upper limit of the usual ratio. If it is higher, there has always been a queue. */
constexpr double max_usual = 0.5;
/** Weight of the current ratio in the usual one, for each update without overload, if it is lower. */
constexpr double usual_fall = 0.05;
/** The same if it is higher: within some minute, so that load that rises slowly is not taken for the usual one. */
constexpr double usual_rise = 0.004;
/** Updates with samples after which the usual ratio is known. */
constexpr double usual_updates = 8;
/** Weight of the usual ratio among the samples, so that a single slow query does not decide. */
constexpr double prior_samples = 2;
/** An overload starts above this pressure. Pauses of servers, restarts of VMs and a few slow servers stay below it, as
 *  hedges and the replicas answer most queries in time. */
constexpr double overload_pressure = 0.5;
/** Updates with such a pressure before an overload starts. */
constexpr int overload_updates = 2;
/** Above this pressure, one update is enough. */
constexpr double severe_pressure = 0.8;
/** Fewest samples for which an overload starts. */
constexpr double overload_samples = 6;
/** Fewest VMs that reported, so that a VM that is slow itself does not start an overload. */
constexpr std::size_t overload_reporters = 3;
/** Pressure at which the admitted work equals the capacity: queries wait, so that the servers are busy, and most are
 *  answered within the goal although their waits differ. */
constexpr double target_pressure = 0.3;
/** Reduction of the admitted work for each unit of pressure above the target, to shorten the queue. */
constexpr double drain_gain = 1.0;
/** Lowest factor on the capacity while the queue is shortened. */
constexpr double min_drain = 0.3;
/** Below this pressure servers may be idle, so that answered work does not show their capacity. */
constexpr double busy_pressure = 0.25;
/** Time constant with which the capacity follows the answered work while servers are busy. */
constexpr double capacity_time_s = 0.5;
/** Growth of the capacity per second without any pressure. */
constexpr double growth_per_s = 2.5;
/** The capacity is at most this factor above the offered work. */
constexpr double max_headroom = 1.4;
/** An overload ends when the limit has exceeded the offered work by this factor for end_time. */
constexpr double end_headroom = 1.15;
/** See end_headroom. */
constexpr clock::duration end_time = std::chrono::seconds(1);
/** Most classes of one shard set; a configuration has a few. */
constexpr std::size_t max_classes = 64;
/** Least capacity, so that it can grow again. */
constexpr double min_capacity = 1;
/** Greatest capacity, the upper limit of numbers in messages. */
constexpr double max_capacity = 1e6;

} // namespace

double capacity_estimate::class_state::usual_ratio() const
{
    return calm_time >= usual_updates ? std::min(usual, max_usual) : default_usual;
}

double capacity_estimate::class_state::ratio() const
{
    return (sum + prior_samples * usual_ratio()) / (samples + prior_samples);
}

double capacity_estimate::class_state::pressure() const { return (ratio() - usual_ratio()) / (1 - usual_ratio()); }

void capacity_estimate::add_delay(query_class of, double ratio)
{
    if (m_classes.size() >= max_classes && !m_classes.contains(of)) return;
    auto& state = m_classes[of];
    state.sum += std::min(ratio, max_ratio);
    ++state.samples;
}

double capacity_estimate::work_of(query_class of) const
{
    auto const found = m_classes.find(of);
    double const ratio = found == m_classes.end() ? default_usual : found->second.usual_ratio();
    return std::max(1.0, ratio * static_cast<double>(of.goal.count()));
}

std::vector<expected_delay> capacity_estimate::expected() const
{
    std::vector<expected_delay> all;
    for (auto const& [of, state] : m_classes)
        all.push_back({of, state.ratio(), state.usual_ratio()});
    return all;
}

double capacity_estimate::pressure(int counted_priority) const
{
    double highest = 0;
    for (auto const& [of, state] : m_classes)
        if (of.route_priority <= counted_priority) highest = std::max(highest, state.pressure());
    return highest;
}

void capacity_estimate::learn_usual()
{
    for (auto& [of, state] : m_classes) {
        if (state.samples < 1) continue;
        double const current = state.sum / state.samples;
        state.calm_time += 1;
        double const weight = current < state.usual ? usual_fall : usual_rise;
        state.usual += (state.calm_time <= usual_updates ? 1 / state.calm_time : weight) * (current - state.usual);
    }
}

void capacity_estimate::detect(double pressure, double offered, std::size_t reporters)
{
    double samples = 0;
    for (auto const& [of, state] : m_classes)
        samples += state.samples;
    bool const high = pressure > overload_pressure && samples >= overload_samples && reporters >= overload_reporters;
    int const step = pressure > severe_pressure ? overload_updates : 1;
    m_high_updates = high ? m_high_updates + step : 0;
    if (!high) learn_usual();
    if (m_high_updates < overload_updates) return;
    m_overloaded = true;
    m_unlimited_for = {};
    // Work that was answered before the queue grew shows what the servers do without one.
    m_capacity = std::clamp(std::min(m_answered, offered), min_capacity, max_capacity);
}

void capacity_estimate::adapt(double pressure, double offered, clock::duration elapsed)
{
    double const seconds = std::chrono::duration<double>(elapsed).count();
    if (pressure > target_pressure) {
        // Answered work is what busy servers can do. While a queue is shortened, it follows the admitted work down.
        // Half of that decrease is intended. The other half corrects a capacity that was estimated too high.
        double const shown = m_answered / (0.5 + 0.5 * std::min(1.0, m_drain));
        m_capacity += (1 - std::exp(-seconds / capacity_time_s)) * (shown - m_capacity);
    } else if (pressure < busy_pressure) {
        m_capacity *= 1 + growth_per_s * seconds * (busy_pressure - pressure) / busy_pressure;
    }
    m_capacity = std::clamp(std::min(m_capacity, max_headroom * offered), min_capacity, max_capacity);
    m_drain = std::clamp(1 - drain_gain * (pressure - target_pressure), min_drain, 1.1);
    m_unlimited_for = limit() > end_headroom * offered ? m_unlimited_for + elapsed : clock::duration(0);
    if (m_unlimited_for < end_time) return;
    m_overloaded = false;
    m_high_updates = 0;
    m_drain = 1;
}

void capacity_estimate::update(clock::duration elapsed, double offered, std::size_t reporters, int counted_priority)
{
    double const seconds = std::chrono::duration<double>(elapsed).count();
    double const now_pressure = pressure(counted_priority);
    if (m_overloaded)
        adapt(now_pressure, offered, elapsed);
    else
        detect(now_pressure, offered, reporters);
    m_answered *= std::exp(-seconds / answered_time_s);
    for (auto& [of, state] : m_classes) {
        state.sum *= std::exp(-seconds / delay_time_s);
        state.samples *= std::exp(-seconds / delay_time_s);
    }
}

void capacity_estimate::adopt_usual(query_class of, double usual)
{
    if (usual <= 0 || (m_classes.size() >= max_classes && !m_classes.contains(of))) return;
    auto& state = m_classes[of];
    if (state.calm_time >= usual_updates) return;
    state.usual = usual;
    state.calm_time = usual_updates;
}

void capacity_estimate::adopt(double limit)
{
    if (m_overloaded || limit <= 0) return;
    m_overloaded = true;
    m_unlimited_for = {};
    m_drain = 1;
    m_capacity = std::clamp(limit, min_capacity, max_capacity);
}

} // namespace cornelspring
