/** @file http_server.cpp HTTP/1.1 server for callers and operators on libwebsockets. */
#include "../net/socket.hpp"

#include <cornelspring/transport.hpp>

#include <map>
#include <mutex>
#include <thread>

#include <libwebsockets.h>

namespace cornelspring {
namespace {

/** Size of the buffer for the status line and headers of a response. */
constexpr std::size_t header_buffer_size = 4096;

/** State of one HTTP transaction on a connection. */
struct transaction {
    std::uint64_t id = 0;         ///< Id by which responses find it; 0 once written.
    http_request request;         ///< The request.
    bool too_large = false;       ///< The body exceeds the limit.
    bool has_response = false;    ///< The response is set and not yet written.
    bool headers_written = false; ///< The status line and headers are written.
    http_response response;       ///< The response.
};

/** Per-connection user data of libwebsockets. */
struct session_slot {
    transaction* current; ///< Transaction in progress, or null.
};

/** A response passed from a handler to the service thread. */
struct queued_response {
    std::uint64_t id;       ///< Transaction id.
    http_response response; ///< The response.
};

} // namespace

/** State of the server; owned by the service thread except for the response queue and the atomics. */
struct http_server::impl {
    server_options options;                    ///< Address and limits.
    request_handler handler;                   ///< Application handler.
    lws_context* context = nullptr;            ///< libwebsockets context.
    std::uint16_t port = 0;                    ///< Bound port.
    std::thread thread;                        ///< Service thread.
    std::atomic<bool> stopping{false};         ///< Set by the destructor.
    std::atomic<std::size_t> pending{0};       ///< Requests whose response is not yet written.
    std::mutex mutex;                          ///< Guards the response queue.
    std::vector<queued_response> responses;    ///< Responses from handlers.
    std::map<std::uint64_t, lws*> connections; ///< Connections by transaction id.
    std::uint64_t next_id = 1;                 ///< Next transaction id.

    void start_transaction(lws* wsi, session_slot& slot, char const* uri);
    void dispatch(transaction& current);
    void apply_responses();
    int write(lws* wsi, transaction& current);
    void finish_transaction(session_slot& slot);
};

namespace {

/** @return the server that owns @p wsi. */
http_server::impl& server_of(lws* wsi)
{
    return *static_cast<http_server::impl*>(lws_context_user(lws_get_context(wsi)));
}

/** @return the value of header @p token, or "". */
std::string header_text(lws* wsi, lws_token_indexes token)
{
    int const length = lws_hdr_total_length(wsi, token);
    if (length <= 0) return {};
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    lws_hdr_copy(wsi, text.data(), length + 1, token);
    text.resize(static_cast<std::size_t>(length));
    return text;
}

int callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length)
{
    auto* slot = static_cast<session_slot*>(user);
    switch (reason) {
    case LWS_CALLBACK_HTTP: server_of(wsi).start_transaction(wsi, *slot, static_cast<char const*>(in)); return 0;
    case LWS_CALLBACK_HTTP_BODY:
        if (slot->current != nullptr && !slot->current->too_large) {
            auto& request = slot->current->request;
            if (request.body.size() + length > server_of(wsi).options.max_body_bytes) {
                slot->current->too_large = true;
                request.body.clear();
            } else {
                request.body.append(static_cast<char const*>(in), length);
            }
        }
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (slot->current != nullptr) server_of(wsi).dispatch(*slot->current);
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        if (slot->current == nullptr || !slot->current->has_response) return 0;
        return server_of(wsi).write(wsi, *slot->current);
    case LWS_CALLBACK_EVENT_WAIT_CANCELLED:
        if (auto* self = static_cast<http_server::impl*>(lws_context_user(lws_get_context(wsi)))) {
            self->apply_responses();
        }
        return 0;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        if (slot != nullptr && slot->current != nullptr) server_of(wsi).finish_transaction(*slot);
        return 0;
    default: return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

/** Protocol table of the server. */
lws_protocols const protocols[] = {
    {"cornel-http", callback, sizeof(session_slot), 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

} // namespace

void http_server::impl::start_transaction(lws* wsi, session_slot& slot, char const* uri)
{
    if (slot.current != nullptr) finish_transaction(slot);
    slot.current = new transaction();
    auto& current = *slot.current;
    current.id = next_id++;
    connections[current.id] = wsi;
    current.request.path = uri == nullptr ? "/" : uri;
    std::string const arguments = header_text(wsi, WSI_TOKEN_HTTP_URI_ARGS);
    if (!arguments.empty()) current.request.path += "?" + arguments;
    bool const is_post = lws_hdr_total_length(wsi, WSI_TOKEN_POST_URI) > 0;
    current.request.method = is_post ? "POST" : "GET";
    std::string const content_type = header_text(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    if (!content_type.empty()) current.request.headers.push_back({"content-type", content_type});
    std::string const content_length = header_text(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    long const declared = content_length.empty() ? 0 : std::atol(content_length.c_str());
    if (static_cast<std::size_t>(declared) > options.max_body_bytes) current.too_large = true;
    if (!is_post || declared == 0) dispatch(current);
}

void http_server::impl::dispatch(transaction& current)
{
    ++pending;
    std::uint64_t const id = current.id;
    auto respond = [this, id](http_response response) {
        {
            std::lock_guard lock(mutex);
            responses.push_back({id, std::move(response)});
        }
        lws_cancel_service(context);
    };
    if (current.too_large) {
        respond(error_response(
            error(error_kind::too_large, "request body is larger than the server's limit.", "Send a smaller body.")));
        return;
    }
    try {
        handler(current.request, respond);
    } catch (error const& failure) {
        respond(error_response(failure));
    } catch (std::exception const& failure) {
        respond(error_response(error(error_kind::internal, failure.what(), "Report this bug.")));
    }
}

void http_server::impl::apply_responses()
{
    std::vector<queued_response> ready;
    {
        std::lock_guard lock(mutex);
        ready.swap(responses);
    }
    for (auto& item : ready) {
        auto found = connections.find(item.id);
        if (found == connections.end()) {
            --pending;
            continue;
        }
        auto* slot = static_cast<session_slot*>(lws_wsi_user(found->second));
        if (slot == nullptr || slot->current == nullptr || slot->current->id != item.id) {
            --pending;
            continue;
        }
        slot->current->response = std::move(item.response);
        slot->current->has_response = true;
        lws_callback_on_writable(found->second);
    }
}

int http_server::impl::write(lws* wsi, transaction& current)
{
    auto const& response = current.response;
    if (!current.headers_written) {
        std::vector<unsigned char> buffer(LWS_PRE + header_buffer_size);
        unsigned char* start = buffer.data() + LWS_PRE;
        unsigned char* p = start;
        unsigned char* end = buffer.data() + buffer.size() - 1;
        std::string content_type = response.header("content-type");
        if (content_type.empty()) content_type = "text/plain";
        if (lws_add_http_common_headers(wsi, static_cast<unsigned>(response.status), content_type.c_str(),
                                        response.body.size(), &p, end) != 0) {
            return -1;
        }
        for (auto const& header : response.headers) {
            if (header.name == "content-type") continue;
            std::string const name = header.name + ":";
            if (lws_add_http_header_by_name(wsi, reinterpret_cast<unsigned char const*>(name.c_str()),
                                            reinterpret_cast<unsigned char const*>(header.value.data()),
                                            static_cast<int>(header.value.size()), &p, end) != 0) {
                return -1;
            }
        }
        if (lws_finalize_write_http_header(wsi, start, &p, end) != 0) return -1;
        current.headers_written = true;
        if (!response.body.empty()) {
            lws_callback_on_writable(wsi);
            return 0;
        }
    } else {
        std::vector<unsigned char> buffer(LWS_PRE + response.body.size());
        std::copy(response.body.begin(), response.body.end(), buffer.begin() + LWS_PRE);
        if (lws_write(wsi, buffer.data() + LWS_PRE, response.body.size(), LWS_WRITE_HTTP_FINAL) < 0) return -1;
    }
    --pending;
    current.has_response = false;
    connections.erase(current.id);
    current.id = 0;
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

void http_server::impl::finish_transaction(session_slot& slot)
{
    if (slot.current->id != 0) {
        connections.erase(slot.current->id);
        if (slot.current->has_response) --pending;
    }
    delete slot.current;
    slot.current = nullptr;
}

http_server::http_server(server_options options, request_handler handler) : m_impl(std::make_unique<impl>())
{
    m_impl->options = std::move(options);
    m_impl->handler = std::move(handler);
    detail::route_lws_logs();
    lws_context_creation_info info{};
    info.port = m_impl->options.listen.port;
    info.iface = m_impl->options.listen.host.c_str();
    info.protocols = protocols;
    info.user = m_impl.get();
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.fd_limit_per_thread = static_cast<unsigned>(m_impl->options.max_connections + 16);
    m_impl->context = lws_create_context(&info);
    if (m_impl->context == nullptr) {
        throw error(error_kind::unavailable, "cannot listen on " + m_impl->options.listen.to_string() + ".",
                    "Choose a free port, or port 0 to pick one.");
    }
    auto* vhost = lws_get_vhost_by_name(m_impl->context, "default");
    m_impl->port = static_cast<std::uint16_t>(vhost != nullptr ? lws_get_vhost_listen_port(vhost) : info.port);
}

http_server::~http_server()
{
    m_impl->stopping = true;
    lws_cancel_service(m_impl->context);
    if (m_impl->thread.joinable()) m_impl->thread.join();
    lws_context_destroy(m_impl->context);
}

std::uint16_t http_server::port() const { return m_impl->port; }

void http_server::start()
{
    m_impl->thread = std::thread([this] {
        while (!m_impl->stopping) {
            lws_service(m_impl->context, 0);
        }
    });
}

std::size_t http_server::drain(milliseconds limit)
{
    auto const until = clock::now() + limit;
    while (m_impl->pending > 0 && clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return m_impl->pending;
}

std::size_t http_server::in_flight() const { return m_impl->pending; }

} // namespace cornelspring
