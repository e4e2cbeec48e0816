/**
 * @file checked.hpp Decoding of messages between processes: sizes, nesting, numbers and names are checked, so that a
 * malformed message throws an error and nothing else happens. Error messages do not quote the message.
 */
#pragma once

#include <cornelspring/base.hpp>

namespace cornelspring::checked {

/** Most bytes of a name or an id. */
inline constexpr std::size_t max_name_bytes = 200;
/** Most entries of a list. */
inline constexpr std::size_t max_entries = 20000;
/** Most bytes of the body of a call between gateways. */
inline constexpr std::size_t max_body_bytes = 1 << 20;
/** Largest count of requests. */
inline constexpr std::int64_t max_count = 1000000;
/** Deepest nesting of lists and objects. The CBOR reader of the JSON library recurses for each level, so that a body of
 *  one MiB could otherwise overflow the stack. */
inline constexpr int max_depth = 16;
/** Most values of one message, as one byte of CBOR becomes a value of 16 bytes. */
inline constexpr std::size_t max_values = 250000;

/** Encodings of messages. */
enum class encoding {
    json, ///< JSON text.
    cbor, ///< CBOR.
};

/** @return the error for a malformed message. @param problem what is wrong with it. */
error malformed(std::string const& problem);
/** @return the message in @p body. @param body its bytes. @param format encoding. @param max_bytes most bytes.
 *  @throw error bad_request when it is too large, too deeply nested or not in that encoding. */
nlohmann::json parse(std::string_view body, encoding format, std::size_t max_bytes = max_body_bytes);
/** @return the integer in @p value. @param value value. @param min lowest one. @param max highest one.
 *  @throw error bad_request when it is not an integer of that range. */
std::int64_t integer(nlohmann::json const& value, std::int64_t min, std::int64_t max);
/** @return the unsigned 64-bit integer in @p value. @param value value. @throw error bad_request for another value. */
std::uint64_t unsigned_integer(nlohmann::json const& value);
/** @return the count of requests in @p value. @param value value. @throw error bad_request when it is not an integer
 *  from 0 to max_count. */
int count(nlohmann::json const& value);
/** @return the number in @p value. @param value value. @param min lowest one. @param max highest one.
 *  @throw error bad_request when it is not a finite number of that range. */
double number(nlohmann::json const& value, double min, double max);
/** @return the name or id in @p value. @param value value. @throw error bad_request when it is not a string, or longer
 *  than max_name_bytes. */
std::string name(nlohmann::json const& value);
/** @return @p value. @param value value. @throw error bad_request when it is not a list of at most max_entries. */
nlohmann::json const& list(nlohmann::json const& value);

/**
 * Decodes a message.
 * @param body its bytes. @param format encoding. @param decode returns the result for the message as JSON; it may throw
 * the exceptions of the JSON library, for example for a missing field. @param max_bytes most bytes.
 * @return the result. @throw error bad_request when the message is malformed.
 */
template <typename Decode>
auto decode(std::string_view body, encoding format, Decode const& decode, std::size_t max_bytes = max_body_bytes)
{
    auto const fields = parse(body, format, max_bytes);
    try {
        return decode(fields);
    } catch (nlohmann::json::exception const& failure) {
        throw malformed("a field is missing or has another type (JSON error " + std::to_string(failure.id) + ")");
    }
}

} // namespace cornelspring::checked
