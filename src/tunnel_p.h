#pragma once

#include <plumsill/helpers.h>
#include <plumsill/messages.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <string>

/// Connections to targets that lead through another daemon, the helper. The helper passes bytes on both ways and reads none
/// of them, so the daemon that asks for a tunnel keeps all promises to its caller itself.
namespace plumsill
{
/// What a traffic thread needs to open a tunnel. The control thread signs the request, since only it knows the peer port's secret.
struct TunnelTicket : boost::intrusive_ref_counter<TunnelTicket> {
    Helper helper;
    std::string request; ///< encoded envelope with the TunnelRequest
    std::string secret; ///< verifies the reply
};

using TunnelTicketPtr = boost::intrusive_ptr<const TunnelTicket>;

/// Asks the helper on @p socket, which is connected to its peer port, for the tunnel. The bytes that follow the reply are the target's.
boost::asio::awaitable<TunnelStatus> requestTunnel(boost::asio::ip::tcp::socket &socket, const TunnelTicket &ticket);

/// Passes bytes on between both sockets until both directions have ended, or none has carried a byte for a while. A broken
/// connection breaks the other one as well, so that a truncated answer never looks complete. Once @p draining returns true, the
/// tunnel ends when the target has sent the last bytes.
boost::asio::awaitable<void> runTunnel(boost::asio::ip::tcp::socket asker, boost::asio::ip::tcp::socket target, std::function<bool()> draining);
}
