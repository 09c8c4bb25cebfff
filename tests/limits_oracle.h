#pragma once

#include <plumsill/limits.h>

#include <algorithm>
#include <cstdint>
#include <vector>

/// What admissions are measured against: an ideal bucket, and the bound over every window.
namespace plumsill::limits_fleet
{
/// Ideal token bucket.
struct IdealBucket {
    TeamLimits limits;
    double level = limits.burst;
    TimePoint time;

    void advance(TimePoint now)
    {
        level = std::min(limits.burst, level + limits.rate * seconds(now - time));
        time = now;
    }
    bool take(TimePoint now)
    {
        advance(now);
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }
};

/// Highest number of admissions beyond burst + rate * t over every window; limits may change.
struct WindowOracle {
    IdealBucket bucket;
    double overshoot = -1e9;

    void admit(TimePoint now)
    {
        bucket.advance(now);
        bucket.level -= 1;
        overshoot = std::max(overshoot, -bucket.level);
    }
    void setLimits(const TeamLimits &limits, TimePoint now)
    {
        bucket.advance(now);
        // A larger burst allows windows that began before the change.
        bucket.level += std::max(0.0, limits.burst - bucket.limits.burst);
        bucket.limits = limits;
        bucket.level = std::min(bucket.level, limits.burst);
    }
};

struct FleetTeam {
    TeamName name;
    TeamLimits limits;
};

struct TeamStats {
    std::uint64_t arrived = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongful = 0; ///< refused where an ideal bucket for the whole fleet admits
    std::uint64_t idealAdmitted = 0;
    std::uint64_t lost = 0; ///< waited at a daemon that crashed
    std::vector<Duration> waits; ///< of admitted requests
};
}
