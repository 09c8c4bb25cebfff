#include "peer_p.h"

#include "socket_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace plumsill
{
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

namespace
{
constexpr std::size_t FrameHeaderBytes = 4;
constexpr std::size_t ReceiveBytes = 65536;
constexpr unsigned BindAttempts = 20;

auto token(error_code &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

template<class Protocol>
typename Protocol::endpoint addressOf(const Endpoint &endpoint)
{
    return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

// A frame is the length of the message, big endian, and the message.
boost::asio::awaitable<bool> writeFrame(TimedSocket &stream, std::string message)
{
    std::array<unsigned char, FrameHeaderBytes> header {};
    boost::endian::store_big_u32(header.data(), static_cast<std::uint32_t>(message.size()));
    const std::array<boost::asio::const_buffer, 2> buffers {boost::asio::buffer(header), boost::asio::buffer(message)};
    error_code error;
    co_await boost::asio::async_write(stream, buffers, token(error));
    co_return !error;
}

boost::asio::awaitable<Outcome<std::string, PeerError>> readFrame(TimedSocket &stream)
{
    std::array<unsigned char, FrameHeaderBytes> header {};
    error_code error;
    co_await boost::asio::async_read(stream, boost::asio::buffer(header), token(error));
    if (error) {
        co_return stream.cause(error) == boost::beast::error::timeout ? PeerError::Timeout : PeerError::Closed;
    }
    const std::size_t size = boost::endian::load_big_u32(header.data());
    if (size > config::MaxStreamMessageBytes) {
        co_return PeerError::TooLarge;
    }
    std::string message(size, '\0');
    co_await boost::asio::async_read(stream, boost::asio::buffer(message), token(error));
    if (error) {
        co_return stream.cause(error) == boost::beast::error::timeout ? PeerError::Timeout : PeerError::Closed;
    }
    co_return message;
}
}

const char *toString(PeerError error)
{
    switch (error) {
    case PeerError::CannotBind:
        return "cannot bind";
    case PeerError::TooLarge:
        return "message too large";
    case PeerError::Unreachable:
        return "peer unreachable";
    case PeerError::Timeout:
        return "peer timed out";
    case PeerError::Closed:
        return "peer closed the connection";
    case PeerError::Undecodable:
        return "undecodable message";
    }
    return "unknown error";
}

struct PeerPort::State : std::enable_shared_from_this<PeerPort::State> {
    State(boost::asio::io_context &ioContext, std::string cellSecret)
        : context(ioContext)
        , secret(std::move(cellSecret))
        , datagrams(ioContext)
        , acceptor(ioContext)
    { }

    bool bind(const Endpoint &listen);
    boost::asio::awaitable<void> receiveDatagrams();
    boost::asio::awaitable<void> acceptStreams();
    boost::asio::awaitable<void> serveStream(tcp::socket socket);
    void close();

    boost::asio::io_context &context;
    const std::string secret;
    udp::socket datagrams;
    tcp::acceptor acceptor;
    Receiver receiver;
    Responder responder;
    PeerCounters counters;
};

// UDP and TCP share a number, so a port that the system picks for one may be taken for the other.
bool PeerPort::State::bind(const Endpoint &listen)
{
    error_code error;
    close();
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor.bind(addressOf<tcp>(listen), error);
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return false;
    }
    const Endpoint same {listen.address, acceptor.local_endpoint().port()};
    datagrams.open(udp::v4(), error);
    datagrams.bind(addressOf<udp>(same), error);
    datagrams.non_blocking(true, error);
    return !error && datagrams.local_endpoint().port() == same.port;
}

void PeerPort::State::close()
{
    error_code ignored;
    datagrams.close(ignored);
    acceptor.close(ignored);
}

boost::asio::awaitable<void> PeerPort::State::receiveDatagrams()
{
    const auto self = shared_from_this();
    std::string bytes(ReceiveBytes, '\0');
    while (datagrams.is_open()) {
        error_code error;
        udp::endpoint from;
        const auto size = co_await datagrams.async_receive_from(boost::asio::buffer(bytes), from, token(error));
        if (error) {
            continue;
        }
        ++counters.datagramsReceived;
        counters.bytesReceived += size;
        const auto envelope = decode(std::string_view(bytes.data(), size), secret);
        if (!envelope) {
            ++counters.dropped;
            continue;
        }
        receiver(envelope.value());
    }
}

boost::asio::awaitable<void> PeerPort::State::acceptStreams()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        error_code error;
        tcp::socket socket = co_await acceptor.async_accept(token(error));
        if (!error) {
            boost::asio::co_spawn(context, serveStream(std::move(socket)), boost::asio::detached);
        } else if (acceptor.is_open()) {
            co_await sleepFor(config::AcceptRetryDelay);
        }
    }
}

boost::asio::awaitable<void> PeerPort::State::serveStream(tcp::socket socket)
{
    const auto self = shared_from_this();
    TimedSocket stream(std::move(socket));
    stream.expiresAfter(config::PeerRequestTimeout);
    const auto message = co_await readFrame(stream);
    if (!message) {
        co_return;
    }
    counters.bytesReceived += message.value().size();
    const auto request = decode(message.value(), secret);
    if (!request) {
        ++counters.dropped;
        co_return;
    }
    ++counters.requestsServed;
    const auto reply = responder(request.value());
    if (reply) {
        std::string bytes = encode(*reply, secret);
        counters.bytesSent += bytes.size();
        co_await writeFrame(stream, std::move(bytes));
    }
}

PeerPort::PeerPort(boost::asio::io_context &context, std::string secret)
    : m_state(std::make_shared<State>(context, std::move(secret)))
{ }

PeerPort::~PeerPort()
{
    close();
}

Outcome<Endpoint, PeerError> PeerPort::open(const Endpoint &listen)
{
    for (unsigned attempt = 0; attempt < BindAttempts; ++attempt) {
        if (m_state->bind(listen)) {
            return Endpoint {listen.address, m_state->acceptor.local_endpoint().port()};
        }
        if (listen.port != 0) {
            break;
        }
    }
    return PeerError::CannotBind;
}

void PeerPort::start(Receiver receiver, Responder responder)
{
    m_state->receiver = std::move(receiver);
    m_state->responder = std::move(responder);
    boost::asio::co_spawn(m_state->context, m_state->receiveDatagrams(), boost::asio::detached);
    boost::asio::co_spawn(m_state->context, m_state->acceptStreams(), boost::asio::detached);
}

void PeerPort::close()
{
    m_state->close();
}

// A full socket buffer drops the datagram, as the network might: every sender repeats what matters.
Outcome<void, PeerError> PeerPort::sendDatagram(const Endpoint &to, const Envelope &envelope)
{
    const std::string bytes = encode(envelope, m_state->secret);
    if (bytes.size() > config::MaxDatagramBytes) {
        return PeerError::TooLarge;
    }
    error_code error;
    m_state->datagrams.send_to(boost::asio::buffer(bytes), addressOf<udp>(to), 0, error);
    if (error) {
        return PeerError::Unreachable;
    }
    ++m_state->counters.datagramsSent;
    m_state->counters.bytesSent += bytes.size();
    return boost::outcome_v2::success();
}

boost::asio::awaitable<Outcome<Envelope, PeerError>> PeerPort::request(Endpoint to, Envelope envelope)
{
    const auto state = m_state;
    TimedSocket stream(state->context.get_executor());
    stream.expiresAfter(config::PeerRequestTimeout);
    error_code error;
    co_await stream.socket().async_connect(addressOf<tcp>(to), token(error));
    if (error) {
        co_return PeerError::Unreachable;
    }
    std::string bytes = encode(envelope, state->secret);
    state->counters.bytesSent += bytes.size();
    ++state->counters.requestsSent;
    const bool written = co_await writeFrame(stream, std::move(bytes));
    if (!written) {
        co_return PeerError::Closed;
    }
    const auto message = co_await readFrame(stream);
    if (!message) {
        co_return message.error();
    }
    state->counters.bytesReceived += message.value().size();
    auto reply = decode(message.value(), state->secret);
    if (!reply) {
        co_return PeerError::Undecodable;
    }
    co_return std::move(reply.value());
}

const PeerCounters &PeerPort::counters() const
{
    return m_state->counters;
}
}
