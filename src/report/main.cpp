/** @file main.cpp cornel-report: renders the service-level burn report from load results. */
#include "report.hpp"

#include <cornelspring/base.hpp>

#include <iostream>

namespace cornelspring {
namespace {

/** Settings of cornel-report. */
std::vector<setting_def> const report_settings = {
    {"output", setting_type::text, setting_value{std::string("report.html")}, 0, 0, "file that receives the page"},
};

/** Renders the page. */
int run(int argc, char const** argv)
{
    auto const options = parse_command_line("cornel-report", "service-level burn report: cornel-report RESULTS.json...",
                                            argc, argv, report_settings);
    if (options.exit_now) return 0;
    init_logging("cornel-report", options.log_level);
    auto const config = load_settings_file(options, report_settings);
    if (options.args.empty()) {
        throw error(error_kind::bad_settings, "no results file is given.", "Run 'cornel-report RESULTS.json'.");
    }
    std::vector<nlohmann::json> results;
    for (auto const& path : options.args) {
        results.push_back(nlohmann::json::parse(read_file(path), nullptr, false));
        if (results.back().is_discarded()) {
            throw error(error_kind::bad_request, path + " is not JSON.", "Give a file written by cornel-load.");
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
    try {
        return cornelspring::run(argc, argv);
    } catch (std::exception const& failure) {
        std::cerr << "cornel-report: " << failure.what() << "\n";
        return 2;
    }
}
