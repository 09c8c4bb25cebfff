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

    auto operator<=>(const Service &) const = default;
};

/// A customer with its rate and burst, counted over the whole fleet.
struct Team {
    TeamName name;
    double rate = 1; ///< requests a second
    double burst = 1; ///< requests
    std::vector<std::string> keyDigests; ///< SHA-256 of each key, 64 lower-case hexadecimal digits

    auto operator<=>(const Team &) const = default;
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

    auto operator<=>(const Route &) const = default;
};

/// Everything that operators say about one environment.
struct Document {
    std::vector<Service> services;
    std::vector<Team> teams;
    std::vector<Route> routes;

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

using DocumentChange = std::variant<ItemChange<Service>, ItemChange<Team>, ItemChange<Route>>;

/// What turns @p before into @p after; the order of items doesn't count.
std::vector<DocumentChange> diffDocuments(const Document &before, const Document &after);
/// One line: "added team a", "removed route r", "changed service s".
std::string toString(const DocumentChange &change);

/// SHA-256 of @p bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string &bytes);
}
