#include <plumsill/health.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
LeavingTarget toLeavingTarget(const Target &target)
{
    return {target.name, target.endpoint};
}

bool containsTarget(const std::vector<Target> &targets, const LeavingTarget &key)
{
    return std::any_of(targets.begin(), targets.end(), [&](const Target &target) { return toLeavingTarget(target) == key; });
}

double slowStartWeight(Duration age)
{
    return std::clamp(seconds(age) / seconds(config::SlowStart), config::SlowStartWeight, 1.0);
}

/// Ejects or avoids active targets, or puts them on trial or in slow start, as long as the floor allows it. Targets in
/// any of these uses and leaving targets count as out of use.
class FloorLimiter
{
public:
    FloorLimiter(std::size_t allowed, std::vector<TargetView> &targets)
        : m_allowed(allowed)
        , m_targets(targets)
    {
        m_outCount
            = static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [](const TargetView &view) { return view.use == TargetUse::Leaving; }));
    }

    void limitUse(const TargetName &name, TargetUse use, double weight)
    {
        if (m_outCount < m_allowed && setUse(name, use, weight)) {
            ++m_outCount;
        }
    }

    /// Changes the use of an active target without checking the floor (minimum share of targets in use). Returns whether
    /// there is an active target of this name. Called directly only to put new targets in slow start: this takes no existing
    /// capacity out of use, so the floor need not be checked.
    bool setUse(const TargetName &name, TargetUse use, double weight)
    {
        for (auto &view : m_targets) {
            if (view.target.name == name && view.use == TargetUse::Active) {
                view.use = use;
                view.weight = weight;
                return true;
            }
        }
        return false;
    }

private:
    std::size_t m_allowed;
    std::size_t m_outCount = 0;
    std::vector<TargetView> &m_targets;
};
}

std::string toString(TargetUse use)
{
    switch (use) {
    case TargetUse::Active:
        return "active";
    case TargetUse::SlowStart:
        return "slow-start";
    case TargetUse::Trial:
        return "trial";
    case TargetUse::Ejected:
        return "ejected";
    case TargetUse::Avoided:
        return "avoided";
    case TargetUse::Leaving:
        return "leaving";
    }
    return {};
}

LocalHealth::LocalHealth(const EvidenceSource &self)
    : m_self(self)
    // Sequences start above those of every earlier incarnation, so a verdict on an earlier incarnation's digest answers none of this one's.
    , m_sequence(m_self.member.incarnation)
{ }

void LocalHealth::setServices(const std::vector<Service> &services)
{
    std::set<ServiceName> named;
    for (const auto &service : services) {
        named.insert(service.name);
        ServiceRecord &record = m_services[service.name];
        record.service = service;
        if (record.plan) {
            record.plan->setService(service);
        } else {
            record.plan.emplace(service, Duration::zero());
        }
    }
    std::erase_if(m_services, [&](const auto &entry) { return !named.contains(entry.first); });
}

void LocalHealth::setTargets(const ServiceName &service, const std::vector<Target> &targets, TimePoint now)
{
    const auto place = m_services.find(service);
    if (place == m_services.end()) {
        return;
    }
    ServiceRecord &record = place->second;
    for (const auto &target : record.targets) {
        if (m_leaving.contains(toLeavingTarget(target)) && !containsTarget(targets, toLeavingTarget(target))) {
            m_delisted[toLeavingTarget(target)] = now;
        }
    }
    for (const auto &target : targets) {
        const auto [local, added] = record.localRecords.try_emplace(target.name);
        if (added && record.hasTargetList) {
            local->second.slowStartAt = now;
        }
        if (target.leaving) {
            m_leaving.try_emplace(toLeavingTarget(target), now);
        }
        m_delisted.erase(toLeavingTarget(target));
    }
    std::erase_if(record.localRecords, [&](const auto &entry) {
        return std::none_of(targets.begin(), targets.end(), [&](const Target &target) { return target.name == entry.first; });
    });
    record.targets = targets;
    record.hasTargetList = true;
    updatePlanTargets(record, now);
}

void LocalHealth::recordLeaving(const LeavingTarget &target, TimePoint now)
{
    if (!m_leaving.try_emplace(target, now).second) {
        return;
    }
    bool listed = false;
    for (auto &[name, record] : m_services) {
        if (containsTarget(record.targets, target)) {
            listed = true;
            updatePlanTargets(record, now);
        }
    }
    if (!listed) {
        m_delisted[target] = now;
    }
}

std::vector<LeavingTarget> LocalHealth::leavingTargetsForHeartbeat(TimePoint now)
{
    std::vector<LeavingTarget> recent;
    for (const auto &[target, since] : m_leaving) {
        if (now - since < config::LeavingAnnounceTime) {
            recent.push_back(target);
        }
    }
    if (recent.size() > config::MaxLeavingTargetsPerHeartbeat) {
        m_leavingTargetOffset = (m_leavingTargetOffset + config::MaxLeavingTargetsPerHeartbeat) % recent.size();
        std::rotate(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(m_leavingTargetOffset), recent.end());
        recent.resize(config::MaxLeavingTargetsPerHeartbeat);
    }
    return recent;
}

// The platform's listing lags behind. A target that was observed leaving counts as leaving until it is no longer listed,
// even if the listing doesn't mark it as leaving.
bool LocalHealth::isLeaving(const Target &target) const
{
    return target.leaving || m_leaving.contains(toLeavingTarget(target));
}

std::vector<Target> LocalHealth::targets(const ServiceName &service) const
{
    const auto place = m_services.find(service);
    std::vector<Target> marked = place != m_services.end() ? place->second.targets : std::vector<Target>();
    for (auto &target : marked) {
        target.leaving = isLeaving(target);
    }
    return marked;
}

void LocalHealth::updatePlanTargets(ServiceRecord &record, TimePoint now) const
{
    std::vector<TargetName> names;
    std::set<TargetName> leaving;
    for (const auto &target : record.targets) {
        names.push_back(target.name);
        if (isLeaving(target)) {
            leaving.insert(target.name);
        }
    }
    record.plan->setTargets(names, leaving, now);
}

// Avoids a target that doesn't answer this daemon. The time of avoidance doubles with each repetition until the target
// answers. Any answer ends the avoidance, even a slow or failed one, as the owner of the service evaluates such answers.
void LocalHealth::updateAvoidance(LocalRecord &local, const TargetEvidence &evidence, TimePoint now)
{
    if (evidence.good + evidence.errors + evidence.truncated + evidence.shed > 0) {
        local.unanswered = 0;
        local.avoidances = 0;
        local.avoidUntil = now;
        return;
    }
    const unsigned unanswered = evidence.unreachable + evidence.timeouts + evidence.slow;
    if (local.unanswered == 0 && unanswered > 0) {
        local.unansweredSince = now;
    }
    local.unanswered += unanswered;
    // A pending request may still be answered late. Unanswered requests therefore lead to avoidance only after
    // AvoidanceBase. A failed connection can't be answered late, so the target is avoided without this wait.
    const bool waitedLongEnough = evidence.unreachable > 0 || now - local.unansweredSince >= config::AvoidanceBase;
    if (local.unanswered < config::UnansweredRequestsBeforeAvoidance || !waitedLongEnough) {
        return;
    }
    const double length = seconds(config::AvoidanceBase) * std::exp2(local.avoidances);
    local.avoidUntil = now + fromSeconds(std::min(length, seconds(config::AvoidanceMax)));
    local.avoidances += 1;
    // Once the avoidance has ended, a single unanswered request starts the next avoidance.
    local.unanswered = config::UnansweredRequestsBeforeAvoidance - 1;
}

void LocalHealth::record(const ServiceName &service, const std::vector<TargetEvidence> &evidence, TimePoint now)
{
    const auto place = m_services.find(service);
    if (place == m_services.end()) {
        return;
    }
    ServiceRecord &record = place->second;
    for (const auto &part : evidence) {
        const auto local = record.localRecords.find(part.target);
        if (local == record.localRecords.end()) {
            continue;
        }
        updateAvoidance(local->second, part, now);
        record.plan->add(m_self, part, now);
        TargetEvidence &sum = record.pending[part.target];
        sum.target = part.target;
        addEvidence(sum, part);
        record.lastEvidenceAt = now;
        if (part.errors + part.timeouts + part.truncated + part.unreachable + part.slow > 0) {
            record.nextDigest = std::min(record.nextDigest, record.lastDigest + config::UrgentDigestInterval);
        }
    }
}

void LocalHealth::makeDigest(ServiceRecord &record, TimePoint now, std::vector<LocalHealthEffect> &effects)
{
    const bool used = record.lastEvidenceAt && now - *record.lastEvidenceAt <= config::EvidenceSourceLifetime;
    if (!used || now < record.nextDigest) {
        return;
    }
    record.lastDigest = now;
    record.nextDigest = now + config::HealthDigestInterval;
    HealthDigest digest {++m_sequence, record.service.name, {}};
    for (auto &[name, evidence] : record.pending) {
        digest.targets.push_back(std::move(evidence));
    }
    record.pending.clear();
    std::erase_if(record.sentAt, [&](const auto &entry) { return now - entry.second > config::EjectionPermitLifetime; });
    record.sentAt[digest.sequence] = now;
    effects.emplace_back(SendDigest {std::move(digest)});
}

std::vector<LocalHealthEffect> LocalHealth::tick(TimePoint now)
{
    for (auto entry = m_delisted.begin(); entry != m_delisted.end();) {
        if (now - entry->second <= config::LeavingTargetLifetime) {
            ++entry;
            continue;
        }
        m_leaving.erase(entry->first);
        entry = m_delisted.erase(entry);
    }
    std::vector<LocalHealthEffect> effects;
    for (auto &[name, record] : m_services) {
        if (record.hasVerdict && !record.verdictInForce(now)) {
            record.hasVerdict = false;
            for (const auto &permit : record.verdict.ejected) {
                record.plan->takeOver(permit, now);
            }
        }
        if (!record.verdictInForce(now)) {
            for (const auto &event : record.plan->update(now)) {
                effects.emplace_back(event);
            }
        }
        recordTransitions(record, now);
        makeDigest(record, now, effects);
    }
    return effects;
}

bool LocalHealth::handleVerdict(std::uint64_t epoch, const Verdict &verdict, TimePoint now)
{
    const auto place = m_services.find(verdict.service);
    if (place == m_services.end()) {
        return false;
    }
    ServiceRecord &record = place->second;
    const auto sent = record.sentAt.find(verdict.sequence);
    if (epoch < m_epoch || epoch < record.verdictEpoch || sent == record.sentAt.end()) {
        return false;
    }
    // The lifetime of the verdict counts from the sending of the digest, not from the arrival of the verdict. The owner
    // counts it from its later receipt of the digest and so knows an upper bound of the expiry, however long the verdict
    // takes to arrive.
    const TimePoint expiresAt = sent->second + config::EjectionPermitLifetime;
    if (expiresAt <= now) {
        return false;
    }
    record.verdict = verdict;
    record.verdictEpoch = epoch;
    record.verdictExpiresAt = expiresAt;
    record.hasVerdict = true;
    // Further verdicts that answer this digest or an earlier one are outdated and refused.
    record.sentAt.erase(record.sentAt.begin(), std::next(sent));
    recordTransitions(record, now);
    return true;
}

void LocalHealth::recordEpoch(std::uint64_t epoch)
{
    m_epoch = std::max(m_epoch, epoch);
}

bool LocalHealth::verdictInForce(const ServiceName &service, TimePoint now) const
{
    const auto place = m_services.find(service);
    return place != m_services.end() && place->second.verdictInForce(now);
}

std::vector<EjectionPermit> LocalHealth::ejections(const ServiceRecord &record, TimePoint now)
{
    return record.verdictInForce(now) ? record.verdict.ejected : record.plan->permits();
}

Duration LocalHealth::slowAfter(const ServiceRecord &record, TimePoint now)
{
    return record.verdictInForce(now) ? std::chrono::microseconds(record.verdict.slowAfterMicroseconds) : record.plan->slowAfter();
}

// Starts the slow start of targets that are no longer ejected.
void LocalHealth::recordTransitions(ServiceRecord &record, TimePoint now)
{
    std::set<TargetName> ejected;
    for (const auto &permit : ejections(record, now)) {
        ejected.insert(permit.target);
    }
    for (auto &[name, local] : record.localRecords) {
        const bool isEjected = ejected.contains(name);
        if (local.wasEjected && !isEjected) {
            local.slowStartAt = now;
            local.returnedFromEjection = true;
        }
        local.wasEjected = isEjected;
    }
}

ServiceView LocalHealth::view(const ServiceName &service, TimePoint now) const
{
    const auto place = m_services.find(service);
    if (place == m_services.end()) {
        return {service, 0, Duration::zero(), {}};
    }
    const ServiceRecord &record = place->second;
    ServiceView view {service, record.service.slots, slowAfter(record, now), {}};
    for (const auto &target : targets(service)) {
        view.targets.push_back({target, target.leaving ? TargetUse::Leaving : TargetUse::Active, target.leaving ? 0.0 : 1.0});
    }
    FloorLimiter limiter(maxTargetsOutOfUse(record.service.floor, view.targets.size()), view.targets);
    for (const auto &permit : ejections(record, now)) {
        limiter.limitUse(permit.target, permit.trialPerMille > 0 ? TargetUse::Trial : TargetUse::Ejected, permit.trialPerMille / 1000.0);
    }
    for (const auto &[name, local] : record.localRecords) {
        if (local.avoidUntil > now) {
            limiter.limitUse(name, TargetUse::Avoided, 0);
        }
    }
    for (const auto &[name, local] : record.localRecords) {
        if (!local.slowStartAt || now - *local.slowStartAt >= config::SlowStart) {
            continue;
        }
        const double weight = slowStartWeight(now - *local.slowStartAt);
        if (local.returnedFromEjection) {
            limiter.limitUse(name, TargetUse::SlowStart, weight);
        } else {
            limiter.setUse(name, TargetUse::SlowStart, weight);
        }
    }
    return view;
}
}
