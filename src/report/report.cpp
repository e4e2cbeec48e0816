/** @file report.cpp Renders the error-budget burn report. */
#include "report.hpp"

#include <cornelspring/base.hpp>

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace cornelspring {
namespace {

/** Size of one plot, in SVG units. */
constexpr int plot_width = 640;
constexpr int plot_height = 120;
/** Burn rate at the top of a plot; higher rates are drawn there. */
constexpr double plot_max_burn_rate = 10;
/** Style sheet of the page. */
constexpr char const* page_style =
    "body{font-family:sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}td:first-child,th:first-child{text-align:left}"
    ".bad{background:#f8d0c8}.good{background:#d8f0d0}svg{background:#f8f8f8;border:1px solid #ccc}";

/** @return @p text with HTML's special characters escaped. */
std::string escape(std::string const& text)
{
    std::string out;
    for (char c : text) {
        switch (c) {
        case '<': out += "&lt;"; break;
        case '>': out += "&gt;"; break;
        case '&': out += "&amp;"; break;
        case '"': out += "&quot;"; break;
        default: out += c;
        }
    }
    return out;
}

/** @return @p value with @p digits digits after the decimal point. */
std::string number(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

/** @return the error budget of @p group, from its counts. */
error_budget budget_of(nlohmann::json const& group)
{
    return {group.at("requests").get<int>(), group.at("served").get<int>(), group.at("objective").get<double>()};
}

/** Adds @p group to @p sum, which gets the stricter objective of the two. */
void add(error_budget& sum, error_budget const& group)
{
    sum.objective = sum.requests == 0 ? group.objective : std::max(sum.objective, group.objective);
    sum.requests += group.requests;
    sum.served += group.served;
}

/** @return a table of burn rates, with one row for each value of @p field in @p groups. */
std::string burn_table(nlohmann::json const& groups, std::string const& field)
{
    std::map<std::string, error_budget> rows;
    for (auto const& group : groups)
        add(rows[group.at(field).get<std::string>()], budget_of(group));
    std::ostringstream out;
    out << "<h3>By " << escape(field) << "</h3><table><tr><th>" << escape(field)
        << "</th><th>requests</th><th>served</th><th>objective</th><th>not served</th><th>burn rate</th></tr>";
    for (auto const& [name, row] : rows) {
        out << "<tr class='" << (row.burn_rate() > 1 ? "bad" : "good") << "'><td>" << escape(name) << "</td><td>"
            << row.requests << "</td><td>" << row.served << "</td><td>" << number(row.objective, 4) << "</td><td>"
            << number(row.error_rate() * 100, 3) << " %</td><td>" << number(row.burn_rate(), 2) << "</td></tr>";
    }
    out << "</table>";
    return out.str();
}

/** @return an SVG plot of the burn rate of @p group by second. */
std::string burn_plot(nlohmann::json const& group)
{
    auto const& timeline = group.at("timeline");
    int last = 1;
    for (auto const& point : timeline)
        last = std::max(last, point.at("second").get<int>());
    auto y_of = [](double burn_rate) {
        return plot_height - plot_height * std::min(burn_rate, plot_max_burn_rate) / plot_max_burn_rate;
    };
    std::ostringstream points;
    for (auto const& point : timeline) {
        error_budget const second{point.at("requests").get<int>(), point.at("served").get<int>(),
                                  group.at("objective").get<double>()};
        points << number(plot_width * point.at("second").get<double>() / last, 1) << ","
               << number(y_of(second.burn_rate()), 1) << " ";
    }
    std::ostringstream out;
    out << "<svg width='" << plot_width << "' height='" << plot_height << "' role='img'><line x1='0' x2='" << plot_width
        << "' y1='" << y_of(1) << "' y2='" << y_of(1) << "' stroke='#c33' stroke-dasharray='4'/><polyline fill='none' "
        << "stroke='#246' points='" << points.str() << "'/></svg><p>Burn rate by second, 0 to " << plot_max_burn_rate
        << "; the dashed line spends the budget exactly.</p>";
    return out.str();
}

/** @return the section for the caller group @p group. */
std::string group_section(nlohmann::json const& group)
{
    std::ostringstream out;
    out << "<h3>" << escape(group.at("customer").get<std::string>()) << " / "
        << escape(group.at("school").get<std::string>()) << " / " << escape(group.at("window").get<std::string>())
        << " / " << escape(group.at("service").get<std::string>()) << "</h3><p>p50 "
        << number(group.at("p50_ms").get<double>(), 1) << " ms, p99 " << number(group.at("p99_ms").get<double>(), 1)
        << " ms, p99.9 " << number(group.at("p999_ms").get<double>(), 1) << " ms; mean coverage "
        << number(group.at("coverage_mean").get<double>(), 4) << "; deadline " << group.at("deadline_ms") << " ms";
    for (auto const& [name, count] : group.at("outcomes").items())
        out << "; " << escape(name) << " " << count;
    out << ".</p>" << burn_plot(group);
    return out.str();
}

/** @return the section for one results document. */
std::string run_section(nlohmann::json const& results)
{
    std::ostringstream out;
    auto const& sent = results.at("backend_requests");
    out << "<h2>" << escape(results.at("scenario").get<std::string>()) << "</h2><p>Back-end requests: first tries "
        << sent.at("first") << ", retries " << sent.at("retry") << ", hedges " << sent.at("hedge") << "; extra "
        << number(sent.at("extra_share").get<double>() * 100, 2)
        << " %. Writes that ran more than once: " << results.at("writes").at("ran_more_than_once") << ".</p>";
    for (char const* field : {"customer", "service", "school", "window"})
        out << burn_table(results.at("groups"), field);
    for (auto const& group : results.at("groups"))
        out << group_section(group);
    return out.str();
}

} // namespace

double error_budget::error_rate() const
{
    return requests == 0 ? 0 : static_cast<double>(requests - served) / requests;
}

double error_budget::burn_rate() const { return error_rate() / (1 - objective); }

std::string render_report(std::vector<nlohmann::json> const& results)
{
    std::ostringstream out;
    out << "<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>Service-level burn</title><style>"
        << page_style << "</style></head><body><h1>Service-level burn</h1><p>A request is served when its answer "
        << "arrives whole (coverage 1) and within its deadline. The burn rate is the share not served over the "
        << "error budget (1 - objective).</p>";
    try {
        for (auto const& item : results)
            out << run_section(item);
    } catch (nlohmann::json::exception const& failure) {
        throw error(error_kind::bad_request,
                    std::string("results file was not written by cornel-load: ") + failure.what(),
                    "Give results files written by 'cornel-load --set results=...'.");
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace cornelspring
