/** @file peer_codec.cpp Calls between gateways, which mirror the reads and watches of the store. */
#include <cornelspring/gateway.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

using nlohmann::json;

/** @return the batch in an answer. */
store_batch decode_peer_batch(http_response const& response)
{
    store_batch batch;
    auto const fields = json::from_cbor(response.body);
    batch.as_of = fields.at("as_of").get<std::int64_t>();
    for (auto const& each : fields.at("items")) {
        batch.items.push_back({each.at("key").get<std::string>(), each.at("value").get<std::string>(),
                               each.at("revision").get<std::int64_t>(), each.at("removed").get<bool>()});
    }
    return batch;
}

} // namespace

std::string encode_peer_batch(std::vector<store_item> const& items, std::int64_t as_of)
{
    json list = json::array();
    for (auto const& item : items) {
        list.push_back(
            {{"key", item.key}, {"value", item.value}, {"revision", item.revision}, {"removed", item.removed}});
    }
    auto const bytes = json::to_cbor(json{{"as_of", as_of}, {"items", list}});
    return {bytes.begin(), bytes.end()};
}

store_codec make_peer_codec()
{
    store_codec codec;
    codec.read = [](std::string const&, std::string const&) {
        http_request request;
        request.path = peer_paths::state;
        return request;
    };
    codec.watch = [](std::string const&, std::int64_t after, milliseconds wait) {
        http_request request;
        request.path = std::string(peer_paths::changes) + "?after=" + std::to_string(after) +
                       "&wait_ms=" + std::to_string(wait.count());
        return request;
    };
    codec.parse_batch = decode_peer_batch;
    return codec;
}

} // namespace cornelspring
