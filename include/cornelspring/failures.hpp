/**
 * @file failures.hpp Failures and slowness of backend servers as observed by all VMs together, without sockets or clock
 * reads. A VM sends few requests to each of some thousand servers, so that it learns too late by itself which of them
 * fail or are slow.
 */
#pragma once

#include <cornelspring/base.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace cornelspring {

/** Outcomes of attempts at one backend server. */
struct server_outcomes {
    std::string server;  ///< Id of the backend server.
    double answered = 0; ///< Attempts with a usable response.
    double failed = 0;   ///< Attempts without one.
    double measured = 0; ///< Attempts whose latency counts in mean_ms; independent of answered and failed.
    double mean_ms = 0;  ///< Their mean latency in milliseconds, without network time between regions.
};

/** What a VM tells the VM that collects the outcomes. */
struct failure_report {
    std::uint64_t epoch = 0;               ///< Epoch of the collector that the sender knows; 0: none.
    std::uint64_t known = 0;               ///< Last change that it knows.
    std::vector<server_outcomes> outcomes; ///< Outcomes since its last report.
    std::uint64_t sender = 0;              ///< Identifies the reporting process.
};

/** Share of the attempts at a backend server that fail, in steps. */
struct failure_level {
    /** Steps from no failures to nothing but failures. */
    static constexpr int steps = 8;
    std::string server; ///< Id of the backend server.
    int level = 0;      ///< Failing share in steps; 0: it works.
};

/** Latency of a backend server relative to the median of the servers of its service, in steps. */
struct server_slowness {
    /** Most steps, slower or faster. */
    static constexpr int max_step = 6;
    /** Latency ratio of one step. */
    static constexpr double step_ratio = 1.5;
    std::string server; ///< Id of the backend server.
    int step = 0;       ///< Above 0: slower than the median; below 0: faster.
};
/** @return the latency ratio of @p step: 1 for step 0. @param step step. */
double slowness_ratio(int step);

/** The response to a report. */
struct failure_news {
    std::uint64_t epoch = 0;           ///< Identifies the collector's process.
    std::uint64_t last_change = 0;     ///< The news are complete up to this change.
    bool complete = false;             ///< Levels and steps not listed are 0; otherwise they are as before.
    std::vector<failure_level> levels; ///< Levels, or those that have changed.
    std::vector<server_slowness> slow; ///< Steps, or those that have changed.
};

/**
 * Determines how slow each backend server is from the latencies that all VMs report, relative to the median of its
 * service. A server counts as slow only if its latest answers, at least four and from at least two VMs, say so, and if
 * it stayed slow over several collection intervals or is more than three times slower: a short pause of a server must
 * not send queries to other regions.
 */
class slowness_collector {
public:
    /** @return the service of a backend server; empty if the server is not known. */
    using service_lookup = std::function<std::string(std::string const& server)>;
    /** Length of a collection interval. */
    static constexpr milliseconds interval_length{250};

    /** @param service_of looks up the service of a server; without it, no server counts as slow. */
    explicit slowness_collector(service_lookup service_of) : m_service_of(std::move(service_of)) {}
    /** Adds the latencies in a report. @param report report. @param now current time. */
    void add(failure_report const& report, time_point now);
    /** Updates all steps if a collection interval has ended. @param now current time. @param last_change number of the
     *  last change; incremented for each changed step. */
    void update(time_point now, std::uint64_t& last_change);
    /** @return the steps that changed after change @p known. @param known number of a change. @param all all steps
     *  other than 0 instead. */
    std::vector<server_slowness> changes(std::uint64_t known, bool all) const;
    /** @return number of the last change whose server is no longer remembered. */
    std::uint64_t dropped_at() const { return m_dropped_at; }
    /** @return number of backend servers with recent answers. */
    std::size_t size() const { return m_servers.size(); }

private:
    /** Answers within one collection interval, or in one report. */
    struct interval {
        double answers = 0;  ///< Count.
        double total_ms = 0; ///< Sum of their latencies.
    };
    /** Recent answers of one backend server. */
    struct server_state {
        std::string service;               ///< Its service.
        std::array<interval, 9> intervals; ///< The current interval, then the ended ones, newest first.
        std::array<interval, 3> reports;   ///< Answers in the last reports, newest first.
        std::uint64_t last_reporter = 0;   ///< Sender of the last report on it.
        std::uint64_t other_reporter = 0;  ///< The last sender before, other than that one.
        time_point heard_at;               ///< When it was last reported on.
        time_point other_heard_at;         ///< When other_reporter last reported on it.
        int run = 0;                       ///< Intervals in a row in which it was slow (> 0) or fast (< 0).
        int step = 0;                      ///< Step as last changed.
        std::uint64_t change = 0;          ///< Number of that change.
    };
    /** @return the mean latency in the last intervals, or 0 if they have too few answers, or all of one VM. */
    static double mean_ms(server_state const& server, time_point now);
    /** @return the mean latency in the latest reports on an avoided server, which gets few requests; 0 if there are too
     *  few answers. */
    static double recovery_mean_ms(server_state const& server);
    /** @return the median latency in milliseconds of the servers of each service. */
    std::unordered_map<std::string, double> medians(time_point now) const;
    /** @return the step of @p server, whose service has the median latency @p median_ms. */
    static int next_step(server_state& server, double median_ms, time_point now);
    /** Ends @p count intervals. */
    static void shift(server_state& server, std::size_t count);

    service_lookup m_service_of;                             ///< Looks up services.
    std::unordered_map<std::string, server_state> m_servers; ///< By id.
    std::map<std::uint64_t, std::string> m_by_change;        ///< Ids by the change of their step.
    std::uint64_t m_dropped_at = 0;                          ///< Last change of a server that was dropped.
    time_point m_interval_start;                             ///< Start of the current interval.
};

/** Collects the outcomes that all VMs report: failures, and latencies through a slowness_collector. */
class failure_collector {
public:
    /** @param epoch identifies this process; not 0. @param service_of looks up the service of a server; without it,
     *  no server counts as slow. */
    explicit failure_collector(std::uint64_t epoch, slowness_collector::service_lookup service_of = {})
        : m_epoch(epoch), m_slowness(std::move(service_of))
    {
    }
    /** Adds a report. @param report the report. @param now current time. @return what its sender does not know yet. */
    failure_news add(failure_report const& report, time_point now);
    /** @return number of backend servers with recent failures. */
    std::size_t size() const { return m_servers.size(); }

private:
    /** Recent outcomes at one backend server. */
    struct server_state {
        double answered = 0;      ///< Decaying count.
        double failed = 0;        ///< Decaying count.
        time_point updated_at;    ///< When these decayed last.
        int level = 0;            ///< Level as last changed.
        std::uint64_t change = 0; ///< Number of that change.
    };
    /** Updates the level of a backend server. @param now current time. */
    void update(std::string const& id, server_state& server, time_point now);
    /** Updates all levels, about once a second, and drops the servers without recent failures. */
    void update_all(time_point now);

    std::uint64_t m_epoch;                                   ///< Identifies this process.
    std::uint64_t m_last_change = 0;                         ///< Number of the last change of a level.
    std::uint64_t m_dropped_at = 0;                          ///< Last change when a server was last dropped.
    time_point m_updated_at;                                 ///< When all levels were last updated.
    std::unordered_map<std::string, server_state> m_servers; ///< By id; only those with failures.
    std::map<std::uint64_t, std::string> m_by_change;        ///< Ids by the change of their level.
    slowness_collector m_slowness;                           ///< Latencies.
};

/** @return most servers per second whose latency a VM reports while they are not slow, at about 20 bytes each. With
 *  more VMs, each reports fewer, as the collector needs only so many. @param active_vms number of active VMs. */
double latency_entries(std::size_t active_vms);

/** Backend servers that became slow or stopped being slow. */
struct slow_server_changes {
    /** Most names in each list. */
    static constexpr std::size_t max_names = 5;
    std::size_t slow = 0;             ///< Number of slow servers now.
    std::vector<std::string> entered; ///< Some of those that became slow.
    std::vector<std::string> left;    ///< Some of those that are no longer slow.
    std::size_t entered_count = 0;    ///< Number of those that became slow.
    std::size_t left_count = 0;       ///< Number of those that are no longer slow.
};

/** This VM's recent outcomes, and what it knows of those of all VMs. */
class failure_log {
public:
    /** Called when a level or step changes. @param server backend server. @param value level or step. */
    using change_hook = std::function<void(std::string const& server, int value)>;
    /** @param on_level called when the failure level of a backend server changes. @param on_slowness called when its
     *  slowness step changes. */
    explicit failure_log(change_hook on_level, change_hook on_slowness = {})
        : m_on_level(std::move(on_level)), m_on_slowness(std::move(on_slowness))
    {
    }
    /** Records the outcome of an attempt. @param server id of the backend server. @param failed whether it failed.
     *  @param now current time. */
    void on_outcome(std::string const& server, bool failed, time_point now);
    /**
     * Records the latency of an attempt at a backend server of this VM's region, so that it contains no network time
     * between regions.
     * @param server id of the backend server. @param took_ms latency in milliseconds. @param usual_ms usual latency of
     * its service. @param now current time.
     */
    void on_latency(std::string const& server, double took_ms, double usual_ms, time_point now);
    /** @return whether a report is due soon: there are failures or slow answers to report, or some server fails or is
     *  slow. */
    bool urgent() const { return m_new_failures || m_new_slow || !m_levels.empty() || !m_steps.empty(); }
    /** Starts a report. @param now current time. @param latency_entries most servers per second that are reported for
     *  their latency only, as long as they are not slow. @return the report. */
    failure_report start_report(time_point now, double latency_entries = 0);
    /** Applies the response to a report. @param news response. */
    void on_news(failure_news const& news);
    /** No collector has responded for a while: forgets all levels and steps. */
    void on_no_collector();
    /** @return number of backend servers that fail, as far as this VM knows. */
    std::size_t failing() const { return m_levels.size(); }
    /** @return whether levels or steps are known. */
    bool informed() const { return !m_levels.empty() || !m_steps.empty(); }
    /** @return the slowness step of @p server; 0 if nothing is known. @param server id of the backend server. */
    int step(std::string const& server) const;
    /** @return number of slow backend servers, as far as this VM knows. */
    std::size_t slow() const;
    /** @return how the set of slow servers has changed since the last call. */
    slow_server_changes take_slow_changes();

private:
    /** Outcomes that were not reported yet. */
    struct unreported {
        double answered = 0;   ///< Decaying count of usable responses.
        double failed = 0;     ///< Failures.
        time_point updated_at; ///< When answered decayed last.
    };
    /** Latencies that were not reported yet. */
    struct latencies {
        int answers = 0;     ///< Count.
        double total_ms = 0; ///< Sum.
        int slow_run = 0;    ///< Slow answers in a row.
        time_point since;    ///< Time of the first.
    };
    /** Sets a level. */
    void set_level(std::string const& server, int level);
    /** Sets all steps and calls the hook for those that change. */
    void set_steps(std::unordered_map<std::string, int> steps);
    /** Adds the latencies that are due to @p report. */
    void add_latencies(failure_report& report, time_point now, double entries);

    change_hook m_on_level;                                   ///< Hook.
    change_hook m_on_slowness;                                ///< Hook.
    std::unordered_map<std::string, unreported> m_unreported; ///< By server.
    std::unordered_map<std::string, latencies> m_latencies;   ///< By server.
    std::unordered_map<std::string, int> m_levels;            ///< Levels above 0, by server.
    std::unordered_map<std::string, int> m_steps;             ///< Steps other than 0, by server.
    std::set<std::string> m_logged_slow;                      ///< Slow servers at the last take_slow_changes().
    bool m_new_failures = false;                              ///< There are failures to report.
    bool m_new_slow = false;                                  ///< Some server gave several slow answers in a row.
    double m_entries_left = 0;                                ///< Latency entries that may be reported now.
    time_point m_reported_at;                                 ///< Time of the last report.
    std::uint64_t m_epoch = 0;                                ///< Epoch of the last news.
    std::uint64_t m_known = 0;                                ///< Last change in them.
};

/** @return @p report as the body of a call between gateways. @param report report. */
std::string encode_failure_report(failure_report const& report);
/** @return the report in @p body. @param body body. @throw error bad_request when malformed: also for a name of more
 *  than 200 bytes, more than 20,000 entries, a count outside 0 to 1,000,000 or a latency outside 0 to 600,000 ms. */
failure_report decode_failure_report(std::string const& body);
/** @return @p news as the body of a response. @param news news. */
std::string encode_failure_news(failure_news const& news);
/** @return the news in @p body. @param body body. @throw error bad_request when malformed: also for a name of more than
 *  200 bytes, more than 20,000 entries, or a level or step outside its range. */
failure_news decode_failure_news(std::string const& body);

} // namespace cornelspring
