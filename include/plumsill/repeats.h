#pragma once

#include <plumsill/clock.h>

#include <array>
#include <cstdint>

namespace plumsill
{
/// Bound on repeats (retries and hedges) in any window: a share of the requests in the window plus a constant.
struct RepeatBound {
    double ratio = 0; ///< repeats per request
    double slack = 0; ///< additional repeats per window
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RepeatBound &) const = default;
};

/// Counts requests and repeats of one service in a sliding window.
class RepeatCounter
{
public:
    explicit RepeatCounter(const RepeatBound &bound)
        : m_bound(bound)
    { }

    const RepeatBound &bound() const { return m_bound; }
    /// Changes the bound. The counts so far are kept.
    void setBound(const RepeatBound &bound) { m_bound = bound; }
    /// Counts a request.
    void recordRequest(TimePoint now);
    /// Returns true if a repeat may be sent, and counts it.
    bool tryRepeat(TimePoint now);
    /// Repeats that may still be sent now.
    double left(TimePoint now);
    /// Part of what is left that @p perSecond repeats need within the next window, beyond those for which old ones make room.
    double neededFor(double perSecond, TimePoint now);

private:
    static constexpr std::int64_t Steps = 20; ///< in a window
    struct Step {
        std::int64_t number = 0;
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    Duration stepLength() const { return m_bound.window / Steps; }
    Step &step(TimePoint now);

    RepeatBound m_bound;
    std::array<Step, Steps + 1> m_steps {};
    std::int64_t m_latest = 0; ///< number of the newest step
};
}
