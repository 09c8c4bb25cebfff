#pragma once

#include <plumsill/clock.h>

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
    bool excluded = false; ///< already tried, or no connection left

    auto operator<=>(const Candidate &) const = default;
};

/// Recent latency of one target as one traffic thread sees it; fades, so that a target is tried again.
class LatencyEstimate
{
public:
    void add(Duration latency, TimePoint now);
    /// A request that has waited for @p age without an answer: counts once it is above the estimate.
    void addWaiting(Duration age, TimePoint now);
    /// An error, a truncated answer or a failed connection, however fast: makes the target look slower.
    void addFailure(TimePoint now);
    /// Seconds; 0 while unknown.
    double value(TimePoint now) const;

private:
    double m_seconds = 0;
    TimePoint m_at;
};

/// Chooses the target of a request: the least expected latency, among targets of full weight.
class Balancer
{
public:
    explicit Balancer(std::uint64_t seed);

    /// Index of the chosen candidate; none when all are excluded or have no weight.
    std::optional<std::size_t> pick(const std::vector<Candidate> &candidates);

private:
    std::optional<std::size_t> drawPartial(const std::vector<Candidate> &candidates);
    std::optional<std::size_t> anyFull(const std::vector<Candidate> &candidates);
    std::optional<std::size_t> leastLatency(const std::vector<Candidate> &candidates, double minWeight);

    std::mt19937_64 m_random;
};
}
