#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

/// Messages between daemons on a TCP connection: a length of four bytes, most significant first, then the message.
namespace plumsill
{
boost::asio::awaitable<boost::system::error_code> writeFrame(boost::asio::ip::tcp::socket &socket, const std::string &message);
/// Returns an empty string when the peer closes the connection or announces a length above the maximum. Reads no byte beyond the message.
boost::asio::awaitable<std::string> readFrame(boost::asio::ip::tcp::socket &socket);
}
