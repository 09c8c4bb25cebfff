#include <plumsill/failure_estimate.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// Weight of the newest answer once many are known, and answers that the expected latency counts for.
constexpr double AnswerWeight = 0.02;
constexpr double PriorAnswers = 4;
constexpr double PriorLogVariance = 0.25;
constexpr double LeastLogVariance = 0.03;
// A few good answers take several times as long as the rest; this share, at this multiple of the median.
constexpr double LongShare = 0.015;
constexpr double LongFactor = 4;

// Time constant in which a target's state is forgotten. Failures last seconds to tens of seconds: each trial that fails
// doubles it, so that a lasting failure costs few trials, and good answers set it back.
constexpr Duration MemoryTime = 3s;
constexpr Duration LongestMemory = 12s;
constexpr double Suspected = 0.5;
constexpr double Cleared = 0.03;
constexpr double LeastBelief = 0.004;
// Share of its requests that a failing target fails.
constexpr double FailingShare = 0.75;
// Errors of healthy targets, in requests.
constexpr double UsualErrors = 0.012;
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
    m_logVariance = std::max(LeastLogVariance, (1 - share) * (m_logVariance + share * difference * difference));
}

double LatencyModel::survival(Duration age) const
{
    const double deviation = std::sqrt(m_logVariance);
    const double place = std::log(std::max(seconds(age), 1e-4)) - m_logMean;
    return (1 - LongShare) * normalTail(place / deviation) + LongShare * normalTail((place - std::log(LongFactor)) / deviation);
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
    return (FailingShare + (1 - FailingShare) * healthy) / healthy;
}

double withOdds(double failing, double oddsRatio)
{
    const double before = std::clamp(failing, LeastBelief, 1 - LeastBelief);
    const double odds = before / (1 - before) * oddsRatio;
    return std::clamp(odds / (1 + odds), LeastBelief, 1 - LeastBelief);
}

double FailureEstimate::failing(TimePoint now, double usual) const
{
    const double passed = seconds(std::max(now - m_at, Duration::zero()));
    const Duration memory = m_failing > usual ? m_memory : MemoryTime;
    return usual + (m_failing - usual) * std::exp(-passed / seconds(memory));
}

FailureEstimate::FailureEstimate()
    : m_memory(MemoryTime)
{ }

void FailureEstimate::observe(double oddsRatio, TimePoint now)
{
    const double before = failing(now);
    const bool trial = m_failing > Suspected && before <= Suspected;
    m_failing = withOdds(before, oddsRatio);
    if (trial && m_failing > Suspected) {
        m_memory = std::min(2 * m_memory, LongestMemory);
    } else if (m_failing < Cleared) {
        m_memory = MemoryTime;
    }
    m_at = now;
}

void FailureEstimate::answeredWell(TimePoint now)
{
    observe((1 - FailingShare) / (1 - UsualErrors), now);
}

void FailureEstimate::failed(TimePoint now)
{
    observe(FailingShare / (2 * UsualErrors), now);
}

void FailureEstimate::overdue(double survival, TimePoint now)
{
    observe(waitingOdds(survival), now);
}

void FailureEstimate::refused(TimePoint now)
{
    observe(RefusedOdds, now);
}

void FailureEstimate::unreachable(TimePoint now)
{
    observe(UnreachableOdds, now);
}
}
