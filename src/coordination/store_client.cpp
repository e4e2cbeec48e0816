/** @file store_client.cpp Calls to the store's etcd v3 JSON gateway, with typed failures. */
#include <cornelspring/coordination.hpp>

namespace cornelspring {
namespace {

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

} // namespace

store_client::store_client(h2_client& client, endpoint store, milliseconds timeout)
    : m_client(client), m_store(std::move(store)), m_timeout(timeout)
{
}

nlohmann::json store_client::call(std::string const& path, nlohmann::json const& body, milliseconds timeout)
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
    auto response = nlohmann::json::parse(result.response.body, nullptr, false);
    if (result.response.status != 200) {
        std::string const message =
            response.is_object() ? response.value("message", result.response.body) : result.response.body;
        std::string const remedy =
            response.is_object() ? response.value("remedy", std::string("Try again later.")) : "Try again later.";
        throw error(kind_for_status(result.response.status), "store: " + message, remedy);
    }
    if (response.is_discarded()) {
        throw error(error_kind::internal, "the store sent a response body that is not JSON.",
                    "Check the store's version.");
    }
    return response;
}

range_result store_client::range_prefix(std::string const& prefix)
{
    auto const response =
        call(store_paths::range, {{"key", base64_encode(prefix)}, {"range_end", base64_encode(prefix_end(prefix))}},
             m_timeout);
    return {response.value("kvs", nlohmann::json::array()).get<std::vector<key_value>>(),
            json_int64(response.at("header").at("revision")), cluster_of(response)};
}

std::pair<std::optional<key_value>, std::int64_t> store_client::get(std::string const& key)
{
    auto const response = call(store_paths::range, {{"key", base64_encode(key)}}, m_timeout);
    auto const kvs = response.value("kvs", nlohmann::json::array()).get<std::vector<key_value>>();
    std::optional<key_value> found;
    if (!kvs.empty()) found = kvs.front();
    return {found, json_int64(response.at("header").at("revision"))};
}

std::int64_t store_client::put(std::string const& key, std::string const& value, std::int64_t lease)
{
    nlohmann::json body{{"key", base64_encode(key)}, {"value", base64_encode(value)}};
    if (lease != 0) body["lease"] = std::to_string(lease);
    return json_int64(call(store_paths::put, body, m_timeout).at("header").at("revision"));
}

txn_result store_client::txn(txn_request const& request)
{
    auto const response = call(store_paths::txn, nlohmann::json(request), m_timeout);
    txn_result result;
    result.succeeded = response.value("succeeded", false);
    result.revision = json_int64(response.at("header").at("revision"));
    for (auto const& operation : response.value("responses", nlohmann::json::array())) {
        if (!operation.contains("response_range")) continue;
        auto kvs = operation["response_range"].value("kvs", nlohmann::json::array()).get<std::vector<key_value>>();
        result.range_kvs.insert(result.range_kvs.end(), kvs.begin(), kvs.end());
    }
    return result;
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
    auto const response = call(store_paths::lease_grant, {{"TTL", std::to_string(ttl_s)}, {"ID", "0"}}, m_timeout);
    return {json_int64(response.at("ID")), cluster_of(response)};
}

cluster_id store_client::keep_alive(std::int64_t lease)
{
    return cluster_of(call(store_paths::lease_keepalive, {{"ID", std::to_string(lease)}}, m_timeout).at("result"));
}

void store_client::revoke(std::int64_t lease)
{
    call(store_paths::lease_revoke, {{"ID", std::to_string(lease)}}, m_timeout);
}

watch_batch store_client::watch_prefix(std::string const& prefix, std::int64_t after, milliseconds wait)
{
    nlohmann::json body{{"create_request",
                         {{"key", base64_encode(prefix)},
                          {"range_end", base64_encode(prefix_end(prefix))},
                          {"start_revision", std::to_string(after + 1)}}},
                        {"progress_timeout_ms", wait.count()}};
    auto const response = call(store_paths::watch, body, wait + watch_timeout_margin);
    auto const& result = response.at("result");
    watch_batch batch;
    batch.revision = json_int64(result.at("header").at("revision"));
    batch.cluster = cluster_of(result);
    batch.compacted = result.value("canceled", false);
    for (auto const& item : result.value("events", nlohmann::json::array())) {
        batch.events.push_back({item.value("type", std::string("PUT")) == "DELETE", item.at("kv").get<key_value>()});
    }
    return batch;
}

} // namespace cornelspring
