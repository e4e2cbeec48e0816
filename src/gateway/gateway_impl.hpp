/** @file gateway_impl.hpp State of the gateway process, shared by its source files (internal). */
#pragma once

#include "gateway_log.hpp"
#include "gateway_metrics.hpp"

namespace cornelspring {

/** Store prefix of the gateways' registrations. */
inline constexpr char const* member_prefix = "gateways/";
/** Entries that lapsed during a store outage have this long to come back after its return. */
inline constexpr milliseconds lapse_grace{2200};
/** Gateways assumed to share the budgets before the others are known. */
inline constexpr std::size_t least_vms = 3;

/** A follower that waits for changes. */
struct pending_poll {
    request_key key;        ///< Its request.
    std::int64_t after = 0; ///< Revision up to which it knows.
};

/** State of the gateway. */
struct gateway::impl {
    gateway_settings settings;                      ///< Settings.
    store_codec codec;                              ///< Store translation.
    event_loop loop;                                ///< The I/O thread.
    config_holder configs;                          ///< Configuration in force.
    backend_registry registry;                      ///< Backend servers.
    member_map members;                             ///< Gateways.
    std::set<std::string> active;                   ///< Gateways that callers are sent to.
    state_mirror mirror;                            ///< Copy of the store.
    feed_selector sources;                          ///< Chooses where to read it from.
    bool store_up = false;                          ///< The last call to the store succeeded.
    time_point store_lost_at;                       ///< When its calls began to fail.
    std::optional<feed_source> fed_by;              ///< Source of the last successful read or watch.
    time_point confirmed_at;                        ///< When a source last confirmed that the copy is current.
    std::vector<pending_poll> polls;                ///< Followers that wait for changes.
    gateway_metrics metrics;                        ///< Counters.
    gateway_log log;                                ///< Decision log.
    std::unique_ptr<dispatcher> requests;           ///< Decisions on requests.
    std::unique_ptr<backend_pool> pool;             ///< Connections to backend servers.
    std::unique_ptr<caller_server> callers;         ///< Connections of callers.
    store_codec peer_codec = make_peer_codec();     ///< Calls to other gateways.
    std::unique_ptr<state_feed> feed;               ///< Keeps the copy of the store current.
    std::unique_ptr<registration> registered;       ///< This VM's key in the store.
    std::mt19937_64 random{std::random_device{}()}; ///< Order of address answers.
    timer_id dispatch_timer;                        ///< Wakes the dispatcher.
    time_point dispatch_due = time_point::max();    ///< When it does.
    bool stopping = false;                          ///< A stop signal came.
    time_point stop_began;                          ///< When.
    bool stopped_accepting = false;                 ///< Listeners are closed.

    impl(gateway_settings s, store_codec c)
        : settings(std::move(s)), codec(std::move(c)), registry(settings.place, lapse_grace),
          sources(settings.store, member_key(), settings.place.domain, settings.seeds), log(loop)
    {
        make_dispatcher();
        make_callers();
        make_feed();
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

    /** Takes in a request. */
    void on_request(caller_request request);
    /** Answers one of the system's own questions. */
    void on_local(request_key key, http_request const& request);
    /** @return the answer to an address question. */
    http_response addresses(std::string const& target);

    /** Answers another gateway that asks for the copy of the store or its changes. */
    void on_state_poll(request_key key, http_request const& request);
    /** Lets a follower wait until there are changes. */
    void hold_poll(request_key key, std::int64_t after, milliseconds wait);
    /** Answers the followers that wait. */
    void answer_polls();
    /** @return whether the copy comes from the store itself, and the store answers. */
    bool reads_store() const { return store_up && fed_by && fed_by->is_store(); }

    /** Notes whether a call to the store succeeded. */
    void on_store_call(bool ok);
    /** Takes in everything there is in the store. */
    void on_snapshot(std::vector<store_item> const& items, std::int64_t as_of);
    /** Takes in changes of the store. */
    void on_changes(std::vector<store_item> const& items, std::int64_t as_of);
    /** Takes over what follows from the set of gateways. */
    void refresh_members();
    /** Takes in one item, or its removal. */
    void on_item(store_item const& item);
    /** Takes in a configuration. */
    void on_config(store_item const& item);
    /** Takes in the entry of a backend server. */
    void on_backend(store_item const& item);
    /** Takes in the registration of a gateway. */
    void on_member(store_item const& item);
    /** Drops entries that did not return after a store outage. */
    void expire_lapsed();

    /** Handles a signal. */
    void on_signal(int number);
    /** Goes on with a planned stop. */
    void stop_step();
};

} // namespace cornelspring
