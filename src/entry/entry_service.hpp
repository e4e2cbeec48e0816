/** @file entry_service.hpp The entry node's caller API: queries, entry addresses, health and metrics. */
#pragma once

#include <cornelspring/coordination.hpp>

#include <random>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace cornelspring {

/** Identity and limits of an entry node. */
struct entry_config {
    std::string id;                  ///< Entry node id.
    std::string failure_domain;      ///< Failure domain.
    std::size_t entries_limit = 16;  ///< Most addresses given to one caller.
    std::int64_t entries_ttl_s = 30; ///< How long callers keep the address list.
};

/**
 * Handles caller requests on the HTTP server's thread and hands queries to scatter-gather, whose
 * answers come back through the reply function.
 */
class entry_service {
public:
    /**
     * @param config identity. @param view configuration. @param gather fan-out. @param writes at-most-once writes.
     * @param registry metrics registry served at /metrics.
     */
    entry_service(entry_config config, config_view& view, scatter_gather& gather, write_coordinator& writes,
                  std::shared_ptr<prometheus::Registry> registry);
    /** Sets where the transport's counters for /metrics come from. @param source called at each scrape. */
    void set_transport_stats(std::function<client_stats()> source) { m_transport_stats = std::move(source); }
    /** Handles one request. @param request request. @param reply answer sink. */
    void handle(http_request const& request, reply_fn reply);
    /** From now on, refuses new queries and tells callers where else to go. */
    void start_drain() { m_draining = true; }

private:
    /** Handles POST /v1/query. */
    void handle_query(http_request const& request, reply_fn reply);
    /** Handles POST /v1/writes. */
    void handle_write(http_request const& request, reply_fn reply);
    /** @return the refusal sent while this node drains: not run, with the other entry addresses. */
    http_response draining_response();
    /** @return the answer to GET /healthz. */
    http_response health_response() const;
    /** @return the metrics as Prometheus text. */
    http_response metrics_response();
    /** @return the answer to GET /v1/entries. */
    http_response entries_response();
    /** @return addresses of live entry nodes, same failure domain first, shuffled, at most entries_limit. */
    std::vector<std::string> entry_addresses(bool include_self);
    /** @return a new request id. */
    std::string new_request_id();

    entry_config m_config;                                     ///< Identity.
    config_view& m_view;                                       ///< Configuration.
    scatter_gather& m_gather;                                  ///< Fan-out.
    write_coordinator& m_writes;                               ///< At-most-once writes.
    std::shared_ptr<prometheus::Registry> m_registry;          ///< Metrics.
    prometheus::Family<prometheus::Counter>& m_queries;        ///< Queries by outcome.
    prometheus::Histogram& m_latency;                          ///< Query latency in seconds.
    prometheus::Family<prometheus::Counter>& m_write_outcomes; ///< Writes by outcome.
    prometheus::Family<prometheus::Counter>& m_shard_requests; ///< Shard requests by kind: first, retry, hedge.
    prometheus::Counter& m_shards_missing;                     ///< Shards that did not contribute to an answer.
    prometheus::Family<prometheus::Gauge>& m_transport;        ///< The transport's counters.
    std::function<client_stats()> m_transport_stats;           ///< Source of m_transport.
    prometheus::Gauge& m_revision;                             ///< Configuration revision in force.
    prometheus::Gauge& m_violations;                           ///< Invariant violations.
    std::atomic<bool> m_draining{false};                       ///< Set at SIGTERM.
    std::mt19937_64 m_random{std::random_device{}()};          ///< Request ids and shuffles; service thread only.
};

} // namespace cornelspring
