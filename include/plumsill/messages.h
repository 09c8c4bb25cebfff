#pragma once

#include <plumsill/clock.h>
#include <plumsill/roster.h>
#include <plumsill/types.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between daemons. One datagram carries one message; what exceeds a datagram goes over TCP.
namespace plumsill
{
/// A target that takes no new work; one that comes back on another endpoint is not meant.
struct LeavingTarget {
    TargetName target;
    Endpoint endpoint;

    auto operator<=>(const LeavingTarget &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, endpoint);
    }
};

/// Heartbeat that each daemon sends to every member once a second. It also answers the receiver's last pulse.
struct Heartbeat {
    std::uint64_t sequence = 0;
    std::uint64_t answers = 0; ///< sequence of the receiver's last pulse, 0 for none
    bool answerNow = false; ///< asks for a PulseAck instead of the answer in the next pulse
    MemberState state = MemberState::Starting;
    ZoneName zone; ///< empty when the roster lists the sender
    Endpoint admin; ///< likewise
    DocumentStamp document; ///< its digest is left out while nothing is new
    bool documentKnown = false; ///< no earlier epoch accepted a later document
    std::uint64_t unresponsiveMembers = 0; ///< bit i: member i of the epoch's roster doesn't answer the sender
    std::vector<LeavingTarget> leavingTargets; ///< targets seen to leave in the last seconds

    auto operator<=>(const Heartbeat &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, answers, answerNow, state, zone, admin, document, documentKnown, unresponsiveMembers, leavingTargets);
    }
};

/// Answer to a pulse; the epoch it is stamped with is the sender's highest.
struct HeartbeatAck {
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Starting;
    DocumentStamp document;
    bool documentKnown = false; ///< as in Pulse
    std::uint64_t unresponsiveMembers = 0; ///< as in Pulse

    auto operator<=>(const HeartbeatAck &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, state, document, documentKnown, unresponsiveMembers);
    }
};

/// End of one grant: what isn't unspent was spent, the last of it at least `ageMilliseconds` before the report was sent.
struct GrantReport {
    std::uint64_t id = 0; ///< of the grant
    std::uint32_t unspent = 0;
    std::uint32_t ageMilliseconds = 0;

    auto operator<=>(const GrantReport &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, unspent, ageMilliseconds);
    }
};

/// Asks the owner of one part of a team's bucket for tokens.
struct GrantRequest {
    std::uint64_t id = 0; ///< unique for one incarnation of the sender
    TeamName team;
    std::uint32_t part = 0;
    std::uint32_t waiting = 0; ///< requests that wait for a token
    std::uint32_t ahead = 0; ///< tokens wanted for requests to come
    std::uint32_t maxWaitMilliseconds = 0; ///< longest delay at which tokens are still of use
    std::vector<GrantReport> finished; ///< of the same part

    auto operator<=>(const GrantRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, team, part, waiting, ahead, maxWaitMilliseconds, finished);
    }
};

/// How an owner answered a grant request.
enum class GrantStatus : std::uint8_t
{
    Granted,
    OverRate, ///< come back later
    NotActing, ///< this daemon doesn't act for the part now
};

/// Tokens that may be spent from `delayMilliseconds` after receipt until grantLifetime() after the request was sent.
struct Grant {
    std::uint64_t id = 0; ///< of the request
    TeamName team;
    std::uint32_t part = 0;
    GrantStatus status = GrantStatus::NotActing;
    std::uint32_t tokens = 0;
    std::uint32_t delayMilliseconds = 0;
    std::uint32_t retryAfterMilliseconds = 0;

    auto operator<=>(const Grant &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, team, part, status, tokens, delayMilliseconds, retryAfterMilliseconds);
    }
};

/// Ends grants early: what was spent of them counts, the rest goes back to the bucket.
struct TokenReturn {
    TeamName team;
    std::uint32_t part = 0;
    std::vector<GrantReport> finished;

    auto operator<=>(const TokenReturn &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, part, finished);
    }
};

/// One part that its owner gives up on a planned stop.
struct HandOver {
    MemberId successor; ///< no other incarnation may take it
    TeamName team;
    std::uint32_t part = 0;
    double balance = 0; ///< tokens free to grant
    double outstanding = 0; ///< tokens granted and not yet reported; they expire within GrantLifetime

    auto operator<=>(const HandOver &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(successor, team, part, balance, outstanding);
    }
};

/// What one daemon saw of one target since its last digest.
struct TargetEvidence {
    TargetName target;
    std::uint16_t good = 0; ///< whole answers
    std::uint16_t fast = 0; ///< whole answers within the slow limit
    std::uint16_t slow = 0; ///< requests that passed the slow limit, answered or not
    std::uint16_t errors = 0;
    std::uint16_t timeouts = 0;
    std::uint16_t truncated = 0;
    std::uint16_t shed = 0; ///< refusals for load, not a sign of illness
    std::uint16_t unreachable = 0; ///< connection attempts that failed
    float logLatencySum = 0; ///< sum of ln(seconds) over whole answers

    auto operator<=>(const TargetEvidence &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, good, fast, slow, errors, timeouts, truncated, shed, unreachable, logLatencySum);
    }
};

/// Evidence of one daemon on the targets of one service, for the service's owner.
struct HealthDigest {
    std::uint64_t sequence = 0;
    ServiceName service;
    std::vector<TargetEvidence> targets;

    auto operator<=>(const HealthDigest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, service, targets);
    }
};

/// Permission to eject one target.
struct EjectionPermit {
    TargetName target;
    std::uint32_t trialPerMille = 0; ///< share of its usual requests that it gets as trials

    auto operator<=>(const EjectionPermit &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, trialPerMille);
    }
};

/// The owner's whole word on one service; lapses EjectionPermitLifetime after the digest it answers was sent.
struct Verdict {
    std::uint64_t sequence = 0; ///< of the digest it answers
    ServiceName service;
    std::vector<EjectionPermit> ejected; ///< worst first
    std::uint32_t slowAfterMicroseconds = 0; ///< slow limit of the service; none while 0

    auto operator<=>(const Verdict &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, service, ejected, slowAfterMicroseconds);
    }
};

/// Asks a peer for the document it told of in its pulse. Goes over TCP.
struct DocumentRequest {
    DocumentStamp known;

    auto operator<=>(const DocumentRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known);
    }
};

/// The whole text of a document. Goes over TCP.
struct DocumentReply {
    DocumentStamp stamp;
    std::string text;

    auto operator<=>(const DocumentReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stamp, text);
    }
};

/// Asks a peer for the roster of its epoch. Goes over TCP.
struct RosterRequest {
    std::uint64_t knownEpoch = 0;

    auto operator<=>(const RosterRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(knownEpoch);
    }
};

/// A peer's copy of the roster. Goes over TCP.
struct RosterReply {
    Roster roster;

    auto operator<=>(const RosterReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(roster);
    }
};

/// Asks a peer for the targets that the platform listed; for a daemon that can't read the list. Goes over TCP.
struct TargetsRequest {
    auto operator<=>(const TargetsRequest &) const = default;
    template<class Archive>
    void serialize(Archive &)
    { }
};

/// The targets as the sender last read them. Goes over TCP.
struct TargetsReply {
    std::uint64_t ageMilliseconds = 0;
    std::vector<Target> targets;

    auto operator<=>(const TargetsReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(ageMilliseconds, targets);
    }
};

/// Asks a daemon for its list of targets, or for what changed in it. Goes over TCP.
struct ListRequest {
    std::uint64_t incarnation = 0; ///< of the daemon whose list the asker holds; 0: none
    std::uint64_t revision = 0; ///< of that list

    auto operator<=>(const ListRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, revision);
    }
};

/// The list of targets as the sender holds it, whole or as changes of the revision that was asked about.
struct ListReply {
    std::uint64_t incarnation = 0; ///< of the sender
    std::uint64_t revision = 0;
    std::uint32_t ageMilliseconds = 0; ///< since the read that confirmed it was sent
    bool whole = true;
    std::vector<Target> targets; ///< all, or those that came or changed
    std::vector<TargetName> gone; ///< with changes only

    auto operator<=>(const ListReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, revision, ageMilliseconds, whole, targets, gone);
    }
};

/// An attempt that a daemon has running; lets a new scheduler take over.
struct RunningAttempt {
    std::uint64_t id = 0;
    ServiceName service;
    TargetName target;
    std::uint32_t route = 0; ///< shortHash() of the route's name
    std::uint32_t ageMilliseconds = 0;

    auto operator<=>(const RunningAttempt &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, service, target, route, ageMilliseconds);
    }
};

/// What one scheduler tells the others of one target.
struct TargetLoad {
    std::uint32_t target = 0; ///< shortHash() of its name
    std::uint8_t running = 0;
    std::uint8_t failingPercent = 0;

    auto operator<=>(const TargetLoad &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, running, failingPercent);
    }
};

/// Asks the zone's scheduler for a target. Times are what is left when it is sent.
struct PlaceRequest {
    std::uint64_t id = 0; ///< unique for one incarnation of the sender
    ServiceName service;
    TeamName team;
    std::uint32_t route = 0; ///< shortHash() of the route's name
    std::uint32_t priority = 0;
    bool idempotent = false;
    bool repeat = false; ///< an earlier attempt of the request was sent
    std::uint32_t objectiveMilliseconds = 0;
    std::uint32_t deadlineMilliseconds = 0;
    std::vector<TargetName> tried;

    auto operator<=>(const PlaceRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, service, team, route, priority, idempotent, repeat, objectiveMilliseconds, deadlineMilliseconds, tried);
    }
};

/// How a scheduler answered a PlaceRequest.
enum class PlaceStatus : std::uint8_t
{
    Placed,
    OverQuota,
    NoCapacity,
    Queued, ///< another reply follows
};

/// A scheduler's decision on one request.
struct PlaceReply {
    std::uint64_t id = 0; ///< of the request
    PlaceStatus status = PlaceStatus::NoCapacity;
    TargetName target;
    Endpoint endpoint;
    std::uint32_t hedgeAfterMilliseconds = 0;
    std::uint32_t retryAfterMilliseconds = 0;

    auto operator<=>(const PlaceReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, status, target, endpoint, hedgeAfterMilliseconds, retryAfterMilliseconds);
    }
};

/// How an attempt ended, as the scheduler needs to know it.
enum class AttemptEnd : std::uint8_t
{
    Good,
    Failed, ///< server error, cut or malformed answer
    TimedOut,
    NotExecuted, ///< the target refused it for load
    WrongTarget, ///< another target has the address
    Unreachable, ///< no connection; nothing was sent
    Abandoned, ///< the caller left, or another attempt was faster
};

/// Tells the scheduler that an attempt has ended.
struct AttemptReport {
    std::uint64_t id = 0;
    AttemptEnd end = AttemptEnd::Abandoned;
    std::uint32_t takenMilliseconds = 0;

    auto operator<=>(const AttemptReport &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, end, takenMilliseconds);
    }
};

/// The caller of a waiting request left.
struct PlacementCancellation {
    std::uint64_t id = 0;

    auto operator<=>(const PlacementCancellation &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id);
    }
};

/// Tokens of one team that a daemon gave out by itself since its start.
struct TokensTaken {
    std::uint32_t team = 0; ///< shortHash() of its name
    std::uint32_t taken = 0;

    auto operator<=>(const TokensTaken &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, taken);
    }
};

/// Heartbeat of a daemon to the scheduler that it asks.
struct MemberHeartbeat {
    static constexpr std::size_t MaxTokenCounts = 30; ///< what a datagram holds beside the attempts

    std::uint64_t sentAt = 0; ///< sender's clock, nanoseconds; comes back in the beacon
    bool complete = true; ///< all running attempts are named
    std::vector<RunningAttempt> running;
    std::vector<TokensTaken> taken; ///< where it placed requests by itself a moment ago

    auto operator<=>(const MemberHeartbeat &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sentAt, complete, running, taken);
    }
};

/// Proof that no document newer than `version` existed `ageMilliseconds` before the message was written.
struct DocumentProof {
    bool known = false;
    std::uint64_t version = 0;
    std::uint32_t ageMilliseconds = 0;
    std::uint32_t bytes = 0; ///< of the document's text

    auto operator<=>(const DocumentProof &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known, version, ageMilliseconds, bytes);
    }
};

/// State of the sender's list of targets; `revision` counts its changes in this run of the sender.
struct ListProof {
    bool known = false;
    std::uint64_t revision = 0;
    std::uint32_t ageMilliseconds = 0; ///< since the read that confirmed it was sent

    auto operator<=>(const ListProof &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known, revision, ageMilliseconds);
    }
};

/// A scheduler's answer to a heartbeat, sent again at once when something has changed.
struct HubBeacon {
    std::uint64_t heartbeatSentAt = 0; ///< of the member's last heartbeat
    std::uint32_t heldMilliseconds = 0; ///< since that heartbeat came
    DocumentProof document;
    ListProof list;
    std::uint32_t registry = 0; ///< hash over the registered daemons
    bool leaving = false; ///< ask another one

    auto operator<=>(const HubBeacon &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(heartbeatSentAt, heldMilliseconds, document, list, registry, leaving);
    }
};

/// Requests of one team a second, as one scheduler sees them.
struct TeamDemand {
    static constexpr std::uint32_t UnknownLeft = 0xffff; ///< the sender has just begun

    std::uint32_t team = 0; ///< shortHash() of its name
    std::uint32_t perMinute = 0;
    std::uint32_t taken = 0; ///< tokens since the sender's start
    std::uint32_t left = UnknownLeft; ///< tokens that the sender believes the whole pool to have

    auto operator<=>(const TeamDemand &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, perMinute, taken, left);
    }
};

/// What schedulers tell each other regularly.
struct HubDigest {
    static constexpr std::size_t MaxTeams = 75; ///< what a datagram holds beside the other fields

    std::uint64_t sentAt = 0; ///< sender's clock, nanoseconds
    std::uint64_t echo = 0; ///< `sentAt` of the receiver's last digest
    std::uint32_t echoHeldMilliseconds = 0; ///< since that digest came
    DocumentProof document;
    ListProof list;
    std::uint32_t registry = 0; ///< hash over the registered daemons
    bool readsStore = false; ///< it has read the platform's service itself a moment ago
    std::uint32_t members = 0; ///< daemons that ask the sender, itself included
    ZoneName zone;
    std::vector<TeamDemand> teams;

    auto operator<=>(const HubDigest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sentAt, echo, echoHeldMilliseconds, document, list, registry, readsStore, members, zone, teams);
    }
};

/// What a scheduler has running and believes of targets; goes with its digest, in as many pieces as it takes.
struct HubLoads {
    static constexpr std::size_t MaxLoads = 150; ///< what a datagram holds

    ZoneName zone;
    std::vector<TargetLoad> loads;

    auto operator<=>(const HubLoads &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(zone, loads);
    }
};

using Message = std::variant<Heartbeat, HeartbeatAck, GrantRequest, Grant, TokenReturn, HandOver, HealthDigest, Verdict, DocumentRequest, DocumentReply,
                             RosterRequest, RosterReply, TargetsRequest, TargetsReply, PlaceRequest, PlaceReply, AttemptReport, PlacementCancellation,
                             MemberHeartbeat, HubBeacon, HubDigest, HubLoads, ListRequest, ListReply>;

/// A message with its sender, as it crosses the network under a MAC.
struct Envelope {
    MemberId sender;
    Endpoint replyTo; ///< peer port of the sender
    std::uint64_t epoch = 0; ///< fencing token: highest epoch the sender has adopted
    Message message;

    auto operator<=>(const Envelope &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sender, replyTo, epoch, message);
    }
};
}
