/** @file place_rules.cpp Which backend servers a request may reach. */
#include <cornelspring/places.hpp>

namespace cornelspring {

char const* to_string(place_refusal refusal)
{
    switch (refusal) {
    case place_refusal::none: return "none";
    case place_refusal::away: return "away";
    case place_refusal::evacuated: return "evacuated";
    case place_refusal::cold: return "cold";
    }
    return "unknown";
}

/** Entries say seconds late that a failure domain has become cold, so the end of an evacuation counts as a start. */
bool place_rules::cold(server_place const& server, warmup_spec const& warmup, time_point now) const
{
    if (now < server.cold_until) return true;
    auto const returned = m_evacuated.ended_at(server.domain);
    return returned && now < *returned + warmup.duration;
}

place_refusal place_rules::refusal(server_place const& server, place_demand const& asked, time_point now) const
{
    if (!at_home(asked.homes, server.region)) return place_refusal::away;
    if (m_evacuated.in_force(server.domain)) return place_refusal::evacuated;
    if (asked.warmup.per_second <= 0 || !cold(server, asked.warmup, now)) return place_refusal::none;
    double const bound = asked.warmup.per_second * m_limits.over + m_limits.slack;
    bool const has_room = server.pace.recent(now) < m_shares.share(server.id, bound, now);
    return has_room ? place_refusal::none : place_refusal::cold;
}

void place_rules::on_sent(server_place& server, place_demand const& asked, time_point now) const
{
    if (asked.warmup.per_second > 0 && cold(server, asked.warmup, now)) server.pace.on_sent(now);
}

} // namespace cornelspring
