#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>

namespace plumsill
{
/// One part of a team's token bucket; has at most one acting owner.
struct PartKey {
    TeamName team;
    std::uint32_t part = 0;

    auto operator<=>(const PartKey &) const = default;
};

/// A daemon's right to act as owner of one key.
struct Tenure {
    bool mayAct = false; ///< confirmed now, and the wait is over or the key was handed over
    std::uint64_t since = 0; ///< epoch from which this daemon has owned the key without a gap
    TimePoint from; ///< when it became free to act in this tenure

    auto operator<=>(const Tenure &) const = default;
};
}
