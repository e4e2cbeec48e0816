/** @file test_quarantine.cpp Requests under which backend servers end: what makes two of them the same. */
#include <cornelspring/quarantine.hpp>

#include <doctest/doctest.h>

using namespace cornelspring;

namespace {

/** @return a request for @p path with @p body. */
http_request make_request(std::string path, std::string body, std::string id)
{
    http_request request;
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = {{"host", "h.example"}, {"request-id", std::move(id)}};
    return request;
}

} // namespace

TEST_CASE("digest: a repetition has the same one, another path, body or caller another")
{
    caller_address const caller("192.0.2.1");
    auto const first = digest_of(make_request("/a/b", "body", "id1"), caller);
    CHECK(first == digest_of(make_request("/a/b", "body", "id2"), caller));
    CHECK(first != digest_of(make_request("/a/c", "body", "id1"), caller));
    CHECK(first != digest_of(make_request("/a/b", "other", "id1"), caller));
    CHECK(first != digest_of(make_request("/a/b", "body", "id1"), caller_address("192.0.2.2")));
    CHECK(first != digest_of(make_request("/a/bb", "ody", "id1"), caller)); // Parts cannot be shifted.
    CHECK(first.value().size() == 32);
}
