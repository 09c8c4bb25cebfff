#pragma once

#include <plumsill/settings.h>

#include <string>

namespace plumsill
{
/// What a daemon reads from files beside its settings.
struct Secrets {
    std::string peerSecret;
    std::string adminToken;
};

/// Runs a daemon until SIGTERM or SIGINT; returns the exit status.
int runDaemon(const Settings &settings, const Secrets &secrets);
}
