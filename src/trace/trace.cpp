/** @file trace.cpp Reads the gateways' logs and derives the causes of failed requests. */
#include "trace.hpp"

#include <iomanip>
#include <istream>
#include <ostream>

namespace cornelspring {
namespace {

using nlohmann::json;

/** Length of the period before a request's arrival whose events are included in its trace. */
constexpr double context_s = 5;

/** @return the outcome of the first failed attempt in a request's record, or "" if there is none. */
std::string first_failure(json const& request)
{
    auto const text = request.value("failures", std::string());
    auto const first = text.find(':');
    if (first == std::string::npos) return {};
    return text.substr(first + 1, text.find(':', first + 1) - first - 1);
}

/** @return a description of @p failure, the outcome of a failed attempt. */
std::string describe_failure(std::string const& failure)
{
    if (failure == "not_sent") return "backend servers could not be connected to";
    if (failure == "disconnected") return "backend servers closed connections without a whole answer";
    if (failure == "reset") return "backend servers reset connections without an answer";
    if (failure == "lost") return "backend servers took requests and gave no usable answer";
    if (failure == "not_executed") return "backend servers refused for lack of room";
    if (failure == "wrong_server") return "another backend server has the address";
    return "backend servers did not answer in time";
}

/** @return whether @p event belongs in the trace of @p request. */
bool is_relevant(log_record const& event, log_record const& request)
{
    auto const kind = event.fields.value("event", "");
    // Only gateways that watch the store log state changes of backend servers, but the changes reach all gateways.
    if (kind == "backend") {
        auto const failures = request.fields.value("failures", std::string());
        return failures.find(event.fields.value("backend", "-")) != std::string::npos;
    }
    return event.source == request.source && kind != "request" && kind != "refused" && kind != "member";
}

/** Writes why the key or the quota of @p request did not suffice, and what decided. */
void explain_rejection(json const& request, std::ostream& out)
{
    auto const reason = request.value("reason", "");
    if (reason == "no_key" || reason == "unknown_key") {
        out << "  decided by version " << request.value("config", 0) << " of the configuration, of a copy confirmed "
            << request.value("state_age_ms", 0) << " ms before\n";
    }
    if (reason != "over_quota") return;
    auto const account = request.value("quota_account", std::string());
    bool const isolated = request.value("quota_isolated", false) || account.empty();
    out << std::defaultfloat << std::setprecision(6) << "  customer " << request.value("customer", "") << ": at most "
        << request.value("quota_per_s", 0.0) << " requests per second and a burst of "
        << request.value("quota_burst", 0.0) << " over all VMs; decided by "
        << (isolated ? "this VM, as no account could be asked" : "the account at " + account) << "\n";
}

/** Writes @p record as a line. @param base_s time of day that its time is relative to. */
void write_line(log_record const& record, double base_s, std::ostream& out)
{
    out << std::fixed << std::setprecision(3) << std::setw(9) << record.at_s - base_s << " s  " << record.source
        << "  ";
    for (auto const& [key, value] : record.fields.items()) {
        if (key != "ts") out << key << "=" << (value.is_string() ? value.get<std::string>() : value.dump()) << " ";
    }
    out << "\n";
}

} // namespace

void read_log(std::istream& in, std::string const& name, std::vector<log_record>& records)
{
    std::string line;
    while (std::getline(in, line)) {
        auto const brace = line.find("{\"ts\"");
        if (brace == std::string::npos) continue;
        auto fields = json::parse(line.substr(brace), nullptr, false);
        if (!fields.is_object() || !fields.contains("event")) continue;
        auto source = line.substr(0, brace);
        while (!source.empty() && source.back() == ' ')
            source.pop_back();
        // A log collector may put its own time stamp before the name of the process.
        auto const last = source.rfind(' ');
        if (last != std::string::npos) source = source.substr(last + 1);
        double const at_s = fields["ts"].get<double>();
        records.push_back({at_s, source.empty() ? name : source, std::move(fields)});
    }
}

std::string cause_of(json const& request)
{
    auto const reason = request.value("reason", "");
    auto const failure = first_failure(request);
    if (reason == "answered" || reason == "whole") return {};
    if (reason == "partial")
        return "partial: " + (failure.empty() ? "slow shards at the route's goal" : describe_failure(failure));
    if (reason == "starting") return "refused: the gateway knew no configuration yet";
    if (reason == "no_route") return "refused: no route of the configuration in force matches";
    if (reason == "no_key") return "refused: the route needs an API key and the request had none";
    if (reason == "unknown_key") return "refused: no customer of the configuration in force holds its API key";
    if (reason == "over_quota") {
        if (request.value("quota_isolated", false))
            return "refused: no gateway that may grant from the customer's quota could be asked";
        return "refused: the customer's quota is used up";
    }
    if (reason == "no_time") return "refused: the caller left too little time";
    if (reason == "overloaded") return "refused: queries queue at the backend servers (admission bound)";
    if (reason == "over_share") return "refused: beyond the share of its priority and customer in the fleet's capacity";
    if (reason == "own_queue")
        return "refused: queries of this gateway are overdue, or shards that it needs failed lately";
    if (reason == "too_late") return "refused: no answer was expected before the caller's deadline";
    if (reason == "no_place") {
        if (request.value("no_home", 0) > 0) return "refused: no backend server is left in the route's home regions";
        if (request.value("evacuated", 0) > 0) return "refused: the backend servers left are in an evacuated domain";
        return "refused: the backend servers left are cold and have got their share";
    }
    if (reason == "no_room") return "refused: too few shards have a backend server with room";
    if (reason == "quarantined") return "refused: the request has crashed backend servers";
    if (reason == "on_trial") return "refused: the request is being tried at one backend server, after others crashed";
    if (reason == "crashed_servers") return "failed: backend servers crash under the request";
    if (reason == "caller_gone") return "caller left before the answer";
    if (reason == "deadline") return "deadline: " + describe_failure(failure);
    if (reason == "too_few_shards") return "too few shards: " + describe_failure(failure);
    if (reason == "failed") return "failed: " + describe_failure(failure);
    if (reason == "stopping") return "cut short by the end of a planned stop";
    return "unknown";
}

std::map<std::string, cause_count> count_by_cause(std::vector<log_record> const& records)
{
    std::map<std::string, cause_count> causes;
    for (auto const& record : records) {
        if (record.fields.value("event", "") != "request") continue;
        auto const cause = cause_of(record.fields);
        if (cause.empty()) continue;
        auto& count = causes[cause];
        if (count.requests++ == 0) count.example_id = record.fields.value("id", "");
    }
    return causes;
}

bool write_trace(std::vector<log_record> const& records, std::string const& id, std::ostream& out)
{
    bool found = false;
    for (auto const& record : records) {
        if (record.fields.value("event", "") != "request" || record.fields.value("id", "") != id) continue;
        found = true;
        double const took_s = record.fields.value("ms", 0.0) / 1000;
        double const arrived_s = record.at_s - took_s;
        auto const cause = cause_of(record.fields);
        out << "request " << id << " at " << record.source << ": status " << record.fields.value("status", 0) << ", "
            << (cause.empty() ? "served" : cause) << "\n";
        explain_rejection(record.fields, out);
        for (auto const& event : records) {
            bool const in_window = event.at_s >= arrived_s - context_s && event.at_s <= record.at_s;
            if (in_window && is_relevant(event, record)) write_line(event, arrived_s, out);
        }
        write_line(record, arrived_s, out);
    }
    return found;
}

} // namespace cornelspring
