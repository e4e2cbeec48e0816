/** @file test_routing.cpp Routes, registrations of backend servers, retry budget, moving averages, merging. */
#include <cornelspring/dispatch.hpp>

#include <doctest/doctest.h>

#include <cmath>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

/** @return a route of one service. */
route plain_route(std::string name, std::string host, std::string prefix, std::string service)
{
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.prefix = std::move(prefix);
    made.split = {{service_name(std::move(service)), 1}};
    return made;
}

} // namespace

TEST_CASE("routing: the longest prefix of the host wins")
{
    serving_config const config(
        config_version(1),
        {plain_route("root", "a.example", "/", "s1"), plain_route("one", "a.example", "/x/", "s2"),
         plain_route("two", "a.example", "/x/y/", "s3"), plain_route("other", "b.example", "/x/", "s4")},
        {}, {});
    struct row {
        char const* host;
        char const* path;
        char const* expected;
    };
    for (auto const& each :
         {row{"a.example", "/x/y/z", "two"}, row{"a.example", "/x/y", "one"}, row{"a.example", "/q", "root"},
          row{"a.example", "/x/q?p=/x/y/", "one"}, row{"a.example:80", "/x/", "one"}, row{"b.example", "/x/1", "other"},
          row{"b.example", "/q", nullptr}, row{"c.example", "/", nullptr}}) {
        CAPTURE(each.host);
        CAPTURE(each.path);
        auto const* found = config.match(each.host, each.path);
        CHECK((found == nullptr ? std::string("-") : found->name) ==
              (each.expected == nullptr ? std::string("-") : each.expected));
    }
}

TEST_CASE("routing: an older configuration does not replace a newer one")
{
    config_holder holder;
    auto const make = [](int version) {
        return std::make_shared<serving_config const>(config_version(version), std::vector<route>{},
                                                      std::map<service_name, service_limits>{}, caller_limits{});
    };
    CHECK(holder.set_if_newer(make(5)));
    CHECK_FALSE(holder.set_if_newer(make(4)));
    CHECK_FALSE(holder.set_if_newer(make(5)));
    CHECK(holder.current()->version() == config_version(5));
    CHECK(holder.set_if_newer(make(9)));
}

TEST_CASE("routing: registrations that lapsed in a store outage get time to return")
{
    backend_registry registry({domain_name("d"), region_name("r"), {}}, 2200ms);
    time_point const start{100s};
    registry.apply({backend_id("b1"), service_name("s"), {"127.0.0.1", 1}, domain_name("d"), 1, false, 0ms}, start);
    registry.apply({backend_id("b2"), service_name("s"), {"127.0.0.1", 2}, domain_name("d"), 1, false, 0ms}, start);
    SUBCASE("a removal without an outage is applied at once")
    {
        registry.remove(backend_id("b1"), start + 1s);
        CHECK(registry.find(backend_id("b1")) == nullptr);
    }
    SUBCASE("after an outage it is applied when the grace period is over")
    {
        registry.on_store_recovered(start + 5s);
        registry.remove(backend_id("b1"), start + 5s);
        registry.remove(backend_id("b2"), start + 5s);
        CHECK(registry.group(service_name("s")).backends.size() == 2);
        registry.apply({backend_id("b2"), service_name("s"), {"127.0.0.1", 2}, domain_name("d"), 1, false, 0ms},
                       start + 6s);
        CHECK(registry.remove_lapsed(start + 7199ms).empty());
        CHECK(registry.remove_lapsed(start + 7200ms) == std::vector<backend_id>{backend_id("b1")});
        CHECK(registry.group(service_name("s")).backends.size() == 1);
    }
}

// Guards against renewing the time of a server that has left whenever the store is regained, as after each cut watch.
TEST_CASE("routing: a server that has left is removed in time however often the store is lost and regained")
{
    constexpr auto grace = 2200ms;
    for (auto const interval : {30ms, 300ms, 1000ms, 2100ms, 5000ms}) {
        CAPTURE(interval.count());
        backend_registry registry({domain_name("d"), region_name("r"), {}}, grace);
        time_point const start{100s};
        auto const left_at = start + 7s;
        registry.apply({backend_id("b"), service_name("s"), {"127.0.0.1", 1}, domain_name("d"), 1, false, 0ms}, start);
        auto last_in_use = start;
        for (auto now = start; now < start + 30s; now += 10ms) {
            if ((now - start) % interval == 0ms) registry.on_store_recovered(now);
            if (now >= start + grace && (now - start - grace) % interval == 0ms) registry.remove_lapsed(now);
            if (now == left_at) registry.remove(backend_id("b"), now);
            if (registry.find(backend_id("b"))) last_in_use = now;
        }
        CHECK(last_in_use <= left_at + grace);
    }
}

TEST_CASE("routing: the retry budget limits extra attempts in any window over all VMs")
{
    retry_budget budget;
    retry_budget::limits const bound{0.2, 54, 10s};
    time_point now{1000s};
    for (int i = 0; i < 200; ++i)
        budget.on_request(now);
    int taken = 0;
    while (budget.try_consume(bound, 7, now))
        ++taken;
    CHECK(taken <= static_cast<int>(0.2 * 200 + 54.0 / 7));
    CHECK(taken >= 30);
    CHECK_FALSE(budget.try_consume(bound, 7, now + 9s));
    CHECK(budget.remaining(bound, 7, now + 11s) > 5.0);
}

TEST_CASE("routing: records are merged in descending byte order, without incomplete ones")
{
    std::string const low(16, '\x10');
    std::string const high(16, '\xf0');
    std::string const middle(16, '\x7f');
    auto const merged = merge_records({low + high + "rest", middle + high}, 3);
    CHECK(merged == high + high + middle);
    CHECK(merge_records({}, 3).empty());
}

TEST_CASE("routing: only a route over the same shards takes away a route's highest priority")
{
    auto const gathering = [](char const* name, int priority, std::vector<std::string> const& shards) {
        auto via = plain_route(name, "h", std::string("/") + name + "/", "s");
        via.priority = priority;
        via.gather.emplace();
        for (auto const& shard : shards)
            via.gather->shards.emplace_back(shard);
        return via;
    };
    serving_config const config(config_version(1),
                                {gathering("first", 1, {"a", "b"}), gathering("second", 2, {"a", "b"}),
                                 gathering("alone", 2, {"a", "c"}), plain_route("plain", "h", "/plain/", "s")},
                                {}, {});
    std::vector<bool> highest;
    for (auto const& via : config.routes())
        highest.push_back(via.highest_priority);
    CHECK(highest == std::vector<bool>{true, false, true, true});
}

TEST_CASE("routing: sample weights grow with the time since the last sample, and the decay factor halves per half-life")
{
    using std::chrono::milliseconds;
    constexpr sample_weight weight{milliseconds(1000), 0.1, 0.5};
    CHECK(weight.after(milliseconds(0)) == doctest::Approx(0.1));
    CHECK(weight.after(milliseconds(300)) == doctest::Approx(1 - std::exp(-0.3)));
    CHECK(weight.after(milliseconds(5000)) == doctest::Approx(0.5));
    CHECK(decay_factor(milliseconds(0), milliseconds(200)) == doctest::Approx(1.0));
    CHECK(decay_factor(milliseconds(400), milliseconds(200)) == doctest::Approx(0.25));
}
