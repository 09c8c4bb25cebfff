#pragma once

#include <plumsill/answer_ownership.h>
#include <plumsill/clock.h>

#include <cstddef>
#include <deque>
#include <variant>
#include <vector>

/// Answers on one caller's connection: whose turn it is, who may write, and what ends the connection. The table of states and events is in
/// docs/design/answers.md.
namespace plumsill
{
/// Number of a request on its connection, in the order of arrival.
using RequestNumber = std::uint64_t;

/// Ends the pending read. A pending write goes on.
struct CancelRead {
    auto operator<=>(const CancelRead &) const = default;
};

/// Closes the connection by a reset, so that its caller takes no partial answer for a complete one.
struct ResetConnection {
    auto operator<=>(const ResetConnection &) const = default;
};

/// The request no longer waits for its turn.
struct WakeRequest {
    RequestNumber request = 0;

    auto operator<=>(const WakeRequest &) const = default;
};

/// The caller has left: the request gives back all that it holds.
struct AbandonRequest {
    RequestNumber request = 0;

    auto operator<=>(const AbandonRequest &) const = default;
};

/// The daemon is about to stop: a request without an answer gets its last one now.
struct ExpireRequest {
    RequestNumber request = 0;

    auto operator<=>(const ExpireRequest &) const = default;
};

using PipelineEffect = std::variant<CancelRead, ResetConnection, WakeRequest, AbandonRequest, ExpireRequest>;
using PipelineEffects = std::vector<PipelineEffect>;

/// What a connection reads.
enum class Reading : std::uint8_t
{
    Nothing,
    NextRequest, ///< waits for the first byte of a request
    Request, ///< a header or a body
    Ignored, ///< bytes behind the last request, read to notice that the caller leaves
};

/// State of a connection and its daemon at a periodic check.
struct PipelineCheck {
    TimePoint now;
    bool stopping = false; ///< connections take no further request
    bool answersDue = false; ///< all requests are to be answered now
    bool callerClosed = false; ///< asked while blind()
    std::size_t undeliveredBytes = 0; ///< not acknowledged by the caller's end; asked while shutDown()

    auto operator<=>(const PipelineCheck &) const = default;
};

/// Decides on the answers of one connection. Events are told to it; what they entail is returned, and carried out by the session.
class AnswerPipeline
{
public:
    /// A request was read, or is refused. Without @p keepAlive no further request is read.
    RequestNumber add(bool keepAlive);
    /// The request's answer was written completely or is given up. The idle time of the connection begins with its last answer.
    PipelineEffects finish(RequestNumber request, bool complete, TimePoint now, Duration idleTimeout);
    std::size_t size() const { return m_requests.size(); }
    AnswerOwnershipPtr ownership(RequestNumber request) const;
    /// Whether an answer has to wait for those before it.
    bool waits(RequestNumber request) const;
    /// Whether it is the request's turn on a connection that still takes bytes.
    bool mayWrite(RequestNumber request) const;
    /// Whether the connection goes on after the answer to @p request; when not, no further request is read.
    bool keepsAlive(RequestNumber request, bool leaving);

    void beginRead(Reading what, TimePoint deadline);
    void endRead();
    /// Whether the last read was cancelled by its deadline or a planned stop.
    bool readExpired() const { return m_readExpired; }
    /// Whether no read is running that would show that the caller has left.
    bool blind() const { return m_reading == Reading::Nothing && !m_requests.empty(); }
    bool takesRequests() const { return m_takesRequests; }
    /// Whether the caller still waits for an answer to a request that has been read: no answer has announced the end of the connection.
    bool mayAnswerMore() const { return !m_callerLeft && !m_endAnnounced; }
    void takeNoRequests() { m_takesRequests = false; }

    /// A write waits for its caller until @p deadline.
    void beginWrite(TimePoint deadline) { m_writeDeadline = deadline; }
    void endWrite() { m_writeDeadline = TimePoint::max(); }
    /// The kernel has taken @p bytes.
    void written(std::size_t bytes) { m_writtenBytes += bytes; }
    /// Whether the caller has all complete answers, by what the kernel still holds.
    bool delivered(std::size_t undeliveredBytes) const { return m_writtenBytes - undeliveredBytes >= m_answeredBytes; }

    /// All answers have been written; the rest of the time goes into their delivery.
    void shutDown(TimePoint now);
    bool isShutDown() const { return m_shutDown; }
    PipelineEffects check(const PipelineCheck &check);
    PipelineEffects callerLeft();
    /// Gives the connection up.
    PipelineEffects reset();

private:
    struct Entry {
        RequestNumber number = 0;
        bool keepAlive = false;
        AnswerOwnershipPtr ownership;
    };

    const Entry *find(RequestNumber request) const;

    std::deque<Entry> m_requests; ///< in the order of their answers
    RequestNumber m_last = 0;
    Reading m_reading = Reading::Nothing;
    TimePoint m_readDeadline = TimePoint::max();
    TimePoint m_writeDeadline = TimePoint::max();
    std::uint64_t m_writtenBytes = 0; ///< taken by the kernel
    std::uint64_t m_answeredBytes = 0; ///< m_writtenBytes at the end of the last complete answer
    bool m_readExpired = false;
    bool m_takesRequests = true;
    bool m_endAnnounced = false; ///< an answer was the last one of the connection, as its head says
    bool m_callerLeft = false;
    bool m_shutDown = false;
};
}
