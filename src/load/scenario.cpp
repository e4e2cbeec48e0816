/** @file scenario.cpp Parses and validates load scenarios. */
#include "scenario.hpp"

#include <algorithm>
#include <set>

namespace cornelspring {
namespace {

/** Throws a bad_settings error about @p key. */
[[noreturn]] void reject(std::string const& source, std::string const& key, std::string const& rule)
{
    throw error(error_kind::bad_settings, source + ": '" + key + "' " + rule + ".",
                "Correct '" + key + "'; docs/operators/load.md lists the keys of a scenario.");
}

/** Rejects keys of @p table that are not in @p allowed. */
void reject_unknown_keys(nlohmann::json const& table, std::set<std::string> const& allowed, std::string const& source)
{
    for (auto const& [key, value] : table.items()) {
        if (allowed.count(key) == 0) reject(source, key, "is not a key of a scenario");
    }
}

/** @return the value of @p key in @p table as T, or @p fallback if the key is missing. */
template <class T> T read(nlohmann::json const& table, std::string const& key, T fallback, std::string const& source)
{
    if (!table.contains(key)) return fallback;
    try {
        return table[key].get<T>();
    } catch (nlohmann::json::exception const&) {
        reject(source, key, "has the wrong type");
    }
}

/** @return the address in @p text. Only loopback is allowed, so that load and faults stay on this host. */
endpoint loopback_endpoint(std::string const& text, std::string const& source)
{
    auto const address = parse_endpoint(text);
    bool const loopback = address.host.compare(0, 4, "127.") == 0 || address.host == "::1";
    if (!loopback) reject(source, text, "is not a loopback address");
    return address;
}

/** @return the addresses in the list at @p key of @p table. */
std::vector<endpoint> endpoints(nlohmann::json const& table, std::string const& key, std::string const& source)
{
    std::vector<endpoint> out;
    for (auto const& text : read<std::vector<std::string>>(table, key, {}, source))
        out.push_back(loopback_endpoint(text, source));
    return out;
}

caller_group parse_caller_group(nlohmann::json const& in, std::string const& source)
{
    reject_unknown_keys(
        in,
        {"customer", "school", "window", "service", "rate", "write_share", "deadline_ms", "objective", "vocabulary"},
        source);
    caller_group out;
    out.customer = read<std::string>(in, "customer", "", source);
    out.school = read<std::string>(in, "school", "", source);
    out.window = read<std::string>(in, "window", "", source);
    out.service = read<std::string>(in, "service", "", source);
    out.rate = read<double>(in, "rate", out.rate, source);
    out.write_share = read<double>(in, "write_share", 0.0, source);
    out.deadline_ms = read<std::int64_t>(in, "deadline_ms", out.deadline_ms, source);
    out.objective = read<double>(in, "objective", out.objective, source);
    out.vocabulary = read<std::vector<std::string>>(in, "vocabulary", {"sea", "love", "war", "court", "time"}, source);
    if (out.service.empty()) reject(source, "caller.service", "is required");
    if (out.rate <= 0) reject(source, "caller.rate", "must be above 0 requests a second");
    if (out.objective <= 0 || out.objective >= 1) reject(source, "caller.objective", "must lie between 0 and 1");
    if (out.vocabulary.empty()) reject(source, "caller.vocabulary", "must hold a word");
    return out;
}

fault_event parse_fault_event(nlohmann::json const& in, std::string const& source)
{
    reject_unknown_keys(in, {"at_s", "target", "body"}, source);
    fault_event out;
    out.at_s = read<double>(in, "at_s", 0.0, source);
    out.target = loopback_endpoint(read<std::string>(in, "target", "", source), source);
    out.body = in.value("body", nlohmann::json::object());
    if (!out.body.is_object()) reject(source, "fault.body", "must be a table");
    return out;
}

} // namespace

scenario parse_scenario(std::string const& text, std::string const& source)
{
    auto const document = toml_to_json(text, source, error_kind::bad_settings);
    reject_unknown_keys(document, {"name", "seed", "duration_s", "warmup_s", "entries", "backends", "caller", "fault"},
                        source);
    scenario out;
    out.name = read<std::string>(document, "name", source, source);
    out.seed = read<std::uint64_t>(document, "seed", 1, source);
    out.duration_s = read<double>(document, "duration_s", out.duration_s, source);
    out.warmup_s = read<double>(document, "warmup_s", out.warmup_s, source);
    out.entries = endpoints(document, "entries", source);
    out.backends = endpoints(document, "backends", source);
    for (auto const& item : document.value("caller", nlohmann::json::array()))
        out.callers.push_back(parse_caller_group(item, source));
    for (auto const& item : document.value("fault", nlohmann::json::array()))
        out.faults.push_back(parse_fault_event(item, source));
    std::sort(out.faults.begin(), out.faults.end(), [](auto const& a, auto const& b) { return a.at_s < b.at_s; });
    if (out.entries.empty()) reject(source, "entries", "must list at least one entry node");
    if (out.callers.empty()) reject(source, "caller", "must be given at least once ([[caller]])");
    if (out.duration_s <= 0 || out.duration_s > max_duration_s) reject(source, "duration_s", "must be from 0 to 600");
    double total = 0;
    for (auto const& group : out.callers)
        total += group.rate * out.duration_s;
    if (total > static_cast<double>(max_requests))
        reject(source, "caller.rate", "asks for more than 2,000,000 requests");
    return out;
}

} // namespace cornelspring
