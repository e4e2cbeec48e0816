/** @file gateway_log.hpp The gateway's decision log: one JSON line for each decision (internal). */
#pragma once

#include <cornelspring/gateway.hpp>

namespace cornelspring {

/** What becomes of a backend server or a gateway in the store. */
enum class change_kind {
    ready,    ///< A backend server that is new, or back.
    draining, ///< One that leaves.
    lapsed,   ///< One without an entry since an outage of the store.
    removed,  ///< One that was removed.
    joined,   ///< A gateway that joined.
    left,     ///< A gateway that left.
};

/** A change of what this VM believes, learned from a source. */
struct state_change {
    std::string name;                      ///< Id of the backend server, or store key of the gateway.
    change_kind kind = change_kind::ready; ///< What became of it.
    store_position position;               ///< Where the change stands in the store's history.
};

/** Writes the gateway's log lines. Good requests are sampled under load, so that the volume stays bounded. */
class gateway_log {
public:
    /** @param loop source of the time. */
    explicit gateway_log(event_loop& loop) : m_loop(loop), m_logger(get_logger("gateway")) {}
    /** A request ended. @param summary what became of it. @param state_age time since the configuration and the
     *  backend servers known were last confirmed to be current. */
    void on_request(request_summary const& summary, milliseconds state_age);
    /** A request was refused while it was read. @param status status answered. @param reason why. */
    void on_refused(int status, char const* reason);
    /** A dependency was lost or regained. @param name which. @param change lost or regained. @param outage length. */
    void dependency(char const* name, char const* change, milliseconds outage);
    /** The source of the store's state changed or failed. @param source which. @param change used or failed.
     *  @param reason why. @param state_age how long ago the copy of that state was current for certain. */
    void source(feed_source const& source, char const* change, char const* reason, milliseconds state_age);
    /** A store item cannot be read; the same reason is written once for each key. @param key its key. @param position
     * where the item stands in the store's history. @param reason why. */
    void bad_item(std::string const& key, store_position position, char const* reason);
    /** The store came back from an older copy. @param position of what it holds now. @param known position of the copy
     *  until now. @param held removals held back until their writers had time to write again. */
    void store_restored(store_position position, store_position known, std::size_t held);
    /** Changes were left out, since newer ones of their keys are known. @param count how many. @param position of the
     *  answer. @param known position of the copy. */
    void superseded(std::uint64_t count, store_position position, store_position known);
    /** A configuration arrived. @param version its version. @param position where it stands in the store's history.
     *  @param applied in force. */
    void config(config_version version, store_position position, bool applied);
    /** The evacuation of a failure domain began or ended. @param domain which. @param in_force whether it began.
     *  @param position where that stands in the store's history. @param state_age age of the copy. */
    void evacuation(domain_name const& domain, bool in_force, store_position position, milliseconds state_age);
    /**
     * The belief about backend servers and gateways changed. Every gateway learns the same, so that those that watch
     * the store name each change, and all others, and a full read, only say how many and up to which revision: a
     * line for each entry at each VM would grow with the square of the fleet.
     * @param changes what changed; no line when it is empty. @param named whether each gets a line. @param position
     * of the answer. @param state_age age of the copy.
     */
    void learned(std::vector<state_change> const& changes, bool named, store_position position, milliseconds state_age);
    /** What is believed of a request changed. @param change what and why. @param remaining how long it stays in
     * quarantine.
     */
    void quarantine(request_quarantine::change const& change, milliseconds remaining);
    /** The process started, stops or reloads. @param event which. */
    void process(char const* event);

private:
    /** Writes one line. @param fields its fields, beginning with "event". */
    void write(nlohmann::json const& fields);
    /** Counts of one kind of line in the present second. */
    struct quota {
        std::int64_t second = 0; ///< Present second.
        int lines = 0;           ///< Lines written in it.
    };
    /** @return whether a line may be written now. @param kind its kind's counts. @param per_second most lines. */
    bool allowed(quota& kind, int per_second);

    event_loop& m_loop;                             ///< Time.
    log4cplus::Logger m_logger;                     ///< Logger.
    quota m_requests;                               ///< Lines about requests.
    quota m_sources;                                ///< Lines about the source of the store's state.
    quota m_quarantine;                             ///< Lines about requests that crash backend servers.
    quota m_learned;                                ///< Lines about what was learned from it.
    std::map<std::string, std::string> m_bad_items; ///< Last reason written, by key.

    std::uint64_t m_left_out = 0; ///< Lines left out since the last one written.
};

} // namespace cornelspring
