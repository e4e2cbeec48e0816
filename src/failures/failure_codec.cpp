/** @file failure_codec.cpp Bodies of the calls between gateways about failing and slow backend servers, in CBOR. */
#include <cornelspring/checked.hpp>
#include <cornelspring/failures.hpp>

#include <nlohmann/json.hpp>

#include <cmath>

namespace cornelspring {
namespace {

using nlohmann::json;

/** Longest latency in milliseconds; attempts time out long before. */
constexpr double max_ms = 600'000;
/** Latencies are sent in tenths of a millisecond, as integers. */
constexpr double units_per_ms = 10;

/** @return @p fields as CBOR. */
std::string to_body(json const& fields)
{
    auto const bytes = json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

/** @return the result of @p decode on the CBOR in @p body. @throw error bad_request when it is malformed. */
template <typename Decode> auto from_body(std::string const& body, Decode decode)
{
    return checked::decode(body, checked::encoding::cbor, decode);
}

/** @return @p value as JSON in few bytes. */
json compact(double value)
{
    if (value >= 0 && value <= checked::max_count && value == std::floor(value))
        return static_cast<std::uint32_t>(value);
    return static_cast<float>(value);
}

/** @return the id of a server in @p field. @throw error bad_request when it is empty or no name. */
std::string server_id(json const& field)
{
    auto id = checked::name(field);
    if (id.empty()) throw checked::malformed("the id of a server is empty");
    return id;
}

/** @return the count of attempts in @p field. @throw error bad_request when it is not finite or out of range. */
double count_of(json const& field) { return checked::number(field, 0, checked::max_count); }

/** @return the level or step in @p field. @throw error bad_request when it is out of range. */
int step_of(json const& field, int min, int max) { return static_cast<int>(checked::integer(field, min, max)); }

/** @return the outcomes in @p entry. @throw error bad_request when they are malformed. */
server_outcomes outcomes_of(json const& entry)
{
    server_outcomes result{server_id(entry.at(0)), count_of(entry.at(1)), count_of(entry.at(2))};
    if (entry.size() < 5) return result;
    result.measured = count_of(entry.at(3));
    result.mean_ms = checked::number(entry.at(4), 0, max_ms * units_per_ms) / units_per_ms;
    return result;
}

} // namespace

std::string encode_failure_report(failure_report const& report)
{
    json outcomes = json::array();
    for (auto const& each : report.outcomes) {
        json entry{each.server, compact(each.answered), compact(each.failed)};
        if (each.measured > 0) {
            entry.push_back(compact(each.measured));
            entry.push_back(compact(std::clamp(std::round(each.mean_ms * units_per_ms), 1.0, max_ms * units_per_ms)));
        }
        outcomes.push_back(std::move(entry));
    }
    return to_body(
        {{"epoch", report.epoch}, {"known", report.known}, {"sender", report.sender}, {"outcomes", outcomes}});
}

failure_report decode_failure_report(std::string const& body)
{
    return from_body(body, [](json const& fields) {
        failure_report report{
            checked::unsigned_integer(fields.at("epoch")), checked::unsigned_integer(fields.at("known")), {}, 0};
        if (fields.contains("sender")) report.sender = checked::unsigned_integer(fields.at("sender"));
        for (auto const& each : checked::list(fields.at("outcomes")))
            report.outcomes.push_back(outcomes_of(each));
        return report;
    });
}

std::string encode_failure_news(failure_news const& news)
{
    json levels = json::array();
    for (auto const& each : news.levels)
        levels.push_back({each.server, each.level});
    json slow = json::array();
    for (auto const& each : news.slow)
        slow.push_back({each.server, each.step});
    return to_body({{"epoch", news.epoch},
                    {"change", news.last_change},
                    {"complete", news.complete},
                    {"levels", levels},
                    {"slow", slow}});
}

failure_news decode_failure_news(std::string const& body)
{
    return from_body(body, [](json const& fields) {
        failure_news news{checked::unsigned_integer(fields.at("epoch")),
                          checked::unsigned_integer(fields.at("change")),
                          fields.at("complete").get<bool>(),
                          {},
                          {}};
        for (auto const& each : checked::list(fields.at("levels")))
            news.levels.push_back({server_id(each.at(0)), step_of(each.at(1), 0, failure_level::steps)});
        if (!fields.contains("slow")) return news;
        for (auto const& each : checked::list(fields.at("slow")))
            news.slow.push_back(
                {server_id(each.at(0)), step_of(each.at(1), -server_slowness::max_step, server_slowness::max_step)});
        return news;
    });
}

} // namespace cornelspring
