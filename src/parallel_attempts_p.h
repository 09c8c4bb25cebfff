#pragma once

#include "forward_p.h"

namespace plumsill
{
/// Concurrent attempts of one request (first attempt, retries and hedges). Lives until the last attempt has ended, which may be after the request was answered.
class ParallelAttempts : public boost::intrusive_ref_counter<ParallelAttempts, boost::thread_unsafe_counter>
{
public:
    ParallelAttempts(TrafficThread &thread, const Access &access, ServiceName service, TargetRequest request, AnswerSinkPtr sink, AnswerOwnershipPtr ownership);

    /// Sends the request to the lease's target. When the attempt ends, cancels @p wakeTimer to wake the forwarder up, and cancels the wait
    /// for another target by @p targetWait.
    void start(std::unique_ptr<TargetLease> lease, const RequestAttempts &attempts, bool hasUntriedTarget, TimePoint deadline, RuntimeTimer &wakeTimer,
               AttemptHandle &targetWait);
    bool hasEnded() const { return !m_ended.empty(); }
    /// Removes and returns the next attempt that has ended; null when there is none.
    boost::intrusive_ptr<AttemptEntry> takeEnded();
    std::size_t running() const { return m_running.size(); }
    /// Whether the answer of a running attempt has begun to arrive.
    bool answerBegun() const;
    /// Who writes the answer to the caller.
    const AnswerOwnership &ownership() const { return *m_ownership; }
    /// Abandons all running attempts, because no answer is needed any more. Attempts that cannot be cancelled run to their end.
    void close();
    const TargetRequest &request() const { return m_request; }

private:
    class AttemptSink;

    boost::asio::awaitable<void> attempt(boost::intrusive_ptr<AttemptEntry> entry, AttemptOptions options, TargetRequest request);
    void recordEnd(const boost::intrusive_ptr<AttemptEntry> &entry, const AttemptResult &result);
    void recordEvidence(AttemptEntry &entry, const AttemptResult &result, Duration latency, Duration slowAfter, bool countedSlow);
    TargetEvidence &evidence(const TargetName &target);

    TrafficThread &m_thread;
    const ServiceName m_service;
    const bool m_idempotent;
    TargetRequest m_request;
    AnswerSinkPtr m_sink; ///< null after close(), or when answers are not streamed
    const AnswerOwnershipPtr m_ownership;
    AttemptNumber m_started = 0; ///< number of attempts started
    RuntimeTimer *m_wakeTimer = nullptr; ///< null after close()
    AttemptHandle *m_targetWait = nullptr; ///< null after close()
    std::vector<boost::intrusive_ptr<AttemptEntry>> m_running;
    std::deque<boost::intrusive_ptr<AttemptEntry>> m_ended; ///< ended attempts whose results have not been taken
};
}
