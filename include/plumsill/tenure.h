#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>

namespace plumsill
{
/// Identifies one part of a team's token bucket. At most one daemon at a time acts as its owner.
struct PartKey {
    TeamName team;
    std::uint32_t part = 0;

    auto operator<=>(const PartKey &) const = default;
};

/// Right of a daemon to act as the owner of one key.
struct Tenure {
    bool mayAct = false; ///< the epoch is confirmed, and the key was handed over or no action of the former owner can be in effect
    std::uint64_t since = 0; ///< first epoch of the uninterrupted ownership
    TimePoint from; ///< time from which the daemon may act in this tenure

    auto operator<=>(const Tenure &) const = default;
};
}
