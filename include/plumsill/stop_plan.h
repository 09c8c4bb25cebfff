#pragma once

#include <plumsill/clock.h>

#include <compare>

namespace plumsill
{
/// Times of a planned stop, counted from its signal. No time is later than the next one.
struct StopPlan {
    Duration closeAt {}; ///< idle connections are closed, and the others after their last answer
    Duration takeBy {}; ///< from then on requests are refused, and connections too
    Duration answerBy {}; ///< requests that still run are ended, and their callers are answered
    Duration stopBy {}; ///< the traffic threads end

    auto operator<=>(const StopPlan &) const = default;
};

/// @p grace: time from the signal until the platform ends the process.
StopPlan stopPlan(Duration grace);
}
