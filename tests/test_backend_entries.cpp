/** @file test_backend_entries.cpp Registrations of backend servers: restarts under the same id, outdated ones,
 * malformed ones.
 */
#include "platform.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace cornelspring;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

/** @return a registration of the backend server "b" as it is written to the platform's store. */
nlohmann::json stored()
{
    return {{"service", "s"}, {"address", "10.1.2.3:80"}, {"zone", "d"}, {"version", "v1"},
            {"slots", 2},     {"state", "ready"},         {"seq", 7},    {"warmup_left_ms", 0},
            {"born", 1000000}};
}

/** @return a registration of "b". */
backend_registration entry_of(std::int64_t started, std::int64_t sequence, bool draining = false)
{
    backend_registration entry;
    entry.id = backend_id("b");
    entry.service = service_name("s");
    entry.address = {"127.0.0.1", 1};
    entry.domain = domain_name("d");
    entry.draining = draining;
    entry.started_at = start_time(started);
    entry.sequence = sequence;
    return entry;
}

/** @return a registry with the registration of "b". */
backend_registry registry_with(backend_registration const& entry)
{
    backend_registry registry({domain_name("d"), region_name("r"), {}}, 2200ms);
    registry.apply(entry, start);
    return registry;
}

} // namespace

TEST_CASE("registrations: a restart under the same id makes a new backend server without observations")
{
    auto registry = registry_with(entry_of(1000, 50, true));
    auto const before = registry.find(backend_id("b"));
    before->load.on_sent();
    before->load.on_finished(attempt_status::lost, 900ms, start);
    REQUIRE(before->load.suspect(start));
    auto restarted = entry_of(2000, 1);
    restarted.warmup_left = 3000ms;
    CHECK(registry.apply(restarted, start + 10ms));
    auto const after = registry.find(backend_id("b"));
    CHECK(after != before);
    CHECK(before->removed);
    CHECK_FALSE(after->removed);
    CHECK_FALSE(after->draining_since);
    CHECK_FALSE(after->load.suspect(start + 10ms));
    CHECK(after->load.in_flight() == 0);
    CHECK(after->load.failure_rate() == 0);
    CHECK(after->placement.cold_until == start + 3010ms);
    CHECK(registry.group(service_name("s")).backends.size() == 1);
}

TEST_CASE("registrations: an earlier start never replaces a later one, also after its removal")
{
    auto registry = registry_with(entry_of(2000, 1));
    CHECK_FALSE(registry.apply(entry_of(1000, 99, true), start));
    CHECK_FALSE(registry.find(backend_id("b"))->draining_since);
    CHECK(registry.find(backend_id("b"))->registration.started_at == start_time(2000));
    registry.remove(backend_id("b"), start);
    CHECK_FALSE(registry.apply(entry_of(1000, 100), start));
    CHECK(registry.find(backend_id("b")) == nullptr);
    CHECK(registry.apply(entry_of(2000, 2), start));
    CHECK(registry.find(backend_id("b")) != nullptr);
}

TEST_CASE("registrations: within one start a lower sequence is outdated and a new start has a new sequence")
{
    auto registry = registry_with(entry_of(1000, 50, true));
    CHECK_FALSE(registry.apply(entry_of(1000, 49), start));
    CHECK(registry.find(backend_id("b"))->draining_since);
    CHECK(registry.apply(entry_of(3000, 1), start));
    CHECK_FALSE(registry.find(backend_id("b"))->draining_since);
}

TEST_CASE("registrations: an outdated copy does not bring back a removed backend server")
{
    auto registry = registry_with(entry_of(1000, 50, true));
    registry.remove(backend_id("b"), start);
    CHECK_FALSE(registry.apply(entry_of(1000, 48), start));
    CHECK_FALSE(registry.apply(entry_of(1000, 50, true), start));
    CHECK(registry.find(backend_id("b")) == nullptr);
    CHECK(registry.apply(entry_of(1000, 51), start)); // It runs, and its registration had only lapsed.
}

TEST_CASE("registrations: without a start time they are applied in the order they arrive")
{
    auto registry = registry_with(entry_of(0, 50));
    CHECK(registry.apply(entry_of(0, 3, true), start));
    CHECK(registry.find(backend_id("b"))->draining_since);
}

TEST_CASE("registrations: all fields in the platform's store are read")
{
    auto const entry = platform::decode_backend("i-1", stored().dump());
    CHECK(entry.id == backend_id("i-1"));
    CHECK(entry.service == service_name("s"));
    CHECK(entry.slots == 2);
    CHECK(entry.sequence == 7);
    CHECK(entry.started_at == start_time(1000000));
    CHECK_FALSE(entry.draining);
    auto without_start = stored();
    without_start.erase("born");
    CHECK(platform::decode_backend("i-1", without_start.dump()).started_at == start_time(0));
}

TEST_CASE("registrations: one with missing or malformed fields is rejected")
{
    for (char const* field : {"service", "address", "zone", "slots", "state", "seq", "warmup_left_ms"}) {
        auto missing = stored();
        missing.erase(field);
        CAPTURE(field);
        CHECK_THROWS(platform::decode_backend("i-1", missing.dump()));
    }
    std::vector<std::pair<char const*, nlohmann::json>> const wrong{
        {"service", 5}, {"service", ""},         {"address", "nowhere"}, {"address", nullptr}, {"zone", {{"a", "b"}}},
        {"slots", "2"}, {"slots", true},         {"slots", 2.5},         {"state", "lost"},    {"state", 1},
        {"seq", "7"},   {"warmup_left_ms", "0"}, {"born", 1000.5},       {"born", "1000000"}};
    for (auto const& [field, value] : wrong) {
        auto other = stored();
        other[field] = value;
        CAPTURE(field);
        CHECK_THROWS(platform::decode_backend("i-1", other.dump()));
    }
    for (char const* bytes : {"", "\xff\xfe\x00", "[]", "null", "7", "{\"service\":"}) {
        CAPTURE(bytes);
        CHECK_THROWS(platform::decode_backend("i-1", bytes));
    }
}
