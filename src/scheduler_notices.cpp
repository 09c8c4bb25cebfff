#include <plumsill/scheduler.h>

#include <algorithm>

// What targets say of themselves in their answers: a limit of their rate, that they are leaving, and for how long they want no request.
namespace plumsill
{
bool Scheduler::recordLimit(const TargetName &target, const LimitStatement &limit, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || !limit.stated) {
        return false;
    }
    return found->second->limit.record(limit.limited ? std::optional(limit.perSecond) : std::nullopt, now, now);
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

void Scheduler::recordRest(const TargetName &target, const InstanceName &daemon, TimePoint until)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        TimePoint &known = found->second->restsFrom[daemon];
        known = std::max(known, until);
    }
}

TimePoint Scheduler::restsUntil(const TargetState &state, const InstanceName &daemon)
{
    const auto rest = state.restsFrom.find(daemon);
    return rest == state.restsFrom.end() ? state.unlistedUntil : std::max(rest->second, state.unlistedUntil);
}

Duration Scheduler::restLeft(const TargetName &target, const InstanceName &daemon, TimePoint now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return {};
    }
    const auto rest = found->second->restsFrom.find(daemon);
    return rest == found->second->restsFrom.end() ? Duration::zero() : std::max<Duration>(rest->second - now, Duration::zero());
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
