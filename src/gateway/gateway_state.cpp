/** @file gateway_state.cpp The gateway's local copy of the store: its source, how its changes are applied, and the
 *  followers that read from it. */
#include "gateway_impl.hpp"

#include <cornelspring/checked.hpp>

#include <algorithm>
#include <charconv>

namespace cornelspring {
namespace {

/** Delay before new crash records are written, so that one write covers a request that crashes the servers of many
 *  shards: they crash within this time. */
constexpr milliseconds crash_records_delay{50};
/** Connections of a backend server planned for each active gateway, including spare ones for restarts. */
constexpr double connections_per_gateway = 3.3;

/** @return the rest of @p target after "NAME=" in its query; empty if there is no such parameter. */
std::string_view query_rest(std::string_view target, std::string const& name)
{
    auto const at = target.find(name + "=");
    return at == std::string_view::npos ? std::string_view() : target.substr(at + name.size() + 1);
}

/** @return the position in the query of @p target; the first one if there is none. @throw error bad_request when it is
 *  malformed. */
store_position query_position(std::string const& target)
{
    auto const text = query_rest(target, "after");
    if (text.empty()) return {};
    auto const position = parse_position(text);
    if (!position || position->era < store_era() || position->revision < 0) throw checked::malformed("not a position");
    return *position;
}

/** @return the time that a watch may wait, from the query of @p target; 0 if there is none. @throw error bad_request
 *  when it is malformed. */
milliseconds query_wait(std::string const& target)
{
    std::int64_t value = 0;
    auto const text = query_rest(target, "wait_ms");
    if (text.empty()) return milliseconds(0);
    bool const is_number = std::from_chars(text.data(), text.data() + text.size(), value).ec == std::errc();
    if (!is_number || value < 0) throw checked::malformed("not a time to wait");
    return milliseconds(value);
}

} // namespace

void gateway::impl::make_feed()
{
    feed_events events;
    events.on_snapshot = [this](auto const& items, store_position as_of) { on_snapshot(items, as_of); };
    events.on_members = [this](auto const& items) { on_domain_members(items); };
    events.on_changes = [this](auto const& items, store_position as_of) { on_changes(items, as_of); };
    events.on_source_failed = [this](feed_source const& source, char const* reason) {
        log.source(source, "failed", reason, followers.age());
        if (source.is_store()) on_store_call(false);
    };
    events.on_copy_confirmed = [this](feed_source const& source, time_point confirmed_at, auto const& path) {
        bool const other = followers.source() != source;
        followers.on_confirmed(source, confirmed_at, path);
        if (other) log.source(source, "used", "", followers.age());
    };
    events.on_current_response = [this](feed_source const& source, milliseconds unheard) {
        store_responses = source.is_store() ? store_responses + 1 : 0;
        if (source.is_store()) on_store_call(true);
        // A follower may not have called the store during an outage, so it detects the outage by the age of its copy.
        if (unheard > max_fresh_age) on_store_recovered();
    };
    events.on_search_changed = [this](bool searching) { followers.set_searching(searching); };
    events.members = [this]() -> member_map const& { return members; };
    feed_selector_settings const place{settings.store, member_key(), settings.location.domain, settings.location.region,
                                       settings.seeds};
    feed = std::make_unique<state_feed>(feed_selector(place, random()), source_calls.io(), std::move(events));
    member_registration = std::make_unique<registration>(loop, settings.store, codec, settings.lease_ttl,
                                                         [this](bool ok) { on_store_call(ok); });
    crash_registration = std::make_unique<registration>(loop, settings.store, codec, crash_records_ttl,
                                                        [this](bool ok) { on_store_call(ok); });
    quarantine.on_change([this](auto const& change) { on_quarantine(change); });
}

void gateway::impl::on_store_call(bool ok)
{
    if (ok == store_up) return;
    store_up = ok;
    if (!ok) {
        store_lost_at = loop.now();
        log.dependency("store", "lost", milliseconds(0));
        return;
    }
    bool const first = store_lost_at == time_point{};
    auto const outage = first ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(loop.now() - store_lost_at);
    log.dependency("store", "regained", outage);
    if (first) return;
    on_store_recovered();
}

/** Gives registrations that lapsed during the outage time to be written again; called before their removals are
 *  applied. */
void gateway::impl::on_store_recovered()
{
    registry.on_store_recovered(loop.now());
    loop.run_at(loop.now() + lapse_grace, [this] { expire_lapsed(); });
}

// ---- Followers ----

state_publisher::hooks gateway::impl::follower_hooks()
{
    state_publisher::hooks hooks;
    hooks.encode = encode_peer_batch;
    hooks.respond = [this](std::vector<request_key> const& keys, follower_response const& answer) {
        http_response response;
        response.status = answer.status;
        response.body = answer.body;
        for (auto const key : keys)
            callers->respond(key, response);
    };
    hooks.run_at = [this](time_point when, std::function<void()> task) { loop.run_at(when, std::move(task)); };
    hooks.now = [this] { return loop.now(); };
    return hooks;
}

void gateway::impl::on_follower_request(request_key key, http_request const& request)
{
    auto const path = request.path.substr(0, request.path.find('?'));
    follower_request query;
    query.kind = path == peer_paths::state       ? feed_call_kind::read
                 : path == peer_paths::freshness ? feed_call_kind::freshness
                                                 : feed_call_kind::watch;
    query.sender = checked::name(request.header(peer_paths::sender_header));
    query.after = query_position(request.path);
    query.wait = query_wait(request.path);
    followers.handle_request(key, query);
}

// ---- Store ----

void gateway::impl::on_snapshot(std::vector<store_item> const& items, store_position as_of)
{
    store_responses = 0;
    auto const known = mirror.as_of();
    auto differences = mirror.replace(items, as_of);
    bool const restored = known != store_position() && known.era != as_of.era;
    if (restored) differences = on_store_restored(std::move(differences), known, as_of);
    // Gateways that left between the read of the members and the first full read are in neither. Later, the removals in
    // the differences tell who left, and those after a restoration of the store are held back.
    bool const first_read = known == store_position();
    if (first_read) std::erase_if(members, [this](auto const& each) { return !mirror.items().contains(each.first); });
    members_changed = true;
    apply_changes(differences, as_of);
}

void gateway::impl::on_domain_members(std::vector<store_item> const& items)
{
    for (auto const& item : items)
        on_item(item);
    changes.clear(); // The full read that follows is logged.
    update_peer_access();
}

std::vector<store_item> gateway::impl::on_store_restored(std::vector<store_item> differences, store_position known,
                                                         store_position as_of)
{
    auto const all = differences.size();
    auto const until = loop.now() + lapse_grace;
    auto to_apply = missing.defer(std::move(differences), until);
    log.store_restored(as_of, known, all - to_apply.size());
    // Gateways write their crash records again in the new era. Those in the restored store may be older than the ones
    // already known, so they are not applied.
    std::erase_if(to_apply, [](store_item const& item) { return item.key.starts_with(crash_records_prefix); });
    member_registration->on_store_era(as_of.era);
    crash_registration->on_store_era(as_of.era);
    on_store_recovered();
    loop.run_at(until, [this] { apply_missing_removals(); });
    return to_apply;
}

void gateway::impl::apply_missing_removals()
{
    // While the local copy is not confirmed, the missing items may have been written again without this VM knowing it.
    if (followers.age() > max_fresh_age) {
        missing.postpone(loop.now() + lapse_grace);
        loop.run_at(loop.now() + lapse_grace, [this] { apply_missing_removals(); });
        return;
    }
    apply_changes(missing.take_due(loop.now()), mirror.as_of());
}

void gateway::impl::on_changes(std::vector<store_item> const& items, store_position as_of)
{
    apply_changes(mirror.apply(items, as_of), as_of);
}

void gateway::impl::apply_changes(std::vector<store_item> const& changes, store_position as_of)
{
    for (auto const& item : changes) {
        missing.cancel(item.key);
        on_item(item);
    }
    auto const left_out = mirror.superseded() - std::exchange(superseded, mirror.superseded());
    if (left_out > 0) log.superseded(left_out, as_of, mirror.as_of());
    refresh_members();
    log_changes(as_of);
}

void gateway::impl::record_change(std::string name, change_kind kind, store_position position)
{
    changes.push_back({std::move(name), kind, position});
}

void gateway::impl::log_changes(store_position as_of)
{
    // After a full read every VM watches the store once. Only VMs that read from the store go on to watch it again.
    bool const reads_store = store_responses > 1;
    log.learned(std::exchange(changes, {}), reads_store, as_of, followers.age());
}

void gateway::impl::refresh_members()
{
    if (!std::exchange(members_changed, false)) return;
    update_peer_access();
    auto const& config = configs.current();
    double const connections = config ? config->min_gather_connections() : 0;
    auto const max_active = static_cast<std::size_t>(connections / connections_per_gateway);
    announce_synced(max_active);
    active = choose_active(members, max_active);
    // Inactive gateways receive next to no requests, so the active ones divide the budgets among themselves. A gateway
    // that is not active itself counts all members.
    auto const sharing = active.contains(member_key()) ? active.size() : members.size();
    requests->set_vm_count(std::max(sharing, min_vms));
    update_shared_load();
    refresh_quota_keepers(max_active);
    placement.quotas().set_participants(active, member_key(), loop.now());
}

/** Registrations that a restored store has lost are held back in members for a while, by each VM for another time. Only
 *  the copy itself is the same at all VMs with the same position. */
void gateway::impl::refresh_quota_keepers(std::size_t max_active)
{
    auto const& items = mirror.items();
    auto stored = members;
    std::erase_if(stored, [&items](auto const& each) { return !items.contains(each.first); });
    auto fingerprint = std::hash<std::int64_t>()(configs.current() ? configs.current()->version().value() : 0);
    for (auto const& [key, member] : stored) {
        auto const position = items.at(key).position.to_string();
        fingerprint = std::hash<std::string>()(key + "\n" + position + "\n" + std::to_string(fingerprint));
    }
    quota_reports->on_members(stored.size() == members.size() ? active : choose_active(stored, max_active),
                              fingerprint);
}

void gateway::impl::announce_synced(std::size_t max_active)
{
    if (announced_synced || !settings.caller_address || !feed->synced()) return;
    auto if_synced = members;
    if_synced.insert_or_assign(member_key(), own_member()).first->second.synced = true;
    announced_synced = choose_active(if_synced, max_active).contains(member_key());
    if (announced_synced) member_registration->set(member_key(), encode_member(own_member()));
}

void gateway::impl::on_item(store_item const& item)
{
    try {
        if (item.key == codec.config_key) {
            on_config(item);
        } else if (item.key.starts_with(codec.backend_prefix)) {
            on_backend(item);
        } else if (item.key.starts_with(member_prefix)) {
            on_member(item);
        } else if (item.key.starts_with(codec.evacuation_prefix)) {
            on_evacuation(item);
        } else if (item.key.starts_with(crash_records_prefix)) {
            on_crash_records(item);
        }
    } catch (std::exception const& failure) {
        log.bad_item(item.key, item.position, failure.what());
        // A registration that cannot be decoded counts as removed; the next valid one adds the backend server again.
        if (item.key.starts_with(codec.backend_prefix)) remove_backend(backend_of(item), item.position);
    }
}

void gateway::impl::on_config(store_item const& item)
{
    if (item.removed) return;
    auto const next = codec.parse_config(item.value);
    bool const newer = configs.set_if_newer(next);
    members_changed = members_changed || newer;
    log.config(next->version(), item.position, newer);
}

void gateway::impl::on_evacuation(store_item const& item)
{
    domain_name const domain(item.key.substr(codec.evacuation_prefix.size()));
    auto& evacuated = placement.evacuated();
    auto const now = loop.now();
    bool const changed = item.removed ? evacuated.stop(domain, now) : evacuated.start(domain);
    if (changed) log.evacuation(domain, !item.removed, item.position, followers.age());
}

backend_id gateway::impl::backend_of(store_item const& item) const
{
    return backend_id(item.key.substr(codec.backend_prefix.size()));
}

void gateway::impl::remove_backend(backend_id const& id, store_position position)
{
    if (!registry.remove(id, loop.now())) return;
    record_change(id.value(), registry.find(id) ? change_kind::lapsed : change_kind::removed, position);
}

void gateway::impl::on_backend(store_item const& item)
{
    auto const id = backend_of(item);
    if (item.removed) {
        remove_backend(id, item.position);
        return;
    }
    auto const entry = codec.parse_backend(id.value(), item.value);
    if (!registry.apply(entry, loop.now())) return;
    // A restarted backend server counts as slow as before, until the VMs have measured it again.
    if (int const step = failures.step(id.value()); step != 0) on_slowness(id.value(), step);
    record_change(id.value(), entry.draining ? change_kind::draining : change_kind::ready, item.position);
}

void gateway::impl::on_member(store_item const& item)
{
    members_changed = true;
    if (item.removed) {
        members.erase(item.key);
        record_change(item.key, change_kind::left, item.position);
        if (item.key == member_key()) member_registration->on_removed();
        return;
    }
    bool const is_new = members.insert_or_assign(item.key, decode_member(item.value)).second;
    if (is_new) record_change(item.key, change_kind::joined, item.position);
}

void gateway::impl::on_quarantine(request_quarantine::change const& change)
{
    log.quarantine(change, quarantine.quarantine_left(change.digest, loop.now()));
    if (!change.own_record_changed) return; // A gateway shares only crashes that it has recorded itself.
    has_own_crash_records = true;
    if (std::exchange(crash_records_pending, true)) return;
    loop.run_at(loop.now() + crash_records_delay, [this] {
        crash_records_pending = false;
        crash_registration->set(crash_records_key(), encode_crash_records(quarantine.own_records(loop.now())));
    });
}

void gateway::impl::on_crash_records(store_item const& item)
{
    auto const records = item.removed ? std::vector<crash_record>{} : decode_crash_records(item.value);
    if (item.key != crash_records_key()) {
        quarantine.apply_peer_records(item.key, records, loop.now());
    } else if (item.removed) {
        crash_registration->on_removed();
    } else if (!has_own_crash_records) {
        quarantine.restore_own_records(records, loop.now());
    }
}

void gateway::impl::expire_lapsed()
{
    for (auto const& id : registry.remove_lapsed(loop.now()))
        record_change(id.value(), change_kind::removed, mirror.as_of());
    log_changes(mirror.as_of());
}

} // namespace cornelspring
