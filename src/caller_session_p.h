#pragma once

#include "forward_p.h"
#include "link_queue_p.h"
#include "session_p.h"
#include "traffic_p.h"

#include <plumsill/answer_pipeline.h>
#include <plumsill/memory_budget.h>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/http.hpp>

#include <deque>

namespace plumsill
{
/// Result of reading a request or a part of it.
enum class ReadResult : std::uint8_t
{
    Complete,
    Closed, ///< the caller closed the connection; no answer is sent
    Refused, ///< the request was refused; the connection takes no further request
};

/// One request on a caller's connection, from its header to its answer.
struct Exchange : boost::intrusive_ref_counter<Exchange, boost::thread_unsafe_counter> {
    Exchange(const boost::asio::any_io_executor &executor, RequestNumber request, AnswerOwnershipPtr answerOwnership)
        : number(request)
        , ownership(answerOwnership)
        , state(executor, std::move(answerOwnership))
        , turnTimer(executor, TimePoint::max())
    { }
    const RequestNumber number;
    const AnswerOwnershipPtr ownership;
    std::optional<Access> access;
    CallerRequest request;
    RequestState state;
    RuntimeTimer turnTimer; ///< cancelled when the answer need not wait for its turn any longer
    bool keepAlive = false;
    boost::beast::http::verb method = boost::beast::http::verb::unknown; ///< also of a request that was refused before it was read
    HeldBytes held; ///< memory of the request's body
    std::optional<PacedFlow> flow; ///< while a large answer is paced
};

using ExchangePtr = boost::intrusive_ptr<Exchange>;

/// Reads the pipelined requests of one connection, serves them concurrently and sends the answers in the order of the requests.
class CallerSession : public boost::intrusive_ref_counter<CallerSession, boost::thread_unsafe_counter>, public SessionBase
{
public:
    CallerSession(TrafficThread &thread, boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<void> run();
    void enforceLimits(TimePoint now, const Snapshot &snapshot, bool closing) override;

private:
    class StreamSink;

    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<bool> readRequest();
    /// Whether the request whose header was read waits until its key can be checked.
    bool holds(TimePoint arrivedAt) const;
    boost::asio::awaitable<ReadResult> readHeader();
    boost::asio::awaitable<ReadResult> readBody(std::size_t limit);
    boost::asio::awaitable<boost::system::error_code> readHeldBody();
    boost::asio::awaitable<void> refuseForMemory();
    bool memoryTakes(std::size_t bodyBytes) const;
    boost::asio::awaitable<void> waitForExchanges(std::size_t maxExchanges);
    ExchangePtr addExchange(bool keepAlive);
    /// Carries out what the pipeline has decided.
    void apply(const PipelineEffects &effects);
    void apply(const CancelRead &effect);
    void apply(const ResetConnection &effect);
    void apply(const WakeRequest &effect);
    void apply(const AbandonRequest &effect);
    void apply(const ExpireRequest &effect);
    /// The exchange of @p request; null when it has ended.
    ExchangePtr exchange(RequestNumber request) const;
    boost::asio::awaitable<void> serve(ExchangePtr exchange);
    boost::asio::awaitable<bool> answer(const ExchangePtr &exchange);
    boost::asio::awaitable<void> refuse(const Refusal &refusal);
    boost::asio::awaitable<bool> waitForTurn(ExchangePtr exchange);
    boost::asio::awaitable<bool> sendAnswer(const ExchangePtr &exchange, TargetAnswer &answer, bool keepAlive);
    boost::asio::awaitable<bool> send(std::string_view bytes);
    boost::asio::awaitable<bool> write(std::string_view bytes);
    void logNotSent(const boost::system::error_code &error, std::size_t bytes) const;
    boost::asio::awaitable<bool> sendBody(const ExchangePtr &exchange, std::string_view bytes);
    void startPacing(const ExchangePtr &exchange);
    AnswerSinkPtr sink(const ExchangePtr &exchange);
    boost::asio::awaitable<bool> beginStream(ExchangePtr exchange, const AnswerHeader &header, std::uint64_t length, bool chunked);
    boost::asio::awaitable<bool> endStream();
    boost::asio::awaitable<bool> writeStream(ExchangePtr exchange, std::string_view bytes);
    boost::asio::awaitable<void> watchForDisconnect();
    boost::asio::awaitable<void> closeGracefully();
    /// Waits until the caller has all answers before @p exchange, whose own is broken off, but no longer than a write may take.
    boost::asio::awaitable<void> waitUntilAnswersDelivered(ExchangePtr exchange);
    /// Bytes that the caller's end has not acknowledged yet; 0 where the system does not tell.
    std::size_t undeliveredBytes();
    void finish(const ExchangePtr &exchange, bool complete);
    /// Completion token of a read, which CancelRead ends.
    auto readInto(boost::system::error_code &error) { return boost::asio::bind_cancellation_slot(m_readCancel.slot(), errorInto(error)); }
    bool callerHasClosed();
    bool leaving() const { return m_thread.snapshot()->leaving; }
    CallerLimits limits() const;

    TrafficThread &m_thread;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::cancellation_signal m_readCancel;
    RuntimeTimer m_exchangeEnded; ///< cancelled when an exchange ends
    const std::string m_callerAddress;
    boost::beast::flat_buffer m_buffer;
    HeldBytes m_bodyHeld; ///< memory of the body that is being read
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::deque<ExchangePtr> m_exchanges; ///< in the order of their requests
    AnswerPipeline m_pipeline;
    bool m_streamChunked = false; ///< the streamed answer uses chunked transfer coding
};
}
