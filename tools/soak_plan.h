#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

namespace plumsill::soak
{
/// What the soak does to the fleet and its surroundings.
enum class Fault
{
    PauseDaemon,
    KillDaemon,
    HerdKill, ///< half of the daemons at once
    StopDaemon, ///< as planned
    RollingStop, ///< several daemons, one after the other
    ReloadDaemon,
    PauseTarget,
    KillTarget,
    StopTarget, ///< as planned
    GreyTarget, ///< fails a share of its requests
    SlowTarget,
    DelayTargetLink,
    CutTargetLink, ///< one way
    ResetTargetLink,
    SilenceTargetLink, ///< open connections pass nothing on any more
    CutStoreLink, ///< one daemon's, one way
    ResetStoreLink,
    SilenceStoreLink,
    StoreRefuses,
    StoreThrottles,
    StoreLosesAnswers, ///< its writes may be done later
    StoreSlow,
    StoreSilent,
    StoreForgets, ///< the history of changes
    NewDocument,
    DocumentStorm,
    WithdrawKey,
    Count,
};

inline const char *toString(Fault fault)
{
    static constexpr const char *Names[]
        = {"pause-daemon",        "kill-daemon",    "herd-kill",        "stop-daemon",        "rolling-stop",      "reload-daemon",   "pause-target",
           "kill-target",         "stop-target",    "grey-target",      "slow-target",        "delay-target-link", "cut-target-link", "reset-target-link",
           "silence-target-link", "cut-store-link", "reset-store-link", "silence-store-link", "store-refuses",     "store-throttles", "store-loses-answers",
           "store-slow",          "store-silent",   "store-forgets",    "new-document",       "document-storm",    "withdraw-key"};
    static_assert(std::size(Names) == static_cast<std::size_t>(Fault::Count));
    return Names[static_cast<std::size_t>(fault)];
}

struct PlannedFault {
    std::chrono::milliseconds at {};
    Fault fault = Fault::Count;
    std::chrono::milliseconds duration {}; ///< where it has one
    std::uint32_t subject = 0; ///< chooses what it befalls

    auto operator<=>(const PlannedFault &) const = default;
};

/// Faults in overlapping series, the same for the same seed.
inline std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds span)
{
    using namespace std::chrono_literals;
    constexpr double MeanGapMilliseconds = 600;
    constexpr double SeriesShare = 0.3; // of the faults start a series
    constexpr int LongestSeries = 4;
    std::mt19937_64 random(seed);
    std::exponential_distribution<> gap(1 / MeanGapMilliseconds);
    std::uniform_int_distribution<int> kind(0, static_cast<int>(Fault::Count) - 1);
    std::uniform_int_distribution<int> duration(300, 7000);
    std::uniform_int_distribution<int> series(2, LongestSeries);
    std::uniform_real_distribution<> unit(0, 1);
    std::vector<PlannedFault> plan;
    std::chrono::milliseconds at {};
    while (true) {
        at += std::chrono::milliseconds(static_cast<int>(gap(random)));
        if (at >= span) {
            break;
        }
        const int count = unit(random) < SeriesShare ? series(random) : 1;
        const auto fault = static_cast<Fault>(kind(random));
        for (int number = 0; number < count; ++number) {
            // The same again, or another one close behind it.
            const bool same = unit(random) < 0.5;
            const auto next = number == 0 || same ? fault : static_cast<Fault>(kind(random));
            const std::chrono::milliseconds close(static_cast<int>(unit(random) * 400));
            plan.push_back({at + number * close, next, std::chrono::milliseconds(duration(random)), static_cast<std::uint32_t>(random())});
        }
    }
    std::sort(plan.begin(), plan.end(), [](const PlannedFault &a, const PlannedFault &b) { return a.at < b.at; });
    return plan;
}
}
