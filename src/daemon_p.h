#pragma once

#include "directory_port_p.h"

#include <plumsill/dialect.h>
#include <plumsill/settings.h>

#include <cstdint>
#include <functional>
#include <string>

namespace plumsill
{
/// Secrets that a daemon reads from separate files.
struct Secrets {
    std::string peerSecret;
    std::string adminToken;
};

/// Incarnation number of this run of the instance. It increases with every start of the instance.
std::uint64_t newIncarnation();

/// Reads the settings file again; called on SIGHUP.
using ReloadSettings = std::function<ParsedSettings()>;

/// Dependencies that main() injects into a daemon of a zone fleet: a function that reloads the settings, the names of
/// header fields used with callers and targets, and a function that opens the directory.
struct ZoneDaemonPorts {
    ReloadSettings reload;
    Dialect dialect;
    OpenDirectory openDirectory;
};

/// Runs a daemon of a zone fleet, whose requests are placed by its zone's hub. Runs until SIGTERM or SIGINT and returns
/// the exit status.
int runZoneDaemon(const Settings &settings, ZoneDaemonPorts ports);

/// Runs a daemon of a cell until SIGTERM or SIGINT; returns the exit status.
int runDaemon(const Settings &settings, const Secrets &secrets);
}
