/** @file quota_keeper.cpp The accounts that this VM keeps. */
#include <cornelspring/quota.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Accounts without requests for this many windows are dropped. */
constexpr int idle_windows = 6;
/** Time after which to ask again for a customer that this VM's configuration does not have; it learns it until then. */
constexpr std::chrono::milliseconds unknown_wait{250};

/** @return the time after which no token granted before is in a window any more. */
clock::duration forget_time(quota_tolerance const& tolerance) { return tolerance.window + tolerance.token_lifetime(); }

} // namespace

char const* to_string(quota_keeper::move how)
{
    switch (how) {
    case quota_keeper::move::taken_over: return "taken_over";
    case quota_keeper::move::handed_over: return "handed_over";
    case quota_keeper::move::given_up: return "given_up";
    }
    return "unknown";
}

quota_keeper::quota_keeper(std::string self, quota_tolerance const& tolerance, moved_hook on_moved)
    : m_tolerance(tolerance), m_authority(std::move(self), forget_time(tolerance), tolerance.takeover),
      m_on_moved(std::move(on_moved))
{
}

void quota_keeper::on_moved(quota_part const& part, move how)
{
    ++(how == move::given_up ? m_counters.handovers : m_counters.takeovers);
    if (m_on_moved) m_on_moved(part, how);
}

token_account& quota_keeper::account_of(quota_part const& part, account_limits const& limits,
                                        keeper_standing const& standing, time_point now)
{
    auto const found = m_accounts.find(part);
    if (found != m_accounts.end() && found->second.since == standing.since) {
        found->second.account.refill(limits, now);
        return found->second.account;
    }
    // Before that time, tokens of the former keeper may be in the window: what it may have granted counts as granted.
    bool const full = now - standing.alone_since >= forget_time(m_tolerance);
    token_account opened(full ? limits.size : 0, limits.size, m_tolerance, full ? now : standing.alone_since);
    opened.refill(limits, now);
    auto& kept = m_accounts.insert_or_assign(part, kept_account{standing.since, std::move(opened)}).first->second;
    if (!full) on_moved(part, move::taken_over);
    return kept.account;
}

quota_grant quota_keeper::serve(quota_request const& request, std::optional<quota_limit> const& limit, time_point now)
{
    quota_grant response{request.of, 0, unknown_wait, true};
    if (!limit) return response;
    response = {request.of, request.waiting, std::chrono::milliseconds(0), false};
    if (limit->unlimited()) return response;
    response.granted = 0;
    auto const standing = m_authority.standing(subject_of(request.of), now);
    if (standing.is != keeper_standing::kind::acting) {
        response.none_for = standing.wait;
        response.unavailable = true;
        return response;
    }
    auto const limits = limits_of_part(*limit, m_tolerance);
    auto& account = account_of(request.of, limits, standing, now);
    m_counters.returned += account.credit(request.returned, limits);
    response.granted = account.grant(request.waiting, now);
    if (response.granted < request.waiting) {
        m_counters.refused += request.waiting - response.granted;
        response.none_for = account.time_to_token(limits);
    }
    // Spare tokens may expire unused, so they are granted from the upper half of the bucket only.
    auto const spare = std::clamp(static_cast<int>(account.level() - limits.size / 2), 0, request.spare);
    response.granted += account.grant(spare, now);
    m_counters.granted += response.granted;
    return response;
}

std::map<std::string, std::vector<quota_part>>
quota_keeper::handovers_to_request(std::vector<customer_name> const& customers, time_point now)
{
    std::map<std::string, std::vector<quota_part>> by_former;
    for (auto const& name : customers) {
        for (int number = 0; number < quota_part_count; ++number) {
            quota_part const part{name, number};
            auto const former = m_authority.former_keeper(subject_of(part), now);
            if (!former.empty()) by_former[former].push_back(part);
        }
    }
    return by_former;
}

std::optional<handed_account> quota_keeper::hand_over(quota_part const& part, quota_limit const& limit,
                                                      std::string const& keeper, bool newer, time_point now)
{
    if (limit.unlimited()) return std::nullopt;
    auto const standing = m_authority.give_up(subject_of(part), keeper, newer, now);
    if (!standing) return std::nullopt;
    auto const level = account_of(part, limits_of_part(limit, m_tolerance), *standing, now).level();
    m_accounts.erase(part);
    on_moved(part, move::given_up);
    return handed_account{part, level};
}

void quota_keeper::on_handed_over(handed_account const& account, quota_limit const& limit, time_point asked_at,
                                  time_point now)
{
    auto const subject = subject_of(account.of);
    auto const since = m_authority.standing(subject, now).since;
    if (since > asked_at || !m_authority.on_handed_over(subject, since, now)) return;
    auto const size = limits_of_part(limit, m_tolerance).size;
    token_account opened(std::clamp(account.level, 0.0, size), size, m_tolerance, now);
    m_accounts.insert_or_assign(account.of, kept_account{since, std::move(opened)});
    on_moved(account.of, move::handed_over);
}

void quota_keeper::drop_idle(time_point now)
{
    auto const idle = m_tolerance.window * idle_windows;
    std::erase_if(m_accounts, [&](auto const& each) { return each.second.account.updated_at() + idle < now; });
    m_authority.drop_idle(idle, now);
}

} // namespace cornelspring
