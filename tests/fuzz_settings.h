#pragma once

#include <cstdlib>
#include <string>

/// Sets the seed and the number of runs of RapidCheck from PLUMSILL_SEED and PLUMSILL_RUNS. RapidCheck prints the seed that it uses.
/// Must be called before the first check of a program.
inline void fuzzSettings(int defaultRuns)
{
    const char *seed = std::getenv("PLUMSILL_SEED");
    const char *runs = std::getenv("PLUMSILL_RUNS");
    std::string settings = "max_success=" + (runs && *runs ? std::string(runs) : std::to_string(defaultRuns));
    if (seed && *seed) {
        settings += std::string(" seed=") + seed;
    }
    setenv("RC_PARAMS", settings.c_str(), 1);
}
