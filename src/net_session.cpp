#include "session_p.h"

#include "forward_p.h"
#include "traffic_p.h"

#include <plumsill/config.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
const Refusal &tooSlow()
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

/// How the reading of a request ended.
enum class ReadEnd : std::uint8_t
{
    Whole,
    Closed, ///< nothing came: no answer is due
    Refused, ///< answered; the connection can't be used any more
};

class CallerSession
{
public:
    CallerSession(TrafficThread &thread, tcp::socket socket)
        : m_thread(thread)
        , m_stream(std::move(socket))
        , m_callerAddress(addressOf(m_stream.socket()))
    { }

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<ReadEnd> readHeader();
    boost::asio::awaitable<ReadEnd> readBody(std::size_t limit);
    boost::asio::awaitable<ReadEnd> refuse(const Refusal &refusal);
    boost::asio::awaitable<bool> sendAnswer(TargetAnswer &answer, bool keepAlive);
    AnswerSink sink(bool keepAlive);
    boost::asio::awaitable<bool> beginStream(const AnswerHeader &header, std::uint64_t length, bool chunked, bool keepAlive);
    boost::asio::awaitable<bool> writeStream(std::string_view bytes);
    void abortConnection();
    bool leaving() const { return m_thread.snapshot()->leaving; }

    TrafficThread &m_thread;
    TimedSocket m_stream;
    const std::string m_callerAddress;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    bool m_streamChunked = false;
};

// Between requests the connection may rest; the first byte of a request starts its own time limit.
boost::asio::awaitable<bool> CallerSession::waitForRequest()
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    TimePoint quietSince = RuntimeClock::now();
    while (true) {
        const bool closing = leaving();
        const Duration allowed = closing ? Duration(config::LingerTime) : Duration(config::IdleTimeout);
        if (RuntimeClock::now() - quietSince >= allowed) {
            co_return false;
        }
        m_stream.expiresAfter(config::IdleCheckInterval);
        error_code error;
        const auto count = co_await m_stream.async_read_some(m_buffer.prepare(config::ReadBytes), errorInto(error));
        m_buffer.commit(count);
        if (count > 0) {
            co_return true;
        }
        if (m_stream.cause(error) != boost::beast::error::timeout) {
            co_return false;
        }
        if (!closing && leaving()) {
            quietSince = RuntimeClock::now();
        }
    }
}

boost::asio::awaitable<ReadEnd> CallerSession::refuse(const Refusal &refusal)
{
    ++m_thread.report().rejected[refusal.status];
    TargetAnswer answer = refusalAnswer(refusal);
    co_await sendAnswer(answer, false);
    co_return ReadEnd::Refused;
}

boost::asio::awaitable<ReadEnd> CallerSession::readHeader()
{
    m_parser.emplace();
    m_parser->header_limit(config::MaxHeaderBytes);
    m_parser->body_limit(boost::none);
    m_stream.expiresAfter(config::HeaderTimeout);
    error_code error;
    co_await http::async_read_header(m_stream, m_buffer, *m_parser, errorInto(error));
    error = m_stream.cause(error);
    if (!error) {
        const auto refusal = checkFraming(m_parser->get().base());
        if (refusal) {
            co_return co_await refuse(*refusal);
        }
        co_return ReadEnd::Whole;
    }
    if (error == boost::beast::error::timeout) {
        co_return co_await refuse(tooSlow());
    }
    if (error == http::error::header_limit) {
        co_return co_await refuse(headerTooLarge());
    }
    if (error == http::error::end_of_stream || error.category() == boost::asio::error::get_system_category()) {
        co_return ReadEnd::Closed;
    }
    co_return co_await refuse(malformedRequest());
}

boost::asio::awaitable<ReadEnd> CallerSession::readBody(std::size_t limit)
{
    const auto length = m_parser->content_length();
    if (length && *length > limit) {
        co_return co_await refuse(bodyTooLarge());
    }
    m_parser->body_limit(limit);
    error_code error;
    if (!m_parser->is_done() && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto buffer = boost::asio::buffer(Continue);
        co_await boost::asio::async_write(m_stream, buffer, errorInto(error));
    }
    m_stream.expiresAfter(config::BodyTimeout);
    co_await http::async_read(m_stream, m_buffer, *m_parser, errorInto(error));
    error = m_stream.cause(error);
    if (!error) {
        co_return ReadEnd::Whole;
    }
    if (error == boost::beast::error::timeout) {
        co_return co_await refuse(tooSlow());
    }
    if (error == http::error::body_limit) {
        co_return co_await refuse(bodyTooLarge());
    }
    if (error == http::error::partial_message || error.category() == boost::asio::error::get_system_category()) {
        co_return ReadEnd::Closed;
    }
    co_return co_await refuse(malformedBody());
}

boost::asio::awaitable<bool> CallerSession::sendAnswer(TargetAnswer &answer, bool keepAlive)
{
    answer.keep_alive(keepAlive);
    m_stream.expiresAfter(config::BodyTimeout);
    const std::string text = wireText(answer);
    error_code error;
    co_await boost::asio::async_write(m_stream, boost::asio::buffer(text), errorInto(error));
    co_return !error && keepAlive;
}

boost::asio::awaitable<bool> CallerSession::beginStream(const AnswerHeader &header, std::uint64_t length, bool chunked, bool keepAlive)
{
    http::response<http::empty_body> answer(header);
    removeHopByHopFields(answer);
    answer.version(11);
    answer.keep_alive(keepAlive);
    if (chunked) {
        answer.chunked(true);
    } else {
        answer.content_length(length);
    }
    m_streamChunked = chunked;
    m_stream.expiresAfter(config::BodyTimeout);
    http::response_serializer<http::empty_body> serializer(answer);
    error_code error;
    co_await http::async_write_header(m_stream, serializer, errorInto(error));
    co_return !error;
}

boost::asio::awaitable<bool> CallerSession::writeStream(std::string_view bytes)
{
    m_stream.expiresAfter(config::BodyTimeout);
    error_code error;
    const boost::asio::const_buffer buffer(bytes.data(), bytes.size());
    if (m_streamChunked) {
        const auto chunk = http::make_chunk(buffer);
        co_await boost::asio::async_write(m_stream, chunk, errorInto(error));
    } else {
        co_await boost::asio::async_write(m_stream, buffer, errorInto(error));
    }
    co_return !error;
}

AnswerSink CallerSession::sink(bool keepAlive)
{
    AnswerSink sink;
    sink.begin = [this, keepAlive](const AnswerHeader &header, std::uint64_t length, bool chunked) { return beginStream(header, length, chunked, keepAlive); };
    sink.write = [this](std::string_view bytes) { return writeStream(bytes); };
    return sink;
}

// A reset, so that the caller can't take the part of the answer for the whole.
void CallerSession::abortConnection()
{
    error_code ignored;
    m_stream.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_stream.socket().close(ignored);
}

boost::asio::awaitable<bool> CallerSession::serveOne()
{
    if (co_await readHeader() != ReadEnd::Whole) {
        co_return false;
    }
    const AccessResult access = checkAccess(*m_thread.snapshot(), m_parser->get().base(), RuntimeClock::now());
    if (const auto *refusal = std::get_if<Refusal>(&access)) {
        // The body was not read, so the next request can't be found.
        co_await refuse(*refusal);
        co_return false;
    }
    if (co_await readBody(std::get<Access>(access).route.bodyLimit) != ReadEnd::Whole) {
        co_return false;
    }
    const CallerRequest request = m_parser->release();
    const bool mayStream = request.version() == 11;
    const bool keepAlive = request.keep_alive() && !leaving();
    const AnswerSink answerSink = sink(keepAlive);
    error_code ignored;
    ActiveRequest active;
    active.socket = m_stream.socket().native_handle();
    active.startedAt = RuntimeClock::now();
    m_stream.expiresNever();
    m_thread.watch(active);
    Forwarder forwarder(m_thread, std::get<Access>(access), request, m_callerAddress, mayStream ? &answerSink : nullptr, active.handle);
    ForwardResult result = co_await forwarder.run();
    active.unlink();
    if (active.handle.isCallerGone() || std::holds_alternative<AbortCaller>(result)) {
        abortConnection();
        co_return false;
    }
    if (std::holds_alternative<StreamedAnswer>(result)) {
        if (m_streamChunked) {
            const auto last = http::make_chunk_last();
            co_await boost::asio::async_write(m_stream, last, errorInto(ignored));
        }
        co_return keepAlive && !ignored;
    }
    co_return co_await sendAnswer(std::get<TargetAnswer>(result), keepAlive && !leaving());
}

boost::asio::awaitable<void> CallerSession::run()
{
    while (co_await waitForRequest()) {
        if (!co_await serveOne()) {
            break;
        }
    }
    if (!m_stream.socket().is_open()) {
        co_return;
    }
    // Closing with unread bytes would reset the connection and could take the answer with it.
    error_code error;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
    m_stream.expiresAfter(config::CloseDrainTime);
    while (!error) {
        m_buffer.clear();
        co_await m_stream.async_read_some(m_buffer.prepare(config::ReadBytes), errorInto(error));
    }
}
}

boost::asio::awaitable<void> runSession(TrafficThread &thread, tcp::socket socket)
{
    thread.sessionStarted();
    try {
        CallerSession session(thread, std::move(socket));
        co_await session.run();
    } catch (const std::exception &error) {
        logWarning(LogPart::Traffic, std::string("a caller's connection failed: ") + error.what());
    }
    thread.sessionEnded();
}
}
