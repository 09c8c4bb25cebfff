#include "text_port_p.h"

#include "http_common_p.h"
#include "socket_p.h"

#include <plumsill/config.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

TextPort::TextPort(boost::asio::io_context &context)
    : m_context(context)
    , m_acceptor(context)
{ }

void TextPort::open(const Endpoint &listen)
{
    const tcp::endpoint endpoint = toAsio(listen);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
}

void TextPort::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

boost::asio::awaitable<void> TextPort::run()
{
    while (m_acceptor.is_open()) {
        error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(errorInto(error));
        if (!error) {
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        } else if (m_acceptor.is_open()) {
            co_await sleepFor(config::AcceptRetryDelay);
        }
    }
}

boost::asio::awaitable<void> TextPort::serve(tcp::socket socket)
{
    TimedSocket stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    error_code error;
    bool keepAlive = true;
    while (keepAlive && !error) {
        http::request_parser<http::empty_body> parser;
        stream.expiresAfter(config::IdleTimeout);
        co_await http::async_read(stream, buffer, parser, errorInto(error));
        if (error) {
            break;
        }
        const auto found = m_pages.find(std::string(parser.get().target()));
        const TextPage page = found == m_pages.end() ? TextPage {404, "not found\n"} : found->second();
        http::response<http::string_body> answer(http::int_to_status(page.status), 11, page.text);
        answer.set(http::field::content_type, "text/plain; version=0.0.4");
        keepAlive = parser.get().keep_alive();
        answer.keep_alive(keepAlive);
        answer.prepare_payload();
        endWithHead(parser.get().method(), answer);
        stream.expiresAfter(config::BodyTimeout);
        co_await http::async_write(stream, answer, errorInto(error));
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
}
}
