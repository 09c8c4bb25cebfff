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

/// Right of a daemon to act as the owner of one key, during one uninterrupted period of ownership.
struct Tenure {
    bool mayAct = false; ///< the epoch is confirmed, and either the former owner handed the key over or none of its actions can still be in effect
    std::uint64_t since = 0; ///< first epoch of the uninterrupted ownership
    TimePoint from; ///< time from which the daemon may act in this tenure

    auto operator<=>(const Tenure &) const = default;
};
}
