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

bool Scheduler::doubted(const InstanceName &daemon) const
{
    const auto found = m_senders.find(daemon);
    return found != m_senders.end() && (!found->second.reaches || found->second.failedConnects.size() >= config::DoubtedConnects);
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
        retractEvidence(sender, now);
    }
}

void Scheduler::recordEvidence(const InstanceName &daemon, const TargetStatePtr &target, double oddsRatio, TimePoint now)
{
    auto &given = m_senders[daemon].given;
    std::erase_if(given, [now](const GivenEvidence &evidence) { return now - evidence.at > config::EvidenceDoubtTime; });
    given.push_back({target, oddsRatio, now});
}

void Scheduler::retractEvidence(SenderState &sender, TimePoint now)
{
    for (const auto &evidence : sender.given) {
        if (now - evidence.at <= config::EvidenceDoubtTime) {
            evidence.target->failureEstimate.retract(evidence.oddsRatio, now);
        }
    }
    sender.given.clear();
}

// One daemon that can't connect shows nothing about the target. Several do, unless they fail elsewhere as well.
void Scheduler::recordUnreachable(const InstanceName &daemon, const TargetStatePtr &target, TimePoint now)
{
    SenderState &sender = m_senders[daemon];
    target->unreachableFrom[daemon] = now + config::UnreachableAvoidance;
    const bool wasDoubted = doubted(daemon);
    std::erase_if(sender.failedConnects, [now](const auto &entry) { return now - entry.second > config::UnreachableAvoidance; });
    sender.failedConnects[target->target.name] = now;
    if (doubted(daemon)) {
        if (!wasDoubted) {
            retractEvidence(sender, now);
        }
        return;
    }
    const auto counts = [this, now](const auto &entry) { return entry.second > now && !doubted(entry.first); };
    if (std::count_if(target->unreachableFrom.begin(), target->unreachableFrom.end(), counts) > 1) {
        recordEvidence(daemon, target, target->failureEstimate.recordUnreachable(now), now);
    }
}
}
