#pragma once

#include <plumsill/document.h>
#include <plumsill/log.h>
#include <plumsill/types.h>

#include <string>
#include <vector>

namespace plumsill
{
/// Settings of one daemon, read once at its start.
struct Settings {
    InstanceName instance;
    ZoneName zone;
    std::string region;
    Endpoint trafficListen;
    unsigned trafficThreads = 1;
    Endpoint adminListen;
    std::string adminTokenFile;
    Endpoint peerListen;
    std::string peerSecretFile;
    std::vector<Endpoint> peerSeeds;
    Endpoint platform;
    std::string environment;
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Text;
    std::string logFile; ///< empty: stderr

    auto operator<=>(const Settings &) const = default;
};

/// Checked settings, or every fault that was found.
struct ParsedSettings {
    Settings settings;
    std::vector<IniProblem> problems;

    bool valid() const { return problems.empty(); }
};

/// Parses and checks the text; @p file only names it in problems.
ParsedSettings parseSettings(const std::string &text, const std::string &file);
}
