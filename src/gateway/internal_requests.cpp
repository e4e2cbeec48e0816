/** @file internal_requests.cpp Requests that the gateway handles itself: readiness, address queries, calls of peer
 *  gateways and metrics. */
#include "gateway_impl.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Status of the response to a call from an address that is not that of a known gateway. */
constexpr int status_forbidden = 403;

/** @return a response with @p status and without a body. */
http_response status_response(int status)
{
    http_response response;
    response.status = status;
    return response;
}

} // namespace

std::map<endpoint, address_roles> listening_addresses(gateway_settings const& settings)
{
    std::map<endpoint, address_roles> all;
    auto const add = [&all](std::optional<endpoint> const& address, address_role role) {
        if (address) all[*address].add(role);
    };
    add(settings.caller_address, address_role::callers);
    add(settings.readiness_address, address_role::readiness);
    add(settings.directory_address, address_role::directory);
    add(settings.peer_address, address_role::peers);
    add(settings.metrics_address, address_role::metrics);
    return all;
}

void gateway::impl::make_internal_paths()
{
    // Handlers that return their response at once.
    auto const add = [this](address_role role, char const* method, std::string path, auto respond) {
        internal_paths.push_back(
            {role, method, std::move(path), [this, respond](request_key key, http_request const& request) {
                 callers->respond(key, respond(request));
             }});
    };
    auto const add_follower = [this](char const* path) {
        auto const serve = [this](request_key key, http_request const& request) { on_follower_request(key, request); };
        internal_paths.push_back({address_role::peers, "GET", path, serve});
    };
    add(address_role::readiness, "GET", settings.ready_path,
        [this](http_request const&) { return status_response(ready() ? 200 : 503); });
    add(address_role::directory, "GET", settings.addresses_path,
        [this](http_request const& request) { return address_response(request.path); });
    add_follower(peer_paths::state);
    add_follower(peer_paths::changes);
    add_follower(peer_paths::freshness);
    add(address_role::peers, "POST", peer_paths::quota,
        [this](http_request const& request) { return quota_reports->handle_call(request); });
    add(address_role::peers, "POST", peer_paths::failures,
        [this](http_request const& request) { return failure_reports->handle_report(request); });
    if (demand_reports) {
        add(address_role::peers, "POST", peer_paths::demand,
            [this](http_request const& request) { return demand_reports->handle_report(request); });
    }
    add(address_role::metrics, "GET", settings.metrics_path,
        [this](http_request const&) { return metrics_response(); });
}

gateway::impl::internal_path const* gateway::impl::find_internal_path(address_roles roles, std::string_view path) const
{
    auto const found = std::find_if(internal_paths.begin(), internal_paths.end(), [&](internal_path const& each) {
        return roles.has(each.role) && each.path == path;
    });
    return found == internal_paths.end() ? nullptr : &*found;
}

bool gateway::impl::handle_internal(caller_request& request)
{
    std::string_view const target = request.message.path;
    auto const* path = find_internal_path(request.roles, target.substr(0, target.find('?')));
    if (path == nullptr) {
        if (request.roles.has(address_role::callers)) return false;
        callers->respond(request.key, status_response(404));
    } else if (request.message.method != path->method) {
        auto response = status_response(405);
        response.headers.push_back({"allow", path->method});
        callers->respond(request.key, std::move(response));
    } else if (path->role == address_role::peers && settings.dispatch.peer_access) {
        on_peer_call(std::move(request), *path);
    } else {
        serve_internal(request, *path);
    }
    return true;
}

void gateway::impl::serve_internal(caller_request const& request, internal_path const& path)
{
    try {
        path.serve(request.key, request.message);
    } catch (error const& failure) {
        refuse_internal(request, http_status(failure.kind()), failure.what());
    } catch (std::exception const& failure) {
        refuse_internal(request, http_status(error_kind::internal), failure.what());
    }
}

void gateway::impl::refuse_internal(caller_request const& request, int status, char const* reason)
{
    metrics.on_refused_call(status);
    log.refused_call(request.caller.value(), request.message.path, status, reason);
    callers->respond(request.key, status_response(status));
}

// ---- Calls of peer gateways ----

void gateway::impl::on_peer_call(caller_request request, internal_path const& path)
{
    switch (access.on_call(request.key, request.caller.value(), loop.now())) {
    case peer_access::decision::accepted: serve_internal(request, path); return;
    case peer_access::decision::refused: refuse_stranger(request); return;
    case peer_access::decision::waiting: break;
    }
    waiting_peer_calls.emplace(request.key, std::move(request));
    loop.run_at(loop.now() + peer_access::max_wait, [this] {
        for (auto const key : access.take_expired(loop.now())) {
            auto const call = waiting_peer_calls.extract(key);
            if (call) refuse_stranger(call.mapped());
        }
    });
}

void gateway::impl::refuse_stranger(caller_request const& request)
{
    refuse_internal(request, status_forbidden, "not from the address of a known gateway");
}

void gateway::impl::update_peer_access()
{
    for (auto const accepted : access.set_members(members, loop.now())) {
        // Deferred: the members change while changes of the local copy are being applied.
        loop.run_at(loop.now(), [this, accepted] {
            auto const call = waiting_peer_calls.extract(accepted);
            if (!call) return; // Its sender has disconnected.
            auto const& request = call.mapped();
            std::string_view const target = request.message.path;
            auto const* path = find_internal_path(request.roles, target.substr(0, target.find('?')));
            if (path != nullptr) serve_internal(request, *path);
        });
    }
}

// ---- Responses ----

http_response gateway::impl::metrics_response()
{
    metrics.set_state({requests->open_requests(), callers->connections(), pool->connections_opened(),
                       placement.evacuated().domains().size(), registry.cold_count(loop.now()),
                       mirror.as_of().era.value(), superseded, failures.failing(), failures.slow(),
                       access.known_members(), access.waiting(), quota_reports->accounts(), quota_reports->counters()});
    metrics.set_shares(requests->demand().shares(loop.now()));
    http_response response;
    response.headers.push_back({"content-type", "text/plain; version=0.0.4"});
    response.body = metrics.text();
    return response;
}

http_response gateway::impl::address_response(std::string const& target)
{
    auto const query = settings.decode_address_query(target);
    auto const homes = configs.current() ? configs.current()->home_region_set_of_host(query.host) : region_set{};
    auto chosen = choose_addresses(members, active, query, homes, random);
    // Until the gateway has received any registration, its own included, it can at least return its own address.
    if (chosen.empty() && ready() && settings.caller_address) chosen.push_back(*settings.caller_address);
    if (chosen.empty()) return status_response(503);
    return json_response(200, settings.encode_addresses(chosen, settings.addresses_ttl_s));
}

} // namespace cornelspring
