/** @file state.hpp Resource model (services, back ends, routes), the entry node's configuration view, and merging. */
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
/** @return the kind named @p name. @param name kind name. @throw error bad_request when unknown. */
resource_kind parse_kind(std::string const& name);

/** A service: a sharded index that queries fan out over. */
struct service_spec {
    std::string customer;           ///< Customer that owns it (Rechtshilfe, Leeuwin).
    std::int32_t shards = 1;        ///< Shards of the index.
    std::int64_t index_version = 1; ///< Version that queries are pinned to.
};

/** The shards a back end holds of one index version; versions may be cut into different sets of shards. */
struct holding {
    std::int64_t index_version = 1;   ///< Index version.
    std::vector<std::int32_t> shards; ///< Shards held at that version.
};

/** A back end: a server holding replicas of some shards of one service. */
struct backend_spec {
    std::string address;           ///< host:port of its HTTP/2 listener.
    std::string service;           ///< Service whose shards it holds.
    std::string failure_domain;    ///< Failure domain (Wien, Perth, ...).
    std::vector<holding> holdings; ///< Shards held, per index version.
    std::int32_t slots = 2;        ///< Requests it runs at once.
    std::int32_t connections = 25; ///< Connections it accepts.
    bool draining = false;         ///< Operator marked it as leaving: send no new work.
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
    std::int64_t revision = 0; ///< Store mod_revision; on apply, the revision expected (0: any, -1: must not exist).
};

/** Prefix of every key this project keeps in the store. */
inline constexpr char const* key_prefix = "/cornelspring/";
/** Prefix of resource keys. */
inline constexpr char const* resource_prefix = "/cornelspring/resources/";
/** Prefix of entry-node membership keys (bound to leases). */
inline constexpr char const* member_prefix = "/cornelspring/members/";

/**
 * Prefix of the records of non-idempotent requests. It lies outside key_prefix, so that the entry nodes'
 * configuration watches do not carry one event per write.
 */
inline constexpr char const* write_prefix = "/cornelspring.writes/";

/** @return the store key of a resource. @param kind kind. @param name name. */
std::string resource_key(resource_kind kind, std::string const& name);

/** @return the JSON stored for @p value: {"kind","name","spec"}. @param value resource. */
nlohmann::json resource_to_json(resource const& value);
/**
 * Reads and checks one resource from JSON.
 * @param in {"kind","name","spec",["revision"]}.
 * @return the resource.
 * @throw error bad_request naming the field and the rule.
 */
resource resource_from_json(nlohmann::json const& in);
/**
 * Reads resources from a TOML file ([[service]], [[backend]], [[route]] tables) or a JSON file
 * (an array of resources, or {"resources": [...]}).
 * @param text file contents. @param source file name; ".json" selects JSON.
 * @return the resources: services, then back ends, then routes, each kind in file order (JSON: file order).
 * @throw error bad_request naming the resource and field.
 */
std::vector<resource> parse_resource_file(std::string const& text, std::string const& source);

/** An entry node as registered in the store. */
struct member {
    std::string id;             ///< Entry node id.
    std::string address;        ///< Caller-facing host:port.
    std::string failure_domain; ///< Failure domain.
};

/** A back end that can answer one shard at one version. */
struct replica {
    std::string name;           ///< Back end name.
    endpoint address;           ///< Where to send.
    std::string failure_domain; ///< Failure domain.
    std::int32_t slots = 2;     ///< Requests it runs at once.
};

/** Replicas of each shard of one service at one index version. */
using shard_replicas = std::vector<std::vector<replica>>;

/** An immutable snapshot of the configuration as one entry node knows it. */
struct config_snapshot {
    std::int64_t revision = 0;                    ///< Store revision it reflects.
    cluster_id cluster;                           ///< Cluster of the store that counts so.
    std::map<std::string, service_spec> services; ///< Services by name.
    std::map<std::string, backend_spec> backends; ///< Back ends by name.
    std::map<std::string, route_spec> routes;     ///< Routes by name.
    std::map<std::string, member> members;        ///< Entry nodes by id.
    /** Replicas by service and index version, rebuilt by build_routes(); queries only look it up. */
    std::map<std::pair<std::string, std::int64_t>, shard_replicas> routing;
    /** Rebuilds @c routing from the services and back ends; called once per change, not per query. */
    void build_routing();
    /**
     * @return back ends of @p service that hold @p shard at @p version and are not draining, in name order.
     * @param service service name. @param shard shard. @param version pinned version.
     */
    std::vector<replica> const& replicas(std::string const& service, std::int32_t shard, std::int64_t version) const;
};

/**
 * Holds the current snapshot for many readers and one writer (the watcher). Updates are monotonic:
 * a change at or below the revision already held is ignored, so configuration never reverts while the store's cluster
 * is the same.
 */
class config_view {
public:
    /** @return the current snapshot; never null. Thread-safe. */
    std::shared_ptr<config_snapshot const> current() const;
    /**
     * Replaces the whole state by a full read made at @p at.
     * @param kvs every key under key_prefix. @param at the read's revision. @param cluster the store's cluster.
     * @return false (and nothing changes) when @p at is older than the revision held of the same cluster.
     */
    bool reset(std::vector<key_value> const& kvs, std::int64_t revision, cluster_id const& cluster);
    /**
     * Applies watch events. @param events changes, oldest first. @param at the store revision they lead to.
     * @return false when nothing newer than the held revision was in them.
     */
    bool apply(std::vector<watch_event> const& events, std::int64_t revision);

private:
    /** Applies one key change to @p snapshot. */
    static void apply_event(config_snapshot& snapshot, watch_event const& event);

    mutable std::mutex m_mutex;                                                             ///< Guards m_current.
    std::shared_ptr<config_snapshot const> m_current = std::make_shared<config_snapshot>(); ///< Snapshot.
};

/**
 * Merges per-shard hit lists into the best @p k: by score, higher first, then by document id; a document
 * appearing twice is kept once.
 * @param lists hits of each shard, each best first. @param k hits wanted.
 * @return the merged hits.
 */
std::vector<hit> merge_top_k(std::vector<std::vector<hit>> const& lists, std::size_t k);

} // namespace cornelspring
