/** @file local_fleet.hpp A deployment inside one process: store, backend servers and entry nodes, with fault hooks. */
#pragma once

#include <cornelspring/coordination.hpp>

#include "backend/backend_service.hpp"
#include "store/store_service.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cornelspring::testing {

/** Longest wait for a condition that must become true. */
inline constexpr milliseconds condition_timeout{15000};

/** @return whether @p holds became true within condition_timeout. @param holds condition, polled. */
bool eventually(std::function<bool()> const& holds);

/** The store stand-in with its server. */
struct local_store {
    store_service service{100000};
    h2_server server;
    local_store();
    /** @return its address. */
    endpoint address() const { return {"127.0.0.1", server.port()}; }
    /** Sets the store's faults. */
    void set_faults(nlohmann::json const& body);
    /** Sets the state of a VM in the platform's VM list. */
    void set_vm_state(std::string const& address, std::string const& state);
    /** Sends @p body to @p path and waits for the response. @return the response. */
    http_response post(std::string const& path, nlohmann::json const& body);
    h2_client client; ///< Sends the calls above.
};

/** A backend stand-in with its server. */
struct local_backend {
    backend_service service;
    h2_server server;
    local_backend(backend_config config, std::vector<document> const& corpus);
    /** @return its address. */
    endpoint address() const { return {"127.0.0.1", server.port()}; }
};

/** Settings of an entry node in the fleet. */
struct entry_setup {
    gather_options gather;
    write_options write;
    std::int64_t lease_ttl_s = 2;
    milliseconds store_timeout{300};
    bool read_vm_list = false;
};

/** The components of one entry node, without its server for callers. */
struct local_entry {
    h2_client client;
    store_client store;
    config_view view;
    config_watcher watcher;
    backend_tracker tracker;
    scatter_gather gather;
    write_coordinator writes;
    std::unique_ptr<vm_list_watcher> vm_list;
    local_entry(endpoint const& store_address, std::string const& id, entry_setup const& setup);
    ~local_entry();
    /** Runs one query and waits for its result. @return the result. */
    gather_result query(query_request request);
    /** Runs one write and waits for its result. @return the result. */
    write_result write(write_request request);
};

/** @return the shards held by @p backend: backend server i of n holds shard s if s % n is i or i - 1 modulo n. */
std::vector<std::int32_t> shards_of_backend(std::size_t backend, std::size_t backends, std::int32_t shard_count);

/** A service "svc" on a few backend servers, and entry nodes in front of them, all in this process. */
class local_fleet {
public:
    /**
     * @param backends number of backend servers. @param entries number of entry nodes.
     * @param shards number of shards at version 1. @param slots slots of each backend server.
     * @param setup settings of the entry nodes.
     */
    local_fleet(std::size_t backends, std::size_t entries, std::int32_t shards, std::size_t slots,
                entry_setup const& setup = {});

    /** Writes the service and its backend servers to the store. @return the store revision after it. */
    std::int64_t publish();
    /** Waits until every entry node has applied @p revision. @return whether they did within condition_timeout. */
    bool wait_until_applied(std::int64_t revision);
    /** Loads index version @p version with @p shard_count shards on every backend server, without publishing it. */
    void load_version(std::int64_t version, std::int32_t shard_count);
    /** @return the hits that a query must return from @p shards at @p version, computed without the fleet. */
    std::vector<hit> expected_hits(std::int64_t version, std::set<std::int32_t> const& shards, std::string const& query,
                                   std::size_t k);
    /** @return number of shards of version @p version. */
    std::int32_t shard_count(std::int64_t version) const { return m_shard_counts.at(version); }
    /** @return the journal entries of all backend servers. */
    std::vector<journal_entry> journals() const;
    /** @return how many times the write @p key ran, on all backend servers. */
    int write_runs(std::string const& key) const;
    /** Clears the faults of the store and of the backend servers. */
    void clear_faults();

    std::vector<document> corpus;
    local_store store;
    std::vector<std::unique_ptr<local_backend>> backends;
    std::vector<std::unique_ptr<local_entry>> entries;
    std::int64_t published_version = 1; ///< Version that publish() pins the service to.
    std::set<std::int64_t> versions{1}; ///< Versions that publish() declares the backend servers to hold.

private:
    std::map<std::int64_t, std::int32_t> m_shard_counts;                              ///< Number of shards by version.
    std::map<std::pair<std::int64_t, std::int32_t>, shard_index> m_reference_indexes; ///< Indexes for expected_hits().
    h2_client m_client;                                                               ///< Used by publish().
};

} // namespace cornelspring::testing
