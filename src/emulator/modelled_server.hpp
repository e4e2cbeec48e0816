/** @file modelled_server.hpp A backend server of the emulator: slots, queue, pauses, faults (internal). */
#pragma once

#include "event_queue.hpp"

#include <cornelspring/emulator.hpp>

namespace cornelspring {

/** @return @p ms as a duration of the clock. */
inline clock::duration from_ms(double ms)
{
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

/** An attempt at a modelled backend server. */
struct job {
    double work_ms = 0;                       ///< Work.
    std::function<void(attempt_status)> done; ///< Receives the end.
    bool cancelled = false;                   ///< Given up by the gateway.
    std::function<void()> crashes;            ///< Set for work that crashes its server: told when it does.
};

/** A backend server: slots, queue, pauses, faults. */
class modelled_server {
public:
    modelled_server(event_queue& todo, emulated_deployment const& deployment, std::mt19937_64& random)
        : m_todo(todo), m_deployment(deployment), m_random(random)
    {
        plan_pause();
    }
    /** A request arrives. */
    void arrive(std::shared_ptr<job> work)
    {
        if (dark) return;
        if (crashed) {
            work->done(attempt_status::not_sent);
            return;
        }
        if (m_at_work.size() >= slots() && m_queue.size() >= static_cast<std::size_t>(m_deployment.queue)) {
            work->done(attempt_status::not_executed);
            return;
        }
        m_queue.push_back(std::move(work));
        start_some();
    }
    /** It crashes or is back: what it had is lost. @param now_crashed whether it crashes. */
    void crash(bool now_crashed)
    {
        crashed = now_crashed;
        if (!crashed) return;
        auto lost = std::exchange(m_queue, {});
        lost.insert(lost.end(), m_at_work.begin(), m_at_work.end());
        m_at_work.clear();
        for (auto const& work : lost) {
            if (!work->cancelled) work->done(attempt_status::disconnected);
        }
    }
    double slowdown = 1;  ///< Factor on the work.
    bool dark = false;    ///< Neither answers nor works.
    bool crashed = false; ///< Refuses connections.

private:
    void plan_pause()
    {
        if (m_deployment.pause_every_s <= 0) return;
        std::exponential_distribution<double> gap(1.0 / m_deployment.pause_every_s);
        m_todo.schedule(m_todo.now() + from_ms(gap(m_random) * 1000), [this] {
            m_paused_until = m_todo.now() + from_ms(m_deployment.pause_ms);
            m_todo.schedule(m_paused_until, [this] {
                start_some();
                plan_pause();
            });
        });
    }
    void start_some()
    {
        while (m_at_work.size() < slots() && !m_queue.empty() && m_todo.now() >= m_paused_until) {
            auto work = std::move(m_queue.front());
            m_queue.pop_front();
            if (work->cancelled) continue;
            m_at_work.push_back(work);
            m_todo.schedule(m_todo.now() + from_ms(work->work_ms * slowdown), [this, work] { finish(work); });
        }
    }
    void finish(std::shared_ptr<job> const& work)
    {
        auto const found = std::find(m_at_work.begin(), m_at_work.end(), work);
        if (found == m_at_work.end()) return; // The server has crashed meanwhile.
        if (m_todo.now() < m_paused_until) {  // A pause holds up what runs, too.
            m_todo.schedule(m_paused_until, [this, work] { finish(work); });
            return;
        }
        if (work->crashes) {
            work->crashes();
            crash(true);
            m_todo.schedule(m_todo.now() + from_ms(m_deployment.down_s * 1000), [this] { crash(false); });
            return;
        }
        m_at_work.erase(found);
        if (!work->cancelled && !dark) work->done(attempt_status::answered);
        start_some();
    }

    std::size_t slots() const { return static_cast<std::size_t>(m_deployment.slots); }

    event_queue& m_todo;                         ///< Time.
    emulated_deployment const& m_deployment;     ///< Sizes.
    std::mt19937_64& m_random;                   ///< Pauses.
    std::deque<std::shared_ptr<job>> m_queue;    ///< Waiting.
    std::vector<std::shared_ptr<job>> m_at_work; ///< At work, in order of their beginning.
    time_point m_paused_until;                   ///< Pause.
};

} // namespace cornelspring
