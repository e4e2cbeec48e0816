/** @file gateway_impl.hpp State of the gateway process, shared by its source files (internal). */
#pragma once

#include "demand_calls.hpp"
#include "failure_calls.hpp"
#include "feed_calls.hpp"
#include "gateway_log.hpp"
#include "gateway_metrics.hpp"
#include "peer_access.hpp"
#include "quota_calls.hpp"
#include "trial_claims.hpp"

namespace cornelspring {

/** Prefix of the store keys of the gateways' registrations. */
inline constexpr char const* member_prefix = "gateways/";
/** Prefix of the store keys under which gateways share records of requests that crash backend servers. */
inline constexpr char const* crash_records_prefix = "crash-records/";
/** Time to live of these records after their gateway has stopped: the longest that the store grants. */
inline constexpr milliseconds crash_records_ttl{600000};
/** After an outage or a restoration of the store, registrations that lapsed or were lost with it have this long to be
 *  written again before they count as removed. */
inline constexpr milliseconds lapse_grace{2200};
/** Fewest gateways among which budgets are divided, also while fewer members are known. */
inline constexpr std::size_t min_vms = 3;

/** State of the gateway. */
struct gateway::impl {
    gateway_settings settings;            ///< Settings.
    store_codec codec;                    ///< Translates calls to the store and its items.
    event_loop loop;                      ///< The I/O thread.
    config_holder configs;                ///< Current configuration.
    backend_registry registry;            ///< Backend servers.
    placement_rules placement;            ///< Placement rules.
    request_quarantine quarantine;        ///< Requests that crash backend servers.
    quota_usage quotas;                   ///< Use of customers' quotas by this VM.
    member_map members;                   ///< Gateways registered in the store.
    bool members_changed = false;         ///< The set of gateways, or what depends on it, must be computed again.
    bool announced_synced = false;        ///< This VM's registration says that it has a copy of the store.
    std::set<std::string> active;         ///< Store keys of the gateways whose addresses callers receive.
    state_mirror mirror;                  ///< Local copy of the store.
    int store_responses = 0;              ///< Consecutive responses of the store since the last full read.
    std::vector<state_change> changes;    ///< Changes that were applied and not yet logged.
    bool store_up = false;                ///< The last call to the store succeeded.
    deferred_removals missing;            ///< Items that the store lost when it was restored from an older copy.
    std::uint64_t superseded = 0;         ///< Changes ignored so far because newer ones of their keys were known.
    time_point store_lost_at;             ///< When calls to the store started to fail.
    state_publisher followers;            ///< Responds to the gateways that follow this one.
    peer_access access;                   ///< Decides which calls of peer gateways are accepted.
    gateway_metrics metrics;              ///< Metrics.
    gateway_log log;                      ///< Decision log.
    std::unique_ptr<dispatcher> requests; ///< Dispatcher of requests.
    std::unique_ptr<backend_pool> pool;   ///< Connections to backend servers.
    std::vector<std::shared_ptr<backend_server>>
        preconnect_queue;                              ///< Backend servers to pre-connect to, nearest first.
    std::unique_ptr<caller_server> callers;            ///< Server for callers.
    store_codec peer_codec;                            ///< Translates calls to peer gateways.
    feed_calls source_calls;                           ///< Makes the calls of the feed.
    std::unique_ptr<state_feed> feed;                  ///< Keeps the local copy current.
    failure_log failures;                              ///< Failures and slowness of backend servers, at all VMs.
    shared_load_state shared_load;                     ///< Whether and how replica choice uses the slowness.
    std::unique_ptr<failure_calls> failure_reports;    ///< Shares these with the other gateways.
    std::unique_ptr<quota_calls> quota_reports;        ///< Asks for tokens, and keeps accounts.
    std::unique_ptr<demand_calls> demand_reports;      ///< Fleet-wide admission control; null if it is switched off.
    std::unique_ptr<registration> member_registration; ///< This VM's registration.
    std::unique_ptr<registration> crash_registration;  ///< This VM's records of requests that crash servers.
    std::unique_ptr<trial_claims> claims;              ///< Claims of trials of requests that crash servers.
    bool crash_records_pending = false;                ///< A write of these records is scheduled.
    bool has_own_crash_records = false;                ///< This process has recorded crashes itself.
    std::mt19937_64 random{std::random_device{}()};    ///< Random order of addresses.
    timer_id dispatch_timer;                           ///< Wakes the dispatcher.
    time_point dispatch_due = time_point::max();       ///< When dispatch_timer expires.
    bool stopping = false;                             ///< A stop signal was received.
    time_point stop_started_at;                        ///< When it was received.
    bool stopped_accepting = false;                    ///< Listeners are closed.

    /** A path that the gateway serves itself. */
    struct internal_path {
        address_role role;                                           ///< Role of the addresses that serve it.
        char const* method;                                          ///< The only method.
        std::string path;                                            ///< Path, without a query.
        std::function<void(request_key, http_request const&)> serve; ///< Responds now or later; may throw.
    };
    std::vector<internal_path> internal_paths;                ///< All of these.
    std::map<request_key, caller_request> waiting_peer_calls; ///< Calls from unknown addresses, see peer_access.

    impl(gateway_settings s, store_codec c)
        : settings(std::move(s)), codec(std::move(c)), registry(settings.location, lapse_grace, std::random_device{}()),
          placement(settings.warmup), quotas(settings.quota), followers(mirror, follower_hooks()),
          access(settings.seeds), log(loop), peer_codec(make_peer_codec(member_key())),
          source_calls(loop, codec, peer_codec, domain_members_prefix()),
          failures([this](std::string const& server, int level) { on_failure_level(server, level); },
                   [this](std::string const& server, int step) { on_slowness(server, step); })
    {
        loop.set_uplink(settings.uplink_bytes_per_s);
        followers.set_uplink(settings.uplink_bytes_per_s);
        if (settings.peer_address) loop.set_own_host(settings.peer_address->host);
        make_dispatcher();
        make_quota_calls();
        make_failure_calls();
        if (settings.dispatch.fleet_admission) make_demand_calls();
        make_internal_paths();
        make_caller_server();
        make_feed();
        plan_preconnects();
    }

    /** Creates the dispatcher and the backend pool. */
    void make_dispatcher();
    /** Creates the calls about failing backend servers. */
    void make_failure_calls();
    /** Creates the calls about the demand of callers. */
    void make_demand_calls();
    /** Sets the failing share of attempts at a backend server, in steps, as observed by all VMs. */
    void on_failure_level(std::string const& server, int level);
    /** Sets the slowness of a backend server, in steps, as observed by all VMs. */
    void on_slowness(std::string const& server, int step);
    /** Updates shared_load after a change of the active gateways. */
    void update_shared_load();
    /** Creates the calls about quotas. */
    void make_quota_calls();
    /** Creates the server for callers and listens on all addresses. */
    void make_caller_server();
    /** Creates the feed of the store and the registrations. */
    void make_feed();
    /** Arms the timer for the dispatcher's next due time. */
    void wake_dispatcher();
    /** @return whether callers may be directed to this gateway. */
    bool ready() const { return !stopping && feed->synced() && configs.current() != nullptr; }
    /** @return the store key of this VM's registration. */
    std::string member_key() const { return domain_members_prefix() + settings.name; }
    /** @return the prefix of the store keys of the gateways of this failure domain. */
    std::string domain_members_prefix() const { return member_prefix + settings.location.domain.value() + "/"; }
    /** @return the value of this VM's registration. */
    gateway_member own_member() const;

    /** Finds backend servers without a connection and starts to connect to them; repeats periodically. */
    void plan_preconnects();
    /** Opens connections to the next batch of these, and schedules the batch after it. */
    void open_preconnects();

    /** Handles a request. */
    void on_request(caller_request request);
    /** Sets the paths that the gateway serves itself. */
    void make_internal_paths();
    /** @return the one of these that addresses with @p roles serve at @p path, or null. */
    internal_path const* find_internal_path(address_roles roles, std::string_view path) const;
    /** Handles a request that is not to be forwarded. @return false when it is to be forwarded; it is unchanged then.
     */
    bool handle_internal(caller_request& request);
    /** Serves a request at @p path. No exception leaves it: a malformed request gets a response with its status. */
    void serve_internal(caller_request const& request, internal_path const& path);
    /** Refuses a request with @p status; logs and counts it. */
    void refuse_internal(caller_request const& request, int status, char const* reason);
    /** Handles a call of a peer gateway: serves it, lets it wait or refuses it. */
    void on_peer_call(caller_request request, internal_path const& path);
    /** Refuses a call from an unknown address. */
    void refuse_stranger(caller_request const& request);
    /** Applies a change of the members to the decision which calls are accepted, and serves those accepted now. */
    void update_peer_access();
    /** @return the response with all metrics. */
    http_response metrics_response();
    /** @return the response to an address query. @param target request target. */
    http_response address_response(std::string const& target);

    /** @return the hooks through which followers receive responses. */
    state_publisher::hooks follower_hooks();
    /** Handles a request of a peer gateway that reads from the local copy. */
    void on_follower_request(request_key key, http_request const& request);

    /** Records whether a call to the store succeeded. */
    void on_store_call(bool ok);
    /** Handles the end of a store outage. */
    void on_store_recovered();
    /** Handles the first full read after the store was restored from an older copy. @param differences from the local
     *  copy. @param known position of the local copy before. @param as_of position of the read. @return the differences
     *  to apply at once: removals are held back for lapse_grace. */
    std::vector<store_item> on_store_restored(std::vector<store_item> differences, store_position known,
                                              store_position as_of);
    /** Applies the removals held back by on_store_restored() of items that were not written again. */
    void apply_missing_removals();
    /** Handles a full read of the store. */
    void on_snapshot(std::vector<store_item> const& items, store_position as_of);
    /** Handles changes of the store. */
    void on_changes(std::vector<store_item> const& items, store_position as_of);
    /** Applies changes of the local copy to the gateway's state. */
    void apply_changes(std::vector<store_item> const& changes, store_position as_of);
    /** Updates everything that depends on the set of gateways, if it has changed. */
    void refresh_members();
    /** Tells the calls about quotas which gateways are active by the store itself. */
    void refresh_quota_keepers(std::size_t max_active);
    /** Registers this VM as synced if callers are sent to it then. The others save the write. */
    void announce_synced(std::size_t max_active);
    /** Applies the registrations of the gateways of this failure domain, read before the first full read. */
    void on_domain_members(std::vector<store_item> const& items);
    /** Applies one item or its removal. */
    void on_item(store_item const& item);
    /** Applies a configuration. */
    void on_config(store_item const& item);
    /** Applies the registration of a backend server. */
    void on_backend(store_item const& item);
    /** Applies the start or the end of the evacuation of a failure domain. */
    void on_evacuation(store_item const& item);
    /** @return the id of the backend server that @p item registers. */
    backend_id backend_of(store_item const& item) const;
    /** Applies the removal of a backend server's registration. */
    void remove_backend(backend_id const& id, store_position position);
    /** Applies the registration of a gateway. */
    void on_member(store_item const& item);
    /** @return the store key of this VM's records of requests that crash backend servers. */
    std::string crash_records_key() const { return crash_records_prefix + settings.name; }
    /** Handles a change of the quarantine. */
    void on_quarantine(request_quarantine::change const& change);
    /** Applies a gateway's records of requests that crash backend servers. */
    void on_crash_records(store_item const& item);
    /** Records a change for log_changes(). */
    void record_change(std::string name, change_kind kind, store_position position);
    /** Logs the changes recorded since the last call. */
    void log_changes(store_position as_of);
    /** Removes lapsed backend servers that were not registered again after a store outage. */
    void expire_lapsed();

    /** Handles a signal. */
    void on_signal(int number);
    /** Performs the next step of a stop. */
    void stop_step();
};

} // namespace cornelspring
