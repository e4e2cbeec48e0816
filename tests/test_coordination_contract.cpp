/** @file test_coordination_contract.cpp Store client, registration, configuration and leaving servers under faults. */
#include "local_fleet.hpp"
#include "random_run.hpp"

#include <sstream>

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace cornelspring::testing;

namespace {

/** @return the kind of error that @p call throws, or "none". */
std::string kind_of(std::function<void()> const& call)
{
    try {
        call();
    } catch (error const& failure) {
        return to_string(failure.kind());
    }
    return "none";
}

/** Timeout of store calls in these tests. */
constexpr milliseconds short_timeout{300};

/** A leaving backend server gets no new work if it ran none of this many consecutive queries. */
constexpr int queries_without_new_work = 50;

/** A store with one client. */
struct store_fixture {
    local_store store;
    h2_client transport;
    store_client client{transport, store.address(), short_timeout};
};

} // namespace

TEST_CASE("under each fault, a store write reports whether it took effect")
{
    struct fault_case {
        std::string name;
        std::function<void(store_fixture&)> inject;
        std::string kind;
        bool written;
    };
    fault_case const cases[] = {
        {"no fault", [](store_fixture&) {}, "none", true},
        {"outage",
         [](store_fixture& b) {
             b.store.set_faults({{"outage_ms", 60000}});
         },
         "unavailable", false},
        {"response lost after the write",
         [](store_fixture& b) {
             b.store.set_faults({{"lose_replies", 1}});
         },
         "outcome_unknown", true},
        {"slower than the timeout",
         [](store_fixture& b) {
             b.store.set_faults({{"delay_ms", 1000}});
         },
         "outcome_unknown", true},
        {"connection silent", [](store_fixture& b) { b.store.server.silence_open_connections(); }, "outcome_unknown",
         false},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        store_fixture fixture;
        fixture.client.put("warm", "1");
        item.inject(fixture);
        std::this_thread::sleep_for(milliseconds(50));
        CHECK(kind_of([&] { fixture.client.put("k", "v"); }) == item.kind);
        fixture.store.set_faults(nlohmann::json::object());
        std::this_thread::sleep_for(milliseconds(50));
        CHECK(fixture.client.get("k").first.has_value() == item.written);
    }
}

TEST_CASE("a call to a store that is not running is reported as not run")
{
    std::uint16_t port = 0;
    {
        local_store gone;
        port = gone.server.port();
    }
    h2_client transport;
    store_client client(transport, {"127.0.0.1", port}, short_timeout);
    CHECK(kind_of([&] { client.put("k", "v"); }) == "not_run");
}

TEST_CASE("a compare-and-swap whose response is lost is applied once, and its outcome is found by reading the key")
{
    struct fault_case {
        std::string name;
        nlohmann::json fault;
        std::int64_t versions; ///< Number of writes to the key at the end.
    };
    fault_case const cases[] = {
        {"no fault", nlohmann::json::object(), 1},
        {"response lost once", {{"lose_replies", 1}}, 1},
        {"response lost three times", {{"lose_replies", 3}}, 1},
        {"rejected twice", {{"refuse_writes", 2}}, 1},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        store_fixture fixture;
        fixture.store.set_faults(item.fault);
        CHECK(fixture.client.compare_and_swap("k", 0, "mine").succeeded);
        auto const found = fixture.client.get("k").first;
        REQUIRE(found.has_value());
        CHECK(found->version == item.versions);
        // A write by another client is detected and not overwritten.
        CHECK_FALSE(fixture.client.compare_and_swap("k", 0, "late").succeeded);
        CHECK(fixture.client.get("k").first->value == "mine");
    }
}

TEST_CASE("randomised: when operators write one resource concurrently, no accepted change is lost or applied twice")
{
    for (auto seed : random_seeds()) {
        CAPTURE(seed);
        local_store store;
        std::atomic<bool> done{false};
        std::mutex mutex;
        std::map<std::string, bool> accepted; ///< Whether the write was reported as accepted, by token.
        auto const operate = [&](int number) {
            h2_client transport;
            store_client client(transport, store.address(), milliseconds(100));
            for (int i = 0; i < 25; ++i) {
                std::string const token = std::to_string(number) + "." + std::to_string(i);
                bool written = false;
                try {
                    auto const before = client.get("k").first.value_or(key_value{});
                    written = client.compare_and_swap("k", before.mod_revision, before.value + token + " ").succeeded;
                } catch (error const& failure) {
                    if (failure.kind() == error_kind::outcome_unknown) continue; // it may or may not be present
                }
                std::lock_guard lock(mutex);
                accepted[token] = written;
            }
        };
        std::vector<std::thread> operators;
        for (int number = 0; number < 3; ++number)
            operators.emplace_back(operate, number);
        std::thread faults([&] {
            std::mt19937_64 random(seed);
            while (!done) {
                store.set_faults({{"lose_replies", random() % 3}, {"refuse_writes", random() % 2}});
                if (random() % 8 == 0) store.server.silence_open_connections();
                std::this_thread::sleep_for(milliseconds(random() % 40));
            }
        });
        for (auto& thread : operators)
            thread.join();
        done = true;
        faults.join();
        store.set_faults(nlohmann::json::object());
        h2_client transport;
        store_client reader(transport, store.address(), milliseconds(2000));
        std::istringstream text(reader.get("k").first.value_or(key_value{}).value);
        std::map<std::string, int> present;
        std::string token;
        while (text >> token)
            ++present[token];
        std::map<std::string, int> outcome_counts;
        for (auto const& [name, written] : accepted) {
            CAPTURE(name);
            CHECK(present[name] == (written ? 1 : 0));
            ++outcome_counts[written ? "accepted" : "refused"];
        }
        print_outcome_counts("operators", seed, outcome_counts);
    }
}

TEST_CASE("an entry node that restarts during a store outage does not serve an old configuration afterwards")
{
    local_fleet fleet(2, 2, 2, 4);
    REQUIRE(fleet.wait_until_applied(fleet.publish()));
    fleet.load_version(2, 3);
    fleet.versions = {1, 2};
    fleet.published_version = 2;
    auto const accepted = fleet.publish();
    fleet.store.set_faults({{"outage_ms", 500}});
    fleet.entries[0].reset();
    fleet.entries[0] = std::make_unique<local_entry>(fleet.store.address(), "e0", entry_setup{});
    REQUIRE(fleet.wait_until_applied(accepted));
    query_request query;
    query.service = "svc";
    query.query = "sea";
    query.request_id = "q";
    for (auto const& entry : fleet.entries) {
        auto const result = entry->query(query);
        REQUIRE(result.response.has_value());
        CHECK(result.response->index_version == 2);
        CHECK(result.response->coverage == doctest::Approx(1.0));
    }
}

TEST_CASE("an entry node is registered in spite of each store fault, and again after its lease expired")
{
    struct fault_case {
        std::string name;
        std::function<void(store_fixture&)> inject; ///< Before the entry node starts.
    };
    fault_case const cases[] = {
        {"no fault", [](store_fixture&) {}},
        {"response to the lease grant lost",
         [](store_fixture& b) {
             b.store.set_faults({{"lose_replies", 1}});
         }},
        {"two responses to the lease grant lost",
         [](store_fixture& b) {
             b.store.set_faults({{"lose_replies", 2}});
         }},
        {"response to the registration lost",
         [](store_fixture& b) {
             b.store.set_faults({{"skip_writes", 1}, {"lose_replies", 1}});
         }},
        {"registration rejected after the lease was granted",
         [](store_fixture& b) {
             b.store.set_faults({{"skip_writes", 1}, {"refuse_writes", 1}});
         }},
        {"store down at the start",
         [](store_fixture& b) {
             b.store.set_faults({{"outage_ms", 500}});
         }},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        store_fixture fixture;
        item.inject(fixture);
        membership members(fixture.client, member{"e1", "127.0.0.1:1", "Wien"}, 2);
        members.start();
        h2_client other;
        store_client reader(other, fixture.store.address(), milliseconds(2000));
        auto const listed = [&] {
            return kind_of([&] { reader.range_prefix(member_prefix); }) == "none" &&
                   reader.range_prefix(member_prefix).kvs.size() == 1;
        };
        CHECK(eventually(listed));
        // An outage longer than the time to live makes the lease expire; after it the entry node registers again.
        fixture.store.set_faults({{"outage_ms", 3000}});
        CHECK(eventually([&] { return !listed(); }));
        CHECK(eventually(listed));
    }
}

TEST_CASE("under each fault, an accepted change reaches every entry node")
{
    struct fault_case {
        std::string name;
        std::function<void(local_fleet&)> inject; ///< Called just before the change is written.
        milliseconds bound;                       ///< Time within which every entry node should have applied it.
    };
    fault_case const cases[] = {
        {"no fault", [](local_fleet&) {}, milliseconds(4000)},
        {"watch connections go silent", [](local_fleet& f) { f.store.server.silence_open_connections(); },
         milliseconds(4000)},
        {"store slow",
         [](local_fleet& f) {
             f.store.set_faults({{"delay_ms", 200}});
         },
         milliseconds(4000)},
        {"store down for a second",
         [](local_fleet& f) {
             f.store.set_faults({{"outage_ms", 1000}});
         },
         milliseconds(5000)},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        local_fleet fleet(2, 9, 2, 2);
        REQUIRE(fleet.wait_until_applied(fleet.publish()));
        std::this_thread::sleep_for(milliseconds(100)); // until every watch call is waiting
        item.inject(fleet);
        fleet.published_version = 1;
        h2_client transport;
        store_client operator_client(transport, fleet.store.address(), milliseconds(2000));
        std::int64_t accepted = 0;
        auto started_at = clock::now();
        CHECK(eventually([&] {
            try {
                started_at = clock::now();
                accepted = operator_client.put(
                    resource_key(resource_kind::route, "r"),
                    resource_to_json({resource_kind::route, "r", route_spec{"c", "svc"}, 0}).dump());
            } catch (error const&) {
            }
            return accepted > 0;
        }));
        CHECK(fleet.wait_until_applied(accepted));
        auto const elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - started_at);
        MESSAGE(item.name << ": 9 entry nodes converged in " << elapsed.count() << " ms after the change was accepted");
        fleet.clear_faults();
    }
}

TEST_CASE("writes outside the configuration do not force a watcher to read everything again")
{
    store_fixture fixture;
    fixture.client.put(resource_key(resource_kind::route, "r"),
                       resource_to_json({resource_kind::route, "r", route_spec{"c", "svc"}, 0}).dump());
    config_view view;
    config_watcher watcher(fixture.client, view, milliseconds(50));
    watcher.start();
    REQUIRE(eventually([&] { return view.current()->routes.size() == 1; }));
    h2_client transport;
    store_client writer(transport, fixture.store.address(), milliseconds(2000));
    std::int64_t last = 0;
    for (int i = 0; i < 50; ++i)
        last = writer.put(std::string(write_prefix) + "svc/" + std::to_string(i), "{}");
    // The view's revision follows the store's although no key under its prefix has changed.
    CHECK(eventually([&] { return view.current()->revision >= last; }));
}

TEST_CASE("entry nodes follow a store that was restored from an older copy, and register again")
{
    store_fixture fixture;
    config_view view;
    config_watcher watcher(fixture.client, view, milliseconds(50));
    watcher.start();
    h2_client transport;
    store_client writer(transport, fixture.store.address(), milliseconds(2000));
    auto const write = [&](std::string const& name) {
        writer.put(resource_key(resource_kind::route, name),
                   resource_to_json({resource_kind::route, name, route_spec{"c", "svc"}, 0}).dump());
    };
    auto const view_has_route = [&](std::string const& name) { return view.current()->routes.count(name) == 1; };
    write("kept");
    REQUIRE(eventually([&] { return view_has_route("kept"); }));
    fixture.store.set_faults({{"copy", true}});
    h2_client member_transport;
    store_client member_client(member_transport, fixture.store.address(), milliseconds(2000));
    membership members(member_client, member{"e1", "127.0.0.1:1", "Wien"}, 2);
    members.start();
    for (int i = 0; i < 5; ++i)
        write("lost" + std::to_string(i));
    REQUIRE(eventually([&] { return view_has_route("lost4") && view.current()->members.size() == 1; }));
    fixture.store.set_faults({{"restore", true}});
    write("later");
    CHECK(eventually([&] { return view_has_route("later"); }));
    CHECK(view_has_route("kept"));
    CHECK_FALSE(view_has_route("lost0"));
    CHECK(eventually([&] { return view.current()->members.size() == 1; }));
}

TEST_CASE("after an outage the watch resumes from the last revision, without a full read")
{
    local_fleet fleet(2, 3, 2, 2);
    REQUIRE(fleet.wait_until_applied(fleet.publish()));
    auto const full_reads = [&] {
        auto const calls = nlohmann::json::parse(fleet.store.post(paths::stats, {}).body);
        return calls.value(store_paths::range, 0);
    };
    auto const before = full_reads();
    fleet.store.set_faults({{"outage_ms", 600}});
    std::this_thread::sleep_for(milliseconds(200));
    fleet.store.server.silence_open_connections();
    fleet.published_version = 2;
    fleet.load_version(2, 3);
    fleet.versions = {1, 2};
    CHECK(fleet.wait_until_applied(fleet.publish()));
    CHECK(full_reads() == before);
}

TEST_CASE("a leaving backend server gets no new work, whichever signal reports it")
{
    struct signal_case {
        std::string name;
        std::function<void(local_fleet&)> leave; ///< Makes backend server 0 leave, or reports that it does.
    };
    signal_case const cases[] = {
        {"its own drain signal", [](local_fleet& f) { f.backends[0]->service.set_faults({.draining = true}); }},
        {"the VM list, 500 ms late",
         [](local_fleet& f) {
             f.store.set_faults({{"vm_lag_ms", 500}});
             f.store.set_vm_state(f.backends[0]->address().to_string(), "leaving");
         }},
        {"only failed requests: it no longer responds", [](local_fleet& f) { f.backends[0]->server.set_frozen(true); }},
    };
    for (auto const& item : cases) {
        CAPTURE(item.name);
        entry_setup setup;
        setup.read_vm_list = true;
        local_fleet fleet(3, 1, 3, 8, setup);
        REQUIRE(fleet.wait_until_applied(fleet.publish()));
        int number = 0;
        auto const send_query = [&] {
            query_request query;
            query.service = "svc";
            query.query = "sea";
            query.request_id = std::to_string(++number);
            query.deadline_ms = 3000;
            auto const result = fleet.entries[0]->query(query);
            CHECK(result.response.has_value());
            if (result.response) CHECK(result.response->coverage == doctest::Approx(1.0));
        };
        for (int i = 0; i < queries_without_new_work; ++i)
            send_query(); // until every backend server has been used
        auto const signaled_at_ms = std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch()).count();
        item.leave(fleet);
        // Sends queries until the server has run none of many consecutive ones.
        int last_at_leaving = 0;
        CHECK(eventually([&] {
            send_query();
            for (auto const& entry : fleet.backends[0]->service.journal()) {
                if (entry.event == journal_event::ran) last_at_leaving = std::max(last_at_leaving, std::stoi(entry.id));
            }
            return number - last_at_leaving >= queries_without_new_work;
        }));
        std::int64_t last_ms = signaled_at_ms;
        int refused = 0;
        for (auto const& entry : fleet.backends[0]->service.journal()) {
            if (entry.event == journal_event::refused) ++refused;
            if (entry.event == journal_event::ran) last_ms = std::max(last_ms, entry.at_ms);
        }
        // It is not sent many requests that it then rejects.
        CHECK(refused <= queries_without_new_work / 5);
        MESSAGE(item.name << ": last new work " << last_ms - signaled_at_ms << " ms after the signal");
        fleet.clear_faults();
    }
}
