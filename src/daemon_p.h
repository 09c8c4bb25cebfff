#pragma once

#include "directory_port_p.h"

#include <plumsill/dialect.h>
#include <plumsill/settings.h>

#include <cstdint>
#include <functional>
#include <string>

namespace plumsill
{
/// Secrets that a daemon reads from files of their own.
struct Secrets {
    std::string peerSecret;
    std::string adminToken;
};

/// Incarnation number of this run of the instance. It increases with every start of the instance.
std::uint64_t newIncarnation();

/// Reads the settings again.
using ReloadSettings = std::function<ParsedSettings()>;

/// Functions and names that a daemon of the zone form gets from the program.
struct ZoneDaemonPorts {
    ReloadSettings reload;
    Dialect dialect;
    OpenDirectory openDirectory;
};

/// Runs a daemon whose requests are placed by its zone's hub until SIGTERM or SIGINT; returns the exit status.
int runZoneDaemon(const Settings &settings, ZoneDaemonPorts ports);

/// Runs a daemon of a cell until SIGTERM or SIGINT; returns the exit status.
int runDaemon(const Settings &settings, const Secrets &secrets);
}
