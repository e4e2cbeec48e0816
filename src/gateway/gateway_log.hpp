/** @file gateway_log.hpp The gateway's decision log: one JSON line for each decision (internal). */
#pragma once

#include "refusal_lines.hpp"

#include <cornelspring/failures.hpp>
#include <cornelspring/gateway.hpp>

namespace cornelspring {

/** Kinds of changes of backend servers and gateways in the store. */
enum class change_kind {
    ready,    ///< A backend server was registered, or registered again.
    draining, ///< A backend server is draining.
    lapsed,   ///< A backend server's registration disappeared in an outage of the store.
    removed,  ///< A backend server was removed.
    joined,   ///< A gateway joined.
    left,     ///< A gateway left.
};

/** A change of a backend server or gateway in the local copy. */
struct state_change {
    std::string name;                      ///< Id of the backend server, or store key of the gateway.
    change_kind kind = change_kind::ready; ///< What changed.
    store_position position;               ///< Position of the change in the store's history.
};

/** Writes the gateway's log lines. Most kinds of lines have a rate limit, so that the volume stays bounded under load.
 */
class gateway_log {
public:
    /** @param loop event loop, for the current time. */
    explicit gateway_log(event_loop& loop) : m_loop(loop), m_logger(get_logger("gateway")) {}
    /** Logs a finished request. @param summary its outcome. @param state_age time since the local copy of the store
     *  was last confirmed. @param quota_account store key of the gateway that decided about its customer's quota; empty
     *  if the request was not rejected for it. */
    void on_request(request_summary const& summary, milliseconds state_age, std::string const& quota_account = {});
    /** Logs a request that was rejected while it was read. @param status status of the response. @param reason why. */
    void on_rejected(int status, char const* reason);
    /** Logs that a connection ended before its caller had received the complete response.
     *  @param received see caller_server::hooks::on_response_cut. @param size size of the response in bytes. */
    void response_cut(std::size_t received, std::size_t size);
    /** Logs that the gateway itself refused a request: a call from an unknown address, or a malformed one. At most one
     *  line is written in a second, with the number of lines suppressed since the last one. @param caller address of
     *  its sender. @param target its path with the query. @param status status of the response. @param reason why. */
    void refused_call(std::string const& caller, std::string const& target, int status, char const* reason);
    /** Logs that a dependency was lost or regained. @param name name of the dependency. @param change "lost" or
     *  "regained". @param outage length of the outage. */
    void dependency(char const* name, char const* change, milliseconds outage);
    /** Logs that another source is used, or that a source failed. @param source the source. @param change "used" or
     *  "failed". @param reason why it failed; those that refused a call are limited to one line per second.
     *  @param state_age time since the local copy was last confirmed. */
    void source(feed_source const& source, char const* change, char const* reason, milliseconds state_age);
    /** Logs an item that cannot be decoded; the same reason is written once for each key. @param key its key.
     *  @param position its position in the store's history. @param reason why. */
    void bad_item(std::string const& key, store_position position, char const* reason);
    /** Logs that the store was restored from an older copy. @param position new position of the store. @param known
     *  position of the local copy before. @param held number of removals held back, to give the writers of the items
     *  time to write them again. */
    void store_restored(store_position position, store_position known, std::size_t held);
    /** Logs changes that were ignored because newer ones of their keys are known. @param count number of changes.
     *  @param position position of the response that contained them. @param known position of the local copy. */
    void superseded(std::uint64_t count, store_position position, store_position known);
    /** Logs a received configuration. @param version its version. @param position its position in the store's history.
     *  @param applied whether it was newer than the one in use and was applied. */
    void config(config_version version, store_position position, bool applied);
    /** Logs the start or the end of the evacuation of a failure domain. @param domain the failure domain.
     *  @param in_force whether it started. @param position position of the change in the store's history.
     *  @param state_age time since the local copy was last confirmed. */
    void evacuation(domain_name const& domain, bool in_force, store_position position, milliseconds state_age);
    /**
     * Logs changes of backend servers and gateways. Every gateway receives the same changes. Only those that watch the
     * store itself write a line for each change; the others, and all after a full read, write one line with the numbers
     * of changes and their position: a line for each change on each VM would grow with the square of the fleet.
     * @param changes the changes; nothing is written if empty. @param named whether to write a line for each change.
     * @param position position of the response. @param state_age time since the local copy was last confirmed.
     */
    void learned(std::vector<state_change> const& changes, bool named, store_position position, milliseconds state_age);
    /** Logs a change of the quarantine state of a request. @param change the change. @param remaining time until the
     *  quarantine of the request ends. */
    void quarantine(request_quarantine::change const& change, milliseconds remaining);
    /** Logs whether this VM may try a request that crashes backend servers. @param digest request. @param granted
     *  whether no other VM has claimed its trial. */
    void trial_claim(request_digest const& digest, bool granted);
    /** Logs that an account of a quota has moved. @param part the account. @param change how. @param state_age time
     * since the local copy was last confirmed. */
    void quota_account(quota_part const& part, char const* change, milliseconds state_age);
    /** Logs that a gateway did not respond to a call about quotas. @param keeper its store key. @param reason
     *  why. */
    void quota_keeper(std::string const& keeper, char const* reason);
    /** Logs how many backend servers fail as observed by all VMs. @param collector gateway that collects the outcomes.
     *  @param failing number of these servers. */
    void failing_servers(std::string const& collector, std::size_t failing);
    /** Logs how the set of slow backend servers, as observed by all VMs, has changed. @param collector gateway that
     *  collects the latencies. @param changes changes. */
    void slow_servers(std::string const& collector, slow_server_changes const& changes);
    /** Logs the shares of admission control after a change by a step. @param collector gateway that computed them;
     *  empty if they were outdated. @param shares the shares; without sets all queries are admitted. */
    void admission_shares(std::string const& collector, share_update const& shares);
    /** Logs that the collector of demand did not respond, or that a gateway sent a malformed message. @param gateway
     * its store key. @param reason why. */
    void demand_collector(std::string const& gateway, std::string const& reason);
    /** Logs that the process was paused while it had work to do. @param length length of the pause. */
    void paused(milliseconds length);
    /** Logs an event of the process: start, stop or reload. @param event name of the event. */
    void process(char const* event);

private:
    /** Writes one line. @param fields its fields, with "event" first. */
    void write(nlohmann::json const& fields);
    /** Rate limit of one kind of line. */
    struct quota {
        std::int64_t second = 0; ///< Current second.
        int lines = 0;           ///< Lines in this second, left out ones included.
    };
    /** Counts a line and applies the rate limit. @param kind counters of its kind. @param per_second most lines in a
     *  second. @return whether the line may be written. */
    bool allowed(quota& kind, int per_second);

    event_loop& m_loop;                             ///< For the current time.
    log4cplus::Logger m_logger;                     ///< Logger.
    quota m_requests;                               ///< Lines about requests.
    quota m_sources;                                ///< Lines about the source of the local copy.
    refusal_lines m_refusals;                       ///< Lines about sources that refuse calls.
    quota m_quarantine;                             ///< Lines about requests that crash backend servers.
    quota m_shares;                                 ///< Lines about shares of admission control.
    quota m_learned;                                ///< Lines about changes of the local copy.
    quota m_refused_calls;                          ///< Lines about refused calls.
    std::uint64_t m_refused_suppressed = 0;         ///< Those suppressed since the last line.
    std::map<std::string, std::string> m_bad_items; ///< Last reason written, by key.

    std::uint64_t m_left_out = 0; ///< Lines left out since the last line about a request.
};

} // namespace cornelspring
