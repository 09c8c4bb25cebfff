#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>

namespace plumsill
{
/// Identifies one part of a team's token bucket. A part has at most one acting owner.
struct PartKey {
    TeamName team;
    std::uint32_t part = 0;

    auto operator<=>(const PartKey &) const = default;
};

/// Right of a daemon to act as the owner of one key.
struct Tenure {
    bool mayAct = false; ///< the epoch is confirmed, and the wait for the former owner has ended or the key was handed over
    std::uint64_t since = 0; ///< first epoch of the uninterrupted ownership
    TimePoint from; ///< time from which the daemon may act in this tenure

    auto operator<=>(const Tenure &) const = default;
};
}
