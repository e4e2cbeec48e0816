/** @file state_mirror.cpp A copy of the store's items, and what followers are told of its changes. */
#include <cornelspring/feed.hpp>

namespace cornelspring {
namespace {

/** Removals kept for followers: those of several seconds of the largest reshard; a follower asks each second or so. */
constexpr std::size_t removals_kept = 4096;
/** Bytes that an item takes on a page beside its key and value. */
constexpr std::size_t item_overhead = 40;

} // namespace

void state_mirror::index(std::string const& key, std::int64_t revision)
{
    auto const [known, is_new] = m_newest.try_emplace(key, revision);
    if (!is_new) {
        m_by_change.erase({known->second, key});
        if (!m_items.contains(key)) --m_removals;
        known->second = revision;
    }
    m_by_change.emplace(revision, key);
}

std::vector<store_item> state_mirror::apply(std::vector<store_item> const& changes, std::int64_t as_of)
{
    std::vector<store_item> taken;
    for (auto const& change : changes) {
        auto const known = m_newest.find(change.key);
        if (known != m_newest.end() && change.revision < known->second) continue;
        index(change.key, change.revision);
        if (change.removed) {
            m_items.erase(change.key);
            ++m_removals;
        } else {
            m_items.insert_or_assign(change.key, change);
        }
        taken.push_back(change);
    }
    for (auto oldest = m_by_change.begin(); m_removals > removals_kept && oldest != m_by_change.end();) {
        if (m_items.contains(oldest->second)) {
            ++oldest;
            continue;
        }
        m_complete_from = std::max(m_complete_from, oldest->first);
        m_newest.erase(oldest->second);
        oldest = m_by_change.erase(oldest);
        --m_removals;
    }
    m_as_of = std::max(m_as_of, as_of);
    return taken;
}

std::vector<std::string> state_mirror::replace(std::vector<store_item> const& items, std::int64_t as_of)
{
    if (m_as_of == 0) m_complete_from = as_of;
    std::set<std::string> present;
    for (auto const& item : items)
        present.insert(item.key);
    std::vector<std::string> gone;
    std::vector<store_item> differences;
    for (auto const& [key, item] : m_items) {
        if (present.contains(key) || item.revision > as_of) continue;
        gone.push_back(key);
        differences.push_back({key, {}, as_of, true});
    }
    // Followers get the differences as changes: each of them reading everything again would fill a small VM's link.
    for (auto const& item : items) {
        auto const known = m_items.find(item.key);
        if (known == m_items.end() || known->second.revision != item.revision) differences.push_back(item);
    }
    apply(differences, as_of);
    return gone;
}

store_batch state_mirror::page(std::int64_t revision, bool with_removals) const
{
    store_batch batch;
    std::size_t bytes = 0;
    std::int64_t last = revision;
    for (auto each = m_by_change.upper_bound({revision, std::string(1, '\xff')}); each != m_by_change.end(); ++each) {
        auto const& [changed_at, key] = *each;
        if (changed_at <= revision) continue;
        // All changes of one revision are on one page.
        if (bytes >= page_bytes && changed_at != last) {
            batch.next = std::to_string(last);
            break;
        }
        last = changed_at;
        auto const item = m_items.find(key);
        bool const removed = item == m_items.end();
        if (removed && !with_removals) continue;
        batch.items.push_back(removed ? store_item{key, {}, changed_at, true} : item->second);
        bytes += item_overhead + key.size() + batch.items.back().value.size();
    }
    batch.as_of = m_as_of;
    return batch;
}

std::optional<store_batch> state_mirror::changes_after(std::int64_t revision) const
{
    if (revision < m_complete_from) return std::nullopt;
    auto batch = page(revision, true);
    if (!batch.next.empty()) batch.as_of = std::stoll(batch.next);
    return batch;
}

store_batch state_mirror::page_after(std::int64_t revision) const { return page(revision, false); }

} // namespace cornelspring
