#include <plumsill/balancer.h>

#include <algorithm>

namespace plumsill
{
namespace
{
// Weight of one answer in the latency estimate.
constexpr double AnswerWeight = 0.2;
}

void LatencyEstimate::add(double latencySeconds)
{
    m_seconds = m_seconds > 0 ? m_seconds + AnswerWeight * (latencySeconds - m_seconds) : latencySeconds;
}

void LatencyEstimate::addWaiting(double ageSeconds)
{
    if (ageSeconds > m_seconds) {
        add(ageSeconds);
    }
}

Balancer::Balancer(std::uint64_t seed)
    : m_random(seed)
{ }

std::optional<std::size_t> Balancer::draw(const std::vector<Candidate> &candidates, std::optional<std::size_t> other)
{
    const auto share = [&](std::size_t index) {
        const Candidate &candidate = candidates[index];
        return candidate.excluded || index == other ? 0.0 : candidate.weight;
    };
    double total = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        total += share(index);
    }
    if (total <= 0) {
        return std::nullopt;
    }
    double point = std::uniform_real_distribution<double>(0, total)(m_random);
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (share(index) <= 0) {
            continue;
        }
        last = index;
        point -= share(index);
        if (point < 0) {
            break;
        }
    }
    return last;
}

// Power of two choices: the better of two drawn by weight.
std::optional<std::size_t> Balancer::pick(const std::vector<Candidate> &candidates)
{
    const auto first = draw(candidates, std::nullopt);
    if (!first) {
        return std::nullopt;
    }
    const auto second = draw(candidates, first);
    if (!second) {
        return first;
    }
    const auto cost = [&](std::size_t index) {
        const Candidate &candidate = candidates[index];
        return (candidate.inFlight + 1.0) / candidate.slots;
    };
    return cost(*second) < cost(*first) ? second : first;
}
}
