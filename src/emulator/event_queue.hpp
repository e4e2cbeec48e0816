/** @file event_queue.hpp Virtual time: what is to happen, in its order (internal). */
#pragma once

#include <cornelspring/base.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

namespace cornelspring {

/** Virtual time begins here, so that no time point is near the clock's zero, which means "never". */
inline constexpr time_point epoch{std::chrono::hours(1)};

/** Things that happen later, in order of time, then of their making. */
class event_queue {
public:
    /** Adds @p task. @param when due time. @param task work. */
    void schedule(time_point when, std::function<void()> task) { m_tasks.push({when, m_made++, std::move(task)}); }
    /** Runs everything until @p end. @param end last time. */
    void run_until(time_point end)
    {
        while (!m_tasks.empty() && m_tasks.top().when <= end) {
            auto next = std::move(const_cast<entry&>(m_tasks.top()));
            m_tasks.pop();
            m_now = next.when;
            next.task();
        }
        m_now = std::max(m_now, end);
    }
    /** @return present virtual time. */
    time_point now() const { return m_now; }

private:
    /** One thing. */
    struct entry {
        time_point when;            ///< Due time.
        std::uint64_t made = 0;     ///< Order of making.
        std::function<void()> task; ///< Work.
        /** Later entries sort first, for std::priority_queue. */
        bool operator<(entry const& other) const { return std::tie(when, made) > std::tie(other.when, other.made); }
    };
    std::priority_queue<entry> m_tasks; ///< What is to come.
    std::uint64_t m_made = 0;           ///< Entries made.
    time_point m_now = epoch;           ///< Present.
};

} // namespace cornelspring
