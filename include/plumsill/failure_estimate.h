#pragma once

#include <plumsill/clock.h>

/// What the requests of a zone tell about one target: how likely it fails a part of its requests just now.
namespace plumsill
{
/// Latency of good answers of one route; gives the share of healthy requests that last longer than an age.
class LatencyModel
{
public:
    /// @p expected: usual latency before the first answer is known.
    explicit LatencyModel(Duration expected);

    void add(Duration latency);
    /// Share of good answers that take longer than @p age.
    double survival(Duration age) const;
    /// Age that only @p share of the good answers exceed, the rare long ones left out.
    Duration quantile(double share) const;
    /// Mean latency.
    Duration mean() const;

private:
    double m_logMean; // ln(seconds)
    double m_logVariance;
    double m_weight; // answers, fading
};

/// Share of targets that fail at any time, as far as nothing is known.
inline constexpr double BaselineFailureShare = 0.08;

/// Belief after evidence that is @p oddsRatio times as likely for a failing target.
double withOdds(double failing, double oddsRatio);

/// Probability that a target is failing, filtered over its answers and over requests that wait too long.
class FailureEstimate
{
public:
    FailureEstimate();

    /// @p usual: share of targets that fail at any time, to which the belief returns without news.
    double failing(TimePoint now, double usual = BaselineFailureShare) const;
    void answeredWell(TimePoint now);
    /// Server error, cut answer or time-out.
    void failed(TimePoint now);
    /// One request is older than nearly all good answers; @p survival as of its age.
    void overdue(double survival, TimePoint now);
    /// It refused work although it has room by our count.
    void refused(TimePoint now);
    /// A connection to it could not be opened.
    void unreachable(TimePoint now);

private:
    void observe(double oddsRatio, TimePoint now);

    double m_failing = 0;
    TimePoint m_at;
    Duration m_memory; ///< in which suspicion fades; grows while trials go on to fail
};

/// How much less likely a healthy target leaves a request waiting than a failing one.
double waitingOdds(double survival);
}
