/** @file caller_server.cpp HTTP/1.1 server for callers: strict parsing, time-outs, one response to each request. */
#include <cornelspring/checked.hpp>
#include <cornelspring/gateway.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Most bytes of pipelined requests held while a request is in flight; the connection is closed beyond that. */
constexpr std::size_t max_pipelined_bytes = 256 * 1024;
/** How long a connection stays open after its last response. An earlier close could send a reset, which can destroy the
 *  response before the caller has read it. */
constexpr milliseconds linger_timeout{1000};
/** A caller that acknowledges no byte of a response for this long is taken for dead. */
constexpr milliseconds send_stall_timeout{3000};
/** Allowed size of the start line and headers of internal requests, if the limit for callers is lower. */
constexpr std::size_t internal_header_bytes = 8192;

} // namespace

/** State of the server. */
struct caller_server::impl {
    /** One connection. */
    struct connection {
        std::unique_ptr<tcp_stream> stream;     ///< TCP stream.
        std::unique_ptr<message_reader> reader; ///< Request reader.
        std::string pipelined;                  ///< Bytes received after the request in flight.
        std::optional<request_key> serving;     ///< Request in flight.
        address_roles roles;                    ///< Roles of the address that accepted it.
        bool head = false;                      ///< The request in flight is a HEAD request.
        bool close_after = false;               ///< Close once the response is sent.
        bool lingering =
            false; ///< Open only until the caller has read the last response; received bytes are discarded.
        bool sent_continue = false;     ///< 100 Continue was sent.
        std::size_t response_size = 0;  ///< Size of the last response.
        std::size_t unacknowledged = 0; ///< Bytes of it that the caller lacked when that was last checked.
        timer_id timer;                 ///< Idle, header, send or linger time-out.
    };
    event_loop& loop;                                                           ///< Event loop.
    hooks service;                                                              ///< Callbacks into the service.
    std::vector<std::unique_ptr<tcp_listener>> listeners;                       ///< Listening sockets.
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections; ///< Open connections, by number.
    std::unordered_map<std::uint64_t, std::uint64_t> serving;                   ///< Connection number, by request key.
    std::uint64_t last_connection = 0;                                          ///< Last connection number used.
    std::uint64_t last_key = 0;                                                 ///< Last request key used.
    bool closing = false;               ///< Each response closes its connection.
    std::size_t caller_connections = 0; ///< Open connections to addresses for callers.

    void accept(int socket, address_roles roles);
    void on_bytes(std::uint64_t number, std::string_view bytes);
    void read_requests(std::uint64_t number, std::string_view bytes);
    void on_request(std::uint64_t number, connection& from);
    void refuse(std::uint64_t number, int status, char const* reason);
    void on_end(std::uint64_t number);
    void remove(std::uint64_t number);
    void set_timer(std::uint64_t number, connection& of, milliseconds limit);
    void on_timer(std::uint64_t number);
    /** Ends a connection whose caller has made no progress with a response since the last check. */
    void check_progress(std::uint64_t number, connection& of);
    /** The socket has accepted the complete response. */
    void on_flushed(std::uint64_t number);
    /** Reports a connection that ends before its response was sent. */
    void report_cut(connection const& of) const;
    void respond(request_key key, http_response response);
    caller_limits limits_of(connection const& of) const;
};

namespace {

/** @return the number of headers named @p name. */
std::size_t count_headers(http_request const& request, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(request.headers.begin(), request.headers.end(),
                                                  [name](http_header const& each) { return each.name == name; }));
}

/** @return status and text of the response to a message that cannot be parsed. */
std::pair<int, char const*> refusal_of(parse_state state)
{
    switch (state) {
    case parse_state::header_too_large: return {431, "headers exceed the limit"};
    case parse_state::body_too_large: return {413, "body exceeds the limit"};
    default: return {400, "not a valid HTTP/1.1 request"};
    }
}

} // namespace

caller_limits caller_server::impl::limits_of(connection const& of) const
{
    auto limits = service.limits();
    if (of.roles.has(address_role::callers)) return limits;
    limits.max_header_bytes = std::max(limits.max_header_bytes, internal_header_bytes);
    limits.max_body_bytes = checked::max_body_bytes;
    return limits;
}

void caller_server::impl::accept(int socket, address_roles roles)
{
    auto const number = ++last_connection;
    auto made = std::make_unique<connection>();
    made->roles = roles;
    auto const limits = limits_of(*made);
    made->reader = std::make_unique<message_reader>(message_reader::kind::request,
                                                    message_limits{limits.max_header_bytes, limits.max_body_bytes});
    stream_events events;
    events.on_bytes = [this, number](std::string_view bytes) { on_bytes(number, bytes); };
    events.on_end = [this, number](stream_end) { on_end(number); };
    events.on_flushed = [this, number] { on_flushed(number); };
    made->stream = std::make_unique<tcp_stream>(loop, socket, stream_options{}, std::move(events));
    set_timer(number, *made, limits.idle_timeout);
    connections.emplace(number, std::move(made));
    if (roles.has(address_role::callers)) ++caller_connections;
}

void caller_server::impl::set_timer(std::uint64_t number, connection& of, milliseconds limit)
{
    loop.cancel(of.timer);
    of.timer = loop.run_at(loop.now() + limit, [this, number] { on_timer(number); });
}

void caller_server::impl::on_timer(std::uint64_t number)
{
    auto const found = connections.find(number);
    if (found == connections.end() || found->second->serving) return;
    auto& of = *found->second;
    if (of.stream->unsent() > 0) {
        check_progress(number, of);
        return;
    }
    if (of.lingering || !of.reader->started()) {
        remove(number);
        return;
    }
    refuse(number, 408, "the request took too long to arrive");
}

void caller_server::impl::check_progress(std::uint64_t number, connection& of)
{
    auto const left = of.stream->unacknowledged();
    if (left < of.unacknowledged) {
        of.unacknowledged = left;
        set_timer(number, of, send_stall_timeout);
        return;
    }
    report_cut(of);
    remove(number);
}

void caller_server::impl::on_flushed(std::uint64_t number)
{
    auto const found = connections.find(number);
    if (found == connections.end() || found->second->serving) return;
    auto& of = *found->second;
    if (of.close_after) {
        remove(number);
    } else if (!of.lingering && !of.reader->started()) {
        set_timer(number, of, limits_of(of).idle_timeout);
    }
}

void caller_server::impl::report_cut(connection const& of) const
{
    if (of.stream->unsent() == 0 || !service.on_response_cut) return;
    service.on_response_cut(of.response_size - std::min(of.response_size, of.stream->unacknowledged()),
                            of.response_size);
}

void caller_server::impl::on_bytes(std::uint64_t number, std::string_view bytes)
{
    auto const found = connections.find(number);
    if (found == connections.end()) return;
    auto& from = *found->second;
    if (from.lingering || from.close_after) return;
    if (!from.serving && from.pipelined.empty()) {
        read_requests(number, bytes);
        return;
    }
    from.pipelined.append(bytes);
    if (from.pipelined.size() > max_pipelined_bytes) {
        service.on_rejected(0, "too much was sent ahead");
        on_end(number);
    }
}

void caller_server::impl::read_requests(std::uint64_t number, std::string_view bytes)
{
    auto& from = *connections.at(number);
    bool const was_started = from.reader->started();
    auto const used = from.reader->feed(bytes);
    if (from.reader->state() == parse_state::incomplete) {
        if (!was_started) set_timer(number, from, limits_of(from).header_timeout);
        if (from.reader->expects_continue() && !from.sent_continue) {
            from.sent_continue = true;
            from.stream->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    }
    if (from.reader->state() != parse_state::complete) {
        auto const [status, reason] = refusal_of(from.reader->state());
        refuse(number, status, reason);
        return;
    }
    from.pipelined.assign(bytes.substr(used));
    on_request(number, from);
}

void caller_server::impl::on_request(std::uint64_t number, connection& from)
{
    auto& request = from.reader->request();
    if (request.path.empty() || request.path.front() != '/' || count_headers(request, "host") != 1) {
        refuse(number, 400, "a request needs a path and one Host");
        return;
    }
    request_key const key(++last_key);
    from.serving = key;
    from.head = request.method == "HEAD";
    from.close_after = closing || !from.reader->keep_alive();
    from.sent_continue = false;
    serving.emplace(key.value(), number);
    loop.cancel(from.timer);
    service.on_request({key,
                        std::move(request),
                        from.roles,
                        {loop.max_unread_time(), from.stream->round_trip()},
                        caller_address(from.stream->peer_host())});
}

void caller_server::impl::refuse(std::uint64_t number, int status, char const* reason)
{
    auto& from = *connections.at(number);
    service.on_rejected(status, reason);
    http_response response;
    response.status = status;
    response.headers.push_back({"content-type", "text/plain"});
    response.body = std::string(reason) + "\n";
    from.lingering = true;
    from.stream->send(serialize(response, true));
    set_timer(number, from, linger_timeout);
}

void caller_server::impl::on_end(std::uint64_t number)
{
    auto const found = connections.find(number);
    if (found == connections.end()) return;
    auto const serving_key = found->second->serving;
    report_cut(*found->second);
    remove(number);
    if (serving_key) service.on_caller_disconnected(*serving_key);
}

void caller_server::impl::remove(std::uint64_t number)
{
    auto const found = connections.find(number);
    if (found == connections.end()) return;
    auto const entry = std::move(found->second);
    connections.erase(found);
    loop.cancel(entry->timer);
    if (entry->serving) serving.erase(entry->serving->value());
    if (entry->roles.has(address_role::callers)) --caller_connections;
}

void caller_server::impl::respond(request_key key, http_response response)
{
    auto const found = serving.find(key.value());
    if (found == serving.end()) return;
    auto const number = found->second;
    serving.erase(found);
    auto& to = *connections.at(number);
    to.serving.reset();
    to.close_after = to.close_after || closing;
    auto const bytes = serialize(response, to.close_after, to.head);
    to.stream->send(bytes);
    to.response_size = bytes.size();
    to.unacknowledged = to.stream->unacknowledged();
    bool const flushed = to.stream->unsent() == 0;
    if (to.close_after && flushed) {
        // Deferred: respond() may be called within a callback of the connection.
        loop.run_at(loop.now(), [this, number] { remove(number); });
        return;
    }
    set_timer(number, to, flushed ? limits_of(to).idle_timeout : send_stall_timeout);
    if (to.close_after) {
        to.lingering = true;
        return;
    }
    to.reader->restart();
    if (to.pipelined.empty()) return;
    loop.run_at(loop.now(), [this, number] {
        auto const again = connections.find(number);
        if (again == connections.end() || again->second->serving) return;
        auto const bytes = std::move(again->second->pipelined);
        again->second->pipelined.clear();
        read_requests(number, bytes);
    });
}

caller_server::caller_server(event_loop& loop, hooks hooks)
    : m_impl(new impl{loop, std::move(hooks), {}, {}, {}, 0, 0, false, 0})
{
}

caller_server::~caller_server() = default;

std::uint16_t caller_server::listen(endpoint const& address, address_roles roles)
{
    auto* state = m_impl.get();
    m_impl->listeners.push_back(std::make_unique<tcp_listener>(
        m_impl->loop, address, [state, roles](int socket) { state->accept(socket, roles); }));
    return m_impl->listeners.back()->port();
}

void caller_server::respond(request_key key, http_response response) { m_impl->respond(key, std::move(response)); }

void caller_server::close_after_responses() { m_impl->closing = true; }

void caller_server::stop_listening()
{
    m_impl->listeners.clear();
    std::vector<std::uint64_t> idle;
    for (auto const& [number, each] : m_impl->connections) {
        if (each->serving || each->reader->started()) continue;
        if (each->stream->unsent() == 0) idle.push_back(number);
        each->close_after = true; // Once its response is sent.
    }
    for (auto const number : idle)
        m_impl->remove(number);
}

std::size_t caller_server::connections() const { return m_impl->caller_connections; }

} // namespace cornelspring
