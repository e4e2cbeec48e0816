/** @file test_settings.cpp Tests of loading settings: defaults, overrides, and errors in keys, types and ranges. */
#include <cornelspring/base.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;

namespace {

std::vector<setting_def> const table = {
    {"listen.port", setting_type::integer, setting_value{std::int64_t{80}}, 0, 65535, "TCP port"},
    {"name", setting_type::text, std::nullopt, 0, 0, "name"},
    {"shards", setting_type::integer_list, setting_value{std::vector<std::int64_t>{}}, 0, 10, "shards"},
};

/** @return the message of the bad_settings error thrown when loading @p text, or "" if none is thrown. */
std::string load_error(std::string const& text, std::vector<std::string> const& overrides = {})
{
    try {
        load_settings(text, overrides, table, "test.toml");
    } catch (error const& failure) {
        CHECK(failure.kind() == error_kind::bad_settings);
        CHECK_FALSE(failure.remedy().empty());
        return failure.message();
    }
    return "";
}

} // namespace

TEST_CASE("settings: values come from the file or the defaults")
{
    auto const loaded = load_settings("name = \"a\"\n[listen]\nport = 9000\n", {}, table, "test.toml");
    CHECK(loaded.integer("listen.port") == 9000);
    CHECK(loaded.text("name") == "a");
    CHECK(loaded.integer_list("shards").empty());
}

TEST_CASE("settings: overrides from --set take precedence over the file")
{
    auto const loaded = load_settings("name = \"a\"\n", {"listen.port=1", "shards=[1,2]"}, table, "test.toml");
    CHECK(loaded.integer("listen.port") == 1);
    CHECK(loaded.integer_list("shards").size() == 2);
}

TEST_CASE("settings: errors name the key")
{
    struct fault_case {
        char const* text;
        char const* key_named;
    };
    fault_case const cases[] = {
        {"name = \"a\"\nlisten.prot = 1\n", "listen.prot"},     // unknown key
        {"", "name"},                                           // missing required key
        {"name = 3\n", "name"},                                 // wrong type
        {"name = \"a\"\nlisten.port = 70000\n", "listen.port"}, // out of range
        {"name = \"a\"\nshards = [1, 11]\n", "shards"},         // list item out of range
        {"name = \"a\"\nlisten.port = 1.5\n", "listen.port"},   // float for integer
        {"name = \n", "test.toml"},                             // syntax error names the file
    };
    for (auto const& item : cases) {
        CAPTURE(item.text);
        CHECK(load_error(item.text).find(item.key_named) != std::string::npos);
    }
}
