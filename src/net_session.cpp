#include "session_p.h"

#include "forward_p.h"
#include "traffic_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <deque>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
constexpr Duration ProofCheckInterval = std::chrono::milliseconds(10);

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
constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Result of reading a request or a part of it.
enum class ReadResult : std::uint8_t
{
    Complete,
    Closed, ///< the caller closed the connection; no answer is sent
    Refused, ///< the request was refused; the connection takes no further request
};

/// One request on a caller's connection, from its header to its answer.
struct Exchange : boost::intrusive_ref_counter<Exchange, boost::thread_unsafe_counter> {
    explicit Exchange(const boost::asio::any_io_executor &executor)
        : state(executor)
        , turnTimer(executor)
    { }
    std::optional<Access> access;
    CallerRequest request;
    RequestState state;
    RuntimeTimer turnTimer; ///< cancelled when all answers before this one have been written
    bool keepAlive = false;
};

using ExchangePtr = boost::intrusive_ptr<Exchange>;

/// Reads the pipelined requests of one connection, serves them concurrently and sends the answers in the order of the requests.
class CallerSession : public boost::intrusive_ref_counter<CallerSession, boost::thread_unsafe_counter>, public SessionBase
{
public:
    CallerSession(TrafficThread &thread, tcp::socket socket)
        : m_thread(thread)
        , m_socket(std::move(socket))
        , m_exchangeEnded(m_socket.get_executor())
        , m_callerAddress(addressOf(m_socket))
    { }

    boost::asio::awaitable<void> run();
    void enforceLimits(TimePoint now, const Snapshot &snapshot, bool closing) override;

private:
    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<bool> readRequest();
    boost::asio::awaitable<ReadResult> readHeader();
    boost::asio::awaitable<ReadResult> readBody(std::size_t limit);
    boost::asio::awaitable<void> waitForExchanges(std::size_t maxExchanges);
    boost::asio::awaitable<void> serve(ExchangePtr exchange);
    boost::asio::awaitable<bool> answer(const ExchangePtr &exchange);
    boost::asio::awaitable<void> refuse(const Refusal &refusal);
    boost::asio::awaitable<bool> waitForTurn(const ExchangePtr &exchange);
    boost::asio::awaitable<bool> sendAnswer(TargetAnswer &answer, bool keepAlive);
    boost::asio::awaitable<bool> send(std::string_view bytes);
    AnswerSink sink(const ExchangePtr &exchange);
    boost::asio::awaitable<bool> beginStream(const ExchangePtr &exchange, const AnswerHeader &header, std::uint64_t length, bool chunked);
    boost::asio::awaitable<bool> writeStream(std::string_view bytes);
    boost::asio::awaitable<void> watchForDisconnect();
    boost::asio::awaitable<void> closeGracefully();
    void finish(const ExchangePtr &exchange);
    void stopReading();
    void handleCallerDisconnect();
    void abortConnection();
    bool leaving() const { return m_thread.snapshot()->leaving; }
    CallerLimits limits() const;

    TrafficThread &m_thread;
    tcp::socket m_socket;
    RuntimeTimer m_exchangeEnded; ///< cancelled when an exchange ends
    const std::string m_callerAddress;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::deque<ExchangePtr> m_exchanges; ///< in the order of their requests
    TimePoint m_readDeadline = TimePoint::max();
    TimePoint m_writeDeadline = TimePoint::max();
    bool m_idle = false; ///< the session waits for the first byte of a request
    bool m_readExpired = false; ///< the read was cancelled because its deadline passed or the daemon is stopping
    bool m_closing = false; ///< no further request is read
    bool m_streamChunked = false; ///< the streamed answer uses chunked transfer coding
};

CallerLimits CallerSession::limits() const
{
    const auto &compiled = m_thread.snapshot()->compiled;
    return compiled ? compiled->document->limits : CallerLimits {};
}

// When the write deadline has passed, the connection is reset. When the read deadline has passed, all operations of the socket are cancelled,
// including a pending write. A caller that sends a request too slowly therefore does not get the rest of an earlier answer either.
void CallerSession::enforceLimits(TimePoint now, const Snapshot &snapshot, bool closing)
{
    error_code ignored;
    if (now >= snapshot.answerBy) {
        for (const auto &exchange : m_exchanges) {
            exchange->state.expire();
        }
    }
    const bool stopsReading = closing && m_idle && !m_closing;
    m_closing = m_closing || closing;
    if (now >= m_writeDeadline) {
        abortConnection();
    } else if (now >= m_readDeadline || stopsReading) {
        m_readExpired = true;
        m_readDeadline = TimePoint::max();
        m_socket.cancel(ignored);
    }
}

// The idle timeout starts when the last answer has been sent.
boost::asio::awaitable<bool> CallerSession::waitForRequest()
{
    if (m_closing) {
        co_return false;
    }
    if (m_buffer.size() > 0) {
        co_return true;
    }
    m_idle = true;
    m_readExpired = false;
    m_readDeadline = m_exchanges.empty() ? RuntimeClock::now() + limits().idleTimeout : TimePoint::max();
    error_code error;
    const auto count = co_await m_socket.async_read_some(m_buffer.prepare(config::ReadBytes), errorInto(error));
    m_buffer.commit(count);
    m_idle = false;
    m_readDeadline = TimePoint::max();
    if (count == 0 && !m_closing && !m_readExpired) {
        handleCallerDisconnect();
    }
    co_return count > 0 && !m_closing;
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
    const ExchangePtr exchange(new Exchange(m_socket.get_executor()));
    m_exchanges.push_back(exchange);
    m_closing = true;
    if (co_await waitForTurn(exchange)) {
        TargetAnswer answer = refusalAnswer(refusal, m_thread.dialect());
        co_await sendAnswer(answer, false);
    }
    finish(exchange);
}

boost::asio::awaitable<ReadResult> CallerSession::readHeader()
{
    const CallerLimits allowed = limits();
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(allowed.headerBytes));
    m_parser->body_limit(boost::none);
    m_readExpired = false;
    m_readDeadline = RuntimeClock::now() + allowed.headerTimeout;
    error_code error;
    co_await http::async_read_header(m_socket, m_buffer, *m_parser, errorInto(error));
    m_readDeadline = TimePoint::max();
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
    if (m_readExpired) {
        co_await refuse(requestTimedOut());
        co_return ReadResult::Refused;
    }
    if (error == http::error::header_limit) {
        co_await refuse(headerTooLarge());
        co_return ReadResult::Refused;
    }
    if (error == http::error::end_of_stream || error.category() == boost::asio::error::get_system_category()) {
        handleCallerDisconnect();
        co_return ReadResult::Closed;
    }
    co_await refuse(malformedRequest());
    co_return ReadResult::Refused;
}

boost::asio::awaitable<ReadResult> CallerSession::readBody(std::size_t limit)
{
    const auto length = m_parser->content_length();
    if (length && *length > limit) {
        co_await refuse(bodyTooLarge());
        co_return ReadResult::Refused;
    }
    m_parser->body_limit(limit);
    if (!m_parser->is_done() && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue") && m_exchanges.empty()) {
        co_await send(Continue);
    }
    if (m_parser->is_done()) {
        co_return ReadResult::Complete;
    }
    m_readExpired = false;
    m_readDeadline = RuntimeClock::now() + config::BodyTimeout;
    error_code error;
    co_await http::async_read(m_socket, m_buffer, *m_parser, errorInto(error));
    m_readDeadline = TimePoint::max();
    if (!error) {
        co_return ReadResult::Complete;
    }
    if (m_readExpired) {
        co_await refuse(requestTimedOut());
        co_return ReadResult::Refused;
    }
    if (error == http::error::body_limit) {
        co_await refuse(bodyTooLarge());
        co_return ReadResult::Refused;
    }
    if (error == http::error::partial_message || error.category() == boost::asio::error::get_system_category()) {
        handleCallerDisconnect();
        co_return ReadResult::Closed;
    }
    co_await refuse(malformedBody());
    co_return ReadResult::Refused;
}

// Reads one request and starts to serve it. Returns false when the connection takes no further request.
boost::asio::awaitable<bool> CallerSession::readRequest()
{
    if (co_await readHeader() != ReadResult::Complete) {
        co_return false;
    }
    AccessResult access = checkAccess(*m_thread.snapshot(), m_parser->get().base(), RuntimeClock::now());
    const TimePoint waitUntil = RuntimeClock::now() + config::ProofAfterPause;
    while (std::holds_alternative<Refusal>(access) && awaitsProof(*m_thread.snapshot(), RuntimeClock::now()) && RuntimeClock::now() < waitUntil) {
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
    if (m_closing) {
        // The connection began to close while the body was read, and its last answer may have been sent already. This request is therefore not served.
        co_return false;
    }
    const ExchangePtr exchange(new Exchange(m_socket.get_executor()));
    exchange->access = std::get<Access>(access);
    exchange->request = m_parser->release();
    exchange->keepAlive = exchange->request.keep_alive();
    m_closing = m_closing || !exchange->keepAlive;
    m_exchanges.push_back(exchange);
    boost::asio::co_spawn(m_socket.get_executor(), serve(exchange), boost::asio::detached);
    co_return exchange->keepAlive;
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
        abortConnection();
    }
    finish(exchange);
}

// Returns false when the connection must be reset, so that the caller does not take a partial answer for a complete one.
boost::asio::awaitable<bool> CallerSession::answer(const ExchangePtr &exchange)
{
    const AnswerSink answerSink = sink(exchange);
    const bool mayStream = exchange->request.version() == 11;
    Forwarder forwarder(m_thread, *exchange->access, exchange->request, m_callerAddress, mayStream ? &answerSink : nullptr, exchange->state);
    ForwardResult result = co_await forwarder.run();
    if (exchange->state.callerDisconnected() || std::holds_alternative<AbortCaller>(result)) {
        co_return false;
    }
    if (std::holds_alternative<StreamedAnswer>(result)) {
        if (!m_streamChunked) {
            co_return true;
        }
        const bool ended = co_await send(LastChunk);
        co_return ended;
    }
    if (!co_await waitForTurn(exchange)) {
        co_return false;
    }
    // While the daemon is stopping, it reads no further request. It answers the requests already read, then closes the connection.
    m_closing = m_closing || leaving() || !exchange->keepAlive;
    const bool last = m_exchanges.size() == 1;
    const bool keepAlive = exchange->keepAlive && !(m_closing && last);
    const bool sent = co_await sendAnswer(std::get<TargetAnswer>(result), keepAlive);
    co_return sent;
}

boost::asio::awaitable<bool> CallerSession::waitForTurn(const ExchangePtr &exchange)
{
    while (!m_exchanges.empty() && m_exchanges.front() != exchange) {
        error_code cancelled;
        exchange->turnTimer.expires_at(TimePoint::max());
        co_await exchange->turnTimer.async_wait(errorInto(cancelled));
    }
    co_return m_socket.is_open() && !exchange->state.callerDisconnected();
}

void CallerSession::finish(const ExchangePtr &exchange)
{
    std::erase(m_exchanges, exchange);
    if (!m_exchanges.empty()) {
        m_exchanges.front()->turnTimer.cancel();
    }
    if (m_idle && m_exchanges.empty()) {
        m_readDeadline = RuntimeClock::now() + limits().idleTimeout;
    }
    if (m_closing && m_exchanges.empty()) {
        stopReading();
    }
    m_exchangeEnded.cancel();
}

void CallerSession::stopReading()
{
    error_code ignored;
    if (m_idle && m_socket.is_open()) {
        m_socket.cancel(ignored);
    }
}

// Cancels all requests of the connection, since their answers can no longer be delivered.
void CallerSession::handleCallerDisconnect()
{
    m_closing = true;
    const auto exchanges = m_exchanges;
    for (const auto &exchange : exchanges) {
        exchange->state.setCallerDisconnected();
        exchange->turnTimer.cancel();
    }
}

// Resets the connection, so that the caller does not take a partial answer for a complete one.
void CallerSession::abortConnection()
{
    error_code ignored;
    if (m_socket.is_open()) {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }
    handleCallerDisconnect();
}

// Most answers fit into the socket's send buffer, so a direct write is tried first; only the rest needs a wait and a deadline.
boost::asio::awaitable<bool> CallerSession::send(std::string_view bytes)
{
    error_code error;
    m_socket.non_blocking(true, error);
    const auto sent = m_socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != boost::asio::error::would_block) {
        co_return false;
    }
    if (sent == bytes.size()) {
        co_return true;
    }
    m_writeDeadline = RuntimeClock::now() + config::BodyTimeout;
    const auto rest = boost::asio::buffer(bytes.data() + sent, bytes.size() - sent);
    co_await boost::asio::async_write(m_socket, rest, errorInto(error));
    m_writeDeadline = TimePoint::max();
    co_return !error;
}

boost::asio::awaitable<bool> CallerSession::sendAnswer(TargetAnswer &answer, bool keepAlive)
{
    answer.keep_alive(keepAlive);
    const std::string text = wireText(answer);
    co_return co_await send(text);
}

boost::asio::awaitable<bool> CallerSession::beginStream(const ExchangePtr &exchange, const AnswerHeader &header, std::uint64_t length, bool chunked)
{
    if (!co_await waitForTurn(exchange)) {
        co_return false;
    }
    http::response<http::empty_body> answer(header);
    removeHopByHopFields(answer);
    answer.version(11);
    answer.keep_alive(exchange->keepAlive);
    if (chunked) {
        answer.chunked(true);
    } else {
        answer.content_length(length);
    }
    m_streamChunked = chunked;
    const std::string text = wireText(TargetAnswer(std::move(answer.base())));
    co_return co_await send(text);
}

boost::asio::awaitable<bool> CallerSession::writeStream(std::string_view bytes)
{
    if (!m_streamChunked) {
        co_return co_await send(bytes);
    }
    static constexpr char Digits[] = "0123456789abcdef";
    std::string chunk;
    for (std::size_t size = bytes.size(); size > 0; size >>= 4) {
        chunk.insert(chunk.begin(), Digits[size & 15]);
    }
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    co_return co_await send(chunk);
}

AnswerSink CallerSession::sink(const ExchangePtr &exchange)
{
    AnswerSink sink;
    sink.begin = [this, exchange](const AnswerHeader &header, std::uint64_t length, bool chunked) { return beginStream(exchange, header, length, chunked); };
    sink.write = [this](std::string_view bytes) { return writeStream(bytes); };
    return sink;
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
        m_idle = true;
        error_code error;
        const auto count = co_await m_socket.async_read_some(m_buffer.prepare(config::ReadBytes), errorInto(error));
        m_idle = false;
        ignored += count;
        if (error && !m_exchanges.empty() && error != boost::asio::error::operation_aborted) {
            handleCallerDisconnect();
            break;
        }
    }
}

// Closing a socket that has unread bytes resets the connection, which could discard the answer before the caller reads it. Incoming bytes are
// therefore read for config::CloseDrainTime after the shutdown.
boost::asio::awaitable<void> CallerSession::closeGracefully()
{
    if (!m_socket.is_open()) {
        co_return;
    }
    error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    m_readDeadline = RuntimeClock::now() + config::CloseDrainTime;
    while (!error) {
        m_buffer.clear();
        co_await m_socket.async_read_some(m_buffer.prepare(config::ReadBytes), errorInto(error));
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
            co_await waitForExchanges(config::MaxPipelined);
        }
    }
    co_await watchForDisconnect();
    co_await waitForExchanges(0);
    co_await closeGracefully();
}
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
