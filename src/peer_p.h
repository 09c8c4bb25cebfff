#pragma once

#include <plumsill/codec.h>
#include <plumsill/messages.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

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
    TooLarge, ///< doesn't fit a datagram or the bound of a stream: the caller must split it
    Unreachable,
    Timeout,
    Closed, ///< the peer had no reply, or broke off
    Undecodable,
};

const char *toString(PeerError error);

/// Counters of the peer port.
struct PeerCounters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t dropped = 0; ///< bad MAC, malformed, or too long
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsServed = 0;
};

/// UDP and TCP port for the other daemons, on one port number. Used by the control thread alone.
class PeerPort
{
public:
    using Receiver = std::function<void(const Envelope &)>;
    /// Gives the reply to a request over TCP; none closes the connection.
    using Responder = std::function<std::optional<Envelope>(const Envelope &)>;

    PeerPort(boost::asio::io_context &context, std::string secret);
    ~PeerPort();
    PeerPort(const PeerPort &) = delete;
    PeerPort &operator=(const PeerPort &) = delete;

    /// Secret for messages from now on; none are taken before it is set.
    void setSecret(std::string secret);
    /// Binds both sockets; returns the endpoint with its real port.
    Outcome<Endpoint, PeerError> open(const Endpoint &listen);
    void start(Receiver receiver, Responder responder);
    void close();

    Outcome<void, PeerError> sendDatagram(const Endpoint &to, const Envelope &envelope);
    /// One request and one reply on a connection of its own.
    boost::asio::awaitable<Outcome<Envelope, PeerError>> request(Endpoint to, Envelope envelope);

    const PeerCounters &counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};
}
