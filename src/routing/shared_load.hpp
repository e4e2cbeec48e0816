/** @file shared_load.hpp Replica choice by the load of backend servers that all VMs observe together (internal). */
#pragma once

#include <cornelspring/routing.hpp>

namespace cornelspring {

/** Expected waits within this factor of the lowest count as equal, so that VMs do not all choose the same server. */
inline constexpr double near_factor = 1.15;

/** A candidate of a choice. */
struct candidate {
    std::shared_ptr<backend_server> server; ///< Backend server.
    double wait_ms = 0;                     ///< Expected wait.
    bool preferred = true;                  ///< One of the replicas that this VM prefers.
};

/** Applies the shared load to one choice. */
class shared_load_view {
public:
    /** @param group service. @param options weights. @param state what is known. @param now current time. */
    shared_load_view(service_group const& group, selection_options const& options, shared_load_state const& state,
                     time_point now);
    /** @return whether the choice uses the shared load. */
    bool in_force() const { return m_weight > 0; }
    /** @return the expected latency of @p server in milliseconds, without network time between regions while the
     *  shared load is current. @param server backend server. */
    double latency_ms(backend_server const& server) const;
    /** @return the choice among @p candidates. @param candidates at least one. @param may_probe a slow server may be
     *  chosen to measure it. @param suspect value of selection::suspect. */
    selection pick(std::vector<candidate> const& candidates, bool may_probe, bool suspect) const;

private:
    /** @return how many times slower than the fastest known server of the service @p server is. */
    double slowness(backend_server const& server) const { return server.shared_slowness / m_least; }
    /** @return the slow server that this VM has not measured for longest if a measurement is due, or null.
     *  @param best candidate with the lowest wait. */
    candidate const* probe_due(std::vector<candidate> const& candidates, candidate const& best) const;

    service_group const& m_group;     ///< Service.
    shared_load_state const& m_state; ///< What is known.
    time_point m_now;                 ///< Current time.
    double m_weight = 0;              ///< Weight of the shared knowledge; 0: not in force.
    double m_least = 1;               ///< Slowness of the fastest server.
};

} // namespace cornelspring
