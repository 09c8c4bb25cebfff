#pragma once

#include "directory_port_p.h"

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

/// What a daemon under its zone's scheduler needs of its surroundings.
struct ZoneDaemonPorts {
    ReloadSettings reload;
    Dialect dialect;
    OpenDirectory openDirectory;
};

/// Runs a daemon under its zone's scheduler until SIGTERM or SIGINT; returns the exit status.
int runZoneDaemon(const Settings &settings, ZoneDaemonPorts ports);

/// Runs a daemon until SIGTERM or SIGINT; returns the exit status.
int runDaemon(const Settings &settings, const Secrets &secrets);
}
