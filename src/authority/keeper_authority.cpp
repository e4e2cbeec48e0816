/** @file keeper_authority.cpp Which VM may act for a subject. */
#include <cornelspring/authority.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Most changes that are remembered; with fewer, terms look shorter than they are. */
constexpr std::size_t max_views = 200;
/** Time after a change within which the former keeper may hand over. */
constexpr std::chrono::milliseconds handover_time{300};
/** Time after which a VM asks again that was told to wait for a handover. */
constexpr std::chrono::milliseconds handover_wait{50};
/** Time after which a VM asks again that was told that this VM may not act. */
constexpr std::chrono::milliseconds max_wait{1000};
/** The same when another VM is the keeper: the copies differ, which lasts shortly. */
constexpr std::chrono::milliseconds other_wait{250};

/** @return whether @p self is the keeper of @p subject. */
bool is_keeper(std::string const& subject, std::set<std::string> const& active, std::string const& self)
{
    auto const* first = rendezvous_first(subject, active);
    return first != nullptr && *first == self;
}

} // namespace

keeper_authority::keeper_authority(std::string self, clock::duration memory, takeover_limits limits)
    : m_self(std::move(self)), m_limits(limits), m_memory(memory + limits.takeover_wait)
{
}

bool keeper_authority::valid(time_point now) const { return !m_lapsed && now - m_confirmed <= m_limits.max_age; }

void keeper_authority::observe(std::chrono::milliseconds age, time_point now)
{
    if (m_observed_at && now - *m_observed_at > max_clock_error) {
        m_lapsed = true;
        m_trusted_from = now + max_clock_error;
    }
    m_observed_at = now;
    auto const confirmed = now - age;
    if (age < std::chrono::milliseconds(0) || age > m_limits.max_age || confirmed < m_trusted_from) {
        // Also without a pause: what was confirmed before counts until it is max_age old, but not beyond.
        if (age < std::chrono::milliseconds(0) || now - m_confirmed > m_limits.max_age) m_lapsed = true;
        return;
    }
    if (confirmed - m_confirmed > m_limits.max_age) m_lapsed = true;
    m_confirmed = std::max(m_confirmed, confirmed);
    if (std::exchange(m_lapsed, false) && m_fingerprint != m_confirmed_fingerprint) start_anew(now);
    m_confirmed_fingerprint = m_fingerprint;
}

void keeper_authority::start_anew(time_point now)
{
    m_terms.clear();
    m_changed = true;
    if (m_views.empty()) return;
    view only{++m_last_view, now, std::move(m_views.back().active), false, {}};
    m_views.clear();
    m_views.push_back(std::move(only));
}

void keeper_authority::on_members(std::set<std::string> const& active, std::uint64_t fingerprint, time_point now)
{
    m_fingerprint = fingerprint;
    if (!m_views.empty() && m_views.back().active == active) return;
    m_views.push_back({++m_last_view, now, active, valid(now), m_confirmed});
    m_changed = true;
    for (auto& [subject, known] : m_terms)
        current_term(subject, known.used_at);
    // The oldest view that is kept started before the time that is remembered.
    while (m_views.size() > max_views || (m_views.size() > 1 && m_views[1].since + m_memory < now))
        m_views.pop_front();
}

bool keeper_authority::may_act(term const& of, time_point confirmed) const
{
    return of.since && (of.handed_over || confirmed >= *of.since + m_limits.takeover_wait);
}

keeper_standing keeper_authority::acting(term const& of) const
{
    auto const alone_since = of.handed_over ? of.handed_over_at : *of.since + m_limits.takeover_wait;
    return {keeper_standing::kind::acting, *of.since, alone_since, of.handed_over, {}};
}

void keeper_authority::apply(std::string const& subject, term& to, view const& change) const
{
    to.view = change.number;
    bool const keeper = is_keeper(subject, change.active, m_self);
    if (keeper && !to.since) {
        to.since = change.since;
        to.handed_over = false;
        to.may_give_up_until = {};
    } else if (!keeper && to.since) {
        if (change.valid_before && may_act(to, change.confirmed_before)) {
            to.last = acting(to);
            to.may_give_up_until = change.confirmed_before + m_limits.max_age;
        }
        to.since.reset();
    }
}

keeper_authority::term& keeper_authority::current_term(std::string const& subject, time_point now)
{
    auto& found = m_terms[subject];
    found.used_at = now;
    for (auto const& change : m_views)
        if (change.number > found.view) apply(subject, found, change);
    return found;
}

keeper_standing keeper_authority::standing(std::string const& subject, time_point now)
{
    auto const& found = current_term(subject, now);
    if (!found.since) return {keeper_standing::kind::other, {}, {}, false, other_wait};
    if (valid(now) && may_act(found, m_confirmed)) return acting(found);
    auto const left = std::chrono::ceil<std::chrono::milliseconds>(*found.since + m_limits.takeover_wait - now);
    auto const wait = now < *found.since + handover_time ? handover_wait : std::clamp(left, other_wait, max_wait);
    return {keeper_standing::kind::waiting, *found.since, {}, false, wait};
}

std::string keeper_authority::former_keeper(std::string const& subject, time_point now)
{
    if (m_views.empty() || !current_term(subject, now).since) return {};
    auto const& last = m_views.back();
    if (current_term(subject, now).since != last.since) return {};
    auto others = m_views.size() > 1 ? m_views[m_views.size() - 2].active : last.active;
    others.erase(m_self);
    auto const* former = rendezvous_first(subject, others);
    return former == nullptr ? std::string() : *former;
}

std::optional<keeper_standing> keeper_authority::give_up(std::string const& subject, std::string const& keeper,
                                                         bool newer, time_point now)
{
    auto& found = current_term(subject, now);
    if (found.since) {
        if (!newer || !valid(now) || !may_act(found, m_confirmed)) return std::nullopt;
        auto const before = acting(found);
        // If this VM misses the term of the other one, that term was shorter than max_age, and its copy may count for
        // another max_age.
        found.since = now + m_limits.max_age;
        found.handed_over = false;
        return before;
    }
    bool const known = !m_views.empty() && is_keeper(subject, m_views.back().active, keeper);
    if (now >= found.may_give_up_until || (!known && !newer)) return std::nullopt;
    found.may_give_up_until = {};
    return found.last;
}

bool keeper_authority::on_handed_over(std::string const& subject, time_point since, time_point now)
{
    auto& found = current_term(subject, now);
    if (!found.since || *found.since != since || found.handed_over || !valid(now)) return false;
    found.handed_over = true;
    found.handed_over_at = now;
    return true;
}

void keeper_authority::drop_idle(clock::duration idle, time_point now)
{
    std::erase_if(m_terms, [&](auto const& each) { return each.second.used_at + idle < now; });
}

} // namespace cornelspring
