#pragma once

#include "socket_p.h"
#include "tunnel_p.h"

#include <plumsill/attempt.h>
#include <plumsill/config.h>
#include <plumsill/dialect.h>
#include <plumsill/memory_budget.h>
#include <plumsill/types.h>
#include <plumsill/zone_messages.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <optional>
#include <string_view>
#include <variant>

namespace plumsill
{
using TargetRequest = boost::beast::http::request<boost::beast::http::string_body>;
using TargetAnswer = boost::beast::http::response<boost::beast::http::string_body>;
using AnswerHeader = boost::beast::http::response_header<>;

/// Receives an answer that is too large to be buffered completely. Owned by all that may still write, since an attempt can outlast its request. Both
/// functions return false when the answer can no longer be delivered.
class AnswerSink : public boost::intrusive_ref_counter<AnswerSink, boost::thread_unsafe_counter>
{
public:
    virtual ~AnswerSink() = default;
    virtual boost::asio::awaitable<bool> begin(const AnswerHeader &header, std::uint64_t contentLength, bool chunked) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
};

using AnswerSinkPtr = boost::intrusive_ptr<AnswerSink>;

/// What became of a request at its target.
enum class RunEnd : std::uint8_t
{
    Unknown,
    Answered, ///< the target ran the request and answered it completely
    ConnectionLost, ///< the connection ended before the complete answer
};

/// What the end of an attempt says of its target.
struct TargetNotice {
    bool leaving = false;
    LimitStatement limit;
    Duration rest {}; ///< time for which the target wants no request from this daemon
    RunEnd run = RunEnd::Unknown;
};

/// A complete answer in memory.
struct BufferedAnswer {
    TargetAnswer answer;
    TargetNotice notice;
    HeldBytes held {}; ///< memory of the answer's body
};

/// A complete answer was streamed through the sink.
struct StreamedAnswer {
    TargetNotice notice;
};

/// The attempt failed. After a server error, @p answer is the target's own answer. The same holds when the target shed the request (refused it because of
/// load), unless the answer had the dialect's notExecuted field.
struct FailedAttempt {
    AttemptFailed failed;
    std::optional<BufferedAnswer> answer;
    Duration retryAfter {};
    TargetNotice notice;
};

using AttemptResult = std::variant<BufferedAnswer, StreamedAnswer, FailedAttempt>;

/// One connection to a target; carries one request at a time.
struct TargetConnection : boost::intrusive_ref_counter<TargetConnection, boost::thread_unsafe_counter>, boost::intrusive::list_base_hook<> {
    explicit TargetConnection(const TimedSocket::executor_type &executor)
        : stream(executor)
    { }
    TimedSocket stream;
    boost::beast::flat_buffer buffer {config::MaxUnparsedAnswerBytes};
    ConnectionFacts facts;
    bool writing = false; ///< the request is still being sent
    bool kept = false; ///< has carried an earlier request
    std::vector<std::string> refusedIds; ///< of the requests that the target refused on this connection
};

/// Cancels an attempt, or the wait for a target. Shared by the caller's session and the running attempt.
class AttemptHandle
{
public:
    /// Marks the answer as no longer needed. Cancels the attempt when it is idempotent or still connecting; otherwise it runs to its end.
    void abandon();
    bool abandoned() const { return m_abandoned; }
    /// Ends the wait for a target, if there is one.
    void cancelWait();
    /// Sets the timer of the wait for a target. Cancelling this timer ends the wait. Null: there is no wait.
    void setWaitTimer(RuntimeTimer *timer) { m_waitTimer = timer; }
    /// Sets the connection of the running attempt. @p cancellable: abandon() may close it.
    void attach(const boost::intrusive_ptr<TargetConnection> &connection, bool cancellable);
    void detach() { m_connection.reset(); }
    /// Marks that the target's answer has begun to arrive.
    void setAnswerBegun() { m_answerBegun = true; }
    bool answerBegun() const { return m_answerBegun; }

private:
    boost::intrusive_ptr<TargetConnection> m_connection;
    RuntimeTimer *m_waitTimer = nullptr;
    bool m_cancellable = true;
    bool m_abandoned = false;
    bool m_answerBegun = false;
};

/// Options of one attempt.
struct AttemptOptions {
    bool idempotent = false;
    Duration timeout {};
    AnswerSinkPtr sink; ///< receives a large answer; null: all answers are buffered
    AttemptHandle *handle = nullptr; ///< cancels the attempt; may be null
    const Dialect *dialect = nullptr; ///< null: the default dialect
    TunnelTicketPtr tunnel; ///< opens connections through another daemon; null: directly
    MemoryBudget *memory = nullptr; ///< counts the bytes of the answer; may be null
    std::uint64_t *streamedForMemory = nullptr; ///< counts answers that are streamed because memory is short; may be null
};

/// Connections of one traffic thread to one target.
class TargetPool
{
public:
    /// @p connections: maximum number of open connections, including idle ones. @p connectTimeout: maximum time to open a connection.
    TargetPool(Endpoint endpoint, std::size_t connections, Duration connectTimeout = config::ConnectTimeout);
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /// Sends @p request once and reads the answer.
    boost::asio::awaitable<AttemptResult> attempt(const TargetRequest &request, AttemptOptions options);
    const Endpoint &endpoint() const { return m_endpoint; }
    /// Closes idle connections that must not carry another request.
    void closeStale(TimePoint now);
    /// True when the pool has no connection.
    bool unused() const { return m_active == 0 && m_idle.empty(); }

private:
    using Connection = boost::intrusive_ptr<TargetConnection>;
    using IdleList = boost::intrusive::list<TargetConnection>;

    Connection takeIdle(const TargetRequest &request, const AttemptOptions &options, TimePoint now);
    void addIdle(const Connection &connection, TimePoint now);
    void removeIdle(TargetConnection &connection);
    void recordNoAnswer(TimePoint now);
    boost::asio::awaitable<Connection> open(const AttemptOptions &options, AttemptFailure &failure);
    /// Asks the helper for a tunnel on a connection to it; returns false and sets @p failure where there is none.
    static boost::asio::awaitable<bool> openTunnel(const Connection &connection, const TunnelTicketPtr &ticket, AttemptFailure &failure);

    static boost::asio::awaitable<AttemptResult> exchange(const Connection &connection, const TargetRequest &request, const AttemptOptions &options,
                                                          bool &reuse);
    boost::asio::awaitable<AttemptResult> attemptOn(const Connection &connection, const TargetRequest &request, AttemptOptions options);
    void closeExcessIdle();

    Endpoint m_endpoint;
    const std::size_t m_connections;
    const Duration m_connectTimeout;
    std::size_t m_active = 0; ///< connections that carry a request or are being opened
    IdleList m_idle; ///< ordered by their last answers, newest first; each entry holds a reference to its connection
    std::optional<TimePoint> m_lastAnswerAt; ///< time of the target's last answer
    std::optional<TimePoint> m_suspectBefore; ///< connections opened before this time may be lost and are not trusted
};
}
