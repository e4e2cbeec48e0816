/** @file quota_usage.cpp Use of quotas by this VM. */
#include <cornelspring/quota.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelspring {
namespace {

/** Tokens are returned when they are valid for this time only; a round trip between regions takes a tenth. */
constexpr std::chrono::milliseconds return_margin{250};
/** Least time that is stated to callers when no keeper can be asked. */
constexpr std::chrono::milliseconds min_isolated_wait{250};
/** Keepers are tried again after this time, as they may have changed. */
constexpr std::chrono::milliseconds max_isolated_wait{1000};
/** Part of the requests expected within the lifetime of a token for which spare tokens are asked: of more, some would
 *  expire unused. */
constexpr double spare_share = 0.25;
/** Most spare tokens of one request. */
constexpr int max_spare = 20;
/** State of a customer is dropped after this time without requests. */
constexpr std::chrono::seconds idle_period{30};

} // namespace

void quota_usage::expire(usage& state, time_point now)
{
    while (!state.tokens.empty() && state.tokens.front().valid_until <= now) {
        m_expired += state.tokens.front().count;
        state.tokens.pop_front();
    }
}

quota_decision quota_usage::take(customer const& of, time_point now)
{
    if (of.quota.unlimited()) return {};
    auto& state = m_customers[of.name.value()];
    state.recent = state.recent * std::exp(-std::chrono::duration<double>(now - state.used_at).count()) + 1;
    state.used_at = now;
    expire(state, now);
    if (!state.tokens.empty()) {
        auto& oldest = state.tokens.front();
        state.last_taken = batch{oldest.part, 1, oldest.valid_until, oldest.returnable};
        if (--oldest.count == 0) state.tokens.pop_front();
        return {};
    }
    if (now < state.blocked_until) {
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(state.blocked_until - now);
        auto const wait = state.isolated ? std::max(left, min_isolated_wait) : left;
        return {quota_decision::kind::rejected, wait, state.isolated};
    }
    ++state.waiting;
    m_due.insert(of.name.value());
    return {quota_decision::kind::waiting, {}, false};
}

void quota_usage::give_back(customer_name const& name, time_point now)
{
    auto const found = m_customers.find(name.value());
    if (found == m_customers.end()) return;
    auto const token = std::exchange(found->second.last_taken, std::nullopt);
    if (token && token->valid_until > now) found->second.tokens.push_front(*token);
}

void quota_usage::stop_waiting(customer_name const& name)
{
    auto const found = m_customers.find(name.value());
    if (found != m_customers.end() && found->second.waiting > 0) --found->second.waiting;
}

std::vector<customer_name> quota_usage::to_ask() const
{
    std::vector<customer_name> due;
    for (auto const& name : m_due) {
        auto const& state = m_customers.at(name);
        if (!state.asking && state.waiting > 0) due.emplace_back(name);
    }
    return due;
}

int quota_usage::spare_tokens(usage const& state) const
{
    auto const expected = state.recent * std::chrono::duration<double>(m_lifetime).count();
    return std::min(static_cast<int>(expected * spare_share), max_spare);
}

std::optional<quota_request> quota_usage::start_request(customer_name const& name, keeper_routes const& routes,
                                                        time_point now)
{
    auto& state = m_customers.at(name.value());
    m_due.erase(name.value());
    std::optional<int> chosen;
    auto next_at = time_point::max();
    bool isolated = true;
    for (int part = 0; part < quota_part_count; ++part) {
        auto const usable_at = std::max(routes[part].usable_at, state.none_until[part]);
        next_at = std::min(next_at, usable_at);
        // A keeper that may grant and has no token left is in contact.
        isolated = isolated && (state.unavailable[part] || routes[part].usable_at > now);
        if (usable_at <= now && (!chosen || routes[part].distance < routes[*chosen].distance)) chosen = part;
    }
    if (chosen) {
        state.asking = true;
        return quota_request{{name, *chosen}, state.waiting, spare_tokens(state), 0};
    }
    state.waiting = 0; // Those that wait are decided again.
    state.isolated = isolated;
    state.blocked_until = isolated ? std::min(next_at, now + max_isolated_wait) : next_at;
    return std::nullopt;
}

std::vector<quota_request> quota_usage::start_returns(time_point now)
{
    std::vector<quota_request> returns;
    for (auto& [name, state] : m_customers) {
        expire(state, now);
        if (state.asking || state.tokens.empty()) continue;
        auto const oldest = state.tokens.front();
        if (oldest.valid_until > now + return_margin || !oldest.returnable) continue;
        state.tokens.pop_front();
        state.asking = true;
        returns.push_back({{customer_name(name), oldest.part}, 0, 0, oldest.count});
    }
    return returns;
}

void quota_usage::on_grant(quota_grant const& grant, time_point sent_at, time_point now)
{
    auto const found = m_customers.find(grant.of.name.value());
    if (found == m_customers.end()) return;
    auto& state = found->second;
    state.asking = false;
    state.waiting = 0; // Those that wait are decided again.
    bool const returnable = !std::exchange(state.keepers_changed, false);
    if (grant.granted > 0) state.tokens.push_back({grant.of.number, grant.granted, sent_at + m_lifetime, returnable});
    state.none_until.at(grant.of.number) = grant.none_for.count() > 0 ? now + grant.none_for : time_point{};
    state.unavailable.at(grant.of.number) = grant.unavailable;
}

void quota_usage::on_request_failed(customer_name const& name)
{
    auto const found = m_customers.find(name.value());
    if (found == m_customers.end()) return;
    found->second.asking = false;
    m_due.insert(name.value());
}

void quota_usage::on_keepers_changed()
{
    for (auto& [name, state] : m_customers) {
        state.none_until = {};
        state.unavailable = {};
        state.blocked_until = {};
        // Another keeper would credit a returned token in place of one that it granted itself.
        state.keepers_changed = state.asking;
        for (auto& each : state.tokens)
            each.returnable = false;
    }
}

void quota_usage::drop_tokens()
{
    for (auto& [name, state] : m_customers) {
        for (auto const& each : state.tokens)
            m_expired += each.count;
        state.tokens.clear();
        state.last_taken.reset();
    }
}

void quota_usage::drop_idle(time_point now)
{
    std::erase_if(m_due, [this](auto const& name) { return m_customers.at(name).waiting == 0; });
    std::erase_if(m_customers, [this, now](auto const& each) {
        auto const& state = each.second;
        return !m_due.contains(each.first) && !state.asking && state.waiting == 0 && state.used_at + idle_period < now;
    });
}

} // namespace cornelspring
