/** @file backend_service.hpp The back-end stand-in: searches and writes within slots, with drain and fault injection.
 */
#pragma once

#include "corpus_index.hpp"

#include <cornelspring/transport.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace cornelspring {

/** One index version as a back end holds it. */
struct held_version {
    std::int64_t index_version = 1;   ///< Version.
    std::int32_t shard_count = 1;     ///< Shards the index is cut into at this version.
    std::vector<std::int32_t> shards; ///< Shards held.
};

/** What a back end holds and how many requests it runs at once. */
struct backend_config {
    std::string name;                   ///< Name reported in answers.
    std::string service;                ///< Service whose shards it holds.
    std::vector<held_version> versions; ///< Versions held at the start; more come by load_version().
    std::size_t slots = 2;              ///< Requests run at once; more are shed with 503.
    double work_ms = 0;                 ///< Mean time one request takes, on top of the search itself.
    std::int64_t cold_start_ms = 0;     ///< Time after the start during which requests take longer.
    std::int64_t cold_extra_ms = 0;     ///< How much longer.
};

/** Faults set through POST /v1/fault. */
struct backend_faults {
    std::int64_t delay_ms = 0;         ///< Extra time spent on a request chosen as a straggler.
    double delay_probability = 0;      ///< Chance that a request is a straggler.
    double shed_probability = 0;       ///< Chance that a request is shed though a slot is free.
    double garble_probability = 0;     ///< Chance that a search is answered with wrong bytes.
    double lost_reply_probability = 0; ///< Chance that a request runs and its answer never comes.
    bool draining = false;             ///< Refuse new work with 503 and say so on /healthz.
    bool health_lies = false;          ///< /healthz and /v1/load claim an idle, healthy back end whatever is true.
};

/** What a back end noted about one request. */
enum class journal_event {
    received, ///< A request for work arrived.
    refused,  ///< It was refused (shed, draining, or not held): it did not run.
    ran,      ///< It ran to its end.
};

/** One line of a back end's own log of work, kept for cross-checks. */
struct journal_entry {
    journal_event event = journal_event::received; ///< What happened.
    std::string id;                                ///< Request id or idempotency key.
    bool is_write = false;                         ///< Write, else search.
    std::int32_t shard = 0;                        ///< Shard.
    std::int64_t index_version = 0;                ///< Index version (searches).
    std::int64_t at_ms = 0;                        ///< Monotonic time in milliseconds.
};

/**
 * Serves shard searches and writes. The server task parses and checks each request; a pool of worker
 * threads, one per slot, runs them, so a straggler holds only its own slot. A request whose caller reset
 * its stream is dropped when a worker takes it, or while it waits.
 */
class backend_service {
public:
    /** Builds the indexes. @param config holdings. @param corpus documents; must outlive this. */
    backend_service(backend_config config, std::vector<document> const& corpus);
    /** Stops the workers. */
    ~backend_service();
    /** Handles one request. @param request request. @param reply answer sink. */
    void handle(http_request const& request, reply_fn reply);
    /** Marks the back end as draining: new searches are refused. */
    void start_drain();
    /** Sets the faults in force. @param faults faults. */
    void set_faults(backend_faults const& faults);
    /** Builds the indexes of another version. @param version what to hold. */
    void load_version(held_version const& version);
    /** Drops the indexes of a version. @param index_version version. */
    void drop_version(std::int64_t index_version);
    /** @return a copy of the journal. Thread-safe. */
    std::vector<journal_entry> journal() const;

private:
    using index_ptr = std::shared_ptr<shard_index const>;

    /** A request waiting for a worker. */
    struct job {
        shard_query query;                 ///< What to search (searches).
        shard_write write;                 ///< What to run (writes).
        bool is_write = false;             ///< Write, else search.
        index_ptr index;                   ///< Index searched; kept alive while the job waits.
        http_request request;              ///< Carries the cancel flag.
        time_point deadline;               ///< When the caller gives up.
        reply_fn reply;                    ///< Answer sink.
        std::int64_t work_duration_ms = 0; ///< Time to spend before the work.
        bool send_malformed = false;       ///< Answer with wrong bytes.
        bool lose_response = false;        ///< Run, then never answer.
    };

    /** Body of a worker: runs admitted jobs until the stop. */
    void run_worker();
    /** Runs one job and answers it. */
    void run(job& task);
    /** @return the answer to a search. */
    http_response search_response(job const& task) const;
    /** Sleeps for the job's pause. @return false when the caller gave it up meanwhile. */
    static bool simulate_work(job const& task, time_point started);
    /** Reads a search request and admits it. */
    void search(http_request const& request, reply_fn reply);
    /** Reads a write request and admits it. */
    void write(http_request const& request, reply_fn reply);
    /** Takes a free slot for @p task, or refuses it. */
    void admit(job task);
    /** Handles POST /v1/fault. */
    http_response handle_fault_request(nlohmann::json const& body);
    /** Handles POST /v1/versions: loads or drops an index version. */
    http_response handle_versions_request(nlohmann::json const& body);
    /** @return the journal as JSON. */
    http_response journal_response() const;
    /** @return what /healthz and /v1/load say, true or not. */
    http_response health_response() const;
    /** @return the index of a shard at a version, or null. */
    index_ptr find_index(std::int64_t version, std::int32_t shard) const;
    /** @return true with the given probability. */
    bool draw_chance(double probability);
    /** Adds a line to the journal; m_mutex is held. */
    void append_journal(journal_event event, job const& task);

    backend_config m_config;                                              ///< Limits.
    std::vector<document> const& m_corpus;                                ///< Documents.
    time_point m_started;                                                 ///< For the cold start.
    std::map<std::pair<std::int64_t, std::int32_t>, index_ptr> m_indexes; ///< Index by (version, shard).
    mutable std::mutex m_mutex;                                           ///< Guards indexes and the fields below.
    std::condition_variable m_ready;                                      ///< Signals a job or stop.
    std::deque<job> m_jobs;                                               ///< Waiting jobs.
    std::size_t m_busy = 0;                                               ///< Jobs accepted and not finished.
    backend_faults m_faults;                                              ///< Faults in force.
    std::deque<journal_entry> m_journal;                                  ///< Log of work, bounded.
    bool m_stopping = false;                                              ///< Workers should end.
    std::mt19937_64 m_random;           ///< Chooses stragglers; seeded by the name, so that back ends differ.
    std::vector<std::thread> m_workers; ///< One per slot.
};

} // namespace cornelspring
