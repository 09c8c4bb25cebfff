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

/// A group of targets that do the same work.
struct Service {
    ServiceName name;
    double floor = 0.5; ///< share of the listed targets that must stay in use, 0 to 1
    unsigned slots = 4; ///< requests that one target works on at once
    HealthPolicy policy;
    double objective = 0.999; ///< share of good answers promised, for the burn report
    unsigned maxConnections = 0; ///< that one target accepts from all daemons together; 0: not told

    auto operator<=>(const Service &) const = default;
};

/// A customer with its rate and burst, counted over the whole fleet.
struct Team {
    TeamName name;
    double rate = 1; ///< requests a second
    double burst = 1; ///< requests
    std::vector<std::string> keyDigests; ///< SHA-256 of each key, 64 lower-case hexadecimal digits
    std::optional<unsigned> priority {}; ///< takes precedence over the route's; 0 is the highest

    bool limited() const { return rate > 0; }
    auto operator<=>(const Team &) const = default;
};

/// One part of a route's split over several services.
struct WeightedService {
    ServiceName service;
    double weight = 1; ///< relative to the other parts; 0: no requests

    auto operator<=>(const WeightedService &) const = default;
};

/// Requests for one host and path prefix.
struct Route {
    RouteName name;
    std::string host; ///< empty: any host
    std::string prefix; ///< path prefix, starts with '/'
    std::vector<std::string> methods; ///< empty: any method
    ServiceName service;
    bool idempotent = false;
    bool open = false; ///< open to all: needs no key
    std::vector<TeamName> teams; ///< teams that may use it; empty: every team
    Duration timeout = config::DefaultRouteTimeout;
    std::size_t bodyLimit = config::DefaultBodyLimitBytes; ///< bytes
    std::vector<WeightedService> split {}; ///< several services in place of `service`
    unsigned attempts = config::MaxAttempts; ///< targets that one request may be sent to
    unsigned priority = 0; ///< 0 is the highest
    Duration objective = Duration::zero(); ///< latency at which an answer is still of full use; zero: the timeout
    bool belowOnly = false; ///< only paths below the prefix match, not the prefix itself

    auto operator<=>(const Route &) const = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::size_t headerBytes = config::MaxHeaderBytes;
    std::size_t bodyBytes = config::MaxBodyBytes;
    Duration headerTimeout = config::HeaderTimeout;
    Duration idleTimeout = config::IdleTimeout;

    auto operator<=>(const CallerLimits &) const = default;
};

/// Everything that operators say about one environment.
struct Document {
    std::vector<Service> services;
    std::vector<Team> teams;
    std::vector<Route> routes;
    CallerLimits limits;

    auto operator<=>(const Document &) const = default;
};

/// One fault of an INI text, with its place.
struct IniProblem {
    std::string file;
    unsigned line = 0;
    std::string field; ///< section.key
    std::string reason;

    auto operator<=>(const IniProblem &) const = default;
};

/// "FILE:LINE: section.key: reason".
std::string toString(const IniProblem &problem);

/// A checked document, or every fault that was found.
struct ParsedDocument {
    Document document;
    std::vector<IniProblem> problems;

    bool valid() const { return problems.empty(); }
};

/// Parses and checks the text as a whole; @p file only names it in problems.
ParsedDocument parseDocument(const std::string &text, const std::string &file);

/// The document as INI text in one fixed form: equal documents give equal texts.
std::string canonicalText(const Document &document);

/// One item that differs: added without `before`, removed without `after`.
template<class Item>
struct ItemChange {
    std::optional<Item> before;
    std::optional<Item> after;

    auto operator<=>(const ItemChange &) const = default;
};

/// The limits on callers differ.
struct LimitsChanged {
    CallerLimits before;
    CallerLimits after;

    auto operator<=>(const LimitsChanged &) const = default;
};

using DocumentChange = std::variant<ItemChange<Service>, ItemChange<Team>, ItemChange<Route>, LimitsChanged>;

/// What turns @p before into @p after; the order of items doesn't count.
std::vector<DocumentChange> diffDocuments(const Document &before, const Document &after);
/// One line: "added team a", "removed route r", "changed service s".
std::string toString(const DocumentChange &change);

/// SHA-256 of @p bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string &bytes);
}
