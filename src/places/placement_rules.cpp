/** @file placement_rules.cpp To which backend servers a request may be sent. */
#include <cornelspring/places.hpp>

namespace cornelspring {

char const* to_string(placement_refusal refusal)
{
    switch (refusal) {
    case placement_refusal::none: return "none";
    case placement_refusal::outside_home_region: return "away";
    case placement_refusal::evacuated: return "evacuated";
    case placement_refusal::cold: return "cold";
    }
    return "unknown";
}

/** A stopped evacuation counts as a start of the domain's backend servers, because their registrations report seconds
 *  late that they are cold. */
bool placement_rules::is_cold(server_placement const& server, warmup_spec const& warmup, time_point now) const
{
    if (now < server.cold_until) return true;
    auto const stopped_at = m_evacuations.stopped_at(server.domain);
    return stopped_at && now < *stopped_at + warmup.duration;
}

placement_refusal placement_rules::refusal(server_placement const& server, placement_requirements const& requirements,
                                           time_point now) const
{
    if (!in_home_region(requirements.home_region_set, server.region)) return placement_refusal::outside_home_region;
    if (m_evacuations.is_evacuated(server.domain)) return placement_refusal::evacuated;
    if (requirements.warmup.per_second <= 0 || !is_cold(server, requirements.warmup, now))
        return placement_refusal::none;
    double const bound = requirements.warmup.per_second * m_limits.factor + m_limits.slack;
    bool const has_room = server.sent_while_cold.count(now) < m_quotas.quota(server.id, bound, now);
    return has_room ? placement_refusal::none : placement_refusal::cold;
}

void placement_rules::on_sent(server_placement& server, placement_requirements const& requirements,
                              time_point now) const
{
    if (requirements.warmup.per_second > 0 && is_cold(server, requirements.warmup, now))
        server.sent_while_cold.on_sent(now);
}

} // namespace cornelspring
