/** @file quota_codec.cpp Bodies of the calls between gateways about quotas. */
#include <cornelspring/checked.hpp>
#include <cornelspring/quota.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

using nlohmann::json;

/** @return the integer in field @p name, from 0 to @p most. */
std::int64_t integer_of(json const& fields, char const* name, std::int64_t most = checked::max_count)
{
    return checked::integer(fields.at(name), 0, most);
}

/** @return the number of requests or tokens in field @p name. */
int count_of(json const& fields, char const* name) { return static_cast<int>(integer_of(fields, name)); }

/** @return the text in field @p name. */
std::string text_of(json const& fields, char const* name) { return checked::name(fields.at(name)); }

/** @return the account that @p fields name. */
quota_part part_of(json const& fields)
{
    return {customer_name(text_of(fields, "customer")),
            static_cast<int>(integer_of(fields, "part", quota_part_count - 1))};
}

/** @return an account as fields. */
json fields_of(quota_part const& part) { return {{"customer", part.name.value()}, {"part", part.number}}; }

/** @return the list in field @p name, each entry decoded by @p decode. */
template <typename Entry, typename Decode>
std::vector<Entry> list_of(json const& fields, char const* name, Decode const& decode)
{
    std::vector<Entry> list;
    for (auto const& each : checked::list(fields.at(name)))
        list.push_back(decode(each));
    return list;
}

/** @return @p entries as a list, each entry encoded by @p encode. */
template <typename Entries, typename Encode> json encode_list(Entries const& entries, Encode const& encode)
{
    json list = json::array();
    for (auto const& each : entries)
        list.push_back(encode(each));
    return list;
}

/** @return the request for tokens in @p fields. */
quota_request request_of(json const& fields)
{
    return {part_of(fields), count_of(fields, "waiting"), count_of(fields, "spare"), count_of(fields, "returned")};
}

/** @return the response to a request for tokens in @p fields. */
quota_grant grant_of(json const& fields)
{
    return {part_of(fields), count_of(fields, "granted"), std::chrono::milliseconds(integer_of(fields, "none_ms")),
            fields.at("unavailable").get<bool>()};
}

/** @return the account that is handed over in @p fields. */
handed_account account_of(json const& fields)
{
    return {part_of(fields), checked::number(fields.at("level"), 0, checked::max_count)};
}

/** Decodes @p body by @p decode. @throw error bad_request. */
template <typename Decode> auto decode_body(std::string const& body, Decode const& decode)
{
    return checked::decode(body, checked::encoding::json, decode);
}

/** @return @p body as text; names that are not valid UTF-8 are altered rather than thrown on. */
std::string dump(json const& body) { return body.dump(-1, ' ', false, json::error_handler_t::replace); }

} // namespace

std::string encode_quota_message(quota_message const& message)
{
    auto const requests = encode_list(message.requests, [](quota_request const& each) {
        auto fields = fields_of(each.of);
        fields.update({{"waiting", each.waiting}, {"spare", each.spare}, {"returned", each.returned}});
        return fields;
    });
    return dump({{"requests", requests},
                 {"keeper", message.handover.keeper},
                 {"position", message.handover.position},
                 {"parts", encode_list(message.handover.parts, fields_of)}});
}

quota_message decode_quota_message(std::string const& body)
{
    return decode_body(body, [](json const& fields) {
        quota_message message;
        message.requests = list_of<quota_request>(fields, "requests", request_of);
        message.handover = {text_of(fields, "keeper"), text_of(fields, "position"),
                            list_of<quota_part>(fields, "parts", part_of)};
        return message;
    });
}

std::string encode_quota_reply(quota_reply const& reply)
{
    auto const grants = encode_list(reply.grants, [](quota_grant const& each) {
        auto fields = fields_of(each.of);
        fields.update(
            {{"granted", each.granted}, {"none_ms", each.none_for.count()}, {"unavailable", each.unavailable}});
        return fields;
    });
    auto const accounts = encode_list(reply.accounts, [](handed_account const& each) {
        auto fields = fields_of(each.of);
        fields.update({{"level", std::clamp(each.level, 0.0, static_cast<double>(checked::max_count))}});
        return fields;
    });
    return dump({{"grants", grants}, {"accounts", accounts}});
}

quota_reply decode_quota_reply(std::string const& body)
{
    return decode_body(body, [](json const& fields) {
        return quota_reply{list_of<quota_grant>(fields, "grants", grant_of),
                           list_of<handed_account>(fields, "accounts", account_of)};
    });
}

} // namespace cornelspring
