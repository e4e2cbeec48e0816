/** @file h2_client_streams.cpp Streams of the HTTP/2 client, driven by nghttp2 callbacks. */
#include "h2_client_impl.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Size of a field beyond its name and value (RFC 9113, 6.5.2). */
constexpr std::size_t field_overhead = 32;

/** @return the client that was passed to nghttp2 as user data. */
h2_client::impl& state_of(void* user_data) { return *static_cast<h2_client::impl*>(user_data); }

/** nghttp2 callbacks of the client. */
struct client_callbacks {
    static int on_frame_send(nghttp2_session* session, nghttp2_frame const* frame, void* user_data)
    {
        if (frame->hd.type != NGHTTP2_HEADERS) return 0;
        auto& self = state_of(user_data);
        if (auto* call = self.call_of_stream(session, frame->hd.stream_id)) call->sent = true;
        return 0;
    }

    static int on_frame_recv(nghttp2_session* session, nghttp2_frame const* frame, void* user_data)
    {
        auto& self = state_of(user_data);
        if (frame->hd.type == NGHTTP2_HEADERS) {
            if (auto* call = self.call_of_stream(session, frame->hd.stream_id)) on_header_complete(*call);
            return 0;
        }
        if (frame->hd.type != NGHTTP2_GOAWAY) return 0;
        for (auto& [id, connection] : self.connections) {
            if (connection->session == session) self.retire(*connection);
        }
        return 0;
    }

    /** Handles the end of a header. One of an interim response is discarded. */
    static void on_header_complete(h2_call& call)
    {
        if (call.header_complete) return; // Trailers.
        call.header_complete = call.response.status / 100 != 1;
        if (call.header_complete) return;
        call.has_status = false;
        call.response.headers.clear();
    }

    static int on_header(nghttp2_session* session, nghttp2_frame const* frame, uint8_t const* name, size_t name_length,
                         uint8_t const* value, size_t value_length, uint8_t, void* user_data)
    {
        auto& self = state_of(user_data);
        auto* call = self.call_of_stream(session, frame->hd.stream_id);
        if (call == nullptr) return 0;
        std::string key(reinterpret_cast<char const*>(name), name_length);
        std::string text(reinterpret_cast<char const*>(value), value_length);
        call->header_bytes += name_length + value_length + field_overhead;
        if (call->header_bytes > self.options.response_limits.max_header_bytes) {
            self.reject_response(*call, "the header of the response exceeds the limit");
        } else if (call->header_complete) {
            // Trailers are not merged into the header (RFC 9110, 6.5.1).
        } else if (key == ":status") {
            auto const status = parse_status(text);
            call->has_status = status.has_value();
            call->response.status = status.value_or(0);
            if (!status) self.reject_response(*call, "the status of the response is invalid");
        } else {
            call->response.headers.push_back({std::move(key), std::move(text)});
        }
        return 0;
    }

    static int on_data_chunk(nghttp2_session* session, uint8_t, int32_t stream_id, uint8_t const* data, size_t length,
                             void* user_data)
    {
        auto& self = state_of(user_data);
        if (auto* call = self.call_of_stream(session, stream_id))
            self.append_body(*call, {reinterpret_cast<char const*>(data), length});
        return 0;
    }

    static int on_stream_close(nghttp2_session* session, int32_t stream_id, uint32_t error_code, void* user_data)
    {
        auto& self = state_of(user_data);
        auto* call = self.call_of_stream(session, stream_id);
        if (call == nullptr) return 0;
        std::uint64_t const id = call->id;
        if (error_code == NGHTTP2_NO_ERROR && call->has_status) {
            self.finish(id, send_outcome::answered, "");
            return 0;
        }
        // REFUSED_STREAM guarantees that the peer did not process the request (RFC 9113, 8.7): it did not run.
        bool const may_have_run = call->sent && error_code != NGHTTP2_REFUSED_STREAM;
        self.finish(id, may_have_run ? send_outcome::unknown : send_outcome::not_sent,
                    "stream closed with code " + std::to_string(error_code));
        return 0;
    }

    static ssize_t read_body(nghttp2_session* session, int32_t stream_id, uint8_t* buf, size_t length, uint32_t* flags,
                             nghttp2_data_source*, void* user_data)
    {
        auto& self = state_of(user_data);
        auto* call = self.call_of_stream(session, stream_id);
        if (call == nullptr) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return 0;
        }
        auto const& body = call->request.body;
        std::size_t const count = std::min(length, body.size() - call->body_offset);
        std::copy_n(body.data() + call->body_offset, count, buf);
        call->body_offset += count;
        if (call->body_offset == body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
};

} // namespace

void h2_client::impl::make_callbacks()
{
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, client_callbacks::on_frame_send);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, client_callbacks::on_frame_recv);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, client_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, client_callbacks::on_data_chunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, client_callbacks::on_stream_close);
}

h2_call* h2_client::impl::call_of_stream(nghttp2_session* session, std::int32_t stream_id)
{
    // The stream's user data is the call id, not a pointer, so that a stream may outlive its call.
    auto const id = reinterpret_cast<std::uintptr_t>(nghttp2_session_get_stream_user_data(session, stream_id));
    if (id == 0) return nullptr;
    auto found = calls.find(id);
    return found == calls.end() ? nullptr : &found->second;
}

void h2_client::impl::reset_stream(h2_call const& call)
{
    auto* connection = find_connection(call.connection_id);
    if (connection == nullptr || connection->session == nullptr || call.stream_id < 0) return;
    nghttp2_submit_rst_stream(connection->session, NGHTTP2_FLAG_NONE, call.stream_id, NGHTTP2_CANCEL);
    dirty.insert(connection->id);
}

void h2_client::impl::open_stream(h2_connection& connection, h2_call& call)
{
    std::string const authority = connection.peer.to_string();
    std::vector<std::pair<std::string, std::string>> fields{
        {":method", call.request.method}, {":path", call.request.path}, {":scheme", "http"}, {":authority", authority}};
    for (auto const& header : call.request.headers)
        fields.emplace_back(header.name, header.value);
    if (!call.request.body.empty()) fields.emplace_back("content-length", std::to_string(call.request.body.size()));
    std::vector<nghttp2_nv> headers;
    for (auto& [name, value] : fields) {
        headers.push_back({reinterpret_cast<uint8_t*>(name.data()), reinterpret_cast<uint8_t*>(value.data()),
                           name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    nghttp2_data_provider provider{};
    provider.read_callback = client_callbacks::read_body;
    call.stream_id = nghttp2_submit_request(connection.session, nullptr, headers.data(), headers.size(),
                                            call.request.body.empty() ? nullptr : &provider,
                                            reinterpret_cast<void*>(static_cast<std::uintptr_t>(call.id)));
    dirty.insert(connection.id);
    if (call.stream_id < 0) finish(call.id, send_outcome::not_sent, "cannot open a stream");
}

} // namespace cornelspring
