/** @file http_message.cpp Strict HTTP/1.1 parsing with Debian's http_parser, and serialisation. */
#include "response_syntax.hpp"

#include <cornelspring/net.hpp>

#include <algorithm>
#include <array>
#include <cctype>

#include <http_parser.h>

namespace cornelspring {

/** Implementation of message_reader. */
struct message_reader::impl {
    http_parser parser{};         ///< Parser state.
    kind what;                    ///< Requests or responses.
    message_limits limits;        ///< Size limits.
    response_syntax syntax;       ///< Checks the bytes of responses.
    parse_state state{};          ///< Progress.
    http_request request;         ///< Request being read.
    http_response response;       ///< Response being read.
    std::size_t header_bytes = 0; ///< Bytes counted against max_header_bytes.
    bool started = false;         ///< A byte of this message has been read.
    bool headers_done = false;    ///< Headers complete.
    bool value_started = false;   ///< Part of the last header's value has been read.
    bool keep_alive = false;      ///< The connection stays open after the message.
    bool has_length = false;      ///< It has a Content-Length or is chunked.
    bool no_body = false;         ///< It is the response to a HEAD request.
    bool interim = false;         ///< The response being read is a 1xx.

    /** @return the headers of the message being read. */
    std::vector<http_header>& headers() { return what == kind::request ? request.headers : response.headers; }
    /** @return the body of the message being read. */
    std::string& body() { return what == kind::request ? request.body : response.body; }
    /** Parses bytes. @return the number of bytes consumed. */
    std::size_t parse(std::string_view bytes);
    /** Discards the message and prepares to parse the next. */
    void restart()
    {
        http_parser_init(&parser, what == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        request = {};
        request.path.clear();
        response = {};
        header_bytes = 0;
        syntax.start_response();
        state = parse_state::incomplete;
        started = headers_done = value_started = keep_alive = has_length = no_body = interim = false;
    }
};

namespace {

using reader_state = message_reader::impl;

/** @return the reader that owns @p parser. */
reader_state& state_of(http_parser* parser) { return *static_cast<reader_state*>(parser->data); }

/** Appends @p text in lower case to @p out. */
void append_lower(std::string& out, char const* text, std::size_t length)
{
    for (std::size_t i = 0; i < length; ++i) {
        out.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(text[i]))));
    }
}

/** Bytes of a header line other than name and value: colon, space and CRLF. */
constexpr std::size_t header_line_overhead = 4;

/** Bytes of an interim response without headers, at least. */
constexpr std::size_t interim_overhead = 25;

/** Counts header bytes. @return 0, or -1 to stop the parser when they exceed the limit. */
int count_header_bytes(reader_state& reader, std::size_t length)
{
    reader.header_bytes += length;
    if (reader.header_bytes <= reader.limits.max_header_bytes) return 0;
    reader.state = parse_state::header_too_large;
    return -1;
}

/** @return whether @p headers contains @p name. @param name lower-case name. */
bool has_header(std::vector<http_header> const& headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [name](http_header const& each) { return each.name == name; });
}

/** Parser callback: appends to the request target. */
int on_url(http_parser* parser, char const* at, std::size_t length)
{
    auto& reader = state_of(parser);
    reader.request.path.append(at, length);
    return count_header_bytes(reader, length);
}

/** @return whether the parser is in the trailers of a response. They are not part of the header, whose fields they
 * could replace otherwise (RFC 9110, 6.5.1), and are discarded. */
bool in_discarded_trailers(reader_state const& reader)
{
    return reader.headers_done && reader.what == message_reader::kind::response;
}

/** Parser callback: appends to a header name. */
int on_field(http_parser* parser, char const* at, std::size_t length)
{
    auto& reader = state_of(parser);
    if (in_discarded_trailers(reader)) return count_header_bytes(reader, length);
    auto& headers = reader.headers();
    if (headers.empty() || reader.value_started) headers.emplace_back();
    reader.value_started = false;
    append_lower(headers.back().name, at, length);
    return count_header_bytes(reader, length);
}

/** Parser callback: appends to a header value. */
int on_value(http_parser* parser, char const* at, std::size_t length)
{
    auto& reader = state_of(parser);
    if (in_discarded_trailers(reader)) return count_header_bytes(reader, length);
    reader.headers().back().value.append(at, length);
    std::size_t const overhead = reader.value_started ? 0 : header_line_overhead;
    reader.value_started = true;
    return count_header_bytes(reader, length + overhead);
}

constexpr unsigned status_switching_protocols = 101;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

/** @return whether responses with @p status end with their header, whatever its fields say (RFC 9112, 6.3). */
bool is_bodiless(unsigned status)
{
    return status / 100 == 1 || status == status_no_content || status == status_not_modified;
}

/** @return whether @p parser, which has read the header of a response, can find the end of the response. */
bool has_valid_framing(http_parser const& parser, std::vector<http_header> const& headers)
{
    // No request asks for another protocol, as Upgrade is not forwarded.
    if (parser.status_code == status_switching_protocols) return false;
    bool const bodiless = is_bodiless(parser.status_code);
    std::size_t codings = 0;
    for (auto const& header : headers) {
        if (header.name != "transfer-encoding") continue;
        // Other codings cannot be removed, and HTTP/1.0 has none (RFC 9112, 6.1).
        bool const chunked = same_header(header.value.substr(0, header.value.find_last_not_of(" \t") + 1), "chunked");
        if (!chunked || ++codings > 1 || bodiless || parser.http_minor == 0) return false;
    }
    // The parser takes any field whose name starts with Transfer-Encoding for that field.
    if (codings == 0 && parser.uses_transfer_encoding != 0) return false;
    bool const announces_body = (parser.flags & F_CONTENTLENGTH) != 0 && parser.content_length > 0;
    return !bodiless || !announces_body || parser.status_code == status_not_modified;
}

/** Parser callback at the end of the headers: checks them and reads the framing of the body. */
int on_headers(http_parser* parser)
{
    auto& reader = state_of(parser);
    // A message with both Transfer-Encoding and Content-Length enables request smuggling, as its readers may disagree
    // on where the body ends. The parser alone accepts some of these messages.
    bool const ambiguous =
        has_header(reader.headers(), "transfer-encoding") && has_header(reader.headers(), "content-length");
    // Debian's build of the parser accepts spaces in header names.
    bool const bad_name = std::any_of(reader.headers().begin(), reader.headers().end(), [](http_header const& each) {
        return each.name.find_first_of(" \t") != std::string::npos;
    });
    if (parser->http_major != 1 || ambiguous || bad_name) {
        reader.state = parse_state::malformed;
        return -1;
    }
    reader.headers_done = true;
    reader.has_length = (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
    bool skips_body = reader.no_body;
    if (reader.what == message_reader::kind::request) {
        if (parser->method != HTTP_CONNECT) parser->upgrade = 0; // A server may ignore Upgrade (RFC 9110, 7.8).
        reader.request.method = http_method_str(static_cast<http_method>(parser->method));
    } else {
        if (!has_valid_framing(*parser, reader.headers())) {
            reader.state = parse_state::malformed;
            return -1;
        }
        reader.interim = parser->status_code / 100 == 1;
        reader.response.status = parser->status_code;
        parser->upgrade = 0;
        skips_body = skips_body || is_bodiless(parser->status_code);
        if (!skips_body && (parser->flags & F_CHUNKED) != 0) reader.syntax.start_chunks();
    }
    if (!skips_body && (parser->flags & F_CONTENTLENGTH) != 0 &&
        parser->content_length > reader.limits.max_body_bytes) {
        reader.state = parse_state::body_too_large;
        return -1;
    }
    return skips_body ? 1 : 0;
}

/** Parser callback: appends to the body. */
int on_body(http_parser* parser, char const* at, std::size_t length)
{
    auto& reader = state_of(parser);
    if (reader.body().size() + length > reader.limits.max_body_bytes) {
        reader.state = parse_state::body_too_large;
        return -1;
    }
    reader.body().append(at, length);
    return 0;
}

/** Parser callback at the end of a message: pauses the parser, so that it does not consume the next message. */
int on_complete(http_parser* parser)
{
    auto& reader = state_of(parser);
    if (reader.interim) { // 1xx responses precede the final response.
        reader.response = {};
        reader.headers_done = reader.value_started = reader.interim = false;
        reader.syntax.start_response();
        return count_header_bytes(reader, interim_overhead);
    }
    reader.keep_alive = http_should_keep_alive(parser) != 0;
    reader.state = parse_state::complete;
    http_parser_pause(parser, 1);
    return 0;
}

/** @return the parser's callbacks. */
http_parser_settings make_callbacks()
{
    http_parser_settings callbacks{};
    callbacks.on_url = on_url;
    callbacks.on_header_field = on_field;
    callbacks.on_header_value = on_value;
    callbacks.on_headers_complete = on_headers;
    callbacks.on_body = on_body;
    callbacks.on_message_complete = on_complete;
    return callbacks;
}

http_parser_settings const callbacks = make_callbacks();

/** Hop-by-hop headers (RFC 9110, 7.6.1), and Content-Length, which serialize() sets, and Expect. */
constexpr std::array<std::string_view, 9> hop_by_hop_names = {"connection", "keep-alive",     "proxy-connection",
                                                              "te",         "trailer",        "transfer-encoding",
                                                              "upgrade",    "content-length", "expect"};

/** @return the reason phrase of @p status. */
char const* reason_phrase(int status)
{
    switch (status) {
#define CORNEL_REASON(number, name, text)                                                                              \
    case number: return #text;
        HTTP_STATUS_MAP(CORNEL_REASON)
#undef CORNEL_REASON
    default: return "Other";
    }
}

/** Appends the headers of a message. */
void append_headers(std::string& out, std::vector<http_header> const& headers)
{
    for (auto const& header : headers) {
        out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
}

} // namespace

message_reader::message_reader(kind what, message_limits limits) : m_impl(std::make_unique<impl>())
{
    m_impl->what = what;
    m_impl->limits = limits;
    m_impl->restart();
}

message_reader::~message_reader() = default;

std::size_t message_reader::impl::parse(std::string_view bytes)
{
    auto const used = http_parser_execute(&parser, &callbacks, bytes.data(), bytes.size());
    auto const failure = HTTP_PARSER_ERRNO(&parser);
    if (state != parse_state::incomplete) return used;
    if (failure == HPE_HEADER_OVERFLOW) {
        state = parse_state::header_too_large;
    } else if (failure != HPE_OK) {
        state = parse_state::malformed;
    }
    return used;
}

std::size_t message_reader::feed(std::string_view bytes)
{
    auto& reader = *m_impl;
    if (reader.state != parse_state::incomplete || bytes.empty()) return 0;
    reader.started = true;
    if (reader.what == kind::request) return reader.parse(bytes);
    std::size_t used = 0;
    while (reader.state == parse_state::incomplete && used < bytes.size()) {
        auto const part = bytes.substr(used, reader.syntax.check(bytes.substr(used)));
        if (!reader.syntax.valid()) {
            reader.state = parse_state::malformed;
            return used;
        }
        used += reader.parse(part);
    }
    return used;
}

void message_reader::finish()
{
    auto& reader = *m_impl;
    if (reader.state != parse_state::incomplete) return;
    http_parser_execute(&reader.parser, &callbacks, nullptr, 0);
    if (reader.state == parse_state::incomplete) reader.state = parse_state::truncated;
}

void message_reader::restart() { m_impl->restart(); }
void message_reader::expect_no_body() { m_impl->no_body = true; }
parse_state message_reader::state() const { return m_impl->state; }
bool message_reader::started() const { return m_impl->started; }
bool message_reader::headers_done() const { return m_impl->headers_done; }
bool message_reader::has_length() const { return m_impl->has_length; }
bool message_reader::keep_alive() const { return m_impl->keep_alive; }
http_request& message_reader::request() { return m_impl->request; }
http_response& message_reader::response() { return m_impl->response; }

bool message_reader::expects_continue() const
{
    return m_impl->headers_done && m_impl->state == parse_state::incomplete &&
           same_header(m_impl->request.header("expect"), "100-continue");
}

bool same_header(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [name](std::string_view known) { return same_header(known, name); });
}

void remove_hop_by_hop(std::vector<http_header>& headers)
{
    std::string connection_options = ",";
    for (auto const& header : headers) {
        if (same_header(header.name, "connection"))
            append_lower(connection_options, (header.value + ",").data(), header.value.size() + 1);
    }
    connection_options.erase(std::remove(connection_options.begin(), connection_options.end(), ' '),
                             connection_options.end());
    std::erase_if(headers, [&connection_options](http_header const& header) {
        return is_hop_by_hop(header.name) || connection_options.find("," + header.name + ",") != std::string::npos;
    });
}

std::string serialize(http_request const& request)
{
    std::string out;
    out.reserve(256 + request.body.size());
    out.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\n");
    append_headers(out, request.headers);
    bool const has_body = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (has_body) out.append("content-length: ").append(std::to_string(request.body.size())).append("\r\n");
    out.append("\r\n").append(request.body);
    return out;
}

std::string serialize(http_response const& response, bool close, bool head_only)
{
    std::string out;
    out.reserve(256 + response.body.size());
    out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reason_phrase(response.status));
    out.append("\r\n");
    append_headers(out, response.headers);
    bool const bodiless = response.status == 204 || response.status == 304 || response.status / 100 == 1;
    if (!bodiless) out.append("content-length: ").append(std::to_string(response.body.size())).append("\r\n");
    if (close) out.append("connection: close\r\n");
    out.append("\r\n");
    if (!bodiless && !head_only) out.append(response.body);
    return out;
}

} // namespace cornelspring
