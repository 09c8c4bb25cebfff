#pragma once

#include "clock_p.h"

#include <plumsill/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/outcome/result.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 client for the command-line programs and the tests.
/// Requests of callers are forwarded by TargetPool instead.
namespace plumsill
{
/// One header field.
struct HttpField {
    std::string name;
    std::string value;

    auto operator<=>(const HttpField &) const = default;
};

/// Value of the first field with this name (case-insensitive); an empty string when there is none.
std::string fieldValue(const std::vector<HttpField> &fields, std::string_view name);

struct HttpRequest {
    std::string method;
    std::string target; ///< path and query
    std::vector<HttpField> fields;
    std::string body;
};

struct HttpAnswer {
    unsigned status = 0;
    std::vector<HttpField> fields;
    std::string body;
    bool keepAlive = false;
};

/// Reason why a request got no complete answer.
enum class HttpError
{
    Refused, ///< the connection could not be opened
    ClosedWithoutAnswer, ///< the connection was closed before the first byte of the answer
    Truncated, ///< the connection was closed before the end of the answer
    Malformed,
    TimedOut,
};

/// Description of the error for messages.
const char *toString(HttpError error);

using HttpResult = boost::outcome_v2::result<HttpAnswer, HttpError>;

/// One persistent connection, which carries one request at a time.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// True when the connection is open and the server has not closed it.
    bool usable();
    /// Opens a connection to @p peer, closing any earlier one. Returns false on failure.
    boost::asio::awaitable<bool> connect(Endpoint peer);
    /// Sends the request and reads the answer; closes the connection on failure or when the server does not keep it alive.
    boost::asio::awaitable<HttpResult> exchange(HttpRequest request, Duration timeout);
    void close();
    /// When the connection was opened or carried its last answer.
    TimePoint lastAnswerAt() const { return m_lastAnswerAt; }

private:
    struct Connection;

    std::unique_ptr<Connection> m_connection;
    TimePoint m_lastAnswerAt;
};

/// Sends one request on a new connection; blocks the calling thread until the result is known.
HttpResult exchangeOnce(const Endpoint &peer, HttpRequest request, Duration timeout);
}
