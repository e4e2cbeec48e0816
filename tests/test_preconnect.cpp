/** @file test_preconnect.cpp To which backend servers a gateway connects before a request needs it. */
#include "dispatcher_fixture.hpp"

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** A dispatcher's registry in which shard g0 has one more server in another region. */
struct plan_fixture : dispatcher_fixture {
    plan_fixture() { add_backend("g0", "c", "e"); }
    /** @return ids of the planned servers, in order. */
    std::vector<std::string> planned(std::set<std::string> const& connected = {})
    {
        auto const is_connected = [&](std::shared_ptr<backend_server> const& server) {
            return connected.contains(server->registration.id.value());
        };
        std::vector<std::string> ids;
        for (auto const& server :
             backends_to_preconnect(*configs.current(), registry, placement, is_connected, random, now))
            ids.push_back(server->registration.id.value());
        return ids;
    }
    /** @return whether @p id is planned. */
    bool plans(std::string const& id)
    {
        auto const ids = planned();
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }
    std::mt19937_64 random{1}; ///< Order.
};

} // namespace

TEST_CASE_FIXTURE(plan_fixture, "connections ahead: all servers of shards that have none, the near ones first")
{
    auto const ids = planned();
    CHECK(ids.size() == 9); // Two of each of the four shards and the far one; none of the plain services.
    CHECK(ids.back() == "g0c");
    CHECK(planned({"g0a", "g1b"}).size() == 7);
}

TEST_CASE_FIXTURE(plan_fixture, "connections ahead: to the servers that some route over the shards may reach")
{
    auto const with_homes = [this](int version, region_set const& first, region_set const& second) {
        auto routes = configs.current()->routes();
        std::erase_if(routes, [](route const& each) { return !each.gather; });
        routes.resize(1);
        routes.push_back(routes.front());
        routes[0].home_regions = first;
        routes[1].home_regions = second;
        routes[1].prefix = "/other/";
        configs.set_if_newer(std::make_shared<serving_config const>(
            config_version(version), routes, std::map<service_name, service_limits>{}, caller_limits{}));
    };
    with_homes(2, {region_name("q")}, {region_name("q")});
    CHECK(planned() == std::vector<std::string>{"g0c"});
    with_homes(3, {region_name("q")}, {region_name("r")});
    CHECK(planned().size() == 9);
}

TEST_CASE_FIXTURE(plan_fixture, "connections ahead: none to servers that get no requests")
{
    REQUIRE(plans("g0a"));
    SUBCASE("as one leaves")
    {
        registry.apply({backend_id("g0a"), service_name("g0"), {"127.0.0.1", 1}, domain_name("d"), 2, true, 0ms}, now);
        CHECK_FALSE(plans("g0a"));
    }
    SUBCASE("as its failure domain is evacuated")
    {
        placement.evacuated().start(domain_name("d"));
        CHECK(planned() == std::vector<std::string>{"g0c"});
    }
    SUBCASE("as it failed just now, until it is tried again")
    {
        registry.find(backend_id("g0a"))->load.on_stalled(now);
        CHECK_FALSE(plans("g0a"));
        advance(200ms);
        CHECK(plans("g0a"));
    }
    SUBCASE("as an attempt is under way there")
    {
        registry.find(backend_id("g0a"))->load.on_sent();
        CHECK_FALSE(plans("g0a"));
    }
}
