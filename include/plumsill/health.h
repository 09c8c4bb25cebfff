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

/// Health of targets: evidence, ejection within the floor, and the targets that the traffic threads may use.
namespace plumsill
{
/// How a daemon uses a target.
enum class TargetUse
{
    Active,
    SlowStart, ///< new or returned to use; its weight increases gradually
    Trial, ///< ejected, but gets a small share of requests, which show whether it has recovered
    Ejected,
    Avoided, ///< out of use at this daemon only, because the target doesn't answer it
    Leaving,
};

std::string toString(TargetUse use);

/// A target with its use and its weight in the distribution of new requests, 0 to 1.
struct TargetView {
    Target target;
    TargetUse use = TargetUse::Active;
    double weight = 1;

    auto operator<=>(const TargetView &) const = default;
};

/// Snapshot of one service for the traffic threads.
struct ServiceView {
    ServiceName service;
    unsigned slots = 0;
    Duration slowAfter = Duration::zero(); ///< latency above which a request is slow; zero: unknown
    std::vector<TargetView> targets;

    auto operator<=>(const ServiceView &) const = default;
};

/// Number of targets that may be out of use at once with a floor of @p floor (0 to 1) over @p listed targets.
std::size_t maxTargetsOutOfUse(double floor, std::size_t listed);

struct TargetEjected {
    ServiceName service;
    UnhealthyTarget unhealthyTarget;

    auto operator<=>(const TargetEjected &) const = default;
};

/// An ejected target returned to use, either after its trial or because too many targets would be out of use (floor).
struct TargetReturned {
    ServiceName service;
    TargetName target;
    bool forFloor = false; ///< returned because too many targets would be out of use

    auto operator<=>(const TargetReturned &) const = default;
};

using HealthEvent = std::variant<TargetEjected, TargetReturned>;

/// Decides which targets of one service are ejected, put on trial and returned to use. Respects the floor (minimum share of
/// targets in use).
class EjectionPlan
{
public:
    /// A permit allows a daemon to keep a target ejected. @p permitLifetime is the time for which a daemon may act on a sent
    /// permit, even if the ejection has ended before. It is zero for a daemon's own plan, whose permits are never sent.
    EjectionPlan(const Service &service, Duration permitLifetime);

    void setService(const Service &service);
    /// Sets the listed targets; those in @p leaving take no new work.
    void setTargets(const std::vector<TargetName> &targets, const std::set<TargetName> &leaving, TimePoint now);
    void add(const EvidenceSource &source, const TargetEvidence &evidence, TimePoint now);
    /// Ejects a target that was ejected by the owner's last verdict, which has expired, if the floor allows it.
    void takeOver(const EjectionPermit &permit, TimePoint now);
    /// Ends and starts ejections and trials; returns the ejected and the returned targets.
    std::vector<HealthEvent> update(TimePoint now);
    /// Permits for the ejected targets, the worst target first.
    std::vector<EjectionPermit> permits() const;
    /// Records that the current permits are sent to a daemon at @p now.
    void recordSent(TimePoint now);

    Duration slowAfter() const { return m_detector.slowAfter(); }
    std::size_t allowed() const { return maxTargetsOutOfUse(m_service.floor, m_targets.size()); }
    /// Targets that at least one daemon may keep out of use: leaving, cold, unreachable and ejected targets, targets for
    /// which a sent permit has not expired, and targets in slow start after a trial.
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
        double ejections = 0; ///< recent ejections; decreases over time
        TimePoint phaseEndsAt;
        TimePoint lastEjectionEnd;
        TimePoint permitExpiresAt; ///< time until which a daemon may act on a sent permit
        TimePoint slowStartEnd;
    };

    void eject(const TargetName &target, Record &record, double severity, TimePoint now);
    void endPhases(TimePoint now, std::vector<HealthEvent> &events);
    void enforceFloor(TimePoint now, std::vector<HealthEvent> &events);
    void ejectUnhealthy(TimePoint now, std::vector<HealthEvent> &events);
    void returnToUse(const TargetName &target, Record &record);
    /// Targets that are leaving, cold or unreachable.
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

/// Evaluates the targets of the services that this daemon owns. The owner of a service receives digests of the evidence of
/// all daemons and answers each with a verdict, the list of the ejections that it permits. A daemon without a verdict in
/// force decides by itself, see LocalHealth.
class HealthOwner
{
public:
    /// Sets the services of the document; the state of a removed service is discarded.
    void setServices(const std::vector<Service> &services);
    /// Sets the listed targets of @p service; targets that any daemon observed leaving are marked as leaving.
    void setTargets(const ServiceName &service, const std::vector<Target> &targets, TimePoint now);
    /// Adds the evidence of a digest and answers it with a verdict. If @p mayAct is false, this daemon may not act as the
    /// owner of the service at @p now: the digest is ignored and has no effects.
    std::vector<OwnerEffect> handleDigest(const EvidenceSource &sender, const HealthDigest &digest, bool mayAct, TimePoint now);
    /// Current permits, for the status page.
    std::vector<EjectionPermit> permits(const ServiceName &service) const;

private:
    struct ServiceRecord {
        Service service;
        std::vector<Target> targets;
        std::optional<EjectionPlan> plan; ///< created by the first digest
        TimePoint lastDigest;
        std::map<MemberId, std::pair<std::uint64_t, TimePoint>> lastSequence;
    };

    static void ensurePlan(ServiceRecord &record, TimePoint now);
    static void updatePlanTargets(ServiceRecord &record, TimePoint now);
    static bool acceptDigest(ServiceRecord &record, const EvidenceSource &sender, const HealthDigest &digest, TimePoint now);

    std::map<ServiceName, ServiceRecord> m_services;
};

struct SendDigest {
    HealthDigest digest; ///< to be sent to the owner of digest.service

    auto operator<=>(const SendDigest &) const = default;
};

using LocalHealthEffect = std::variant<SendDigest, HealthEvent>;

/// Health state of one daemon: the digests that it sends, the verdicts that it receives from owners, its own decisions
/// while no verdict is in force, avoided targets and leaving targets.
class LocalHealth
{
public:
    explicit LocalHealth(const EvidenceSource &self);

    void setServices(const std::vector<Service> &services);
    /// Sets the targets of @p service in the platform's listing.
    void setTargets(const ServiceName &service, const std::vector<Target> &targets, TimePoint now);
    /// Adds evidence that the traffic threads gathered.
    void record(const ServiceName &service, const std::vector<TargetEvidence> &evidence, TimePoint now);
    /// To be called about every 100 ms; returns the digests to send now and the events of this daemon's own decisions.
    std::vector<LocalHealthEffect> tick(TimePoint now);
    /// Applies an owner's verdict. @p epoch is the epoch in the envelope of the message that contained it. Returns false if
    /// the verdict is outdated, answers no open digest of this daemon or names an unknown service.
    bool handleVerdict(std::uint64_t epoch, const Verdict &verdict, TimePoint now);
    /// Records an epoch that this daemon adopted; verdicts of older epochs are refused.
    void recordEpoch(std::uint64_t epoch);

    /// Records that a drain header, a refusal or a peer's heartbeat reported the target as leaving.
    void recordLeaving(const LeavingTarget &target, TimePoint now);
    /// Returns the leaving targets to report in the next heartbeat, at most config::MaxLeavingTargetsPerHeartbeat. If there
    /// are more of them, successive calls return different targets in turn.
    std::vector<LeavingTarget> leavingTargetsForHeartbeat(TimePoint now);
    /// Listed targets of @p service, for HealthOwner; targets that were observed leaving are marked as leaving.
    std::vector<Target> targets(const ServiceName &service) const;

    /// View of @p service for the snapshot of the traffic threads. The view changes over time even without new input, as
    /// permits expire and slow starts progress.
    ServiceView view(const ServiceName &service, TimePoint now) const;
    /// Whether an owner's verdict on @p service is in force.
    bool verdictInForce(const ServiceName &service, TimePoint now) const;

private:
    /// State of a target as observed by this daemon only.
    struct LocalRecord {
        unsigned unanswered = 0; ///< unanswered requests and connections since the last answer
        TimePoint unansweredSince;
        unsigned avoidances = 0;
        TimePoint avoidUntil;
        std::optional<TimePoint> slowStartAt; ///< start of slow start
        bool returnedFromEjection = false; ///< the slow start follows an ejection
        bool wasEjected = false; ///< whether the target was ejected at the last call of recordTransitions()
    };

    struct ServiceRecord {
        Service service;
        std::vector<Target> targets;
        bool hasTargetList = false;
        std::map<TargetName, TargetEvidence> pending;
        std::map<TargetName, LocalRecord> localRecords;
        TimePoint lastDigest;
        TimePoint nextDigest;
        std::optional<TimePoint> lastEvidenceAt;
        std::map<std::uint64_t, TimePoint> sentAt; ///< sending times of unanswered digests, by sequence
        std::uint64_t verdictEpoch = 0;
        Verdict verdict;
        TimePoint verdictExpiresAt;
        bool hasVerdict = false;
        std::optional<EjectionPlan> plan; ///< this daemon's own decisions, in force while there is no verdict

        bool verdictInForce(TimePoint now) const { return hasVerdict && now < verdictExpiresAt; }
    };

    bool isLeaving(const Target &target) const;
    void updatePlanTargets(ServiceRecord &record, TimePoint now) const;
    static std::vector<EjectionPermit> ejections(const ServiceRecord &record, TimePoint now);
    static Duration slowAfter(const ServiceRecord &record, TimePoint now);
    static void recordTransitions(ServiceRecord &record, TimePoint now);
    void makeDigest(ServiceRecord &record, TimePoint now, std::vector<LocalHealthEffect> &effects);
    static void updateAvoidance(LocalRecord &local, const TargetEvidence &evidence, TimePoint now);

    EvidenceSource m_self;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence; ///< of the last digest
    std::map<ServiceName, ServiceRecord> m_services;
    std::map<LeavingTarget, TimePoint> m_leaving; ///< leaving targets, with the time at which each was first observed leaving
    std::size_t m_leavingTargetOffset = 0;
    std::map<LeavingTarget, TimePoint> m_delisted; ///< leaving targets that are no longer listed, with the time of removal
};
}
