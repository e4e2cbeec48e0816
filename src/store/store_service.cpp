/** @file store_service.cpp HTTP API, watches and faults of the store stand-in. */
#include "store_service.hpp"

namespace cornelspring {
namespace {

/** Longest time after which a watch without events gets an empty response. */
constexpr milliseconds default_watch_wait{5000};
/** Delay of a lost response: longer than any client waits, so that the client receives none. */
constexpr milliseconds lost_response_hold{120000};
/** Retry-after during an outage, in seconds. */
constexpr int outage_retry_after_s = 1;

/** @return the decoded key of a request body. */
std::string key_of(nlohmann::json const& body) { return base64_decode(body.at("key").get<std::string>()); }

/** @return the decoded range end of a request body, or "" when it has none. */
std::string range_end_of(nlohmann::json const& body)
{
    return body.contains("range_end") ? base64_decode(body["range_end"].get<std::string>()) : std::string{};
}

} // namespace

store_service::store_service(std::size_t history_limit) : m_store(history_limit) {}

nlohmann::json store_service::header() const
{
    return {{"cluster_id", std::to_string(m_cluster_id)}, {"revision", std::to_string(m_store.revision())}};
}

void store_service::restore(time_point now)
{
    m_store = m_copy;
    m_store.renew_all_leases(now);
    ++m_cluster_id;
}

nlohmann::json store_service::dispatch(std::string const& path, nlohmann::json const& body, time_point now,
                                       bool& is_write)
{
    is_write = true;
    if (path == store_paths::put) {
        m_store.put(key_of(body), base64_decode(body.value("value", std::string{})),
                    body.contains("lease") ? json_int64(body["lease"]) : 0);
        return {{"header", header()}};
    }
    if (path == store_paths::delete_range) {
        auto const deleted = m_store.remove(key_of(body), range_end_of(body));
        return {{"header", header()}, {"deleted", std::to_string(deleted)}};
    }
    if (path == store_paths::txn) {
        auto const result = m_store.txn(body.get<txn_request>());
        nlohmann::json responses = nlohmann::json::array();
        if (!result.range_kvs.empty()) responses.push_back({{"response_range", {{"kvs", result.range_kvs}}}});
        return {{"header", header()}, {"succeeded", result.succeeded}, {"responses", responses}};
    }
    if (path == store_paths::lease_grant) {
        auto const ttl = json_int64(body.at("TTL"));
        auto const id = m_store.grant(ttl, now, body.contains("ID") ? json_int64(body["ID"]) : 0);
        return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}};
    }
    if (path == store_paths::lease_keepalive) {
        auto const id = json_int64(body.at("ID"));
        auto const ttl = m_store.keepalive(id, now);
        return {{"result", {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}}}};
    }
    if (path == store_paths::lease_revoke) {
        m_store.revoke(json_int64(body.at("ID")));
        return {{"header", header()}};
    }
    is_write = false;
    if (path == store_paths::range) {
        auto const kvs = m_store.range(key_of(body), range_end_of(body));
        return {{"header", header()}, {"kvs", kvs}, {"count", std::to_string(kvs.size())}};
    }
    throw error(error_kind::not_found, "no store API at '" + path + "'.", "Use a path of the etcd v3 JSON gateway.");
}

void store_service::handle(http_request const& request, respond_fn reply)
{
    auto const now = clock::now();
    if (request.path == paths::fault) {
        reply(set_faults(nlohmann::json::parse(request.body, nullptr, false), now));
        return;
    }
    if (request.path == paths::stats) {
        reply(stats());
        return;
    }
    ++m_calls[request.path];
    if (request.path == paths::vms) {
        reply(vm_list(request, now));
        return;
    }
    if (now < m_faults.outage_until || refused_by_fault(request.path)) {
        reply(error_response(error(error_kind::unavailable, "the store has a simulated outage.", "Call again later."),
                             outage_retry_after_s));
        return;
    }
    auto body = nlohmann::json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        reply(error_response(error(error_kind::bad_request, "request body is not a JSON object.",
                                   "Send the JSON body of the etcd v3 gateway call.")));
        return;
    }
    if (request.path == store_paths::watch) {
        auto const& create = body.value("create_request", nlohmann::json::object());
        waiting_watch watch;
        try {
            watch.key = key_of(create);
            watch.range_end = range_end_of(create);
        } catch (std::exception const&) {
            reply(error_response(error(error_kind::bad_request, "watch has no valid create_request.key.",
                                       "Send create_request with a base64 key.")));
            return;
        }
        auto const start = create.contains("start_revision") ? json_int64(create["start_revision"]) : 0;
        watch.after = start > 0 ? start - 1 : m_store.revision();
        auto const wait = milliseconds(body.value("progress_timeout_ms", default_watch_wait.count()));
        watch.deadline = now + std::min(wait, default_watch_wait);
        watch.reply = std::move(reply);
        m_watches.push_back(std::move(watch));
        respond_to_watches(now);
        return;
    }
    bool is_write = false;
    try {
        auto result = dispatch(request.path, body, now, is_write);
        send(std::move(reply), json_response(200, result.dump()), is_write, now);
        if (is_write) respond_to_watches(now);
    } catch (error const& failure) {
        reply(error_response(failure));
    } catch (nlohmann::json::exception const& failure) {
        reply(error_response(error(error_kind::bad_request, std::string("malformed store call: ") + failure.what(),
                                   "Send the fields of the etcd v3 gateway call.")));
    } catch (std::exception const& failure) {
        reply(error_response(error(error_kind::bad_request, failure.what(), "Check the numbers in the call.")));
    }
}

bool store_service::refused_by_fault(std::string const& path)
{
    m_write_skips_faults = false;
    if (path == store_paths::range || path == store_paths::watch) return false;
    if (m_faults.skip_writes > 0) {
        --m_faults.skip_writes;
        m_write_skips_faults = true;
        return false;
    }
    if (m_faults.refuse_writes == 0) return false;
    --m_faults.refuse_writes;
    return true;
}

void store_service::send(respond_fn reply, http_response response, bool is_write, time_point now)
{
    if (is_write && !m_write_skips_faults && m_faults.lose_replies > 0) {
        --m_faults.lose_replies;
        m_delayed.push_back({now + lost_response_hold, std::move(reply), std::move(response)});
        return;
    }
    if (m_faults.delay.count() > 0) {
        m_delayed.push_back({now + m_faults.delay, std::move(reply), std::move(response)});
        return;
    }
    reply(std::move(response));
}

void store_service::respond_to_watches(time_point now)
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        nlohmann::json result{{"header", header()}};
        bool ready = now >= it->deadline;
        try {
            auto const events = m_store.events_after(it->after, it->key, it->range_end);
            if (!events.empty()) {
                nlohmann::json list = nlohmann::json::array();
                for (auto const& event : events) {
                    list.push_back({{"type", event.is_delete ? "DELETE" : "PUT"}, {"kv", event.kv}});
                }
                result["events"] = list;
                ready = true;
            }
        } catch (error const&) {
            result["compact_revision"] = std::to_string(m_store.compacted());
            result["canceled"] = true;
            ready = true;
        }
        if (!ready) {
            ++it;
            continue;
        }
        send(it->reply, json_response(200, nlohmann::json{{"result", result}}.dump()), false, now);
        it = m_watches.erase(it);
    }
}

void store_service::tick(time_point now)
{
    if (!m_store.expire(now).empty()) respond_to_watches(now);
    respond_to_watches(now);
    for (auto it = m_delayed.begin(); it != m_delayed.end();) {
        if (it->due <= now) {
            it->reply(std::move(it->response));
            it = m_delayed.erase(it);
        } else {
            ++it;
        }
    }
}

http_response store_service::stats() const { return json_response(200, nlohmann::json(m_calls).dump()); }

http_response store_service::vm_list(http_request const& request, time_point now)
{
    if (request.method == "POST") {
        auto const body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("address") || !body.contains("state")) {
            return error_response(error(error_kind::bad_request, "VM body has no address or state.",
                                        "Send {\"address\":\"host:port\",\"state\":\"live\" or \"leaving\"}."));
        }
        auto& vm = m_vms[body["address"].get<std::string>()];
        vm.previous_state = vm.state.empty() ? "live" : vm.state;
        vm.state = body["state"].get<std::string>();
        vm.visible_at = now + m_faults.vm_lag;
        return json_response(200, R"({"ok":true})");
    }
    nlohmann::json list = nlohmann::json::array();
    for (auto const& [address, vm] : m_vms)
        list.push_back({{"address", address}, {"state", now >= vm.visible_at ? vm.state : vm.previous_state}});
    return json_response(200, nlohmann::json{{"vms", list}}.dump());
}

http_response store_service::set_faults(nlohmann::json const& body, time_point now)
{
    if (body.is_discarded() || !body.is_object()) {
        return error_response(error(error_kind::bad_request, "fault body is not a JSON object.",
                                    "Send {\"outage_ms\":N,\"delay_ms\":N,\"skip_writes\":N,\"refuse_writes\":N,"
                                    "\"lose_replies\":N,\"vm_lag_ms\":N,\"copy\":true,\"restore\":true}."));
    }
    m_faults.outage_until = now + milliseconds(body.value("outage_ms", std::int64_t{0}));
    m_faults.delay = milliseconds(body.value("delay_ms", std::int64_t{0}));
    m_faults.vm_lag = milliseconds(body.value("vm_lag_ms", std::int64_t{0}));
    m_faults.skip_writes = body.value("skip_writes", std::int64_t{0});
    m_faults.refuse_writes = body.value("refuse_writes", std::int64_t{0});
    m_faults.lose_replies = body.value("lose_replies", std::int64_t{0});
    if (body.value("copy", false)) m_copy = m_store;
    if (body.value("restore", false)) restore(now);
    return json_response(200, R"({"ok":true})");
}

} // namespace cornelspring
