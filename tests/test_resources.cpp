/** @file test_resources.cpp The resource model and the monotonic configuration view. */
#include <cornelspring/state.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;

namespace {

char const* const example = R"(
[[service]]
name = "catalogue-01"
customer = "Leeuwin"
shards = 2
index_version = 3

[[backend]]
name = "cat01-a"
address = "127.0.0.1:9000"
service = "catalogue-01"
failure_domain = "Perth"
shards = [0, 1]
index_versions = [3]

[[route]]
name = "leeuwin-catalogue"
customer = "Leeuwin"
service = "catalogue-01"
)";

/** @return a watch event for a write of @p value to @p key at revision @p rev. */
watch_event put_event(std::string const& key, resource const& value, std::int64_t rev)
{
    key_value kv;
    kv.key = key;
    kv.value = resource_to_json(value).dump();
    kv.mod_revision = rev;
    return {false, kv};
}

} // namespace

TEST_CASE("a TOML resource file is parsed into typed resources")
{
    auto const resources = parse_resource_file(example, "example.toml");
    REQUIRE(resources.size() == 3);
    auto const& service = std::get<service_spec>(resources[0].spec);
    CHECK(service.shards == 2);
    CHECK(service.index_version == 3);
    auto const& backend = std::get<backend_spec>(resources[1].spec);
    CHECK(backend.failure_domain == "Perth");
    CHECK(resource_from_json(resource_to_json(resources[1])).name == "cat01-a");
}

TEST_CASE("invalid resources are rejected")
{
    char const* const cases[] = {
        R"({"kind":"service","name":"a","spec":{}})",                          // shards missing
        R"({"kind":"service","name":"a","spec":{"shards":0}})",                // shards out of range
        R"({"kind":"service","name":"a b","spec":{"shards":1}})",              // bad name
        R"({"kind":"dragon","name":"a","spec":{}})",                           // unknown kind
        R"({"kind":"service","name":"a","spec":{"shards":1,"colour":"red"}})", // unknown field
        R"({"kind":"backend","name":"a","spec":{"address":"nowhere","service":"s","shards":[0]}})", // bad address
        R"({"kind":"route","name":"a","spec":{"customer":"x"}})",                                   // service missing
    };
    for (auto const* text : cases) {
        CAPTURE(text);
        CHECK_THROWS_AS(resource_from_json(nlohmann::json::parse(text)), error);
    }
}

TEST_CASE("the view never goes back to an older revision")
{
    auto const resources = parse_resource_file(example, "example.toml");
    config_view view;
    auto service_v5 = resources[0];
    std::get<service_spec>(service_v5.spec).index_version = 5;
    CHECK(view.apply({put_event(resource_key(resource_kind::service, "catalogue-01"), service_v5, 10)}, 10));
    CHECK(view.current()->services.at("catalogue-01").index_version == 5);
    // A late event of an older revision is ignored.
    CHECK_FALSE(view.apply({put_event(resource_key(resource_kind::service, "catalogue-01"), resources[0], 7)}, 7));
    CHECK(view.current()->services.at("catalogue-01").index_version == 5);
    // So is a full read at a revision before the last applied one, for example from a store node that lags behind
    // after a failover.
    CHECK_FALSE(view.reset({}, 8, view.current()->cluster));
    CHECK(view.current()->services.count("catalogue-01") == 1);
    CHECK(view.current()->revision == 10);
}

TEST_CASE("the view follows a store that was restored from an older copy and continues from its lower revision")
{
    auto const resources = parse_resource_file(example, "example.toml");
    auto const key = resource_key(resource_kind::service, "catalogue-01");
    config_view view;
    view.reset({}, 10, cluster_id("1"));
    CHECK(view.apply({put_event(key, resources[0], 12)}, 12));
    CHECK(view.reset({}, 8, cluster_id("2")));
    CHECK(view.current()->services.empty());
    CHECK(view.apply({put_event(key, resources[0], 9)}, 9));
    CHECK(view.current()->services.count("catalogue-01") == 1);
    CHECK_FALSE(view.reset({}, 8, cluster_id("2")));
}

TEST_CASE("replicas are the backend servers that hold the shard at the version and are not draining")
{
    auto resources = parse_resource_file(example, "example.toml");
    config_snapshot snapshot;
    snapshot.backends["cat01-a"] = std::get<backend_spec>(resources[1].spec);
    auto drained = std::get<backend_spec>(resources[1].spec);
    drained.draining = true;
    snapshot.backends["cat01-b"] = drained;
    snapshot.build_routing();
    CHECK(snapshot.replicas("catalogue-01", 1, 3).size() == 1);
    CHECK(snapshot.replicas("catalogue-01", 1, 4).empty());
    CHECK(snapshot.replicas("catalogue-01", 2, 3).empty());
}

TEST_CASE("the shipped example resources of both deployments are valid")
{
    for (char const* folder : {"rechtshilfe", "leeuwin"}) {
        CAPTURE(folder);
        std::string const path = std::string(CORNEL_SOURCE_DIR) + "/examples/" + folder + "/resources.toml";
        auto const resources = parse_resource_file(read_file(path), path);
        std::size_t backends = 0;
        for (auto const& item : resources)
            backends += item.kind == resource_kind::backend ? 1 : 0;
        CHECK(backends >= 100);
    }
}
