/** @file messages.cpp JSON codecs of queries, writes and entry lists; rejects invalid requests of callers. */
#include <cornelspring/protocol.hpp>

#include <cctype>
#include <iomanip>
#include <set>
#include <sstream>

#include <openssl/evp.h>

namespace cornelspring {
namespace {

/** Throws a bad_request error that says which rule field @p name breaks. */
[[noreturn]] void reject(std::string const& name, std::string const& rule)
{
    throw error(error_kind::bad_request, "field '" + name + "' " + rule + ".",
                "Correct '" + name + "' and send again.");
}

/** Greatest length of a request id or idempotency key. */
constexpr std::size_t max_id_length = 128;

/** Rejects a body that is not an object or has a field not in @p allowed. */
void check_fields(nlohmann::json const& in, std::set<std::string> const& allowed, std::string const& what)
{
    if (!in.is_object()) reject("(body)", "must be a JSON object");
    for (auto const& [key, item] : in.items()) {
        if (allowed.count(key) == 0) reject(key, "is not a field of " + what);
    }
}

/** Rejects a deadline out of range. */
void check_deadline(std::int64_t deadline_ms)
{
    if (deadline_ms < 0 || deadline_ms > max_deadline_ms) {
        reject("deadline_ms", "must be from 0 to " + std::to_string(max_deadline_ms));
    }
}

} // namespace

void to_json(nlohmann::json& out, hit const& value)
{
    out = {{"doc", value.doc}, {"score", value.score}, {"text", value.text}};
}

void from_json(nlohmann::json const& in, hit& value)
{
    in.at("doc").get_to(value.doc);
    in.at("score").get_to(value.score);
    in.at("text").get_to(value.text);
}

void to_json(nlohmann::json& out, shard_query const& value)
{
    out = {{"request_id", value.request_id},       {"service", value.service}, {"shard", value.shard},
           {"index_version", value.index_version}, {"terms", value.terms},     {"k", value.k},
           {"deadline_ms", value.deadline_ms}};
}

void from_json(nlohmann::json const& in, shard_query& value)
{
    in.at("request_id").get_to(value.request_id);
    in.at("service").get_to(value.service);
    in.at("shard").get_to(value.shard);
    in.at("index_version").get_to(value.index_version);
    in.at("terms").get_to(value.terms);
    in.at("k").get_to(value.k);
    in.at("deadline_ms").get_to(value.deadline_ms);
    if (value.k < 1 || value.k > max_k) reject("k", "must be from 1 to " + std::to_string(max_k));
}

void to_json(nlohmann::json& out, shard_response const& value)
{
    out = {{"request_id", value.request_id},       {"service", value.service}, {"shard", value.shard},
           {"index_version", value.index_version}, {"backend", value.backend}, {"hits", value.hits}};
}

void from_json(nlohmann::json const& in, shard_response& value)
{
    in.at("request_id").get_to(value.request_id);
    in.at("service").get_to(value.service);
    in.at("shard").get_to(value.shard);
    in.at("index_version").get_to(value.index_version);
    in.at("backend").get_to(value.backend);
    in.at("hits").get_to(value.hits);
}

void to_json(nlohmann::json& out, query_request const& value)
{
    out = {{"service", value.service}, {"query", value.query}, {"k", value.k}, {"deadline_ms", value.deadline_ms}};
    if (!value.request_id.empty()) out["request_id"] = value.request_id;
}

void from_json(nlohmann::json const& in, query_request& value)
{
    check_fields(in, {"service", "query", "k", "deadline_ms", "request_id"}, "a query");
    in.at("service").get_to(value.service);
    in.at("query").get_to(value.query);
    value.k = in.value("k", 10);
    value.deadline_ms = in.value("deadline_ms", std::int64_t{0});
    value.request_id = in.value("request_id", std::string{});
    if (value.service.empty()) reject("service", "must name a service");
    if (split_terms(value.query).empty()) reject("query", "must hold at least one word");
    if (value.k < 1 || value.k > max_k) reject("k", "must be from 1 to " + std::to_string(max_k));
    check_deadline(value.deadline_ms);
    if (value.request_id.size() > max_id_length) reject("request_id", "must be at most 128 characters");
}

void to_json(nlohmann::json& out, query_response const& value)
{
    out = {{"request_id", value.request_id},
           {"service", value.service},
           {"index_version", value.index_version},
           {"shards_total", value.shards_total},
           {"shards_answered", value.shards_answered},
           {"coverage", value.coverage},
           {"missing", value.missing},
           {"hits", value.hits}};
}

void from_json(nlohmann::json const& in, query_response& value)
{
    in.at("request_id").get_to(value.request_id);
    in.at("service").get_to(value.service);
    in.at("index_version").get_to(value.index_version);
    in.at("shards_total").get_to(value.shards_total);
    in.at("shards_answered").get_to(value.shards_answered);
    in.at("coverage").get_to(value.coverage);
    in.at("missing").get_to(value.missing);
    in.at("hits").get_to(value.hits);
}

void to_json(nlohmann::json& out, write_request const& value)
{
    out = {{"service", value.service},
           {"idempotency_key", value.idempotency_key},
           {"entity", value.entity},
           {"body", value.body},
           {"deadline_ms", value.deadline_ms}};
}

void from_json(nlohmann::json const& in, write_request& value)
{
    check_fields(in, {"service", "idempotency_key", "entity", "body", "deadline_ms"}, "a write");
    in.at("service").get_to(value.service);
    in.at("idempotency_key").get_to(value.idempotency_key);
    in.at("entity").get_to(value.entity);
    in.at("body").get_to(value.body);
    value.deadline_ms = in.value("deadline_ms", std::int64_t{0});
    if (value.service.empty()) reject("service", "must name a service");
    if (value.idempotency_key.empty() || value.idempotency_key.size() > max_id_length) {
        reject("idempotency_key", "must have 1 to 128 characters");
    }
    if (value.entity.empty()) reject("entity", "must name what the write concerns");
    check_deadline(value.deadline_ms);
}

void to_json(nlohmann::json& out, write_response const& value)
{
    out = {{"idempotency_key", value.idempotency_key},
           {"service", value.service},
           {"result", value.result},
           {"backend", value.backend},
           {"replayed", value.replayed}};
}

void from_json(nlohmann::json const& in, write_response& value)
{
    in.at("idempotency_key").get_to(value.idempotency_key);
    in.at("service").get_to(value.service);
    in.at("result").get_to(value.result);
    in.at("backend").get_to(value.backend);
    in.at("replayed").get_to(value.replayed);
}

void to_json(nlohmann::json& out, shard_write const& value)
{
    out = {{"idempotency_key", value.idempotency_key},
           {"service", value.service},
           {"shard", value.shard},
           {"body", value.body},
           {"deadline_ms", value.deadline_ms}};
}

void from_json(nlohmann::json const& in, shard_write& value)
{
    in.at("idempotency_key").get_to(value.idempotency_key);
    in.at("service").get_to(value.service);
    in.at("shard").get_to(value.shard);
    in.at("body").get_to(value.body);
    in.at("deadline_ms").get_to(value.deadline_ms);
}

NLOHMANN_JSON_SERIALIZE_ENUM(write_state, {{write_state::claimed, "claimed"},
                                           {write_state::released, "released"},
                                           {write_state::done, "done"},
                                           {write_state::unknown, "unknown"}})

void to_json(nlohmann::json& out, write_record const& value)
{
    out = {{"state", value.state},   {"claim", value.claim},
           {"owner", value.owner},   {"fingerprint", value.fingerprint},
           {"result", value.result}, {"backend", value.backend}};
}

void from_json(nlohmann::json const& in, write_record& value)
{
    in.at("state").get_to(value.state);
    in.at("claim").get_to(value.claim);
    in.at("owner").get_to(value.owner);
    in.at("fingerprint").get_to(value.fingerprint);
    in.at("result").get_to(value.result);
    in.at("backend").get_to(value.backend);
}

void to_json(nlohmann::json& out, entry_list const& value)
{
    out = {{"addresses", value.addresses}, {"ttl_s", value.ttl_s}};
}

void from_json(nlohmann::json const& in, entry_list& value)
{
    in.at("addresses").get_to(value.addresses);
    in.at("ttl_s").get_to(value.ttl_s);
}

std::string fingerprint(std::string const& text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    if (EVP_Digest(text.data(), text.size(), digest, &length, EVP_sha256(), nullptr) != 1) {
        throw error(error_kind::internal, "SHA-256 is not available.", "Check the OpenSSL installation.");
    }
    std::ostringstream hex;
    hex << std::hex << std::setfill('0');
    for (unsigned int i = 0; i < length; ++i)
        hex << std::setw(2) << static_cast<int>(digest[i]);
    return hex.str();
}

std::int32_t shard_of_entity(std::string const& entity, std::int32_t shards)
{
    // The first 15 hex digits fit in 60 bits, so the number cannot overflow or become negative.
    auto const number = std::stoull(fingerprint(entity).substr(0, 15), nullptr, 16);
    return static_cast<std::int32_t>(number % static_cast<std::uint64_t>(shards));
}

std::vector<std::string> split_terms(std::string const& text)
{
    std::vector<std::string> terms;
    std::string word;
    for (char c : text) {
        auto const byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0) {
            word.push_back(static_cast<char>(std::tolower(byte)));
        } else if (!word.empty()) {
            terms.push_back(std::move(word));
            word.clear();
        }
    }
    if (!word.empty()) terms.push_back(std::move(word));
    return terms;
}

} // namespace cornelspring
