/** @file crash_records.cpp Encoding of the crash records that gateways exchange through the store. */
#include <cornelspring/quarantine.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {

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
    try {
        std::vector<crash_record> records;
        auto const fields = nlohmann::json::parse(value);
        for (auto const& each : fields.at("requests")) {
            records.push_back({request_digest(each.at("digest").get<std::string>()), each.at("crashes").get<int>(),
                               each.at("convictions").get<int>(),
                               milliseconds(each.at("quarantine_left_ms").get<std::int64_t>()),
                               each.at("answered").get<bool>()});
        }
        return records;
    } catch (nlohmann::json::exception const& failure) {
        throw error(error_kind::bad_request, std::string("malformed records of crashes: ") + failure.what(),
                    "Gateways of one fleet must run the same release.");
    }
}

} // namespace cornelspring
