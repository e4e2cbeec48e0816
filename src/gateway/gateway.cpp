/** @file gateway.cpp The gateway process: connects caller server, dispatcher and backend pool, and stops them. */
#include "gateway_impl.hpp"

#include <algorithm>
#include <csignal>

namespace cornelspring {
namespace {

/**
 * A stopping gateway closes its listeners this long before its stop timeout and lets the requests in flight finish.
 * Until then it serves new requests: a restarted VM is available again only after the complete stop time, even if the
 * process exits early, and during a rolling restart the other gateways may be down at the same time. With an early exit
 * no gateway at all was available for seconds.
 */
constexpr milliseconds drain_time{1200};
/** How often a stopping gateway checks whether all requests have finished. */
constexpr milliseconds stop_poll_interval{50};

} // namespace

void gateway::impl::make_dispatcher()
{
    pool = std::make_unique<backend_pool>(loop, settings.pool, [this](attempt_id id, attempt_result result) {
        metrics.on_attempt(result);
        requests->on_result(id, std::move(result), loop.now());
        wake_dispatcher();
    });
    dispatcher_hooks hooks;
    hooks.send = [this](outgoing_attempt attempt) { pool->send(std::move(attempt)); };
    hooks.cancel = [this](attempt_id id) { pool->cancel(id); };
    hooks.respond = [this](request_key key, http_response response) { callers->respond(key, std::move(response)); };
    hooks.on_finished = [this](request_summary const& summary) {
        metrics.on_request(summary, loop.now());
        bool const over_quota = summary.reason == std::string_view("over_quota");
        log.on_request(summary, followers.age(), over_quota ? quota_reports->account_of(summary.customer) : "");
    };
    hooks.on_attempt_finished = [this](backend_server const& server, bool failed) {
        failures.on_outcome(server.registration.id.value(), failed, loop.now());
    };
    hooks.on_latency = [this](backend_server const& server, double took_ms, double usual_ms) {
        if (shared_load.in_force && server.distance != proximity::other_region)
            failures.on_latency(server.registration.id.value(), took_ms, usual_ms, loop.now());
    };
    claims =
        std::make_unique<trial_claims>(loop, settings.store, codec, [this](request_digest const& digest, bool granted) {
            log.trial_claim(digest, granted);
            requests->on_trial_claimed(digest, granted, loop.now());
            wake_dispatcher();
        });
    hooks.claim_trial = [this](request_digest const& digest) { claims->claim(digest); };
    requests = std::make_unique<dispatcher>(settings.dispatch, configs, registry, placement, quarantine, quotas,
                                            std::move(hooks), random());
    requests->set_vm_count(min_vms);
    loop.on_paused([this](clock::duration length) {
        requests->on_process_paused(length);
        log.paused(std::chrono::duration_cast<milliseconds>(length));
    });
}

void gateway::impl::make_failure_calls()
{
    failure_calls::hooks hooks;
    hooks.members = [this]() -> member_map const& { return members; };
    hooks.active = [this]() -> std::set<std::string> const& { return active; };
    hooks.on_changed = [this](std::string const& collector, std::size_t failing) {
        log.failing_servers(collector, failing);
    };
    hooks.service_of = [this](std::string const& server) {
        auto const known = registry.find(backend_id(server));
        return known ? known->registration.service.value() : std::string();
    };
    hooks.shares_load = [this] { return shared_load.in_force; };
    hooks.on_informed = [this] {
        shared_load.informed_at = loop.now();
        requests->set_shared_load(shared_load);
    };
    hooks.on_slow_changed = [this](std::string const& collector, slow_server_changes const& changes) {
        log.slow_servers(collector, changes);
    };
    failure_reports = std::make_unique<failure_calls>(loop, member_key(), failures, random() | 1, std::move(hooks));
}

void gateway::impl::make_demand_calls()
{
    demand_calls::hooks hooks;
    hooks.members = [this]() -> member_map const& { return members; };
    hooks.active = [this]() -> std::set<std::string> const& { return active; };
    hooks.on_shares = [this](std::string const& collector, share_update const& shares) {
        log.admission_shares(collector, shares);
    };
    hooks.on_failed = [this](std::string const& collector, std::string const& reason) {
        log.demand_collector(collector, reason);
    };
    demand_reports =
        std::make_unique<demand_calls>(loop, member_key(), requests->demand(), random() | 1, std::move(hooks));
}

void gateway::impl::on_failure_level(std::string const& server, int level)
{
    if (auto const known = registry.find(backend_id(server)))
        known->shared_failure_rate = static_cast<double>(level) / failure_level::steps;
}

void gateway::impl::on_slowness(std::string const& server, int step)
{
    if (auto const known = registry.find(backend_id(server))) known->shared_slowness = slowness_ratio(step);
}

void gateway::impl::update_shared_load()
{
    auto const in_region = std::count_if(active.begin(), active.end(), [this](std::string const& key) {
        auto const member = members.find(key);
        return member != members.end() && member->second.region == settings.location.region;
    });
    shared_load.in_force = settings.dispatch.selection.shared_load && active.size() >= shared_load_state::min_vms;
    shared_load.vms_in_region = static_cast<std::size_t>(std::max<std::ptrdiff_t>(in_region, 1));
    requests->set_shared_load(shared_load);
}

void gateway::impl::make_quota_calls()
{
    quota_calls::hooks hooks;
    hooks.members = [this]() -> member_map const& { return members; };
    hooks.customers = [this]() -> customer_directory const* {
        return configs.current() ? &configs.current()->customers() : nullptr;
    };
    hooks.position = [this] { return mirror.as_of(); };
    hooks.state_age = [this] { return followers.age(); };
    hooks.on_decided = [this](customer_name const& name) {
        requests->on_quota_decided(name, loop.now());
        wake_dispatcher();
    };
    hooks.on_failed = [this](std::string const& keeper, char const* reason) { log.quota_keeper(keeper, reason); };
    hooks.on_moved = [this](quota_part const& part, quota_keeper::move how) {
        log.quota_account(part, to_string(how), followers.age());
    };
    quota_reports = std::make_unique<quota_calls>(loop, member_key(), quotas, settings.quota, std::move(hooks));
}

void gateway::impl::make_caller_server()
{
    caller_server::hooks hooks;
    hooks.on_request = [this](caller_request request) { on_request(std::move(request)); };
    hooks.on_caller_disconnected = [this](request_key key) {
        access.cancel(key);
        waiting_peer_calls.erase(key);
        followers.cancel(key);
        requests->on_caller_disconnected(key, loop.now());
        wake_dispatcher();
    };
    hooks.limits = [this] { return configs.current() ? configs.current()->limits() : caller_limits{}; };
    hooks.on_rejected = [this](int status, char const* reason) { log.on_rejected(status, reason); };
    hooks.on_response_cut = [this](std::size_t received, std::size_t size) { log.response_cut(received, size); };
    callers = std::make_unique<caller_server>(loop, std::move(hooks));
    for (auto const& [address, roles] : listening_addresses(settings))
        callers->listen(address, roles);
}

void gateway::impl::wake_dispatcher()
{
    auto const next = requests->next_due();
    if (!next || *next >= dispatch_due) return;
    loop.cancel(dispatch_timer);
    dispatch_due = *next;
    dispatch_timer = loop.run_at(dispatch_due, [this] {
        dispatch_due = time_point::max();
        requests->on_timer(loop.now());
        wake_dispatcher();
    });
}

gateway_member gateway::impl::own_member() const
{
    return {settings.caller_address.value_or(endpoint{}),
            settings.peer_address.value_or(endpoint{}),
            settings.location.domain,
            settings.location.region,
            settings.capacity,
            stopping,
            announced_synced};
}

// ---- Requests ----

void gateway::impl::on_request(caller_request request)
{
    if (handle_internal(request)) return;
    quota_reports->observe();
    requests->start(request.key, std::move(request.message), request.timing, std::move(request.caller), loop.now());
    if (requests->open_requests() > 0) loop.watch_pauses([this] { return requests->open_requests() > 0; });
    quota_reports->send_requests();
    wake_dispatcher();
}

// ---- Stop ----

void gateway::impl::on_signal(int number)
{
    if (number == SIGHUP) {
        log.process("reload"); // Nothing is reloaded: the addresses and limits of a VM are fixed while it runs.
        return;
    }
    if (stopping) return;
    stopping = true;
    stop_started_at = loop.now();
    log.process("stopping");
    if (settings.caller_address) member_registration->set(member_key(), encode_member(own_member()));
    callers->close_after_responses();
    stop_step();
}

void gateway::impl::stop_step()
{
    auto const now = loop.now();
    if (!stopped_accepting && now >= stop_started_at + settings.stop_timeout - drain_time) {
        stopped_accepting = true;
        member_registration->revoke();
        callers->stop_listening();
        // A request whose start had arrived may still become complete, too late to be passed on.
        requests->reject_new_requests();
    }
    bool const idle = stopped_accepting && requests->open_requests() == 0 && callers->connections() == 0;
    if (idle || now >= stop_started_at + settings.stop_timeout) {
        requests->finish_all(now);
        loop.run_at(now + stop_poll_interval, [this] { loop.stop(); });
        return;
    }
    loop.run_at(now + stop_poll_interval, [this] { stop_step(); });
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
    if (m_impl->settings.caller_address)
        m_impl->member_registration->set(m_impl->member_key(), encode_member(m_impl->own_member()));
    m_impl->feed->start();
    m_impl->loop.run();
    m_impl->log.process("stop");
}

} // namespace cornelspring
