#pragma once

#include <plumsill/clock.h>
#include <plumsill/config.h>
#include <plumsill/detector.h>
#include <plumsill/document.h>
#include <plumsill/messages.h>
#include <plumsill/types.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Health of targets: evidence, ejection under a floor, and what the traffic threads may use.
namespace plumsill
{
/// How a daemon uses a target.
enum class TargetUse
{
    Active,
    SlowStart, ///< new or returned: its weight rises
    Trial, ///< ejected, gets a few trial requests
    Ejected,
    Avoided, ///< this daemon can't reach it
    Leaving,
};

std::string toString(TargetUse use);

/// A target with its share of new requests, 0 to 1.
struct TargetView {
    Target target;
    TargetUse use = TargetUse::Active;
    double weight = 1;

    auto operator<=>(const TargetView &) const = default;
};

/// What the traffic threads know of one service.
struct ServiceView {
    ServiceName service;
    unsigned slots = 0;
    Duration slowAfter = Duration::zero(); ///< slow limit; none while zero
    std::vector<TargetView> targets;

    auto operator<=>(const ServiceView &) const = default;
};

/// Targets that may be out of use at once, by the floor over @p listed targets.
std::size_t maxTargetsOutOfUse(double floor, std::size_t listed);

struct TargetEjected {
    ServiceName service;
    UnhealthyTarget unhealthyTarget;

    auto operator<=>(const TargetEjected &) const = default;
};

/// Trials went well, or the floor needs the target.
struct TargetReturned {
    ServiceName service;
    TargetName target;
    bool forFloor = false;

    auto operator<=>(const TargetReturned &) const = default;
};

using HealthEvent = std::variant<TargetEjected, TargetReturned>;

/// Detection and the life of ejections for one service, with the floor.
class EjectionPlan
{
public:
    /// @p permitLifetime: how long an ejection may outlive its withdrawal; zero where it ends at once.
    EjectionPlan(const Service &service, Duration permitLifetime);

    void setService(const Service &service);
    /// Listed targets; @p leaving names those that take no new work.
    void setTargets(const std::vector<TargetName> &targets, const std::set<TargetName> &leaving, TimePoint now);
    void add(const EvidenceSource &source, const TargetEvidence &evidence, TimePoint now);
    /// Goes on with an ejection that somebody else decided.
    void takeOver(const EjectionPermit &permit, TimePoint now);
    std::vector<HealthEvent> update(TimePoint now);
    /// Ejected targets, the worst first.
    std::vector<EjectionPermit> permits() const;
    /// The present permits go out to a daemon at @p now.
    void recordSent(TimePoint now);

    Duration slowAfter() const { return m_detector.slowAfter(); }
    std::size_t allowed() const { return maxTargetsOutOfUse(m_service.floor, m_targets.size()); }
    /// Targets out of use somewhere, each counted once.
    std::set<TargetName> outOfUse(TimePoint now) const;

private:
    enum class Phase
    {
        InUse,
        Ejected,
        Trial,
    };

    struct Record {
        Phase phase = Phase::InUse;
        double severity = 0;
        double ejections = 0; ///< recent ones, fades
        TimePoint phaseEnds;
        TimePoint lastEjectionEnd; ///< end of the last ejection
        TimePoint permitExpiresAt; ///< a daemon may act on a sent permit until then
        TimePoint slowStartEnd; ///< end of slow start
    };

    void eject(const TargetName &target, Record &record, double severity, TimePoint now);
    void endPhases(TimePoint now, std::vector<HealthEvent> &events);
    void enforceFloor(TimePoint now, std::vector<HealthEvent> &events);
    void ejectUnhealthy(TimePoint now, std::vector<HealthEvent> &events);
    void returnToUse(const TargetName &target, Record &record);
    /// Leaving, cold or unreachable ones.
    std::set<TargetName> unavailableTargets(TimePoint now) const;

    Service m_service;
    Duration m_permitLifetime;
    Detector m_detector;
    std::set<TargetName> m_targets;
    std::set<TargetName> m_leaving;
    std::map<TargetName, Record> m_records;
};

struct SendVerdict {
    MemberId to;
    Verdict verdict;

    auto operator<=>(const SendVerdict &) const = default;
};

using OwnerEffect = std::variant<SendVerdict, HealthEvent>;

/// Judges the targets of the services that this daemon owns; alone permits ejections.
class HealthOwner
{
public:
    /// The document's services; a service that is gone is forgotten.
    void setServices(const std::vector<Service> &services);
    /// Listed targets of @p service, with those that any daemon saw leaving marked so.
    void setTargets(const ServiceName &service, const std::vector<Target> &targets, TimePoint now);
    /// @p mayAct: this daemon is the acting owner of the service at @p now. Otherwise nothing changes and nothing is said.
    std::vector<OwnerEffect> handleDigest(const EvidenceSource &sender, const HealthDigest &digest, bool mayAct, TimePoint now);
    /// Present permits, for the status page.
    std::vector<EjectionPermit> permits(const ServiceName &service) const;

private:
    struct ServiceRecord {
        Service service;
        std::vector<Target> targets;
        std::optional<EjectionPlan> plan; ///< made by the first digest
        TimePoint lastDigest;
        std::map<MemberId, std::pair<std::uint64_t, TimePoint>> lastSequence;
    };

    static void ensurePlan(ServiceRecord &record, TimePoint now);
    static void updatePlanTargets(ServiceRecord &record, TimePoint now);
    static bool acceptDigest(ServiceRecord &record, const EvidenceSource &sender, const HealthDigest &digest, TimePoint now);

    std::map<ServiceName, ServiceRecord> m_services;
};

struct SendDigest {
    HealthDigest digest; ///< goes to the owner of digest.service

    auto operator<=>(const SendDigest &) const = default;
};

using LocalHealthEffect = std::variant<SendDigest, HealthEvent>;

/// One daemon's part: digests, verdicts, avoidance of what it can't reach, leaving targets.
class LocalHealth
{
public:
    explicit LocalHealth(const EvidenceSource &self);

    void setServices(const std::vector<Service> &services);
    /// Listed targets of @p service, as the platform shows them.
    void setTargets(const ServiceName &service, const std::vector<Target> &targets, TimePoint now);
    /// Evidence that the traffic threads gathered.
    void record(const ServiceName &service, const std::vector<TargetEvidence> &evidence, TimePoint now);
    /// Call every 100 ms or so; says which digests to send now.
    std::vector<LocalHealthEffect> tick(TimePoint now);
    /// @p epoch is that of the verdict's envelope. False: refused as outdated.
    bool handleVerdict(std::uint64_t epoch, const Verdict &verdict, TimePoint now);
    /// Highest epoch that this daemon has adopted; verdicts of older ones are refused.
    void recordEpoch(std::uint64_t epoch);

    /// A drain header, a refusal or a peer's pulse told that the target is leaving.
    void recordLeaving(const LeavingTarget &target, TimePoint now);
    /// What the next pulse tells of leaving targets; takes turns where they are many.
    std::vector<LeavingTarget> leavingTargetsForHeartbeat(TimePoint now);
    /// Listed targets of @p service with those seen leaving marked so, for HealthOwner.
    std::vector<Target> targets(const ServiceName &service) const;

    /// For the snapshot of the traffic threads; changes with time alone too (lapsed permits, slow start).
    ServiceView view(const ServiceName &service, TimePoint now) const;
    /// True while an owner's verdict is in force.
    bool verdictInForce(const ServiceName &service, TimePoint now) const;

private:
    /// What this daemon alone knows of a target.
    struct LocalRecord {
        unsigned unanswered = 0; ///< requests and connections without an answer since the last one
        TimePoint unansweredSince;
        unsigned avoidances = 0;
        TimePoint avoidUntil;
        std::optional<TimePoint> slowStartAt; ///< begin of slow start
        bool returnedFromEjection = false; ///< the slow start follows an ejection
        bool wasEjected = false; ///< at the last look
    };

    struct ServiceRecord {
        Service service;
        std::vector<Target> targets;
        bool hasTargetList = false;
        std::map<TargetName, TargetEvidence> pending;
        std::map<TargetName, LocalRecord> localRecords;
        std::uint64_t sequence = 0;
        TimePoint lastDigest;
        TimePoint nextDigest;
        std::optional<TimePoint> lastEvidenceAt; ///< last evidence
        std::map<std::uint64_t, TimePoint> sentAt; ///< by sequence, of digests not yet answered
        std::uint64_t verdictEpoch = 0;
        Verdict verdict;
        TimePoint verdictExpiresAt;
        bool hasVerdict = false;
        std::optional<EjectionPlan> plan; ///< this daemon's own judgement, in force without an owner

        bool verdictInForce(TimePoint now) const { return hasVerdict && now < verdictExpiresAt; }
    };

    bool isLeaving(const Target &target) const;
    void updatePlanTargets(ServiceRecord &record, TimePoint now) const;
    static std::vector<EjectionPermit> ejections(const ServiceRecord &record, TimePoint now);
    static Duration slowAfter(const ServiceRecord &record, TimePoint now);
    static void recordTransitions(ServiceRecord &record, TimePoint now);
    static void makeDigest(ServiceRecord &record, TimePoint now, std::vector<LocalHealthEffect> &effects);
    static void updateAvoidance(LocalRecord &local, const TargetEvidence &evidence, TimePoint now);

    EvidenceSource m_self;
    std::uint64_t m_epoch = 0;
    std::map<ServiceName, ServiceRecord> m_services;
    std::map<LeavingTarget, TimePoint> m_leaving; ///< to the first observation
    std::size_t m_leavingTargetOffset = 0;
    std::map<LeavingTarget, TimePoint> m_delisted; ///< leaving targets that the list no longer shows
};
}
