/** @file main.cpp cornel-trace: from a failed request's id to its cause, from the gateways' logs alone. */
#include "trace.hpp"

#include <cornelspring/base.hpp>

#include <fstream>
#include <iostream>

namespace cornelspring {
namespace {

/** Settings of cornel-trace. */
std::vector<setting_def> const trace_settings = {
    {"id", setting_type::text, setting_value{std::string()}, 0, 0,
     "request id to trace; empty: a summary of all failures"},
};

/** Reads the files named, or standard input, and writes the trace or the summary. */
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
                    "Give the logs of all gateways; under load some good requests are left out ('left_out').");
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
