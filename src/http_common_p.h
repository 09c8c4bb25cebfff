#pragma once

#include "http_client_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <cerrno>

/// What the small HTTP client and the stand-ins' server share.
namespace plumsill
{
/// True once the other end has closed; never for one that only sent more.
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
