/** @file test_gateway_process.cpp The gateway process with a store and backend servers on loopback, also under faults.
 */
#include "gateway_fixture.hpp"

#include "shard_server.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace cornelspring;
using namespace cornelspring::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** @return the merged response of the shards @p services to request @p id: its @p top highest records. */
std::string expected_records(std::vector<std::string> const& services, std::string const& id, std::size_t top)
{
    std::vector<std::string> records;
    for (auto const& service : services) {
        auto const all = shard_server::records(service, id);
        for (std::size_t at = 0; at < all.size(); at += record_size)
            records.push_back(all.substr(at, record_size));
    }
    std::sort(records.rbegin(), records.rend());
    std::string out;
    for (std::size_t i = 0; i < top; ++i)
        out += records[i];
    return out;
}

/** @return how often backend servers ran a request with id @p id, according to @p journal. */
int run_count(json const& journal, std::string const& id)
{
    int count = 0;
    for (auto const& entry : journal)
        count += entry["id"] == id && entry["ran"] == true ? 1 : 0;
    return count;
}

/** Services that the gather of the fixture's configuration covers. */
std::vector<std::string> const shards = {"g0", "g1", "g2", "g3"};

} // namespace

TEST_CASE("one gateway serves queries, single requests, readiness, addresses and metrics")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto const response = fleet.send_request(1, "/q/a?x=1", "id-1");
    CHECK(response.status == 200);
    CHECK(response.header("missing-parts") == "0");
    CHECK(response.body == expected_records(shards, "id-1", 4));
    auto const read = fleet.send_request(1, "/r/x", "id-2");
    CHECK(read.status == 200);
    CHECK(read.header("server-stamp") != "");
    CHECK(read.body == shard_server::records("s", "id-2"));
    auto const write = fleet.send_request(1, "/w/x", "id-3", "POST", "entry");
    CHECK(write.body == "ran entry");
    CHECK(fleet.send_request(1, "/none/x", "id-4").status == 404);
    auto const addresses = gateway_fleet::get(gateway_fleet::address(1, "directory"),
                                              "/cornelspring/resolve?name=h.example&region=r-d1&zone=d1");
    CHECK(json::parse(addresses.body)["addrs"] == json::array({gateway_fleet::address(1, "frontend").to_string()}));
    CHECK(json::parse(addresses.body)["ttl_s"].get<int>() >= 1);
    auto const metrics = gateway_fleet::get({gateway_fleet::address(1, "ready").host, 9464}, "/metrics");
    CHECK(metrics.body.find("cornel_gateway_requests_total") != std::string::npos);
}

TEST_CASE("connections to the servers of all shards are opened before the first query")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto const opened_connections = [] {
        auto const text = gateway_fleet::get({gateway_fleet::address(1, "ready").host, 9464}, "/metrics").body;
        std::string const name = "backend_connections_opened\"} ";
        return std::stoi(text.substr(text.find(name) + name.size()));
    };
    CHECK(within_ten_seconds([&] { return opened_connections() == 8; }));
    CHECK(fleet.journal().empty());
    CHECK(fleet.send_request(1, "/q/a", "id-1").status == 200);
    CHECK(opened_connections() == 8);
}

TEST_CASE("a gateway responds to address queries as soon as it is ready")
{
    gateway_fleet fleet;
    fleet.start_gateway(1, "d1", false);
    int sent = 0;
    auto const until = clock::now() + 5s;
    while (clock::now() < until && sent < 50) {
        if (fleet.get(gateway_fleet::address(1, "ready"), "/cornelspring/ready").status != 200) continue;
        ++sent;
        auto const response = fleet.get(gateway_fleet::address(1, "directory"), "/cornelspring/resolve?name=h.example");
        REQUIRE(response.status == 200);
        CHECK(json::parse(response.body)["addrs"].size() == 1);
    }
    CHECK(sent == 50);
}

TEST_CASE("a caller gets the complete response to its own request or a failure, whatever a backend server sends")
{
    struct row {
        char const* mode;
        int gather_status;
    };
    gateway_fleet fleet;
    fleet.start_gateway(1);
    int number = 0;
    for (auto const& each : {row{"extra", 200}, row{"late_extra", 200}, row{"unframed", 200}, row{"truncated", 200},
                             row{"no_signature", 200}, row{"encoded", 200}, row{"error", 200}, row{"shed", 200},
                             row{"reset", 200}, row{"silent_run", 200}, row{"hang", 200}, row{"early", 200}}) {
        CAPTURE(std::string(each.mode));
        fleet.set_backend_behavior({{"service", "s"}, {"backend", "i-s-0"}, {"mode", each.mode}});
        fleet.set_backend_behavior({{"service", "g1"}, {"backend", "i-g1-0"}, {"mode", each.mode}});
        for (int i = 0; i < 6; ++i) {
            auto const id = "id-" + std::to_string(++number);
            auto const query = fleet.send_request(1, "/q/a", id);
            CHECK(query.status == each.gather_status);
            auto parts = shards;
            if (query.header("missing-parts") == "1") parts.erase(parts.begin() + 1);
            CHECK(query.body == expected_records(parts, id, 4));
            auto const read = fleet.send_request(1, "/r/a", id + "r");
            if (read.status == 200) CHECK(read.body == shard_server::records("s", id + "r"));
            CHECK(read.status == 200);
            auto const write = fleet.send_request(1, "/w/a", id + "w", "POST", "entry " + id);
            if (write.status == 200) CHECK(write.body == "ran entry " + id);
            CHECK((write.status == 200 || write.status == 502 || write.status == 504 || write.status == 500));
        }
        fleet.set_backend_behavior({{"mode", "ok"}});
    }
    auto const journal = fleet.journal();
    std::set<std::string> writes;
    for (auto const& entry : journal) {
        if (entry["line"] == "POST /w/a") writes.insert(entry["id"]);
    }
    for (auto const& id : writes)
        CHECK(run_count(journal, id) <= 1);
}

TEST_CASE("a write that is reported as rejected did not run, and one that ran is not reported as rejected")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior({{"service", "s"}, {"mode", "shed"}});
    auto const rejected = fleet.send_request(1, "/w/a", "id-1", "POST", "x");
    CHECK(rejected.status == 503);
    CHECK(rejected.header("retry-after") != "");
    CHECK(run_count(fleet.journal(), "id-1") == 0);
    fleet.set_backend_behavior({{"service", "s"}, {"mode", "silent_run"}});
    std::this_thread::sleep_for(200ms);
    CHECK(fleet.send_request(1, "/w/a", "id-2", "POST", "x").status == 502);
    CHECK(run_count(fleet.journal(), "id-2") == 1);
}

// Guards against taking a late copy of the rejection of an earlier attempt for the response to the one that runs.
TEST_CASE("a write runs once when its servers send their rejections again before the response to its next attempt")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    for (int i = 0; i < 10; ++i) {
        auto const id = "id-" + std::to_string(i);
        CAPTURE(id);
        fleet.set_backend_behavior({{"service", "s"}, {"mode", "late_rejection"}, {"times", 1}});
        auto const write = fleet.send_request(1, "/w/a", id, "POST", "entry");
        CHECK(write.status == 200);
        CHECK(write.body == "ran entry");
        CHECK(run_count(fleet.journal(), id) == 1);
    }
}

// Guards against taking a late response to an earlier request for the response to the present one.
TEST_CASE("a write runs once when a late rejection without a request id arrives before its response")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    int met_rejection = 0;
    for (int i = 0; i < 10; ++i) {
        auto const id = "id-" + std::to_string(i);
        CAPTURE(id);
        fleet.set_backend_behavior({{"backend", "i-s-0"}, {"mode", "late_unidentified"}, {"times", 1}});
        CHECK(fleet.send_request(1, "/w/a", id + "-first", "POST", "entry").status == 200);
        fleet.set_backend_behavior({{"backend", "i-s-1"}, {"mode", "shed"}});
        auto const write = fleet.send_request(1, "/w/a", id, "POST", "entry");
        CHECK(run_count(fleet.journal(), id) == (write.status == 503 ? 0 : 1));
        met_rejection += write.status == 502 ? 1 : 0;
        fleet.set_backend_behavior({{"service", "s"}, {"mode", "ok"}});
    }
    CHECK(met_rejection > 0);
}

TEST_CASE("requests that break the protocol or a limit are rejected and do not reach a backend server")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    struct row {
        std::string bytes;
        int status;
    };
    std::string const host = "Host: h.example\r\n";
    for (auto const& each : std::vector<row>{
             {"POST /w/a HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              400},
             {"POST /w/a HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", 400},
             {"GET /r/a HTTP/1.1\r\n\r\n", 400},
             {"GET /r/a HTTP/1.1\r\n" + host + host + "\r\n", 400},
             {"GET r/a HTTP/1.1\r\n" + host + "\r\n", 400},
             {"GET /r/a HTTP/1.1\r\n" + host + "X: " + std::string(5000, 'x') + "\r\n\r\n", 431},
             {"POST /w/a HTTP/1.1\r\n" + host + "Content-Length: 20000\r\n\r\n", 413},
             {"POST /w/a HTTP/1.1\r\n" + host + "Content-Length: 20\r\n\r\nslow", 408}}) {
        CAPTURE(each.bytes.substr(0, 120));
        raw_connection connection(gateway_fleet::address(1, "frontend"));
        connection.send(each.bytes);
        auto const response = connection.receive();
        REQUIRE(response);
        CHECK(response->status == each.status);
    }
    CHECK(fleet.journal().empty());
}

TEST_CASE(
    "a stopping gateway finishes its requests, announces the close of connections, and is not in address responses")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.start_gateway(2, "d2");
    auto const resolve = [&](int number) {
        return gateway_fleet::get(gateway_fleet::address(number, "directory"),
                                  "/cornelspring/resolve?name=h.example&region=r-d1&zone=d1")
            .body;
    };
    REQUIRE(within_ten_seconds([&] { return json::parse(resolve(2))["addrs"].size() == 2; }));
    fleet.set_backend_behavior({{"service", "s"}, {"work_ms", 800}});
    raw_connection slow(gateway_fleet::address(1, "frontend"));
    slow.send(
        "POST /w/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline: 1900\r\nContent-Length: 1\r\n\r\nx");
    std::this_thread::sleep_for(100ms);
    std::thread stopping([&] { CHECK(fleet.processes.stop("gw-1", SIGTERM) == 0); });
    fleet.await_ready(1, 503);
    auto const response = slow.receive();
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->header("connection") == "close");
    CHECK(within_ten_seconds(
        [&] { return resolve(2).find(gateway_fleet::address(1, "frontend").to_string()) == std::string::npos; }));
    // Callers that still use its address are served until shortly before the end of the platform's grace time.
    CHECK(fleet.send_request(1, "/q/a", "id-2").status == 200);
    stopping.join();
    CHECK(fleet.send_request(1, "/q/a", "id-3").status == 0);
}

TEST_CASE("a killed gateway is in address responses no longer than its registration lives")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.start_gateway(2);
    fleet.start_gateway(3, "d2");
    auto const resolve = [](int number) {
        return gateway_fleet::get(gateway_fleet::address(number, "directory"),
                                  "/cornelspring/resolve?name=h.example&region=r-d1&zone=d1")
            .body;
    };
    auto const killed_address = gateway_fleet::address(2, "frontend").to_string();
    REQUIRE(within_ten_seconds([&] { return resolve(1).find(killed_address) != std::string::npos; }));
    REQUIRE(within_ten_seconds([&] { return resolve(3).find(killed_address) != std::string::npos; }));
    fleet.processes.stop("gw-2", SIGKILL);
    std::this_thread::sleep_for(7500ms); // The lease of 6 s, and the time until its expiry arrives over the feed.
    for (int const number : {1, 3})
        CHECK(resolve(number).find(killed_address) == std::string::npos);
}

TEST_CASE("gateways serve during a store outage and receive the changes after it")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.call_store("fault", {{"mode", "silent"}});
    std::this_thread::sleep_for(3s);
    CHECK(fleet.send_request(1, "/q/a", "id-1").status == 200);
    fleet.configure(2, {"g0", "g1"});
    fleet.call_store("fault", {{"mode", "ok"}});
    CHECK(within_ten_seconds([&] {
        return fleet.send_request(1, "/q/a", "id-2").body == expected_records({"g0", "g1"}, "id-2", 4);
    }));
}

TEST_CASE("a gateway that starts during a store outage reads its state from another gateway")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.call_store("fault", {{"mode", "silent"}});
    fleet.start_gateway(2, "d2");
    CHECK(fleet.send_request(2, "/q/a", "id-1").body == expected_records(shards, "id-1", 4));
}

TEST_CASE("only one gateway of a failure domain watches the store, and the others receive changes from it in time")
{
    gateway_fleet fleet;
    for (int number = 1; number <= 4; ++number)
        fleet.start_gateway(number);
    std::this_thread::sleep_for(2s);
    auto const before = fleet.call_store("calls")["/cornelspring/kv-watch"].get<int>();
    auto const changed_at = clock::now();
    fleet.configure(2, {"g0", "g1"});
    for (int number = 1; number <= 4; ++number) {
        CHECK(within_ten_seconds([&] {
            auto const id = "id-" + std::to_string(number);
            return fleet.send_request(number, "/q/a", id).body == expected_records({"g0", "g1"}, id, 4);
        }));
    }
    CHECK(clock::now() - changed_at < 1500ms);
    std::this_thread::sleep_for(3s);
    // One gateway makes a watch every 1.5 s. When all four watched the store, there were four times as many.
    auto const watches = fleet.call_store("calls")["/cornelspring/kv-watch"].get<int>() - before;
    CHECK(watches <= 5);
    // The gateway that reads the store is killed; another one must replace it at once.
    fleet.processes.stop("gw-1", SIGKILL);
    fleet.configure(3, {"g2", "g3"});
    CHECK(within_ten_seconds([&] {
        return fleet.send_request(4, "/q/a", "id-9").body == expected_records({"g2", "g3"}, "id-9", 4);
    }));
}

TEST_CASE("a change is logged in full by the gateway that watches the store, and as a count by the others")
{
    gateway_fleet fleet;
    auto const lines = [&fleet](int number, std::string const& part) {
        std::istringstream log(read_file(fleet.processes.path("gw-" + std::to_string(number) + ".log")));
        int found = 0;
        for (std::string line; std::getline(log, line);)
            found += line.find(part) != std::string::npos ? 1 : 0;
        return found;
    };
    for (int const number : {1, 2, 3})
        fleet.start_gateway(number);
    std::this_thread::sleep_for(2s); // Time for the others to become followers of the first one.
    for (int const number : {1, 2, 3}) {
        CHECK(lines(number, R"("event":"backend")") == 0); // A full read is logged as counts.
        CHECK(lines(number, R"("event":"learned")") >= 1);
    }
    auto entry = fleet.registrations()["i-s-0"];
    entry["state"] = "draining";
    entry["seq"] = 1000;
    fleet.register_backend("i-s-0", entry);
    CHECK(within_ten_seconds([&] { return lines(1, R"("state":"draining")") == 1; }));
    for (int const number : {2, 3}) {
        CHECK(within_ten_seconds([&] { return lines(number, R"("draining":1)") == 1; }));
        CHECK(lines(number, R"("event":"backend")") == 0);
    }
}

TEST_CASE("registrations that lapse in a store outage stay in use until they return, also at followers")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.start_gateway(2);
    auto const entries = fleet.registrations();
    std::this_thread::sleep_for(1s); // Time for the second gateway to become a follower of the first.
    fleet.call_store("fault", {{"mode", "silent"}});
    std::this_thread::sleep_for(4500ms);
    for (char const* id : {"i-s-0", "i-s-1"})
        fleet.call_store("drop", {{"key", std::string("servers/") + id}});
    fleet.call_store("fault", {{"mode", "ok"}});
    auto const recovered_at = clock::now();
    int sent = 0;
    while (clock::now() < recovered_at + 1800ms) {
        for (int const number : {1, 2})
            CHECK(fleet.send_request(number, "/r/a", "id-" + std::to_string(++sent)).status == 200);
        std::this_thread::sleep_for(100ms);
    }
    // One server registers again. The other is still missing after the time allowed for it and is removed.
    fleet.register_backend("i-s-0", entries["i-s-0"]);
    std::this_thread::sleep_for(2500ms);
    CHECK(fleet.send_request(2, "/r/a", "id-last").status == 200);
    CHECK(fleet.journal().back()["backend"] == "i-s-0");
}

TEST_CASE(
    "a gateway backs off its registration while the store rejects it, and registers soon after the store recovers")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto const registration_calls = [&] {
        auto const by_path = fleet.call_store("calls");
        int calls = 0;
        for (auto const& [path, count] : by_path.items()) {
            bool const reads = path.ends_with("/kv-watch") || path.ends_with("/kv-range");
            calls += reads ? 0 : count.get<int>();
        }
        return calls;
    };
    fleet.call_store("fault", {{"mode", "busy"}});
    auto const before = registration_calls();
    std::this_thread::sleep_for(6s);
    CHECK(registration_calls() - before <= 7); // Without backoff, one attempt every 0.4 s made 10 or more.
    fleet.call_store("fault", {{"mode", "ok"}});
    auto const calls_at_recovery = registration_calls();
    std::this_thread::sleep_for(2s);
    CHECK(registration_calls() > calls_at_recovery);
}

TEST_CASE("a watch that reports no changes does not delay a configuration")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.call_store("fault", {{"deaf_watches", true}});
    std::this_thread::sleep_for(2s);
    fleet.configure(2, {"g0", "g1"});
    fleet.call_store("fault", {{"deaf_watches", false}});
    auto const changed_at = clock::now();
    CHECK(within_ten_seconds([&] {
        return fleet.send_request(1, "/q/a", "id-2").body == expected_records({"g0", "g1"}, "id-2", 4);
    }));
    CHECK(clock::now() - changed_at < 2500ms);
}

TEST_CASE("draining and removed backend servers get no new requests, and another server at the same address runs none")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto entry = fleet.registrations()["i-s-0"];
    entry["state"] = "draining";
    fleet.register_backend("i-s-0", entry);
    std::this_thread::sleep_for(600ms);
    auto const count = [&](char const* backend) {
        int found = 0;
        for (auto const& each : fleet.journal())
            found += each["backend"] == backend ? 1 : 0;
        return found;
    };
    for (int i = 0; i < 10; ++i)
        CHECK(fleet.send_request(1, "/r/a", "id-" + std::to_string(i)).status == 200);
    CHECK(count("i-s-0") == 0);
    std::this_thread::sleep_for(1s); // A server may be a last resort only shortly after it started to drain.
    // A server of another service now listens at the address of the other replica.
    fleet.set_backend_behavior({{"backend", "i-s-1"}, {"rename", "i-other-7"}});
    auto const rejected = fleet.send_request(1, "/w/a", "id-w", "POST", "x");
    CHECK(run_count(fleet.journal(), "id-w") == 0);
    CHECK(rejected.status == 503);
}

TEST_CASE("a backend server that restarts under its id is treated as new, and invalid registrations have no effect")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto const wait_for_feed = [] { std::this_thread::sleep_for(600ms); };
    auto const count = [&](char const* backend) {
        int found = 0;
        for (auto const& each : fleet.journal())
            found += each["backend"] == backend ? 1 : 0;
        return found;
    };
    int sent = 0;
    auto const send_ten_reads = [&] {
        int succeeded = 0;
        for (int i = 0; i < 10; ++i)
            succeeded += fleet.send_request(1, "/r/a", "id-" + std::to_string(++sent)).status == 200 ? 1 : 0;
        return succeeded;
    };
    auto const healthy = fleet.registrations()["i-s-0"];
    auto entry = healthy;
    entry["born"] = 2000;
    entry["state"] = "draining";
    fleet.register_backend("i-s-0", entry);
    wait_for_feed();
    CHECK(send_ten_reads() == 10);
    CHECK(count("i-s-0") == 0);
    // It restarts and gets requests at once. A late registration of its previous start has no effect.
    entry = healthy;
    entry["born"] = 3000;
    entry["seq"] = 1;
    fleet.register_backend("i-s-0", entry);
    entry["born"] = 2000;
    entry["state"] = "draining";
    entry["seq"] = 90;
    fleet.register_backend("i-s-0", entry);
    wait_for_feed();
    CHECK(send_ten_reads() == 10);
    int const before = count("i-s-0");
    CHECK(before > 0);
    // Another program writes two invalid registrations: one for a known server and one for an unknown id.
    entry["state"] = 5;
    fleet.register_backend("i-s-0", entry);
    fleet.register_backend("i-nobody", json::array({1, 2}));
    wait_for_feed();
    CHECK(send_ten_reads() == 10);
    CHECK(count("i-s-0") == before);
    CHECK(count("i-s-1") > 0);
    CHECK(fleet.send_request(1, "/q/a", "id-q").body == expected_records(shards, "id-q", 4));
}

TEST_CASE("requests of a caller that closed its connection are canceled")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior({{"service", "s"}, {"mode", "hang"}});
    {
        raw_connection caller(gateway_fleet::address(1, "frontend"));
        caller.send("GET /r/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline: 1900\r\n\r\n");
        std::this_thread::sleep_for(100ms);
    }
    std::this_thread::sleep_for(1s);
    CHECK(run_count(fleet.journal(), "id-1") == 1); // No retry or hedge after the caller closed its connection.
}

TEST_CASE("a gateway that was paused does not mistake its own pause for a queue at the backend servers")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.send_request(1, "/q/a", "warm-" + std::to_string(i)).status == 200);
    fleet.set_backend_behavior({{"mode", "ok"}, {"work_ms", 60}});
    auto const send = [&](std::string const& id) {
        auto connection = std::make_unique<raw_connection>(gateway_fleet::address(1, "frontend"));
        connection->send("GET /q/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline: 1900\r\n\r\n");
        return connection;
    };
    int succeeded = 0;
    int sent = 0;
    for (int round = 0; round < 5; ++round) {
        auto const before = send("before-" + std::to_string(round));
        std::this_thread::sleep_for(20ms);
        fleet.processes.stop("gw-1", SIGSTOP);
        std::this_thread::sleep_for(350ms);
        std::vector<std::unique_ptr<raw_connection>> sent_during_pause;
        for (int i = 0; i < 4; ++i)
            sent_during_pause.push_back(send("during-" + std::to_string(round) + "-" + std::to_string(i)));
        fleet.processes.stop("gw-1", SIGCONT);
        for (auto const& each : sent_during_pause) {
            auto const response = each->receive();
            ++sent;
            succeeded += response && response->status == 200 ? 1 : 0;
        }
        before->receive();
        std::this_thread::sleep_for(200ms);
    }
    CHECK(succeeded == sent);
}
