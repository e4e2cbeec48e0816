/** @file feed_selector.cpp Where to learn the store's state from. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Sources asked in the first round of a search; each further quick round asks twice as many. */
constexpr std::size_t first_asks = 4;
/** Sources asked in each round after the quick ones: by then the store is probably down for all, and questions cost a
 * VM with an eighth of a core time that its callers need. */
constexpr std::size_t later_asks = 8;
/** A gateway that need not read the store asks it from this round on: two rounds found nobody. */
constexpr int store_round = 2;
/** Of the gateways of one failure domain, so many ask the store in such a round: when it is down for all, calls to it
 *  must not grow with the number of VMs. */
constexpr double store_askers = 3;
/** A source that failed is asked for proof after this: a VM that restarts needs about as long to be current again. */
constexpr std::chrono::seconds first_pause{3};
/** Most doublings of that pause: one that stays dark is asked each 12 s. */
constexpr int most_doublings = 2;

/** Heads of failure domains that read the store: two, so that the loss of one VM is not felt. With one in each
 *  failure domain the calls to the store would grow with their number. */
constexpr std::size_t most_readers = 2;

/** Heads of failure domains. */
using head_list = std::vector<member_map::const_iterator>;

/** @return the heads of all failure domains, the largest gateways that stay, in key order. */
head_list heads_of(member_map const& members)
{
    std::map<domain_name, member_map::const_iterator> by_domain;
    for (auto each = members.begin(); each != members.end(); ++each) {
        if (each->second.stopping) continue;
        auto const [head, is_first] = by_domain.try_emplace(each->second.domain, each);
        if (!is_first && larger_first(*each, *head->second)) head->second = each;
    }
    head_list heads;
    for (auto const& [domain, head] : by_domain)
        heads.push_back(head);
    std::sort(heads.begin(), heads.end(), [](auto left, auto right) { return left->first < right->first; });
    return heads;
}

/** @return the head of @p domain among @p heads, or their end. */
head_list::const_iterator find_domain(head_list const& heads, domain_name const& domain)
{
    return std::find_if(heads.begin(), heads.end(), [&](auto head) { return head->second.domain == domain; });
}

/** @return a gateway as a source. */
feed_source source_of(member_map::value_type const& member) { return {member.first, member.second.peer_address}; }

/** @return how far @p member is, for the order in which it is asked. */
int distance(gateway_member const& member, feed_selector_settings const& place)
{
    if (member.domain == place.domain) return 0;
    return member.region == place.region ? 1 : 2;
}

} // namespace

bool larger_first(member_map::value_type const& left, member_map::value_type const& right)
{
    if (left.second.capacity != right.second.capacity) return left.second.capacity > right.second.capacity;
    return left.first < right.first;
}

feed_selector::feed_selector(feed_selector_settings place, std::uint64_t seed)
    : m_place(std::move(place)), m_random(seed)
{
}

void feed_selector::on_failed(feed_source const& source, time_point now)
{
    auto& known = m_failed[source.peer_key];
    known.retry_at = now + first_pause * (1 << std::min(known.strikes, most_doublings));
    ++known.strikes;
    if (m_found == source) m_found.reset();
}

void feed_selector::on_found(feed_source const& source)
{
    m_failed.erase(source.peer_key);
    m_found = source;
}

bool feed_selector::is_head(member_map const& members) const
{
    auto const heads = heads_of(members);
    auto const own = find_domain(heads, m_place.domain);
    return own == heads.end() || (*own)->first == m_place.self;
}

feed_source feed_selector::preferred(member_map const& members) const
{
    auto heads = heads_of(members);
    auto const own = find_domain(heads, m_place.domain);
    if (own != heads.end() && (*own)->first != m_place.self) return source_of(**own);
    heads.resize(std::min(heads.size(), most_readers));
    if (heads.empty() || find_domain(heads, m_place.domain) != heads.end()) return {"", m_place.store};
    auto const near =
        std::find_if(heads.begin(), heads.end(), [this](auto head) { return head->second.region == m_place.region; });
    return source_of(**(near == heads.end() ? heads.begin() : near));
}

std::optional<feed_source> feed_selector::choose(member_map const& members) const
{
    auto const first = preferred(members);
    if (!failed(first)) return first;
    if (!m_found || failed(*m_found)) return std::nullopt;
    if (m_found->is_store()) return m_found;
    auto const known = members.find(m_found->peer_key);
    if (known != members.end()) return known->second.stopping ? std::nullopt : m_found;
    // A seed has no key in the store. It serves while no other gateway is registered, as after an outage in which all
    // registrations lapsed but this VM's: found and turned down by turns, it kept an old configuration for 4 s.
    bool const alone =
        std::all_of(members.begin(), members.end(), [this](auto const& each) { return each.first == m_place.self; });
    return alone ? m_found : std::nullopt;
}

std::optional<feed_source> feed_selector::choose_for_read(member_map const& members) const
{
    feed_source const store{"", m_place.store};
    return failed(store) ? choose(members) : store;
}

std::optional<feed_source> feed_selector::due_for_recheck(member_map const& members, time_point now) const
{
    auto const first = preferred(members);
    auto const found = m_failed.find(first.peer_key);
    if (found == m_failed.end() || now < found->second.retry_at) return std::nullopt;
    return first;
}

std::vector<feed_source> feed_selector::candidates(member_map const& members)
{
    /** A gateway with its place in the order. */
    struct ranked {
        bool last;          ///< It failed, or was asked in this search.
        std::size_t turn;   ///< Its number within its failure domain: domains take turns.
        int distance;       ///< Near ones first.
        feed_source source; ///< Gateway.
    };
    std::vector<member_map::const_iterator> shuffled;
    for (auto each = members.begin(); each != members.end(); ++each) {
        if (each->first != m_place.self && !each->second.stopping) shuffled.push_back(each);
    }
    std::shuffle(shuffled.begin(), shuffled.end(), m_random);
    std::map<domain_name, std::size_t> turns;
    std::vector<ranked> order;
    for (auto const& each : shuffled) {
        auto const source = source_of(*each);
        bool const last = failed(source) || m_asked.contains(source.peer_key);
        auto const turn = last ? 0 : turns[each->second.domain]++;
        order.push_back({last, turn, distance(each->second, m_place), source});
    }
    std::stable_sort(order.begin(), order.end(), [](ranked const& left, ranked const& right) {
        return std::tie(left.last, left.turn, left.distance) < std::tie(right.last, right.turn, right.distance);
    });
    std::vector<feed_source> found;
    for (auto& each : order)
        found.push_back(std::move(each.source));
    return found;
}

bool feed_selector::asks_store(member_map const& members, int round)
{
    if (is_head(members)) return true;
    if (round < store_round) return false;
    auto const neighbours = static_cast<double>(std::count_if(
        members.begin(), members.end(), [this](auto const& each) { return each.second.domain == m_place.domain; }));
    return std::uniform_real_distribution<double>(0, neighbours)(m_random) < store_askers;
}

std::vector<feed_source> feed_selector::search_targets(member_map const& members, int round)
{
    if (round == 0) m_asked.clear();
    auto targets = candidates(members);
    if (targets.empty()) {
        for (auto const& seed : m_place.seeds)
            targets.push_back({"seed " + seed.to_string(), seed});
    }
    auto const wanted = round < quick_search_rounds ? first_asks << round : later_asks;
    targets.resize(std::min(targets.size(), wanted));
    for (auto const& target : targets)
        m_asked.insert(target.peer_key);
    if (asks_store(members, round)) targets.push_back({"", m_place.store});
    return targets;
}

} // namespace cornelspring
