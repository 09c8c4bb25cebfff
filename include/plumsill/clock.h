#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace plumsill
{
/// Monotonic clock that also counts the time in which the machine is suspended. Tests can pause and advance it.
class RuntimeClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true;

    /// Time since boot. While the clock is paused: the time at which it was paused, plus all advances since then.
    static time_point now();
    /// Stops the clock at the current time.
    static void pause();
    /// Moves a paused clock forward by @p step (not negative).
    static void advance(duration step);
    /// Ends a pause: the clock shows the time since boot again.
    static void resume();
    /// True while the clock is paused.
    static bool paused();
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

/// Seconds of @p duration as a floating point number.
inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @p duration in whole milliseconds, rounded down; 0 when it is negative.
inline std::uint32_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::floor<std::chrono::milliseconds>(duration).count(), 0));
}

/// @p duration in whole milliseconds, rounded up; 0 when it is negative. Used for ages, which may be reported too high but not too low.
inline std::uint32_t millisecondsRoundedUp(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count(), 0));
}

/// Duration of @p count seconds.
inline Duration fromSeconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}
}
