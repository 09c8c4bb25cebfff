#include "health_fleet.h"

#include <cstdio>

// Included last, as its macro for "new" breaks other headers.
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::model;
using namespace std::chrono_literals;

namespace
{
constexpr std::size_t Targets = 6;
constexpr Duration MaxDetectionTime = 5s;
constexpr Duration MaxTimeUntilUnused = 6s;
constexpr Duration MaxDrainDelay = 3s;
// Time until a new owner acts: confirmation lifetime, clock drift and the maximum lifetime of a grant or permit.
constexpr Duration OwnerWait = 6s;

FleetOptions smallFleet()
{
    FleetOptions options;
    options.daemons = 6;
    options.targets = Targets;
    options.loss = 0.05;
    options.seed = 11;
    return options;
}

/// A fleet that has run for 15 s without a fault. `maxOutOfUse` is the maximum number of targets that were ejected or on
/// trial at the same time; it is updated after every tick.
struct WarmFleet {
    HealthFleet fleet;
    std::size_t maxOutOfUse = 0;

    explicit WarmFleet(const FleetOptions &options = smallFleet())
        : fleet(options)
    {
        fleet.onTick = [this] { maxOutOfUse = std::max(maxOutOfUse, fleet.ejectedAnywhere().size()); };
        fleet.runFor(15s);
    }

    bool floorHeld() const { return maxOutOfUse <= maxTargetsOutOfUse(0.5, Targets); }

    std::size_t ejections(TimePoint since) const
    {
        std::size_t count = 0;
        for (const auto &event : fleet.seen) {
            count += event.at >= since && std::holds_alternative<TargetEjected>(event.event) ? 1 : 0;
        }
        return count;
    }

    template<class Condition>
    bool within(Duration limit, const Condition &condition)
    {
        for (const TimePoint end = fleet.now() + limit; fleet.now() < end;) {
            fleet.runFor(100ms);
            if (condition()) {
                return true;
            }
        }
        return false;
    }

    bool detected(std::size_t target, Duration limit)
    {
        return within(limit, [&] { return fleet.ejectedAnywhere().contains(fleet.name(target)); });
    }

    bool unused(std::size_t target) const { return fleet.countUse(target, TargetUse::Active) + fleet.countUse(target, TargetUse::SlowStart) == 0; }

    bool allActive()
    {
        return within(90s, [&] {
            for (std::size_t target = 0; target < Targets; ++target) {
                if (fleet.countUse(target, TargetUse::Active) != fleet.aliveDaemons()) {
                    return false;
                }
            }
            return true;
        });
    }
};

void checkRow(const char *affectedParty, const char *fault, const char *step, bool passed)
{
    std::printf("matrix | %-6s | %-20s | %-6s | %s\n", affectedParty, fault, step, passed ? "ok" : "FAILED");
    CHECK_TEXT(passed, (std::string(affectedParty) + ", " + fault + ", " + step).c_str());
}

/// Checks detection, ejection, return and the floor for a fault of the targets themselves.
void checkTargetFault(const char *name, const TargetFault &fault)
{
    WarmFleet bench;
    const TimePoint start = bench.fleet.now();
    bench.fleet.faults[2] = fault;
    checkRow("target", name, "detect", bench.detected(2, MaxDetectionTime));
    checkRow("target", name, "eject", bench.within(MaxTimeUntilUnused - (bench.fleet.now() - start), [&] { return bench.unused(2); }));
    bench.fleet.faults[2] = {};
    checkRow("target", name, "return", bench.allActive());
    for (std::size_t target = 0; target < 4; ++target) {
        bench.fleet.faults[target] = fault;
    }
    bench.fleet.runFor(60s);
    checkRow("target", name, "hold", bench.floorHeld());
}
}

TEST_GROUP(HealthMatrix) {};

TEST(HealthMatrix, GrayTargets)
{
    checkTargetFault("gray slow", {10, 0, 0, false, false});
    checkTargetFault("gray errors", {1, 0.3, 0, false, false});
    checkTargetFault("truncated", {1, 0, 0.5, false, false});
    checkTargetFault("crash", {1, 0, 0, true, false});
}

TEST(HealthMatrix, OneWayCut)
{
    WarmFleet bench;
    bench.fleet.cutLink(1, 2);
    const TimePoint start = bench.fleet.now();
    checkRow("daemon", "one-way cut", "detect", bench.within(15s, [&] { return bench.fleet.countUse(2, TargetUse::Avoided) == 1; }));
    bench.fleet.runFor(20s);
    checkRow("daemon", "one-way cut", "hold", bench.ejections(start) == 0);
    bench.fleet.restoreLinks();
    checkRow("daemon", "one-way cut", "return", bench.allActive());
    for (std::size_t daemon = 0; daemon < 6; ++daemon) {
        bench.fleet.cutLink(daemon, 2);
    }
    checkRow("target", "one-way cut", "detect", bench.within(MaxDetectionTime, [&] { return bench.unused(2); }));
    checkRow("target", "one-way cut", "eject", bench.detected(2, MaxDetectionTime));
}

TEST(HealthMatrix, FlappingTarget)
{
    WarmFleet bench;
    const TimePoint start = bench.fleet.now();
    for (int round = 0; round < 15; ++round) {
        bench.fleet.faults[2].errorShare = 0.5;
        bench.fleet.runFor(4s);
        bench.fleet.faults[2].errorShare = 0;
        bench.fleet.runFor(4s);
    }
    // Ejections last 5, 10, 20, 40 and 80 s, so that at most five fit into the 120 s.
    const std::size_t count = bench.ejections(start);
    checkRow("target", "flap", "eject", count >= 1 && count <= 5);
    checkRow("target", "flap", "hold", bench.floorHeld());
}

TEST(HealthMatrix, ColdStart)
{
    WarmFleet bench;
    const TimePoint start = bench.fleet.now();
    const std::size_t cold = bench.fleet.addTarget(config::ColdStartGrace - 2s);
    bench.fleet.sendListingToAll();
    checkRow("target", "cold start", "detect", bench.fleet.countUse(cold, TargetUse::SlowStart) == bench.fleet.aliveDaemons());
    bench.fleet.runFor(30s);
    checkRow("target", "cold start", "hold", bench.ejections(start) == 0);
    checkRow("target", "cold start", "return", bench.fleet.countUse(cold, TargetUse::Active) == bench.fleet.aliveDaemons());
}

TEST(HealthMatrix, LeavingWhileListed)
{
    WarmFleet bench;
    bench.fleet.faults[2].drains = true;
    const bool seen = bench.within(2s, [&] { return bench.fleet.countUse(2, TargetUse::Leaving) > 0; });
    checkRow("target", "leaving while listed", "detect", seen);
    bench.fleet.runFor(MaxDrainDelay);
    const auto requests = bench.fleet.totals[2].requests;
    bench.fleet.sendListingToAll(); // a delayed listing that shows the target as staying
    bench.fleet.runFor(20s);
    checkRow("target", "leaving while listed", "drain", bench.fleet.totals[2].requests == requests);
    for (const std::size_t target : {0, 1, 3}) {
        bench.fleet.faults[target].errorShare = 0.5;
    }
    bench.maxOutOfUse = 0;
    bench.fleet.runFor(30s);
    checkRow("target", "leaving while listed", "hold", bench.maxOutOfUse + 1 <= maxTargetsOutOfUse(0.5, Targets));
}

TEST(HealthMatrix, DaemonCrash)
{
    WarmFleet bench;
    bench.fleet.crashDaemon(3);
    bench.fleet.crashDaemon(4);
    bench.fleet.faults[2].errorShare = 0.3;
    checkRow("daemon", "crash", "detect", bench.detected(2, MaxDetectionTime));
    checkRow("daemon", "crash", "eject", bench.within(MaxTimeUntilUnused, [&] { return bench.unused(2); }));
}

TEST(HealthMatrix, OwnerCrash)
{
    WarmFleet bench;
    for (const std::size_t target : {1, 2}) {
        bench.fleet.faults[target].errorShare = 0.5;
    }
    bench.within(MaxTimeUntilUnused, [&] { return bench.unused(1) && bench.unused(2); });
    bench.fleet.crashDaemon(0);
    bench.fleet.runFor(1s);
    bench.fleet.changeOwner(3, OwnerWait);
    bench.fleet.runFor(OwnerWait - 1s);
    checkRow("owner", "crash", "hold", bench.floorHeld() && bench.unused(1) && bench.unused(2));
    bench.fleet.faults[4].errorShare = 0.5;
    checkRow("owner", "owner change", "detect", bench.detected(4, 1s + MaxDetectionTime));
    bench.fleet.runFor(20s);
    checkRow("owner", "owner change", "eject", bench.unused(1) && bench.unused(2) && bench.unused(4));
    checkRow("owner", "owner change", "hold", bench.floorHeld());
    for (auto &fault : bench.fleet.faults) {
        fault = {};
    }
    checkRow("owner", "owner change", "return", bench.allActive());
}

TEST(HealthMatrix, LaggingList)
{
    WarmFleet bench;
    const std::size_t added = bench.fleet.addTarget(0s);
    for (std::size_t daemon = 1; daemon < 6; ++daemon) {
        bench.fleet.sendListing(daemon, bench.fleet.listed); // to all daemons except the owner
    }
    bench.fleet.runFor(15s);
    for (const std::size_t target : {0, 1, 2, 3}) {
        bench.fleet.faults[target].errorShare = 0.5;
    }
    bench.fleet.runFor(10s);
    checkRow("owner", "lagging list", "hold", bench.floorHeld());
    checkRow("owner", "lagging list", "eject", bench.maxOutOfUse == maxTargetsOutOfUse(0.5, Targets));
    bench.fleet.faults[added].errorShare = 0.5;
    bench.fleet.sendListingToAll();
    bench.fleet.runFor(10s);
    checkRow("daemon", "lagging list", "hold", bench.maxOutOfUse <= maxTargetsOutOfUse(0.5, Targets + 1));
}
