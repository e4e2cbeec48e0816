/** @file quota_codec.cpp Bodies of the calls between gateways about quotas. */
#include <cornelspring/customers.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

using nlohmann::json;

/** Most requests in one report. A larger number is an error of its sender. */
constexpr int max_requests = 1000000;

/** @return the non-negative number in field @p name. */
int count_of(json const& fields, char const* name)
{
    auto const value = fields.at(name).get<std::int64_t>();
    return static_cast<int>(std::clamp<std::int64_t>(value, 0, max_requests));
}

/** @return the list in @p body, each entry decoded by @p decode. */
template <typename Entry>
std::vector<Entry> decode_list(std::string const& body, std::function<Entry(json const&)> const& decode)
{
    try {
        std::vector<Entry> list;
        for (auto const& each : json::parse(body))
            list.push_back(decode(each));
        return list;
    } catch (json::exception const& failure) {
        throw error(error_kind::bad_request, std::string("malformed message about quotas: ") + failure.what(),
                    "Gateways of one fleet must run the same release.");
    }
}

} // namespace

std::string encode_quota_reports(std::vector<quota_report> const& reports)
{
    json list = json::array();
    for (auto const& each : reports)
        list.push_back({{"customer", each.name.value()}, {"used", each.used}, {"waiting", each.waiting}});
    return list.dump();
}

std::vector<quota_report> decode_quota_reports(std::string const& body)
{
    return decode_list<quota_report>(body, [](json const& fields) {
        return quota_report{customer_name(fields.at("customer").get<std::string>()), count_of(fields, "used"),
                            count_of(fields, "waiting")};
    });
}

std::string encode_quota_verdicts(std::vector<quota_verdict> const& verdicts)
{
    json list = json::array();
    for (auto const& each : verdicts) {
        list.push_back(
            {{"customer", each.name.value()}, {"granted", each.granted}, {"blocked_ms", each.blocked_for.count()}});
    }
    return list.dump();
}

std::vector<quota_verdict> decode_quota_verdicts(std::string const& body)
{
    return decode_list<quota_verdict>(body, [](json const& fields) {
        return quota_verdict{customer_name(fields.at("customer").get<std::string>()), count_of(fields, "granted"),
                             std::chrono::milliseconds(count_of(fields, "blocked_ms"))};
    });
}

} // namespace cornelspring
