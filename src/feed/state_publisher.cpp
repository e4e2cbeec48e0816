/** @file state_publisher.cpp What the gateways that follow this one are told. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest a follower may wait for changes. */
constexpr milliseconds longest_wait{5000};
/** Age before the first copy. */
constexpr milliseconds never{-1};
/** Status while there is no copy, no source, or when the follower itself is the source. */
constexpr int status_unavailable = 503;
/** Status when the follower must read everything anew. */
constexpr int status_gone = 410;

} // namespace

milliseconds state_publisher::age() const
{
    if (!m_source) return never;
    return std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_confirmed_at);
}

follower_answer state_publisher::dated(store_batch batch) const
{
    batch.age = age();
    batch.path = m_path;
    return {200, std::move(batch)};
}

follower_answer state_publisher::changes_after(std::int64_t revision) const
{
    auto changes = m_mirror.changes_after(revision);
    return changes ? dated(std::move(*changes)) : follower_answer{status_gone, {}};
}

follower_answer state_publisher::unchanged() const { return dated({{}, m_mirror.as_of(), {}, {}, {}}); }

void state_publisher::ask(request_key key, follower_question const& asked)
{
    bool const feeds_this = std::find(m_path.begin(), m_path.end(), asked.from) != m_path.end();
    bool const lost = m_searching && asked.question == feed_question::freshness;
    if (!m_source || feeds_this || lost) {
        m_hooks.answer({key}, {status_unavailable, {}});
        return;
    }
    if (asked.question == feed_question::freshness) {
        m_hooks.answer({key}, unchanged());
        return;
    }
    if (asked.question == feed_question::read) {
        m_hooks.answer({key}, dated(m_mirror.page_after(asked.after)));
        return;
    }
    auto changes = changes_after(asked.after);
    if (changes.status == status_gone || !changes.batch.items.empty()) {
        m_hooks.answer({key}, std::move(changes));
        return;
    }
    m_watches[asked.after].push_back(key);
    m_hooks.run_at(m_hooks.now() + std::min(asked.wait, longest_wait), [this, key] {
        if (forget(key)) m_hooks.answer({key}, unchanged());
    });
}

bool state_publisher::forget(request_key key)
{
    return std::any_of(m_watches.begin(), m_watches.end(),
                       [key](auto& each) { return std::erase(each.second, key) > 0; });
}

void state_publisher::on_confirmed(feed_source const& source, time_point confirmed_at, std::vector<std::string> path)
{
    m_source = source;
    m_path = std::move(path);
    m_confirmed_at = confirmed_at;
    for (auto const& [after, keys] : std::exchange(m_watches, {}))
        m_hooks.answer(keys, changes_after(after));
}

} // namespace cornelspring
