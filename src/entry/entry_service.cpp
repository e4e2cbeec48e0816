/** @file entry_service.cpp Caller API of the entry node. */
#include "entry_service.hpp"

#include <iomanip>
#include <sstream>

#include <prometheus/text_serializer.h>

namespace cornelspring {
namespace {

/** Seconds a caller is told to wait before trying another entry node while this one drains. */
constexpr int draining_retry_after_s = 1;

/** Latency buckets of the query histogram, in seconds. */
prometheus::Histogram::BucketBoundaries const latency_buckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                              0.1,   0.2,   0.5,   1,    2,    5};

} // namespace

entry_service::entry_service(entry_config config, config_view& view, scatter_gather& gather,
                             std::shared_ptr<prometheus::Registry> registry)
    : m_config(std::move(config)), m_view(view), m_gather(gather), m_registry(std::move(registry)),
      m_queries(prometheus::BuildCounter()
                    .Name("cornel_queries_total")
                    .Help("Caller queries by outcome")
                    .Register(*m_registry)),
      m_latency(prometheus::BuildHistogram()
                    .Name("cornel_query_seconds")
                    .Help("Time from a query's arrival to its answer")
                    .Register(*m_registry)
                    .Add({}, latency_buckets)),
      m_shard_requests(prometheus::BuildCounter()
                           .Name("cornel_shard_requests_total")
                           .Help("Requests that reached back ends, first tries and retries")
                           .Register(*m_registry)
                           .Add({}))
{
}

std::string entry_service::new_request_id()
{
    std::ostringstream text;
    text << m_config.id << "-" << std::hex << std::setw(16) << std::setfill('0') << m_random();
    return text.str();
}

void entry_service::handle(http_request const& request, reply_fn reply)
{
    std::string const path = request.path.substr(0, request.path.find('?'));
    if (path == paths::query) {
        if (request.method != "POST") {
            reply(error_response(error(error_kind::bad_request, "queries are sent with POST.", "Use POST /v1/query.")));
            return;
        }
        query(request, std::move(reply));
        return;
    }
    if (path == paths::entries) {
        reply(entries());
        return;
    }
    if (path == paths::health) {
        auto const snapshot = m_view.current();
        nlohmann::json body{
            {"id", m_config.id}, {"draining", m_draining.load()}, {"config_revision", snapshot->revision}};
        reply(json_response(m_draining ? 503 : 200, body.dump()));
        return;
    }
    if (path == paths::metrics) {
        http_response response;
        response.headers.push_back({"content-type", "text/plain; version=0.0.4"});
        response.body = prometheus::TextSerializer().Serialize(m_registry->Collect());
        reply(std::move(response));
        return;
    }
    reply(error_response(error(error_kind::not_found, "no API at '" + path + "'.",
                               "Use POST /v1/query, GET /v1/entries, /healthz or /metrics.")));
}

void entry_service::query(http_request const& request, reply_fn reply)
{
    if (m_draining) {
        m_queries.Add({{"outcome", "draining"}}).Increment();
        auto response = error_response(error(error_kind::not_run, "this entry node is stopping; the query did not run.",
                                             "Send it to another address from 'entries'."),
                                       draining_retry_after_s);
        auto body = nlohmann::json::parse(response.body);
        body["entries"] = other_entries(false);
        response.body = body.dump();
        reply(std::move(response));
        return;
    }
    auto message = parse_message<query_request>(request.body, "query");
    if (message.request_id.empty()) message.request_id = new_request_id();
    auto const started = clock::now();
    m_gather.run(m_view.current(), std::move(message), [this, reply = std::move(reply), started](gather_result result) {
        m_latency.Observe(std::chrono::duration<double>(clock::now() - started).count());
        m_shard_requests.Increment(result.reached);
        if (result.answer) {
            m_queries.Add({{"outcome", result.answer->coverage == 1.0 ? "whole" : "partial"}}).Increment();
            reply(json_response(200, nlohmann::json(*result.answer).dump()));
            return;
        }
        m_queries.Add({{"outcome", to_string(result.failure->kind())}}).Increment();
        reply(error_response(*result.failure, result.retry_after_s));
    });
}

std::vector<std::string> entry_service::other_entries(bool include_self) const
{
    auto const snapshot = m_view.current();
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (auto const& [id, node] : snapshot->members) {
        if (!include_self && id == m_config.id) continue;
        (node.zone == m_config.zone ? near : far).push_back(node.address);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

http_response entry_service::entries() const
{
    entry_list list;
    list.addresses = other_entries(!m_draining);
    list.ttl_s = m_config.entries_ttl_s;
    return json_response(200, nlohmann::json(list).dump());
}

} // namespace cornelspring
