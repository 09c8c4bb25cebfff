#include <plumsill/routing.h>

#include "hex_p.h"
#include "percent_decoding_p.h"

#include <algorithm>
#include <cctype>
#include <unordered_map>

namespace plumsill
{
namespace
{
bool isUnreserved(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

// Some targets treat these characters as a separator or as the end of the path and others do not. The proxy cannot
// know how a target treats them.
bool isAmbiguous(unsigned char c)
{
    return c == '/' || c == '\\' || c == '%' || c < 0x20 || c == 0x7f;
}

// Decodes characters that have the same meaning when encoded (RFC 3986, 6.2.2.2), and writes the others in upper-case hex.
bool appendEncoded(std::string &path, std::string_view text, std::size_t at)
{
    static constexpr char Digits[] = "0123456789ABCDEF";
    const int high = at + 2 < text.size() ? hexDigit(text[at + 1]) : -1;
    const int low = at + 2 < text.size() ? hexDigit(text[at + 2]) : -1;
    if (high < 0 || low < 0) {
        return false;
    }
    const auto byte = static_cast<unsigned char>(high * 16 + low);
    if (isAmbiguous(byte)) {
        return false;
    }
    if (isUnreserved(byte)) {
        path += static_cast<char>(byte);
    } else {
        path += {'%', Digits[high], Digits[low]};
    }
    return true;
}

std::optional<std::string> decoded(std::string_view text)
{
    std::string path;
    path.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        if (byte == '%') {
            if (!appendEncoded(path, text, i)) {
                return std::nullopt;
            }
            i += 2;
        } else if (byte != '/' && (isAmbiguous(byte) || byte == ' ' || byte == '#')) {
            return std::nullopt;
        } else {
            path += text[i];
        }
    }
    return path;
}

// Some targets remove parameters (";x=1") before they match a segment, so "/admin;x" is treated as "/admin".
std::string_view withoutParameters(std::string_view segment)
{
    return segment.substr(0, segment.find(';'));
}

bool isDotSegment(std::string_view segment)
{
    const auto name = withoutParameters(segment);
    return name == "." || name == "..";
}

bool hasDotSegment(std::string_view path)
{
    for (std::size_t start = 0; start <= path.size();) {
        const auto end = std::min(path.find_first_of("/\\", start), path.size());
        if (isDotSegment(path.substr(start, end - start))) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

bool appendSegment(std::string &path, std::string_view segment)
{
    const auto name = withoutParameters(segment);
    if (name.empty() || isDotSegment(segment)) {
        return false;
    }
    path += '/';
    path += name;
    return true;
}

struct StringHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name required by the standard library
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};

using RouteList = std::vector<const Route *>;

struct HostRoutes {
    std::unordered_map<std::string_view, RouteList> prefixes; ///< views into the document's routes
    std::size_t maxDepth = 0; ///< number of segments of the longest prefix
};

std::size_t depth(std::string_view path)
{
    return path == "/" ? 0 : static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
}

// The first @p segments segments of the path: as many as the longest prefix has. The lookup starts there, so that a long path
// costs no more than a short one.
std::string_view firstSegments(std::string_view path, std::size_t segments)
{
    std::size_t end = 0;
    for (std::size_t i = 0; i < segments && end != std::string_view::npos; ++i) {
        end = path.find('/', end + 1);
    }
    return segments == 0 ? path.substr(0, 1) : path.substr(0, end);
}

// A request path "/a/" lies below the prefix "/a", although its normalized path is "/a".
bool matchesBelow(const RouteList &routes, std::string_view prefix, std::string_view path, bool endsWithSlash)
{
    const bool below = path.size() > prefix.size() || endsWithSlash;
    return below || std::any_of(routes.begin(), routes.end(), [](const Route *route) { return !route->belowOnly; });
}

const RouteList *longestPrefix(const HostRoutes &routes, std::string_view path, bool endsWithSlash)
{
    auto prefix = firstSegments(path, routes.maxDepth);
    while (true) {
        const auto found = routes.prefixes.find(prefix);
        if (found != routes.prefixes.end() && matchesBelow(found->second, prefix, path, endsWithSlash)) {
            return &found->second;
        }
        if (prefix.size() <= 1) {
            return nullptr;
        }
        prefix = prefix.substr(0, std::max<std::size_t>(prefix.rfind('/'), 1));
    }
}

bool acceptsMethod(const Route &route, std::string_view method)
{
    return route.methods.empty() || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

// Only the longest prefix decides: a shorter prefix must not accept a method that a longer one excludes.
RouteMatch matchMethod(const RouteList &routes, std::string_view method)
{
    MethodNotAllowed notAllowed;
    for (const auto *route : routes) {
        if (acceptsMethod(*route, method)) {
            return RouteFound {route};
        }
        notAllowed.allowed.insert(notAllowed.allowed.end(), route->methods.begin(), route->methods.end());
    }
    std::sort(notAllowed.allowed.begin(), notAllowed.allowed.end());
    return notAllowed;
}
}

std::optional<std::string> normalizedPath(std::string_view target)
{
    const auto raw = target.substr(0, target.find('?'));
    const auto text = raw.starts_with('/') ? decoded(raw) : std::nullopt;
    if (!text) {
        return std::nullopt;
    }
    std::string path;
    for (std::size_t start = 1; start < text->size();) {
        const auto end = std::min(text->find('/', start), text->size());
        if (!appendSegment(path, std::string_view(*text).substr(start, end - start))) {
            return std::nullopt;
        }
        start = end + 1;
    }
    return path.empty() ? "/" : path;
}

// Whatever a target does with encoded characters, parameters and empty segments, only a dot segment leads out of the prefix.
std::optional<std::string> literalPath(std::string_view target)
{
    const auto raw = target.substr(0, target.find('?'));
    std::string text(raw);
    for (int round = 0; round <= DecodingRounds; ++round) {
        if (!text.starts_with('/') || hasDotSegment(text)) {
            return std::nullopt;
        }
        text = percentDecoded(text);
    }
    return std::string(raw);
}

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    if (name.ends_with('.')) {
        name.pop_back();
    }
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

bool mayUse(const Route &route, const TeamName &team)
{
    return route.open || route.teams.empty() || std::binary_search(route.teams.begin(), route.teams.end(), team);
}

struct RouteTable::Index {
    std::unordered_map<std::string, HostRoutes, StringHash, std::equal_to<>> hosts; ///< key "": routes of any host
};

RouteTable::RouteTable(std::shared_ptr<const Document> document)
    : m_document(std::move(document))
{
    auto index = std::make_unique<Index>();
    for (const auto &route : m_document->routes) {
        auto &host = index->hosts[route.host];
        host.prefixes[route.prefix].push_back(&route);
        host.maxDepth = std::max(host.maxDepth, depth(route.prefix));
    }
    m_index = std::move(index);
}

RouteTable::~RouteTable() = default;

std::optional<std::string> RouteTable::path(std::string_view target) const
{
    return m_document->literalPaths ? literalPath(target) : normalizedPath(target);
}

RouteMatch RouteTable::find(std::string_view host, std::string_view target, std::string_view method) const
{
    const auto path = this->path(target);
    if (!path) {
        return BadPath {};
    }
    const auto name = normalizedHost(host);
    const bool endsWithSlash = target.substr(0, target.find('?')).ends_with('/');
    for (const std::string_view candidate : {std::string_view(name), std::string_view()}) {
        const auto routes = m_index->hosts.find(candidate);
        const auto *list = routes == m_index->hosts.end() ? nullptr : longestPrefix(routes->second, *path, endsWithSlash);
        if (list != nullptr) {
            return matchMethod(*list, method);
        }
    }
    return NoRoute {};
}
}
