/** @file protocol.hpp Typed messages between callers, entry nodes, back ends and the store, with JSON codecs. */
#pragma once

#include <cornelspring/base.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelspring {

/** Paths of the interfaces, in one place. */
namespace paths {
inline constexpr char const* query = "/v1/query";               ///< Caller: search a service.
inline constexpr char const* writes = "/v1/writes";             ///< Caller: run a non-idempotent request.
inline constexpr char const* entries = "/v1/entries";           ///< Caller: which entry addresses to use.
inline constexpr char const* health = "/healthz";               ///< Liveness and drain state.
inline constexpr char const* metrics = "/metrics";              ///< Prometheus text.
inline constexpr char const* shard_search = "/v1/shard/search"; ///< Entry to back end: search one shard.
inline constexpr char const* shard_write = "/v1/shard/write";   ///< Entry to back end: run a write.
inline constexpr char const* journal = "/v1/journal";           ///< Back-end stand-in: what it received and ran.
inline constexpr char const* load_version = "/v1/versions";     ///< Back-end stand-in: load another index version.
inline constexpr char const* stats = "/v1/stats";               ///< Store stand-in: calls served, by path.
inline constexpr char const* vms = "/v1/vms";                   ///< Platform stand-in: live and leaving VMs.
inline constexpr char const* backend_load = "/v1/load";         ///< Back end's own load report (may mislead).
inline constexpr char const* fault = "/v1/fault";               ///< Fault injection of a stand-in.
} // namespace paths

/** Response header by which a back end says, with a 503, that it is leaving rather than merely busy. */
inline constexpr char const* draining_header = "x-draining";

/** One ranked hit. */
struct hit {
    std::uint64_t doc = 0; ///< Document number in the corpus.
    double score = 0;      ///< Relevance; higher is better.
    std::string text;      ///< The document's text.
};

/** Request from an entry node to a back end for one shard. */
struct shard_query {
    std::string request_id;         ///< Caller's request id, carried end to end.
    std::string service;            ///< Service name.
    std::int32_t shard = 0;         ///< Shard number.
    std::int64_t index_version = 0; ///< Version the answer must come from.
    std::vector<std::string> terms; ///< Lower-case search terms.
    std::int32_t k = 10;            ///< Hits wanted.
    std::int64_t deadline_ms = 0;   ///< Time left for the back end, in milliseconds.
};

/** Answer of a back end for one shard. */
struct shard_response {
    std::string request_id;         ///< Echo of the request id.
    std::string service;            ///< Echo of the service.
    std::int32_t shard = 0;         ///< Echo of the shard.
    std::int64_t index_version = 0; ///< Version the hits come from.
    std::string backend;            ///< Name of the back end that answered.
    std::vector<hit> hits;          ///< Best hits of the shard, best first.
};

/** A caller's search request. */
struct query_request {
    std::string service;          ///< Service to search.
    std::string query;            ///< Free text; split into terms.
    std::int32_t k = 10;          ///< Hits wanted, 1 to max_k.
    std::int64_t deadline_ms = 0; ///< Time budget in milliseconds; 0 takes the entry node's default.
    std::string request_id;       ///< Caller's id; the entry node makes one when empty.
};

/** Largest k a caller may ask for. */
inline constexpr std::int32_t max_k = 100;
/** Longest deadline a caller may ask for, in milliseconds. */
inline constexpr std::int64_t max_deadline_ms = 60000;

/** The answer to a caller's search. */
struct query_response {
    std::string request_id;            ///< Echo of the caller's id.
    std::string service;               ///< Service searched.
    std::int64_t index_version = 0;    ///< The one snapshot every hit comes from.
    std::int32_t shards_total = 0;     ///< Shards the service has.
    std::int32_t shards_answered = 0;  ///< Shards whose hits are included.
    double coverage = 0;               ///< shards_answered / shards_total.
    std::vector<std::int32_t> missing; ///< Shards that did not contribute.
    std::vector<hit> hits;             ///< Merged best hits, best first.
};

/** A caller's non-idempotent request, such as a booking. */
struct write_request {
    std::string service;          ///< Service it goes to.
    std::string idempotency_key;  ///< Names the request; the same key never runs twice.
    std::string entity;           ///< What it concerns; its hash picks the shard.
    std::string body;             ///< Passed to the back end unread.
    std::int64_t deadline_ms = 0; ///< Time budget in milliseconds; 0 takes the entry node's default.
};

/** The answer to a non-idempotent request that ran. */
struct write_response {
    std::string idempotency_key; ///< Echo of the key.
    std::string service;         ///< Service.
    std::string result;          ///< What the back end returned.
    std::string backend;         ///< Back end that ran it.
    bool replayed = false;       ///< True when it ran for an earlier submission of the same key.
};

/** Request from an entry node to a back end to run a write. */
struct shard_write {
    std::string idempotency_key;  ///< The caller's key.
    std::string service;          ///< Service.
    std::int32_t shard = 0;       ///< Shard of the entity.
    std::string body;             ///< The caller's body.
    std::int64_t deadline_ms = 0; ///< Time left, in milliseconds.
};

/** States of the record of a non-idempotent request. */
enum class write_state {
    claimed,  ///< An entry node may send it, or has sent it.
    released, ///< Claimed once, but certainly never ran: may be claimed again.
    done,     ///< Ran; the result is in the record.
    unknown,  ///< Sent, and whether it ran is not known: never sent again.
};

/** Record of a non-idempotent request, kept in the store under write_prefix. */
struct write_record {
    write_state state = write_state::claimed; ///< State.
    std::string claim;                        ///< Unique id of the claim that wrote it.
    std::string owner;                        ///< Entry node that made the claim.
    std::string fingerprint;                  ///< Hash of the request, to refuse another request under the same key.
    std::string result;                       ///< Result, when done.
    std::string backend;                      ///< Back end that ran it, when done.
};

/** Entry addresses a caller may use and how long to keep them. */
struct entry_list {
    std::vector<std::string> addresses; ///< host:port of live entry nodes, nearest first.
    std::int64_t ttl_s = 0;             ///< Seconds to keep this list before asking again.
};

/**
 * Parses JSON text into a message type.
 * @tparam T a message type with a from_json.
 * @param text the JSON.
 * @param what name of the message, for the error.
 * @return the message.
 * @throw error bad_request naming the field that is wrong.
 */
template <class T> T parse_message(std::string const& text, char const* what)
{
    try {
        return nlohmann::json::parse(text).get<T>();
    } catch (nlohmann::json::exception const& failure) {
        throw error(error_kind::bad_request, std::string("malformed ") + what + ": " + failure.what(),
                    "Send a JSON object with the fields of the API reference.");
    }
}

void to_json(nlohmann::json& out, hit const& value);             ///< Encodes a hit.
void from_json(nlohmann::json const& in, hit& value);            ///< Decodes a hit.
void to_json(nlohmann::json& out, shard_query const& value);     ///< Encodes a shard query.
void from_json(nlohmann::json const& in, shard_query& value);    ///< Decodes a shard query.
void to_json(nlohmann::json& out, shard_response const& value);  ///< Encodes a shard answer.
void from_json(nlohmann::json const& in, shard_response& value); ///< Decodes a shard answer.
void to_json(nlohmann::json& out, query_request const& value);   ///< Encodes a caller query.
void from_json(nlohmann::json const& in, query_request& value);  ///< Decodes and checks a caller query.
void to_json(nlohmann::json& out, query_response const& value);  ///< Encodes a caller answer.
void from_json(nlohmann::json const& in, query_response& value); ///< Decodes a caller answer.
void to_json(nlohmann::json& out, write_request const& value);   ///< Encodes a write.
void from_json(nlohmann::json const& in, write_request& value);  ///< Decodes and checks a write.
void to_json(nlohmann::json& out, write_response const& value);  ///< Encodes a write's answer.
void from_json(nlohmann::json const& in, write_response& value); ///< Decodes a write's answer.
void to_json(nlohmann::json& out, shard_write const& value);     ///< Encodes a shard write.
void from_json(nlohmann::json const& in, shard_write& value);    ///< Decodes a shard write.
void to_json(nlohmann::json& out, write_record const& value);    ///< Encodes a write record.
void from_json(nlohmann::json const& in, write_record& value);   ///< Decodes a write record.
void to_json(nlohmann::json& out, entry_list const& value);      ///< Encodes an entry list.
void from_json(nlohmann::json const& in, entry_list& value);     ///< Decodes an entry list.

/** @return the SHA-256 of @p text as hex (OpenSSL). @param text bytes. */
std::string fingerprint(std::string const& text);
/** @return the shard of @p entity among @p shards, the same on every entry node. @param entity id. @param shards > 0.
 */
std::int32_t shard_of_entity(std::string const& entity, std::int32_t shards);

/** @return the lower-case words of @p text, split at anything that is not a letter or digit. @param text query. */
std::vector<std::string> split_terms(std::string const& text);

// ---- The platform store's API, in the shape of etcd v3's JSON gateway ----

/** Paths of the store API (etcd v3 JSON gateway). */
namespace store_paths {
inline constexpr char const* range = "/v3/kv/range";                  ///< Read keys.
inline constexpr char const* put = "/v3/kv/put";                      ///< Write a key.
inline constexpr char const* delete_range = "/v3/kv/deleterange";     ///< Delete keys.
inline constexpr char const* txn = "/v3/kv/txn";                      ///< Compare-and-swap.
inline constexpr char const* lease_grant = "/v3/lease/grant";         ///< New lease.
inline constexpr char const* lease_keepalive = "/v3/lease/keepalive"; ///< Renew a lease.
inline constexpr char const* lease_revoke = "/v3/lease/revoke";       ///< End a lease.
inline constexpr char const* watch = "/v3/watch";                     ///< Wait for changes.
} // namespace store_paths

/** A stored key and value with its revisions (etcd's mvccpb.KeyValue). */
struct key_value {
    std::string key;                  ///< Key (raw bytes; base64 on the wire).
    std::string value;                ///< Value (raw bytes; base64 on the wire).
    std::int64_t create_revision = 0; ///< Revision that created the key.
    std::int64_t mod_revision = 0;    ///< Revision of the last write.
    std::int64_t version = 0;         ///< Writes since creation.
    std::int64_t lease = 0;           ///< Lease the key is bound to, or 0.
};

/** One change seen by a watch. */
struct watch_event {
    bool is_delete = false; ///< DELETE, else PUT.
    key_value kv;           ///< Key after the change (for DELETE, the key and mod_revision).
};

/** What a comparison in a transaction looks at. */
enum class compare_target { mod_revision, version, create_revision, value };

/** One comparison of a transaction; only EQUAL is used by this project. */
struct compare {
    std::string key;                                      ///< Key compared.
    compare_target target = compare_target::mod_revision; ///< What is compared.
    std::int64_t number = 0;                              ///< Expected revision or version (0: the key does not exist).
    std::string value;                                    ///< Expected value for target value.
};

/** One operation of a transaction. */
struct txn_op {
    enum class kind { put, remove, range } op = kind::put; ///< What it does.
    std::string key;                                       ///< Key.
    std::string range_end;                                 ///< End of range for remove and range, or "".
    std::string value;                                     ///< Value for put.
    std::int64_t lease = 0;                                ///< Lease for put.
};

/** A compare-and-swap transaction. */
struct txn_request {
    std::vector<compare> compares; ///< All must hold.
    std::vector<txn_op> success;   ///< Run when they hold.
    std::vector<txn_op> failure;   ///< Run when one does not.
};

/** Result of a transaction. */
struct txn_result {
    bool succeeded = false;           ///< Whether the compares held.
    std::int64_t revision = 0;        ///< Store revision after it.
    std::vector<key_value> range_kvs; ///< Keys read by range operations.
};

/** @return the base64 form of @p raw. @param raw bytes. */
std::string base64_encode(std::string const& raw);
/** @return the bytes of base64 @p text. @param text base64. @throw error bad_request when malformed. */
std::string base64_decode(std::string const& text);
/** @return an int64 from a JSON number or a decimal string (etcd writes int64 as strings). @param value field. */
std::int64_t json_int64(nlohmann::json const& value);
/** @return the smallest key greater than every key starting with @p prefix (etcd's prefix range end). */
std::string prefix_end(std::string const& prefix);

void to_json(nlohmann::json& out, key_value const& value);    ///< Encodes a key-value (base64, int64 as strings).
void from_json(nlohmann::json const& in, key_value& value);   ///< Decodes a key-value.
void to_json(nlohmann::json& out, txn_request const& value);  ///< Encodes a transaction.
void from_json(nlohmann::json const& in, txn_request& value); ///< Decodes a transaction.

} // namespace cornelspring
