/** @file logging.cpp JSON-lines layout for log4cplus and the set-up of the root logger. */
#include <cornelspring/base.hpp>

#include <chrono>
#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

/** Name of the program written into every record. */
std::string g_program;

/** A log4cplus layout that writes each event as one JSON object on one line. */
class json_layout : public log4cplus::Layout {
public:
    /** Formats @p event to @p out. @param out stream. @param event the record. */
    void formatAndAppend(log4cplus::tostream& out, log4cplus::spi::InternalLoggingEvent const& event) override
    {
        auto const since_epoch = event.getTimestamp().time_since_epoch();
        auto const micros = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
        nlohmann::json record{
            {"ts", static_cast<double>(micros) / 1e6},
            {"level", log4cplus::getLogLevelManager().toString(event.getLogLevel())},
            {"program", g_program},
            {"logger", event.getLoggerName()},
            {"msg", event.getMessage()},
        };
        out << record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    }
};

/** @return the log4cplus level for @p name. @param name level name. */
log4cplus::LogLevel level_from_name(std::string const& name)
{
    if (name == "trace") return log4cplus::TRACE_LOG_LEVEL;
    if (name == "debug") return log4cplus::DEBUG_LOG_LEVEL;
    if (name == "warn") return log4cplus::WARN_LOG_LEVEL;
    if (name == "error") return log4cplus::ERROR_LOG_LEVEL;
    if (name == "info") return log4cplus::INFO_LOG_LEVEL;
    throw error(error_kind::bad_settings, "log level '" + name + "' is unknown.",
                "Use one of trace, debug, info, warn, error.");
}

} // namespace

void init_logging(std::string const& program, std::string const& level)
{
    static log4cplus::Initializer initializer;
    g_program = program;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<json_layout>());
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(level_from_name(level));
}

log4cplus::Logger get_logger(std::string const& name) { return log4cplus::Logger::getInstance(name); }

} // namespace cornelspring
