/**
 * @file gateway.hpp The gateway process: connections from callers and to backend servers, this VM's registration in
 * the platform's store, the selection of gateways for callers, and the process that connects these to the dispatcher.
 */
#pragma once

#include <cornelspring/dispatch.hpp>
#include <cornelspring/feed.hpp>

namespace cornelspring {

// ---- HTTP/1.1 client connections ----

/** How a peer ended an exchange without a complete response. */
enum class peer_failure {
    none, ///< It did not, or the request cannot have reached it.
    /** It closed the connection, ended it in the middle of a response, or sent bytes that are no response. It had read
     *  the request. */
    broken_off,
    reset, ///< It reset the connection before any byte of a response. It may not have read the request.
};

/** Outcome of an exchange on a client connection. */
struct exchange_result {
    bool completed = false;                    ///< A complete, matching response was received.
    bool sent = false;                         ///< The request may have reached the peer.
    peer_failure failure = peer_failure::none; ///< How the peer ended the exchange, if it did not complete.
    http_response response;                    ///< The response, if completed.
    char const* detail = "";                   ///< Why the exchange did not complete.
};

/** One HTTP/1.1 connection to a peer that carries one request at a time. */
class client_connection {
public:
    /** Whether a response belongs to the request of an exchange. */
    enum class match {
        expected,     ///< It does.
        unexpected,   ///< It belongs to another request, for example to an earlier one.
        unidentified, ///< It may belong to this request or to an earlier one.
    };
    /** A request and the handling of its response. */
    struct exchange {
        /** Serializes the request at the moment when it can be sent, so that the remaining time in it is correct.
         *  Returns an empty string when the deadline has passed. */
        std::function<std::string(time_point now)> write_request;
        bool head_request = false;                          ///< The response has no body.
        std::function<match(http_response const&)> matches; ///< Whether a response belongs to this request.
        std::function<void(exchange_result)> done;          ///< Called once, with the outcome.
        /** Called with the number of bytes received, each time before they are read. May be empty. */
        std::function<void(std::size_t)> on_received;
    };
    /**
     * Starts connecting.
     * @param loop event loop. @param peer address. @param options socket options. @param limits on responses.
     */
    client_connection(event_loop& loop, endpoint const& peer, stream_options options, message_limits limits);
    /** Sets the hook for connecting without an exchange (pre-connect). @param hook called once, with whether the
     *  connection was established. */
    void on_connected(std::function<void(bool)> hook) { m_on_connected = std::move(hook); }
    /** Starts an exchange; only while idle. @param next the exchange. */
    void start(exchange next);
    /** @return whether the connection is established. */
    bool established() const { return m_established; }
    /** @return whether an exchange has finished on it. */
    bool used() const { return m_used; }
    /** @return bytes received so far. */
    std::uint64_t bytes_received() const { return m_bytes_received; }
    /** @return whether the connection is open and can carry another request. */
    bool reusable() const;
    /** Sets the hook for the closing of an idle connection. @param hook called once. */
    void on_idle_closed(std::function<void()> hook) { m_on_idle_closed = std::move(hook); }
    /** @return when the peer closes the connection if it stays idle, from its Keep-Alive header; max without one. */
    time_point keep_alive_deadline() const { return m_keep_alive_deadline; }
    /** @return when the last exchange finished. */
    time_point idle_since() const { return m_idle_since; }

private:
    /** Sends the request of the exchange; only on an established connection. */
    void send_request();
    /** Handles received bytes. */
    void on_bytes(std::string_view bytes);
    /** Handles the closing or failure of the connection. */
    void on_end(stream_end how);
    /** Finishes the exchange with the response that was read. @param rest bytes received after it. */
    void handle_response(std::string_view rest);
    /** Reports the result of the exchange. */
    void finish_exchange(exchange_result result);
    /** Reads the idle timeout from the Keep-Alive header of @p response. */
    void update_keep_alive_deadline(http_response const& response);

    event_loop& m_loop;                       ///< Event loop.
    message_reader m_reader;                  ///< Response reader.
    std::optional<exchange> m_exchange;       ///< Current exchange.
    std::function<void()> m_on_idle_closed;   ///< Called when the connection closes while idle.
    std::function<void(bool)> m_on_connected; ///< Called when a pre-connect finishes.
    bool m_established = false;               ///< The connection is established.
    bool m_unusable = false;                  ///< Must not carry another exchange.
    bool m_used = false;                      ///< An exchange has finished on this connection.
    bool m_sent = false;                      ///< The request of the current exchange was passed to the stream.
    std::uint64_t m_bytes_received = 0;       ///< Bytes received.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Lets deferred tasks see that this is gone.
    time_point m_keep_alive_deadline = time_point::max();         ///< See keep_alive_deadline().
    time_point m_idle_since;                                      ///< When the last exchange finished.
    std::unique_ptr<tcp_stream> m_stream;                         ///< The connection.
};

// ---- Backend pool ----

/** Settings of the connections to backend servers. */
struct pool_options {
    header_names names;                ///< Header names.
    milliseconds connect_timeout{600}; ///< Allows for two round trips between regions and a slow accept.
    milliseconds idle_timeout{15000};  ///< Idle connections are closed after this; see connection_share.
    /** A connection that was idle for longer may be dead, so requests that must not be repeated are not sent on it. */
    milliseconds max_idle_non_idempotent{250};
    message_limits response_limits{32768, 8 << 20}; ///< Limits on the size of responses.
    /** Limit on the bytes of all incomplete responses together. Beyond it the largest one is abandoned. */
    std::size_t max_incomplete_bytes = 32 << 20;
};

/** Connections to backend servers: sends attempts and reports their outcomes. */
class backend_pool {
public:
    /** @param loop event loop. @param options settings. @param on_result receives the outcome of each attempt that is
     *  not canceled. */
    backend_pool(event_loop& loop, pool_options options, std::function<void(attempt_id, attempt_result)> on_result);
    ~backend_pool();
    /** Sends an attempt. @param attempt what to send, and where. */
    void send(outgoing_attempt attempt);
    /** Cancels an attempt by closing its connection. @param id attempt. */
    void cancel(attempt_id id);
    /** Opens a connection before a request needs it. @param server backend server to connect to. */
    void preconnect(std::shared_ptr<backend_server> const& server);
    /** @return whether @p server needs no pre-connect: a connection is idle or being opened, or opening one failed
     *  recently. @param server backend server. */
    bool skip_preconnect(std::shared_ptr<backend_server> const& server) const;
    /** @return number of connections opened since the start of the process. */
    std::uint64_t connections_opened() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connections.
};

// ---- Callers ----

/** What a listening address serves. */
enum class address_role : unsigned {
    callers = 1,   ///< Requests that are forwarded to backend servers.
    readiness = 2, ///< Readiness checks.
    directory = 4, ///< Address queries.
    peers = 8,     ///< Calls of peer gateways.
    metrics = 16,  ///< Metrics.
};

/** Set of the roles of a listening address. */
class address_roles {
public:
    /** No role. */
    address_roles() = default;
    /** @param role the only role. */
    address_roles(address_role role) : m_bits(static_cast<unsigned>(role)) {}
    /** Adds @p role. @param role role. */
    void add(address_role role) { m_bits |= static_cast<unsigned>(role); }
    /** @return whether @p role is one of them. @param role role. */
    bool has(address_role role) const { return (m_bits & static_cast<unsigned>(role)) != 0; }
    /** Sets are equal when they have the same roles. */
    bool operator==(address_roles const&) const = default;

private:
    unsigned m_bits = 0; ///< One bit for each role.
};

/** A request received by the caller server. */
struct caller_request {
    request_key key;       ///< Identifies the request in respond().
    http_request message;  ///< The request.
    address_roles roles;   ///< Roles of the address on which it was received.
    request_timing timing; ///< Time that it waited unread, and the round-trip time to the caller.
    caller_address caller; ///< Address of the caller.
};

/** HTTP/1.1 server for callers: strict parsing, one request at a time on each connection, one response to each. */
class caller_server {
public:
    /** Callbacks into the service. */
    struct hooks {
        /** A complete request was received. The service calls respond() for it, during this callback or later. */
        std::function<void(caller_request)> on_request;
        /** The caller disconnected before the response was sent. */
        std::function<void(request_key)> on_caller_disconnected;
        std::function<caller_limits()> limits; ///< Limits in force.
        /** A request was rejected before routing. @param status status of the response, or 0. @param reason why. */
        std::function<void(int status, char const* reason)> on_rejected;
        /** A connection ended before its caller had received the complete response. May be empty. @param received
         *  bytes that the caller had acknowledged or, if the connection failed, that the socket had accepted.
         *  @param size size of the response in bytes. */
        std::function<void(std::size_t received, std::size_t size)> on_response_cut = {};
    };
    /** @param loop event loop. @param hooks callbacks into the service. */
    caller_server(event_loop& loop, hooks hooks);
    ~caller_server();
    /** Listens on @p address. The limits on requests of callers apply there if callers is one of its roles; otherwise
     *  a body may have checked::max_body_bytes. @param address address. @param roles its roles. @return the bound
     *  port. */
    std::uint16_t listen(endpoint const& address, address_roles roles);
    /** Sends the response to a request; does nothing if its caller has disconnected. @param key request.
     *  @param response response. */
    void respond(request_key key, http_response response);
    /** Makes each further response close its connection. */
    void close_after_responses();
    /** Stops accepting and closes idle connections. */
    void stop_listening();
    /** @return number of open connections to addresses for callers. */
    std::size_t connections() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connections.
};

// ---- Members ----

/** @return @p member as the value of its item in the store. @param member member. */
std::string encode_member(gateway_member const& member);
/** @return the member in @p value. @param value store value. @throw error bad_request when malformed. */
gateway_member decode_member(std::string const& value);

/**
 * Chooses the active gateways: those whose addresses callers receive. Their number is limited for two reasons: if
 * there were more gateways than connections at a backend server, they would keep opening and closing connections; and a
 * gateway with more requests detects slow backend servers sooner. Each failure domain gets the same number, its largest
 * VMs first. Stopping gateways are chosen only if all are stopping, and those without a copy of the store only while
 * most are without one. VMs that are much smaller than the others are left out if the others have enough capacity.
 * @param members live gateways. @param max_count most gateways to choose; at least one per failure domain is chosen.
 * @return store keys of the active gateways.
 */
std::set<std::string> choose_active(member_map const& members, std::size_t max_count);

/** Query of a caller for the addresses of gateways, which it sends before it connects. */
struct address_query {
    std::string host;   ///< Host to which the caller's requests are addressed.
    region_name region; ///< Region of the caller.
    domain_name domain; ///< Failure domain of the caller.
};

/**
 * Chooses the addresses for one caller: active gateways of its failure domain if there are at least two, else of its
 * region, else all. If the host has home regions, one gateway in the caller's region is enough; if there is none,
 * gateways in the home regions are chosen, and any others only if no gateway is live there: requests to such a host
 * must not pass through other regions.
 * @param members live gateways. @param active store keys of the active ones. @param query query of that caller.
 * @param homes home regions of the host; empty: any region. @param random source of the random order.
 * @return addresses, in random order.
 */
std::vector<endpoint> choose_addresses(member_map const& members, std::set<std::string> const& active,
                                       address_query const& query, region_set const& homes, std::mt19937_64& random);

/** Settings of a gateway process. */
struct gateway_settings {
    std::string name;                          ///< Name of this VM.
    std::optional<endpoint> caller_address;    ///< Where callers connect; none: this VM serves no callers.
    std::optional<endpoint> readiness_address; ///< Where readiness is checked.
    std::optional<endpoint> directory_address; ///< Where callers query the addresses of gateways.
    std::optional<endpoint> peer_address;      ///< Where peer gateways connect, and from where this VM calls them.
    std::optional<endpoint> metrics_address;   ///< Where metrics are served.
    std::vector<endpoint> seeds;               ///< Peer addresses to start with; may be outdated.
    locality location;                         ///< Failure domain and region of this VM.
    endpoint store;                            ///< Address of the platform's store.
    std::string ready_path;                    ///< Path of the readiness check.
    std::string addresses_path;                ///< Path of address queries.
    std::string metrics_path = "/metrics";     ///< Path of the metrics.
    double capacity = 1;                       ///< Processor cores this VM may use.
    double uplink_bytes_per_s = 0;             ///< Rate of the VM's uplink; 0: unknown.
    milliseconds lease_ttl{6000};              ///< Time to live of this VM's registration.
    milliseconds stop_timeout{5500};           ///< A stop finishes after this time even if requests are in flight.
    int addresses_ttl_s = 4;                   ///< How long callers may use the response to an address query.
    dispatcher_options dispatch;               ///< Settings of the dispatcher.
    warmup_limits warmup;                      ///< Limits on requests to cold backend servers.
    quota_tolerance quota;                     ///< By how much customers' quotas may be passed.
    pool_options pool;                         ///< Connections to backend servers.
    /** Encodes the response to an address query. */
    std::function<std::string(std::vector<endpoint> const& addresses, int ttl_s)> encode_addresses;
    /** Decodes an address query from the request target. */
    std::function<address_query(std::string const& target)> decode_address_query;
};

/** @return the addresses to listen on with their roles; an address named for several roles has all of these.
 *  @param settings settings. */
std::map<endpoint, address_roles> listening_addresses(gateway_settings const& settings);

// ---- Registration ----

/** Maintains one item of this VM in the store under a lease, and writes it again whenever it is lost. */
class registration {
public:
    /** @param loop event loop. @param store address. @param codec encodes calls to the store. @param ttl time to live
     *  of the lease. @param on_call receives for each call whether it succeeded. */
    registration(event_loop& loop, endpoint store, store_codec const& codec, milliseconds ttl,
                 std::function<void(bool ok)> on_call);
    ~registration();
    /** Writes @p value at @p key, now and again whenever the item is lost. @param key key. @param value value. */
    void set(std::string key, std::string value);
    /** Handles the removal of the item by others: writes it again under a new lease. */
    void on_removed();
    /** Handles the restoration of the store from an older copy: writes the item again. @param era its new era. */
    void on_store_era(store_era era);
    /** Revokes the lease, which removes the item, and stops renewing it. */
    void revoke();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connection and timer.
};

/** The gateway process. */
class gateway {
public:
    /** @param settings settings. @param codec translates between the store's calls and this process. */
    gateway(gateway_settings settings, store_codec codec);
    ~gateway();
    /** Serves requests until a stop signal was received and the stop is complete. */
    void run();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< State of the process.
};

} // namespace cornelspring
