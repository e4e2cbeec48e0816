/** @file checked.cpp Checks of the messages between processes. */
#include <cornelspring/checked.hpp>

#include <cmath>

namespace cornelspring::checked {
namespace {

using nlohmann::json;

/** Reads a message without keeping it, and stops when it is nested too deeply or has too many values. */
class shape_check : public nlohmann::json_sax<json> {
public:
    bool null() override { return add_value(); }
    bool boolean(bool) override { return add_value(); }
    bool number_integer(json::number_integer_t) override { return add_value(); }
    bool number_unsigned(json::number_unsigned_t) override { return add_value(); }
    bool number_float(json::number_float_t, json::string_t const&) override { return add_value(); }
    bool string(json::string_t&) override { return add_value(); }
    bool binary(json::binary_t&) override { return add_value(); }
    bool start_object(std::size_t) override { return open(); }
    bool key(json::string_t&) override { return add_value(); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t position, std::string const&, nlohmann::detail::exception const&) override
    {
        m_problem = "syntax error at byte " + std::to_string(position);
        return false;
    }
    /** @return why the message was rejected. */
    std::string const& problem() const { return m_problem; }

private:
    /** Counts a value. @return whether to continue. */
    bool add_value()
    {
        if (++m_values <= max_values) return true;
        m_problem = "too many values";
        return false;
    }
    /** Counts the start of a list or an object. @return whether to continue. */
    bool open()
    {
        if (++m_depth <= max_depth) return add_value();
        m_problem = "nested too deeply";
        return false;
    }
    /** Counts the end of a list or an object. @return true. */
    bool close()
    {
        --m_depth;
        return true;
    }

    std::size_t m_values = 0;                 ///< Values and keys so far.
    int m_depth = 0;                          ///< Current nesting.
    std::string m_problem = "cannot be read"; ///< Why it was rejected.
};

} // namespace

error malformed(std::string const& problem)
{
    return {error_kind::bad_request, "malformed message: " + problem + ".",
            "Gateways of one fleet must run the same release."};
}

json parse(std::string_view body, encoding format, std::size_t max_bytes)
{
    if (body.size() > max_bytes) throw malformed("larger than " + std::to_string(max_bytes) + " bytes");
    auto const input = format == encoding::json ? json::input_format_t::json : json::input_format_t::cbor;
    try {
        shape_check check;
        if (!json::sax_parse(body.begin(), body.end(), &check, input)) throw malformed(check.problem());
        return format == encoding::json ? json::parse(body.begin(), body.end())
                                        : json::from_cbor(body.begin(), body.end());
    } catch (json::exception const& failure) {
        throw malformed("cannot be read (JSON error " + std::to_string(failure.id) + ")");
    }
}

std::int64_t integer(json const& value, std::int64_t min, std::int64_t max)
{
    if (!value.is_number_integer()) throw malformed("a value is not an integer");
    // A larger unsigned value would become negative in the conversion.
    bool const too_large =
        value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    auto const number = value.get<std::int64_t>();
    if (too_large || number < min || number > max) throw malformed("an integer is out of range");
    return number;
}

std::uint64_t unsigned_integer(json const& value)
{
    if (!value.is_number_unsigned()) throw malformed("a value is not an unsigned integer");
    return value.get<std::uint64_t>();
}

int count(json const& value) { return static_cast<int>(integer(value, 0, max_count)); }

double number(json const& value, double min, double max)
{
    if (!value.is_number()) throw malformed("a value is not a number");
    auto const number = value.get<double>();
    if (!std::isfinite(number) || number < min || number > max) throw malformed("a number is out of range");
    return number;
}

std::string name(json const& value)
{
    if (!value.is_string()) throw malformed("a name is not a string");
    auto const& text = value.get_ref<std::string const&>();
    if (text.size() > max_name_bytes) throw malformed("a name is too long");
    return text;
}

json const& list(json const& value)
{
    if (!value.is_array()) throw malformed("a value is not a list");
    if (value.size() > max_entries) throw malformed("a list is too long");
    return value;
}

} // namespace cornelspring::checked
