#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace plumsill
{
/// Clock of the runtime: monotonic, counts suspended time; tests pause and advance it.
class RuntimeClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true;

    /// Time since boot, or the paused time.
    static time_point now();
    /// Stops the clock at its present time.
    static void pause();
    /// Moves a paused clock forward by @p step (not negative).
    static void advance(duration step);
    /// Lets the clock run again.
    static void resume();
    static bool paused();
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

/// Seconds of @p duration as a floating point number.
inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Whole milliseconds for messages, rounded down; 0 for what has passed.
inline std::uint32_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::floor<std::chrono::milliseconds>(duration).count(), 0));
}

/// The same, rounded up: for ages, which may be told too high.
inline std::uint32_t millisecondsUp(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count(), 0));
}

/// Duration of @p count seconds.
inline Duration fromSeconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}
}
