/** @file feed_selector.cpp Choice of the source that a gateway reads the store's state from. */
#include <cornelspring/feed.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Sources asked in the first round of a search; each further quick round asks twice as many as the one before. */
constexpr std::size_t first_round_targets = 4;
/** Sources asked in each round after the quick ones. By then the store is probably down for all gateways, and on a VM
 * with an eighth of a core freshness checks take processor time that its callers need. */
constexpr std::size_t later_round_targets = 8;
/** A gateway that is not a leader asks the store from this round on, after two rounds without a source. */
constexpr int first_store_round = 2;
/** Average number of gateways of one failure domain that ask the store in such a round. It is fixed so that the calls
 * to a store that is down do not grow with the number of VMs. */
constexpr double store_searchers_per_domain = 3;
/** A source that failed gets a freshness check after this: a VM that restarts needs about as long to be current again.
 */
constexpr std::chrono::seconds first_recheck_delay{3};
/** Most doublings of that delay: a source that stays unreachable is checked each 12 s. */
constexpr int max_delay_doublings = 2;

/** Number of leaders that read the store. There are two, so that the loss of one VM does not interrupt reading. If
 * every leader read it, the calls to the store would grow with the number of failure domains. */
constexpr std::size_t max_store_readers = 2;

/** Gateways of a failure domain that may all make full reads of the store. */
constexpr std::size_t max_store_reads_per_domain = 6;

/** Leaders of failure domains. */
using leader_list = std::vector<member_map::const_iterator>;

/** @return the leaders of all failure domains in key order: the largest gateway of each that is not stopping. */
leader_list leaders_of(member_map const& members)
{
    std::map<domain_name, member_map::const_iterator> by_domain;
    for (auto each = members.begin(); each != members.end(); ++each) {
        if (each->second.stopping) continue;
        auto const [leader, is_first] = by_domain.try_emplace(each->second.domain, each);
        if (!is_first && larger_first(*each, *leader->second)) leader->second = each;
    }
    leader_list leaders;
    for (auto const& [domain, leader] : by_domain)
        leaders.push_back(leader);
    std::sort(leaders.begin(), leaders.end(), [](auto left, auto right) { return left->first < right->first; });
    return leaders;
}

/** @return the leader of @p domain among @p leaders, or their end. */
leader_list::const_iterator find_domain(leader_list const& leaders, domain_name const& domain)
{
    return std::find_if(leaders.begin(), leaders.end(), [&](auto leader) { return leader->second.domain == domain; });
}

/** @return a gateway as a source. */
feed_source source_of(member_map::value_type const& member) { return {member.first, member.second.peer_address}; }

/** @return the distance of @p member for the order of candidates: 0 in the failure domain, 1 in the region, else 2. */
int distance(gateway_member const& member, feed_selector_settings const& settings)
{
    if (member.domain == settings.domain) return 0;
    return member.region == settings.region ? 1 : 2;
}

/** @return the gateways of @p domain that are not stopping, the largest first. */
std::vector<member_map::const_iterator> domain_by_size(member_map const& members, domain_name const& domain)
{
    std::vector<member_map::const_iterator> found;
    for (auto each = members.begin(); each != members.end(); ++each) {
        if (each->second.domain == domain && !each->second.stopping) found.push_back(each);
    }
    std::sort(found.begin(), found.end(), [](auto left, auto right) { return larger_first(*left, *right); });
    return found;
}

} // namespace

bool larger_first(member_map::value_type const& left, member_map::value_type const& right)
{
    if (left.second.capacity != right.second.capacity) return left.second.capacity > right.second.capacity;
    return left.first < right.first;
}

feed_selector::feed_selector(feed_selector_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_random(seed)
{
}

void feed_selector::on_failed(feed_source const& source, time_point now)
{
    auto& known = m_failed[source.peer_key];
    known.retry_at = now + first_recheck_delay * (1 << std::min(known.consecutive_failures, max_delay_doublings));
    ++known.consecutive_failures;
    if (m_found == source) m_found.reset();
}

void feed_selector::on_found(feed_source const& source)
{
    m_failed.erase(source.peer_key);
    m_found = source;
}

bool feed_selector::is_leader(member_map const& members) const
{
    auto const leaders = leaders_of(members);
    auto const own = find_domain(leaders, m_settings.domain);
    return own == leaders.end() || (*own)->first == m_settings.self;
}

feed_source feed_selector::preferred(member_map const& members) const
{
    auto leaders = leaders_of(members);
    auto const own = find_domain(leaders, m_settings.domain);
    if (own != leaders.end() && (*own)->first != m_settings.self) return source_of(**own);
    leaders.resize(std::min(leaders.size(), max_store_readers));
    if (leaders.empty() || find_domain(leaders, m_settings.domain) != leaders.end()) return {"", m_settings.store};
    auto const nearby = std::find_if(leaders.begin(), leaders.end(),
                                     [this](auto leader) { return leader->second.region == m_settings.region; });
    return source_of(**(nearby == leaders.end() ? leaders.begin() : nearby));
}

std::optional<feed_source> feed_selector::choose(member_map const& members) const
{
    auto const first = preferred(members);
    if (!failed(first)) return first;
    if (!m_found || failed(*m_found)) return std::nullopt;
    if (m_found->is_store()) return m_found;
    auto const known = members.find(m_found->peer_key);
    if (known != members.end()) return known->second.stopping ? std::nullopt : m_found;
    // A seed has no registration in the store. It is used while no other gateway is registered, for example after an
    // outage in which all registrations but this VM's lapsed. When seeds were rejected then, this VM found and rejected
    // one again and again, and kept an old configuration for 4 s.
    bool const alone =
        std::all_of(members.begin(), members.end(), [this](auto const& each) { return each.first == m_settings.self; });
    return alone ? m_found : std::nullopt;
}

std::optional<feed_source> feed_selector::choose_to_reread(member_map const& members) const
{
    return failed(store()) ? choose(members) : store();
}

std::optional<feed_source> feed_selector::choose_for_read(member_map const& members)
{
    auto const ranked = domain_by_size(members, m_settings.domain);
    if (ranked.size() > max_store_reads_per_domain) {
        auto const self = static_cast<std::size_t>(
            std::find_if(ranked.begin(), ranked.end(), [this](auto each) { return each->first == m_settings.self; }) -
            ranked.begin());
        auto const serving = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(ranked.size()))));
        bool const second_level = self > serving;
        std::vector<feed_source> sources;
        for (std::size_t rank = second_level ? 1 : 0; rank <= std::min(serving, self); ++rank) {
            if (rank == self) break;
            if (auto const source = source_of(*ranked[rank]); !failed(source)) sources.push_back(source);
        }
        if (!sources.empty()) return second_level ? sources[m_random() % sources.size()] : sources.front();
    }
    return choose_to_reread(members);
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
    /** A gateway with its sort keys. */
    struct ranked_candidate {
        bool tried;                 ///< It failed, or was asked in this search: sorted last.
        std::size_t rank_in_domain; ///< Index within its failure domain, so that failure domains alternate.
        int distance;               ///< See distance().
        feed_source source;         ///< The gateway.
    };
    std::vector<member_map::const_iterator> shuffled;
    for (auto each = members.begin(); each != members.end(); ++each) {
        if (each->first != m_settings.self && !each->second.stopping) shuffled.push_back(each);
    }
    std::shuffle(shuffled.begin(), shuffled.end(), m_random);
    std::map<domain_name, std::size_t> counts_by_domain;
    std::vector<ranked_candidate> order;
    for (auto const& each : shuffled) {
        auto const source = source_of(*each);
        bool const tried = failed(source) || m_asked.contains(source.peer_key);
        auto const rank_in_domain = tried ? 0 : counts_by_domain[each->second.domain]++;
        order.push_back({tried, rank_in_domain, distance(each->second, m_settings), source});
    }
    std::stable_sort(order.begin(), order.end(), [](ranked_candidate const& left, ranked_candidate const& right) {
        return std::tie(left.tried, left.rank_in_domain, left.distance) <
               std::tie(right.tried, right.rank_in_domain, right.distance);
    });
    std::vector<feed_source> found;
    for (auto& each : order)
        found.push_back(std::move(each.source));
    return found;
}

bool feed_selector::includes_store(member_map const& members, int round)
{
    if (is_leader(members)) return true;
    if (round < first_store_round) return false;
    auto const domain_members = static_cast<double>(std::count_if(
        members.begin(), members.end(), [this](auto const& each) { return each.second.domain == m_settings.domain; }));
    return std::uniform_real_distribution<double>(0, domain_members)(m_random) < store_searchers_per_domain;
}

std::vector<feed_source> feed_selector::search_targets(member_map const& members, int round)
{
    if (round == 0) m_asked.clear();
    auto targets = candidates(members);
    if (targets.empty()) {
        for (auto const& seed : m_settings.seeds)
            targets.push_back({"seed " + seed.to_string(), seed});
    }
    auto const wanted = round < quick_search_rounds ? first_round_targets << round : later_round_targets;
    targets.resize(std::min(targets.size(), wanted));
    for (auto const& target : targets)
        m_asked.insert(target.peer_key);
    if (includes_store(members, round)) targets.push_back({"", m_settings.store});
    return targets;
}

} // namespace cornelspring
