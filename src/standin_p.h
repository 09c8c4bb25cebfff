#pragma once

#include "http_client_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Small HTTP server for the stand-ins (test replacements of outside systems). The daemon doesn't use it.
namespace plumsill::standin
{
/// A complete request as it is passed to a stand-in's handler.
struct Request : HttpRequest {
    std::string path; ///< percent-decoded path without the query
    std::uint64_t connection = 0; ///< serial number of the connection on which the request arrived
};

/// Returns the percent-decoded value of a query parameter, or an empty string if the request has none.
std::string queryValue(const Request &request, std::string_view name);

/// How much of an answer is sent. After an incomplete answer, the connection is closed.
enum class Delivery
{
    Complete,
    HalfBody, ///< header with the correct Content-Length, and half of the body
    FirstBytes, ///< first bytes of the status line
    Nothing, ///< no byte
};

/// Returns the next chunk of a streamed answer; an empty chunk ends the answer.
using NextChunk = std::function<boost::asio::awaitable<std::string>()>;

/// Answer of a handler.
struct Answer {
    unsigned status = 200;
    std::vector<HttpField> fields = {};
    std::string body = {};
    bool close = false; ///< the answer carries "Connection: close"
    Delivery delivery = Delivery::Complete;
    NextChunk next = {}; ///< source of the chunks of a streamed answer; empty: the answer is `body`
    std::string stray = {}; ///< bytes that belong to no request, sent after the answer
};

/// Returns an answer whose body is JSON.
Answer jsonAnswer(unsigned status, std::string json);

using Handler = std::function<boost::asio::awaitable<Answer>(Request)>;

/// What happens to a running handler when the caller closes the connection.
enum class OnClose
{
    Cancel, ///< the handler is cancelled
    Finish, ///< the handler runs to its end
};

/// HTTP/1.1 server that runs on one event loop.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, const Endpoint &listen, Handler handler, OnClose onClose);

    /// Address on which the server listens.
    Endpoint endpoint() const;
    /// Serial number of the newest connection.
    std::uint64_t newestConnection() const { return m_connections; }
    /// Closes the listening socket, so that new connections are refused.
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

/// Unix time in milliseconds; all processes of a machine read the same clock.
std::int64_t unixMilliseconds();

/// Calls @p stop on the first SIGTERM or SIGINT.
void stopOnSignal(boost::asio::io_context &context, std::function<void()> stop);
}
