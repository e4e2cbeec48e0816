/** @file response_syntax.cpp Strict check of the bytes of HTTP/1.1 responses. */
#include "response_syntax.hpp"

#include <cornelspring/net.hpp>

#include <algorithm>
#include <charconv>

namespace cornelspring {
namespace {

/** Start of each status line; the digit of the minor version follows. */
constexpr std::string_view version_prefix = "HTTP/1.";
/** Length of a status line up to the status: version and space. */
constexpr std::size_t status_at = 9;
/** Length of a status line without a reason phrase. */
constexpr std::size_t status_line_size = 12;

/** @return whether @p c is a decimal digit. */
bool is_digit(char c) { return c >= '0' && c <= '9'; }

/** @return whether @p c may be in a reason phrase or a field value: no control character other than a tab. */
bool is_text(char c) { return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f'); }

/** @return whether all of @p text is_text(). */
bool is_text(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return is_text(c); });
}

/** @return whether @p c may be in the name of a field (RFC 9110, 5.6.2). */
bool is_token(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    bool const letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || is_digit(c) || symbols.find(c) != std::string_view::npos;
}

/**
 * @return whether @p line is a field (RFC 9112, 5). A line that continues the value of the one before it starts with a
 * blank and so is not one: readers disagree about such lines, and intermediaries must not pass them on (5.2).
 */
bool is_field(std::string_view line)
{
    auto const colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    auto const name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), [](char c) { return is_token(c); }) && is_text(line.substr(colon + 1));
}

/** @return whether @p line is a status line (RFC 9112, 4). */
bool is_status_line(std::string_view line)
{
    if (line.size() < status_line_size || !line.starts_with(version_prefix)) return false;
    bool const version = is_digit(line[version_prefix.size()]) && line[status_at - 1] == ' ';
    auto const status = parse_status(line.substr(status_at, status_line_size - status_at));
    auto const reason = line.substr(status_line_size);
    // Some servers leave out the space before an empty reason phrase.
    return version && status && (reason.empty() || reason[0] == ' ') && is_text(reason);
}

} // namespace

std::optional<int> parse_status(std::string_view text)
{
    constexpr std::size_t digits = 3;
    int status = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), status);
    bool const whole = text.size() == digits && failure == std::errc() && end == text.data() + text.size();
    constexpr int lowest = 100;
    constexpr int highest = 599;
    return whole && status >= lowest && status <= highest ? std::optional(status) : std::nullopt;
}

void response_syntax::start_response()
{
    m_part = part::status_line;
    m_line.clear();
    m_valid = true;
}

void response_syntax::start_chunks() { m_part = part::chunk_size; }

std::size_t response_syntax::check(std::string_view bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        if (m_part == part::body) return bytes.size();
        if (m_part == part::chunk_data) {
            auto const received = std::min(m_chunk_left, bytes.size() - at);
            at += received;
            m_chunk_left -= received;
            if (m_chunk_left == 0) m_part = part::chunk_end;
            continue;
        }
        auto const end = bytes.find('\n', at);
        bool const line_ends = end != std::string_view::npos;
        auto line = bytes.substr(at, line_ends ? end - at : end);
        auto const first_unchecked = m_line.empty() ? 0 : m_line.size() - 1;
        if (!m_line.empty() || !line_ends) line = m_line.append(line);
        // The parser gets the start of a line before its end has arrived, and takes any byte after a CR for an LF.
        auto const cr = line.find('\r', first_unchecked);
        bool const stray_cr = cr != std::string_view::npos && cr + 1 < line.size();
        m_valid = !stray_cr && (!line_ends || check_line(line));
        if (!m_valid || !line_ends) return bytes.size();
        m_line.clear();
        at = end + 1;
        if (m_part == part::body) return at;
    }
    return at;
}

bool response_syntax::check_line(std::string_view line)
{
    bool const ends_with_cr = line.ends_with('\r');
    if (ends_with_cr) line.remove_suffix(1);
    switch (m_part) {
    case part::status_line: m_part = part::fields; return is_status_line(line);
    case part::fields:
    case part::trailers:
        if (line.empty()) m_part = part::body;
        return line.empty() || is_field(line); // LF alone ends such a line, too (RFC 9112, 2.2).
    case part::chunk_size: return ends_with_cr && check_chunk_size(line);
    case part::chunk_end: m_part = part::chunk_size; return ends_with_cr && line.empty();
    case part::chunk_data:
    case part::body: break;
    }
    return true;
}

bool response_syntax::check_chunk_size(std::string_view line)
{
    auto const* end = line.data() + line.size();
    auto const [rest, failure] = std::from_chars(line.data(), end, m_chunk_left, 16);
    if (failure != std::errc()) return false;
    m_part = m_chunk_left == 0 ? part::trailers : part::chunk_data;
    // Some servers pad the size with blanks. Extensions are ignored (RFC 9112, 7.1.1).
    std::string_view extensions(rest, static_cast<std::size_t>(end - rest));
    extensions.remove_prefix(std::min(extensions.find_first_not_of(" \t"), extensions.size()));
    return extensions.empty() || (extensions[0] == ';' && is_text(extensions));
}

} // namespace cornelspring
