/** @file deployment_file.cpp Parses emulated deployments from TOML and writes results as JSON. */
#include <cornelspring/emulator.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

using nlohmann::json;

/** A numeric key of a table, with its target and range. */
template <class T> struct number_field {
    char const* key;  ///< Key.
    T* target;        ///< Variable that receives the value.
    double min_value; ///< Minimum.
    double max_value; ///< Maximum.
};

/** Reads the numbers in @p fields from @p table and adds their keys to @p known. @throw error bad_settings. */
template <class T>
void read_numbers(json const& table, std::vector<number_field<T>> const& fields, std::set<std::string>& known)
{
    for (auto const& field : fields) {
        known.insert(field.key);
        if (!table.contains(field.key)) continue;
        auto const& value = table[field.key];
        if (!value.is_number() || value.template get<double>() < field.min_value ||
            value.template get<double>() > field.max_value) {
            throw error(error_kind::bad_settings,
                        std::string("'") + field.key + "' is not a number in the allowed range.",
                        "Use a number from " + std::to_string(field.min_value) + " to " +
                            std::to_string(field.max_value) + ".");
        }
        *field.target = value.template get<T>();
    }
}

/** Rejects keys of @p table that are not in @p known. @throw error bad_settings. */
void reject_unknown_keys(json const& table, std::set<std::string> const& known, std::string const& where)
{
    for (auto const& [key, value] : table.items()) {
        if (known.contains(key)) continue;
        throw error(error_kind::bad_settings, "unknown key '" + key + "' in " + where + ".",
                    "See docs/design/emulator.md for the keys.");
    }
}

/** @return a kind of request, from its [[kind]] table. */
emulated_kind parse_kind(json const& table)
{
    emulated_kind kind;
    std::set<std::string> known{"name"};
    kind.name = table.value("name", "kind");
    read_numbers<double>(table,
                         {{"per_second", &kind.per_second, 0.001, 1e6},
                          {"work_ms", &kind.work_ms, 0.001, 1e5},
                          {"work_spread", &kind.work_spread, 0, 5},
                          {"tail_share", &kind.tail_share, 0, 1},
                          {"tail_factor", &kind.tail_factor, 1, 100},
                          {"worth", &kind.worth, 0, 1e6},
                          {"late_worth", &kind.late_worth, 0, 1},
                          {"repeat_share", &kind.repeat_share, 0, 1},
                          {"min_coverage", &kind.min_coverage, 0, 1}},
                         known);
    read_numbers<int>(table,
                      {{"goal_ms", &kind.goal_ms, 1, 1e6},
                       {"deadline_ms", &kind.deadline_ms, 1, 1e6},
                       {"priority", &kind.priority, 0, 100},
                       {"retries", &kind.retries, 0, 100},
                       {"repeat_tries", &kind.repeat_tries, 0, 100}},
                      known);
    reject_unknown_keys(table, known, "[[kind]]");
    return kind;
}

/** @return a fault, from its [[fault]] table. */
emulated_fault parse_fault(json const& table)
{
    emulated_fault fault;
    std::set<std::string> known{"kind", "scattered"};
    fault.kind = table.value("kind", "");
    fault.scattered = table.value("scattered", false);
    std::set<std::string> const kinds{"burst", "slow", "dark", "crash", "restart", "crashing_request"};
    if (!kinds.contains(fault.kind)) {
        throw error(error_kind::bad_settings, "unknown kind of fault '" + fault.kind + "'.",
                    "Use burst, slow, dark, crash, restart or crashing_request.");
    }
    read_numbers<double>(table,
                         {{"at_s", &fault.at_s, 0, 1e6},
                          {"for_s", &fault.for_s, 0, 1e6},
                          {"x", &fault.x, 0.01, 1e4},
                          {"share", &fault.share, 0, 1}},
                         known);
    reject_unknown_keys(table, known, "[[fault]]");
    return fault;
}

} // namespace

emulated_deployment parse_deployment(std::string const& toml_text, std::string const& source)
{
    auto const table = toml_to_json(toml_text, source, error_kind::bad_settings);
    emulated_deployment deployment;
    std::set<std::string> known{"kind", "fault", "without"};
    int seed = 1;
    read_numbers<int>(table,
                      {{"vms", &deployment.vms, 1, 500},
                       {"regions", &deployment.regions, 1, 20},
                       {"shards", &deployment.shards, 1, 1000},
                       {"replicas", &deployment.replicas, 1, 10},
                       {"slots", &deployment.slots, 1, 1000},
                       {"queue", &deployment.queue, 0, 10000},
                       {"max_connections", &deployment.max_connections, 1, 100000},
                       {"seed", &seed, 0, 1e9}},
                      known);
    read_numbers<double>(table,
                         {{"region_ms", &deployment.region_ms, 0, 1000},
                          {"local_ms", &deployment.local_ms, 0, 1000},
                          {"pause_ms", &deployment.pause_ms, 0, 60000},
                          {"pause_every_s", &deployment.pause_every_s, 0, 3600},
                          {"told_ms", &deployment.told_ms, 0, 60000},
                          {"demand_ms", &deployment.demand_ms, 0, 60000},
                          {"down_s", &deployment.down_s, 0, 3600},
                          {"retry_ratio", &deployment.options.budget.ratio, 0, 10},
                          {"retry_slack", &deployment.options.budget.slack, 0, 1e6},
                          {"seconds", &deployment.seconds, 1, 3600}},
                         known);
    reject_unknown_keys(table, known, source);
    deployment.seed = static_cast<std::uint64_t>(seed);
    for (auto const& feature : table.value("without", json::array()))
        disable_feature(deployment.options, feature.get<std::string>());
    for (auto const& kind : table.value("kind", json::array()))
        deployment.kinds.push_back(parse_kind(kind));
    for (auto const& fault : table.value("fault", json::array()))
        deployment.faults.push_back(parse_fault(fault));
    if (deployment.kinds.empty()) {
        throw error(error_kind::bad_settings, source + " defines no kind of request.", "Add at least one [[kind]].");
    }
    return deployment;
}

json to_json(emulation_result const& result)
{
    json kinds = json::array();
    for (auto const& kind : result.kinds) {
        auto sorted = kind.latency_ms;
        std::sort(sorted.begin(), sorted.end());
        auto const percentile = [&sorted](double share) {
            return sorted.empty() ? 0.0
                                  : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        kinds.push_back({{"name", kind.name},
                         {"asked", kind.asked},
                         {"in_goal", kind.in_goal},
                         {"late", kind.late},
                         {"refused", kind.refused},
                         {"failed", kind.failed},
                         {"earned", kind.earned},
                         {"owed", kind.owed},
                         {"p50_ms", percentile(0.5)},
                         {"p90_ms", percentile(0.9)},
                         {"p99_ms", percentile(0.99)}});
    }
    return {{"earned_share", result.earned_share()},     {"attempts", result.attempts},
            {"other_region", result.other_region},       {"shed", result.shed},
            {"servers_crashed", result.servers_crashed}, {"crashing_repeats", result.crashing_repeats},
            {"share_by_second", result.share_by_second}, {"kinds", kinds}};
}

} // namespace cornelspring
