/** @file store_service.hpp The store stand-in's HTTP/2 API: etcd v3 JSON gateway paths plus fault injection. */
#pragma once

#include "kv_store.hpp"

#include <cornelspring/transport.hpp>

#include <list>

namespace cornelspring {

/** Faults the store can be told to show, set through POST /v1/fault. */
struct store_faults {
    time_point outage_until;        ///< Until then every call is refused with 503.
    milliseconds delay{0};          ///< Every reply is held this long.
    milliseconds vm_lag{0};         ///< A change of the VM list shows this much later.
    std::int64_t skip_writes = 0;   ///< This many writes are served before the next two faults begin.
    std::int64_t refuse_writes = 0; ///< Then this many writes are refused with 503 and do not take effect.
    std::int64_t lose_replies = 0;  ///< The next this many writes take effect but get no reply.
};

/**
 * Serves the store API on the server task's thread: all state is touched only there.
 * Watches are long polls: a watch call is answered as soon as an event after its start revision exists,
 * or with no events when its progress timeout passes.
 */
class store_service {
public:
    /** @param history_limit events kept for watches. */
    explicit store_service(std::size_t history_limit);
    /** Handles one request. @param request the request. @param reply where the answer goes. */
    void handle(http_request const& request, reply_fn reply);
    /** Expires leases, answers due watches and releases delayed replies. @param now present time. */
    void tick(time_point now);

private:
    /** A watch waiting for events. */
    struct waiting_watch {
        std::string key;        ///< Start of range.
        std::string range_end;  ///< End of range.
        std::int64_t after = 0; ///< Report events above this revision.
        time_point deadline;    ///< Answer with no events then.
        reply_fn reply;         ///< Where the answer goes.
    };
    /** A reply held back by the delay or lost-reply faults. */
    struct delayed_response {
        time_point due;         ///< When it is sent.
        reply_fn reply;         ///< Target.
        http_response response; ///< Answer.
    };

    /** @return the JSON answer of one API call. */
    nlohmann::json dispatch(std::string const& path, nlohmann::json const& body, time_point now, bool& is_write);
    /** @return whether the faults refuse this call; counts writes. */
    bool refused_by_fault(std::string const& path);
    /** Sends @p response now or later, as the faults say. */
    void send(reply_fn reply, http_response response, bool is_write, time_point now);
    /** Answers every waiting watch that has events or whose time is up. */
    void respond_to_watches(time_point now);
    /** Handles GET and POST /v1/vms: the platform's VM list, which lags by the fault's vm_lag_ms. */
    http_response vm_list(http_request const& request, time_point now);
    /** Handles POST /v1/fault. */
    http_response set_faults(nlohmann::json const& body, time_point now);
    /** @return the calls served so far, by path, as JSON. */
    http_response stats() const;
    /** Puts back what the store held when the last copy was made, as a new cluster. */
    void restore(time_point now);
    /** @return the etcd response header. */
    nlohmann::json header() const;

    /** A VM and its state, shown from a later time on. */
    struct vm_entry {
        std::string state;          ///< "live" or "leaving".
        std::string previous_state; ///< State shown until then.
        time_point visible_at;      ///< When the new state shows.
    };

    std::map<std::string, std::int64_t> m_calls; ///< Calls by path, for the capacity bench.
    kv_store m_store;                            ///< Keys and leases.
    kv_store m_copy;                             ///< The same when the last copy was made.
    std::int64_t m_cluster_id = 1;               ///< Cluster id; another one after each restore.
    std::map<std::string, vm_entry> m_vms;       ///< VM list by address.
    store_faults m_faults;                       ///< Faults in force.
    bool m_write_skips_faults = false;           ///< The write being served was counted by skip_writes.
    std::list<waiting_watch> m_watches;          ///< Waiting watches.
    std::list<delayed_response> m_delayed;       ///< Replies held back.
};

} // namespace cornelspring
