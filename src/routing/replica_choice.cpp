/** @file replica_choice.cpp Choice of a backend server among the replicas of a service. */
#include "shared_load.hpp"

#include <algorithm>

namespace cornelspring {

char const* to_string(selection_failure miss)
{
    switch (miss) {
    case selection_failure::none: return "none";
    case selection_failure::no_backend: return "no_backend";
    case selection_failure::outside_home_region: return "away";
    case selection_failure::evacuated: return "evacuated";
    case selection_failure::cold: return "cold";
    case selection_failure::no_room: return "no_room";
    case selection_failure::no_budget: return "no_budget";
    case selection_failure::no_gain: return "no_gain";
    }
    return "unknown";
}

namespace {

/** Whether a backend server may get new attempts. */
enum class usability { normal, last_resort, none };

/** @return whether @p server may get new attempts at @p now. */
usability usable(backend_server const& server, selection_options const& options, time_point now)
{
    if (server.removed) return usability::none;
    if (!server.draining_since) return usability::normal;
    return now < *server.draining_since + options.draining_last_resort ? usability::last_resort : usability::none;
}

/** @return the expected wait at @p server in milliseconds. @param latency_ms its expected latency. @param usual usual
 *  latency of its service. */
double expected_wait_ms(backend_server const& server, double latency_ms, double usual, selection_options const& options,
                        time_point now)
{
    double const slots = std::max(1, server.registration.slots);
    double wait = options.by_expected_wait ? latency_ms * (1.0 + server.load.in_flight() / slots) : usual;
    if (now < server.placement.cold_until) wait *= options.cold_factor;
    double const shared = options.shared_failures ? server.shared_failure_rate : 0;
    wait *= 1.0 + options.failure_weight * std::max(server.load.failure_rate(), shared);
    if (server.distance == proximity::other_region) return wait + options.other_region_penalty_ms;
    if (server.distance == proximity::same_region) return wait + options.other_domain_penalty_ms;
    return wait;
}

/** @return a random one of the candidates near the lowest wait. @param candidates at least one. */
candidate pick_near_lowest(std::vector<candidate> const& candidates, std::mt19937_64& random)
{
    double lowest = candidates.front().wait_ms;
    for (auto const& each : candidates)
        lowest = std::min(lowest, each.wait_ms);
    std::size_t near = 0;
    candidate const* chosen = nullptr;
    for (auto const& each : candidates) {
        if (each.wait_ms > lowest * near_factor) continue;
        if (random() % ++near == 0) chosen = &each; // Reservoir sampling: each is equally likely.
    }
    return *chosen;
}

/** Why no candidate is left: the rule that will stop applying first, since the retry-after sent to callers depends on
 * it. */
class miss_reason {
public:
    /** Records that a placement rule excluded a backend server. */
    void add(placement_refusal refusal)
    {
        if (refusal == placement_refusal::outside_home_region && m_miss == selection_failure::no_backend)
            m_miss = selection_failure::outside_home_region;
        if (refusal == placement_refusal::evacuated && m_miss != selection_failure::cold)
            m_miss = selection_failure::evacuated;
        if (refusal == placement_refusal::cold) m_miss = selection_failure::cold;
    }
    /** @return the reason. */
    selection_failure value() const { return m_miss; }

private:
    selection_failure m_miss = selection_failure::no_backend; ///< Reason so far.
};

} // namespace

selection_failure unavailability_reason(service_group const& group, selection_context const& context, time_point now)
{
    miss_reason reason;
    for (auto const& server : group.backends) {
        if (usable(*server, context.options, now) == usability::none) continue;
        auto const refused = context.placement.refusal(server->placement, context.requirements, now);
        if (refused == placement_refusal::none) return selection_failure::none;
        reason.add(refused);
    }
    return reason.value();
}

selection choose_backend(service_group const& group, std::vector<backend_id> const& tried, int room,
                         selection_context const& context, std::mt19937_64& random, time_point now)
{
    std::vector<candidate> good;
    std::vector<candidate> suspect;
    std::vector<candidate> leaving;
    bool any = false;
    miss_reason reason;
    shared_load_view const shared(group, context.options, context.shared, now);
    for (auto const& server : group.backends) {
        if (std::find(tried.begin(), tried.end(), server->registration.id) != tried.end()) continue;
        auto const use = usable(*server, context.options, now);
        if (use == usability::none) continue;
        if (auto const refused = context.placement.refusal(server->placement, context.requirements, now);
            refused != placement_refusal::none) {
            reason.add(refused);
            continue;
        }
        any = true;
        if (server->load.in_flight() >= room) continue;
        double const latency =
            shared.in_force() ? shared.latency_ms(*server) : server->load.latency_ms(group.average_latency_ms, now);
        candidate made{server, expected_wait_ms(*server, latency, group.average_latency_ms, context.options, now),
                       server->preference_rank < context.preferred};
        if (!made.preferred) made.wait_ms += context.options.other_replica_penalty_ms;
        bool const avoided = context.options.avoid_suspect && server->load.suspect(now);
        (use == usability::last_resort ? leaving : avoided ? suspect : good).push_back(made);
    }
    for (auto const* group_of : {&good, &suspect, &leaving}) {
        if (group_of->empty()) continue;
        if (shared.in_force()) return shared.pick(*group_of, tried.empty() && group_of == &good, group_of != &good);
        auto const chosen = pick_near_lowest(*group_of, random);
        return {chosen.server, selection_failure::none, group_of != &good, chosen.wait_ms};
    }
    return {nullptr, any ? selection_failure::no_room : reason.value(), false, 0};
}

} // namespace cornelspring
