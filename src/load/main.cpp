/** @file main.cpp cornel-load: sends a scenario's requests in an open loop, or runs an emulated deployment, and writes
 * the results as JSON. */
#include "load_run.hpp"

#include <cornelspring/emulator.hpp>

#include <iostream>

namespace cornelspring {
namespace {

/** Settings of cornel-load. */
std::vector<setting_def> const load_settings_table = {
    {"results", setting_type::text, setting_value{std::string("results.json")}, 0, 0, "file to write the results to"},
};

/** Runs the emulated deployment in the file at @p path and writes its results. @return exit code. */
int run_emulation(settings const& config, std::string const& path)
{
    auto const result = emulate(parse_deployment(read_file(path), path));
    write_file_atomic(config.text("results"), to_json(result).dump(1) + "\n");
    std::cout << "earned " << result.earned_share() << ", attempts " << result.attempts
              << ", of them to another region " << result.other_region << ", shed " << result.shed << "\n";
    for (auto const& kind : result.kinds) {
        std::cout << kind.name << ": asked " << kind.asked << ", in goal " << kind.in_goal << ", late " << kind.late
                  << ", refused " << kind.refused << ", failed " << kind.failed << ", earned "
                  << kind.earned / std::max(kind.owed, 1e-9) << "\n";
    }
    return 0;
}

/** Runs one scenario or emulated deployment. @return exit code. */
int run(settings const& config, std::vector<std::string> const& args)
{
    if (args.size() == 2 && args.front() == "emulate") return run_emulation(config, args.back());
    if (args.size() != 1) {
        throw error(error_kind::bad_settings,
                    "cornel-load takes one scenario file, or 'emulate' and a deployment file.",
                    "Run 'cornel-load --set results=\"out.json\" [emulate] FILE.toml'.");
    }
    std::string const& path = args.front();
    load_run load(parse_scenario(read_file(path), path));
    auto const results = load.run();
    write_file_atomic(config.text("results"), results.dump(1) + "\n");
    auto const& total = results["total"];
    std::cout << results["scenario"].get<std::string>() << ": " << total["requests"] << " requests, served "
              << total["served"] << ", p50 " << total["p50_ms"] << " ms, p99 " << total["p99_ms"] << " ms, p99.9 "
              << total["p999_ms"] << " ms, coverage " << total["coverage_mean"] << ", extra back-end requests "
              << results["backend_requests"]["extra_share"] << "\n";
    return 0;
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    using namespace cornelspring;
    return run_program(
        {"cornel-load", "load and experiment tool: cornel-load [emulate] FILE.toml", load_settings_table}, argc, argv,
        run);
}
