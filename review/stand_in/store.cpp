/** @file store.cpp Calls to the stand-in for the platform's store. */
#include "store.hpp"

#include <algorithm>

namespace review {
namespace {

using nlohmann::json;

/** Most items in one page. */
constexpr std::size_t page_items = 500;
/** Digits of base64. */
constexpr char const* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/** @return @p bytes as base64 with padding. */
std::string encode_base64(std::string const& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=');
    }
    return out;
}

/** @return the bytes that @p text encodes. */
std::string decode_base64(std::string const& text)
{
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (char const c : text) {
        auto const* digit = c == '=' ? nullptr : std::char_traits<char>::find(digits, 64, c);
        if (digit == nullptr) break;
        group = group << 6 | static_cast<std::uint32_t>(digit - digits);
        bits += 6;
        if (bits < 8) continue;
        bits -= 8;
        out.push_back(static_cast<char>(group >> bits & 255));
    }
    return out;
}

/** @return the decoded parameter @p name in the query of @p target. */
std::string parameter(std::string const& target, std::string const& name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto const next = target.find('&', at + 1);
        auto const pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        at = next;
        if (pair.rfind(name + "=", 0) != 0) continue;
        std::string out;
        for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
            bool const escaped = pair[i] == '%' && i + 2 < pair.size();
            out.push_back(escaped ? static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16)) : pair[i]);
            if (escaped) i += 2;
        }
        return out;
    }
    return {};
}

/** @return a response with @p status and @p body. */
message reply(int status, json const& body)
{
    message out;
    out.status = status;
    out.headers = {{"content-type", "application/json"}};
    out.body = body.dump();
    return out;
}

} // namespace

platform_store::platform_store(std::string const& host)
{
    m_server = std::make_unique<server>(host, 0, [this](connection& from) { serve(from); });
    std::thread([this] {
        while (true) {
            expire();
            std::this_thread::sleep_for(milliseconds(20));
        }
    }).detach();
}

void platform_store::put(std::string const& key, std::string const& value)
{
    std::lock_guard lock(m_mutex);
    write(key, value, 0, ++m_revision);
    m_changed.notify_all();
}

void platform_store::drop(std::string const& key)
{
    std::lock_guard lock(m_mutex);
    remove(key, ++m_revision);
    m_changed.notify_all();
}

std::map<std::string, std::string> platform_store::items(std::string const& prefix) const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, std::string> out;
    for (auto const& [key, each] : m_items)
        if (key.rfind(prefix, 0) == 0) out[key] = each.value;
    return out;
}

void platform_store::cut_watches(milliseconds after)
{
    std::lock_guard lock(m_mutex);
    m_cut_after = after;
}

void platform_store::serve(connection& from)
{
    while (auto const request = from.read(true, steady::now() + std::chrono::minutes(5))) {
        auto const response = respond(*request);
        if (!response || !from.send(serialize_response(*response))) return;
    }
}

std::optional<message> platform_store::respond(message const& request)
{
    auto const path = request.target.substr(0, request.target.find('?'));
    if (path == "/cornelspring/kv-range") return range(request);
    if (path == "/cornelspring/kv-watch") return watch(request);
    std::lock_guard lock(m_mutex);
    if (path == "/cornelspring/kv-txn") return transact(json::parse(request.body));
    return lease_call(path, request);
}

message platform_store::range(message const& request)
{
    auto const prefix = parameter(request.target, "prefix");
    auto const after = parameter(request.target, "after");
    std::lock_guard lock(m_mutex);
    json found = json::array();
    bool more = false;
    for (auto const& [key, each] : m_items) {
        if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) continue;
        more = found.size() == page_items;
        if (more) break;
        found.push_back({{"key", key},
                         {"value", encode_base64(each.value)},
                         {"revision", each.revision},
                         {"created", each.created},
                         {"lease", each.lease}});
    }
    return reply(200, {{"items", found}, {"more_pages", more}, {"as_of", m_revision}});
}

std::optional<message> platform_store::watch(message const& request)
{
    auto const prefix = parameter(request.target, "prefix");
    auto const after = std::stoll(parameter(request.target, "after"));
    milliseconds const wait(std::stoll(parameter(request.target, "wait_ms")));
    std::unique_lock lock(m_mutex);
    bool const cut = m_cut_after > milliseconds(0) && m_cut_after < wait;
    auto const until = steady::now() + (cut ? m_cut_after : wait);
    if (after > m_revision) return reply(410, json::object());
    json events = json::array();
    while (true) {
        for (auto const& each : m_history) {
            if (each.revision <= after || each.key.rfind(prefix, 0) != 0) continue;
            if (each.now) {
                events.push_back({{"key", each.key},
                                  {"value", encode_base64(each.now->value)},
                                  {"revision", each.revision},
                                  {"created", each.now->created},
                                  {"lease", each.now->lease}});
            } else {
                events.push_back({{"key", each.key}, {"revision", each.revision}, {"tombstone", true}});
            }
        }
        if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) break;
    }
    if (cut && events.empty()) return std::nullopt;
    return reply(200, {{"events", events}, {"as_of", m_revision}});
}

message platform_store::transact(json const& body)
{
    for (auto const& row : body.at("expected_rev")) {
        auto const found = m_items.find(row.at("key").get<std::string>());
        auto const revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").get<std::int64_t>()) return reply(412, {{"items", json::array()}});
    }
    for (auto const& row : body.at("puts")) {
        auto const number = row.value("lease", std::int64_t{0});
        if (number != 0 && m_leases.count(number) == 0) return reply(404, json::object());
    }
    ++m_revision;
    for (auto const& row : body.at("puts"))
        write(row.at("key"), decode_base64(row.at("value")), row.value("lease", std::int64_t{0}), m_revision);
    for (auto const& key : body.at("drop"))
        remove(key, m_revision);
    m_changed.notify_all();
    return reply(200, {{"revision", m_revision}});
}

message platform_store::lease_call(std::string const& path, message const& request)
{
    std::string const keep = "/cornelspring/kv-keep/";
    std::string const end = "/cornelspring/kv-lease-end/";
    if (path == "/cornelspring/kv-lease") {
        milliseconds const ttl(json::parse(request.body).at("ttl_ms").get<std::int64_t>());
        m_leases[++m_last_lease] = {ttl, steady::now() + ttl};
        return reply(200, {{"lease", m_last_lease}, {"ttl_ms", ttl.count()}});
    }
    if (path.rfind(keep, 0) == 0) {
        auto const found = m_leases.find(std::stoll(path.substr(keep.size())));
        if (found == m_leases.end()) return reply(404, json::object());
        found->second.ends_at = steady::now() + found->second.ttl;
        return reply(200, {{"ttl_ms", found->second.ttl.count()}});
    }
    if (path.rfind(end, 0) == 0 && request.method == "DELETE") {
        end_lease(std::stoll(path.substr(end.size())));
        return reply(200, json::object());
    }
    return reply(404, json::object());
}

void platform_store::write(std::string const& key, std::string const& value, std::int64_t of_lease,
                           std::int64_t revision)
{
    auto& kept = m_items[key];
    kept.value = value;
    kept.revision = revision;
    kept.lease = of_lease;
    if (kept.created == 0) kept.created = revision;
    m_history.push_back({revision, key, kept});
}

void platform_store::remove(std::string const& key, std::int64_t revision)
{
    if (m_items.erase(key) > 0) m_history.push_back({revision, key, std::nullopt});
}

void platform_store::end_lease(std::int64_t number)
{
    if (m_leases.erase(number) == 0) return;
    std::vector<std::string> keys;
    for (auto const& [key, each] : m_items)
        if (each.lease == number) keys.push_back(key);
    if (keys.empty()) return;
    ++m_revision;
    for (auto const& key : keys)
        remove(key, m_revision);
    m_changed.notify_all();
}

void platform_store::expire()
{
    std::lock_guard lock(m_mutex);
    std::vector<std::int64_t> ended;
    for (auto const& [number, each] : m_leases)
        if (each.ends_at <= steady::now()) ended.push_back(number);
    for (auto const number : ended)
        end_lease(number);
}

} // namespace review
