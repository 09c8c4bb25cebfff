#pragma once

#include "environment_p.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include <functional>
#include <string>

/// Administration API under /v1 on a daemon's admin port.
namespace plumsill
{
/// The daemon's state and functions that the API uses.
struct AdminContext {
    std::string environment; ///< environment that the daemon serves
    std::string token; ///< bearer token required for changes; when empty, all changes are refused
    StoreCaller store;
    HoldersQuery holders;
    std::function<DocumentStamp()> held; ///< stamp of the document that the daemon holds
    std::function<boost::json::object()> status; ///< body of /v1/status
};

using AdminRequest = boost::beast::http::request<boost::beast::http::string_body>;
using AdminResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Whether the request target (path and query) @p target belongs to the administration API.
bool isAdminApi(std::string_view target);
/// Whether the request carries @p token as its bearer token. The comparison runs in constant time.
bool authorized(const AdminRequest &request, std::string_view token);

/// Handles one request to the administration API.
boost::asio::awaitable<AdminResponse> answerAdminCall(const AdminContext &context, const AdminRequest &request);
}
