/** @file backend_pool.cpp Connections to backend servers, kept and reused; attempts and their results. */
#include <cornelspring/gateway.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** How often idle connections are looked through. */
constexpr milliseconds sweep_interval{500};
/** A kept connection whose peer closes it within this time is not used any more. */
constexpr milliseconds kept_margin{150};
/** A backend server that could not be connected to ahead is left alone so long. */
constexpr milliseconds prepare_pause{3000};

} // namespace

/** State of the pool. */
struct backend_pool::impl {
    /** A connection under way with an attempt. */
    struct active {
        std::unique_ptr<client_connection> connection; ///< Connection.
        std::shared_ptr<backend_server> server;        ///< Backend server.
        timer_id connect_timer;                        ///< Ends an attempt whose connect hangs.
    };
    event_loop& loop;                                          ///< Event loop.
    pool_options options;                                      ///< Settings.
    std::function<void(attempt_id, attempt_result)> on_result; ///< Receiver.
    std::unordered_map<std::uint64_t, active> in_use;          ///< By attempt.
    /** Kept connections; a backend server that starts again is another object and has none. */
    std::unordered_map<std::shared_ptr<backend_server>, std::vector<std::unique_ptr<client_connection>>> idle;
    /** A connection that is being opened ahead. */
    struct preparation {
        std::unique_ptr<client_connection> connection; ///< Connection.
        time_point give_up;                            ///< It hangs then.
    };
    std::unordered_map<std::shared_ptr<backend_server>, preparation> preparing;  ///< By backend server.
    std::unordered_map<std::shared_ptr<backend_server>, time_point> unreachable; ///< Not prepared again until then.
    std::uint64_t opened = 0;                                                    ///< Connections opened.
    timer_id sweep_timer;                                                        ///< Next sweep.

    std::unique_ptr<client_connection> take_idle(outgoing_attempt const& order);
    /** @return the request with the time left at @p now, or nothing when none is left. */
    std::string write_request(outgoing_attempt const& order, time_point now) const;
    void send(outgoing_attempt order);
    void connect_hangs(attempt_id id);
    void done(attempt_id id, exchange_result result);
    attempt_result classify(exchange_result result) const;
    void keep(std::shared_ptr<backend_server> const& server, std::unique_ptr<client_connection> connection);
    void prepare(std::shared_ptr<backend_server> const& server);
    void on_prepared(std::shared_ptr<backend_server> const& server, bool established);
    void sweep();
};

std::unique_ptr<client_connection> backend_pool::impl::take_idle(outgoing_attempt const& order)
{
    auto const found = idle.find(order.target);
    if (found == idle.end()) return nullptr;
    auto& kept = found->second;
    auto const now = loop.now();
    while (!kept.empty()) {
        auto connection = std::move(kept.back()); // The one used last is the least likely to be dead.
        kept.pop_back();
        if (!connection->reusable() || connection->kept_until() < now + kept_margin) continue;
        if (!order.idempotent && connection->idle_since() + options.fresh_enough < now) continue;
        connection->on_idle_end(nullptr);
        return connection;
    }
    return nullptr;
}

/**
 * The backend server is told the time that is left when the request arrives, not when it is written: on a
 * full link these are far apart, and backend servers would work for callers that have gone.
 */
std::string backend_pool::impl::write_request(outgoing_attempt const& order, time_point now) const
{
    auto const left = std::chrono::duration_cast<milliseconds>(order.caller_deadline - now - loop.uplink_wait());
    if (left.count() <= 0) return {};
    return order.head + options.names.deadline + ": " + std::to_string(left.count()) + "\r\n\r\n" + order.body;
}

void backend_pool::impl::send(outgoing_attempt order)
{
    active entry;
    auto const id = order.id;
    entry.server = order.target;
    entry.connection = take_idle(order);
    bool const fresh = entry.connection == nullptr;
    if (fresh) {
        ++opened;
        entry.connection = std::make_unique<client_connection>(loop, order.target->registration.address,
                                                               stream_options{}, options.response_limits);
        entry.connect_timer = loop.run_at(loop.now() + options.connect_limit, [this, id] { connect_hangs(id); });
    }
    client_connection::exchange exchange;
    exchange.head = order.head_request;
    exchange.matches = [this, expected = std::move(order.request_id)](http_response const& response) {
        auto const echoed = response.header(options.names.request_id);
        return echoed.empty() || echoed == expected ? client_connection::match::mine : client_connection::match::other;
    };
    exchange.done = [this, id](exchange_result result) { done(id, std::move(result)); };
    exchange.write = [this, order = std::move(order)](time_point now) { return write_request(order, now); };
    auto& stored = in_use.emplace(id.value(), std::move(entry)).first->second;
    stored.connection->start(std::move(exchange));
}

void backend_pool::impl::connect_hangs(attempt_id id)
{
    auto const found = in_use.find(id.value());
    if (found == in_use.end() || found->second.connection->established()) return;
    in_use.erase(found);
    on_result(id, {attempt_status::not_sent, {}, "connect timed out"});
}

void backend_pool::impl::done(attempt_id id, exchange_result result)
{
    auto const found = in_use.find(id.value());
    if (found == in_use.end()) return;
    auto entry = std::move(found->second);
    in_use.erase(found);
    loop.cancel(entry.connect_timer);
    if (result.answered && entry.connection->reusable()) {
        keep(entry.server, std::move(entry.connection));
    }
    on_result(id, classify(std::move(result)));
}

attempt_result backend_pool::impl::classify(exchange_result result) const
{
    if (result.closed) return {attempt_status::disconnected, {}, result.detail};
    if (!result.answered) return {result.sent ? attempt_status::lost : attempt_status::not_sent, {}, result.detail};
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

void backend_pool::impl::keep(std::shared_ptr<backend_server> const& server,
                              std::unique_ptr<client_connection> connection)
{
    auto* raw = connection.get();
    connection->on_idle_end([this, server, raw] {
        // Removed later: this runs inside the connection's own callback.
        loop.run_at(loop.now(), [this, server, raw] {
            auto const found = idle.find(server);
            if (found == idle.end()) return;
            std::erase_if(found->second, [raw](auto const& each) { return each.get() == raw && !each->reusable(); });
        });
    });
    idle[server].push_back(std::move(connection));
}

void backend_pool::impl::prepare(std::shared_ptr<backend_server> const& server)
{
    if (preparing.contains(server)) return;
    ++opened;
    auto connection = std::make_unique<client_connection>(loop, server->registration.address, stream_options{},
                                                          options.response_limits);
    connection->on_connected([this, server](bool established) {
        // Later: this runs inside the connection's own callback.
        loop.run_at(loop.now(), [this, server, established] { on_prepared(server, established); });
    });
    preparing[server] = {std::move(connection), loop.now() + options.connect_limit};
}

void backend_pool::impl::on_prepared(std::shared_ptr<backend_server> const& server, bool established)
{
    auto const found = preparing.find(server);
    if (found == preparing.end()) return;
    auto connection = std::move(found->second.connection);
    preparing.erase(found);
    if (established && connection->reusable()) {
        keep(server, std::move(connection));
    } else {
        unreachable[server] = loop.now() + prepare_pause;
    }
}

void backend_pool::impl::sweep()
{
    auto const now = loop.now();
    std::erase_if(unreachable, [now](auto const& each) { return each.second <= now; });
    std::erase_if(preparing, [&](auto const& each) {
        bool const hangs = each.second.give_up <= now;
        if (hangs) unreachable[each.first] = now + prepare_pause;
        return hangs;
    });
    for (auto entry = idle.begin(); entry != idle.end();) {
        std::erase_if(entry->second, [&](auto const& connection) {
            return !connection->reusable() || connection->kept_until() < now + kept_margin ||
                   connection->idle_since() + options.idle_limit < now;
        });
        entry = entry->second.empty() ? idle.erase(entry) : std::next(entry);
    }
    sweep_timer = loop.run_at(now + sweep_interval, [this] { sweep(); });
}

backend_pool::backend_pool(event_loop& loop, pool_options options,
                           std::function<void(attempt_id, attempt_result)> on_result)
    : m_impl(new impl{loop, std::move(options), std::move(on_result), {}, {}, {}, {}, 0, {}})
{
    m_impl->sweep();
}

backend_pool::~backend_pool() { m_impl->loop.cancel(m_impl->sweep_timer); }

void backend_pool::send(outgoing_attempt order) { m_impl->send(std::move(order)); }

void backend_pool::cancel(attempt_id id)
{
    auto const found = m_impl->in_use.find(id.value());
    if (found == m_impl->in_use.end()) return;
    m_impl->loop.cancel(found->second.connect_timer);
    m_impl->in_use.erase(found);
}

void backend_pool::prepare(std::shared_ptr<backend_server> const& server) { m_impl->prepare(server); }

bool backend_pool::prepared(std::shared_ptr<backend_server> const& server) const
{
    return m_impl->idle.contains(server) || m_impl->preparing.contains(server) || m_impl->unreachable.contains(server);
}

std::uint64_t backend_pool::connections_opened() const { return m_impl->opened; }

} // namespace cornelspring
