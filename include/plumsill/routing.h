#pragma once

#include <plumsill/document.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plumsill
{
/// The route of a request. The pointer is valid as long as the route table.
struct RouteFound {
    const Route *route = nullptr;
};

/// No prefix matches the path.
struct NoRoute {
};

/// A prefix matches, but none of its routes accepts the method.
struct MethodNotAllowed {
    std::vector<std::string> allowed; ///< methods that its routes accept
};

/// The path is ambiguous: targets could interpret it in different ways. The request is answered with status 400.
struct BadPath {
};

using RouteMatch = std::variant<RouteFound, NoRoute, MethodNotAllowed, BadPath>;

/// Path that is matched against the routes, without the query; none if the path is ambiguous.
std::optional<std::string> normalizedPath(std::string_view target);
/// Path as sent, without the query; none if a target may read it as one outside of its prefix.
std::optional<std::string> literalPath(std::string_view target);
/// Host in lower case, without the port and the final dot.
std::string normalizedHost(std::string_view host);
/// Whether @p team may use @p route.
bool mayUse(const Route &route, const TeamName &team);

/// Immutable index of a document's routes.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Document> document);
    ~RouteTable();
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// Finds the route of a request. Routes of the exact host take precedence over routes of any host, then the longest
    /// prefix on segment boundaries wins, then the method decides.
    RouteMatch find(std::string_view host, std::string_view target, std::string_view method) const;

private:
    struct Index;
    std::optional<std::string> path(std::string_view target) const;

    std::shared_ptr<const Document> m_document;
    std::unique_ptr<const Index> m_index;
};
}
