/** @file test_broken_entry_input.cpp What ends no entry node: odd entries in the store, and broken responses of the
 *  store, of the VM list and of backend servers. */
#include "deployment.hpp"

#include <cornelspring/coordination.hpp>

#include <csignal>
#include <mutex>

using namespace cornelspring;
using cornelspring::testing::deployment;
using cornelspring::testing::loopback;

namespace {

/** @return a list that is nested @p depth levels deep, as JSON text. */
std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/** @return an HTTP/2 server that responds with the body that @p body returns. */
std::unique_ptr<h2_server> serve(std::function<std::string()> body)
{
    auto server = std::make_unique<h2_server>(
        server_options{}, [body](http_request const&, respond_fn respond) { respond(json_response(200, body())); });
    server->start();
    return server;
}

/** @return the status of the response to a query or a write of service @p service; 0: none. */
int status_of(deployment& d, char const* path, nlohmann::json body)
{
    body["deadline_ms"] = 1000;
    auto const result = d.send("POST", path, body.dump());
    return result.outcome == send_outcome::answered ? result.response.status : 0;
}

} // namespace

TEST_CASE("one odd entry in the store neither ends an entry node nor stops it from following the configuration")
{
    deployment d;
    REQUIRE(d.apply_resources(d.resources(1)) == 0);
    d.wait_for_full_coverage();
    store_client store(d.stand_in_client, {"127.0.0.1", d.store}, milliseconds(3000));
    std::string const backend = std::string(resource_prefix) + "backend/odd";
    std::string const start = R"({"kind":"backend","name":"odd","spec":{"service":"svc","shards":[0],"address":)";
    std::vector<std::pair<std::string, std::string>> const entries = {
        {std::string(member_prefix) + "odd", R"({"address":5,"failure_domain":"d"})"},
        {std::string(member_prefix) + "odd", R"({"address":"127.0.0.1:1","failure_domain":[]})"},
        {std::string(member_prefix) + "odd", nested(300000)},
        {std::string(member_prefix) + "odd", R"({"address":)" + nested(300000) + "}"},
        {backend, nested(300000)},
        {backend, start + nested(300000) + "}}"},
        {backend, start + R"("127.0.0.1:70000"}})"},
        {backend, start + R"("127.0.0.1:99999999999999999999"}})"},
        {backend, start + R"("127.0.0.1:9","slots":1e400}})"},
        {backend, start + R"("127.0.0.1:9","slots":99999999999999999999}})"},
        {backend, R"({"kind":"backend","name":"odd","spec":)" + nested(300000) + "}"},
        {backend, "\xff\xfe"},
        {std::string(resource_prefix) + "backend/", "{}"},
        {std::string(resource_prefix) + "odd", "{}"},
    };
    int number = 0;
    for (auto const& [key, value] : entries) {
        CAPTURE(key);
        CAPTURE(value.substr(0, 100));
        store.put(key, value);
        auto const service = "svc" + std::to_string(++number);
        REQUIRE(d.apply_resources("[[service]]\nname = \"" + service + "\"\ncustomer = \"c\"\nshards = 1\n") == 0);
        auto const deadline = clock::now() + cornelspring::testing::convergence_timeout;
        int status = 0;
        while (clock::now() < deadline && status != 503) { // No backend server has its shard.
            status = status_of(d, paths::query, {{"service", service}, {"query", "sea"}});
            std::this_thread::sleep_for(milliseconds(20));
        }
        REQUIRE(status == 503);
        std::string listing;
        CHECK(d.run_ctl({"list", "backend"}, listing) == 0);
    }
    d.wait_for_full_coverage();
}

TEST_CASE("broken responses of a backend server do not end an entry node")
{
    deployment d;
    std::string body;
    std::mutex mutex;
    auto const server = serve([&] {
        std::lock_guard lock(mutex);
        return body;
    });
    REQUIRE(d.apply_resources("[[service]]\nname = \"s\"\ncustomer = \"c\"\nshards = 1\n[[backend]]\nname = \"b\"\n"
                              "address = \"" +
                              loopback(server->port()) + "\"\nservice = \"s\"\nshards = [0]\n") == 0);
    int number = 0;
    for (std::string const& broken :
         {std::string(), std::string("abc"), std::string("\xff\xfe"), std::string("a\0b", 3), std::string("[]"),
          nested(400000),
          R"({"request_id":"r","service":"s","shard":0,"index_version":1,"backend":"b","hits":)" + nested(400000) + "}",
          std::string(
              R"({"request_id":"r","service":"s","shard":0,"index_version":1,"backend":"b","hits":[{"doc":1e400}]})"),
          std::string(R"({"request_id":"r","service":"s","shard":1e300,"index_version":1,"backend":"b","hits":[]})"),
          std::string(2000000, '['), std::string(20000000, ' ')}) {
        CAPTURE(broken.substr(0, 100));
        {
            std::lock_guard lock(mutex);
            body = broken;
        }
        CHECK(status_of(d, paths::query, {{"service", "s"}, {"query", "sea"}, {"request_id", "r"}}) == 503);
        auto const written = status_of(
            d, paths::writes,
            {{"service", "s"}, {"idempotency_key", "k" + std::to_string(++number)}, {"entity", "e"}, {"body", "b"}});
        CHECK(written != 0);
        CHECK(d.send("GET", paths::health, "").response.status == 200);
    }
}

TEST_CASE("broken responses of the store and of the VM list do not end an entry node")
{
    deployment d; // For its clients and processes.
    int number = 0;
    for (std::string const& broken :
         {std::string(), std::string("abc"), std::string("[]"), std::string("{}"), std::string("null"),
          std::string(R"({"header":5})"), std::string(R"({"header":{"revision":"x"},"kvs":[],"ID":"x"})"),
          std::string(R"({"header":{"revision":"99999999999999999999"},"kvs":[],"ID":"99999999999999999999"})"),
          std::string(R"({"header":{"revision":1,"cluster_id":5},"kvs":5,"ID":{}})"),
          std::string(R"({"header":{"revision":1},"kvs":[{"key":5}],"result":{"header":5}})"),
          std::string(R"({"header":{"revision":1},"kvs":[],"ID":"1","result":{"header":{"revision":1},"events":[5]}})"),
          std::string(R"({"vms":[{"state":5}]})"), std::string(R"({"vms":5})"),
          std::string(R"({"vms":[{"state":"leaving","address":5}]})"), R"({"vms":)" + nested(400000) + "}",
          nested(400000)}) {
        CAPTURE(broken.substr(0, 100));
        auto const server = serve([&broken] { return broken; });
        auto const name = "other-" + std::to_string(++number);
        d.entry = d.processes.start(name, "cornel-entry",
                                    {"--set", "id=\"e2\"", "--set", "listen.port=0", "--set",
                                     "store.address=\"" + loopback(server->port()) + "\"", "--set",
                                     "vm_list.address=\"" + loopback(server->port()) + "\"", "--set",
                                     "vm_list.interval_ms=100"});
        std::this_thread::sleep_for(milliseconds(400));
        CHECK(d.send("GET", paths::health, "").response.status == 200);
        CHECK(status_of(d, paths::writes,
                        {{"service", "s"}, {"idempotency_key", "k"}, {"entity", "e"}, {"body", "b"}}) != 0);
        CHECK(d.processes.stop(name, SIGTERM) == 0);
    }
}
