#include "access_p.h"

#include <plumsill/request_hold.h>
#include <plumsill/request_priority.h>

#include <boost/beast/http.hpp>

#include <charconv>

namespace plumsill
{
namespace http = boost::beast::http;

namespace
{
Refusal notTrusted()
{
    return {503, "keys-unconfirmed", "keys cannot be confirmed at the moment", RunOutcome::NotRun, config::RetryAfterFailure};
}

Refusal unknownKey()
{
    return {401, "unauthorized", "no key, or an unknown one", std::nullopt, {}};
}

std::vector<std::string_view> fieldValues(const CallerRequestHeader &header, std::string_view name)
{
    std::vector<std::string_view> values;
    const auto [begin, end] = header.equal_range(name);
    for (auto field = begin; field != end; ++field) {
        values.emplace_back(field->value());
    }
    return values;
}

// True when a known key appears in the path or in a field other than Authorization and X-Api-Key. These two fields are removed before a request is
// forwarded; anywhere else the key would reach the target.
bool keyOutsideItsField(const KeyTable &keys, const CallerRequestHeader &header)
{
    if (keys.containsKnownKey(header.target())) {
        return true;
    }
    for (const auto &field : header) {
        const bool stripped = field.name() == http::field::authorization || boost::beast::iequals(field.name_string(), "X-Api-Key");
        if (!stripped && (keys.containsKnownKey(field.value()) || keys.containsKnownKey(field.name_string()))) {
            return true;
        }
    }
    return false;
}

AccessResult checkKey(const Snapshot &snapshot, const Route &route, const CallerRequestHeader &header, TimePoint now)
{
    const auto presence = presentedKey(fieldValues(header, "X-Api-Key"), fieldValues(header, "Authorization"));
    if (std::holds_alternative<AmbiguousKey>(presence)) {
        return Refusal {400, "ambiguous-key", "more than one key", std::nullopt, {}};
    }
    const auto *presented = std::get_if<PresentedKey>(&presence);
    if (route.open) {
        return Access {route, {}, presented == nullptr ? std::string() : presented->key, requestPriority(std::nullopt, route.priority)};
    }
    if (now >= snapshot.trustedUntil) {
        return notTrusted();
    }
    const TeamName *team = presented == nullptr ? nullptr : snapshot.compiled->keys.find(presented->key);
    if (team == nullptr) {
        return unknownKey();
    }
    if (!mayUse(route, *team)) {
        return Refusal {403, "forbidden", "the team may not use this route", std::nullopt, {}};
    }
    return Access {route, *team, presented->key, requestPriority(snapshot.compiled->priorityOf(*team), route.priority)};
}

/// Time that the caller gives the request, where it says so.
std::optional<Duration> callerTime(const CallerRequestHeader &header, const Dialect &dialect)
{
    const auto field = header[dialect.deadline];
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), milliseconds);
    if (field.empty() || error != std::errc() || end != field.data() + field.size()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

std::string joined(const std::vector<std::string> &values)
{
    std::string text;
    for (const auto &value : values) {
        text += (text.empty() ? "" : ", ") + value;
    }
    return text;
}
}

AccessResult checkAccess(const Snapshot &snapshot, const CallerRequestHeader &header, TimePoint now)
{
    if (!snapshot.compiled) {
        return notTrusted();
    }
    const auto match = snapshot.compiled->routes.find(header[http::field::host], header.target(), header.method_string());
    if (std::holds_alternative<BadPath>(match)) {
        return Refusal {400, "bad-path", "the path is ambiguous", std::nullopt, {}};
    }
    if (const auto *notAllowed = std::get_if<MethodNotAllowed>(&match)) {
        return Refusal {405, "method-not-allowed", "allowed: " + joined(notAllowed->allowed), std::nullopt, {}};
    }
    const auto *found = std::get_if<RouteFound>(&match);
    if (found == nullptr) {
        return Refusal {404, "no-route", "no route for this host and path", std::nullopt, {}};
    }
    if (keyOutsideItsField(snapshot.compiled->keys, header)) {
        return Refusal {400, "key-outside-header", "a key stands outside its header", std::nullopt, {}};
    }
    return checkKey(snapshot, *found->route, header, now);
}

TimePoint holdUntil(const Snapshot &snapshot, const CallerRequestHeader &header, const Dialect &dialect, TimePoint arrivedAt, TimePoint now)
{
    return holdUntil({snapshot.trustedUntil, snapshot.publishedAt, snapshot.proofExpectedUntil}, callerTime(header, dialect), arrivedAt, now);
}

std::optional<Refusal> recheckAccess(const Snapshot &snapshot, const Access &access, TimePoint now)
{
    if (access.route.open) {
        return std::nullopt;
    }
    if (now >= snapshot.trustedUntil) {
        return notTrusted();
    }
    const TeamName *team = snapshot.compiled->keys.find(access.key);
    if (team == nullptr || *team != access.team) {
        return unknownKey();
    }
    return std::nullopt;
}

const ServiceName &chooseService(const Route &route, double point)
{
    double total = 0;
    for (const auto &part : route.split) {
        total += part.weight;
    }
    double remaining = point * total;
    const ServiceName *chosen = &route.service;
    for (const auto &part : route.split) {
        if (part.weight <= 0) {
            continue;
        }
        chosen = &part.service;
        remaining -= part.weight;
        if (remaining < 0) {
            break;
        }
    }
    return *chosen;
}

TimePoint requestDeadline(const Route &route, const CallerRequestHeader &header, const Dialect &dialect, TimePoint now)
{
    return now + std::min<Duration>(route.timeout, callerTime(header, dialect).value_or(route.timeout));
}
}
