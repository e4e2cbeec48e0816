/** @file report.hpp The service-level burn report: HTML with SVG plots from load results. */
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** Error-budget arithmetic of one caller group. */
struct error_budget {
    int requests = 0;        ///< Requests counted.
    int served = 0;          ///< Answered whole and in time.
    double objective = 0.99; ///< Share that must be served.
    /** @return share of requests not served. */
    double error_rate() const;
    /** @return bad share over the budget (1 - objective): 1 spends the budget exactly, above 1 breaks the objective. */
    double burn_rate() const;
};

/**
 * @return the report as one HTML page with inline SVG, readable without a server.
 * @param results documents written by cornel-load.
 * @throw error bad_request when a document lacks a field.
 */
std::string render_report(std::vector<nlohmann::json> const& results);

} // namespace cornelspring
