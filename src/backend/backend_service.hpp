/** @file backend_service.hpp Stand-in for a backend server: searches and writes with limited concurrency, draining and
 *  fault injection. */
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

/** The shards of one index version that a backend server holds. */
struct held_version {
    std::int64_t index_version = 1;   ///< Index version.
    std::int32_t shard_count = 1;     ///< Number of shards of this index version.
    std::vector<std::int32_t> shards; ///< Numbers of the shards held.
};

/** Shards, concurrency and simulated run times of a backend server. */
struct backend_config {
    std::string name;                   ///< Name reported in responses.
    std::string service;                ///< Service to which the shards belong.
    std::vector<held_version> versions; ///< Index versions loaded at the start; load_version() adds more.
    std::size_t slots = 2;              ///< Requests run concurrently; further ones are rejected with 503.
    double work_ms = 0;                 ///< Mean simulated run time of a request, in addition to the search itself.
    std::int64_t cold_start_ms = 0;     ///< Time after the start during which requests take longer (cold caches).
    std::int64_t cold_extra_ms = 0;     ///< Additional run time of a request during the cold start.
};

/** Simulated faults, set through POST /v1/fault. */
struct backend_faults {
    std::int64_t delay_ms = 0;         ///< Additional run time of a straggler.
    double delay_probability = 0;      ///< Probability that a request is a straggler.
    double shed_probability = 0;       ///< Probability that a request is rejected although a slot is free.
    double garble_probability = 0;     ///< Probability that the response to a search is malformed.
    double lost_reply_probability = 0; ///< Probability that a request runs and its response is not sent.
    bool draining = false;             ///< Reject new requests with 503 and report it on /healthz.
    bool health_lies = false;          ///< /healthz and /v1/load always report an idle, healthy server.
};

/** Kinds of journal entries. */
enum class journal_event {
    received, ///< A request was received.
    refused,  ///< It was rejected (no free slot, draining, or shard not held) and did not run.
    ran,      ///< It ran and finished.
};

/** One journal entry. Tests compare the journal with the responses that callers received. */
struct journal_entry {
    journal_event event = journal_event::received; ///< Kind of entry.
    std::string id;                                ///< Request id of a search, idempotency key of a write.
    bool is_write = false;                         ///< True for a write, false for a search.
    std::int32_t shard = 0;                        ///< Shard.
    std::int64_t index_version = 0;                ///< Index version (searches only).
    std::int64_t at_ms = 0;                        ///< Time of the entry, steady clock, in milliseconds.
};

/**
 * Serves shard searches and writes. The server's thread parses and checks each request; a pool of worker
 * threads, one per slot, runs them, so that a straggler occupies only its own slot. A request whose caller
 * has reset its stream is not run: the flag is checked during the simulated run time.
 */
class backend_service {
public:
    /** Builds the indexes. @param config configuration. @param corpus documents; must outlive this object. */
    backend_service(backend_config config, std::vector<document> const& corpus);
    /** Finishes the accepted jobs and stops the worker threads. */
    ~backend_service();
    /** Handles one request. @param request request. @param reply receives the response. */
    void handle(http_request const& request, respond_fn reply);
    /** Starts draining: new searches and writes are rejected. */
    void start_drain();
    /** Sets the active faults. @param faults faults. */
    void set_faults(backend_faults const& faults);
    /** Builds the indexes of another version. @param version index version and its shards. */
    void load_version(held_version const& version);
    /** Removes the indexes of a version. @param index_version version. */
    void drop_version(std::int64_t index_version);
    /** @return a copy of the journal. Thread-safe. */
    std::vector<journal_entry> journal() const;

private:
    using index_ptr = std::shared_ptr<shard_index const>;

    /** A request waiting for a worker. */
    struct job {
        shard_query query;     ///< Search to run (searches only).
        shard_write write;     ///< Write to run (writes only).
        bool is_write = false; ///< True for a write, false for a search.
        index_ptr index;       ///< Index to search; held so that drop_version() can not destroy it meanwhile.
        http_request request;  ///< Request; holds the cancellation flag.
        time_point deadline;   ///< Time after which the caller no longer waits.
        respond_fn reply;      ///< Receives the response.
        std::int64_t work_duration_ms = 0; ///< Simulated run time.
        bool send_malformed = false;       ///< Send a malformed response.
        bool lose_response = false;        ///< Run, but send no response.
    };

    /** Main function of a worker thread: runs accepted jobs until the service stops. */
    void run_worker();
    /** Runs one job and sends its response. */
    void run(job& task);
    /** @return the response to a search. */
    http_response search_response(job const& task) const;
    /** Sleeps for the job's simulated run time. @return false when the caller canceled the request meanwhile. */
    static bool simulate_work(job const& task, time_point started);
    /** Parses a search request and admits it. */
    void search(http_request const& request, respond_fn reply);
    /** Parses a write request and admits it. */
    void write(http_request const& request, respond_fn reply);
    /** Assigns a free slot to @p task, or rejects it. */
    void admit(job task);
    /** Handles POST /v1/fault. */
    http_response handle_fault_request(nlohmann::json const& body);
    /** Handles POST /v1/versions: loads or removes an index version. */
    http_response handle_versions_request(nlohmann::json const& body);
    /** @return the journal as JSON. */
    http_response journal_response() const;
    /** @return the response of /healthz and /v1/load; wrong on purpose while health_lies is set. */
    http_response health_response() const;
    /** @return the index of a shard at an index version, or null. */
    index_ptr find_index(std::int64_t version, std::int32_t shard) const;
    /** @return true with the given probability. */
    bool draw_chance(double probability);
    /** Adds an entry to the journal; the caller holds m_mutex. */
    void append_journal(journal_event event, job const& task);

    backend_config m_config;               ///< Configuration.
    std::vector<document> const& m_corpus; ///< Documents.
    time_point m_started;                  ///< Start of the service, for the simulated cold start.
    std::map<std::pair<std::int64_t, std::int32_t>, index_ptr> m_indexes; ///< Indexes by (version, shard).
    mutable std::mutex m_mutex;                                           ///< Guards indexes and the fields below.
    std::condition_variable m_ready;                                      ///< Signals a new job or the stop.
    std::deque<job> m_jobs;                                               ///< Jobs not yet taken by a worker.
    std::size_t m_busy = 0;                                               ///< Jobs accepted and not yet finished.
    backend_faults m_faults;                                              ///< Active faults.
    std::deque<journal_entry> m_journal;                                  ///< Journal, bounded by journal_limit.
    bool m_stopping = false;                                              ///< Worker threads stop once no job is left.
    std::mt19937_64 m_random;           ///< Draws run times and faults; seeded by the name, so that servers differ.
    std::vector<std::thread> m_workers; ///< Worker threads, one per slot.
};

} // namespace cornelspring
