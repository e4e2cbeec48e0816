/** @file test_tcp_stream.cpp Sending bytes over a TCP stream on the event loop. */
#include <cornelspring/net.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace std::chrono_literals;

TEST_CASE("stream: a message much larger than the socket's send buffer arrives complete")
{
    event_loop loop;
    std::string const large(48 << 20, 'x');
    std::unique_ptr<tcp_stream> sender;
    tcp_listener listener(loop, {"127.0.0.1", 0}, [&](int socket) {
        sender = std::make_unique<tcp_stream>(loop, socket, stream_options{}, stream_events{});
        sender->send(large);
    });
    std::size_t received = 0;
    stream_events events;
    events.on_bytes = [&](std::string_view bytes) {
        received += bytes.size();
        if (received == large.size()) loop.stop();
    };
    tcp_stream receiver(loop, {"127.0.0.1", listener.port()}, {}, std::move(events));
    loop.run_at(clock::now() + 10s, [&] { loop.stop(); });
    loop.run();
    CHECK(received == large.size());
}
