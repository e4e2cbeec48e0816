/** @file backend_service.hpp The back-end stand-in: shard search within slots, with drain and fault injection. */
#pragma once

#include "corpus_index.hpp"

#include <cornelspring/transport.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <thread>

namespace cornelspring {

/** What a back end holds and how many requests it runs at once. */
struct backend_config {
    std::string name;                   ///< Name reported in answers.
    std::string service;                ///< Service whose shards it holds.
    std::int32_t shard_count = 1;       ///< Shards of the service.
    std::vector<std::int32_t> shards;   ///< Shards held.
    std::vector<std::int64_t> versions; ///< Index versions held.
    std::size_t slots = 2;              ///< Requests run at once; more are shed with 503.
};

/** Faults set through POST /v1/fault. */
struct backend_faults {
    std::int64_t delay_ms = 0;    ///< Extra time spent on a request chosen as a straggler.
    double delay_probability = 0; ///< Chance that a request is a straggler.
    bool draining = false;        ///< Refuse new work with 503 and say so on /healthz.
};

/**
 * Serves shard searches. The server task parses and checks each request; a pool of worker threads, one per
 * slot, runs the searches, so a straggler holds only its own slot.
 */
class backend_service {
public:
    /** Builds the indexes. @param config holdings. @param corpus documents. */
    backend_service(backend_config config, std::vector<document> const& corpus);
    /** Stops the workers. */
    ~backend_service();
    /** Handles one request. @param request request. @param reply answer sink. */
    void handle(http_request const& request, reply_fn reply);
    /** Marks the back end as draining: new searches are refused. */
    void begin_drain();

private:
    /** A search waiting for a worker. */
    struct job {
        shard_query query;     ///< What to search.
        time_point deadline;   ///< When the caller gives up.
        reply_fn reply;        ///< Answer sink.
        bool straggle = false; ///< Chosen as a straggler.
    };

    /** Runs jobs until stopped. */
    void work();
    /** Runs one job. */
    void run(job& task);
    /** Handles a search request on the server thread. */
    void search(http_request const& request, reply_fn reply);
    /** @return the index for the version and shard, or null. */
    shard_index const* find_index(std::int64_t version, std::int32_t shard) const;

    backend_config m_config;                                                ///< Holdings.
    std::map<std::pair<std::int64_t, std::int32_t>, shard_index> m_indexes; ///< Index by (version, shard).
    std::mutex m_mutex;                                                     ///< Guards the fields below.
    std::condition_variable m_ready;                                        ///< Signals a job or stop.
    std::deque<job> m_jobs;                                                 ///< Waiting jobs.
    std::size_t m_busy = 0;                                                 ///< Jobs accepted and not finished.
    backend_faults m_faults;                                                ///< Faults in force.
    bool m_stopping = false;                                                ///< Workers should end.
    std::mt19937_64 m_random{12345};                                        ///< Chooses stragglers.
    std::vector<std::thread> m_workers;                                     ///< One per slot.
};

} // namespace cornelspring
