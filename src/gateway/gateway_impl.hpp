/** @file gateway_impl.hpp State of the gateway process, shared by its source files (internal). */
#pragma once

#include "feed_calls.hpp"
#include "gateway_log.hpp"
#include "gateway_metrics.hpp"

namespace cornelspring {

/** Store prefix of the gateways' registrations. */
inline constexpr char const* member_prefix = "gateways/";
/** Store prefix of what gateways tell each other of requests that crash backend servers. */
inline constexpr char const* crash_records_prefix = "crash-records/";
/** Such a record stays so long in the store after its gateway has gone: as long as the longest quarantine. */
inline constexpr milliseconds crash_records_ttl{600000};
/** What lapsed during a store outage, or was lost with it, has this long to come back after its return. */
inline constexpr milliseconds lapse_grace{2200};
/** Gateways assumed to share the budgets before the others are known. */
inline constexpr std::size_t least_vms = 3;

/** State of the gateway. */
struct gateway::impl {
    gateway_settings settings;            ///< Settings.
    store_codec codec;                    ///< Store translation.
    event_loop loop;                      ///< The I/O thread.
    config_holder configs;                ///< Configuration in force.
    backend_registry registry;            ///< Backend servers.
    placement_rules placement;            ///< Which of them a request may reach.
    request_quarantine quarantine;        ///< Requests that crash backend servers.
    member_map members;                   ///< Gateways.
    std::set<std::string> active;         ///< Gateways that callers are sent to.
    state_mirror mirror;                  ///< Copy of the store.
    int store_answers = 0;                ///< Answers of the store in a row since the last full read.
    std::vector<learned_change> changes;  ///< What the answer that is being taken in changed.
    bool store_up = false;                ///< The last call to the store succeeded.
    deferred_removals missing;            ///< What the store lost when it came back from an older copy.
    std::uint64_t superseded = 0;         ///< Changes left out so far.
    time_point store_lost_at;             ///< When its calls began to fail.
    state_publisher followers;            ///< Answers the gateways that follow this one.
    gateway_metrics metrics;              ///< Counters.
    gateway_log log;                      ///< Decision log.
    std::unique_ptr<dispatcher> requests; ///< Decisions on requests.
    std::unique_ptr<backend_pool> pool;   ///< Connections to backend servers.
    std::vector<std::shared_ptr<backend_server>> connections_ahead; ///< To be opened, the most useful first.
    std::unique_ptr<caller_server> callers;                         ///< Connections of callers.
    store_codec peer_codec;                                         ///< Calls to other gateways.
    feed_calls source_calls;                                        ///< Calls of the feed.
    std::unique_ptr<state_feed> feed;                               ///< Keeps the copy of the store current.
    std::unique_ptr<registration> registered;                       ///< This VM's key in the store.
    std::unique_ptr<registration> crash_records;    ///< Its key for requests that crash backend servers.
    bool crash_records_due = false;                 ///< It is about to be written.
    bool tells_crash_records = false;               ///< This process has seen something to tell.
    std::mt19937_64 random{std::random_device{}()}; ///< Order of address answers.
    timer_id dispatch_timer;                        ///< Wakes the dispatcher.
    time_point dispatch_due = time_point::max();    ///< When it does.
    bool stopping = false;                          ///< A stop signal came.
    time_point stop_began;                          ///< When.
    bool stopped_accepting = false;                 ///< Listeners are closed.

    impl(gateway_settings s, store_codec c)
        : settings(std::move(s)), codec(std::move(c)), registry(settings.location, lapse_grace),
          placement(settings.warmup), followers(mirror, follower_hooks()), log(loop),
          peer_codec(make_peer_codec(member_key())), source_calls(loop, codec, peer_codec)
    {
        loop.set_uplink(settings.uplink_bytes_per_s);
        followers.set_uplink(settings.uplink_bytes_per_s);
        make_dispatcher();
        make_callers();
        make_feed();
        plan_connections_ahead();
    }

    /** Makes the dispatcher and the backend pool. */
    void make_dispatcher();
    /** Listens on all addresses. */
    void make_callers();
    /** Makes the feed of the store and the registration. */
    void make_feed();
    /** Arms the timer for the next due time of the dispatcher. */
    void wake_dispatcher();
    /** @return whether callers may be sent here. */
    bool ready() const { return !stopping && feed->synced() && configs.current() != nullptr; }
    /** @return the store key of this VM's registration. */
    std::string member_key() const { return member_prefix + settings.name; }
    /** @return what this VM registers. */
    gateway_member self() const;

    /** Looks to which backend servers connections are missing. */
    void plan_connections_ahead();
    /** Opens some of these, and the others later. */
    void open_connections_ahead();

    /** Takes in a request. */
    void on_request(caller_request request);
    /** Answers one of the system's own questions. */
    void on_local(request_key key, http_request const& request);
    /** @return the answer to an address question. */
    http_response addresses(std::string const& target);

    /** @return how the gateways that follow this one are answered. */
    state_publisher::hooks follower_hooks();
    /** Takes in what another gateway asks of the copy of the store. */
    void on_follower(request_key key, http_request const& request);

    /** Notes whether a call to the store succeeded. */
    void on_store_call(bool ok);
    /** The store is back after an outage. */
    void on_store_recovered();
    /** @return what to take in of the first read of an era, @p differences to what was known before. */
    std::vector<store_item> on_restored(std::vector<store_item> differences, store_position known,
                                        store_position as_of);
    /** Takes in that what was missing after a return of the store to an older copy was not written again. */
    void release_missing();
    /** Takes in everything there is in the store. */
    void on_snapshot(std::vector<store_item> const& items, store_position as_of);
    /** Takes in changes of the store. */
    void on_changes(std::vector<store_item> const& items, store_position as_of);
    /** Takes over what follows from changes of the copy. */
    void take_in(std::vector<store_item> const& changes, store_position as_of);
    /** Takes over what follows from the set of gateways. */
    void refresh_members();
    /** Takes in one item, or its removal. */
    void on_item(store_item const& item);
    /** Takes in a configuration. */
    void on_config(store_item const& item);
    /** Takes in the entry of a backend server. */
    void on_backend(store_item const& item);
    /** Takes in the evacuation of a failure domain, or that it was taken back. */
    void on_evacuation(store_item const& item);
    /** @return the backend server of an entry. */
    backend_id backend_of(store_item const& item) const;
    /** Takes in that a backend server has no entry any more. */
    void remove_backend(backend_id const& id, store_position position);
    /** Takes in the registration of a gateway. */
    void on_member(store_item const& item);
    /** @return the store key of what this VM tells of requests that crash backend servers. */
    std::string crash_records_key() const { return crash_records_prefix + settings.name; }
    /** What is believed of a request has changed. */
    void on_quarantine(request_quarantine::change const& change);
    /** Takes in what a gateway tells of requests that crash backend servers. */
    void on_crash_records(store_item const& item);
    /** Notes a change, for the log. */
    void note(std::string name, change_kind kind, store_position position);
    /** Logs what was noted since the last time. */
    void log_changes(store_position as_of);
    /** Drops entries that did not return after a store outage. */
    void expire_lapsed();

    /** Handles a signal. */
    void on_signal(int number);
    /** Goes on with a planned stop. */
    void stop_step();
};

} // namespace cornelspring
