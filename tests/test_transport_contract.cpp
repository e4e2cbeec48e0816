/** @file test_transport_contract.cpp Contract of the HTTP/2 client: the outcome it reports for each fault. */
#include <cornelspring/transport.hpp>

#include <atomic>
#include <future>
#include <thread>

#include <doctest/doctest.h>

using namespace cornelspring;

namespace {

/** Timeout of calls that must finish long before it. */
constexpr milliseconds long_timeout{20000};
/** Timeout of calls that are expected to time out. */
constexpr milliseconds short_timeout{300};

/** A server whose handler echoes the request body, or holds its response while `hold_responses` is set. */
struct test_server {
    std::atomic<int> received{0};
    std::atomic<bool> hold_responses{false};
    std::vector<respond_fn> held_responses; ///< Used only on the server thread.
    h2_server server{server_options{}, [this](http_request const& request, respond_fn respond) {
                         ++received;
                         if (hold_responses) {
                             held_responses.push_back(std::move(respond));
                         } else {
                             respond(json_response(200, request.body));
                         }
                     }};
    test_server() { server.start(); }
    endpoint address() const { return {"127.0.0.1", server.port()}; }
};

/** @return a small POST. */
http_request ping_request(std::string body = "{}")
{
    http_request request;
    request.method = "POST";
    request.path = "/x";
    request.body = std::move(body);
    return request;
}

} // namespace

TEST_CASE("each fault gives the outcome that tells whether the request may have run")
{
    struct fault_case {
        char const* name;
        std::function<void(test_server&)> inject; ///< Injects the fault before the call.
        milliseconds timeout;
        send_outcome outcome;
    };
    fault_case const cases[] = {
        {"healthy", [](test_server&) {}, long_timeout, send_outcome::answered},
        {"response is never sent", [](test_server& s) { s.hold_responses = true; }, short_timeout,
         send_outcome::unknown},
        {"server frozen after the connection opened", [](test_server& s) { s.server.set_frozen(true); }, long_timeout,
         send_outcome::unknown},
        {"connection no longer read or written", [](test_server& s) { s.server.silence_open_connections(); },
         long_timeout, send_outcome::unknown},
        {"server drains: the old connection got GOAWAY and nothing listens",
         [](test_server& s) { s.server.drain(milliseconds(50)); }, long_timeout, send_outcome::not_sent},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        test_server server;
        h2_client client;
        REQUIRE(client.call(server.address(), ping_request(), long_timeout).outcome == send_outcome::answered);
        item.inject(server);
        std::this_thread::sleep_for(milliseconds(100)); // until the server thread has applied the fault
        auto const started_at = clock::now();
        auto const result = client.call(server.address(), ping_request(), item.timeout);
        CHECK(result.outcome == item.outcome);
        // Long before the timeout, because PING detects an unresponsive connection.
        CHECK(clock::now() - started_at < long_timeout / 2);
        server.server.set_frozen(false);
    }
}

TEST_CASE("a server reads nothing that is sent after it was frozen, however late its thread wakes up")
{
    // The server thread waits in poll() when set_frozen() is called. It may wake up with both the wake-up event and
    // the request's bytes ready, and must then leave the bytes unread.
    constexpr int rounds = 200;
    constexpr milliseconds brief_timeout{4};
    test_server server;
    h2_client client;
    int read_while_frozen = 0;
    for (int i = 0; i < rounds; ++i) {
        REQUIRE(client.call(server.address(), ping_request(), long_timeout).outcome == send_outcome::answered);
        server.server.set_frozen(true);
        int const before = server.received;
        client.call(server.address(), ping_request(), brief_timeout);
        if (server.received != before) ++read_while_frozen;
        server.server.set_frozen(false);
    }
    CHECK(read_while_frozen == 0);
}

TEST_CASE("a call to a port on which nothing listens is reported as not sent")
{
    std::uint16_t port = 0;
    {
        test_server stopped;
        port = stopped.server.port();
    }
    h2_client client;
    auto const result = client.call({"127.0.0.1", port}, ping_request(), long_timeout);
    CHECK(result.outcome == send_outcome::not_sent);
}

TEST_CASE("after a connection became unresponsive, new calls use a new one")
{
    test_server server;
    h2_client client;
    REQUIRE(client.call(server.address(), ping_request(), long_timeout).outcome == send_outcome::answered);
    server.server.silence_open_connections();
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(client.call(server.address(), ping_request(), short_timeout).outcome == send_outcome::unknown);
    CHECK(client.call(server.address(), ping_request(), long_timeout).outcome == send_outcome::answered);
    CHECK(client.stats().connections_opened == 2);
}

TEST_CASE("late and reordered responses reach only their own calls")
{
    test_server server;
    h2_client client;
    server.hold_responses = true;
    constexpr int calls = 20;
    std::vector<std::future<client_result>> results;
    for (int i = 0; i < calls; ++i) {
        auto promise = std::make_shared<std::promise<client_result>>();
        results.push_back(promise->get_future());
        client.submit(server.address(), ping_request(std::to_string(i)), long_timeout,
                      [promise](client_result result) { promise->set_value(std::move(result)); });
    }
    while (server.received < calls)
        std::this_thread::sleep_for(milliseconds(5));
    // Respond in reverse order, each time with the number of the call.
    server.server.post([&server] {
        for (int i = calls - 1; i >= 0; --i)
            server.held_responses[static_cast<std::size_t>(i)](json_response(200, "response " + std::to_string(i)));
    });
    for (int i = 0; i < calls; ++i) {
        auto const result = results[static_cast<std::size_t>(i)].get();
        CHECK(result.outcome == send_outcome::answered);
        CHECK(result.response.body == "response " + std::to_string(i));
    }
}

TEST_CASE("a canceled call resets its stream, and the server's handler can see it")
{
    std::atomic<bool> seen{false};
    std::shared_ptr<std::atomic<bool>> flag;
    std::atomic<bool> arrived{false};
    h2_server server(server_options{}, [&](http_request const& request, respond_fn) {
        flag = request.canceled;
        arrived = true;
    });
    server.start();
    h2_client client;
    auto const id = client.submit({"127.0.0.1", server.port()}, ping_request(), long_timeout, [](client_result) {});
    while (!arrived)
        std::this_thread::sleep_for(milliseconds(5));
    client.cancel(id);
    for (int i = 0; i < 400 && !seen; ++i) {
        seen = flag->load();
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(seen);
}
