/**
 * @file peer_codec.cpp Calls between gateways, which mirror the reads and watches of the store. Responses are deflated,
 * because the link of the gateway that others follow limits how soon all of them receive a change.
 */
#include <cornelspring/checked.hpp>
#include <cornelspring/feed.hpp>

#include <nlohmann/json.hpp>
#include <zlib.h>

namespace cornelspring {
namespace {

using nlohmann::json;

/** Smaller responses are not deflated: most have no changes and take some 60 bytes. */
constexpr std::size_t min_deflate_bytes = 512;
/** Largest response accepted after inflating; a configuration has 1 MiB at most, plus a page of other items. */
constexpr std::size_t max_response_bytes = 4 << 20;
/** Greatest age of a copy, in milliseconds: 30 years, so that a time computed from it does not overflow. */
constexpr std::int64_t max_age_ms = 1'000'000'000'000;

/** Encoding of the messages. */
constexpr auto cbor = checked::encoding::cbor;

/** @return @p bytes deflated. */
std::vector<std::uint8_t> deflate_bytes(std::vector<std::uint8_t> const& bytes)
{
    auto size = compressBound(bytes.size());
    std::vector<std::uint8_t> out(size);
    if (compress2(out.data(), &size, bytes.data(), bytes.size(), Z_BEST_SPEED) != Z_OK) {
        throw error(error_kind::internal, "cannot deflate a response to a gateway.", "Give the process more memory.");
    }
    out.resize(size);
    return out;
}

/** @return the response in @p fields, which has its inflated size and the deflated bytes.
 *  @throw error bad_request when it cannot be inflated, or not to that size. */
json inflate_response(json const& fields)
{
    auto const& deflated = fields.at("deflated").get_binary();
    auto const expected = static_cast<std::size_t>(checked::integer(fields.at("bytes"), 0, max_response_bytes));
    auto size = static_cast<uLongf>(expected);
    std::vector<std::uint8_t> out(size);
    bool const complete = uncompress(out.data(), &size, deflated.data(), deflated.size()) == Z_OK && size == expected;
    if (complete) return checked::parse({reinterpret_cast<char const*>(out.data()), out.size()}, cbor, expected);
    throw error(error_kind::bad_request, "a gateway's response cannot be inflated.",
                "Gateways of one fleet must run the same release.");
}

/** @return the batch in @p fields, a response that is not deflated. */
store_batch batch_of(json const& fields)
{
    store_batch batch;
    store_era const era(checked::integer(fields.at("era"), 0, INT64_MAX));
    batch.as_of = {era, checked::integer(fields.at("as_of"), 0, INT64_MAX)};
    batch.next_page_token = checked::name(fields.at("next"));
    batch.age = milliseconds(checked::integer(fields.at("age_ms"), -1, max_age_ms));
    for (auto const& each : checked::list(fields.at("path")))
        batch.path.push_back(checked::name(each));
    for (auto const& each : checked::list(fields.at("items"))) {
        // Keys have no limit of their own: the store accepts long ones of other programs, and a frame must not be
        // rejected for them.
        batch.items.push_back({each.at("key").get<std::string>(),
                               each.at("value").get<std::string>(),
                               {era, checked::integer(each.at("revision"), 0, INT64_MAX)},
                               each.at("removed").get<bool>()});
    }
    return batch;
}

/** @return the batch in a response. @throw error bad_request when it is malformed. */
store_batch decode_peer_batch(http_response const& response)
{
    auto const decode = [](json const& fields) {
        return batch_of(fields.contains("deflated") ? inflate_response(fields) : fields);
    };
    return checked::decode(response.body, cbor, decode, max_response_bytes);
}

} // namespace

std::string encode_peer_batch(store_batch const& batch)
{
    json list = json::array();
    for (auto const& item : batch.items) {
        list.push_back({{"key", item.key},
                        {"value", item.value},
                        {"revision", item.position.revision},
                        {"removed", item.removed}});
    }
    json const fields = {{"era", batch.as_of.era.value()},
                         {"as_of", batch.as_of.revision},
                         {"next", batch.next_page_token},
                         {"age_ms", batch.age.count()},
                         {"path", batch.path},
                         {"items", list}};
    auto bytes = json::to_cbor(fields);
    if (bytes.size() >= min_deflate_bytes) {
        bytes = json::to_cbor({{"bytes", bytes.size()}, {"deflated", json::binary(deflate_bytes(bytes))}});
    }
    return {bytes.begin(), bytes.end()};
}

store_codec make_peer_codec(std::string self)
{
    auto const make_request = [self = std::move(self)](std::string path) {
        http_request request;
        request.path = std::move(path);
        request.headers.push_back({peer_paths::sender_header, self});
        return request;
    };
    store_codec codec;
    codec.read = [make_request](std::string const&, std::string const& page) {
        return make_request(std::string(peer_paths::state) +
                            "?after=" + (page.empty() ? store_position().to_string() : page));
    };
    codec.watch = [make_request](std::string const&, store_position after, milliseconds wait) {
        return make_request(std::string(peer_paths::changes) + "?after=" + after.to_string() +
                            "&wait_ms=" + std::to_string(wait.count()));
    };
    codec.freshness = [make_request](store_position) { return make_request(peer_paths::freshness); };
    codec.parse_batch = decode_peer_batch;
    return codec;
}

} // namespace cornelspring
