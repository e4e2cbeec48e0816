/** @file resources.cpp Reads, validates and encodes declared resources. */
#include <cornelspring/state.hpp>

#include <algorithm>
#include <set>

namespace cornelspring {
namespace {

/** Longest resource name. */
constexpr std::size_t max_name_length = 64;
/** Most shards a service may have. */
constexpr std::int32_t max_shards = 4096;

/** Throws a bad_request error that names @p where and the violated @p rule. */
[[noreturn]] void reject(std::string const& where, std::string const& rule)
{
    throw error(error_kind::bad_request, where + " " + rule + ".", "Correct the resource and apply it again.");
}

/** Rejects fields of @p spec that are not in @p allowed. */
void reject_unknown_fields(nlohmann::json const& spec, std::set<std::string> const& allowed, std::string const& where)
{
    if (!spec.is_object()) reject(where, "spec must be an object");
    for (auto const& [key, value] : spec.items()) {
        if (allowed.count(key) == 0) reject(where + " field '" + key + "'", "is unknown");
    }
}

/** @return the field @p key of @p spec as T, or @p fallback when absent. */
template <class T> T field(nlohmann::json const& spec, std::string const& key, T fallback, std::string const& where)
{
    if (!spec.contains(key)) return fallback;
    try {
        return spec[key].get<T>();
    } catch (nlohmann::json::exception const&) {
        reject(where + " field '" + key + "'", "has the wrong type");
    }
}

/** @return the field @p key, which must be present. */
template <class T> T required(nlohmann::json const& spec, std::string const& key, std::string const& where)
{
    if (!spec.contains(key)) reject(where + " field '" + key + "'", "is required");
    return field<T>(spec, key, T{}, where);
}

/** Rejects an invalid name. */
void check_name(std::string const& name, std::string const& where)
{
    bool const valid =
        !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), [](char c) {
            return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
        });
    if (!valid) reject(where, "name must be 1 to 64 letters, digits, '-', '_' or '.'");
}

service_spec parse_service(nlohmann::json const& spec, std::string const& where)
{
    reject_unknown_fields(spec, {"customer", "shards", "index_version"}, where);
    service_spec out;
    out.customer = field<std::string>(spec, "customer", "", where);
    out.shards = required<std::int32_t>(spec, "shards", where);
    out.index_version = field<std::int64_t>(spec, "index_version", 1, where);
    if (out.shards < 1 || out.shards > max_shards) reject(where + " field 'shards'", "must be from 1 to 4096");
    if (out.index_version < 1) reject(where + " field 'index_version'", "must be at least 1");
    return out;
}

/** Rejects an empty shard list and shard numbers out of range. */
void check_shards(std::vector<std::int32_t> const& shards, std::string const& where)
{
    if (shards.empty()) reject(where + " field 'shards'", "must list at least one shard");
    for (auto shard : shards) {
        if (shard < 0 || shard >= max_shards) reject(where + " field 'shards'", "must hold numbers from 0 to 4095");
    }
}

/**
 * Reads which shards a backend server holds: either 'shards' with 'index_versions' (the same shards at each version),
 * or 'holdings', a list of {index_version, shards}, for versions split into different sets of shards.
 */
std::vector<holding> parse_holdings(nlohmann::json const& spec, std::string const& where)
{
    std::vector<holding> out;
    if (!spec.contains("holdings")) {
        auto const shards = required<std::vector<std::int32_t>>(spec, "shards", where);
        for (auto version : field<std::vector<std::int64_t>>(spec, "index_versions", {1}, where))
            out.push_back({version, shards});
    } else {
        if (spec.contains("shards") || spec.contains("index_versions")) {
            reject(where + " field 'holdings'", "cannot be combined with 'shards' and 'index_versions'; use one form");
        }
        if (!spec["holdings"].is_array()) reject(where + " field 'holdings'", "must be a list");
        for (auto const& item : spec["holdings"]) {
            reject_unknown_fields(item, {"index_version", "shards"}, where + " holding");
            out.push_back({required<std::int64_t>(item, "index_version", where),
                           required<std::vector<std::int32_t>>(item, "shards", where)});
        }
    }
    if (out.empty()) reject(where, "must hold at least one index version");
    for (auto const& item : out)
        check_shards(item.shards, where);
    return out;
}

backend_spec parse_backend(nlohmann::json const& spec, std::string const& where)
{
    reject_unknown_fields(spec,
                          {"address", "service", "failure_domain", "shards", "index_versions", "holdings", "slots",
                           "connections", "draining"},
                          where);
    backend_spec out;
    out.address = required<std::string>(spec, "address", where);
    out.service = required<std::string>(spec, "service", where);
    out.failure_domain = field<std::string>(spec, "failure_domain", "", where);
    out.holdings = parse_holdings(spec, where);
    out.slots = field<std::int32_t>(spec, "slots", 2, where);
    out.connections = field<std::int32_t>(spec, "connections", 25, where);
    out.draining = field<bool>(spec, "draining", false, where);
    try {
        parse_endpoint(out.address);
    } catch (error const&) {
        reject(where + " field 'address'", "must be host:port");
    }
    if (out.slots < 1) reject(where + " field 'slots'", "must be at least 1");
    if (out.connections < 1) reject(where + " field 'connections'", "must be at least 1");
    return out;
}

route_spec parse_route(nlohmann::json const& spec, std::string const& where)
{
    reject_unknown_fields(spec, {"customer", "service"}, where);
    return {required<std::string>(spec, "customer", where), required<std::string>(spec, "service", where)};
}

/** @return the JSON of a spec. */
nlohmann::json spec_json(resource const& value)
{
    if (auto const* s = std::get_if<service_spec>(&value.spec)) {
        return {{"customer", s->customer}, {"shards", s->shards}, {"index_version", s->index_version}};
    }
    if (auto const* b = std::get_if<backend_spec>(&value.spec)) {
        auto holdings = nlohmann::json::array();
        for (auto const& item : b->holdings)
            holdings.push_back({{"index_version", item.index_version}, {"shards", item.shards}});
        return {{"address", b->address},  {"service", b->service}, {"failure_domain", b->failure_domain},
                {"holdings", holdings},   {"slots", b->slots},     {"connections", b->connections},
                {"draining", b->draining}};
    }
    auto const& r = std::get<route_spec>(value.spec);
    return {{"customer", r.customer}, {"service", r.service}};
}

} // namespace

std::string to_string(resource_kind kind)
{
    switch (kind) {
    case resource_kind::service: return "service";
    case resource_kind::backend: return "backend";
    case resource_kind::route: return "route";
    }
    return "service";
}

resource_kind parse_kind(std::string const& name)
{
    if (name == "service" || name == "services") return resource_kind::service;
    if (name == "backend" || name == "backends") return resource_kind::backend;
    if (name == "route" || name == "routes") return resource_kind::route;
    throw error(error_kind::bad_request, "resource kind '" + name + "' is unknown.", "Use service, backend or route.");
}

std::string resource_key(resource_kind kind, std::string const& name)
{
    return std::string(resource_prefix) + to_string(kind) + "/" + name;
}

nlohmann::json resource_to_json(resource const& value)
{
    return {{"kind", to_string(value.kind)}, {"name", value.name}, {"spec", spec_json(value)}};
}

resource resource_from_json(nlohmann::json const& in)
{
    if (!in.is_object()) reject("a resource", "must be an object");
    resource out;
    out.kind = parse_kind(field<std::string>(in, "kind", "", "resource"));
    out.name = field<std::string>(in, "name", "", "resource");
    std::string const where = to_string(out.kind) + " '" + out.name + "'";
    check_name(out.name, where);
    out.revision = field<std::int64_t>(in, "revision", 0, where);
    auto const spec = in.value("spec", nlohmann::json::object());
    switch (out.kind) {
    case resource_kind::service: out.spec = parse_service(spec, where); break;
    case resource_kind::backend: out.spec = parse_backend(spec, where); break;
    case resource_kind::route: out.spec = parse_route(spec, where); break;
    }
    return out;
}

std::vector<resource> parse_resource_file(std::string const& text, std::string const& source)
{
    nlohmann::json list = nlohmann::json::array();
    bool const is_json = source.size() >= 5 && source.substr(source.size() - 5) == ".json";
    if (is_json) {
        auto const document = nlohmann::json::parse(text, nullptr, false);
        if (document.is_discarded()) reject(source, "is not valid JSON");
        list = document.is_array() ? document : document.value("resources", nlohmann::json::array());
    } else {
        auto const document = toml_to_json(text, source, error_kind::bad_request);
        for (auto const& [kind, items] : document.items())
            parse_kind(kind);
        for (std::string const kind : {"service", "backend", "route"}) {
            if (!document.contains(kind)) continue;
            auto const& items = document[kind];
            if (!items.is_array())
                reject(source + " key '" + kind + "'", "must be an array of tables ([[" + kind + "]])");
            for (auto item : items) {
                nlohmann::json entry{{"kind", kind}, {"name", item.value("name", std::string{})}};
                if (item.contains("revision")) entry["revision"] = item["revision"];
                item.erase("name");
                item.erase("revision");
                entry["spec"] = item;
                list.push_back(entry);
            }
        }
    }
    std::vector<resource> resources;
    for (auto const& item : list)
        resources.push_back(resource_from_json(item));
    return resources;
}

void config_snapshot::build_routing()
{
    routing.clear();
    for (auto const& [name, spec] : backends) {
        if (spec.draining) continue;
        replica const entry{name, parse_endpoint(spec.address), spec.failure_domain, spec.slots};
        for (auto const& held : spec.holdings) {
            auto& shards = routing[{spec.service, held.index_version}];
            for (auto shard : held.shards) {
                auto const index = static_cast<std::size_t>(shard);
                if (shards.size() <= index) shards.resize(index + 1);
                shards[index].push_back(entry);
            }
        }
    }
}

std::vector<replica> const& config_snapshot::replicas(std::string const& service, std::int32_t shard,
                                                      std::int64_t version) const
{
    static std::vector<replica> const no_replicas;
    auto const found = routing.find({service, version});
    if (found == routing.end() || shard < 0) return no_replicas;
    auto const index = static_cast<std::size_t>(shard);
    return index < found->second.size() ? found->second[index] : no_replicas;
}

} // namespace cornelspring
