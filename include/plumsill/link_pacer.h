#pragma once

#include <plumsill/clock.h>

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>

/// Order in which large answers use the link of the instance.
namespace plumsill
{
using FlowId = std::uint64_t;

/// Permission to send the next part of a large answer.
struct LinkGrant {
    FlowId flow = 0;
    std::size_t bytes = 0;

    auto operator<=>(const LinkGrant &) const = default;
};

/// Paces large answers by start-time fair queueing on the link that they share with small answers. Small answers are sent at once and only counted.
class LinkPacer
{
public:
    /// @p bytesPerSecond: rate of the link; empty: not known, nothing is paced.
    explicit LinkPacer(std::optional<double> bytesPerSecond = std::nullopt)
        : m_rate(bytesPerSecond)
    { }

    void setRate(std::optional<double> bytesPerSecond) { m_rate = bytesPerSecond; }
    bool active() const { return m_rate.has_value(); }
    /// Bytes of one grant: what the link sends in config::PacedChunkTime.
    std::size_t chunkBytes() const;
    /// Registers a large answer.
    FlowId open();
    /// Ends a large answer and drops its request.
    void close(FlowId flow);
    /// Asks for the next part of an answer, of chunkBytes() at most; a flow has at most one open request.
    void request(FlowId flow, std::size_t bytes);
    /// Drops the open request of an answer.
    void withdraw(FlowId flow);
    /// Counts bytes of answers that are not paced.
    void addUnpaced(std::size_t bytes, TimePoint now);
    /// Removes and returns the grant that is due; empty when none is.
    std::optional<LinkGrant> next(TimePoint now);
    /// Time at which next() returns a grant; empty without requests.
    std::optional<TimePoint> wakeAt() const;
    std::size_t flows() const { return m_flows.size(); }
    /// Bytes sent so far, paced or not.
    std::uint64_t sentBytes() const { return m_sentBytes; }
    /// Time that the link takes for @p bytes; zero where its rate is not known.
    Duration timeFor(double bytes) const { return m_rate ? fromSeconds(bytes / *m_rate) : Duration::zero(); }
    /// Time that the link still needs for the bytes counted so far.
    Duration backlog(TimePoint now) const;

private:
    struct Flow {
        double finish = 0; ///< virtual finish time of the last grant, bytes
        std::size_t bytes = 0; ///< of the open request
    };
    struct Waiting {
        double start = 0; ///< virtual start time, bytes
        FlowId flow = 0;
        auto operator<=>(const Waiting &) const = default;
    };

    void occupy(double bytes, TimePoint now);
    TimePoint dueAt() const;

    std::optional<double> m_rate; ///< bytes per second
    TimePoint m_busyUntil; ///< when the link has sent the bytes counted so far
    TimePoint m_lastGrantAt;
    double m_virtualTime = 0; ///< bytes
    std::uint64_t m_sentBytes = 0;
    FlowId m_lastFlow = 0;
    std::map<FlowId, Flow> m_flows;
    std::set<Waiting> m_waiting;
};
}
