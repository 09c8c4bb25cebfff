#include "caller_session_p.h"
#include "http_common_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/asio/write.hpp>

#include <algorithm>

#include <netinet/tcp.h>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{
// Bytes that wait in the kernel can't be overtaken, so no more of them are kept there than one part of an answer.
using UnsentLowWater = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

constexpr std::string_view LastChunk = "0\r\n\r\n";
}

ExchangePtr CallerSession::addExchange(bool keepAlive)
{
    const RequestNumber number = m_pipeline.add(keepAlive);
    m_exchanges.emplace_back(new Exchange(m_socket.get_executor(), number, m_pipeline.ownership(number)));
    m_exchanges.back()->method = m_parser->get().method();
    return m_exchanges.back();
}

ExchangePtr CallerSession::exchange(RequestNumber request) const
{
    const auto found = std::find_if(m_exchanges.begin(), m_exchanges.end(), [request](const auto &entry) { return entry->number == request; });
    return found == m_exchanges.end() ? nullptr : *found;
}

void CallerSession::apply(const PipelineEffects &effects)
{
    for (const auto &effect : effects) {
        std::visit([this](const auto &single) { apply(single); }, effect);
    }
}

void CallerSession::apply(const CancelRead & /*effect*/)
{
    m_readCancel.emit(boost::asio::cancellation_type::terminal);
}

void CallerSession::apply(const ResetConnection & /*effect*/)
{
    error_code ignored;
    if (m_socket.is_open()) {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }
}

void CallerSession::apply(const WakeRequest &effect)
{
    if (const ExchangePtr woken = exchange(effect.request)) {
        woken->turnTimer.cancel();
    }
}

void CallerSession::apply(const AbandonRequest &effect)
{
    const ExchangePtr abandoned = exchange(effect.request);
    if (!abandoned) {
        return;
    }
    abandoned->state.setCallerDisconnected();
    abandoned->turnTimer.cancel();
    if (abandoned->flow) {
        m_thread.linkQueue().cancel(*abandoned->flow);
    }
}

void CallerSession::apply(const ExpireRequest &effect)
{
    if (const ExchangePtr expired = exchange(effect.request)) {
        expired->state.expire();
    }
}

void CallerSession::logNotSent(const error_code &error, std::size_t bytes) const
{
    Event("traffic", "answer-not-sent")
        .add("caller", m_callerAddress)
        .add("error", error.message())
        .add("bytes_left", static_cast<std::int64_t>(bytes))
        .add("closing", !m_pipeline.takesRequests());
}

// Most answers fit into the socket's send buffer, so a direct write is tried first; only the rest needs a wait and a deadline.
boost::asio::awaitable<bool> CallerSession::send(std::string_view bytes)
{
    m_thread.link().addUnpaced(bytes.size(), RuntimeClock::now());
    co_return co_await write(bytes);
}

void CallerSession::startPacing(const ExchangePtr &exchange)
{
    if (!m_thread.link().active() || !exchange->access || !exchange->access->route.large) {
        return;
    }
    error_code ignored;
    m_socket.set_option(UnsentLowWater(static_cast<int>(m_thread.link().chunkBytes())), ignored);
    exchange->flow.emplace(m_thread.link());
    ++m_thread.report().limits.paced;
}

// Sends a part of a body; in the order of the pacer where the answer is paced.
boost::asio::awaitable<bool> CallerSession::sendBody(const ExchangePtr &exchange, std::string_view bytes)
{
    if (!exchange->flow) {
        co_return co_await send(bytes);
    }
    while (!bytes.empty()) {
        const std::size_t granted = co_await m_thread.linkQueue().acquire(*exchange->flow, bytes.size());
        if (granted == 0 || !m_socket.is_open() || !m_pipeline.mayWrite(exchange->number)) {
            co_return false;
        }
        const bool sent = co_await write(bytes.substr(0, granted));
        if (!sent) {
            co_return false;
        }
        bytes.remove_prefix(granted);
    }
    co_return true;
}

boost::asio::awaitable<bool> CallerSession::write(std::string_view bytes)
{
    error_code error;
    m_socket.non_blocking(true, error);
    const auto sent = m_socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
    m_pipeline.written(sent);
    if (!error && sent == bytes.size()) {
        co_return true;
    }
    if (error && error != boost::asio::error::would_block) {
        logNotSent(error, bytes.size());
        co_return false;
    }
    m_pipeline.beginWrite(RuntimeClock::now() + config::BodyTimeout);
    const auto rest = boost::asio::buffer(bytes.data() + sent, bytes.size() - sent);
    const auto count = co_await boost::asio::async_write(m_socket, rest, errorInto(error));
    m_pipeline.endWrite();
    m_pipeline.written(count);
    if (error) {
        logNotSent(error, rest.size() - count);
    }
    co_return !error;
}

// A large body is sent as it is, without a copy of it.
boost::asio::awaitable<bool> CallerSession::sendAnswer(const ExchangePtr &exchange, TargetAnswer &answer, bool keepAlive)
{
    if (!exchange->ownership->claim(DaemonWrites)) {
        co_return false;
    }
    answer.keep_alive(keepAlive);
    endWithHead(exchange->method, answer);
    if (answer.body().size() >= config::LargeBytes) {
        startPacing(exchange);
        const std::string body = std::move(answer.body());
        answer.body().clear();
        const std::string header = wireText(answer);
        const bool started = co_await send(header);
        if (!started) {
            co_return false;
        }
        co_return co_await sendBody(exchange, body);
    }
    const std::string text = wireText(answer);
    co_return co_await send(text);
}

boost::asio::awaitable<bool> CallerSession::beginStream(ExchangePtr exchange, const AnswerHeader &header, std::uint64_t length, bool chunked)
{
    if (!co_await waitForTurn(exchange)) {
        co_return false;
    }
    http::response<http::empty_body> answer(header);
    removeHopByHopFields(answer);
    answer.version(11);
    // A caller of HTTP/1.0 knows no chunks.
    const bool untilClose = chunked && exchange->request.version() < 11;
    answer.keep_alive(untilClose ? m_pipeline.keepsAlive(exchange->number, true) : exchange->keepAlive);
    m_streamChunked = chunked && !untilClose;
    if (m_streamChunked) {
        answer.chunked(true);
    } else if (!untilClose) {
        answer.content_length(length);
    }
    startPacing(exchange);
    const std::string text = wireText(TargetAnswer(std::move(answer.base())));
    co_return co_await send(text);
}

boost::asio::awaitable<bool> CallerSession::writeStream(ExchangePtr exchange, std::string_view bytes)
{
    if (!m_pipeline.mayWrite(exchange->number)) {
        co_return false;
    }
    if (!m_streamChunked) {
        co_return co_await sendBody(exchange, bytes);
    }
    static constexpr char Digits[] = "0123456789abcdef";
    std::string chunk;
    for (std::size_t size = bytes.size(); size > 0; size >>= 4) {
        chunk.insert(chunk.begin(), Digits[size & 15]);
    }
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    co_return co_await sendBody(exchange, chunk);
}

/// Writes the answer to one request to its caller.
class CallerSession::StreamSink final : public AnswerSink
{
public:
    StreamSink(boost::intrusive_ptr<CallerSession> session, ExchangePtr exchange)
        : m_session(std::move(session))
        , m_exchange(std::move(exchange))
    { }

    boost::asio::awaitable<bool> begin(const AnswerHeader &header, std::uint64_t contentLength, bool chunked) override
    {
        return m_session->beginStream(m_exchange, header, contentLength, chunked);
    }
    boost::asio::awaitable<bool> write(std::string_view bytes) override { return m_session->writeStream(m_exchange, bytes); }

private:
    const boost::intrusive_ptr<CallerSession> m_session;
    const ExchangePtr m_exchange;
};

AnswerSinkPtr CallerSession::sink(const ExchangePtr &exchange)
{
    return new StreamSink(this, exchange);
}

boost::asio::awaitable<bool> CallerSession::endStream()
{
    if (!m_streamChunked) {
        co_return true;
    }
    co_return co_await send(LastChunk);
}
}
