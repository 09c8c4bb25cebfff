#pragma once

#include <plumsill/clock.h>
#include <plumsill/quarantine_messages.h>
#include <plumsill/roster.h>
#include <plumsill/types.h>
#include <plumsill/zone_messages.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between daemons. A datagram carries one message; messages that exceed a datagram are sent over TCP.
namespace plumsill
{
/// A target that takes no new work at this endpoint. The entry does not apply to the same target at another endpoint.
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

/// Heartbeat that each daemon sends to every member once per second. It also acknowledges the receiver's last heartbeat.
struct Heartbeat {
    std::uint64_t sequence = 0;
    std::uint64_t acknowledges = 0; ///< sequence of the receiver's last heartbeat, 0 for none
    bool ackRequested = false; ///< requests a HeartbeatAck instead of the acknowledgement in the next heartbeat
    MemberState state = MemberState::Starting;
    ZoneName zone; ///< zone of the sender; empty when the roster lists the sender
    Endpoint admin; ///< admin port of the sender; empty when the roster lists the sender
    DocumentStamp document; ///< newest document of the sender; the digest is omitted while nothing has changed
    bool documentKnown = false; ///< the sender knows that `document` is at least as new as any that was accepted in an earlier epoch
    std::uint64_t unresponsiveMembers = 0; ///< bit i: member i of the epoch's roster does not answer the sender
    std::vector<LeavingTarget> leavingTargets; ///< targets that started to drain in the last seconds

    auto operator<=>(const Heartbeat &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, acknowledges, ackRequested, state, zone, admin, document, documentKnown, unresponsiveMembers, leavingTargets);
    }
};

/// Acknowledgement of a heartbeat. Its envelope carries the highest epoch of the sender.
struct HeartbeatAck {
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Starting;
    DocumentStamp document;
    bool documentKnown = false; ///< as in Heartbeat
    std::uint64_t unresponsiveMembers = 0; ///< as in Heartbeat

    auto operator<=>(const HeartbeatAck &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, state, document, documentKnown, unresponsiveMembers);
    }
};

/// Reports the end of one grant: `unspent` tokens were not used, and the others were spent. The last token was spent at
/// least `ageMilliseconds` before the report was sent.
struct GrantReport {
    std::uint64_t id = 0; ///< id of the grant
    std::uint32_t unspent = 0;
    std::uint32_t ageMilliseconds = 0;

    auto operator<=>(const GrantReport &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, unspent, ageMilliseconds);
    }
};

/// Requests tokens from the owner of one part of a team's bucket.
struct GrantRequest {
    std::uint64_t id = 0; ///< unique within one incarnation of the sender
    TeamName team;
    std::uint32_t part = 0;
    std::uint32_t waiting = 0; ///< number of requests that wait for a token
    std::uint32_t prefetchTokens = 0; ///< tokens requested in advance, for future requests
    std::uint32_t maxWaitMilliseconds = 0; ///< longest delay of tokens that the sender accepts; later tokens are useless to it
    std::vector<GrantReport> finished; ///< ended grants of the same part

    auto operator<=>(const GrantRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, team, part, waiting, prefetchTokens, maxWaitMilliseconds, finished);
    }
};

/// Result of a grant request.
enum class GrantStatus : std::uint8_t
{
    Granted,
    OverRate, ///< the limit is exceeded; retry after `retryAfterMilliseconds`
    NotActing, ///< the daemon that received the request does not act as the part's owner now
};

/// Tokens that may be spent from `delayMilliseconds` after receipt until grantLifetime() after the request was sent.
struct Grant {
    std::uint64_t id = 0; ///< id of the request
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

/// Reports ended grants without requesting tokens. The owner charges the spent tokens and returns the unspent ones to the
/// bucket.
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

/// Hands one part over to its next owner on a planned stop.
struct HandOver {
    MemberId successor; ///< next owner; other incarnations of it must refuse the message
    TeamName team;
    std::uint32_t part = 0;
    double balance = 0; ///< tokens that can be granted
    double outstanding = 0; ///< granted tokens that holders have not reported as spent or unspent; they expire within GrantLifetime

    auto operator<=>(const HandOver &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(successor, team, part, balance, outstanding);
    }
};

/// Outcomes of requests to one target that one daemon observed since its last digest.
struct TargetEvidence {
    TargetName target;
    std::uint16_t good = 0; ///< complete answers
    std::uint16_t fast = 0; ///< complete answers within the slow limit, the latency above which a request counts as slow
    std::uint16_t slow = 0; ///< requests that exceeded the slow limit, answered or not
    std::uint16_t errors = 0;
    std::uint16_t timeouts = 0;
    std::uint16_t truncated = 0;
    std::uint16_t shed = 0; ///< refusals because of load; they do not indicate an unhealthy target
    std::uint16_t unreachable = 0; ///< failed connection attempts
    float logLatencySum = 0; ///< sum of ln(seconds) over complete answers

    auto operator<=>(const TargetEvidence &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, good, fast, slow, errors, timeouts, truncated, shed, unreachable, logLatencySum);
    }
};

/// Evidence of one daemon about the targets of one service. It is sent to the owner of the service's verdict, which is the
/// daemon that decides which of these targets may be ejected.
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

/// Permission for the daemons to eject one target.
struct EjectionPermit {
    TargetName target;
    std::uint32_t trialPerMille = 0; ///< while ejected, the target receives this share of its typical requests as trials, in thousandths

    auto operator<=>(const EjectionPermit &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, trialPerMille);
    }
};

/// Verdict on one service: all of its targets that the daemons may eject. It expires EjectionPermitLifetime after the
/// answered digest was sent.
struct Verdict {
    std::uint64_t sequence = 0; ///< sequence of the answered digest
    ServiceName service;
    std::vector<EjectionPermit> ejected; ///< in order of severity, worst first
    std::uint32_t slowAfterMicroseconds = 0; ///< latency above which a request to the service counts as slow; 0 if unset

    auto operator<=>(const Verdict &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, service, ejected, slowAfterMicroseconds);
    }
};

/// Requests the document that a peer announced in its heartbeat. Sent over TCP.
struct DocumentRequest {
    DocumentStamp known;

    auto operator<=>(const DocumentRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known);
    }
};

/// The complete text of a document. Sent over TCP.
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

/// Requests the roster of a peer's epoch. Sent over TCP.
struct RosterRequest {
    std::uint64_t knownEpoch = 0;

    auto operator<=>(const RosterRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(knownEpoch);
    }
};

/// Copy of the sender's roster. Sent over TCP.
struct RosterReply {
    Roster roster;

    auto operator<=>(const RosterReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(roster);
    }
};

/// Requests the targets of the platform's listing from a peer, because the sender cannot read the listing itself. Sent over
/// TCP.
struct TargetsRequest {
    auto operator<=>(const TargetsRequest &) const = default;
    template<class Archive>
    void serialize(Archive &)
    { }
};

/// The targets as the sender last read them from the platform. Sent over TCP.
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

/// Requests a daemon's list of targets, or the changes since a known revision. Sent over TCP.
struct ListRequest {
    std::uint64_t incarnation = 0; ///< incarnation of the daemon whose list the sender holds, 0 for none
    std::uint64_t revision = 0; ///< revision of the list that the sender holds

    auto operator<=>(const ListRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, revision);
    }
};

/// The sender's list of targets, complete or as changes to the requested revision. Sent over TCP.
struct ListReply {
    std::uint64_t incarnation = 0; ///< incarnation of the sender
    std::uint64_t revision = 0;
    std::uint32_t ageMilliseconds = 0; ///< time since the start of the read that confirmed the list
    std::uint32_t graceMilliseconds = 0; ///< for so long the sender still keeps targets that an outage of the store may have made expire
    std::uint64_t era = 0; ///< highest era of the store of which the sender has a list; 0: unknown
    bool full = true; ///< false: `targets` and `removed` are changes
    std::vector<Target> targets; ///< all targets, or the added and changed ones
    std::vector<TargetName> removed; ///< removed targets; empty in a full list

    auto operator<=>(const ListReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, revision, ageMilliseconds, graceMilliseconds, era, full, targets, removed);
    }
};

using Message
    = std::variant<Heartbeat, HeartbeatAck, GrantRequest, Grant, TokenReturn, HandOver, HealthDigest, Verdict, DocumentRequest, DocumentReply, RosterRequest,
                   RosterReply, TargetsRequest, TargetsReply, PlaceRequest, PlaceReply, AttemptReport, PlacementCancellation, MemberHeartbeat, HubBeacon,
                   HubDigest, HubLoads, ListRequest, ListReply, PackedDocumentRequest, PackedDocument, TargetLimits, DaemonsWithoutReach, TunnelRequest,
                   TunnelReply, TunnelNotice, SuspectRequests, TrialRequest, TrialReply, HelperNotice, ServicesOutOfReach, MemberDocument>;

/// A message with its sender, as it is signed and sent over the network.
struct Envelope {
    MemberId sender;
    Endpoint replyTo; ///< peer endpoint of the sender
    std::uint64_t epoch = 0; ///< fencing token: highest epoch that the sender knows
    Message message;

    auto operator<=>(const Envelope &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sender, replyTo, epoch, message);
    }
};
}
