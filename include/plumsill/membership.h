#pragma once

#include <plumsill/clock.h>
#include <plumsill/messages.h>
#include <plumsill/roster.h>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// Who belongs to the cell, which epoch holds, and whether a majority still says so.
namespace plumsill
{
/// Sends one datagram.
struct SendDatagram {
    Endpoint to;
    Envelope envelope;

    auto operator<=>(const SendDatagram &) const = default;
};

/// Asks a peer for its roster over TCP; its reply goes to Membership::receive.
struct FetchRoster {
    Endpoint from;
    Envelope envelope;

    auto operator<=>(const FetchRoster &) const = default;
};

/// Reads the roster's object; the answer goes to Membership::rosterRead or rosterReadFailed.
struct ReadRoster {
    auto operator<=>(const ReadRoster &) const = default;
};

/// Conditional write of the roster's object; the result goes to Membership::rosterWritten.
struct WriteRoster {
    Roster roster;
    std::optional<std::uint64_t> replaces; ///< version in the store; none: create if absent

    auto operator<=>(const WriteRoster &) const = default;
};

/// Reads which document the store holds as the newest; the answer goes to Membership::documentRead.
struct ReadDocument {
    auto operator<=>(const ReadDocument &) const = default;
};

/// A new roster is in force for this daemon.
struct RosterAdopted {
    std::uint64_t epoch = 0;

    auto operator<=>(const RosterAdopted &) const = default;
};

using MembershipEffect = std::variant<SendDatagram, FetchRoster, ReadRoster, WriteRoster, ReadDocument, RosterAdopted>;
using MembershipEffects = std::vector<MembershipEffect>;

/// The roster's object as the store returned it.
struct StoredRoster {
    Roster roster;
    std::uint64_t version = 0; ///< of the object in the store

    auto operator<=>(const StoredRoster &) const = default;
};

enum class RosterWriteResult
{
    Written,
    Conflict,
    Unknown, ///< no answer: the write may have taken effect
};

/// A peer as this daemon sees it.
struct PeerStatus {
    Member member;
    bool inRoster = false;
    bool suspected = false; ///< hasn't answered for MemberSuspectAfter
    bool delisted = false; ///< the platform's list shows it no more
    MemberState state = MemberState::Starting;
    std::uint64_t epoch = 0; ///< highest that it told
    DocumentStamp document;
    std::optional<TimePoint> lastAnswer; ///< when its last acknowledgement came

    auto operator<=>(const PeerStatus &) const = default;
};

/// An epoch that this daemon went through.
struct EpochRecord {
    Roster roster;
    TimePoint adoptedAt;
    std::optional<TimePoint> predecessorAdoptedAt; ///< when a majority of the epoch before was known to have left it
    bool delistedExcluded = false; ///< that majority left out members that the platform had delisted

    auto operator<=>(const EpochRecord &) const = default;
};

/// State machine of one daemon's membership. All time comes from the caller.
class Membership
{
public:
    /// @p self's incarnation must rise with each start (milliseconds of wall time will do); @p seeds are peer ports to try while no roster is known.
    Membership(Member self, std::vector<Endpoint> seeds, TimePoint now);

    /// Drives pulses, polling and roster changes; call every 100 ms or so.
    MembershipEffects tick(TimePoint now);
    /// Takes any authenticated envelope. Every received one must come here first: it carries the sender's epoch.
    MembershipEffects receive(const Envelope &envelope, TimePoint now);
    MembershipEffects rosterRead(const std::optional<StoredRoster> &stored, TimePoint now);
    MembershipEffects rosterReadFailed(TimePoint now);
    /// Exactly one for each WriteRoster. @p version is the object's new version in the store, for Written.
    MembershipEffects rosterWritten(RosterWriteResult result, std::uint64_t version, TimePoint now);
    /// The reply to a peer's RosterRequest; nothing for other messages, or while the roster is unknown.
    std::optional<Envelope> respond(const Envelope &request) const;
    /// The platform's list of instances. Watchers read it every few seconds.
    void instancesListed(const std::vector<ListedInstance> &instances, TimePoint now);
    /// The document this daemon holds now.
    void documentChanged(const DocumentStamp &document);
    /// A read of the store that started at @p startedAt showed this stamp as the newest.
    void documentRead(const DocumentStamp &stored, TimePoint startedAt);
    void leavingTargetsChanged(std::vector<LeavingTarget> targets);
    void serving();
    /// Planned stop: asks the others for an epoch without this daemon.
    void leave();

    const Member &self() const { return m_self; }
    MemberState state() const { return m_state; }
    /// Highest epoch known; outgoing envelopes are stamped with it.
    std::uint64_t epoch() const { return m_epoch; }
    /// Newest roster known, empty at first; older than epoch() while the newer one is being fetched.
    const Roster &roster() const;
    /// Consecutive epochs that this daemon went through, newest last.
    const std::deque<EpochRecord> &history() const { return m_history; }
    bool isMember() const;
    /// Another daemon runs under this name with a later incarnation: this one must stop.
    bool superseded() const { return m_superseded; }
    /// A majority of the epoch answered in it to pulses sent within ConfirmationLifetime.
    bool epochConfirmed(TimePoint now) const;
    /// The epoch is confirmed, and no newer document is known than the one held.
    bool documentConfirmed(TimePoint now) const;
    /// Latest time as of which a majority knew no newer document than the one held; nothing before the first.
    std::optional<TimePoint> documentFreshAt() const { return m_documentFreshAt; }
    /// A majority of the epoch holds @p document or a later one: it is accepted.
    bool majorityHolds(const DocumentStamp &document) const;
    DocumentStamp highestDocument() const;
    /// Peers that hold @p document or a later one.
    std::vector<Member> holders(const DocumentStamp &document) const;
    /// When a majority of the predecessor's members was known to have adopted the present epoch.
    std::optional<TimePoint> predecessorAdoptedAt() const;
    std::vector<PeerStatus> peers(TimePoint now) const;
    /// This daemon should watch the store: one of the few that do so for the cell, or not confirmed itself.
    bool isWatcher(TimePoint now) const;
    /// An envelope from this daemon, stamped with its epoch.
    Envelope envelope(Message message) const;

private:
    struct Peer {
        Member member;
        MemberState state = MemberState::Starting;
        std::uint64_t epoch = 0; ///< highest told
        DocumentStamp document; ///< newest told
        std::uint64_t lastHeartbeat = 0; ///< sequence of its last pulse
        std::uint64_t ackEpoch = 0; ///< epoch of the fields below
        std::uint64_t unresponsiveMembers = 0;
        DocumentStamp heldInEpoch;
        std::optional<TimePoint> ackedHeartbeatSentAt;
        TimePoint trackedSince;
        std::optional<TimePoint> lastReceivedAt; ///< any envelope
        std::optional<TimePoint> answeredAt; ///< answer to a recent pulse, in any epoch
    };
    struct SentHeartbeat {
        std::uint64_t sequence = 0;
        TimePoint at;
    };
    struct Absence {
        TimePoint first;
        TimePoint last;
    };
    /// What a pulse and an acknowledgement have in common.
    struct Told {
        std::uint64_t answers = 0;
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
    Duration silentFor(const MemberId &id, TimePoint now) const;
    bool answers(const MemberId &id, TimePoint now) const;
    bool heldInEpoch(const MemberId &id, const DocumentStamp &document) const;

    // Pulses.
    void handleHeartbeat(Peer &peer, const Envelope &envelope, const Heartbeat &heartbeat, TimePoint now, MembershipEffects &effects);
    void takeTold(Peer &peer, std::uint64_t epoch, const Told &told, TimePoint now);
    void takeAnswer(Peer &peer, std::uint64_t epoch, std::uint64_t sequence, TimePoint now);
    void sendHeartbeats(TimePoint now, MembershipEffects &effects);
    std::vector<Endpoint> heartbeatReceivers(TimePoint now) const;
    bool wantsAnswersNow(TimePoint now) const;
    std::uint64_t unresponsiveMask(TimePoint now) const;

    // Epochs.
    bool currentRosterKnown() const;
    void raiseEpoch(std::uint64_t epoch);
    void takeRoster(const Roster &roster, TimePoint now, MembershipEffects &effects);
    void fetchRoster(const Endpoint &from, TimePoint now, MembershipEffects &effects);
    void updateAdoption(TimePoint now);
    bool hasAdopted(const Member &member, std::uint64_t epoch) const;
    std::optional<TimePoint> majorityHeartbeat(TimePoint now) const;

    // Documents.
    static void raiseStamp(DocumentStamp &known, const DocumentStamp &told);
    void raiseDocument(const DocumentStamp &document);
    bool documentFloorKnown() const;
    bool confirmsDocument() const;
    void updateDocumentFreshness(TimePoint now);

    // The platform's list.
    bool delisted(const Member &member) const;
    bool superseded(const MemberId &id) const;
    bool gone(const Member &member, TimePoint now) const;
    bool listed(const InstanceName &name) const;
    bool listedAsLeaving(const InstanceName &name) const;

    // Roster changes.
    void pollStore(TimePoint now, MembershipEffects &effects);
    void askForDocument(TimePoint now, MembershipEffects &effects);
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

    DocumentStamp m_document;
    DocumentStamp m_highestDocument;
    std::optional<TimePoint> m_documentReadAt;
    std::optional<TimePoint> m_documentFreshAt;
    std::optional<TimePoint> m_documentAskedAt;
    std::uint64_t m_documentConfirmedEpoch = 0; ///< epoch in which a peer told a document that no earlier epoch exceeds

    std::map<InstanceName, ListedInstance> m_listed;
    std::map<InstanceName, Absence> m_absent;
    bool m_listKnown = false;

    std::optional<std::uint64_t> m_storeVersion; ///< of the roster object, when it holds the present epoch
    std::optional<TimePoint> m_storeEmptySince;
    std::optional<TimePoint> m_readStartedAt;
    TimePoint m_nextReadAt;
    std::optional<TimePoint> m_fetchStartedAt;
    bool m_writeInFlight = false;
    std::optional<TimePoint> m_changeWantedAt; ///< members differ from the roster
    std::optional<TimePoint> m_flagsWantedAt; ///< only what the list shows differs
    Roster m_pendingWrite;
};
}
