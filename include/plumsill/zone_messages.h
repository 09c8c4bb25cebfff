#pragma once

#include <plumsill/helpers.h>
#include <plumsill/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Messages between the hub of a zone and its members, and among hubs.
namespace plumsill
{
/// An attempt that is running at a daemon. Members report their attempts to a new hub, which thus knows the targets in use.
struct RunningAttempt {
    std::uint64_t id = 0;
    ServiceName service;
    TargetName target;
    std::uint32_t route = 0; ///< shortHash() of the route name
    std::uint32_t ageMilliseconds = 0;

    auto operator<=>(const RunningAttempt &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, service, target, route, ageMilliseconds);
    }
};

/// Load and state of one target as one hub reports it to the others.
struct TargetLoad {
    std::uint32_t target = 0; ///< shortHash() of the target name
    std::uint8_t running = 0; ///< running attempts
    std::uint8_t failingPercent = 0; ///< failure probability in percent

    auto operator<=>(const TargetLoad &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, running, failingPercent);
    }
};

/// Requests a target from the zone's hub. The objective and the deadline are given as the time that remains when the message
/// is sent.
struct PlaceRequest {
    std::uint64_t id = 0; ///< unique within one incarnation of the sender
    ServiceName service;
    TeamName team;
    std::uint32_t route = 0; ///< shortHash() of the route name
    std::uint32_t priority = 0;
    bool idempotent = false;
    bool repeat = false; ///< an earlier attempt of the request has been sent
    bool admitted = false; ///< an earlier attempt of the request was placed, which took the team's token
    bool relayed = false; ///< the sender does not reach the service's targets itself
    std::uint32_t objectiveMilliseconds = 0;
    std::uint32_t deadlineMilliseconds = 0;
    std::vector<TargetName> tried;

    auto operator<=>(const PlaceRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, service, team, route, priority, idempotent, repeat, admitted, relayed, objectiveMilliseconds, deadlineMilliseconds, tried);
    }
};

/// Result of a PlaceRequest.
enum class PlaceStatus : std::uint8_t
{
    Placed,
    OverQuota,
    NoCapacity,
    Queued, ///< the request waits at the hub; another reply follows
    NotReady, ///< the hub has no document or no list of targets yet; another daemon must place the request
    UnknownTeam, ///< the hub's document doesn't name the team
};

/// Why a request gets no target.
enum class CapacityReason : std::uint8_t
{
    NoFreeTarget, ///< each usable target is full, or was tried already
    RepeatBound, ///< the service's bound on repeats is used up
    Resting, ///< all targets want no request from the daemon at present
    QueueFull, ///< too many requests wait
    TooLate, ///< a target that is free in time is not expected, or the wait for one took too long
    Quarantined, ///< copies of the request crashed targets
    Unreachable, ///< no connection can be opened to any target
};

const char *toString(CapacityReason reason);

/// A hub's decision on one request.
struct PlaceReply {
    std::uint64_t id = 0; ///< id of the request
    PlaceStatus status = PlaceStatus::NoCapacity;
    TargetName target;
    Endpoint endpoint;
    std::uint32_t hedgeAfterMilliseconds = 0;
    std::uint32_t retryAfterMilliseconds = 0;
    CapacityReason reason = CapacityReason::NoFreeTarget; ///< of status NoCapacity
    InstanceName helper {}; ///< daemon that opens the connection to the target; empty where the asking one does
    Endpoint helperPeer {};

    auto operator<=>(const PlaceReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, status, target, endpoint, hedgeAfterMilliseconds, retryAfterMilliseconds, reason, helper, helperPeer);
    }
};

/// Result of an attempt, as reported to the hub.
enum class AttemptEnd : std::uint8_t
{
    Good,
    Failed, ///< server error, truncated or malformed answer
    TimedOut,
    NotExecuted, ///< the target refused the request because of load
    WrongTarget, ///< another target uses the address
    Unreachable, ///< no connection could be opened, so nothing was sent
    HelperUnavailable, ///< the helper refused the tunnel or did not answer, so nothing was sent
    Abandoned, ///< the caller left, or another attempt was faster
    Unlisted, ///< the sender's list of targets is newer and lacks the target, so nothing was sent
};

/// What a target's answer says of its rate limit.
struct LimitStatement {
    bool stated = false; ///< the attempt got an answer that shows whether the target has a limit
    bool limited = false;
    double perSecond = 0; ///< requests that the target accepts from the complete fleet

    auto operator<=>(const LimitStatement &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stated, limited, perSecond);
    }
};

/// Reports to the hub that an attempt has ended.
struct AttemptReport {
    std::uint64_t id = 0;
    AttemptEnd end = AttemptEnd::Abandoned;
    std::uint32_t durationMilliseconds = 0;
    LimitStatement limit = {};
    bool leaving = false; ///< the target said that it is leaving
    std::uint32_t restMilliseconds = 0; ///< time for which the target wants no request from the sender

    auto operator<=>(const AttemptReport &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, end, durationMilliseconds, limit, leaving, restMilliseconds);
    }
};

/// Cancels a waiting request whose caller has left.
struct PlacementCancellation {
    std::uint64_t id = 0;

    auto operator<=>(const PlacementCancellation &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id);
    }
};

/// Number of tokens of one team that a daemon has granted by itself, without its hub, since its start.
struct TokensTaken {
    std::uint32_t team = 0; ///< shortHash() of the team name
    std::uint32_t taken = 0;

    auto operator<=>(const TokensTaken &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, taken);
    }
};

/// Heartbeat of a daemon to the hub that it uses.
struct MemberHeartbeat {
    static constexpr std::size_t MaxTokenCounts = 30; ///< number of entries that fit into a datagram beside the attempts

    std::uint64_t sentAt = 0; ///< by the sender's clock, in nanoseconds; the beacon returns it
    bool complete = true; ///< true: `running` contains all attempts that run at the sender
    std::vector<RunningAttempt> running;
    std::vector<TokensTaken> taken; ///< tokens of teams whose requests the sender recently placed by itself, without its hub
    bool reaches = true; ///< false: the sender reaches no targets at all; see ServicesOutOfReach for single services

    auto operator<=>(const MemberHeartbeat &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sentAt, complete, running, taken, reaches);
    }
};

/// Proof that no document newer than `version` existed `ageMilliseconds` before the message was written.
struct DocumentProof {
    static constexpr std::uint32_t UnknownEraAge = 0xffffffff; ///< the fleet has started for the first time in that era

    bool known = false;
    std::uint64_t version = 0;
    std::uint32_t ageMilliseconds = 0;
    std::uint32_t bytes = 0; ///< size of the document's text
    StoreEra era = 0; ///< highest era of the store that the sender knows
    std::uint32_t eraAgeMilliseconds = UnknownEraAge; ///< time since the store was first seen in that era, rounded down

    auto operator<=>(const DocumentProof &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known, version, ageMilliseconds, bytes, era, eraAgeMilliseconds);
    }
};

/// Tells a hub of the document that the sender holds. It is no proof: the sender may not have read it from the store itself.
struct MemberDocument {
    std::uint64_t version = 0;
    StoreEra era = 0; ///< highest era of the store that the sender knows
    std::uint32_t eraAgeMilliseconds = DocumentProof::UnknownEraAge; ///< as in DocumentProof

    auto operator<=>(const MemberDocument &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, era, eraAgeMilliseconds);
    }
};

/// State of the sender's list of targets. `revision` counts its changes within the sender's incarnation.
struct ListProof {
    bool known = false;
    std::uint64_t revision = 0;
    std::uint32_t ageMilliseconds = 0; ///< time since the start of the read that confirmed the list
    std::uint32_t graceMilliseconds = 0; ///< for so long the sender still keeps targets that an outage of the store may have made expire

    auto operator<=>(const ListProof &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known, revision, ageMilliseconds, graceMilliseconds);
    }
};

/// A hub's answer to a heartbeat. The hub sends it again immediately when something has changed.
struct HubBeacon {
    std::uint64_t heartbeatSentAt = 0; ///< `sentAt` of the member's last heartbeat
    std::uint32_t heldMilliseconds = 0; ///< time since that heartbeat was received
    DocumentProof document;
    ListProof list;
    std::uint32_t registry = 0; ///< hash of the registered daemons
    bool leaving = false; ///< the hub is draining; the member must choose another one

    auto operator<=>(const HubBeacon &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(heartbeatSentAt, heldMilliseconds, document, list, registry, leaving);
    }
};

/// Demand of one team, as one hub observes it.
struct TeamDemand {
    static constexpr std::uint32_t UnknownTokens = 0xffff; ///< the sender has just started and has no estimate yet

    std::uint32_t team = 0; ///< shortHash() of the team name
    std::uint32_t perMinute = 0; ///< requests per minute
    std::uint32_t taken = 0; ///< tokens taken since the sender's start
    std::uint32_t remainingTokens = UnknownTokens; ///< tokens in the team's complete pool, as the sender estimates it

    auto operator<=>(const TeamDemand &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, perMinute, taken, remainingTokens);
    }
};

/// Digest that hubs send each other periodically.
struct HubDigest {
    static constexpr std::size_t MaxTeams = 75; ///< number of entries that fit into a datagram beside the other fields

    std::uint64_t sentAt = 0; ///< by the sender's clock, in nanoseconds
    std::uint64_t echo = 0; ///< `sentAt` of the receiver's last digest
    std::uint32_t echoHeldMilliseconds = 0; ///< time since that digest was received
    DocumentProof document;
    ListProof list;
    std::uint32_t registry = 0; ///< hash of the registered daemons
    bool readsStore = false; ///< the sender has recently read the platform's service itself
    std::uint32_t members = 0; ///< number of daemons that use the sender as hub, including itself
    ZoneName zone;
    std::vector<TeamDemand> teams;

    auto operator<=>(const HubDigest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sentAt, echo, echoHeldMilliseconds, document, list, registry, readsStore, members, zone, teams);
    }
};

/// Running attempts and failure estimates of a hub for each target. Sent with the digest, in several messages if necessary.
struct HubLoads {
    static constexpr std::size_t MaxLoads = 150; ///< number of entries that fit into a datagram

    ZoneName zone;
    std::vector<TargetLoad> loads;

    auto operator<=>(const HubLoads &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(zone, loads);
    }
};

/// Limit that a target has named, or ended, as the sender knows it.
struct NamedLimit {
    std::uint32_t target = 0; ///< shortHash() of the target name
    bool limited = false;
    double perSecond = 0; ///< requests that the target accepts from the complete fleet
    std::uint32_t ageMilliseconds = 0; ///< time since the answer that said so, rounded up
    std::uint32_t taken = 0; ///< requests to the target that the sender placed under a limit; wraps around

    auto operator<=>(const NamedLimit &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, limited, perSecond, ageMilliseconds, taken);
    }
};

/// Limits of targets, sent with a heartbeat to the hub and with a digest to the other hubs.
struct TargetLimits {
    static constexpr std::size_t MaxLimits = 50; ///< number of entries that fit into a datagram

    bool fromHub = false; ///< sent with a digest
    std::vector<NamedLimit> limits;

    auto operator<=>(const TargetLimits &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(fromHub, limits);
    }
};

/// Daemons of the sender's zone that reach no targets at all. Sent with the digest while there are any, and once after.
struct DaemonsWithoutReach {
    static constexpr std::size_t MaxDaemons = 200; ///< number of entries that fit into a datagram

    ZoneName zone;
    std::vector<std::uint32_t> daemons; ///< shortHash() of their names

    auto operator<=>(const DaemonsWithoutReach &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(zone, daemons);
    }
};

/// Daemons that do not reach the targets of one service, which may be down.
struct ServiceOutOfReach {
    std::uint32_t service = 0; ///< shortHash() of the service name
    std::vector<std::uint32_t> daemons; ///< shortHash() of their names

    auto operator<=>(const ServiceOutOfReach &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(service, daemons);
    }
};

/// Services that the sender, or a member of the sending hub, does not reach. Sent with heartbeats and digests while there are any, and
/// once after.
struct ServicesOutOfReach {
    static constexpr std::size_t MaxDaemons = 180; ///< number of entries of all services that fit into a datagram

    std::vector<ServiceOutOfReach> services;

    auto operator<=>(const ServicesOutOfReach &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(services);
    }
};

/// Asks a daemon for a tunnel to a target. Sent over TCP; after the reply the connection carries the bytes of the target's.
struct TunnelRequest {
    TargetName target;
    Endpoint endpoint;

    auto operator<=>(const TunnelRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, endpoint);
    }
};

enum class TunnelStatus : std::uint8_t
{
    Open,
    Unavailable, ///< the daemon does not reach targets, is stopping, or has too many tunnels
    Unreachable, ///< the target can't be connected to, or wants no request from the daemon
};

struct TunnelReply {
    TunnelStatus status = TunnelStatus::Unavailable;

    auto operator<=>(const TunnelReply &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(status);
    }
};

/// Tells the helper what a target said of itself through its tunnel.
struct TunnelNotice {
    TargetName target;
    LimitStatement limit;
    bool leaving = false;
    std::uint32_t restMilliseconds = 0;

    auto operator<=>(const TunnelNotice &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, limit, leaving, restMilliseconds);
    }
};

/// What a target said to the sender of itself, for the daemons that use the sender's tunnels.
struct HelperNotice {
    TargetName target;
    bool leaving = false;
    std::uint32_t restMilliseconds = 0; ///< time for which the target wants no request from the sender

    auto operator<=>(const HelperNotice &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, leaving, restMilliseconds);
    }
};

/// Requests the document of a hub in compressed form. Sent over TCP.
struct PackedDocumentRequest {
    std::uint64_t heldVersion = 0;

    auto operator<=>(const PackedDocumentRequest &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(heldVersion);
    }
};

/// The complete text of a document, compressed. Sent over TCP.
struct PackedDocument {
    std::uint64_t version = 0;
    std::uint64_t textBytes = 0; ///< size of the text
    std::string packed; ///< result of compress()

    auto operator<=>(const PackedDocument &) const = default;
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, textBytes, packed);
    }
};
}
