/** @file store_client.cpp Calls to the store's etcd v3 JSON gateway, with typed failures. */
#include <cornelspring/checked.hpp>
#include <cornelspring/coordination.hpp>

namespace cornelspring {
namespace {

/** Most bytes of a response: the complete configuration of a fleet. */
constexpr std::size_t max_response_bytes = 16 << 20;

/** Added to the wait of a watch call as its timeout, so that the store responds before the call times out. */
constexpr milliseconds watch_timeout_margin{2000};

/** @return the error kind for an HTTP status of the store. */
error_kind kind_for_status(int status)
{
    switch (status) {
    case 400: return error_kind::bad_request;
    case 404: return error_kind::not_found;
    case 409: return error_kind::conflict;
    case 503: return error_kind::unavailable;
    default: return error_kind::internal;
    }
}

/** @return the cluster in the header of @p response. */
cluster_id cluster_of(nlohmann::json const& response)
{
    return cluster_id(response.at("header").value("cluster_id", std::string()));
}

/** @return the revision in the header of @p response. */
std::int64_t revision_of(nlohmann::json const& response) { return json_int64(response.at("header").at("revision")); }

/** @return the items in @p response. */
std::vector<key_value> items_of(nlohmann::json const& response)
{
    auto const found = response.find("kvs");
    return found == response.end() ? std::vector<key_value>{} : found->get<std::vector<key_value>>();
}

/** @return the error that @p response, whose status is not 200, reports. */
error error_of(http_response const& response)
{
    nlohmann::json body;
    try {
        body = checked::parse(response.body, checked::encoding::json, max_response_bytes);
    } catch (error const&) {
        // The error below contains the body as it is.
    }
    auto const text = [&body](char const* name, std::string const& fallback) {
        if (!body.is_object()) return fallback;
        auto const found = body.find(name);
        return found != body.end() && found->is_string() ? found->get<std::string>() : fallback;
    };
    return {kind_for_status(response.status), "store: " + text("message", response.body),
            text("remedy", "Try again later.")};
}

} // namespace

store_client::store_client(h2_client& client, endpoint store, milliseconds timeout)
    : m_client(client), m_store(std::move(store)), m_timeout(timeout)
{
}

http_response store_client::send(std::string const& path, nlohmann::json const& body, milliseconds timeout)
{
    auto result = m_client.call(m_store, json_post(path, body.dump()), timeout);
    if (result.outcome == send_outcome::not_sent) {
        throw error(error_kind::not_run,
                    "the store at " + m_store.to_string() + " cannot be reached: " + result.detail + ".",
                    "Check that the store runs; the call did not take effect and may be repeated.");
    }
    if (result.outcome == send_outcome::unknown) {
        throw error(error_kind::outcome_unknown,
                    "no response from the store at " + m_store.to_string() + " (" + result.detail + ").",
                    "Read the key back before repeating a write; it may have taken effect.");
    }
    constexpr int status_ok = 200;
    if (result.response.status != status_ok) throw error_of(result.response);
    return std::move(result.response);
}

template <typename Decode>
auto store_client::call(std::string const& path, nlohmann::json const& body, milliseconds timeout, Decode const& decode)
{
    auto const response = send(path, body, timeout);
    try {
        return checked::decode(response.body, checked::encoding::json, decode, max_response_bytes);
    } catch (error const& failure) {
        throw error(error_kind::outcome_unknown, "the store at " + m_store.to_string() + ": " + failure.message(),
                    "Check the store's address and version; read the key back before repeating a write.");
    }
}

range_result store_client::range_prefix(std::string const& prefix)
{
    return call(store_paths::range, {{"key", base64_encode(prefix)}, {"range_end", base64_encode(prefix_end(prefix))}},
                m_timeout, [](nlohmann::json const& response) {
                    return range_result{items_of(response), revision_of(response), cluster_of(response)};
                });
}

std::pair<std::optional<key_value>, std::int64_t> store_client::get(std::string const& key)
{
    return call(store_paths::range, {{"key", base64_encode(key)}}, m_timeout, [](nlohmann::json const& response) {
        auto const kvs = items_of(response);
        std::optional<key_value> found;
        if (!kvs.empty()) found = kvs.front();
        return std::pair(found, revision_of(response));
    });
}

std::int64_t store_client::put(std::string const& key, std::string const& value, std::int64_t lease)
{
    nlohmann::json body{{"key", base64_encode(key)}, {"value", base64_encode(value)}};
    if (lease != 0) body["lease"] = std::to_string(lease);
    return call(store_paths::put, body, m_timeout, revision_of);
}

txn_result store_client::txn(txn_request const& request)
{
    return call(store_paths::txn, nlohmann::json(request), m_timeout, [](nlohmann::json const& response) {
        txn_result result;
        result.succeeded = response.value("succeeded", false);
        result.revision = revision_of(response);
        for (auto const& operation : response.value("responses", nlohmann::json::array())) {
            if (!operation.contains("response_range")) continue;
            auto const kvs = items_of(operation["response_range"]);
            result.range_kvs.insert(result.range_kvs.end(), kvs.begin(), kvs.end());
        }
        return result;
    });
}

txn_result store_client::compare_and_swap(std::string const& key, std::int64_t expected, std::string const& value,
                                          int max_attempts)
{
    txn_request request;
    request.compares.push_back({key, compare_target::mod_revision, expected, ""});
    request.success.push_back({txn_op::kind::put, key, "", value, 0});
    request.failure.push_back({txn_op::kind::range, key, "", "", 0});
    bool may_have_been_written = false;
    while (true) {
        txn_result result;
        try {
            result = txn(request);
        } catch (error const& failure) {
            may_have_been_written = may_have_been_written || failure.kind() == error_kind::outcome_unknown;
            bool const retryable = failure.kind() == error_kind::outcome_unknown ||
                                   failure.kind() == error_kind::not_run || failure.kind() == error_kind::unavailable;
            if (retryable && --max_attempts > 0) continue;
            if (!may_have_been_written) throw;
            throw error(error_kind::outcome_unknown, failure.message(), "Read " + key + " back before writing again.");
        }
        if (result.succeeded || !may_have_been_written) return result;
        // The compare may have failed because of an earlier attempt of this call whose response was lost.
        auto const& kvs = result.range_kvs;
        if (kvs.empty() || kvs.front().value != value) {
            throw error(error_kind::outcome_unknown,
                        key + " was changed by another write; whether this write took effect before that is unknown.",
                        "Read it, and write again if the change is still wanted.");
        }
        result.succeeded = true;
        result.revision = kvs.front().mod_revision;
        return result;
    }
}

granted_lease store_client::grant_lease(std::int64_t ttl_s)
{
    return call(store_paths::lease_grant, {{"TTL", std::to_string(ttl_s)}, {"ID", "0"}}, m_timeout,
                [](nlohmann::json const& response) {
                    return granted_lease{json_int64(response.at("ID")), cluster_of(response)};
                });
}

cluster_id store_client::keep_alive(std::int64_t lease)
{
    return call(store_paths::lease_keepalive, {{"ID", std::to_string(lease)}}, m_timeout,
                [](nlohmann::json const& response) { return cluster_of(response.at("result")); });
}

void store_client::revoke(std::int64_t lease)
{
    send(store_paths::lease_revoke, {{"ID", std::to_string(lease)}}, m_timeout);
}

watch_batch store_client::watch_prefix(std::string const& prefix, std::int64_t after, milliseconds wait)
{
    nlohmann::json body{{"create_request",
                         {{"key", base64_encode(prefix)},
                          {"range_end", base64_encode(prefix_end(prefix))},
                          {"start_revision", std::to_string(after + 1)}}},
                        {"progress_timeout_ms", wait.count()}};
    return call(store_paths::watch, body, wait + watch_timeout_margin, [](nlohmann::json const& response) {
        auto const& result = response.at("result");
        watch_batch batch;
        batch.revision = revision_of(result);
        batch.cluster = cluster_of(result);
        batch.compacted = result.value("canceled", false);
        for (auto const& item : result.value("events", nlohmann::json::array())) {
            bool const is_delete = item.value("type", std::string("PUT")) == "DELETE";
            batch.events.push_back({is_delete, item.at("kv").get<key_value>()});
        }
        return batch;
    });
}

} // namespace cornelspring
