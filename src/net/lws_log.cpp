/** @file lws_log.cpp libwebsockets' own log lines, passed on to log4cplus. */
#include "socket.hpp"

#include <libwebsockets.h>

namespace cornelspring {
namespace detail {

/** Routes libwebsockets' own log lines into log4cplus. */
void emit_lws_log(int level, char const* line)
{
    auto logger = get_logger("transport.lws");
    std::string text(line);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
        text.pop_back();
    if (level == LLL_ERR) {
        LOG4CPLUS_ERROR(logger, text);
    } else {
        LOG4CPLUS_WARN(logger, text);
    }
}

void route_lws_logs() { lws_set_log_level(LLL_ERR | LLL_WARN, emit_lws_log); }

} // namespace detail

} // namespace cornelspring
