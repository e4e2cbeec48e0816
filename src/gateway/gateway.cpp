/** @file gateway.cpp The gateway process: wires callers, dispatcher, backend pool, store and membership together. */
#include "gateway_log.hpp"
#include "gateway_metrics.hpp"

#include <algorithm>
#include <charconv>
#include <csignal>

namespace cornelspring {
namespace {

/** Store prefix of the gateways' registrations. */
constexpr char const* member_prefix = "gateways/";
/**
 * A stopping gateway stops accepting this long before its time is up, and lets the requests it has finish. Until then
 * it serves on: a VM that is restarted comes back only after the whole stop time, however early it ends, and when many
 * are restarted in turn the others may be away. Ending early left no gateway at all for seconds.
 */
constexpr milliseconds finish_time{1200};
/** How often a stopping gateway looks whether its work is done. */
constexpr milliseconds stop_poll{50};
/** Entries that lapsed during a store outage have this long to come back after its return. */
constexpr milliseconds lapse_grace{2200};
/** Connections of a backend server for each active gateway, those left free for restarts included. */
constexpr double connections_per_gateway = 3.3;
/** Gateways assumed to share the budgets before the others are known. */
constexpr std::size_t least_vms = 3;
/** Longest a follower may wait for changes. */
constexpr milliseconds longest_poll{5000};

/** @return the number given as @p name in the query of @p target. */
std::optional<std::int64_t> query_number(std::string const& target, std::string const& name)
{
    auto const at = target.find(name + "=");
    if (at == std::string::npos) return std::nullopt;
    std::int64_t value = 0;
    auto const* begin = target.data() + at + name.size() + 1;
    if (std::from_chars(begin, target.data() + target.size(), value).ec != std::errc()) return std::nullopt;
    return value;
}

/** A follower that waits for changes. */
struct pending_poll {
    request_key key;        ///< Its request.
    std::int64_t after = 0; ///< Revision up to which it knows.
};

} // namespace

/** State of the gateway. */
struct gateway::impl {
    gateway_settings settings;                      ///< Settings.
    store_codec codec;                              ///< Store translation.
    event_loop loop;                                ///< The I/O thread.
    config_holder configs;                          ///< Configuration in force.
    backend_registry registry;                      ///< Backend servers.
    member_map members;                             ///< Gateways.
    std::set<std::string> active;                   ///< Gateways that callers are sent to.
    state_mirror mirror;                            ///< Copy of the store.
    feed_selector sources;                          ///< Chooses where to read it from.
    bool store_up = false;                          ///< The last call to the store succeeded.
    time_point store_lost_at;                       ///< When its calls began to fail.
    std::optional<feed_source> fed_by;              ///< Source of the last successful read or watch.
    time_point confirmed_at;                        ///< When a source last confirmed that the copy is current.
    std::vector<pending_poll> polls;                ///< Followers that wait for changes.
    gateway_metrics metrics;                        ///< Counters.
    gateway_log log;                                ///< Decision log.
    std::unique_ptr<dispatcher> requests;           ///< Decisions on requests.
    std::unique_ptr<backend_pool> pool;             ///< Connections to backend servers.
    std::unique_ptr<caller_server> callers;         ///< Connections of callers.
    store_codec peer_codec = make_peer_codec();     ///< Calls to other gateways.
    std::unique_ptr<state_feed> feed;               ///< Keeps the copy of the store current.
    std::unique_ptr<registration> registered;       ///< This VM's key in the store.
    std::mt19937_64 random{std::random_device{}()}; ///< Order of address answers.
    timer_id dispatch_timer;                        ///< Wakes the dispatcher.
    time_point dispatch_due = time_point::max();    ///< When it does.
    bool stopping = false;                          ///< A stop signal came.
    time_point stop_began;                          ///< When.
    bool stopped_accepting = false;                 ///< Listeners are closed.

    impl(gateway_settings s, store_codec c)
        : settings(std::move(s)), codec(std::move(c)), registry(settings.place, lapse_grace),
          sources(settings.store, member_key(), settings.place.domain, settings.seeds), log(loop)
    {
        make_dispatcher();
        make_callers();
        make_feed();
    }

    void make_dispatcher();
    void make_callers();
    void make_feed();
    void wake_dispatcher();
    bool ready() const { return !stopping && feed->synced() && configs.current() != nullptr; }
    std::string member_key() const { return member_prefix + settings.name; }
    gateway_member self() const;

    void on_request(caller_request request);
    void on_local(request_key key, http_request const& request);
    http_response addresses(std::string const& target);

    void on_state_poll(request_key key, http_request const& request);
    void hold_poll(request_key key, std::int64_t after, milliseconds wait);
    void answer_polls();
    bool reads_store() const { return store_up && fed_by && fed_by->is_store(); }

    void on_store_call(bool ok);
    void on_snapshot(std::vector<store_item> const& items, std::int64_t as_of);
    void on_changes(std::vector<store_item> const& items, std::int64_t as_of);
    void refresh_members();
    void on_item(store_item const& item);
    void on_config(store_item const& item);
    void on_backend(store_item const& item);
    void on_member(store_item const& item);
    void expire_lapsed();

    void on_signal(int number);
    void stop_step();
};

void gateway::impl::make_dispatcher()
{
    pool = std::make_unique<backend_pool>(loop, settings.pool, [this](attempt_id id, attempt_result result) {
        metrics.on_attempt(result.end);
        requests->on_result(id, std::move(result), loop.now());
        wake_dispatcher();
    });
    dispatcher_hooks hooks;
    hooks.send = [this](attempt_order order) { pool->send(std::move(order)); };
    hooks.cancel = [this](attempt_id id) { pool->cancel(id); };
    hooks.answer = [this](request_key key, http_response response) { callers->answer(key, std::move(response)); };
    hooks.finished = [this](request_summary const& summary) {
        metrics.on_request(summary);
        log.on_request(summary, std::chrono::duration_cast<milliseconds>(loop.now() - confirmed_at));
    };
    requests = std::make_unique<dispatcher>(settings.dispatch, configs, registry, std::move(hooks), random());
    requests->set_vms(least_vms);
}

void gateway::impl::make_callers()
{
    caller_server::hooks hooks;
    hooks.on_request = [this](caller_request request) { on_request(std::move(request)); };
    hooks.on_gone = [this](request_key key) {
        std::erase_if(polls, [key](pending_poll const& poll) { return poll.key == key; });
        requests->caller_gone(key, loop.now());
        wake_dispatcher();
    };
    hooks.limits = [this] { return configs.current() ? configs.current()->limits() : caller_limits{}; };
    hooks.on_refused = [this](int status, char const* reason) { log.on_refused(status, reason); };
    callers = std::make_unique<caller_server>(loop, std::move(hooks));
    if (settings.caller_address) callers->listen(*settings.caller_address, false);
    for (auto const& address : settings.local_addresses)
        callers->listen(address, true);
    if (settings.metrics_address) callers->listen(*settings.metrics_address, true);
}

void gateway::impl::make_feed()
{
    feed_events events;
    events.on_snapshot = [this](auto const& items, std::int64_t as_of) { on_snapshot(items, as_of); };
    events.on_changes = [this](auto const& items, std::int64_t as_of) { on_changes(items, as_of); };
    events.on_failed = [this](feed_source const& source, char const* reason) {
        log.source(source, "failed", reason);
        sources.on_failed(source, loop.now());
        if (source.is_store()) on_store_call(false);
    };
    events.on_answered = [this](feed_source const& source) {
        if (fed_by != source) log.source(source, "used", "");
        fed_by = source;
        confirmed_at = loop.now();
        sources.on_answered(source);
        if (source.is_store()) on_store_call(true);
    };
    events.choose = [this] { return sources.choose(members, loop.now()); };
    events.choose_for_read = [this] { return sources.choose_for_read(members, loop.now()); };
    feed = std::make_unique<state_feed>(loop, codec, peer_codec, std::move(events));
    registered = std::make_unique<registration>(loop, settings.store, codec, settings.lease_ttl,
                                                [this](bool ok) { on_store_call(ok); });
}

/** Notes whether a call to the store succeeded: entries may lapse during an outage and come back after it. */
void gateway::impl::on_store_call(bool ok)
{
    if (ok == store_up) return;
    store_up = ok;
    if (!ok) {
        store_lost_at = loop.now();
        log.dependency("store", "lost", milliseconds(0));
        answer_polls();
        return;
    }
    bool const first = store_lost_at == time_point{};
    auto const outage = first ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(loop.now() - store_lost_at);
    log.dependency("store", "regained", outage);
    if (first) return;
    registry.on_store_back(loop.now());
    loop.run_at(loop.now() + lapse_grace, [this] { expire_lapsed(); });
}

/** Arms the timer for the dispatcher's next due time. */
void gateway::impl::wake_dispatcher()
{
    auto const next = requests->next_due();
    if (!next || *next >= dispatch_due) return;
    loop.cancel(dispatch_timer);
    dispatch_due = *next;
    dispatch_timer = loop.run_at(dispatch_due, [this] {
        dispatch_due = time_point::max();
        requests->on_time(loop.now());
        wake_dispatcher();
    });
}

gateway_member gateway::impl::self() const
{
    return {settings.caller_address.value_or(endpoint{}),
            settings.peer_address.value_or(endpoint{}),
            settings.place.domain,
            settings.place.region,
            settings.capacity,
            stopping};
}

// ---- Requests ----

void gateway::impl::on_request(caller_request request)
{
    if (request.local) {
        on_local(request.key, request.message);
        return;
    }
    requests->start(request.key, std::move(request.message), loop.now());
    wake_dispatcher();
}

void gateway::impl::on_local(request_key key, http_request const& request)
{
    auto const path = request.path.substr(0, request.path.find('?'));
    http_response response;
    if (request.method != "GET") {
        response.status = 405;
    } else if (path == settings.ready_path) {
        response.status = ready() ? 200 : 503;
    } else if (path == settings.addresses_path) {
        response = addresses(request.path);
    } else if (path == peer_paths::state || path == peer_paths::changes) {
        on_state_poll(key, request);
        return;
    } else if (path == settings.metrics_path) {
        metrics.set_state(requests->open_requests(), callers->connections(), pool->connections_opened());
        response.headers.push_back({"content-type", "text/plain; version=0.0.4"});
        response.body = metrics.text();
    } else {
        response.status = 404;
    }
    callers->answer(key, std::move(response));
}

http_response gateway::impl::addresses(std::string const& target)
{
    auto const [region, domain] = settings.decode_place(target);
    auto const chosen = choose_addresses(members, active, region, domain, random);
    if (chosen.empty()) {
        http_response response;
        response.status = 503;
        return response;
    }
    return json_response(200, settings.encode_addresses(chosen, settings.addresses_ttl_s));
}

// ---- Followers ----

/** Another gateway asks for the copy of the store, or for the changes to it. */
void gateway::impl::on_state_poll(request_key key, http_request const& request)
{
    http_response response;
    auto const after = query_number(request.path, "after");
    if (!feed->synced() || (after && !reads_store())) {
        response.status = 503; // A follower must not follow a follower: its copy could be old without either knowing.
    } else if (!after) {
        std::vector<store_item> items;
        for (auto const& [name, item] : mirror.items())
            items.push_back(item);
        response.body = encode_peer_batch(items, mirror.as_of());
    } else if (auto const changes = mirror.changes_after(*after); !changes) {
        response.status = 410;
    } else if (!changes->empty()) {
        response.body = encode_peer_batch(*changes, mirror.as_of());
    } else {
        hold_poll(key, *after, milliseconds(query_number(request.path, "wait_ms").value_or(0)));
        return;
    }
    callers->answer(key, std::move(response));
}

/** Lets a follower wait until there are changes. */
void gateway::impl::hold_poll(request_key key, std::int64_t after, milliseconds wait)
{
    polls.push_back({key, after});
    loop.run_at(loop.now() + std::min(wait, longest_poll), [this, key] {
        if (std::erase_if(polls, [key](pending_poll const& each) { return each.key == key; }) == 0) return;
        http_response nothing;
        nothing.body = encode_peer_batch({}, mirror.as_of());
        callers->answer(key, std::move(nothing));
    });
}

/** Answers the followers that wait: there are changes, or this VM cannot vouch for its copy any more. */
void gateway::impl::answer_polls()
{
    auto const waiting = std::exchange(polls, {});
    for (auto const& poll : waiting) {
        http_response response;
        auto const changes = reads_store() ? mirror.changes_after(poll.after) : std::nullopt;
        response.status = changes ? 200 : 503;
        if (changes) response.body = encode_peer_batch(*changes, mirror.as_of());
        callers->answer(poll.key, std::move(response));
    }
}

// ---- Store ----

void gateway::impl::on_snapshot(std::vector<store_item> const& items, std::int64_t as_of)
{
    auto const gone = mirror.replace(items, as_of);
    for (auto const& item : items)
        on_item(item);
    for (auto const& key : gone)
        on_item({key, {}, as_of, true});
    refresh_members();
    answer_polls();
    if (settings.caller_address) registered->set(member_key(), encode_member(self()));
}

void gateway::impl::on_changes(std::vector<store_item> const& items, std::int64_t as_of)
{
    mirror.apply(items, as_of);
    for (auto const& item : items)
        on_item(item);
    refresh_members();
    answer_polls();
}

/** Takes over what follows from the set of gateways. */
void gateway::impl::refresh_members()
{
    auto const& config = configs.current();
    double const connections = config ? config->fewest_connections() : 0;
    auto const most = static_cast<std::size_t>(connections / connections_per_gateway);
    active = choose_active(members, most);
    // Those that callers are not sent to see next to no requests; one that is not active counts itself among all.
    auto const sharing = active.contains(member_key()) ? active.size() : members.size();
    requests->set_vms(std::max(sharing, least_vms));
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
        }
    } catch (std::exception const& failure) {
        log.bad_item(item.key, item.revision, failure.what());
    }
}

void gateway::impl::on_config(store_item const& item)
{
    if (item.removed) return;
    auto const next = codec.parse_config(item.value);
    bool const newer = configs.offer(next);
    log.config(next->version(), item.revision, newer);
}

void gateway::impl::on_backend(store_item const& item)
{
    backend_id const id(item.key.substr(codec.backend_prefix.size()));
    if (item.removed) {
        if (registry.remove(id, loop.now())) log.backend(id, registry.find(id) ? "lapsed" : "gone", item.revision);
        return;
    }
    auto const entry = codec.parse_backend(id.value(), item.value);
    if (registry.apply(entry, loop.now())) log.backend(id, entry.draining ? "draining" : "ready", item.revision);
}

void gateway::impl::on_member(store_item const& item)
{
    if (item.removed) {
        members.erase(item.key);
        log.member(item.key, "left", item.revision);
        if (item.key == member_key()) registered->on_removed();
        return;
    }
    bool const is_new = members.insert_or_assign(item.key, decode_member(item.value)).second;
    if (is_new) log.member(item.key, "joined", item.revision);
}

void gateway::impl::expire_lapsed()
{
    for (auto const& id : registry.expire(loop.now()))
        log.backend(id, "gone", 0);
}

// ---- Stopping ----

void gateway::impl::on_signal(int number)
{
    if (number == SIGHUP) {
        log.process("reload"); // Addresses and limits of a VM are fixed while it runs; nothing is taken over.
        return;
    }
    if (stopping) return;
    stopping = true;
    stop_began = loop.now();
    log.process("stopping");
    if (settings.caller_address) registered->set(member_key(), encode_member(self()));
    callers->close_after_answers();
    stop_step();
}

void gateway::impl::stop_step()
{
    auto const now = loop.now();
    if (!stopped_accepting && now >= stop_began + settings.stop_limit - finish_time) {
        stopped_accepting = true;
        registered->end();
        callers->stop_listening();
    }
    bool const idle = stopped_accepting && requests->open_requests() == 0 && callers->connections() == 0;
    if (idle || now >= stop_began + settings.stop_limit) {
        requests->abandon_all(now);
        loop.run_at(now + stop_poll, [this] { loop.stop(); });
        return;
    }
    loop.run_at(now + stop_poll, [this] { stop_step(); });
}

gateway::gateway(gateway_settings settings, store_codec codec)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(codec)))
{
}

gateway::~gateway() = default;

void gateway::run()
{
    m_impl->loop.on_signals({SIGTERM, SIGINT, SIGHUP}, [this](int number) { m_impl->on_signal(number); });
    m_impl->log.process("start");
    m_impl->feed->start();
    m_impl->loop.run();
    m_impl->log.process("stop");
}

} // namespace cornelspring
