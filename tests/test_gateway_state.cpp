/** @file test_gateway_state.cpp The local copy of the store, the choice of its source, and the gateways for callers. */
#include <cornelspring/gateway.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** @return a member in failure domain @p domain of region @p region. */
gateway_member member_of(std::string const& domain, std::string const& region, int port, double capacity = 1)
{
    return {{"127.0.0.1", static_cast<std::uint16_t>(port)},
            {"127.0.0.2", static_cast<std::uint16_t>(port)},
            domain_name(domain),
            region_name(region),
            capacity,
            false};
}

/** @return the position of @p revision in era @p era. */
store_position at(std::int64_t revision, std::int64_t era = 1) { return {store_era(era), revision}; }

/** @return the set of ports of @p addresses. */
std::set<int> ports(std::vector<endpoint> const& addresses)
{
    std::set<int> found;
    for (auto const& each : addresses)
        found.insert(each.port);
    return found;
}

/** @return the address query of a caller in failure domain @p domain of @p region. */
address_query question(std::string const& region, std::string const& domain)
{
    return {"h.example", region_name(region), domain_name(domain)};
}

} // namespace

TEST_CASE("mirror: followers receive the differences found by a full read as changes")
{
    state_mirror mirror;
    CHECK(mirror.replace({{"a", "1", at(5), false}, {"b", "1", at(6), false}}, at(7)).size() == 2);
    CHECK_FALSE(mirror.changes_after(at(6)));
    REQUIRE(mirror.changes_after(at(7)));
    CHECK(mirror.changes_after(at(7))->items.empty());
    mirror.apply({{"c", "1", at(8), false}}, at(8));
    auto const differences = mirror.replace({{"a", "1", at(5), false}, {"c", "2", at(12), false}}, at(15));
    REQUIRE(differences.size() == 2);
    CHECK(differences[0].key == "c");
    CHECK(differences[1].key == "b");
    CHECK(differences[1].removed);
    auto const changes = mirror.changes_after(at(8));
    REQUIRE(changes);
    REQUIRE(changes->items.size() == 2);
    CHECK(changes->items[0].key == "c");
    CHECK(changes->items[1].key == "b");
    CHECK(changes->items[1].removed);
    CHECK(mirror.as_of() == at(15));
}

TEST_CASE(
    "mirror: changes of a later era are applied whatever their revisions and followers in an earlier era read all")
{
    state_mirror mirror;
    mirror.replace({{"same", "1", at(5), false}, {"config", "3", at(60), false}, {"lost", "1", at(61), false}}, at(63));
    auto const differences =
        mirror.replace({{"same", "1", at(5, 2), false}, {"config", "1", at(55, 2), false}}, at(58, 2));
    REQUIRE(differences.size() == 2);
    CHECK(differences[0].value == "1");
    CHECK(differences[1].key == "lost");
    CHECK(differences[1].removed);
    CHECK(mirror.as_of() == at(58, 2));
    CHECK_FALSE(mirror.changes_after(at(63)));
    CHECK(mirror.has_changes_after(at(63)));
    CHECK(mirror.apply({{"config", "4", at(59, 2), false}}, at(59, 2)).size() == 1);
    CHECK(mirror.items().at("config").value == "4");
    REQUIRE(mirror.changes_after(at(58, 2)));
    CHECK(mirror.changes_after(at(58, 2))->items.size() == 1);
    auto const all = mirror.page_after({});
    CHECK(all.items.size() == 2);
    for (auto const& item : all.items)
        CHECK(item.position.era == store_era(2));
}

TEST_CASE("store positions: parsing returns the position that was formatted")
{
    CHECK(parse_position(at(63, 2).to_string()) == at(63, 2));
    CHECK(at(60, 2) > at(63, 1));
    for (char const* text : {"", "7", "7.", ".7", "x.1"})
        CHECK_FALSE(parse_position(text));
}

TEST_CASE("missing items: removals found after a restoration are held back, and dropped if the item is written again")
{
    deferred_removals missing;
    time_point const now{100s};
    auto const taken =
        missing.defer({{"a", "", at(9, 2), true}, {"b", "2", at(8, 2), false}, {"c", "", at(9, 2), true}}, now + 2s);
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].key == "b");
    CHECK(missing.take_due(now + 1s).empty());
    missing.cancel("a");
    auto const due = missing.take_due(now + 2s);
    REQUIRE(due.size() == 1);
    CHECK(due[0].key == "c");
    CHECK(missing.take_due(now + 2s).empty());
}

TEST_CASE("feed: two leaders of failure domains read the store, the other leaders follow one of them")
{
    endpoint const store{"127.0.0.9", 1};
    member_map members;
    for (int i = 0; i < 12; ++i) {
        auto const domain = "d" + std::to_string(i % 6);
        members["g/" + std::to_string(10 + i)] = member_of(domain, "r" + std::to_string(i % 6 / 2), i);
    }
    auto const source = [&](int vm, member_map const& known) {
        auto const& self = members.at("g/" + std::to_string(vm));
        feed_selector const selector({store, "g/" + std::to_string(vm), self.domain, self.region, {}}, 1);
        return selector.choose(known)->peer_key;
    };
    CHECK(source(10, members) == "");
    CHECK(source(11, members) == "");
    CHECK(source(12, members) == "g/10"); // No gateway of its region reads the store.
    CHECK(source(16, members) == "g/10"); // Not a leader: follows the leader of its failure domain.
    CHECK(source(17, members) == "g/11");
    CHECK(source(18, members) == "g/12");
    SUBCASE("a leader follows the gateway of its region that reads the store")
    {
        auto without = members;
        without.erase("g/11");
        CHECK(source(12, without) == "");
        CHECK(source(13, without) == "g/12");
        CHECK(source(14, without) == "g/10");
        CHECK(source(17, without) == "g/10"); // Now a leader, in the region of the first gateway that reads the store.
    }
    SUBCASE("a VM that is not registered follows as others do, and reads the store when there is no gateway to follow")
    {
        auto without = members;
        without.erase("g/12");
        CHECK(source(12, without) == "g/18");
        without.erase("g/18");
        CHECK(source(12, without) == "g/10");
        CHECK(source(12, {}) == "");
    }
}

TEST_CASE("feed: one gateway of a failure domain reads the store, the others follow it")
{
    endpoint const store{"127.0.0.9", 1};
    member_map members{{"g/1", member_of("d1", "r", 1)},
                       {"g/2", member_of("d1", "r", 2)},
                       {"g/3", member_of("d1", "r", 3)},
                       {"g/4", member_of("d2", "r", 4)}};
    time_point const now{100s};
    auto const selector = [&](char const* self, char const* domain, std::vector<endpoint> seeds = {}) {
        return feed_selector({store, self, domain_name(domain), region_name("r"), std::move(seeds)}, 1);
    };
    auto first = selector("g/1", "d1");
    auto second = selector("g/2", "d1");
    auto other = selector("g/4", "d2");
    CHECK(first.choose(members)->is_store());
    CHECK(second.choose(members)->peer_key == "g/1");
    CHECK(other.choose(members)->is_store());
    auto const asked = [&](feed_selector& from, int round) {
        std::set<std::string> keys;
        for (auto const& target : from.search_targets(members, round))
            keys.insert(target.peer_key);
        return keys;
    };
    SUBCASE("a failed source is not used until a freshness check succeeds")
    {
        second.on_failed({"g/1", {}}, now);
        CHECK_FALSE(second.choose(members));
        CHECK_FALSE(second.due_for_recheck(members, now + 2s));
        REQUIRE(second.due_for_recheck(members, now + 4s));
        CHECK(second.due_for_recheck(members, now + 4s)->peer_key == "g/1");
        second.on_responded({"g/1", {}});
        CHECK(second.choose(members)->peer_key == "g/1");
    }
    SUBCASE("a stopping gateway is not followed")
    {
        members["g/1"].stopping = true;
        CHECK(second.choose(members)->is_store());
        CHECK_FALSE(asked(second, 0).contains("g/1"));
    }
    SUBCASE("a VM whose calls the store rejects follows the gateway that a search finds")
    {
        first.on_failed({"", store}, now);
        CHECK_FALSE(first.choose(members));
        CHECK(asked(first, 0) == std::set<std::string>{"", "g/2", "g/3", "g/4"});
        first.on_found({"g/4", {}});
        CHECK(first.choose(members)->peer_key == "g/4");
        first.on_failed({"g/4", {}}, now);
        CHECK_FALSE(first.choose(members));
    }
    SUBCASE("a search of a VM that need not read the store includes the store only in later rounds")
    {
        CHECK(asked(second, 0) == std::set<std::string>{"g/1", "g/3", "g/4"});
        CHECK(asked(second, 2) == std::set<std::string>{"", "g/1", "g/3", "g/4"});
    }
    SUBCASE("full reads go to the store while it responds")
    {
        CHECK(second.choose_for_read(members)->is_store());
        second.on_failed({"", store}, now);
        CHECK(second.choose_for_read(members)->peer_key == "g/1");
    }
    SUBCASE("a VM that starts while the store is unreachable asks the seeds")
    {
        auto starting = selector("g/9", "d1", {{"127.0.0.7", 7}});
        CHECK(starting.choose({})->is_store());
        starting.on_failed({"", store}, now);
        CHECK_FALSE(starting.choose({}));
        auto const targets = starting.search_targets({}, 0);
        REQUIRE(targets.size() == 2);
        CHECK(targets[0].address == endpoint{"127.0.0.7", 7});
        CHECK(targets[1].is_store());
        // The same while only its own registration is known.
        member_map const alone{{"g/9", member_of("d1", "r", 9)}};
        starting.on_found(targets[0]);
        REQUIRE(starting.choose(alone));
        CHECK(starting.choose(alone)->address == endpoint{"127.0.0.7", 7});
    }
}

TEST_CASE("feed: a search asks near gateways of different failure domains first, and failed ones last")
{
    member_map members;
    for (int i = 0; i < 24; ++i) {
        auto const domain = "d" + std::to_string(i % 6);
        auto const region = "r" + std::to_string(i % 6 / 2);
        members["g/" + std::to_string(10 + i)] = member_of(domain, region, i);
    }
    feed_selector selector({{"127.0.0.9", 1}, "g/33", domain_name("d5"), region_name("r2"), {}}, 1);
    auto const domains = [&](int round) {
        std::vector<std::string> found;
        for (auto const& target : selector.search_targets(members, round))
            found.push_back(target.is_store() ? "store" : members.at(target.peer_key).domain.value());
        return found;
    };
    auto const first = domains(0);
    REQUIRE(first.size() == 4);
    CHECK(first[0] == "d5");
    CHECK(first[1] == "d4");
    CHECK(std::set<std::string>(first.begin(), first.end()).size() == 4);
    CHECK(domains(1).size() == 8);
    CHECK(domains(2).size() >= 16);
    CHECK(domains(3).size() <= 9); // After three rounds the store is probably unreachable for all.
    for (int i : {5, 11, 17})
        selector.on_failed({"g/" + std::to_string(10 + i), {}}, time_point{});
    CHECK(domains(0)[0] == "d4");
}

TEST_CASE("addresses: callers receive near gateways, no more than backend servers have connections for")
{
    member_map members;
    for (int i = 0; i < 6; ++i) {
        members["g/" + std::to_string(i)] =
            member_of("d" + std::to_string(i / 3), "r" + std::to_string(i / 3), i, i % 3 + 1.0);
    }
    std::mt19937_64 random(1);
    SUBCASE("the largest VMs of each failure domain are chosen first")
    {
        CHECK(choose_active(members, 2) == std::set<std::string>{"g/2", "g/5"});
        CHECK(choose_active(members, 4) == std::set<std::string>{"g/1", "g/2", "g/4", "g/5"});
        CHECK(choose_active(members, 100).size() == 6);
    }
    SUBCASE("gateways of the caller's failure domain, or of a wider area when there are too few")
    {
        auto const all = choose_active(members, 100);
        CHECK(ports(choose_addresses(members, all, question("r1", "d1"), {}, random)) == std::set<int>{3, 4, 5});
        auto const few = choose_active(members, 2);
        CHECK(ports(choose_addresses(members, few, question("r1", "d1"), {}, random)) == std::set<int>{2, 5});
        CHECK(ports(choose_addresses(members, all, question("x", "x"), {}, random)).size() == 6);
    }
    SUBCASE("stopping gateways are chosen only when no others are left")
    {
        for (auto& [key, member] : members)
            member.stopping = key != "g/0";
        CHECK(choose_active(members, 100) == std::set<std::string>{"g/0"});
        members["g/0"].stopping = true;
        CHECK(choose_active(members, 100).size() == 6);
    }
}

TEST_CASE("addresses: small VMs are chosen only when the capacity of the large ones is not enough")
{
    auto const fleet = [](int large, int small) {
        member_map members;
        for (int i = 0; i < 2 * (large + small); ++i) {
            auto const domain = "d" + std::to_string(i % 2);
            members["g/" + std::to_string(100 + i)] = member_of(domain, "r", i, i / 2 < large ? 0.5 : 0.12);
        }
        return members;
    };
    CHECK(choose_active(fleet(3, 3), 100).size() == 6);
    CHECK(choose_active(fleet(3, 3), 100).count("g/106") == 0);
    // With one large VM in each failure domain, the loss of one would leave its domain without any.
    CHECK(choose_active(fleet(1, 1), 100).size() == 4);
    // The large ones alone have too little of the total capacity.
    CHECK(choose_active(fleet(2, 20), 100).size() == 44);
    CHECK(choose_active(fleet(0, 5), 100).size() == 10);
}

TEST_CASE("members: decoding returns the member that was encoded")
{
    auto const member = member_of("d", "r", 7, 0.25);
    auto const read = decode_member(encode_member(member));
    CHECK(read.address == member.address);
    CHECK(read.peer_address == member.peer_address);
    CHECK(read.domain == member.domain);
    CHECK(read.capacity == doctest::Approx(0.25));
    CHECK_THROWS_AS(decode_member("{}"), error);
}
