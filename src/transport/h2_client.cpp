/** @file h2_client.cpp HTTP/2 (h2c) client: one thread owns one connection per peer, the streams and the timers. */
#include "h2_client_impl.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <future>

namespace cornelspring {
namespace {

/** Most socket events handled per epoll_wait(). */
constexpr int events_per_wait = 256;
/** Interval between checks of the connections' time-outs. */
constexpr milliseconds check_interval{50};

} // namespace

void h2_client::impl::unregister_call(h2_call const& call)
{
    incomplete_bytes -= call.response.body.size();
    deadlines.erase({call.deadline, call.id});
    if (auto* connection = find_connection(call.connection_id)) connection->calls.erase(call.id);
}

void h2_client::impl::finish(std::uint64_t id, send_outcome outcome, std::string detail)
{
    auto found = calls.find(id);
    if (found == calls.end()) return;
    h2_call call = std::move(found->second);
    calls.erase(found);
    unregister_call(call);
    client_result result;
    result.outcome = outcome;
    result.response = std::move(call.response);
    result.detail = std::move(detail);
    if (call.done) call.done(std::move(result));
}

void h2_client::impl::reject_response(h2_call const& call, std::string detail)
{
    reset_stream(call);
    finish(call.id, send_outcome::unknown, std::move(detail));
}

void h2_client::impl::append_body(h2_call& call, std::string_view bytes)
{
    if (call.response.body.size() + bytes.size() > options.response_limits.max_body_bytes) {
        reject_response(call, "the body of the response exceeds the limit");
        return;
    }
    call.response.body.append(bytes);
    incomplete_bytes += bytes.size();
    if (incomplete_bytes <= options.max_incomplete_bytes) return;
    auto const largest = std::max_element(calls.begin(), calls.end(), [](auto const& left, auto const& right) {
        return left.second.response.body.size() < right.second.response.body.size();
    });
    reject_response(largest->second, "too many bytes of incomplete responses");
}

void h2_client::impl::cancel_call(std::uint64_t id)
{
    auto found = calls.find(id);
    if (found == calls.end()) return;
    h2_call call = std::move(found->second);
    calls.erase(found);
    reset_stream(call);
    unregister_call(call);
}

void h2_client::impl::start_call(h2_call call)
{
    std::uint64_t const id = call.id;
    auto const now = clock::now();
    call.started_at = now;
    auto* connection = connection_for(call.peer, now);
    if (connection != nullptr) call.connection_id = connection->id;
    deadlines.insert({call.deadline, id});
    auto& added = calls.emplace(id, std::move(call)).first->second;
    if (connection == nullptr) {
        finish(id, send_outcome::not_sent, "cannot connect to " + added.peer.to_string());
        return;
    }
    if (connection->calls.empty()) connection->busy_since = now;
    connection->calls.insert(id);
    if (connection->connected) open_stream(*connection, added);
}

void h2_client::impl::expire(time_point now)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        std::uint64_t const id = deadlines.begin()->second;
        auto& call = calls.find(id)->second;
        auto* connection = find_connection(call.connection_id);
        // Nothing was received during this call nor within retire_after, so the connection may be dead: new calls go to
        // a new one, while PING decides whether this one is closed.
        bool const unresponsive = connection != nullptr && connection->connected &&
                                  connection->last_read < call.started_at &&
                                  now - connection->last_read >= options.retire_after;
        reset_stream(call);
        finish(id, call.sent ? send_outcome::unknown : send_outcome::not_sent, "timeout");
        if (unresponsive) retire(*connection);
    }
}

void h2_client::impl::run_timers(time_point now)
{
    while (!timers.empty() && timers.begin()->first <= now) {
        auto task = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        task();
    }
}

milliseconds h2_client::impl::time_to_next(time_point now) const
{
    auto next = next_check;
    if (!deadlines.empty()) next = std::min(next, deadlines.begin()->first);
    if (!timers.empty()) next = std::min(next, timers.begin()->first);
    if (next <= now) return milliseconds(0);
    return std::chrono::ceil<milliseconds>(next - now);
}

void h2_client::impl::loop()
{
    epoll_event events[events_per_wait];
    while (!stopping) {
        int const wait = static_cast<int>(time_to_next(clock::now()).count());
        int const count = epoll_wait(epoll_fd, events, events_per_wait, wait);
        for (int i = 0; i < count; ++i) {
            if (events[i].data.u64 == 0) continue;
            if (auto* connection = find_connection(events[i].data.u64)) on_event(*connection, events[i].events);
        }
        queue->run_all();
        auto const now = clock::now();
        expire(now);
        run_timers(now);
        if (now >= next_check) {
            check_connections(now);
            next_check = now + check_interval;
        }
        flush_dirty();
        if (has_broken) close_finished();
    }
}

h2_client::h2_client(client_options options) : m_impl(std::make_unique<impl>())
{
    m_impl->options = options;
    m_impl->epoll_fd = epoll_create1(0);
    epoll_event inbox{};
    inbox.events = EPOLLIN;
    inbox.data.u64 = 0;
    epoll_ctl(m_impl->epoll_fd, EPOLL_CTL_ADD, m_impl->queue->wait_fd(), &inbox);
    m_impl->make_callbacks();
    m_impl->thread = std::thread([this] { m_impl->loop(); });
}

void h2_client::stop()
{
    m_impl->stopping = true;
    m_impl->queue->post([] {});
    if (m_impl->thread.joinable()) m_impl->thread.join();
}

h2_client::~h2_client()
{
    stop();
    for (auto& [id, connection] : m_impl->connections) {
        if (connection->session != nullptr) nghttp2_session_del(connection->session);
        close(connection->fd);
    }
    close(m_impl->epoll_fd);
    nghttp2_session_callbacks_del(m_impl->callbacks);
}

call_id h2_client::submit(endpoint const& peer, http_request request, milliseconds timeout, result_callback done)
{
    h2_call call;
    call.id = m_impl->next_id++;
    call.peer = peer;
    call.request = std::move(request);
    call.deadline = clock::now() + timeout;
    call.done = std::move(done);
    call_id const id{call.id};
    if (std::this_thread::get_id() == m_impl->thread.get_id()) {
        m_impl->timers.emplace(time_point{},
                               [this, call = std::move(call)]() mutable { m_impl->start_call(std::move(call)); });
    } else {
        post([this, call = std::move(call)]() mutable { m_impl->start_call(std::move(call)); });
    }
    return id;
}

void h2_client::cancel(call_id id)
{
    // On the client thread, submit() starts the call by a timer that may not have run yet. Timers of equal time run in
    // the order in which they were added, so this one runs after the start.
    if (std::this_thread::get_id() == m_impl->thread.get_id()) {
        m_impl->timers.emplace(time_point{}, [this, id] { m_impl->cancel_call(id.value()); });
    } else {
        post([this, id] { m_impl->cancel_call(id.value()); });
    }
}

void h2_client::post(std::function<void()> task) { m_impl->queue->post(std::move(task)); }

void h2_client::run_at(time_point when, std::function<void()> task) { m_impl->timers.emplace(when, std::move(task)); }

client_stats h2_client::stats() const
{
    return {m_impl->opened, m_impl->silent, m_impl->sent_bytes, m_impl->received_bytes};
}

client_result h2_client::call(endpoint const& peer, http_request request, milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<client_result>>();
    auto future = promise->get_future();
    submit(peer, std::move(request), timeout,
           [promise](client_result result) { promise->set_value(std::move(result)); });
    return future.get();
}

void h2_client::drop_connections(endpoint const& peer)
{
    post([this, peer] {
        auto found = m_impl->connection_by_peer.find(peer);
        if (found == m_impl->connection_by_peer.end()) return;
        if (auto* connection = m_impl->find_connection(found->second)) m_impl->fail_connection(*connection, "dropped");
    });
}

} // namespace cornelspring
