/**
 * @file quarantine.hpp What is known of requests under which backend servers ended, without sockets or clock reads.
 */
#pragma once

#include <cornelspring/net.hpp>

#include <array>
#include <map>
#include <unordered_map>

namespace cornelspring {

/** Address of a caller, without its port. */
using caller_address = strong_id<struct caller_address_tag, std::string>;
/** Tells requests apart by what they ask: equal for a request and its repetitions. 32 hexadecimal digits. */
using request_digest = strong_id<struct request_digest_tag, std::string>;

/**
 * @return the digest of what backend servers are asked: method, host, path, body, and who asks by the request's own
 * word (the header "authorization"). The caller's address is left out, since no backend server sees it and the same
 * caller may come from another one; so are headers that differ with each repetition.
 * @param request request.
 */
request_digest digest_of(http_request const& request);

/**
 * Remembers which requests backend servers have answered lately. It protects a query that many callers ask: when
 * another one crashes the servers, it is among those that run there again and again, and would count as the cause.
 */
class recent_responses {
public:
    /** Notes an answer. @param request the request. @param now present time. */
    void add(http_request const& request, time_point now);
    /** @return whether a request was answered lately. @param request the request. @param now present time. */
    bool contains(http_request const& request, time_point now) const;

private:
    /** A request that was answered. */
    struct answered_request {
        std::size_t key = 0; ///< Hash of what was asked.
        time_point at;       ///< When it was answered last.
    };
    /** Requests kept; one that falls on the place of another takes it. */
    static constexpr std::size_t places = 2048;
    std::array<answered_request, places> m_answered; ///< By key.
};

/** What is believed of a request. */
enum class quarantine_status {
    clear,       ///< Nothing speaks against it.
    suspect,     ///< Backend servers ended under it and none answered it: it goes to one at a time.
    quarantined, ///< It crashes backend servers: it goes to none.
};

/** What one gateway has seen of one request, as gateways tell each other. */
struct crash_record {
    request_digest digest;           ///< The request.
    int crashes = 0;                 ///< Backend servers that ended under it.
    int quarantines = 0;             ///< Times that it was put into quarantine.
    milliseconds quarantine_left{0}; ///< Time that it stays there.
    bool answered = false;           ///< A backend server answered it, and none has crashed under it since.
    bool operator==(crash_record const&) const = default;
};

/** Settings of the quarantine. */
struct quarantine_options {
    /** Crashes from which a request counts as their cause: fewer come together by chance when servers fail. */
    int crash_threshold = 3;
    milliseconds first_duration{60000}; ///< Length of the first quarantine; each further one is twice as long.
    milliseconds max_duration{600000};  ///< Longest quarantine. As long is remembered what was seen of a request.
    std::size_t max_requests = 256;     ///< Requests remembered; the oldest are forgotten first.
};

/**
 * Remembers under which requests backend servers ended without answering, on this VM and on others. It answers requests
 * that crash every server that runs them: the server is back after seconds and so is the request, at any gateway, so
 * that neither one attempt nor one VM sees enough. A suspect is not refused, since a request may have been at several
 * servers that failed for another reason: it goes to one server at a time, and an answer clears it. Only a request
 * whose servers go on to end is refused, for a time, since servers get repaired.
 */
class request_quarantine {
public:
    /** A change of what is believed, for logs. */
    struct change {
        request_digest digest;                               ///< The request.
        quarantine_status status = quarantine_status::clear; ///< What is believed of it now.
        int crashes = 0;                                     ///< Crashes seen by all gateways.
        std::string source;                                  ///< Gateway that told; empty: seen here.
        bool own_record_changed = false;                     ///< What this VM tells has changed.
    };
    /** @param options settings. */
    explicit request_quarantine(quarantine_options options = {}) : m_options(options) {}
    /** Sets the hook for changes. @param hook called after each. */
    void on_change(std::function<void(change const&)> hook) { m_on_change = std::move(hook); }

    /** @return whether nothing is known of any request, so that no digest is needed. */
    bool empty() const { return m_requests.empty(); }
    /** @return what is believed of a request. @param digest request. @param now present time. */
    quarantine_status status(request_digest const& digest, time_point now) const;
    /** @return how long a request stays in quarantine; 0 when it is in none. @param digest request. @param now time. */
    milliseconds quarantine_left(request_digest const& digest, time_point now) const;
    /** @return whether so many crashes, with those known, convict a request. @param digest request. @param crashes more
     *  crashes than are known here. */
    bool reaches_crash_threshold(request_digest const& digest, int crashes) const;

    /** @return whether this VM has sent a suspect to a backend server and waits for the outcome. @param digest request.
     */
    bool on_trial(request_digest const& digest) const;
    /** A suspect goes to a backend server. @param digest request. */
    void start_trial(request_digest const& digest);
    /** The outcome is there, or none will be. @param digest request. */
    void finish_trial(request_digest const& digest);
    /** Backend servers ended under a request that none has answered. @param digest request. @param crashes how many.
     *  @param now present time. */
    void on_crashes(request_digest const& digest, int crashes, time_point now);
    /** Puts a request into quarantine. @param digest request. @param now present time. */
    void start_quarantine(request_digest const& digest, time_point now);
    /** A backend server answered a request that is suspect or in quarantine, here or elsewhere: it does not crash them.
     *  @param digest request. @param now present time. */
    void on_response(request_digest const& digest, time_point now);

    /** @return what this VM tells the others. @param now present time. */
    std::vector<crash_record> own_records(time_point now) const;
    /** Takes in what another gateway tells; it replaces what that one told before, but a quarantine lasts.
     *  @param source which gateway. @param records what it has seen. @param now present time. */
    void apply_peer_records(std::string const& source, std::vector<crash_record> const& records, time_point now);
    /** Takes up what this VM told before it started again. @param records as told. @param now present time. */
    void restore_own_records(std::vector<crash_record> const& records, time_point now);

private:
    /** What is known of one request. */
    struct known_request {
        int own_crashes = 0;             ///< Seen here.
        std::map<std::string, int> told; ///< Told by other gateways.
        int convictions = 0;             ///< Most that any gateway tells.
        bool convicted_here = false;     ///< The last one was pronounced here.
        time_point quarantined_until;    ///< End of the quarantine.
        time_point forget_at;            ///< Nothing was seen for so long.
        bool on_trial = false;           ///< This VM has sent it to a backend server.
        bool answered = false;           ///< Seen here: a backend server answered it after crashes.
        /** Forgets all that speaks against it. @return whether something seen here did. */
        bool clear();
        /** @return crashes seen by all. */
        int crashes() const;
        /** @return what is believed of it. */
        quarantine_status standing(time_point now) const;
    };
    /** @return the record of a request, made when absent, remembered from now on. */
    known_request& remember(request_digest const& digest, time_point now);
    /** Forgets what is old, and the oldest beyond those kept. */
    void forget(time_point now);
    /** Takes in the quarantine that a record tells of. */
    void extend_quarantine(known_request& request, crash_record const& record, time_point now) const;
    /** Reports what is believed of a request. */
    void report(request_digest const& digest, std::string const& source, bool to_tell, time_point now);

    quarantine_options m_options;                              ///< Settings.
    std::unordered_map<std::string, known_request> m_requests; ///< By digest.
    std::function<void(change const&)> m_on_change;            ///< Hook.
};

/** @return the name of @p standing for logs. @param standing the standing. */
char const* to_string(quarantine_status standing);
/** @return records as the value of a store key. @param records records. */
std::string encode_crash_records(std::vector<crash_record> const& records);
/** @return the records in @p value. @param value store value. @throw error bad_request when malformed. */
std::vector<crash_record> decode_crash_records(std::string const& value);

} // namespace cornelspring
