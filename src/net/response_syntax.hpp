/** @file response_syntax.hpp Strict check of the bytes of HTTP/1.1 responses (internal). */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelspring {

/**
 * Checks responses against the grammar of RFC 9112 while they are received. Debian's build of http_parser accepts
 * more, for example any status up to 999.
 */
class response_syntax {
public:
    /** Prepares for the status line of a response, interim or final. */
    void start_response();
    /** States that the header is followed by a chunked body with its trailers. Other bodies need no check. */
    void start_chunks();
    /**
     * Checks bytes up to the end of a header or of a chunked body, or all if it does not end in them.
     * @param bytes received bytes that have not been checked yet.
     * @return the number of bytes checked.
     */
    std::size_t check(std::string_view bytes);
    /** @return whether all bytes checked since start_response() are valid. */
    bool valid() const { return m_valid; }

private:
    /** What comes next. */
    enum class part { status_line, fields, chunk_size, chunk_data, chunk_end, trailers, body };
    /** Checks one line. @param line the line, without LF. @return whether it is valid. */
    bool check_line(std::string_view line);
    /** Checks the line with the size of a chunk. @param line the line, without CR. @return whether it is valid. */
    bool check_chunk_size(std::string_view line);

    part m_part = part::status_line; ///< What comes next.
    std::string m_line;              ///< Start of a line whose end has not been received.
    std::size_t m_chunk_left = 0;    ///< Bytes of the chunk that have not been received.
    bool m_valid = true;             ///< All bytes so far are valid.
};

} // namespace cornelspring
