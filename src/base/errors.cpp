/** @file errors.cpp Names and HTTP statuses of error kinds, invariant checks, endpoints and file helpers. */
#include <cornelspring/base.hpp>

#include <atomic>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace cornelspring {

std::string to_string(error_kind kind)
{
    switch (kind) {
    case error_kind::bad_settings: return "bad_settings";
    case error_kind::bad_request: return "bad_request";
    case error_kind::not_found: return "not_found";
    case error_kind::conflict: return "conflict";
    case error_kind::too_large: return "too_large";
    case error_kind::unavailable: return "unavailable";
    case error_kind::timeout: return "timeout";
    case error_kind::not_run: return "not_run";
    case error_kind::outcome_unknown: return "outcome_unknown";
    case error_kind::internal: return "internal";
    }
    return "internal";
}

int http_status(error_kind kind)
{
    switch (kind) {
    case error_kind::bad_settings: return 500;
    case error_kind::bad_request: return 400;
    case error_kind::not_found: return 404;
    case error_kind::conflict: return 409;
    case error_kind::too_large: return 413;
    case error_kind::unavailable: return 503;
    case error_kind::timeout: return 504;
    case error_kind::not_run: return 503;
    case error_kind::outcome_unknown: return 502;
    case error_kind::internal: return 500;
    }
    return 500;
}

error::error(error_kind kind, std::string const& message, std::string const& remedy)
    : std::runtime_error(message + " Remedy: " + remedy), m_kind(kind), m_message(message), m_remedy(remedy)
{
}

namespace {
/** Number of violations found by check_invariant(). */
std::atomic<std::uint64_t> g_violations{0};
} // namespace

void check_invariant(bool holds, char const* what)
{
    if (holds) return;
    ++g_violations;
    LOG4CPLUS_ERROR(get_logger("invariant"), "invariant violated: " << what);
}

std::uint64_t invariant_violations() { return g_violations; }

std::string endpoint::to_string() const
{
    if (host.find(':') != std::string::npos) {
        return "[" + host + "]:" + std::to_string(port);
    }
    return host + ":" + std::to_string(port);
}

endpoint parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 >= text.size()) {
        throw error(error_kind::bad_request, "address '" + text + "' has no port.",
                    "Write it as host:port, for example 127.0.0.1:7000.");
    }
    std::string host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    unsigned port = 0;
    auto const* first = text.data() + colon + 1;
    auto const* last = text.data() + text.size();
    auto const [ptr, ec] = std::from_chars(first, last, port);
    if (ec != std::errc{} || ptr != last || port > 65535) {
        throw error(error_kind::bad_request, "address '" + text + "' has an invalid port.",
                    "Use a port number from 0 to 65535.");
    }
    return endpoint{host, static_cast<std::uint16_t>(port)};
}

void write_file_atomic(std::string const& path, std::string const& text)
{
    std::string const temporary = path + ".tmp";
    {
        std::ofstream out(temporary, std::ios::trunc);
        out << text;
    }
    std::rename(temporary.c_str(), path.c_str());
}

std::string read_file(std::string const& path)
{
    std::ifstream in(path);
    if (!in) {
        throw error(error_kind::not_found, "cannot read file '" + path + "'.",
                    "Check the path and that the file is readable.");
    }
    std::ostringstream buffer;
    buffer << in.rdbuf();
    return buffer.str();
}

} // namespace cornelspring
