#include <plumsill/target_subset.h>

#include <plumsill/config.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace plumsill
{
namespace
{
constexpr double DurationWeight = 0.02; // of one answer in the mean duration
// Weight of the rank in comparison with one more subset that a target is in. Below 1, so that the number of subsets goes first.
constexpr double RankWeight = 0.9;
constexpr auto UnusedCheckInterval = std::chrono::seconds(1);

// Pseudo-random value in [0, 1) of a daemon and a target (rendezvous hashing): every scheduler ranks the targets of a daemon alike, and
// the ranks of two daemons are independent. The mixing function is that of SplitMix64.
double rank(std::uint32_t daemon, std::uint32_t target)
{
    std::uint64_t mixed = (static_cast<std::uint64_t>(daemon) << 32U) + target + 0x9e3779b97f4a7c15U;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return std::ldexp(static_cast<double>(mixed >> 11U), -53);
}
}

bool TargetSubset::contains(std::uint32_t target) const
{
    return std::binary_search(m_targets.begin(), m_targets.end(), target);
}

TargetSubsets::Candidate *TargetSubsets::find(std::uint32_t target)
{
    const auto found
        = std::lower_bound(m_candidates.begin(), m_candidates.end(), target, [](const Candidate &candidate, std::uint32_t id) { return candidate.id < id; });
    return found != m_candidates.end() && found->id == target ? &*found : nullptr;
}

// Subsets lose the targets that have left at once. They grow again, and take in new targets, when their daemons next use them.
void TargetSubsets::setTargets(std::vector<std::uint32_t> targets)
{
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    std::vector<Candidate> candidates;
    candidates.reserve(targets.size());
    for (const std::uint32_t target : targets) {
        const Candidate *known = find(target);
        candidates.push_back({target, known != nullptr ? known->subsets : 0});
    }
    m_candidates = std::move(candidates);
    for (auto &[daemon, subset] : m_subsets) {
        const auto removed = std::erase_if(subset.m_targets, [this](std::uint32_t target) { return find(target) == nullptr; });
        subset.m_adjustedAt = removed > 0 ? TimePoint() : subset.m_adjustedAt;
    }
}

const TargetSubset *TargetSubsets::subset(std::uint32_t daemon) const
{
    const auto found = m_subsets.find(daemon);
    return found == m_subsets.end() || found->second.m_targets.empty() ? nullptr : &found->second;
}

void TargetSubsets::recordPlacement(std::uint32_t daemon, const PlacedRequest &placed, TimePoint now)
{
    removeUnused(now);
    TargetSubset &subset = m_subsets[daemon];
    ++(placed.reuses ? m_report.reused : m_report.opened);
    if (subset.size() > 0) {
        ++(subset.contains(placed.target) ? m_report.inside : m_report.outside);
    }
    subset.m_demand.add(now);
    subset.m_usedAt = now;
    if (now - subset.m_adjustedAt >= config::SubsetAdjustInterval) {
        subset.m_adjustedAt = now;
        adjust(daemon, subset, now);
    }
}

void TargetSubsets::recordDuration(Duration taken)
{
    m_meanSeconds += m_meanSeconds > 0 ? DurationWeight * (seconds(taken) - m_meanSeconds) : seconds(taken);
}

// Covers the requests of the daemon that run at once (Little's law) with a margin for bursts and for targets that others occupy, and
// at least the daemon's part of all targets.
std::size_t TargetSubsets::desiredSize(const TargetSubset &subset, TimePoint now) const
{
    const double concurrent = subset.m_demand.value(now) * m_meanSeconds;
    const double part = config::SubsetCover * static_cast<double>(m_candidates.size()) / static_cast<double>(m_subsets.size());
    return static_cast<std::size_t>(std::ceil(std::max(config::SubsetHeadroom * concurrent + config::MinSubsetSize, part)));
}

void TargetSubsets::adjust(std::uint32_t daemon, TargetSubset &subset, TimePoint now)
{
    const std::size_t desired = desiredSize(subset, now);
    if (m_meanSeconds <= 0 || desired >= m_candidates.size()) {
        clear(subset);
        return;
    }
    if (subset.size() < desired) {
        grow(daemon, subset, desired);
        return;
    }
    // A smaller demand reduces the subset only after it has fallen by some margin, so that the subset doesn't follow its noise.
    if (static_cast<double>(subset.size()) > static_cast<double>(desired) * config::SubsetShrinkMargin + 1) {
        shrink(daemon, subset, desired);
    }
    // Replaces one target that is in many subsets if there is one in clearly fewer, such as a new one.
    const std::size_t size = subset.size();
    const auto fewest = std::min_element(m_candidates.begin(), m_candidates.end(), [](const auto &a, const auto &b) { return a.subsets < b.subsets; });
    const auto isCrowded = [&](std::uint32_t target) { return find(target)->subsets > fewest->subsets + 1; };
    if (std::any_of(subset.m_targets.begin(), subset.m_targets.end(), isCrowded)) {
        shrink(daemon, subset, size - 1);
        grow(daemon, subset, size);
    }
}

// Takes the targets that are in the fewest subsets, and among these the ones of the lowest rank.
void TargetSubsets::grow(std::uint32_t daemon, TargetSubset &subset, std::size_t size)
{
    std::vector<std::pair<double, Candidate *>> free;
    for (auto &candidate : m_candidates) {
        if (!subset.contains(candidate.id)) {
            free.emplace_back(candidate.subsets + RankWeight * rank(daemon, candidate.id), &candidate);
        }
    }
    const std::size_t missing = std::min(size - subset.size(), free.size());
    std::partial_sort(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(missing), free.end());
    for (std::size_t i = 0; i < missing; ++i) {
        ++free[i].second->subsets;
        subset.m_targets.push_back(free[i].second->id);
    }
    std::sort(subset.m_targets.begin(), subset.m_targets.end());
}

void TargetSubsets::shrink(std::uint32_t daemon, TargetSubset &subset, std::size_t size)
{
    while (subset.size() > size) {
        const auto weight = [&](std::uint32_t target) { return find(target)->subsets + RankWeight * rank(daemon, target); };
        const auto dropped
            = std::max_element(subset.m_targets.begin(), subset.m_targets.end(), [&](std::uint32_t a, std::uint32_t b) { return weight(a) < weight(b); });
        --find(*dropped)->subsets;
        subset.m_targets.erase(dropped);
    }
}

void TargetSubsets::clear(TargetSubset &subset)
{
    for (const std::uint32_t target : subset.m_targets) {
        --find(target)->subsets;
    }
    subset.m_targets.clear();
}

void TargetSubsets::removeUnused(TimePoint now)
{
    if (now - m_cleanedAt < UnusedCheckInterval) {
        return;
    }
    m_cleanedAt = now;
    for (auto entry = m_subsets.begin(); entry != m_subsets.end();) {
        const bool unused = now - entry->second.m_usedAt > config::SubsetLifetime;
        if (unused) {
            clear(entry->second);
        }
        entry = unused ? m_subsets.erase(entry) : std::next(entry);
    }
}

SubsetReport TargetSubsets::report() const
{
    SubsetReport report = m_report;
    double targets = 0;
    for (const auto &[daemon, subset] : m_subsets) {
        report.daemons += subset.size() > 0 ? 1 : 0;
        targets += static_cast<double>(subset.size());
    }
    report.meanSize = report.daemons > 0 ? targets / report.daemons : 0;
    return report;
}
}
