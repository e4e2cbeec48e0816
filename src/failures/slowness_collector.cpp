/** @file slowness_collector.cpp Determines which backend servers are slow from the latencies that all VMs report. */
#include <cornelspring/failures.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Fewest answers from which the latency of a server is estimated. */
constexpr double min_answers = 4;
/** Latest answers that show whether a server that counts as slow has recovered: it gets only a few requests. */
constexpr double recovery_answers = 3;
/** Answers after which older intervals are left out of the estimate. Fewer would make it sensitive to single slow ones.
 */
constexpr double enough_answers = 12;
/** Intervals in a row in which a server must be slow. A slow period of half a second, which is no reason to avoid a
 *  server, touches up to three. */
constexpr int min_run = 4;
/** A server that is more than three times slower than the median counts as slow after a shorter run. The margin above 3
 *  covers the scatter of a mean of twelve answers. */
constexpr double urgent_ratio = 3.5;
/** Length of the shorter run. */
constexpr int min_urgent_run = 2;
/** An interval counts as slow if its mean latency differs from the median by this many steps. */
constexpr double min_interval_steps = 0.6;
/** A server that differs from the median by fewer steps has step 0. */
constexpr double min_steps = 0.65;
/** A step changes when the measured one differs by this much, so that few changes are sent. */
constexpr double min_difference = 0.6;
/** Time within which a second VM must have reported on a server. */
constexpr milliseconds reporter_age{2000};
/** Without a report for this time, a server has step 0: nothing is known of it. */
constexpr milliseconds step_age{6000};
/** A server without a report for this time is dropped. */
constexpr milliseconds server_age{30000};
/** Most servers; reports on others are ignored. */
constexpr std::size_t max_servers = 20000;

/** @return the difference of a latency from the median in steps. */
double steps_from(double mean_ms, double median_ms)
{
    return std::log(mean_ms / median_ms) / std::log(server_slowness::step_ratio);
}

} // namespace

double slowness_ratio(int step) { return std::pow(server_slowness::step_ratio, step); }

void slowness_collector::add(failure_report const& report, time_point now)
{
    if (!m_service_of) return;
    for (auto const& outcomes : report.outcomes) {
        if (outcomes.measured <= 0 || outcomes.mean_ms <= 0) continue;
        auto found = m_servers.find(outcomes.server);
        if (found == m_servers.end()) {
            auto service = m_service_of(outcomes.server);
            if (service.empty() || m_servers.size() >= max_servers) continue;
            found = m_servers.try_emplace(outcomes.server).first;
            found->second.service = std::move(service);
        }
        auto& server = found->second;
        if (server.last_reporter != report.sender) {
            server.other_reporter = server.last_reporter;
            server.other_heard_at = server.heard_at;
            server.last_reporter = report.sender;
        }
        server.heard_at = now;
        interval const added{outcomes.measured, outcomes.measured * outcomes.mean_ms};
        server.intervals[0].answers += added.answers;
        server.intervals[0].total_ms += added.total_ms;
        std::move_backward(server.reports.begin(), server.reports.end() - 1, server.reports.end());
        server.reports[0] = added;
    }
}

double slowness_collector::mean_ms(server_state const& server, time_point now)
{
    if (server.other_reporter == 0 || now > server.other_heard_at + reporter_age) return 0;
    interval sum;
    for (std::size_t i = 1; i < server.intervals.size() && sum.answers < enough_answers; ++i) {
        sum.answers += server.intervals[i].answers;
        sum.total_ms += server.intervals[i].total_ms;
    }
    return sum.answers < min_answers ? 0 : sum.total_ms / sum.answers;
}

double slowness_collector::recovery_mean_ms(server_state const& server)
{
    interval sum;
    for (auto each = server.reports.begin(); each != server.reports.end() && sum.answers < recovery_answers; ++each) {
        sum.answers += each->answers;
        sum.total_ms += each->total_ms;
    }
    return sum.answers < recovery_answers ? 0 : sum.total_ms / sum.answers;
}

std::unordered_map<std::string, double> slowness_collector::medians(time_point now) const
{
    std::unordered_map<std::string, std::vector<double>> by_service;
    for (auto const& [id, server] : m_servers) {
        if (double const mean = mean_ms(server, now); mean > 0) by_service[server.service].push_back(mean);
    }
    std::unordered_map<std::string, double> result;
    for (auto& [service, means] : by_service) {
        auto const middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
        std::nth_element(means.begin(), middle, means.end());
        result[service] = *middle;
    }
    return result;
}

int slowness_collector::next_step(server_state& server, double median_ms, time_point now)
{
    if (now > server.heard_at + step_age) return 0;
    if (auto const& last = server.intervals[1]; last.answers > 0) {
        double const steps = steps_from(last.total_ms / last.answers, median_ms);
        if (steps >= min_interval_steps)
            server.run = std::max(server.run, 0) + 1;
        else if (steps <= -min_interval_steps)
            server.run = std::min(server.run, 0) - 1;
        else
            server.run = 0;
    }
    double const latest = server.step > 0 ? recovery_mean_ms(server) : 0;
    if (latest > 0 && steps_from(latest, median_ms) < min_steps) return 0;
    double const mean = mean_ms(server, now);
    if (mean == 0) return server.step;
    double const exact = steps_from(mean, median_ms);
    if (std::abs(exact) < min_steps) return 0;
    if (std::abs(exact - server.step) < min_difference) return server.step;
    int const next =
        std::clamp(static_cast<int>(std::lround(exact)), -server_slowness::max_step, server_slowness::max_step);
    bool const lasting = exact > 0 ? server.run >= min_run : server.run <= -min_run;
    bool const urgent = server.run >= min_urgent_run && mean > urgent_ratio * median_ms;
    bool const further = std::abs(next) > std::abs(server.step) || (next > 0) != (server.step > 0);
    return further && !lasting && !urgent ? server.step : next;
}

void slowness_collector::shift(server_state& server, std::size_t count)
{
    auto& all = server.intervals;
    auto const kept = all.size() - std::min(count, all.size());
    std::move_backward(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept), all.end());
    std::fill_n(all.begin(), all.size() - kept, interval{});
}

void slowness_collector::update(time_point now, std::uint64_t& last_change)
{
    auto const ended = (now - m_interval_start) / interval_length;
    if (ended <= 0) return;
    m_interval_start += ended * interval_length;
    for (auto& [id, server] : m_servers)
        shift(server, static_cast<std::size_t>(ended));
    auto const median_of = medians(now);
    for (auto each = m_servers.begin(); each != m_servers.end();) {
        auto& server = each->second;
        auto const median = median_of.find(server.service);
        int const next = median == median_of.end() ? 0 : next_step(server, median->second, now);
        if (next != server.step) {
            m_by_change.erase(server.change);
            server.step = next;
            server.change = ++last_change;
            m_by_change.emplace(server.change, each->first);
        }
        bool const drop = now > server.heard_at + server_age;
        if (drop && server.change > 0) {
            m_dropped_at = std::max(m_dropped_at, server.change);
            m_by_change.erase(server.change);
        }
        each = drop ? m_servers.erase(each) : std::next(each);
    }
}

std::vector<server_slowness> slowness_collector::changes(std::uint64_t known, bool all) const
{
    std::vector<server_slowness> result;
    for (auto each = all ? m_by_change.begin() : m_by_change.upper_bound(known); each != m_by_change.end(); ++each) {
        int const step = m_servers.at(each->second).step;
        if (!all || step != 0) result.push_back({each->second, step});
    }
    return result;
}

} // namespace cornelspring
