#pragma once

#include <plumsill/clock.h>
#include <plumsill/messages.h>
#include <plumsill/types.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace plumsill
{
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));

/// Empty histogram of seconds, from 0.1 ms to 60 s.
LatencyHistogram makeLatencyHistogram();

/// Service and team whose requests are counted.
struct TrafficKey {
    ServiceName service;
    TeamName team; ///< empty on routes open to all

    auto operator<=>(const TrafficKey &) const = default;
};

/// How the requests of one service and team ended.
struct TrafficCounts {
    std::uint64_t good = 0; ///< complete answers with a status below 500
    std::uint64_t bad = 0; ///< requests that ended with a server error, a timeout, an aborted answer, or a refusal because no target is available
    std::uint64_t overRate = 0; ///< refused because the team is above its rate
    std::uint64_t ownerUnreachable = 0; ///< refused because no owner of the team's tokens answered
    std::uint64_t notTrusted = 0; ///< refused because this daemon could not confirm that the document's keys are still valid

    auto operator<=>(const TrafficCounts &) const = default;
    TrafficCounts &operator+=(const TrafficCounts &other);
};

/// Use of the instance's limits by one traffic thread.
struct InstanceUse {
    std::size_t heldBytes = 0; ///< bytes held for callers and targets
    std::size_t peakHeldBytes = 0;
    std::uint64_t linkBytes = 0; ///< bytes of answers sent since the start
    std::size_t pacedFlows = 0; ///< large answers that are being sent

    auto operator<=>(const InstanceUse &) const = default;
};

/// Decisions for the sake of the instance's limits.
struct LimitCounts {
    std::uint64_t paced = 0; ///< large answers that were paced
    std::uint64_t refusedForMemory = 0; ///< large requests that were refused
    std::uint64_t streamedForMemory = 0; ///< answers that were streamed instead of buffered
    std::uint64_t hedgesWithheld = 0; ///< hedges whose bytes were not worth it

    auto operator<=>(const LimitCounts &) const = default;
    LimitCounts &operator+=(const LimitCounts &other);
};

/// Counts and evidence that one traffic thread collected since its last report to control.
struct TrafficReport {
    std::map<TrafficKey, TrafficCounts> counts;
    std::map<ServiceName, LatencyHistogram> latency; ///< latency of good answers
    std::map<ServiceName, std::map<TargetName, TargetEvidence>> evidence;
    std::map<unsigned, std::uint64_t> rejected; ///< number of malformed, unrouted and unauthorized requests, by status
    std::uint64_t retries = 0;
    std::vector<LeavingTarget> leavingTargets; ///< targets that announced that they are draining
    LimitCounts limits;
    unsigned thread = 0;
    InstanceUse use;

    bool empty() const { return counts.empty() && evidence.empty() && rejected.empty() && leavingTargets.empty() && limits == LimitCounts {}; }
};

/// One gauge of the metrics page.
struct Gauge {
    std::string name;
    double value = 0;
    std::string labels {}; ///< such as `service="a"`; gauges of one name follow each other

    auto operator<=>(const Gauge &) const = default;
};

/// Request counters and latency histograms of the daemon since its start.
class Metrics
{
public:
    void add(const TrafficReport &report);
    const std::map<TrafficKey, TrafficCounts> &counts() const { return m_counts; }
    /// Metrics page in Prometheus text format.
    std::string prometheusText(const std::vector<Gauge> &gauges) const;

private:
    std::map<TrafficKey, TrafficCounts> m_counts;
    std::map<ServiceName, LatencyHistogram> m_latency;
    std::map<unsigned, std::uint64_t> m_rejected;
    std::uint64_t m_retries = 0;
    LimitCounts m_limits;
    std::map<unsigned, InstanceUse> m_use; ///< by traffic thread
};
}
