/** @file shard_server.cpp Stand-in for a backend server of the users' platform. */
#include "shard_server.hpp"

#include <sys/socket.h>

#include <map>

namespace cornelspring::testing {
namespace {

/** Makes the close of @p socket reset its connection. */
void reset_on_close(int socket)
{
    linger const none{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

/** A response without an end. */
struct endless_response {
    std::string start;    ///< Bytes sent once.
    std::string repeated; ///< Bytes sent again and again after it.
};

/** @return the endless responses by mode. */
std::map<std::string, endless_response> const& endless_responses()
{
    static std::string const block(65536, 'a');
    static std::string interim;
    while (interim.size() < block.size())
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    static std::map<std::string, endless_response> const all{
        {"endless_head", {"HTTP/1.1 200 OK\r\nx-fill: ", block}},
        {"endless_interim", {"", interim}},
        {"endless_body", {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n", "10000\r\n" + block + "\r\n"}},
        {"endless_bytes", {"\x16\x03\x01", block}}};
    return all;
}

/** @return @p text with @p request_id in place of each "{id}". */
std::string fill_in(std::string text, std::string const& request_id)
{
    static std::string const placeholder = "{id}";
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + request_id.size()))
        text.replace(at, placeholder.size(), request_id);
    return text;
}

} // namespace

shard_server::shard_server(event_loop& loop, std::string id, std::string service, std::vector<journal_entry>& journal)
    : m_loop(loop), m_id(std::move(id)), m_service(std::move(service)), m_journal(journal)
{
    listen(0);
}

void shard_server::listen(std::uint16_t port)
{
    m_listener = std::make_unique<tcp_listener>(m_loop, endpoint{"127.0.0.1", port}, [this](int socket) {
        auto const number = ++m_last_number;
        auto& added = m_connections[number];
        added.reader = std::make_unique<message_reader>(message_reader::kind::request);
        stream_events events;
        events.on_bytes = [this, number](std::string_view bytes) { on_bytes(number, bytes); };
        events.on_end = [this, number](stream_end) {
            m_loop.run_at(m_loop.now(), [this, number] { m_connections.erase(number); });
        };
        added.socket = socket;
        added.stream = std::make_unique<tcp_stream>(m_loop, socket, stream_options{}, std::move(events));
    });
    m_port = m_listener->port();
}

void shard_server::crash(std::uint64_t number)
{
    if (!m_listener) return;
    static std::map<std::string, std::string> const last_bytes{
        {"half_head", "HTTP/1.1 200 OK\r\nserver-st"},
        {"half_body", "HTTP/1.1 200 OK\r\nserver-stamp: x\r\ncontent-length: 80\r\n\r\n0123"},
        {"garbage", "\x16\x03\x01 no response"}};
    auto const found = m_connections.find(number);
    auto const bytes = last_bytes.find(m_crash.form);
    if (found != m_connections.end() && bytes != last_bytes.end()) found->second.stream->send(bytes->second);
    if (m_crash.form == "silence") {
        // Open connections stay, as those of a VM without power.
        for (auto& [open_number, open] : m_connections)
            open.silent = true;
    } else {
        if (m_crash.form == "reset") {
            for (auto& [open_number, open] : m_connections)
                reset_on_close(open.socket);
        }
        m_connections.clear();
    }
    m_loop.run_at(m_loop.now() + m_crash.down, [this] { listen(m_port); });
    m_listener.reset();
}

std::string shard_server::records(std::string const& service, std::string const& request_id)
{
    std::string out;
    for (int i = 0; i < 5; ++i) {
        auto const hash = std::hash<std::string>()(service + request_id + std::to_string(i));
        char record[17];
        std::snprintf(record, sizeof record, "%016zx", hash);
        out.append(record, record_size);
    }
    return out;
}

void shard_server::on_bytes(std::uint64_t number, std::string_view bytes)
{
    auto const found = m_connections.find(number);
    if (found == m_connections.end() || found->second.silent) return;
    auto& reader = *found->second.reader;
    reader.feed(bytes);
    if (reader.state() == parse_state::incomplete) {
        if (m_behaviour.mode == "early" && reader.headers_done()) {
            http_response refusal;
            refusal.status = 503;
            refusal.headers = {{"request-id", reader.request().header("request-id")}, {"not-executed", "1"}};
            found->second.stream->send(serialize(refusal, false));
        }
        return;
    }
    auto request = std::move(reader.request());
    reader.restart();
    on_request(number, std::move(request));
}

void shard_server::send_endlessly(std::uint64_t number, std::string const& bytes)
{
    constexpr std::size_t max_unsent = 1 << 20;
    auto const found = m_connections.find(number);
    if (found == m_connections.end()) return;
    if (found->second.stream->unsent() < max_unsent) found->second.stream->send(bytes);
    m_loop.run_at(m_loop.now() + milliseconds(1), [this, number, bytes] { send_endlessly(number, bytes); });
}

shard_behaviour shard_server::consume_behaviour()
{
    auto behaviour = m_behaviour;
    if (m_behaviour.times > 0 && --m_behaviour.times == 0) m_behaviour = {};
    return behaviour;
}

void shard_server::on_request(std::uint64_t number, http_request request)
{
    auto const behaviour = consume_behaviour();
    auto const& mode = behaviour.mode;
    auto const now_ms = std::chrono::duration_cast<milliseconds>(m_loop.now().time_since_epoch()).count();
    bool const misdirected = request.header("target-instance") != m_id;
    bool const rejects = mode == "shed" || mode == "late_rejection" || mode == "late_unidentified" || mode == "early";
    bool const runs = !misdirected && !rejects;
    std::string headers;
    for (auto const& [name, value] : request.headers)
        headers.append(name).append(": ").append(value).append("\n");
    m_journal.push_back({request.header("request-id"), m_id, m_service, request.method + " " + request.path,
                         request.body, runs, now_ms, request.header("tenant"), request.header("authorization"),
                         std::move(headers)});
    if (misdirected || !runs) {
        reject(m_connections.at(number), request, misdirected, mode);
        return;
    }
    if (!m_crash.path.empty() && request.path == m_crash.path) {
        m_loop.run_at(m_loop.now() + milliseconds(m_behaviour.work_ms), [this, number] { crash(number); });
        return;
    }
    if (mode == "hang") return;
    if (auto const found = endless_responses().find(mode); found != endless_responses().end()) {
        auto const id = "request-id: " + request.header("request-id") + "\r\nserver-stamp: x\r\n";
        m_connections.at(number).stream->send(found->second.start + (mode == "endless_body" ? id + "\r\n" : ""));
        send_endlessly(number, found->second.repeated);
        return;
    }
    if (mode == "reset" || mode == "silent_run") {
        m_loop.run_at(m_loop.now() + milliseconds(m_behaviour.work_ms),
                      [this, number] { m_connections.erase(number); });
        return;
    }
    m_loop.run_at(m_loop.now() + milliseconds(m_behaviour.work_ms),
                  [this, number, request, behaviour] { respond(number, request, behaviour); });
}

void shard_server::reject(connection& to, http_request const& request, bool misdirected, std::string const& mode)
{
    http_response rejection;
    rejection.status = misdirected ? 421 : 503;
    rejection.headers = {{"request-id", request.header("request-id")},
                         {misdirected ? "instance-id" : "not-executed", misdirected ? m_id : "1"}};
    to.stream->send(std::exchange(to.late_response, {}) + serialize(rejection, false));
    if (mode == "late_unidentified") rejection.headers.erase(rejection.headers.begin());
    if (mode == "late_rejection" || mode == "late_unidentified") to.late_response = serialize(rejection, false);
}

http_response shard_server::make_response(http_request const& request) const
{
    http_response response;
    response.headers = {{"request-id", request.header("request-id")},
                        {"server-stamp", m_id + "." + request.header("request-id")}};
    response.body = request.body.empty() ? records(m_service, request.header("request-id")) : "ran " + request.body;
    return response;
}

void shard_server::respond(std::uint64_t number, http_request const& request, shard_behaviour const& behaviour)
{
    auto const found = m_connections.find(number);
    if (found == m_connections.end() || found->second.silent) return;
    auto& to = found->second;
    auto const& mode = behaviour.mode;
    if (mode == "raw") {
        to.stream->send(fill_in(behaviour.raw_response, request.header("request-id")));
        return;
    }
    auto response = make_response(request);
    if (mode == "error") response.status = 500;
    if (mode == "no_signature") std::erase_if(response.headers, [](auto const& h) { return h.name == "server-stamp"; });
    if (mode == "encoded") response.headers.push_back({"content-encoding", "gzip"});
    auto bytes = serialize(response, false);
    if (!to.late_response.empty()) bytes = std::exchange(to.late_response, {}) + bytes;
    if (mode == "late_extra") to.late_response = serialize(response, false);
    if (mode == "extra") bytes += serialize(response, false);
    if (mode == "unframed") {
        auto const length = "content-length: " + std::to_string(response.body.size()) + "\r\n";
        bytes.erase(bytes.find(length), length.size());
    }
    if (mode == "truncated") bytes.resize(bytes.size() - 7);
    to.stream->send(bytes);
    if (mode == "unframed" || mode == "truncated") {
        m_loop.run_at(m_loop.now() + milliseconds(1), [this, number] { m_connections.erase(number); });
    }
}

} // namespace cornelspring::testing
