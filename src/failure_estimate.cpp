#include <plumsill/failure_estimate.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// The model keeps a moving average of the logarithm of the latency. A new answer has the weight 1/n after n answers, but at least AnswerWeight. The expected
// latency counts as PriorAnswers answers.
constexpr double AnswerWeight = 0.02;
constexpr double PriorAnswers = 4;
constexpr double PriorLogVariance = 0.25;
constexpr double MinLogVariance = 0.03;
// A few good answers take several times as long as the rest: SlowAnswerShare of them, at SlowAnswerFactor times the
// median.
constexpr double SlowAnswerShare = 0.015;
constexpr double SlowAnswerFactor = 4;

// Time constant with which the estimate decays to the baseline. Once it has decayed, a suspected target gets requests
// again; a failure of such a trial doubles the time constant. Failures last seconds to tens of seconds, so that
// only a few requests are lost by trials during one failure. Good answers reset the time constant.
constexpr Duration DecayTime = 3s;
constexpr Duration MaxDecayTime = 12s;
constexpr double SuspectedProbability = 0.5; // above it the target is suspected
constexpr double ClearedProbability = 0.03; // below it the decay time is reset
constexpr double MinProbability = 0.004;
// Share of its requests that a failing target does not answer, or answers with an error.
constexpr double UnhealthyFailureShare = 0.75;
// Share of its requests that a healthy target fails.
constexpr double HealthyFailureShare = 0.012;
// Factors by which an event multiplies the odds that the target fails: a refusal despite a free slot, and a connection that
// could not be opened.
constexpr double RefusedOdds = 1.5;
constexpr double UnreachableOdds = 6;

double normalTail(double z)
{
    return 0.5 * std::erfc(z / std::sqrt(2.0));
}
}

LatencyModel::LatencyModel(Duration expected)
    : m_logMean(std::log(std::max(seconds(expected), 0.001)))
    , m_logVariance(PriorLogVariance)
    , m_weight(PriorAnswers)
{ }

void LatencyModel::add(Duration latency)
{
    const double value = std::log(std::max(seconds(latency), 1e-4));
    m_weight += 1;
    const double share = std::max(AnswerWeight, 1 / m_weight);
    const double difference = value - m_logMean;
    m_logMean += share * difference;
    m_logVariance = std::max(MinLogVariance, (1 - share) * (m_logVariance + share * difference * difference));
}

double LatencyModel::survival(Duration age) const
{
    const double deviation = std::sqrt(m_logVariance);
    const double logDistance = std::log(std::max(seconds(age), 1e-4)) - m_logMean;
    return (1 - SlowAnswerShare) * normalTail(logDistance / deviation) + SlowAnswerShare * normalTail((logDistance - std::log(SlowAnswerFactor)) / deviation);
}

Duration LatencyModel::quantile(double share) const
{
    double low = -4;
    double high = 6;
    for (int step = 0; step < 30; ++step) {
        const double middle = (low + high) / 2;
        (normalTail(middle) > share ? low : high) = middle;
    }
    return fromSeconds(std::exp(m_logMean + high * std::sqrt(m_logVariance)));
}

Duration LatencyModel::mean() const
{
    return fromSeconds(std::exp(m_logMean + m_logVariance / 2));
}

double waitingOdds(double survival)
{
    const double healthy = std::max(survival, 1e-4);
    return (UnhealthyFailureShare + (1 - UnhealthyFailureShare) * healthy) / healthy;
}

double applyOddsRatio(double probability, double oddsRatio)
{
    const double before = std::clamp(probability, MinProbability, 1 - MinProbability);
    const double odds = before / (1 - before) * oddsRatio;
    return std::clamp(odds / (1 + odds), MinProbability, 1 - MinProbability);
}

double FailureEstimate::probability(TimePoint now, double baseline) const
{
    const double elapsed = seconds(std::max(now - m_at, Duration::zero()));
    const Duration decayTime = m_probability > baseline ? m_decayTime : DecayTime;
    return baseline + (m_probability - baseline) * std::exp(-elapsed / seconds(decayTime));
}

FailureEstimate::FailureEstimate()
    : m_decayTime(DecayTime)
{ }

void FailureEstimate::update(double oddsRatio, TimePoint now)
{
    const double before = probability(now);
    const bool trial = m_probability > SuspectedProbability && before <= SuspectedProbability;
    m_probability = applyOddsRatio(before, oddsRatio);
    if (trial && m_probability > SuspectedProbability) {
        m_decayTime = std::min(2 * m_decayTime, MaxDecayTime);
    } else if (m_probability < ClearedProbability) {
        m_decayTime = DecayTime;
    }
    m_at = now;
}

void FailureEstimate::recordGoodAnswer(TimePoint now)
{
    update((1 - UnhealthyFailureShare) / (1 - HealthyFailureShare), now);
}

double FailureEstimate::recordFailure(TimePoint now)
{
    constexpr double Odds = UnhealthyFailureShare / (2 * HealthyFailureShare);
    update(Odds, now);
    return Odds;
}

double FailureEstimate::recordOverdue(double survival, TimePoint now)
{
    const double odds = waitingOdds(survival);
    update(odds, now);
    return odds;
}

void FailureEstimate::recordRefusal(TimePoint now)
{
    update(RefusedOdds, now);
}

double FailureEstimate::recordUnreachable(TimePoint now)
{
    update(UnreachableOdds, now);
    return UnreachableOdds;
}

// The trials that the evidence may have caused to fail are taken back as well.
void FailureEstimate::retract(double oddsRatio, TimePoint now)
{
    update(1 / oddsRatio, now);
    m_decayTime = DecayTime;
}
}
