#pragma once

#include <plumsill/clock.h>
#include <plumsill/document.h>
#include <plumsill/messages.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumsill
{
/// Daemon that gathered evidence, with its zone.
struct EvidenceSource {
    MemberId member;
    ZoneName zone;

    auto operator<=>(const EvidenceSource &) const = default;
};

/// How a request to a target ended.
enum class AnswerKind
{
    Good,
    Error,
    Timeout,
    Truncated,
    Shed,
    Unreachable,
};

/// Adds one ended request; @p countedSlow says that countOverdue() was called for it. No slow limit: zero.
void countAnswer(TargetEvidence &evidence, AnswerKind kind, Duration latency, Duration slowAfter, bool countedSlow);
/// Adds a request that still waits and has just passed the slow limit.
void countOverdue(TargetEvidence &evidence);
/// Adds up the evidence of two threads on the same target.
void addEvidence(TargetEvidence &sum, const TargetEvidence &part);

/// Thresholds of one detection profile.
struct DetectorThresholds {
    double baselineShare = 0; ///< least share of bad requests that is taken as usual
    double errorShare = 0; ///< share of failed requests of an ill target
    double slowShare = 0; ///< share of slow requests of an ill target
    double slowFactor = 0; ///< slow limit as a multiple of the usual latency
    double alarm = 0; ///< log-likelihood ratio at which a target counts as ill
    double recovered = 0; ///< log-likelihood ratio, sign changed, at which a target on trial counts as well
    Duration errorTime = Duration::zero(); ///< shortest time in which failures lead to the alarm
    Duration slowTime = Duration::zero(); ///< the same for slowness

    auto operator<=>(const DetectorThresholds &) const = default;
};

DetectorThresholds thresholdsOf(const HealthPolicy &policy);

/// Why a target counts as ill.
enum class UnhealthyCause
{
    Errors,
    Slowness,
    Unreachable,
};

std::string toString(UnhealthyCause cause);

/// A target that the test finds ill; a higher score is worse.
struct UnhealthyTarget {
    TargetName target;
    UnhealthyCause cause = UnhealthyCause::Errors;
    double score = 0;

    auto operator<=>(const UnhealthyTarget &) const = default;
};

/// Result of the trial requests of an ejected target.
enum class TrialResult
{
    Open,
    Recovered,
    StillUnhealthy,
};

/// Sequential test on the pooled evidence on the targets of one service, each against its peers.
class Detector
{
public:
    explicit Detector(const HealthPolicy &policy);

    void setPolicy(const HealthPolicy &policy);
    /// Targets to judge; those that a later call adds count as cold at first.
    void setTargets(const std::vector<TargetName> &targets, TimePoint now);
    void add(const EvidenceSource &source, const TargetEvidence &evidence, TimePoint now);
    /// Forgets the evidence on @p target, before trials and after its return.
    void restart(const TargetName &target);

    /// Ill targets, the worst first. None while the whole service is slow or failing.
    std::vector<UnhealthyTarget> unhealthy() const;
    TrialResult trialResult(const TargetName &target) const;
    /// Badness for ordering only: higher is worse.
    double score(const TargetName &target) const;
    bool cold(const TargetName &target, TimePoint now) const;
    /// Connections fail from several zones, or from several daemons where all are in one zone.
    bool unreachable(const TargetName &target, TimePoint now) const;
    /// Latency above which a request is slow; zero while too little is known.
    Duration slowAfter() const { return m_slowAfter; }

private:
    /// Counts that fade with time.
    struct FadingCounts {
        double ok = 0;
        double bad = 0;
        TimePoint at;

        void fade(TimePoint now, Duration window);
        void add(double moreOk, double moreBad, TimePoint now, Duration window);
        double share() const;
    };

    /// One-sided cumulative sum, as a whole and for each group of senders.
    struct CumulativeSum {
        double raw = 0;
        double rateLimited = 0; ///< follows raw, at bounded speed upwards
        double sinceRestart = 0; ///< not held above zero, for trials
        std::map<std::string, double> byGroup;

        void add(const std::string &group, double ratio, double limit);
        void clear();
        void advance(double decay, double maxRise);
        double sumWithoutHighestGroup() const;
    };

    /// One question asked of each target: what share of its requests is bad, and what share do its peers have?
    struct Test {
        CumulativeSum sum;
        FadingCounts recent;
        double baseline = 0; ///< share that is usual among the peers
    };

    struct TargetRecord {
        Test errors;
        Test slowness;
        Test connections;
        FadingCounts latency; ///< ok: answers, bad: sum of ln(seconds)
        std::optional<TimePoint> coldUntil;
        std::map<std::string, TimePoint> lastUnreachableByGroup; ///< group to last failure
        std::optional<TimePoint> lastAnswerAt; ///< last answer
    };

    using TestField = Test TargetRecord::*;

    /// Bad and other requests of one digest.
    struct Sample {
        double ok = 0;
        double bad = 0;
    };

    std::string groupOf(const EvidenceSource &source) const;
    void recordSource(const EvidenceSource &source, TimePoint now);
    void refresh(TimePoint now);
    void removeExpiredSources(TimePoint now);
    void advanceSums(TestField field, double age, Duration window, Duration alarmTime);
    void refreshBaseline(TestField field, TimePoint now);
    void refreshSlowLimit(TimePoint now);
    void addSample(Test &test, const Sample &sample, double unhealthyShare, const std::string &group, TimePoint now) const;
    static void recordReachability(TargetRecord &record, const TargetEvidence &evidence, const std::string &group, TimePoint now);
    bool alarmed(const Test &test) const;
    bool serviceWide(TestField field) const;
    void appendUnhealthy(TestField field, UnhealthyCause cause, std::vector<UnhealthyTarget> &found) const;

    DetectorThresholds m_thresholds;
    std::map<TargetName, TargetRecord> m_targets;
    std::map<MemberId, std::pair<ZoneName, TimePoint>> m_sources;
    std::size_t m_zones = 0; ///< zones that evidence comes from
    Duration m_slowAfter = Duration::zero();
    std::optional<TimePoint> m_refreshedAt;
    bool m_hasTargetList = false;
};
}
