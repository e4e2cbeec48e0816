/** @file test_places.cpp Placement rules: home regions, evacuations, cold backend servers. */
#include <cornelspring/gateway.hpp>

#include "dispatcher_fixture.hpp"

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** A dispatcher whose shards have a replica "a" in the VM's own region r (domain d) and one "c" in region q (domain e).
 */
struct placement_fixture : dispatcher_fixture {
    placement_fixture() : dispatcher_fixture({}, nullptr)
    {
        for (char const* service : {"s", "g0", "g1", "g2", "g3"}) {
            registry.remove(backend_id(std::string(service) + "b"), now);
            add_backend(service, "c", "e");
        }
        placement.quotas().set_participants({"self"}, "self", now - 10s);
    }
    /** Applies a configuration whose routes have the home regions @p home_region_set and whose cold backend servers can
     *  handle @p per_second requests per second; 0: no limit. */
    void configure(region_set const& home_region_set, double per_second = 0)
    {
        auto const base = config_of(++version, {"g0", "g1", "g2", "g3"});
        auto routes = base->routes();
        for (auto& each : routes)
            each.home_region_set = home_region_set;
        std::map<service_name, service_limits> services;
        for (char const* service : {"s", "t", "g0", "g1", "g2", "g3"})
            services[service_name(service)] = {60, {3000ms, per_second}};
        configs.set_if_newer(
            std::make_shared<serving_config const>(config_version(version), routes, services, caller_limits{}));
    }
    /** @return the ids of the backend servers to which attempts were sent. */
    std::set<std::string> targets() const
    {
        std::set<std::string> found;
        for (auto const& each : sent)
            found.insert(each.target->registration.id.value());
        return found;
    }
    int version = 0; ///< Version of the last configuration.
};

/** @return a gateway in @p region. */
gateway_member member_of(std::string const& domain, std::string const& region, int port)
{
    endpoint const address{"127.0.0.1", static_cast<std::uint16_t>(port)};
    return {address, address, domain_name(domain), region_name(region), 1, false};
}

/** @return requests per second that @p vms VMs together may send to @p server when each of them knows all of them. */
int total_quota(int vms, std::string const& server, double bound)
{
    std::set<std::string> keys;
    for (int i = 0; i < vms; ++i)
        keys.insert("g/" + std::to_string(i));
    int all = 0;
    for (auto const& key : keys) {
        warmup_quotas shares;
        shares.set_participants(keys, key, time_point(0s));
        all += shares.quota(server, bound, time_point(10s));
    }
    return all;
}

} // namespace

TEST_CASE_FIXTURE(placement_fixture, "placement: first attempts, hedges and retries stay in the home regions")
{
    configure({region_name("q")});
    auto const key = start("/gather/x", "id");
    CHECK(targets() == std::set<std::string>{"g0c", "g1c", "g2c", "g3c"});
    finish_attempt(0, attempt_status::lost);
    finish_attempt(1, attempt_status::not_executed);
    advance(300ms); // Hedges and retries are due.
    CHECK(targets() == std::set<std::string>{"g0c", "g1c", "g2c", "g3c"});
    respond(2, 200, "");
    CHECK_FALSE(has_response(key));
    start("/plain/x", "id2");
    CHECK(targets().contains("sc"));
    CHECK_FALSE(targets().contains("sa"));
}

TEST_CASE_FIXTURE(placement_fixture,
                  "placement: without a backend server in the home regions a request is rejected at once and not run")
{
    configure({region_name("nowhere")});
    auto const query = start("/gather/x", "id");
    auto const plain = start("/plain/x", "id2");
    CHECK(sent.empty());
    CHECK(response_to(query).status == 503);
    CHECK(response_to(plain).status == 503);
    CHECK(finished[0].reason == std::string("no_place"));
    CHECK(finished[0].no_home == 4);
}

TEST_CASE_FIXTURE(
    placement_fixture,
    "placement: a shard without a backend server in the home regions is reported as missing in the response")
{
    registry.remove(backend_id("g3a"), now);
    configure({region_name("r")});
    auto const key = start("/gather/x", "id");
    REQUIRE(sent.size() == 3);
    for (std::size_t i = 0; i < 3; ++i)
        respond(i, 200, "");
    CHECK(response_to(key).status == 200);
    CHECK(response_to(key).header("missing") == "1");
    CHECK(finished[0].no_home >= 1);
}

TEST_CASE_FIXTURE(placement_fixture,
                  "placement: an evacuated failure domain gets no new attempts until the evacuation stops")
{
    configure({});
    placement.evacuated().start(domain_name("d"));
    start("/gather/x", "id");
    CHECK(targets() == std::set<std::string>{"g0c", "g1c", "g2c", "g3c"});
    SUBCASE("attempts in flight there may finish")
    {
        CHECK(placement.evacuated().stop(domain_name("d"), now));
        sent.clear();
        auto const key = start("/plain/x", "id2");
        REQUIRE(targets() == std::set<std::string>{"sa"});
        placement.evacuated().start(domain_name("d"));
        respond(0, 200, "body");
        CHECK(response_to(key).status == 200);
    }
    SUBCASE("a second evacuation leaves no backend server, and requests are rejected at once")
    {
        placement.evacuated().start(domain_name("e"));
        auto const key = start("/plain/x", "id2");
        CHECK(response_to(key).status == 503);
        CHECK(finished.back().evacuated == 1);
        CHECK(placement.evacuated().stop(domain_name("e"), now));
        start("/plain/y", "id3");
        CHECK(sent.back().target->registration.id == backend_id("sc"));
    }
}

TEST_CASE_FIXTURE(placement_fixture,
                  "placement: a cold server gets no more than its limit in any second, and others get the rest")
{
    configure({}, 4); // 4 x 1.5 + 5 = 11 per second, of which a share of 0.7 is used: 7.
    registry.apply({backend_id("sa"), service_name("s"), {"127.0.0.1", 1}, domain_name("d"), 2, false, 3000ms}, now);
    std::deque<time_point> cold;
    for (int i = 0; i < 250; ++i) {
        auto const before = sent.size();
        start("/plain/x", "id" + std::to_string(i));
        REQUIRE(sent.size() == before + 1);
        if (sent.back().target->registration.id == backend_id("sa")) cold.push_back(now);
        respond(before, 200, "body");
        advance(10ms);
    }
    for (auto const begin : cold) {
        auto const in_second =
            std::count_if(cold.begin(), cold.end(), [&](time_point at) { return at >= begin && at < begin + 1s; });
        CHECK(in_second <= 7);
    }
    CHECK(cold.size() > 7);
}

TEST_CASE_FIXTURE(placement_fixture,
                  "placement: the servers of a domain whose evacuation has just stopped count as cold")
{
    configure({region_name("r")}, 4);
    placement.evacuated().start(domain_name("d"));
    advance(2000ms);
    placement.evacuated().stop(domain_name("d"), now);
    for (int i = 0; i < 20; ++i)
        start("/plain/x", "id" + std::to_string(i));
    CHECK(sent.size() == 7);
    CHECK(finished.back().cold > 0);
    advance(3100ms);
    start("/plain/x", "last");
    CHECK(sent.size() == 8);
}

TEST_CASE_FIXTURE(placement_fixture, "placement: the remaining warm-up in a response is applied to its backend server")
{
    configure({region_name("r")}, 0.1); // 5 per second, of which 3 are used.
    start("/plain/x", "id");
    http_response response;
    response.headers = {{"signature", "sig"}, {"warmup", "2000"}};
    respond(0, response);
    for (int i = 0; i < 9; ++i)
        start("/plain/x", "id" + std::to_string(i));
    CHECK(sent.size() == 4);
}

TEST_CASE("placement: the quotas of all VMs for a cold server add up to no more than its limit")
{
    for (int const vms : {1, 7, 12, 87, 470}) {
        for (double const bound : {5.0, 6.5, 17.0, 305.0}) {
            for (int server = 0; server < 20; ++server) {
                auto const all = total_quota(vms, "b" + std::to_string(server), bound);
                CHECK(all <= 0.7 * bound);
                CHECK(all >= std::floor(0.7 * bound));
            }
        }
    }
    SUBCASE("also when a third of the VMs is cut off and divides by an outdated number of VMs")
    {
        int const cut = 30;
        for (int server = 0; server < 20; ++server) {
            auto const id = "b" + std::to_string(server);
            std::set<std::string> all;
            std::set<std::string> left;
            for (int i = 0; i < 90; ++i) {
                all.insert("g/" + std::to_string(i));
                if (i >= cut) left.insert("g/" + std::to_string(i));
            }
            int sum = 0;
            for (auto const& key : all) {
                warmup_quotas shares;
                shares.set_participants(left.contains(key) ? left : all, key, time_point(0s));
                sum += shares.quota(id, 305, time_point(10s));
            }
            CHECK(sum <= 305);
        }
    }
    SUBCASE("a VM to which callers are not sent, or that has just joined, has no quota")
    {
        warmup_quotas shares;
        shares.set_participants({"a", "b"}, "c", time_point(0s));
        CHECK(shares.quota("s", 100, time_point(10s)) == 0);
        shares.set_participants({"a", "b", "c"}, "c", time_point(10s));
        CHECK(shares.quota("s", 100, time_point(10s)) == 0);
        CHECK(shares.quota("s", 100, time_point(12s)) > 20);
    }
}

TEST_CASE(
    "placement: callers of a host with home regions are sent to their own region or to those, for any number of VMs")
{
    std::mt19937_64 random(1);
    for (int const vms : {7, 87, 300}) {
        member_map members;
        for (int i = 0; i < vms; ++i) {
            auto const region = "r" + std::to_string(i % 3);
            members["g/" + std::to_string(1000 + i)] = member_of("d" + std::to_string(i % 6), region, i);
        }
        auto const regions_of_addresses = [&](member_map const& live, std::string const& from,
                                              region_set const& home_region_set) {
            std::set<std::string> found;
            auto const active = choose_active(live, 20);
            address_query const asked{"h", region_name(from), domain_name("none")};
            for (auto const& address : choose_addresses(live, active, asked, home_region_set, random))
                found.insert("r" + std::to_string(address.port % 3));
            return found;
        };
        CHECK(regions_of_addresses(members, "r0", {region_name("r1")}) == std::set<std::string>{"r0"});
        auto without_r0 = members;
        std::erase_if(without_r0, [](auto const& each) { return each.second.region == region_name("r0"); });
        CHECK(regions_of_addresses(without_r0, "r0", {region_name("r1")}) == std::set<std::string>{"r1"});
        CHECK(regions_of_addresses(without_r0, "r0", {}) == std::set<std::string>{"r1", "r2"});
        auto only_r2 = without_r0;
        std::erase_if(only_r2, [](auto const& each) { return each.second.region == region_name("r1"); });
        CHECK(regions_of_addresses(only_r2, "r0", {region_name("r1")}) == std::set<std::string>{"r2"});
    }
}

TEST_CASE("placement: the home regions of a host are those common to its routes, else those of any route")
{
    auto const route_of = [](std::string const& prefix, region_set home_region_set) {
        route made;
        made.host = "h";
        made.prefix = prefix;
        made.home_region_set = std::move(home_region_set);
        return made;
    };
    region_name const a("a");
    region_name const b("b");
    auto const homes_with = [&](std::vector<route> routes) {
        return serving_config(config_version(1), std::move(routes), {}, {}).home_region_set_of_host("h");
    };
    CHECK(homes_with({route_of("/x/", {})}).empty());
    CHECK(homes_with({route_of("/x/", {a, b}), route_of("/y/", {b}), route_of("/z/", {})}) == region_set{b});
    CHECK(homes_with({route_of("/x/", {a}), route_of("/y/", {b})}) == region_set{a, b});
}
