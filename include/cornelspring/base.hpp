/** @file base.hpp Shared foundations: strong types, typed errors, logging, settings and command line. */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace cornelspring {

/** Monotonic clock used for every decision that depends on time. */
using clock = std::chrono::steady_clock;
/** A point on the monotonic clock. */
using time_point = clock::time_point;
/** Durations are milliseconds unless a function says otherwise. */
using milliseconds = std::chrono::milliseconds;

/**
 * A value wrapped in a distinct type so that ids of different kinds cannot be mixed.
 * @tparam Tag empty struct naming the kind of id.
 * @tparam T the underlying value type.
 */
template <class Tag, class T> class strong_id {
public:
    /** Makes an id holding the default value of @p T. */
    constexpr strong_id() = default;
    /** Makes an id holding @p value. @param value the raw value. */
    constexpr explicit strong_id(T value) : m_value(std::move(value)) {}
    /** @return the raw value. */
    constexpr T const& value() const { return m_value; }
    /** Ids compare by their raw values. */
    constexpr auto operator<=>(strong_id const&) const = default;

private:
    T m_value{}; ///< The raw value.
};

/** Revision of the configuration store (etcd's mod_revision); grows with every write. */
using revision = strong_id<struct revision_tag, std::int64_t>;
/** Id of the store's cluster; a store that is restored from an older copy begins a new cluster, and counts revisions on
 *  from that copy. */
using cluster_id = strong_id<struct cluster_id_tag, std::string>;
/** Version of a back end's index; an answer comes from exactly one. */
using index_version = strong_id<struct index_version_tag, std::int64_t>;
/** Number of a shard within a service, from 0. */
using shard_id = strong_id<struct shard_id_tag, std::int32_t>;
/** Id of one caller request, carried end to end. */
using request_id = strong_id<struct request_id_tag, std::string>;
/** Id of a lease in the configuration store. */
using lease_id = strong_id<struct lease_id_tag, std::int64_t>;

/** Kinds of error; each maps to one HTTP status and one remedy. */
enum class error_kind {
    bad_settings,    ///< A settings file or command line is wrong; the process refuses to start.
    bad_request,     ///< A request is malformed; nothing was changed.
    not_found,       ///< The named resource or service does not exist.
    conflict,        ///< A compare-and-swap found another revision; re-read and retry.
    too_large,       ///< A request body is larger than the limit.
    unavailable,     ///< A dependency cannot be reached now; try again after the given time.
    timeout,         ///< The deadline passed before an answer came.
    not_run,         ///< The request reached no back end; it may be sent again safely.
    outcome_unknown, ///< The request reached a back end but its result is not known.
    internal,        ///< A bug; report it.
};

/** @return the lower-case name of @p kind, as used in JSON error bodies. @param kind the kind. */
std::string to_string(error_kind kind);

/** @return the HTTP status that reports @p kind. @param kind the kind. */
int http_status(error_kind kind);

/**
 * The one exception type of the project: a kind, what went wrong and what to do about it.
 * what() gives both sentences.
 */
class error : public std::runtime_error {
public:
    /**
     * @param kind what kind of error this is.
     * @param message what went wrong, naming the key, file or resource.
     * @param remedy what the reader should do about it.
     */
    error(error_kind kind, std::string const& message, std::string const& remedy);
    /** @return the kind of error. */
    error_kind kind() const { return m_kind; }
    /** @return what went wrong. */
    std::string const& message() const { return m_message; }
    /** @return what to do about it. */
    std::string const& remedy() const { return m_remedy; }

private:
    error_kind m_kind;     ///< Kind of error.
    std::string m_message; ///< What went wrong.
    std::string m_remedy;  ///< What to do.
};

/**
 * Checks, in the running program, a condition that must always hold. A violation is logged as an error and
 * counted; the randomised runs and the entry node's metrics read the count.
 * @param holds the condition. @param what the invariant, in words.
 */
void check_invariant(bool holds, char const* what);
/** @return violations counted since the start. Thread-safe. */
std::uint64_t invariant_violations();

/** Where log lines go. */
enum class log_target {
    standard_error, ///< For tools whose result goes to standard output.
    standard_output ///< For servers; never blocks: what cannot be written is kept up to a bound, then counted.
};

/**
 * Sets up log4cplus so that every record is one JSON object on one line.
 * @param program name written in each record's "program" field.
 * @param level lowest level written: trace, debug, info, warn, error.
 * @param target where lines go.
 */
void init_logging(std::string const& program, std::string const& level, log_target target = log_target::standard_error);

/** @return the logger named @p name. @param name dotted logger name, such as "entry.query". */
log4cplus::Logger get_logger(std::string const& name);

/** Kinds of value a setting may hold. */
enum class setting_type { integer, floating, text, boolean, text_list, integer_list };

/** A value of a setting, as read from TOML or taken from the default. */
using setting_value =
    std::variant<std::int64_t, double, std::string, bool, std::vector<std::string>, std::vector<std::int64_t>>;

/** Declaration of one setting: its key, type, default, range and help text. */
struct setting_def {
    std::string key;                            ///< Dotted key, such as "listen.port".
    setting_type type;                          ///< Type of the value.
    std::optional<setting_value> default_value; ///< Default; none means the key is required.
    double min = 0;                             ///< Lowest allowed number (integers and floats).
    double max = 0;                             ///< Highest allowed number; min == max means no range check.
    std::string help;                           ///< One line saying what it does and its unit.
};

/** Settings of one program after checking: every declared key has a valid value. */
class settings {
public:
    /** @return the integer at @p key. @param key declared key. @throw error internal if undeclared. */
    std::int64_t integer(std::string const& key) const;
    /** @return the float at @p key. @param key declared key. */
    double floating(std::string const& key) const;
    /** @return the string at @p key. @param key declared key. */
    std::string const& text(std::string const& key) const;
    /** @return the boolean at @p key. @param key declared key. */
    bool boolean(std::string const& key) const;
    /** @return the list of strings at @p key. @param key declared key. */
    std::vector<std::string> const& text_list(std::string const& key) const;
    /** @return the list of integers at @p key. @param key declared key. */
    std::vector<std::int64_t> const& integer_list(std::string const& key) const;
    /** Stores @p value at @p key; used by the loader. @param key key. @param value checked value. */
    void set(std::string const& key, setting_value value) { m_values[key] = std::move(value); }

private:
    /** @return the value at @p key. @param key declared key. @throw error internal if absent. */
    setting_value const& at(std::string const& key) const;
    std::map<std::string, setting_value> m_values; ///< Checked values by key.
};

/**
 * Reads TOML text and checks it against a table of declarations.
 * Unknown keys, values of the wrong type, values out of range and missing required keys are refused.
 * @param toml_text the TOML document (may be empty).
 * @param overrides lines "key=value" (value in TOML syntax) applied over the document, from --set.
 * @param defs the declarations.
 * @param source name of the file, for messages.
 * @return the checked settings.
 * @throw error bad_settings naming the key and the remedy.
 */
settings load_settings(std::string const& toml_text, std::vector<std::string> const& overrides,
                       std::vector<setting_def> const& defs, std::string const& source);

/**
 * Parses TOML text to the same document as JSON, so that one kind of reader serves both formats.
 * @param toml_text the TOML. @param source file name, for messages. @param kind kind of the error thrown.
 * @return the document. @throw error of @p kind naming the line.
 */
nlohmann::json toml_to_json(std::string const& toml_text, std::string const& source, error_kind kind);

/** @return the help text of @p defs, one line per key with its default and range. @param defs table. */
std::string describe_settings(std::vector<setting_def> const& defs);

/** What every binary takes on its command line. */
struct common_options {
    std::string config_path;            ///< --config: TOML settings file; empty for defaults only.
    std::vector<std::string> overrides; ///< --set key=value, in order.
    std::string log_level = "info";     ///< --log-level.
    std::vector<std::string> args;      ///< Remaining positional arguments.
    bool exit_now = false;              ///< True after --help or --version was answered.
};

/**
 * Parses the command line with popt: --config, --set, --log-level, --help, --version, --settings-help.
 * @param program name of the binary, for --help and --version.
 * @param summary one line saying what the binary does.
 * @param argc argument count from main.
 * @param argv arguments from main.
 * @param defs the binary's settings table, printed by --settings-help.
 * @return the options.
 * @throw error bad_settings for an unknown option.
 */
common_options parse_command_line(std::string const& program, std::string const& summary, int argc, char const** argv,
                                  std::vector<setting_def> const& defs);

/**
 * Loads the settings file named in @p options (if any) and applies the overrides.
 * @param options parsed command line.
 * @param defs settings table.
 * @return the checked settings.
 * @throw error bad_settings when the file cannot be read or a value is wrong.
 */
settings load_settings_file(common_options const& options, std::vector<setting_def> const& defs);

/** Name and settings of a program. */
struct program_info {
    std::string name;                            ///< Binary name, for --help, logs and errors.
    std::string summary;                         ///< One line saying what it does.
    std::vector<setting_def> const& defs;        ///< Settings table.
    log_target log = log_target::standard_error; ///< Where its log goes.
};

/** What a program does once its command line and settings are checked; returns the exit status. */
using program_body = std::function<int(settings const& config, std::vector<std::string> const& args)>;

/** Exit status of a failed program. */
inline constexpr int exit_failure = 2;
/** Exit status when a write lost against another writer (error kind conflict). */
inline constexpr int exit_conflict = 3;

/**
 * The frame shared by every main(): parses the command line, starts logging, checks the settings, runs
 * @p body, and turns an exception into a message on standard error and an exit status.
 * @param program name and settings. @param argc argument count from main. @param argv arguments from main.
 * @param body the program.
 * @return 0 after --help or --version, the body's status, exit_conflict or exit_failure.
 */
int run_program(program_info const& program, int argc, char const** argv, program_body const& body);

/** Host and port of a TCP listener or peer. */
struct endpoint {
    std::string host;     ///< IPv4 or IPv6 address, or "localhost".
    std::uint16_t port{}; ///< TCP port.
    /** @return "host:port". */
    std::string to_string() const;
    /** Endpoints compare by host, then port. */
    auto operator<=>(endpoint const&) const = default;
};

/**
 * Parses "host:port".
 * @param text the address.
 * @return the endpoint.
 * @throw error bad_request when the text has no valid port.
 */
endpoint parse_endpoint(std::string const& text);

/**
 * Writes @p text to @p path atomically (write to a temporary name, then rename), for ready files.
 * @param path target file.
 * @param text contents.
 */
void write_file_atomic(std::string const& path, std::string const& text);

/** @return the contents of the file at @p path. @param path file. @throw error not_found. */
std::string read_file(std::string const& path);

} // namespace cornelspring
