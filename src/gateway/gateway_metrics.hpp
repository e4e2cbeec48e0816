/** @file gateway_metrics.hpp Counters and histograms of the gateway (internal). */
#pragma once

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
    /** Counts a request that ended. @param summary what became of it. */
    void on_request(request_summary const& summary);
    /** Counts an attempt that ended. @param end how. */
    void on_attempt(attempt_end end);
    /** Sets the gauges. @param open open requests. @param connections callers' connections. @param opened backend
     *  connections opened since the start. */
    void set_state(std::size_t open, std::size_t connections, std::uint64_t opened);
    /** @return all metrics as Prometheus text. */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;     ///< Owner of the metrics.
    prometheus::Family<prometheus::Counter>& m_requests;  ///< Requests by route and reason.
    prometheus::Family<prometheus::Histogram>& m_latency; ///< Latency by route.
    prometheus::Family<prometheus::Counter>& m_attempts;  ///< Attempts by end.
    prometheus::Family<prometheus::Counter>& m_extra;     ///< Hedges and retries.
    prometheus::Family<prometheus::Gauge>& m_state;       ///< Gauges.
};

} // namespace cornelspring
