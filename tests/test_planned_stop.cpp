/** @file test_planned_stop.cpp Requests that callers send while a gateway process stops as planned. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using nlohmann::json;

namespace {

/** Time that backend servers work on a request. */
constexpr milliseconds work_time{600};
/** Time between the first and the last byte of a request that a slow caller sends. */
constexpr milliseconds upload_time{500};

/** Callers that send one request after the other until the gateway is gone. */
class steady_callers {
public:
    /** What a caller saw of its request. */
    struct outcome {
        int status = 0;          ///< Status of the response; 0: none.
        bool repeatable = false; ///< The request may be repeated.
        std::string phase;       ///< Time since the stop signal when the request was sent, in ms.
    };
    explicit steady_callers(gateway_fleet& fleet) : m_fleet(fleet)
    {
        for (int i = 0; i < 24; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }
    /** Records the time of the stop signal. */
    void on_signal() { m_signal_at = clock::now(); }
    /** Stops the callers. @return the outcomes by request id. */
    std::map<std::string, outcome> finish()
    {
        m_stopping = true;
        for (auto& thread : m_threads)
            thread.join();
        return m_outcomes;
    }

private:
    void run(int caller)
    {
        for (int number = 0; !m_stopping; ++number) {
            raw_connection connection(gateway_fleet::address(1, "frontend"));
            // Uses the connection for as many requests as the gateway allows.
            for (; !m_stopping; ++number) {
                auto const id = "c" + std::to_string(caller) + "-" + std::to_string(number);
                if (!exchange(connection, caller, id)) break;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    }
    /** Sends a request. @return whether the connection can carry another. */
    bool exchange(raw_connection& connection, int caller, std::string const& id)
    {
        bool const repeatable = caller % 2 == 0;
        bool const slow = caller % 3 == 0;
        auto const head = std::string(repeatable ? "GET /r/" : "POST /w/") + id +
                          " HTTP/1.1\r\nHost: h.example\r\nDeadline: 1900\r\nRequest-Id: " + id;
        auto const sent_at = clock::now();
        connection.send(head);
        if (slow) std::this_thread::sleep_for(upload_time);
        connection.send(repeatable ? "\r\n\r\n" : "\r\nContent-Length: 1\r\n\r\nx");
        auto const response = connection.receive();
        auto const since_signal = std::chrono::duration_cast<milliseconds>(sent_at - m_signal_at.load()).count();
        std::lock_guard lock(m_mutex);
        m_outcomes[id] = {response ? response->status : 0, repeatable, std::to_string(since_signal)};
        return response && response->header("connection") != "close";
    }

    gateway_fleet& m_fleet;                                 ///< Processes.
    std::atomic<time_point> m_signal_at{time_point::max()}; ///< When the gateway was told to stop.
    std::atomic<bool> m_stopping{false};                    ///< No more requests.
    std::mutex m_mutex;                                     ///< Guards the outcomes.
    std::map<std::string, outcome> m_outcomes;              ///< By request id.
    std::vector<std::thread> m_threads;                     ///< One for each caller.
};

} // namespace

TEST_CASE("no request that a stopping gateway has passed on ends without a response")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior({{"work_ms", work_time.count()}});
    steady_callers callers(fleet);
    std::this_thread::sleep_for(milliseconds(500));
    callers.on_signal();
    CHECK(fleet.processes.stop("gw-1", SIGTERM) == 0);
    auto const outcomes = callers.finish();
    std::set<std::string> passed_on;
    for (auto const& entry : fleet.journal())
        passed_on.insert(entry["id"].get<std::string>());
    int served = 0;
    for (auto const& [id, outcome] : outcomes) {
        CAPTURE(id);
        CAPTURE(outcome.phase);
        CAPTURE(outcome.repeatable);
        if (passed_on.contains(id)) CHECK(outcome.status == 200);
        if (!passed_on.contains(id)) CHECK((outcome.status == 0 || outcome.status == 503));
        served += outcome.status == 200 ? 1 : 0;
    }
    CHECK(served > 24);
}

TEST_CASE("a request that arrives at the end of the grace time is not passed on")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto config = json::parse(fleet.call_store("keys")["op/config"].get<std::string>());
    config["version"] = 2;
    config["limits"]["header_timeout_ms"] = 5000;
    fleet.call_store("put", {{"key", "op/config"}, {"value", config}});
    std::this_thread::sleep_for(milliseconds(1000));
    fleet.set_backend_behavior({{"work_ms", work_time.count()}});

    // Connections whose requests have started to arrive stay open until their requests are complete. The gateway's
    // grace time is 4 s.
    constexpr int requests = 60;
    constexpr milliseconds first_completed{2600};
    constexpr milliseconds interval{20};
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int i = 0; i < requests; ++i) {
        connections.push_back(std::make_unique<raw_connection>(gateway_fleet::address(1, "frontend")));
        connections.back()->send("POST /w/late HTTP/1.1\r\nHost: h.example\r\n");
    }
    auto const signal_at = clock::now();
    std::thread stopping([&] { CHECK(fleet.processes.stop("gw-1", SIGTERM) == 0); });
    for (int i = 0; i < requests; ++i) {
        std::this_thread::sleep_until(signal_at + first_completed + i * interval);
        connections[static_cast<std::size_t>(i)]->send("Request-Id: late-" + std::to_string(i) +
                                                       "\r\nDeadline: 1900\r\nContent-Length: 1\r\n\r\nx");
    }
    std::map<std::string, int> statuses;
    for (int i = 0; i < requests; ++i) {
        auto const response = connections[static_cast<std::size_t>(i)]->receive();
        statuses["late-" + std::to_string(i)] = response ? response->status : 0;
    }
    stopping.join();
    std::set<std::string> passed_on;
    for (auto const& entry : fleet.journal())
        passed_on.insert(entry["id"].get<std::string>());
    int refused = 0;
    for (auto const& [id, status] : statuses) {
        CAPTURE(id);
        CAPTURE(passed_on.contains(id));
        CHECK((passed_on.contains(id) ? status == 200 : status == 503 || status == 0));
        refused += status == 503 ? 1 : 0;
    }
    CHECK(refused > 10);
}
