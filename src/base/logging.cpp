/** @file logging.cpp JSON Lines layout and non-blocking appender for log4cplus; set-up of the root logger. */
#include <cornelspring/base.hpp>

#include <chrono>
#include <iomanip>
#include <memory>

#include <fcntl.h>
#include <unistd.h>

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace cornelspring {
namespace {

/** Program name written into every record. */
std::string g_program;

/** A log4cplus layout that writes each event as one JSON object on one line. */
class json_layout : public log4cplus::Layout {
public:
    /** Writes @p event to @p out. @param out stream. @param event the record. */
    void formatAndAppend(log4cplus::tostream& out, log4cplus::spi::InternalLoggingEvent const& event) override
    {
        auto const since_epoch = event.getTimestamp().time_since_epoch();
        auto const micros = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
        auto const& message = event.getMessage();
        if (!message.empty() && message.front() == '{') { // The message is already a JSON object.
            out << "{\"ts\":" << micros / 1000000 << '.' << std::setw(6) << std::setfill('0') << micros % 1000000 << ","
                << message.substr(1) << '\n';
            return;
        }
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

/**
 * A log4cplus appender that never blocks. Lines that the descriptor does not accept are buffered up to a limit and
 * written together with later ones; lines beyond the limit are dropped and counted.
 */
class nonblocking_appender : public log4cplus::Appender {
public:
    /** @param fd descriptor, which is set to non-blocking mode. */
    explicit nonblocking_appender(int fd) : m_fd(fd) { fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK); }
    ~nonblocking_appender() override { destructorImpl(); }
    /** Marks the appender closed; the descriptor stays open. */
    void close() override { closed = true; }

protected:
    /** Writes @p event, buffers it or drops it. @param event the record. */
    void append(log4cplus::spi::InternalLoggingEvent const& event) override
    {
        auto const& line = formatEvent(event);
        if (m_unwritten.size() + line.size() > unwritten_limit) {
            ++m_dropped;
        } else {
            if (m_dropped > 0 && m_unwritten.size() < unwritten_limit / 2) {
                m_unwritten += "{\"event\":\"log_lines_dropped\",\"count\":" + std::to_string(m_dropped) + "}\n";
                m_dropped = 0;
            }
            m_unwritten += line;
        }
        auto const written = write(m_fd, m_unwritten.data(), m_unwritten.size());
        if (written > 0) m_unwritten.erase(0, static_cast<std::size_t>(written));
    }

private:
    /** Limit on buffered bytes, for a slow reader; a few thousand lines. */
    static constexpr std::size_t unwritten_limit = 512 * 1024;
    int m_fd;                    ///< Descriptor written to.
    std::string m_unwritten;     ///< Lines not yet written.
    std::uint64_t m_dropped = 0; ///< Lines dropped since this was last logged.
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

void init_logging(std::string const& program, std::string const& level, log_target target)
{
    static log4cplus::Initializer initializer;
    g_program = program;
    log4cplus::SharedAppenderPtr appender;
    if (target == log_target::standard_output) {
        appender = new nonblocking_appender(STDOUT_FILENO);
    } else {
        appender = new log4cplus::ConsoleAppender(true, true);
    }
    appender->setLayout(std::make_unique<json_layout>());
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(level_from_name(level));
}

log4cplus::Logger get_logger(std::string const& name) { return log4cplus::Logger::getInstance(name); }

} // namespace cornelspring
