#pragma once

#include <plumsill/clock.h>

/// Estimates how likely a target fails requests now, from the outcomes of the requests of one zone.
namespace plumsill
{
/// Log-normal model of the latency of good answers of one route. Gives the share of good answers that take longer than a
/// given age.
class LatencyModel
{
public:
    /// @p expected: typical latency to assume before the first answer.
    explicit LatencyModel(Duration expected);

    /// Records the latency of a good answer.
    void add(Duration latency);
    /// Share of good answers that take longer than @p age.
    double survival(Duration age) const;
    /// Age that only @p share of the good answers exceed. Leaves out the few especially slow answers, which survival() includes.
    Duration quantile(double share) const;
    /// Mean latency.
    Duration mean() const;

private:
    double m_logMean; // ln(seconds)
    double m_logVariance;
    double m_weight; // number of answers; the expected latency counts as several answers
};

/// Share of targets that are assumed to fail requests at any time, before there is evidence.
inline constexpr double BaselineFailureShare = 0.08;

/// Bayesian update: the probability that a target fails, after evidence that is @p oddsRatio times as likely for a
/// failing target as for a healthy one. The result is kept away from 0 and 1.
double applyOddsRatio(double probability, double oddsRatio);

/// Probability that a target fails requests now, updated by its answers and by requests that wait too long. Without new
/// evidence it decays to the baseline.
class FailureEstimate
{
public:
    FailureEstimate();

    /// Failure probability at @p now. @p baseline: share of targets that fail at any time, to which the estimate decays
    /// without new evidence.
    double probability(TimePoint now, double baseline = BaselineFailureShare) const;
    /// Records a good answer.
    void recordGoodAnswer(TimePoint now);
    /// Records a server error, a truncated answer or a timeout. Returns the odds ratio by which the estimate was changed; so do
    /// the following functions.
    double recordFailure(TimePoint now);
    /// Records a request that has waited longer than nearly all good answers take. @p survival: LatencyModel::survival() of
    /// its age.
    double recordOverdue(double survival, TimePoint now);
    /// Records that the target refused a request although it has a free slot by the scheduler's count.
    void recordRefusal(TimePoint now);
    /// Records that a connection to the target could not be opened.
    double recordUnreachable(TimePoint now);
    /// Takes back earlier evidence with that odds ratio, which has turned out to say nothing about the target.
    void retract(double oddsRatio, TimePoint now);

private:
    void update(double oddsRatio, TimePoint now);

    double m_probability = 0;
    TimePoint m_at;
    Duration m_decayTime; ///< time constant of the decay; doubled, up to a limit, each time the target fails again after its probability had decayed
};

/// Odds ratio of a waiting request: how much more likely a failing target leaves a request without an answer than a
/// healthy one. @p survival: LatencyModel::survival() of its age.
double waitingOdds(double survival);
}
