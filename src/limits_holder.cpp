#include "limits_p.h"

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
// Request ids must differ between incarnations. Otherwise an answer to an earlier incarnation's request would be taken for
// an answer to one of this incarnation.
LimitsHolder::LimitsHolder(std::uint64_t seed, unsigned maxParts)
    : m_seed(seed)
    , m_maxParts(maxParts)
    , m_nextId((seed << 32) + 1)
{ }

LimitsHolder::~LimitsHolder() = default;

LimitsHolder::Team &LimitsHolder::teamFor(const TeamName &name, const TeamLimits &limits, TimePoint now)
{
    auto &team = m_teams[name];
    if (!team) {
        team = std::make_unique<Team>(name, limits, m_seed, m_maxParts, now);
    }
    team->setLimits(limits);
    return *team;
}

void LimitsHolder::recordWake(const Team &team)
{
    if (const auto due = team.nextDue()) {
        m_wake = std::min(m_wake.value_or(*due), *due);
    }
}

TeamAllowancePtr LimitsHolder::allowance(const TeamName &team, const TeamLimits &limits, TimePoint now)
{
    return teamFor(team, limits, now).allowance();
}

LimitsEffects LimitsHolder::requestToken(const TeamName &team, const TeamLimits &limits, WaiterId waiter, TimePoint deadline, TimePoint now)
{
    auto &entry = teamFor(team, limits, now);
    if (!entry.active) {
        entry.active = true;
        m_active.push_back(&entry);
    }
    LimitsCall call {now, m_nextId, {}};
    entry.acquireToken(waiter, deadline, call);
    return std::move(call.effects);
}

void LimitsHolder::cancel(const TeamName &team, WaiterId waiter)
{
    if (const auto known = m_teams.find(team); known != m_teams.end()) {
        known->second->cancel(waiter);
    }
}

LimitsEffects LimitsHolder::onGrant(const Grant &grant, std::uint64_t epoch, TimePoint now)
{
    const auto known = m_teams.find(grant.team);
    if (known == m_teams.end()) {
        return {};
    }
    LimitsCall call {now, m_nextId, {}};
    known->second->onGrant(grant, epoch < m_epoch, call);
    recordWake(*known->second);
    return std::move(call.effects);
}

LimitsEffects LimitsHolder::tick(TimePoint now)
{
    LimitsCall call {now, m_nextId, {}};
    m_wake.reset();
    std::vector<Team *> active;
    active.swap(m_active);
    for (auto *team : active) {
        team->tick(call);
        recordWake(*team);
        if (!team->idle()) {
            m_active.push_back(team);
            continue;
        }
        team->active = false;
        // The team stays while traffic threads hold its allowance. Otherwise the next grants would fill a new allowance that
        // these threads do not read.
        if (team->allowance()->use_count() == 1) {
            m_teams.erase(TeamName(team->allowance()->team()));
        }
    }
    return std::move(call.effects);
}

void LimitsHolder::limitsChanged(const LimitsChange &change)
{
    if (const auto known = m_teams.find(change.team); known != m_teams.end()) {
        known->second->setLimits(change.after);
    }
}

void LimitsHolder::adoptEpoch(std::uint64_t epoch)
{
    m_epoch = std::max(m_epoch, epoch);
}

LimitsEffects LimitsHolder::release(TimePoint now)
{
    LimitsCall call {now, m_nextId, {}};
    for (auto *team : m_active) {
        team->release(call);
    }
    return std::move(call.effects);
}
}
