/** @file main.cpp cornel-trace: finds the cause of a failed request, given its id, in the gateways' logs. */
#include "trace.hpp"

#include <cornelspring/base.hpp>

#include <fstream>
#include <iostream>

namespace cornelspring {
namespace {

/** Settings of cornel-trace. */
std::vector<setting_def> const trace_settings = {
    {"id", setting_type::text, setting_value{std::string()}, 0, 0,
     "id of the request to trace; if empty, a summary of all failed requests is printed"},
};

/** Reads the log @p files, or standard input if there are none, and prints the trace or the summary. @return exit
 *  code. */
int run(settings const& config, std::vector<std::string> const& files)
{
    std::vector<log_record> records;
    if (files.empty()) read_log(std::cin, "-", records);
    for (auto const& file : files) {
        std::ifstream in(file);
        if (!in) throw error(error_kind::not_found, "cannot read log file '" + file + "'.", "Check the path.");
        read_log(in, file, records);
    }
    auto const& id = config.text("id");
    if (!id.empty()) {
        if (write_trace(records, id, std::cout)) return 0;
        throw error(error_kind::not_found, "no record of request '" + id + "'.",
                    "Give the logs of all gateways. Under load, gateways leave out some successful requests (log field "
                    "'left_out').");
    }
    for (auto const& [cause, count] : count_by_cause(records)) {
        std::cout << count.requests << "\t" << cause << "\t(for example " << count.example_id << ")\n";
    }
    return 0;
}

} // namespace
} // namespace cornelspring

int main(int argc, char const** argv)
{
    using namespace cornelspring;
    return run_program(
        {"cornel-trace", "reads gateway logs: cornel-trace [--set id='\"ID\"'] [FILE...]", trace_settings}, argc, argv,
        run);
}
