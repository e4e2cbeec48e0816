/**
 * @file gateway.hpp The gateway process: connections of callers and to backend servers, the link to the platform's
 * store, membership of gateway VMs, and the service that ties them to the dispatcher.
 */
#pragma once

#include <cornelspring/routing.hpp>

namespace cornelspring {

// ---- HTTP/1.1 client connections ----

/** How an exchange on a client connection ended. */
struct exchange_result {
    bool answered = false;   ///< A whole, matching response came.
    bool sent = false;       ///< The request may have reached the peer.
    http_response response;  ///< The response when answered.
    char const* detail = ""; ///< Why not answered.
};

/** One HTTP/1.1 connection to a peer that carries one request at a time. */
class client_connection {
public:
    /** Outcome of offering a response to its request. */
    enum class match { mine, other };
    /** One exchange. */
    struct exchange {
        /** Writes the request, once it can leave: what it says of time is true then. Empty: it is too late for it. */
        std::function<std::string(time_point now)> write;
        bool head = false;                                  ///< The response has no body.
        std::function<match(http_response const&)> matches; ///< Whether a response answers this request.
        std::function<void(exchange_result)> done;          ///< Called once.
    };
    /**
     * Starts connecting.
     * @param loop event loop. @param peer address. @param options socket options. @param limits on responses.
     */
    client_connection(event_loop& loop, endpoint const& peer, stream_options options, message_limits limits);
    /** Begins an exchange; only while idle. @param next the exchange. */
    void start(exchange next);
    /** @return whether the connection is established. */
    bool established() const { return m_established; }
    /** @return whether it is open and can carry another request. */
    bool reusable() const;
    /** Sets the hook for the end of an idle connection. @param hook called once. */
    void on_idle_end(std::function<void()> hook) { m_idle_end = std::move(hook); }
    /** @return until when the peer keeps the connection when idle, by its own word; max when it did not say. */
    time_point kept_until() const { return m_kept_until; }
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
    void take_response(std::string_view rest);
    /** Reports the result of the exchange. */
    void end_exchange(exchange_result result);
    /** Notes how long the peer keeps the connection when idle. */
    void note_keep_alive(http_response const& response);

    event_loop& m_loop;                 ///< Event loop.
    message_reader m_reader;            ///< Response reader.
    std::optional<exchange> m_exchange; ///< Present exchange.
    std::function<void()> m_idle_end;   ///< Hook of the idle connection.
    bool m_established = false;         ///< Connected.
    bool m_broken = false;              ///< Must not be used again.
    bool m_used = false;                ///< Carried an exchange before.
    bool m_sent = false;                ///< The request of the exchange was handed to the stream.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Tells deferred work whether this still exists.
    time_point m_kept_until = time_point::max();                  ///< Peer's idle limit.
    time_point m_idle_since;                                      ///< End of the last exchange.
    std::unique_ptr<tcp_stream> m_stream;                         ///< The connection.
};

// ---- Backend pool ----

/** Settings of the connections to backend servers. */
struct pool_options {
    header_names names;              ///< Header names.
    milliseconds connect_limit{600}; ///< Longest connect: two round trips between regions and a slow accept.
    milliseconds idle_limit{2000};   ///< Kept connections idle this long are closed: see connection_share.
    milliseconds fresh_enough{250};  ///< A kept connection idle longer may be dead: not for what must not repeat.
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
    void send(attempt_order order);
    /** Gives an attempt up by closing its connection. @param id attempt. */
    void cancel(attempt_id id);
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
    request_key key;           ///< For answer().
    http_request message;      ///< The request.
    bool local = false;        ///< Arrived on an address for the system's own calls, not for forwarding.
    clock::duration waited{0}; ///< Longest time that it may have waited unread.
};

/** The server for callers: reads requests strictly, one at a time on each connection, and answers each once. */
class caller_server {
public:
    /** Hooks of the service. */
    struct hooks {
        std::function<void(caller_request)> on_request; ///< A whole request; answer() follows, now or later.
        std::function<void(request_key)> on_gone;       ///< The caller left before its answer.
        std::function<caller_limits()> limits;          ///< Limits in force.
        /** A request was refused before routing. @param status answered. @param reason why. */
        std::function<void(int status, char const* reason)> on_refused;
    };
    /** @param loop event loop. @param hooks service. */
    caller_server(event_loop& loop, hooks hooks);
    ~caller_server();
    /** Listens on @p address. @param address address. @param local whether only the system's own calls come there.
     *  @return the bound port. */
    std::uint16_t listen(endpoint const& address, bool local);
    /** Answers a request; does nothing when its caller has left. @param key request. @param response answer. */
    void answer(request_key key, http_response response);
    /** From now on each answer closes its connection. */
    void close_after_answers();
    /** Stops accepting and closes idle connections. */
    void stop_listening();
    /** @return open connections of callers for forwarding. */
    std::size_t connections() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connections.
};

// ---- Store ----

/** An item of the platform's store, or its removal. */
struct store_item {
    std::string key;           ///< Key.
    std::string value;         ///< Value; empty for a removal.
    std::int64_t revision = 0; ///< Revision of the change.
    bool removed = false;      ///< The key was removed.
};

/** A page of items or a batch of changes. */
struct store_batch {
    std::vector<store_item> items; ///< Items or changes, oldest first.
    std::int64_t as_of = 0;        ///< Store revision of the answer.
    bool more = false;             ///< Another page follows.
};

/** A write of one key. */
struct store_write {
    std::string key;        ///< Key.
    std::string value;      ///< Value.
    std::int64_t lease = 0; ///< Lease that keeps it.
};

/** Translates the store's calls; one for each store that is spoken. */
struct store_codec {
    std::string config_key;     ///< Key of the operators' configuration.
    std::string backend_prefix; ///< Prefix of backend entries; the rest of the key is the id.
    std::function<http_request(std::string const& prefix, std::string const& after)> read; ///< Read a prefix.
    std::function<http_request(std::string const& prefix, std::int64_t after, milliseconds wait)>
        watch;                                                          ///< Wait for changes.
    std::function<http_request(std::vector<store_write> const&)> write; ///< Write keys.
    std::function<http_request(milliseconds ttl)> grant;                ///< New lease.
    std::function<http_request(std::int64_t lease)> renew;              ///< Renew a lease.
    std::function<http_request(std::int64_t lease)> end_lease;          ///< End a lease.
    std::function<store_batch(http_response const&)> parse_batch;       ///< Reads the answer of read and watch.
    std::function<std::int64_t(http_response const&)> parse_lease;      ///< Reads the answer of grant.
    std::function<std::shared_ptr<serving_config const>(std::string const& value)>
        parse_config; ///< Reads a configuration.
    std::function<backend_entry(std::string const& id, std::string const& value)> parse_backend; ///< Reads an entry.
};

/** A gateway VM as it registers itself. */
struct gateway_member {
    endpoint address;      ///< Where callers connect.
    endpoint peer;         ///< Where other gateways ask for state.
    domain_name domain;    ///< Failure domain.
    region_name region;    ///< Region.
    double capacity = 1;   ///< Processor cores it may use.
    bool stopping = false; ///< It still serves, but will be gone in seconds.
};
/** Gateways by store key. */
using member_map = std::map<std::string, gateway_member>;
/** @return a member as the value of its store key. @param member member. */
std::string encode_member(gateway_member const& member);
/** @return the member in @p value. @param value store value. @throw error bad_request when malformed. */
gateway_member decode_member(std::string const& value);

/**
 * Chooses the gateways that callers are sent to. More gateways than backend servers have connections for would only
 * open and close connections; and a gateway that carries more requests learns sooner which backend server is slow.
 * The failure domains get equal numbers, the largest VMs first. Stopping ones count only when no other is left.
 * @param members live gateways. @param most most of them.
 * @return keys of the chosen ones.
 */
std::set<std::string> choose_active(member_map const& members, std::size_t most);
/**
 * Chooses the addresses for one caller: active gateways of its failure domain, else of its region, else all.
 * @param members live gateways. @param active keys of the active ones. @param region the caller's region.
 * @param domain its failure domain. @param random order of the answer.
 * @return addresses, in random order.
 */
std::vector<endpoint> choose_addresses(member_map const& members, std::set<std::string> const& active,
                                       region_name const& region, domain_name const& domain, std::mt19937_64& random);

/** Settings of a gateway process. */
struct gateway_settings {
    std::string name;                        ///< Name of this VM.
    std::optional<endpoint> caller_address;  ///< Where callers connect.
    std::vector<endpoint> local_addresses;   ///< Addresses for readiness, address and state questions.
    std::optional<endpoint> peer_address;    ///< Of these, the one other gateways use.
    std::optional<endpoint> metrics_address; ///< Where metrics are served.
    std::vector<endpoint> seeds;             ///< Peer addresses of some gateways; may be stale.
    locality place;                          ///< Where this VM is.
    endpoint store;                          ///< The platform's store.
    std::string ready_path;                  ///< Path of the readiness question.
    std::string addresses_path;              ///< Path of the address question.
    std::string metrics_path = "/metrics";   ///< Path of the metrics.
    double capacity = 1;                     ///< Processor cores this VM may use.
    milliseconds lease_ttl{6000};            ///< Time to live of this VM's registration.
    milliseconds stop_limit{5500};           ///< A stop ends after this, whatever is open.
    int addresses_ttl_s = 2;                 ///< How long callers keep an address answer.
    dispatcher_options dispatch;             ///< Decisions.
    pool_options pool;                       ///< Connections to backend servers.
    /** Writes the answer to an address question. */
    std::function<std::string(std::vector<endpoint> const& addresses, int ttl_s)> encode_addresses;
    /** Reads the caller's place from an address question's target. */
    std::function<std::pair<region_name, domain_name>(std::string const& target)> decode_place;
};

// ---- State of the platform's store ----

/** A copy of the store's items, with the latest changes for those who follow this VM. */
class state_mirror {
public:
    /** Replaces everything. @param items all items. @param as_of revision. @return keys that are gone. */
    std::vector<std::string> replace(std::vector<store_item> const& items, std::int64_t as_of);
    /** Takes in changes. @param changes changes, oldest first. @param as_of revision after them. */
    void apply(std::vector<store_item> const& changes, std::int64_t as_of);
    /** @return the changes after @p revision, or nothing when some of them are no longer kept. @param revision from. */
    std::optional<std::vector<store_item>> changes_after(std::int64_t revision) const;
    /** @return all items. */
    std::map<std::string, store_item> const& items() const { return m_items; }
    /** @return revision of the copy. */
    std::int64_t as_of() const { return m_as_of; }

private:
    std::map<std::string, store_item> m_items; ///< By key.
    std::deque<store_item> m_changes;          ///< Latest changes, oldest first.
    std::int64_t m_complete_from = 0;          ///< All changes after this revision are in m_changes.
    std::int64_t m_as_of = 0;                  ///< Revision.
};

/** Where a gateway learns the store's state from. */
struct feed_source {
    std::string peer_key; ///< Store key of the gateway followed; empty: the store itself.
    endpoint address;     ///< Its address.
    /** @return whether the store itself is read. */
    bool is_store() const { return peer_key.empty(); }
    /** Sources are equal when they name the same process. */
    bool operator==(feed_source const&) const = default;
};

/**
 * Chooses where to learn the store's state from, so that the calls to the store do not grow with the number of VMs:
 * in each failure domain the first gateway by key reads the store and the others follow it. One that fails is left
 * out for a while.
 */
class feed_selector {
public:
    /** @param store address of the store. @param self key of this VM. @param domain its failure domain.
     *  @param seeds gateways to ask when the store cannot be reached and no gateway is known. */
    feed_selector(endpoint store, std::string self, domain_name domain, std::vector<endpoint> seeds);
    /** @return the source to watch. @param members live gateways. @param now present time. */
    feed_source choose(member_map const& members, time_point now) const;
    /** @return the source of a full read: the store when it can be reached, since many full reads at once overload
     *  the link of a small VM. @param members live gateways. @param now present time. */
    feed_source choose_for_read(member_map const& members, time_point now) const;
    /** Notes that a source failed. @param source source. @param now present time. */
    void on_failed(feed_source const& source, time_point now);
    /** Notes that a source answers. @param source source. */
    void on_answered(feed_source const& source) { m_avoid_until.erase(source.peer_key); }

private:
    /** @return whether the source @p key failed lately. */
    bool avoided(std::string const& key, time_point now) const;
    /** @return how many gateways failed lately. */
    std::size_t avoided_peers(time_point now) const;
    endpoint m_store;                                ///< Store.
    std::string m_self;                              ///< This VM.
    domain_name m_domain;                            ///< Its failure domain.
    std::vector<endpoint> m_seeds;                   ///< Asked when nothing else is known.
    std::map<std::string, time_point> m_avoid_until; ///< Failed sources; the store has an empty key.
};

/** What a state feed reports. */
struct feed_events {
    std::function<void(std::vector<store_item> const& items, std::int64_t as_of)> on_snapshot; ///< Everything there is.
    std::function<void(std::vector<store_item> const& items, std::int64_t as_of)> on_changes;  ///< Changes.
    std::function<void(feed_source const& source, char const* reason)> on_failed; ///< A call failed; choose again.
    std::function<void(feed_source const& source)> on_answered;                   ///< A call succeeded.
    std::function<feed_source()> choose;                                          ///< Source of the next watch.
    std::function<feed_source()> choose_for_read;                                 ///< Source of a full read.
};

/** Keeps a copy of the store current: a full read, then one waiting watch over all keys, from whatever source. */
class state_feed {
public:
    /** @param loop event loop. @param store store calls. @param peer calls to another gateway. @param events hooks. */
    state_feed(event_loop& loop, store_codec const& store, store_codec const& peer, feed_events events);
    ~state_feed();
    /** Starts reading. */
    void start();
    /** @return whether a full read is complete. */
    bool synced() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connection and timers.
};

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
    /** Ends the lease, which removes the key. */
    void end();

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Connection and timers.
};

/** @return the calls of one gateway to another, which mirror those to the store. */
store_codec make_peer_codec();
/** Paths by which gateways ask each other. */
namespace peer_paths {
inline constexpr char const* state = "/v1/state";     ///< Everything.
inline constexpr char const* changes = "/v1/changes"; ///< Changes after a revision; waits for some.
} // namespace peer_paths
/** @return a batch as the body that make_peer_codec() reads. @param items items or changes. @param as_of revision. */
std::string encode_peer_batch(std::vector<store_item> const& items, std::int64_t as_of);

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
