/** @file state_mirror.cpp A copy of the store's items and its latest changes; where to learn them from. */
#include <cornelspring/gateway.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Changes kept for followers: those of several seconds of the largest reshard; a follower asks each second or so. */
constexpr std::size_t changes_kept = 4096;
/** Gateways tried before the store itself: when the store is down for all, asking all of them is of no use. */
constexpr std::size_t most_peers_tried = 3;
/** A source that failed is left out so long: a VM that restarts needs about as long to be current again. */
constexpr std::chrono::seconds avoid_time{3};

} // namespace

std::vector<std::string> state_mirror::replace(std::vector<store_item> const& items, std::int64_t as_of)
{
    bool const first = m_as_of == 0;
    std::map<std::string, store_item> next;
    std::vector<store_item> differences;
    for (auto const& item : items) {
        auto const known = m_items.find(item.key);
        if (known == m_items.end() || known->second.revision != item.revision) differences.push_back(item);
        next.emplace(item.key, item);
    }
    std::vector<std::string> gone;
    for (auto const& [key, item] : m_items) {
        if (next.contains(key)) continue;
        gone.push_back(key);
        differences.push_back({key, {}, as_of, true});
    }
    if (first) m_complete_from = as_of;
    // Followers get the differences as changes: each of them reading everything again would fill a small VM's link.
    if (!first) apply(differences, as_of);
    m_items = std::move(next);
    m_as_of = as_of;
    return gone;
}

void state_mirror::apply(std::vector<store_item> const& changes, std::int64_t as_of)
{
    for (auto const& change : changes) {
        if (change.removed) {
            m_items.erase(change.key);
        } else {
            m_items.insert_or_assign(change.key, change);
        }
        m_changes.push_back(change);
    }
    while (m_changes.size() > changes_kept) {
        m_complete_from = std::max(m_complete_from, m_changes.front().revision);
        m_changes.pop_front();
    }
    m_as_of = std::max(m_as_of, as_of);
}

std::optional<std::vector<store_item>> state_mirror::changes_after(std::int64_t revision) const
{
    if (revision < m_complete_from) return std::nullopt;
    std::vector<store_item> found;
    for (auto const& change : m_changes) {
        if (change.revision > revision) found.push_back(change);
    }
    return found;
}

feed_selector::feed_selector(endpoint store, std::string self, domain_name domain, std::vector<endpoint> seeds)
    : m_store(std::move(store)), m_self(std::move(self)), m_domain(std::move(domain)), m_seeds(std::move(seeds))
{
}

std::size_t feed_selector::avoided_peers(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_avoid_until.begin(), m_avoid_until.end(), [now](auto const& each) {
        return !each.first.empty() && now < each.second;
    }));
}

bool feed_selector::avoided(std::string const& key, time_point now) const
{
    auto const found = m_avoid_until.find(key);
    return found != m_avoid_until.end() && now < found->second;
}

void feed_selector::on_failed(feed_source const& source, time_point now)
{
    m_avoid_until[source.peer_key] = now + avoid_time;
}

feed_source feed_selector::choose_for_read(member_map const& members, time_point now) const
{
    return avoided("", now) ? choose(members, now) : feed_source{"", m_store};
}

feed_source feed_selector::choose(member_map const& members, time_point now) const
{
    bool const store_avoided = avoided("", now);
    feed_source fallback;
    if (avoided_peers(now) >= most_peers_tried) return {"", m_store};
    for (auto const& [key, member] : members) {
        if (key == m_self) {
            // The first of its failure domain reads the store, unless the store turns this VM away.
            if (!store_avoided) break;
            continue;
        }
        if (member.stopping || avoided(key, now)) continue;
        if (member.domain == m_domain) return {key, member.peer};
        if (fallback.peer_key.empty()) fallback = {key, member.peer};
    }
    if (store_avoided && !fallback.peer_key.empty()) return fallback;
    if (store_avoided && members.empty()) {
        for (auto const& seed : m_seeds) {
            auto const key = "seed " + seed.to_string();
            if (!avoided(key, now)) return {key, seed};
        }
    }
    return {"", m_store};
}

} // namespace cornelspring
