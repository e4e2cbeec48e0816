/** @file backend_tracker.cpp Observations of the backend servers, and the replica policies based on them. */
#include <cornelspring/coordination.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Replicas whose expected wait is at most this many times the lowest are treated as equal. */
constexpr double wait_tolerance = 1.3;
/** Maximum number of times that the ejection time is doubled. */
constexpr int max_eject_doublings = 10;
/** HTTP status of a backend server that does not hold the shard at the pinned version. */
constexpr int status_not_held = 409;
/** HTTP status of a backend server that sheds load or is draining. */
constexpr int status_unavailable = 503;

} // namespace

attempt_outcome classify_failure(client_result const& result)
{
    if (result.outcome != send_outcome::answered) return attempt_outcome::failed;
    if (result.response.status == status_not_held) return attempt_outcome::not_held;
    if (result.response.status != status_unavailable) return attempt_outcome::failed;
    return result.response.header(draining_header).empty() ? attempt_outcome::shed : attempt_outcome::draining;
}

bool token_budget::try_consume()
{
    if (m_tokens < 1.0) return false;
    m_tokens -= 1.0;
    return true;
}

void backend_tracker::on_sent(std::string const& name) { ++m_backends[name].in_flight; }

void backend_tracker::on_finished(std::string const& name, attempt_outcome outcome, std::chrono::microseconds elapsed,
                                  time_point now)
{
    auto& observed = m_backends[name];
    observed.in_flight = std::max(0, observed.in_flight - 1);
    switch (outcome) {
    case attempt_outcome::succeeded:
    case attempt_outcome::canceled: {
        auto sample = static_cast<double>(elapsed.count());
        double const weight = m_options.latency_weight;
        // A canceled request only shows that the latency is at least this, so it must not lower the average.
        if (outcome == attempt_outcome::canceled && sample < observed.latency_us) return;
        // A single slow response says little about the next one, several in a row say a lot: the cap limits how
        // far one sample raises the average.
        if (observed.latency_us > 0) sample = std::min(sample, observed.latency_us * m_options.outlier_factor);
        observed.latency_us = observed.latency_us == 0 ? sample : (1 - weight) * observed.latency_us + weight * sample;
        observed.sampled_at = now;
        if (outcome == attempt_outcome::succeeded) observed.failures = 0;
        return;
    }
    case attempt_outcome::not_held: return;
    case attempt_outcome::shed: observed.shed_until = now + m_options.shed_backoff; return;
    case attempt_outcome::draining: observed.drain_until = now + m_options.drain_backoff; return;
    case attempt_outcome::failed: {
        if (++observed.failures < m_options.failures_to_eject) return;
        int const doublings = std::min(observed.failures - m_options.failures_to_eject, max_eject_doublings);
        observed.eject_until = now + std::min(m_options.eject_base * (1 << doublings), m_options.eject_max);
        return;
    }
    }
}

bool backend_tracker::accepts_requests(replica const& target, time_point now) const
{
    if (!m_leaving_addresses.empty() && m_leaving_addresses.count(target.address.to_string()) != 0) return false;
    auto const found = m_backends.find(target.name);
    return found == m_backends.end() || found->second.drain_until <= now;
}

bool backend_tracker::healthy(replica const& target, time_point now) const
{
    auto const found = m_backends.find(target.name);
    return found == m_backends.end() || (found->second.eject_until <= now && found->second.shed_until <= now);
}

double backend_tracker::expected_wait_us(replica const& target, time_point now) const
{
    using std::chrono::microseconds;
    auto const assumed = static_cast<double>(microseconds(m_options.initial_latency).count());
    auto const found = m_backends.find(target.name);
    if (found == m_backends.end()) return assumed;
    auto const& observed = found->second;
    double latency = assumed;
    if (observed.latency_us > 0) {
        // A server with a high average gets no requests and so no new samples. Decay makes it eligible again.
        std::chrono::duration<double> const sample_age = std::max(clock::duration::zero(), now - observed.sampled_at);
        std::chrono::duration<double> const half_life = m_options.latency_half_life;
        latency = observed.latency_us * std::exp2(-sample_age / half_life);
    }
    // A request that finds all slots in use waits for one to become free, so the expected wait grows with the
    // number of requests per slot.
    double const queued = static_cast<double>(observed.in_flight) / std::max(1, target.slots);
    return latency * (1.0 + queued);
}

replica_chooser make_random_chooser(std::uint64_t seed)
{
    auto random = std::make_shared<std::mt19937_64>(seed);
    return [random](std::vector<replica> const& candidates, std::vector<bool> const& tried,
                    time_point) -> std::optional<std::size_t> {
        std::vector<std::size_t> untried;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!tried[i]) untried.push_back(i);
        }
        if (untried.empty()) return std::nullopt;
        return untried[std::uniform_int_distribution<std::size_t>(0, untried.size() - 1)(*random)];
    };
}

replica_chooser make_adaptive_chooser(backend_tracker const& tracker, std::uint64_t seed)
{
    auto random = std::make_shared<std::mt19937_64>(seed);
    return [&tracker, random](std::vector<replica> const& candidates, std::vector<bool> const& tried,
                              time_point now) -> std::optional<std::size_t> {
        std::vector<std::size_t> untried;
        bool any_healthy = false;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (tried[i] || !tracker.accepts_requests(candidates[i], now)) continue;
            untried.push_back(i);
            any_healthy = any_healthy || tracker.healthy(candidates[i], now);
        }
        if (any_healthy) std::erase_if(untried, [&](std::size_t i) { return !tracker.healthy(candidates[i], now); });
        if (untried.empty()) return std::nullopt;
        std::vector<double> waits;
        for (auto i : untried)
            waits.push_back(tracker.expected_wait_us(candidates[i], now));
        double const limit = *std::min_element(waits.begin(), waits.end()) * wait_tolerance;
        // All entry nodes observe the same servers. A random choice among near equals keeps them from all choosing one.
        std::vector<std::size_t> nearly_equal;
        for (std::size_t i = 0; i < untried.size(); ++i) {
            if (waits[i] <= limit) nearly_equal.push_back(untried[i]);
        }
        return nearly_equal[(*random)() % nearly_equal.size()];
    };
}

} // namespace cornelspring
