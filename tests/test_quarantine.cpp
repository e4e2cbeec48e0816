/** @file test_quarantine.cpp Quarantine of requests that crash backend servers, and the digest of a request. */
#include <cornelspring/quarantine.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace cornelspring;

namespace {

/** @return a request for @p path with @p body. */
http_request make_request(std::string path, std::string body, std::string id)
{
    http_request request;
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = {{"host", "h.example"}, {"request-id", std::move(id)}};
    return request;
}

} // namespace

TEST_CASE("digest: equal for a repetition, different for another path, body or caller")
{
    auto const request = make_request("/a/b", "body", "id1");
    caller_identity const caller("customer one");
    auto const first = digest_of(request, caller);
    CHECK(first == digest_of(make_request("/a/b", "body", "id2"), caller));
    CHECK(first != digest_of(make_request("/a/c", "body", "id1"), caller));
    CHECK(first != digest_of(make_request("/a/b", "other", "id1"), caller));
    CHECK(first != digest_of(make_request("/a/bb", "ody", "id1"),
                             caller)); // The boundaries of the parts are included in the digest.
    CHECK(first != digest_of(request, caller_identity("customer two")));
    CHECK(first != digest_of(request, caller_identity()));
    CHECK(first.value().size() == 32);
}

namespace {

time_point const begin{std::chrono::seconds(1000)};
request_digest const crashing("00000000000000000000000000000001");
request_digest const other("00000000000000000000000000000002");

} // namespace

TEST_CASE("quarantine: a request is suspect from the first crash on, and a response clears it")
{
    request_quarantine quarantine;
    CHECK(quarantine.empty());
    quarantine.on_crashes(crashing, 1, begin);
    CHECK(quarantine.status(crashing, begin) == quarantine_status::suspect);
    CHECK(quarantine.status(other, begin) == quarantine_status::clear);
    CHECK_FALSE(quarantine.reaches_crash_threshold(crashing, 1));
    CHECK(quarantine.reaches_crash_threshold(crashing, 2));
    quarantine.on_response(crashing, begin);
    CHECK(quarantine.status(crashing, begin) == quarantine_status::clear);
}

TEST_CASE("quarantine: after it the request is tried again, and each further quarantine is longer, up to a day")
{
    quarantine_options const options;
    request_quarantine quarantine(options);
    auto const& durations = options.durations;
    REQUIRE(durations.back() == std::chrono::hours(24));
    quarantine.on_crashes(crashing, 3, begin);
    auto now = begin;
    for (auto const duration : durations) {
        quarantine.start_quarantine(crashing, now);
        CHECK(quarantine.quarantine_left(crashing, now) == duration);
        CHECK(quarantine.status(crashing, now + duration - milliseconds(1)) == quarantine_status::quarantined);
        CHECK(quarantine.status(crashing, now + duration) == quarantine_status::suspect);
        now += duration;
        quarantine.on_crashes(crashing, 1, now);
    }
    for (int i = 0; i < 20; ++i)
        quarantine.start_quarantine(crashing, now);
    CHECK(quarantine.quarantine_left(crashing, now) == durations.back());
    CHECK(quarantine.own_records(now).size() == 1);
    auto const end = now + durations.back();
    CHECK(quarantine.status(crashing, end + options.memory - milliseconds(1)) == quarantine_status::suspect);
    CHECK(quarantine.status(crashing, end + options.memory) == quarantine_status::clear);
}

TEST_CASE("quarantine: a request that crashes backend servers all day reaches them at most three more times")
{
    constexpr std::size_t vms = 12;
    constexpr milliseconds publish_delay{300};
    constexpr milliseconds caller_retry_delay{50};
    for (auto const gap : {milliseconds(700), milliseconds(2300), milliseconds(660000)}) {
        CAPTURE(gap.count());
        std::vector<request_quarantine> fleet(vms);
        time_point claimed_until = begin;
        std::multimap<time_point, std::size_t> arrivals;
        std::multimap<time_point, std::size_t> publications;
        std::mt19937 random(1);
        for (auto at = begin; at < begin + std::chrono::hours(20); at += gap) {
            auto const first = random() % vms;
            arrivals.emplace(at, first);
            arrivals.emplace(at + caller_retry_delay, (first + 1) % vms);
        }
        int crashes = 0;
        int late = 0;
        std::optional<time_point> third_crash;
        for (auto const& [now, at_vm] : arrivals) {
            while (!publications.empty() && publications.begin()->first <= now) {
                auto const [when, source] = *publications.begin();
                publications.erase(publications.begin());
                for (std::size_t i = 0; i < vms; ++i) {
                    if (i != source)
                        fleet[i].apply_peer_records(std::to_string(source), fleet[source].own_records(when), when);
                }
            }
            auto& quarantine = fleet[at_vm];
            auto const status = quarantine.status(crashing, now);
            if (status == quarantine_status::quarantined) continue;
            if (status == quarantine_status::suspect && quarantine.needs_claim(crashing)) {
                if (now < claimed_until) continue;
                claimed_until = now + std::chrono::seconds(10);
            }
            quarantine.on_crashes(crashing, 1, now);
            if (status == quarantine_status::suspect && quarantine.reaches_crash_threshold(crashing, 0))
                quarantine.start_quarantine(crashing, now);
            publications.emplace(now + publish_delay, at_vm);
            if (third_crash && now > *third_crash + std::chrono::seconds(5)) ++late;
            if (++crashes == quarantine_options{}.crash_threshold) third_crash = now;
        }
        CHECK(crashes >= 3);
        CHECK(late <= 3);
    }
}

TEST_CASE("quarantine: the crashes observed by all gateways are added up, and a quarantine applies at all of them")
{
    request_quarantine this_vm;
    request_quarantine peer;
    this_vm.on_crashes(crashing, 1, begin);
    peer.on_crashes(crashing, 1, begin);
    this_vm.apply_peer_records("there", peer.own_records(begin), begin);
    CHECK(this_vm.reaches_crash_threshold(crashing, 1));
    this_vm.on_crashes(crashing, 1, begin);
    this_vm.start_quarantine(crashing, begin);
    peer.apply_peer_records("here", decode_crash_records(encode_crash_records(this_vm.own_records(begin))), begin);
    CHECK(peer.status(crashing, begin) == quarantine_status::quarantined);
    CHECK(peer.quarantine_left(crashing, begin) == quarantine_options{}.durations.front());
    // Each gateway publishes only its own observations, so that no crash is counted twice.
    CHECK(peer.own_records(begin).size() == 1);
    CHECK(peer.own_records(begin)[0].crashes == 1);
    CHECK(peer.own_records(begin)[0].quarantines == 0);
    // When a gateway's record is removed, its crashes no longer count, but the quarantine stays.
    peer.apply_peer_records("here", {}, begin);
    CHECK(peer.status(crashing, begin) == quarantine_status::quarantined);
    CHECK_FALSE(peer.reaches_crash_threshold(crashing, 1));
}

TEST_CASE("quarantine: a gateway that restarts restores its own records")
{
    request_quarantine before;
    before.on_crashes(crashing, 3, begin);
    before.start_quarantine(crashing, begin);
    request_quarantine after;
    after.restore_own_records(before.own_records(begin), begin);
    CHECK(after.status(crashing, begin) == quarantine_status::quarantined);
    CHECK(after.own_records(begin) == before.own_records(begin));
}

TEST_CASE("quarantine: the number of records is bounded, and a request on trial is not evicted")
{
    quarantine_options options;
    options.max_requests = 8;
    request_quarantine quarantine(options);
    quarantine.on_crashes(crashing, 1, begin);
    quarantine.start_trial(crashing);
    for (int i = 0; i < 100; ++i)
        quarantine.on_crashes(request_digest("d" + std::to_string(i)), 1, begin + milliseconds(i + 1));
    CHECK(quarantine.own_records(begin).size() <= options.max_requests);
    CHECK(quarantine.on_trial(crashing));
}

TEST_CASE("quarantine: records of another format are rejected")
{
    CHECK_THROWS_AS(decode_crash_records("{}"), error);
    CHECK_THROWS_AS(decode_crash_records(R"({"requests":[{"digest":1}]})"), error);
}

TEST_CASE("quarantine: a response at one gateway ends the quarantine at all of them")
{
    request_quarantine this_vm;
    request_quarantine peer;
    this_vm.on_crashes(crashing, 3, begin);
    this_vm.start_quarantine(crashing, begin);
    peer.apply_peer_records("here", this_vm.own_records(begin), begin);
    peer.on_response(crashing, begin);
    int changes = 0;
    this_vm.on_change(
        [&changes](request_quarantine::change const& change) { changes += change.own_record_changed ? 1 : 0; });
    this_vm.apply_peer_records("there", decode_crash_records(encode_crash_records(peer.own_records(begin))), begin);
    CHECK(this_vm.status(crashing, begin) == quarantine_status::clear);
    CHECK(this_vm.own_records(begin).empty());
    CHECK(changes == 1);
    // New crashes count again.
    this_vm.on_crashes(crashing, 3, begin);
    this_vm.start_quarantine(crashing, begin);
    peer.apply_peer_records("here", this_vm.own_records(begin), begin);
    CHECK(peer.status(crashing, begin) == quarantine_status::quarantined);
    CHECK(peer.own_records(begin).empty());
}

TEST_CASE("quarantine: an answer that a gateway published before does not clear crashes observed since")
{
    request_quarantine this_vm;
    request_quarantine peer;
    peer.on_crashes(crashing, 1, begin);
    peer.on_response(crashing, begin);
    this_vm.apply_peer_records("there", peer.own_records(begin), begin);
    this_vm.on_crashes(crashing, 1, begin);
    // The peer gateway publishes all its records again, because of another request.
    peer.on_crashes(other, 1, begin);
    this_vm.apply_peer_records("there", peer.own_records(begin), begin);
    CHECK(this_vm.status(crashing, begin) == quarantine_status::suspect);
    // An answer to the crashing request itself still clears it.
    peer.on_crashes(crashing, 1, begin);
    this_vm.apply_peer_records("there", peer.own_records(begin), begin);
    peer.on_response(crashing, begin);
    this_vm.apply_peer_records("there", peer.own_records(begin), begin);
    CHECK(this_vm.status(crashing, begin) == quarantine_status::clear);
}
