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

/// Small HTTP/1.1 client for the command-line programs and the tests; traffic goes another way.
namespace plumsill
{
/// One header field.
struct HttpField {
    std::string name;
    std::string value;

    auto operator<=>(const HttpField &) const = default;
};

/// Value of the first field of that name (any case), or an empty string.
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

/// Why a request got no whole answer.
enum class HttpError
{
    Refused, ///< no connection
    Cut, ///< closed before the first byte of an answer
    Truncated, ///< closed within the answer
    Malformed,
    TimedOut,
};

/// Short sentence for messages.
const char *toString(HttpError error);

using HttpResult = boost::outcome_v2::result<HttpAnswer, HttpError>;

/// One kept-alive connection; one request at a time.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// False also when the other end has closed the idle connection.
    bool usable();
    boost::asio::awaitable<bool> connect(Endpoint peer);
    boost::asio::awaitable<HttpResult> exchange(HttpRequest request, Duration timeout);
    void close();

private:
    struct Connection;

    std::unique_ptr<Connection> m_connection;
};

/// One request on a connection of its own; blocks the calling thread until the result is there.
HttpResult exchangeOnce(const Endpoint &peer, HttpRequest request, Duration timeout);
}
