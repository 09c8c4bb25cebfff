#pragma once

#include <plumsill/document.h>
#include <plumsill/log.h>
#include <plumsill/types.h>

#include <string>
#include <vector>

namespace plumsill
{
/// Bounds that the fleet is to keep, as its platform sets them.
struct FleetBounds {
    Duration keyLifetime = config::DocumentTrustLifetime; ///< in which a withdrawn key stops working
    Duration stopGrace = std::chrono::seconds(6); ///< from the signal to stop to the end of the process
    double repeatRatio = 0.2; ///< attempts beyond the first, for each request of a service
    double repeatSlack = 50; ///< attempts beyond the first in each window, beside these
    Duration repeatWindow = std::chrono::seconds(10);

    auto operator<=>(const FleetBounds &) const = default;
};

/// How the daemons of a fleet work together.
enum class FleetForm
{
    Cell, ///< a roster by majority, owners by epoch
    Zone, ///< a scheduler in each availability zone
};

/// Settings of one daemon, read once at its start.
struct Settings {
    InstanceName instance;
    ZoneName zone;
    std::string region;
    unsigned zones = 1; ///< availability zones of the fleet
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
    FleetForm form = FleetForm::Cell;
    Endpoint readinessListen; ///< for the balancer's probe
    std::string readinessPath = "/ready";
    Endpoint metricsListen;
    std::string metricsPath = "/metrics";
    bool firstStart = false; ///< the whole fleet starts for the first time
    double capacity = 1; ///< cores that the daemon may use
    FleetBounds bounds;

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
