/** @file entry_service.hpp The entry node's caller API: queries, writes, entry addresses, health and metrics. */
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
    std::size_t entries_limit = 16;  ///< Maximum number of addresses returned to one caller.
    std::int64_t entries_ttl_s = 30; ///< How long callers may keep the address list.
};

/**
 * Handles caller requests on the HTTP server's thread. Passes queries to scatter-gather and writes to the write
 * coordinator, which send the responses through the reply function.
 */
class entry_service {
public:
    /**
     * @param config identity and limits. @param view configuration. @param gather runs queries.
     * @param writes runs non-idempotent requests.
     * @param registry metrics registry served at /metrics.
     */
    entry_service(entry_config config, config_view& view, scatter_gather& gather, write_coordinator& writes,
                  std::shared_ptr<prometheus::Registry> registry);
    /** Sets the source of the transport's counters for /metrics. @param source called at each scrape. */
    void set_transport_stats(std::function<client_stats()> source) { m_transport_stats = std::move(source); }
    /** Handles one request. @param request request. @param reply sends the response. */
    void handle(http_request const& request, respond_fn reply);
    /** Starts draining: new queries and writes are rejected with the addresses of the other entry nodes. */
    void start_drain() { m_draining = true; }

private:
    /** Handles POST /v1/query. */
    void handle_query(http_request const& request, respond_fn reply);
    /** Handles POST /v1/writes. */
    void handle_write(http_request const& request, respond_fn reply);
    /** @return the response sent while this node drains: not run, with the other entry addresses. */
    http_response draining_response();
    /** @return the response to GET /healthz. */
    http_response health_response() const;
    /** @return the metrics as Prometheus text. */
    http_response metrics_response();
    /** @return the response to GET /v1/entries. */
    http_response entries_response();
    /**
     * @return addresses of live entry nodes, shuffled, those of the same failure domain first, at most entries_limit.
     * @param include_self whether this node's address may be among them.
     */
    std::vector<std::string> entry_addresses(bool include_self);
    /** @return a new request id. */
    std::string new_request_id();

    entry_config m_config;                                     ///< Identity and limits.
    config_view& m_view;                                       ///< Configuration.
    scatter_gather& m_gather;                                  ///< Runs queries.
    write_coordinator& m_writes;                               ///< Runs non-idempotent requests.
    std::shared_ptr<prometheus::Registry> m_registry;          ///< Metrics.
    prometheus::Family<prometheus::Counter>& m_queries;        ///< Queries by outcome.
    prometheus::Histogram& m_latency;                          ///< Query latency in seconds.
    prometheus::Family<prometheus::Counter>& m_write_outcomes; ///< Writes by outcome.
    prometheus::Family<prometheus::Counter>& m_shard_requests; ///< Shard requests by kind: first, retry, hedge.
    prometheus::Counter& m_shards_missing;                     ///< Shards that did not contribute to a response.
    prometheus::Family<prometheus::Gauge>& m_transport;        ///< The transport's counters.
    std::function<client_stats()> m_transport_stats;           ///< Source of m_transport.
    prometheus::Gauge& m_revision;                             ///< Revision of the current configuration.
    prometheus::Gauge& m_violations;                           ///< Invariant violations.
    std::atomic<bool> m_draining{false};                       ///< Set when the drain starts.
    std::mt19937_64 m_random{std::random_device{}()};          ///< Request ids and shuffles; service thread only.
};

} // namespace cornelspring
