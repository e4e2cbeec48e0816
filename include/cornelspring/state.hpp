/** @file state.hpp Resource model (services, backend servers, routes), the entry node's view of them, and merging. */
#pragma once

#include <cornelspring/protocol.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <variant>

namespace cornelspring {

/** Kinds of declared resource. */
enum class resource_kind { service, backend, route };

/** @return "service", "backend" or "route". @param kind the kind. */
std::string to_string(resource_kind kind);
/** @return the kind named @p name. @param name kind name. @throw error bad_request when there is none. */
resource_kind parse_kind(std::string const& name);

/** A service: a sharded index that queries fan out over. */
struct service_spec {
    std::string customer;           ///< Customer that owns it (Rechtshilfe, Leeuwin).
    std::int32_t shards = 1;        ///< Shards of the index.
    std::int64_t index_version = 1; ///< Version that queries are pinned to.
};

/** The shards a backend server holds of one index version; versions may be split into different sets of shards. */
struct holding {
    std::int64_t index_version = 1;   ///< Index version.
    std::vector<std::int32_t> shards; ///< Shards held at that version.
};

/** A backend server, which holds some shards of one service. */
struct backend_spec {
    std::string address;           ///< host:port of its HTTP/2 listener.
    std::string service;           ///< Service whose shards it holds.
    std::string failure_domain;    ///< Failure domain (Wien, Perth, ...).
    std::vector<holding> holdings; ///< Shards held, per index version.
    std::int32_t slots = 2;        ///< Requests it runs at once.
    std::int32_t connections = 25; ///< Connections it accepts.
    bool draining = false;         ///< An operator is removing it: it gets no new requests.
};

/** A route: which customer's callers may reach which service. */
struct route_spec {
    std::string customer; ///< Customer.
    std::string service;  ///< Service reached.
};

/** A declared resource with its store revision. */
struct resource {
    resource_kind kind = resource_kind::service;               ///< Kind.
    std::string name;                                          ///< Name, unique within the kind.
    std::variant<service_spec, backend_spec, route_spec> spec; ///< Specification.
    std::int64_t revision = 0; ///< Its mod_revision; on apply, the expected one (0: any, -1: must not exist).
};

/** Prefix of all keys in the store except those with write_prefix. */
inline constexpr char const* key_prefix = "/cornelspring/";
/** Prefix of resource keys. */
inline constexpr char const* resource_prefix = "/cornelspring/resources/";
/** Prefix of the keys of entry nodes, which are bound to leases. */
inline constexpr char const* member_prefix = "/cornelspring/members/";

/**
 * Prefix of the records of non-idempotent requests. It lies outside key_prefix, so that the entry nodes'
 * configuration watches do not receive one event per write.
 */
inline constexpr char const* write_prefix = "/cornelspring.writes/";

/** @return the store key of a resource. @param kind kind. @param name name. */
std::string resource_key(resource_kind kind, std::string const& name);

/** @return the JSON form of @p value in the store: {"kind","name","spec"}. @param value resource. */
nlohmann::json resource_to_json(resource const& value);
/**
 * Reads and checks one resource from JSON.
 * @param in {"kind","name","spec",["revision"]}.
 * @return the resource.
 * @throw error bad_request that names the field and the rule.
 */
resource resource_from_json(nlohmann::json const& in);
/**
 * Reads resources from a TOML file ([[service]], [[backend]], [[route]] tables) or a JSON file
 * (an array of resources, or {"resources": [...]}).
 * @param text file contents. @param source file name; ".json" selects JSON.
 * @return the resources: services, then backend servers, then routes, each kind in file order (JSON: file order).
 * @throw error bad_request that names the resource and the field.
 */
std::vector<resource> parse_resource_file(std::string const& text, std::string const& source);

/** An entry node as registered in the store. */
struct member {
    std::string id;             ///< Entry node id.
    std::string address;        ///< Caller-facing host:port.
    std::string failure_domain; ///< Failure domain.
};

/** A replica: a backend server that holds a shard at a version. */
struct replica {
    std::string name;           ///< Name of the backend server.
    endpoint address;           ///< Its address.
    std::string failure_domain; ///< Failure domain.
    std::int32_t slots = 2;     ///< Requests it runs at once.
};

/** Replicas of each shard of one service at one index version. */
using shard_replicas = std::vector<std::vector<replica>>;

/** A snapshot of the configuration in the local copy of an entry node; immutable once it is published. */
struct config_snapshot {
    std::int64_t revision = 0;                    ///< Store revision.
    cluster_id cluster;                           ///< Cluster of the store that assigned the revision.
    std::map<std::string, service_spec> services; ///< Services by name.
    std::map<std::string, backend_spec> backends; ///< Backend servers by name.
    std::map<std::string, route_spec> routes;     ///< Routes by name.
    std::map<std::string, member> members;        ///< Entry nodes by id.
    /** Replicas by service and index version, rebuilt by build_routing(); queries only look them up. */
    std::map<std::pair<std::string, std::int64_t>, shard_replicas> routing;
    /** Rebuilds @c routing from the backend servers; called once per change, not per query. */
    void build_routing();
    /**
     * @return backend servers of @p service that hold @p shard at @p version and are not draining, in name order.
     * @param service service name. @param shard shard. @param version pinned version.
     */
    std::vector<replica> const& replicas(std::string const& service, std::int32_t shard, std::int64_t version) const;
};

/**
 * Holds the current snapshot for many readers and one writer (the watcher). Updates are monotonic: a change at or below
 * the current revision is ignored, so that the configuration never reverts while the store's cluster is the same.
 */
class config_view {
public:
    /** @return the current snapshot; never null. Thread-safe. */
    std::shared_ptr<config_snapshot const> current() const;
    /**
     * Replaces the complete contents by those of a full read.
     * @param kvs every key under key_prefix. @param revision the read's revision. @param cluster the store's cluster.
     * @return false, without a change, when @p revision is older than the current one of the same cluster.
     */
    bool reset(std::vector<key_value> const& kvs, std::int64_t revision, cluster_id const& cluster);
    /**
     * Applies watch events. @param events changes, oldest first. @param revision store revision after them.
     * @return false when none of them is newer than the current revision.
     */
    bool apply(std::vector<watch_event> const& events, std::int64_t revision);

private:
    /** Applies one key change to @p snapshot. */
    static void apply_event(config_snapshot& snapshot, watch_event const& event);

    mutable std::mutex m_mutex;                                                             ///< Guards m_current.
    std::shared_ptr<config_snapshot const> m_current = std::make_shared<config_snapshot>(); ///< Snapshot.
};

/**
 * Merges the hit lists of shards into the best @p k hits, by descending score, then by document id. A document that
 * appears more than once is kept once.
 * @param lists hits of each shard, best first. @param k maximum number of hits.
 * @return the merged hits.
 */
std::vector<hit> merge_top_k(std::vector<std::vector<hit>> const& lists, std::size_t k);

} // namespace cornelspring
