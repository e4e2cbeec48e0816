/** @file peer_access.cpp Decides which calls between gateways are accepted. */
#include "peer_access.hpp"

#include <algorithm>

namespace cornelspring {

peer_access::peer_access(std::vector<endpoint> const& seeds)
{
    for (auto const& seed : seeds)
        m_seeds.insert(seed.host);
}

bool peer_access::knows(std::string const& host, time_point now) const
{
    if (m_seeds.contains(host)) return true;
    auto const found = m_known_until.find(host);
    return found != m_known_until.end() && now < found->second;
}

peer_access::decision peer_access::on_call(request_key key, std::string const& host, time_point now)
{
    if (knows(host, now)) return decision::accepted;
    if (m_waiting.size() >= max_waiting) return decision::refused;
    m_waiting.push_back({key, host, now + max_wait});
    return decision::waiting;
}

std::vector<request_key> peer_access::set_members(member_map const& members, time_point now)
{
    for (auto& [host, until] : m_known_until)
        until = std::min(until, now + member_memory);
    for (auto const& [key, member] : members) {
        if (!member.peer_address.host.empty()) m_known_until[member.peer_address.host] = time_point::max();
    }
    std::erase_if(m_known_until, [now](auto const& each) { return each.second <= now; });
    std::vector<request_key> accepted;
    std::erase_if(m_waiting, [&](waiting_call const& each) {
        if (!knows(each.host, now)) return false;
        accepted.push_back(each.key);
        return true;
    });
    return accepted;
}

std::vector<request_key> peer_access::take_expired(time_point now)
{
    std::vector<request_key> expired;
    while (!m_waiting.empty() && m_waiting.front().expires_at <= now) {
        expired.push_back(m_waiting.front().key);
        m_waiting.erase(m_waiting.begin());
    }
    return expired;
}

std::optional<time_point> peer_access::next_expiry() const
{
    if (m_waiting.empty()) return std::nullopt;
    return m_waiting.front().expires_at;
}

void peer_access::cancel(request_key key)
{
    std::erase_if(m_waiting, [key](waiting_call const& each) { return each.key == key; });
}

} // namespace cornelspring
