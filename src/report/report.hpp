/** @file report.hpp Error-budget burn report: an HTML page with SVG plots, from the results of load runs. */
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** Error budget of one caller group or of several, and its use. */
struct error_budget {
    int requests = 0;        ///< Number of requests.
    int served = 0;          ///< Requests with full coverage within the deadline.
    double objective = 0.99; ///< Share of the requests that must be served.
    /** @return the share of requests that were not served. */
    double error_rate() const;
    /** @return error rate divided by the budget (1 - objective): at 1 the budget is spent exactly, above 1 the
     * objective is missed. */
    double burn_rate() const;
};

/**
 * @return the report as one HTML page with inline SVG that can be opened as a file.
 * @param results results documents written by cornel-load.
 * @throw error bad_request if a document lacks a field.
 */
std::string render_report(std::vector<nlohmann::json> const& results);

} // namespace cornelspring
