#pragma once

#include "soak_oracle.h"

#include <popt.h>

#include <chrono>
#include <iostream>
#include <optional>

namespace plumsill::soak
{
inline constexpr Time CallerTimeout = 6000; ///< milliseconds; longer than the deadline that the request carries
/// Milliseconds from the end of a disturbance until a daemon is in contact with its fleet and the object service again, as at the users' sites.
inline constexpr Time ReconnectTime = 3000;
inline constexpr Time DisturbanceMargin = 1500; ///< milliseconds added to each disturbance, because on a busy machine the end of a fault is noticed late
inline constexpr auto StopGrace = std::chrono::seconds(6);
inline constexpr auto RecoveryTime = std::chrono::seconds(15);
inline constexpr auto RecoveryWindow = std::chrono::seconds(2);
inline constexpr double RecoveredShare = 0.9;
inline constexpr auto PollInterval = std::chrono::milliseconds(200);
inline constexpr auto ThinkTime = std::chrono::milliseconds(30);
inline constexpr auto ControlTimeout = std::chrono::seconds(1);
inline constexpr auto BurstThinkTime = std::chrono::milliseconds(5);
inline constexpr unsigned BurstCallers = 6; ///< callers that a burst adds at one daemon
inline constexpr unsigned SlowReaders = 10;
inline constexpr unsigned LeavingCallers = 6;
inline constexpr std::size_t PipelinedDownloads = 4; ///< requests of a caller that leaves
inline constexpr double LinkMegabits = 20;
inline constexpr unsigned MemoryMegabytes = 160;

struct Options {
    long seed = 1;
    int seconds = 20;
    int daemons = 8;
    int targets = 12;
    int callers = 3; ///< number of callers of each daemon
    int keepLogs = 0;
};

/// Parses the command line; none, with a message on stderr, where it is wrong.
inline std::optional<Options> parseOptions(int argc, const char **argv)
{
    Options options;
    constexpr unsigned Shown = POPT_ARGFLAG_SHOW_DEFAULT;
    const poptOption table[] = {{"seed", 's', POPT_ARG_LONG | Shown, &options.seed, 0, "seed of the faults and of the load", "N"},
                                {"seconds", 't', POPT_ARG_INT | Shown, &options.seconds, 0, "seconds during which faults begin", "N"},
                                {"daemons", 'd', POPT_ARG_INT | Shown, &options.daemons, 0, "daemons, in three zones", "N"},
                                {"targets", 0, POPT_ARG_INT | Shown, &options.targets, 0, "targets, of three services", "N"},
                                {"callers", 'c', POPT_ARG_INT | Shown, &options.callers, 0, "callers of each daemon", "N"},
                                {"keep-logs", 0, POPT_ARG_NONE, &options.keepLogs, 0, "keep the daemons' logs after a run without violations", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("soak", argc, argv, table, 0);
    const int bad = poptGetNextOpt(context);
    const bool usable = options.seconds >= 1 && options.daemons >= 3 && options.daemons <= 200 && options.targets >= 3 && options.callers >= 1;
    if (bad < -1 || !usable) {
        std::cerr << "soak: bad option " << (bad < -1 ? poptBadOption(context, 0) : "value") << "\n";
    }
    poptFreeContext(context);
    return bad < -1 || !usable ? std::nullopt : std::optional(options);
}
}
