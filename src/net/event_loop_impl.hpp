/** @file event_loop_impl.hpp Implementation classes of the event loop (internal). */
#pragma once

#include <cornelspring/net.hpp>

#include <map>
#include <unordered_map>

#include <libwebsockets.h>

namespace cornelspring {

/** A descriptor registered with libwebsockets in the raw-file role; libwebsockets polls and closes it. */
struct descriptor_watch {
    int fd = -1;                            ///< The descriptor; closed by libwebsockets.
    bool closing = false;                   ///< close() was called.
    bool on_writable_running = false;       ///< The on_writable callback is running.
    bool write_wanted = false;              ///< want_write() was called while on_writable was running.
    lws* wsi = nullptr;                     ///< Handle of libwebsockets; null once closed.
    event_loop::impl* loop = nullptr;       ///< The event loop.
    std::shared_ptr<descriptor_watch> self; ///< Keeps this alive while libwebsockets has a pointer to it.
    std::function<void()> on_readable;      ///< Called when bytes can be read or the connection ended.
    std::function<void()> on_writable;      ///< Called once when writable after want_write().
    std::function<void()> on_removed;       ///< Called when libwebsockets closed it (hang-up, no unread bytes).
    /** Requests one call of on_writable. */
    void want_write();
    /**
     * Handles a writable descriptor. libwebsockets drops a write request made during this callback, so a want_write()
     * from on_writable is repeated afterwards. Without that, bytes that a socket did not accept in two writes were
     * never sent (those beyond 128 KB where it accepts 64 KB at a time).
     */
    void writable();
    /** Closes the descriptor asynchronously; no callback is called after this. */
    void close();
};

/** Implementation of the event loop. */
struct event_loop::impl {
    /** A libwebsockets timer with a pointer to its event loop. */
    struct wakeup_timer {
        lws_sorted_usec_list_t list{}; ///< Entry in the timer list of libwebsockets.
        impl* owner = nullptr;         ///< The event loop.
    };
    lws_context* context = nullptr;            ///< libwebsockets context.
    lws_vhost* vhost = nullptr;                ///< Its only virtual host.
    wakeup_timer wakeup;                       ///< Expires when the earliest timer is due.
    time_point now;                            ///< Start of the current callback.
    time_point wakeup_at = time_point::max();  ///< When `wakeup` expires; max: not scheduled.
    time_point pass_started_at;                ///< First descriptor callback of this pass; epoch: none yet.
    clock::duration timers_duration{0};        ///< Time spent in timers of this pass, before descriptors are polled.
    clock::duration previous_pass_duration{0}; ///< Time spent in descriptor callbacks of the previous pass.
    uplink_backlog uplink;                     ///< Bytes queued for this VM's uplink.
    std::string own_host;                      ///< Source address of streams with the option from_own_host.
    pause_detector pauses;                     ///< Detects pauses of the process.
    bool watching_pauses = false;              ///< The timer of watch_pauses() is set.
    std::function<void(clock::duration)> on_paused;                               ///< Hook of on_paused().
    bool running = false;                                                         ///< run() has not been stopped.
    std::uint64_t last_timer_id = 0;                                              ///< Last timer id assigned.
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> timers; ///< By due time, then id.
    std::unordered_map<std::uint64_t, time_point> due_times;                      ///< Due time by id.

    /** Sets `now` from the clock, and reports a pause of the process that has ended just now. */
    void refresh_now();
    /** Expects the next check for a pause, while @p needed returns true. */
    void schedule_pause_check(std::function<bool()> const& needed);
    /** Registers @p entry. @return false when libwebsockets rejected it, after closing the descriptor. */
    bool watch(std::shared_ptr<descriptor_watch> const& entry);
    /** Polls once and handles all events. @return false when libwebsockets has failed. */
    bool pass();
    /** Runs @p task once at @p when. @return id for cancel(). */
    timer_id run_at(time_point when, std::function<void()> task);
    /** Runs the timers that are due and schedules the next wake-up. */
    void run_due_timers();
    /** Schedules `wakeup` for the earliest timer. */
    void schedule_wakeup();
};

} // namespace cornelspring
