/** @file failure_codec.cpp Bodies of the calls between gateways about failing backend servers, in CBOR. */
#include <cornelspring/failures.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

using nlohmann::json;

/** @return @p fields as CBOR. */
std::string to_body(json const& fields)
{
    auto const bytes = json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

/** @return the result of @p decode on the CBOR in @p body. @throw error bad_request when it is malformed. */
template <typename Decode> auto from_body(std::string const& body, Decode decode)
{
    try {
        return decode(json::from_cbor(body));
    } catch (json::exception const& failure) {
        throw error(error_kind::bad_request, std::string("malformed message about failing servers: ") + failure.what(),
                    "Gateways of one fleet must run the same release.");
    }
}

} // namespace

std::string encode_failure_report(failure_report const& report)
{
    json outcomes = json::array();
    for (auto const& each : report.outcomes)
        outcomes.push_back({each.server, static_cast<float>(each.answered), static_cast<float>(each.failed)});
    return to_body({{"epoch", report.epoch}, {"known", report.known}, {"outcomes", outcomes}});
}

failure_report decode_failure_report(std::string const& body)
{
    return from_body(body, [](json const& fields) {
        failure_report report{fields.at("epoch").get<std::uint64_t>(), fields.at("known").get<std::uint64_t>(), {}};
        for (auto const& each : fields.at("outcomes")) {
            report.outcomes.push_back({each.at(0).get<std::string>(), std::max(0.0, each.at(1).get<double>()),
                                       std::max(0.0, each.at(2).get<double>())});
        }
        return report;
    });
}

std::string encode_failure_news(failure_news const& news)
{
    json levels = json::array();
    for (auto const& each : news.levels)
        levels.push_back({each.server, each.level});
    return to_body(
        {{"epoch", news.epoch}, {"change", news.last_change}, {"complete", news.complete}, {"levels", levels}});
}

failure_news decode_failure_news(std::string const& body)
{
    return from_body(body, [](json const& fields) {
        failure_news news{fields.at("epoch").get<std::uint64_t>(),
                          fields.at("change").get<std::uint64_t>(),
                          fields.at("complete").get<bool>(),
                          {}};
        for (auto const& each : fields.at("levels"))
            news.levels.push_back(
                {each.at(0).get<std::string>(), std::clamp(each.at(1).get<int>(), 0, failure_level::steps)});
        return news;
    });
}

} // namespace cornelspring
