#include "answer_reader_p.h"

#include "read_answer_head_p.h"

#include <plumsill/event.h>
#include <plumsill/target_limit.h>

#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{
constexpr std::size_t ReadChunkBytes = 16 * 1024;
constexpr std::size_t StreamBufferBytes = 2 * ReadChunkBytes; // one part as read and one as sent
constexpr unsigned MaxInterimAnswers = 8;
constexpr unsigned MaxStrayAnswers = 4;
constexpr Duration MaxTargetRest = std::chrono::hours(1); // a longer rest is taken for this one, so that an absurd value does not close a target for good

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

/// Request to which an answer belongs.
enum class AnswerOwner : std::uint8_t
{
    ThisRequest,
    OtherRequest,
    Unknown, ///< the answer has no id, and the connection has carried earlier requests or their answers
};

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

// Whether the body has a transfer coding other than chunks, which the parser leaves in the body.
bool hasUnknownCoding(const AnswerHeader &header)
{
    const auto [begin, end] = header.equal_range(http::field::transfer_encoding);
    const auto known = [](const auto &field) { return boost::beast::iequals(field.value(), "chunked"); };
    return std::distance(begin, end) > 1 || !std::all_of(begin, end, known);
}

AnswerOwner ownerOf(const AnswerHeader &header, const TargetRequest &request, const Dialect &dialect, bool firstOnConnection)
{
    const auto sent = request.find(dialect.requestId);
    const auto [begin, end] = header.equal_range(dialect.requestId);
    if (begin == end) {
        return firstOnConnection || !dialect.acceptsStrayAnswers ? AnswerOwner::ThisRequest : AnswerOwner::Unknown;
    }
    const bool same = sent != request.end() && std::all_of(begin, end, [&sent](const auto &echoed) { return echoed.value() == sent->value(); });
    return same ? AnswerOwner::ThisRequest : AnswerOwner::OtherRequest;
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
}

void AnswerReader::startParser()
{
    m_parser.emplace();
    m_parser->header_limit(config::MaxHeaderBytes);
    m_parser->body_limit(boost::none);
    if (m_request.method() == http::verb::head) {
        m_parser->skip(true);
    }
}

// Reads the header of the final answer, skipping the interim answers before it. Fails on any other status, and on more than MaxInterimAnswers interim
// answers.
boost::asio::awaitable<error_code> AnswerReader::readHeader()
{
    for (unsigned interim = 0; interim <= MaxInterimAnswers; ++interim) {
        startParser();
        const error_code error = co_await readAnswerHead(m_connection.stream, m_connection.buffer, *m_parser);
        if (error) {
            co_return m_connection.stream.cause(error);
        }
        const unsigned status = m_parser->get().result_int();
        if (isFinalStatus(status)) {
            co_return error_code();
        }
        if (!isInterimStatus(status)) {
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

// Counts the buffered bytes. A large answer for which there is no memory is streamed, so that its target waits for the caller. An answer that reports a
// failure is buffered, since another target may be tried instead.
bool AnswerReader::mustStream()
{
    const std::size_t bytes = m_buffered.size();
    const bool mayStream = m_sink != nullptr && m_parser->get().result_int() < 400;
    if (mayStream && bytes >= config::LargeBytes && !m_held.trySet(bytes)) {
        if (m_streamedForMemory != nullptr) {
            ++*m_streamedForMemory;
        }
        return true;
    }
    m_held.set(bytes);
    return m_sink != nullptr && bytes > config::MaxBufferedAnswerBytes;
}

boost::asio::awaitable<bool> AnswerReader::deliver(std::string_view bytes)
{
    if (m_streaming) {
        co_return co_await m_sink->write(bytes);
    }
    m_buffered.append(bytes);
    if (!mustStream()) {
        co_return true;
    }
    m_streaming = true;
    m_held.set(m_buffered.size()); // until they are sent, which may have to wait for earlier answers
    const auto length = m_parser->content_length();
    const bool started = co_await m_sink->begin(m_header, length.value_or(0), !length.has_value());
    if (!started) {
        co_return false;
    }
    const std::string buffered = std::move(m_buffered);
    const bool sent = co_await m_sink->write(buffered);
    m_held.set(StreamBufferBytes);
    co_return sent;
}

boost::asio::awaitable<std::optional<AttemptResult>> AnswerReader::readBody()
{
    std::array<char, ReadChunkBytes> chunk {};
    m_buffered.reserve(std::min<std::uint64_t>(m_parser->content_length().value_or(0), config::MaxBufferedAnswerBytes));
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
    const AnswerHeader &header = m_header;
    const auto statusFailure = failureOfStatus(header, m_dialect);
    if (m_streaming) {
        return StreamedAnswer {m_notice};
    }
    const bool notRun = statusFailure == AttemptFailure::WrongTarget || (statusFailure == AttemptFailure::Shed && !m_dialect.notExecuted.empty());
    const Duration retryAfter = retryAfterOf(header);
    BufferedAnswer buffered {TargetAnswer(header, std::move(m_buffered)), m_notice, std::move(m_held)};
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
    // A copy, since the parser adds the trailer fields behind a body in chunks to the header.
    m_header = m_parser->get().base();
    const AnswerHeader &header = m_header;
    const bool keepsAlive = m_parser->get().keep_alive();
    const bool noBody = m_request.method() == http::verb::head;
    const bool selfDelimited = isSelfDelimited(header, m_parser->chunked(), m_parser->content_length().has_value(), noBody);
    const AnswerOwner owner = ownerOf(header, m_request, m_dialect, !m_connection.kept && !m_skippedAnswer);
    if (owner == AnswerOwner::Unknown) {
        const std::string_view id = m_request[m_dialect.requestId];
        Event("traffic", "answer-without-id").add("id", id).add("status", static_cast<std::int64_t>(header.result_int()));
        co_return fail(AttemptFailure::Malformed);
    }
    const bool otherRequest = owner == AnswerOwner::OtherRequest;
    if (hasUnknownCoding(header) || (!selfDelimited && !m_acceptsCloseDelimited) || (otherRequest && !m_dialect.acceptsStrayAnswers)
        || isNotAuthentic(header, m_dialect)) {
        co_return fail(AttemptFailure::Malformed);
    }
    // The header counts even if the body doesn't arrive.
    if (!otherRequest && failureOfStatus(header, m_dialect) != AttemptFailure::WrongTarget) {
        m_notice = noticeOf(header, m_dialect);
    }
    if (!otherRequest && m_handle != nullptr) {
        m_handle->setAnswerBegun();
    }
    const AnswerSinkPtr sink = otherRequest ? std::exchange(m_sink, nullptr) : nullptr;
    m_stray = otherRequest;
    m_bodyBytes = 0;
    if (!noBody) {
        std::optional<AttemptResult> failed = co_await readBody();
        if (failed) {
            co_return std::move(*failed);
        }
    }
    // The write of the request consumes the error of a reset connection, so that the read finds a plain end.
    if (!selfDelimited && m_connection.facts.broken) {
        co_return fail(AttemptFailure::Truncated);
    }
    if (otherRequest) {
        m_sink = sink;
        m_skippedAnswer = true;
        m_buffered.clear();
        co_return std::nullopt;
    }
    m_keepAlive = keepsAlive && selfDelimited;
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
            m_keepAlive = m_keepAlive && !m_skippedAnswer;
            co_return std::move(*result);
        }
    }
    co_return fail(AttemptFailure::Malformed);
}
}
