/** @file test_http_message.cpp Tests of strict HTTP/1.1 parsing and of hop-by-hop headers. */
#include <cornelspring/net.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace cornelspring;

namespace {

/** @return the state after feeding @p bytes to @p reader, @p step bytes at a time. */
parse_state read_all(message_reader& reader, std::string const& bytes, std::size_t step)
{
    for (std::size_t at = 0; at < bytes.size() && reader.state() == parse_state::incomplete; at += step) {
        std::string_view chunk = std::string_view(bytes).substr(at, step);
        while (!chunk.empty() && reader.state() == parse_state::incomplete)
            chunk.remove_prefix(reader.feed(chunk));
    }
    return reader.state();
}

} // namespace

TEST_CASE("http: valid and invalid requests are recognised, however they are split")
{
    struct row {
        std::string name;
        std::string bytes;
        parse_state expected;
    };
    std::string const host = "Host: h\r\n";
    std::vector<row> const rows = {
        {"plain", "GET / HTTP/1.1\r\n" + host + "\r\n", parse_state::complete},
        {"length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 2\r\n\r\nab", parse_state::complete},
        {"chunks", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
         parse_state::complete},
        {"both lengths",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         parse_state::malformed},
        {"two lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
         parse_state::malformed},
        {"bad length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 2x\r\n\r\nab", parse_state::malformed},
        {"space before colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", parse_state::malformed},
        {"bad chunk", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
         parse_state::malformed},
        {"not http", "hello\r\n\r\n", parse_state::malformed},
        {"large header", "GET / HTTP/1.1\r\nX: " + std::string(400, 'x') + "\r\n\r\n", parse_state::header_too_large},
        {"large body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 500\r\n\r\n", parse_state::body_too_large},
        {"large chunks",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1f4\r\n" + std::string(500, 'b') +
             "\r\n0\r\n\r\n",
         parse_state::body_too_large},
    };
    for (auto const& each : rows) {
        for (std::size_t const step : {std::size_t{1}, std::size_t{7}, std::size_t{10000}}) {
            CAPTURE(each.name);
            CAPTURE(step);
            message_reader reader(message_reader::kind::request, {300, 400});
            CHECK(read_all(reader, each.bytes, step) == each.expected);
        }
    }
}

TEST_CASE("http: a message ends at its Content-Length, and bytes after it are not consumed")
{
    message_reader reader(message_reader::kind::response);
    std::string const first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    std::string const bytes = first + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc";
    CHECK(reader.feed(bytes) == first.size());
    CHECK(reader.state() == parse_state::complete);
    CHECK(reader.response().body == "ab");
    reader.restart();
    reader.feed(std::string_view(bytes).substr(first.size()));
    CHECK(reader.response().body == "c");
}

TEST_CASE("http: a response without a length is complete only when the connection is closed normally")
{
    message_reader reader(message_reader::kind::response);
    reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(reader.state() == parse_state::incomplete);
    CHECK_FALSE(reader.has_length());
    SUBCASE("closed")
    {
        reader.finish();
        CHECK(reader.state() == parse_state::complete);
        CHECK(reader.response().body == "abc");
        CHECK_FALSE(reader.keep_alive());
    }
}

TEST_CASE("http: a truncated response is never complete")
{
    for (char const* bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", "HTTP/1.1 200 OK\r\nContent-",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
        message_reader reader(message_reader::kind::response);
        reader.feed(bytes);
        reader.finish();
        CHECK(reader.state() != parse_state::complete);
    }
}

TEST_CASE("http: an interim response is not the final response")
{
    message_reader reader(message_reader::kind::response);
    std::string const bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 1\r\n\r\na";
    CHECK(read_all(reader, bytes, 9) == parse_state::complete);
    CHECK(reader.response().status == 200);
    CHECK(reader.response().header("x") == "y");
}

TEST_CASE("http: hop-by-hop headers are removed")
{
    std::vector<http_header> headers = {
        {"connection", "close, X-A"}, {"x-a", "1"}, {"x-b", "2"}, {"te", "trailers"}, {"content-length", "3"},
        {"keep-alive", "timeout=4"}};
    remove_hop_by_hop(headers);
    REQUIRE(headers.size() == 1);
    CHECK(headers[0].name == "x-b");
}

TEST_CASE("http message: interim responses without an end are too large a header")
{
    message_reader reader(message_reader::kind::response);
    std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::size_t bytes = 0;
    while (reader.state() == parse_state::incomplete && bytes < 1 << 20)
        bytes += reader.feed(interim);
    CHECK(reader.state() == parse_state::header_too_large);
    CHECK(bytes <= 2 * message_limits{}.max_header_bytes);
}

namespace {

/** Valid responses in all framings, as a start for mutations. */
std::vector<std::string> const valid_responses = {
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nX: \r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n1\r\nc\r\n0\r\nY: z\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 404 \r\nConnection: x, close\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nETag: \"e\"\r\nContent-Length: 7\r\n\r\n",
    "HTTP/1.0 503 Busy\r\nRetry-After: 1\r\n\r\nlater"};

/** @return @p text with one to three bytes inserted, replaced or removed. */
std::string mutate(std::string text, std::mt19937_64& random)
{
    static std::string const bytes("\0\x01\t\n\r :;,0159AaZ\x7f\x80\xff", 20);
    for (auto steps = 1 + random() % 3; steps > 0 && !text.empty(); --steps) {
        auto const at = random() % text.size();
        char const byte = bytes[random() % bytes.size()];
        switch (random() % 3) {
        case 0: text.insert(at, 1, byte); break;
        case 1: text[at] = byte; break;
        default: text.erase(at, 1 + random() % 3);
        }
    }
    return text;
}

} // namespace

TEST_CASE("http: a response that was read is valid when it is passed on, however it was split")
{
    std::mt19937_64 random(1);
    int complete = 0;
    for (int i = 0; i < 40000; ++i) {
        auto const bytes = mutate(valid_responses[random() % valid_responses.size()], random);
        CAPTURE(bytes);
        message_reader whole(message_reader::kind::response);
        auto state = read_all(whole, bytes, bytes.size());
        message_reader split(message_reader::kind::response);
        REQUIRE(read_all(split, bytes, 1 + random() % 5) == state);
        if (state == parse_state::incomplete) {
            whole.finish();
            state = whole.state();
        }
        if (state != parse_state::complete) continue;
        ++complete;
        auto response = whole.response();
        remove_hop_by_hop(response.headers);
        auto const sent = serialize(response, false);
        message_reader again(message_reader::kind::response);
        REQUIRE(again.feed(sent) == sent.size());
        REQUIRE(again.state() == parse_state::complete);
        REQUIRE(again.response().status == response.status);
        bool const bodiless = response.status == 204 || response.status == 304;
        REQUIRE(again.response().body == (bodiless ? "" : response.body));
    }
    CHECK(complete > 1000);
}

TEST_CASE("http: a response to HEAD may announce a body of any size")
{
    message_reader reader(message_reader::kind::response, {300, 400});
    reader.expect_no_body();
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
    CHECK(reader.state() == parse_state::complete);
}

TEST_CASE("http: chunk extensions without an end are too large a header")
{
    message_reader reader(message_reader::kind::response);
    reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    std::string const block(4096, 'x');
    std::size_t bytes = 0;
    while (reader.state() == parse_state::incomplete && bytes < 1 << 20)
        bytes += reader.feed(block);
    CHECK(reader.state() == parse_state::header_too_large);
}
