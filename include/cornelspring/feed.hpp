/**
 * @file feed.hpp A gateway's local copy of the platform's store: how it is read, from the store or from a peer gateway,
 * how its age is tracked, and how the source to read from is chosen.
 */
#pragma once

#include <cornelspring/routing.hpp>

namespace cornelspring {

// ---- Store ----

/** Era of the store's contents: it increases each time the store is restored from an older copy; 0: not given. */
using store_era = strong_id<struct store_era_tag, std::int64_t>;

/**
 * A point in the history of the store's contents. Revisions order the changes of one era only: a store that was
 * restored from an older copy assigns the same revisions again, to other changes, in a later era.
 */
struct store_position {
    store_era era;             ///< Era.
    std::int64_t revision = 0; ///< Revision in this era.
    /** Positions compare by era, then by revision. */
    auto operator<=>(store_position const&) const = default;
    /** @return the position as text, for parse_position(). */
    std::string to_string() const;
};
/** @return the position in @p text, or nothing when it is malformed. @param text output of to_string(). */
std::optional<store_position> parse_position(std::string_view text);

/** An item of the platform's store, or its removal. */
struct store_item {
    std::string key;         ///< Key.
    std::string value;       ///< Value; empty for a removal.
    store_position position; ///< Position of the change in the store's history.
    bool removed = false;    ///< The key was removed.
};

/** A page of items or a batch of changes. */
struct store_batch {
    std::vector<store_item> items; ///< Items or changes, oldest first.
    store_position as_of;          ///< The batch is complete up to here; its items are of the same era.
    std::string next_page_token;   ///< Token of the next page; empty: this is the last one.
    milliseconds age{0};           ///< Time since the sender's copy was last confirmed; 0 for the store.
    std::vector<std::string> path; ///< Gateways between the sender and the store, the sender's source first.
};

/** A write of one key. */
struct store_write {
    std::string key;        ///< Key.
    std::string value;      ///< Value.
    std::int64_t lease = 0; ///< Lease that the key is bound to.
};

/** Encodes calls to a store and decodes its responses; there is one codec for each store protocol. */
struct store_codec {
    std::string config_key;        ///< Key of the operators' configuration.
    std::string backend_prefix;    ///< Prefix of backend servers' registrations; the rest of the key is the id.
    std::string evacuation_prefix; ///< Prefix of evacuations; the rest of the key is the failure domain.
    std::function<http_request(std::string const& prefix, std::string const& after)> read; ///< Read a prefix.
    std::function<http_request(std::string const& prefix, store_position after, milliseconds wait)>
        watch;                                                          ///< Wait for changes.
    std::function<http_request(store_position after)> freshness;        ///< Check how current the source is.
    std::function<http_request(std::vector<store_write> const&)> write; ///< Write keys.
    /** Create a key if it does not exist. A response with status 200 says that it did not. */
    std::function<http_request(store_write const&)> create;
    std::function<http_request(milliseconds ttl)> grant_lease;    ///< Create a lease.
    std::function<http_request(std::int64_t lease)> renew_lease;  ///< Renew a lease.
    std::function<http_request(std::int64_t lease)> revoke_lease; ///< End a lease.
    std::function<store_batch(http_response const&)> parse_batch; ///< Reads a response to read, watch, freshness.
    /** Removes API keys from an item, as parse_batch does. Applied to the items of peer gateways, since those of an
     *  older release send keys. */
    std::function<void(store_item&)> remove_keys;
    std::function<std::int64_t(http_response const&)> parse_lease; ///< Reads the response to grant_lease.
    std::function<store_era(http_response const&)> parse_era;      ///< Reads the era from any response of the store.
    std::function<std::shared_ptr<serving_config const>(std::string const& value)>
        parse_config; ///< Reads a configuration.
    std::function<backend_registration(std::string const& id, std::string const& value)>
        parse_backend; ///< Reads the registration of a backend server.
};

// ---- Members ----

/** The registration of a gateway VM. */
struct gateway_member {
    endpoint address;      ///< Where callers connect.
    endpoint peer_address; ///< Where peer gateways connect to read the store's state.
    domain_name domain;    ///< Failure domain.
    region_name region;    ///< Region.
    double capacity = 1;   ///< Processor cores it may use.
    bool stopping = false; ///< It still serves, but will stop within seconds.
    bool synced = true;    ///< It has a copy of the store. Before that, it cannot serve callers.
};
/** Gateways by store key. */
using member_map = std::map<std::string, gateway_member>;
/** @return whether @p left is preferred to @p right for tasks that load a VM: the one with more capacity, or the one
 *  with the lower key if both have the same. @param left one gateway. @param right another gateway. */
bool larger_first(member_map::value_type const& left, member_map::value_type const& right);

// ---- Local copy ----

/** A copy of the store's items, with the recent removals that followers may not have received yet. */
class state_mirror {
public:
    /**
     * Replaces the complete contents. When the items are of a later era, followers with a position in an earlier era
     * must make a full read too: no list of changes leads from one era to another.
     * @param items all items. @param as_of position of the new contents.
     * @return the differences from the previous contents, including the removal of keys that no longer exist.
     */
    std::vector<store_item> replace(std::vector<store_item> const& items, store_position as_of);
    /**
     * Applies changes; skips those that are older than the latest known change of their key.
     * @param changes changes, oldest first. @param as_of position after them. @return the changes that were applied.
     */
    std::vector<store_item> apply(std::vector<store_item> const& changes, store_position as_of);
    /**
     * @return a page of changes after @p from: only the newest state of each key, about page_bytes at most, with the
     * token of the next page; or nothing when some removals after @p from were dropped already. @param from position.
     */
    std::optional<store_batch> changes_after(store_position from) const;
    /** @return whether there are changes after @p from, or some were dropped already. @param from position. */
    bool has_changes_after(store_position from) const;
    /** @return a page of the items that changed after @p from, without removals. @param from position. */
    store_batch page_after(store_position from) const;
    /** Size of a page of a full read by a follower, in bytes; larger than page_bytes, as fewer round trips are needed
     *  while nothing else waits for it. */
    static constexpr std::size_t read_page_bytes = 192 * 1024;
    /** @return all items. */
    std::map<std::string, store_item> const& items() const { return m_items; }
    /** @return position of the copy. */
    store_position as_of() const { return m_as_of; }
    /** @return number of changes skipped since the start because a newer one of their key was known. */
    std::uint64_t superseded() const { return m_superseded; }

    /**
     * Size of a page, in bytes. A VM that returns after an outage is some thousand changes behind. If all of them came
     * in one response, a small VM on a slow link would time out, start again, and keep using an old configuration.
     * A page arrives within the time-out and shows that its sender works.
     */
    static constexpr std::size_t page_bytes = 48 * 1024;

private:
    /** Keys by the position of their newest change. */
    using change_index = std::set<std::pair<store_position, std::string>>;
    /** Applies one change. */
    void apply_change(store_item const& change);
    /** Drops the oldest removals beyond the number that is kept. */
    void drop_oldest_removals();
    /** @return a page that starts after @p from. @param with_removals whether it includes removals. @param max_bytes
     * its size. */
    store_batch page(store_position from, bool with_removals, std::size_t max_bytes) const;

    std::map<std::string, store_item> m_items;      ///< By key.
    std::map<std::string, store_position> m_newest; ///< Position of the newest change of each key.
    change_index m_by_change;                       ///< The same, by position.
    change_index m_removed;                         ///< The removals among these.
    store_position m_complete_from;                 ///< All removals after this position are still held.
    store_position m_as_of;                         ///< Position of the copy.
    std::uint64_t m_superseded = 0;                 ///< Number of changes skipped.
};

/**
 * Defers the removal of keys that are missing after the store was restored from an older copy. The processes that wrote
 * them are usually alive and write them again soon; until then, applying the removals would treat registered gateways,
 * backend servers and evacuations as gone.
 */
class deferred_removals {
public:
    /**
     * Takes the removals out of the changes from the first full read of an era. All deferred removals, including
     * earlier ones, become due at the same time.
     * @param changes changes. @param until when the removals are due. @return the other changes.
     */
    std::vector<store_item> defer(std::vector<store_item> changes, time_point until);
    /** Cancels a removal, because a newer change of its key was received. @param key key. */
    void cancel(std::string const& key) { m_removals.erase(key); }
    /** Defers all removals further. @param until when the removals are due. */
    void postpone(time_point until) { m_until = until; }
    /** Takes out the removals that are due. @return these removals. @param now current time. */
    std::vector<store_item> take_due(time_point now);

private:
    std::map<std::string, store_item> m_removals; ///< By key.
    time_point m_until;                           ///< When they are due.
};

// ---- Sources ----

/** A process that a gateway reads the store's state from. */
struct feed_source {
    std::string peer_key; ///< Store key of the peer gateway; empty: the store itself.
    endpoint address;     ///< Its address.
    /** @return whether this is the store itself. */
    bool is_store() const { return peer_key.empty(); }
    /** Sources are equal when they name the same process. */
    bool operator==(feed_source const&) const = default;
};

/** A source whose copy is older than this may have stopped receiving changes: the store responds to a watch at least
 *  each 1.5 s, and a slow store takes some hundred milliseconds more. */
inline constexpr milliseconds max_fresh_age{2500};

/** Number of search rounds without a pause between them; each asks twice as many sources as the one before. */
inline constexpr int quick_search_rounds = 3;

/** Settings of a feed_selector. */
struct feed_selector_settings {
    endpoint store;              ///< The platform's store.
    std::string self;            ///< Store key of this VM.
    domain_name domain;          ///< Failure domain of this VM.
    region_name region;          ///< Region of this VM.
    std::vector<endpoint> seeds; ///< Peer gateways to ask while no member is known.
};

/**
 * Chooses the source that a gateway reads the store's state from. The number of calls to the store grows neither with
 * the number of VMs nor with the number of failure domains: the largest gateway of each failure domain (the first by
 * key among equal ones) is its leader, and the other gateways of the domain follow it. The first two leaders by key
 * read the store. The other leaders follow one of these two, in their own region if possible. When a source fails, a
 * search asks several sources in different failure domains at once, and more in each round. A failed source is not
 * used again until a freshness check or a current response shows that it is current.
 *
 * How long a search takes: let d be the share of the VMs that are unreachable. A share d of the remaining VMs followed
 * an unreachable one and is searching too, so that a share e = 1 - (1 - d)^2 of all VMs cannot serve as a source. A
 * round that asks n random sources finds none with probability e^n. The rounds ask 4, 8 and 16 sources and, after a
 * pause of 0.1 s, 8. At d = 0.35, three rounds find none with probability e^28 = 4e-7; at d = 0.6 (e = 0.84), four
 * rounds find none with probability e^36 = 2e-3. A source that does not respond is detected after 0.8 s + 0.25 s, and
 * one that responds from an old copy after 2 s. A round takes 0.3 s. Another source is thus found within 2.35 s, or 3.3
 * s if the old one responded from an old copy.
 */
class feed_selector {
public:
    /** @param settings store, seeds, and locality of this VM. @param seed random seed. */
    feed_selector(feed_selector_settings settings, std::uint64_t seed);
    /** @return the store as a source. */
    feed_source store() const { return {"", m_settings.store}; }
    /** @return the source to watch, or nothing when a search must find one. @param members live gateways. */
    std::optional<feed_source> choose(member_map const& members) const;
    /**
     * @return the source of a full read, or nothing when a search must find one. The bytes of full reads from the store
     * grow with the product of VMs and backend servers: when all VMs of a large fleet start at once, its link is full
     * for many seconds. So of a failure domain with m > max_store_reads_per_domain gateways only the largest reads the
     * store; the sqrt(m) next ones read from it, and the others from a random one of these, so that large VMs, which
     * serve the callers, are complete first and no VM sends more than about sqrt(m) full copies.
     * @param members live gateways.
     */
    std::optional<feed_source> choose_for_read(member_map const& members);
    /** @return the source of a later full read, when the changes since the local copy are not available: the store
     * unless it failed. @param members live gateways. */
    std::optional<feed_source> choose_to_reread(member_map const& members) const;
    /** @return the sources to ask in one round of a search. @param members live gateways. @param round 0 for the
     *  first. */
    std::vector<feed_source> search_targets(member_map const& members, int round);
    /** @return the preferred source of this VM if it failed and is due for a freshness check, otherwise nothing.
     *  @param members live gateways. @param now current time. */
    std::optional<feed_source> due_for_recheck(member_map const& members, time_point now) const;
    /** Records that a source failed. @param source source. @param now current time. */
    void on_failed(feed_source const& source, time_point now);
    /** Records that a search found a source. @param source source. */
    void on_found(feed_source const& source);
    /** Records that a source responded and is current. @param source source. */
    void on_responded(feed_source const& source) { m_failed.erase(source.peer_key); }

private:
    /** Failures of a source. */
    struct failure {
        int consecutive_failures = 0; ///< Failures in a row.
        time_point retry_at;          ///< Earliest time of the next freshness check.
    };
    /** @return whether @p source failed and has not been current since. */
    bool failed(feed_source const& source) const { return m_failed.contains(source.peer_key); }
    /** @return the source that this VM uses unless it failed. */
    feed_source preferred(member_map const& members) const;
    /** @return whether this VM is the leader of its failure domain, or the domain has no leader. */
    bool is_leader(member_map const& members) const;
    /** @return the other gateways in random order: nearby ones first, alternating between failure domains; those that
     *  failed or were asked already in this search last. */
    std::vector<feed_source> candidates(member_map const& members);
    /** @return whether a search round asks the store too. */
    bool includes_store(member_map const& members, int round);

    feed_selector_settings m_settings;       ///< Settings.
    std::mt19937_64 m_random;                ///< Order of candidates.
    std::map<std::string, failure> m_failed; ///< Failed sources; the store has an empty key.
    std::set<std::string> m_asked;           ///< Sources asked in this search.
    std::optional<feed_source> m_found;      ///< Result of the last search.
};

// ---- Feed ----

/** Status codes of responses from a source. */
namespace feed_status {
inline constexpr int ok = 200;          ///< The response has a batch.
inline constexpr int gone = 410;        ///< A full read is needed: the changes after the position were dropped.
inline constexpr int unavailable = 503; ///< No copy, no source, or the sender is on the path from here to the store.
} // namespace feed_status

/** Kinds of calls to a source. */
enum class feed_call_kind {
    members,   ///< The registered gateways of this failure domain, before a full read; only from the store.
    read,      ///< A page of a full read.
    watch,     ///< Changes, waiting until there are some.
    freshness, ///< A freshness check: how current the copy is.
};

/** One call of a feed. */
struct feed_call {
    feed_source source;      ///< Receiver.
    feed_call_kind kind;     ///< Kind.
    std::string page_token;  ///< For a read and members: token of the page; empty for the first.
    store_position after;    ///< For the other kinds: position of the local copy.
    milliseconds wait{0};    ///< For a watch: how long the source may wait for changes.
    milliseconds timeout{0}; ///< The call fails after this.
};

/** The result of a call. */
struct feed_response {
    int status = 0;          ///< See feed_status; 0: there is no response.
    char const* reason = ""; ///< Why there is no response.
    store_batch batch;       ///< Body of a response with status ok.
};

/** Outside calls of a feed; tests run them in virtual time. */
struct feed_io {
    using response_handler = std::function<void(feed_response)>;      ///< Receives the result of a call, later.
    std::function<void(feed_call, response_handler)> fetch;           ///< Reads or watches; cancels the previous call.
    std::function<void(feed_call, response_handler)> check_freshness; ///< Checks freshness; several may be in flight.
    std::function<time_point()> now;                                  ///< Current time.
    std::function<void(time_point, std::function<void()>)> run_at;    ///< Runs a task at a time.
};

/** Hooks of a state feed. */
struct feed_events {
    /** A full read is complete. Its era differs from the one before when the store was restored from an older copy. */
    std::function<void(std::vector<store_item> const& items, store_position as_of)> on_snapshot;
    std::function<void(std::vector<store_item> const& items, store_position as_of)> on_changes; ///< Changes.
    std::function<void(feed_source const& source, char const* reason)> on_source_failed;        ///< A source failed.
    /** The gateways of this failure domain were read, before the first full read. */
    std::function<void(std::vector<store_item> const& items)> on_members;
    /** A source with a current copy responded; called before the response is applied. @param source source.
     *  @param unconfirmed_for time since the local copy was last confirmed. */
    std::function<void(feed_source const& source, milliseconds unconfirmed_for)> on_current_response;
    /** A response was applied. @param source source. @param confirmed_at time at which the local copy is confirmed.
     *  @param path gateways between this VM and the store, the source first. */
    std::function<void(feed_source const& source, time_point confirmed_at, std::vector<std::string> const& path)>
        on_copy_confirmed;
    /** A search starts or stops. @param searching whether this VM has no source with a current copy. */
    std::function<void(bool searching)> on_search_changed;
    std::function<member_map const&()> members; ///< Live gateways.
};

/** Keeps the local copy of the store current: makes a full read, then watches all keys, with one call at a time. */
class state_feed {
public:
    /** @param selector choice of the source. @param io outside calls. @param events hooks. */
    state_feed(feed_selector selector, feed_io io, feed_events events);
    ~state_feed();
    /** Starts reading. */
    void start();
    /** @return whether a full read is complete. */
    bool synced() const;

    /** Opaque state, defined in the source file. */
    struct impl;

private:
    std::unique_ptr<impl> m_impl; ///< Opaque state.
};

// ---- Followers ----

/** A request of a follower. */
struct follower_request {
    feed_call_kind kind = feed_call_kind::watch; ///< Kind.
    std::string sender;                          ///< Store key of the follower.
    store_position after;                        ///< Position of the follower's copy, or start of the page.
    milliseconds wait{0};                        ///< For a watch: how long it waits.
};

/** The response to a follower. */
struct follower_response {
    int status = feed_status::ok; ///< See feed_status.
    store_batch batch;            ///< Contents of a response with status ok.
    std::string body;             ///< The encoded batch, made once for all followers that receive it.
};

/**
 * Responds to the gateways that follow this one. A follower may have followers too: each response states the age of the
 * copy, counted from the store's own response. A watch gets its response when there are changes or when the copy was
 * confirmed, so that every follower's copy is about as recent as that of the gateway that reads the store. Each
 * response lists the gateways on the path to the store, so that no two VMs follow each other.
 *
 * Responses to followers use a limited share of the link and are sent in parts. Without this limit, 33 followers that
 * had missed changes requested 48 KB each at once and filled a link of 20 Mbit/s for 0.7 s, during which no request of
 * callers left this VM. A follower that waits for its part gets all changes up to then in one response, or searches for
 * another source after a while.
 */
class state_publisher {
public:
    /** Outside calls; they must not call back. */
    struct hooks {
        std::function<std::string(store_batch const&)> encode; ///< Encodes the body of a response.
        /** Sends the same response to several requests. */
        std::function<void(std::vector<request_key> const&, follower_response const&)> respond;
        std::function<void(time_point, std::function<void()>)> run_at; ///< Runs a task at a time.
        std::function<time_point()> now;                               ///< Current time.
    };
    /** @param mirror local copy. @param outside outside calls. */
    state_publisher(state_mirror const& mirror, hooks outside) : m_mirror(mirror), m_hooks(std::move(outside)) {}
    /** Sets the rate of this VM's link. @param bytes_per_s rate; 0: unknown, and all responses are sent at once. */
    void set_uplink(double bytes_per_s);
    /** Handles a request; responds now or later. @param key its key. @param request request. */
    void handle_request(request_key key, follower_request const& request);
    /** Cancels a request whose sender has disconnected. @param key its key. @return whether it was waiting. */
    bool cancel(request_key key);
    /** Records that the local copy was confirmed. @param source source that confirmed it. @param confirmed_at time at
     *  which the copy equalled the store. @param path gateways between this VM and the store. */
    void on_confirmed(feed_source const& source, time_point confirmed_at, std::vector<std::string> path);
    /** Sets whether this VM is searching for a source. Meanwhile it rejects freshness checks, so that other gateways
     *  that are searching do not choose it. @param searching whether it is searching. */
    void set_searching(bool searching) { m_searching = searching; }
    /** @return the source that confirmed the copy last; nothing before a full read. */
    std::optional<feed_source> const& source() const { return m_source; }
    /** @return time since the copy was last confirmed; -1 ms before the first full read. */
    milliseconds age() const;

private:
    /** A response that waits to be sent to one or more followers. */
    struct pending_response {
        follower_request request;      ///< Their request.
        std::vector<request_key> keys; ///< Keys of their requests.
        follower_response response;    ///< The response.
        time_point created_at;         ///< When the response was made; the epoch before that.
    };
    /** Removes a waiting watch. @param key its key. @return whether it was waiting. */
    bool remove_watch(request_key key);
    /** Sends pending responses as far as the followers' share of the link allows, and the rest later. */
    void send_pending();
    /** Makes a pending response, or makes it again if the age that it states is out of date. */
    void update_response(pending_response& pending, time_point now);
    /** Sends a pending response to some of its followers, as many as one part holds. */
    void send_part(pending_response& pending, time_point now);
    /** @return a response with @p batch, the age of the copy and the path to the store. */
    follower_response with_age(store_batch batch) const;
    /** @return a response with the changes after @p from, or with the status that requires a full read. */
    follower_response changes_after(store_position from) const;
    /** @return a response without changes. */
    follower_response unchanged_response() const;

    /** @return a page of a full read. A page is encoded once for all followers that read it within a second, because
     *  some hundred VMs that start at once read the same pages. */
    follower_response const& read_page(store_position from, time_point now);

    /** A page of a full read, encoded. */
    struct encoded_page {
        follower_response response; ///< The response.
        time_point created_at;      ///< When it was made.
    };
    std::map<store_position, encoded_page> m_read_pages; ///< By the position after which they start.
    state_mirror const& m_mirror;                        ///< Local copy.
    hooks m_hooks;                                       ///< Outside calls.
    std::optional<feed_source> m_source;                 ///< Source that confirmed the copy last.
    time_point m_confirmed_at;                           ///< When the copy was last known to equal the store.
    std::vector<std::string> m_path;                     ///< Gateways between this VM and the store.
    bool m_searching = false;                            ///< This VM is searching for a source.
    uplink_backlog m_follower_uplink;       ///< The followers' share of the link, modelled as a link of its own.
    std::deque<pending_response> m_pending; ///< Responses that wait for the link, in order of arrival.
    bool m_send_scheduled = false;          ///< A call of send_pending() is scheduled.
    /** Waiting watches, by the position of the follower's copy. */
    std::map<store_position, std::vector<request_key>> m_watches;
};

// ---- Calls between gateways ----

/** @return the codec of calls to a peer gateway, which mirror those to the store. @param self store key of the gateway
 *  that calls. */
store_codec make_peer_codec(std::string self);
/** Paths of the calls between gateways, and the header that names the sender. */
namespace peer_paths {
inline constexpr char const* state = "/v1/state";            ///< Full read, by pages.
inline constexpr char const* changes = "/v1/changes";        ///< Changes after a position; waits until there are some.
inline constexpr char const* freshness = "/v1/freshness";    ///< Position and age of the copy.
inline constexpr char const* quota = "/v1/quota";            ///< Reports of the use of customers' quotas.
inline constexpr char const* failures = "/v1/failures";      ///< Outcomes of attempts at backend servers.
inline constexpr char const* demand = "/v1/demand";          ///< Demand of callers, for admission control.
inline constexpr char const* sender_header = "from-gateway"; ///< Header: store key of the sender.
} // namespace peer_paths
/** @return @p batch as the body that make_peer_codec() reads. @param batch batch. */
std::string encode_peer_batch(store_batch const& batch);

} // namespace cornelspring
