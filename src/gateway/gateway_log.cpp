/** @file gateway_log.cpp The gateway's decision log. */
#include "gateway_log.hpp"

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** Most lines about requests in one second; further ones are only counted. */
constexpr int request_lines_per_s = 100;
/** Most lines about the source of the local copy in one second. */
constexpr int source_lines_per_s = 20;
/** Reason of the failure of a source that refused a call. */
constexpr std::string_view source_refused = "refused";
/** Most lines about changes of the local copy in one second; a source sends a response every 0.25 s. */
constexpr int learned_lines_per_s = 5;
/** Most lines about refused calls to the gateway itself in one second. */
constexpr int refused_call_lines_per_s = 1;
/** Most bytes of the target of a refused call in its line. */
constexpr std::size_t max_target_bytes = 200;
/** Most lines about changes of the shares of admission control in one second. */
constexpr int share_lines_per_s = 4;
/** Most lines about requests that crash backend servers in one second. */
constexpr int quarantine_lines_per_s = 20;

/** Most keys of undecodable items that are remembered in order to log each reason once. */
constexpr std::size_t max_bad_items = 1000;

/** Appends @p text to @p line as a JSON string; the JSON library escapes it if it contains special characters. */
void append_quoted(std::string& line, std::string const& text)
{
    bool const plain = std::all_of(text.begin(), text.end(),
                                   [](unsigned char c) { return c >= ' ' && c < 127 && c != '"' && c != '\\'; });
    if (plain) {
        line.append("\"").append(text).append("\"");
    } else {
        line += nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }
}

/** Appends a numeric field to @p line. */
void append_number(std::string& line, char const* name, std::int64_t value)
{
    line.append(",\"").append(name).append("\":").append(std::to_string(value));
}

/** @return whether the inputs of the decisions on a request are logged: only if it failed, is incomplete or had
 *  retries. */
bool needs_details(request_summary const& summary)
{
    return summary.status != 200 || summary.shards_answered < summary.shards || summary.retries > 0;
}

/** Appends the rank of a request, and which computation of which collector gave its share. */
void append_share(std::string& line, request_summary const& summary)
{
    append_number(line, "customer_priority", summary.rank.of_customer);
    append_number(line, "route_priority", summary.rank.of_route);
    line.append(",\"share_epoch\":").append(std::to_string(summary.share_epoch));
    line.append(",\"share_sequence\":").append(std::to_string(summary.share_sequence));
}

/** Appends the inputs of the decisions on a request: admission, placement rules, extra attempts and denied hedges. */
void append_details(std::string& line, request_summary const& summary)
{
    if (summary.admission_wait_ms > 0 || summary.admitted_share < 1) {
        append_number(line, "wait_ms", static_cast<std::int64_t>(summary.admission_wait_ms));
        append_number(line, "coverable_percent", static_cast<std::int64_t>(summary.coverable_share * 100));
        append_number(line, "admitted_percent", static_cast<std::int64_t>(summary.admitted_share * 100));
        if (summary.share_epoch != 0) append_share(line, summary);
    }
    if (summary.quota_wait.count() > 0) append_number(line, "quota_wait_ms", summary.quota_wait.count());
    if (!summary.quota.unlimited()) {
        line += ",\"quota_per_s\":" + nlohmann::json(summary.quota.per_second).dump();
        line += ",\"quota_burst\":" + nlohmann::json(summary.quota.burst).dump();
    }
    if (summary.quota_isolated) line += ",\"quota_isolated\":true";
    if (summary.no_home > 0) append_number(line, "no_home", summary.no_home);
    if (summary.evacuated > 0) append_number(line, "evacuated", summary.evacuated);
    if (summary.cold > 0) append_number(line, "cold", summary.cold);
    if (!summary.extra_attempts.empty()) {
        line += ",\"extra\":";
        append_quoted(line, summary.extra_attempts);
    }
    if (summary.hedges_denied == 0) return;
    append_number(line, "hedges_denied", summary.hedges_denied);
    line.append(",\"denied\":\"").append(summary.hedge_denied_reason).append("\"");
}

/** @return the text of @p kind in log lines. */
char const* to_string(change_kind kind)
{
    switch (kind) {
    case change_kind::ready: return "ready";
    case change_kind::draining: return "draining";
    case change_kind::lapsed: return "lapsed";
    case change_kind::removed: return "gone";
    case change_kind::joined: return "joined";
    case change_kind::left: return "left";
    }
    return "unknown";
}

/** Adds a position in the store's history to @p line. */
void add_position(nlohmann::json& line, store_position position)
{
    line["era"] = position.era.value();
    line["revision"] = position.revision;
}

/** @return the line for one change. */
nlohmann::json format_change(state_change const& change)
{
    auto const* kind = to_string(change.kind);
    bool const member = change.kind == change_kind::joined || change.kind == change_kind::left;
    auto line = member ? nlohmann::json{{"event", "member"}, {"member", change.name}, {"change", kind}}
                       : nlohmann::json{{"event", "backend"}, {"backend", change.name}, {"state", kind}};
    add_position(line, change.position);
    return line;
}

} // namespace

bool gateway_log::allowed(quota& kind, int per_second)
{
    auto const second = std::chrono::duration_cast<std::chrono::seconds>(m_loop.now().time_since_epoch()).count();
    if (second != kind.second) kind = {second, 0};
    if (++kind.lines <= per_second) return true;
    ++m_left_out;
    return false;
}

void gateway_log::write(nlohmann::json const& fields)
{
    LOG4CPLUS_INFO(m_logger, fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void gateway_log::on_request(request_summary const& summary, milliseconds state_age, std::string const& quota_account)
{
    if (!allowed(m_requests, request_lines_per_s)) return;
    // This is the only frequent line. It is built by hand, because a JSON object costs several times as much, which is
    // a noticeable part of the processor time of a request.
    std::string line = "{\"event\":\"request\",\"id\":";
    append_quoted(line, summary.request_id);
    line += ",\"route\":";
    append_quoted(line, summary.route_name);
    if (!summary.customer.value().empty()) {
        line += ",\"customer\":";
        append_quoted(line, summary.customer.value());
    }
    append_number(line, "config", summary.version.value());
    append_number(line, "state_age_ms", state_age.count());
    append_number(line, "status", summary.status);
    line += ",\"reason\":\"";
    line += summary.reason;
    line += "\",\"ms\":" + std::to_string(summary.duration.count() / 1000) + "." +
            std::to_string(summary.duration.count() % 1000 / 100);
    append_number(line, "spent_ms", summary.caller_time_spent.count());
    append_number(line, "shards", static_cast<std::int64_t>(summary.shards));
    append_number(line, "answered", static_cast<std::int64_t>(summary.shards_answered));
    append_number(line, "sent", summary.attempts);
    append_number(line, "hedges", summary.hedges);
    append_number(line, "retries", summary.retries);
    if (summary.failed_attempts > 0) {
        append_number(line, "failed_attempts", summary.failed_attempts);
        line += ",\"failures\":";
        append_quoted(line, summary.failure_details);
    }
    if (!summary.digest.value().empty()) {
        append_number(line, "disconnects", summary.disconnects);
        append_number(line, "unanswered", summary.unanswered);
        line.append(",\"cautious\":").append(summary.sequential ? "true" : "false");
        line.append(",\"digest\":\"").append(summary.digest.value());
        line.append("\",\"caller\":\"").append(summary.caller.value()).append("\",\"line\":");
        append_quoted(line, summary.request_line);
    }
    if (needs_details(summary)) append_details(line, summary);
    if (!quota_account.empty()) {
        line += ",\"quota_account\":";
        append_quoted(line, quota_account);
    }
    if (m_left_out > 0) append_number(line, "left_out", static_cast<std::int64_t>(std::exchange(m_left_out, 0)));
    line += "}";
    LOG4CPLUS_INFO(m_logger, line);
}

void gateway_log::on_rejected(int status, char const* reason)
{
    if (allowed(m_requests, request_lines_per_s)) write({{"event", "refused"}, {"status", status}, {"reason", reason}});
}

void gateway_log::response_cut(std::size_t received, std::size_t size)
{
    if (allowed(m_requests, request_lines_per_s))
        write({{"event", "response_cut"}, {"received_bytes", received}, {"bytes", size}});
}

void gateway_log::refused_call(std::string const& caller, std::string const& target, int status, char const* reason)
{
    if (!allowed(m_refused_calls, refused_call_lines_per_s)) {
        ++m_refused_suppressed;
        return;
    }
    write({{"event", "refused_call"},
           {"caller", caller},
           {"target", target.substr(0, max_target_bytes)},
           {"status", status},
           {"reason", reason},
           {"suppressed", std::exchange(m_refused_suppressed, 0)}});
}

void gateway_log::dependency(char const* name, char const* change, milliseconds outage)
{
    write({{"event", "dependency"}, {"name", name}, {"change", change}, {"outage_ms", outage.count()}});
}

void gateway_log::source(feed_source const& source, char const* change, char const* reason, milliseconds state_age)
{
    std::string const name = source.is_store() ? "store" : source.peer_key;
    nlohmann::json line{{"event", "state_source"},
                        {"source", name},
                        {"change", change},
                        {"reason", reason},
                        {"state_age_ms", state_age.count()}};
    if (reason == source_refused) {
        auto const suppressed = m_refusals.on_refused(name, m_loop.now());
        if (!suppressed) return;
        if (*suppressed > 0) line["suppressed"] = *suppressed;
    } else {
        m_refusals.on_other_state(name);
    }
    if (allowed(m_sources, source_lines_per_s)) write(line);
}

void gateway_log::bad_item(std::string const& key, store_position position, char const* reason)
{
    if (m_bad_items.size() >= max_bad_items) m_bad_items.clear();
    if (std::exchange(m_bad_items[key], reason) == reason) return;
    nlohmann::json line{{"event", "bad_item"}, {"key", key}, {"reason", reason}};
    add_position(line, position);
    write(line);
}

void gateway_log::store_restored(store_position position, store_position known, std::size_t held)
{
    nlohmann::json line{{"event", "store_restored"},
                        {"known_era", known.era.value()},
                        {"known_revision", known.revision},
                        {"held", held}};
    add_position(line, position);
    write(line);
}

void gateway_log::superseded(std::uint64_t count, store_position position, store_position known)
{
    if (!allowed(m_learned, learned_lines_per_s)) return;
    nlohmann::json line{{"event", "superseded"},
                        {"changes", count},
                        {"known_era", known.era.value()},
                        {"known_revision", known.revision}};
    add_position(line, position);
    write(line);
}

void gateway_log::config(config_version version, store_position position, bool applied)
{
    nlohmann::json line{{"event", "config"}, {"version", version.value()}, {"applied", applied}};
    add_position(line, position);
    write(line);
}

void gateway_log::evacuation(domain_name const& domain, bool in_force, store_position position, milliseconds state_age)
{
    nlohmann::json line{{"event", "evacuation"},
                        {"domain", domain.value()},
                        {"in_force", in_force},
                        {"state_age_ms", state_age.count()}};
    add_position(line, position);
    write(line);
}

void gateway_log::learned(std::vector<state_change> const& changes, bool named, store_position position,
                          milliseconds state_age)
{
    if (changes.empty()) return;
    nlohmann::json line{{"event", "learned"}, {"state_age_ms", state_age.count()}};
    add_position(line, position);
    for (auto const kind : {change_kind::ready, change_kind::draining, change_kind::lapsed, change_kind::removed,
                            change_kind::joined, change_kind::left})
        line[to_string(kind)] = 0;
    for (auto const& change : changes) {
        auto& count = line[to_string(change.kind)];
        count = count.get<int>() + 1;
        if (named) write(format_change(change));
    }
    if (allowed(m_learned, learned_lines_per_s)) write(line);
}

void gateway_log::quarantine(request_quarantine::change const& change, milliseconds remaining)
{
    if (!allowed(m_quarantine, quarantine_lines_per_s)) return;
    write({{"event", "quarantine"},
           {"digest", change.digest.value()},
           {"standing", to_string(change.status)},
           {"crashes", change.crashes},
           {"quarantines", change.quarantines},
           {"left_ms", remaining.count()},
           {"source", change.source.empty() ? "here" : change.source}});
}

void gateway_log::trial_claim(request_digest const& digest, bool granted)
{
    if (!allowed(m_quarantine, quarantine_lines_per_s)) return;
    write({{"event", "trial_claim"}, {"digest", digest.value()}, {"granted", granted}});
}

void gateway_log::quota_keeper(std::string const& keeper, char const* reason)
{
    if (!allowed(m_sources, source_lines_per_s)) return;
    write({{"event", "quota_keeper"}, {"gateway", keeper}, {"change", "failed"}, {"reason", reason}});
}

void gateway_log::quota_account(quota_part const& part, char const* change, milliseconds state_age)
{
    if (!allowed(m_sources, source_lines_per_s)) return;
    write({{"event", "quota_account"},
           {"customer", part.name.value()},
           {"part", part.number},
           {"change", change},
           {"state_age_ms", state_age.count()}});
}

void gateway_log::failing_servers(std::string const& collector, std::size_t failing)
{
    if (!allowed(m_learned, learned_lines_per_s)) return;
    write({{"event", "failing_servers"}, {"collector", collector}, {"count", failing}});
}

void gateway_log::slow_servers(std::string const& collector, slow_server_changes const& changes)
{
    if (!allowed(m_learned, learned_lines_per_s)) return;
    write({{"event", "slow_servers"},
           {"collector", collector},
           {"count", changes.slow},
           {"entered", changes.entered_count},
           {"entered_names", changes.entered},
           {"left", changes.left_count},
           {"left_names", changes.left}});
}

void gateway_log::admission_shares(std::string const& collector, share_update const& shares)
{
    if (!allowed(m_shares, share_lines_per_s)) return;
    auto sets = nlohmann::json::array();
    for (auto const& set : shares.sets) {
        auto ranks = nlohmann::json::array();
        for (auto const& each : set.ranks)
            ranks.push_back({{"customer_priority", each.rank.of_customer},
                             {"route_priority", each.rank.of_route},
                             {"percent", std::lround(each.share * 100)},
                             {"customers_listed", each.customers.size()}});
        sets.push_back({{"first_shard", set.id.value()}, {"limit", std::lround(set.limit)}, {"ranks", ranks}});
    }
    write({{"event", "admission_shares"},
           {"collector", collector},
           {"share_epoch", shares.epoch},
           {"share_sequence", shares.sequence},
           {"overloaded", sets}});
}

void gateway_log::demand_collector(std::string const& gateway, std::string const& reason)
{
    if (!allowed(m_sources, source_lines_per_s)) return;
    write({{"event", "demand_collector"}, {"gateway", gateway}, {"change", "failed"}, {"reason", reason}});
}

void gateway_log::paused(milliseconds length)
{
    if (allowed(m_sources, source_lines_per_s)) write({{"event", "paused"}, {"ms", length.count()}});
}

void gateway_log::process(char const* event) { write({{"event", event}}); }

} // namespace cornelspring
