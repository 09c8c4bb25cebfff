#pragma once

#include <popt.h>

#include <iostream>
#include <optional>

namespace plumsill::soak
{
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
