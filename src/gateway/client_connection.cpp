/** @file client_connection.cpp Client side of an HTTP/1.1 connection, with one exchange at a time. */
#include <cornelspring/gateway.hpp>

#include <charconv>

namespace cornelspring {
namespace {

/** Subtracted from the idle timeout that the peer announces, so that no request is sent while the peer closes. */
constexpr milliseconds keep_alive_margin{400};

} // namespace

client_connection::client_connection(event_loop& loop, endpoint const& peer, stream_options options,
                                     message_limits limits)
    : m_loop(loop), m_reader(message_reader::kind::response, limits)
{
    stream_events events;
    events.on_connected = [this] {
        m_established = true;
        m_idle_since = m_loop.now();
        if (m_exchange) send_request();
        if (auto const hook = std::exchange(m_on_connected, nullptr)) hook(true);
    };
    events.on_bytes = [this](std::string_view bytes) { on_bytes(bytes); };
    events.on_end = [this](stream_end how) { on_end(how); };
    m_stream = std::make_unique<tcp_stream>(loop, peer, options, std::move(events));
}

void client_connection::start(exchange next)
{
    m_exchange = std::move(next);
    m_sent = false;
    m_reader.restart();
    if (m_exchange->head_request) m_reader.expect_no_body();
    if (m_established) send_request();
}

void client_connection::send_request()
{
    auto const bytes = m_exchange->write_request(m_loop.now());
    if (!bytes.empty()) {
        m_sent = true;
        m_stream->send(bytes);
        return;
    }
    // Deferred: the owner may not have returned from start() yet.
    m_loop.run_at(m_loop.now(), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired() && m_exchange)
            finish_exchange({false, false, peer_failure::none, {}, "no time was left to send it"});
    });
}

bool client_connection::reusable() const { return !m_unusable && m_stream->open() && !m_exchange; }

void client_connection::on_bytes(std::string_view bytes)
{
    m_bytes_received += bytes.size();
    if (m_exchange && m_exchange->on_received) m_exchange->on_received(bytes.size());
    while (!bytes.empty()) {
        if (!m_exchange) { // Unexpected bytes: the connection must not be used again.
            m_unusable = true;
            if (m_on_idle_closed) m_on_idle_closed();
            return;
        }
        auto const used = m_reader.feed(bytes);
        bytes.remove_prefix(used);
        if (m_reader.state() == parse_state::incomplete) return;
        if (m_reader.state() != parse_state::complete) {
            m_unusable = true;
            finish_exchange({false, true, peer_failure::broken_off, {}, "malformed response"});
            return;
        }
        auto const match = m_exchange->matches(m_reader.response());
        if (match == match::expected) {
            handle_response(bytes);
            return;
        }
        m_unusable = true;
        if (match == match::unidentified) {
            finish_exchange({false, true, peer_failure::none, {}, "response without a request id"});
            return;
        }
        // A late response to an earlier request. The expected one may still follow, but the connection is not used
        // again.
        m_reader.restart();
        if (m_exchange->head_request) m_reader.expect_no_body();
    }
}

void client_connection::handle_response(std::string_view rest)
{
    // Bytes after the response, or a response before the complete request was sent, make the connection unusable.
    if (!rest.empty() || !m_reader.keep_alive() || m_stream->unsent() > 0) m_unusable = true;
    exchange_result result{true, true, peer_failure::none, std::move(m_reader.response()), ""};
    update_keep_alive_deadline(result.response);
    finish_exchange(std::move(result));
}

void client_connection::update_keep_alive_deadline(http_response const& response)
{
    auto const value = response.header("keep-alive");
    auto const at = value.find("timeout=");
    if (at == std::string::npos) return;
    int seconds = 0;
    auto const* begin = value.data() + at + std::string_view("timeout=").size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc()) return;
    m_keep_alive_deadline = m_loop.now() + std::chrono::seconds(seconds) - keep_alive_margin;
}

void client_connection::on_end(stream_end how)
{
    m_unusable = true;
    if (!m_exchange) {
        if (auto const hook = std::exchange(m_on_connected, nullptr)) {
            hook(false);
        } else if (m_on_idle_closed) {
            m_on_idle_closed();
        }
        return;
    }
    if (how == stream_end::closed && m_reader.headers_done()) {
        m_reader.finish();
        if (m_reader.state() == parse_state::complete && m_exchange->matches(m_reader.response()) == match::expected) {
            handle_response({});
            return;
        }
    }
    bool const sent = m_sent;
    char const* detail = !sent                       ? "connection refused"
                         : m_reader.started()        ? "response cut short"
                         : how == stream_end::closed ? "closed without a response"
                         : m_used                    ? "kept connection reset"
                                                     : "reset without a response";
    auto const failure = !sent                                             ? peer_failure::none
                         : m_reader.started() || how == stream_end::closed ? peer_failure::broken_off
                                                                           : peer_failure::reset;
    finish_exchange({false, sent, failure, {}, detail});
}

void client_connection::finish_exchange(exchange_result result)
{
    auto const done = std::move(m_exchange->done);
    m_exchange.reset();
    m_used = true;
    m_idle_since = m_loop.now();
    done(std::move(result)); // May destroy this object.
}

} // namespace cornelspring
