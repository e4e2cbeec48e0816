/** @file admission_control.cpp Load shedding by the measured wait of the queries over one set of shards. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Up to this queue load every query is admitted, so that ordinary load and short pauses do not cause rejections. */
constexpr double admit_all_load = 0.3;
/** At this queue load and above, only the minimum share is admitted. */
constexpr double admit_min_load = 0.9;
/** Above this queue load a hedge mostly adds to the queue that makes its shard slow. The value is well above the queue
 * load that short pauses cause under ordinary load, when hedges help. */
constexpr double congested_load = 0.25;
/** Minimum admitted share. Without any responses, the end of an overload would not be detected. */
constexpr double min_share = 0.05;
/** Minimum half-life of the wait while there are no samples: the queues are assumed to drain. */
constexpr double min_half_life_ms = 300;
/** The half-life is at least the average time between this many queries, so that a VM with few queries does not discard
 *  the measured wait between two of them. */
constexpr double half_life_queries = 8;
/** Weight of a new sample in the average time between queries. */
constexpr double gap_weight = 0.1;
/** Upper limit of such a sample, so that the average recovers from a long idle period within a few queries. */
constexpr double max_gap_ms = 1000;
/** Waits are averaged over about one latency goal, so that one slow query does not cause rejections. The weight of a
 *  sample after an idle period is limited, so that it does not decide alone, mostly at a VM with few queries. */
constexpr sample_weight wait_weight{milliseconds(300), 0.1, 0.3};
/** Upper limit of the usual wait as a share of the goal. If it is longer, there has always been a queue. */
constexpr double max_usual_share = 0.35;
/** How fast the usual wait follows a longer one, for each sample: within some hundred seconds of ordinary load. */
constexpr double usual_rise = 0.001;
/** Queries of lower priority are admitted at least at the share of the highest priority raised to this power. They are
 *  shed first, but some of them are always admitted. */
constexpr double lower_priority_power = 2;
/**
 * Retries of callers are admitted at the share raised to this power. Each of them uses capacity that a query with more
 * time left could use, so that under lasting overload admitting them first makes all responses late. With a higher
 * power, too many of them are never served under load that is high but within capacity. If the share is near 1, nearly
 * all of them are admitted.
 */
constexpr double retry_power = 2;

/** @return @p span in milliseconds. */
double ms_of(clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

} // namespace

double admission_control::wait_ms(time_point now) const
{
    double wait = m_wait_ms;
    double const quiet = ms_of(now - m_last_sample_at);
    double const half_life = std::max(min_half_life_ms, half_life_queries * m_gap_ms);
    if (quiet > half_life) wait *= std::exp2(1 - quiet / half_life);
    // The oldest pending query shows a growing queue earlier than the finished ones.
    if (!m_pending.empty()) wait = std::max(wait, ms_of(now - *m_pending.begin()));
    return wait;
}

double admission_control::queue_load(milliseconds goal, time_point now) const
{
    double const goal_ms = static_cast<double>(goal.count());
    double const usual = std::min(m_usual_ms, max_usual_share * goal_ms);
    return (wait_ms(now) - usual) / (goal_ms - usual);
}

bool admission_control::congested(milliseconds goal, time_point now) const
{
    return queue_load(goal, now) > congested_load;
}

double admission_control::admitted_share(admission_request const& request, time_point now)
{
    double const in_time = (admit_min_load - queue_load(request.goal, now)) / (admit_min_load - admit_all_load);
    double admitted = std::clamp(in_time, min_share, 1.0);
    if (request.highest_priority) {
        m_highest_priority_share = admitted;
    } else {
        admitted = std::max(admitted, std::pow(m_highest_priority_share, lower_priority_power));
    }
    return request.retried ? std::pow(admitted, retry_power) : admitted;
}

admission_decision admission_control::admit(admission_request const& request, double draw, time_point now)
{
    m_gap_ms += gap_weight * (std::min(ms_of(now - m_last_query_at), max_gap_ms) - m_gap_ms);
    m_last_query_at = now;
    admission_decision decision{true, wait_ms(now), std::min(admitted_share(request, now), request.max_share)};
    decision.admitted = draw < decision.share;
    if (decision.admitted) m_pending.insert(request.started_at);
    return decision;
}

void admission_control::on_half_responded(time_point started_at, time_point now)
{
    on_finished(started_at);
    double const sample = ms_of(now - started_at);
    m_wait_ms += wait_weight.after(now - m_last_sample_at) * (sample - m_wait_ms);
    m_usual_ms = std::min(m_wait_ms, m_usual_ms + usual_rise * (m_wait_ms - m_usual_ms));
    m_last_sample_at = now;
}

void admission_control::on_finished(time_point started_at)
{
    if (auto const found = m_pending.find(started_at); found != m_pending.end()) m_pending.erase(found);
}

} // namespace cornelspring
