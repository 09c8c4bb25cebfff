#pragma once

#include <string>

namespace plumsill
{
/// Part of the program that a log line comes from; printed as a fixed prefix.
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

/// Sends logs of @p level and above to @p file, or to stderr where it is empty.
void openLog(LogLevel level, LogFormat format, const std::string &file);
/// Writes one short sentence.
void log(LogPart part, LogLevel level, const std::string &sentence);

inline void logDebug(LogPart part, const std::string &sentence)
{
    log(part, LogLevel::Debug, sentence);
}
inline void logInfo(LogPart part, const std::string &sentence)
{
    log(part, LogLevel::Info, sentence);
}
inline void logWarning(LogPart part, const std::string &sentence)
{
    log(part, LogLevel::Warning, sentence);
}
inline void logError(LogPart part, const std::string &sentence)
{
    log(part, LogLevel::Error, sentence);
}
}
