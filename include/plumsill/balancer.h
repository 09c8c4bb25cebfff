#pragma once

#include <plumsill/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace plumsill
{
/// A target as one traffic thread sees it when it picks.
struct Candidate {
    double weight = 1; ///< share of new requests, 0 to 1
    unsigned inFlight = 0; ///< this daemon's requests on it
    unsigned slots = 1;
    double latency = 0; ///< recent latency in seconds; 0 while unknown
    bool sameZone = false;
    bool excluded = false; ///< already tried, or no connection left

    auto operator<=>(const Candidate &) const = default;
};

/// Recent latency of one target as one traffic thread sees it.
class LatencyEstimate
{
public:
    /// Adds an answer, or the age of a request that still waits if it is above the estimate.
    void add(double latencySeconds);
    void addWaiting(double ageSeconds);
    double value() const { return m_seconds; }

private:
    double m_seconds = 0;
};

/// Chooses the target of a request.
class Balancer
{
public:
    explicit Balancer(std::uint64_t seed);

    /// Index of the chosen candidate; none when all are excluded or have no weight.
    std::optional<std::size_t> pick(const std::vector<Candidate> &candidates);

private:
    std::optional<std::size_t> draw(const std::vector<Candidate> &candidates, std::optional<std::size_t> other);

    std::mt19937_64 m_random;
};
}
