#pragma once

#include <plumsill/clock.h>
#include <plumsill/document.h>
#include <plumsill/failure_estimate.h>
#include <plumsill/fairqueue.h>
#include <plumsill/messages.h>
#include <plumsill/quota.h>
#include <plumsill/repeats.h>
#include <plumsill/roster.h>
#include <plumsill/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

/// Who waits, who is refused, and where work goes, for the daemons of one zone.
namespace plumsill
{
/// One attempt of a request, named by the daemon that carries it.
struct PlacementKey {
    MemberId member;
    std::uint64_t id = 0; ///< unique for the member's incarnation

    auto operator<=>(const PlacementKey &) const = default;
};

/// A request that needs a target.
struct PlacementRequest {
    PlacementKey key;
    ServiceName service;
    TeamName team; ///< empty on routes open to all
    std::uint32_t route = 0; ///< shortHash() of the route's name; answers of one route take alike long
    unsigned priority = 0; ///< 0 is the highest
    bool idempotent = false;
    bool repeat = false; ///< an earlier attempt of the same request was sent
    TimePoint objective; ///< an answer until then is of full use
    TimePoint deadline;
    std::vector<TargetName> tried;
};

/// Send it there now.
struct Placed {
    TargetName target;
    Endpoint endpoint;
    Duration hedgeAfter {}; ///< age at which few good answers are still to come

    auto operator<=>(const Placed &) const = default;
};

/// The team has used up its rate.
struct OverQuota {
    Duration retryAfter {}; ///< until a token is due

    auto operator<=>(const OverQuota &) const = default;
};

/// No target can take it in time.
struct NoCapacity {
    Duration retryAfter {}; ///< until room is expected

    auto operator<=>(const NoCapacity &) const = default;
};

/// It waits; a Placed or NoRoom follows.
struct Queued {
    auto operator<=>(const Queued &) const = default;
};

using Placement = std::variant<Placed, OverQuota, NoCapacity, Queued>;

/// A decision on a request that had waited.
struct LatePlacement {
    PlacementKey key;
    Placement placement;
};

/// Places the requests of the daemons that ask it: slots, beliefs on targets, quotas, priorities, repeats.
class Scheduler
{
public:
    /// @p repeats: bound for the whole fleet; this scheduler's part follows setFleetShare().
    Scheduler(ZoneName zone, const RepeatBound &repeats);

    void setDocument(const Document &document, TimePoint now);
    void setTargets(const std::vector<Target> &targets, TimePoint now);
    /// Tokens of a team as this scheduler sees them; null: there is no such team.
    TeamBucket *bucket(const TeamName &team);
    /// Changes the bound on repeats of the whole fleet.
    void setRepeatBound(const RepeatBound &repeats);
    /// Share of the fleet's daemons that ask this scheduler.
    void setFleetShare(double share);
    /// What another scheduler has running and believes.
    void setRemoteLoads(const ZoneName &from, const std::vector<TargetLoad> &loads, TimePoint now);

    Placement ask(const PlacementRequest &ask, TimePoint now);
    void finished(const PlacementKey &key, AttemptEnd end, Duration latency, TimePoint now);
    /// The caller of a waiting request left.
    void withdraw(const PlacementKey &key);
    /// All that the member has running; what it doesn't name has ended unheard.
    void reconcile(const MemberId &member, const std::vector<RunningAttempt> &running, TimePoint now);
    /// The member no longer reports here: its running requests are not counted any more.
    void forget(const MemberId &member);
    /// Decisions on waiting requests that are due now.
    std::vector<LatePlacement> serve(TimePoint now);
    bool idle() const { return m_waiting.empty(); }

    const std::vector<TeamName> &teams() const { return m_teams; }
    /// Requests a second of the team, refused ones included.
    double demand(const TeamName &team, TimePoint now) const;
    std::vector<TargetLoad> loads(TimePoint now) const;

private:
    struct RemoteLoad {
        TargetLoad load;
        TimePoint at;
    };

    struct TargetState {
        Target target;
        unsigned running = 0;
        FailureEstimate belief;
        TimePoint lastEvidenceAt; ///< last end of an attempt
        double waiting = 1; ///< odds that its running requests' ages speak for a failure, as of the last look
        TimePoint coldUntil;
        TimePoint fullUntil; ///< it refused work for load
        TimePoint lastPlaced;
        std::map<ZoneName, RemoteLoad> remote;
        std::map<InstanceName, TimePoint> answeredTo; ///< daemon to the last good answer: it may hold a connection
        std::map<InstanceName, TimePoint> unreachableFrom; ///< daemon to the end of its avoidance
        bool wrong = false; ///< another target answered at its address
    };
    using TargetStatePtr = std::shared_ptr<TargetState>;

    struct Attempt {
        ServiceName service;
        TargetStatePtr target;
        std::uint32_t route = 0;
        TimePoint startedAt;
        bool overdue = false; ///< its age has been counted against the target
    };

    struct ServiceState {
        explicit ServiceState(const RepeatBound &bound)
            : repeats(bound)
        { }
        std::vector<TargetStatePtr> targets;
        std::map<std::uint32_t, LatencyModel> latency; ///< by route
        std::map<unsigned, FairQueue> queues; ///< by priority
        RepeatCounter repeats;
        unsigned slots = 1;
        unsigned running = 0;
    };

    struct Waiting {
        PlacementRequest ask;
        std::uint64_t queueId = 0;
    };

    struct TeamState {
        TeamBucket bucket;
        DemandRate demand;
    };

    ServiceState &service(const ServiceName &name);
    LatencyModel &latency(ServiceState &service, std::uint32_t route, Duration expected);
    std::optional<Placed> place(ServiceState &service, const PlacementRequest &ask, bool acceptRisk, TimePoint now);
    double cost(ServiceState &service, const TargetState &state, const PlacementRequest &ask, TimePoint now);
    static unsigned slotsOf(const ServiceState &service, const TargetState &state);
    bool hasCapacity(const ServiceState &service, const TargetState &state, TimePoint now) const;
    double failing(const TargetState &state, TimePoint now) const;
    double failingHere(const TargetState &state, TimePoint now) const;
    void countOverdue(TimePoint now);
    void updateBaselineFailureShare(TimePoint now);
    void endAttempt(const Attempt &attempt);
    std::optional<Placement> admit(const PlacementRequest &ask, TimePoint now);
    Placement enqueue(ServiceState &service, const PlacementRequest &ask, TimePoint now);
    Duration expectedCapacityDelay(const ServiceState &service, Duration wait) const;
    void refund(const PlacementRequest &ask);
    void serveService(ServiceState &service, std::vector<LatePlacement> &decided, TimePoint now);
    void serveExpired(ServiceState &service, FairQueue &queue, std::vector<LatePlacement> &decided, TimePoint now);
    Waiting takeWaiting(std::uint64_t queueId);
    RepeatBound repeatBound() const;

    ZoneName m_zone;
    RepeatBound m_repeats;
    double m_fleetShare = 0;
    std::map<ServiceName, ServiceState> m_services;
    std::map<TargetName, TargetStatePtr> m_targets;
    std::map<std::uint32_t, TargetStatePtr> m_byHash;
    std::map<TeamName, TeamState> m_teamStates;
    std::vector<TeamName> m_teams;
    std::map<PlacementKey, Attempt> m_running;
    std::map<PlacementKey, Waiting> m_waiting;
    std::unordered_map<std::uint64_t, PlacementKey> m_keyOf; ///< of a queued request
    std::vector<LatePlacement> m_displaced; ///< decided while another request was queued
    std::uint64_t m_nextQueueId = 1;
    TimePoint m_overdueAt;
    TimePoint m_baselineUpdatedAt;
    double m_baselineFailureShare = BaselineFailureShare; ///< share of the targets in use that fail at any time, as seen lately
};
}
