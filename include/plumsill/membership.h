#pragma once

#include <plumsill/clock.h>
#include <plumsill/messages.h>
#include <plumsill/roster.h>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// Membership of the cell: its members, the epoch in force, and the confirmation of that epoch by a majority.
namespace plumsill
{
/// Sends one datagram.
struct SendDatagram {
    Endpoint to;
    Envelope envelope;

    auto operator<=>(const SendDatagram &) const = default;
};

/// Requests the roster from a peer over TCP. Pass the reply to Membership::receive.
struct FetchRoster {
    Endpoint from;
    Envelope envelope;

    auto operator<=>(const FetchRoster &) const = default;
};

/// Reads the roster's object from the store. Pass the result to Membership::rosterRead or rosterReadFailed.
struct ReadRoster {
    auto operator<=>(const ReadRoster &) const = default;
};

/// Writes the roster's object conditionally. Pass the result to Membership::rosterWritten.
struct WriteRoster {
    Roster roster;
    std::optional<std::uint64_t> replaces; ///< version in the store that the write replaces; none: create the object if it is absent

    auto operator<=>(const WriteRoster &) const = default;
};

/// Reads the stamp of the newest document in the store. Pass it to Membership::documentRead.
struct ReadDocument {
    auto operator<=>(const ReadDocument &) const = default;
};

/// This daemon has adopted a new roster.
struct RosterAdopted {
    std::uint64_t epoch = 0;

    auto operator<=>(const RosterAdopted &) const = default;
};

using MembershipEffect = std::variant<SendDatagram, FetchRoster, ReadRoster, WriteRoster, ReadDocument, RosterAdopted>;
using MembershipEffects = std::vector<MembershipEffect>;

/// The roster's object as the store returned it.
struct StoredRoster {
    Roster roster;
    std::uint64_t version = 0; ///< version of the object in the store

    auto operator<=>(const StoredRoster &) const = default;
};

enum class RosterWriteResult
{
    Written,
    Conflict,
    Unknown, ///< the store did not answer; the write may have taken effect
};

/// State of a peer as this daemon observes it.
struct PeerStatus {
    Member member;
    bool inRoster = false;
    bool suspected = false; ///< has not answered for MemberSuspectAfter
    bool delisted = false; ///< the platform's listing no longer contains it
    MemberState state = MemberState::Starting;
    std::uint64_t epoch = 0; ///< highest epoch that it reported
    DocumentStamp document; ///< newest document that it reported
    std::optional<TimePoint> lastAnswer; ///< time of its last acknowledgement

    auto operator<=>(const PeerStatus &) const = default;
};

/// An epoch that this daemon has adopted.
struct EpochRecord {
    Roster roster;
    TimePoint adoptedAt;
    /// Time at which a majority of the previous epoch's members was first known to have adopted this epoch or a later one.
    std::optional<TimePoint> predecessorAdoptedAt;
    bool delistedExcluded = false; ///< `predecessorAdoptedAt` is set only because departed members were not counted

    auto operator<=>(const EpochRecord &) const = default;
};

/// State machine of one daemon's membership. It reads no clock: the caller passes the time.
class Membership
{
public:
    /// The incarnation of @p self must increase with each start, such as the wall time in milliseconds. @p seeds are peer
    /// endpoints to contact while the epoch is not confirmed.
    Membership(Member self, std::vector<Endpoint> seeds, TimePoint now);

    /// Performs heartbeats, polling and roster changes. Call it about every 100 ms.
    MembershipEffects tick(TimePoint now);
    /// Processes an authenticated envelope. Every received envelope must be passed here first, because it carries the
    /// sender's epoch.
    MembershipEffects receive(const Envelope &envelope, TimePoint now);
    /// Result of a ReadRoster; nothing when the store has no roster.
    MembershipEffects rosterRead(const std::optional<StoredRoster> &stored, TimePoint now);
    MembershipEffects rosterReadFailed(TimePoint now);
    /// Result of a WriteRoster; call it exactly once for each. With Written, @p version is the object's new version in the
    /// store.
    MembershipEffects rosterWritten(RosterWriteResult result, std::uint64_t version, TimePoint now);
    /// Reply to a peer's RosterRequest; nothing for other messages, or while the current epoch's roster is unknown.
    std::optional<Envelope> respond(const Envelope &request) const;
    /// Passes in the platform's listing of instances. Watchers read it every few seconds.
    void instancesListed(const std::vector<ListedInstance> &instances, TimePoint now);
    /// Passes in the stamp of the document that this daemon holds now.
    void documentChanged(const DocumentStamp &document);
    /// Passes in the newest document's stamp in the store, from a read that started at @p startedAt.
    void documentRead(const DocumentStamp &stored, TimePoint startedAt);
    /// Sets the draining targets that heartbeats announce.
    void leavingTargetsChanged(std::vector<LeavingTarget> targets);
    /// Marks this daemon as serving.
    void serving();
    /// Starts a planned stop: requests an epoch without this daemon from the other members.
    void leave();

    const Member &self() const { return m_self; }
    MemberState state() const { return m_state; }
    /// Highest known epoch. Outgoing envelopes carry it.
    std::uint64_t epoch() const { return m_epoch; }
    /// Newest known roster, empty at first. It is older than epoch() while the newer one is being fetched.
    const Roster &roster() const;
    /// Consecutive epochs that this daemon has adopted, newest last.
    const std::deque<EpochRecord> &history() const { return m_history; }
    /// The roster of the current epoch is known and contains this daemon.
    bool isMember() const;
    /// A daemon with this name and a later incarnation is running, so this one must stop.
    bool superseded() const { return m_superseded; }
    /// A majority of the epoch's members has acknowledged, in this epoch, heartbeats sent within ConfirmationLifetime.
    bool epochConfirmed(TimePoint now) const;
    /// The epoch is confirmed, and no document newer than the one held is known.
    bool documentConfirmed(TimePoint now) const;
    /// Latest time at which a majority is known to have had no document newer than the one held here. Nothing before the
    /// first confirmation.
    std::optional<TimePoint> documentFreshAt() const { return m_documentFreshAt; }
    /// A majority of the epoch's members holds @p document or a later one, so it is accepted.
    bool majorityHolds(const DocumentStamp &document) const;
    /// Newest document known, whether this daemon holds it or not.
    DocumentStamp highestDocument() const;
    /// Peers that hold @p document or a later one.
    std::vector<Member> holders(const DocumentStamp &document) const;
    /// Time at which a majority of the previous epoch's members was first known to have adopted the current epoch; empty until
    /// then.
    std::optional<TimePoint> predecessorAdoptedAt() const;
    /// All known peers.
    std::vector<PeerStatus> peers(TimePoint now) const;
    /// This daemon should watch the store: it is one of the few watchers of the cell, its epoch is not confirmed, or a majority
    /// of the previous epoch's members is not yet known to have adopted the epoch.
    bool isWatcher(TimePoint now) const;
    /// Wraps a message into an envelope from this daemon with its epoch.
    Envelope envelope(Message message) const;

private:
    struct Peer {
        Member member;
        MemberState state = MemberState::Starting;
        std::uint64_t epoch = 0; ///< highest epoch reported
        DocumentStamp document; ///< newest document reported
        std::uint64_t lastHeartbeat = 0; ///< sequence of its last heartbeat
        std::uint64_t ackEpoch = 0; ///< epoch to which `unresponsiveMembers`, `heldInEpoch` and `ackedHeartbeatSentAt` belong
        std::uint64_t unresponsiveMembers = 0;
        DocumentStamp heldInEpoch; ///< newest document that the peer reported in `ackEpoch`
        std::optional<TimePoint> ackedHeartbeatSentAt; ///< sending time of the newest acknowledged heartbeat
        TimePoint trackedSince;
        std::optional<TimePoint> lastReceivedAt; ///< time of the last envelope of any kind
        std::optional<TimePoint> answeredAt; ///< time of the last acknowledgement of a recent heartbeat, in any epoch
    };
    /// A heartbeat whose acknowledgement may still arrive.
    struct SentHeartbeat {
        std::uint64_t sequence = 0;
        TimePoint at;
    };
    /// Listings that did not contain a member: time of the first and of the last one.
    struct Absence {
        TimePoint first;
        TimePoint last;
    };
    /// Fields that a heartbeat and an acknowledgement have in common.
    struct PeerReport {
        std::uint64_t acknowledges = 0; ///< sequence of the acknowledged heartbeat
        MemberState state = MemberState::Starting;
        DocumentStamp document;
        bool documentKnown = false;
        std::uint64_t unresponsiveMembers = 0;
    };

    // Peers.
    const Peer *findPeer(const MemberId &id) const;
    const Peer *findPeer(const Endpoint &endpoint) const;
    Peer *recordPeer(const Envelope &envelope, TimePoint now);
    void trackMembers(const std::vector<Member> &members, TimePoint now);
    void removeExpiredPeers(TimePoint now);
    Duration timeSinceAnswer(const MemberId &id, TimePoint now) const;
    bool isResponsive(const MemberId &id, TimePoint now) const;
    bool heldInEpoch(const MemberId &id, const DocumentStamp &document) const;

    // Heartbeats.
    void handleHeartbeat(Peer &peer, const Envelope &envelope, const Heartbeat &heartbeat, TimePoint now, MembershipEffects &effects);
    void applyReport(Peer &peer, std::uint64_t epoch, const PeerReport &report, TimePoint now);
    void applyAck(Peer &peer, std::uint64_t epoch, std::uint64_t sequence, TimePoint now);
    void sendHeartbeats(TimePoint now, MembershipEffects &effects);
    std::vector<Endpoint> heartbeatReceivers(TimePoint now) const;
    bool needsImmediateAcks(TimePoint now) const;
    std::uint64_t unresponsiveMask(TimePoint now) const;

    // Epochs.
    bool currentRosterKnown() const;
    void raiseEpoch(std::uint64_t epoch);
    void adoptRoster(const Roster &roster, TimePoint now, MembershipEffects &effects);
    void fetchRoster(const Endpoint &from, TimePoint now, MembershipEffects &effects);
    void updateAdoption(TimePoint now);
    bool hasAdopted(const Member &member, std::uint64_t epoch) const;
    std::optional<TimePoint> majorityHeartbeat(TimePoint now) const;

    // Documents.
    static void raiseStamp(DocumentStamp &known, const DocumentStamp &received);
    void raiseDocument(const DocumentStamp &document);
    bool documentFloorKnown() const;
    bool confirmsDocument() const;
    void updateDocumentFreshness(TimePoint now);

    // The platform's listing.
    bool delisted(const Member &member) const;
    bool superseded(const MemberId &id) const;
    bool isDeparted(const Member &member, TimePoint now) const;
    bool listed(const InstanceName &name) const;
    bool listedAsLeaving(const InstanceName &name) const;

    // Roster changes.
    void pollStore(TimePoint now, MembershipEffects &effects);
    void requestDocument(TimePoint now, MembershipEffects &effects);
    void readRoster(TimePoint now, MembershipEffects &effects);
    void createRoster(TimePoint now, MembershipEffects &effects);
    void changeRoster(TimePoint now, MembershipEffects &effects);
    bool changeIsDue(const std::vector<Member> &next, TimePoint now);
    bool mayWrite(TimePoint now, MembershipEffects &effects);
    void write(Roster next, std::optional<std::uint64_t> replaces, MembershipEffects &effects);
    std::vector<Member> nextMembers(TimePoint now) const;
    std::vector<Member> candidates(TimePoint now) const;
    bool removable(const Member &member, TimePoint now) const;
    bool majorityReportsUnresponsive(const MemberId &id, TimePoint now) const;
    bool majorityAnswers(TimePoint now) const;
    std::optional<std::size_t> rank(TimePoint now) const;
    Duration writeDelay(TimePoint now) const;

    Member m_self;
    std::vector<Endpoint> m_seeds;
    TimePoint m_startedAt;
    MemberState m_state = MemberState::Starting;
    bool m_superseded = false;
    std::uint64_t m_epoch = 0;
    std::deque<EpochRecord> m_history;
    std::map<InstanceName, Peer> m_peers;

    std::uint64_t m_sequence = 0;
    std::deque<SentHeartbeat> m_sentHeartbeats;
    TimePoint m_nextHeartbeatAt;
    std::vector<LeavingTarget> m_leavingTargets;

    DocumentStamp m_document; ///< document held
    DocumentStamp m_highestDocument; ///< newest document known
    std::optional<TimePoint> m_documentReadAt; ///< start of the newest read of the store
    std::optional<TimePoint> m_documentFreshAt;
    std::optional<TimePoint> m_documentRequestedAt;
    /// Newest epoch in which a peer reported that its document is at least as new as any accepted in earlier epochs.
    std::uint64_t m_documentConfirmedEpoch = 0;

    std::map<InstanceName, ListedInstance> m_listed;
    std::map<InstanceName, Absence> m_absent;
    bool m_listKnown = false;

    std::optional<std::uint64_t> m_storeVersion; ///< version of the roster's object, when it holds the current epoch
    std::optional<TimePoint> m_storeEmptySince;
    std::optional<TimePoint> m_readStartedAt;
    TimePoint m_nextReadAt;
    std::optional<TimePoint> m_fetchStartedAt;
    bool m_writeInFlight = false;
    std::optional<TimePoint> m_changePendingSince; ///< since when the next roster would list other member ids than the current one
    /// Since when the next roster would differ from the current one only in the `listed` flags of its members.
    std::optional<TimePoint> m_flagChangePendingSince;
    Roster m_pendingWrite;
};
}
