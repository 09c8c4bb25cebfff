#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

namespace plumsill::soak
{
/// Faults that the soak injects into the fleet, its links and the object service.
enum class Fault
{
    PauseDaemon,
    KillDaemon,
    HerdKill, ///< half of the daemons are killed at once
    StopDaemon, ///< planned stop
    RollingStop, ///< planned stop of several daemons, one after the other
    ReloadDaemon,
    PauseTarget,
    KillTarget,
    StopTarget, ///< planned stop
    GreyTarget, ///< gray failure: a share of the requests fail
    SlowTarget,
    ShedService, ///< all targets of a service refuse half of the requests
    Burst, ///< many more callers at one daemon
    SlowReaders, ///< callers that read large answers slowly
    LeavingDownloads, ///< callers that pipeline downloads and leave soon
    DelayTargetLink,
    CutTargetLink, ///< bytes in one direction are held back
    ResetTargetLink,
    SilenceTargetLink, ///< open connections stay open but pass on no bytes
    CutStoreLink, ///< link of one daemon to the store; bytes in one direction are held back
    ResetStoreLink,
    SilenceStoreLink,
    StoreRefuses,
    StoreThrottles,
    StoreLosesAnswers, ///< writes without an answer may take effect later
    StoreSlow,
    StoreSilent,
    StoreForgets, ///< the store discards its history of changes
    OddEntries, ///< entries of another writer among the targets
    NewDocument,
    DocumentStorm,
    WithdrawKey,
    Count,
};

inline const char *toString(Fault fault)
{
    static constexpr const char *Names[]
        = {"pause-daemon",       "kill-daemon",       "herd-kill",       "stop-daemon",         "rolling-stop",        "reload-daemon",  "pause-target",
           "kill-target",        "stop-target",       "grey-target",     "slow-target",         "shed-service",        "burst",          "slow-readers",
           "leaving-downloads",  "delay-target-link", "cut-target-link", "reset-target-link",   "silence-target-link", "cut-store-link", "reset-store-link",
           "silence-store-link", "store-refuses",     "store-throttles", "store-loses-answers", "store-slow",          "store-silent",   "store-forgets",
           "odd-entries",        "new-document",      "document-storm",  "withdraw-key"};
    static_assert(std::size(Names) == static_cast<std::size_t>(Fault::Count));
    return Names[static_cast<std::size_t>(fault)];
}

struct PlannedFault {
    std::chrono::milliseconds at {};
    Fault fault = Fault::Count;
    std::chrono::milliseconds duration {}; ///< ignored for instantaneous faults
    std::uint32_t subject = 0; ///< random number that selects the daemon or the target

    auto operator<=>(const PlannedFault &) const = default;
};

/// Plans faults in overlapping series over @p span. The same seed gives the same plan.
inline std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds span)
{
    using namespace std::chrono_literals;
    constexpr double MeanGapMilliseconds = 600;
    constexpr double SeriesShare = 0.3; // probability that a planned fault starts a series of faults
    constexpr int MaxSeries = 4;
    std::mt19937_64 random(seed);
    std::exponential_distribution<> gap(1 / MeanGapMilliseconds);
    std::uniform_int_distribution<int> kind(0, static_cast<int>(Fault::Count) - 1);
    std::uniform_int_distribution<int> duration(300, 7000);
    std::uniform_int_distribution<int> series(2, MaxSeries);
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
            // Each later fault of a series has the kind of the first one or a random kind. Fault number N begins up to N * 400 ms after the first.
            const bool repeatsFault = unit(random) < 0.5;
            const auto nextFault = number == 0 || repeatsFault ? fault : static_cast<Fault>(kind(random));
            const std::chrono::milliseconds offset(static_cast<int>(unit(random) * 400));
            plan.push_back({at + number * offset, nextFault, std::chrono::milliseconds(duration(random)), static_cast<std::uint32_t>(random())});
        }
    }
    std::sort(plan.begin(), plan.end(), [](const PlannedFault &a, const PlannedFault &b) { return a.at < b.at; });
    return plan;
}
}
