/** @file etcd.cpp JSON codecs of the store's API (etcd v3 JSON gateway): base64 keys and values, int64 as strings. */
#include <cornelspring/protocol.hpp>

#include <charconv>
#include <limits>

#include <libwebsockets.h>

namespace cornelspring {

std::string base64_encode(std::string const& raw)
{
    std::string out(raw.size() * 4 / 3 + 8, '\0');
    int const length =
        lws_b64_encode_string(raw.data(), static_cast<int>(raw.size()), out.data(), static_cast<int>(out.size()));
    out.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return out;
}

std::string base64_decode(std::string const& text)
{
    std::string out(text.size() + 4, '\0');
    int const length =
        lws_b64_decode_string_len(text.data(), static_cast<int>(text.size()), out.data(), static_cast<int>(out.size()));
    if (length < 0) {
        throw error(error_kind::bad_request, "a key or value is not valid base64.",
                    "Encode keys and values in base64, as etcd's gateway expects.");
    }
    out.resize(static_cast<std::size_t>(length));
    return out;
}

std::int64_t json_int64(nlohmann::json const& value)
{
    if (!value.is_string())
        return checked::integer(value, std::numeric_limits<std::int64_t>::min(),
                                std::numeric_limits<std::int64_t>::max());
    auto const& text = value.get_ref<std::string const&>();
    std::int64_t number = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size())
        throw checked::malformed("a number is malformed or out of range");
    return number;
}

std::string prefix_end(std::string const& prefix)
{
    std::string end = prefix;
    while (!end.empty()) {
        auto& last = reinterpret_cast<unsigned char&>(end.back());
        if (last < 0xff) {
            ++last;
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0');
}

void to_json(nlohmann::json& out, key_value const& value)
{
    out = {{"key", base64_encode(value.key)},
           {"value", base64_encode(value.value)},
           {"create_revision", std::to_string(value.create_revision)},
           {"mod_revision", std::to_string(value.mod_revision)},
           {"version", std::to_string(value.version)},
           {"lease", std::to_string(value.lease)}};
}

void from_json(nlohmann::json const& in, key_value& value)
{
    value.key = base64_decode(in.at("key").get<std::string>());
    value.value = base64_decode(in.value("value", std::string{}));
    value.create_revision = in.contains("create_revision") ? json_int64(in["create_revision"]) : 0;
    value.mod_revision = in.contains("mod_revision") ? json_int64(in["mod_revision"]) : 0;
    value.version = in.contains("version") ? json_int64(in["version"]) : 0;
    value.lease = in.contains("lease") ? json_int64(in["lease"]) : 0;
}

namespace {

/** @return the name of @p target in etcd's API. */
char const* target_name(compare_target target)
{
    switch (target) {
    case compare_target::mod_revision: return "MOD";
    case compare_target::version: return "VERSION";
    case compare_target::create_revision: return "CREATE";
    case compare_target::value: return "VALUE";
    }
    return "MOD";
}

/** @return the JSON of one transaction operation. */
nlohmann::json op_json(txn_op const& op)
{
    switch (op.op) {
    case txn_op::kind::put: {
        nlohmann::json put{{"key", base64_encode(op.key)}, {"value", base64_encode(op.value)}};
        if (op.lease != 0) put["lease"] = std::to_string(op.lease);
        return {{"request_put", put}};
    }
    case txn_op::kind::remove: {
        nlohmann::json remove{{"key", base64_encode(op.key)}};
        if (!op.range_end.empty()) remove["range_end"] = base64_encode(op.range_end);
        return {{"request_delete_range", remove}};
    }
    case txn_op::kind::range: {
        nlohmann::json range{{"key", base64_encode(op.key)}};
        if (!op.range_end.empty()) range["range_end"] = base64_encode(op.range_end);
        return {{"request_range", range}};
    }
    }
    return {};
}

/** @return the operation read from @p in. */
txn_op op_from_json(nlohmann::json const& in)
{
    txn_op op;
    nlohmann::json const* body = nullptr;
    if (in.contains("request_put")) {
        op.op = txn_op::kind::put;
        body = &in["request_put"];
        op.value = base64_decode(body->value("value", std::string{}));
        op.lease = body->contains("lease") ? json_int64((*body)["lease"]) : 0;
    } else if (in.contains("request_delete_range")) {
        op.op = txn_op::kind::remove;
        body = &in["request_delete_range"];
    } else if (in.contains("request_range")) {
        op.op = txn_op::kind::range;
        body = &in["request_range"];
    } else {
        throw error(error_kind::bad_request, "a transaction operation has no known request field.",
                    "Use request_put, request_delete_range or request_range.");
    }
    op.key = base64_decode(body->at("key").get<std::string>());
    if (body->contains("range_end")) op.range_end = base64_decode((*body)["range_end"].get<std::string>());
    return op;
}

} // namespace

void to_json(nlohmann::json& out, txn_request const& value)
{
    out = nlohmann::json::object();
    out["compare"] = nlohmann::json::array();
    for (auto const& c : value.compares) {
        nlohmann::json item{{"key", base64_encode(c.key)}, {"target", target_name(c.target)}, {"result", "EQUAL"}};
        switch (c.target) {
        case compare_target::mod_revision: item["mod_revision"] = std::to_string(c.number); break;
        case compare_target::version: item["version"] = std::to_string(c.number); break;
        case compare_target::create_revision: item["create_revision"] = std::to_string(c.number); break;
        case compare_target::value: item["value"] = base64_encode(c.value); break;
        }
        out["compare"].push_back(item);
    }
    out["success"] = nlohmann::json::array();
    for (auto const& op : value.success)
        out["success"].push_back(op_json(op));
    out["failure"] = nlohmann::json::array();
    for (auto const& op : value.failure)
        out["failure"].push_back(op_json(op));
}

void from_json(nlohmann::json const& in, txn_request& value)
{
    for (auto const& item : in.value("compare", nlohmann::json::array())) {
        compare c;
        c.key = base64_decode(item.at("key").get<std::string>());
        std::string const target = item.value("target", std::string("MOD"));
        if (item.value("result", std::string("EQUAL")) != "EQUAL") {
            throw error(error_kind::bad_request, "only EQUAL comparisons are supported.", "Use result EQUAL.");
        }
        if (target == "MOD") {
            c.target = compare_target::mod_revision;
            c.number = item.contains("mod_revision") ? json_int64(item["mod_revision"]) : 0;
        } else if (target == "VERSION") {
            c.target = compare_target::version;
            c.number = item.contains("version") ? json_int64(item["version"]) : 0;
        } else if (target == "CREATE") {
            c.target = compare_target::create_revision;
            c.number = item.contains("create_revision") ? json_int64(item["create_revision"]) : 0;
        } else if (target == "VALUE") {
            c.target = compare_target::value;
            c.value = base64_decode(item.value("value", std::string{}));
        } else {
            throw error(error_kind::bad_request, "comparison target '" + target + "' is unknown.",
                        "Use MOD, VERSION, CREATE or VALUE.");
        }
        value.compares.push_back(c);
    }
    for (auto const& item : in.value("success", nlohmann::json::array()))
        value.success.push_back(op_from_json(item));
    for (auto const& item : in.value("failure", nlohmann::json::array()))
        value.failure.push_back(op_from_json(item));
}

} // namespace cornelspring
