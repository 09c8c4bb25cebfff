#include <plumsill/config.h>
#include <plumsill/membership.h>

#include <algorithm>
#include <cassert>
#include <functional>

// Confirmation by a majority of the epoch's members: that the epoch is still in force, and which document is the newest.
namespace plumsill
{
void Membership::documentChanged(const DocumentStamp &document)
{
    assert(document.version >= m_document.version);
    m_document = document;
    raiseDocument(document);
    m_nextHeartbeatAt = m_startedAt;
}

void Membership::documentRead(const DocumentStamp &stored, TimePoint startedAt)
{
    raiseDocument(stored);
    m_documentReadAt = std::max(m_documentReadAt.value_or(startedAt), startedAt);
}

bool Membership::epochConfirmed(TimePoint now) const
{
    return !m_superseded && majorityHeartbeat(now).has_value();
}

bool Membership::documentConfirmed(TimePoint now) const
{
    const bool newest = m_document.version > 0 && m_highestDocument.version <= m_document.version;
    return newest && documentFloorKnown() && epochConfirmed(now);
}

bool Membership::majorityHolds(const DocumentStamp &document) const
{
    if (!currentRosterKnown()) {
        return false;
    }
    const auto &members = roster().members;
    const auto holding = std::count_if(members.begin(), members.end(), [this, &document](const Member &member) { return heldInEpoch(member.id, document); });
    return static_cast<std::size_t>(holding) * 2 > members.size();
}

DocumentStamp Membership::highestDocument() const
{
    return m_highestDocument;
}

std::vector<Member> Membership::holders(const DocumentStamp &document) const
{
    std::vector<Member> found;
    for (const auto &[name, peer] : m_peers) {
        if (peer.document.version >= document.version) {
            found.push_back(peer.member);
        }
    }
    return found;
}

std::optional<TimePoint> Membership::predecessorAdoptedAt() const
{
    return currentRosterKnown() ? m_history.back().predecessorAdoptedAt : std::nullopt;
}

bool Membership::heldInEpoch(const MemberId &id, const DocumentStamp &document) const
{
    const Peer *peer = findPeer(id);
    const bool inEpoch = peer && peer->ackEpoch == m_epoch;
    const DocumentStamp held = id == m_self.id ? m_document : inEpoch ? peer->heldInEpoch : DocumentStamp {};
    return held.version >= document.version;
}

// Sending time of the newest heartbeat that a majority of the epoch's members has acknowledged in this epoch.
std::optional<TimePoint> Membership::majorityHeartbeat(TimePoint now) const
{
    if (!currentRosterKnown()) {
        return std::nullopt;
    }
    std::vector<TimePoint> sent;
    for (const auto &member : roster().members) {
        const Peer *peer = findPeer(member.id);
        if (member.id == m_self.id) {
            sent.push_back(now);
        } else if (peer && peer->ackEpoch == m_epoch && peer->ackedHeartbeatSentAt) {
            sent.push_back(*peer->ackedHeartbeatSentAt);
        }
    }
    const std::size_t majority = roster().members.size() / 2 + 1;
    if (sent.size() < majority) {
        return std::nullopt;
    }
    std::sort(sent.begin(), sent.end(), std::greater<>());
    const TimePoint heartbeat = sent[majority - 1];
    return now - heartbeat < config::ConfirmationLifetime ? std::optional(heartbeat) : std::nullopt;
}

// Heartbeats may omit the digest of a document, so a stamp of the same version replaces one without a digest.
void Membership::raiseStamp(DocumentStamp &known, const DocumentStamp &received)
{
    if (received.version > known.version || (received.version == known.version && known.digest.empty())) {
        known = received;
    }
}

void Membership::raiseDocument(const DocumentStamp &document)
{
    raiseStamp(m_highestDocument, document);
}

// True when no document accepted in an earlier epoch can be unknown here. One of three conditions is sufficient:
// - A majority of all members of the previous epoch has reported its documents after adopting this epoch or a later one.
//   Documents of still earlier epochs are covered by the roster, which contains the newest document known to its writer.
// - This daemon started to read the newest document from the store after a majority of the previous epoch's members was
//   known to have adopted this epoch. Departed members need not be counted here.
// - A peer has reported in this epoch that one of these conditions holds for it, and that it holds the newest document that
//   it knows.
bool Membership::documentFloorKnown() const
{
    if (!currentRosterKnown()) {
        return false;
    }
    const EpochRecord &record = m_history.back();
    const bool reported = record.predecessorAdoptedAt && !record.delistedExcluded;
    const bool read = record.predecessorAdoptedAt && m_documentReadAt && *m_documentReadAt >= *record.predecessorAdoptedAt;
    return reported || read || m_documentConfirmedEpoch == m_epoch;
}

bool Membership::confirmsDocument() const
{
    return documentFloorKnown() && m_document.version >= m_highestDocument.version;
}

void Membership::updateDocumentFreshness(TimePoint now)
{
    if (!documentConfirmed(now)) {
        return;
    }
    const TimePoint heartbeat = *majorityHeartbeat(now);
    m_documentFreshAt = std::max(m_documentFreshAt.value_or(heartbeat), heartbeat);
}
}
