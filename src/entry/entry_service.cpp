/** @file entry_service.cpp Caller API of the entry node. */
#include "entry_service.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <prometheus/text_serializer.h>

namespace cornelspring {
namespace {

/** Retry-After in seconds of the response sent while this entry node drains. */
constexpr int draining_retry_after_s = 1;

/** Latency buckets of the query histogram, in seconds. */
prometheus::Histogram::BucketBoundaries const latency_buckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                              0.1,   0.2,   0.5,   1,    2,    5};

} // namespace

entry_service::entry_service(entry_config config, config_view& view, scatter_gather& gather, write_coordinator& writes,
                             std::shared_ptr<prometheus::Registry> registry)
    : m_config(std::move(config)), m_view(view), m_gather(gather), m_writes(writes), m_registry(std::move(registry)),
      m_queries(prometheus::BuildCounter()
                    .Name("cornel_queries_total")
                    .Help("Caller queries by outcome")
                    .Register(*m_registry)),
      m_latency(prometheus::BuildHistogram()
                    .Name("cornel_query_seconds")
                    .Help("Time from a query's arrival to its answer")
                    .Register(*m_registry)
                    .Add({}, latency_buckets)),
      m_write_outcomes(prometheus::BuildCounter()
                           .Name("cornel_writes_total")
                           .Help("Caller writes by outcome")
                           .Register(*m_registry)),
      m_shard_requests(prometheus::BuildCounter()
                           .Name("cornel_shard_requests_total")
                           .Help("Requests sent to back ends by kind: first, retry, hedge")
                           .Register(*m_registry)),
      m_shards_missing(prometheus::BuildCounter()
                           .Name("cornel_shards_missing_total")
                           .Help("Shards that did not contribute to an answer")
                           .Register(*m_registry)
                           .Add({})),
      m_transport(prometheus::BuildGauge()
                      .Name("cornel_transport")
                      .Help("HTTP/2 client since the start: connections opened, found silent, bytes sent, received")
                      .Register(*m_registry)),
      m_revision(prometheus::BuildGauge()
                     .Name("cornel_config_revision")
                     .Help("Store revision of the configuration in force")
                     .Register(*m_registry)
                     .Add({})),
      m_violations(prometheus::BuildGauge()
                       .Name("cornel_invariant_violations")
                       .Help("Violations of checked invariants since the start; must be 0")
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

void entry_service::handle(http_request const& request, respond_fn reply)
{
    std::string const path = request.path.substr(0, request.path.find('?'));
    if (path == paths::query || path == paths::writes) {
        if (request.method != "POST") {
            reply(error_response(error(error_kind::bad_request, path + " takes POST.", "Use POST " + path + ".")));
        } else if (m_draining) {
            (path == paths::query ? m_queries : m_write_outcomes).Add({{"outcome", "draining"}}).Increment();
            reply(draining_response());
        } else if (path == paths::query) {
            handle_query(request, std::move(reply));
        } else {
            handle_write(request, std::move(reply));
        }
        return;
    }
    if (path == paths::entries) {
        reply(entries_response());
        return;
    }
    if (path == paths::health) {
        reply(health_response());
        return;
    }
    if (path == paths::metrics) {
        reply(metrics_response());
        return;
    }
    reply(error_response(error(error_kind::not_found, "no API at '" + path + "'.",
                               "Use POST /v1/query, POST /v1/writes, GET /v1/entries, /healthz or /metrics.")));
}

http_response entry_service::draining_response()
{
    auto response = error_response(error(error_kind::not_run, "this entry node is stopping; the request did not run.",
                                         "Send it to another address from 'entries'."),
                                   draining_retry_after_s);
    auto body = nlohmann::json::parse(response.body);
    body["entries"] = entry_addresses(false);
    response.body = body.dump();
    return response;
}

http_response entry_service::health_response() const
{
    nlohmann::json const body{
        {"id", m_config.id}, {"draining", m_draining.load()}, {"config_revision", m_view.current()->revision}};
    return json_response(m_draining ? 503 : 200, body.dump());
}

http_response entry_service::metrics_response()
{
    m_revision.Set(static_cast<double>(m_view.current()->revision));
    m_violations.Set(static_cast<double>(invariant_violations()));
    if (m_transport_stats) {
        auto const stats = m_transport_stats();
        m_transport.Add({{"what", "connections_opened"}}).Set(static_cast<double>(stats.connections_opened));
        m_transport.Add({{"what", "connections_silent"}}).Set(static_cast<double>(stats.connections_silent));
        m_transport.Add({{"what", "bytes_sent"}}).Set(static_cast<double>(stats.bytes_sent));
        m_transport.Add({{"what", "bytes_received"}}).Set(static_cast<double>(stats.bytes_received));
    }
    http_response response;
    response.headers.push_back({"content-type", "text/plain; version=0.0.4"});
    response.body = prometheus::TextSerializer().Serialize(m_registry->Collect());
    return response;
}

void entry_service::handle_query(http_request const& request, respond_fn reply)
{
    auto message = parse_message<query_request>(request.body, "query");
    if (message.request_id.empty()) message.request_id = new_request_id();
    auto const started_at = clock::now();
    m_gather.run(
        m_view.current(), std::move(message), [this, reply = std::move(reply), started_at](gather_result result) {
            m_latency.Observe(std::chrono::duration<double>(clock::now() - started_at).count());
            m_shard_requests.Add({{"kind", "first"}}).Increment(result.attempts - result.retries - result.hedges);
            m_shard_requests.Add({{"kind", "retry"}}).Increment(result.retries);
            m_shard_requests.Add({{"kind", "hedge"}}).Increment(result.hedges);
            if (result.response) {
                m_queries.Add({{"outcome", result.response->missing.empty() ? "whole" : "partial"}}).Increment();
                m_shards_missing.Increment(static_cast<double>(result.response->missing.size()));
                reply(json_response(200, nlohmann::json(*result.response).dump()));
                return;
            }
            m_queries.Add({{"outcome", to_string(result.failure->kind())}}).Increment();
            reply(error_response(*result.failure, result.retry_after_s));
        });
}

void entry_service::handle_write(http_request const& request, respond_fn reply)
{
    auto message = parse_message<write_request>(request.body, "write");
    m_writes.run(m_view.current(), std::move(message), [this, reply = std::move(reply)](write_result result) {
        if (result.response) {
            m_write_outcomes.Add({{"outcome", result.response->replayed ? "replayed" : "ran"}}).Increment();
            reply(json_response(200, nlohmann::json(*result.response).dump()));
            return;
        }
        m_write_outcomes.Add({{"outcome", to_string(result.failure->kind())}}).Increment();
        reply(error_response(*result.failure, result.retry_after_s));
    });
}

std::vector<std::string> entry_service::entry_addresses(bool include_self)
{
    auto const snapshot = m_view.current();
    std::vector<std::string> same_domain;
    std::vector<std::string> other_domains;
    for (auto const& [id, node] : snapshot->members) {
        if (!include_self && id == m_config.id) continue;
        (node.failure_domain == m_config.failure_domain ? same_domain : other_domains).push_back(node.address);
    }
    // Each caller gets another order and, if there are more nodes than the limit, another subset, so that callers
    // spread over the nodes.
    std::shuffle(same_domain.begin(), same_domain.end(), m_random);
    std::shuffle(other_domains.begin(), other_domains.end(), m_random);
    same_domain.insert(same_domain.end(), other_domains.begin(), other_domains.end());
    same_domain.resize(std::min(same_domain.size(), m_config.entries_limit));
    return same_domain;
}

http_response entry_service::entries_response()
{
    entry_list list;
    list.addresses = entry_addresses(!m_draining);
    list.ttl_s = m_config.entries_ttl_s;
    return json_response(200, nlohmann::json(list).dump());
}

} // namespace cornelspring
