#include <plumsill/balancer.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace plumsill
{
namespace
{
using namespace std::chrono_literals;

// Weight of one answer in the estimate.
constexpr double AnswerWeight = 0.2;
// Time constant with which an estimate decays while its target gets no requests. Without the decay one slow answer
// would keep a daemon away from a healthy target permanently.
constexpr auto LatencyDecayTime = 10s;
// A failure counts as an answer that took FailureFactor times the estimate, and at least MinFailureLatency.
constexpr double FailureFactor = 2;
constexpr double MinFailureLatency = 0.05; // seconds

// Share of requests that go to a random target. A target that looks slow must still get requests, so that the latency
// estimate here and the daemon that decides on ejections keep receiving evidence about it.
constexpr double ExploreShare = 0.1;

bool usable(const Candidate &candidate)
{
    return !candidate.excluded && candidate.weight > 0;
}

// Average of the known latencies, which is assumed for a target without one. With a latency of zero, all daemons would send
// to a new target at once.
double averageLatency(const std::vector<Candidate> &candidates)
{
    double sum = 0;
    double known = 0;
    for (const auto &candidate : candidates) {
        if (usable(candidate) && candidate.latency > 0) {
            sum += candidate.latency;
            known += 1;
        }
    }
    return known > 0 ? sum / known : 1;
}
}

double LatencyEstimate::value(TimePoint now) const
{
    return m_seconds * std::exp(-seconds(std::max(now - m_at, Duration::zero())) / seconds(LatencyDecayTime));
}

void LatencyEstimate::add(Duration latency, TimePoint now)
{
    const double current = value(now);
    m_seconds = current > 0 ? current + AnswerWeight * (seconds(latency) - current) : seconds(latency);
    m_at = now;
}

void LatencyEstimate::addWaiting(Duration age, TimePoint now)
{
    if (seconds(age) > value(now)) {
        add(age, now);
    }
}

void LatencyEstimate::addFailure(TimePoint now)
{
    add(fromSeconds(std::max(MinFailureLatency, FailureFactor * value(now))), now);
}

Balancer::Balancer(std::uint64_t seed)
    : m_random(seed)
{ }

// Targets of partial weight get exactly their share, however low their latency is.
std::optional<std::size_t> Balancer::pickPartialWeight(const std::vector<Candidate> &candidates)
{
    double total = 0;
    for (const auto &candidate : candidates) {
        total += usable(candidate) ? candidate.weight : 0;
    }
    double point = std::uniform_real_distribution<double>(0, total)(m_random);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!usable(candidates[index]) || candidates[index].weight >= 1) {
            continue;
        }
        point -= candidates[index].weight;
        if (point < 0) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> Balancer::pickRandomFullWeight(const std::vector<Candidate> &candidates)
{
    std::optional<std::size_t> found;
    unsigned count = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const bool full = usable(candidates[index]) && candidates[index].weight >= 1;
        if (full && m_random() % ++count == 0) {
            found = index;
        }
    }
    return found;
}

std::optional<std::size_t> Balancer::pickLowestCost(const std::vector<Candidate> &candidates, double minWeight)
{
    const double average = averageLatency(candidates);
    double lowestCost = std::numeric_limits<double>::infinity();
    unsigned ties = 0;
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (!usable(candidate) || candidate.weight < minWeight) {
            continue;
        }
        const double latency = candidate.latency > 0 ? candidate.latency : average;
        const double cost = (candidate.inFlight + 1.0) * latency / candidate.weight;
        if (cost > lowestCost) {
            continue;
        }
        ties = cost < lowestCost ? 1 : ties + 1;
        lowestCost = cost;
        if (m_random() % ties == 0) {
            found = index;
        }
    }
    return found;
}

std::optional<std::size_t> Balancer::pick(const std::vector<Candidate> &candidates)
{
    if (const auto partial = pickPartialWeight(candidates)) {
        return partial;
    }
    if (std::bernoulli_distribution(ExploreShare)(m_random)) {
        if (const auto any = pickRandomFullWeight(candidates)) {
            return any;
        }
    }
    const auto full = pickLowestCost(candidates, 1);
    return full ? full : pickLowestCost(candidates, 0);
}
}
