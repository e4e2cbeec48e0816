/** @file backend_pool.cpp Pool of keep-alive connections to backend servers; sends attempts and classifies their
 *  outcomes. */
#include <cornelspring/gateway.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** How often idle and pending connections are checked for time-outs. */
constexpr milliseconds sweep_interval{500};
/** An idle connection that its peer will close within this time is not used again. */
constexpr milliseconds idle_close_margin{150};
/** Time without a new pre-connect to a backend server after a failed one. */
constexpr milliseconds preconnect_retry_interval{3000};

} // namespace

/** State of the pool. */
struct backend_pool::impl {
    /** A connection and its id. */
    struct pooled_connection {
        connection_id id;                          ///< Id.
        std::unique_ptr<client_connection> client; ///< Connection; null: none.
    };
    /** @return whether @p attempt must not be sent on @p connection, which was open before. */
    static bool unsuitable(outgoing_attempt const& attempt, pooled_connection const& connection)
    {
        auto const& used = attempt.used_connections;
        return attempt.needs_new_connection || std::find(used.begin(), used.end(), connection.id) != used.end();
    }
    /** An attempt in flight and its connection. */
    struct active_attempt {
        pooled_connection connection;           ///< Connection.
        std::shared_ptr<backend_server> server; ///< Backend server.
        timer_id connect_timer;                 ///< Cancels the attempt when connecting times out.
        bool new_connection = false;            ///< The connection was opened for it.
        std::size_t received = 0;               ///< Bytes of its response so far.
    };
    event_loop& loop;                                           ///< Event loop.
    pool_options options;                                       ///< Settings.
    std::function<void(attempt_id, attempt_result)> on_result;  ///< Receives the outcomes of attempts.
    std::unordered_map<std::uint64_t, active_attempt> in_use{}; ///< Attempts in flight, by id.
    /** Idle connections; a backend server that restarts is another object, without connections. */
    std::unordered_map<std::shared_ptr<backend_server>, std::vector<pooled_connection>> idle{};
    /** A pre-connect in progress. */
    struct pending_connection {
        pooled_connection connection; ///< Connection.
        time_point connect_deadline;  ///< The pre-connect times out then.
    };
    std::unordered_map<std::shared_ptr<backend_server>, pending_connection> preconnecting{}; ///< By backend server.
    std::unordered_map<std::shared_ptr<backend_server>, time_point> unreachable{}; ///< No pre-connect until then.
    std::size_t incomplete_bytes = 0; ///< Bytes of all incomplete responses.
    bool limiting = false;            ///< limit_incomplete() is scheduled.
    std::uint64_t opened = 0;         ///< Connections opened so far, and the id of the last one.
    timer_id sweep_timer{};           ///< Next sweep.

    /** Opens a connection to @p server. */
    pooled_connection open(backend_server const& server);
    /** @return an idle connection for @p attempt; none if there is no suitable one. */
    pooled_connection take_idle(outgoing_attempt const& attempt);
    /** Closes an idle connection that @p attempt must not be sent on, if there is one, in exchange for a new one: with
     *  both, the backend server could have more connections than it accepts. */
    void close_unsuitable(outgoing_attempt const& attempt);
    /** @return the request with the time left at @p now in its deadline header; empty when none is left. */
    std::string write_request(outgoing_attempt const& attempt, time_point now) const;
    void send(outgoing_attempt attempt);
    /** @return whether @p response belongs to the request @p expected. @param used the connection has carried another
     *  attempt before, to which a response without a request id may belong. */
    client_connection::match match(http_response const& response, std::string const& expected, bool used) const;
    void on_received(attempt_id id, std::size_t bytes);
    /** Abandons the largest incomplete responses until the others are within the limit. */
    void limit_incomplete();
    /** Removes an attempt from those in flight. */
    active_attempt remove(std::unordered_map<std::uint64_t, active_attempt>::iterator found);
    void on_connect_timeout(attempt_id id);
    void on_exchange_done(attempt_id id, exchange_result result);
    attempt_result classify(exchange_result result) const;
    void add_idle(std::shared_ptr<backend_server> const& server, pooled_connection connection);
    void preconnect(std::shared_ptr<backend_server> const& server);
    void on_preconnected(std::shared_ptr<backend_server> const& server, bool established);
    void sweep();
};

backend_pool::impl::pooled_connection backend_pool::impl::open(backend_server const& server)
{
    connection_id const id(++opened);
    return {id, std::make_unique<client_connection>(loop, server.registration.address, stream_options{},
                                                    options.response_limits)};
}

backend_pool::impl::pooled_connection backend_pool::impl::take_idle(outgoing_attempt const& attempt)
{
    auto const found = idle.find(attempt.target);
    if (found == idle.end()) return {};
    auto& available = found->second;
    auto const now = loop.now();
    // The one used most recently is the least likely to be dead.
    for (auto at = available.size(); at-- > 0;) {
        if (unsuitable(attempt, available[at])) continue;
        auto taken = std::move(available[at]);
        available.erase(available.begin() + static_cast<std::ptrdiff_t>(at));
        auto& client = *taken.client;
        if (!client.reusable() || client.keep_alive_deadline() < now + idle_close_margin) continue;
        if (!attempt.idempotent && client.idle_since() + options.max_idle_non_idempotent < now) continue;
        client.on_idle_closed(nullptr);
        return taken;
    }
    return {};
}

void backend_pool::impl::close_unsuitable(outgoing_attempt const& attempt)
{
    auto const found = idle.find(attempt.target);
    if (found == idle.end()) return;
    auto& available = found->second;
    auto const closed = std::find_if(available.begin(), available.end(),
                                     [&](auto const& connection) { return unsuitable(attempt, connection); });
    if (closed != available.end()) available.erase(closed);
}

/**
 * The deadline header has the time left when the request arrives at the backend server, not when it is serialized. On a
 * full uplink these differ so much that backend servers would process requests whose callers no longer wait.
 */
std::string backend_pool::impl::write_request(outgoing_attempt const& attempt, time_point now) const
{
    auto const remaining = std::chrono::duration_cast<milliseconds>(attempt.caller_deadline - now - loop.uplink_wait());
    if (remaining.count() <= 0) return {};
    return attempt.head + options.names.deadline + ": " + std::to_string(remaining.count()) + "\r\n\r\n" + attempt.body;
}

void backend_pool::impl::send(outgoing_attempt attempt)
{
    active_attempt entry;
    auto const id = attempt.id;
    entry.server = attempt.target;
    entry.connection = take_idle(attempt);
    if (!entry.connection.client) {
        close_unsuitable(attempt);
        entry.connection = open(*attempt.target);
        entry.new_connection = true;
        entry.connect_timer = loop.run_at(loop.now() + options.connect_timeout, [this, id] { on_connect_timeout(id); });
    }
    client_connection::exchange exchange;
    exchange.head_request = attempt.head_request;
    exchange.matches = [this, expected = std::move(attempt.request_id), used = entry.connection.client->used()](
                           http_response const& response) { return match(response, expected, used); };
    exchange.done = [this, id](exchange_result result) { on_exchange_done(id, std::move(result)); };
    exchange.on_received = [this, id](std::size_t bytes) { on_received(id, bytes); };
    exchange.write_request = [this, attempt = std::move(attempt)](time_point now) {
        return write_request(attempt, now);
    };
    auto& stored = in_use.emplace(id.value(), std::move(entry)).first->second;
    stored.connection.client->start(std::move(exchange));
}

client_connection::match backend_pool::impl::match(http_response const& response, std::string const& expected,
                                                   bool used) const
{
    auto const echoed = response.header(options.names.request_id);
    if (echoed == expected) return client_connection::match::expected;
    if (!echoed.empty()) return client_connection::match::unexpected;
    return used ? client_connection::match::unidentified : client_connection::match::expected;
}

void backend_pool::impl::on_received(attempt_id id, std::size_t bytes)
{
    auto const found = in_use.find(id.value());
    if (found == in_use.end()) return;
    found->second.received += bytes;
    incomplete_bytes += bytes;
    if (incomplete_bytes <= options.max_incomplete_bytes || std::exchange(limiting, true)) return;
    // Deferred: this runs inside a callback of a connection that may have to be closed.
    loop.run_at(loop.now(), [this] {
        limiting = false;
        limit_incomplete();
    });
}

void backend_pool::impl::limit_incomplete()
{
    while (incomplete_bytes > options.max_incomplete_bytes) {
        auto const largest = std::max_element(in_use.begin(), in_use.end(), [](auto const& left, auto const& right) {
            return left.second.received < right.second.received;
        });
        attempt_id const id(largest->first);
        auto const entry = remove(largest);
        on_result(id, {attempt_status::lost, {}, "too many bytes of incomplete responses", entry.connection.id});
    }
}

backend_pool::impl::active_attempt
backend_pool::impl::remove(std::unordered_map<std::uint64_t, active_attempt>::iterator found)
{
    auto entry = std::move(found->second);
    in_use.erase(found);
    loop.cancel(entry.connect_timer);
    incomplete_bytes -= entry.received;
    return entry;
}

void backend_pool::impl::on_connect_timeout(attempt_id id)
{
    auto const found = in_use.find(id.value());
    if (found == in_use.end() || found->second.connection.client->established()) return;
    auto const entry = remove(found);
    on_result(id, {attempt_status::not_sent, {}, "connect timed out", entry.connection.id});
}

void backend_pool::impl::on_exchange_done(attempt_id id, exchange_result result)
{
    auto const found = in_use.find(id.value());
    if (found == in_use.end()) return;
    auto entry = remove(found);
    bool const kept = result.completed && entry.connection.client->reusable();
    auto outcome = classify(std::move(result));
    outcome.connection = entry.connection.id;
    outcome.new_connection = entry.new_connection;
    if (kept) add_idle(entry.server, std::move(entry.connection));
    on_result(id, std::move(outcome));
}

attempt_result backend_pool::impl::classify(exchange_result result) const
{
    if (result.failure == peer_failure::broken_off) return {attempt_status::disconnected, {}, result.detail};
    if (result.failure == peer_failure::reset) return {attempt_status::reset, {}, result.detail};
    if (!result.completed) return {result.sent ? attempt_status::lost : attempt_status::not_sent, {}, result.detail};
    auto& response = result.response;
    constexpr int status_misdirected = 421;
    if (response.status == status_misdirected)
        return {attempt_status::wrong_server, {}, "another server at the address"};
    if (!response.header(options.names.not_executed).empty()) {
        return {attempt_status::not_executed, std::move(response), "shed"};
    }
    if (!response.header("content-encoding").empty()) return {attempt_status::lost, {}, "encoded response"};
    return {attempt_status::answered, std::move(response), ""};
}

void backend_pool::impl::add_idle(std::shared_ptr<backend_server> const& server, pooled_connection connection)
{
    connection.client->on_idle_closed([this, server, id = connection.id] {
        // Deferred: this runs inside a callback of the connection that is to be destroyed.
        loop.run_at(loop.now(), [this, server, id] {
            auto const found = idle.find(server);
            if (found == idle.end()) return;
            std::erase_if(found->second, [id](auto const& each) { return each.id == id && !each.client->reusable(); });
        });
    });
    idle[server].push_back(std::move(connection));
}

void backend_pool::impl::preconnect(std::shared_ptr<backend_server> const& server)
{
    if (preconnecting.contains(server)) return;
    auto connection = open(*server);
    connection.client->on_connected([this, server](bool established) {
        // Deferred: this runs inside a callback of the connection, which may be destroyed.
        loop.run_at(loop.now(), [this, server, established] { on_preconnected(server, established); });
    });
    preconnecting[server] = {std::move(connection), loop.now() + options.connect_timeout};
}

void backend_pool::impl::on_preconnected(std::shared_ptr<backend_server> const& server, bool established)
{
    auto const found = preconnecting.find(server);
    if (found == preconnecting.end()) return;
    auto connection = std::move(found->second.connection);
    preconnecting.erase(found);
    if (established && connection.client->reusable()) {
        add_idle(server, std::move(connection));
    } else {
        unreachable[server] = loop.now() + preconnect_retry_interval;
    }
}

void backend_pool::impl::sweep()
{
    auto const now = loop.now();
    std::erase_if(unreachable, [now](auto const& each) { return each.second <= now; });
    std::erase_if(preconnecting, [&](auto const& each) {
        bool const timed_out = each.second.connect_deadline <= now;
        if (timed_out) unreachable[each.first] = now + preconnect_retry_interval;
        return timed_out;
    });
    for (auto entry = idle.begin(); entry != idle.end();) {
        std::erase_if(entry->second, [&](auto const& connection) {
            auto const& client = *connection.client;
            return !client.reusable() || client.keep_alive_deadline() < now + idle_close_margin ||
                   client.idle_since() + options.idle_timeout < now;
        });
        entry = entry->second.empty() ? idle.erase(entry) : std::next(entry);
    }
    sweep_timer = loop.run_at(now + sweep_interval, [this] { sweep(); });
}

backend_pool::backend_pool(event_loop& loop, pool_options options,
                           std::function<void(attempt_id, attempt_result)> on_result)
    : m_impl(new impl{loop, std::move(options), std::move(on_result)})
{
    m_impl->sweep();
}

backend_pool::~backend_pool() { m_impl->loop.cancel(m_impl->sweep_timer); }

void backend_pool::send(outgoing_attempt attempt) { m_impl->send(std::move(attempt)); }

void backend_pool::cancel(attempt_id id)
{
    auto const found = m_impl->in_use.find(id.value());
    if (found == m_impl->in_use.end()) return;
    m_impl->remove(found);
}

void backend_pool::preconnect(std::shared_ptr<backend_server> const& server) { m_impl->preconnect(server); }

bool backend_pool::skip_preconnect(std::shared_ptr<backend_server> const& server) const
{
    return m_impl->idle.contains(server) || m_impl->preconnecting.contains(server) ||
           m_impl->unreachable.contains(server);
}

std::uint64_t backend_pool::connections_opened() const { return m_impl->opened; }

} // namespace cornelspring
