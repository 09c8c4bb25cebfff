#include "upstream_p.h"

#include "answer_reader_p.h"
#include "session_p.h"

#include "clock_p.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace plumsill
{
using boost::system::error_code;

namespace
{
constexpr std::size_t MaxRefusedIds = 32; // a connection with more is not used again

// True when the connection is open and has no unread bytes. Bytes that arrive before the next request is sent belong to no request of this daemon, so a
// connection with unread bytes must not be reused.
bool isReadyForRequest(TargetConnection &connection)
{
    if (connection.buffer.size() != 0 || !connection.stream.socket().is_open()) {
        return false;
    }
    char byte = 0;
    const auto count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}

void AttemptHandle::abandon()
{
    m_abandoned = true;
    cancelWait();
    if (m_connection && m_cancellable) {
        m_connection->stream.close();
    }
}

void AttemptHandle::cancelWait()
{
    if (m_waitTimer != nullptr) {
        m_waitTimer->cancel();
    }
}

void AttemptHandle::attach(const boost::intrusive_ptr<TargetConnection> &connection, bool cancellable)
{
    m_connection = connection;
    m_cancellable = cancellable;
}

TargetPool::TargetPool(Endpoint endpoint, std::size_t connections, Duration connectTimeout)
    : m_endpoint(std::move(endpoint))
    , m_connections(connections)
    , m_connectTimeout(connectTimeout)
{ }

TargetPool::~TargetPool()
{
    while (!m_idle.empty()) {
        removeIdle(m_idle.front());
    }
}

void TargetPool::removeIdle(TargetConnection &connection)
{
    m_idle.erase(m_idle.iterator_to(connection));
    intrusive_ptr_release(&connection);
}

void TargetPool::addIdle(const Connection &connection, TimePoint now)
{
    connection->facts.lastAnswerAt = now;
    connection->kept = true;
    intrusive_ptr_add_ref(connection.get());
    m_idle.push_front(*connection);
}

TargetPool::Connection TargetPool::takeIdle(const TargetRequest &request, const AttemptOptions &options, TimePoint now)
{
    // On a connection that has carried another request, only the id tells whose answer arrives.
    if (options.dialect->acceptsStrayAnswers && request.find(options.dialect->requestId) == request.end()) {
        return {};
    }
    const std::string_view id = request[options.dialect->requestId];
    while (!m_idle.empty()) {
        Connection connection(&m_idle.front());
        // A refusal that the target writes once more would be taken for that of the same request, sent again by its caller.
        const auto &refused = connection->refusedIds;
        if (std::find(refused.begin(), refused.end(), id) != refused.end()) {
            return {};
        }
        if (!reusable(connection->facts, options.idempotent, m_suspectBefore, now)) {
            // The list begins with the most recently used connection. If that one is not reusable, the others, which have been
            // idle for longer, are not tried. closeStale() closes those that must not carry any further request.
            return {};
        }
        removeIdle(*connection);
        if (isReadyForRequest(*connection)) {
            return connection;
        }
    }
    return {};
}

void TargetPool::closeStale(TimePoint now)
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        auto &connection = *entry;
        ++entry;
        if (!reusable(connection.facts, true, m_suspectBefore, now)) {
            removeIdle(connection);
        }
    }
}

void TargetPool::recordNoAnswer(TimePoint now)
{
    m_suspectBefore = suspectAfterNoAnswer(m_lastAnswerAt, now);
    closeStale(now);
}

boost::asio::awaitable<TargetPool::Connection> TargetPool::open(const AttemptOptions &options, AttemptFailure &failure)
{
    const Connection connection(new TargetConnection(co_await boost::asio::this_coro::executor));
    if (options.handle != nullptr) {
        options.handle->attach(connection, true);
    }
    const Endpoint &endpoint = options.tunnel ? options.tunnel->helper.peer : m_endpoint;
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(endpoint.address), endpoint.port);
    // The helper answers within the time that it has for its own connection.
    connection->stream.expiresAfter(std::min<Duration>(options.timeout, options.tunnel ? 2 * m_connectTimeout : m_connectTimeout));
    error_code error;
    co_await connection->stream.socket().async_connect(address, errorInto(error));
    if (error) {
        failure = options.tunnel ? AttemptFailure::HelperUnavailable : AttemptFailure::ConnectFailed;
        co_return Connection();
    }
    if (options.tunnel) {
        const bool opened = co_await openTunnel(connection, options.tunnel, failure);
        if (!opened) {
            co_return Connection();
        }
    }
    connection->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
    connection->facts.openedAt = RuntimeClock::now();
    connection->facts.lastAnswerAt = connection->facts.openedAt;
    co_return connection;
}

boost::asio::awaitable<bool> TargetPool::openTunnel(const Connection &connection, const TunnelTicketPtr &ticket, AttemptFailure &failure)
{
    const TunnelStatus status = co_await requestTunnel(connection->stream.socket(), *ticket);
    if (status == TunnelStatus::Open) {
        co_return true;
    }
    failure = status == TunnelStatus::Unreachable ? AttemptFailure::ConnectFailed : AttemptFailure::HelperUnavailable;
    co_return false;
}

// Closes idle connections while the pool has more than m_connections connections, active and idle together. Begins with the one idle for longest.
void TargetPool::closeExcessIdle()
{
    while (!m_idle.empty() && m_active + m_idle.size() > m_connections) {
        removeIdle(m_idle.back());
    }
}

boost::asio::awaitable<AttemptResult> TargetPool::attempt(const TargetRequest &request, AttemptOptions options)
{
    static const Dialect defaultDialect;
    options.dialect = options.dialect == nullptr ? &defaultDialect : options.dialect;
    const TimePoint start = RuntimeClock::now();
    Connection connection = takeIdle(request, options, start);
    ++m_active;
    closeExcessIdle();
    if (!connection) {
        AttemptFailure failure = AttemptFailure::ConnectFailed;
        connection = co_await open(options, failure);
        if (!connection) {
            --m_active;
            co_return FailedAttempt {{failure, AttemptProgress::NothingSent}, std::nullopt, {}, {}};
        }
    }
    options.timeout = std::max<Duration>(options.timeout - (RuntimeClock::now() - start), std::chrono::milliseconds(1));
    AttemptResult result = co_await attemptOn(connection, request, options);
    --m_active;
    co_return result;
}

// Reads the answer while the request is still being sent, since a target may answer before it has read a long body. The write may still be running
// when the answer has been read, so the handler of the write shares ownership of the connection and the bytes.
boost::asio::awaitable<AttemptResult> TargetPool::exchange(const Connection &connection, const TargetRequest &request, const AttemptOptions &options,
                                                           bool &reuse)
{
    const auto text = std::make_shared<const std::string>(wireText(request));
    connection->writing = true;
    error_code error;
    std::size_t sent = 0;
    connection->stream.socket().non_blocking(true, error);
    if (!error) {
        sent = connection->stream.socket().write_some(boost::asio::buffer(*text), error);
    }
    if (error && error != boost::asio::error::would_block) {
        co_return FailedAttempt {{AttemptFailure::ConnectionLost, AttemptProgress::Sent}, std::nullopt, {}, {}};
    }
    connection->writing = sent < text->size();
    if (connection->writing) {
        boost::asio::async_write(connection->stream, boost::asio::buffer(*text) + sent, [connection, text](const error_code &failed, std::size_t) {
            connection->writing = false;
            connection->facts.broken = connection->facts.broken || failed;
        });
    }
    AnswerReader reader(*connection, request, options);
    AttemptResult result = co_await reader.read();
    reuse = reader.keepAlive() && connection->buffer.size() == 0 && !connection->writing && !connection->facts.broken;
    if (connection->writing) {
        connection->stream.close();
    }
    co_return result;
}

boost::asio::awaitable<AttemptResult> TargetPool::attemptOn(const Connection &connection, const TargetRequest &request, AttemptOptions options)
{
    if (options.handle != nullptr) {
        if (options.handle->abandoned()) {
            co_return FailedAttempt {{AttemptFailure::ConnectionLost, AttemptProgress::NothingSent}, std::nullopt, {}, {}};
        }
        options.handle->attach(connection, options.idempotent);
    }
    connection->stream.expiresAfter(options.timeout);
    bool reuse = false;
    AttemptResult result = co_await exchange(connection, request, options, reuse);
    const TimePoint now = RuntimeClock::now();
    if (options.handle != nullptr) {
        options.handle->detach();
    }
    const auto *failed = std::get_if<FailedAttempt>(&result);
    const bool answered = failed == nullptr || failed->answer || failed->failed.progress == AttemptProgress::NotRun;
    if (!answered) {
        if (failed->failed.failure == AttemptFailure::TimedOut) {
            recordNoAnswer(now);
        }
        co_return result;
    }
    m_lastAnswerAt = now;
    if (failed != nullptr && failed->failed.progress == AttemptProgress::NotRun) {
        connection->refusedIds.emplace_back(std::string_view(request[options.dialect->requestId]));
    }
    if (reuse && connection->refusedIds.size() < MaxRefusedIds) {
        connection->stream.expiresNever();
        addIdle(connection, now);
    }
    co_return result;
}
}
