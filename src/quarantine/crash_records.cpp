/** @file crash_records.cpp Encoding of the crash records that gateways exchange through the store. */
#include <cornelspring/checked.hpp>
#include <cornelspring/quarantine.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

/** Longest remaining time of a quarantine in a record, in milliseconds: a day, so that no time computed from it
 *  overflows. */
constexpr std::int64_t max_quarantine_ms = 86400000;

} // namespace

std::string encode_crash_records(std::vector<crash_record> const& records)
{
    auto list = nlohmann::json::array();
    for (auto const& record : records) {
        list.push_back({{"digest", record.digest.value()},
                        {"crashes", record.crashes},
                        {"convictions", record.quarantines},
                        {"quarantine_left_ms", record.quarantine_left.count()},
                        {"answered", record.answered}});
    }
    return nlohmann::json{{"requests", std::move(list)}}.dump();
}

std::vector<crash_record> decode_crash_records(std::string const& value)
{
    return checked::decode(value, checked::encoding::json, [](nlohmann::json const& fields) {
        std::vector<crash_record> records;
        for (auto const& each : checked::list(fields.at("requests"))) {
            auto const left_ms = checked::integer(each.at("quarantine_left_ms"), 0, max_quarantine_ms);
            records.push_back({request_digest(checked::name(each.at("digest"))), checked::count(each.at("crashes")),
                               checked::count(each.at("convictions")), milliseconds(left_ms),
                               each.at("answered").get<bool>()});
        }
        return records;
    });
}

} // namespace cornelspring
