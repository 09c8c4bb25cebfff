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

/// A new roster is in force for this daemon.
struct RosterAdopted {
    std::uint64_t epoch = 0;

    auto operator<=>(const RosterAdopted &) const = default;
};

using MembershipEffect = std::variant<SendDatagram, FetchRoster, ReadRoster, WriteRoster, RosterAdopted>;
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
    bool goneCountedOut = false; ///< that majority left out members that the platform had delisted

    auto operator<=>(const EpochRecord &) const = default;
};

/// State machine of one daemon's membership. All time comes from the caller.
class Membership
{
public:
    /// @p self's incarnation must rise with each start; @p seeds are peer ports to try while no roster is known.
    Membership(Member self, std::vector<Endpoint> seeds, TimePoint now);

    /// Drives pulses, polling and roster changes; call every 100 ms or so.
    MembershipEffects tick(TimePoint now);
    /// Takes any authenticated envelope. Every received one must come here first: it carries the sender's epoch.
    MembershipEffects receive(const Envelope &envelope, TimePoint now);
    MembershipEffects rosterRead(const std::optional<StoredRoster> &stored, TimePoint now);
    MembershipEffects rosterReadFailed(TimePoint now);
    /// @p version is the object's new version in the store, for Written.
    MembershipEffects rosterWritten(RosterWriteResult result, std::uint64_t version, TimePoint now);
    /// The platform's list of instances.
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
    /// This daemon is one of the few that should watch the store for the cell.
    bool isWatcher(TimePoint now) const;
    /// An envelope from this daemon, stamped with its epoch.
    Envelope envelope(Message message) const;

private:
    struct Peer {
        Member member;
        MemberState state = MemberState::Starting;
        std::uint64_t epoch = 0;
        DocumentStamp document;
        std::uint64_t silentMembers = 0;
        std::uint64_t ackEpoch = 0;
        std::optional<TimePoint> heardAt; ///< any envelope
        std::optional<TimePoint> answeredAt; ///< acknowledgement of a recent pulse
        std::optional<TimePoint> ackedPulseSentAt;
    };
    struct SentPulse {
        std::uint64_t sequence = 0;
        TimePoint at;
    };

    Peer *findPeer(const MemberId &id);
    const Peer *findPeer(const MemberId &id) const;
    Peer &notePeer(const Envelope &envelope, TimePoint now);
    void takePulse(const Envelope &envelope, const Pulse &pulse, TimePoint now, MembershipEffects &effects);
    void takeAck(const Envelope &envelope, const PulseAck &ack, TimePoint now);
    void takeRoster(const Roster &roster, TimePoint now, MembershipEffects &effects);
    void raiseEpoch(std::uint64_t epoch);
    void fetchRoster(const Endpoint &from, TimePoint now, MembershipEffects &effects);
    void updateAdoption(TimePoint now);
    void updateDocumentFreshness(TimePoint now);
    void sendPulses(TimePoint now, MembershipEffects &effects);
    std::vector<Member> pulseReceivers(TimePoint now) const;
    void forgetPeers(TimePoint now);
    void pollStore(TimePoint now, MembershipEffects &effects);
    void changeRoster(TimePoint now, MembershipEffects &effects);
    void createRoster(TimePoint now, MembershipEffects &effects);
    void write(std::vector<Member> members, TimePoint now, MembershipEffects &effects);
    std::vector<Member> nextMembers(TimePoint now) const;
    std::vector<Member> candidates(TimePoint now) const;
    bool answers(const MemberId &id, TimePoint now) const;
    bool silent(const MemberId &id, TimePoint now) const;
    bool delisted(const Member &member, TimePoint now) const;
    bool gone(const Member &member, TimePoint now) const;
    bool removable(const Member &member, TimePoint now) const;
    bool majoritySaysSilent(const Member &member, TimePoint now) const;
    bool majorityAnswers(TimePoint now) const;
    std::size_t rank(TimePoint now) const;
    std::optional<std::size_t> watchRank(TimePoint now) const;
    std::uint64_t silentMask(TimePoint now) const;
    std::optional<TimePoint> majorityPulse(TimePoint now) const;
    bool currentRosterKnown() const;

    Member m_self;
    std::vector<Endpoint> m_seeds;
    TimePoint m_startedAt;
    MemberState m_state = MemberState::Starting;
    bool m_superseded = false;
    std::uint64_t m_epoch = 0;
    std::deque<EpochRecord> m_history;
    std::map<InstanceName, Peer> m_peers;

    std::uint64_t m_sequence = 0;
    std::deque<SentPulse> m_sentPulses;
    std::optional<TimePoint> m_nextPulseAt;
    std::vector<LeavingTarget> m_leavingTargets;

    DocumentStamp m_document;
    DocumentStamp m_highestDocument;
    std::optional<TimePoint> m_documentReadAt;
    std::optional<TimePoint> m_documentFreshAt;

    std::map<InstanceName, ListedInstance> m_listed;
    std::map<InstanceName, TimePoint> m_absentSince;
    bool m_listKnown = false;

    std::optional<std::uint64_t> m_storeVersion; ///< of the roster object, when it holds the present epoch
    bool m_storeEmpty = false;
    std::optional<TimePoint> m_readStartedAt;
    std::optional<TimePoint> m_nextReadAt;
    std::optional<TimePoint> m_fetchStartedAt;
    std::optional<TimePoint> m_writeStartedAt;
    std::optional<TimePoint> m_changeWantedAt;
    std::optional<Roster> m_pendingWrite;
};
}
