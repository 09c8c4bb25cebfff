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
/// The route that answers for a request; lives as long as its table.
struct RouteFound {
    const Route *route = nullptr;
};

struct NoRoute {
};

/// A prefix matches, but none of its routes takes the method.
struct MethodNotAllowed {
    std::vector<std::string> allowed;
};

/// The path could be read in more than one way: answer 400.
struct BadPath {
};

using RouteMatch = std::variant<RouteFound, NoRoute, MethodNotAllowed, BadPath>;

/// Path as routes are matched on it, without the query; nothing where the path is ambiguous.
std::optional<std::string> normalizedPath(std::string_view target);
/// Host in lower case, without port and final dot.
std::string normalizedHost(std::string_view host);
/// Whether @p team is among those that may use @p route.
bool mayUse(const Route &route, const TeamName &team);

/// Immutable index of a document's routes.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Document> document);
    ~RouteTable();
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// Longest prefix on segment boundaries, the exact host before any host, then the method.
    RouteMatch find(std::string_view host, std::string_view target, std::string_view method) const;

private:
    struct Index;
    std::shared_ptr<const Document> m_document;
    std::unique_ptr<const Index> m_index;
};
}
