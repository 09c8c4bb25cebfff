#include "upstream_p.h"

#include "session_p.h"

#include "clock_p.h"

#include <plumsill/target_limit.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <sys/socket.h>
#include <utility>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{
constexpr std::size_t ReadChunkBytes = 16 * 1024;
constexpr unsigned MaxInterimAnswers = 8;
constexpr unsigned MaxStrayAnswers = 4;
constexpr Duration MaxTargetRest = std::chrono::hours(1); // a longer rest is taken for this one, so that an absurd value does not close a target for good

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

AttemptFailure failureOf(const error_code &error)
{
    if (error == boost::beast::error::timeout) {
        return AttemptFailure::TimedOut;
    }
    if (error == http::error::partial_message) {
        return AttemptFailure::Truncated;
    }
    if (error.category() == http::make_error_code(http::error::bad_version).category() && error != http::error::end_of_stream) {
        return AttemptFailure::Malformed;
    }
    return AttemptFailure::ConnectionLost;
}

// Failure of an attempt whose answer body could not be read. A connection lost at this point means that the answer is truncated.
AttemptFailure bodyFailureOf(const error_code &error)
{
    const auto failure = failureOf(error);
    return failure == AttemptFailure::ConnectionLost ? AttemptFailure::Truncated : failure;
}

bool hasField(const AnswerHeader &header, const std::string &name)
{
    return !name.empty() && header.find(name) != header.end();
}

Duration retryAfterOf(const AnswerHeader &header)
{
    const auto field = header[http::field::retry_after];
    unsigned count = 0;
    std::from_chars(field.data(), field.data() + field.size(), count);
    return std::chrono::seconds(std::min(count, 3600U));
}

std::optional<AttemptFailure> failureOfStatus(const AnswerHeader &header, const Dialect &dialect)
{
    const unsigned status = header.result_int();
    if (status == 421 && !dialect.targetName.empty()) {
        return AttemptFailure::WrongTarget;
    }
    if (hasField(header, dialect.notExecuted)) {
        return AttemptFailure::Shed;
    }
    if (!dialect.notExecuted.empty()) {
        return status >= 500 ? std::optional(AttemptFailure::ServerError) : std::nullopt;
    }
    if (status == 503 && header.find(http::field::retry_after) != header.end()) {
        return AttemptFailure::Shed;
    }
    if (status == 500 || (status >= 502 && status <= 504)) {
        return AttemptFailure::ServerError;
    }
    return std::nullopt;
}

// A limit that can't be read changes nothing. Only an answer with the target's signature shows that there is no limit, since a refusal or
// an error may be made before the target adds its fields.
LimitStatement limitOf(const AnswerHeader &header, const Dialect &dialect)
{
    if (dialect.rateLimit.empty()) {
        return {};
    }
    if (!hasField(header, dialect.rateLimit)) {
        return {!dialect.signature.empty() && hasField(header, dialect.signature), false, 0};
    }
    const auto text = header[dialect.rateLimit];
    const auto perSecond = header.count(dialect.rateLimit) == 1 ? parseDecimal({text.data(), text.size()}) : std::nullopt;
    return perSecond ? LimitStatement {true, true, *perSecond} : LimitStatement {};
}

// A target that refuses with 503 may say for how long it wants no request from the daemon. A date or another unreadable value says nothing.
Duration restOf(const AnswerHeader &header, const Dialect &dialect)
{
    if (dialect.notExecuted.empty() || header.result_int() != 503 || header.count(http::field::retry_after) != 1) {
        return {};
    }
    const auto text = header[http::field::retry_after];
    const auto count = parseDecimal({text.data(), text.size()});
    return count ? fromSeconds(std::min(*count, seconds(MaxTargetRest))) : Duration::zero();
}

TargetNotice noticeOf(const AnswerHeader &header, const Dialect &dialect)
{
    return {hasField(header, dialect.drain), limitOf(header, dialect), restOf(header, dialect)};
}

// False for a close-delimited answer (without a length or chunks): its end cannot be distinguished from a lost connection.
bool isSelfDelimited(const AnswerHeader &header, bool chunked, bool hasLength, bool noBody)
{
    return noBody || chunked || hasLength || header.result() == http::status::no_content || header.result() == http::status::not_modified;
}

bool belongsToOtherRequest(const TargetRequest &request, const AnswerHeader &header, const Dialect &dialect)
{
    const auto sent = request.find(dialect.requestId);
    const auto echoed = header.find(dialect.requestId);
    return sent != request.end() && echoed != header.end() && sent->value() != echoed->value();
}

// True for a success (2xx) without the target's signature, or with a Content-Encoding, which means that an intermediary has encoded the body.
bool isNotAuthentic(const AnswerHeader &header, const Dialect &dialect)
{
    if (dialect.signature.empty() || header.result_int() < 200 || header.result_int() > 299) {
        return false;
    }
    return header.find(dialect.signature) == header.end() || header.find(http::field::content_encoding) != header.end();
}

// Time for which the target keeps an idle connection open, from the answer's Keep-Alive field; none when the answer does not give it.
std::optional<Duration> keepAliveOf(const AnswerHeader &header)
{
    const auto field = header[http::field::keep_alive];
    const auto position = field.find("timeout=");
    if (position == boost::beast::string_view::npos) {
        return std::nullopt;
    }
    unsigned count = 0;
    std::from_chars(field.data() + position + 8, field.data() + field.size(), count);
    return std::chrono::seconds(count);
}

/// Reads the answer to one request, buffered or streamed through the sink.
class AnswerReader
{
public:
    AnswerReader(TargetConnection &connection, const TargetRequest &request, const AttemptOptions &options)
        : m_connection(connection)
        , m_request(request)
        , m_sink(options.sink)
        , m_dialect(*options.dialect)
        , m_acceptsCloseDelimited(options.dialect->acceptsCloseDelimitedAnswers && !options.tunnel)
    { }

    boost::asio::awaitable<AttemptResult> read();
    bool keepAlive() const { return m_keepAlive; }

private:
    boost::asio::awaitable<std::optional<AttemptResult>> readAnswer();
    using Parser = http::response_parser<http::buffer_body>;

    boost::asio::awaitable<error_code> readHeader();
    boost::asio::awaitable<std::optional<AttemptResult>> readBody();
    boost::asio::awaitable<bool> deliver(std::string_view bytes);
    void startParser();
    AttemptResult fail(AttemptFailure failure) const;
    AttemptResult finish();

    TargetConnection &m_connection;
    const TargetRequest &m_request;
    const AnswerSink *m_sink;
    const Dialect &m_dialect;
    const bool m_acceptsCloseDelimited; ///< not through a tunnel: the end of its daemon looks like the end of the answer
    std::optional<Parser> m_parser;
    std::string m_buffered;
    TargetNotice m_notice; ///< from the header of the answer
    std::size_t m_bodyBytes = 0;
    bool m_stray = false; ///< the answer that is read belongs to another request
    bool m_streaming = false;
    bool m_keepAlive = false;
};

void AnswerReader::startParser()
{
    m_parser.emplace();
    m_parser->header_limit(config::MaxHeaderBytes);
    m_parser->body_limit(boost::none);
    if (m_request.method() == http::verb::head) {
        m_parser->skip(true);
    }
}

// Reads the header of the final answer, skipping the interim answers (status 1xx) before it. Fails on status 101 and on more than MaxInterimAnswers interim
// answers.
boost::asio::awaitable<error_code> AnswerReader::readHeader()
{
    for (unsigned interim = 0; interim <= MaxInterimAnswers; ++interim) {
        error_code error;
        startParser();
        co_await http::async_read_header(m_connection.stream, m_connection.buffer, *m_parser, errorInto(error));
        if (error) {
            co_return m_connection.stream.cause(error);
        }
        if (m_parser->get().result_int() >= 200) {
            co_return error_code();
        }
        if (m_parser->get().result_int() == 101) {
            break;
        }
    }
    co_return http::make_error_code(http::error::bad_status);
}

AttemptResult AnswerReader::fail(AttemptFailure failure) const
{
    const auto progress = m_streaming ? AttemptProgress::AnswerStarted : AttemptProgress::Sent;
    return FailedAttempt {{failure, progress}, std::nullopt, {}, m_notice};
}

boost::asio::awaitable<bool> AnswerReader::deliver(std::string_view bytes)
{
    if (m_streaming) {
        co_return co_await m_sink->write(bytes);
    }
    m_buffered.append(bytes);
    if (m_buffered.size() <= config::MaxBufferedAnswerBytes || m_sink == nullptr) {
        co_return true;
    }
    m_streaming = true;
    const auto length = m_parser->content_length();
    const bool started = co_await m_sink->begin(m_parser->get().base(), length.value_or(0), !length.has_value());
    if (!started) {
        co_return false;
    }
    const std::string buffered = std::move(m_buffered);
    co_return co_await m_sink->write(buffered);
}

boost::asio::awaitable<std::optional<AttemptResult>> AnswerReader::readBody()
{
    std::array<char, ReadChunkBytes> chunk {};
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        error_code error;
        co_await http::async_read_some(m_connection.stream, m_connection.buffer, *m_parser, errorInto(error));
        if (error && error != http::error::need_buffer) {
            co_return fail(bodyFailureOf(m_connection.stream.cause(error)));
        }
        if (m_connection.stream.expired()) {
            co_return fail(AttemptFailure::TimedOut);
        }
        const std::size_t count = chunk.size() - body.size;
        if (count == 0) {
            continue;
        }
        m_bodyBytes += count;
        if (m_stray && m_bodyBytes > config::MaxBufferedAnswerBytes) {
            co_return fail(AttemptFailure::Malformed);
        }
        const bool delivered = co_await deliver(std::string_view(chunk.data(), count));
        if (!delivered) {
            co_return fail(AttemptFailure::ConnectionLost);
        }
    }
    co_return std::nullopt;
}

AttemptResult AnswerReader::finish()
{
    const AnswerHeader &header = m_parser->get().base();
    const auto statusFailure = failureOfStatus(header, m_dialect);
    if (m_streaming) {
        return StreamedAnswer {m_notice};
    }
    const bool notRun = statusFailure == AttemptFailure::WrongTarget || (statusFailure == AttemptFailure::Shed && !m_dialect.notExecuted.empty());
    const Duration retryAfter = retryAfterOf(header);
    BufferedAnswer buffered {TargetAnswer(header, std::move(m_buffered)), m_notice};
    if (notRun) {
        return FailedAttempt {{*statusFailure, AttemptProgress::NotRun}, std::nullopt, retryAfter, m_notice};
    }
    if (statusFailure) {
        return FailedAttempt {{*statusFailure, AttemptProgress::Sent}, std::move(buffered), retryAfter, m_notice};
    }
    return buffered;
}

// Reads one answer. Returns nothing when it belonged to an earlier request and has been skipped.
boost::asio::awaitable<std::optional<AttemptResult>> AnswerReader::readAnswer()
{
    const error_code error = co_await readHeader();
    if (error) {
        co_return fail(failureOf(error));
    }
    const auto &header = m_parser->get().base();
    const bool noBody = m_request.method() == http::verb::head;
    const bool selfDelimited = isSelfDelimited(header, m_parser->chunked(), m_parser->content_length().has_value(), noBody);
    const bool otherRequest = belongsToOtherRequest(m_request, header, m_dialect);
    if ((!selfDelimited && !m_acceptsCloseDelimited) || (otherRequest && !m_dialect.acceptsStrayAnswers) || isNotAuthentic(header, m_dialect)) {
        co_return fail(AttemptFailure::Malformed);
    }
    // The header counts even if the body doesn't arrive.
    if (!otherRequest && failureOfStatus(header, m_dialect) != AttemptFailure::WrongTarget) {
        m_notice = noticeOf(header, m_dialect);
    }
    const AnswerSink *sink = otherRequest ? std::exchange(m_sink, nullptr) : nullptr;
    m_stray = otherRequest;
    m_bodyBytes = 0;
    if (!noBody) {
        std::optional<AttemptResult> failed = co_await readBody();
        if (failed) {
            co_return std::move(*failed);
        }
    }
    if (otherRequest) {
        m_sink = sink;
        m_buffered.clear();
        co_return std::nullopt;
    }
    m_keepAlive = m_parser->get().keep_alive() && selfDelimited;
    if (const auto limit = keepAliveOf(header)) {
        m_connection.facts.idleLimit = *limit;
    }
    co_return finish();
}

boost::asio::awaitable<AttemptResult> AnswerReader::read()
{
    std::optional<AttemptResult> result;
    for (unsigned skipped = 0; skipped <= MaxStrayAnswers; ++skipped) {
        result = co_await readAnswer();
        if (result) {
            // After a stray answer, later bytes on the connection cannot be assigned to a request, so the connection is not reused.
            m_keepAlive = m_keepAlive && skipped == 0;
            co_return std::move(*result);
        }
    }
    co_return fail(AttemptFailure::Malformed);
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
    intrusive_ptr_add_ref(connection.get());
    m_idle.push_front(*connection);
}

TargetPool::Connection TargetPool::takeIdle(bool idempotent, TimePoint now)
{
    while (!m_idle.empty()) {
        Connection connection(&m_idle.front());
        if (!reusable(connection->facts, idempotent, m_suspectBefore, now)) {
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
    const TimePoint start = RuntimeClock::now();
    Connection connection = takeIdle(options.idempotent, start);
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
    static const Dialect defaultDialect;
    options.dialect = options.dialect == nullptr ? &defaultDialect : options.dialect;
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
    if (reuse) {
        connection->stream.expiresNever();
        addIdle(connection, now);
    }
    co_return result;
}
}
