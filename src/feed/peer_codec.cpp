/** @file peer_codec.cpp Calls between gateways, which mirror the reads and watches of the store. */
#include <cornelspring/feed.hpp>

#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

using nlohmann::json;

/** @return the batch in an answer. @throw nlohmann::json::exception when it is malformed. */
store_batch decode_peer_batch(http_response const& response)
{
    store_batch batch;
    auto const fields = json::from_cbor(response.body);
    batch.as_of = fields.at("as_of").get<std::int64_t>();
    batch.next = fields.at("next").get<std::string>();
    batch.age = milliseconds(fields.at("age_ms").get<std::int64_t>());
    batch.path = fields.at("path").get<std::vector<std::string>>();
    for (auto const& each : fields.at("items")) {
        batch.items.push_back({each.at("key").get<std::string>(), each.at("value").get<std::string>(),
                               each.at("revision").get<std::int64_t>(), each.at("removed").get<bool>()});
    }
    return batch;
}

} // namespace

std::string encode_peer_batch(store_batch const& batch)
{
    json list = json::array();
    for (auto const& item : batch.items) {
        list.push_back(
            {{"key", item.key}, {"value", item.value}, {"revision", item.revision}, {"removed", item.removed}});
    }
    json const fields = {{"as_of", batch.as_of},
                         {"next", batch.next},
                         {"age_ms", batch.age.count()},
                         {"path", batch.path},
                         {"items", list}};
    auto const bytes = json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

store_codec make_peer_codec(std::string self)
{
    auto const ask = [self = std::move(self)](std::string path) {
        http_request request;
        request.path = std::move(path);
        request.headers.push_back({peer_paths::from, self});
        return request;
    };
    store_codec codec;
    codec.read = [ask](std::string const&, std::string const& page) {
        return ask(std::string(peer_paths::state) + "?after=" + (page.empty() ? "0" : page));
    };
    codec.watch = [ask](std::string const&, std::int64_t after, milliseconds wait) {
        return ask(std::string(peer_paths::changes) + "?after=" + std::to_string(after) +
                   "&wait_ms=" + std::to_string(wait.count()));
    };
    codec.freshness = [ask](std::int64_t) { return ask(peer_paths::freshness); };
    codec.parse_batch = decode_peer_batch;
    return codec;
}

} // namespace cornelspring
