#pragma once

#include <plumsill/document.h>
#include <plumsill/instance_limits.h>
#include <plumsill/log.h>
#include <plumsill/types.h>

#include <string>
#include <vector>

namespace plumsill
{
/// Bounds that the platform sets for the fleet.
struct FleetBounds {
    Duration keyLifetime = config::DocumentTrustLifetime; ///< maximum time from the withdrawal of a key until requests with it are refused
    Duration stopGrace = std::chrono::seconds(6); ///< maximum time from the stop signal to the end of the process
    double repeatRatio = 0.2; ///< number of retries and hedges allowed per request of a service
    double repeatSlack = 50; ///< number of retries and hedges allowed per repeatWindow, in addition to those that repeatRatio allows
    Duration repeatWindow = std::chrono::seconds(10); ///< period over which retries and hedges are counted

    auto operator<=>(const FleetBounds &) const = default;
};

/// How the daemons of a fleet work together.
enum class FleetForm
{
    Cell, ///< daemons agree on a roster by majority; each epoch of the roster assigns owners to the parts of the teams' token buckets
    Zone, ///< each availability zone has a scheduler, which places the requests of the zone's daemons
};

/// Settings of one daemon, read at its start.
struct Settings {
    InstanceName instance;
    ZoneName zone;
    std::string region;
    unsigned zones = 1; ///< number of availability zones of the fleet
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
    Endpoint readinessListen; ///< address for the readiness probe of the load balancer
    std::string readinessPath = "/ready";
    Endpoint metricsListen;
    std::string metricsPath = "/metrics";
    bool firstStart = false; ///< all daemons of the fleet start for the first time, so this daemon gives the others time to enroll
    double capacity = 1; ///< number of CPU cores that the daemon may use
    FleetBounds bounds;
    InstanceLimits limits;

    auto operator<=>(const Settings &) const = default;
};

/// Settings and all problems found in them; the settings are usable only when valid().
struct ParsedSettings {
    Settings settings;
    std::vector<IniProblem> problems;
    std::vector<IniProblem> notices; ///< values that are left out; the settings are usable without them

    bool valid() const { return problems.empty(); }
};

/// Parses and checks the text of a settings file; @p file is the file name shown in problems.
ParsedSettings parseSettings(const std::string &text, const std::string &file);
}
