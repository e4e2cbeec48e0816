/** @file test_store_channel.cpp How long a call to the store or to a peer gateway waits for its response. */
#include "gateway/store_channel.hpp"

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** A peer whose response has ten chunks. It sends one every 200 ms and stops after @c chunks_sent of them. */
struct slow_peer {
    explicit slow_peer(int chunks_sent)
        : listener(loop, {"127.0.0.1", 0}, [this, chunks_sent](int socket) {
              stream_events events;
              events.on_bytes = [this, chunks_sent](std::string_view) {
                  stream->send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n");
                  for (int i = 0; i < chunks_sent; ++i)
                      loop.run_at(clock::now() + 200ms * i, [this] { stream->send("0123456789"); });
              };
              stream = std::make_unique<tcp_stream>(loop, socket, stream_options{}, std::move(events));
          })
    {
    }
    /** @return the result and the duration of a call with a timeout of 300 ms. */
    std::pair<exchange_result, clock::duration> call()
    {
        std::pair<exchange_result, clock::duration> outcome;
        auto const started_at = clock::now();
        store_channel channel(loop);
        channel.call({"127.0.0.1", listener.port()}, {}, 300ms, [&](exchange_result const& result) {
            outcome = {result, clock::now() - started_at};
            loop.stop();
        });
        loop.run();
        return outcome;
    }

    event_loop loop;
    std::unique_ptr<tcp_stream> stream;
    tcp_listener listener;
};

} // namespace

TEST_CASE("channel: a call lasts beyond its timeout while its response keeps arriving")
{
    slow_peer peer(10);
    auto const [result, took] = peer.call();
    CHECK(result.completed);
    CHECK(result.response.body.size() == 100);
    CHECK(took > 1500ms);
}

TEST_CASE("channel: a call whose response starts and then stalls times out soon")
{
    slow_peer peer(3);
    auto const [result, took] = peer.call();
    CHECK_FALSE(result.completed);
    CHECK(took > 700ms);
    CHECK(took < 2000ms);
}
