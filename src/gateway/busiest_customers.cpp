/** @file busiest_customers.cpp Which customers have a metrics row of their own. */
#include "busiest_customers.hpp"

namespace cornelspring {
namespace {

/** Time between rankings. */
constexpr std::chrono::seconds rank_interval{60};
/** A customer replaces one that had less than 1 / this of its requests. */
constexpr double min_ratio = 2;
/** A customer with less than this is forgotten. */
constexpr double min_recent = 0.5;

} // namespace

bool busiest_customers::count(std::string const& name, time_point now)
{
    if (now >= m_ranked_at + rank_interval) {
        m_ranked_at = now;
        rank();
    }
    auto& counted = m_entries[name];
    ++counted.recent;
    if (!counted.has_row && m_used_rows < m_rows) {
        counted.has_row = true;
        ++m_used_rows;
    }
    return counted.has_row;
}

bool busiest_customers::replace_one()
{
    auto busiest = m_entries.end();
    auto least = m_entries.end();
    for (auto each = m_entries.begin(); each != m_entries.end(); ++each) {
        auto& extreme = each->second.has_row ? least : busiest;
        auto const recent = each->second.recent;
        bool const more_extreme =
            extreme == m_entries.end() ||
            (each->second.has_row ? recent < extreme->second.recent : recent > extreme->second.recent);
        if (more_extreme) extreme = each;
    }
    if (busiest == m_entries.end() || least == m_entries.end()) return false;
    if (busiest->second.recent <= least->second.recent * min_ratio) return false;
    busiest->second.has_row = true;
    least->second.has_row = false;
    m_replaced.push_back(least->first);
    return true;
}

void busiest_customers::rank()
{
    std::size_t replacements = 0;
    while (replacements < m_rows && replace_one())
        ++replacements;
    for (auto& [name, each] : m_entries)
        each.recent /= 2;
    std::erase_if(m_entries, [](auto const& each) { return !each.second.has_row && each.second.recent < min_recent; });
}

} // namespace cornelspring
