/** @file test_backend_pool.cpp Which connection of the pool an attempt is sent on. */
#include <cornelspring/gateway.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** A pool and one backend server that responds to every request, on one event loop. */
struct pool_fixture {
    pool_fixture()
    {
        caller_server::hooks hooks;
        hooks.on_request = [this](caller_request request) { server->respond(request.key, http_response{}); };
        hooks.on_caller_disconnected = [](request_key) {};
        hooks.limits = [] { return caller_limits{}; };
        hooks.on_rejected = [](int, char const*) {};
        server = std::make_unique<caller_server>(loop, std::move(hooks));
        target->registration.id = backend_id("b");
        target->registration.address = {"127.0.0.1", server->listen({"127.0.0.1", 0}, address_role::callers)};
        pool_options options;
        options.names.deadline = "deadline";
        options.names.request_id = "request-id";
        options.names.not_executed = "not-executed";
        pool = std::make_unique<backend_pool>(loop, options, [this](attempt_id, attempt_result result) {
            results.push_back(std::move(result));
            if (results.size() == sent) loop.stop();
        });
    }
    /** Sends an attempt. @param used connections that carried earlier attempts of the same request. */
    void send(std::vector<connection_id> used = {})
    {
        outgoing_attempt attempt;
        attempt.id = attempt_id(++sent);
        attempt.target = target;
        attempt.head = "GET /x HTTP/1.1\r\nhost: h\r\n";
        attempt.caller_deadline = clock::now() + 5s;
        attempt.used_connections = std::move(used);
        pool->send(std::move(attempt));
    }
    /** Waits for the results of all attempts. @return the connection of the last one. */
    connection_id await_results()
    {
        loop.run();
        REQUIRE(results.back().outcome == attempt_status::answered);
        return results.back().connection;
    }

    event_loop loop;
    std::unique_ptr<caller_server> server;
    std::shared_ptr<backend_server> target = std::make_shared<backend_server>();
    std::unique_ptr<backend_pool> pool;
    std::size_t sent = 0;
    std::vector<attempt_result> results;
};

} // namespace

// Guards against a late copy of an earlier response, with the same request id, that counts for a later attempt.
TEST_CASE_FIXTURE(pool_fixture, "backend pool: two attempts of one request are not sent on the same connection")
{
    send();
    auto const first = await_results();
    send({first});
    auto const second = await_results();
    CHECK(second != first);
    send();
    CHECK(await_results() == second); // The first connection was closed in exchange for the second one.
    CHECK(server->connections() == 1);
}

TEST_CASE_FIXTURE(pool_fixture, "backend pool: another idle connection is used rather than a new one")
{
    send();
    send();
    await_results();
    send({results[1].connection}); // The one that became idle last, which is preferred otherwise.
    CHECK(await_results() == results[0].connection);
    CHECK(pool->connections_opened() == 2);
    CHECK(server->connections() == 2);
}
