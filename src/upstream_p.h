#pragma once

#include "socket_p.h"

#include <plumsill/attempt.h>
#include <plumsill/config.h>
#include <plumsill/dialect.h>
#include <plumsill/types.h>

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

/// Takes an answer that is too large to be held until it is whole.
struct AnswerSink {
    std::function<boost::asio::awaitable<bool>(const AnswerHeader &header, std::uint64_t contentLength, bool chunked)> begin;
    std::function<boost::asio::awaitable<bool>(std::string_view bytes)> write;
};

/// The whole answer, held in memory.
struct HeldAnswer {
    TargetAnswer answer;
    bool targetLeaving = false;
};

/// The whole answer went through the sink.
struct StreamedAnswer {
    bool targetLeaving = false;
};

/// The attempt failed; a shed or server error brings the target's own answer.
struct FailedAttempt {
    AttemptFailed failed;
    std::optional<HeldAnswer> answer;
    Duration retryAfter {};
};

using AttemptResult = std::variant<HeldAnswer, StreamedAnswer, FailedAttempt>;

/// One connection to a target; carries one request at a time.
struct TargetConnection : boost::intrusive_ref_counter<TargetConnection, boost::thread_unsafe_counter>, boost::intrusive::list_base_hook<> {
    explicit TargetConnection(const TimedSocket::executor_type &executor)
        : stream(executor)
    { }
    TimedSocket stream;
    boost::beast::flat_buffer buffer;
    ConnectionFacts facts;
    bool writing = false; ///< a request is still being sent
};

/// The part of a request that its caller's connection can end: shared by the session and the running attempt.
class AttemptHandle
{
public:
    /// Nobody waits for the answer any more: an idempotent attempt is cancelled, any other is let run to its end.
    void abandon();
    bool abandoned() const { return m_abandoned; }
    /// Ends the wait for a target, if one is under way.
    void interrupt();
    /// Timer of the wait for a target, which the caller's leaving ends; null: none.
    void setWaiting(RuntimeTimer *timer) { m_waiting = timer; }
    void attach(const boost::intrusive_ptr<TargetConnection> &connection, bool cancellable);
    void detach() { m_connection.reset(); }

private:
    boost::intrusive_ptr<TargetConnection> m_connection;
    RuntimeTimer *m_waiting = nullptr;
    bool m_cancellable = true;
    bool m_abandoned = false;
};

/// How one attempt is to be made.
struct AttemptOptions {
    bool idempotent = false;
    Duration timeout {};
    const AnswerSink *sink = nullptr;
    AttemptHandle *handle = nullptr;
    const Dialect *dialect = nullptr;
};

/// Connections of one traffic thread to one target.
class TargetPool
{
public:
    /// @p connections: most connections at once, idle ones included. @p connectTimeout: longest wait for a new one.
    TargetPool(Endpoint endpoint, std::size_t connections, Duration connectTimeout = config::ConnectTimeout);
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /// Sends @p request once and reads its answer.
    boost::asio::awaitable<AttemptResult> attempt(const TargetRequest &request, AttemptOptions options);
    const Endpoint &endpoint() const { return m_endpoint; }
    /// Closes idle connections that may carry no more requests.
    void closeStale(TimePoint now);
    bool unused() const { return m_active == 0 && m_idle.empty(); }

private:
    using Connection = boost::intrusive_ptr<TargetConnection>;
    using IdleList = boost::intrusive::list<TargetConnection>;

    Connection takeIdle(bool idempotent, TimePoint now);
    void keep(const Connection &connection, TimePoint now);
    void drop(TargetConnection &connection);
    void recordNoAnswer(TimePoint now);
    boost::asio::awaitable<Connection> open(Duration timeout, AttemptHandle *handle, AttemptFailure &failure);

    static boost::asio::awaitable<AttemptResult> exchange(const Connection &connection, const TargetRequest &request, const AttemptOptions &options,
                                                          bool &reuse);
    boost::asio::awaitable<AttemptResult> attemptOn(const Connection &connection, const TargetRequest &request, AttemptOptions options);
    void makeRoom();

    Endpoint m_endpoint;
    const std::size_t m_connections;
    const Duration m_connectTimeout;
    std::size_t m_active = 0; ///< connections that carry a request or are being opened
    IdleList m_idle; // newest answer first; each holds one count
    std::optional<TimePoint> m_lastAnswerAt;
    std::optional<TimePoint> m_suspectBefore;
};
}
