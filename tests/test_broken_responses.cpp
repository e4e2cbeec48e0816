/** @file test_broken_responses.cpp Backend servers whose responses are not valid HTTP, with gateway processes. */
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cornelspring;
using namespace cornelspring::testing;

namespace {

/** Fields by which a response counts as that of a backend server; "{id}" stands for the request id. */
std::string const valid_fields = "request-id: {id}\r\nserver-stamp: s\r\n";

/** Body of these responses. No valid response has it, so no caller may receive it. */
std::string const broken_body = "0123456789abcdef";

/** @return a response that is valid unless its parts are not. @param status_line status line without its end.
 *  @param fields lines of further fields. */
std::string response_with(std::string const& status_line, std::string const& fields = "")
{
    return status_line + "\r\n" + valid_fields + fields + "content-length: " + std::to_string(broken_body.size()) +
           "\r\n\r\n" + broken_body;
}

/** @return a chunked response. @param body its body with framing and trailers. */
std::string chunked_response(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\n" + valid_fields + "transfer-encoding: chunked\r\n\r\n" + body;
}

/** Sends requests of each kind while the backend servers of @p ids send @p bytes. Checks that the response to each is
 *  valid. @param all whether @p ids are all replicas, so that no request can succeed. */
void check_callers(gateway_fleet& fleet, std::vector<std::string> const& ids, std::string const& bytes, bool all)
{
    static int number = 0;
    CAPTURE(bytes);
    CAPTURE(all);
    for (auto const& id : ids)
        fleet.set_backend_behavior({{"backend", id}, {"mode", "raw"}, {"raw_response", bytes}});
    for (int i = 0; i < 4; ++i) {
        auto const tag = std::to_string(++number);
        CAPTURE(tag);
        for (std::string const path : {"/r/", "/q/"}) {
            auto const response = fleet.send_request(1, path + tag, "id" + tag);
            CAPTURE(path);
            // Queries over shards that fail are refused in advance.
            if (all) CHECK((response.status == 502 || (path == "/q/" && response.status == 503)));
            if (!all) CHECK(response.status == 200);
            CHECK(response.body.find(broken_body) == std::string::npos);
        }
        auto const written = fleet.send_request(1, "/w/" + tag, "w" + tag, "POST", "b" + tag);
        CHECK((written.status == 502 || (!all && written.status == 200)));
        if (written.status == 200) CHECK(written.body == "ran b" + tag);
    }
    fleet.set_backend_behavior({{"mode", "ok"}});
}

/** Checks that callers get none of the broken @p responses, neither from one replica nor from all. */
void check_broken(std::vector<std::string> const& responses)
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    for (auto const& bytes : responses)
        check_callers(fleet, {"i-s-0", "i-g0-0", "i-g1-0"}, bytes, false);
    for (auto const& bytes : responses)
        check_callers(fleet, {"i-s-0", "i-s-1", "i-g0-0", "i-g0-1", "i-g1-0", "i-g1-1"}, bytes, true);
}

} // namespace

TEST_CASE("a response with an invalid status does not reach callers")
{
    std::vector<std::string> responses;
    for (char const* status : {"000", "099", "600", "999", "20", "0200", "-20", "2 0"})
        responses.push_back(response_with("HTTP/1.1 " + std::string(status) + " OK"));
    check_broken(responses);
}

TEST_CASE("a response with an invalid status line does not reach callers")
{
    std::vector<std::string> responses;
    for (char const* line : {"HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK",
                             "\r\nHTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "ICY 200 OK"})
        responses.push_back(response_with(line));
    check_broken(responses);
}

TEST_CASE("a response with an invalid field does not reach callers")
{
    std::vector<std::string> responses;
    for (char const* line :
         {"x a: v", "x-a : v", "x\ta: v", " x-a: v", "x\x01-a: v", "x\x7f-a: v", "x\r-a: v", ": v", "x-a", "x-a: v\x01",
          "x-a: \x01", "x-a: v\x7f", "x-a: v\rw", "x-a: v\r\n folded", "x-a: v\r\n\tfolded", "x\"a: v"})
        responses.push_back(response_with("HTTP/1.1 200 OK", std::string(line) + "\r\n"));
    check_broken(responses);
}

TEST_CASE("an invalid interim response does not reach callers, nor does the response after it")
{
    std::vector<std::string> responses;
    for (char const* head : {"HTTP/1.1 100 Continue\r\nx a: v\r\n\r\n", "HTTP/1.1 100 Continue\r\nx\x01: v\r\n\r\n",
                             "HTTP/1.1 100 Continue\r\ncontent-length: 3\r\n\r\nabc",
                             "HTTP/1.1 100 Continue\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                             "HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 000 Continue\r\n\r\n"})
        responses.push_back(head + response_with("HTTP/1.1 200 OK"));
    check_broken(responses);
}

TEST_CASE("a response with invalid trailers does not reach callers")
{
    std::vector<std::string> responses;
    for (char const* trailers :
         {"x a: v\r\n", "x-a : v\r\n", "x\x01: v\r\n", "x-a: v\r\n folded\r\n", ": v\r\n", "x-a\r\n", "x-a: v\x01\r\n"})
        responses.push_back(chunked_response("10\r\n" + broken_body + "\r\n0\r\n" + trailers + "\r\n"));
    check_broken(responses);
}

TEST_CASE("a response with invalid framing does not reach callers")
{
    auto const chunk = "10\r\n" + broken_body;
    auto const chunks = chunk + "\r\n0\r\n\r\n";
    check_broken({chunked_response(chunk + "XY0\r\n\r\n"), chunked_response("10 x\r\n" + broken_body + "\r\n0\r\n\r\n"),
                  chunked_response("10;\x01\r\n" + broken_body + "\r\n0\r\n\r\n"),
                  chunked_response("10\rx" + broken_body + "\r\n0\r\n\r\n"),
                  chunked_response(chunk + "\r\n0\rx\r\n\r\n"),
                  "HTTP/1.1 200 OK\r\n" + valid_fields + "transfer-encoding: gzip, chunked\r\n\r\n" + chunks,
                  "HTTP/1.0 200 OK\r\n" + valid_fields + "transfer-encoding: chunked\r\n\r\n" + chunks,
                  "HTTP/1.1 204 No Content\r\n" + valid_fields + "content-length: 3\r\n\r\nabc",
                  "HTTP/1.1 204 No Content\r\n" + valid_fields + "transfer-encoding: chunked\r\n\r\n" + chunks});
}

TEST_CASE("trailers are not merged into the header of a response")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior({{"mode", "raw"},
                                {"raw_response", "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ntransfer-encoding: "
                                                 "chunked\r\n\r\n3\r\nabc\r\n0\r\nserver-stamp: s\r\nx-a: v\r\n\r\n"}});
    CHECK(fleet.send_request(1, "/r/a", "trailers").status == 502);
    fleet.set_backend_behavior(
        {{"mode", "raw"}, {"raw_response", chunked_response("3\r\nabc\r\n0\r\nx-a: v\r\n\r\n")}});
    auto const response = fleet.send_request(1, "/r/a", "more-trailers");
    CHECK(response.status == 200);
    CHECK(response.body == "abc");
    CHECK(response.header("x-a").empty());
}

TEST_CASE("a response whose signature concerns only its connection is not a success")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto const bytes = response_with("HTTP/1.1 200 OK", "connection: keep-alive, Server-Stamp\r\n");
    fleet.set_backend_behavior({{"mode", "raw"}, {"raw_response", bytes}});
    CHECK(fleet.send_request(1, "/r/a", "connection-r").status == 502);
    CHECK(fleet.send_request(1, "/w/a", "connection-w", "POST", "b").status == 502);
}

TEST_CASE("a response without a body does not take bytes of the next one for it")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    fleet.set_backend_behavior(
        {{"mode", "raw"},
         {"raw_response", "HTTP/1.1 304 Not Modified\r\n" + valid_fields + "content-length: 16\r\n\r\n"}});
    for (int i = 0; i < 4; ++i)
        CHECK(fleet.send_request(1, "/r/a", "no-body-" + std::to_string(i)).status == 304);
}

TEST_CASE("a broken response to a hedge does not displace the response to the first attempt")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto const broken = response_with("HTTP/1.1 000 OK");
    for (char const* far : {"i-s-1", "i-g0-1", "i-g1-1", "i-g2-1", "i-g3-1"})
        fleet.set_backend_behavior({{"backend", far}, {"mode", "raw"}, {"raw_response", broken}});
    for (char const* near : {"i-s-0", "i-g0-0", "i-g1-0", "i-g2-0", "i-g3-0"})
        fleet.set_backend_behavior({{"backend", near}, {"work_ms", 600}});
    for (int i = 0; i < 4; ++i) {
        auto const id = "hedge-" + std::to_string(i);
        CHECK(fleet.send_request(1, "/r/" + id, "r-" + id).status == 200);
        CHECK(fleet.send_request(1, "/q/" + id, "q-" + id).status == 200);
    }
    auto const journal = fleet.journal();
    auto const hedged = std::count_if(journal.begin(), journal.end(), [](auto const& entry) {
        return entry["backend"].template get<std::string>().ends_with("-1");
    });
    CHECK(hedged > 0);
}

TEST_CASE("valid responses in uncommon forms reach callers")
{
    gateway_fleet fleet;
    fleet.start_gateway(1);
    auto const rest = valid_fields + "content-length: 3\r\n\r\nabc";
    for (std::string const& bytes :
         {"HTTP/1.1 200\r\n" + rest, "HTTP/1.1 200 \r\n" + rest, "HTTP/1.0 200 Fine \xc3\xa9\r\n" + rest,
          "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
          "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~9: \t v\xc3\xa9 w \t\r\nx-empty:\r\n" + rest,
          chunked_response("1\r\na\r\n002;x=\"y\"\r\nbc\r\n0\r\nx-a: v\r\n\r\n")}) {
        CAPTURE(bytes);
        fleet.set_backend_behavior({{"mode", "raw"}, {"raw_response", bytes}});
        auto const response = fleet.send_request(1, "/r/a", "uncommon");
        CHECK(response.status == 200);
        CHECK(response.body == "abc");
    }
}
