#include <plumsill/event.h>
#include <plumsill/log.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <atomic>
#include <memory>

namespace plumsill
{
namespace
{
std::atomic<bool> opened {false};

const char *partName(LogPart part)
{
    switch (part) {
    case LogPart::Supervisor:
        return "supervisor";
    case LogPart::Store:
        return "store";
    case LogPart::Member:
        return "member";
    case LogPart::Limits:
        return "limits";
    case LogPart::Document:
        return "document";
    case LogPart::Health:
        return "health";
    case LogPart::Traffic:
        return "traffic";
    case LogPart::Admin:
        return "admin";
    case LogPart::Peer:
        return "peer";
    case LogPart::Tool:
        return "tool";
    }
    return "unknown";
}

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

// One JSON object per line, for log collectors.
class JsonLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &output, const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const boost::json::value line = {
            {"time", log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true)},
            {"level", llmCache.toString(event.getLogLevel())},
            {"part", event.getLoggerName()},
            {"text", event.getMessage()},
        };
        output << boost::json::serialize(line) << "\n";
    }
};

std::unique_ptr<log4cplus::Layout> makeLayout(LogFormat format)
{
    if (format == LogFormat::Json) {
        return std::make_unique<JsonLayout>();
    }
    return std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n");
}

log4cplus::SharedAppenderPtr makeAppender(const std::string &file)
{
    if (file.empty()) {
        return log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
    }
    return log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(file, std::ios_base::app));
}
}

void openLog(LogLevel level, LogFormat format, const std::string &file)
{
    static const log4cplus::Initializer library;
    auto appender = makeAppender(file);
    appender->setLayout(makeLayout(format));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(level));
    opened = true;
}

void log(LogPart part, LogLevel level, const std::string &message)
{
    if (eventsEnabled()) {
        if (level >= LogLevel::Info) {
            Event(partName(part), "message").add("text", message);
        }
        return;
    }
    if (!opened) {
        return;
    }
    auto logger = log4cplus::Logger::getInstance(partName(part));
    if (logger.isEnabledFor(toLog4cplus(level))) {
        logger.forcedLog(toLog4cplus(level), message);
    }
}
}
