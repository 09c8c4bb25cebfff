#pragma once

#include <plumsill/clock.h>
#include <plumsill/quota.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

/// Subsets of a service's targets that the daemons of a zone prefer, so that requests meet open connections.
namespace plumsill
{
/// Targets that one daemon prefers, by shortHash() of their names.
class TargetSubset
{
public:
    bool contains(std::uint32_t target) const;
    std::size_t size() const { return m_targets.size(); }
    const std::vector<std::uint32_t> &targets() const { return m_targets; }

private:
    friend class TargetSubsets;

    std::vector<std::uint32_t> m_targets; ///< sorted
    DemandRate m_demand;
    TimePoint m_usedAt;
    TimePoint m_adjustedAt;
};

/// A placement as far as it concerns subsets.
struct PlacedRequest {
    std::uint32_t target = 0; ///< shortHash() of its name
    bool reuses = false; ///< whether the daemon likely has an idle connection to it

    auto operator<=>(const PlacedRequest &) const = default;
};

/// Subsets and placements of one service, for operators.
struct SubsetReport {
    unsigned daemons = 0; ///< daemons that have a subset
    double meanSize = 0; ///< mean number of targets of a subset; 0 if there is none
    std::uint64_t inside = 0; ///< placements at a target of the daemon's subset
    std::uint64_t outside = 0; ///< placements of daemons with a subset at other targets
    std::uint64_t reused = 0; ///< placements for which the daemon likely had an idle connection
    std::uint64_t opened = 0; ///< placements for which it likely had none

    auto operator<=>(const SubsetReport &) const = default;
};

/// Subsets of the daemons for one service. Each has as many targets as its daemon's demand needs, and the targets are in about
/// equally many subsets. A subset changes only as far as demand, targets or balance require.
class TargetSubsets
{
public:
    /// Replaces the targets, by shortHash() of their names.
    void setTargets(std::vector<std::uint32_t> targets);
    /// Subset of the daemon (shortHash() of its name); null if it is to use all targets.
    const TargetSubset *subset(std::uint32_t daemon) const;
    /// Records that a request of the daemon was placed at the target, and adjusts the daemon's subset to its demand.
    void recordPlacement(std::uint32_t daemon, const PlacedRequest &placed, TimePoint now);
    /// Records how long a good answer took.
    void recordDuration(Duration taken);
    SubsetReport report() const;

private:
    struct Candidate {
        std::uint32_t id = 0;
        unsigned subsets = 0; ///< number of subsets that it is in
    };

    std::size_t desiredSize(const TargetSubset &subset, TimePoint now) const;
    void adjust(std::uint32_t daemon, TargetSubset &subset, TimePoint now);
    void grow(std::uint32_t daemon, TargetSubset &subset, std::size_t size);
    void shrink(std::uint32_t daemon, TargetSubset &subset, std::size_t size);
    void clear(TargetSubset &subset);
    void removeUnused(TimePoint now);
    Candidate *find(std::uint32_t target);

    std::vector<Candidate> m_candidates; ///< sorted by id
    std::unordered_map<std::uint32_t, TargetSubset> m_subsets; ///< by daemon
    double m_meanSeconds = 0; ///< mean duration of good answers; 0 before the first
    SubsetReport m_report; ///< counts since the start
    TimePoint m_cleanedAt;
};
}
