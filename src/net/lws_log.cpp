/** @file lws_log.cpp Forwards the log lines of libwebsockets to log4cplus. */
#include "socket.hpp"

#include <libwebsockets.h>

namespace cornelspring {
namespace detail {

/** Log callback of libwebsockets: forwards @p line without its line end. */
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
