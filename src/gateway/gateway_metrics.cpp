/** @file gateway_metrics.cpp Counters and histograms of the gateway. */
#include "gateway_metrics.hpp"

#include <array>

#include <prometheus/text_serializer.h>

namespace cornelspring {
namespace {

/** Upper bounds of the latency buckets, in seconds. */
prometheus::Histogram::BucketBoundaries const latency_buckets{0.005, 0.01, 0.02, 0.05, 0.1, 0.15,
                                                              0.25,  0.5,  1,    2,    5,   10};

/** Number of customers with rows of their own. */
constexpr std::size_t customer_rows = 20;
/** Row of the other customers. The parentheses keep it apart from names of customers. */
constexpr char const* other_customers = "(others)";
/** Row of requests that were rejected since no customer holds their key. */
constexpr char const* no_customer = "(none)";

/** Outcomes of requests in the metrics of customers. */
constexpr std::array customer_outcomes{"served", "over_quota", "no_key", "unknown_key", "failed"};

/** @return which of customer_outcomes a request has. @param reason reason in its summary. */
char const* customer_outcome(std::string_view reason)
{
    if (reason == "answered" || reason == "whole" || reason == "partial") return customer_outcomes.front();
    for (char const* outcome : customer_outcomes)
        if (reason == outcome) return outcome;
    return customer_outcomes.back();
}

} // namespace

gateway_metrics::gateway_metrics()
    : m_registry(std::make_shared<prometheus::Registry>()), m_requests(prometheus::BuildCounter()
                                                                           .Name("cornel_gateway_requests_total")
                                                                           .Help("Requests by route and outcome")
                                                                           .Register(*m_registry)),
      m_latency(prometheus::BuildHistogram()
                    .Name("cornel_gateway_request_seconds")
                    .Help("Time from arrival to answer by route")
                    .Register(*m_registry)),
      m_attempts(prometheus::BuildCounter()
                     .Name("cornel_gateway_attempts_total")
                     .Help("Attempts at backend servers by how they ended")
                     .Register(*m_registry)),
      m_unanswered(prometheus::BuildCounter()
                       .Name("cornel_gateway_unanswered_attempts_total")
                       .Help("Attempts that may have run and got no response, by what the connection showed")
                       .Register(*m_registry)),
      m_extra(prometheus::BuildCounter()
                  .Name("cornel_gateway_extra_attempts_total")
                  .Help("Attempts beyond the first of a shard: hedges and retries")
                  .Register(*m_registry)),
      m_unplaced(prometheus::BuildCounter()
                     .Name("cornel_gateway_unplaced_total")
                     .Help("Choices of a backend server that a rule on places left without one")
                     .Register(*m_registry)),
      m_customers(prometheus::BuildCounter()
                      .Name("cornel_gateway_customer_requests_total")
                      .Help("Requests by customer and outcome: the busiest customers, and the others together")
                      .Register(*m_registry)),
      m_busiest(customer_rows),
      m_refused_calls(prometheus::BuildCounter()
                          .Name("cornel_gateway_refused_calls_total")
                          .Help("Calls to the gateway itself that it refused, by status of the answer")
                          .Register(*m_registry)),
      m_state(prometheus::BuildGauge().Name("cornel_gateway_state").Help("Open work").Register(*m_registry)),
      m_share(prometheus::BuildGauge()
                  .Name("cornel_gateway_admission_share")
                  .Help("Share of queries that fleet-wide admission control admits, by priority")
                  .Register(*m_registry))
{
}

void gateway_metrics::count_customer(request_summary const& summary, time_point now)
{
    auto const* outcome = customer_outcome(summary.reason);
    auto const& name = summary.customer.value();
    if (name.empty()) {
        bool const lacks_key = outcome == std::string_view("no_key") || outcome == std::string_view("unknown_key");
        if (lacks_key) m_customers.Add({{"customer", no_customer}, {"outcome", outcome}}).Increment();
        return;
    }
    bool const has_row = m_busiest.count(name, now);
    for (auto const& replaced : m_busiest.take_replaced()) {
        for (char const* each : customer_outcomes)
            m_customers.Remove(&m_customers.Add({{"customer", replaced}, {"outcome", each}}));
    }
    m_customers.Add({{"customer", has_row ? name : other_customers}, {"outcome", outcome}}).Increment();
}

void gateway_metrics::on_request(request_summary const& summary, time_point now)
{
    count_customer(summary, now);
    m_requests.Add({{"route", summary.route_name}, {"outcome", summary.reason}}).Increment();
    m_latency.Add({{"route", summary.route_name}}, latency_buckets)
        .Observe(std::chrono::duration<double>(summary.duration).count());
    if (summary.hedges > 0) m_extra.Add({{"kind", "hedge"}}).Increment(summary.hedges);
    if (summary.no_home > 0) m_unplaced.Add({{"rule", "home"}}).Increment(summary.no_home);
    if (summary.evacuated > 0) m_unplaced.Add({{"rule", "evacuation"}}).Increment(summary.evacuated);
    if (summary.cold > 0) m_unplaced.Add({{"rule", "cold"}}).Increment(summary.cold);
    if (summary.retries > 0) m_extra.Add({{"kind", "retry"}}).Increment(summary.retries);
}

void gateway_metrics::on_attempt(attempt_result const& result)
{
    m_attempts.Add({{"end", to_string(result.outcome)}}).Increment();
    if (may_have_run(result.outcome)) m_unanswered.Add({{"how", result.detail}}).Increment();
}

void gateway_metrics::on_refused_call(int status)
{
    m_refused_calls.Add({{"status", std::to_string(status)}}).Increment();
}

void gateway_metrics::set_state(gauges const& values)
{
    auto const set = [this](char const* what, auto value) {
        m_state.Add({{"what", what}}).Set(static_cast<double>(value));
    };
    set("open_requests", values.open_requests);
    set("caller_connections", values.caller_connections);
    set("backend_connections_opened", values.connections);
    set("evacuated_domains", values.evacuated_domains);
    set("cold_servers", values.cold_servers);
    set("store_era", values.store_era);
    set("superseded_changes", values.superseded);
    set("failing_servers", values.failing_servers);
    set("slow_servers", values.slow_servers);
    set("known_gateways", values.known_gateways);
    set("waiting_peer_calls", values.waiting_peer_calls);
    set("quota_accounts", values.quota_accounts);
    set("quota_tokens_granted", values.quota.granted);
    set("quota_tokens_refused", values.quota.refused);
    set("quota_tokens_returned", values.quota.returned);
    set("quota_tokens_expired", values.quota.expired);
    set("quota_takeovers", values.quota.takeovers);
    set("quota_handovers", values.quota.handovers);
}

void gateway_metrics::set_shares(share_update const& shares)
{
    for (auto const& [key, gauge] : m_share_gauges)
        gauge->Set(1);
    for (auto const& set : shares.sets) {
        for (auto const& each : set.ranks) {
            auto& gauge = m_share_gauges[{set.id, each.rank}];
            if (gauge == nullptr)
                gauge = &m_share.Add({{"first_shard", set.id.value()},
                                      {"customer_priority", std::to_string(each.rank.of_customer)},
                                      {"route_priority", std::to_string(each.rank.of_route)}});
            gauge->Set(each.share);
        }
    }
    m_state.Add({{"what", "overloaded_shard_sets"}}).Set(static_cast<double>(shares.sets.size()));
}

std::string gateway_metrics::text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

} // namespace cornelspring
