#include <plumsill/document.h>
#include <plumsill/ini.h>
#include <plumsill/request_priority.h>
#include <plumsill/routing.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace plumsill
{
namespace
{
constexpr auto MaxRouteTimeout = std::chrono::minutes(10);
constexpr std::size_t MaxBodyLimitBytes = config::MaxBodyBytes;
constexpr double MaxRate = 1e6;
constexpr unsigned MaxSlots = 100'000;
constexpr unsigned MaxRouteAttempts = 10;
constexpr unsigned MaxTargetConnections = 1'000'000;

struct SectionHeader {
    std::string section;
    unsigned line = 0;
    std::size_t entries = 0;
};

using EntryIterator = std::vector<IniEntry>::const_iterator;

/// Location of a section and its entries, so that later checks can report the line of a key.
struct SectionEntries {
    unsigned line = 0;
    EntryIterator first;
    EntryIterator last;
};

struct Checker {
    const std::string &file;
    ParsedDocument &result;
    std::vector<SectionEntries> teamSections {};
    std::vector<SectionEntries> routeSections {};

    void problem(unsigned line, const std::string &section, const std::string &key, const std::string &reason)
    {
        result.problems.push_back({file, line, section + "." + key, reason});
    }
};

// The INI library reports entries only. This function finds all sections, including empty and repeated ones.
std::vector<SectionHeader> sectionHeaders(const std::string &text, const std::vector<IniEntry> &entries)
{
    std::vector<SectionHeader> headers;
    auto entry = entries.begin();
    unsigned line = 0;
    for (std::size_t position = 0; position < text.size();) {
        const auto end = std::min(text.find('\n', position), text.size());
        const auto content = std::string_view(text).substr(position, end - position);
        const auto first = content.find_first_not_of(" \t");
        const bool opens = first != std::string_view::npos && content[first] == '[';
        const auto close = opens ? content.find(']', first) : std::string_view::npos;
        ++line;
        for (; entry != entries.end() && entry->line <= line; ++entry) {
            if (!headers.empty()) {
                ++headers.back().entries;
            }
        }
        if (close != std::string_view::npos) {
            headers.push_back({std::string(content.substr(first + 1, close - first - 1)), line, 0});
        }
        position = end + 1;
    }
    return headers;
}

bool isName(const std::string &name)
{
    const auto allowed = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.'; };
    return !name.empty() && std::all_of(name.begin(), name.end(), allowed);
}

std::optional<double> parseShare(const std::string &text)
{
    const bool percent = !text.empty() && text.back() == '%';
    const auto number = parseNumber(percent ? text.substr(0, text.size() - 1) : text);
    const auto share = number ? std::optional<double>(percent ? *number / 100 : *number) : std::nullopt;
    return share && *share >= 0 && *share <= 1 ? share : std::nullopt;
}

std::optional<double> parseRate(const std::string &text)
{
    if (!text.ends_with("/s")) {
        return std::nullopt;
    }
    const auto rate = parseNumber(text.substr(0, text.size() - 2));
    return rate && *rate > 0 && *rate <= MaxRate ? rate : std::nullopt;
}

std::optional<unsigned> parsePriority(const std::string &text)
{
    const auto number = parseNumber(text);
    const bool isInteger = number && std::floor(*number) == *number && *number >= 0 && *number <= MaxPriority;
    return isInteger ? std::optional<unsigned>(static_cast<unsigned>(*number)) : std::nullopt;
}

std::optional<unsigned> parseCount(const std::string &text, unsigned max)
{
    const auto number = parseNumber(text);
    const bool isInteger = number && std::floor(*number) == *number;
    return isInteger && *number >= 1 && *number <= max ? std::optional<unsigned>(static_cast<unsigned>(*number)) : std::nullopt;
}

bool isDigest(const std::string &text)
{
    const auto hex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == 64 && std::all_of(text.begin(), text.end(), hex);
}

bool isMethod(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

template<class Value, class Target>
std::string assign(const std::optional<Value> &value, Target &target, const char *reason)
{
    if (!value) {
        return reason;
    }
    target = static_cast<Target>(*value);
    return {};
}

// Reason for the rejection of a key that the section doesn't have. Every setter below returns the reason why it rejects a
// key or its value, or an empty text if it accepts both.
constexpr const char *UnknownKey = "unknown key";

std::string setProfile(HealthPolicy &policy, const std::string &value)
{
    if (value == "few-false-ejections") {
        policy = FewFalseEjections {};
        return {};
    }
    if (value == "fast-detection") {
        policy = FastDetection {};
        return {};
    }
    return "neither few-false-ejections nor fast-detection";
}

std::string setKey(Service &service, const std::string &key, const std::string &value)
{
    if (key == "floor") {
        return assign(parseShare(value), service.floor, "not a share from 0 to 1 or 0% to 100%");
    }
    if (key == "slots") {
        return assign(parseCount(value, MaxSlots), service.slots, "not a whole number from 1 to 100000");
    }
    if (key == "profile") {
        return setProfile(service.policy, value);
    }
    if (key == "objective") {
        return assign(parseShare(value), service.objective, "not a share from 0 to 1 or 0% to 100%");
    }
    if (key == "max-connections") {
        return assign(parseCount(value, MaxTargetConnections), service.maxConnections, "not a whole number from 1 to 1000000");
    }
    return UnknownKey;
}

std::string setBurst(Team &team, const std::string &value)
{
    const auto burst = parseNumber(value);
    if (!burst || *burst < 1 || *burst > MaxRate) {
        return "not a number of requests from 1 to 1000000";
    }
    team.burst = *burst;
    return {};
}

std::string addDigest(Team &team, const std::string &value)
{
    if (!isDigest(value)) {
        return "not a SHA-256 digest of 64 lower-case hexadecimal digits";
    }
    team.keyDigests.push_back(value);
    return {};
}

std::string setKey(Team &team, const std::string &key, const std::string &value)
{
    if (key == "priority") {
        return assign(parsePriority(value), team.priority, "not a whole number from 0 to 1000");
    }
    if (key == "rate" && value == "unlimited") {
        team.rate = 0;
        return {};
    }
    if (key == "rate") {
        return assign(parseRate(value), team.rate, "not a rate above 0 and up to 1000000, such as 50/s");
    }
    if (key == "burst") {
        return setBurst(team, value);
    }
    if (key == "key") {
        return addDigest(team, value);
    }
    return UnknownKey;
}

std::string setPrefix(Route &route, const std::string &value)
{
    const auto path = normalizedPath(value);
    if (!path || value.find('?') != std::string::npos || value.find(';') != std::string::npos) {
        return "not a plain path that starts with '/'";
    }
    route.prefix = *path;
    return {};
}

std::string setHost(Route &route, const std::string &value)
{
    route.host = normalizedHost(value);
    return isName(route.host) ? std::string() : "not a host name";
}

std::string setMethods(Route &route, const std::string &value)
{
    route.methods = splitList(value);
    std::sort(route.methods.begin(), route.methods.end());
    const bool repeated = std::adjacent_find(route.methods.begin(), route.methods.end()) != route.methods.end();
    const bool methods = std::all_of(route.methods.begin(), route.methods.end(), isMethod);
    return methods && !repeated && !route.methods.empty() ? std::string() : "not a list of different methods in capitals";
}

std::string setTeams(Route &route, const std::string &value)
{
    for (auto &name : splitList(value)) {
        route.teams.push_back({std::move(name)});
    }
    std::sort(route.teams.begin(), route.teams.end());
    const bool repeated = std::adjacent_find(route.teams.begin(), route.teams.end()) != route.teams.end();
    return route.teams.empty() || repeated ? "not a list of different teams" : std::string();
}

std::string setAccess(Route &route, const std::string &value)
{
    route.open = value == "open";
    return value == "open" || value == "team" ? std::string() : "neither open nor team";
}

std::string setTimeout(Route &route, const std::string &value)
{
    const auto timeout = parseDuration(value);
    if (!timeout || *timeout < std::chrono::milliseconds(1) || *timeout > MaxRouteTimeout) {
        return "not a duration with a unit from 1ms to 10m";
    }
    route.timeout = std::chrono::floor<std::chrono::milliseconds>(*timeout);
    return {};
}

std::string setObjective(Route &route, const std::string &value)
{
    const auto objective = parseDuration(value);
    if (!objective || *objective < std::chrono::milliseconds(1) || *objective > MaxRouteTimeout) {
        return "not a duration with a unit from 1ms to 10m";
    }
    route.objective = std::chrono::floor<std::chrono::milliseconds>(*objective);
    return {};
}

std::string setSplit(Route &route, const std::string &value)
{
    constexpr const char *Reason = "not a list of different services with weights, such as a:90, b:10";
    double total = 0;
    for (const auto &part : splitList(value)) {
        const auto colon = part.rfind(':');
        const auto weight = colon == std::string::npos ? std::nullopt : parseNumber(part.substr(colon + 1));
        if (!weight || *weight < 0) {
            return Reason;
        }
        route.split.push_back({{part.substr(0, colon)}, *weight});
        total += *weight;
    }
    return total > 0 ? std::string() : Reason;
}

std::string setBodyLimit(Route &route, const std::string &value)
{
    const auto limit = parseBytes(value);
    if (!limit || *limit > MaxBodyLimitBytes) {
        return "not a size with a unit up to 64MB";
    }
    route.bodyLimit = *limit;
    return {};
}

std::string setKey(Route &route, const std::string &key, const std::string &value)
{
    using Setter = std::string (*)(Route &, const std::string &);
    static const std::map<std::string, Setter> setters {
        {"host", setHost},
        {"prefix", setPrefix},
        {"methods", setMethods},
        {"access", setAccess},
        {"teams", setTeams},
        {"timeout", setTimeout},
        {"body-limit", setBodyLimit},
        {"objective", setObjective},
        {"split", setSplit},
        {"attempts",
         [](Route &target, const std::string &text) { return assign(parseCount(text, MaxRouteAttempts), target.attempts, "not a whole number from 1 to 10"); }},
        {"priority", [](Route &target, const std::string &text) { return assign(parsePriority(text), target.priority, "not a whole number from 0 to 1000"); }},
        {"below-only", [](Route &target, const std::string &text) { return assign(parseYesNo(text), target.belowOnly, "neither yes nor no"); }},
        {"large-answers", [](Route &target, const std::string &text) { return assign(parseYesNo(text), target.large, "neither yes nor no"); }},
        {"service",
         [](Route &target, const std::string &text) {
             target.service = {text};
             return std::string();
         }},
        {"idempotent", [](Route &target, const std::string &text) { return assign(parseYesNo(text), target.idempotent, "neither yes nor no"); }},
    };
    const auto setter = setters.find(key);
    return setter == setters.end() ? UnknownKey : setter->second(route, value);
}

std::string setKey(CallerLimits &limits, const std::string &key, const std::string &value)
{
    static constexpr auto MaxCallerTimeout = std::chrono::hours(1);
    const auto setBytes = [&value](std::size_t &target) {
        const auto bytes = parseBytes(value);
        const bool valid = bytes && *bytes > 0 && *bytes <= MaxBodyLimitBytes;
        return assign(valid ? bytes : std::nullopt, target, "not a size with a unit up to 64MB");
    };
    const auto setTime = [&value](Duration &target) {
        const auto time = parseDuration(value);
        const bool valid = time && *time >= std::chrono::milliseconds(1) && *time <= MaxCallerTimeout;
        return assign(valid ? time : std::nullopt, target, "not a duration with a unit from 1ms to 1h");
    };
    if (key == "header-bytes") {
        return setBytes(limits.headerBytes);
    }
    if (key == "body-bytes") {
        return setBytes(limits.bodyBytes);
    }
    if (key == "header-timeout") {
        return setTime(limits.headerTimeout);
    }
    return key == "idle-timeout" ? setTime(limits.idleTimeout) : UnknownKey;
}

bool repeatable(const std::string &section, const std::string &key)
{
    return key == "key" && section.starts_with("team ");
}

template<class Item>
void readItem(Checker &checker, Item &item, const SectionHeader &header, const SectionEntries &sectionEntries, const std::vector<std::string> &required)
{
    std::set<std::string_view> seen;
    for (auto entry = sectionEntries.first; entry != sectionEntries.last; ++entry) {
        const auto reason = setKey(item, entry->key, entry->value);
        if (!reason.empty()) {
            checker.problem(entry->line, header.section, entry->key, reason);
        }
        if (!seen.insert(entry->key).second && !repeatable(header.section, entry->key)) {
            checker.problem(entry->line, header.section, entry->key, "given twice");
        }
    }
    for (const auto &key : required) {
        if (!seen.contains(key)) {
            checker.problem(header.line, header.section, key, "missing");
        }
    }
}

template<class Item>
void addItem(Checker &checker, std::vector<Item> &items, const SectionHeader &header, const SectionEntries &sectionEntries,
             const std::vector<std::string> &required)
{
    auto &item = items.emplace_back();
    item.name = {header.section.substr(header.section.find(' ') + 1)};
    readItem(checker, item, header, sectionEntries, required);
}

void readSection(Checker &checker, const SectionHeader &header, const SectionEntries &sectionEntries)
{
    static const std::vector<std::string> serviceKeys {"floor"};
    static const std::vector<std::string> teamKeys {"rate", "burst"};
    static const std::vector<std::string> routeKeys {"prefix", "idempotent", "access"};
    const auto space = header.section.find(' ');
    const std::string kind = header.section.substr(0, space);
    auto &document = checker.result.document;
    if (header.section == "limits") {
        readItem(checker, document.limits, header, sectionEntries, {});
    } else if (kind != "service" && kind != "team" && kind != "route") {
        checker.problem(header.line, header.section, "section", "unknown section");
    } else if (space == std::string::npos || !isName(header.section.substr(space + 1))) {
        checker.problem(header.line, header.section, "section", "needs a name of letters, digits, '-', '_' and '.'");
    } else if (kind == "service") {
        addItem(checker, document.services, header, sectionEntries, serviceKeys);
    } else if (kind == "team") {
        addItem(checker, document.teams, header, sectionEntries, teamKeys);
        checker.teamSections.push_back(sectionEntries);
    } else {
        addItem(checker, document.routes, header, sectionEntries, routeKeys);
        const Route &route = document.routes.back();
        if (route.service.empty() == route.split.empty()) {
            checker.problem(header.line, header.section, "service", route.split.empty() ? "missing" : "given beside a split");
        }
        checker.routeSections.push_back(sectionEntries);
    }
}

void readSections(Checker &checker, const std::vector<SectionHeader> &headers, const std::vector<IniEntry> &entries)
{
    std::unordered_map<std::string, unsigned> seen;
    auto entry = entries.begin();
    const auto before = [&](const IniEntry &next) { return headers.empty() || next.line < headers.front().line; };
    for (; entry != entries.end() && before(*entry); ++entry) {
        checker.problem(entry->line, "", entry->key, "outside of any section");
    }
    for (const auto &header : headers) {
        const auto [first, inserted] = seen.emplace(header.section, header.line);
        if (!inserted) {
            checker.problem(header.line, header.section, "section", "already given in line " + std::to_string(first->second));
        }
        const auto last = entry + static_cast<std::ptrdiff_t>(header.entries);
        readSection(checker, header, {header.line, entry, last});
        entry = last;
    }
}

unsigned lineOf(const SectionEntries &sectionEntries, const std::string &key)
{
    const auto found = std::find_if(sectionEntries.first, sectionEntries.last, [&](const IniEntry &entry) { return entry.key == key; });
    return found == sectionEntries.last ? sectionEntries.line : found->line;
}

void checkKeys(Checker &checker)
{
    std::unordered_map<std::string_view, const Team *> owners;
    const auto &teams = checker.result.document.teams;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        for (const auto &digest : teams[i].keyDigests) {
            const auto [owner, inserted] = owners.emplace(digest, &teams[i]);
            if (!inserted) {
                const auto line = lineOf(checker.teamSections[i], "key");
                checker.problem(line, "team " + teams[i].name.value, "key", "the same key is already given to team " + owner->second->name.value);
            }
        }
    }
}

void checkReferences(Checker &checker)
{
    const auto &document = checker.result.document;
    std::unordered_set<std::string_view> services;
    std::unordered_set<std::string_view> teams;
    for (const auto &service : document.services) {
        services.insert(service.name.value);
    }
    for (const auto &team : document.teams) {
        teams.insert(team.name.value);
    }
    for (std::size_t i = 0; i < document.routes.size(); ++i) {
        const auto &route = document.routes[i];
        const auto &sectionEntries = checker.routeSections[i];
        const std::string section = "route " + route.name.value;
        if (!route.service.empty() && !services.contains(route.service.value)) {
            checker.problem(lineOf(sectionEntries, "service"), section, "service", "unknown service " + route.service.value);
        }
        for (const auto &part : route.split) {
            if (!services.contains(part.service.value)) {
                checker.problem(lineOf(sectionEntries, "split"), section, "split", "unknown service " + part.service.value);
            }
        }
        for (const auto &team : route.teams) {
            if (!teams.contains(team.value)) {
                checker.problem(lineOf(sectionEntries, "teams"), section, "teams", "unknown team " + team.value);
            }
        }
        if (route.open && !route.teams.empty()) {
            checker.problem(lineOf(sectionEntries, "teams"), section, "teams", "an open route takes no teams");
        }
    }
}

bool shareMethod(const Route &a, const Route &b)
{
    if (a.methods.empty() || b.methods.empty()) {
        return true;
    }
    const auto inB = [&](const std::string &method) { return std::find(b.methods.begin(), b.methods.end(), method) != b.methods.end(); };
    return std::any_of(a.methods.begin(), a.methods.end(), inB);
}

void checkOverlaps(Checker &checker)
{
    std::unordered_map<std::string, std::vector<const Route *>> routesByPath;
    const auto &routes = checker.result.document.routes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        auto &others = routesByPath[routes[i].host + routes[i].prefix];
        const auto same = std::find_if(others.begin(), others.end(), [&](const Route *other) { return shareMethod(*other, routes[i]); });
        if (same != others.end() && !routes[i].prefix.empty()) {
            const auto line = lineOf(checker.routeSections[i], "prefix");
            checker.problem(line, "route " + routes[i].name.value, "prefix", "same host, prefix and method as route " + (*same)->name.value);
        }
        others.push_back(&routes[i]);
    }
}
}

ParsedDocument parseDocument(const std::string &text, const std::string &file)
{
    ParsedDocument result;
    auto ini = readIni(text, file);
    result.problems = std::move(ini.problems);
    Checker checker {file, result};
    readSections(checker, sectionHeaders(text, ini.entries), ini.entries);
    checkKeys(checker);
    checkReferences(checker);
    checkOverlaps(checker);
    const auto byLine = [](const IniProblem &a, const IniProblem &b) { return a.line < b.line; };
    std::stable_sort(result.problems.begin(), result.problems.end(), byLine);
    return result;
}
}
