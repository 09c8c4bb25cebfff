#include "standin_p.h"

#include "http_common_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <iostream>
#include <sstream>
#include <utility>

namespace plumsill::standin
{
namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr std::uint64_t BodyLimitBytes = 16 * 1024 * 1024;
constexpr std::uint32_t HeaderLimitBytes = 64 * 1024;
constexpr std::size_t FirstBytesCount = 12;
constexpr Duration Forever = std::chrono::hours(24 * 365);

asio::awaitable<void> waitUntilClosed(tcp::socket &socket)
{
    co_await socket.async_wait(tcp::socket::wait_read, use_awaitable);
    if (!closedByPeer(socket)) {
        co_await sleepFor(Forever);
    }
}

std::string decodePercent(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        const bool escape
            = text[i] == '%' && i + 2 < text.size() && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3;
        result += escape ? static_cast<char>(code) : text[i];
        i += escape ? 2 : 0;
    }
    return result;
}

Request toRequest(http::request<http::string_body> &&message, std::uint64_t connection)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.path = decodePercent(request.target.substr(0, request.target.find('?')));
    request.fields = copyFields(message);
    request.body = std::move(message.body());
    request.connection = connection;
    return request;
}

http::response<http::string_body> toMessage(Answer &&answer, bool keepAlive)
{
    http::response<http::string_body> message;
    message.result(answer.status);
    for (const auto &field : answer.fields) {
        message.insert(field.name, field.value);
    }
    message.keep_alive(keepAlive);
    message.body() = std::move(answer.body);
    if (answer.status != 204) {
        message.prepare_payload();
    }
    return message;
}

std::string wireBytes(const http::response<http::string_body> &message)
{
    std::ostringstream text;
    text << message;
    return std::move(text).str();
}

std::size_t deliveredBytes(Delivery delivery, std::size_t totalBytes, std::size_t body)
{
    switch (delivery) {
    case Delivery::Complete:
        return totalBytes;
    case Delivery::HalfBody:
        return totalBytes - (body + 1) / 2;
    case Delivery::FirstBytes:
        return std::min(totalBytes, FirstBytesCount);
    case Delivery::Nothing:
        return 0;
    }
    return 0;
}

// Sends a non-streamed answer, or only the portion of it that `delivery` specifies, then its stray bytes (bytes of no request). Returns whether the connection
// stays open.
asio::awaitable<bool> sendMessage(tcp::socket &socket, Answer answer, bool keepAlive)
{
    const auto delivery = answer.delivery;
    const auto stray = answer.stray;
    const auto message = toMessage(std::move(answer), keepAlive);
    auto bytes = wireBytes(message);
    bytes.erase(deliveredBytes(delivery, bytes.size(), message.body().size()));
    bytes += stray;
    co_await asio::async_write(socket, asio::buffer(bytes), use_awaitable);
    co_return keepAlive &&delivery == Delivery::Complete;
}

asio::awaitable<void> sendChunks(tcp::socket &socket, NextChunk next)
{
    for (;;) {
        const std::string chunk = co_await next();
        if (chunk.empty()) {
            co_return;
        }
        co_await asio::async_write(socket, http::make_chunk(asio::buffer(chunk)), use_awaitable);
    }
}

asio::awaitable<void> sendStream(tcp::socket &socket, Answer answer)
{
    http::response<http::empty_body> head;
    head.result(answer.status);
    for (const auto &field : answer.fields) {
        head.insert(field.name, field.value);
    }
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(socket, serializer, use_awaitable);
    co_await (sendChunks(socket, answer.next) || waitUntilClosed(socket));
}

// Calls the handler and answers its exceptions with status 400, so that a malformed control call doesn't end the stand-in.
asio::awaitable<Answer> callHandler(const Handler &handler, Request request)
{
    try {
        co_return co_await handler(std::move(request));
    } catch (const boost::system::system_error &error) {
        if (error.code() == asio::error::operation_aborted) {
            throw;
        }
        co_return Answer {400, {}, error.what()};
    } catch (const std::exception &error) {
        co_return Answer {400, {}, error.what()};
    }
}

// Calls the handler. With OnClose::Cancel, returns nothing if the caller closes the connection before the handler has answered.
asio::awaitable<std::optional<Answer>> callUnlessClosed(const Handler &handler, tcp::socket &socket, Request request, OnClose onClose)
{
    if (onClose == OnClose::Finish) {
        co_return co_await callHandler(handler, std::move(request));
    }
    auto first = co_await (callHandler(handler, std::move(request)) || waitUntilClosed(socket));
    if (first.index() == 0) {
        co_return std::get<0>(std::move(first));
    }
    co_return std::nullopt;
}
}

std::string queryValue(const Request &request, std::string_view name)
{
    const auto question = request.target.find('?');
    std::string_view rest = question == std::string::npos ? std::string_view() : std::string_view(request.target).substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : decodePercent(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

Answer jsonAnswer(unsigned status, std::string json)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(json)};
}

HttpServer::HttpServer(asio::io_context &context, const Endpoint &listen, Handler handler, OnClose onClose)
    : m_context(context)
    , m_acceptor(context, toAsio(listen))
    , m_handler(std::move(handler))
    , m_onClose(onClose)
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

Endpoint HttpServer::endpoint() const
{
    const auto local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> HttpServer::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_context, serve(std::move(socket), ++m_connections), asio::detached);
        }
    }
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket, std::uint64_t connection)
try {
    socket.set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    for (bool open = true; open;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(BodyLimitBytes);
        parser.header_limit(HeaderLimitBytes);
        co_await http::async_read(socket, buffer, parser, use_awaitable);
        const bool keepAlive = parser.get().keep_alive();
        auto answer = co_await callUnlessClosed(m_handler, socket, toRequest(parser.release(), connection), m_onClose);
        if (!answer) {
            co_return;
        }
        if (answer->next) {
            co_await sendStream(socket, std::move(*answer));
            co_return;
        }
        const bool keep = keepAlive && !answer->close;
        open = co_await sendMessage(socket, std::move(*answer), keep);
    }
} catch (const boost::system::system_error &) {
    // The peer closed the connection or sent invalid HTTP. The connection closes when this coroutine ends.
}

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

void stopOnSignal(asio::io_context &context, std::function<void()> stop)
{
    auto signals = std::make_shared<asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait([signals, stop = std::move(stop)](const boost::system::error_code &error, int) {
        if (!error) {
            stop();
        }
    });
}
}
