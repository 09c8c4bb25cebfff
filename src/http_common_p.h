#pragma once

#include "http_client_p.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>

#include <sys/socket.h>

#include <cerrno>

/// Helpers shared by HTTP clients and servers.
namespace plumsill
{
/// True when the peer has closed the connection. False while there are unread bytes, even if the peer has closed the connection after them.
inline bool closedByPeer(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

inline boost::asio::ip::tcp::endpoint toAsio(const Endpoint &endpoint)
{
    return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

/// Removes the body from an answer to a HEAD request, which ends with its head. Its length stays: that of the answer to a GET request.
template<class Answer>
void endWithHead(boost::beast::http::verb method, Answer &answer)
{
    if (method == boost::beast::http::verb::head) {
        answer.body().clear();
    }
}

template<class Fields>
std::vector<HttpField> copyFields(const Fields &fields)
{
    std::vector<HttpField> copy;
    for (const auto &field : fields) {
        copy.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return copy;
}

}
