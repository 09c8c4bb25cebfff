#pragma once

#include <plumsill/clock.h>

#include <array>
#include <cstdint>

namespace plumsill
{
/// Bound on repeats in any window: a share of the requests in it plus a constant.
struct RepeatBound {
    double ratio = 0; ///< repeats for each request
    double slack = 0; ///< repeats in each window beside these
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RepeatBound &) const = default;
};

/// Counts requests and repeats of one service in a sliding window of ten steps.
class RepeatCounter
{
public:
    explicit RepeatCounter(const RepeatBound &bound)
        : m_bound(bound)
    { }

    void setBound(const RepeatBound &bound) { m_bound = bound; }
    void request(TimePoint now);
    /// True when a repeat may be sent, which it then counts.
    bool repeat(TimePoint now);

private:
    static constexpr std::size_t Steps = 10;
    struct Step {
        std::int64_t number = 0;
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    Step &step(TimePoint now);

    RepeatBound m_bound;
    std::array<Step, Steps> m_steps {};
};
}
