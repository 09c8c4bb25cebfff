#pragma once

#include "forward_p.h"

namespace plumsill
{
/// The attempts of one request that run side by side; outlives the request until the last of them has ended.
class RequestRace : public boost::intrusive_ref_counter<RequestRace, boost::thread_unsafe_counter>
{
public:
    RequestRace(TrafficThread &thread, const Access &access, ServiceName service, TargetRequest request, const AnswerSink *sink);

    /// Sends the request to the lease's target. When the attempt has ended, @p signal and the wait for a further target
    /// end too.
    void start(std::unique_ptr<TargetLease> lease, const RequestAttempts &attempts, bool targetsLeft, TimePoint deadline, RuntimeTimer &signal,
               AttemptHandle &waiting);
    bool hasEnded() const { return !m_ended.empty(); }
    /// Next attempt that has ended; null: none.
    boost::intrusive_ptr<RaceEntry> takeEnded();
    std::size_t running() const { return m_running.size(); }
    /// No answer is wanted any more: cancels what may be cancelled.
    void close();
    const TargetRequest &request() const { return m_request; }

private:
    boost::asio::awaitable<void> attempt(boost::intrusive_ptr<RaceEntry> entry, AttemptOptions options, TargetRequest request);
    AnswerSink sinkFor(const boost::intrusive_ptr<RaceEntry> &entry);
    void ended(const boost::intrusive_ptr<RaceEntry> &entry, const AttemptResult &result);
    void recordEvidence(RaceEntry &entry, const AttemptResult &result, Duration latency, Duration slowAfter, bool countedSlow);
    TargetEvidence &evidence(const TargetName &target);

    TrafficThread &m_thread;
    const ServiceName m_service;
    const bool m_idempotent;
    TargetRequest m_request;
    const AnswerSink *m_sink; ///< null once the race is closed
    const RaceEntry *m_streaming = nullptr; ///< whose answer goes to the caller
    RuntimeTimer *m_signal = nullptr; ///< null once the race is closed
    AttemptHandle *m_waiting = nullptr; ///< null once the race is closed
    std::vector<boost::intrusive_ptr<RaceEntry>> m_running;
    std::deque<boost::intrusive_ptr<RaceEntry>> m_ended;
};
}
