/** @file shared_load.cpp Replica choice by the load of backend servers that all VMs observe together. */
#include "shared_load.hpp"

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Knowledge of this age is current: calls to the collector are made at least once a second. */
constexpr milliseconds current_age{1600};
/** Knowledge of this age is outdated. */
constexpr milliseconds outdated_age{3000};
/** Weight of a VM's own measurements above the shared latency while that is current. They react within a request, but a
 *  VM sees a server about twice a second. */
constexpr double own_weight = 0.5;
/** Weight of a sample in service_group::reference_ms. */
constexpr double reference_weight = 0.05;
/** Samples count at most this many times the reference, so that single slow answers do not shift it. */
constexpr double max_reference_ratio = 3;
/** Servers at the same distance whose waits are within this factor of the lowest share the requests. It is more than
 *  one step of slowness, so that a change by one step moves a part of the requests and not all. */
constexpr double sharing_factor = 1.6;
/** Exponent of the share of requests over speed. */
constexpr double speed_exponent = 2;
/** Measurements of the slow servers of a service per second by all VMs of a region together. A recovery is detected
 *  after three answers. */
constexpr double probes_per_s = 2.5;
/** The same for a service with fast servers in the region. Its slow servers are needed less, and with many replicas
 *  nearly every service has some: at the higher rate, more shards of a query would wait than it may leave out. */
constexpr double spare_probes_per_s = 0.6;

/** @return a number from 0 to 1 that differs by server and VM. */
double phase(backend_server const& server)
{
    return static_cast<double>(server.affinity >> 11) / static_cast<double>(std::uint64_t{1} << 53);
}

} // namespace

double shared_load_state::weight(time_point now) const
{
    if (!in_force) return 0;
    auto const left = std::chrono::duration<double>(informed_at + outdated_age - now);
    return std::clamp(left / std::chrono::duration<double>(outdated_age - current_age), 0.0, 1.0);
}

double service_group::least_slowness() const
{
    if (backends.empty()) return 1;
    auto const least = std::min_element(backends.begin(), backends.end(), [](auto const& left, auto const& right) {
        return left->shared_slowness < right->shared_slowness;
    });
    return (*least)->shared_slowness;
}

void service_group::on_latency(backend_server const& server, double took_ms)
{
    if (server.distance == proximity::other_region) return;
    double const sample = took_ms * least_slowness() / server.shared_slowness;
    if (reference_ms == 0)
        reference_ms = sample;
    else
        reference_ms += reference_weight * (std::min(sample, max_reference_ratio * reference_ms) - reference_ms);
}

shared_load_view::shared_load_view(service_group const& group, selection_options const& options,
                                   shared_load_state const& state, time_point now)
    : m_group(group), m_state(state), m_now(now), m_weight(options.shared_load ? state.weight(now) : 0),
      m_least(m_weight > 0 ? group.least_slowness() : 1)
{
}

double shared_load_view::latency_ms(backend_server const& server) const
{
    double const reference = m_group.reference_ms > 0 ? m_group.reference_ms : m_group.average_latency_ms;
    double const shared = reference * std::pow(slowness(server), m_weight);
    double const difference = server.load.latency_ms(shared, m_now) - shared;
    // Measurements of servers in another region contain the network time, which their distance stands for already. The
    // few samples of a server that became slow lag behind, and would let this VM return to it.
    bool const own_counts = server.distance != proximity::other_region && difference > 0;
    return shared + (own_counts ? 1 - m_weight + own_weight * m_weight : 1 - m_weight) * difference;
}

candidate const* shared_load_view::probe_due(std::vector<candidate> const& candidates, candidate const& best) const
{
    bool const fast_nearby =
        best.preferred && best.server->distance != proximity::other_region && slowness(*best.server) <= 1;
    double const per_s = fast_nearby ? spare_probes_per_s : probes_per_s;
    std::chrono::duration<double> const interval(static_cast<double>(m_state.vms_in_region) / per_s);
    candidate const* chosen = nullptr;
    for (auto const& each : candidates) {
        auto const& server = *each.server;
        if (slowness(server) <= 1 || server.distance == proximity::other_region || !each.preferred) continue;
        if (chosen == nullptr || server.sent_at < chosen->server->sent_at) chosen = &each;
    }
    if (chosen == nullptr) return nullptr;
    // One measurement in each period; the periods of the VMs begin at different times.
    auto const period = [&](time_point at) {
        return std::floor(std::chrono::duration<double>(at.time_since_epoch()) / interval + phase(*chosen->server));
    };
    return period(m_now) > period(std::max(chosen->server->sent_at, m_group.probed_at)) ? chosen : nullptr;
}

selection shared_load_view::pick(std::vector<candidate> const& candidates, bool may_probe, bool suspect) const
{
    auto const& best = *std::min_element(candidates.begin(), candidates.end(), [](auto const& left, auto const& right) {
        return left.wait_ms < right.wait_ms;
    });
    if (auto const* due = may_probe ? probe_due(candidates, best) : nullptr)
        return {due->server, selection_failure::none, suspect, due->wait_ms, 0, true};
    candidate const* chosen = &best;
    for (auto const& each : candidates) {
        bool const alike = each.server->distance == best.server->distance && each.preferred == best.preferred;
        if (each.wait_ms > best.wait_ms * (alike ? sharing_factor : near_factor)) continue;
        if (std::tie(each.server->turn, each.server->affinity) <
            std::tie(chosen->server->turn, chosen->server->affinity))
            chosen = &each;
    }
    double const step = std::pow(chosen->wait_ms / std::max(best.wait_ms, 1e-3), speed_exponent);
    return {chosen->server, selection_failure::none, suspect, chosen->wait_ms, std::max(step, 1.0), false};
}

void record_choice(service_group& group, selection const& chosen, time_point now)
{
    auto& server = *chosen.target;
    server.sent_at = now;
    if (chosen.probe) group.probed_at = now;
    if (chosen.turn_step <= 0) return;
    // A server that was not used for a while does not make up for the turns that it left out.
    group.turn = std::max(group.turn, server.turn);
    server.turn = group.turn + chosen.turn_step;
}

} // namespace cornelspring
