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
    void schedule(time_point when, std::function<void()> task)
    {
        m_pending.push({when, m_next_sequence++, std::move(task)});
    }
    /** Runs everything until @p end. @param end last time. */
    void run_until(time_point end)
    {
        while (!m_pending.empty() && m_pending.top().when <= end) {
            auto next = std::move(const_cast<event&>(m_pending.top()));
            m_pending.pop();
            m_now = next.when;
            next.task();
        }
        m_now = std::max(m_now, end);
    }
    /** @return present virtual time. */
    time_point now() const { return m_now; }

private:
    /** One thing. */
    struct event {
        time_point when;            ///< Due time.
        std::uint64_t sequence = 0; ///< Order of making.
        std::function<void()> task; ///< Work.
        /** Later entries sort first, for std::priority_queue. */
        bool operator<(event const& other) const
        {
            return std::tie(when, sequence) > std::tie(other.when, other.sequence);
        }
    };
    std::priority_queue<event> m_pending; ///< What is to come.
    std::uint64_t m_next_sequence = 0;    ///< Entries made.
    time_point m_now = epoch;             ///< Present.
};

} // namespace cornelspring
