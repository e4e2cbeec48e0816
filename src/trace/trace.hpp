/** @file trace.hpp Reading the gateways' logs: the life of one request, and all failed requests by cause. */
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** One log line. */
struct log_record {
    double at_s = 0;       ///< Time of day in seconds.
    std::string source;    ///< What stood before the record: a file name, or a collector's prefix.
    nlohmann::json fields; ///< The record.
};

/** Reads log lines; text before a record's brace is its source, and lines without a record are passed over.
 *  @param in lines. @param name source when a line has none. @param records receives them. */
void read_log(std::istream& in, std::string const& name, std::vector<log_record>& records);

/**
 * @return why a request was not served, in words an operator can act on; empty when it was served whole.
 * @param request its record.
 */
std::string cause_of(nlohmann::json const& request);

/** How many requests ended for one cause. */
struct cause_count {
    int requests = 0;       ///< Requests.
    std::string example_id; ///< One of them.
};

/** @return failed and partly answered requests by cause. @param records all records. */
std::map<std::string, cause_count> count_by_cause(std::vector<log_record> const& records);

/**
 * Writes what is known of one request: its record and cause, then what the same gateway believed and learned of the
 * backend servers, the configuration and the store from some seconds before its arrival until its end.
 * @param records all records. @param id request id. @param out where to. @return whether the request was found.
 */
bool write_trace(std::vector<log_record> const& records, std::string const& id, std::ostream& out);

} // namespace cornelspring
