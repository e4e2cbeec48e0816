/** @file feed_fleet.cpp Simulation of gateways that read the store's state, in virtual time. */
#include "feed_fleet.hpp"

#include <algorithm>

namespace cornelspring::testing {
namespace {

/** Time that the store takes to respond to a read. */
constexpr milliseconds store_response_time{4};
/** Delay in one direction, by distance: in a failure domain, between those of a region, between regions. */
constexpr std::chrono::microseconds one_way_delay[] = {std::chrono::microseconds(100), std::chrono::microseconds(1400),
                                                       std::chrono::microseconds(12000)};
/** Longest time that a process waits to be scheduled on its share of a core. */
constexpr int max_scheduling_delay_ms = 60;
/** Processor time that an item takes at its receiver, as a multiple of that at its sender. */
constexpr int receiver_factor = 6;

} // namespace

/** One gateway. */
struct feed_fleet::vm_state {
    std::string key;                                                              ///< Store key.
    domain_name domain;                                                           ///< Failure domain.
    region_name region;                                                           ///< Region.
    state_mirror mirror;                                                          ///< Local copy of the store.
    std::unique_ptr<state_publisher> publisher;                                   ///< Responds to its followers.
    std::map<std::uint64_t, std::function<void(feed_response)>> pending_requests; ///< Requests of others, by key.
    std::unique_ptr<state_feed> feed;                                             ///< Its feed.
    fault_mode fault = fault_mode::none;                                          ///< Fault towards all others.
    fault_mode store_fault = fault_mode::none;                                    ///< Fault towards the store only.
    std::uint64_t call = 0;        ///< Number of the current read or watch.
    time_point busy_until;         ///< When its queued work is done.
    std::int64_t pages_served = 0; ///< Pages of full reads sent.
    uplink_backlog link;           ///< Bytes waiting for its link.
};

feed_fleet::feed_fleet(int vms, int domains, std::uint64_t seed) : m_random(seed)
{
    m_store.replace({}, m_position);
    for (int i = 0; i < vms; ++i) {
        m_vms.push_back(std::make_unique<vm_state>());
        auto& vm = *m_vms.back();
        vm.key = "g/" + std::to_string(1000 + i);
        vm.domain = domain_name("d" + std::to_string(i % domains));
        vm.region = region_name("r" + std::to_string(i % domains / 2));
        m_members[vm.key] = {{}, {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)}, vm.domain, vm.region, 1, false};
    }
    for (int i = 0; i < vms; ++i)
        start(i);
}

void feed_fleet::start(int i)
{
    auto& vm = *m_vms[static_cast<std::size_t>(i)];
    state_publisher::hooks hooks;
    hooks.encode = encode_peer_batch;
    hooks.respond = [&vm](std::vector<request_key> const& keys, follower_response const& response) {
        for (auto const key : keys) {
            auto const found = vm.pending_requests.find(key.value());
            if (found == vm.pending_requests.end()) continue;
            auto const send_response = std::move(found->second);
            vm.pending_requests.erase(found);
            send_response({response.status, "", response.batch});
        }
    };
    hooks.run_at = [this](time_point when, std::function<void()> task) { m_events.schedule(when, std::move(task)); };
    hooks.now = [this] { return m_events.now(); };
    vm.publisher = std::make_unique<state_publisher>(vm.mirror, std::move(hooks));
    feed_io io;
    io.fetch = [this, i, &vm](feed_call const& call, feed_io::response_handler const& done) {
        auto const number = ++vm.call;
        deliver(i, call, [&vm, number, done](feed_response response) {
            if (number == vm.call) done(std::move(response));
        });
    };
    io.check_freshness = [this, i](feed_call const& call, feed_io::response_handler const& done) {
        deliver(i, call, done);
    };
    io.now = [this] { return m_events.now(); };
    io.run_at = [this](time_point when, std::function<void()> task) {
        m_events.schedule(std::max(when, m_events.now()), std::move(task));
    };
    feed_events events;
    events.on_snapshot = [&vm](auto const& items, store_position as_of) { vm.mirror.replace(items, as_of); };
    events.on_members = [](auto const&) {};
    events.on_changes = [&vm](auto const& items, store_position as_of) { vm.mirror.apply(items, as_of); };
    events.on_source_failed = [](feed_source const&, char const*) {};
    events.on_copy_confirmed = [&vm](feed_source const& source, time_point at, auto const& path) {
        vm.publisher->on_confirmed(source, at, path);
    };
    events.on_current_response = [](feed_source const&, milliseconds) {};
    events.on_search_changed = [&vm](bool searching) { vm.publisher->set_searching(searching); };
    events.members = [this]() -> member_map const& { return m_members; };
    feed_selector_settings const place{{"10.9.9.9", 1}, vm.key, vm.domain, vm.region, {}};
    vm.feed = std::make_unique<state_feed>(feed_selector(place, m_random()), std::move(io), std::move(events));
    vm.feed->start();
}

feed_fleet::~feed_fleet() = default;

void feed_fleet::write(std::string const& key, std::string const& value)
{
    ++m_position.revision;
    m_store.apply({{key, value, m_position, false}}, m_position);
    respond_to_store_watches();
}

void feed_fleet::save_copy() { m_saved_copy = m_store; }

void feed_fleet::restore_copy()
{
    std::vector<store_item> items;
    m_position = {store_era(++m_era), m_saved_copy.as_of().revision};
    for (auto const& [key, item] : m_saved_copy.items())
        items.push_back({key, item.value, {m_position.era, item.position.revision}, false});
    m_store = state_mirror();
    m_store.replace(items, m_position);
    m_saved_copy = m_store;
    m_watches.clear();
}

void feed_fleet::restart(int vm)
{
    auto& place = m_vms[static_cast<std::size_t>(vm)];
    auto next = std::make_unique<vm_state>();
    next->key = place->key;
    next->domain = place->domain;
    next->region = place->region;
    next->link = uplink_backlog(m_bytes_per_ms * 1000);
    place->fault = fault_mode::unreachable;
    m_stopped_vms.push_back(std::exchange(place, std::move(next)));
    start(vm);
}

void feed_fleet::restart_all()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        restart(static_cast<int>(i));
}

std::int64_t feed_fleet::most_pages_served() const
{
    std::int64_t most = 0;
    for (auto const& vm : m_vms)
        most = std::max(most, vm->pages_served);
    return most;
}

bool feed_fleet::all_match_store() const
{
    auto const same = [this](int vm) {
        auto const& known = m_vms[static_cast<std::size_t>(vm)]->mirror.items();
        auto const& held = m_store.items();
        return std::equal(known.begin(), known.end(), held.begin(), held.end(),
                          [](auto const& left, auto const& right) {
                              return left.first == right.first && left.second.value == right.second.value;
                          });
    };
    auto const all = live();
    return std::all_of(all.begin(), all.end(), same);
}

std::vector<feed_fleet::vm_state*> feed_fleet::random_vms(double share)
{
    std::vector<vm_state*> chosen;
    for (auto const& vm : m_vms)
        chosen.push_back(vm.get());
    std::shuffle(chosen.begin(), chosen.end(), m_random);
    chosen.resize(static_cast<std::size_t>(share * static_cast<double>(chosen.size())));
    return chosen;
}

void feed_fleet::inject_fault(double share, fault_mode how)
{
    for (auto* vm : random_vms(share))
        vm->fault = how;
}

void feed_fleet::disconnect_from_store(double share, fault_mode how)
{
    for (auto* vm : random_vms(share))
        vm->store_fault = how;
}

void feed_fleet::limit_resources(double bytes_per_ms, std::chrono::microseconds per_item)
{
    m_bytes_per_ms = bytes_per_ms;
    m_per_item = per_item;
    for (auto& vm : m_vms) {
        vm->link = uplink_backlog(bytes_per_ms * 1000);
        vm->publisher->set_uplink(bytes_per_ms * 1000);
    }
}

clock::duration feed_fleet::use_link(vm_state& vm, std::size_t bytes)
{
    vm.link.record_sent(bytes, m_events.now());
    auto const wait = vm.link.wait(m_events.now());
    m_longest_link_wait = std::max(m_longest_link_wait, wait);
    return wait;
}

clock::duration feed_fleet::use_processor(vm_state& vm, clock::duration time) const
{
    vm.busy_until = std::max(vm.busy_until, m_events.now()) + time;
    return vm.busy_until - m_events.now();
}

void feed_fleet::clear_faults()
{
    for (auto& vm : m_vms)
        vm->fault = vm->store_fault = fault_mode::none;
}

std::string feed_fleet::value_at(int vm, std::string const& key) const
{
    auto const& items = m_vms[static_cast<std::size_t>(vm)]->mirror.items();
    auto const found = items.find(key);
    return found == items.end() ? std::string() : found->second.value;
}

std::vector<int> feed_fleet::live() const
{
    std::vector<int> found;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (m_vms[i]->fault == fault_mode::none) found.push_back(static_cast<int>(i));
    }
    return found;
}

bool feed_fleet::any_store_reader_live() const
{
    // The leaders of the first two failure domains.
    return m_vms[0]->fault == fault_mode::none || m_vms[1]->fault == fault_mode::none;
}

bool feed_fleet::all_have(std::string const& key, std::string const& value) const
{
    auto const all = live();
    return std::all_of(all.begin(), all.end(), [&](int vm) { return value_at(vm, key) == value; });
}

milliseconds feed_fleet::time_until(std::function<bool()> const& holds, milliseconds limit)
{
    constexpr milliseconds step{10};
    milliseconds taken{0};
    while (taken < limit && !holds()) {
        run(step);
        taken += step;
    }
    return taken;
}

milliseconds feed_fleet::time_until_all_have(std::string const& key, std::string const& value, milliseconds limit)
{
    return time_until([&] { return all_have(key, value); }, limit);
}

milliseconds feed_fleet::time_until_all_match(milliseconds limit)
{
    return time_until([this] { return all_match_store(); }, limit);
}

milliseconds feed_fleet::max_copy_age() const
{
    milliseconds oldest{0};
    for (int const i : live())
        oldest = std::max(oldest, m_vms[static_cast<std::size_t>(i)]->publisher->age());
    return oldest;
}

int feed_fleet::index_of(std::string const& key) const { return std::stoi(key.substr(2)) - 1000; }

void feed_fleet::deliver(int from, feed_call const& call, feed_io::response_handler const& done)
{
    auto const open = std::make_shared<bool>(true);
    auto const finish = [open, done](feed_response response) {
        if (!std::exchange(*open, false)) return;
        done(std::move(response));
    };
    after(call.timeout, [finish] { finish({0, "no answer in time", {}}); });
    auto const& vm = *m_vms[static_cast<std::size_t>(from)];
    bool const outgoing = vm.fault == fault_mode::none || vm.fault == fault_mode::refusing;
    if (!outgoing) return; // Unreachable or stale: its calls are lost.
    auto const scheduling_delay = [this] { return milliseconds(m_random() % max_scheduling_delay_ms); };
    int distance = 2;
    if (!call.source.is_store()) {
        auto const& peer = *m_vms[static_cast<std::size_t>(index_of(call.source.peer_key))];
        distance = peer.domain == vm.domain ? 0 : peer.region == vm.region ? 1 : 2;
    }
    // Opening the connection and sending the request: two round trips without the way back of the response.
    auto const request_delay = 3 * one_way_delay[distance] + scheduling_delay();
    auto const response_delay = one_way_delay[distance];
    auto const send_response = [this, from, finish, response_delay, scheduling_delay,
                                source = call.source](feed_response result) {
        auto const bytes = encode_peer_batch(result.batch).size();
        auto const cost = m_per_item * static_cast<int>(result.batch.items.size());
        clock::duration sending{0};
        if (!source.is_store()) {
            auto& sender = *m_vms[static_cast<std::size_t>(index_of(source.peer_key))];
            sending = use_processor(sender, cost / receiver_factor) + use_link(sender, bytes);
        }
        auto const transfer_time = milliseconds(static_cast<std::int64_t>(static_cast<double>(bytes) / m_bytes_per_ms));
        after(sending + response_delay + transfer_time,
              [this, from, finish, cost, scheduling_delay, result = std::move(result)] {
                  auto& vm = *m_vms[static_cast<std::size_t>(from)];
                  if (vm.fault == fault_mode::unreachable) return;
                  after(use_processor(vm, cost) + scheduling_delay(), [finish, result] { finish(result); });
              });
    };
    after(request_delay, [this, from, call, send_response] {
        if (call.source.is_store())
            call_store(from, call, send_response);
        else
            call_peer(from, call, send_response);
    });
}

void feed_fleet::call_store(int from, feed_call const& call, std::function<void(feed_response)> const& send_response)
{
    auto const& vm = *m_vms[static_cast<std::size_t>(from)];
    if (vm.store_fault == fault_mode::unreachable || vm.fault != fault_mode::none) return;
    ++m_store_calls;
    if (vm.store_fault == fault_mode::refusing) return send_response({503, "", {}});
    if (call.kind == feed_call_kind::members) return send_response({200, "", {{}, m_position, {}, {}, {}}});
    if (call.kind == feed_call_kind::read) {
        ++m_store_pages;
        auto const from = parse_position(call.page_token).value_or(store_position());
        after(store_response_time, [this, send_response, from] { send_response({200, "", m_store.page_after(from)}); });
        return;
    }
    // Requests to the store have a revision but no era. A revision of an earlier era is treated as one of the current
    // era once that has reached it.
    store_position const known{m_position.era, call.after.revision};
    if (known > m_position) return send_response({410, "", {}});
    auto changes = m_store.changes_after(known);
    bool const waits = call.kind == feed_call_kind::watch && changes && changes->items.empty();
    if (!waits) return send_response(changes ? feed_response{200, "", *changes} : feed_response{410, "", {}});
    auto const open = std::make_shared<bool>(true);
    m_watches.push_back({known, send_response, open});
    after(call.wait, [this, open, send_response] {
        if (std::exchange(*open, false)) send_response({200, "", {{}, m_position, {}, {}, {}}});
    });
}

void feed_fleet::respond_to_store_watches()
{
    for (auto const& watch : std::exchange(m_watches, {})) {
        if (std::exchange(*watch.open, false)) watch.respond({200, "", *m_store.changes_after(watch.after)});
    }
}

void feed_fleet::call_peer(int from, feed_call const& call, std::function<void(feed_response)> const& send_response)
{
    auto& peer = *m_vms[static_cast<std::size_t>(index_of(call.source.peer_key))];
    if (peer.fault == fault_mode::unreachable) return;
    if (peer.fault == fault_mode::refusing) return send_response({503, "", {}});
    request_key const key(++m_last_key);
    peer.pending_requests[key.value()] = [&peer, send_response, kind = call.kind](feed_response const& result) {
        if (kind == feed_call_kind::read && result.status == feed_status::ok) ++peer.pages_served;
        if (peer.fault != fault_mode::unreachable) send_response(result);
    };
    auto const known =
        call.kind == feed_call_kind::read ? parse_position(call.page_token).value_or(store_position()) : call.after;
    peer.publisher->handle_request(key, {call.kind, m_vms[static_cast<std::size_t>(from)]->key, known, call.wait});
}

} // namespace cornelspring::testing
