/** @file failure_collector.cpp Collects the outcomes of attempts that all VMs report. */
#include <cornelspring/failures.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Counts halve in this time, so that a server that works again is used again within seconds. */
constexpr double half_life_s = 2.0;
/** Most outcomes that count for one server, so that one that failed a thousand times is tried again as soon as others.
 */
constexpr double max_outcomes = 4.0;
/** Outcomes assumed beside the reported ones: a single failure counts for about half, one among many for little. */
constexpr double assumed_answered = 1.0;
/** A level changes when the measured one differs by this many steps, so that few changes are sent. */
constexpr double min_difference = 0.75;
/** A failing share below this many steps is level 0. */
constexpr double min_level = 0.9;
/** A server with fewer recent failures than this is dropped. */
constexpr double min_failures = 0.05;
/** How often the levels of servers without reports are updated. */
constexpr milliseconds update_interval{500};

/** @return the factor by which counts decay in @p age. */
double decay(clock::duration age) { return std::exp2(-std::chrono::duration<double>(age).count() / half_life_s); }

} // namespace

void failure_collector::update(std::string const& id, server_state& server, time_point now)
{
    auto const factor = decay(now - server.updated_at);
    server.answered *= factor;
    server.failed *= factor;
    server.updated_at = now;
    auto const exact = failure_level::steps * server.failed / (server.failed + server.answered + assumed_answered);
    int const next = exact < min_level ? 0 : static_cast<int>(std::lround(exact));
    if (next == server.level || (next != 0 && std::abs(exact - server.level) < min_difference)) return;
    m_by_change.erase(server.change);
    server.level = next;
    server.change = ++m_last_change;
    m_by_change.emplace(server.change, id);
}

void failure_collector::update_all(time_point now)
{
    if (now < m_updated_at + update_interval) return;
    m_updated_at = now;
    for (auto each = m_servers.begin(); each != m_servers.end();) {
        auto& server = each->second;
        update(each->first, server, now);
        bool const drop = server.failed < min_failures && server.level == 0;
        if (drop) {
            m_dropped_at = std::max(m_dropped_at, server.change);
            m_by_change.erase(server.change);
        }
        each = drop ? m_servers.erase(each) : std::next(each);
    }
}

failure_news failure_collector::add(failure_report const& report, time_point now)
{
    for (auto const& outcomes : report.outcomes) {
        if (outcomes.answered <= 0 && outcomes.failed <= 0) continue;
        auto const found = m_servers.find(outcomes.server);
        if (found == m_servers.end() && outcomes.failed <= 0) continue;
        auto& server = m_servers[outcomes.server];
        if (found == m_servers.end()) server.updated_at = now;
        auto const factor = decay(now - server.updated_at);
        server.answered = server.answered * factor + outcomes.answered;
        server.failed = server.failed * factor + outcomes.failed;
        server.updated_at = now;
        auto const scale = std::min(1.0, max_outcomes / (server.answered + server.failed));
        server.answered *= scale;
        server.failed *= scale;
        update(outcomes.server, server, now);
    }
    update_all(now);
    m_slowness.add(report, now);
    m_slowness.update(now, m_last_change);
    failure_news news{m_epoch, m_last_change, false, {}, {}};
    // A server that was dropped since is not among the changes any more.
    news.complete = report.epoch != m_epoch || report.known < std::max(m_dropped_at, m_slowness.dropped_at());
    news.slow = m_slowness.changes(report.known, news.complete);
    auto const from = news.complete ? m_by_change.begin() : m_by_change.upper_bound(report.known);
    for (auto each = from; each != m_by_change.end(); ++each) {
        int const level = m_servers.at(each->second).level;
        if (!news.complete || level > 0) news.levels.push_back({each->second, level});
    }
    return news;
}

} // namespace cornelspring
