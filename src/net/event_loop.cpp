/** @file event_loop.cpp Event loop on libwebsockets: descriptors, timers and signals. */
#include "event_loop_impl.hpp"

#include "socket.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <ctime>

namespace cornelspring {
namespace {

/** How often a pause is checked for. */
constexpr milliseconds pause_check_interval{50};

/** @return the processor time that this process has used. */
clock::duration cpu_time()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

/** Write end of the signal pipe; the only state used by the signal handler. */
int g_signal_pipe = -1;

/** Signal handler: writes the signal number to the pipe that the loop reads. */
void forward_signal(int number)
{
    auto const byte = static_cast<unsigned char>(number);
    [[maybe_unused]] auto const written = write(g_signal_pipe, &byte, 1);
}

/** Callback of libwebsockets for all registered descriptors. */
int on_lws_event(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    auto* watch = static_cast<descriptor_watch*>(lws_get_opaque_user_data(wsi));
    if (watch == nullptr) return 0;
    watch->loop->refresh_now();
    if (watch->loop->pass_started_at == time_point{}) watch->loop->pass_started_at = watch->loop->now;
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        if (watch->on_readable) watch->on_readable();
        break;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE: watch->writable(); break;
    case LWS_CALLBACK_RAW_CLOSE_FILE: {
        lws_set_opaque_user_data(wsi, nullptr);
        auto const keep = std::move(watch->self);
        watch->wsi = nullptr;
        if (watch->on_removed) watch->on_removed();
        return 0;
    }
    default: break;
    }
    return watch->closing ? -1 : 0;
}

lws_protocols const loop_protocols[] = {{"descriptor", on_lws_event, 0, 0, 0, nullptr, 0},
                                        {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

/** Callback of libwebsockets when `wakeup` expires. */
void on_timer(lws_sorted_usec_list_t* list)
{
    auto* wakeup = lws_container_of(list, event_loop::impl::wakeup_timer, list);
    wakeup->owner->run_due_timers();
}

} // namespace

void descriptor_watch::want_write()
{
    if (on_writable_running)
        write_wanted = true;
    else if (wsi != nullptr)
        lws_callback_on_writable(wsi);
}

void descriptor_watch::writable()
{
    on_writable_running = true;
    if (on_writable) on_writable();
    on_writable_running = false;
    if (!std::exchange(write_wanted, false)) return;
    loop->run_at(loop->now, [weak = std::weak_ptr<descriptor_watch>(self)] {
        if (auto const watch = weak.lock()) watch->want_write();
    });
}

void descriptor_watch::close()
{
    on_readable = nullptr;
    on_writable = nullptr;
    on_removed = nullptr;
    closing = true;
    if (wsi != nullptr) lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

bool event_loop::impl::watch(std::shared_ptr<descriptor_watch> const& entry)
{
    entry->loop = this;
    entry->self = entry;
    lws_adopt_desc_t adopt{};
    adopt.vh = vhost;
    adopt.type = LWS_ADOPT_RAW_FILE_DESC;
    adopt.fd.filefd = entry->fd;
    adopt.vh_prot_name = loop_protocols[0].name;
    adopt.opaque = entry.get();
    entry->wsi = lws_adopt_descriptor_vhost_via_info(&adopt);
    if (entry->wsi != nullptr) return true;
    entry->self.reset();
    return false;
}

void event_loop::impl::refresh_now()
{
    now = clock::now();
    if (!pauses.late(now)) return;
    auto const pause = pauses.check(now, cpu_time());
    if (pause > clock::duration(0) && on_paused) on_paused(pause);
}

void event_loop::impl::schedule_pause_check(std::function<bool()> const& needed)
{
    watching_pauses = needed();
    if (!watching_pauses) {
        pauses.stop();
        return;
    }
    auto const due = now + pause_check_interval;
    pauses.expect(due, cpu_time());
    run_at(due, [this, needed] { schedule_pause_check(needed); });
}

void event_loop::impl::run_due_timers()
{
    refresh_now();
    auto const started_at = now;
    wakeup_at = time_point::max();
    while (!timers.empty() && timers.begin()->first.first <= now) {
        auto task = std::move(timers.begin()->second);
        due_times.erase(timers.begin()->first.second);
        timers.erase(timers.begin());
        task();
    }
    timers_duration += clock::now() - started_at;
    schedule_wakeup();
}

bool event_loop::impl::pass()
{
    pass_started_at = {};
    timers_duration = clock::duration(0);
    bool const served = lws_service(context, 0) >= 0;
    previous_pass_duration = pass_started_at == time_point{} ? clock::duration(0) : clock::now() - pass_started_at;
    return served;
}

void event_loop::impl::schedule_wakeup()
{
    if (timers.empty()) return;
    auto const due = timers.begin()->first.first;
    if (due >= wakeup_at) return;
    wakeup_at = due;
    auto const wait = std::chrono::duration_cast<std::chrono::microseconds>(due - clock::now()).count();
    lws_sul_schedule(context, 0, &wakeup.list, on_timer, std::max<std::int64_t>(wait, 1));
}

event_loop::event_loop() : m_impl(std::make_unique<impl>())
{
    detail::route_lws_logs();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = loop_protocols;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    m_impl->context = lws_create_context(&info);
    m_impl->vhost = m_impl->context == nullptr ? nullptr : lws_get_vhost_by_name(m_impl->context, "default");
    if (m_impl->vhost == nullptr) {
        throw error(error_kind::internal, "cannot create the event loop.", "Raise the limit of open files.");
    }
    m_impl->wakeup.owner = m_impl.get();
    m_impl->refresh_now();
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() { lws_context_destroy(m_impl->context); }

void event_loop::run()
{
    m_impl->running = true;
    while (m_impl->running && m_impl->pass()) {
    }
}

void event_loop::stop()
{
    m_impl->running = false;
    lws_cancel_service(m_impl->context);
}

time_point event_loop::now() const { return m_impl->now; }

clock::duration event_loop::max_unread_time() const
{
    auto const this_pass =
        m_impl->pass_started_at == time_point{} ? clock::duration(0) : m_impl->now - m_impl->pass_started_at;
    return m_impl->previous_pass_duration + m_impl->timers_duration + this_pass;
}

void event_loop::on_paused(std::function<void(clock::duration)> hook) { m_impl->on_paused = std::move(hook); }

void event_loop::watch_pauses(std::function<bool()> needed)
{
    if (!m_impl->watching_pauses) m_impl->schedule_pause_check(needed);
}

void event_loop::set_uplink(double bytes_per_s) { m_impl->uplink = uplink_backlog(bytes_per_s); }

void event_loop::set_own_host(std::string host) { m_impl->own_host = std::move(host); }

std::string const& event_loop::own_host() const { return m_impl->own_host; }

clock::duration event_loop::uplink_wait() const { return m_impl->uplink.wait(m_impl->now); }

timer_id event_loop::impl::run_at(time_point when, std::function<void()> task)
{
    auto const id = ++last_timer_id;
    timers.emplace(std::make_pair(when, id), std::move(task));
    due_times.emplace(id, when);
    schedule_wakeup();
    return timer_id(id);
}

timer_id event_loop::run_at(time_point when, std::function<void()> task)
{
    return m_impl->run_at(when, std::move(task));
}

void event_loop::cancel(timer_id id)
{
    auto const found = m_impl->due_times.find(id.value());
    if (found == m_impl->due_times.end()) return;
    m_impl->timers.erase({found->second, found->first});
    m_impl->due_times.erase(found);
}

void event_loop::on_signals(std::vector<int> const& signals, std::function<void(int)> handler)
{
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_NONBLOCK | O_CLOEXEC) != 0) {
        throw error(error_kind::internal, "cannot create the signal pipe.", "Raise the limit of open files.");
    }
    g_signal_pipe = pipe_ends[1];
    auto entry = std::make_shared<descriptor_watch>();
    entry->fd = pipe_ends[0];
    entry->on_readable = [fd = pipe_ends[0], handler = std::move(handler)] {
        unsigned char numbers[16];
        auto const count = read(fd, numbers, sizeof numbers);
        for (ssize_t i = 0; i < count; ++i)
            handler(numbers[i]);
    };
    m_impl->watch(entry);
    struct sigaction action {};
    action.sa_handler = forward_signal;
    for (int const number : signals)
        sigaction(number, &action, nullptr);
}

} // namespace cornelspring
