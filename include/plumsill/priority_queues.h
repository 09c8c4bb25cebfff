#pragma once

#include <plumsill/fairqueue.h>
#include <plumsill/service_rate.h>

#include <map>
#include <optional>
#include <vector>

namespace plumsill
{
/// Work per second that arrives at one priority, averaged with exponential decay.
class ArrivalRate
{
public:
    /// Counts a request with that work.
    void add(double work, TimePoint now);
    /// Work per second.
    double value(TimePoint now) const;

private:
    double m_rate = 0;
    TimePoint m_at;
};

/// Requests of one service that wait for a target: a FairQueue for each priority. They are served by strict priority, except that each
/// priority gets at least config::MinPriorityShare of the served work while requests of it wait.
class PriorityQueues
{
public:
    /// @p limit: maximum number of queued requests of one priority, above 0.
    explicit PriorityQueues(std::size_t limit);

    /// Records the arrival of a new request, whether it has to wait or not.
    void recordArrival(unsigned priority, double work, TimePoint now);
    /// Queues a request, or refuses it if its queue is full or its expected wait ends after its deadline. @p assumedRate: see
    /// ServiceRate::value().
    QueueResult push(unsigned priority, const QueuedRequest &request, double assumedRate, TimePoint now);
    /// Removes and returns the next request to serve, of priority @p lowest or higher, or of a lower one that has got less than its minimum share.
    std::optional<QueuedRequest> pop(unsigned lowest, TimePoint now);
    /// Records that a request got a slot that others waited for.
    void recordServed(double work, TimePoint now) { m_rate.recordServed(work, now); }
    /// FairQueue::expire() of one priority.
    std::vector<std::uint64_t> expire(unsigned priority, TimePoint now);
    /// Removes a request whose caller cancelled it.
    void remove(std::uint64_t id);

    bool empty() const;
    /// Whether requests of this or a higher priority wait.
    bool waiting(unsigned priority) const;
    /// All priorities with a queue, the highest first.
    std::vector<unsigned> priorities() const;
    /// Number of waiting requests of the priority.
    std::size_t size(unsigned priority) const;
    /// Estimated time until the request would get a slot: work that waits at its priority and above, at the rate that work of higher priorities that
    /// is still to arrive leaves over; zero if no such work waits, or while the rate is unknown.
    Duration expectedWait(unsigned priority, const QueuedRequest &request, double assumedRate, TimePoint now) const;
    /// Time in which the service takes that work of this priority; zero while the rate is unknown.
    Duration timeFor(double work, unsigned priority, double assumedRate, TimePoint now) const;
    /// Requests per second that arrive at the priorities above this one.
    double requestsAbove(unsigned priority, TimePoint now) const;

private:
    struct Arrivals {
        ArrivalRate requests;
        ArrivalRate work;
    };
    double workAbove(unsigned priority, TimePoint now) const;
    void settle(TimePoint now);

    const std::size_t m_limit;
    std::map<unsigned, FairQueue> m_queues; ///< by priority
    std::map<unsigned, Arrivals> m_arrivals; ///< by priority
    std::map<unsigned, double> m_owed; ///< work that a waiting priority has got too little by its minimum share
    ServiceRate m_rate;
    TimePoint m_now; ///< time of the last call
};
}
