/** @file deferred_removals.cpp Deferred removal of items that are missing after the store was restored. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {

std::vector<store_item> deferred_removals::defer(std::vector<store_item> changes, time_point until)
{
    m_until = until;
    auto const removals =
        std::stable_partition(changes.begin(), changes.end(), [](store_item const& change) { return !change.removed; });
    for (auto each = removals; each != changes.end(); ++each)
        m_removals.insert_or_assign(each->key, *each);
    changes.erase(removals, changes.end());
    return changes;
}

std::vector<store_item> deferred_removals::take_due(time_point now)
{
    std::vector<store_item> due;
    if (now < m_until) return due;
    for (auto const& [key, removal] : std::exchange(m_removals, {}))
        due.push_back(removal);
    return due;
}

} // namespace cornelspring
