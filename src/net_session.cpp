#include "caller_session_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
constexpr Duration ProofCheckInterval = std::chrono::milliseconds(10);
constexpr Duration DeliveryCheckInterval = std::chrono::milliseconds(10);

const Refusal &requestTimedOut()
{
    static const Refusal refusal {408, "timeout", "the request came too slowly", std::nullopt, {}};
    return refusal;
}

const Refusal &headerTooLarge()
{
    static const Refusal refusal {431, "header-too-large", "the header is too large", std::nullopt, {}};
    return refusal;
}

const Refusal &malformedRequest()
{
    static const Refusal refusal {400, "bad-request", "the request is malformed", std::nullopt, {}};
    return refusal;
}

const Refusal &bodyTooLarge()
{
    static const Refusal refusal {413, "body-too-large", "the body is too large", std::nullopt, {}};
    return refusal;
}

const Refusal &malformedBody()
{
    static const Refusal refusal {400, "bad-request", "the body is malformed", std::nullopt, {}};
    return refusal;
}

std::string addressOf(const tcp::socket &socket)
{
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

}

CallerSession::CallerSession(TrafficThread &thread, tcp::socket socket)
    : m_thread(thread)
    , m_socket(std::move(socket))
    , m_exchangeEnded(m_socket.get_executor())
    , m_callerAddress(addressOf(m_socket))
    , m_bodyHeld(thread.memory())
{ }

CallerLimits CallerSession::limits() const
{
    const auto &compiled = m_thread.snapshot()->compiled;
    return compiled ? compiled->document->limits : CallerLimits {};
}

void CallerSession::enforceLimits(TimePoint now, const Snapshot &snapshot, bool closing)
{
    const bool callerClosed = m_pipeline.blind() && callerHasClosed();
    const std::size_t undelivered = m_pipeline.isShutDown() ? undeliveredBytes() : 0;
    apply(m_pipeline.check({now, closing, now >= snapshot.answerBy, callerClosed, undelivered}));
}

// Without a read only the state of the connection shows that the caller has left, since its unread requests come before the end.
bool CallerSession::callerHasClosed()
{
    pollfd descriptor {m_socket.native_handle(), POLLRDHUP, 0};
    return !m_socket.is_open() || (::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

std::size_t CallerSession::undeliveredBytes()
{
    int bytes = 0;
    const bool known = m_socket.is_open() && ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return known ? static_cast<std::size_t>(std::max(bytes, 0)) : 0;
}

// The idle timeout starts when the last answer has been sent.
boost::asio::awaitable<bool> CallerSession::waitForRequest()
{
    if (!m_pipeline.takesRequests()) {
        co_return false;
    }
    if (m_buffer.size() > 0) {
        co_return true;
    }
    m_pipeline.beginRead(Reading::NextRequest, m_exchanges.empty() ? RuntimeClock::now() + limits().idleTimeout : TimePoint::max());
    error_code error;
    const auto count = co_await m_socket.async_read_some(m_buffer.prepare(config::ReadBytes), readInto(error));
    m_buffer.commit(count);
    m_pipeline.endRead();
    if (count == 0 && m_pipeline.takesRequests() && !m_pipeline.readExpired()) {
        apply(m_pipeline.callerLeft());
    }
    co_return count > 0 && m_pipeline.takesRequests();
}

boost::asio::awaitable<void> CallerSession::refuse(const Refusal &refusal)
{
    ++m_thread.report().rejected[refusal.status];
    if (eventsEnabled()) {
        const auto id = m_parser->get().find(m_thread.dialect().requestId);
        Event event("traffic", "request-refused");
        event.add("id", id == m_parser->get().end() ? std::string_view() : std::string_view(id->value().data(), id->value().size()));
        event.add("status", static_cast<std::int64_t>(refusal.status)).add("reason", refusal.code);
        const auto &snapshot = *m_thread.snapshot();
        event.add("document", static_cast<std::int64_t>(snapshot.compiled ? snapshot.compiled->stamp.version : 0));
        event.add("keys_left_ms", std::min<Duration>(snapshot.trustedUntil - RuntimeClock::now(), std::chrono::hours(1)));
    }
    const ExchangePtr exchange = addExchange(false);
    bool sent = false;
    if (co_await waitForTurn(exchange)) {
        TargetAnswer answer = refusalAnswer(refusal, m_thread.dialect());
        sent = co_await sendAnswer(exchange, answer, false);
    }
    finish(exchange, sent);
}

boost::asio::awaitable<ReadResult> CallerSession::readHeader()
{
    const CallerLimits allowed = limits();
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(allowed.headerBytes));
    m_parser->body_limit(boost::none);
    m_pipeline.beginRead(Reading::Request, RuntimeClock::now() + allowed.headerTimeout);
    error_code error;
    co_await http::async_read_header(m_socket, m_buffer, *m_parser, readInto(error));
    m_pipeline.endRead();
    if (!error) {
        auto &header = m_parser->get().base();
        if (!header.target().starts_with('/')) {
            convertToOriginForm(header);
        }
        const auto refusal = checkFraming(header);
        if (refusal) {
            co_await refuse(*refusal);
            co_return ReadResult::Refused;
        }
        co_return ReadResult::Complete;
    }
    if (m_pipeline.readExpired()) {
        co_await refuse(requestTimedOut());
        co_return ReadResult::Refused;
    }
    if (error == http::error::header_limit) {
        co_await refuse(headerTooLarge());
        co_return ReadResult::Refused;
    }
    if (error == http::error::end_of_stream || error.category() == boost::asio::error::get_system_category()) {
        apply(m_pipeline.callerLeft());
        co_return ReadResult::Closed;
    }
    co_await refuse(malformedRequest());
    co_return ReadResult::Refused;
}

boost::asio::awaitable<void> CallerSession::refuseForMemory()
{
    ++m_thread.report().limits.refusedForMemory;
    co_await refuse(memoryShort());
}

// Small bodies are always taken.
bool CallerSession::memoryTakes(std::size_t bodyBytes) const
{
    return bodyBytes < config::LargeBytes || m_thread.memory().takesLarge(bodyBytes * config::RequestBodyCopies - m_bodyHeld.bytes());
}

// Reads the body and counts its bytes as they arrive, so that a body that is announced but not sent takes no memory.
boost::asio::awaitable<error_code> CallerSession::readHeldBody()
{
    error_code error;
    m_parser->eager(true);
    while (!error && !m_parser->is_done()) {
        co_await http::async_read_some(m_socket, m_buffer, *m_parser, readInto(error));
        const std::size_t bytes = m_parser->get().body().size();
        if (!error && !memoryTakes(bytes)) {
            co_return boost::asio::error::no_memory;
        }
        m_bodyHeld.set(bytes * config::RequestBodyCopies);
    }
    co_return error;
}

boost::asio::awaitable<ReadResult> CallerSession::readBody(std::size_t limit)
{
    const auto length = m_parser->content_length();
    if (length && *length > limit) {
        co_await refuse(bodyTooLarge());
        co_return ReadResult::Refused;
    }
    if (length && !memoryTakes(*length)) {
        co_await refuseForMemory();
        co_return ReadResult::Refused;
    }
    m_parser->body_limit(limit);
    if (!m_parser->is_done() && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue") && m_exchanges.empty()) {
        co_await send(Continue);
    }
    if (m_parser->is_done()) {
        co_return ReadResult::Complete;
    }
    m_pipeline.beginRead(Reading::Request, RuntimeClock::now() + config::BodyTimeout);
    const error_code error = co_await readHeldBody();
    m_pipeline.endRead();
    if (!error) {
        co_return ReadResult::Complete;
    }
    if (error == boost::asio::error::no_memory) {
        co_await refuseForMemory();
        co_return ReadResult::Refused;
    }
    if (m_pipeline.readExpired()) {
        co_await refuse(requestTimedOut());
        co_return ReadResult::Refused;
    }
    if (error == http::error::body_limit) {
        co_await refuse(bodyTooLarge());
        co_return ReadResult::Refused;
    }
    if (error == http::error::partial_message || error.category() == boost::asio::error::get_system_category()) {
        apply(m_pipeline.callerLeft());
        co_return ReadResult::Closed;
    }
    co_await refuse(malformedBody());
    co_return ReadResult::Refused;
}

bool CallerSession::holds(TimePoint arrivedAt) const
{
    const TimePoint now = RuntimeClock::now();
    return now < holdUntil(*m_thread.snapshot(), m_parser->get().base(), m_thread.dialect(), arrivedAt, now);
}

// Reads one request and starts to serve it. Returns false when the connection takes no further request.
boost::asio::awaitable<bool> CallerSession::readRequest()
{
    if (co_await readHeader() != ReadResult::Complete) {
        co_return false;
    }
    const TimePoint arrivedAt = RuntimeClock::now();
    if (arrivedAt >= m_thread.snapshot()->takeBy) {
        co_await refuse(stopping());
        co_return false;
    }
    AccessResult access = checkAccess(*m_thread.snapshot(), m_parser->get().base(), arrivedAt);
    while (std::holds_alternative<Refusal>(access) && holds(arrivedAt)) {
        co_await sleepFor(ProofCheckInterval);
        access = checkAccess(*m_thread.snapshot(), m_parser->get().base(), RuntimeClock::now());
    }
    if (const auto *refusal = std::get_if<Refusal>(&access)) {
        // The body has not been read, so it is unknown where the next request on the connection starts.
        co_await refuse(*refusal);
        co_return false;
    }
    if (co_await readBody(std::get<Access>(access).route.bodyLimit) != ReadResult::Complete) {
        co_return false;
    }
    if (!m_pipeline.mayAnswerMore()) {
        co_return false;
    }
    if (RuntimeClock::now() >= m_thread.snapshot()->takeBy) {
        co_await refuse(stopping());
        co_return false;
    }
    const bool keepAlive = m_parser->keep_alive() && m_pipeline.takesRequests();
    const ExchangePtr exchange = addExchange(keepAlive);
    exchange->access = std::get<Access>(access);
    exchange->held = std::exchange(m_bodyHeld, HeldBytes(m_thread.memory()));
    exchange->request = m_parser->release();
    exchange->keepAlive = keepAlive;
    boost::asio::co_spawn(m_socket.get_executor(), serve(exchange), boost::asio::detached);
    co_return keepAlive;
}

boost::asio::awaitable<void> CallerSession::serve(ExchangePtr exchange)
{
    const boost::intrusive_ptr<CallerSession> self(this);
    bool complete = false;
    try {
        complete = co_await answer(exchange);
    } catch (const std::exception &error) {
        logWarning(LogPart::Traffic, std::string("request aborted by an exception: ") + error.what());
    }
    if (!complete) {
        co_await waitUntilAnswersDelivered(exchange);
        apply(m_pipeline.reset());
    }
    finish(exchange, complete);
}

// A reset discards all that the kernel holds, also the answers to earlier requests.
boost::asio::awaitable<void> CallerSession::waitUntilAnswersDelivered(ExchangePtr exchange)
{
    if (exchange->state.callerDisconnected()) {
        co_return;
    }
    co_await waitForTurn(exchange);
    const TimePoint until = RuntimeClock::now() + config::BodyTimeout;
    while (!callerHasClosed() && !m_pipeline.delivered(undeliveredBytes()) && RuntimeClock::now() < until) {
        co_await sleepFor(DeliveryCheckInterval);
    }
}

// Returns false when the connection must be reset, so that the caller does not take a partial answer for a complete one.
boost::asio::awaitable<bool> CallerSession::answer(const ExchangePtr &exchange)
{
    Forwarder forwarder(m_thread, *exchange->access, exchange->request, m_callerAddress, sink(exchange), exchange->state);
    ForwardResult result = co_await forwarder.run();
    if (exchange->state.callerDisconnected() || std::holds_alternative<AbortCaller>(result)) {
        co_return false;
    }
    if (std::holds_alternative<StreamedAnswer>(result)) {
        const bool ended = co_await endStream();
        co_return ended;
    }
    if (!co_await waitForTurn(exchange)) {
        co_return false;
    }
    const bool keepAlive = m_pipeline.keepsAlive(exchange->number, leaving());
    const bool sent = co_await sendAnswer(exchange, std::get<TargetAnswer>(result), keepAlive);
    co_return sent;
}

boost::asio::awaitable<bool> CallerSession::waitForTurn(ExchangePtr exchange)
{
    while (m_pipeline.waits(exchange->number)) {
        error_code cancelled;
        co_await exchange->turnTimer.async_wait(errorInto(cancelled));
    }
    co_return m_socket.is_open() && m_pipeline.mayWrite(exchange->number);
}

void CallerSession::finish(const ExchangePtr &exchange, bool complete)
{
    apply(m_pipeline.finish(exchange->number, complete, RuntimeClock::now(), limits().idleTimeout));
    std::erase(m_exchanges, exchange);
    m_exchangeEnded.cancel();
}

boost::asio::awaitable<void> CallerSession::waitForExchanges(std::size_t maxExchanges)
{
    while (m_exchanges.size() > maxExchanges) {
        error_code cancelled;
        m_exchangeEnded.expires_at(TimePoint::max());
        co_await m_exchangeEnded.async_wait(errorInto(cancelled));
    }
}

// Runs after the last request has been read. Reads only to detect whether the caller closes its connection, and then cancels its running requests. Bytes
// received here belong to requests that are not served. They are discarded, and reading ends after config::MaxIgnoredBytes.
boost::asio::awaitable<void> CallerSession::watchForDisconnect()
{
    std::size_t ignored = 0;
    while (!m_exchanges.empty() && m_socket.is_open() && ignored < config::MaxIgnoredBytes) {
        m_buffer.clear();
        m_pipeline.beginRead(Reading::Ignored, TimePoint::max());
        error_code error;
        const auto count = co_await m_socket.async_read_some(m_buffer.prepare(config::ReadBytes), readInto(error));
        m_pipeline.endRead();
        ignored += count;
        if (error && !m_exchanges.empty() && error != boost::asio::error::operation_aborted) {
            apply(m_pipeline.callerLeft());
            break;
        }
    }
}

// Closing a socket that has unread bytes, or gets some later, resets the connection and discards what the caller has not received yet.
boost::asio::awaitable<void> CallerSession::closeGracefully()
{
    if (!m_socket.is_open()) {
        co_return;
    }
    error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    m_pipeline.shutDown(RuntimeClock::now());
    while (!error && !m_pipeline.readExpired()) { // a read that never has to wait can't be cancelled
        m_buffer.clear();
        co_await m_socket.async_read_some(m_buffer.prepare(config::ReadBytes), readInto(error));
    }
}

boost::asio::awaitable<void> CallerSession::run()
{
    bool continueReading = true;
    while (continueReading) {
        continueReading = co_await waitForRequest();
        if (continueReading) {
            continueReading = co_await readRequest();
        }
        if (continueReading) {
            // The end of the connection may be the end of the answer to a caller of HTTP/1.0, so no request is taken behind it.
            co_await waitForExchanges(m_exchanges.empty() || m_exchanges.back()->request.version() == 11 ? config::MaxPipelined : 0);
        }
    }
    co_await watchForDisconnect();
    co_await waitForExchanges(0);
    co_await closeGracefully();
}

const Refusal &memoryShort()
{
    static const Refusal refusal {503, "memory-short", "the daemon has no memory for a large request", RunOutcome::NotRun, config::RetryAfterFailure};
    return refusal;
}

const Refusal &stopping()
{
    static const Refusal refusal {503, "stopping", "the daemon is stopping and takes no further request", RunOutcome::NotRun, config::RetryAfterFailure};
    return refusal;
}

boost::asio::awaitable<void> runSession(TrafficThread &thread, tcp::socket socket)
{
    const boost::intrusive_ptr<CallerSession> session(new CallerSession(thread, std::move(socket)));
    thread.sessionStarted(*session);
    try {
        co_await session->run();
    } catch (const std::exception &error) {
        logWarning(LogPart::Traffic, std::string("caller connection closed by an exception: ") + error.what());
    }
    thread.sessionEnded();
}
}
