/** @file feature_toggles.cpp Mechanisms that can be switched off, to measure what each is worth. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {

std::vector<feature_toggle> const& feature_toggles()
{
    using options = dispatcher_options;
    static std::vector<feature_toggle> const all = {
        {"hedging", "second attempts of slow shards", [](options& o) { o.hedging = false; }},
        {"hedge_pause", "a second attempt that comes up late waits until arrived answers are read",
         [](options& o) { o.hedge_pause = false; }},
        {"hedge_check", "while queries queue, second attempts go only where they gain",
         [](options& o) { o.hedge_check = false; }},
        {"observation", "attempts that are not needed any more run on to time their server",
         [](options& o) { o.observation_time = milliseconds(0); }},
        {"expected_wait", "servers are chosen by their expected wait, not only by distance",
         [](options& o) { o.selection.by_expected_wait = false; }},
        {"suspicion", "servers that failed or stalled are avoided for a while",
         [](options& o) { o.selection.avoid_suspect = false; }},
        {"failure_weight", "servers that failed lately count as slower",
         [](options& o) { o.selection.failure_weight = 0; }},
        {"cold_weight", "cold servers count as slower", [](options& o) { o.selection.cold_factor = 1; }},
        {"near_first", "near servers come before those of other regions",
         [](options& o) { o.selection.other_region_penalty_ms = o.selection.other_domain_penalty_ms = 0; }},
        {"admission", "queries are refused by the measured wait", [](options& o) { o.admission = false; }},
        {"by_coverage", "queries are refused by how often the shards that decide have answered",
         [](options& o) { o.by_coverage = false; }},
        {"rank", "urgent queries are let in first", [](options& o) { o.by_priority = false; }},
        {"returning", "callers that come again are let in last", [](options& o) { o.retries_last = false; }},
        {"return_spread", "callers that were refused for load come back spread over their time",
         [](options& o) { o.overload_retry_min = o.overload_retry_max = 0.1; }},
        {"early_answer", "an answer leaves before its goal with the shards that are in",
         [](options& o) { o.early_answer = false; }},
        {"caller_time", "answers leave earlier by the caller's time that has gone",
         [](options& o) { o.caller_time = false; }},
        {"connection_share", "a part of a server's connections is left free for restarts",
         [](options& o) { o.connection_share = 1; }},
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
    throw error(error_kind::bad_settings, "there is no mechanism '" + mechanism + "' to switch off.",
                "Use one of " + known + ".");
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
