#include "http_client_p.h"

#include "http_common_p.h"
#include "read_answer_head_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace plumsill
{
namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr std::uint64_t AnswerLimitBytes = 512 * 1024 * 1024;

http::request<http::string_body> toMessage(HttpRequest &&request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    for (const auto &field : request.fields) {
        message.insert(field.name, field.value);
    }
    message.body() = std::move(request.body);
    if (!message.body().empty() || request.method == "POST" || request.method == "PUT") {
        message.prepare_payload();
    }
    return message;
}
}

const char *toString(HttpError error)
{
    switch (error) {
    case HttpError::Refused:
        return "no connection";
    case HttpError::ClosedWithoutAnswer:
        return "connection closed without an answer";
    case HttpError::Truncated:
        return "connection closed before the end of the answer";
    case HttpError::Malformed:
        return "malformed answer";
    case HttpError::TimedOut:
        return "timed out";
    }
    return "unknown error";
}

std::string fieldValue(const std::vector<HttpField> &fields, std::string_view name)
{
    for (const auto &field : fields) {
        if (beast::iequals(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

struct HttpClient::Connection {
    explicit Connection(asio::io_context &context)
        : socket(context)
    { }

    tcp::socket socket;
    beast::flat_buffer buffer;
};

HttpClient::HttpClient(asio::io_context &context)
    : m_connection(std::make_unique<Connection>(context))
{ }

HttpClient::~HttpClient() = default;

bool HttpClient::usable()
{
    return m_connection->socket.is_open() && !closedByPeer(m_connection->socket);
}

void HttpClient::close()
{
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
    m_connection->buffer.clear();
}

asio::awaitable<bool> HttpClient::connect(Endpoint peer)
{
    close();
    boost::system::error_code error;
    co_await m_connection->socket.async_connect(toAsio(peer), asio::redirect_error(use_awaitable, error));
    if (error) {
        close();
        co_return false;
    }
    m_connection->socket.set_option(tcp::no_delay(true));
    m_lastAnswerAt = RuntimeClock::now();
    co_return true;
}

namespace
{
HttpError toError(const boost::system::error_code &error, bool started)
{
    if (error.category() == http::make_error_code(http::error::end_of_stream).category() && error != http::error::end_of_stream
        && error != http::error::partial_message) {
        return HttpError::Malformed;
    }
    return started ? HttpError::Truncated : HttpError::ClosedWithoutAnswer;
}

asio::awaitable<HttpResult> exchangeUntimed(tcp::socket &socket, beast::flat_buffer &buffer, http::request<http::string_body> message)
{
    // A failed write is no failed call: a server may answer and close the connection before it has read the complete request.
    boost::system::error_code unsent;
    co_await http::async_write(socket, message, asio::redirect_error(use_awaitable, unsent));
    http::response_parser<http::string_body> parser;
    parser.body_limit(AnswerLimitBytes);
    parser.skip(message.method() == http::verb::head);
    boost::system::error_code error = co_await readAnswerHead(socket, buffer, parser);
    if (!error) {
        co_await http::async_read(socket, buffer, parser, asio::redirect_error(use_awaitable, error));
    }
    if (error) {
        co_return toError(error, parser.got_some());
    }
    // The write may have consumed the error of a reset connection, so that the read found a plain end.
    const bool endsWithConnection = !parser.chunked() && !parser.content_length() && message.method() != http::verb::head;
    if (unsent && endsWithConnection) {
        co_return HttpError::Truncated;
    }
    auto response = parser.release();
    HttpAnswer answer;
    answer.status = response.result_int();
    if (!isFinalStatus(answer.status)) {
        co_return HttpError::Malformed;
    }
    answer.fields = copyFields(response);
    answer.keepAlive = response.keep_alive();
    answer.body = std::move(response.body());
    co_return answer;
}
}

asio::awaitable<HttpResult> HttpClient::exchange(HttpRequest request, Duration timeout)
{
    auto message = toMessage(std::move(request));
    auto first = co_await (exchangeUntimed(m_connection->socket, m_connection->buffer, std::move(message)) || sleepFor(timeout));
    if (first.index() == 1) {
        close();
        co_return HttpError::TimedOut;
    }
    auto result = std::get<0>(std::move(first));
    m_lastAnswerAt = result ? RuntimeClock::now() : m_lastAnswerAt;
    if (!result || !result.assume_value().keepAlive) {
        close();
    }
    co_return result;
}

namespace
{
asio::awaitable<void> connectAndExchange(asio::io_context &context, Endpoint peer, HttpRequest request, Duration timeout, HttpResult &result)
{
    HttpClient client(context);
    if (co_await client.connect(std::move(peer))) {
        result = co_await client.exchange(std::move(request), timeout);
    }
}
}

HttpResult exchangeOnce(const Endpoint &peer, HttpRequest request, Duration timeout)
{
    if (fieldValue(request.fields, "Host").empty()) {
        request.fields.push_back({"Host", toString(peer)});
    }
    asio::io_context context;
    HttpResult result = HttpError::Refused;
    asio::co_spawn(context, connectAndExchange(context, peer, std::move(request), timeout, result), asio::detached);
    context.run();
    return result;
}
}
