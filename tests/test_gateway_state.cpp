/** @file test_gateway_state.cpp The copy of the store, where it is read from, and which gateways serve callers. */
#include <cornelspring/gateway.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** @return a member at failure domain @p domain of region @p region. */
gateway_member member_of(std::string const& domain, std::string const& region, int port, double capacity = 1)
{
    return {{"127.0.0.1", static_cast<std::uint16_t>(port)},
            {"127.0.0.2", static_cast<std::uint16_t>(port)},
            domain_name(domain),
            region_name(region),
            capacity,
            false};
}

/** @return ports of @p addresses, sorted. */
std::set<int> ports(std::vector<endpoint> const& addresses)
{
    std::set<int> found;
    for (auto const& each : addresses)
        found.insert(each.port);
    return found;
}

} // namespace

TEST_CASE("mirror: followers get the differences of a complete re-read as changes")
{
    state_mirror mirror;
    CHECK(mirror.replace({{"a", "1", 5, false}, {"b", "1", 6, false}}, 7).empty());
    CHECK_FALSE(mirror.changes_after(6));
    REQUIRE(mirror.changes_after(7));
    CHECK(mirror.changes_after(7)->empty());
    mirror.apply({{"c", "1", 8, false}}, 8);
    auto const gone = mirror.replace({{"a", "1", 5, false}, {"c", "2", 12, false}}, 15);
    CHECK(gone == std::vector<std::string>{"b"});
    auto const changes = mirror.changes_after(8);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK((*changes)[0].key == "c");
    CHECK((*changes)[1].key == "b");
    CHECK((*changes)[1].removed);
    CHECK(mirror.as_of() == 15);
}

TEST_CASE("feed: one gateway of a failure domain reads the store, the others follow it")
{
    endpoint const store{"127.0.0.9", 1};
    member_map members{{"g/1", member_of("d1", "r", 1)},
                       {"g/2", member_of("d1", "r", 2)},
                       {"g/3", member_of("d1", "r", 3)},
                       {"g/4", member_of("d2", "r", 4)}};
    time_point const now{100s};
    feed_selector first(store, "g/1", domain_name("d1"), {});
    feed_selector second(store, "g/2", domain_name("d1"), {});
    feed_selector other(store, "g/4", domain_name("d2"), {});
    CHECK(first.choose(members, now).is_store());
    CHECK(second.choose(members, now).peer_key == "g/1");
    CHECK(other.choose(members, now).is_store());
    SUBCASE("one that fails is left out for a while")
    {
        second.on_failed({"g/1", {}}, now);
        CHECK(second.choose(members, now).is_store());
        CHECK(second.choose(members, now + 4s).peer_key == "g/1");
    }
    SUBCASE("one that stops is not followed")
    {
        members["g/1"].stopping = true;
        CHECK(second.choose(members, now).is_store());
    }
    SUBCASE("a VM that the store turns away follows any other")
    {
        first.on_failed({"", store}, now);
        CHECK(first.choose(members, now).peer_key == "g/2");
        other.on_failed({"", store}, now);
        CHECK(other.choose(members, now).peer_key == "g/1");
    }
    SUBCASE("when the store is down for all, the others are not all asked")
    {
        first.on_failed({"", store}, now);
        for (char const* peer : {"g/2", "g/3", "g/4"})
            first.on_failed({peer, {}}, now);
        CHECK(first.choose(members, now).is_store());
    }
    SUBCASE("full reads go to the store while it answers")
    {
        CHECK(second.choose_for_read(members, now).is_store());
        second.on_failed({"", store}, now);
        CHECK(second.choose_for_read(members, now).peer_key == "g/1");
    }
    SUBCASE("a VM that starts while the store is away asks the seeds")
    {
        feed_selector starting(store, "g/9", domain_name("d1"), {{"127.0.0.7", 7}});
        CHECK(starting.choose({}, now).is_store());
        starting.on_failed({"", store}, now);
        CHECK(starting.choose({}, now).address == endpoint{"127.0.0.7", 7});
    }
}

TEST_CASE("addresses: callers are sent to gateways near them, within what backend servers accept")
{
    member_map members;
    for (int i = 0; i < 6; ++i) {
        members["g/" + std::to_string(i)] =
            member_of("d" + std::to_string(i / 3), "r" + std::to_string(i / 3), i, i % 3 + 1.0);
    }
    std::mt19937_64 random(1);
    SUBCASE("the largest of each failure domain come first")
    {
        CHECK(choose_active(members, 2) == std::set<std::string>{"g/2", "g/5"});
        CHECK(choose_active(members, 4) == std::set<std::string>{"g/1", "g/2", "g/4", "g/5"});
        CHECK(choose_active(members, 100).size() == 6);
    }
    SUBCASE("own failure domain first, more when there are too few")
    {
        auto const all = choose_active(members, 100);
        CHECK(ports(choose_addresses(members, all, region_name("r1"), domain_name("d1"), random)) ==
              std::set<int>{3, 4, 5});
        auto const few = choose_active(members, 2);
        CHECK(ports(choose_addresses(members, few, region_name("r1"), domain_name("d1"), random)) ==
              std::set<int>{2, 5});
        CHECK(ports(choose_addresses(members, all, region_name("x"), domain_name("x"), random)).size() == 6);
    }
    SUBCASE("one that stops is named only when no other is left")
    {
        for (auto& [key, member] : members)
            member.stopping = key != "g/0";
        CHECK(choose_active(members, 100) == std::set<std::string>{"g/0"});
        members["g/0"].stopping = true;
        CHECK(choose_active(members, 100).size() == 6);
    }
}

TEST_CASE("members: what is written to the store is read back")
{
    auto const member = member_of("d", "r", 7, 0.25);
    auto const read = decode_member(encode_member(member));
    CHECK(read.address == member.address);
    CHECK(read.peer == member.peer);
    CHECK(read.domain == member.domain);
    CHECK(read.capacity == doctest::Approx(0.25));
    CHECK_THROWS_AS(decode_member("{}"), error);
}
