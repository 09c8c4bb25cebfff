#pragma once

#include <plumsill/dialect.h>
#include <plumsill/settings.h>

#include <cstdint>
#include <functional>
#include <string>

namespace plumsill
{
/// What a daemon reads from files beside its settings.
struct Secrets {
    std::string peerSecret;
    std::string adminToken;
};

/// Number of this run of the instance.
std::uint64_t newIncarnation();

/// Reads the settings anew.
using ReloadSettings = std::function<ParsedSettings()>;

/// Runs a daemon under its zone's scheduler until SIGTERM or SIGINT; returns the exit status.
int runZoneDaemon(const Settings &settings, const ReloadSettings &reload, const Dialect &dialect);

/// Runs a daemon until SIGTERM or SIGINT; returns the exit status.
int runDaemon(const Settings &settings, const Secrets &secrets);
}
