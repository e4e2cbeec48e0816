/**
 * @file feed.hpp How a gateway knows the state of the platform's store: a copy of it, learned from the store or from
 * another gateway, always with its age; and the choice of where to learn it from.
 */
#pragma once

#include <cornelspring/routing.hpp>

namespace cornelspring {

// ---- Store ----

/** Era of the store's contents: rises each time that the store comes back from an older copy; 0: it does not say. */
using store_era = strong_id<struct store_era_tag, std::int64_t>;

/**
 * A point in the history of the store's contents. Revisions order the changes of one era only: a store that comes back
 * from an older copy gives them out again, for other changes, in a later era.
 */
struct store_position {
    store_era era;             ///< Era.
    std::int64_t revision = 0; ///< Revision in this era.
    /** Positions compare by era, then by revision. */
    auto operator<=>(store_position const&) const = default;
    /** @return the position as text, for parse_position(). */
    std::string to_string() const;
};
/** @return the position in @p text, or nothing when it is malformed. @param text what to_string() made. */
std::optional<store_position> parse_position(std::string_view text);

/** An item of the platform's store, or its removal. */
struct store_item {
    std::string key;         ///< Key.
    std::string value;       ///< Value; empty for a removal.
    store_position position; ///< Where the change stands in the store's history.
    bool removed = false;    ///< The key was removed.
};

/** A page of items or a batch of changes. */
struct store_batch {
    std::vector<store_item> items; ///< Items or changes, oldest first.
    store_position as_of;          ///< Up to where the answer is complete; its items are of the same era.
    std::string next_page_token;   ///< Where the next page begins; empty: this is the last one.
    milliseconds age{0};           ///< How long ago the sender knew that its copy was current; 0 for the store.
    std::vector<std::string> path; ///< Gateways between the sender and the store, the sender's source first.
};

/** A write of one key. */
struct store_write {
    std::string key;        ///< Key.
    std::string value;      ///< Value.
    std::int64_t lease = 0; ///< Lease that keeps it.
};

/** Translates the store's calls; one for each store that is spoken. */
struct store_codec {
    std::string config_key;        ///< Key of the operators' configuration.
    std::string backend_prefix;    ///< Prefix of backend entries; the rest of the key is the id.
    std::string evacuation_prefix; ///< Prefix of evacuations; the rest of the key is the failure domain.
    std::function<http_request(std::string const& prefix, std::string const& after)> read; ///< Read a prefix.
    std::function<http_request(std::string const& prefix, store_position after, milliseconds wait)>
        watch;                                                          ///< Wait for changes.
    std::function<http_request(store_position after)> freshness;        ///< Short proof of how current the answer is.
    std::function<http_request(std::vector<store_write> const&)> write; ///< Write keys.
    std::function<http_request(milliseconds ttl)> grant_lease;          ///< New lease.
    std::function<http_request(std::int64_t lease)> renew_lease;        ///< Renew a lease.
    std::function<http_request(std::int64_t lease)> revoke_lease;       ///< End a lease.
    std::function<store_batch(http_response const&)> parse_batch;       ///< Reads the answer of read, watch, freshness.
    std::function<std::int64_t(http_response const&)> parse_lease;      ///< Reads the answer of grant.
    std::function<store_era(http_response const&)> parse_era;           ///< Reads the era from any answer of the store.
    std::function<std::shared_ptr<serving_config const>(std::string const& value)>
        parse_config; ///< Reads a configuration.
    std::function<backend_registration(std::string const& id, std::string const& value)>
        parse_backend; ///< Reads an entry.
};

// ---- Members ----

/** A gateway VM as it registers itself. */
struct gateway_member {
    endpoint address;      ///< Where callers connect.
    endpoint peer_address; ///< Where other gateways ask for state.
    domain_name domain;    ///< Failure domain.
    region_name region;    ///< Region.
    double capacity = 1;   ///< Processor cores it may use.
    bool stopping = false; ///< It still serves, but will be gone in seconds.
};
/** Gateways by store key. */
using member_map = std::map<std::string, gateway_member>;
/** @return whether @p left is chosen before @p right for what costs a VM work: the larger one, of equal ones the first
 *  by key. */
bool larger_first(member_map::value_type const& left, member_map::value_type const& right);

// ---- Copy ----

/** A copy of the store's items, with the removals that those who follow this VM may not know yet. */
class state_mirror {
public:
    /**
     * Replaces everything. When the items are of a later era, followers that know an earlier one must read everything
     * too: changes do not lead from one era to another.
     * @param items all items. @param as_of position of the copy then. @return what differs from what was known, the
     * removal of keys that are gone included.
     */
    std::vector<store_item> replace(std::vector<store_item> const& items, store_position as_of);
    /**
     * Takes in changes; those older than what is known of their key are left out.
     * @param changes changes, oldest first. @param as_of position after them. @return the changes taken in.
     */
    std::vector<store_item> apply(std::vector<store_item> const& changes, store_position as_of);
    /**
     * @return what changed after @p from, only the newest state of each key, about page_bytes of it at most with the
     * place where the next page begins; or nothing when some removals are no longer known. @param from position.
     */
    std::optional<store_batch> changes_after(store_position from) const;
    /** @return whether changes_after() has something to tell. @param from position. */
    bool has_changes_after(store_position from) const;
    /** @return a page of all items that changed after @p from, without removals. @param from position. */
    store_batch page_after(store_position from) const;
    /** @return all items. */
    std::map<std::string, store_item> const& items() const { return m_items; }
    /** @return position of the copy. */
    store_position as_of() const { return m_as_of; }
    /** @return changes left out since the start because a newer one of their key was known. */
    std::uint64_t superseded() const { return m_superseded; }

    /**
     * Size of a page, in bytes. A VM that returns after an outage is some thousand changes behind. With all of them in
     * one answer a small VM on a small link gives up waiting, begins anew, and goes on with an old configuration; a
     * page arrives within the patience of its reader and shows that its sender lives.
     */
    static constexpr std::size_t page_bytes = 48 * 1024;

private:
    /** Keys by the position of their newest change. */
    using change_index = std::set<std::pair<store_position, std::string>>;
    /** Takes in one change. */
    void take(store_item const& change);
    /** Forgets the oldest removals beyond those that are kept. */
    void forget_removals();
    /** @return a page from @p from on. @param with_removals whether removals belong to it. */
    store_batch page(store_position from, bool with_removals) const;

    std::map<std::string, store_item> m_items;      ///< By key.
    std::map<std::string, store_position> m_newest; ///< Position of the newest change of each key.
    change_index m_by_change;                       ///< The same, by position.
    change_index m_removed;                         ///< Of these, the removals.
    store_position m_complete_from;                 ///< All removals after it are known.
    store_position m_as_of;                         ///< Position.
    std::uint64_t m_superseded = 0;                 ///< Changes left out.
};

/**
 * Holds back the removal of what was missing when the store came back from an older copy. Its writers are alive and
 * write it again within a time; acting on its absence meanwhile would take registered gateways, backend servers and
 * evacuations for gone.
 */
class deferred_removals {
public:
    /**
     * Takes the removals out of what the first read of an era changed. All that is held back is so for the same time.
     * @param changes what was changed. @param until when the removals are due. @return the other changes.
     */
    std::vector<store_item> defer(std::vector<store_item> changes, time_point until);
    /** A change of the key has arrived: it decides. @param key which. */
    void cancel(std::string const& key) { m_removals.erase(key); }
    /** Holds everything back for longer. @param until when the removals are due. */
    void postpone(time_point until) { m_until = until; }
    /** @return the removals that are due, and forgets them. @param now present time. */
    std::vector<store_item> take_due(time_point now);

private:
    std::map<std::string, store_item> m_removals; ///< By key.
    time_point m_until;                           ///< When they are due.
};

// ---- Sources ----

/** Where a gateway learns the store's state from. */
struct feed_source {
    std::string peer_key; ///< Store key of the gateway followed; empty: the store itself.
    endpoint address;     ///< Its address.
    /** @return whether the store itself is read. */
    bool is_store() const { return peer_key.empty(); }
    /** Sources are equal when they name the same process. */
    bool operator==(feed_source const&) const = default;
};

/** A copy older than this is no proof that its holder still hears of changes: a watch of the store is answered at least
 *  each 1.5 s, and a slow store takes some hundred milliseconds more. */
inline constexpr milliseconds max_fresh_age{2500};

/** Rounds of a search without a pause between them, each of which asks twice as many as the one before. */
inline constexpr int quick_search_rounds = 3;

/** Where a gateway is, for the choice of its source. */
struct feed_selector_settings {
    endpoint store;              ///< The platform's store.
    std::string self;            ///< Store key of this VM.
    domain_name domain;          ///< Failure domain of this VM.
    region_name region;          ///< Its region.
    std::vector<endpoint> seeds; ///< Gateways to ask while none is known.
};

/**
 * Chooses where to learn the store's state from, so that the calls to the store grow neither with the number of VMs nor
 * with that of failure domains: the first gateway by key is the head of its failure domain, and the others follow it;
 * two of the heads read the store, and the other heads follow one of these, in their region if they can. When a source
 * fails, a search asks several others at once, of different failure domains, more in each round. Whoever failed is
 * remembered until it proves to be current again.
 *
 * With a share d of the VMs dark, of the others the share d followed one of these and searches too, so that e =
 * 1 - (1 - d)^2 of them do not help, and a round that asks n finds nobody with probability e^n. The rounds ask 4, 8, 16
 * and, after a pause of 0.1 s, 8: at d = 0.35 three rounds miss with e^28 = 4e-7, at d = 0.6 (e = 0.84) four with e^36
 * = 2e-3. A source that falls silent is noticed when its answer is late (0.8 s + 0.25 s), one that answers from an old
 * copy after 2 s, and a round takes 0.3 s: another one is found within 2.35 s, or 3.3 s.
 */
class feed_selector {
public:
    /** @param place where this VM is. @param seed random seed. */
    feed_selector(feed_selector_settings place, std::uint64_t seed);
    /** @return the source to watch; nothing when a search must find one. @param members live gateways. */
    std::optional<feed_source> choose(member_map const& members) const;
    /** @return the source of a full read: the store when it can be reached, since many full reads at once overload
     *  the link of a small VM. @param members live gateways. */
    std::optional<feed_source> choose_for_read(member_map const& members) const;
    /** @return the sources to ask in one round of a search. @param members live gateways. @param round 0 for the
     *  first. */
    std::vector<feed_source> search_targets(member_map const& members, int round);
    /** @return the source that this VM should use, when it failed and its pause is over: ask it for proof.
     *  @param members live gateways. @param now present time. */
    std::optional<feed_source> due_for_recheck(member_map const& members, time_point now) const;
    /** Notes that a source failed. @param source source. @param now present time. */
    void on_failed(feed_source const& source, time_point now);
    /** Notes that a search found a source. @param source source. */
    void on_found(feed_source const& source);
    /** Notes that a source answers. @param source source. */
    void on_responded(feed_source const& source) { m_failed.erase(source.peer_key); }

private:
    /** A source that failed. */
    struct failure {
        int strikes = 0;     ///< Failures in a row.
        time_point retry_at; ///< When it may be asked for proof.
    };
    /** @return whether @p source failed and has not proved to be current since. */
    bool failed(feed_source const& source) const { return m_failed.contains(source.peer_key); }
    /** @return the source that this VM should use. */
    feed_source preferred(member_map const& members) const;
    /** @return whether this VM is the head of its failure domain, or nobody is. */
    bool is_head(member_map const& members) const;
    /** @return other gateways in random order, near ones first and failure domains by turns; those that failed or were
     *  asked already last. */
    std::vector<feed_source> candidates(member_map const& members);
    /** @return whether a round of a search asks the store too. */
    bool asks_store(member_map const& members, int round);

    feed_selector_settings m_place;          ///< Where this VM is.
    std::mt19937_64 m_random;                ///< Order of candidates.
    std::map<std::string, failure> m_failed; ///< Failed sources; the store has an empty key.
    std::set<std::string> m_asked;           ///< Sources asked in this search.
    std::optional<feed_source> m_found;      ///< Found by the last search.
};

// ---- Feed ----

/** Statuses that a source answers with. */
namespace feed_status {
inline constexpr int ok = 200;          ///< The answer is there.
inline constexpr int gone = 410;        ///< Everything must be read anew: the history from there on is forgotten.
inline constexpr int unavailable = 503; ///< No copy, no source, or the asking gateway is itself the source.
} // namespace feed_status

/** What a feed asks of a source. */
enum class feed_call_kind {
    read,      ///< A page of everything.
    watch,     ///< Changes, waiting for some.
    freshness, ///< Short proof of how current its copy is.
};

/** One call of a feed. */
struct feed_call {
    feed_source source;      ///< Where to.
    feed_call_kind kind;     ///< What.
    std::string page_token;  ///< For a read: where the page begins.
    store_position after;    ///< For the others: what is known.
    milliseconds wait{0};    ///< For a watch: how long the source may wait for changes.
    milliseconds timeout{0}; ///< The call fails after this.
};

/** What came back. */
struct feed_response {
    int status = 0;          ///< See feed_status; 0: no answer.
    char const* reason = ""; ///< Why there is no answer.
    store_batch batch;       ///< The answer when there is one.
};

/** Calls of a feed to the outside; a test plays them in virtual time. */
struct feed_io {
    using response_handler = std::function<void(feed_response)>;      ///< Receives the reply of a call, later.
    std::function<void(feed_call, response_handler)> fetch;           ///< The one call for state; ends the one before.
    std::function<void(feed_call, response_handler)> check_freshness; ///< Asks for proof; several at once.
    std::function<time_point()> now;                                  ///< Present time.
    std::function<void(time_point, std::function<void()>)> run_at;    ///< Runs a task at a time.
};

/** What a state feed reports. */
struct feed_events {
    /** Everything there is; of a later era than before when the store came back from an older copy. */
    std::function<void(std::vector<store_item> const& items, store_position as_of)> on_snapshot;
    std::function<void(std::vector<store_item> const& items, store_position as_of)> on_changes; ///< Changes.
    std::function<void(feed_source const& source, char const* reason)> on_source_failed;        ///< A source failed.
    /** A source with a current copy answered, before what it says is taken in. @param unheard how long nothing had
     *  confirmed the copy. */
    std::function<void(feed_source const& source, milliseconds unheard)> on_current_response;
    /** What a source answered was taken in. @param confirmed_at when the copy was current for certain. @param path
     * gateways between this VM and the store, the source first. */
    std::function<void(feed_source const& source, time_point confirmed_at, std::vector<std::string> const& path)>
        on_copy_confirmed;
    std::function<void(bool searching)>
        on_search_changed;                      ///< A search begins or ends: this VM has no source to vouch for.
    std::function<member_map const&()> members; ///< Live gateways.
};

/** Keeps a copy of the store current: a full read, then one waiting watch over all keys, from whatever source. */
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
    std::unique_ptr<impl> m_impl; ///< Calls under way.
};

// ---- Followers ----

/** What another gateway asks of this one. */
struct follower_request {
    feed_call_kind kind = feed_call_kind::watch; ///< What.
    std::string sender;                          ///< Store key of the gateway that asks.
    store_position after;                        ///< What it knows.
    milliseconds wait{0};                        ///< For a watch: how long it waits.
};

/** What it is answered. */
struct follower_response {
    int status = feed_status::ok; ///< Status.
    store_batch batch;            ///< The answer when there is one.
    std::string body;             ///< The same as bytes, made once for all followers that are told it.
};

/**
 * Answers the gateways that follow this one. A follower may follow a follower: each answer says how old the copy is,
 * counted from the store's own answer. A watch is answered when there are changes and when the copy was confirmed, so
 * that every follower's copy is about as young as that of the gateway that reads the store. Each answer names the
 * gateways on the way to the store, so that no VM follows one that follows it.
 *
 * What followers are told takes a share of the link at most, in pieces: 33 followers that missed changes asked for
 * 48 KB each at once, and filled a link of 20 Mbit/s for 0.7 s, in which no request of callers left this VM. Those that
 * wait get one answer with all that has changed meanwhile, or find another source after a while.
 */
class state_publisher {
public:
    /** Calls to the outside; they must not call back. */
    struct hooks {
        std::function<std::string(store_batch const&)> encode; ///< Makes the bytes of an answer.
        /** Answers questions that have the same answer. */
        std::function<void(std::vector<request_key> const&, follower_response const&)> respond;
        std::function<void(time_point, std::function<void()>)> run_at; ///< Runs a task at a time.
        std::function<time_point()> now;                               ///< Present time.
    };
    /** @param mirror the copy. @param outside calls. */
    state_publisher(state_mirror const& mirror, hooks outside) : m_mirror(mirror), m_hooks(std::move(outside)) {}
    /** Says what this VM's link carries. @param bytes_per_s rate; 0: not known, and all is told at once. */
    void set_uplink(double bytes_per_s);
    /** Takes in a question; it is answered now or later. @param key its key. @param asked question. */
    void handle_request(request_key key, follower_request const& asked);
    /** The one who asked has left. @param key question. @return whether it was waiting. */
    bool cancel(request_key key);
    /** The copy was confirmed. @param source by whom. @param confirmed_at when it was current for certain.
     *  @param path gateways between this VM and the store. */
    void on_confirmed(feed_source const& source, time_point confirmed_at, std::vector<std::string> path);
    /** While this VM searches a source it gives no proof of freshness: others that search must not end up here.
     *  @param searching whether it searches. */
    void set_searching(bool searching) { m_searching = searching; }
    /** @return by whom the copy was confirmed last; nothing before a full read. */
    std::optional<feed_source> const& source() const { return m_source; }
    /** @return how long ago the copy was current for certain; -1 ms before the first. */
    milliseconds age() const;

private:
    /** Followers that are to be told the same. */
    struct turn {
        follower_request asked;        ///< What they asked.
        std::vector<request_key> keys; ///< Their questions.
        follower_response answer;      ///< What they are told.
        time_point made_at;            ///< When the answer was made; the epoch before that.
    };
    /** Forgets a follower that waits for changes. @param key question. @return whether it was waiting. */
    bool forget_watch(request_key key);
    /** Answers the followers whose turn it is, as far as the link's share allows; the others later. */
    void serve_turns();
    /** Makes the answer of a turn, anew when it says too much of its age. */
    void make_answer(turn& of, time_point now) const;
    /** Answers some of the followers of a turn, as many as one piece holds. */
    void tell_piece(turn& of, time_point now);
    /** @return @p batch with the age of the copy. */
    follower_response dated(store_batch batch) const;
    /** @return what changed after @p from, or that everything must be read. */
    follower_response changes_after(store_position from) const;
    /** @return that nothing has changed. */
    follower_response unchanged() const;

    state_mirror const& m_mirror;        ///< Copy.
    hooks m_hooks;                       ///< Outside calls.
    std::optional<feed_source> m_source; ///< Confirmed the copy last.
    time_point m_confirmed_at;           ///< When the copy was current for certain.
    std::vector<std::string> m_path;     ///< Gateways between this VM and the store.
    bool m_searching = false;            ///< This VM searches a source.
    uplink_backlog m_share;              ///< The share of the link, as a link of its own.
    std::deque<turn> m_turns;            ///< Followers to be told something, first come first served.
    bool m_turn_planned = false;         ///< serve_turns() will run.
    /** Followers that wait, by the position up to which they know. */
    std::map<store_position, std::vector<request_key>> m_watches;
};

// ---- Calls between gateways ----

/** @return the calls of one gateway to another, which mirror those to the store. @param self store key of the caller.
 */
store_codec make_peer_codec(std::string self);
/** Paths by which gateways ask each other, and the header that names the one that asks. */
namespace peer_paths {
inline constexpr char const* state = "/v1/state";            ///< Everything, by pages.
inline constexpr char const* changes = "/v1/changes";        ///< Changes after a position; waits for some.
inline constexpr char const* freshness = "/v1/freshness";    ///< Position and age of the copy.
inline constexpr char const* sender_header = "from-gateway"; ///< Header: store key of the gateway that asks.
} // namespace peer_paths
/** @return a batch as the body that make_peer_codec() reads. @param batch batch. */
std::string encode_peer_batch(store_batch const& batch);

} // namespace cornelspring
