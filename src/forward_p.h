#pragma once

#include "access_p.h"
#include "traffic_p.h"

#include <plumsill/answer_ownership.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace plumsill
{
using ForwardResult = std::variant<TargetAnswer, StreamedAnswer, AbortCaller>;

class ParallelAttempts;

/// One attempt of a request, from the lease of its target to its result.
struct AttemptEntry : boost::intrusive_ref_counter<AttemptEntry, boost::thread_unsafe_counter> {
    AttemptHandle handle;
    AttemptNumber number = 0;
    std::unique_ptr<TargetLease> lease;
    TimePoint startedAt;
    std::optional<AttemptResult> result; ///< empty while the attempt runs
};

/// State shared by a caller's connection and one of its requests.
class RequestState
{
public:
    RequestState(const boost::asio::any_io_executor &executor, AnswerOwnershipPtr ownership);
    ~RequestState();

    /// Reports that the caller closed its connection. Cancels the request, except for attempts that cannot be cancelled; these run to their end.
    void setCallerDisconnected();
    bool callerDisconnected() const { return m_callerDisconnected; }
    /// Ends the request with its final answer now, because the daemon is about to stop.
    void expire();

private:
    friend class Forwarder;
    const AnswerOwnershipPtr m_ownership; ///< who writes the answer
    RuntimeTimer m_wakeTimer; ///< cancelled to wake the forwarder up
    AttemptHandle m_targetWait; ///< cancels the wait for a target
    boost::intrusive_ptr<ParallelAttempts> m_parallelAttempts;
    bool m_callerDisconnected = false;
    bool m_expired = false;
    HeldBytes m_held; ///< memory of the answer, until it has been sent
};

/// Forwards one request to targets, with retries and hedges, and returns the caller's answer.
class Forwarder
{
public:
    Forwarder(TrafficThread &thread, const Access &access, const CallerRequest &request, const std::string &callerAddress, AnswerSinkPtr sink,
              RequestState &state);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    boost::asio::awaitable<ForwardResult> run();

private:
    /// Takes a token of the team's limit; returns a refusal when none can be had. Does nothing on open routes and where the scheduler counts tokens.
    boost::asio::awaitable<std::optional<Refusal>> admit();
    boost::asio::awaitable<ForwardResult> forward();
    /// Refusal of a request of large answers while the memory for them is short.
    std::optional<Refusal> checkMemory();
    /// Whether a hedge is worth the bytes that its answer takes on the link.
    bool hedgeIsWorthIt(TimePoint now);
    /// Gets a target for the next attempt.
    boost::asio::awaitable<DispatchResult> acquire();
    /// Waits until the request can be answered, or until another attempt (retry or hedge) is to be made. Returns nothing when another attempt is to be made.
    boost::asio::awaitable<std::optional<ForwardResult>> waitForNextStep();
    void start(std::unique_ptr<TargetLease> lease);
    /// Evaluates the result of an attempt. Returns the caller's answer, or nothing when another attempt is running or is to be made.
    std::optional<ForwardResult> handleAttemptEnd(AttemptResult &result);
    bool hasUntriedTarget() const;
    ForwardResult refuse(const Refusal &refusal);
    ForwardResult giveUp(const GiveUp &answer);
    ForwardResult answerWithoutTarget(const NoTarget &none);
    ForwardResult passOn(BufferedAnswer buffered);
    void logEnd(const ForwardResult &result) const;
    TrafficCounts &counts();

    TrafficThread &m_thread;
    const Access &m_access;
    RequestState &m_state;
    const TimePoint m_start;
    const TimePoint m_deadline;
    const ServiceName m_service;
    const RequestDigest m_digest;
    boost::intrusive_ptr<ParallelAttempts> m_parallelAttempts;
    RequestAttempts m_attempts;
    RetryBudget m_unlimitedBudget; ///< used instead of the service's retry budget where the scheduler limits repeats
    bool m_placed = false; ///< an attempt was placed
    std::vector<TargetName> m_tried; ///< targets of all attempts so far
    std::optional<BufferedAnswer> m_lastFailure; ///< newest answer by which a target reported a failure; sent to the caller when no further attempt can be made
    std::optional<TimePoint> m_hedgeAt; ///< time at which a hedge is due
    std::optional<CapacityReason> m_refusedFor; ///< why the scheduler assigned no target
    std::string m_reason; ///< reason of the result, for the log
    std::string m_endpoint; ///< endpoint of the last target
    Duration m_placementTime {}; ///< time spent on waits for targets
};
}
