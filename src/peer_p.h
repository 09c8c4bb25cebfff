#pragma once

#include "tunnel_p.h"

#include <plumsill/codec.h>
#include <plumsill/messages.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plumsill
{
enum class PeerError
{
    CannotBind,
    TooLarge, ///< exceeds the maximum size of a datagram or a stream message; the caller must split it
    Unreachable,
    Timeout,
    Closed, ///< the peer closed the connection without a complete reply
    Undecodable,
    NoSecret, ///< no secret is set, so nothing can be signed
};

const char *toString(PeerError error);

/// Traffic counters of the peer port.
struct PeerCounters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t dropped = 0; ///< messages with a bad signature, malformed or too long
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsServed = 0;
};

/// Connection to a target that a daemon opened for another one.
struct OpenedTunnel {
    Envelope reply;
    std::optional<boost::asio::ip::tcp::socket> target; ///< empty where the tunnel was refused
};

/// UDP and TCP port for messages between daemons, both with the same port number. Used by the control thread only.
class PeerPort
{
public:
    using Receiver = std::function<void(const Envelope &)>;
    /// Returns the reply to a request over TCP; without a reply the connection is closed.
    using Responder = std::function<std::optional<Envelope>(const Envelope &)>;
    /// Opens a connection for another daemon's tunnel.
    using TunnelOpener = std::function<boost::asio::awaitable<OpenedTunnel>(const TunnelRequest &)>;

    PeerPort(boost::asio::io_context &context, std::string secret);
    ~PeerPort();
    PeerPort(const PeerPort &) = delete;
    PeerPort &operator=(const PeerPort &) = delete;

    /// Sets the secret for signing and verifying messages from now on. Received messages that were signed with another
    /// secret are dropped. While the secret is empty, all received messages are dropped and nothing is sent.
    void setSecret(std::string secret);
    /// Binds both sockets and returns the endpoint with its actual port.
    Outcome<Endpoint, PeerError> open(const Endpoint &listen);
    /// Starts receiving. @p receiver is called for each datagram and request, @p responder for each request.
    void start(Receiver receiver, Responder responder);
    void close();
    /// Opens tunnels that other daemons ask for with @p opener; without one they are refused by closing the connection.
    void serveTunnels(TunnelOpener opener);
    /// Ends tunnels as soon as no request runs through them.
    void drainTunnels();
    /// Number of tunnels of other daemons that lead through this one.
    std::size_t tunnels() const;
    /// Signs a request for a tunnel through @p helper.
    TunnelTicketPtr tunnelTicket(const Helper &helper, const Envelope &request) const;

    /// Sends one datagram without waiting; a datagram that the system can't take is lost.
    Outcome<void, PeerError> sendDatagram(const Endpoint &to, const Envelope &envelope);
    /// Sends one request and receives its reply over a new TCP connection.
    boost::asio::awaitable<Outcome<Envelope, PeerError>> request(Endpoint to, Envelope envelope);

    const PeerCounters &counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};
}
