/**
 * @file failures.hpp Failures of backend servers as observed by all VMs together, without sockets or clock reads. A VM
 * sends few requests to each of some thousand servers, so that it learns too late by itself which of them fail.
 */
#pragma once

#include <cornelspring/base.hpp>

#include <functional>
#include <map>
#include <unordered_map>

namespace cornelspring {

/** Outcomes of attempts at one backend server. */
struct server_outcomes {
    std::string server;  ///< Id of the backend server.
    double answered = 0; ///< Attempts with a usable response.
    double failed = 0;   ///< Attempts without one.
};

/** What a VM tells the VM that collects the outcomes. */
struct failure_report {
    std::uint64_t epoch = 0;               ///< Epoch of the collector that the sender knows; 0: none.
    std::uint64_t known = 0;               ///< Last change that it knows.
    std::vector<server_outcomes> outcomes; ///< Outcomes since its last report.
};

/** Share of the attempts at a backend server that fail, in steps. */
struct failure_level {
    /** Steps from no failures to nothing but failures. */
    static constexpr int steps = 8;
    std::string server; ///< Id of the backend server.
    int level = 0;      ///< Failing share in steps; 0: it works.
};

/** The response to a report. */
struct failure_news {
    std::uint64_t epoch = 0;           ///< Identifies the collector's process.
    std::uint64_t last_change = 0;     ///< The news are complete up to this change.
    bool complete = false;             ///< Levels that are not listed are 0; otherwise they are as before.
    std::vector<failure_level> levels; ///< Levels, or those that have changed.
};

/** Collects the outcomes that all VMs report. */
class failure_collector {
public:
    /** @param epoch identifies this process; not 0. */
    explicit failure_collector(std::uint64_t epoch) : m_epoch(epoch) {}
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
};

/** This VM's recent outcomes, and what it knows of those of all VMs. */
class failure_log {
public:
    /** @param on_level called when the level of a backend server changes. */
    explicit failure_log(std::function<void(std::string const& server, int level)> on_level)
        : m_on_level(std::move(on_level))
    {
    }
    /** Records the outcome of an attempt. @param server id of the backend server. @param failed whether it failed.
     *  @param now current time. */
    void on_outcome(std::string const& server, bool failed, time_point now);
    /** @return whether a report is due soon: there are failures to report, or some server fails. */
    bool urgent() const { return m_new_failures || !m_levels.empty(); }
    /** Starts a report. @param now current time. @return the report. */
    failure_report start_report(time_point now);
    /** Applies the response to a report. @param news response. */
    void on_news(failure_news const& news);
    /** No collector has responded for a while: forgets all levels. */
    void on_no_collector();
    /** @return number of backend servers that fail, as far as this VM knows. */
    std::size_t failing() const { return m_levels.size(); }

private:
    /** Outcomes that were not reported yet. */
    struct unreported {
        double answered = 0;   ///< Decaying count of usable responses.
        double failed = 0;     ///< Failures.
        time_point updated_at; ///< When answered decayed last.
    };
    /** Sets a level. */
    void set_level(std::string const& server, int level);

    std::function<void(std::string const&, int)> m_on_level;  ///< Hook.
    std::unordered_map<std::string, unreported> m_unreported; ///< By server.
    std::unordered_map<std::string, int> m_levels;            ///< Levels above 0, by server.
    bool m_new_failures = false;                              ///< There are failures to report.
    std::uint64_t m_epoch = 0;                                ///< Epoch of the last news.
    std::uint64_t m_known = 0;                                ///< Last change in them.
};

/** @return @p report as the body of a call between gateways. @param report report. */
std::string encode_failure_report(failure_report const& report);
/** @return the report in @p body. @param body body. @throw error bad_request when malformed. */
failure_report decode_failure_report(std::string const& body);
/** @return @p news as the body of a response. @param news news. */
std::string encode_failure_news(failure_news const& news);
/** @return the news in @p body. @param body body. @throw error bad_request when malformed. */
failure_news decode_failure_news(std::string const& body);

} // namespace cornelspring
