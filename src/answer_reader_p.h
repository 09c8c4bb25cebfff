#pragma once

#include "upstream_p.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace plumsill
{
/// Reads the answer to one request, buffered or streamed through the sink.
class AnswerReader
{
public:
    AnswerReader(TargetConnection &connection, const TargetRequest &request, const AttemptOptions &options)
        : m_connection(connection)
        , m_request(request)
        , m_sink(options.sink)
        , m_handle(options.handle)
        , m_streamedForMemory(options.streamedForMemory)
        , m_held(options.memory == nullptr ? HeldBytes() : HeldBytes(*options.memory))
        , m_dialect(*options.dialect)
        , m_acceptsCloseDelimited(options.dialect->acceptsCloseDelimitedAnswers && !options.tunnel)
    { }

    boost::asio::awaitable<AttemptResult> read();
    bool keepAlive() const { return m_keepAlive; }

private:
    boost::asio::awaitable<std::optional<AttemptResult>> readAnswer();
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<boost::system::error_code> readHeader();
    boost::asio::awaitable<std::optional<AttemptResult>> readBody();
    boost::asio::awaitable<bool> deliver(std::string_view bytes);
    bool mustStream();
    void startParser();
    AttemptResult fail(AttemptFailure failure) const;
    AttemptResult finish();

    TargetConnection &m_connection;
    const TargetRequest &m_request;
    AnswerSinkPtr m_sink; ///< null: the answer is buffered
    AttemptHandle *const m_handle;
    std::uint64_t *const m_streamedForMemory;
    HeldBytes m_held; ///< bytes of m_buffered, or of the buffers of a streamed answer
    const Dialect &m_dialect;
    const bool m_acceptsCloseDelimited; ///< not through a tunnel: the end of its daemon looks like the end of the answer
    std::optional<Parser> m_parser;
    AnswerHeader m_header; ///< of the answer that is read
    std::string m_buffered;
    TargetNotice m_notice; ///< from the header of the answer
    std::size_t m_bodyBytes = 0;
    bool m_stray = false; ///< the answer that is read belongs to another request
    bool m_skippedAnswer = false; ///< an answer to another request came first
    bool m_streaming = false;
    bool m_keepAlive = false;
};
}
