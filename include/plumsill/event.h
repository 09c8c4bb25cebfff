#pragma once

#include <plumsill/clock.h>

#include <cstdint>
#include <string>
#include <string_view>

/// Structured log with one JSON object per line and typed fields. The rate of each kind of event is limited, and writing never blocks.
namespace plumsill
{
/// One log line under construction; its destructor writes it.
class Event
{
public:
    /// @p part: component that logs; @p name: kind of event.
    Event(std::string_view part, std::string_view name);
    ~Event();
    Event(const Event &) = delete;
    Event &operator=(const Event &) = delete;

    Event &add(std::string_view field, std::string_view value);
    Event &add(std::string_view field, const char *value) { return add(field, std::string_view(value)); }
    Event &add(std::string_view field, const std::string &value) { return add(field, std::string_view(value)); }
    Event &add(std::string_view field, std::int64_t value);
    Event &add(std::string_view field, bool value);
    /// Adds @p value in whole milliseconds.
    Event &add(std::string_view field, Duration value);

private:
    bool m_enabled; ///< false when events are disabled or the kind's rate limit is reached
    std::string m_line;
};

/// Enables events, which are written to standard output.
void enableEvents();
bool eventsEnabled();
/// Writes buffered lines until standard output would block.
void flushEvents();
/// Number of lines dropped since the start.
std::uint64_t droppedEvents();
}
