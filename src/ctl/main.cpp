/** @file main.cpp cornel-ctl: operators' command-line tool for services, backend servers and routes. */
#include <cornelspring/coordination.hpp>

#include <iostream>

namespace cornelspring {
namespace {

/** Settings of cornel-ctl. */
std::vector<setting_def> const ctl_settings = {
    {"store.address", setting_type::text, setting_value{std::string("127.0.0.1:2379")}, 0, 0,
     "address of the platform store, as host:port"},
    {"store.timeout_ms", setting_type::integer, setting_value{std::int64_t{3000}}, 10, 60000,
     "timeout of a request to the store, in milliseconds"},
    {"watch.max_events", setting_type::integer, setting_value{std::int64_t{0}}, 0, 1e9,
     "number of events after which 'watch' stops (0: no limit)"},
    {"watch.max_seconds", setting_type::integer, setting_value{std::int64_t{0}}, 0, 1e9,
     "time after which 'watch' stops, in seconds (0: no limit)"},
};

/** Usage text of the commands. */
constexpr char const* usage = "commands:\n"
                              "  apply FILE            create or update the resources in FILE (.toml or .json)\n"
                              "  get KIND NAME         print one resource with its revision\n"
                              "  list KIND             print every resource of a kind\n"
                              "  delete KIND NAME [REV] delete a resource (only at revision REV, when given)\n"
                              "  watch [KIND]          print changes as JSON lines\n"
                              "KIND is service, backend or route.\n";

/** @return @p value as JSON text. Bytes that are not UTF-8, which other programs may have stored, are replaced. */
std::string to_text(nlohmann::json const& value, int indent = -1)
{
    return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** @return the JSON to print for the stored resource @p kv. */
nlohmann::json resource_json(key_value const& kv)
{
    nlohmann::json body;
    try {
        body = checked::parse(kv.value, checked::encoding::json);
    } catch (error const&) {
        // Printed as it is below.
    }
    if (!body.is_object()) body = {{"raw", kv.value}};
    body["revision"] = kv.mod_revision;
    return body;
}

/** @return argument @p index. @param what its name in the error message. @throw error bad_request if it is missing. */
std::string const& argument(std::vector<std::string> const& args, std::size_t index, char const* what)
{
    if (args.size() <= index) {
        throw error(error_kind::bad_request, std::string("missing ") + what + ".", std::string("Usage:\n") + usage);
    }
    return args[index];
}

/** Applies all resources in the file at @p path, each by compare-and-swap on its revision. @return exit code. */
int apply(store_client& store, std::string const& path)
{
    auto const resources = parse_resource_file(read_file(path), path);
    for (auto const& item : resources) {
        std::string const key = resource_key(item.kind, item.name);
        std::int64_t expected = item.revision;
        if (expected == 0) expected = store.get(key).first.value_or(key_value{}).mod_revision;
        if (expected < 0) expected = 0;
        auto const result = store.compare_and_swap(key, expected, resource_to_json(item).dump());
        std::string const label = to_string(item.kind) + "/" + item.name;
        if (!result.succeeded) {
            throw error(error_kind::conflict,
                        label + " was changed by another client (expected revision " + std::to_string(expected) + ").",
                        "Run 'cornel-ctl get " + to_string(item.kind) + " " + item.name +
                            "', merge the change, and apply again.");
        }
        std::cout << label << " applied at revision " << result.revision << "\n";
    }
    return 0;
}

/** Prints one resource. @return exit code. */
int get(store_client& store, resource_kind kind, std::string const& name)
{
    auto const [found, revision] = store.get(resource_key(kind, name));
    if (!found) {
        throw error(error_kind::not_found, to_string(kind) + "/" + name + " does not exist.",
                    "Run 'cornel-ctl list " + to_string(kind) + "' to see what exists.");
    }
    std::cout << to_text(resource_json(*found), 2) << "\n";
    return 0;
}

/** Prints all resources of a kind. @return exit code. */
int list(store_client& store, resource_kind kind)
{
    auto const read = store.range_prefix(std::string(resource_prefix) + to_string(kind) + "/");
    for (auto const& kv : read.kvs)
        std::cout << to_text(resource_json(kv)) << "\n";
    return 0;
}

/** Deletes a resource. @param revision only at this revision; 0: at its current one. @return exit code. */
int remove(store_client& store, resource_kind kind, std::string const& name, std::int64_t revision)
{
    std::string const key = resource_key(kind, name);
    std::int64_t expected = revision;
    if (expected == 0) {
        auto const found = store.get(key).first;
        if (!found) {
            throw error(error_kind::not_found, to_string(kind) + "/" + name + " does not exist.", "Check the name.");
        }
        expected = found->mod_revision;
    }
    txn_request request;
    request.compares.push_back({key, compare_target::mod_revision, expected, ""});
    request.success.push_back({txn_op::kind::remove, key, "", "", 0});
    if (!store.txn(request).succeeded) {
        throw error(error_kind::conflict,
                    to_string(kind) + "/" + name + " is not at revision " + std::to_string(expected) + ".",
                    "Run 'cornel-ctl get' again and delete the resource at its current revision.");
    }
    std::cout << to_string(kind) << "/" << name << " deleted\n";
    return 0;
}

/** Prints changes of the keys under @p prefix as JSON lines, until a limit in @p config is reached. @return exit
 *  code. */
int watch(store_client& store, std::string const& prefix, settings const& config)
{
    auto const max_events = config.integer("watch.max_events");
    auto const max_seconds = config.integer("watch.max_seconds");
    auto const until = clock::now() + std::chrono::seconds(max_seconds > 0 ? max_seconds : 1000000000);
    auto const first = store.range_prefix(prefix);
    std::int64_t after = first.revision;
    auto cluster = first.cluster;
    std::int64_t printed = 0;
    while (clock::now() < until && (max_events == 0 || printed < max_events)) {
        auto const batch = store.watch_prefix(prefix, after, milliseconds(1000));
        if (batch.cluster != cluster) {
            // The store was restored from an older copy. Changes that it lost produce no events, so the consumer of
            // these lines must read all resources again.
            std::cout << nlohmann::json{{"type", "RESTORED"}, {"revision", batch.revision}}.dump() << std::endl;
            cluster = batch.cluster;
            after = batch.revision;
            continue;
        }
        for (auto const& event : batch.events) {
            nlohmann::json line{{"type", event.is_delete ? "DELETE" : "PUT"},
                                {"key", event.kv.key},
                                {"revision", event.kv.mod_revision}};
            if (!event.is_delete) line["resource"] = resource_json(event.kv);
            std::cout << to_text(line) << std::endl;
            after = std::max(after, event.kv.mod_revision);
            if (max_events != 0 && ++printed >= max_events) break;
        }
    }
    return 0;
}

/** Runs one command. @return exit code. */
int run(settings const& config, std::vector<std::string> const& args)
{
    std::string const& command = argument(args, 0, "command");
    h2_client client;
    store_client store(client, parse_endpoint(config.text("store.address")),
                       milliseconds(config.integer("store.timeout_ms")));
    if (command == "apply") return apply(store, argument(args, 1, "FILE"));
    if (command == "get") return get(store, parse_kind(argument(args, 1, "KIND")), argument(args, 2, "NAME"));
    if (command == "list") return list(store, parse_kind(argument(args, 1, "KIND")));
    if (command == "delete") {
        std::int64_t const revision = args.size() > 3 ? std::stoll(args[3]) : 0;
        return remove(store, parse_kind(argument(args, 1, "KIND")), argument(args, 2, "NAME"), revision);
    }
    if (command == "watch") {
        std::string prefix = resource_prefix;
        if (args.size() > 1) prefix += to_string(parse_kind(args[1])) + "/";
        return watch(store, prefix, config);
    }
    throw error(error_kind::bad_request, "unknown command '" + command + "'.", std::string("Usage:\n") + usage);
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    using namespace cornelspring;
    return run_program({"cornel-ctl", "operator command line", ctl_settings}, argc, argv, run);
}
