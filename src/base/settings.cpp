/** @file settings.cpp Loads TOML settings and checks them against their declarations. */
#include <cornelspring/base.hpp>

#include <sstream>

#include <toml++/toml.h>

namespace cornelspring {
namespace {

/** Leaf values of TOML documents by dotted key. */
using flat_table = std::map<std::string, toml::node const*>;

/** Adds all leaf values of @p table to @p out, with @p prefix before their keys. */
void flatten(toml::table const& table, std::string const& prefix, flat_table& out)
{
    for (auto const& [key, node] : table) {
        std::string const name = prefix.empty() ? std::string(key.str()) : prefix + "." + std::string(key.str());
        if (auto const* inner = node.as_table()) {
            flatten(*inner, name, out);
        } else {
            out[name] = &node;
        }
    }
}

/** @return the name of @p type in help texts and error messages. */
std::string type_name(setting_type type)
{
    switch (type) {
    case setting_type::integer: return "an integer";
    case setting_type::floating: return "a number";
    case setting_type::text: return "a string";
    case setting_type::boolean: return "true or false";
    case setting_type::text_list: return "a list of strings";
    case setting_type::integer_list: return "a list of integers";
    }
    return "a value";
}

/** @return @p node converted to the type of @p def, or nothing if it has another type. */
std::optional<setting_value> convert(toml::node const& node, setting_def const& def)
{
    switch (def.type) {
    case setting_type::integer:
        if (auto v = node.value<std::int64_t>(); v && node.is_integer()) return setting_value{*v};
        return std::nullopt;
    case setting_type::floating:
        if (auto v = node.value<double>()) return setting_value{*v};
        return std::nullopt;
    case setting_type::text:
        if (auto v = node.value<std::string>()) return setting_value{*v};
        return std::nullopt;
    case setting_type::boolean:
        if (auto v = node.value<bool>()) return setting_value{*v};
        return std::nullopt;
    case setting_type::text_list: {
        auto const* array = node.as_array();
        if (array == nullptr) return std::nullopt;
        std::vector<std::string> items;
        for (auto const& item : *array) {
            auto v = item.value<std::string>();
            if (!v) return std::nullopt;
            items.push_back(*v);
        }
        return setting_value{items};
    }
    case setting_type::integer_list: {
        auto const* array = node.as_array();
        if (array == nullptr) return std::nullopt;
        std::vector<std::int64_t> items;
        for (auto const& item : *array) {
            if (!item.is_integer()) return std::nullopt;
            items.push_back(*item.value<std::int64_t>());
        }
        return setting_value{items};
    }
    }
    return std::nullopt;
}

/** @throw error bad_settings when a number in @p value is outside the range of @p def. */
void check_range(setting_def const& def, setting_value const& value, std::string const& source)
{
    if (def.min == def.max) return;
    auto check = [&](double number) {
        if (number < def.min || number > def.max) {
            std::ostringstream text;
            text << source << ": '" << def.key << "' is " << number << ", outside " << def.min << " to " << def.max
                 << ".";
            throw error(error_kind::bad_settings, text.str(),
                        "Set '" + def.key + "' to a value within this range (" + def.help + ").");
        }
    };
    if (auto const* i = std::get_if<std::int64_t>(&value)) check(static_cast<double>(*i));
    if (auto const* f = std::get_if<double>(&value)) check(*f);
    if (auto const* list = std::get_if<std::vector<std::int64_t>>(&value)) {
        for (auto item : *list)
            check(static_cast<double>(item));
    }
}

/** @return the document parsed from @p text. @throw error of @p kind on a syntax error. */
toml::table parse_document(std::string const& text, std::string const& source, error_kind kind)
{
    try {
        return toml::parse(text, source);
    } catch (toml::parse_error const& failure) {
        std::ostringstream where;
        where << source << ":" << failure.source().begin.line << ": " << failure.description();
        throw error(kind, where.str(), "Correct the TOML syntax of that line.");
    }
}

} // namespace

settings load_settings(std::string const& toml_text, std::vector<std::string> const& overrides,
                       std::vector<setting_def> const& defs, std::string const& source)
{
    std::vector<toml::table> documents;
    documents.push_back(parse_document(toml_text, source, error_kind::bad_settings));
    for (auto const& line : overrides) {
        documents.push_back(parse_document(line, "--set " + line, error_kind::bad_settings));
    }
    flat_table leaves;
    for (auto const& document : documents) {
        flatten(document, "", leaves);
    }
    std::map<std::string, setting_def const*> by_key;
    for (auto const& def : defs) {
        by_key[def.key] = &def;
    }
    for (auto const& [key, node] : leaves) {
        if (by_key.count(key) == 0) {
            throw error(error_kind::bad_settings, source + ": unknown key '" + key + "'.",
                        "Remove the key or correct its spelling; --settings-help lists all keys.");
        }
    }
    settings result;
    for (auto const& def : defs) {
        auto const found = leaves.find(def.key);
        if (found == leaves.end()) {
            if (!def.default_value) {
                throw error(error_kind::bad_settings, source + ": required key '" + def.key + "' is missing.",
                            "Add '" + def.key + "' (" + def.help + ").");
            }
            result.set(def.key, *def.default_value);
            continue;
        }
        auto value = convert(*found->second, def);
        if (!value) {
            throw error(error_kind::bad_settings, source + ": '" + def.key + "' must be " + type_name(def.type) + ".",
                        "Write '" + def.key + "' as " + type_name(def.type) + " (" + def.help + ").");
        }
        check_range(def, *value, source);
        result.set(def.key, std::move(*value));
    }
    return result;
}

nlohmann::json toml_to_json(std::string const& toml_text, std::string const& source, error_kind kind)
{
    std::ostringstream as_json;
    as_json << toml::json_formatter(parse_document(toml_text, source, kind));
    return nlohmann::json::parse(as_json.str());
}

std::string describe_settings(std::vector<setting_def> const& defs)
{
    std::ostringstream out;
    for (auto const& def : defs) {
        out << "  " << def.key << " (" << type_name(def.type);
        if (def.min != def.max) out << ", " << def.min << " to " << def.max;
        out << (def.default_value ? "" : ", required") << "): " << def.help << "\n";
    }
    return out.str();
}

setting_value const& settings::at(std::string const& key) const
{
    auto const found = m_values.find(key);
    if (found == m_values.end()) {
        throw error(error_kind::internal, "setting '" + key + "' was not declared.", "Report this bug.");
    }
    return found->second;
}

std::int64_t settings::integer(std::string const& key) const { return std::get<std::int64_t>(at(key)); }
double settings::floating(std::string const& key) const { return std::get<double>(at(key)); }
std::string const& settings::text(std::string const& key) const { return std::get<std::string>(at(key)); }
bool settings::boolean(std::string const& key) const { return std::get<bool>(at(key)); }

std::vector<std::string> const& settings::text_list(std::string const& key) const
{
    return std::get<std::vector<std::string>>(at(key));
}

std::vector<std::int64_t> const& settings::integer_list(std::string const& key) const
{
    return std::get<std::vector<std::int64_t>>(at(key));
}

} // namespace cornelspring
