/** @file failure_log.cpp Outcomes of this VM's attempts, and the failures that all VMs have reported. */
#include <cornelspring/failures.hpp>

#include <cmath>

namespace cornelspring {
namespace {

/** Usable responses halve in this time until a failure of their server is reported with them. */
constexpr double half_life_s = 2.0;
/** Most servers with unreported outcomes; beyond it, those without failures are forgotten. */
constexpr std::size_t max_servers = 20000;

} // namespace

void failure_log::on_outcome(std::string const& server, bool failed, time_point now)
{
    if (m_unreported.size() >= max_servers)
        std::erase_if(m_unreported, [](auto const& e) { return e.second.failed == 0; });
    auto& counts = m_unreported[server];
    if (failed) {
        ++counts.failed;
        m_new_failures = true;
        return;
    }
    auto const age_s = std::chrono::duration<double>(now - counts.updated_at).count();
    counts.answered = counts.answered * std::exp2(-age_s / half_life_s) + 1;
    counts.updated_at = now;
}

failure_report failure_log::start_report(time_point now)
{
    failure_report report{m_epoch, m_known, {}};
    for (auto each = m_unreported.begin(); each != m_unreported.end();) {
        auto& counts = each->second;
        if (counts.failed == 0 && !m_levels.contains(each->first)) {
            ++each;
            continue;
        }
        auto const age_s = std::chrono::duration<double>(now - counts.updated_at).count();
        report.outcomes.push_back({each->first, counts.answered * std::exp2(-age_s / half_life_s), counts.failed});
        each = m_unreported.erase(each);
    }
    m_new_failures = false;
    return report;
}

void failure_log::set_level(std::string const& server, int level)
{
    if (level > 0)
        m_levels[server] = level;
    else
        m_levels.erase(server);
    m_on_level(server, level);
}

void failure_log::on_news(failure_news const& news)
{
    if (news.complete) on_no_collector();
    for (auto const& each : news.levels)
        set_level(each.server, each.level);
    m_epoch = news.epoch;
    m_known = news.last_change;
}

void failure_log::on_no_collector()
{
    for (auto const& [server, level] : std::exchange(m_levels, {}))
        m_on_level(server, 0);
    m_epoch = 0;
}

} // namespace cornelspring
