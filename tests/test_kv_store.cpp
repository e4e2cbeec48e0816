/** @file test_kv_store.cpp Revisions, compare-and-swap, leases and history of the store stand-in. */
#include "../src/store/kv_store.hpp"

#include <doctest/doctest.h>

using namespace cornelspring;

TEST_CASE("every write increments the revision and a transaction has a single revision")
{
    kv_store store;
    auto const first = store.put("a", "1", 0);
    auto const second = store.put("b", "2", 0);
    CHECK(second == first + 1);
    txn_request request;
    request.success.push_back({txn_op::kind::put, "c", "", "3", 0});
    request.success.push_back({txn_op::kind::put, "d", "", "4", 0});
    auto const result = store.txn(request);
    CHECK(result.succeeded);
    CHECK(result.revision == second + 1);
    CHECK(store.range("c", "").front().mod_revision == store.range("d", "").front().mod_revision);
}

TEST_CASE("compare-and-swap on mod_revision succeeds for only one of two concurrent writers")
{
    kv_store store;
    auto const rev = store.put("k", "base", 0);
    txn_request first;
    first.compares.push_back({"k", compare_target::mod_revision, rev, ""});
    first.success.push_back({txn_op::kind::put, "k", "", "first", 0});
    txn_request second = first;
    second.success.front().value = "second";
    CHECK(store.txn(first).succeeded);
    CHECK_FALSE(store.txn(second).succeeded);
    CHECK(store.range("k", "").front().value == "first");
    txn_request create;
    create.compares.push_back({"new", compare_target::mod_revision, 0, ""});
    create.success.push_back({txn_op::kind::put, "new", "", "x", 0});
    CHECK(store.txn(create).succeeded);
    CHECK_FALSE(store.txn(create).succeeded);
}

TEST_CASE("an expired lease deletes its keys and cannot be renewed")
{
    kv_store store;
    auto const now = clock::now();
    auto const lease = store.grant(2, now, 0);
    store.put("member", "x", lease);
    CHECK(store.keepalive(lease, now + std::chrono::seconds(1)) == 2);
    CHECK(store.expire(now + std::chrono::milliseconds(2500)).empty());
    CHECK(store.expire(now + std::chrono::seconds(4)).size() == 1);
    CHECK(store.range("member", "").empty());
    CHECK_THROWS_AS(store.keepalive(lease, now + std::chrono::seconds(4)), error);
    CHECK_THROWS_AS(store.put("member", "x", lease), error);
}

TEST_CASE("the watch history returns events after a revision and rejects compacted revisions")
{
    kv_store store(3);
    auto const start = store.revision();
    for (int i = 0; i < 5; ++i)
        store.put("p/" + std::to_string(i), "v", 0);
    CHECK_THROWS_AS(store.events_after(start, "p/", prefix_end("p/")), error);
    auto const events = store.events_after(store.revision() - 2, "p/", prefix_end("p/"));
    CHECK(events.size() == 2);
    store.remove("p/4", "");
    auto const deleted = store.events_after(store.revision() - 1, "p/", prefix_end("p/"));
    REQUIRE(deleted.size() == 1);
    CHECK(deleted.front().is_delete);
}
