/** @file quota_calls.cpp Calls between gateways about the quotas of customers. */
#include "quota_calls.hpp"

#include <cornelspring/protocol.hpp>

#include <algorithm>
#include <ctime>

namespace cornelspring {
namespace {

/** Longest wait for the response to a call; requests may wait for it. A round trip between regions takes a tenth. */
constexpr milliseconds call_timeout{250};
/** A gateway that did not respond is not asked for this time: its registration lapses within it if it is down. */
constexpr milliseconds avoid_period{3000};
/** Time between removals of idle state. */
constexpr milliseconds drop_interval{1000};
/** Added to the distance of a gateway with a call in flight, so that a free one is preferred. */
constexpr int busy_distance = 100;
/** Tokens are dropped after a suspension of this length. */
constexpr milliseconds max_suspension{10};

/** @return the present time on the clock that counts suspended time. It is read for each decision on authority: the
 * time of the event loop may be older than a pause within the current pass. */
time_point boot_now()
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

} // namespace

quota_calls::quota_calls(event_loop& loop, std::string self, quota_usage& usage, quota_tolerance const& tolerance,
                         hooks outside)
    : m_loop(loop), m_self(std::move(self)), m_usage(usage), m_hooks(std::move(outside)),
      m_keeper(m_self, tolerance, m_hooks.on_moved)
{
    step();
}

void quota_calls::step()
{
    m_loop.run_at(m_loop.now() + keeper_authority::observe_interval, [this] { step(); });
    observe();
    request_handovers();
    std::map<std::string, std::vector<quota_request>> returns;
    for (auto const& each : m_usage.start_returns(m_loop.now()))
        returns[keepers_of(each.of.name).at(each.of.number)].push_back(each);
    for (auto const& [key, requests] : returns)
        send(key, requests);
    if (m_loop.now() < m_dropped_at + drop_interval) return;
    m_dropped_at = m_loop.now();
    m_usage.drop_idle(m_loop.now());
    m_keeper.drop_idle(boot_now());
}

void quota_calls::observe()
{
    auto const now = boot_now();
    auto const suspended = now - clock::now();
    if (m_suspended && suspended > *m_suspended + max_suspension) m_usage.drop_tokens();
    m_suspended = suspended;
    // The age is as of the event loop's time.
    auto const late = std::chrono::ceil<milliseconds>(clock::now() - m_loop.now());
    auto const age = m_hooks.state_age();
    m_keeper.authority().observe(age < milliseconds(0) ? age : age + late, now);
}

void quota_calls::on_members(std::set<std::string> const& active, std::uint64_t fingerprint)
{
    if (fingerprint == m_fingerprint) return;
    m_fingerprint = fingerprint;
    observe();
    m_keeper.authority().on_members(active, fingerprint, boot_now());
    m_active = active;
    m_keepers.clear();
    m_usage.on_keepers_changed();
    std::erase_if(m_peers, [&](auto const& each) {
        return !each.second.in_flight && !each.second.handover_in_flight && !active.contains(each.first);
    });
    request_handovers();
}

std::optional<quota_limit> quota_calls::limit_of(customer_name const& name) const
{
    auto const* customers = m_hooks.customers();
    auto const* found = customers == nullptr ? nullptr : customers->find(name);
    return found == nullptr ? std::nullopt : std::optional(found->quota);
}

// ---- Requests for tokens ----

std::array<std::string, quota_part_count> const& quota_calls::keepers_of(customer_name const& name)
{
    auto const [found, is_new] = m_keepers.try_emplace(name.value());
    for (int number = 0; is_new && number < quota_part_count; ++number) {
        auto const* keeper = rendezvous_first(subject_of({name, number}), m_active);
        if (keeper != nullptr) found->second.at(number) = *keeper;
    }
    return found->second;
}

std::string quota_calls::account_of(customer_name const& name)
{
    std::string keepers;
    for (auto const& key : keepers_of(name)) {
        if (!key.empty()) keepers += (keepers.empty() ? "" : " ") + key;
    }
    return keepers;
}

int quota_calls::distance_to(std::string const& key) const
{
    if (key == m_self) return 0;
    auto const& members = m_hooks.members();
    auto const here = members.find(m_self);
    auto const there = members.find(key);
    if (here == members.end() || there == members.end()) return 3;
    if (here->second.domain == there->second.domain) return 1;
    return here->second.region == there->second.region ? 2 : 3;
}

keeper_routes quota_calls::routes_to(customer_name const& name)
{
    keeper_routes routes;
    auto const& keepers = keepers_of(name);
    // Of two keepers at the same distance, each VM prefers another one.
    auto const favoured = std::hash<std::string>()(m_self + name.value()) % quota_part_count;
    for (std::size_t number = 0; number < keepers.size(); ++number) {
        auto const& key = keepers.at(number);
        if (key.empty() || (key != m_self && !m_hooks.members().contains(key))) continue;
        auto const found = m_peers.find(key);
        routes.at(number).usable_at = found == m_peers.end() ? time_point{} : found->second.avoid_until;
        bool const busy = found != m_peers.end() && found->second.in_flight;
        routes.at(number).distance = 2 * distance_to(key) + (number == favoured ? 0 : 1) + (busy ? busy_distance : 0);
    }
    return routes;
}

void quota_calls::send_requests()
{
    std::map<std::string, std::vector<quota_request>> by_keeper;
    for (auto const& name : m_usage.to_ask()) {
        auto const routes = routes_to(name);
        auto const& keepers = keepers_of(name);
        if (auto const request = m_usage.start_request(name, routes, m_loop.now())) {
            by_keeper[keepers.at(request->of.number)].push_back(*request);
        } else {
            m_hooks.on_decided(name);
        }
    }
    for (auto const& [key, requests] : by_keeper)
        send(key, requests);
    // This VM's own response may have left requests for the other keeper.
    if (by_keeper.contains(m_self)) send_requests();
}

void quota_calls::send(std::string const& key, std::vector<quota_request> const& requests)
{
    auto const sent_at = m_loop.now();
    if (key == m_self) {
        for (auto const& each : requests)
            apply(m_keeper.serve(each, limit_of(each.of.name), boot_now()), sent_at);
        return;
    }
    auto const member = m_hooks.members().find(key);
    auto& to = m_peers[key];
    if (member == m_hooks.members().end() || to.in_flight) {
        for (auto const& each : requests)
            m_usage.on_request_failed(each.of.name); // Goes into the next call.
        return;
    }
    if (!to.channel) to.channel = std::make_unique<store_channel>(m_loop);
    to.in_flight = true;
    to.channel->call(
        member->second.peer_address, json_post(peer_paths::quota, encode_quota_message({requests, {}})), call_timeout,
        [this, key, requests, sent_at](exchange_result const& result) { on_result(key, requests, sent_at, result); });
}

void quota_calls::on_result(std::string const& key, std::vector<quota_request> const& requests, time_point sent_at,
                            exchange_result const& result)
{
    auto& from = m_peers[key];
    from.in_flight = false;
    std::set<quota_part> open;
    for (auto const& each : requests)
        open.insert(each.of);
    char const* reason = result.completed ? "refused" : result.detail;
    if (result.completed && result.response.status == 200) {
        try {
            for (auto const& grant : decode_quota_reply(result.response.body).grants)
                if (open.erase(grant.of) > 0) apply(grant, sent_at);
        } catch (error const&) {
            reason = "malformed answer"; // Logged by on_failed.
        }
    }
    if (!open.empty()) {
        from.avoid_until = m_loop.now() + avoid_period;
        m_hooks.on_failed(key, reason);
    }
    for (auto const& part : open)
        m_usage.on_request_failed(part.name);
    send_requests();
}

void quota_calls::apply(quota_grant const& grant, time_point sent_at)
{
    m_usage.on_grant(grant, sent_at, m_loop.now());
    m_hooks.on_decided(grant.of.name);
}

http_response quota_calls::handle_call(http_request const& request)
{
    auto const message = decode_quota_message(request.body);
    observe();
    auto const now = boot_now();
    quota_reply reply;
    for (auto const& each : message.requests)
        reply.grants.push_back(m_keeper.serve(each, limit_of(each.of.name), now));
    reply.accounts = hand_over(message.handover, now);
    return json_response(200, encode_quota_reply(reply));
}

// ---- Handover of accounts ----

void quota_calls::request_handovers()
{
    auto const* customers = m_hooks.customers();
    if (customers == nullptr || !m_keeper.authority().take_changed()) return;
    std::vector<customer_name> limited;
    for (auto const& each : customers->all())
        if (!each.quota.unlimited()) limited.push_back(each.name);
    auto const asked_at = boot_now();
    for (auto const& [key, parts] : m_keeper.handovers_to_request(limited, asked_at)) {
        auto const member = m_hooks.members().find(key);
        if (member == m_hooks.members().end()) continue; // It has left; the accounts are taken over later.
        auto& to = m_peers[key];
        to.handover_in_flight = true;
        if (!to.handover_channel) to.handover_channel = std::make_unique<store_channel>(m_loop);
        auto const body = encode_quota_message({{}, {m_self, m_hooks.position().to_string(), parts}});
        to.handover_channel->call(
            member->second.peer_address, json_post(peer_paths::quota, body), call_timeout,
            [this, key = key, asked_at](exchange_result const& result) { on_handover_result(key, asked_at, result); });
    }
}

void quota_calls::on_handover_result(std::string const& key, time_point asked_at, exchange_result const& result)
{
    m_peers[key].handover_in_flight = false;
    if (!result.completed || result.response.status != 200) return; // The accounts are taken over later.
    observe();
    try {
        for (auto const& each : decode_quota_reply(result.response.body).accounts)
            if (auto const limit = limit_of(each.of.name)) m_keeper.on_handed_over(each, *limit, asked_at, boot_now());
    } catch (error const& failure) {
        m_hooks.on_failed(key, failure.what());
    }
}

std::vector<handed_account> quota_calls::hand_over(handover_request const& request, time_point now)
{
    std::vector<handed_account> accounts;
    auto const position = parse_position(request.position);
    bool const newer = position && *position > m_hooks.position();
    for (auto const& part : request.parts) {
        auto const limit = limit_of(part.name);
        if (!limit) continue;
        if (auto const account = m_keeper.hand_over(part, *limit, request.keeper, newer, now))
            accounts.push_back(*account);
    }
    return accounts;
}

quota_counters quota_calls::counters() const
{
    auto numbers = m_keeper.counters();
    numbers.expired = m_usage.expired();
    return numbers;
}

} // namespace cornelspring
