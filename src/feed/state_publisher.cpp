/** @file state_publisher.cpp What the gateways that follow this one are told. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest a follower may wait for changes. */
constexpr milliseconds longest_wait{5000};
/** Age before the first copy. */
constexpr milliseconds never{-1};
/** Share of the link that followers get. The rest is for callers and their requests at backend servers: a VM on a link
 * of 20 Mbit/s that fans queries out to 129 shards hands out up to a third of it. */
constexpr double link_share = 0.5;
/** Bytes told in one piece: 50 ms of that share on 20 Mbit/s, so that a request waits behind one of them at most. */
constexpr std::size_t piece_bytes = 64 * 1024;
/** An answer is told for so long before it is made anew: it says how old the copy was when it was made. */
constexpr milliseconds answer_lifetime{100};

} // namespace

void state_publisher::set_uplink(double bytes_per_s) { m_share = uplink_backlog(link_share * bytes_per_s); }

milliseconds state_publisher::age() const
{
    if (!m_source) return never;
    return std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_confirmed_at);
}

follower_response state_publisher::dated(store_batch batch) const
{
    batch.age = age();
    batch.path = m_path;
    return {feed_status::ok, std::move(batch), {}};
}

follower_response state_publisher::changes_after(store_position from) const
{
    auto changes = m_mirror.changes_after(from);
    return changes ? dated(std::move(*changes)) : follower_response{feed_status::gone, {}, {}};
}

follower_response state_publisher::unchanged() const
{
    auto answer = dated({{}, m_mirror.as_of(), {}, {}, {}});
    answer.body = m_hooks.encode(answer.batch);
    return answer;
}

void state_publisher::handle_request(request_key key, follower_request const& asked)
{
    bool const feeds_this = std::find(m_path.begin(), m_path.end(), asked.sender) != m_path.end();
    bool const lost = m_searching && asked.kind == feed_call_kind::freshness;
    if (!m_source || feeds_this || lost) {
        m_hooks.respond({key}, {feed_status::unavailable, {}, {}});
        return;
    }
    if (asked.kind == feed_call_kind::freshness) {
        m_hooks.respond({key}, unchanged());
        return;
    }
    bool const waits = asked.kind == feed_call_kind::watch && !m_mirror.has_changes_after(asked.after);
    if (!waits) {
        m_turns.push_back({asked, {key}, {}, {}});
        serve_turns();
        return;
    }
    m_watches[asked.after].push_back(key);
    m_hooks.run_at(m_hooks.now() + std::min(asked.wait, longest_wait), [this, key] {
        // One whose turn has come meanwhile is told what changed.
        if (forget_watch(key)) m_hooks.respond({key}, unchanged());
    });
}

void state_publisher::make_answer(turn& of, time_point now) const
{
    if (of.made_at != time_point{} && now < of.made_at + answer_lifetime) return;
    bool const read = of.asked.kind == feed_call_kind::read;
    of.answer = read ? dated(m_mirror.page_after(of.asked.after)) : changes_after(of.asked.after);
    if (of.answer.status == feed_status::ok) of.answer.body = m_hooks.encode(of.answer.batch);
    of.made_at = now;
}

void state_publisher::tell_piece(turn& of, time_point now)
{
    make_answer(of, now);
    auto const fitting = piece_bytes / std::max<std::size_t>(of.answer.body.size(), 1);
    auto const told =
        of.keys.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(fitting, 1, of.keys.size()));
    std::vector<request_key> const keys(of.keys.begin(), told);
    of.keys.erase(of.keys.begin(), told);
    m_share.on_taken(of.answer.body.size() * keys.size(), now);
    m_hooks.respond(keys, of.answer);
}

void state_publisher::serve_turns()
{
    while (!m_turns.empty()) {
        auto const now = m_hooks.now();
        if (auto const wait = m_share.wait(now); wait > clock::duration(0)) {
            if (std::exchange(m_turn_planned, true)) return;
            m_hooks.run_at(now + wait, [this] {
                m_turn_planned = false;
                serve_turns();
            });
            return;
        }
        tell_piece(m_turns.front(), now);
        if (m_turns.front().keys.empty()) m_turns.pop_front();
    }
}

bool state_publisher::cancel(request_key key)
{
    for (auto turn = m_turns.begin(); turn != m_turns.end(); ++turn) {
        if (std::erase(turn->keys, key) == 0) continue;
        if (turn->keys.empty()) m_turns.erase(turn);
        return true;
    }
    return forget_watch(key);
}

bool state_publisher::forget_watch(request_key key)
{
    return std::any_of(m_watches.begin(), m_watches.end(),
                       [key](auto& each) { return std::erase(each.second, key) > 0; });
}

void state_publisher::on_confirmed(feed_source const& source, time_point confirmed_at, std::vector<std::string> path)
{
    m_source = source;
    m_path = std::move(path);
    m_confirmed_at = confirmed_at;
    for (auto& [after, keys] : std::exchange(m_watches, {})) {
        if (keys.empty()) continue;
        m_turns.push_back({{feed_call_kind::watch, {}, after, milliseconds(0)}, std::move(keys), {}, {}});
    }
    serve_turns();
}

} // namespace cornelspring
