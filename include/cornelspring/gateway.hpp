/**
 * @file gateway.hpp The gateway process: connections of callers and to backend servers, the link to the platform's
 * store, membership of gateway VMs, and the service that ties them to the dispatcher.
 */
#pragma once

#include <cornelspring/dispatch.hpp>
#include <cornelspring/feed.hpp>

namespace cornelspring {

// ---- HTTP/1.1 client connections ----

/** How an exchange on a client connection ended. */
struct exchange_result {
    bool completed = false;              ///< A whole, matching response came.
    bool sent = false;                   ///< The request may have reached the peer.
    bool closed_before_response = false; ///< The peer closed the connection and sent no byte of a response.
    http_response response;              ///< The response when answered.
    char const* detail = "";             ///< Why not answered.
};

/** One HTTP/1.1 connection to a peer that carries one request at a time. */
class client_connection {
public:
    /** Outcome of offering a response to its request. */
    enum class match { expected, unexpected };
    /** One exchange. */
    struct exchange {
        /** Writes the request, once it can leave: what it says of time is true then. Empty: it is too late for it. */
        std::function<std::string(time_point now)> write_request;
        bool head_request = false;                          ///< The response has no body.
        std::function<match(http_response const&)> matches; ///< Whether a response answers this request.
        std::function<void(exchange_result)> done;          ///< Called once.
    };
    /**
     * Starts connecting.
     * @param loop event loop. @param peer address. @param options socket options. @param limits on responses.
     */
    client_connection(event_loop& loop, endpoint const& peer, stream_options options, message_limits limits);
    /** Sets the hook for the end of connecting without an exchange. @param hook called once, with whether it succeeded.
     */
    void on_connected(std::function<void(bool)> hook) { m_on_connected = std::move(hook); }
    /** Begins an exchange; only while idle. @param next the exchange. */
    void start(exchange next);
    /** @return whether the connection is established. */
    bool established() const { return m_established; }
    /** @return bytes received so far. */
    std::uint64_t bytes_received() const { return m_bytes_received; }
    /** @return whether it is open and can carry another request. */
    bool reusable() const;
    /** Sets the hook for the end of an idle connection. @param hook called once. */
    void on_idle_closed(std::function<void()> hook) { m_on_idle_closed = std::move(hook); }
    /** @return until when the peer keeps the connection when idle, by its own word; max when it did not say. */
    time_point keep_alive_deadline() const { return m_keep_alive_deadline; }
    /** @return the end of the last exchange. */
    time_point idle_since() const { return m_idle_since; }

private:
    /** Sends the request of the exchange; the connection is established. */
    void send_request();
    /** Takes in bytes of a response. */
    void on_bytes(std::string_view bytes);
    /** Takes in the end of the connection. */
    void on_end(stream_end how);
    /** Ends the exchange with the response read. @param rest bytes after it. */
    void handle_response(std::string_view rest);
    /** Reports the result of the exchange. */
    void finish_exchange(exchange_result result);
    /** Notes how long the peer keeps the connection when idle. */
    void update_keep_alive_deadline(http_response const& response);

    event_loop& m_loop;                       ///< Event loop.
    message_reader m_reader;                  ///< Response reader.
    std::optional<exchange> m_exchange;       ///< Present exchange.
    std::function<void()> m_on_idle_closed;   ///< Hook of the idle connection.
    std::function<void(bool)> m_on_connected; ///< Hook of a connection opened ahead.
    bool m_established = false;               ///< Connected.
    bool m_unusable = false;                  ///< Must not be used again.
    bool m_used = false;                      ///< Carried an exchange before.
    bool m_sent = false;                      ///< The request of the exchange was handed to the stream.
    std::uint64_t m_bytes_received = 0;       ///< Bytes received.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Tells deferred work whether this still exists.
    time_point m_keep_alive_deadline = time_point::max();         ///< Peer's idle limit.
    time_point m_idle_since;                                      ///< End of the last exchange.
    std::unique_ptr<tcp_stream> m_stream;                         ///< The connection.
};

// ---- Backend pool ----

/** Settings of the connections to backend servers. */
struct pool_options {
    header_names names;                ///< Header names.
    milliseconds connect_timeout{600}; ///< Longest connect: two round trips between regions and a slow accept.
    milliseconds idle_timeout{15000};  ///< Kept connections idle this long are closed: see connection_share.
    milliseconds max_idle_non_idempotent{
        250}; ///< A kept connection idle longer may be dead: not for what must not repeat.
    message_limits response_limits{32768, 8 << 20}; ///< Limits on responses.
};

/** Connections to backend servers: sends attempts and reports their results. */
class backend_pool {
public:
    /** @param loop event loop. @param options settings. @param on_result receives every result that is not cancelled.
     */
    backend_pool(event_loop& loop, pool_options options, std::function<void(attempt_id, attempt_result)> on_result);
    ~backend_pool();
    /** Sends an attempt. @param order the attempt. */
    void send(outgoing_attempt order);
    /** Gives an attempt up by closing its connection. @param id attempt. */
    void cancel(attempt_id id);
    /** Opens a connection ahead, kept for a later attempt. @param server where to. */
    void preconnect(std::shared_ptr<backend_server> const& server);
    /** @return whether a connection to @p server is kept or being opened ahead, or could not be opened shortly before.
     *  @param server which. */
    bool skip_preconnect(std::shared_ptr<backend_server> const& server) const;
    /** @return connections opened since the start. */
    std::uint64_t connections_opened() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connections.
};

// ---- Callers ----

/** What a caller's connection delivers to the service. */
struct caller_request {
    request_key key;       ///< For respond().
    http_request message;  ///< The request.
    bool internal = false; ///< Arrived on an address for the system's own calls, not for forwarding.
    request_timing timing; ///< Its time before it was read and after it will be answered.
    caller_address caller; ///< Who sent it.
};

/** The server for callers: reads requests strictly, one at a time on each connection, and answers each once. */
class caller_server {
public:
    /** Hooks of the service. */
    struct hooks {
        std::function<void(caller_request)> on_request; ///< A whole request; respond() follows, now or later.
        std::function<void(request_key)> on_disconnect; ///< The caller left before its answer.
        std::function<caller_limits()> limits;          ///< Limits in force.
        /** A request was refused before routing. @param status answered. @param reason why. */
        std::function<void(int status, char const* reason)> on_refused;
    };
    /** @param loop event loop. @param hooks service. */
    caller_server(event_loop& loop, hooks hooks);
    ~caller_server();
    /** Listens on @p address. @param address address. @param internal whether only the system's own calls come there.
     *  @return the bound port. */
    std::uint16_t listen(endpoint const& address, bool internal);
    /** Answers a request; does nothing when its caller has left. @param key request. @param response answer. */
    void respond(request_key key, http_response response);
    /** From now on each answer closes its connection. */
    void close_after_responses();
    /** Stops accepting and closes idle connections. */
    void stop_listening();
    /** @return open connections of callers for forwarding. */
    std::size_t connections() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connections.
};

// ---- Members ----

/** @return a member as the value of its store key. @param member member. */
std::string encode_member(gateway_member const& member);
/** @return the member in @p value. @param value store value. @throw error bad_request when malformed. */
gateway_member decode_member(std::string const& value);

/**
 * Chooses the gateways that callers are sent to. More gateways than backend servers have connections for would only
 * open and close connections; and a gateway that carries more requests learns sooner which backend server is slow.
 * The failure domains get equal numbers, the largest VMs first. Stopping ones count only when no other is left.
 * @param members live gateways. @param max_count most of them.
 * @return keys of the chosen ones.
 */
std::set<std::string> choose_active(member_map const& members, std::size_t max_count);
/** What a caller asks before it connects. */
struct address_query {
    std::string host;   ///< Host that it wants to ask.
    region_name region; ///< Its region.
    domain_name domain; ///< Its failure domain.
};

/**
 * Chooses the addresses for one caller: active gateways of its failure domain, else of its region, else all. Where the
 * host has homes, a single gateway of the caller's region is enough, and those elsewhere are of home regions as long
 * as one lives there: what callers of such a host ask must not go through other regions.
 * @param members live gateways. @param active keys of the active ones. @param asked the question. @param homes regions
 * that may serve the host; empty: all. @param random order of the answer.
 * @return addresses, in random order.
 */
std::vector<endpoint> choose_addresses(member_map const& members, std::set<std::string> const& active,
                                       address_query const& asked, region_set const& homes, std::mt19937_64& random);

/** Settings of a gateway process. */
struct gateway_settings {
    std::string name;                         ///< Name of this VM.
    std::optional<endpoint> caller_address;   ///< Where callers connect.
    std::vector<endpoint> internal_addresses; ///< Addresses for readiness, address and state questions.
    std::optional<endpoint> peer_address;     ///< Of these, the one other gateways use.
    std::optional<endpoint> metrics_address;  ///< Where metrics are served.
    std::vector<endpoint> seeds;              ///< Peer addresses of some gateways; may be stale.
    locality location;                        ///< Where this VM is.
    endpoint store;                           ///< The platform's store.
    std::string ready_path;                   ///< Path of the readiness question.
    std::string addresses_path;               ///< Path of the address question.
    std::string metrics_path = "/metrics";    ///< Path of the metrics.
    double capacity = 1;                      ///< Processor cores this VM may use.
    double uplink_bytes_per_s = 0;            ///< What its link carries; 0: not known.
    milliseconds lease_ttl{6000};             ///< Time to live of this VM's registration.
    milliseconds stop_timeout{5500};          ///< A stop ends after this, whatever is open.
    int addresses_ttl_s = 4;                  ///< How long callers keep an address answer.
    dispatcher_options dispatch;              ///< Decisions.
    warmup_limits warmup;                     ///< Bound on requests to cold backend servers.
    pool_options pool;                        ///< Connections to backend servers.
    /** Writes the answer to an address question. */
    std::function<std::string(std::vector<endpoint> const& addresses, int ttl_s)> encode_addresses;
    /** Reads an address question from its target. */
    std::function<address_query(std::string const& target)> decode_address_query;
};

// ---- Registration ----

/** Keeps one key of this VM in the store under a lease. */
class registration {
public:
    /** @param loop event loop. @param store address. @param codec store calls. @param ttl time to live of the lease.
     *  @param on_call reports calls: whether they succeeded. */
    registration(event_loop& loop, endpoint store, store_codec const& codec, milliseconds ttl,
                 std::function<void(bool ok)> on_call);
    ~registration();
    /** Writes @p value at @p key, again whenever it is lost. @param key key. @param value value. */
    void set(std::string key, std::string value);
    /** Someone else removed the key: write it again under a new lease. */
    void on_removed();
    /** The store came back from an older copy: what was written before is written again. @param era its era now. */
    void on_store_era(store_era era);
    /** Ends the lease, which removes the key. */
    void revoke();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connection and timers.
};

/** The gateway process. */
class gateway {
public:
    /** @param settings settings. @param codec store translation. */
    gateway(gateway_settings settings, store_codec codec);
    ~gateway();
    /** Serves until a stop signal has been handled. */
    void run();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Everything.
};

} // namespace cornelspring
