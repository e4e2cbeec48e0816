/** @file state_mirror.cpp Local copy of the store's items, and the changes of it that followers receive. */
#include <cornelspring/feed.hpp>

namespace cornelspring {
namespace {

/** Removals kept for followers: those of several seconds of the largest reshard; a follower sends a request about each
 * second. */
constexpr std::size_t max_removals = 4096;
/** Bytes that an item takes on a page in addition to its key and value. */
constexpr std::size_t item_overhead_bytes = 40;

} // namespace

void state_mirror::apply_change(store_item const& change)
{
    auto const [newest, is_new] = m_newest.try_emplace(change.key, change.position);
    if (!is_new) {
        m_by_change.erase({newest->second, change.key});
        m_removed.erase({newest->second, change.key});
        newest->second = change.position;
    }
    m_by_change.emplace(change.position, change.key);
    if (change.removed) {
        m_items.erase(change.key);
        m_removed.emplace(change.position, change.key);
    } else {
        m_items.insert_or_assign(change.key, change);
    }
}

void state_mirror::drop_oldest_removals()
{
    while (m_removed.size() > max_removals) {
        auto const oldest = m_removed.begin();
        m_complete_from = std::max(m_complete_from, oldest->first);
        m_newest.erase(oldest->second);
        m_by_change.erase(*oldest);
        m_removed.erase(oldest);
    }
}

std::vector<store_item> state_mirror::apply(std::vector<store_item> const& changes, store_position as_of)
{
    std::vector<store_item> applied;
    for (auto const& change : changes) {
        auto const known = m_newest.find(change.key);
        if (known != m_newest.end() && change.position < known->second) {
            ++m_superseded;
            continue;
        }
        apply_change(change);
        applied.push_back(change);
    }
    drop_oldest_removals();
    m_as_of = std::max(m_as_of, as_of);
    return applied;
}

std::vector<store_item> state_mirror::replace(std::vector<store_item> const& items, store_position as_of)
{
    bool const other_era = as_of.era != m_as_of.era;
    if (other_era || m_as_of.revision == 0) m_complete_from = as_of;
    std::set<std::string> present;
    // Followers get the differences as changes: a full read by each of them would fill a small VM's link.
    std::vector<store_item> differences;
    for (auto const& item : items) {
        present.insert(item.key);
        auto const known = m_items.find(item.key);
        bool const same = known != m_items.end() && known->second.position.revision == item.position.revision &&
                          known->second.value == item.value;
        if (!same)
            differences.push_back(item);
        else if (other_era)
            apply_change(item); // The value is unchanged, but all items must have a position in the new era.
    }
    for (auto const& [key, item] : m_items) {
        if (!present.contains(key) && item.position <= as_of) differences.push_back({key, {}, as_of, true});
    }
    return apply(differences, as_of);
}

store_batch state_mirror::page(store_position from, bool with_removals, std::size_t max_bytes) const
{
    store_batch batch;
    batch.as_of = m_as_of;
    std::size_t bytes = 0;
    auto last = from;
    for (auto each = m_by_change.lower_bound({{from.era, from.revision + 1}, {}}); each != m_by_change.end(); ++each) {
        auto const& [changed_at, key] = *each;
        if (!with_removals && m_removed.contains(*each)) continue;
        // A page never ends between two changes of one revision.
        if (bytes >= max_bytes && changed_at != last) {
            batch.as_of = last;
            batch.next_page_token = last.to_string();
            break;
        }
        last = changed_at;
        auto const item = m_items.find(key);
        batch.items.push_back(item == m_items.end() ? store_item{key, {}, changed_at, true} : item->second);
        bytes += item_overhead_bytes + key.size() + batch.items.back().value.size();
    }
    return batch;
}

std::optional<store_batch> state_mirror::changes_after(store_position from) const
{
    if (from < m_complete_from) return std::nullopt;
    return page(from, true, page_bytes);
}

bool state_mirror::has_changes_after(store_position from) const
{
    return from < m_complete_from || m_by_change.lower_bound({{from.era, from.revision + 1}, {}}) != m_by_change.end();
}

store_batch state_mirror::page_after(store_position from) const
{
    auto batch = page(from, false, read_page_bytes);
    batch.as_of = m_as_of; // The reader gets changes made between the pages by watching from the first page's position.
    return batch;
}

} // namespace cornelspring
