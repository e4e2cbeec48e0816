/** @file gateway.cpp The gateway process: wires callers, dispatcher and backend pool together; stopping. */
#include "gateway_impl.hpp"

#include <csignal>

namespace cornelspring {
namespace {

/**
 * A stopping gateway stops accepting this long before its time is up, and lets the requests it has finish. Until then
 * it serves on: a VM that is restarted comes back only after the whole stop time, however early it ends, and when many
 * are restarted in turn the others may be away. Ending early left no gateway at all for seconds.
 */
constexpr milliseconds finish_time{1200};
/** How often a stopping gateway looks whether its work is done. */
constexpr milliseconds stop_poll{50};

} // namespace

void gateway::impl::make_dispatcher()
{
    pool = std::make_unique<backend_pool>(loop, settings.pool, [this](attempt_id id, attempt_result result) {
        metrics.on_attempt(result.outcome);
        requests->on_result(id, std::move(result), loop.now());
        wake_dispatcher();
    });
    dispatcher_hooks hooks;
    hooks.send = [this](outgoing_attempt order) { pool->send(std::move(order)); };
    hooks.cancel = [this](attempt_id id) { pool->cancel(id); };
    hooks.respond = [this](request_key key, http_response response) { callers->respond(key, std::move(response)); };
    hooks.on_finished = [this](request_summary const& summary) {
        metrics.on_request(summary);
        log.on_request(summary, followers.age());
    };
    requests = std::make_unique<dispatcher>(settings.dispatch, configs, registry, placement, quarantine,
                                            std::move(hooks), random());
    requests->set_vm_count(least_vms);
}

void gateway::impl::make_callers()
{
    caller_server::hooks hooks;
    hooks.on_request = [this](caller_request request) { on_request(std::move(request)); };
    hooks.on_gone = [this](request_key key) {
        followers.cancel(key);
        requests->on_caller_disconnected(key, loop.now());
        wake_dispatcher();
    };
    hooks.limits = [this] { return configs.current() ? configs.current()->limits() : caller_limits{}; };
    hooks.on_refused = [this](int status, char const* reason) { log.on_refused(status, reason); };
    callers = std::make_unique<caller_server>(loop, std::move(hooks));
    if (settings.caller_address) callers->listen(*settings.caller_address, false);
    for (auto const& address : settings.internal_addresses)
        callers->listen(address, true);
    if (settings.metrics_address) callers->listen(*settings.metrics_address, true);
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
        requests->on_timer(loop.now());
        wake_dispatcher();
    });
}

gateway_member gateway::impl::self() const
{
    return {settings.caller_address.value_or(endpoint{}),
            settings.peer_address.value_or(endpoint{}),
            settings.location.domain,
            settings.location.region,
            settings.capacity,
            stopping};
}

// ---- Requests ----

void gateway::impl::on_request(caller_request request)
{
    if (request.internal) {
        on_local(request.key, request.message);
        return;
    }
    requests->start(request.key, std::move(request.message), request.timing, std::move(request.caller), loop.now());
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
    } else if (path == peer_paths::state || path == peer_paths::changes || path == peer_paths::freshness) {
        on_follower(key, request);
        return;
    } else if (path == settings.metrics_path) {
        metrics.set_state({requests->open_requests(), callers->connections(), pool->connections_opened(),
                           placement.evacuated().domains().size(), registry.cold_count(loop.now()),
                           mirror.as_of().era.value(), superseded});
        response.headers.push_back({"content-type", "text/plain; version=0.0.4"});
        response.body = metrics.text();
    } else {
        response.status = 404;
    }
    callers->respond(key, std::move(response));
}

http_response gateway::impl::addresses(std::string const& target)
{
    auto const asked = settings.decode_address_query(target);
    auto const homes = configs.current() ? configs.current()->home_regions_of_host(asked.host) : region_set{};
    auto chosen = choose_addresses(members, active, asked, homes, random);
    // Before a gateway hears of any registration, its own included, it knows one that serves: itself.
    if (chosen.empty() && ready() && settings.caller_address) chosen.push_back(*settings.caller_address);
    if (chosen.empty()) {
        http_response response;
        response.status = 503;
        return response;
    }
    return json_response(200, settings.encode_addresses(chosen, settings.addresses_ttl_s));
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
    callers->close_after_responses();
    stop_step();
}

void gateway::impl::stop_step()
{
    auto const now = loop.now();
    if (!stopped_accepting && now >= stop_began + settings.stop_timeout - finish_time) {
        stopped_accepting = true;
        registered->end();
        callers->stop_listening();
    }
    bool const idle = stopped_accepting && requests->open_requests() == 0 && callers->connections() == 0;
    if (idle || now >= stop_began + settings.stop_timeout) {
        requests->finish_all(now);
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
