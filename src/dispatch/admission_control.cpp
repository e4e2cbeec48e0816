/** @file admission_control.cpp Which share of the queries over one set of shards is let in, by how long they wait. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Strain up to which every query is let in: below it, ordinary load and pauses refuse nobody. */
constexpr double free_strain = 0.3;
/** Strain at which next to none is let in. */
constexpr double full_strain = 0.9;
/** Strain above which a second attempt at a slow shard only adds to the queue that makes it slow; well
 * above what pauses cause on calm days, when second attempts pay. */
constexpr double congested_strain = 0.25;
/** Least share let in: without answers, the wait would never be seen to end. */
constexpr double least_share = 0.05;
/** Without samples the wait is taken to halve in this time at least, as the queues empty, */
constexpr double shortest_half_life_ms = 300;
/** and in the time of so many queries: a VM that sees few must not forget the queue between two of them. */
constexpr double half_life_queries = 8;
/** Weight of a new gap between queries in the average gap. */
constexpr double gap_weight = 0.1;
/** Longest gap that counts, so that an idle night is forgotten within some queries. */
constexpr double longest_gap_ms = 1000;
/** Waits are averaged over about one goal, so that one slow query refuses nobody; a single one after a pause does not
 * decide alone, which matters most at a VM that sees few queries. */
constexpr sample_weight wait_weight{milliseconds(300), 0.1, 0.3};
/** Part of the goal that the usual wait may take at most; more than that is a queue that has always been there. */
constexpr double most_usual_share = 0.35;
/** How fast the usual wait follows a longer one, for each sample: over some hundred seconds of ordinary load. */
constexpr double usual_rise = 0.001;
/** Power of the urgent queries' share that less urgent ones keep: they give way first, but are never shut out. */
constexpr double lower_rank_power = 2;
/**
 * Power of the share that returning callers get. Each of them takes the place of one that is still in time, so that
 * under lasting overload letting them in first makes everybody late. A higher power refuses too many of them for good
 * on days that are heavy but can be carried.
 * When the share is near one nearly all of them are let in.
 */
constexpr double returning_power = 2;

/** @return @p span in milliseconds. */
double ms_of(clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

} // namespace

double admission_control::wait_ms(time_point now) const
{
    double wait = m_wait_ms;
    double const quiet = ms_of(now - m_sampled_at);
    double const half_life = std::max(shortest_half_life_ms, half_life_queries * m_gap_ms);
    if (quiet > half_life) wait *= std::exp2(1 - quiet / half_life);
    // The oldest query that still waits tells of a queue before any that waits as long has ended.
    if (!m_waiting.empty()) wait = std::max(wait, ms_of(now - *m_waiting.begin()));
    return wait;
}

double admission_control::strain(milliseconds goal, time_point now) const
{
    double const goal_ms = static_cast<double>(goal.count());
    double const usual = std::min(m_usual_ms, most_usual_share * goal_ms);
    return (wait_ms(now) - usual) / (goal_ms - usual);
}

bool admission_control::congested(milliseconds goal, time_point now) const
{
    return strain(goal, now) > congested_strain;
}

double admission_control::share(admission_request const& request, time_point now)
{
    double const in_time = (full_strain - strain(request.goal, now)) / (full_strain - free_strain);
    double admitted = std::clamp(in_time, least_share, 1.0);
    if (request.highest_priority) {
        m_urgent_share = admitted;
    } else {
        admitted = std::max(admitted, std::pow(m_urgent_share, lower_rank_power));
    }
    return request.retried ? std::pow(admitted, returning_power) : admitted;
}

admission_decision admission_control::admit(admission_request const& request, double draw, time_point now)
{
    m_gap_ms += gap_weight * (std::min(ms_of(now - m_asked_at), longest_gap_ms) - m_gap_ms);
    m_asked_at = now;
    admission_decision decision{true, wait_ms(now), std::min(share(request, now), request.max_share)};
    decision.admitted = draw < decision.share;
    if (decision.admitted) m_waiting.insert(request.started_at);
    return decision;
}

void admission_control::on_half_responded(time_point begun, time_point now)
{
    on_finished(begun);
    double const sample = ms_of(now - begun);
    m_wait_ms += wait_weight.after(now - m_sampled_at) * (sample - m_wait_ms);
    m_usual_ms = std::min(m_wait_ms, m_usual_ms + usual_rise * (m_wait_ms - m_usual_ms));
    m_sampled_at = now;
}

void admission_control::on_finished(time_point begun)
{
    if (auto const found = m_waiting.find(begun); found != m_waiting.end()) m_waiting.erase(found);
}

} // namespace cornelspring
