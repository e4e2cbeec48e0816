/** @file config_view.cpp The entry node's monotonic view of the configuration. */
#include <cornelspring/checked.hpp>
#include <cornelspring/state.hpp>

namespace cornelspring {
namespace {

/** @return the part of @p key after @p prefix, or "" when it does not start with it. */
std::string after_prefix(std::string const& key, std::string const& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0 ? key.substr(prefix.size()) : std::string{};
}

} // namespace

std::shared_ptr<config_snapshot const> config_view::current() const
{
    std::lock_guard lock(m_mutex);
    return m_current;
}

void config_view::apply_event(config_snapshot& snapshot, watch_event const& event)
{
    std::string const member_id = after_prefix(event.kv.key, member_prefix);
    if (!member_id.empty()) {
        if (event.is_delete) {
            snapshot.members.erase(member_id);
            return;
        }
        try {
            auto const decode = [&member_id](nlohmann::json const& body) {
                return member{member_id, body.value("address", ""), body.value("failure_domain", "")};
            };
            snapshot.members[member_id] = checked::decode(event.kv.value, checked::encoding::json, decode);
        } catch (error const&) {
            // Ignores a value that cannot be parsed: no entry node wrote it.
        }
        return;
    }
    std::string const rest = after_prefix(event.kv.key, resource_prefix);
    auto const slash = rest.find('/');
    if (slash == std::string::npos) return;
    resource_kind kind;
    try {
        kind = parse_kind(rest.substr(0, slash));
    } catch (error const&) {
        return;
    }
    std::string const name = rest.substr(slash + 1);
    if (event.is_delete) {
        switch (kind) {
        case resource_kind::service: snapshot.services.erase(name); break;
        case resource_kind::backend: snapshot.backends.erase(name); break;
        case resource_kind::route: snapshot.routes.erase(name); break;
        }
        return;
    }
    try {
        auto const value = resource_from_json(checked::parse(event.kv.value, checked::encoding::json));
        if (auto const* s = std::get_if<service_spec>(&value.spec)) snapshot.services[name] = *s;
        if (auto const* b = std::get_if<backend_spec>(&value.spec)) snapshot.backends[name] = *b;
        if (auto const* r = std::get_if<route_spec>(&value.spec)) snapshot.routes[name] = *r;
    } catch (std::exception const&) {
        // Ignores a value that cannot be parsed: cornel-ctl did not write it.
    }
}

bool config_view::reset(std::vector<key_value> const& kvs, std::int64_t revision, cluster_id const& cluster)
{
    auto read_snapshot = std::make_shared<config_snapshot>();
    read_snapshot->revision = revision;
    read_snapshot->cluster = cluster;
    for (auto const& kv : kvs)
        apply_event(*read_snapshot, {false, kv});
    read_snapshot->build_routing();
    std::lock_guard lock(m_mutex);
    if (cluster == m_current->cluster && revision < m_current->revision) return false;
    m_current = std::move(read_snapshot);
    return true;
}

bool config_view::apply(std::vector<watch_event> const& events, std::int64_t revision)
{
    std::lock_guard lock(m_mutex);
    auto next = std::make_shared<config_snapshot>(*m_current);
    bool changed = false;
    for (auto const& event : events) {
        if (event.kv.mod_revision <= m_current->revision) continue;
        apply_event(*next, event);
        changed = true;
    }
    if (changed) next->build_routing();
    if (revision > next->revision) next->revision = revision;
    if (!changed && next->revision == m_current->revision) return false;
    m_current = std::move(next);
    return changed;
}

} // namespace cornelspring
