/** @file local_fleet.hpp A whole deployment inside one process: store, back ends and entry nodes, with fault hooks. */
#pragma once

#include <cornelspring/coordination.hpp>

#include "backend/backend_service.hpp"
#include "store/store_service.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cornelspring::testing {

/** Longest bounded wait for a condition that must come true. */
inline constexpr milliseconds condition_timeout{15000};

/** @return whether @p holds came true within condition_timeout. @param holds condition, polled. */
bool eventually(std::function<bool()> const& holds);

/** The store stand-in with its server. */
struct local_store {
    store_service service{100000};
    h2_server server;
    local_store();
    /** @return its address. */
    endpoint address() const { return {"127.0.0.1", server.port()}; }
    /** Sets faults, on the server's thread. */
    void set_faults(nlohmann::json const& body);
    /** Marks a VM, as the platform would. */
    void set_vm_state(std::string const& address, std::string const& state);
    /** Sends @p body to @p path and waits. @return the response. */
    http_response post(std::string const& path, nlohmann::json const& body);
    h2_client client; ///< For the fault calls above.
};

/** A back-end stand-in with its server. */
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

/** The parts of one entry node, without its caller-facing server. */
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
    /** Runs one query and waits. */
    gather_result query(query_request request);
    /** Runs one write and waits. */
    write_result write(write_request request);
};

/** Which back ends hold what: back end i of n holds shard s when s % n is i or i - 1 (two replicas each). */
std::vector<std::int32_t> shards_of_backend(std::size_t backend, std::size_t backends, std::int32_t shard_count);

/** A service "svc" over a few back ends and entry nodes, all in this process. */
class local_fleet {
public:
    /** @param backends back ends. @param entries entry nodes. @param shards shards at version 1. @param slots slots
     * each. */
    local_fleet(std::size_t backends, std::size_t entries, std::int32_t shards, std::size_t slots,
                entry_setup const& setup = {});

    /** Writes the service and its back ends to the store. @return the store revision after it. */
    std::int64_t publish();
    /** Waits until every entry node has applied @p revision. */
    bool wait_until_applied(std::int64_t revision);
    /** Loads version @p version cut into @p shard_count on every back end (not yet published). */
    void load_version(std::int64_t version, std::int32_t shard_count);
    /** @return the hits that the whole index, restricted to @p shards at @p version, must give. */
    std::vector<hit> expected_hits(std::int64_t version, std::set<std::int32_t> const& shards, std::string const& query,
                                   std::size_t k);
    /** @return shards of version @p version. */
    std::int32_t shard_count(std::int64_t version) const { return m_shard_counts.at(version); }
    /** @return events of every back end's journal. */
    std::vector<journal_entry> journals() const;
    /** @return how often the write @p key ran, over all back ends. */
    int write_runs(std::string const& key) const;
    /** Removes every fault. */
    void clear_faults();

    std::vector<document> corpus;
    local_store store;
    std::vector<std::unique_ptr<local_backend>> backends;
    std::vector<std::unique_ptr<local_entry>> entries;
    std::int64_t published_version = 1; ///< Version the service is pinned to by publish().
    std::set<std::int64_t> versions{1}; ///< Versions the back ends hold, as published.

private:
    std::map<std::int64_t, std::int32_t> m_shard_counts;                              ///< Shards by version.
    std::map<std::pair<std::int64_t, std::int32_t>, shard_index> m_reference_indexes; ///< Indexes for expected().
    h2_client m_client;                                                               ///< For publish().
};

} // namespace cornelspring::testing
