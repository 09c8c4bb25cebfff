#pragma once

#include <plumsill/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace plumsill
{
/// A target as one traffic thread sees it when it picks the target of a request.
struct Candidate {
    double weight = 1; ///< relative share of new requests: 0 for none, 1 for a full share
    unsigned inFlight = 0; ///< requests of this daemon that run on the target
    unsigned slots = 1; ///< requests that the target works on in parallel
    double latency = 0; ///< recent latency in seconds; 0 while unknown
    bool excluded = false; ///< the target was already tried for this request, or has no connection available

    auto operator<=>(const Candidate &) const = default;
};

/// Recent latency of one target as one traffic thread sees it. The estimate decays, so that a slow target is tried again.
class LatencyEstimate
{
public:
    /// Records the latency of an answer.
    void add(Duration latency, TimePoint now);
    /// Records a request that has waited for @p age without an answer. It counts only if @p age is above the estimate.
    void addWaiting(Duration age, TimePoint now);
    /// Records an error, a truncated answer or a failed connection. Raises the estimate, however fast the failure was.
    void addFailure(TimePoint now);
    /// Estimated latency in seconds; 0 while unknown.
    double value(TimePoint now) const;

private:
    double m_seconds = 0;
    TimePoint m_at;
};

/// Chooses the target of a request. Each target of partial weight gets exactly its share of the requests. Most others go to
/// the target of full weight with the lowest expected latency, and a few to a random target of full weight.
class Balancer
{
public:
    explicit Balancer(std::uint64_t seed);

    /// Index of the chosen candidate; none if all are excluded or have a weight of zero.
    std::optional<std::size_t> pick(const std::vector<Candidate> &candidates);

private:
    std::optional<std::size_t> pickPartialWeight(const std::vector<Candidate> &candidates);
    std::optional<std::size_t> pickRandomFullWeight(const std::vector<Candidate> &candidates);
    std::optional<std::size_t> pickLowestCost(const std::vector<Candidate> &candidates, double minWeight);

    std::mt19937_64 m_random;
};
}
