/** @file deployment.hpp A small deployment of processes with an entry node, for the integration and failure tests. */
#pragma once

#include "process_fixture.hpp"

#include <cornelspring/protocol.hpp>

#include <fstream>
#include <thread>

#include <doctest/doctest.h>

namespace cornelspring::testing {

/** Time within which an entry node must reach a configuration revision. */
inline constexpr auto convergence_timeout = std::chrono::seconds(10);
/** Time-out of an HTTP call from a test. */
inline constexpr milliseconds call_timeout{5000};

/** One store, one entry node, and three backend servers of a service with three shards; each shard has two replicas. */
struct deployment {
    process_group processes;
    http_client client;        ///< Client for requests of callers to the entry node.
    h2_client stand_in_client; ///< Client for the fault and journal endpoints of the store and the backend servers.
    std::uint16_t store = 0;
    std::uint16_t entry = 0;
    std::vector<std::uint16_t> backends;

    /** Starts all processes. @param slots number of requests that a backend server runs at the same time. */
    explicit deployment(int slots = 2)
    {
        store = processes.start("store", "cornel-store", {"--set", "listen.port=0"});
        std::vector<std::string> const holdings = {"[0,1]", "[1,2]", "[2,0]"};
        for (std::size_t i = 0; i < holdings.size(); ++i) {
            backends.push_back(
                processes.start("b" + std::to_string(i), "cornel-backend",
                                {"--set", "name=\"b" + std::to_string(i) + "\"", "--set", "service=\"svc\"", "--set",
                                 "shard_count=3", "--set", "shards=" + holdings[i], "--set",
                                 "corpus.max_documents=3000", "--set", "slots=" + std::to_string(slots)}));
        }
        entry = processes.start(
            "entry", "cornel-entry",
            {"--set", "id=\"e1\"", "--set", "listen.port=0", "--set", "store.address=\"" + loopback(store) + "\""});
    }

    /** @return the resource file of the service and its backend servers. @param version index version of the service.
     */
    std::string resources(std::int64_t version) const
    {
        std::string text = "[[service]]\nname = \"svc\"\ncustomer = \"Rechtshilfe\"\nshards = 3\nindex_version = " +
                           std::to_string(version) + "\n";
        std::vector<std::string> const holdings = {"[0,1]", "[1,2]", "[2,0]"};
        for (std::size_t i = 0; i < backends.size(); ++i) {
            text += "[[backend]]\nname = \"b" + std::to_string(i) + "\"\naddress = \"" + loopback(backends[i]) +
                    "\"\nservice = \"svc\"\nfailure_domain = \"Wien\"\nshards = " + holdings[i] + "\n";
        }
        return text;
    }

    /** Runs cornel-ctl with the address of the store. @param output receives its standard output. @return its exit
     * status. */
    int run_ctl(std::vector<std::string> args, std::string& output)
    {
        args.insert(args.begin(), {"--set", "store.address=\"" + loopback(store) + "\""});
        return processes.run("cornel-ctl", args, output);
    }

    /** Writes @p text to a file in the temporary folder and applies it. @return the exit status of cornel-ctl. */
    int apply_resources(std::string const& text)
    {
        std::string const file = processes.path("resources.toml");
        std::ofstream(file) << text;
        std::string output;
        return run_ctl({"apply", file}, output);
    }

    /** Sends a request to the entry node. @return its result. */
    client_result send(std::string const& method, std::string const& path, std::string const& body)
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        if (!body.empty()) request.headers.push_back({"content-type", "application/json"});
        return client.call({"127.0.0.1", entry}, std::move(request), call_timeout);
    }

    /** @return the entry node's configuration revision from /healthz; -1 when it does not respond or reports none. */
    std::int64_t entry_revision()
    {
        auto const result = send("GET", paths::health, "");
        if (result.outcome != send_outcome::answered) return -1;
        return nlohmann::json::parse(result.response.body).value("config_revision", std::int64_t{-1});
    }

    /** Waits until the response to a query of @p service has full coverage. Fails after convergence_timeout. */
    void wait_for_full_coverage(std::string const& service = "svc")
    {
        auto const deadline = std::chrono::steady_clock::now() + convergence_timeout;
        std::string const body = R"({"service":")" + service + R"(","query":"sea"})";
        while (std::chrono::steady_clock::now() < deadline) {
            auto const result = send("POST", paths::query, body);
            if (result.response.status == 200 && nlohmann::json::parse(result.response.body)["coverage"] == 1.0) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        FAIL("the entry node did not converge within 10 s");
    }

    /** Sets faults of the store or backend server that listens on @p port. @return the HTTP status of the response. */
    int set_fault(std::uint16_t port, nlohmann::json const& body)
    {
        http_request request;
        request.method = "POST";
        request.path = paths::fault;
        request.body = body.dump();
        return stand_in_client.call({"127.0.0.1", port}, std::move(request), call_timeout).response.status;
    }

    /** Waits until the entry node's /healthz reports that it is draining. @return whether it did within
     *  convergence_timeout. */
    bool wait_until_draining()
    {
        auto const deadline = std::chrono::steady_clock::now() + convergence_timeout;
        while (std::chrono::steady_clock::now() < deadline) {
            if (send("GET", paths::health, "").response.status == 503) return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }
};

} // namespace cornelspring::testing
