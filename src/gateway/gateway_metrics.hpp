/** @file gateway_metrics.hpp Counters and histograms of the gateway (internal). */
#pragma once

#include "busiest_customers.hpp"

#include <cornelspring/gateway.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace cornelspring {

/** The gateway's metrics. */
class gateway_metrics {
public:
    gateway_metrics();
    /** Counts a finished request. @param summary its outcome. @param now current time. */
    void on_request(request_summary const& summary, time_point now);
    /** Counts a finished attempt. @param end its outcome. */
    void on_attempt(attempt_result const& result);
    /** Counts a request that the gateway itself refused: a call from an unknown address, or a malformed one.
     *  @param status status of the response. */
    void on_refused_call(int status);
    /** Values of the gauges. */
    struct gauges {
        std::size_t open_requests = 0;      ///< Requests in flight.
        std::size_t caller_connections = 0; ///< Open connections of callers.
        std::uint64_t connections = 0;      ///< Connections to backend servers opened since the start.
        std::size_t evacuated_domains = 0;  ///< Evacuated failure domains.
        std::size_t cold_servers = 0;       ///< Backend servers that report that they are cold.
        std::int64_t store_era = 0;         ///< Era of the local copy of the store.
        std::uint64_t superseded = 0;       ///< Changes of the store ignored because newer ones were known.
        std::size_t failing_servers = 0;    ///< Backend servers that fail as observed by all VMs.
        std::size_t slow_servers = 0;       ///< Backend servers that are slow as observed by all VMs.
        std::size_t known_gateways = 0;     ///< Addresses of gateways whose calls are accepted, without the seeds.
        std::size_t waiting_peer_calls = 0; ///< Calls from unknown addresses that wait for a change of the members.
        std::size_t quota_accounts = 0;     ///< Accounts of quotas kept by this VM.
        quota_counters quota;               ///< Tokens of quotas since the start.
    };
    /** Sets the gauges. @param values current values. */
    void set_state(gauges const& values);
    /** Sets the shares of admission control. @param shares shares in force; without sets there is no overload. */
    void set_shares(share_update const& shares);
    /** @return all metrics as Prometheus text. */
    std::string text() const;

private:
    /** Counts a request of a customer, or one without a valid key. */
    void count_customer(request_summary const& summary, time_point now);

    std::shared_ptr<prometheus::Registry> m_registry;     ///< Owner of the metrics.
    prometheus::Family<prometheus::Counter>& m_requests;  ///< Requests by route and outcome.
    prometheus::Family<prometheus::Histogram>& m_latency; ///< Latency by route.
    prometheus::Family<prometheus::Counter>& m_attempts;  ///< Attempts by outcome.
    /** Attempts that may have run and got no response, by what the connection showed. */
    prometheus::Family<prometheus::Counter>& m_unanswered;
    prometheus::Family<prometheus::Counter>& m_extra; ///< Hedges and retries.
    prometheus::Family<prometheus::Counter>&
        m_unplaced; ///< Choices of a backend server that a placement rule left without one, by rule.
    prometheus::Family<prometheus::Counter>& m_customers;     ///< Requests by customer and outcome.
    busiest_customers m_busiest;                              ///< Customers with a row of their own.
    prometheus::Family<prometheus::Counter>& m_refused_calls; ///< Refused internal requests by status.
    prometheus::Family<prometheus::Gauge>& m_state;           ///< Gauges.
    prometheus::Family<prometheus::Gauge>& m_share;           ///< Shares of admission control by priority.
    std::map<std::pair<shard_set_id, admission_rank>, prometheus::Gauge*> m_share_gauges; ///< Gauges of m_share.
};

} // namespace cornelspring
