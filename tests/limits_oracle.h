#pragma once

#include <plumsill/limits.h>

#include <algorithm>
#include <cstdint>
#include <vector>

/// References for admissions: an ideal bucket, and the limit over every window.
namespace plumsill::limits_fleet
{
/// Token bucket without delay or loss, which an ideal limiter of the complete fleet would use.
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

/// Measures the highest number of admissions in excess of burst + rate * t over all windows. The limits may change.
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
        // A larger burst also applies to windows that began before the change.
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
    std::uint64_t wrongful = 0; ///< requests that were refused although an ideal bucket for the complete fleet admitted them
    std::uint64_t idealAdmitted = 0;
    std::uint64_t lost = 0; ///< requests that were waiting at a daemon when it crashed
    std::vector<Duration> waits; ///< waiting times of the admitted requests
};
}
