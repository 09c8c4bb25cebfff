#include <plumsill/health.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
std::size_t maxTargetsOutOfUse(double floor, std::size_t listed)
{
    // 0.7 x 10 is slightly above 7 in binary floating point. Without the tolerance it would be rounded up to 8, and one
    // target fewer could be out of use.
    constexpr double RoundingTolerance = 1e-9;
    const double minInUse = std::ceil(floor * static_cast<double>(listed) - RoundingTolerance);
    return listed - std::min(listed, static_cast<std::size_t>(std::max(0.0, minInUse)));
}

EjectionPlan::EjectionPlan(const Service &service, Duration permitLifetime)
    : m_service(service)
    , m_permitLifetime(permitLifetime)
    , m_detector(service.policy)
{ }

void EjectionPlan::setService(const Service &service)
{
    m_service = service;
    m_detector.setPolicy(service.policy);
}

void EjectionPlan::setTargets(const std::vector<TargetName> &targets, const std::set<TargetName> &leaving, TimePoint now)
{
    m_targets = {targets.begin(), targets.end()};
    m_leaving = leaving;
    m_detector.setTargets(targets, now);
    // A target that is no longer listed keeps its record until all sent permits for its ejection have expired. If the target
    // is listed again earlier, daemons with such a permit still keep it out of use, so it must count against the floor.
    for (auto &[name, record] : m_records) {
        if (!m_targets.contains(name) || m_leaving.contains(name)) {
            record.phase = Phase::InUse;
        }
    }
    std::erase_if(m_records, [&](const auto &entry) { return !m_targets.contains(entry.first) && entry.second.permitExpiresAt <= now; });
}

void EjectionPlan::add(const EvidenceSource &source, const TargetEvidence &evidence, TimePoint now)
{
    m_detector.add(source, evidence, now);
}

std::set<TargetName> EjectionPlan::unavailableTargets(TimePoint now) const
{
    std::set<TargetName> found;
    for (const auto &name : m_targets) {
        if (m_leaving.contains(name) || m_detector.cold(name, now) || m_detector.unreachable(name, now)) {
            found.insert(name);
        }
    }
    return found;
}

std::set<TargetName> EjectionPlan::outOfUse(TimePoint now) const
{
    std::set<TargetName> found = unavailableTargets(now);
    for (const auto &[name, record] : m_records) {
        const bool counted = record.phase != Phase::InUse || record.permitExpiresAt > now || record.slowStartEnd > now;
        if (counted && m_targets.contains(name)) {
            found.insert(name);
        }
    }
    return found;
}

// The ejection time doubles with each recent ejection, up to EjectionMax. It halves with each EjectionHistoryLifetime that
// passes after the end of the last ejection.
void EjectionPlan::eject(const TargetName &target, Record &record, double severity, TimePoint now)
{
    const double expiredEjections = std::floor(seconds(now - record.lastEjectionEnd) / seconds(config::EjectionHistoryLifetime));
    record.ejections = std::max(0.0, record.ejections - std::max(0.0, expiredEjections));
    const double length = seconds(config::EjectionBase) * std::exp2(record.ejections);
    record.ejections += 1;
    record.phase = Phase::Ejected;
    record.severity = severity;
    record.phaseEndsAt = now + fromSeconds(std::min(length, seconds(config::EjectionMax)));
    record.lastEjectionEnd = record.phaseEndsAt;
    m_detector.restart(target);
}

void EjectionPlan::returnToUse(const TargetName &target, Record &record)
{
    record.phase = Phase::InUse;
    m_detector.restart(target);
}

void EjectionPlan::takeOver(const EjectionPermit &permit, TimePoint now)
{
    const auto excluded = outOfUse(now);
    if (!m_targets.contains(permit.target) || excluded.contains(permit.target) || excluded.size() >= allowed()) {
        return;
    }
    eject(permit.target, m_records[permit.target], m_detector.score(permit.target), now);
}

void EjectionPlan::endPhases(TimePoint now, std::vector<HealthEvent> &events)
{
    for (auto &[name, record] : m_records) {
        if (record.phase == Phase::Ejected && now >= record.phaseEndsAt) {
            record.phase = Phase::Trial;
            record.phaseEndsAt = now + config::MaxTrialTime;
            m_detector.restart(name);
        }
        if (record.phase != Phase::Trial) {
            continue;
        }
        const TrialResult result = m_detector.trialResult(name);
        if (result == TrialResult::StillUnhealthy) {
            eject(name, record, record.severity, now);
        } else if (result == TrialResult::Recovered || now >= record.phaseEndsAt) {
            returnToUse(name, record);
            record.slowStartEnd = now + config::SlowStart;
            events.emplace_back(TargetReturned {m_service.name, name, false});
        }
    }
}

// The floor limits the number of targets that may be out of use. Leaving, unreachable and cold targets that are not ejected
// count first, then the ejected targets, the most severe first. Ejected targets beyond the allowed number return to use.
void EjectionPlan::enforceFloor(TimePoint now, std::vector<HealthEvent> &events)
{
    const auto current = permits();
    std::set<TargetName> excluded = unavailableTargets(now);
    for (const auto &permit : current) {
        excluded.erase(permit.target);
    }
    std::size_t usedAllowance = excluded.size();
    for (const auto &permit : current) {
        if (usedAllowance < allowed()) {
            ++usedAllowance;
            continue;
        }
        returnToUse(permit.target, m_records[permit.target]);
        events.emplace_back(TargetReturned {m_service.name, permit.target, true});
    }
}

void EjectionPlan::ejectUnhealthy(TimePoint now, std::vector<HealthEvent> &events)
{
    std::set<TargetName> excluded = outOfUse(now);
    for (const auto &unhealthyTarget : m_detector.unhealthy()) {
        Record &record = m_records[unhealthyTarget.target];
        const std::size_t size = excluded.size() + (excluded.contains(unhealthyTarget.target) ? 0 : 1);
        if (record.phase != Phase::InUse || m_leaving.contains(unhealthyTarget.target) || size > allowed()) {
            continue;
        }
        excluded.insert(unhealthyTarget.target);
        eject(unhealthyTarget.target, record, unhealthyTarget.score, now);
        events.emplace_back(TargetEjected {m_service.name, unhealthyTarget});
    }
}

std::vector<HealthEvent> EjectionPlan::update(TimePoint now)
{
    std::vector<HealthEvent> events;
    endPhases(now, events);
    enforceFloor(now, events);
    ejectUnhealthy(now, events);
    return events;
}

std::vector<EjectionPermit> EjectionPlan::permits() const
{
    std::vector<std::pair<double, EjectionPermit>> sorted;
    for (const auto &[name, record] : m_records) {
        if (record.phase != Phase::InUse) {
            sorted.push_back({record.severity, {name, record.phase == Phase::Trial ? config::TrialPerMille : 0}});
        }
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<EjectionPermit> permits;
    permits.reserve(sorted.size());
    for (auto &[severity, permit] : sorted) {
        permits.push_back(std::move(permit));
    }
    return permits;
}

// Records when the permits sent at @p now expire. A daemon counts their lifetime from the sending of its digest, which is
// before @p now, so they expire at the daemon no later than the time recorded here.
void EjectionPlan::recordSent(TimePoint now)
{
    for (auto &[name, record] : m_records) {
        if (record.phase != Phase::InUse) {
            record.permitExpiresAt = std::max(record.permitExpiresAt, now + m_permitLifetime + config::ClockDriftMargin);
        }
    }
}
}
