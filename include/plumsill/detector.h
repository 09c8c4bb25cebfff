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

/// Outcome of a request to a target.
enum class AnswerKind
{
    Good,
    Error,
    Timeout,
    Truncated,
    Shed,
    Unreachable,
};

/// Adds one ended request to @p evidence. @p slowAfter is the latency above which a request counts as slow; if it is zero,
/// none does. @p countedSlow is true if countOverdue() already counted this request as slow.
void countAnswer(TargetEvidence &evidence, AnswerKind kind, Duration latency, Duration slowAfter, bool countedSlow);
/// Adds a request that has waited longer than the slow limit and has no answer yet.
void countOverdue(TargetEvidence &evidence);
/// Adds @p part to @p sum; both are evidence on the same target.
void addEvidence(TargetEvidence &sum, const TargetEvidence &part);

/// Thresholds of one detection profile.
struct DetectorThresholds {
    double baselineShare = 0; ///< lower bound of the baseline share of bad requests
    double errorShare = 0; ///< share of requests that fail at an unhealthy target, as the test assumes
    double slowShare = 0; ///< share of requests that are slow at an unhealthy target, as the test assumes
    double slowFactor = 0; ///< slow limit as a multiple of the typical latency
    double alarm = 0; ///< log-likelihood ratio from which a target is unhealthy
    /// Bound of the log-likelihood ratio during a trial: at or above it the target is still unhealthy, at or below its
    /// negative the target has recovered.
    double recovered = 0;
    Duration errorTime = Duration::zero(); ///< minimum time until failures raise the alarm
    Duration slowTime = Duration::zero(); ///< minimum time until slowness raises the alarm

    auto operator<=>(const DetectorThresholds &) const = default;
};

DetectorThresholds thresholdsOf(const HealthPolicy &policy);

/// Reason why a target is unhealthy.
enum class UnhealthyCause
{
    Errors,
    Slowness,
    Unreachable,
};

std::string toString(UnhealthyCause cause);

/// A target that the detector found unhealthy; a higher score is worse.
struct UnhealthyTarget {
    TargetName target;
    UnhealthyCause cause = UnhealthyCause::Errors;
    double score = 0;

    auto operator<=>(const UnhealthyTarget &) const = default;
};

/// Result of a trial: an ejected target gets a few requests, which show whether it has recovered.
enum class TrialResult
{
    Open,
    Recovered,
    StillUnhealthy,
};

/// Detects unhealthy targets of one service by a sequential test, which compares the pooled evidence on each target
/// with that on the other targets.
class Detector
{
public:
    explicit Detector(const HealthPolicy &policy);

    void setPolicy(const HealthPolicy &policy);
    /// Sets the targets to evaluate. Targets that are added by a later call are cold for config::ColdStartGrace.
    void setTargets(const std::vector<TargetName> &targets, TimePoint now);
    /// Adds evidence from one daemon; evidence on an unknown target is ignored.
    void add(const EvidenceSource &source, const TargetEvidence &evidence, TimePoint now);
    /// Discards the evidence on @p target. To be called when the target is ejected, when its trial starts and when it
    /// returns to use.
    void restart(const TargetName &target);

    /// Unhealthy targets, the worst first. If most targets of the service are affected, the service itself is regarded as
    /// faulty, and no target as unhealthy.
    std::vector<UnhealthyTarget> unhealthy() const;
    TrialResult trialResult(const TargetName &target) const;
    /// Severity of the problems of @p target, for ordering only: higher is worse.
    double score(const TargetName &target) const;
    bool cold(const TargetName &target, TimePoint now) const;
    /// Whether connections to @p target fail from at least two zones, or from at least two daemons if all evidence comes
    /// from one zone, and the target gave no answer within config::EvidenceWindow. If only one daemon reports, its
    /// failures suffice.
    bool unreachable(const TargetName &target, TimePoint now) const;
    /// Latency above which a request is slow; zero until enough answers are known.
    Duration slowAfter() const { return m_slowAfter; }

private:
    /// Counts with exponential decay over time.
    struct FadingCounts {
        double ok = 0;
        double bad = 0;
        TimePoint at;

        void fade(TimePoint now, Duration window);
        void add(double moreOk, double moreBad, TimePoint now, Duration window);
        double share() const;
    };

    /// One-sided cumulative sum of log-likelihood ratios, in total and for each group of senders of evidence. groupOf()
    /// returns the group of a sender.
    struct CumulativeSum {
        double raw = 0;
        double rateLimited = 0; ///< follows raw, with a limited rate of increase
        double sinceRestart = 0; ///< sum since the last restart(), can be negative; used for trials
        std::map<std::string, double> byGroup;

        void add(const std::string &group, double ratio, double limit);
        void clear();
        void advance(double decay, double maxRise);
        double sumWithoutHighestGroup() const;
    };

    /// State of one test of a target, which compares the share of its bad requests with that of the other targets.
    struct Test {
        CumulativeSum sum;
        FadingCounts recent;
        double baseline = 0; ///< typical share of bad requests at the other targets
    };

    struct TargetRecord {
        Test errors;
        Test slowness;
        Test connections;
        FadingCounts latency; ///< `ok` counts good answers, `bad` is the sum of their ln(seconds)
        std::optional<TimePoint> coldUntil;
        std::map<std::string, TimePoint> lastUnreachableByGroup; ///< time of the last failed connection for each group of senders
        std::optional<TimePoint> lastAnswerAt;
    };

    using TestField = Test TargetRecord::*;

    /// Numbers of bad and of other requests in one digest (report of a daemon's evidence).
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
    std::size_t m_zones = 0; ///< number of zones that evidence comes from
    Duration m_slowAfter = Duration::zero();
    std::optional<TimePoint> m_refreshedAt;
    bool m_hasFirstListing = false;
};
}
