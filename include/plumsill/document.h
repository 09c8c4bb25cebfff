#pragma once

#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plumsill
{
/// Detection profile that prefers few false ejections.
struct FewFalseEjections {
    auto operator<=>(const FewFalseEjections &) const = default;
};

/// Detection profile that prefers a short detection time.
struct FastDetection {
    auto operator<=>(const FastDetection &) const = default;
};

using HealthPolicy = std::variant<FewFalseEjections, FastDetection>;

/// A group of interchangeable targets.
struct Service {
    ServiceName name;
    double floor = 0.5; ///< share of the listed targets that must stay in use, 0 to 1
    unsigned slots = 4; ///< requests that one target processes concurrently
    HealthPolicy policy;
    double objective = 0.999; ///< target share of good answers, for the burn report
    unsigned maxConnections = 0; ///< connections that one target accepts from all daemons together; 0: unknown

    auto operator<=>(const Service &) const = default;
};

/// A customer with its rate limit and burst, which apply to the complete fleet.
struct Team {
    TeamName name;
    double rate = 1; ///< requests per second; 0: unlimited
    double burst = 1; ///< requests
    std::vector<std::string> keyDigests; ///< SHA-256 of each key, 64 lower-case hexadecimal digits
    std::optional<unsigned> priority {}; ///< overrides the priority of the route; 0 is the highest

    bool limited() const { return rate > 0; }
    auto operator<=>(const Team &) const = default;
};

/// A service with its weight in the split of a route.
struct WeightedService {
    ServiceName service;
    double weight = 1; ///< relative to the other services of the split; 0: no requests

    auto operator<=>(const WeightedService &) const = default;
};

/// Selects requests by host, path prefix and method, and the service that they go to.
struct Route {
    RouteName name;
    std::string host; ///< empty: any host
    std::string prefix; ///< path prefix, starts with '/'
    std::vector<std::string> methods; ///< empty: any method
    ServiceName service;
    bool idempotent = false;
    bool open = false; ///< accepts requests without a key
    std::vector<TeamName> teams; ///< teams with access; empty: every team
    Duration timeout = config::DefaultRouteTimeout;
    std::size_t bodyLimit = config::DefaultBodyLimitBytes; ///< bytes
    std::vector<WeightedService> split {}; ///< weighted services that replace `service`
    unsigned attempts = config::MaxAttempts; ///< maximum number of targets that one request is sent to
    unsigned priority = 0; ///< 0 is the highest
    Duration objective = Duration::zero(); ///< latency objective of an answer; zero: the timeout
    bool belowOnly = false; ///< matches paths below the prefix, but not the prefix itself
    bool large = false; ///< its answers are large, so that their bytes count as load

    auto operator<=>(const Route &) const = default;
};

/// Limits on the size of a caller's requests and on the time that it takes to send them.
struct CallerLimits {
    std::size_t headerBytes = config::MaxHeaderBytes;
    std::size_t bodyBytes = config::MaxBodyBytes;
    Duration headerTimeout = config::HeaderTimeout;
    Duration idleTimeout = config::IdleTimeout;

    auto operator<=>(const CallerLimits &) const = default;
};

/// The configuration of one environment, written by its operators.
struct Document {
    std::vector<Service> services;
    std::vector<Team> teams;
    std::vector<Route> routes;
    CallerLimits limits;
    bool literalPaths = false; ///< prefixes are compared with paths as sent, not with normalized ones; not part of the INI text

    auto operator<=>(const Document &) const = default;
};

/// An error in an INI text, with its location.
struct IniProblem {
    std::string file;
    unsigned line = 0;
    std::string field; ///< section.key
    std::string reason;

    auto operator<=>(const IniProblem &) const = default;
};

/// Formats @p problem as "FILE:LINE: section.key: reason".
std::string toString(const IniProblem &problem);

/// Result of parseDocument(): the document, which is valid if there are no problems.
struct ParsedDocument {
    Document document;
    std::vector<IniProblem> problems;

    bool valid() const { return problems.empty(); }
};

/// Parses and checks the complete text and reports every problem; @p file is the file name in the problems.
ParsedDocument parseDocument(const std::string &text, const std::string &file);

/// Writes the document as INI text in canonical form: equal documents give equal texts.
std::string canonicalText(const Document &document);

/// A changed item of a document: without `before` it was added, without `after` it was removed.
template<class Item>
struct ItemChange {
    std::optional<Item> before;
    std::optional<Item> after;

    auto operator<=>(const ItemChange &) const = default;
};

/// A change of the limits on callers.
struct LimitsChanged {
    CallerLimits before;
    CallerLimits after;

    auto operator<=>(const LimitsChanged &) const = default;
};

using DocumentChange = std::variant<ItemChange<Service>, ItemChange<Team>, ItemChange<Route>, LimitsChanged>;

/// Changes that turn @p before into @p after; the order of items is ignored.
std::vector<DocumentChange> diffDocuments(const Document &before, const Document &after);
/// Describes the change in one line, such as "added team a", "removed route r" or "changed service s".
std::string toString(const DocumentChange &change);

/// SHA-256 of @p bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string &bytes);
}
