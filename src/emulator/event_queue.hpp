/** @file event_queue.hpp Event queue of the simulation, with its virtual clock (internal). */
#pragma once

#include <cornelspring/base.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

namespace cornelspring {

/** Start of virtual time. It is far from the clock's zero because a zero time point means "never". */
inline constexpr time_point epoch{std::chrono::hours(1)};

/** Future events, run in order of due time; events due at the same time run in the order they were scheduled. */
class event_queue {
public:
    /** Schedules an event. @param when due time. @param task function to run. */
    void schedule(time_point when, std::function<void()> task)
    {
        m_pending.push({when, m_next_sequence++, std::move(task)});
    }
    /** Runs all events due until @p end and sets the clock to it. @param end last due time. */
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
    /** @return the current virtual time. */
    time_point now() const { return m_now; }

private:
    /** A scheduled event. */
    struct event {
        time_point when;            ///< Due time.
        std::uint64_t sequence = 0; ///< Position in the order of scheduling.
        std::function<void()> task; ///< Function to run.
        /** Inverted order: std::priority_queue returns its greatest element first. */
        bool operator<(event const& other) const
        {
            return std::tie(when, sequence) > std::tie(other.when, other.sequence);
        }
    };
    std::priority_queue<event> m_pending; ///< Events not yet run.
    std::uint64_t m_next_sequence = 0;    ///< Sequence number of the next event.
    time_point m_now = epoch;             ///< Current virtual time.
};

} // namespace cornelspring
