/** @file base.hpp Shared basics: strong types, typed errors, logging, settings and command line. */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace cornelspring {

/** Monotonic clock, used for every decision that depends on time. */
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
    /** Constructs an id with the default value of @p T. */
    constexpr strong_id() = default;
    /** Constructs an id from @p value. @param value the raw value. */
    constexpr explicit strong_id(T value) : m_value(std::move(value)) {}
    /** @return the raw value. */
    constexpr T const& value() const { return m_value; }
    /** Ids compare by their raw values. */
    constexpr auto operator<=>(strong_id const&) const = default;

private:
    T m_value{}; ///< The raw value.
};

/** Revision of the store (etcd's mod_revision); grows with every write. */
using revision = strong_id<struct revision_tag, std::int64_t>;
/** Id of the store's cluster. A store that is restored from an older copy gets a new cluster id, and its revisions
 *  continue from those of the copy. */
using cluster_id = strong_id<struct cluster_id_tag, std::string>;
/** Version of a backend server's index; each of its responses comes from exactly one version. */
using index_version = strong_id<struct index_version_tag, std::int64_t>;
/** Number of a shard within a service, from 0. */
using shard_id = strong_id<struct shard_id_tag, std::int32_t>;
/** Id of one caller request, passed on with every attempt. */
using request_id = strong_id<struct request_id_tag, std::string>;
/** Id of a lease in the store. */
using lease_id = strong_id<struct lease_id_tag, std::int64_t>;

/** Kinds of error. Each has one HTTP status and one kind of remedy. */
enum class error_kind {
    bad_settings,    ///< A settings file or command line is invalid; the process does not start.
    bad_request,     ///< A request is malformed; nothing was changed.
    not_found,       ///< The named resource or service does not exist.
    conflict,        ///< A compare-and-swap found a different revision; read again and retry.
    too_large,       ///< A request body is larger than the limit.
    unavailable,     ///< A dependency is unreachable; retry after the given time.
    timeout,         ///< The deadline passed before a response arrived.
    not_run,         ///< The request reached no backend server; it may safely be sent again.
    outcome_unknown, ///< The request reached a backend server but its result is not known.
    internal,        ///< A bug in this program; report it.
};

/** @return the name of @p kind as written in JSON error bodies. @param kind the kind. */
std::string to_string(error_kind kind);

/** @return the HTTP status of a response that reports @p kind. @param kind the kind. */
int http_status(error_kind kind);

/**
 * The exception type of the project: the kind of error, what went wrong and how to remedy it.
 * what() returns the message followed by the remedy.
 */
class error : public std::runtime_error {
public:
    /**
     * @param kind kind of error.
     * @param message what went wrong, with the key, file or resource concerned.
     * @param remedy what the user should do about it.
     */
    error(error_kind kind, std::string const& message, std::string const& remedy);
    /** @return the kind of error. */
    error_kind kind() const { return m_kind; }
    /** @return what went wrong. */
    std::string const& message() const { return m_message; }
    /** @return what the user should do about it. */
    std::string const& remedy() const { return m_remedy; }

private:
    error_kind m_kind;     ///< Kind of error.
    std::string m_message; ///< What went wrong.
    std::string m_remedy;  ///< What the user should do about it.
};

/**
 * Checks at run time a condition that must always hold. A violation is logged as an error and counted; the
 * program continues. Randomised tests and the entry node's metrics read the count.
 * @param holds the condition. @param what description of the invariant.
 */
void check_invariant(bool holds, char const* what);
/** @return the number of violations since the process started. Thread-safe. */
std::uint64_t invariant_violations();

/** Where log lines are written. */
enum class log_target {
    standard_error, ///< For tools, which print their results on standard output.
    standard_output ///< For servers. Never blocks; lines beyond a buffer limit are dropped and counted.
};

/**
 * Sets up log4cplus to write every record as one JSON object on one line.
 * @param program name written into each record's "program" field.
 * @param level lowest level written: trace, debug, info, warn or error.
 * @param target where lines are written.
 * @throw error bad_settings when the level is unknown.
 */
void init_logging(std::string const& program, std::string const& level, log_target target = log_target::standard_error);

/** @return the logger named @p name. @param name dotted logger name, such as "entry.query". */
log4cplus::Logger get_logger(std::string const& name);

/** Types of a setting's value. */
enum class setting_type { integer, floating, text, boolean, text_list, integer_list };

/** Value of a setting, from TOML or the default. */
using setting_value =
    std::variant<std::int64_t, double, std::string, bool, std::vector<std::string>, std::vector<std::int64_t>>;

/** Declaration of one setting: its key, type, default, range and help text. */
struct setting_def {
    std::string key;                            ///< Dotted key, such as "listen.port".
    setting_type type;                          ///< Type of the value.
    std::optional<setting_value> default_value; ///< Default; without one the key is required.
    double min = 0;                             ///< Lowest allowed number (integers, floats and list items).
    double max = 0;                             ///< Highest allowed number; min == max disables the range check.
    std::string help;                           ///< One line on what the setting does, with its unit.
};

/** Checked settings of one program: every declared key has a valid value. */
class settings {
public:
    /** @return the integer at @p key. @param key declared key. @throw error internal if it was not declared. */
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
    /** Sets @p key to @p value; used by load_settings(). @param key declared key. @param value checked value. */
    void set(std::string const& key, setting_value value) { m_values[key] = std::move(value); }

private:
    /** @return the value at @p key. @param key declared key. @throw error internal if it was not declared. */
    setting_value const& at(std::string const& key) const;
    std::map<std::string, setting_value> m_values; ///< Checked values by key.
};

/**
 * Parses TOML text and checks it against declarations of settings.
 * Unknown keys, values of the wrong type, values out of range and missing required keys are errors.
 * @param toml_text the TOML document (may be empty).
 * @param overrides lines "key=value" (value in TOML syntax) from --set; they take precedence over the document.
 * @param defs the declarations.
 * @param source file name, for error messages.
 * @return the checked settings.
 * @throw error bad_settings with the key and the remedy.
 */
settings load_settings(std::string const& toml_text, std::vector<std::string> const& overrides,
                       std::vector<setting_def> const& defs, std::string const& source);

/**
 * Parses TOML text and converts it to JSON, so that the same code reads documents of both formats.
 * @param toml_text the TOML. @param source file name, for error messages. @param kind kind of the error thrown.
 * @return the document as JSON. @throw error of @p kind with the line number, on a syntax error.
 */
nlohmann::json toml_to_json(std::string const& toml_text, std::string const& source, error_kind kind);

/** @return the help text of @p defs, one line per key with its type and range. @param defs the declarations. */
std::string describe_settings(std::vector<setting_def> const& defs);

/** Command line options common to all binaries. */
struct common_options {
    std::string config_path;            ///< --config: TOML settings file; empty: defaults only.
    std::vector<std::string> overrides; ///< --set key=value, in the order given.
    std::string log_level = "info";     ///< --log-level.
    std::vector<std::string> args;      ///< Positional arguments.
    bool exit_now = false;              ///< --version or --settings-help has been printed.
};

/**
 * Parses the command line with popt: --config, --set, --log-level, --help, --version, --settings-help.
 * @param program name of the binary, for --help and --version.
 * @param summary one line on what the binary does.
 * @param argc argument count from main.
 * @param argv arguments from main.
 * @param defs the binary's settings, listed by --settings-help.
 * @return the options.
 * @throw error bad_settings for an unknown option.
 */
common_options parse_command_line(std::string const& program, std::string const& summary, int argc, char const** argv,
                                  std::vector<setting_def> const& defs);

/**
 * Loads the settings file given in @p options, if any, and applies the overrides.
 * @param options parsed command line.
 * @param defs the declarations.
 * @return the checked settings.
 * @throw error bad_settings when the file cannot be read or a value is invalid.
 */
settings load_settings_file(common_options const& options, std::vector<setting_def> const& defs);

/** Name and settings of a program. */
struct program_info {
    std::string name;                            ///< Name of the binary, for --help, logs and errors.
    std::string summary;                         ///< One line on what it does.
    std::vector<setting_def> const& defs;        ///< Declarations of its settings.
    log_target log = log_target::standard_error; ///< Where its log lines are written.
};

/** Main function of a program, called with checked settings and positional arguments; returns the exit status. */
using program_body = std::function<int(settings const& config, std::vector<std::string> const& args)>;

/** Exit status of a failed program. */
inline constexpr int exit_failure = 2;
/** Exit status when another writer changed the same item first (error_kind::conflict). */
inline constexpr int exit_conflict = 3;

/**
 * Common part of every main(): parses the command line, sets up logging, loads the settings, calls
 * @p body, and reports an exception on standard error and by the exit status.
 * @param program name and settings. @param argc argument count from main. @param argv arguments from main.
 * @param body main function of the program.
 * @return 0 after --version or --settings-help, else the status that @p body returned, exit_conflict or exit_failure.
 */
int run_program(program_info const& program, int argc, char const** argv, program_body const& body);

/** Host and port of a TCP listener or of a remote host. */
struct endpoint {
    std::string host;     ///< IPv4 or IPv6 address, or "localhost".
    std::uint16_t port{}; ///< TCP port.
    /** @return "host:port", with an IPv6 address in brackets. */
    std::string to_string() const;
    /** Endpoints compare by host, then port. */
    auto operator<=>(endpoint const&) const = default;
};

/**
 * Parses "host:port" or "[IPv6 address]:port".
 * @param text the address.
 * @return the endpoint.
 * @throw error bad_request when @p text has no valid port.
 */
endpoint parse_endpoint(std::string const& text);

/**
 * Writes a file atomically: writes a temporary file and renames it. Used for ready files.
 * @param path file to write.
 * @param text contents.
 */
void write_file_atomic(std::string const& path, std::string const& text);

/** @return the contents of the file at @p path. @param path file. @throw error not_found when it cannot be read. */
std::string read_file(std::string const& path);

// ---- Rendezvous hashing ----

/**
 * Chooses the nodes that are responsible for a subject, so that all processes with the same set choose the same ones,
 * and the loss of a node moves only its own subjects.
 * @param subject subject. @param nodes all nodes. @param count most nodes to return.
 * @return the nodes, in order of preference.
 */
std::vector<std::string> rendezvous_order(std::string_view subject, std::set<std::string> const& nodes,
                                          std::size_t count);
/** @return the first node of rendezvous_order(), inside @p nodes; null without nodes. @param subject subject.
 *  @param nodes all nodes. */
std::string const* rendezvous_first(std::string_view subject, std::set<std::string> const& nodes);

} // namespace cornelspring
