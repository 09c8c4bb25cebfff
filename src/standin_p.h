#pragma once

#include "http_client_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Small HTTP server for the test-only stand-ins; not used by the daemon.
namespace plumsill::standin
{
/// A whole request as a stand-in's handler sees it.
struct Request : HttpRequest {
    std::string path; ///< without the query, percent signs decoded
    std::uint64_t connection = 0; ///< serial number of the connection it came on
};

/// Value of a query parameter, percent signs decoded, or an empty string.
std::string queryValue(const Request &request, std::string_view name);

/// How much of an answer leaves before the connection is closed.
enum class Delivery
{
    Whole,
    HalfBody, ///< right Content-Length, half of the body, then closed
    FirstBytes, ///< part of the status line, then closed
    Nothing, ///< closed without a byte
};

/// Gives the next chunk of a streamed answer; an empty one ends it.
using NextChunk = std::function<boost::asio::awaitable<std::string>()>;

/// A handler's answer.
struct Answer {
    unsigned status = 200;
    std::vector<HttpField> fields = {};
    std::string body = {};
    bool close = false; ///< carries "Connection: close"
    Delivery delivery = Delivery::Whole;
    NextChunk next = {}; ///< set: chunked answer that lasts until it gives an empty chunk
    std::string stray = {}; ///< bytes sent after the answer that belong to no request
};

/// JSON answer.
Answer jsonAnswer(unsigned status, std::string json);

using Handler = std::function<boost::asio::awaitable<Answer>(Request)>;

/// What happens to a handler whose caller closes the connection.
enum class OnClose
{
    Cancel,
    Finish,
};

/// HTTP/1.1 server on one event loop.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, const Endpoint &listen, Handler handler, OnClose onClose);

    Endpoint endpoint() const;
    /// Serial number of the newest connection.
    std::uint64_t newestConnection() const { return m_connections; }
    /// Refuses new connections from now on.
    void stopAccepting();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, std::uint64_t connection);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    OnClose m_onClose;
    std::uint64_t m_connections = 0;
};

/// The time of day, which the programs of one machine share.
std::int64_t unixMilliseconds();

/// Calls @p stop on the first SIGTERM or SIGINT.
void stopOnSignal(boost::asio::io_context &context, std::function<void()> stop);
}
