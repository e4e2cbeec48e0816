/** @file gateway_log.cpp The gateway's decision log. */
#include "gateway_log.hpp"

namespace cornelspring {
namespace {

/** Lines about requests written in one second; beyond it they are counted and left out. */
constexpr int request_lines = 100;
/** The same for lines about the source of the store's state. */
constexpr int source_lines = 20;

} // namespace

bool gateway_log::allowed(quota& kind, int per_second)
{
    auto const second = std::chrono::duration_cast<std::chrono::seconds>(m_loop.now().time_since_epoch()).count();
    if (second != kind.second) kind = {second, 0};
    if (++kind.lines <= per_second) return true;
    ++m_left_out;
    return false;
}

void gateway_log::write(nlohmann::json const& fields)
{
    LOG4CPLUS_INFO(m_logger, fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void gateway_log::on_request(request_summary const& summary)
{
    if (!allowed(m_requests, request_lines)) return;
    nlohmann::json line{{"event", "request"},
                        {"id", summary.caller_id},
                        {"route", summary.route_name},
                        {"config", summary.version.value()},
                        {"status", summary.status},
                        {"reason", summary.reason},
                        {"ms", static_cast<double>(summary.took.count()) / 1000.0},
                        {"shards", summary.shards},
                        {"answered", summary.answered},
                        {"sent", summary.sent},
                        {"hedges", summary.hedges},
                        {"retries", summary.retries}};
    if (summary.failed_attempts > 0) {
        line["failed_attempts"] = summary.failed_attempts;
        line["failures"] = summary.failures;
    }
    if (m_left_out > 0) line["left_out"] = std::exchange(m_left_out, 0);
    write(line);
}

void gateway_log::on_refused(int status, char const* reason)
{
    if (allowed(m_requests, request_lines)) write({{"event", "refused"}, {"status", status}, {"reason", reason}});
}

void gateway_log::dependency(char const* name, char const* change, milliseconds outage)
{
    write({{"event", "dependency"}, {"name", name}, {"change", change}, {"outage_ms", outage.count()}});
}

void gateway_log::source(feed_source const& source, char const* change, char const* reason)
{
    if (!allowed(m_sources, source_lines)) return;
    write({{"event", "state_source"},
           {"source", source.is_store() ? "store" : source.peer_key},
           {"change", change},
           {"reason", reason}});
}

void gateway_log::bad_item(std::string const& key, std::int64_t revision, char const* reason)
{
    write({{"event", "bad_item"}, {"key", key}, {"revision", revision}, {"reason", reason}});
}

void gateway_log::config(config_version version, std::int64_t revision, bool applied)
{
    write({{"event", "config"}, {"version", version.value()}, {"revision", revision}, {"applied", applied}});
}

void gateway_log::backend(backend_id const& id, char const* state, std::int64_t revision)
{
    write({{"event", "backend"}, {"backend", id.value()}, {"state", state}, {"revision", revision}});
}

void gateway_log::member(std::string const& key, char const* change, std::int64_t revision)
{
    write({{"event", "member"}, {"member", key}, {"change", change}, {"revision", revision}});
}

void gateway_log::process(char const* event) { write({{"event", event}}); }

} // namespace cornelspring
