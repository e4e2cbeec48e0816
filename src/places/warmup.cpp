/** @file warmup.cpp This VM's quota of requests to a cold backend server. */
#include <cornelspring/places.hpp>

#include <algorithm>
#include <functional>

namespace cornelspring {
namespace {

/** Share of the limit that all VMs together use; the rest covers VMs that are cut off and divide by an outdated number
 *  of VMs. */
constexpr double used_share = 0.7;
/** A VM that has just joined sends nothing to cold backend servers until the others count it in their division. */
constexpr milliseconds join_delay{1500};
/** The limit is in requests per second. */
constexpr milliseconds rate_window{1000};

/** @return the hash by which the remainder of the division is assigned; all VMs compute the same. */
std::size_t rank_of(std::string const& server, std::string const& participant)
{
    return std::hash<std::string>()(server + "\n" + participant);
}

} // namespace

void warmup_quotas::set_participants(std::set<std::string> const& participants, std::string const& self, time_point now)
{
    m_participants.assign(participants.begin(), participants.end());
    m_self = self;
    if (!participants.contains(self)) {
        m_participant_since.reset();
    } else if (!m_participant_since) {
        m_participant_since = now;
    }
}

int warmup_quotas::quota(std::string const& server, double bound, time_point now) const
{
    if (!m_participant_since || now < *m_participant_since + join_delay) return 0;
    auto const all = static_cast<std::size_t>(std::max(0.0, used_share * bound));
    auto const count = m_participants.size();
    auto const rest = all % count;
    auto const own = rank_of(server, m_self);
    auto const ahead = static_cast<std::size_t>(std::count_if(
        m_participants.begin(), m_participants.end(), [&](auto const& each) { return rank_of(server, each) < own; }));
    return static_cast<int>(all / count + (ahead < rest ? 1 : 0));
}

void warmup_send_counter::on_sent(time_point now)
{
    while (!m_sent.empty() && m_sent.front() <= now - rate_window)
        m_sent.pop_front();
    m_sent.push_back(now);
}

int warmup_send_counter::count(time_point now) const
{
    return static_cast<int>(
        std::count_if(m_sent.begin(), m_sent.end(), [now](time_point sent) { return sent > now - rate_window; }));
}

} // namespace cornelspring
