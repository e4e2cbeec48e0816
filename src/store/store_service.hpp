/** @file store_service.hpp HTTP/2 API of the store stand-in: the paths of etcd's v3 JSON gateway, and fault injection.
 */
#pragma once

#include "kv_store.hpp"

#include <cornelspring/transport.hpp>

#include <list>

namespace cornelspring {

/** Simulated faults, set through POST /v1/fault. */
struct store_faults {
    time_point outage_until;        ///< Until this time every call is rejected with 503.
    milliseconds delay{0};          ///< Delay of every response.
    milliseconds vm_lag{0};         ///< Time until a change of the VM list becomes visible.
    std::int64_t skip_writes = 0;   ///< Number of writes served before the next two faults apply.
    std::int64_t refuse_writes = 0; ///< Number of writes rejected with 503 and not applied.
    std::int64_t lose_replies = 0;  ///< Number of writes applied without a response.
};

/**
 * Serves the store API. Not thread-safe: only the server's thread uses it.
 * Watches are long polls: the response to a watch call is sent as soon as there is an event after its start
 * revision, or without events when its progress timeout passes.
 */
class store_service {
public:
    /** @param history_limit number of events held for watches. */
    explicit store_service(std::size_t history_limit);
    /** Handles one request. @param request request. @param reply receives the response. */
    void handle(http_request const& request, respond_fn reply);
    /** Expires leases, responds to watches and sends delayed responses that are due. @param now current time. */
    void tick(time_point now);

private:
    /** A watch call that waits for events. */
    struct waiting_watch {
        std::string key;        ///< Start of range.
        std::string range_end;  ///< End of range.
        std::int64_t after = 0; ///< Events with a greater revision are reported.
        time_point deadline;    ///< Time at which a response without events is sent.
        respond_fn reply;       ///< Receives the response.
    };
    /** A response delayed by the faults delay_ms or lose_replies. */
    struct delayed_response {
        time_point due;         ///< Time at which it is sent.
        respond_fn reply;       ///< Receives the response.
        http_response response; ///< Response.
    };

    /** Runs one API call. @param is_write set to whether the call is a write. @return the JSON response. */
    nlohmann::json dispatch(std::string const& path, nlohmann::json const& body, time_point now, bool& is_write);
    /** @return whether a fault rejects this call. Counts the writes for skip_writes and refuse_writes. */
    bool refused_by_fault(std::string const& path);
    /** Sends @p response, delayed when a fault is active. */
    void send(respond_fn reply, http_response response, bool is_write, time_point now);
    /** Responds to every waiting watch that has events or has timed out. */
    void respond_to_watches(time_point now);
    /** Handles GET and POST /v1/vms, the platform's VM list; changes become visible after the fault's vm_lag_ms. */
    http_response vm_list(http_request const& request, time_point now);
    /** Handles POST /v1/fault. */
    http_response set_faults(nlohmann::json const& body, time_point now);
    /** @return the number of calls by path, as JSON. */
    http_response stats() const;
    /** Restores the store from the last copy, under a new cluster id. */
    void restore(time_point now);
    /** @return the etcd response header. */
    nlohmann::json header() const;

    /** A VM in the list. A new state becomes visible after a delay. */
    struct vm_entry {
        std::string state;          ///< "live" or "leaving".
        std::string previous_state; ///< State visible until then.
        time_point visible_at;      ///< Time at which the new state becomes visible.
    };

    std::map<std::string, std::int64_t> m_calls; ///< Number of calls by path, for bench/capacity.
    kv_store m_store;                            ///< Items and leases.
    kv_store m_copy;                             ///< Copy from which restore() restores.
    std::int64_t m_cluster_id = 1;               ///< Cluster id; changes with each restore.
    std::map<std::string, vm_entry> m_vms;       ///< VMs by address.
    store_faults m_faults;                       ///< Active faults.
    bool m_write_skips_faults = false;           ///< skip_writes exempts the current write from faults.
    std::list<waiting_watch> m_watches;          ///< Watch calls that wait for events.
    std::list<delayed_response> m_delayed;       ///< Responses not yet sent.
};

} // namespace cornelspring
