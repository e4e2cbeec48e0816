/** @file gateway.cpp The gateway process: wires callers, dispatcher, backend pool, store and membership together. */
#include "address_answers.hpp"
#include "gateway_log.hpp"
#include "gateway_metrics.hpp"

#include <algorithm>
#include <csignal>

namespace cornelspring {
namespace {

/** Store prefix of the gateways' registrations. */
constexpr char const* member_prefix = "gateways/";
/** How long a stopping gateway goes on accepting: callers that just got its address still arrive. */
constexpr milliseconds accept_while_stopping{1200};
/** How often a stopping gateway looks whether its work is done. */
constexpr milliseconds stop_poll{50};
/** Entries that lapsed during a store outage have this long to come back after its return. */
constexpr milliseconds lapse_grace{2200};
/** A registration that was removed stays in address answers no longer; budgets are shared with it a while yet. */
constexpr std::size_t least_vms = 3;

} // namespace

/** State of the gateway. */
struct gateway::impl {
    gateway_settings settings;                      ///< Settings.
    store_codec codec;                              ///< Store translation.
    event_loop loop;                                ///< The I/O thread.
    config_holder configs;                          ///< Configuration in force.
    backend_registry registry;                      ///< Backend servers.
    std::map<std::string, gateway_member> members;  ///< Gateways by store key.
    std::set<std::string> seen_keys;                ///< Keys of the full read under way.
    std::size_t most_members = 0;                   ///< Most gateways seen at once.
    gateway_metrics metrics;                        ///< Counters.
    gateway_log log;                                ///< Decision log.
    std::unique_ptr<dispatcher> requests;           ///< Decisions on requests.
    std::unique_ptr<backend_pool> pool;             ///< Connections to backend servers.
    std::unique_ptr<caller_server> callers;         ///< Connections of callers.
    std::unique_ptr<store_link> store;              ///< Platform's store.
    std::mt19937_64 random{std::random_device{}()}; ///< Order of address answers.
    timer_id dispatch_timer;                        ///< Wakes the dispatcher.
    time_point dispatch_due = time_point::max();    ///< When it does.
    bool stopping = false;                          ///< A stop signal came.
    time_point stop_began;                          ///< When.
    bool stopped_accepting = false;                 ///< Listeners are closed.

    impl(gateway_settings s, store_codec c)
        : settings(std::move(s)), codec(std::move(c)), registry(settings.place, lapse_grace), log(loop)
    {
        make_dispatcher();
        make_callers();
        make_store();
    }

    void make_dispatcher();
    void make_callers();
    void make_store();
    void wake_dispatcher();
    bool ready() const { return !stopping && store->synced() && configs.current() != nullptr; }
    std::string member_key() const { return member_prefix + settings.name; }
    gateway_member self() const;

    void on_request(caller_request request);
    void on_local(request_key key, http_request const& request);
    http_response addresses(std::string const& target);

    void on_batch(store_batch const& batch, bool complete);
    void on_item(store_item const& item);
    void on_config(store_item const& item);
    void on_backend(store_item const& item);
    void on_member(store_item const& item);
    void drop_unseen();
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
        log.on_request(summary);
    };
    requests = std::make_unique<dispatcher>(settings.dispatch, configs, registry, std::move(hooks), random());
    requests->set_vms(least_vms);
}

void gateway::impl::make_callers()
{
    caller_server::hooks hooks;
    hooks.on_request = [this](caller_request request) { on_request(std::move(request)); };
    hooks.on_gone = [this](request_key key) {
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

void gateway::impl::make_store()
{
    store_events events;
    events.on_batch = [this](store_batch const& batch, bool complete) { on_batch(batch, complete); };
    events.on_lost = [this] { log.dependency("store", "lost", milliseconds(0)); };
    events.on_back = [this](milliseconds outage) {
        log.dependency("store", "regained", outage);
        registry.on_store_back(loop.now());
        loop.run_at(loop.now() + lapse_grace, [this] { expire_lapsed(); });
    };
    store = std::make_unique<store_link>(loop, settings.store, codec, std::move(events));
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
    return {settings.caller_address.value_or(endpoint{}), settings.peer_address.value_or(endpoint{}),
            settings.place.domain, settings.place.region};
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
    auto known = members;
    if (ready()) known[member_key()] = self();
    if (stopping) known.erase(member_key());
    auto const chosen = choose_addresses(known, region, domain, registry, random);
    if (chosen.empty()) {
        http_response response;
        response.status = 503;
        return response;
    }
    return json_response(200, settings.encode_addresses(chosen, settings.addresses_ttl_s));
}

// ---- Store ----

void gateway::impl::on_batch(store_batch const& batch, bool complete)
{
    bool const reading = !store->synced() || !seen_keys.empty() || complete;
    for (auto const& item : batch.items) {
        if (reading) seen_keys.insert(item.key);
        on_item(item);
    }
    if (complete) {
        drop_unseen();
        seen_keys.clear();
        if (!stopping && settings.caller_address) {
            store->register_as(member_key(), encode_member(self()), settings.lease_ttl);
        }
    }
    most_members = std::max(most_members, members.size());
    requests->set_vms(std::max(most_members, least_vms));
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
        if (item.key == member_key()) store->registration_lost();
        return;
    }
    bool const is_new = members.insert_or_assign(item.key, decode_member(item.value)).second;
    if (is_new) log.member(item.key, "joined", item.revision);
}

/** After a full read: what was not in it has been removed meanwhile. */
void gateway::impl::drop_unseen()
{
    for (auto const& id : registry.ids()) {
        if (!seen_keys.contains(codec.backend_prefix + id.value())) registry.remove(id, loop.now());
    }
    std::erase_if(members, [this](auto const& each) { return !seen_keys.contains(each.first); });
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
    store->unregister();
    callers->close_after_answers();
    stop_step();
}

void gateway::impl::stop_step()
{
    auto const now = loop.now();
    if (!stopped_accepting && now >= stop_began + accept_while_stopping) {
        stopped_accepting = true;
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
    m_impl->store->start();
    m_impl->loop.run();
    m_impl->log.process("stop");
}

} // namespace cornelspring
