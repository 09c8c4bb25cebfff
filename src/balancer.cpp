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
// Time constant in which an estimate falls while its target gets no requests; without it one slow answer would keep a
// daemon off a healthy target for good.
constexpr auto FadeTime = 10s;
// A failure counts as an answer that took this many times the estimate, and at least the least penalty.
constexpr double FailureFactor = 2;
constexpr double FailureLeast = 0.05; // seconds

// Share of requests that go to any target: a target that looks slow must go on showing what it does, for the estimate
// here and for the service's owner.
constexpr double ExploreShare = 0.1;

bool usable(const Candidate &candidate)
{
    return !candidate.excluded && candidate.weight > 0;
}

// Targets that nothing is known of count as average ones, or a new target would draw every daemon at once.
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
    return m_seconds * std::exp(-seconds(std::max(now - m_at, Duration::zero())) / seconds(FadeTime));
}

void LatencyEstimate::add(Duration latency, TimePoint now)
{
    const double present = value(now);
    m_seconds = present > 0 ? present + AnswerWeight * (seconds(latency) - present) : seconds(latency);
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
    add(fromSeconds(std::max(FailureLeast, FailureFactor * value(now))), now);
}

Balancer::Balancer(std::uint64_t seed)
    : m_random(seed)
{ }

// Targets of part weight get exactly their share, however fast they look.
std::optional<std::size_t> Balancer::drawPartial(const std::vector<Candidate> &candidates)
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

std::optional<std::size_t> Balancer::anyFull(const std::vector<Candidate> &candidates)
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

std::optional<std::size_t> Balancer::leastLatency(const std::vector<Candidate> &candidates, double minWeight)
{
    const double average = averageLatency(candidates);
    double least = std::numeric_limits<double>::infinity();
    unsigned ties = 0;
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (!usable(candidate) || candidate.weight < minWeight) {
            continue;
        }
        const double latency = candidate.latency > 0 ? candidate.latency : average;
        const double cost = (candidate.inFlight + 1.0) * latency / candidate.weight;
        if (cost > least) {
            continue;
        }
        ties = cost < least ? 1 : ties + 1;
        least = cost;
        if (m_random() % ties == 0) {
            found = index;
        }
    }
    return found;
}

std::optional<std::size_t> Balancer::pick(const std::vector<Candidate> &candidates)
{
    if (const auto partial = drawPartial(candidates)) {
        return partial;
    }
    if (std::bernoulli_distribution(ExploreShare)(m_random)) {
        if (const auto any = anyFull(candidates)) {
            return any;
        }
    }
    const auto full = leastLatency(candidates, 1);
    return full ? full : leastLatency(candidates, 0);
}
}
