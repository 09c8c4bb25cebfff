#include <plumsill/health.h>

#include <algorithm>
#include <cassert>

namespace plumsill
{
namespace
{
constexpr auto SequenceLifetime = std::chrono::seconds(60);
}

void HealthOwner::setServices(const std::vector<Service> &services)
{
    std::set<ServiceName> named;
    for (const auto &service : services) {
        named.insert(service.name);
        ServiceRecord &record = m_services[service.name];
        record.service = service;
        if (record.plan) {
            record.plan->setService(service);
        }
    }
    std::erase_if(m_services, [&](const auto &entry) { return !named.contains(entry.first); });
}

void HealthOwner::setTargets(const ServiceName &service, const std::vector<Target> &targets, TimePoint now)
{
    const auto place = m_services.find(service);
    if (place == m_services.end()) {
        return;
    }
    place->second.targets = targets;
    if (place->second.plan) {
        updatePlanTargets(place->second, now);
    }
}

void HealthOwner::updatePlanTargets(ServiceRecord &record, TimePoint now)
{
    std::vector<TargetName> names;
    std::set<TargetName> leaving;
    for (const auto &target : record.targets) {
        names.push_back(target.name);
        if (target.leaving) {
            leaving.insert(target.name);
        }
    }
    record.plan->setTargets(names, leaving, now);
}

// Records the sequence number of the digest. Returns false for a digest that is repeated or arrives after a later digest of
// the same sender. Such a digest is answered with a verdict, but its evidence isn't counted.
bool HealthOwner::acceptDigest(ServiceRecord &record, const EvidenceSource &sender, const HealthDigest &digest, TimePoint now)
{
    const auto place = record.lastSequence.find(sender.member);
    if (place != record.lastSequence.end() && digest.sequence <= place->second.first) {
        return false;
    }
    record.lastSequence[sender.member] = {digest.sequence, now};
    return true;
}

// Creates the ejection plan, or replaces it after a gap without digests. The evidence in the old plan is outdated then, and
// every permit that was sent before the gap has expired.
void HealthOwner::ensurePlan(ServiceRecord &record, TimePoint now)
{
    static_assert(config::EvidenceSourceLifetime > config::EjectionPermitLifetime + config::ClockDriftMargin);
    if (record.plan && now - record.lastDigest <= config::EvidenceSourceLifetime) {
        return;
    }
    record.plan.emplace(record.service, config::EjectionPermitLifetime);
    std::erase_if(record.lastSequence, [&](const auto &entry) { return now - entry.second.second > SequenceLifetime; });
    updatePlanTargets(record, now);
}

std::vector<OwnerEffect> HealthOwner::handleDigest(const EvidenceSource &sender, const HealthDigest &digest, bool mayAct, TimePoint now)
{
    const auto place = m_services.find(digest.service);
    if (!mayAct || place == m_services.end()) {
        return {};
    }
    ServiceRecord &record = place->second;
    ensurePlan(record, now);
    record.lastDigest = now;
    if (acceptDigest(record, sender, digest, now)) {
        for (const auto &evidence : digest.targets) {
            record.plan->add(sender, evidence, now);
        }
    }
    std::vector<OwnerEffect> effects;
    for (const auto &event : record.plan->update(now)) {
        effects.emplace_back(event);
    }
    record.plan->recordSent(now);
    const auto slowAfter = std::chrono::duration_cast<std::chrono::microseconds>(record.plan->slowAfter()).count();
    Verdict verdict {digest.sequence, digest.service, record.plan->permits(), static_cast<std::uint32_t>(slowAfter)};
    effects.emplace_back(SendVerdict {sender.member, std::move(verdict)});
    return effects;
}

std::vector<EjectionPermit> HealthOwner::permits(const ServiceName &service) const
{
    const auto place = m_services.find(service);
    return place != m_services.end() && place->second.plan ? place->second.plan->permits() : std::vector<EjectionPermit>();
}
}
