/** @file main.cpp cornel-load: sends a scenario's requests in an open loop and writes what came of them as JSON. */
#include "load_run.hpp"

#include <iostream>

namespace cornelspring {
namespace {

/** Settings of cornel-load. */
std::vector<setting_def> const load_settings_table = {
    {"results", setting_type::text, setting_value{std::string("results.json")}, 0, 0, "file that receives the results"},
};

/** Runs one scenario. */
int run(settings const& config, std::vector<std::string> const& args)
{
    if (args.size() != 1) {
        throw error(error_kind::bad_settings, "cornel-load takes one scenario file.",
                    "Run 'cornel-load --set results=\"out.json\" SCENARIO.toml'.");
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
    return run_program({"cornel-load", "load and experiment tool: cornel-load SCENARIO.toml", load_settings_table},
                       argc, argv, run);
}
