/** @file backend_registry.cpp Backend servers known to this VM, what was observed of them, and replica choice. */
#include <cornelspring/routing.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Weight of a new latency sample: about the last ten samples count. */
constexpr double latency_weight = 0.2;
/** Weight of a new outcome in the failure rate. */
constexpr double failure_rate_weight = 0.15;
/** Without samples, a latency drifts half of the way back to the usual one in this time, so that it is tried again. */
constexpr milliseconds forget_half_life{1000};
/** First suspicion after a failure or stall; doubles with each in a row. A pause of a backend server lasts longer. */
constexpr milliseconds suspect_first{120};
/** Longest suspicion: a server that came back is tried again within this time. */
constexpr milliseconds suspect_longest{2500};
/** Suspicion after a shed request: a slot frees within milliseconds. */
constexpr milliseconds suspect_shed{30};
/** Removed backend servers whose last start is remembered: those of a reshard of the largest index. */
constexpr std::size_t ended_kept = 4096;
/** Most doublings of the first suspicion. */
constexpr int max_doublings = 5;
/** Expected waits within this factor of the lowest count as equal, so that VMs do not all pick the same one. */
constexpr double near_factor = 1.15;

/** @return the suspicion after @p strikes in a row. */
milliseconds suspicion(int strikes)
{
    auto const doubled = suspect_first * (1 << std::min(strikes - 1, max_doublings));
    return std::min(doubled, suspect_longest);
}

} // namespace

char const* to_string(attempt_end end)
{
    switch (end) {
    case attempt_end::answered: return "answered";
    case attempt_end::not_executed: return "not_executed";
    case attempt_end::wrong_server: return "wrong_server";
    case attempt_end::not_sent: return "not_sent";
    case attempt_end::lost: return "lost";
    case attempt_end::disconnected: return "disconnected";
    }
    return "unknown";
}

char const* to_string(selection_miss miss)
{
    switch (miss) {
    case selection_miss::none: return "none";
    case selection_miss::no_backend: return "no_backend";
    case selection_miss::away: return "away";
    case selection_miss::evacuated: return "evacuated";
    case selection_miss::cold: return "cold";
    case selection_miss::no_room: return "no_room";
    case selection_miss::no_budget: return "no_budget";
    case selection_miss::no_gain: return "no_gain";
    }
    return "unknown";
}

void backend_load::on_ended(attempt_end end, std::chrono::microseconds took, time_point now)
{
    --m_in_flight;
    bool const ok = end == attempt_end::answered;
    m_failure_rate += failure_rate_weight * ((ok ? 0.0 : 1.0) - m_failure_rate);
    if (ok) {
        double const sample = static_cast<double>(took.count()) / 1000.0;
        m_latency_ms = m_latency_ms == 0 ? sample : m_latency_ms + latency_weight * (sample - m_latency_ms);
        m_sampled_at = now;
        m_strikes = 0;
        m_suspect_until = {};
        return;
    }
    if (end == attempt_end::not_executed) {
        m_suspect_until = std::max(m_suspect_until, now + suspect_shed);
        return;
    }
    ++m_strikes;
    m_suspect_until = std::max(m_suspect_until, now + suspicion(m_strikes));
}

void backend_load::on_cancelled(std::chrono::microseconds ran, time_point now)
{
    --m_in_flight;
    double const sample = static_cast<double>(ran.count()) / 1000.0;
    if (sample <= m_latency_ms) return;
    m_latency_ms += latency_weight * (sample - m_latency_ms);
    m_sampled_at = now;
}

void backend_load::on_stalled(time_point now)
{
    if (suspect(now)) return; // One pause stalls every attempt in flight; it counts once.
    ++m_strikes;
    m_suspect_until = now + suspicion(m_strikes);
}

double backend_load::latency_ms(double usual, time_point now) const
{
    if (m_latency_ms == 0) return usual;
    return usual + (m_latency_ms - usual) * decayed(now - m_sampled_at, forget_half_life);
}

bool backend_registry::outdated(backend_entry const& entry) const
{
    auto const known = m_backends.find(entry.id.value());
    if (known == m_backends.end()) {
        auto const ended = m_ended.find(entry.id.value());
        return ended != m_ended.end() && entry.started < ended->second;
    }
    auto const& last = known->second->entry;
    if (entry.started != last.started) return entry.started < last.started;
    bool const counted = entry.started != start_time();
    return counted && entry.sequence < last.sequence;
}

void backend_registry::retire(std::shared_ptr<backend_server> const& server)
{
    server->gone = true;
    std::erase(group(server->entry.service).backends, server);
}

bool backend_registry::apply(backend_entry const& entry, time_point now)
{
    if (outdated(entry)) return false;
    auto& known = m_backends[entry.id.value()];
    bool const other =
        known != nullptr && (known->entry.started != entry.started || known->entry.service != entry.service);
    if (other) retire(std::exchange(known, nullptr));
    bool const is_new = known == nullptr;
    if (is_new) {
        known = std::make_shared<backend_server>();
        group(entry.service).backends.push_back(known);
    }
    auto& server = *known;
    bool const changed = is_new || server.gone || server.lapsed_until || server.entry.draining != entry.draining;
    server.entry = entry;
    server.where = m_place.to(entry.domain);
    server.place.domain = entry.domain;
    server.place.region = m_place.region_of(entry.domain);
    server.place.id = entry.id.value();
    server.place.cold_until = now + entry.warmup_left;
    server.gone = false;
    server.lapsed_until.reset();
    if (!entry.draining) {
        server.draining_since.reset();
    } else if (!server.draining_since) {
        server.draining_since = now;
    }
    return changed;
}

bool backend_registry::remove(backend_id const& id, time_point now)
{
    auto const found = m_backends.find(id.value());
    if (found == m_backends.end()) return false;
    auto& server = *found->second;
    if (now < m_lapses_until && !server.entry.draining) {
        if (!server.lapsed_until) server.lapsed_until = m_lapses_until;
        return true;
    }
    if (m_ended.insert_or_assign(id.value(), server.entry.started).second) m_ended_order.push_back(id.value());
    if (m_ended_order.size() > ended_kept) {
        m_ended.erase(m_ended_order.front());
        m_ended_order.pop_front();
    }
    retire(found->second);
    m_backends.erase(found);
    return true;
}

std::vector<backend_id> backend_registry::expire(time_point now)
{
    std::vector<backend_id> dropped;
    for (auto const& [id, server] : m_backends) {
        if (server->lapsed_until && *server->lapsed_until <= now) dropped.emplace_back(id);
    }
    for (auto const& id : dropped)
        remove(id, now);
    return dropped;
}

std::size_t backend_registry::cold_count(time_point now) const
{
    auto const cold = [now](auto const& known) { return now < known.second->place.cold_until; };
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

namespace {

/** Whether a backend server may get work. */
enum class usability { normal, last_resort, none };

/** @return whether @p server may get work at @p now. */
usability usable(backend_server const& server, selection_options const& options, time_point now)
{
    if (server.gone) return usability::none;
    if (!server.draining_since) return usability::normal;
    return now < *server.draining_since + options.draining_last_resort ? usability::last_resort : usability::none;
}

/** @return the expected wait at @p server in milliseconds. */
double expected_wait_ms(backend_server const& server, double usual, selection_options const& options, time_point now)
{
    double const slots = std::max(1, server.entry.slots);
    double wait =
        options.by_wait ? server.load.latency_ms(usual, now) * (1.0 + server.load.in_flight() / slots) : usual;
    if (now < server.place.cold_until) wait *= options.cold_factor;
    wait *= 1.0 + options.failure_weight * server.load.failure_rate();
    if (server.where == proximity::other_region) return wait + options.other_region_ms;
    if (server.where == proximity::same_region) return wait + options.other_domain_ms;
    return wait;
}

/** A candidate of a choice. */
struct candidate {
    std::shared_ptr<backend_server> server; ///< Backend server.
    double wait_ms = 0;                     ///< Expected wait.
};

/** @return one of the candidates with nearly the lowest wait; its server is null when there is none. */
candidate pick_near_lowest(std::vector<candidate> const& candidates, std::mt19937_64& random)
{
    if (candidates.empty()) return {};
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

} // namespace

namespace {

/** Why no candidate is left: the rule that will give way first, as callers are told when to come back. */
class miss_reason {
public:
    /** A backend server was left out for a rule on places. */
    void add(place_refusal refusal)
    {
        if (refusal == place_refusal::away && m_miss == selection_miss::no_backend) m_miss = selection_miss::away;
        if (refusal == place_refusal::evacuated && m_miss != selection_miss::cold) m_miss = selection_miss::evacuated;
        if (refusal == place_refusal::cold) m_miss = selection_miss::cold;
    }
    /** @return the reason. */
    selection_miss value() const { return m_miss; }

private:
    selection_miss m_miss = selection_miss::no_backend; ///< So far.
};

} // namespace

selection_miss why_no_work(service_group const& group, selection_scope const& scope, time_point now)
{
    miss_reason reason;
    for (auto const& server : group.backends) {
        if (usable(*server, scope.options, now) == usability::none) continue;
        auto const refused = scope.places.refusal(server->place, scope.asked, now);
        if (refused == place_refusal::none) return selection_miss::none;
        reason.add(refused);
    }
    return reason.value();
}

selection choose_backend(service_group const& group, std::vector<backend_id> const& tried, int room,
                         selection_scope const& scope, std::mt19937_64& random, time_point now)
{
    std::vector<candidate> good;
    std::vector<candidate> suspect;
    std::vector<candidate> leaving;
    bool any = false;
    miss_reason reason;
    for (auto const& server : group.backends) {
        if (std::find(tried.begin(), tried.end(), server->entry.id) != tried.end()) continue;
        auto const use = usable(*server, scope.options, now);
        if (use == usability::none) continue;
        if (auto const refused = scope.places.refusal(server->place, scope.asked, now);
            refused != place_refusal::none) {
            reason.add(refused);
            continue;
        }
        any = true;
        if (server->load.in_flight() >= room) continue;
        candidate const made{server, expected_wait_ms(*server, group.usual_latency_ms, scope.options, now)};
        bool const avoided = scope.options.suspicion && server->load.suspect(now);
        (use == usability::last_resort ? leaving : avoided ? suspect : good).push_back(made);
    }
    for (auto const* group_of : {&good, &suspect, &leaving}) {
        auto const [target, wait_ms] = pick_near_lowest(*group_of, random);
        if (target) return {target, selection_miss::none, group_of != &good, wait_ms};
    }
    return {nullptr, any ? selection_miss::no_room : reason.value(), false, 0};
}

} // namespace cornelspring
