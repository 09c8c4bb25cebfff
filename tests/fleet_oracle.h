#pragma once

#include "fleet_fake.h"

#include <set>
#include <string>

/// Invariants of the fake fleet: each key has at most one acting owner, accepted documents stay known, and the fleet
/// settles, as unsettledReason() defines it.
namespace plumsill::fake
{
inline void Fleet::checkActingOwners(std::size_t index)
{
    const Node &node = nodes[index];
    for (std::size_t number = 0; number < keys.size(); ++number) {
        if (!node.ownership->mayAct(keys[number], local(node))) {
            continue;
        }
        ActingPeriod &last = m_lastActing[number];
        if (last.by != node.self.id && now < last.until) {
            recordViolation("two owners of key " + std::to_string(number) + ": " + last.by.name.value + " in epoch " + std::to_string(last.epoch) + ", "
                            + node.self.id.name.value + " in epoch " + std::to_string(node.membership->epoch()));
        }
        last = {node.self.id, node.membership->epoch(), now + effectLifetime(keys[number])};
    }
}

// Once a daemon has seen that a majority accepted a document, no daemon may claim that an older document was the newest at
// any later time.
inline void Fleet::checkDocument(std::size_t index)
{
    const Node &node = nodes[index];
    const auto freshAt = node.membership->documentFreshAt();
    const bool accepted = node.document > 0 && node.membership->majorityHolds({node.document, "d"}) && node.membership->epochConfirmed(local(node));
    if (accepted && (m_accepted.empty() || m_accepted.back().first < node.document)) {
        m_accepted.emplace_back(node.document, now);
    }
    for (const auto &[version, when] : m_accepted) {
        const auto localWhen = TimePoint(1h) + scaled(when - TimePoint(1h), node.rate);
        if (freshAt && version > node.document && *freshAt > localWhen + 1ms) {
            recordViolation(node.self.id.name.value + " regards document " + std::to_string(node.document) + " as the newest after " + std::to_string(version)
                            + " was accepted");
        }
    }
}

inline void Fleet::recordViolation(const std::string &text)
{
    if (violations.size() < 20) {
        violations.push_back(std::to_string(seconds(now - TimePoint(1h))) + " s: " + text);
    }
}

inline std::optional<std::size_t> Fleet::actingFor(const OwnedKey &key) const
{
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const Node &node = nodes[index];
        if (node.alive && !paused(node) && node.ownership->mayAct(key, local(node))) {
            return index;
        }
    }
    return std::nullopt;
}

inline std::string Fleet::unsettledReason() const
{
    std::set<std::uint64_t> epochs;
    for (const Node &node : nodes) {
        if (!node.alive) {
            continue;
        }
        const Membership &membership = *node.membership;
        epochs.insert(membership.epoch());
        if (!membership.isMember() || !membership.epochConfirmed(local(node)) || !membership.documentConfirmed(local(node))) {
            return node.self.id.name.value + " is not a confirmed member, epoch " + std::to_string(membership.epoch());
        }
    }
    if (epochs.size() > 1) {
        return "more than one epoch";
    }
    for (std::size_t number = 0; number < keys.size(); ++number) {
        if (!actingFor(keys[number])) {
            return "no owner acts for key " + std::to_string(number);
        }
    }
    return {};
}

inline std::optional<Duration> Fleet::settle(Duration limit)
{
    const TimePoint begin = now;
    while (now - begin < limit) {
        run(100ms);
        if (unsettledReason().empty()) {
            return now - begin;
        }
    }
    return std::nullopt;
}
}
