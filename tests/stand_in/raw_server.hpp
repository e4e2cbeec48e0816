/** @file raw_server.hpp A server that sends fixed bytes, in place of a store or a gateway whose responses are broken.
 */
#pragma once

#include <cornelspring/net.hpp>

#include <unordered_map>

namespace cornelspring::testing {

/** Responds to whatever it receives with the same bytes. */
class raw_server {
public:
    /** @param loop event loop. @param listen address. @param response bytes sent for each read. @param repeated bytes
     *  sent after them until the connection is closed, as fast as the peer reads; empty: none. */
    raw_server(event_loop& loop, endpoint const& listen, std::string response, std::string repeated);
    /** @return the bound port. */
    std::uint16_t port() const { return m_listener.port(); }

private:
    void accept(int socket);
    void on_bytes(std::uint64_t number);
    void send_endlessly(std::uint64_t number);

    event_loop& m_loop;                                                           ///< Event loop.
    std::string m_response;                                                       ///< Bytes sent for each read.
    std::string m_repeated;                                                       ///< Bytes sent after them.
    std::unordered_map<std::uint64_t, std::unique_ptr<tcp_stream>> m_connections; ///< Open connections by number.
    std::uint64_t m_last_number = 0;                                              ///< Number of the last connection.
    tcp_listener m_listener;                                                      ///< Listener.
};

} // namespace cornelspring::testing
