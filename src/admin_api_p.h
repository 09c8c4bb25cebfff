#pragma once

#include "environment_p.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include <functional>
#include <string>

/// Administration API under /v1 of a daemon's admin port.
namespace plumsill
{
/// What the API needs of its daemon.
struct AdminContext {
    std::string environment; ///< that the daemon serves
    std::string token; ///< of changing calls; empty: they are all refused
    StoreCaller store;
    HoldersQuery holders;
    std::function<DocumentStamp()> held;
    std::function<boost::json::object()> status;
};

using AdminRequest = boost::beast::http::request<boost::beast::http::string_body>;
using AdminResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Whether the API answers for this path; all others are the daemon's own.
bool isAdminApi(std::string_view target);
/// Whether the request carries @p token as its bearer; takes as long for a wrong token as for the right one.
bool authorized(const AdminRequest &request, std::string_view token);

boost::asio::awaitable<AdminResponse> answerAdminCall(const AdminContext &context, const AdminRequest &request);
}
