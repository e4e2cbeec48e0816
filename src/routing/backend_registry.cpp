/** @file backend_registry.cpp Registry of backend servers, and their load as observed by this VM. */
#include <cornelspring/routing.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Weight of a new latency sample: about the last ten samples count. */
constexpr double latency_weight = 0.2;
/** Weight of a new outcome in the failure rate. */
constexpr double failure_rate_weight = 0.15;
/** Without samples, a latency returns half of the way to the usual one in this time, so that the backend server is
 * tried again. */
constexpr milliseconds latency_half_life{1000};
/** How long a backend server is suspect after a failure or stall; doubles with each in a row. Pauses of backend servers
 *  last longer than this. */
constexpr milliseconds suspect_first{120};
/** Longest time a backend server is suspect: one that recovered is tried again within it. */
constexpr milliseconds suspect_longest{2500};
/** How long it is suspect after it shed a request: a slot frees within milliseconds. */
constexpr milliseconds suspect_shed{30};
/** Removed backend servers whose last registration is remembered: as many as a reshard of the largest index removes. */
constexpr std::size_t max_removed = 4096;
/** Most doublings of suspect_first. */
constexpr int max_doublings = 5;

/** @return how long a backend server is suspect. @param failures failures and stalls in a row. */
milliseconds suspicion(int failures)
{
    auto const doubled = suspect_first * (1 << std::min(failures - 1, max_doublings));
    return std::min(doubled, suspect_longest);
}

/** @return @p value with its bits mixed, so that similar values are ordered independently. */
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

} // namespace

char const* to_string(attempt_status end)
{
    switch (end) {
    case attempt_status::answered: return "answered";
    case attempt_status::not_executed: return "not_executed";
    case attempt_status::wrong_server: return "wrong_server";
    case attempt_status::not_sent: return "not_sent";
    case attempt_status::lost: return "lost";
    case attempt_status::disconnected: return "disconnected";
    case attempt_status::reset: return "reset";
    }
    return "unknown";
}

void backend_load::on_finished(attempt_status end, std::chrono::microseconds took, time_point now)
{
    --m_in_flight;
    bool const ok = end == attempt_status::answered;
    m_failure_rate += failure_rate_weight * ((ok ? 0.0 : 1.0) - m_failure_rate);
    if (ok) {
        double const sample = static_cast<double>(took.count()) / 1000.0;
        m_latency_ms = m_latency_ms == 0 ? sample : m_latency_ms + latency_weight * (sample - m_latency_ms);
        m_sampled_at = now;
        m_consecutive_failures = 0;
        m_suspect_until = {};
        return;
    }
    if (end == attempt_status::not_executed) {
        m_suspect_until = std::max(m_suspect_until, now + suspect_shed);
        return;
    }
    ++m_consecutive_failures;
    m_suspect_until = std::max(m_suspect_until, now + suspicion(m_consecutive_failures));
}

void backend_load::on_canceled(std::chrono::microseconds ran, time_point now)
{
    --m_in_flight;
    double const sample = static_cast<double>(ran.count()) / 1000.0;
    if (sample <= m_latency_ms) return;
    m_latency_ms += latency_weight * (sample - m_latency_ms);
    m_sampled_at = now;
}

void backend_load::on_stalled(time_point now)
{
    if (suspect(now)) return; // A pause of the backend server stalls all attempts in flight; it counts once.
    ++m_consecutive_failures;
    m_suspect_until = now + suspicion(m_consecutive_failures);
}

double backend_load::latency_ms(double usual, time_point now) const
{
    if (m_latency_ms == 0) return usual;
    return usual + (m_latency_ms - usual) * decay_factor(now - m_sampled_at, latency_half_life);
}

bool backend_registry::outdated(backend_registration const& registration) const
{
    auto const known = m_backends.find(registration.id.value());
    bool const counted = registration.started_at != start_time();
    if (known == m_backends.end()) {
        auto const removed = m_removed.find(registration.id.value());
        if (removed == m_removed.end()) return false;
        auto const& last = removed->second;
        // A store that was restored from an older copy contains registrations of servers that were removed since.
        if (registration.started_at == last.started) return counted && registration.sequence <= last.sequence;
        return registration.started_at < last.started;
    }
    auto const& last = known->second->registration;
    if (registration.started_at != last.started_at) return registration.started_at < last.started_at;
    return counted && registration.sequence < last.sequence;
}

void backend_registry::retire(std::shared_ptr<backend_server> const& server)
{
    server->removed = true;
    auto& services_group = group(server->registration.service);
    std::erase(services_group.backends, server);
    rank_by_preference(services_group);
}

void backend_registry::rank_by_preference(service_group& group)
{
    auto ranked = group.backends;
    std::sort(ranked.begin(), ranked.end(), [](auto const& left, auto const& right) {
        return std::tie(left->distance, left->affinity) < std::tie(right->distance, right->affinity);
    });
    for (std::size_t rank = 0; rank < ranked.size(); ++rank)
        ranked[rank]->preference_rank = rank;
}

bool backend_registry::apply(backend_registration const& registration, time_point now)
{
    if (outdated(registration)) return false;
    auto& known = m_backends[registration.id.value()];
    bool const other = known != nullptr && (known->registration.started_at != registration.started_at ||
                                            known->registration.service != registration.service);
    if (other) retire(std::exchange(known, nullptr));
    bool const is_new = known == nullptr;
    if (is_new) known = std::make_shared<backend_server>();
    auto& server = *known;
    bool const changed =
        is_new || server.removed || server.lapsed_until || server.registration.draining != registration.draining;
    server.registration = registration;
    server.distance = m_locality.proximity_to(registration.domain);
    server.affinity = mix(std::hash<std::string>()(registration.id.value()) ^ m_seed);
    server.placement.domain = registration.domain;
    server.placement.region = m_locality.region_of(registration.domain);
    server.placement.id = registration.id.value();
    server.placement.cold_until = now + registration.warmup_left;
    server.removed = false;
    server.lapsed_until.reset();
    if (!registration.draining) {
        server.draining_since.reset();
    } else if (!server.draining_since) {
        server.draining_since = now;
    }
    if (is_new) {
        auto& services_group = group(registration.service);
        services_group.backends.push_back(known);
        rank_by_preference(services_group);
    }
    return changed;
}

bool backend_registry::remove(backend_id const& id, time_point now)
{
    auto const found = m_backends.find(id.value());
    if (found == m_backends.end()) return false;
    auto& server = *found->second;
    if (now < m_lapses_until && !server.registration.draining) {
        if (!server.lapsed_until) server.lapsed_until = m_lapses_until;
        return true;
    }
    drop(found);
    return true;
}

void backend_registry::drop(std::unordered_map<std::string, std::shared_ptr<backend_server>>::iterator known)
{
    auto const& [id, server] = *known;
    removed_server const last{server->registration.started_at, server->registration.sequence};
    if (m_removed.insert_or_assign(id, last).second) m_removal_order.push_back(id);
    if (m_removal_order.size() > max_removed) {
        m_removed.erase(m_removal_order.front());
        m_removal_order.pop_front();
    }
    retire(server);
    m_backends.erase(known);
}

std::vector<backend_id> backend_registry::remove_lapsed(time_point now)
{
    std::vector<backend_id> dropped;
    for (auto const& [id, server] : m_backends) {
        if (server->lapsed_until && *server->lapsed_until <= now) dropped.emplace_back(id);
    }
    for (auto const& id : dropped)
        drop(m_backends.find(id.value()));
    return dropped;
}

std::size_t backend_registry::cold_count(time_point now) const
{
    auto const cold = [now](auto const& known) { return now < known.second->placement.cold_until; };
    return static_cast<std::size_t>(std::count_if(m_backends.begin(), m_backends.end(), cold));
}

std::vector<backend_id> backend_registry::ids() const
{
    std::vector<backend_id> all;
    all.reserve(m_backends.size());
    for (auto const& [id, server] : m_backends)
        all.emplace_back(id);
    return all;
}

service_group& backend_registry::group(service_name const& service)
{
    auto& made = m_groups[service.value()];
    if (!made) {
        made = std::make_unique<service_group>();
        made->name = service;
    }
    return *made;
}

std::shared_ptr<backend_server> backend_registry::find(backend_id const& id) const
{
    auto const found = m_backends.find(id.value());
    return found == m_backends.end() ? nullptr : found->second;
}

} // namespace cornelspring
