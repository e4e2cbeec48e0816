/** @file modelled_server.hpp Backend server of the emulator, with queue, pauses and faults (internal). */
#pragma once

#include "event_queue.hpp"

#include <cornelspring/emulator.hpp>

namespace cornelspring {

/** @return @p ms milliseconds as a clock duration. */
inline clock::duration from_ms(double ms)
{
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

/** An attempt sent to a modelled backend server. */
struct modelled_attempt {
    double work_ms = 0;                           ///< Processing time.
    std::function<void(attempt_status)> complete; ///< Called with the outcome.
    bool canceled = false;                        ///< Cancelled by the gateway.
    std::function<void()> on_crash;               ///< Set if the request crashes the server; called when it does.
};

/** A backend server with slots, a bounded queue, pauses and faults. */
class modelled_server {
public:
    modelled_server(event_queue& events, emulated_deployment const& deployment, std::mt19937_64& random)
        : m_events(events), m_deployment(deployment), m_random(random)
    {
        schedule_pause();
    }
    /** Handles the arrival of @p attempt: starts, queues or rejects it. */
    void receive(std::shared_ptr<modelled_attempt> attempt)
    {
        if (unresponsive) return;
        if (crashed) {
            attempt->complete(attempt_status::not_sent);
            return;
        }
        if (m_running.size() >= slots() && m_queue.size() >= static_cast<std::size_t>(m_deployment.queue)) {
            attempt->complete(attempt_status::not_executed);
            return;
        }
        m_queue.push_back(std::move(attempt));
        start_queued();
    }
    /** Crashes or restarts the server. A crash disconnects all attempts that it holds. @param now_crashed whether it
     *  crashes. */
    void set_crashed(bool now_crashed)
    {
        crashed = now_crashed;
        if (!crashed) return;
        auto lost = std::exchange(m_queue, {});
        lost.insert(lost.end(), m_running.begin(), m_running.end());
        m_running.clear();
        for (auto const& attempt : lost) {
            if (!attempt->canceled) attempt->complete(attempt_status::disconnected);
        }
    }
    double slowdown = 1;       ///< Factor on the processing time.
    bool unresponsive = false; ///< Drops new attempts and sends no responses.
    bool crashed = false;      ///< Down: refuses connections.

private:
    void schedule_pause()
    {
        if (m_deployment.pause_every_s <= 0) return;
        std::exponential_distribution<double> gap(1.0 / m_deployment.pause_every_s);
        m_events.schedule(m_events.now() + from_ms(gap(m_random) * 1000), [this] {
            m_paused_until = m_events.now() + from_ms(m_deployment.pause_ms);
            m_events.schedule(m_paused_until, [this] {
                start_queued();
                schedule_pause();
            });
        });
    }
    void start_queued()
    {
        while (m_running.size() < slots() && !m_queue.empty() && m_events.now() >= m_paused_until) {
            auto attempt = std::move(m_queue.front());
            m_queue.pop_front();
            if (attempt->canceled) continue;
            m_running.push_back(attempt);
            m_events.schedule(m_events.now() + from_ms(attempt->work_ms * slowdown),
                              [this, attempt] { finish(attempt); });
        }
    }
    void finish(std::shared_ptr<modelled_attempt> const& attempt)
    {
        auto const found = std::find(m_running.begin(), m_running.end(), attempt);
        if (found == m_running.end()) return;  // The server crashed in the meantime.
        if (m_events.now() < m_paused_until) { // A pause also delays running attempts.
            m_events.schedule(m_paused_until, [this, attempt] { finish(attempt); });
            return;
        }
        if (attempt->on_crash) {
            attempt->on_crash();
            set_crashed(true);
            m_events.schedule(m_events.now() + from_ms(m_deployment.down_s * 1000), [this] { set_crashed(false); });
            return;
        }
        m_running.erase(found);
        if (!attempt->canceled && !unresponsive) attempt->complete(attempt_status::answered);
        start_queued();
    }

    std::size_t slots() const { return static_cast<std::size_t>(m_deployment.slots); }

    event_queue& m_events;                                    ///< Event queue with the virtual clock.
    emulated_deployment const& m_deployment;                  ///< Numbers of slots, queue length, pauses.
    std::mt19937_64& m_random;                                ///< Random numbers for the pauses.
    std::deque<std::shared_ptr<modelled_attempt>> m_queue;    ///< Queued attempts.
    std::vector<std::shared_ptr<modelled_attempt>> m_running; ///< Running attempts, in order of their start.
    time_point m_paused_until;                                ///< End of the current or last pause.
};

} // namespace cornelspring
