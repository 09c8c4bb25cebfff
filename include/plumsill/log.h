#pragma once

#include <string>

namespace plumsill
{
/// Component that a log line comes from; printed as a prefix.
enum class LogPart
{
    Supervisor,
    Store,
    Member,
    Limits,
    Document,
    Health,
    Traffic,
    Admin,
    Peer,
    Tool,
};

enum class LogLevel
{
    Debug,
    Info,
    Warning,
    Error,
};

enum class LogFormat
{
    Text,
    Json,
};

/// Writes log lines of @p level and above to @p file, or to stderr when @p file is empty.
void openLog(LogLevel level, LogFormat format, const std::string &file);
/// Writes one log line. While events are enabled, @p message becomes an event instead, and debug messages are dropped.
void log(LogPart part, LogLevel level, const std::string &message);

inline void logDebug(LogPart part, const std::string &message)
{
    log(part, LogLevel::Debug, message);
}
inline void logInfo(LogPart part, const std::string &message)
{
    log(part, LogLevel::Info, message);
}
inline void logWarning(LogPart part, const std::string &message)
{
    log(part, LogLevel::Warning, message);
}
inline void logError(LogPart part, const std::string &message)
{
    log(part, LogLevel::Error, message);
}
}
