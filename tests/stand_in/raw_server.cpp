/** @file raw_server.cpp A server that sends fixed bytes, in place of a store or a gateway whose responses are broken.
 */
#include "raw_server.hpp"

namespace cornelspring::testing {

raw_server::raw_server(event_loop& loop, endpoint const& listen, std::string response, std::string repeated)
    : m_loop(loop), m_response(std::move(response)), m_repeated(std::move(repeated)),
      m_listener(loop, listen, [this](int socket) { accept(socket); })
{
}

void raw_server::accept(int socket)
{
    auto const number = ++m_last_number;
    stream_events events;
    events.on_bytes = [this, number](std::string_view) { on_bytes(number); };
    events.on_end = [this, number](stream_end) {
        m_loop.run_at(m_loop.now(), [this, number] { m_connections.erase(number); });
    };
    m_connections[number] = std::make_unique<tcp_stream>(m_loop, socket, stream_options{}, std::move(events));
}

void raw_server::on_bytes(std::uint64_t number)
{
    m_connections.at(number)->send(m_response);
    if (!m_repeated.empty()) send_endlessly(number);
}

void raw_server::send_endlessly(std::uint64_t number)
{
    constexpr std::size_t max_unsent = 1 << 20;
    auto const found = m_connections.find(number);
    if (found == m_connections.end()) return;
    if (found->second->unsent() < max_unsent) found->second->send(m_repeated);
    m_loop.run_at(m_loop.now() + milliseconds(1), [this, number] { send_endlessly(number); });
}

} // namespace cornelspring::testing
