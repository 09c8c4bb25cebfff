#pragma once

#include <plumsill/admission_counts.h>
#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/document.h>
#include <plumsill/failure_estimate.h>
#include <plumsill/helpers.h>
#include <plumsill/kept_connections.h>
#include <plumsill/messages.h>
#include <plumsill/priority_queues.h>
#include <plumsill/quota.h>
#include <plumsill/repeat_budget.h>
#include <plumsill/roster.h>
#include <plumsill/target_limit.h>
#include <plumsill/target_subset.h>
#include <plumsill/token_reserve.h>
#include <plumsill/types.h>
#include <plumsill/work_model.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

/// Placement of requests for the daemons of one zone: admission, queueing and the choice of targets.
namespace plumsill
{
/// Identifies one attempt of a request. The id is assigned by the daemon that forwards the request.
struct PlacementKey {
    MemberId member;
    std::uint64_t id = 0; ///< unique within the member's incarnation

    auto operator<=>(const PlacementKey &) const = default;
};

/// A request that needs a target.
struct PlacementRequest {
    PlacementKey key;
    ServiceName service;
    TeamName team; ///< empty on routes open to all
    std::uint32_t route = 0; ///< shortHash() of the route's name; answers of one route have similar latencies
    unsigned priority = 0; ///< 0 is the highest
    bool idempotent = false;
    bool repeat = false; ///< whether an earlier attempt of the same request was sent
    bool admitted = false; ///< whether an earlier attempt was placed, which took the team's token
    bool relayed = false; ///< whether the daemon does not reach the service's targets itself
    TimePoint objective; ///< latest time at which an answer meets the latency objective
    TimePoint deadline;
    std::vector<TargetName> tried; ///< targets of earlier attempts
};

/// The request is to be sent to this target now.
struct Placed {
    TargetName target;
    Endpoint endpoint;
    Duration hedgeAfter {}; ///< age of the attempt after which a hedge may be sent, as most good answers have arrived by then
    std::optional<Helper> helper {}; ///< daemon that opens the connection; none where the asking one does

    auto operator<=>(const Placed &) const = default;
};

/// The team has used up its rate.
struct OverQuota {
    Duration retryAfter {}; ///< time until a token is available

    auto operator<=>(const OverQuota &) const = default;
};

/// No target can run the request in time.
struct NoCapacity {
    Duration retryAfter {}; ///< time until a free slot is expected
    CapacityReason reason = CapacityReason::NoFreeTarget;

    auto operator<=>(const NoCapacity &) const = default;
};

/// The request waits. Scheduler::serve() returns a Placed or NoCapacity for it later.
struct Queued {
    auto operator<=>(const Queued &) const = default;
};

/// The document doesn't name the request's team, so the team's limit is unknown.
struct UnknownTeam {
    auto operator<=>(const UnknownTeam &) const = default;
};

using Placement = std::variant<Placed, OverQuota, NoCapacity, Queued, UnknownTeam>;

/// Decision on a request that was queued.
struct DelayedPlacement {
    PlacementKey key;
    Placement placement;
};

/// Places the requests of its members: tracks the slots and failure probabilities of targets, and enforces team rates,
/// priorities and the bound on repeats.
class Scheduler
{
public:
    /// @p repeats: bound for the complete fleet; setFleetShare() sets the share of its constant part that this scheduler may use.
    Scheduler(ZoneName zone, const RepeatBound &repeats);

    /// Applies the teams and services of the document.
    void setDocument(const Document &document, TimePoint now);
    /// Replaces the targets. A target keeps its state unless it was restarted.
    void setTargets(const std::vector<Target> &targets, TimePoint now);
    /// Token bucket of a team as this scheduler sees it; null if there is no such team.
    TeamBucket *bucket(const TeamName &team);
    /// Changes the bound on repeats of the complete fleet.
    void setRepeatBound(const RepeatBound &repeats);
    /// Sets the share of the fleet's daemons that use this scheduler. The constant part (slack) of the bound on
    /// repeats is multiplied by this share.
    void setFleetShare(double share);
    /// Records the running requests and failure probabilities that the scheduler of zone @p from reports.
    void setRemoteLoads(const ZoneName &from, const std::vector<TargetLoad> &loads, TimePoint now);

    /// Decides on a request. A repeated call for the same key returns the same decision.
    Placement submit(const PlacementRequest &request, TimePoint now);
    /// Records the end of an attempt, which frees its slot. @p latency: time from placement to the end.
    void finishAttempt(const PlacementKey &key, AttemptEnd end, Duration latency, TimePoint now);
    /// Records what an answer of the target says of its rate limit. Returns true if that changes the limit.
    bool recordLimit(const TargetName &target, const LimitStatement &limit, TimePoint now);
    /// Records that the target has said that it is leaving. It gets no further request in this run. Returns true if that is new.
    bool recordLeaving(const TargetName &target);
    /// Whether the target has said so.
    bool saidLeaving(const TargetName &target) const;
    /// Records that the target wants no request from the daemon until @p until.
    void recordRest(const TargetName &target, const InstanceName &daemon, TimePoint until);
    /// Time that is left of it; zero if the target takes requests of the daemon.
    Duration restLeft(const TargetName &target, const InstanceName &daemon, TimePoint now) const;
    /// Daemon from which the target gets a running attempt: the helper, or else the member that asked.
    InstanceName senderOf(const PlacementKey &key) const;
    /// Daemons that can open connections for those that don't reach the targets.
    HelperPool &helpers() { return m_helpers; }
    /// Target of a running attempt; null if the attempt is not known.
    const Target *targetOf(const PlacementKey &key) const;
    /// Limit of the target with that hash of its name; null if there is no such target.
    TargetLimit *limit(std::uint32_t target);
    /// Sets the part of each target's limit that this scheduler may use.
    void setLimitPart(const QuotaPart &part, TimePoint now);
    /// Limits of targets to report to other daemons.
    std::vector<NamedLimit> limits(TimePoint now) const;
    /// Records whether the daemon reaches the targets. While it doesn't, the ends of its attempts are no evidence about them; what
    /// it gave shortly before is taken back.
    void recordReach(const InstanceName &daemon, bool reaches, TimePoint now);
    /// Records the services whose targets the daemon does not reach, which may be down. What it says of other services counts.
    void recordServicesOutOfReach(const InstanceName &daemon, std::set<ServiceName> services, TimePoint now);
    /// Removes a queued request whose caller cancelled it.
    void cancelPlacement(const PlacementKey &key);
    /// Compares the attempts counted here with those that the member reports as running. Attempts that are only in the report
    /// are added. Attempts missing from it have ended without a message, so their slots are freed.
    void reconcile(const MemberId &member, const std::vector<RunningAttempt> &running, TimePoint now);
    /// Removes the running attempts of a member that no longer reports to this scheduler.
    void removeMember(const MemberId &member);
    /// Returns the decisions on queued requests that are due now.
    std::vector<DelayedPlacement> serve(TimePoint now);
    /// Whether no request is queued.
    bool idle() const { return m_waiting.empty(); }

    const AdmissionCounts &admissionCounts() const { return m_counts; }
    const std::vector<TeamName> &teams() const { return m_teams; }
    /// Request rate of the team per second, including refused requests.
    double demand(const TeamName &team, TimePoint now) const;
    /// Subsets of targets and placements by service.
    std::map<ServiceName, SubsetReport> subsetReports() const;
    /// Running requests and failure probabilities of the targets, to report to the schedulers of other zones.
    std::vector<TargetLoad> loads(TimePoint now) const;

    /// Budgets of repeats, by service.
    std::map<ServiceName, RepeatBudget *> repeatBudgets();

private:
    struct RemoteLoad {
        TargetLoad load;
        TimePoint at;
    };

    struct TargetState {
        Target target;
        std::uint32_t id = 0; ///< shortHash() of the target's name
        unsigned running = 0; ///< attempts placed by this scheduler
        FailureEstimate failureEstimate;
        TimePoint lastEvidenceAt; ///< last end of an attempt at the target
        double waitingOddsRatio = 1; ///< how much more likely the ages of its running requests are if it fails than if it is healthy; as of the last check
        TimePoint coldUntil; ///< end of its cold start
        TimePoint refusedUntil; ///< end of the backoff after it refused a request because of load
        TimePoint lastPlaced;
        TargetLimit limit;
        std::map<ZoneName, RemoteLoad> remote; ///< reports of the schedulers, by their zone
        KeptConnections kept;
        std::map<InstanceName, TimePoint> unreachableFrom; ///< time until which a daemon is given other targets, because it could not connect to this one
        std::map<InstanceName, TimePoint> restsFrom; ///< time until which the target wants no request from a daemon
        TimePoint unlistedUntil; ///< avoided until then, because a daemon with a newer list doesn't list it
        bool saidLeaving = false; ///< whether an answer of the target said that it is leaving
        bool wrongAddress = false; ///< whether a different target answered at its address
    };
    using TargetStatePtr = std::shared_ptr<TargetState>;

    struct Attempt {
        ServiceName service;
        TargetStatePtr target;
        std::uint32_t route = 0;
        TimePoint startedAt;
        bool overdue = false; ///< whether its age was already recorded as evidence against the target
        std::optional<Helper> helper;
    };

    /// State of a target whose entry is missing from the list. Entries may be missing for a moment while the target runs.
    struct UnlistedTarget {
        TargetStatePtr state;
        TimePoint since;
    };

    /// Evidence against a target, as one daemon gave it.
    struct GivenEvidence {
        TargetStatePtr target;
        double oddsRatio = 1;
        TimePoint at;
    };

    /// What is known of the paths of one daemon.
    struct SenderState {
        bool reaches = true; ///< false: the daemon itself says that it is cut off
        std::set<ServiceName> outOfReach; ///< services that it says it does not reach
        std::vector<GivenEvidence> given;
        std::map<ServiceName, std::map<TargetName, TimePoint>> failedConnects; ///< by target, since the daemon's last good answer of the service
    };

    struct ServiceState {
        explicit ServiceState(const RepeatBound &bound)
            : repeats(bound)
        { }
        std::vector<TargetStatePtr> targets;
        std::map<std::uint32_t, LatencyModel> latency; ///< by route
        WorkModel work;
        PriorityQueues queues {config::MaxQueuedRequests};
        RepeatBudget repeats;
        TargetSubsets subsets;
        unsigned slots = 1; ///< slots of each target that announces no number
        unsigned running = 0;
        TimePoint shortageLoggedAt;
    };

    /// The daemon that asks, which keeps the connection, also one through a helper.
    struct AskingDaemon {
        std::uint32_t id = 0; ///< shortHash() of its name
        const TargetSubset *subset = nullptr; ///< null if it is to use all targets
    };

    struct QueuedPlacement {
        PlacementRequest request;
        std::uint64_t queueId = 0;
    };

    struct TeamState {
        TeamBucket bucket;
        DemandRate demand;
        TokenReserve tokens;
    };

    ServiceState &service(const ServiceName &name);
    LatencyModel &latency(ServiceState &service, std::uint32_t route, Duration expected);
    /// Targets among which the service's subsets are formed: those of this zone, or all where it has none.
    std::vector<std::uint32_t> subsetCandidates(const ServiceState &service) const;
    std::optional<Placed> place(ServiceState &service, const PlacementRequest &request, bool allowRisky, TimePoint now);
    double cost(const ServiceState &service, const TargetState &state, const AskingDaemon &daemon, const PlacementRequest &request, TimePoint now) const;
    /// State of this run of the target, listed before or not; null if there is none.
    TargetStatePtr knownState(const Target &target) const;
    TargetStatePtr knownState(const TargetName &target) const;
    std::map<InstanceName, TimePoint> takeEarlyRests(const TargetName &target);
    /// Keeps the states of targets that are not among @p listed for UnlistedStateLifetime.
    void keepUnlisted(const std::map<TargetName, TargetStatePtr> &listed, TimePoint now);
    /// Time until which the target is to get no request from the daemon; in the past if it may get one.
    static TimePoint restsUntil(const TargetState &state, const InstanceName &daemon);
    /// Whether the target may get requests in principle.
    static bool inUse(const TargetState &state) { return !state.target.leaving && !state.saidLeaving && !state.wrongAddress; }
    /// Whether the daemon is still to be given other targets.
    static bool avoided(const std::map<InstanceName, TimePoint> &until, const InstanceName &daemon, TimePoint now);
    double otherZoneCost(const PlacementRequest &request) const;
    static unsigned slotsOf(const ServiceState &service, const TargetState &state);
    bool hasCapacity(const ServiceState &service, const TargetState &state, TimePoint now) const;
    double failureProbability(const TargetState &state, TimePoint now) const;
    double localFailureProbability(const TargetState &state, TimePoint now) const;
    void updateOverdue(TimePoint now);
    void updateBaselineFailureShare(TimePoint now);
    void endAttempt(const Attempt &attempt);
    /// Whether failures of the daemon's attempts say more about the daemon than about the targets of the service.
    bool doubted(const InstanceName &daemon, const ServiceName &service) const;
    void recordEvidence(const InstanceName &daemon, const TargetStatePtr &target, double oddsRatio, TimePoint now);
    /// Takes back what the daemon gave shortly before about the targets of one service, or of all where @p service is null.
    static void retractEvidence(SenderState &sender, const ServiceName *service, TimePoint now);
    void recordUnreachable(const InstanceName &daemon, const TargetStatePtr &target, TimePoint now);
    static InstanceName senderOf(const PlacementKey &key, const Attempt &attempt);
    Placement decide(const PlacementRequest &request, TimePoint now);
    void count(unsigned priority, const Placement &placement);
    std::optional<Placement> admit(const PlacementRequest &request, TimePoint now);
    Placement enqueue(ServiceState &service, const PlacementRequest &request, TimePoint now);
    /// Time until a target of the service takes a request of the daemon, and what keeps all of them from it until then; zero
    /// where one takes it now, or where there is none.
    struct Closure {
        Duration left {};
        CapacityReason reason = CapacityReason::TooLate;
    };
    static Closure closureOfAll(const ServiceState &service, const InstanceName &daemon, TimePoint now);
    Duration expectedCapacityDelay(const ServiceState &service, Duration wait) const;
    void returnToken(const PlacementRequest &request);
    /// Returns the token of a request that is refused because the service has no room, unless its team is above its rate.
    void returnTokenWithinRate(const PlacementRequest &request, TimePoint now);
    void serveService(ServiceState &service, std::vector<DelayedPlacement> &decided, TimePoint now);
    void placeExpired(ServiceState &service, unsigned priority, std::vector<DelayedPlacement> &decided, TimePoint now);
    /// Work per second that the running requests of the service complete, by their number and mean time; 0 while that is unknown.
    static double assumedRate(const ServiceState &service);
    /// Whether a healthy target has a free slot that is not reserved for requests of a higher priority.
    bool anyFreeTarget(const ServiceState &service, unsigned priority, TimePoint now) const;
    /// Whether all free slots are reserved for requests of a higher priority.
    bool reservedForUrgent(const ServiceState &service, unsigned priority, TimePoint now) const;
    QueuedPlacement takeQueued(std::uint64_t queueId);
    RepeatBound repeatBound() const;
    /// Whether a further attempt of a request that was sent before is within the bound on repeats; counts it if so.
    bool mayRepeat(const PlacementRequest &request, TimePoint now);
    /// Tells a hedge from a retry.
    RepeatKind repeatKind(const PlacementRequest &request, TimePoint now);

    ZoneName m_zone;
    RepeatBound m_repeats;
    double m_fleetShare = 0;
    QuotaPart m_limitPart;
    std::set<std::uint32_t> m_largeRoutes; ///< routes of large answers, by shortHash() of their names
    std::map<ServiceName, ServiceState> m_services;
    std::map<TargetName, TargetStatePtr> m_targets;
    std::map<TargetName, UnlistedTarget> m_unlisted;
    std::map<TargetName, std::map<InstanceName, TimePoint>> m_earlyRests; ///< rests that targets asked for before they were listed here
    std::map<TargetName, Target> m_saidLeaving; ///< runs of targets that said they are leaving, also after they are no longer listed
    std::map<std::uint32_t, TargetStatePtr> m_byHash;
    std::map<InstanceName, SenderState> m_senders;
    HelperPool m_helpers;
    std::map<TeamName, TeamState> m_teamStates;
    std::vector<TeamName> m_teams;
    std::map<PlacementKey, Attempt> m_running;
    std::map<PlacementKey, QueuedPlacement> m_waiting;
    std::unordered_map<std::uint64_t, PlacementKey> m_keyByQueueId; ///< key of each queued request
    std::vector<DelayedPlacement> m_displaced; ///< decisions on requests that a new request displaced from a queue
    std::uint64_t m_nextQueueId = 1;
    AdmissionCounts m_counts;
    TimePoint m_overdueCheckedAt;
    TimePoint m_baselineUpdatedAt;
    double m_baselineFailureShare = BaselineFailureShare; ///< share of the targets in use that currently fail, averaged over about ten seconds
};
}
