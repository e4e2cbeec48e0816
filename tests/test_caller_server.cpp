/** @file test_caller_server.cpp Responses to callers that read slowly or not at all. */
#include <cornelspring/gateway.hpp>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** Size of the response: more than the system buffers for a connection. */
constexpr std::size_t response_bytes = 7'500'000;

/** A server that responds to each request with response_bytes, and one caller in a thread of its own. */
struct server_fixture {
    server_fixture()
    {
        caller_server::hooks hooks;
        hooks.on_request = [this](caller_request request) {
            http_response response;
            response.body.assign(response_bytes, 'x');
            server->respond(request.key, std::move(response));
        };
        hooks.on_caller_disconnected = [](request_key) {};
        hooks.limits = [] {
            caller_limits limits;
            limits.idle_timeout = 500ms;
            return limits;
        };
        hooks.on_rejected = [](int, char const*) {};
        hooks.on_response_cut = [this](std::size_t received, std::size_t size) {
            cut_at = received;
            CHECK(size > response_bytes);
        };
        server = std::make_unique<caller_server>(loop, std::move(hooks));
        port = server->listen({"127.0.0.1", 0}, address_role::callers);
    }
    /** Sends a request and reads until the response is complete or the connection ends. Runs the event loop meanwhile.
     *  @param header header of the request. @param bytes_per_s speed of reading; 0: the caller does not read.
     *  @return number of bytes read. */
    std::size_t fetch(std::string const& header, double bytes_per_s)
    {
        std::atomic<std::size_t> received{0};
        std::atomic<bool> done{false};
        std::thread caller([&] {
            read_response(header, bytes_per_s, received);
            done = true;
        });
        std::function<void()> const poll = [&] {
            if (done) {
                loop.stop();
            } else {
                loop.run_at(loop.now() + 10ms, poll);
            }
        };
        loop.run_at(loop.now(), poll);
        loop.run();
        caller.join();
        return received;
    }
    /** The part of fetch() that the caller's thread runs. */
    void read_response(std::string const& header, double bytes_per_s, std::atomic<std::size_t>& received) const
    {
        int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const receive_buffer = 65536;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
        auto const request = "GET /x HTTP/1.1\r\nhost: h\r\n" + header + "\r\n";
        bool const sent = connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to) == 0 &&
                          send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0;
        std::string buffer(16384, '\0');
        if (bytes_per_s == 0) std::this_thread::sleep_for(7s); // Longer than until a caller is taken for dead.
        while (sent && bytes_per_s > 0 && received < response_bytes) {
            auto const count = recv(fd, buffer.data(), buffer.size(), 0);
            if (count <= 0) break;
            received += static_cast<std::size_t>(count);
            std::this_thread::sleep_for(std::chrono::duration<double>(static_cast<double>(count) / bytes_per_s));
        }
        close(fd);
    }

    event_loop loop;
    std::unique_ptr<caller_server> server;
    std::uint16_t port = 0;
    std::optional<std::size_t> cut_at;
};

} // namespace

// Guards against counting the linger time-out from the start of a response that its caller is still reading.
TEST_CASE_FIXTURE(server_fixture, "caller server: a response that its caller is still reading is not cut off")
{
    CHECK(fetch("connection: close\r\n", 2.5e6) >= response_bytes);
    CHECK_FALSE(cut_at);
}

TEST_CASE_FIXTURE(server_fixture,
                  "caller server: a keep-alive connection is not idle while its caller is still reading")
{
    CHECK(fetch("", 2.5e6) >= response_bytes);
    CHECK_FALSE(cut_at);
}

TEST_CASE_FIXTURE(server_fixture, "caller server: closing idle connections spares responses that are still being read")
{
    loop.run_at(loop.now() + 300ms, [this] { server->stop_listening(); });
    CHECK(fetch("", 2.5e6) >= response_bytes);
    CHECK_FALSE(cut_at);
}

TEST_CASE_FIXTURE(server_fixture, "caller server: a caller that takes nothing is disconnected and reported")
{
    fetch("connection: close\r\n", 0);
    CHECK(server->connections() == 0);
    REQUIRE(cut_at);
    CHECK(*cut_at < response_bytes);
}
