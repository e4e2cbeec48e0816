/** @file state_publisher.cpp Responses to the gateways that follow this one. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest time that a follower's watch may wait for changes. */
constexpr milliseconds max_watch_wait{5000};
/** Age before the first full read. */
constexpr milliseconds no_age{-1};
/** Share of the link for followers. The rest is for responses to callers and for their requests to backend servers: a
 * VM on a link of 20 Mbit/s that fans queries out to 129 shards uses up to a third of the link for these. */
constexpr double follower_link_share = 0.5;
/** Bytes sent in one part: 50 ms of that share on 20 Mbit/s, so that a request waits behind one part at most. */
constexpr std::size_t max_part_bytes = 64 * 1024;
/** A response older than this is made again before it is sent, because it states the age of the copy. */
constexpr milliseconds response_lifetime{100};
/** How long an encoded page of a full read is sent again. Its reader watches from the oldest of its pages. */
constexpr milliseconds read_page_lifetime{1000};

} // namespace

void state_publisher::set_uplink(double bytes_per_s)
{
    m_follower_uplink = uplink_backlog(follower_link_share * bytes_per_s);
}

milliseconds state_publisher::age() const
{
    if (!m_source) return no_age;
    return std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_confirmed_at);
}

follower_response state_publisher::with_age(store_batch batch) const
{
    batch.age = age();
    batch.path = m_path;
    return {feed_status::ok, std::move(batch), {}};
}

follower_response state_publisher::changes_after(store_position from) const
{
    auto changes = m_mirror.changes_after(from);
    return changes ? with_age(std::move(*changes)) : follower_response{feed_status::gone, {}, {}};
}

follower_response state_publisher::unchanged_response() const
{
    auto response = with_age({{}, m_mirror.as_of(), {}, {}, {}});
    response.body = m_hooks.encode(response.batch);
    return response;
}

void state_publisher::handle_request(request_key key, follower_request const& request)
{
    bool const is_upstream = std::find(m_path.begin(), m_path.end(), request.sender) != m_path.end();
    bool const has_no_source = m_searching && request.kind == feed_call_kind::freshness;
    if (!m_source || is_upstream || has_no_source) {
        m_hooks.respond({key}, {feed_status::unavailable, {}, {}});
        return;
    }
    if (request.kind == feed_call_kind::freshness) {
        m_hooks.respond({key}, unchanged_response());
        return;
    }
    bool const waits = request.kind == feed_call_kind::watch && !m_mirror.has_changes_after(request.after);
    if (!waits) {
        m_pending.push_back({request, {key}, {}, {}});
        send_pending();
        return;
    }
    m_watches[request.after].push_back(key);
    m_hooks.run_at(m_hooks.now() + std::min(request.wait, max_watch_wait), [this, key] {
        // If changes were queued for this watch meanwhile, it gets those instead.
        if (remove_watch(key)) m_hooks.respond({key}, unchanged_response());
    });
}

follower_response const& state_publisher::read_page(store_position from, time_point now)
{
    std::erase_if(m_read_pages, [now](auto const& each) { return each.second.created_at + read_page_lifetime <= now; });
    auto const [found, is_new] = m_read_pages.try_emplace(from);
    auto& page = found->second;
    if (is_new) {
        page.response = with_age(m_mirror.page_after(from));
        page.response.body = m_hooks.encode(page.response.batch);
        page.created_at = now;
    }
    return page.response;
}

void state_publisher::update_response(pending_response& pending, time_point now)
{
    if (pending.request.kind == feed_call_kind::read) {
        pending.response = read_page(pending.request.after, now);
        return;
    }
    if (pending.created_at != time_point{} && now < pending.created_at + response_lifetime) return;
    pending.response = changes_after(pending.request.after);
    if (pending.response.status == feed_status::ok) pending.response.body = m_hooks.encode(pending.response.batch);
    pending.created_at = now;
}

void state_publisher::send_part(pending_response& pending, time_point now)
{
    update_response(pending, now);
    auto const max_keys = max_part_bytes / std::max<std::size_t>(pending.response.body.size(), 1);
    auto const part_end =
        pending.keys.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(max_keys, 1, pending.keys.size()));
    std::vector<request_key> const keys(pending.keys.begin(), part_end);
    pending.keys.erase(pending.keys.begin(), part_end);
    m_follower_uplink.record_sent(pending.response.body.size() * keys.size(), now);
    m_hooks.respond(keys, pending.response);
}

void state_publisher::send_pending()
{
    while (!m_pending.empty()) {
        auto const now = m_hooks.now();
        if (auto const wait = m_follower_uplink.wait(now); wait > clock::duration(0)) {
            if (std::exchange(m_send_scheduled, true)) return;
            m_hooks.run_at(now + wait, [this] {
                m_send_scheduled = false;
                send_pending();
            });
            return;
        }
        send_part(m_pending.front(), now);
        if (m_pending.front().keys.empty()) m_pending.pop_front();
    }
}

bool state_publisher::cancel(request_key key)
{
    for (auto pending = m_pending.begin(); pending != m_pending.end(); ++pending) {
        if (std::erase(pending->keys, key) == 0) continue;
        if (pending->keys.empty()) m_pending.erase(pending);
        return true;
    }
    return remove_watch(key);
}

bool state_publisher::remove_watch(request_key key)
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
        m_pending.push_back({{feed_call_kind::watch, {}, after, milliseconds(0)}, std::move(keys), {}, {}});
    }
    send_pending();
}

} // namespace cornelspring
