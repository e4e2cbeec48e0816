/** @file feature_toggles.cpp Mechanisms that can be disabled to measure their effect. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {

std::vector<feature_toggle> const& feature_toggles()
{
    using options = dispatcher_options;
    static std::vector<feature_toggle> const all = {
        {"hedging", "hedges of slow shards", [](options& o) { o.hedging = false; }},
        {"hedge_pause", "a hedge that is due late waits until the received responses are read",
         [](options& o) { o.hedge_pause = false; }},
        {"hedge_check", "while congested, hedges go only to servers that are expected to be faster",
         [](options& o) { o.hedge_check = false; }},
        {"observation", "attempts that are no longer needed run on to measure their server",
         [](options& o) { o.observation_time = milliseconds(0); }},
        {"expected_wait", "servers are chosen by expected wait, not only by distance",
         [](options& o) { o.selection.by_expected_wait = false; }},
        {"suspicion", "servers that failed or stalled are avoided for a while",
         [](options& o) { o.selection.avoid_suspect = false; }},
        {"failure_weight", "servers that failed recently count as slower",
         [](options& o) { o.selection.failure_weight = 0; }},
        {"shared_failures", "the failures that other VMs observe at a server count too",
         [](options& o) { o.selection.shared_failures = false; }},
        {"shared_load", "servers are chosen by the latencies that all VMs observe, from 10 active VMs on",
         [](options& o) { o.selection.shared_load = false; }},
        {"preferred_replicas", "each VM prefers a few of the replicas of a shard",
         [](options& o) { o.selection.preferred_replicas = std::numeric_limits<std::size_t>::max(); }},
        {"cold_weight", "cold servers count as slower", [](options& o) { o.selection.cold_factor = 1; }},
        {"near_first", "near servers are preferred to those of other regions",
         [](options& o) { o.selection.other_region_penalty_ms = o.selection.other_domain_penalty_ms = 0; }},
        {"admission", "queries are rejected by the measured wait", [](options& o) { o.admission = false; }},
        {"fleet_admission", "queries are admitted by shares computed from the demand at all VMs",
         [](options& o) { o.fleet_admission = false; }},
        {"by_coverage", "queries are rejected by how often the shards they need have responded",
         [](options& o) { o.by_coverage = false; }},
        {"rank", "queries of the highest priority are admitted first", [](options& o) { o.by_priority = false; }},
        {"returning", "retries of callers are admitted last", [](options& o) { o.retries_last = false; }},
        {"return_spread", "callers rejected for overload retry spread over their time left",
         [](options& o) { o.overload_retry_min = o.overload_retry_max = 0.1; }},
        {"early_answer", "a response is sent in time for its goal with the shards received so far",
         [](options& o) { o.early_answer = false; }},
        {"caller_time", "responses are sent earlier by the caller's time already spent",
         [](options& o) { o.caller_time = false; }},
        {"queue_order", "waiting shards are served by customer and due time, not in order of arrival",
         [](options& o) { o.fair_queues = false; }},
        {"connection_share", "some connections of a server are left free for restarts",
         [](options& o) { o.connection_share = 1; }},
        {"peer_access", "calls between gateways are accepted only from known gateways",
         [](options& o) { o.peer_access = false; }},
    };
    return all;
}

void disable_feature(dispatcher_options& options, std::string const& mechanism)
{
    auto const& all = feature_toggles();
    auto const found =
        std::find_if(all.begin(), all.end(), [&](feature_toggle const& each) { return each.name == mechanism; });
    if (found != all.end()) {
        found->disable(options);
        return;
    }
    std::string known;
    for (auto const& each : all)
        known += (known.empty() ? "" : ", ") + each.name;
    throw error(error_kind::bad_settings, "no mechanism is named '" + mechanism + "'.", "Use one of " + known + ".");
}

std::string feature_toggles_help()
{
    std::string text = "experiment: mechanisms to switch off, of";
    for (auto const& each : feature_toggles())
        text += " " + each.name + " (" + each.help + "),";
    text.back() = '.';
    return text;
}

} // namespace cornelspring
