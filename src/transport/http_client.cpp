/** @file http_client.cpp HTTP/1.1 client on libwebsockets: one service thread and one connection per request. */
#include "../net/socket.hpp"

#include <cornelspring/transport.hpp>

#include <future>
#include <map>
#include <mutex>
#include <thread>

#include <libwebsockets.h>

namespace cornelspring {
namespace {

/** Interval between checks of the deadlines, in microseconds. */
constexpr lws_usec_t deadline_check_us = 5 * LWS_US_PER_MS;
/** Space for request headers added by the client. */
constexpr std::size_t header_buffer_size = 1024;
/** Size of the buffer for one read of a response body. */
constexpr std::size_t read_buffer_size = 4096;

/** One request in flight. */
struct pending_request {
    std::uint64_t id = 0; ///< Id, kept as the connection's user data.
    endpoint peer;        ///< Server it is sent to.
    http_request request; ///< Request to send.
    time_point deadline;  ///< Time at which it times out.
    result_callback done; ///< Receives the result.
    lws* wsi = nullptr;   ///< Connection, once opened.
    bool sent = false;    ///< Its headers were written.
    client_result result; ///< Result received so far.
};

} // namespace

/** State of the client; owned by the service thread except where noted. */
struct http_client::impl {
    lws_context* context = nullptr;                 ///< Client-only context.
    std::thread thread;                             ///< Service thread.
    std::atomic<bool> stopping{false};              ///< Set by the destructor.
    std::mutex mutex;                               ///< Guards inbox.
    std::vector<pending_request> inbox;             ///< Requests not yet started.
    std::map<std::uint64_t, pending_request> calls; ///< Started requests by id.
    std::uint64_t next_id = 1;                      ///< Next id (guarded by mutex).
    /** Timer of the deadline check. The libwebsockets list node must be first: on_timer() casts its address back. */
    struct timer_node {
        lws_sorted_usec_list_t sul{}; ///< Node in libwebsockets' timer list.
        impl* owner = nullptr;        ///< Client whose deadlines it checks.
    } timer;

    void start_pending();
    void finish(std::uint64_t id, send_outcome outcome, std::string detail);
    /** Finishes a call whose response is invalid or too large. @return the value by which the callback of libwebsockets
     *  closes the connection. */
    int reject_response(pending_request const& call, std::string detail);
    void check_deadlines();
    pending_request* find(lws* wsi);
};

namespace {

/** @return the client owning @p wsi. */
http_client::impl& client_of(lws* wsi)
{
    return *static_cast<http_client::impl*>(lws_context_user(lws_get_context(wsi)));
}

/** @return the id stored as @p wsi's user data. */
std::uint64_t id_of(lws* wsi) { return reinterpret_cast<std::uintptr_t>(lws_wsi_user(wsi)); }

/** Copies one response header into the result when present. */
void copy_header(lws* wsi, lws_token_indexes token, char const* name, http_response& response)
{
    int const length = lws_hdr_total_length(wsi, token);
    if (length <= 0) return;
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(static_cast<std::size_t>(length));
    response.headers.push_back({name, value});
}

/** Appends the request's content-length and headers to the handshake that libwebsockets writes. */
int append_headers(lws* wsi, pending_request& call, void* in, std::size_t length)
{
    auto** p = static_cast<unsigned char**>(in);
    unsigned char* end = *p + length;
    if (!call.request.body.empty()) {
        std::string const size = std::to_string(call.request.body.size());
        if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                         reinterpret_cast<unsigned char const*>(size.c_str()),
                                         static_cast<int>(size.size()), p, end) != 0) {
            return -1;
        }
    }
    for (auto const& header : call.request.headers) {
        std::string const name = header.name + ":";
        if (lws_add_http_header_by_name(wsi, reinterpret_cast<unsigned char const*>(name.c_str()),
                                        reinterpret_cast<unsigned char const*>(header.value.c_str()),
                                        static_cast<int>(header.value.size()), p, end) != 0) {
            return -1;
        }
    }
    if (!call.request.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    call.sent = true;
    return 0;
}

/** Writes the request body. */
int write_body(lws* wsi, pending_request& call)
{
    std::vector<unsigned char> buffer(LWS_PRE + call.request.body.size());
    std::copy(call.request.body.begin(), call.request.body.end(), buffer.begin() + LWS_PRE);
    lws_client_http_body_pending(wsi, 0);
    if (lws_write(wsi, buffer.data() + LWS_PRE, call.request.body.size(), LWS_WRITE_HTTP_FINAL) < 0) return -1;
    return 0;
}

int client_callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length)
{
    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
        if (auto* self = static_cast<http_client::impl*>(lws_context_user(lws_get_context(wsi)))) self->start_pending();
        return 0;
    }
    if (wsi == nullptr || user == nullptr) return lws_callback_http_dummy(wsi, reason, user, in, length);
    auto& self = client_of(wsi);
    auto* call = self.find(wsi);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return call == nullptr ? -1 : append_headers(wsi, *call, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE: return call == nullptr ? -1 : write_body(wsi, *call);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        if (call != nullptr) {
            auto const status = parse_status(std::to_string(lws_http_client_http_response(wsi)));
            if (!status) return self.reject_response(*call, "the status of the response is invalid");
            call->result.response.status = *status;
            copy_header(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type", call->result.response);
            copy_header(wsi, WSI_TOKEN_HTTP_RETRY_AFTER, "retry-after", call->result.response);
        }
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (call != nullptr) {
            auto& body = call->result.response.body;
            if (body.size() + length > message_limits{}.max_body_bytes)
                return self.reject_response(*call, "the body of the response exceeds the limit");
            body.append(static_cast<char const*>(in), length);
        }
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
        char buffer[LWS_PRE + read_buffer_size];
        char* p = buffer + LWS_PRE;
        int capacity = static_cast<int>(read_buffer_size);
        return lws_http_client_read(wsi, &p, &capacity) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP: self.finish(id_of(wsi), send_outcome::answered, ""); return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        self.finish(id_of(wsi), call != nullptr && call->sent ? send_outcome::unknown : send_outcome::not_sent,
                    in != nullptr ? std::string(static_cast<char const*>(in), length) : "connection error");
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        self.finish(id_of(wsi), call != nullptr && call->sent ? send_outcome::unknown : send_outcome::not_sent,
                    "connection closed before the response was complete");
        return 0;
    default: return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

/** Protocol table of the client. */
lws_protocols const client_protocols[] = {
    {"cornel-http-client", client_callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

/** Timer callback: checks deadlines and re-arms itself. */
void on_timer(lws_sorted_usec_list_t* timer)
{
    auto* self = reinterpret_cast<http_client::impl::timer_node*>(timer)->owner;
    self->check_deadlines();
    lws_sul_schedule(self->context, 0, &self->timer.sul, on_timer, deadline_check_us);
}

} // namespace

pending_request* http_client::impl::find(lws* wsi)
{
    auto found = calls.find(id_of(wsi));
    return found == calls.end() ? nullptr : &found->second;
}

void http_client::impl::finish(std::uint64_t id, send_outcome outcome, std::string detail)
{
    auto found = calls.find(id);
    if (found == calls.end()) return;
    pending_request call = std::move(found->second);
    calls.erase(found);
    call.result.outcome = outcome;
    call.result.detail = std::move(detail);
    if (call.done) call.done(std::move(call.result));
}

int http_client::impl::reject_response(pending_request const& call, std::string detail)
{
    finish(call.id, send_outcome::unknown, std::move(detail));
    return -1;
}

void http_client::impl::start_pending()
{
    std::vector<pending_request> ready;
    {
        std::lock_guard lock(mutex);
        ready.swap(inbox);
    }
    for (auto& item : ready) {
        std::uint64_t const id = item.id;
        auto& call = calls.emplace(id, std::move(item)).first->second;
        lws_client_connect_info info{};
        info.context = context;
        info.address = call.peer.host.c_str();
        info.port = call.peer.port;
        info.path = call.request.path.c_str();
        info.host = info.address;
        info.origin = info.address;
        info.method = call.request.method.c_str();
        info.protocol = client_protocols[0].name;
        info.userdata = reinterpret_cast<void*>(static_cast<std::uintptr_t>(id));
        info.pwsi = &call.wsi;
        if (lws_client_connect_via_info(&info) == nullptr && calls.count(id) != 0) {
            finish(id, send_outcome::not_sent, "cannot connect to " + call.peer.to_string());
        }
    }
}

void http_client::impl::check_deadlines()
{
    auto const now = clock::now();
    std::vector<std::uint64_t> expired;
    for (auto const& [id, call] : calls) {
        if (call.deadline <= now) expired.push_back(id);
    }
    for (auto id : expired) {
        auto& call = calls.find(id)->second;
        lws* wsi = call.wsi;
        finish(id, call.sent ? send_outcome::unknown : send_outcome::not_sent, "timeout");
        if (wsi != nullptr) lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

http_client::http_client() : m_impl(std::make_unique<impl>())
{
    detail::route_lws_logs();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = client_protocols;
    info.user = m_impl.get();
    info.fd_limit_per_thread = 4096;
    m_impl->context = lws_create_context(&info);
    if (m_impl->context == nullptr) {
        throw error(error_kind::internal, "cannot create the HTTP client context.", "Raise the limit of open files.");
    }
    m_impl->timer.owner = m_impl.get();
    lws_sul_schedule(m_impl->context, 0, &m_impl->timer.sul, on_timer, deadline_check_us);
    m_impl->thread = std::thread([this] {
        while (!m_impl->stopping)
            lws_service(m_impl->context, 0);
    });
}

http_client::~http_client()
{
    m_impl->stopping = true;
    lws_cancel_service(m_impl->context);
    m_impl->thread.join();
    for (auto& [id, call] : m_impl->calls)
        call.done = nullptr;
    lws_context_destroy(m_impl->context);
}

void http_client::submit(endpoint const& peer, http_request request, milliseconds timeout, result_callback done)
{
    pending_request call;
    call.peer = peer;
    call.request = std::move(request);
    call.deadline = clock::now() + timeout;
    call.done = std::move(done);
    {
        std::lock_guard lock(m_impl->mutex);
        call.id = m_impl->next_id++;
        m_impl->inbox.push_back(std::move(call));
    }
    lws_cancel_service(m_impl->context);
}

client_result http_client::call(endpoint const& peer, http_request request, milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<client_result>>();
    auto future = promise->get_future();
    submit(peer, std::move(request), timeout,
           [promise](client_result result) { promise->set_value(std::move(result)); });
    return future.get();
}

} // namespace cornelspring
