/** @file trace.hpp Reads the gateways' logs: the trace of one request, and the numbers of failed requests by cause. */
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** One log record. */
struct log_record {
    double at_s = 0;       ///< Time of day in seconds.
    std::string source;    ///< Process that wrote it, from the collector's prefix; else the file name.
    nlohmann::json fields; ///< The JSON object of the record.
};

/** Reads log records. The last word before a record's opening brace is its source; lines without a record are skipped.
 *  @param in log lines. @param name source of records without a prefix. @param records receives the records. */
void read_log(std::istream& in, std::string const& name, std::vector<log_record>& records);

/**
 * @return the cause of a request's failure or partial response, worded for operators; empty if the response was
 * complete.
 * @param request record of the request.
 */
std::string cause_of(nlohmann::json const& request);

/** Number of requests with one cause. */
struct cause_count {
    int requests = 0;       ///< Number of requests.
    std::string example_id; ///< Id of the first of them.
};

/** @return failed and partial requests by cause. @param records all records. */
std::map<std::string, cause_count> count_by_cause(std::vector<log_record> const& records);

/**
 * Writes the trace of one request: its cause, for a rejection with 401 or 429 also what decided, then the events of its
 * gateway and the state changes of its backend servers from some seconds before its arrival until it finished, then its
 * record.
 * @param records all records. @param id request id. @param out receives the trace. @return whether it was found.
 */
bool write_trace(std::vector<log_record> const& records, std::string const& id, std::ostream& out);

} // namespace cornelspring
