/** @file event_loop_impl.hpp State of the event loop and of one registered descriptor (internal). */
#pragma once

#include <cornelspring/net.hpp>

#include <map>
#include <unordered_map>

#include <libwebsockets.h>

namespace cornelspring {

/** One descriptor registered with libwebsockets' raw-file role, which polls it and closes it. */
struct descriptor_watch {
    int fd = -1;                            ///< The descriptor; closed by libwebsockets.
    bool closing = false;                   ///< close() was called.
    bool on_writable_running = false;       ///< on_writable is running.
    bool write_wanted = false;              ///< want_write() was called meanwhile.
    lws* wsi = nullptr;                     ///< libwebsockets' handle; null once closed.
    event_loop::impl* loop = nullptr;       ///< Owner.
    std::shared_ptr<descriptor_watch> self; ///< Keeps this alive while libwebsockets points to it.
    std::function<void()> on_readable;      ///< Readable, or ended.
    std::function<void()> on_writable;      ///< Writable after want_write().
    std::function<void()> on_removed;       ///< libwebsockets closed it (hang-up without unread bytes).
    /** Asks for one on_writable. */
    void want_write();
    /**
     * The descriptor is writable. libwebsockets forgets a wish for the next time that is uttered meanwhile, so that it
     * is passed on after this: without that, all that a socket did not take in two goes (128 KB where it takes 64 KB)
     * was never sent.
     */
    void writable();
    /** Closes the descriptor soon; no hook is called any more. */
    void close();
};

/** State of an event loop. */
struct event_loop::impl {
    /** A libwebsockets timer entry that knows its loop. */
    struct wakeup_timer {
        lws_sorted_usec_list_t list{}; ///< Entry in libwebsockets' timer list.
        impl* owner = nullptr;         ///< The loop.
    };
    lws_context* context = nullptr;            ///< libwebsockets context.
    lws_vhost* vhost = nullptr;                ///< Its only virtual host.
    wakeup_timer wakeup;                       ///< Wakes at the earliest timer.
    time_point now;                            ///< Time of the present callback.
    time_point wakeup_at = time_point::max();  ///< Due time of `wakeup`.
    time_point pass_started_at;                ///< First descriptor callback of this pass; the epoch before it.
    clock::duration timers_duration{0};        ///< Timers run in this pass, before the descriptors were polled.
    clock::duration previous_pass_duration{0}; ///< Descriptor callbacks of the pass before.
    uplink_backlog uplink;                     ///< Bytes on their way over this VM's link.
    bool running = false;                      ///< run() goes on.
    std::uint64_t last_timer_id = 0;           ///< Last timer id given out.
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> timers; ///< By due time, then id.
    std::unordered_map<std::uint64_t, time_point> due_times;                      ///< Due time by id.

    /** Reads the clock. */
    void refresh_now() { now = clock::now(); }
    /** Registers @p entry. @return false when libwebsockets refused it (it then closed the descriptor). */
    bool watch(std::shared_ptr<descriptor_watch> const& entry);
    /** Polls once and serves what is ready. @return false when the loop cannot go on. */
    bool pass();
    /** Runs @p task once at @p when. @return id for cancel(). */
    timer_id run_at(time_point when, std::function<void()> task);
    /** Runs the timers that are due and schedules the next. */
    void run_due_timers();
    /** Makes libwebsockets wake the loop for the earliest timer. */
    void schedule_wakeup();
};

} // namespace cornelspring
