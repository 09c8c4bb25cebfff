#include "admin_p.h"

#include "environment_p.h"
#include "http_common_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>

namespace plumsill
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
AdminResponse plainAnswer(http::status status, const std::string &type, std::string body)
{
    AdminResponse response(status, 11);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    return response;
}
}

AdminPort::AdminPort(boost::asio::io_context &context, std::string token)
    : m_context(context)
    , m_acceptor(context)
    , m_token(std::move(token))
{ }

Endpoint AdminPort::open(const Endpoint &listen)
{
    const tcp::endpoint endpoint(boost::asio::ip::make_address(listen.address), listen.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    return {listen.address, m_acceptor.local_endpoint().port()};
}

void AdminPort::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

boost::asio::awaitable<void> AdminPort::run(Control &control)
{
    while (m_acceptor.is_open()) {
        error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(errorInto(error));
        if (!error) {
            boost::asio::co_spawn(m_context, serve(control, std::move(socket)), boost::asio::detached);
        } else if (m_acceptor.is_open()) {
            co_await sleepFor(config::AcceptRetryDelay);
        }
    }
}

boost::asio::awaitable<void> AdminPort::serve(Control &control, tcp::socket socket)
{
    TimedSocket stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    error_code error;
    bool keepAlive = true;
    while (keepAlive && !error) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(config::MaxHeaderBytes);
        parser.body_limit(config::MaxAdminBodyBytes);
        stream.expiresAfter(config::IdleTimeout);
        co_await http::async_read(stream, buffer, parser, errorInto(error));
        if (error) {
            break;
        }
        AdminResponse response = co_await answer(control, parser.get());
        keepAlive = parser.get().keep_alive();
        response.keep_alive(keepAlive);
        response.prepare_payload();
        endWithHead(parser.get().method(), response);
        stream.expiresAfter(config::BodyTimeout);
        co_await http::async_write(stream, response, errorInto(error));
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

AdminContext AdminPort::apiContext(Control &control) const
{
    AdminContext context;
    context.environment = control.settings().environment;
    context.token = m_token;
    context.store = makeOperatorStoreCaller(control.store());
    context.holders = [&control](const DocumentStamp &stamp) { return control.holdersOf(stamp); };
    context.held = [&control] { return control.document().holder().stamp(); };
    context.status = [&control] { return control.status(RuntimeClock::now()); };
    return context;
}

boost::asio::awaitable<AdminResponse> AdminPort::answer(Control &control, const AdminRequest &request)
{
    const TimePoint now = RuntimeClock::now();
    if (request.method() == http::verb::get && request.target() == "/v1/history") {
        co_return plainAnswer(http::status::ok, "application/json", control.historyText(now));
    }
    if (isAdminApi(request.target())) {
        co_return co_await answerAdminCall(apiContext(control), request);
    }
    if (request.method() != http::verb::get) {
        co_return plainAnswer(http::status::method_not_allowed, "text/plain", "only GET\n");
    }
    if (request.target() == "/live") {
        co_return plainAnswer(http::status::ok, "text/plain", "live\n");
    }
    if (request.target() == "/ready") {
        const bool ready = control.ready(now);
        co_return plainAnswer(ready ? http::status::ok : http::status::service_unavailable, "text/plain", ready ? "ready\n" : "not ready\n");
    }
    if (request.target() == "/metrics") {
        co_return plainAnswer(http::status::ok, "text/plain; version=0.0.4", control.metricsText(now));
    }
    if (request.target() == "/status") {
        co_return plainAnswer(http::status::ok, "application/json", boost::json::serialize(control.status(now)) + "\n");
    }
    co_return plainAnswer(http::status::not_found, "text/plain", "not found\n");
}
}
