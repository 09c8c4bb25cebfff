#include <plumsill/config.h>
#include <plumsill/scheduler.h>

#include <algorithm>

// Whom a daemon reaches is its own state, and no evidence about targets that others reach.
namespace plumsill
{
InstanceName Scheduler::senderOf(const PlacementKey &key, const Attempt &attempt)
{
    return attempt.helper ? attempt.helper->name : key.member.name;
}

InstanceName Scheduler::senderOf(const PlacementKey &key) const
{
    const auto found = m_running.find(key);
    return found == m_running.end() ? key.member.name : senderOf(key, found->second);
}

bool Scheduler::doubted(const InstanceName &daemon, const ServiceName &service) const
{
    const auto found = m_senders.find(daemon);
    if (found == m_senders.end()) {
        return false;
    }
    const SenderState &sender = found->second;
    const auto failed = sender.failedConnects.find(service);
    return !sender.reaches || sender.outOfReach.contains(service)
        || (failed != sender.failedConnects.end() && failed->second.size() >= config::DoubtedConnects);
}

void Scheduler::recordReach(const InstanceName &daemon, bool reaches, TimePoint now)
{
    SenderState &sender = m_senders[daemon];
    if (reaches == sender.reaches) {
        return;
    }
    sender.reaches = reaches;
    if (reaches) {
        sender.failedConnects.clear();
        for (const auto &[name, target] : m_targets) {
            target->unreachableFrom.erase(daemon);
        }
    } else {
        retractEvidence(sender, nullptr, now);
    }
}

void Scheduler::recordServicesOutOfReach(const InstanceName &daemon, std::set<ServiceName> services, TimePoint now)
{
    SenderState &sender = m_senders[daemon];
    for (const auto &service : services) {
        if (!sender.outOfReach.contains(service)) {
            retractEvidence(sender, &service, now);
        }
    }
    for (const auto &service : sender.outOfReach) {
        if (services.contains(service)) {
            continue;
        }
        sender.failedConnects.erase(service);
        for (const auto &[name, target] : m_targets) {
            if (target->target.service == service) {
                target->unreachableFrom.erase(daemon);
            }
        }
    }
    sender.outOfReach = std::move(services);
}

void Scheduler::recordEvidence(const InstanceName &daemon, const TargetStatePtr &target, double oddsRatio, TimePoint now)
{
    auto &given = m_senders[daemon].given;
    std::erase_if(given, [now](const GivenEvidence &evidence) { return now - evidence.at > config::EvidenceDoubtTime; });
    given.push_back({target, oddsRatio, now});
}

void Scheduler::retractEvidence(SenderState &sender, const ServiceName *service, TimePoint now)
{
    const auto concerns = [service](const GivenEvidence &evidence) { return service == nullptr || evidence.target->target.service == *service; };
    for (const auto &evidence : sender.given) {
        if (concerns(evidence) && now - evidence.at <= config::EvidenceDoubtTime) {
            evidence.target->failureEstimate.retract(evidence.oddsRatio, now);
        }
    }
    std::erase_if(sender.given, concerns);
}

// One daemon that can't connect shows nothing about the target. Several do, unless they fail at all targets of the service: then
// its targets are down or the daemons' paths to them are, and the others' state is unknown.
void Scheduler::recordUnreachable(const InstanceName &daemon, const TargetStatePtr &target, TimePoint now)
{
    SenderState &sender = m_senders[daemon];
    const ServiceName &service = target->target.service;
    target->unreachableFrom[daemon] = now + config::UnreachableAvoidance;
    const bool wasDoubted = doubted(daemon, service);
    auto &failed = sender.failedConnects[service];
    std::erase_if(failed, [now](const auto &entry) { return now - entry.second > config::UnreachableAvoidance; });
    failed[target->target.name] = now;
    if (doubted(daemon, service)) {
        if (!wasDoubted) {
            retractEvidence(sender, &service, now);
        }
        return;
    }
    const auto counts = [&](const auto &entry) { return entry.second > now && !doubted(entry.first, service); };
    if (std::count_if(target->unreachableFrom.begin(), target->unreachableFrom.end(), counts) > 1) {
        recordEvidence(daemon, target, target->failureEstimate.recordUnreachable(now), now);
    }
}
}
