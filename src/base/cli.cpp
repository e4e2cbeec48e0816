/** @file cli.cpp Command line options and common main function of the binaries, with popt. */
#include <cornelspring/base.hpp>
#include <cornelspring_version.hpp>

#include <iostream>
#include <memory>

#include <popt.h>

namespace cornelspring {
namespace {

/** Codes that poptGetNextOpt() returns for the options that need an action. */
enum option_code { opt_set = 1, opt_version, opt_settings_help };

} // namespace

common_options parse_command_line(std::string const& program, std::string const& summary, int argc, char const** argv,
                                  std::vector<setting_def> const& defs)
{
    common_options options;
    char* config = nullptr;
    char* set_value = nullptr;
    char* log_level = nullptr;
    poptOption table[] = {
        {"config", 'c', POPT_ARG_STRING, &config, 0, "read settings from this TOML file", "FILE"},
        {"set", 's', POPT_ARG_STRING, &set_value, opt_set, "override a setting (may be repeated)", "KEY=VALUE"},
        {"log-level", 'l', POPT_ARG_STRING, &log_level, 0, "lowest level logged: trace, debug, info, warn or error",
         "LEVEL"},
        {"version", 'V', POPT_ARG_NONE, nullptr, opt_version, "print the version and exit", nullptr},
        {"settings-help", 0, POPT_ARG_NONE, nullptr, opt_settings_help, "list all settings and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(program.c_str(), argc, argv, table, 0), &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), ("[OPTIONS] [ARGS]  -- " + summary).c_str());
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        if (code == opt_set) {
            options.overrides.emplace_back(set_value);
            free(set_value);
            set_value = nullptr;
        } else if (code == opt_version) {
            std::cout << program << " " << CORNELSPRING_VERSION << "\n";
            options.exit_now = true;
        } else if (code == opt_settings_help) {
            std::cout << "Settings of " << program << " (TOML keys):\n" << describe_settings(defs);
            options.exit_now = true;
        }
    }
    if (code < -1) {
        throw error(error_kind::bad_settings,
                    std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(code),
                    "Run '" + program + " --help' for a list of options.");
    }
    if (config != nullptr) {
        options.config_path = config;
        free(config);
    }
    if (log_level != nullptr) {
        options.log_level = log_level;
        free(log_level);
    }
    while (char const* arg = poptGetArg(context.get())) {
        options.args.emplace_back(arg);
    }
    return options;
}

settings load_settings_file(common_options const& options, std::vector<setting_def> const& defs)
{
    std::string text;
    std::string source = "(defaults)";
    if (!options.config_path.empty()) {
        try {
            text = read_file(options.config_path);
        } catch (error const&) {
            throw error(error_kind::bad_settings, "cannot read settings file '" + options.config_path + "'.",
                        "Check the path given with --config.");
        }
        source = options.config_path;
    }
    return load_settings(text, options.overrides, defs, source);
}

int run_program(program_info const& program, int argc, char const** argv, program_body const& body)
{
    try {
        auto const options = parse_command_line(program.name, program.summary, argc, argv, program.defs);
        if (options.exit_now) return 0;
        init_logging(program.name, options.log_level, program.log);
        return body(load_settings_file(options, program.defs), options.args);
    } catch (error const& failure) {
        std::cerr << program.name << ": " << to_string(failure.kind()) << ": " << failure.what() << "\n";
        return failure.kind() == error_kind::conflict ? exit_conflict : exit_failure;
    } catch (std::exception const& failure) {
        std::cerr << program.name << ": " << failure.what() << "\n";
        return exit_failure;
    }
}

} // namespace cornelspring
