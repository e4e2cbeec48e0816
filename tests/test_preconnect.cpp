/** @file test_preconnect.cpp Choice of backend servers to connect to before a request needs it. */
#include "dispatcher_fixture.hpp"

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** The dispatcher fixture with one more backend server of shard g0, in another region. */
struct preconnect_fixture : dispatcher_fixture {
    preconnect_fixture() { add_backend("g0", "c", "e"); }
    /** @return the ids of the servers to connect to, in order. */
    std::vector<std::string> servers_to_connect(std::set<std::string> const& connected = {})
    {
        auto const is_connected = [&](std::shared_ptr<backend_server> const& server) {
            return connected.contains(server->registration.id.value());
        };
        std::vector<std::string> ids;
        for (auto const& server :
             backends_to_preconnect(*configs.current(), registry, placement, max_replicas, is_connected, random, now))
            ids.push_back(server->registration.id.value());
        return ids;
    }
    /** @return whether @p id is one of the servers to connect to. */
    bool would_connect(std::string const& id)
    {
        auto const ids = servers_to_connect();
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }
    std::size_t max_replicas = 4; ///< Most servers of a shard to connect to.
    std::mt19937_64 random{1};    ///< Random source for the order.
};

} // namespace

TEST_CASE_FIXTURE(preconnect_fixture, "pre-connect: all servers of shards without a connection, near ones first")
{
    auto const ids = servers_to_connect();
    CHECK(ids.size() == 9); // Two of each of the four shards and the far one; none of the services without a gather.
    CHECK(ids.back() == "g0c");
    CHECK(servers_to_connect({"g0a", "g1b"}).size() == 7);
}

TEST_CASE_FIXTURE(preconnect_fixture, "pre-connect: only servers that some route over the shards may reach")
{
    auto const with_homes = [this](int version, region_set const& first, region_set const& second) {
        auto routes = configs.current()->routes();
        std::erase_if(routes, [](route const& each) { return !each.gather; });
        routes.resize(1);
        routes.push_back(routes.front());
        routes[0].home_region_set = first;
        routes[1].home_region_set = second;
        routes[1].prefix = "/other/";
        configs.set_if_newer(std::make_shared<serving_config const>(
            config_version(version), routes, std::map<service_name, service_limits>{}, caller_limits{}));
    };
    with_homes(2, {region_name("q")}, {region_name("q")});
    CHECK(servers_to_connect() == std::vector<std::string>{"g0c"});
    with_homes(3, {region_name("q")}, {region_name("r")});
    CHECK(servers_to_connect().size() == 9);
}

TEST_CASE_FIXTURE(preconnect_fixture, "pre-connect: no servers that get no requests")
{
    REQUIRE(would_connect("g0a"));
    SUBCASE("because it is draining")
    {
        registry.apply({backend_id("g0a"), service_name("g0"), {"127.0.0.1", 1}, domain_name("d"), 2, true, 0ms}, now);
        CHECK_FALSE(would_connect("g0a"));
    }
    SUBCASE("because its failure domain is evacuated")
    {
        placement.evacuated().start(domain_name("d"));
        CHECK(servers_to_connect() == std::vector<std::string>{"g0c"});
    }
    SUBCASE("because it has just failed, until it may be tried again")
    {
        registry.find(backend_id("g0a"))->load.on_stalled(now);
        CHECK_FALSE(would_connect("g0a"));
        advance(200ms);
        CHECK(would_connect("g0a"));
    }
    SUBCASE("because an attempt is in flight to it")
    {
        registry.find(backend_id("g0a"))->load.on_sent();
        CHECK_FALSE(would_connect("g0a"));
    }
}

TEST_CASE_FIXTURE(preconnect_fixture, "pre-connect: connections grow with the shards and not with their replicas")
{
    for (int i = 0; i < 19; ++i)
        add_backend("g1", "near-" + std::to_string(i));
    CHECK(servers_to_connect().size() == 3 + 4 + 2 + 2);
    max_replicas = 2;
    auto const ids = servers_to_connect();
    CHECK(ids.size() == 8);
    CHECK_MESSAGE(std::find(ids.begin(), ids.end(), "g0c") == ids.end(), "the far replica is the last one");
}
