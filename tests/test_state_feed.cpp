/** @file test_state_feed.cpp Time until every gateway has a change, while a share of the gateways has faults. */
#include "feed_fleet.hpp"

#include <doctest/doctest.h>

#include <cmath>

using namespace cornelspring;
using namespace cornelspring::testing;
using namespace std::chrono_literals;

namespace {

/** Largest number of changes that a gateway misses in the simulated outages. */
constexpr int many_changes = 2500;

/** @return the position of @p revision in the first era. */
store_position at(std::int64_t revision) { return {store_era(1), revision}; }

/** @return a fleet in which every gateway has the first configuration. */
std::unique_ptr<feed_fleet> synced_fleet(int vms, int domains, std::uint64_t seed)
{
    auto fleet = std::make_unique<feed_fleet>(vms, domains, seed);
    fleet->write("config", "1");
    fleet->run(5s);
    REQUIRE(fleet->all_have("config", "1"));
    return fleet;
}

} // namespace

TEST_CASE("feed: a change reaches every live gateway within the bound while others are unreachable, refusing or stale")
{
    // An unreachable source is detected after 0.8 s + 0.25 s, one that responds from an old copy after 2 s. Three
    // rounds of 0.3 s and one after a pause find a live source. The change then arrives within 0.6 s, over a chain of
    // followers, each of which waits up to 60 ms to be scheduled.
    constexpr milliseconds search_bound{4 * 300 + 100};
    constexpr milliseconds propagation_bound{600};
    // If both gateways that should read the store have a fault, the leaders of the other failure domains read it, and
    // the rest must find these leaders: two more rounds with pauses.
    constexpr milliseconds no_reader_bound{2 * (300 + 400)};
    constexpr milliseconds unreachable_bound = milliseconds(800 + 250) + search_bound + propagation_bound;
    constexpr milliseconds stale_bound = milliseconds(2000) + search_bound + propagation_bound;
    for (int const vms : {7, 78, 300, 470}) {
        int const domains = vms < 10 ? 3 : 6;
        for (double const share : {0.10, 0.35, 0.60}) {
            for (auto const how : {fault_mode::unreachable, fault_mode::refusing, fault_mode::stale}) {
                std::uint64_t const seeds = vms < 100 ? 10 : 1;
                for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                    auto const fleet = synced_fleet(vms, domains, seed);
                    fleet->inject_fault(share, how);
                    fleet->write("config", "2");
                    auto const taken = fleet->time_until_all_have("config", "2", 10s);
                    INFO("vms ", vms, " share ", share, " how ", static_cast<int>(how), " seed ", seed);
                    auto bound = how == fault_mode::stale ? stale_bound : unreachable_bound;
                    if (!fleet->any_store_reader_live()) bound += no_reader_bound;
                    CHECK(taken.count() <= bound.count());
                }
            }
        }
    }
}

TEST_CASE("feed: gateways that cannot reach the store, or are rejected by it, get a change from the others in time")
{
    constexpr milliseconds bound{2200};
    for (auto const how : {fault_mode::unreachable, fault_mode::refusing}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            auto const fleet = synced_fleet(78, 6, seed);
            fleet->disconnect_from_store(0.35, how);
            fleet->run(1s);
            fleet->write("config", "2");
            auto const taken = fleet->time_until_all_have("config", "2", 10s);
            INFO("how ", static_cast<int>(how), " seed ", seed);
            CHECK(taken.count() <= bound.count());
        }
    }
}

TEST_CASE("feed: gateways that missed thousands of changes catch up page by page over the link of a small VM")
{
    auto const fleet = synced_fleet(78, 6, 1);
    fleet->limit_resources(1750, 500us); // 14 Mbit/s, an eighth of a core.
    fleet->inject_fault(0.35, fault_mode::unreachable);
    for (int i = 0; i < many_changes; ++i) {
        fleet->write("servers/" + std::to_string(i), std::string(220, 'x'));
        if (i % 100 == 0) fleet->run(300ms);
    }
    fleet->write("config", "2");
    fleet->clear_faults();
    CHECK(fleet->time_until_all_have("config", "2", 10s).count() <= 5000);
}

TEST_CASE("feed: responses to followers leave room for callers on the link of a small VM, also with many changes")
{
    // A part of 64 KB takes 26 ms on 20 Mbit/s.
    constexpr milliseconds longest_wait{60};
    for (int const vms : {78, 195, 470}) {
        auto const fleet = synced_fleet(vms, 6, 1);
        fleet->limit_resources(2500, 50us);
        std::mt19937 random(1);
        for (int i = 0; i < 500; ++i) {
            std::string value = R"({"service":"s)" + std::to_string(random()) + R"(","address":"10.1.)" +
                                std::to_string(random() % 250) + "." + std::to_string(random() % 250) +
                                R"(:8104","zone":"wien-halle-a","slots":2,"state":"ready","born":)" +
                                std::to_string(random()) + R"(,"warmup_left_ms":)" + std::to_string(random() % 3000);
            fleet->write("servers/i-" + std::to_string(random()), value);
        }
        fleet->write("config", "2");
        INFO("vms ", vms);
        CHECK(fleet->time_until_all_have("config", "2", 20s).count() <= 5000);
        CHECK(std::chrono::duration_cast<milliseconds>(fleet->longest_link_wait()).count() <= longest_wait.count());
    }
}

TEST_CASE("feed: the largest VM of each failure domain is its leader")
{
    member_map members;
    auto const add = [&members](std::string const& key, std::string const& domain, double capacity) {
        members[key] = {{}, {"10.0.0.1", 1}, domain_name(domain), region_name(domain), capacity, false};
    };
    add("g/a1", "a", 0.12);
    add("g/a2", "a", 0.5);
    add("g/a3", "a", 0.5);
    add("g/b1", "b", 0.5);
    endpoint const store{"10.9.9.9", 1};
    auto const source_of = [&](std::string const& self, std::string const& domain) {
        feed_selector const selector({store, self, domain_name(domain), region_name(domain), {}}, 1);
        return selector.choose(members)->peer_key;
    };
    CHECK(source_of("g/a1", "a") == "g/a2");
    CHECK(source_of("g/a3", "a") == "g/a2");
    CHECK(source_of("g/a2", "a") == "");
    members["g/a2"].stopping = true;
    CHECK(source_of("g/a1", "a") == "g/a3");
}

TEST_CASE("feed: a follower whose response is queued gets the changes, never a response without changes")
{
    state_mirror mirror;
    mirror.replace({}, at(1));
    time_point now{};
    std::vector<std::pair<time_point, std::function<void()>>> tasks;
    std::map<std::uint64_t, follower_response> responses;
    state_publisher::hooks hooks;
    hooks.encode = [](store_batch const& batch) { return std::string(batch.items.empty() ? 0 : 60000, 'x'); };
    hooks.respond = [&](std::vector<request_key> const& keys, follower_response const& response) {
        for (auto const key : keys)
            responses[key.value()] = response;
    };
    hooks.run_at = [&](time_point when, std::function<void()> task) { tasks.emplace_back(when, std::move(task)); };
    hooks.now = [&] { return now; };
    state_publisher publisher(mirror, std::move(hooks));
    publisher.set_uplink(100e3);
    publisher.on_confirmed({"", {"10.9.9.9", 1}}, now, {});
    for (std::uint64_t key = 1; key <= 3; ++key)
        publisher.handle_request(request_key(key), {feed_call_kind::watch, "g", at(1), 100ms});
    mirror.apply({{"k", "v", at(2), false}}, at(2));
    publisher.on_confirmed({"", {"10.9.9.9", 1}}, now, {});
    CHECK(responses.size() == 1); // The next one is sent when half of the link's rate has carried the first.
    for (int step = 0; step < 40; ++step) {
        now += 100ms;
        auto const due = std::exchange(tasks, {});
        for (auto const& [when, task] : due) {
            if (when <= now)
                task();
            else
                tasks.emplace_back(when, task);
        }
    }
    REQUIRE(responses.size() == 3);
    for (auto const& [key, response] : responses)
        CHECK(response.batch.items.size() == 1);
}

TEST_CASE("feed: a change that takes longer to transfer than the allowed delay of a call still arrives")
{
    // A configuration of 600 KB takes 0.34 s on 14 Mbit/s, and a leader sends it to twelve followers over one link: 4 s
    // if it were not deflated. Its routes differ in names and figures only. If a gateway canceled and repeated a call
    // whose response is merely large, the response would never arrive.
    auto const fleet = synced_fleet(78, 6, 1);
    fleet->limit_resources(1750, 500us);
    std::mt19937 random(1);
    std::string large;
    while (large.size() < 600 * 1024) {
        large += R"({"host":"host)" + std::to_string(random()) + R"(.example","prefix":"/p)" +
                 std::to_string(random()) + R"(/","service":"s)" + std::to_string(random() % 500) +
                 R"(","timeout_ms":)" + std::to_string(random() % 5000) +
                 R"(,"route_type":"idempotent","attempts":2,"priority":1},)";
    }
    fleet->write("config", large);
    CHECK(fleet->time_until_all_have("config", large, 20s).count() <= 4000);
}

TEST_CASE("feed: calls to the store do not grow with the number of gateways, also while it rejects some or all")
{
    auto const calls_in = [](int vms, auto const& inject) {
        auto const fleet = synced_fleet(vms, 6, 1);
        inject(*fleet);
        auto const before = fleet->store_calls();
        fleet->run(9s);
        return fleet->store_calls() - before;
    };
    auto const calm = [](feed_fleet&) {};
    auto const third_cut = [](feed_fleet& fleet) { fleet.disconnect_from_store(0.35, fault_mode::refusing); };
    auto const all_cut = [](feed_fleet& fleet) { fleet.disconnect_from_store(1, fault_mode::refusing); };
    // Two gateways with one watch of 1.5 s each.
    CHECK(calls_in(78, calm) <= 2 * 7);
    CHECK(calls_in(470, calm) <= 2 * 7);
    CHECK(calls_in(78, third_cut) <= 70);
    CHECK(calls_in(470, third_cut) <= 70);
    // A store that rejects all is called by the leaders, and by a few other gateways of each failure domain.
    CHECK(calls_in(78, all_cut) <= 450);
    CHECK(calls_in(470, all_cut) <= 450);
}

TEST_CASE("feed: the copy of a gateway that follows a follower is as recent as that of the others")
{
    auto const fleet = synced_fleet(78, 6, 3);
    fleet->disconnect_from_store(0.35, fault_mode::refusing);
    fleet->run(3s);
    for (int i = 0; i < 40; ++i) {
        fleet->run(250ms);
        CHECK(fleet->max_copy_age() <= 2s + 3 * 300ms); // A search starts after 2 s, in rounds of 0.3 s.
    }
}

TEST_CASE("feed: when the store is reachable again, every gateway gets its changes")
{
    auto const fleet = synced_fleet(78, 6, 4);
    for (auto const how : {fault_mode::unreachable, fault_mode::refusing}) {
        fleet->disconnect_from_store(1, how);
        fleet->run(9s);
        fleet->clear_faults();
        fleet->write("config", std::to_string(static_cast<int>(how) + 10));
        CHECK(fleet->time_until_all_have("config", std::to_string(static_cast<int>(how) + 10), 10s).count() <= 2500);
    }
}

namespace {

/** Writes @p count keys that are lost when the store is restored from its saved copy. */
void write_lost_keys(feed_fleet& fleet, int count)
{
    for (int i = 0; i < count; ++i)
        fleet.write("lost/" + std::to_string(i), "x");
    fleet.write("config", "lost");
    fleet.run(2s);
    REQUIRE(fleet.all_have("config", "lost"));
}

/** Makes the store reject all calls for @p away, then restores it from its saved copy. */
void restore_copy(feed_fleet& fleet, milliseconds away)
{
    fleet.disconnect_from_store(1, fault_mode::refusing);
    fleet.run(away);
    fleet.restore_copy();
    fleet.clear_faults();
}

/** Every gateway has the contents of a restored store within this: a pause between search rounds, a full read, and the
 *  chain of followers, at each of which the waiting watch finishes first. */
constexpr milliseconds restored_bound{3000};

} // namespace

TEST_CASE("feed: the contents of a store restored from an older copy, and later writes, reach every gateway")
{
    for (int const vms : {7, 78, 300}) {
        for (int const lost : {1, 5, 40}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                INFO("vms ", vms, " lost ", lost, " seed ", seed);
                auto const fleet = synced_fleet(vms, vms < 10 ? 3 : 6, seed);
                fleet->save_copy();
                write_lost_keys(*fleet, lost);
                restore_copy(*fleet, 2500ms);
                CHECK(fleet->time_until_all_match(10s).count() <= restored_bound.count());
                fleet->write("config", "2");
                CHECK(fleet->time_until_all_match(10s).count() <= 2500);
                // The store assigns the revisions that the gateways had before the restore to other changes.
                for (int i = 0; i < lost + 2; ++i)
                    fleet->write("again/" + std::to_string(i), "y");
                CHECK(fleet->time_until_all_match(10s).count() <= 2500);
            }
        }
    }
}

TEST_CASE("feed: gateways with a fault while the store is restored twice get its contents when the fault is over")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (auto const how : {fault_mode::unreachable, fault_mode::refusing, fault_mode::stale}) {
            INFO("seed ", seed, " how ", static_cast<int>(how));
            auto const fleet = synced_fleet(78, 6, seed);
            fleet->save_copy();
            write_lost_keys(*fleet, 5);
            fleet->inject_fault(0.35, how);
            for (int times = 0; times < 2; ++times) {
                fleet->restore_copy();
                fleet->run(1s);
                fleet->write("config", "after " + std::to_string(times));
                // As many revisions as before the restore, so that the store reaches the revision again that gateways
                // with a fault still have from the earlier era.
                for (int i = 0; i < 5; ++i)
                    fleet->write("again/" + std::to_string(i), std::to_string(times));
            }
            CHECK(fleet->time_until_all_match(10s).count() <= 5000);
            fleet->clear_faults();
            CHECK(fleet->time_until_all_match(10s).count() <= 5000);
        }
    }
}

TEST_CASE("feed: gateways that restart shortly before or after the store is restored get its contents")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed ", seed);
        auto const fleet = synced_fleet(78, 6, seed);
        fleet->save_copy();
        write_lost_keys(*fleet, 5);
        for (int vm = 0; vm < 6; ++vm)
            fleet->restart(vm); // These include the leaders of all failure domains.
        fleet->run(300ms);
        restore_copy(*fleet, 500ms);
        for (int vm = 3; vm < 9; ++vm)
            fleet->restart(vm);
        fleet->run(200ms);
        fleet->write("config", "2");
        CHECK(fleet->time_until_all_match(10s).count() <= restored_bound.count());
    }
}

TEST_CASE("mirror: an older change never replaces a newer one")
{
    state_mirror mirror;
    mirror.replace({{"a", "1", at(5), false}}, at(7));
    CHECK(mirror.apply({{"a", "3", at(9), false}}, at(9)).size() == 1);
    CHECK(mirror.apply({{"a", "2", at(8), false}}, at(9)).empty());
    CHECK(mirror.items().at("a").value == "3");
}

TEST_CASE("mirror: followers get the newest state of each key, in pages")
{
    state_mirror mirror;
    mirror.replace({}, at(1));
    std::int64_t revision = 1;
    for (int turn = 0; turn < 3; ++turn) {
        for (int i = 0; i < 600; ++i) {
            ++revision;
            mirror.apply({{"k" + std::to_string(i), std::string(200, 'x'), at(revision), false}}, at(revision));
        }
    }
    auto position = at(1);
    std::size_t items = 0;
    int pages = 0;
    for (;; ++pages) {
        auto const batch = mirror.changes_after(position);
        REQUIRE(batch);
        items += batch->items.size();
        position = batch->as_of;
        if (batch->next_page_token.empty()) break;
        CHECK(batch->items.size() * 200 < 2 * state_mirror::page_bytes);
    }
    CHECK(items == 600);
    CHECK(position == at(revision));
    CHECK(pages >= 2);
}

TEST_CASE("peer codec: a response is decoded as encoded, and one that is truncated or has a wrong size is rejected")
{
    auto const codec = make_peer_codec("g/1");
    store_batch batch{{}, at(900), "1.7", 250ms, {"g/2", "g/3"}};
    for (int i = 0; i < 300; ++i)
        batch.items.push_back({"servers/" + std::to_string(i), "value " + std::to_string(i), at(i + 1), i % 7 == 0});
    http_response response;
    response.body = encode_peer_batch(batch);
    auto const read = codec.parse_batch(response);
    CHECK(read.as_of == at(900));
    CHECK(read.next_page_token == "1.7");
    CHECK(read.age == 250ms);
    CHECK(read.path == batch.path);
    REQUIRE(read.items.size() == 300);
    CHECK(read.items[299].value == "value 299");
    CHECK(read.items[7].removed);
    auto const complete = response.body;
    for (std::size_t size = 0; size < complete.size(); size += 97) {
        response.body = complete.substr(0, size);
        CHECK_THROWS(codec.parse_batch(response));
    }
    auto const size_at = complete.find("bytes") + 6; // The high byte of the inflated size.
    for (int const by : {-1, 1}) {
        response.body = complete;
        response.body[size_at] = static_cast<char>(response.body[size_at] + by);
        CHECK_THROWS_AS(codec.parse_batch(response), error);
    }
}

TEST_CASE("feed: when all gateways of a fleet start at once, the full reads of the store do not grow with the fleet")
{
    for (int const vms : {78, 985, 2000}) {
        CAPTURE(vms);
        int const domains = 6;
        int const items = vms < 1000 ? 1200 : 300;
        auto const fleet = synced_fleet(vms, domains, 1);
        for (int i = 0; i < items; ++i)
            fleet->write("servers/" + std::to_string(i), std::string(130, 'x'));
        fleet->run(10s);
        REQUIRE(fleet->all_match_store());
        auto const before = fleet->store_pages();
        fleet->restart_all();
        auto const pages_per_copy = 1 + items * 190 / static_cast<int>(state_mirror::read_page_bytes);
        CHECK(fleet->time_until_all_match(8s).count() < 5000);
        CHECK_MESSAGE(fleet->store_pages() - before <= domains * pages_per_copy, "one full read in a failure domain");
        auto const width = std::ceil(std::sqrt(vms / domains)) + 1;
        CHECK_MESSAGE(static_cast<double>(fleet->most_pages_served()) <= 2.5 * width * pages_per_copy,
                      "no gateway sends more than some sqrt(m) copies");
    }
}

TEST_CASE("feed: gateways that start while the first ones of their failure domain are down get a copy from others")
{
    auto const fleet = synced_fleet(120, 6, 3);
    for (int i = 0; i < 500; ++i)
        fleet->write("servers/" + std::to_string(i), "x");
    fleet->run(10s);
    fleet->inject_fault(0.35, fault_mode::unreachable);
    auto const live = fleet->live();
    for (int i = 0; i < 20; ++i)
        fleet->restart(live[static_cast<std::size_t>(i)]);
    // Two time-outs of 1.5 s at sources that do not respond, and the read itself.
    CHECK(fleet->time_until_all_match(10s).count() < 2 * 1500 + 3500);
}
