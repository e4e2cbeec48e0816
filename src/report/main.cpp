/** @file main.cpp cornel-report: renders the error-budget burn report from the results of load runs. */
#include "report.hpp"

#include <cornelspring/base.hpp>

#include <iostream>

namespace cornelspring {
namespace {

/** Settings of cornel-report. */
std::vector<setting_def> const report_settings = {
    {"output", setting_type::text, setting_value{std::string("report.html")}, 0, 0, "file to write the HTML page to"},
};

/** Renders the results files in @p args as one page. @return exit code. */
int run(settings const& config, std::vector<std::string> const& args)
{
    if (args.empty()) {
        throw error(error_kind::bad_settings, "no results file given.", "Run 'cornel-report RESULTS.json'.");
    }
    std::vector<nlohmann::json> results;
    for (auto const& path : args) {
        results.push_back(nlohmann::json::parse(read_file(path), nullptr, false));
        if (results.back().is_discarded()) {
            throw error(error_kind::bad_request, path + " is not JSON.", "Give a results file written by cornel-load.");
        }
    }
    write_file_atomic(config.text("output"), render_report(results));
    std::cout << "wrote " << config.text("output") << "\n";
    return 0;
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    using namespace cornelspring;
    return run_program({"cornel-report", "service-level burn report: cornel-report RESULTS.json...", report_settings},
                       argc, argv, run);
}
