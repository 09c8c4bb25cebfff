#include <plumsill/config.h>
#include <plumsill/membership.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>

// Reading the roster from the store, and writing the next one.
namespace plumsill
{
namespace
{
std::uint64_t hashOf(const MemberId &id, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(id.name.value.data(), id.name.value.size(), seed);
}

Duration jitter(std::uint64_t hash, Duration range)
{
    return Duration(static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(range.count())));
}

bool sameIds(const std::vector<Member> &left, const std::vector<Member> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const Member &one, const Member &other) { return one.id == other.id; });
}

void sortById(std::vector<Member> &members)
{
    std::sort(members.begin(), members.end(), [](const Member &one, const Member &other) { return one.id < other.id; });
}
}

MembershipEffects Membership::rosterRead(const std::optional<StoredRoster> &stored, TimePoint now)
{
    MembershipEffects effects;
    m_readStartedAt.reset();
    if (!stored) {
        m_storeEmptySince = m_storeEmptySince.value_or(now);
        return effects;
    }
    m_storeEmptySince.reset();
    adoptRoster(stored->roster, now, effects);
    if (stored->roster.epoch == m_epoch) {
        m_storeVersion = stored->version;
    }
    return effects;
}

MembershipEffects Membership::rosterReadFailed(TimePoint)
{
    m_readStartedAt.reset();
    m_storeEmptySince.reset();
    return {};
}

// No other write may start before the result of the first one: a late answer would be attributed to the wrong write.
// After a conflict another daemon has written, and after an unknown result this daemon's write may have taken effect, so
// the roster is read again in both cases.
MembershipEffects Membership::rosterWritten(RosterWriteResult result, std::uint64_t version, TimePoint now)
{
    assert(m_writeInFlight);
    MembershipEffects effects;
    m_writeInFlight = false;
    m_changePendingSince.reset();
    m_flagChangePendingSince.reset();
    if (result == RosterWriteResult::Written) {
        adoptRoster(m_pendingWrite, now, effects);
        if (m_pendingWrite.epoch == m_epoch) {
            m_storeVersion = version;
        }
        return effects;
    }
    m_storeVersion.reset();
    m_storeEmptySince.reset();
    readRoster(now, effects);
    return effects;
}

void Membership::instancesListed(const std::vector<ListedInstance> &instances, TimePoint now)
{
    m_listKnown = true;
    m_listed.clear();
    for (const auto &instance : instances) {
        m_listed[instance.name] = instance;
        m_absent.erase(instance.name);
    }
    std::erase_if(m_absent, [this](const auto &entry) { return !m_peers.contains(entry.first); });
    for (const auto &[name, peer] : m_peers) {
        if (!m_listed.contains(name)) {
            m_absent.try_emplace(name, Absence {now, now}).first->second.last = now;
        }
    }
}

// The listing lags behind, so a member counts as delisted only after it has been absent for a while. A member that the
// listing has never contained may be too new for it, so it must be absent for longer.
bool Membership::delisted(const Member &member) const
{
    const auto absent = m_absent.find(member.id.name);
    const Duration needed = member.listed ? config::DelistedAfter : config::NeverListedAfter;
    return absent != m_absent.end() && absent->second.last - absent->second.first >= needed;
}

bool Membership::superseded(const MemberId &id) const
{
    if (id.name == m_self.id.name) {
        return id.incarnation < m_self.id.incarnation;
    }
    const auto peer = m_peers.find(id.name);
    return peer != m_peers.end() && peer->second.member.id.incarnation > id.incarnation;
}

bool Membership::isDeparted(const Member &member, TimePoint now) const
{
    return superseded(member.id) || (delisted(member) && timeSinceAnswer(member.id, now) >= config::MemberSuspectAfter);
}

bool Membership::listed(const InstanceName &name) const
{
    return m_listed.contains(name);
}

bool Membership::listedAsLeaving(const InstanceName &name) const
{
    const auto found = m_listed.find(name);
    return found != m_listed.end() && found->second.leaving;
}

bool Membership::isWatcher(TimePoint now) const
{
    const auto place = rank(now);
    const bool unsure = !epochConfirmed(now) || !predecessorAdoptedAt();
    return unsure || (place && *place < config::WatchersPerCell);
}

// Position of this daemon among the responsive members, in an order that differs between epochs.
std::optional<std::size_t> Membership::rank(TimePoint now) const
{
    if (!isMember()) {
        return std::nullopt;
    }
    std::size_t place = 0;
    const auto own = hashOf(m_self.id, m_epoch);
    for (const auto &member : roster().members) {
        const bool before = hashOf(member.id, m_epoch) < own;
        place += static_cast<std::size_t>(before && isResponsive(member.id, now));
    }
    return place;
}

void Membership::pollStore(TimePoint now, MembershipEffects &effects)
{
    const bool fetchFailed = m_fetchStartedAt && now - *m_fetchStartedAt >= config::RosterFetchTimeout;
    const bool behind = !currentRosterKnown() && (m_epoch == 0 || fetchFailed);
    if (now >= m_nextReadAt && (behind || isWatcher(now))) {
        readRoster(now, effects);
    }
}

void Membership::requestDocument(TimePoint now, MembershipEffects &effects)
{
    const bool requestedRecently = m_documentRequestedAt && now - *m_documentRequestedAt < config::RosterPollInterval;
    if (predecessorAdoptedAt() && !documentFloorKnown() && !requestedRecently) {
        m_documentRequestedAt = now;
        effects.push_back(ReadDocument {});
    }
}

void Membership::readRoster(TimePoint now, MembershipEffects &effects)
{
    if (m_readStartedAt && now - *m_readStartedAt < 2 * config::StoreCallTimeout) {
        return;
    }
    m_readStartedAt = now;
    m_nextReadAt = now + config::RosterPollInterval + jitter(hashOf(m_self.id, m_sequence), config::RosterPollInterval / 4);
    effects.push_back(ReadRoster {});
}

void Membership::createRoster(TimePoint now, MembershipEffects &effects)
{
    if (m_epoch > 0 || !m_storeEmptySince || m_state == MemberState::Leaving) {
        return;
    }
    const auto delay = config::MinRosterChangeDelay + jitter(hashOf(m_self.id, 0), config::MaxRosterChangeDelay - config::MinRosterChangeDelay);
    if (now - *m_storeEmptySince < delay) {
        return;
    }
    Roster first;
    first.epoch = 1;
    first.members = nextMembers(now);
    write(std::move(first), std::nullopt, effects);
}

void Membership::changeRoster(TimePoint now, MembershipEffects &effects)
{
    if (m_writeInFlight) {
        return;
    }
    if (!currentRosterKnown()) {
        createRoster(now, effects);
        return;
    }
    Roster next;
    next.epoch = m_epoch + 1;
    next.members = nextMembers(now);
    if (!changeIsDue(next.members, now) || !mayWrite(now, effects)) {
        return;
    }
    next.predecessor = roster().members;
    next.document = m_highestDocument;
    write(std::move(next), m_storeVersion, effects);
}

// The delay lets daemons that start at the same time join in one epoch. A change of `listed` flags alone waits for longer,
// since it is not urgent.
bool Membership::changeIsDue(const std::vector<Member> &next, TimePoint now)
{
    if (next.empty() || next == roster().members) {
        m_changePendingSince.reset();
        m_flagChangePendingSince.reset();
        return false;
    }
    if (sameIds(next, roster().members)) {
        m_changePendingSince.reset();
        m_flagChangePendingSince = m_flagChangePendingSince.value_or(now);
        return now - *m_flagChangePendingSince >= writeDelay(now) + config::ListedFlagDelay;
    }
    m_changePendingSince = m_changePendingSince.value_or(now);
    return now - *m_changePendingSince >= writeDelay(now);
}

// The delay grows with the rank, so that members do not all write at once. Joiners wait for longer, so that they write only
// if no member does.
Duration Membership::writeDelay(TimePoint now) const
{
    const auto place = rank(now);
    const Duration range = config::MaxRosterChangeDelay - config::MinRosterChangeDelay;
    if (place) {
        return config::MinRosterChangeDelay + std::min<Duration>(config::RosterChangeRankStep * *place, range);
    }
    return config::MaxRosterChangeDelay + jitter(hashOf(m_self.id, m_epoch), range);
}

bool Membership::mayWrite(TimePoint now, MembershipEffects &effects)
{
    if (!predecessorAdoptedAt() || !documentFloorKnown() || !majorityAnswers(now)) {
        return false;
    }
    if (!m_storeVersion) {
        if (now >= m_nextReadAt) {
            readRoster(now, effects);
        }
        return false;
    }
    return true;
}

void Membership::write(Roster next, std::optional<std::uint64_t> replaces, MembershipEffects &effects)
{
    m_writeInFlight = true;
    m_pendingWrite = next;
    effects.push_back(WriteRoster {std::move(next), replaces});
}

std::vector<Member> Membership::nextMembers(TimePoint now) const
{
    std::vector<Member> next;
    for (Member member : roster().members) {
        member.listed = member.listed || listed(member.id.name);
        if (!removable(member, now)) {
            next.push_back(std::move(member));
        }
    }
    for (auto &candidate : candidates(now)) {
        if (next.size() < config::MaxCellMembers) {
            next.push_back(std::move(candidate));
        }
    }
    sortById(next);
    return next;
}

// Daemons that want to join and are reachable in both directions, and this daemon unless it is leaving.
std::vector<Member> Membership::candidates(TimePoint now) const
{
    std::vector<Member> found;
    const auto add = [this, &found](Member member) {
        const auto &members = roster().members;
        const bool present = std::any_of(members.begin(), members.end(), [&member](const Member &other) { return other.id == member.id; });
        if (!present) {
            member.listed = listed(member.id.name);
            found.push_back(std::move(member));
        }
    };
    if (m_state != MemberState::Leaving) {
        add(m_self);
    }
    for (const auto &[name, peer] : m_peers) {
        const bool reachable = peer.lastReceivedAt && now - *peer.lastReceivedAt < config::CandidateLifetime && isResponsive(peer.member.id, now);
        if (reachable && peer.state != MemberState::Leaving && !peer.member.zone.empty()) {
            add(peer.member);
        }
    }
    return found;
}

bool Membership::removable(const Member &member, TimePoint now) const
{
    const Peer *peer = findPeer(member.id);
    const bool leaving = member.id == m_self.id ? m_state == MemberState::Leaving : peer && peer->state == MemberState::Leaving;
    const Duration unansweredTime = timeSinceAnswer(member.id, now);
    const bool leftUnannounced = listedAsLeaving(member.id.name) && unansweredTime >= config::MemberSuspectAfter;
    const bool unreachable = unansweredTime >= config::MemberRemoveAfter && majorityReportsUnresponsive(member.id, now);
    return leaving || isDeparted(member, now) || leftUnannounced || unreachable;
}

// A broken network path between one daemon and a member must not remove the member. Therefore the reports of this daemon
// and of the members that answer it in the current epoch count: a majority of them must find the member unresponsive.
bool Membership::majorityReportsUnresponsive(const MemberId &id, TimePoint now) const
{
    const auto &members = roster().members;
    const auto found = std::find_if(members.begin(), members.end(), [&id](const Member &member) { return member.id == id; });
    const auto bit = std::uint64_t {1} << (found - members.begin());
    std::size_t voters = 0;
    std::size_t agreeing = 0;
    for (const auto &member : members) {
        const Peer *peer = findPeer(member.id);
        const bool self = member.id == m_self.id;
        if (self || (peer && peer->ackEpoch == m_epoch && isResponsive(member.id, now))) {
            ++voters;
            agreeing += static_cast<std::size_t>(self || (peer->unresponsiveMembers & bit) != 0);
        }
    }
    return agreeing * 2 > voters || voters == 0;
}

// A daemon that only a minority of the members answers must not change the roster: it would remove members that work.
// Departed members are not counted.
bool Membership::majorityAnswers(TimePoint now) const
{
    std::size_t present = 0;
    std::size_t answering = 0;
    for (const auto &member : roster().members) {
        if (isResponsive(member.id, now)) {
            ++answering;
            ++present;
        } else if (!isDeparted(member, now)) {
            ++present;
        }
    }
    return answering * 2 > present || present == 0;
}
}
