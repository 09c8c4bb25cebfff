#include <plumsill/config.h>
#include <plumsill/membership.h>

#include <algorithm>
#include <cassert>
#include <set>

// Invariants that keep two owners from acting at the same time:
// - A daemon's epoch never decreases. The daemon adopts a higher epoch from any peer and answers with its highest epoch
//   only.
// - An epoch is confirmed when a majority of its members has acknowledged, in that epoch, heartbeats that were sent
//   recently.
// - The next epoch is written only after a majority of the previous epoch's members has adopted the current one.
// Hence, once a majority of the previous epoch's members has adopted an epoch, no daemon can confirm an earlier epoch again.
// One ConfirmationLifetime later, every confirmation of an earlier epoch has lapsed.
namespace plumsill
{
namespace
{
const Member *findMember(const std::vector<Member> &members, const MemberId &id)
{
    const auto found = std::find_if(members.begin(), members.end(), [&id](const Member &member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}
}

Membership::Membership(Member self, std::vector<Endpoint> seeds, TimePoint now)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_startedAt(now)
    // Sequences start above those of every earlier incarnation, so an acknowledgement of an earlier incarnation's heartbeat
    // matches none of this one's.
    , m_sequence(m_self.id.incarnation)
    , m_nextHeartbeatAt(now)
    , m_nextReadAt(now)
{
    assert(!m_self.id.name.empty() && m_self.id.incarnation > 0);
    std::erase(m_seeds, m_self.peer);
}

MembershipEffects Membership::tick(TimePoint now)
{
    MembershipEffects effects;
    if (m_superseded) {
        return effects;
    }
    removeExpiredPeers(now);
    updateAdoption(now);
    updateDocumentFreshness(now);
    if (now >= m_nextHeartbeatAt) {
        sendHeartbeats(now, effects);
    }
    pollStore(now, effects);
    requestDocument(now, effects);
    changeRoster(now, effects);
    return effects;
}

MembershipEffects Membership::receive(const Envelope &envelope, TimePoint now)
{
    MembershipEffects effects;
    if (envelope.sender.name == m_self.id.name) {
        m_superseded = m_superseded || envelope.sender.incarnation > m_self.id.incarnation;
        return effects;
    }
    if (m_superseded) {
        return effects;
    }
    raiseEpoch(envelope.epoch);
    if (Peer *peer = recordPeer(envelope, now)) {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message)) {
            handleHeartbeat(*peer, envelope, *heartbeat, now, effects);
        } else if (const auto *ack = std::get_if<HeartbeatAck>(&envelope.message)) {
            applyReport(*peer, envelope.epoch, {ack->sequence, ack->state, ack->document, ack->documentKnown, ack->unresponsiveMembers}, now);
        }
    }
    if (const auto *reply = std::get_if<RosterReply>(&envelope.message)) {
        adoptRoster(reply->roster, now, effects);
    }
    if (!currentRosterKnown() && envelope.epoch == m_epoch && m_epoch > 0) {
        fetchRoster(envelope.replyTo, now, effects);
    }
    updateAdoption(now);
    updateDocumentFreshness(now);
    return effects;
}

std::optional<Envelope> Membership::respond(const Envelope &request) const
{
    if (!std::holds_alternative<RosterRequest>(request.message) || !currentRosterKnown()) {
        return std::nullopt;
    }
    return envelope(RosterReply {roster()});
}

void Membership::leavingTargetsChanged(std::vector<LeavingTarget> targets)
{
    m_leavingTargets = std::move(targets);
}

void Membership::serving()
{
    m_state = std::max(m_state, MemberState::Serving);
}

void Membership::leave()
{
    m_state = MemberState::Leaving;
    m_nextHeartbeatAt = m_startedAt;
}

const Roster &Membership::roster() const
{
    static const Roster none;
    return m_history.empty() ? none : m_history.back().roster;
}

bool Membership::isMember() const
{
    return currentRosterKnown() && findMember(roster().members, m_self.id) != nullptr;
}

std::vector<PeerStatus> Membership::peers(TimePoint now) const
{
    std::vector<PeerStatus> list;
    for (const auto &[name, peer] : m_peers) {
        PeerStatus status;
        status.member = peer.member;
        status.inRoster = findMember(roster().members, peer.member.id) != nullptr;
        status.suspected = timeSinceAnswer(peer.member.id, now) >= config::MemberSuspectAfter;
        status.delisted = delisted(peer.member);
        status.state = peer.state;
        status.epoch = peer.epoch;
        status.document = peer.document;
        status.lastAnswer = peer.answeredAt;
        list.push_back(std::move(status));
    }
    return list;
}

Envelope Membership::envelope(Message message) const
{
    return {m_self.id, m_self.peer, m_epoch, std::move(message)};
}

const Membership::Peer *Membership::findPeer(const MemberId &id) const
{
    const auto found = m_peers.find(id.name);
    return found != m_peers.end() && found->second.member.id == id ? &found->second : nullptr;
}

const Membership::Peer *Membership::findPeer(const Endpoint &endpoint) const
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&endpoint](const auto &entry) { return entry.second.member.peer == endpoint; });
    return found == m_peers.end() ? nullptr : &found->second;
}

// Returns null for an earlier incarnation of a known peer. Its heartbeats and acknowledgements are ignored; only the epoch of
// its envelope counts, which receive() has already processed.
Membership::Peer *Membership::recordPeer(const Envelope &envelope, TimePoint now)
{
    Peer &peer = m_peers[envelope.sender.name];
    const auto known = peer.member.id.incarnation;
    if (envelope.sender.incarnation < known) {
        return nullptr;
    }
    if (envelope.sender.incarnation > known) {
        peer = Peer {};
        peer.trackedSince = now;
        peer.member.id = envelope.sender;
    }
    peer.member.peer = envelope.replyTo;
    peer.epoch = std::max(peer.epoch, envelope.epoch);
    peer.lastReceivedAt = now;
    return &peer;
}

// For a member that has not answered yet, the time without an answer counts from the start of tracking.
void Membership::trackMembers(const std::vector<Member> &members, TimePoint now)
{
    for (const auto &member : members) {
        if (member.id.name == m_self.id.name) {
            m_superseded = m_superseded || member.id.incarnation > m_self.id.incarnation;
            continue;
        }
        Peer &peer = m_peers[member.id.name];
        if (member.id.incarnation > peer.member.id.incarnation) {
            peer = Peer {};
            peer.trackedSince = now;
        }
        if (member.id.incarnation == peer.member.id.incarnation || peer.member.id.incarnation == 0) {
            peer.member = member;
        }
    }
}

void Membership::removeExpiredPeers(TimePoint now)
{
    std::erase_if(m_peers, [this, now](const auto &entry) {
        const MemberId &id = entry.second.member.id;
        const bool listed = findMember(roster().members, id) || findMember(roster().predecessor, id);
        return !listed && now - entry.second.lastReceivedAt.value_or(entry.second.trackedSince) >= config::PeerRecordLifetime;
    });
}

Duration Membership::timeSinceAnswer(const MemberId &id, TimePoint now) const
{
    if (id == m_self.id) {
        return Duration::zero();
    }
    const Peer *peer = findPeer(id);
    return peer ? now - peer->answeredAt.value_or(peer->trackedSince) : now - m_startedAt;
}

bool Membership::isResponsive(const MemberId &id, TimePoint now) const
{
    const Peer *peer = findPeer(id);
    return id == m_self.id || (peer && peer->answeredAt && now - *peer->answeredAt < config::MemberSuspectAfter);
}

void Membership::handleHeartbeat(Peer &peer, const Envelope &envelope, const Heartbeat &heartbeat, TimePoint now, MembershipEffects &effects)
{
    if (!heartbeat.zone.empty()) {
        peer.member.zone = heartbeat.zone;
        peer.member.admin = heartbeat.admin;
    }
    peer.lastHeartbeat = std::max(peer.lastHeartbeat, heartbeat.sequence);
    applyReport(peer, envelope.epoch, {heartbeat.acknowledges, heartbeat.state, heartbeat.document, heartbeat.documentKnown, heartbeat.unresponsiveMembers},
                now);
    if (heartbeat.ackRequested || envelope.epoch < m_epoch) {
        effects.push_back(
            SendDatagram {envelope.replyTo, this->envelope(HeartbeatAck {heartbeat.sequence, m_state, m_document, confirmsDocument(), unresponsiveMask(now)})});
    }
}

void Membership::applyReport(Peer &peer, std::uint64_t epoch, const PeerReport &report, TimePoint now)
{
    peer.state = std::max(peer.state, report.state);
    raiseStamp(peer.document, report.document);
    raiseDocument(report.document);
    if (epoch == m_epoch) {
        if (peer.ackEpoch != epoch) {
            peer.ackEpoch = epoch;
            peer.ackedHeartbeatSentAt.reset();
            peer.heldInEpoch = {};
        }
        peer.unresponsiveMembers = report.unresponsiveMembers;
        m_documentConfirmedEpoch = report.documentKnown ? epoch : m_documentConfirmedEpoch;
        raiseStamp(peer.heldInEpoch, report.document);
    }
    applyAck(peer, epoch, report.acknowledges, now);
}

// An acknowledgement in an older epoch shows that the peer is running, but does not confirm the current epoch.
void Membership::applyAck(Peer &peer, std::uint64_t epoch, std::uint64_t sequence, TimePoint now)
{
    const auto sent
        = std::find_if(m_sentHeartbeats.begin(), m_sentHeartbeats.end(), [sequence](const SentHeartbeat &heartbeat) { return heartbeat.sequence == sequence; });
    if (sent == m_sentHeartbeats.end() || now - sent->at >= config::ConfirmationLifetime) {
        return;
    }
    peer.answeredAt = now;
    if (epoch == m_epoch) {
        peer.ackedHeartbeatSentAt = std::max(peer.ackedHeartbeatSentAt.value_or(sent->at), sent->at);
    }
}

void Membership::sendHeartbeats(TimePoint now, MembershipEffects &effects)
{
    m_nextHeartbeatAt = now + config::HeartbeatInterval;
    ++m_sequence;
    m_sentHeartbeats.push_back({m_sequence, now});
    std::erase_if(m_sentHeartbeats, [now](const SentHeartbeat &heartbeat) { return now - heartbeat.at >= config::ConfirmationLifetime; });
    Heartbeat heartbeat;
    heartbeat.sequence = m_sequence;
    heartbeat.ackRequested = needsImmediateAcks(now);
    heartbeat.state = m_state;
    heartbeat.document = m_document;
    heartbeat.documentKnown = confirmsDocument();
    heartbeat.unresponsiveMembers = unresponsiveMask(now);
    heartbeat.leavingTargets = m_leavingTargets;
    if (!heartbeat.ackRequested) {
        heartbeat.document.digest.clear();
    }
    if (heartbeat.ackRequested || !isMember()) {
        heartbeat.zone = m_self.zone;
        heartbeat.admin = m_self.admin;
    }
    for (const Endpoint &receiver : heartbeatReceivers(now)) {
        const Peer *peer = findPeer(receiver);
        heartbeat.acknowledges = peer ? peer->lastHeartbeat : 0;
        effects.push_back(SendDatagram {receiver, envelope(heartbeat)});
    }
}

// Receivers are the members, the previous epoch's members until a majority of them is known to have adopted the current
// epoch, and peers that have sent something recently, such as daemons that want to join. While the epoch is not confirmed, the seeds
// receive heartbeats as well.
std::vector<Endpoint> Membership::heartbeatReceivers(TimePoint now) const
{
    std::set<Endpoint> receivers;
    for (const auto &member : roster().members) {
        receivers.insert(member.peer);
    }
    const bool adopted = predecessorAdoptedAt().has_value();
    for (const auto &member : roster().predecessor) {
        if (!adopted) {
            receivers.insert(member.peer);
        }
    }
    for (const auto &[name, peer] : m_peers) {
        if (peer.lastReceivedAt && now - *peer.lastReceivedAt < config::CandidateLifetime) {
            receivers.insert(peer.member.peer);
        }
    }
    if (!epochConfirmed(now)) {
        receivers.insert(m_seeds.begin(), m_seeds.end());
    }
    receivers.erase(m_self.peer);
    return {receivers.begin(), receivers.end()};
}

// In the steady state, the next heartbeat carries the acknowledgement. Immediate acknowledgements in datagrams of their
// own are requested only when something has changed or confirmation is about to lapse.
bool Membership::needsImmediateAcks(TimePoint now) const
{
    const auto heartbeat = majorityHeartbeat(now);
    const bool fresh = heartbeat && now - *heartbeat < config::ImmediateAckAfter;
    const bool settled = predecessorAdoptedAt() && m_highestDocument.version <= m_document.version && majorityHolds(m_document);
    return !fresh || !settled || m_state == MemberState::Leaving;
}

std::uint64_t Membership::unresponsiveMask(TimePoint now) const
{
    static_assert(config::MaxCellMembers <= 64);
    std::uint64_t mask = 0;
    const auto &members = roster().members;
    for (std::size_t index = 0; currentRosterKnown() && index < members.size(); ++index) {
        const bool unresponsive = timeSinceAnswer(members[index].id, now) >= config::MemberSuspectAfter;
        mask |= static_cast<std::uint64_t>(unresponsive) << index;
    }
    return mask;
}

bool Membership::currentRosterKnown() const
{
    return !m_history.empty() && m_history.back().roster.epoch == m_epoch;
}

void Membership::raiseEpoch(std::uint64_t epoch)
{
    if (epoch <= m_epoch) {
        return;
    }
    m_epoch = epoch;
    m_storeVersion.reset();
    m_changePendingSince.reset();
    m_flagChangePendingSince.reset();
}

void Membership::adoptRoster(const Roster &roster, TimePoint now, MembershipEffects &effects)
{
    if (roster.epoch < m_epoch || roster.epoch <= this->roster().epoch) {
        return;
    }
    raiseEpoch(roster.epoch);
    // A later epoch exists only if a majority of the predecessor's members has adopted the epoch known here, since the next
    // roster is not written before.
    if (!m_history.empty() && !m_history.back().predecessorAdoptedAt) {
        m_history.back().predecessorAdoptedAt = now;
    }
    // A key may have had another owner in an epoch that this daemon missed. The earlier epochs are removed, so that no
    // ownership is regarded as uninterrupted across the gap.
    if (!m_history.empty() && m_history.back().roster.epoch + 1 != roster.epoch) {
        m_history.clear();
    }
    m_history.push_back({roster, now, std::nullopt, false});
    if (m_history.size() > config::EpochHistory) {
        m_history.pop_front();
    }
    m_fetchStartedAt.reset();
    m_nextHeartbeatAt = m_startedAt;
    raiseDocument(roster.document);
    trackMembers(roster.members, now);
    trackMembers(roster.predecessor, now);
    effects.push_back(RosterAdopted {roster.epoch});
    updateAdoption(now);
}

void Membership::fetchRoster(const Endpoint &from, TimePoint now, MembershipEffects &effects)
{
    if (m_fetchStartedAt && now - *m_fetchStartedAt < config::RosterFetchTimeout) {
        return;
    }
    m_fetchStartedAt = now;
    effects.push_back(FetchRoster {from, envelope(RosterRequest {roster().epoch})});
}

// Departed members cannot adopt an epoch, so a majority of the remaining ones suffices. Documents that only departed
// members knew are then unknown here, so the newest document must be read from the store.
void Membership::updateAdoption(TimePoint now)
{
    if (!currentRosterKnown()) {
        return;
    }
    EpochRecord &record = m_history.back();
    if (record.predecessorAdoptedAt && !record.delistedExcluded) {
        return;
    }
    const auto &members = record.roster.predecessor;
    std::size_t adopted = 0;
    std::size_t departed = 0;
    for (const auto &member : members) {
        if (hasAdopted(member, record.roster.epoch)) {
            ++adopted;
        } else if (isDeparted(member, now)) {
            ++departed;
        }
    }
    const bool majorityOfAll = adopted * 2 > members.size();
    const bool majorityOfRemaining = adopted * 2 > members.size() - departed || departed == members.size();
    if (majorityOfAll || majorityOfRemaining) {
        record.delistedExcluded = !majorityOfAll;
        record.predecessorAdoptedAt = record.predecessorAdoptedAt.value_or(now);
    }
}

bool Membership::hasAdopted(const Member &member, std::uint64_t epoch) const
{
    const Peer *peer = findPeer(member.id);
    return member.id == m_self.id || (peer && peer->epoch >= epoch);
}
}
