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
/// A version of the environment's document and the SHA-256 of its text.
struct DocumentStamp {
    std::uint64_t version = 0;
    std::string digest;

    auto operator<=>(const DocumentStamp &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, digest);
    }
};

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

/// Heartbeat that each daemon sends to every member once a second.
struct Pulse {
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Starting;
    DocumentStamp document;
    std::vector<LeavingTarget> leavingTargets; ///< targets seen to leave in the last seconds

    auto operator<=>(const Pulse &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, state, document, leavingTargets);
    }
};

/// Answer to a pulse; the epoch it is stamped with is the sender's highest.
struct PulseAck {
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Starting;
    DocumentStamp document;

    auto operator<=>(const PulseAck &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, state, document);
    }
};

/// Asks the owner of one part of a team's bucket for tokens.
struct GrantRequest {
    std::uint64_t id = 0; ///< unique for one incarnation of the sender
    TeamName team;
    std::uint32_t part = 0;
    std::uint32_t wanted = 0;
    std::uint32_t spent = 0; ///< tokens of the grants in `finished` that were spent
    std::vector<std::uint64_t> finished; ///< grants that are wholly spent or given back

    auto operator<=>(const GrantRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, team, part, wanted, spent, finished);
    }
};

/// Tokens that expire GrantLifetime after their request was sent. None: refused, come back later.
struct Grant {
    std::uint64_t id = 0; ///< of the request
    TeamName team;
    std::uint32_t part = 0;
    std::uint32_t tokens = 0;
    std::uint32_t retryAfterMilliseconds = 0;

    auto operator<=>(const Grant &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, team, part, tokens, retryAfterMilliseconds);
    }
};

/// Ends a grant early: what was spent of it counts, the rest goes back to the bucket.
struct GiveBack {
    std::uint64_t id = 0; ///< of the grant
    TeamName team;
    std::uint32_t part = 0;
    std::uint32_t unspent = 0;

    auto operator<=>(const GiveBack &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, team, part, unspent);
    }
};

/// Balance of one part that its owner gives up on a planned stop.
struct HandOver {
    TeamName team;
    std::uint32_t part = 0;
    double balance = 0; ///< tokens

    auto operator<=>(const HandOver &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, part, balance);
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

using Message = std::variant<Pulse, PulseAck, GrantRequest, Grant, GiveBack, HandOver, HealthDigest, Verdict, DocumentRequest, DocumentReply>;

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
