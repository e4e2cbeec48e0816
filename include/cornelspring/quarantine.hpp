/**
 * @file quarantine.hpp Quarantine of requests that crash backend servers, without sockets or clock reads.
 */
#pragma once

#include <cornelspring/net.hpp>

#include <array>
#include <map>
#include <set>
#include <unordered_map>

namespace cornelspring {

/** Address of a caller, without its port. */
using caller_address = strong_id<struct caller_address_tag, std::string>;
/** Digest of the content of a request: equal for a request and its repetitions. 32 hexadecimal digits. */
using request_digest = strong_id<struct request_digest_tag, std::string>;

/**
 * The part of a request that names its caller to backend servers: the customer, or else the header "authorization". A
 * key is not part of it, since backend servers do not receive keys and a customer may have several.
 */
using caller_identity = strong_id<struct caller_identity_tag, std::string>;

/**
 * @return the digest of method, host, path, body and caller. It leaves out the caller's address, since no backend
 * server sees it and the same caller may use another one, and headers that differ between repetitions.
 * @param request request. @param caller its caller.
 */
request_digest digest_of(http_request const& request, caller_identity const& caller);

/**
 * Remembers which requests backend servers responded to recently. This protects a query that many callers send: when
 * another request crashes backend servers, the frequent query is often in flight there too and would be taken for the
 * cause.
 */
class recent_responses {
public:
    /** Records a response to @p request. @param request the request. @param caller its caller. @param now current
     *  time. */
    void add(http_request const& request, caller_identity const& caller, time_point now);
    /** @return whether there was a response to @p request recently. @param request the request. @param caller its
     *  caller. @param now current time. */
    bool contains(http_request const& request, caller_identity const& caller, time_point now) const;

private:
    /** A request that got a response. */
    struct slot {
        std::size_t key = 0; ///< Hash of the request's content.
        time_point at;       ///< Time of the last response.
    };
    /** Slots of the table; a request overwrites another one with the same slot. */
    static constexpr std::size_t slot_count = 2048;
    std::array<slot, slot_count> m_responses; ///< By key.
};

/** State of a request in the quarantine. */
enum class quarantine_status {
    clear,       ///< No crashes are known.
    suspect,     ///< Backend servers crashed while running it and none responded: it is sent to one at a time.
    quarantined, ///< It crashes backend servers: it is rejected.
};

/** What one gateway observed of one request, as exchanged between gateways through the store. */
struct crash_record {
    request_digest digest;           ///< The request.
    int crashes = 0;                 ///< Backend servers that crashed while running it.
    int quarantines = 0;             ///< Number of its quarantines.
    milliseconds quarantine_left{0}; ///< Remaining time of its quarantine.
    bool answered = false;           ///< A backend server responded, and none has crashed on it since.
    bool operator==(crash_record const&) const = default;
};

/** Settings of the quarantine. */
struct quarantine_options {
    /** Number of crashes at which a request counts as their cause. Fewer can be chance: it may be in flight at backend
     *  servers that fail for another reason. */
    int crash_threshold = 3;
    /** Lengths of the first quarantine of a request, of the second one, and so on; the last is that of all further
     * ones. A request that crashed backend servers in each trial is not tried again on the same day. */
    std::vector<milliseconds> durations{std::chrono::minutes(1), std::chrono::minutes(10), std::chrono::hours(24)};
    /** How long crashes of a request are remembered, from the last one or from the end of its quarantine. */
    milliseconds memory{std::chrono::hours(24)};
    milliseconds answer_memory{std::chrono::minutes(10)}; ///< How long it is published that a request was answered.
    std::size_t max_requests = 256;                       ///< Most requests remembered; the oldest are evicted first.
};

/**
 * Records which requests were in flight at backend servers that crashed without a response, on this VM and on others,
 * and rejects those that crash every server that runs them. Such a server restarts within seconds and the caller
 * repeats the request at any gateway, so the crashes that a single attempt or VM observes are too few to identify it. A
 * suspect is not rejected, since its backend servers may have failed for another reason: it is sent to one server at a
 * time, and a response clears it. Only a request whose backend servers keep crashing is rejected, and only for a time,
 * since servers get repaired.
 */
class request_quarantine {
public:
    /** A change of a request's status, for logs. */
    struct change {
        request_digest digest;                               ///< The request.
        quarantine_status status = quarantine_status::clear; ///< Its status now.
        int crashes = 0;                                     ///< Crashes observed by all gateways.
        int quarantines = 0;                                 ///< Number of its quarantines so far.
        std::string source;                                  ///< Gateway that sent the record; empty: observed here.
        bool own_record_changed = false;                     ///< This VM's own records changed and must be published.
    };
    /** @param options settings. */
    explicit request_quarantine(quarantine_options options = {}) : m_options(options) {}
    /** Sets the hook for changes. @param hook called after each. */
    void on_change(std::function<void(change const&)> hook) { m_on_change = std::move(hook); }

    /** @return whether no request is recorded, so that no digest is needed. */
    bool empty() const { return m_requests.empty(); }
    /** @return the status of a request. @param digest request. @param now current time. */
    quarantine_status status(request_digest const& digest, time_point now) const;
    /** @return the remaining time of a request's quarantine; 0 when it is in none. @param digest request. @param now
     *  current time. */
    milliseconds quarantine_left(request_digest const& digest, time_point now) const;
    /** @return whether a request reaches the crash threshold with @p crashes more. @param digest request. @param
     * crashes crashes that are not recorded here yet. */
    bool reaches_crash_threshold(request_digest const& digest, int crashes) const;

    /** @return whether a suspect has crashed enough backend servers that all VMs together may only try it once at a
     *  time. @param digest request. */
    bool needs_claim(request_digest const& digest) const;
    /** @return whether this VM has sent a suspect to a backend server and waits for the outcome. @param digest request.
     */
    bool on_trial(request_digest const& digest) const;
    /** Records that a suspect was sent to a backend server. @param digest request. */
    void start_trial(request_digest const& digest);
    /** Records that the trial finished, with an outcome or without. @param digest request. */
    void finish_trial(request_digest const& digest);
    /** Records crashes of backend servers that ran a request without a response. @param digest request. @param crashes
     *  number of them. @param now current time. */
    void on_crashes(request_digest const& digest, int crashes, time_point now);
    /** Puts a request into quarantine. @param digest request. @param now current time. */
    void start_quarantine(request_digest const& digest, time_point now);
    /** Clears a request that is suspect or in quarantine, because a backend server responded to it. @param digest
     * request.
     *  @param now current time. */
    void on_response(request_digest const& digest, time_point now);

    /** @return the records that this VM publishes to the others. @param now current time. */
    std::vector<crash_record> own_records(time_point now) const;
    /** Applies the records of another gateway. They replace its earlier ones, but a quarantine stays until its time is
     * over.
     *  @param source that gateway. @param records its records. @param now current time. */
    void apply_peer_records(std::string const& source, std::vector<crash_record> const& records, time_point now);
    /** Restores the records that this VM published before it restarted. @param records those records. @param now
     * current time. */
    void restore_own_records(std::vector<crash_record> const& records, time_point now);

private:
    /** What is recorded of one request. */
    struct known_request {
        int own_crashes = 0;                     ///< Crashes observed here.
        std::map<std::string, int> peer_crashes; ///< Crashes observed by each other gateway.
        int quarantines = 0;                     ///< Highest number of quarantines of any gateway.
        bool quarantined_here = false;           ///< This VM started the last quarantine.
        time_point quarantined_until;            ///< End of the quarantine.
        time_point expires_at;                   ///< The record is dropped after that time.
        bool on_trial = false;                   ///< This VM sent it to a backend server and waits.
        bool answered = false;                   ///< A backend server responded here after crashes.
        /** Clears all crashes and quarantines. @return whether some of the crashes were observed here. */
        bool clear();
        /** @return crashes observed by all gateways. */
        int crashes() const;
        /** @return its status. @param now current time. */
        quarantine_status status(time_point now) const;
    };
    /** @return the record of a request, created when absent. @param now current time. */
    known_request& find_or_add(request_digest const& digest, time_point now);
    /** Sets the expiry of a record from @p now and the end of its quarantine. */
    void renew(known_request& request, time_point now) const;
    /** @return the length of the quarantine that follows @p quarantines earlier ones. */
    milliseconds next_duration(int quarantines) const;
    /** Drops expired records, and the oldest one when the limit is reached. */
    void evict(time_point now);
    /** Applies the quarantine of a record. */
    void extend_quarantine(known_request& request, crash_record const& record, time_point now) const;
    /** Calls the hook with the status of a request. */
    void report(request_digest const& digest, std::string const& source, bool own_record_changed, time_point now);

    quarantine_options m_options;                              ///< Settings.
    std::unordered_map<std::string, known_request> m_requests; ///< By digest.
    std::function<void(change const&)> m_on_change;            ///< Hook.
    /** Requests that were answered according to the last records of each other gateway. */
    std::map<std::string, std::set<std::string>> m_peer_answers;
};

/** @return the name of @p status for logs. @param status the status. */
char const* to_string(quarantine_status status);
/** @return records as the value of a store key. @param records records. */
std::string encode_crash_records(std::vector<crash_record> const& records);
/** @return the records in @p value. @param value store value. @throw error bad_request when malformed. */
std::vector<crash_record> decode_crash_records(std::string const& value);

} // namespace cornelspring
