#pragma once

#include <plumsill/clock.h>

#include <cstdint>
#include <string>
#include <string_view>

/// Structured log: one JSON object a line, with typed fields. Bounded for each kind of event, never blocking.
namespace plumsill
{
/// One line under construction; written when it goes out of scope.
class Event
{
public:
    /// @p part: prefix of the part of the program; @p name: kind of event.
    Event(std::string_view part, std::string_view name);
    ~Event();
    Event(const Event &) = delete;
    Event &operator=(const Event &) = delete;

    Event &add(std::string_view field, std::string_view value);
    Event &add(std::string_view field, const char *value) { return add(field, std::string_view(value)); }
    Event &add(std::string_view field, const std::string &value) { return add(field, std::string_view(value)); }
    Event &add(std::string_view field, std::int64_t value);
    Event &add(std::string_view field, bool value);
    /// Whole milliseconds.
    Event &add(std::string_view field, Duration value);

private:
    bool m_written; ///< false: over the bound of its kind, or events are off
    std::string m_line;
};

/// Turns events on; they go to standard output.
void openEvents();
bool eventsOpen();
/// Writes what is buffered, as far as the reader takes it now.
void flushEvents();
/// Lines that were left out since the start.
std::uint64_t droppedEvents();
}
