/** @file failure_log.cpp Outcomes of this VM's attempts, and the failures and slowness that all VMs have reported. */
#include <cornelspring/failures.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Usable responses halve in this time until a failure of their server is reported with them. */
constexpr double half_life_s = 2.0;
/** Most servers with unreported outcomes; beyond it, those without failures are forgotten. */
constexpr std::size_t max_servers = 20000;
/** An answer is slow if it takes this many times the usual latency. */
constexpr double slow_answer_ratio = 2;
/** Slow answers in a row that make a report urgent. A single one is common: about 1 % of all answers are stragglers. */
constexpr int min_slow_run = 2;
/** Latencies that were not reported for this time are outdated. */
constexpr milliseconds max_latency_age{4000};
/** Most entries per second for latencies only, in the reports of one VM. */
constexpr double max_latency_entries = 40;
/** The same for all active VMs together. */
constexpr double all_latency_entries = 2000;
/** Least value of it for one VM. */
constexpr double min_latency_entries = 4;

} // namespace

double latency_entries(std::size_t active_vms)
{
    auto const vms = static_cast<double>(std::max<std::size_t>(active_vms, 1));
    return std::clamp(all_latency_entries / vms, min_latency_entries, max_latency_entries);
}

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

void failure_log::on_latency(std::string const& server, double took_ms, double usual_ms, time_point now)
{
    if (m_latencies.size() >= max_servers && !m_latencies.contains(server)) return;
    auto& recent = m_latencies[server];
    if (recent.answers == 0 || now > recent.since + max_latency_age) recent = {0, 0, recent.slow_run, now};
    ++recent.answers;
    recent.total_ms += took_ms;
    recent.slow_run = took_ms > slow_answer_ratio * usual_ms ? recent.slow_run + 1 : 0;
    m_new_slow = m_new_slow || recent.slow_run >= min_slow_run;
}

void failure_log::add_latencies(failure_report& report, time_point now, double entries)
{
    auto const elapsed_s = std::min(1.0, std::chrono::duration<double>(now - m_reported_at).count());
    m_entries_left = std::min(entries, m_entries_left + entries * elapsed_s);
    std::vector<std::pair<time_point, std::string const*>> due;
    std::vector<std::string const*> chosen;
    for (auto const& [server, recent] : m_latencies) {
        if (recent.answers == 0 || now > recent.since + max_latency_age) continue;
        if (recent.slow_run >= min_slow_run || m_steps.contains(server))
            chosen.push_back(&server);
        else
            due.emplace_back(recent.since, &server);
    }
    auto const count = std::min(due.size(), static_cast<std::size_t>(m_entries_left));
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(due[i].second);
    m_entries_left -= static_cast<double>(count);
    for (auto const* server : chosen) {
        auto& recent = m_latencies.at(*server);
        report.outcomes.push_back(
            {*server, 0, 0, static_cast<double>(recent.answers), recent.total_ms / recent.answers});
        recent.answers = 0;
    }
}

failure_report failure_log::start_report(time_point now, double latency_entries)
{
    failure_report report{m_epoch, m_known, {}, 0};
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
    if (latency_entries > 0) add_latencies(report, now, latency_entries);
    m_reported_at = now;
    m_new_failures = m_new_slow = false;
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

void failure_log::set_steps(std::unordered_map<std::string, int> steps)
{
    auto const before = std::exchange(m_steps, std::move(steps));
    if (!m_on_slowness) return;
    for (auto const& [server, step] : before)
        if (!m_steps.contains(server)) m_on_slowness(server, 0);
    for (auto const& [server, step] : m_steps)
        if (auto const old = before.find(server); old == before.end() || old->second != step)
            m_on_slowness(server, step);
}

void failure_log::on_news(failure_news const& news)
{
    if (news.complete) {
        for (auto const& [server, level] : std::exchange(m_levels, {}))
            m_on_level(server, 0);
    }
    for (auto const& each : news.levels)
        set_level(each.server, each.level);
    auto steps = news.complete ? std::unordered_map<std::string, int>() : m_steps;
    for (auto const& each : news.slow)
        steps[each.server] = each.step;
    std::erase_if(steps, [](auto const& each) { return each.second == 0; });
    set_steps(std::move(steps));
    m_epoch = news.epoch;
    m_known = news.last_change;
}

void failure_log::on_no_collector()
{
    for (auto const& [server, level] : std::exchange(m_levels, {}))
        m_on_level(server, 0);
    set_steps({});
    m_epoch = 0;
}

int failure_log::step(std::string const& server) const
{
    auto const found = m_steps.find(server);
    return found == m_steps.end() ? 0 : found->second;
}

std::size_t failure_log::slow() const
{
    return static_cast<std::size_t>(
        std::count_if(m_steps.begin(), m_steps.end(), [](auto const& each) { return each.second > 0; }));
}

slow_server_changes failure_log::take_slow_changes()
{
    std::set<std::string> current;
    for (auto const& [server, step] : m_steps)
        if (step > 0) current.insert(server);
    auto const before = std::exchange(m_logged_slow, current);
    slow_server_changes result;
    result.slow = current.size();
    auto const list = [](auto const& from, auto const& without, auto& names, std::size_t& count) {
        for (auto const& server : from) {
            if (without.contains(server)) continue;
            if (++count <= slow_server_changes::max_names) names.push_back(server);
        }
    };
    list(current, before, result.entered, result.entered_count);
    list(before, current, result.left, result.left_count);
    return result;
}

} // namespace cornelspring
