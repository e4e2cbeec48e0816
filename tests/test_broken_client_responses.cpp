/** @file test_broken_client_responses.cpp Responses that are invalid or too large: what the HTTP/2 client and the
 *  HTTP/1.1 client of the tools make of them. */
#include <cornelspring/transport.hpp>

#include <doctest/doctest.h>

#include <thread>

using namespace cornelspring;

namespace {

/** Timeout of calls that must finish long before it. */
constexpr milliseconds long_timeout{20000};

enum frame_type : char { data = 0, headers = 1, settings = 4 };
enum frame_flag : char { none = 0, end_stream = 1, end_headers = 4 };

/** @return a frame of stream 1; settings are for the connection. */
std::string frame(frame_type type, int flags, std::string const& payload)
{
    auto const size = payload.size();
    std::string out{static_cast<char>(size >> 16), static_cast<char>(size >> 8), static_cast<char>(size), type,
                    static_cast<char>(flags)};
    out.append({0, 0, 0, static_cast<char>(type == settings ? 0 : 1)});
    return out + payload;
}

/** @return a field in HPACK, without compression. Name and value are shorter than 127 bytes. */
std::string field(std::string const& name, std::string const& value)
{
    std::string out(1, '\0');
    out.append(1, static_cast<char>(name.size())).append(name);
    return out.append(1, static_cast<char>(value.size())).append(value);
}

/** @return a header with @p fields. */
std::string header(std::string const& fields, int flags = none) { return frame(headers, flags | end_headers, fields); }

/** Sends the same bytes on each connection once the client has sent a request, and @c repeated until it closes. */
class raw_server {
public:
    explicit raw_server(std::string response, std::string repeated = "")
        : m_response(std::move(response)), m_repeated(std::move(repeated)),
          m_listener(m_loop, {"127.0.0.1", 0}, [this](int socket) { accept(socket); })
    {
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~raw_server()
    {
        m_stopping = true;
        m_thread.join();
    }
    endpoint address() const { return {"127.0.0.1", m_listener.port()}; }

private:
    void accept(int socket)
    {
        stream_events events;
        events.on_bytes = [this](std::string_view bytes) {
            m_received += bytes;
            if (m_sent || m_received.find("/x") == std::string::npos) return;
            m_sent = true;
            m_stream->send(m_response);
        };
        m_stream = std::make_unique<tcp_stream>(m_loop, socket, stream_options{}, std::move(events));
        tick();
    }
    void tick()
    {
        if (m_stopping) return m_loop.stop();
        if (m_sent && !m_repeated.empty() && m_stream->unsent() < 1 << 20) m_stream->send(m_repeated);
        m_loop.run_at(m_loop.now() + milliseconds(1), [this] { tick(); });
    }

    event_loop m_loop;
    std::string m_response;
    std::string m_repeated;
    std::string m_received;
    bool m_sent = false;
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<tcp_stream> m_stream;
    tcp_listener m_listener;
    std::thread m_thread;
};

/** @return the result of a call to a server that sends @p response. */
client_result call(std::string const& response, std::string const& repeated = "")
{
    raw_server server(frame(settings, none, "") + response, repeated);
    h2_client client;
    http_request request;
    request.path = "/x";
    return client.call(server.address(), request, long_timeout);
}

std::string const ok = field(":status", "200");
std::string const end = frame(data, end_stream, "abc");

} // namespace

TEST_CASE("h2: a valid response in an uncommon form is read")
{
    for (auto const& response :
         {header(ok) + end, header(field(":status", "103") + field("link", "l")) + header(ok + field("a", "b")) + end,
          header(ok) + frame(data, none, "abc") + header(field("x-a", "v"), end_stream)}) {
        auto const result = call(response);
        CHECK(result.outcome == send_outcome::answered);
        CHECK(result.response.status == 200);
        CHECK(result.response.body == "abc");
        CHECK(result.response.header("link").empty());
        CHECK(result.response.header("x-a").empty());
    }
}

TEST_CASE("h2: an invalid response is no response")
{
    std::vector<std::string> responses;
    for (char const* status : {"000", "099", "600", "999", "20", "0200", "-20", "2 0", ""})
        responses.push_back(header(field(":status", status)) + end);
    for (auto const& [name, value] : std::vector<std::pair<std::string, std::string>>{{"x a", "v"},
                                                                                      {"x-a ", "v"},
                                                                                      {" x", "v"},
                                                                                      {"x\x01", "v"},
                                                                                      {"X-A", "v"},
                                                                                      {"", "v"},
                                                                                      {"x-a", "v\x01"},
                                                                                      {"x-a", "v\nw"},
                                                                                      {"x-a", std::string("\0", 1)},
                                                                                      {"x:a", "v"},
                                                                                      {"connection", "close"}}) {
        auto const invalid = field(name, value);
        responses.push_back(header(ok + invalid) + end);
        responses.push_back(header(field(":status", "100") + invalid) + header(ok) + end);
        responses.push_back(header(ok) + frame(data, none, "abc") + header(invalid, end_stream));
    }
    responses.push_back(header(field(":status", "000")) + header(ok) + end);
    responses.push_back(header(field("x-a", "v")) + end);
    responses.push_back(header(ok + field("content-length", "5")) + end);
    for (auto const& response : responses) {
        CAPTURE(response);
        CHECK(call(response).outcome == send_outcome::unknown);
    }
}

TEST_CASE("h2: a response without an end is no response, and its bytes are not kept")
{
    std::string const fill = field("x-a", std::string(100, 'v'));
    auto const interim = header(field(":status", "100") + fill);
    CHECK(call("", interim).outcome == send_outcome::unknown);

    server_options options;
    h2_server server(options, [](http_request const& request, respond_fn respond) {
        http_response response;
        response.body.assign(std::stoul(request.header("size")), 'a');
        respond(std::move(response));
    });
    server.start();
    client_options limits;
    limits.response_limits.max_body_bytes = 100000;
    limits.max_incomplete_bytes = 150000;
    h2_client client(limits);
    auto const send = [&](std::size_t size, std::atomic<int>& answered, std::atomic<int>& done) {
        http_request request;
        request.path = "/x";
        request.headers = {{"size", std::to_string(size)}};
        client.submit({"127.0.0.1", server.port()}, request, long_timeout, [&answered, &done](client_result result) {
            if (result.outcome == send_outcome::answered) ++answered;
            ++done;
        });
    };
    auto const answered_of = [&](std::vector<std::size_t> const& sizes) {
        std::atomic<int> answered{0};
        std::atomic<int> done{0};
        for (auto const size : sizes)
            send(size, answered, done);
        while (done < static_cast<int>(sizes.size()))
            std::this_thread::sleep_for(milliseconds(5));
        return answered.load();
    };
    CHECK(answered_of({100000}) == 1);
    CHECK(answered_of({100001}) == 0);
    CHECK(answered_of({100000000}) == 0);
    CHECK(answered_of({100000}) == 1); // The connection is used on.
    // Together they exceed the limit on incomplete responses; some are rejected and the others complete.
    auto const together = answered_of(std::vector<std::size_t>(8, 100000));
    CHECK(together >= 1);
    CHECK(together < 8);
    CHECK(answered_of({100000}) == 1);
}

TEST_CASE("http client: an invalid response is no response, and one without an end is not kept")
{
    std::string const rest = "content-length: 3\r\n\r\nabc";
    auto const outcome_of = [](std::string const& response, std::string const& repeated = "") {
        raw_server server(response, repeated);
        http_client client;
        http_request request;
        request.path = "/x";
        auto const result = client.call(server.address(), request, milliseconds(3000));
        CHECK(result.response.body.size() <= message_limits{}.max_body_bytes);
        return result.outcome;
    };
    CHECK(outcome_of("HTTP/1.1 200 OK\r\n" + rest) == send_outcome::answered);
    for (std::string const status : {"000", "099", "600", "999"}) {
        CAPTURE(status);
        CHECK(outcome_of("HTTP/1.1 " + status + " OK\r\n" + rest) == send_outcome::unknown);
    }
    std::string const block(65536, 'a');
    CHECK(outcome_of("HTTP/1.1 200 OK\r\n\r\n", block) == send_outcome::unknown);
    CHECK(outcome_of("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n") ==
          send_outcome::unknown);
    CHECK(outcome_of("HTTP/1.1 200 OK\r\nx-fill: ", block) == send_outcome::unknown);
    CHECK(outcome_of("", "HTTP/1.1 100 Continue\r\n\r\n") == send_outcome::unknown);
    CHECK(outcome_of("\x16\x03\x01", block) == send_outcome::unknown);
}
