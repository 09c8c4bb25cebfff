#pragma once

#include <plumsill/health.h>

/// Settings, faults and records of the model in health_fleet.h.
namespace plumsill::model
{
using namespace std::chrono_literals;

struct FleetOptions {
    std::size_t daemons = 32;
    std::size_t zones = 3;
    std::size_t targets = 6;
    unsigned slots = 6;
    double load = 0.5; ///< share of the slots that is busy
    double serviceMedian = 0.04; ///< seconds
    double serviceSigma = 0.35; ///< of ln(seconds)
    double heavyShare = 0.01; ///< requests that take ten times as long, on every target
    double errorShare = 0.002;
    double loss = 0; ///< share of datagrams
    Duration delayMin = 1ms;
    Duration delayMax = 3ms;
    Duration requestTimeout = 5s;
    unsigned queueLimit = 12; ///< requests that wait at one target
    double floor = 0.5;
    HealthPolicy policy;
    bool pooled = true; ///< false: no owner, each daemon judges alone
    std::uint64_t seed = 1;
};

struct TargetFault {
    double slowFactor = 1;
    double errorShare = 0;
    double truncatedShare = 0;
    bool dead = false; ///< refuses connections
    bool drains = false; ///< answers carry the drain header
};

struct TargetTotals {
    std::uint64_t requests = 0;
    std::uint64_t shed = 0;
    std::uint64_t queued = 0;
};

struct SeenEvent {
    TimePoint at;
    std::size_t daemon = 0;
    bool byOwner = false;
    HealthEvent event;
};
}
