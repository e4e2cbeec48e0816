/** @file messages.cpp JSON codecs of the query messages. */
#include <cornelspring/protocol.hpp>

#include <cctype>

namespace cornelspring {
namespace {

/** Throws a bad_request error for field @p name. */
[[noreturn]] void refuse(std::string const& name, std::string const& rule)
{
    throw error(error_kind::bad_request, "field '" + name + "' " + rule + ".",
                "Correct '" + name + "' and send again.");
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
    if (value.k < 1 || value.k > max_k) refuse("k", "must be from 1 to " + std::to_string(max_k));
}

void to_json(nlohmann::json& out, shard_answer const& value)
{
    out = {{"request_id", value.request_id},       {"service", value.service}, {"shard", value.shard},
           {"index_version", value.index_version}, {"backend", value.backend}, {"hits", value.hits}};
}

void from_json(nlohmann::json const& in, shard_answer& value)
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
    if (!in.is_object()) refuse("(body)", "must be a JSON object");
    for (auto const& [key, item] : in.items()) {
        if (key != "service" && key != "query" && key != "k" && key != "deadline_ms" && key != "request_id") {
            refuse(key, "is not a field of a query");
        }
    }
    in.at("service").get_to(value.service);
    in.at("query").get_to(value.query);
    value.k = in.value("k", 10);
    value.deadline_ms = in.value("deadline_ms", std::int64_t{0});
    value.request_id = in.value("request_id", std::string{});
    if (value.service.empty()) refuse("service", "must name a service");
    if (split_terms(value.query).empty()) refuse("query", "must hold at least one word");
    if (value.k < 1 || value.k > max_k) refuse("k", "must be from 1 to " + std::to_string(max_k));
    if (value.deadline_ms < 0 || value.deadline_ms > max_deadline_ms) {
        refuse("deadline_ms", "must be from 0 to " + std::to_string(max_deadline_ms));
    }
    if (value.request_id.size() > 128) refuse("request_id", "must be at most 128 characters");
}

void to_json(nlohmann::json& out, query_answer const& value)
{
    out = {{"request_id", value.request_id},
           {"service", value.service},
           {"index_version", value.index_version},
           {"shards_total", value.shards_total},
           {"shards_answered", value.shards_answered},
           {"coverage", value.coverage},
           {"hits", value.hits}};
}

void from_json(nlohmann::json const& in, query_answer& value)
{
    in.at("request_id").get_to(value.request_id);
    in.at("service").get_to(value.service);
    in.at("index_version").get_to(value.index_version);
    in.at("shards_total").get_to(value.shards_total);
    in.at("shards_answered").get_to(value.shards_answered);
    in.at("coverage").get_to(value.coverage);
    in.at("hits").get_to(value.hits);
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
