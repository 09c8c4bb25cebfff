#include <plumsill/target_list.h>

#include <algorithm>
#include <set>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// A longer gap between two successful reads counts as an outage of the platform, in which entries may have expired.
constexpr auto OutageGap = 2500ms;
// After an outage, running targets whose entries expired are listed again within this time. Until it has passed, missing
// targets are kept.
constexpr auto ReturnGracePeriod = 2300ms;

// Messages tell of times in whole milliseconds, rounded down.
constexpr auto MessageResolution = 1ms;

// Number of changes that are kept for daemons with an earlier revision. Covers some minutes of releases in a fleet.
constexpr std::size_t MaxKeptChanges = 4096;

// Whether a was written before b: by an earlier run of the target, or earlier in the same run. If so, a is a delayed
// write and is ignored.
bool isOlder(const Target &a, const Target &b)
{
    return a.startedAt < b.startedAt || (a.startedAt == b.startedAt && a.sequence < b.sequence);
}
}

bool sameRun(const Target &a, const Target &b)
{
    return a.endpoint == b.endpoint && a.service == b.service && a.startedAt == b.startedAt;
}

std::vector<Target> targetsOf(const std::map<TargetName, Target> &byName)
{
    std::vector<Target> all;
    all.reserve(byName.size());
    for (const auto &[name, target] : byName) {
        all.push_back(target);
    }
    return all;
}

// A copy from which the store has come back shows entries as they were, also those of targets that have left since. In the era in which a
// target was removed, the same entry shows that it is alive: lists that daemons relay have sequence numbers of the last change.
bool TargetList::isOutdated(const Target &target, StoreEra era) const
{
    const auto found = m_removed.find(target.name);
    if (found == m_removed.end()) {
        return false;
    }
    const Target &removed = found->second.entry;
    if (target.startedAt < removed.startedAt) {
        return true;
    }
    const bool mayBeCopied = removed.leaving || era > found->second.era;
    return mayBeCopied && (isOlder(target, removed) || (sameRun(target, removed) && target.sequence == removed.sequence));
}

void TargetList::recordRemoved(const Target &target)
{
    if (m_removed.insert_or_assign(target.name, Removed {target, m_era}).second) {
        m_removedOrder.push_back(target.name);
    }
    while (m_removedOrder.size() > MaxKeptChanges) {
        m_removed.erase(m_removedOrder.front());
        m_removedOrder.pop_front();
    }
}

bool TargetList::read(const std::vector<Target> &targets, TimePoint sentAt, TimePoint now, StoreEra era)
{
    if (m_readAt && sentAt <= *m_readAt) {
        return false;
    }
    const bool newEra = m_era != 0 && era > m_era;
    m_era = std::max(m_era, era);
    const bool outage = m_readAt && sentAt - *m_readAt - m_paused > OutageGap;
    if ((newEra || outage) && !m_targets.empty()) {
        m_graceUntil = now + ReturnGracePeriod;
    }
    recordRead(sentAt);
    m_paused = Duration::zero();
    m_kept.clear();
    std::map<TargetName, Target> listed;
    for (const auto &target : targets) {
        if (isOutdated(target, era)) {
            continue;
        }
        const auto known = m_targets.find(target.name);
        const bool outdated = known != m_targets.end() && isOlder(target, known->second);
        listed.emplace(target.name, outdated ? known->second : target);
    }
    if (m_graceUntil && sentAt < *m_graceUntil) {
        // A target whose address is now used by another entry has certainly ended, so it is not kept.
        std::set<Endpoint> taken;
        for (const auto &target : targets) {
            taken.insert(target.endpoint);
        }
        for (const auto &[name, target] : m_targets) {
            if (!listed.contains(name) && !taken.contains(target.endpoint)) {
                listed.emplace(name, target);
                m_kept.insert(name);
            }
        }
    } else {
        m_graceUntil.reset();
    }
    // The remaining time of a cold start differs in each read, so it does not count as a change of the list.
    const std::size_t before = m_changes.size();
    for (const auto &[name, target] : listed) {
        const auto known = m_targets.find(name);
        if (known == m_targets.end() || !sameRun(known->second, target) || known->second.leaving != target.leaving) {
            recordChange(name);
        }
    }
    for (const auto &[name, target] : m_targets) {
        if (!listed.contains(name)) {
            recordChange(name);
            recordRemoved(target);
        }
    }
    m_targets = std::move(listed);
    m_revision += m_changes.size() > before ? 1 : 0;
    discardOldChanges();
    return true;
}

void TargetList::discardOldChanges()
{
    while (m_changes.size() > MaxKeptChanges) {
        m_discardedRevision = m_changes.front().revision;
        m_changes.pop_front();
    }
}

// Adds a change to the revision that the current read creates.
void TargetList::recordChange(const TargetName &name)
{
    m_changes.push_back({m_revision + 1, name});
}

std::optional<ListChanges> TargetList::changesSince(std::uint64_t revision) const
{
    if (revision < m_discardedRevision || revision > m_revision) {
        return std::nullopt;
    }
    std::set<TargetName> names;
    for (auto change = m_changes.rbegin(); change != m_changes.rend() && change->revision > revision; ++change) {
        names.insert(change->name);
    }
    ListChanges changes;
    for (const auto &name : names) {
        if (const Target *target = find(name)) {
            changes.changed.push_back(*target);
        } else {
            changes.removed.push_back(name);
        }
    }
    return changes;
}

// A pause of this process hides an outage, so it counts as a gap here.
void TargetList::recordRead(TimePoint sentAt)
{
    if (!m_readAt || sentAt - *m_readAt > OutageGap) {
        m_readSince = sentAt;
    }
    m_readAt = sentAt;
}

bool TargetList::readUpTo(TimePoint time) const
{
    return m_readAt && m_readSince <= time - OutageGap && *m_readAt > time - OutageGap;
}

// A daemon that has read nothing for a while can't tell whether the platform was out or only its own way there. The reads of this list can.
// The kept targets leave the other's list with its first read after its grace period. The period began before the message arrived, so it ends
// before now + graceLeft.
bool TargetList::recordRelayed(const RelayedRead &relayed, TimePoint now, std::optional<TimePoint> eraSince)
{
    if (relayed.graceLeft == Duration::zero()) {
        const auto refused = m_refusedUntil.find(relayed.daemon);
        return refused == m_refusedUntil.end() || relayed.writtenAt - relayed.age >= refused->second;
    }
    const TimePoint until = relayed.writtenAt + relayed.graceLeft;
    const bool eraSettled = !eraSince || now - *eraSince >= ReturnGracePeriod;
    if (eraSettled && graceLeft(now) == Duration::zero() && readUpTo(until - ReturnGracePeriod)) {
        std::erase_if(m_refusedUntil, [now](const auto &entry) { return entry.second + OutageGap < now; });
        m_refusedUntil[relayed.daemon] = now + relayed.graceLeft + MessageResolution;
        return false;
    }
    m_refusedUntil.erase(relayed.daemon);
    m_graceUntil = m_graceUntil ? std::max(*m_graceUntil, until) : until;
    return true;
}

Duration TargetList::graceLeft(TimePoint now) const
{
    return m_graceUntil && now < *m_graceUntil ? *m_graceUntil - now : Duration::zero();
}

void TargetList::confirm(TimePoint sentAt)
{
    if (!m_readAt || sentAt <= *m_readAt) {
        return;
    }
    recordRead(sentAt);
    if (m_kept.empty() || (m_graceUntil && sentAt < *m_graceUntil)) {
        return;
    }
    for (const auto &name : m_kept) {
        const auto found = m_targets.find(name);
        recordChange(name);
        recordRemoved(found->second);
        m_targets.erase(found);
    }
    m_kept.clear();
    m_graceUntil.reset();
    ++m_revision;
    discardOldChanges();
}

bool TargetList::wasRemoved(const TargetName &name, const Endpoint &endpoint) const
{
    const auto removed = m_removed.find(name);
    return removed != m_removed.end() && removed->second.entry.endpoint == endpoint && !m_targets.contains(name);
}

const Target *TargetList::find(const TargetName &name) const
{
    const auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : &found->second;
}
}
