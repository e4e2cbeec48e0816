/** @file kv_store.cpp Items, revisions, transactions, leases and watch history of the store stand-in. */
#include "kv_store.hpp"

namespace cornelspring {

kv_store::kv_store(std::size_t history_limit) : m_history_limit(history_limit) {}

bool kv_store::in_range(std::string const& key, std::string const& start, std::string const& range_end)
{
    if (range_end.empty()) return key == start;
    if (range_end == std::string(1, '\0')) return key >= start;
    return key >= start && key < range_end;
}

std::int64_t kv_store::open_revision()
{
    if (!m_revision_open) {
        ++m_revision;
        m_revision_open = true;
    }
    return m_revision;
}

void kv_store::record(watch_event event)
{
    m_history.push_back(std::move(event));
    while (m_history.size() > m_history_limit) {
        m_compacted = m_history.front().kv.mod_revision;
        m_history.pop_front();
    }
}

std::int64_t kv_store::put(std::string const& key, std::string const& value, std::int64_t lease)
{
    if (lease != 0 && m_leases.count(lease) == 0) {
        throw error(error_kind::not_found, "lease " + std::to_string(lease) + " does not exist.",
                    "Grant a new lease and write again.");
    }
    std::int64_t const rev = open_revision();
    auto& entry = m_data[key];
    if (entry.version == 0) entry.create_revision = rev;
    if (entry.lease != 0 && entry.lease != lease) {
        auto found = m_leases.find(entry.lease);
        if (found != m_leases.end()) found->second.keys.erase(key);
    }
    entry.key = key;
    entry.value = value;
    entry.mod_revision = rev;
    ++entry.version;
    entry.lease = lease;
    if (lease != 0) m_leases[lease].keys.insert(key);
    record({false, entry});
    m_revision_open = false;
    return rev;
}

std::vector<key_value> kv_store::range(std::string const& key, std::string const& range_end) const
{
    std::vector<key_value> found;
    if (range_end.empty()) {
        auto it = m_data.find(key);
        if (it != m_data.end()) found.push_back(it->second);
        return found;
    }
    for (auto it = m_data.lower_bound(key); it != m_data.end() && in_range(it->first, key, range_end); ++it) {
        found.push_back(it->second);
    }
    return found;
}

void kv_store::erase_key(std::string const& key)
{
    auto it = m_data.find(key);
    if (it == m_data.end()) return;
    if (it->second.lease != 0) {
        auto lease = m_leases.find(it->second.lease);
        if (lease != m_leases.end()) lease->second.keys.erase(key);
    }
    key_value deleted;
    deleted.key = key;
    deleted.mod_revision = open_revision();
    record({true, deleted});
    m_data.erase(it);
}

std::int64_t kv_store::remove(std::string const& key, std::string const& range_end)
{
    auto const matching = range(key, range_end);
    for (auto const& kv : matching)
        erase_key(kv.key);
    m_revision_open = false;
    return static_cast<std::int64_t>(matching.size());
}

bool kv_store::holds(compare const& c) const
{
    auto it = m_data.find(c.key);
    bool const exists = it != m_data.end();
    switch (c.target) {
    case compare_target::mod_revision: return (exists ? it->second.mod_revision : 0) == c.number;
    case compare_target::version: return (exists ? it->second.version : 0) == c.number;
    case compare_target::create_revision: return (exists ? it->second.create_revision : 0) == c.number;
    case compare_target::value: return exists && it->second.value == c.value;
    }
    return false;
}

void kv_store::apply(txn_op const& op, txn_result& result)
{
    switch (op.op) {
    case txn_op::kind::put: {
        put(op.key, op.value, op.lease);
        m_revision_open = true; // All writes of a transaction have the same revision.
        break;
    }
    case txn_op::kind::remove:
        for (auto const& kv : range(op.key, op.range_end))
            erase_key(kv.key);
        break;
    case txn_op::kind::range: {
        auto kvs = range(op.key, op.range_end);
        result.range_kvs.insert(result.range_kvs.end(), kvs.begin(), kvs.end());
        break;
    }
    }
}

txn_result kv_store::txn(txn_request const& request)
{
    txn_result result;
    result.succeeded = true;
    for (auto const& c : request.compares)
        result.succeeded = result.succeeded && holds(c);
    for (auto const& op : result.succeeded ? request.success : request.failure) {
        if (op.op == txn_op::kind::put && op.lease != 0 && m_leases.count(op.lease) == 0) {
            throw error(error_kind::not_found, "lease " + std::to_string(op.lease) + " does not exist.",
                        "Grant a new lease and write again.");
        }
    }
    for (auto const& op : result.succeeded ? request.success : request.failure)
        apply(op, result);
    m_revision_open = false;
    result.revision = m_revision;
    return result;
}

std::int64_t kv_store::grant(std::int64_t ttl_s, time_point now, std::int64_t requested_id)
{
    std::int64_t const id = requested_id != 0 ? requested_id : m_next_lease++;
    auto& lease = m_leases[id];
    lease.ttl_s = ttl_s;
    lease.expiry = now + std::chrono::seconds(ttl_s);
    return id;
}

std::int64_t kv_store::keepalive(std::int64_t id, time_point now)
{
    auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        throw error(error_kind::not_found, "lease " + std::to_string(id) + " has expired or never existed.",
                    "Grant a new lease and write the keys again.");
    }
    found->second.expiry = now + std::chrono::seconds(found->second.ttl_s);
    return found->second.ttl_s;
}

void kv_store::revoke(std::int64_t id)
{
    auto found = m_leases.find(id);
    if (found == m_leases.end()) return;
    auto const keys = found->second.keys;
    m_leases.erase(found);
    for (auto const& key : keys)
        erase_key(key);
    m_revision_open = false;
}

void kv_store::renew_all_leases(time_point now)
{
    for (auto& [id, lease] : m_leases)
        lease.expiry = now + std::chrono::seconds(lease.ttl_s);
}

std::vector<std::int64_t> kv_store::expire(time_point now)
{
    std::vector<std::int64_t> expired;
    for (auto const& [id, lease] : m_leases) {
        if (lease.expiry <= now) expired.push_back(id);
    }
    for (auto id : expired)
        revoke(id);
    return expired;
}

std::vector<watch_event> kv_store::events_after(std::int64_t after, std::string const& key,
                                                std::string const& range_end) const
{
    if (after < m_compacted) {
        throw error(error_kind::conflict,
                    "revision " + std::to_string(after) +
                        " is compacted (oldest available: " + std::to_string(m_compacted) + ").",
                    "Read the complete range again and watch from its revision.");
    }
    std::vector<watch_event> events;
    for (auto const& event : m_history) {
        if (event.kv.mod_revision > after && in_range(event.kv.key, key, range_end)) events.push_back(event);
    }
    return events;
}

} // namespace cornelspring
