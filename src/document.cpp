#include <plumsill/document.h>

#include <openssl/sha.h>

#include <charconv>
#include <map>

namespace plumsill
{
namespace
{
std::string number(double value)
{
    std::array<char, 32> buffer {};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : std::string();
}

std::string joined(const std::vector<std::string> &values)
{
    std::string text;
    for (const auto &value : values) {
        text += (text.empty() ? "" : ", ") + value;
    }
    return text;
}

std::string joined(const std::vector<TeamName> &names)
{
    std::vector<std::string> values;
    values.reserve(names.size());
    for (const auto &name : names) {
        values.push_back(name.value);
    }
    return joined(values);
}

std::string canonical(const HealthPolicy &policy)
{
    return std::holds_alternative<FastDetection>(policy) ? "fast-detection" : "few-false-ejections";
}

std::string canonical(const Service &service)
{
    std::string text = "[service " + service.name.value + "]\n";
    text += "floor = " + number(service.floor) + "\n";
    text += "slots = " + std::to_string(service.slots) + "\n";
    text += "profile = " + canonical(service.policy) + "\n";
    text += "objective = " + number(service.objective) + "\n";
    if (service.maxConnections > 0) {
        text += "max-connections = " + std::to_string(service.maxConnections) + "\n";
    }
    return text;
}

std::string canonical(const Team &team)
{
    std::string text = "[team " + team.name.value + "]\n";
    text += "rate = " + (team.limited() ? number(team.rate) + "/s" : std::string("unlimited")) + "\n";
    text += "burst = " + number(team.burst) + "\n";
    if (team.priority) {
        text += "priority = " + std::to_string(*team.priority) + "\n";
    }
    for (const auto &digest : team.keyDigests) {
        text += "key = " + digest + "\n";
    }
    return text;
}

std::string joined(const std::vector<WeightedService> &parts)
{
    std::vector<std::string> values;
    values.reserve(parts.size());
    for (const auto &part : parts) {
        values.push_back(part.service.value + ":" + number(part.weight));
    }
    return joined(values);
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + "ms";
}

// Returns the lines of rarely used keys. A key whose value is the default is left out.
std::string canonicalExtras(const Route &route)
{
    const Route defaults;
    std::string text;
    if (route.attempts != defaults.attempts) {
        text += "attempts = " + std::to_string(route.attempts) + "\n";
    }
    if (route.priority != defaults.priority) {
        text += "priority = " + std::to_string(route.priority) + "\n";
    }
    if (route.objective != defaults.objective) {
        text += "objective = " + milliseconds(route.objective) + "\n";
    }
    if (route.belowOnly) {
        text += "below-only = yes\n";
    }
    if (route.large) {
        text += "large-answers = yes\n";
    }
    return text;
}

std::string canonical(const Route &route)
{
    std::string text = "[route " + route.name.value + "]\n";
    if (!route.host.empty()) {
        text += "host = " + route.host + "\n";
    }
    text += "prefix = " + route.prefix + "\n";
    if (!route.methods.empty()) {
        text += "methods = " + joined(route.methods) + "\n";
    }
    if (route.split.empty()) {
        text += "service = " + route.service.value + "\n";
    } else {
        text += "split = " + joined(route.split) + "\n";
    }
    text += std::string("idempotent = ") + (route.idempotent ? "yes" : "no") + "\n";
    text += std::string("access = ") + (route.open ? "open" : "team") + "\n";
    if (!route.teams.empty()) {
        text += "teams = " + joined(route.teams) + "\n";
    }
    text += "timeout = " + milliseconds(route.timeout) + "\n";
    text += "body-limit = " + std::to_string(route.bodyLimit) + "B\n";
    return text + canonicalExtras(route);
}

std::string canonical(const CallerLimits &limits)
{
    std::string text = "[limits]\n";
    text += "header-bytes = " + std::to_string(limits.headerBytes) + "B\n";
    text += "body-bytes = " + std::to_string(limits.bodyBytes) + "B\n";
    text += "header-timeout = " + milliseconds(limits.headerTimeout) + "\n";
    text += "idle-timeout = " + milliseconds(limits.idleTimeout) + "\n";
    return text;
}

template<class Item>
std::map<std::string, const Item *> byName(const std::vector<Item> &items)
{
    std::map<std::string, const Item *> sorted;
    for (const auto &item : items) {
        sorted.emplace(item.name.value, &item);
    }
    return sorted;
}

template<class Item>
void appendCanonical(std::string &text, const std::vector<Item> &items)
{
    for (const auto &[name, item] : byName(items)) {
        text += canonical(*item);
    }
}

template<class Item>
void appendChanges(std::vector<DocumentChange> &changes, const std::vector<Item> &before, const std::vector<Item> &after)
{
    const auto oldItems = byName(before);
    const auto newItems = byName(after);
    for (const auto &[name, item] : oldItems) {
        const auto same = newItems.find(name);
        if (same == newItems.end()) {
            changes.push_back(ItemChange<Item> {*item, std::nullopt});
        } else if (*same->second != *item) {
            changes.push_back(ItemChange<Item> {*item, *same->second});
        }
    }
    for (const auto &[name, item] : newItems) {
        if (!oldItems.contains(name)) {
            changes.push_back(ItemChange<Item> {std::nullopt, *item});
        }
    }
}

const char *kind(const ItemChange<Service> & /*change*/)
{
    return "service";
}

const char *kind(const ItemChange<Team> & /*change*/)
{
    return "team";
}

const char *kind(const ItemChange<Route> & /*change*/)
{
    return "route";
}
}

std::string toString(const IniProblem &problem)
{
    return problem.file + ":" + std::to_string(problem.line) + ": " + problem.field + ": " + problem.reason;
}

std::string canonicalText(const Document &document)
{
    std::string text;
    appendCanonical(text, document.services);
    appendCanonical(text, document.teams);
    appendCanonical(text, document.routes);
    if (document.limits != CallerLimits {}) {
        text += canonical(document.limits);
    }
    return text;
}

std::vector<DocumentChange> diffDocuments(const Document &before, const Document &after)
{
    std::vector<DocumentChange> changes;
    appendChanges(changes, before.services, after.services);
    appendChanges(changes, before.teams, after.teams);
    appendChanges(changes, before.routes, after.routes);
    if (before.limits != after.limits) {
        changes.push_back(LimitsChanged {before.limits, after.limits});
    }
    return changes;
}

std::string toString(const DocumentChange &change)
{
    if (std::holds_alternative<LimitsChanged>(change)) {
        return "changed limits";
    }
    const auto line = []<class Item>(const ItemChange<Item> &item) {
        const std::string verb = !item.before ? "added" : !item.after ? "removed" : "changed";
        const auto &name = item.after ? item.after->name : item.before->name;
        return verb + " " + kind(item) + " " + name.value;
    };
    if (const auto *service = std::get_if<ItemChange<Service>>(&change)) {
        return line(*service);
    }
    if (const auto *team = std::get_if<ItemChange<Team>>(&change)) {
        return line(*team);
    }
    return line(std::get<ItemChange<Route>>(change));
}

std::string sha256Hex(const std::string &bytes)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (const auto byte : digest) {
        text += Digits[byte >> 4];
        text += Digits[byte & 15];
    }
    return text;
}
}
