#include <plumsill/config.h>
#include <plumsill/scheduler.h>
#include <plumsill/target_list.h>

#include <algorithm>

// What targets say of themselves in their answers: a limit of their rate, that they are leaving, and for how long they want no request.
namespace plumsill
{
bool Scheduler::recordLimit(const TargetName &target, const LimitStatement &limit, TimePoint now)
{
    const TargetStatePtr state = knownState(target);
    if (!state || !limit.stated) {
        return false;
    }
    return state->limit.record(limit.limited ? std::optional(limit.perSecond) : std::nullopt, now, now);
}

bool Scheduler::recordLeaving(const TargetName &target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second->saidLeaving) {
        return false;
    }
    found->second->saidLeaving = true;
    m_saidLeaving[target] = found->second->target;
    return true;
}

bool Scheduler::saidLeaving(const TargetName &target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && found->second->saidLeaving;
}

Scheduler::TargetStatePtr Scheduler::knownState(const TargetName &target) const
{
    const auto listed = m_targets.find(target);
    if (listed != m_targets.end()) {
        return listed->second;
    }
    const auto unlisted = m_unlisted.find(target);
    return unlisted == m_unlisted.end() ? nullptr : unlisted->second.state;
}

Scheduler::TargetStatePtr Scheduler::knownState(const Target &target) const
{
    TargetStatePtr state = knownState(target.name);
    return state && sameRun(state->target, target) ? state : nullptr;
}

std::map<InstanceName, TimePoint> Scheduler::takeEarlyRests(const TargetName &target)
{
    const auto early = m_earlyRests.extract(target);
    return early.empty() ? std::map<InstanceName, TimePoint>() : early.mapped();
}

void Scheduler::keepUnlisted(const std::map<TargetName, TargetStatePtr> &listed, TimePoint now)
{
    for (const auto &[name, state] : m_targets) {
        if (!listed.contains(name)) {
            m_unlisted[name] = {state, now};
        }
    }
    std::erase_if(m_unlisted,
                  [&listed, now](const auto &entry) { return listed.contains(entry.first) || now - entry.second.since > config::UnlistedStateLifetime; });
    std::erase_if(m_earlyRests, [now](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(), [now](const auto &rest) { return rest.second <= now; });
    });
}

// A target's own scheduler may list it before this daemon does.
void Scheduler::recordRest(const TargetName &target, const InstanceName &daemon, TimePoint until)
{
    const TargetStatePtr state = knownState(target);
    TimePoint &known = state ? state->restsFrom[daemon] : m_earlyRests[target][daemon];
    known = std::max(known, until);
}

TimePoint Scheduler::restsUntil(const TargetState &state, const InstanceName &daemon)
{
    const auto rest = state.restsFrom.find(daemon);
    return rest == state.restsFrom.end() ? state.unlistedUntil : std::max(rest->second, state.unlistedUntil);
}

Duration Scheduler::restLeft(const TargetName &target, const InstanceName &daemon, TimePoint now) const
{
    const TargetStatePtr state = knownState(target);
    const auto early = m_earlyRests.find(target);
    if (!state && early == m_earlyRests.end()) {
        return {};
    }
    const auto &rests = state ? state->restsFrom : early->second;
    const auto rest = rests.find(daemon);
    return rest == rests.end() ? Duration::zero() : std::max<Duration>(rest->second - now, Duration::zero());
}

TargetLimit *Scheduler::limit(std::uint32_t target)
{
    const auto found = m_byHash.find(target);
    return found == m_byHash.end() ? nullptr : &found->second->limit;
}

void Scheduler::setLimitPart(const QuotaPart &part, TimePoint now)
{
    m_limitPart = part;
    for (auto &[name, state] : m_targets) {
        state->limit.setPart(part, now);
    }
}

std::vector<NamedLimit> Scheduler::limits(TimePoint now) const
{
    std::vector<NamedLimit> limits;
    for (const auto &[hash, state] : m_byHash) {
        if (const auto report = state->limit.report(hash, now)) {
            limits.push_back(*report);
        }
    }
    return limits;
}
}
