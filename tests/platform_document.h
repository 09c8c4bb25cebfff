#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <cstdio>
#include <string>
#include <vector>

/// Documents in the format of the users' platform, for tests and the soak.
namespace plumsill::test
{
inline constexpr const char *FleetHost = "fleet.example";

struct PlatformRoute {
    std::string name;
    std::string prefix; ///< starts and ends with a slash
    std::string service;
    bool idempotent = true;
    bool open = false; ///< needs no key
    unsigned attempts = 2;
    unsigned timeoutMilliseconds = 3000;
    unsigned objectiveMilliseconds = 1000;
    unsigned priority = 0; ///< 0 is the highest
    bool large = false; ///< its answers are large
};

struct PlatformTeam {
    std::string name;
    std::vector<std::string> keys;
    double rate = 0; ///< requests per second; 0 means no limit
    double burst = 0; ///< requests
};

struct PlatformDocument {
    unsigned version = 0;
    std::vector<PlatformRoute> routes;
    std::vector<std::string> services;
    std::vector<PlatformTeam> teams;
};

namespace detail
{
inline boost::json::object resource(const char *kind, const std::string &name, boost::json::object spec)
{
    return {{"resource-kind", kind}, {"metadata", {{"name", name}}}, {"spec", std::move(spec)}};
}
}

inline boost::json::object toJson(const PlatformDocument &document)
{
    boost::json::array resources;
    for (const auto &route : document.routes) {
        resources.push_back(detail::resource("routes", route.name,
                                             {{"host", FleetHost},
                                              {"path-prefix", route.prefix},
                                              {"service", route.service},
                                              {"kind",
                                               route.large            ? "download"
                                                   : route.idempotent ? "idempotent"
                                                                      : "non_idempotent"},
                                              {"public", route.open},
                                              {"attempts", route.attempts},
                                              {"timeout-ms", route.timeoutMilliseconds},
                                              {"target-latency-ms", route.objectiveMilliseconds},
                                              {"priority", route.priority}}));
    }
    for (const auto &service : document.services) {
        resources.push_back(detail::resource("services", service, {{"max-connections", 200}, {"health-path", "/health"}}));
    }
    for (const auto &team : document.teams) {
        boost::json::array keys(team.keys.begin(), team.keys.end());
        resources.push_back(detail::resource("tenants", team.name, {{"api-keys", keys}, {"rate-per-s", team.rate}, {"burst", team.burst}}));
    }
    const boost::json::object limits {{"max-header-bytes", 8192}, {"max-body-bytes", 1000000}, {"header-timeout-ms", 5000}, {"idle-timeout-ms", 30000}};
    resources.push_back(detail::resource("limits", "limits", limits));
    std::array<char, 16> version {};
    std::snprintf(version.data(), version.size(), "%08x", document.version);
    return {{"version", version.data()}, {"resources", std::move(resources)}};
}
}
