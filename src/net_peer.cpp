#include "pch_p.h"

#include <plumsill/config.h>

#include "clock_p.h"
#include "frames_p.h"
#include "peer_p.h"
#include "tunnel_p.h"

#include <array>
#include <set>

// UDP and TCP share one port number, so that a member has one endpoint. Timeouts of streams are measured with
// RuntimeClock, which tests can pause and advance.
namespace plumsill
{
namespace
{
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

constexpr int BindAttempts = 20;

template<class Protocol>
std::optional<typename Protocol::endpoint> toAsioEndpoint(const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    return error ? std::nullopt : std::optional(typename Protocol::endpoint(address, endpoint.port));
}

// Closes a stream that exceeds its time limit. The timer's handler may still be queued when the Deadline is destroyed,
// so the handler shares ownership of the state.
class Deadline
{
public:
    Deadline(tcp::socket &socket, Duration duration)
        : m_timer(socket.get_executor(), RuntimeClock::now() + duration)
        , m_state(std::make_shared<Progress>(Progress::Working))
    {
        m_timer.async_wait([&socket, state = m_state](const error_code &error) {
            if (!error && *state == Progress::Working) {
                *state = Progress::Expired;
                error_code ignored;
                socket.close(ignored);
            }
        });
    }
    ~Deadline() { *m_state = Progress::Done; }
    Deadline(const Deadline &) = delete;
    Deadline &operator=(const Deadline &) = delete;

    bool expired() const { return *m_state == Progress::Expired; }

private:
    enum class Progress
    {
        Working,
        Expired,
        Done,
    };

    RuntimeTimer m_timer;
    std::shared_ptr<Progress> m_state;
};

}

const char *toString(PeerError error)
{
    switch (error) {
    case PeerError::CannotBind:
        return "cannot bind";
    case PeerError::TooLarge:
        return "message too large";
    case PeerError::Unreachable:
        return "unreachable";
    case PeerError::Timeout:
        return "timeout";
    case PeerError::Closed:
        return "closed without a reply";
    case PeerError::Undecodable:
        return "undecodable reply";
    case PeerError::NoSecret:
        return "no secret yet";
    }
    return "unknown";
}

struct PeerPort::State : std::enable_shared_from_this<PeerPort::State> {
    State(asio::io_context &context, std::string secretText)
        : secret(std::move(secretText))
        , datagrams(context)
        , acceptor(context)
    { }

    bool bind(const Endpoint &listen);
    void close();
    Outcome<Envelope, PeerError> decoded(std::string_view bytes);
    asio::awaitable<void> receiveDatagrams();
    asio::awaitable<void> acceptStreams();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> serveTunnel(tcp::socket socket, TunnelRequest request);
    asio::awaitable<std::optional<TunnelRequest>> serveRequest(tcp::socket &socket);
    asio::awaitable<Outcome<Envelope, PeerError>> request(Endpoint to, Envelope envelope);

    std::string secret;
    udp::socket datagrams;
    tcp::acceptor acceptor;
    Receiver receiver;
    Responder responder;
    TunnelOpener tunnelOpener;
    std::size_t tunnels = 0;
    bool drainsTunnels = false;
    PeerCounters counters;
    std::size_t streams = 0;
    bool closed = false;
};

bool PeerPort::State::bind(const Endpoint &listen)
{
    const auto stream = toAsioEndpoint<tcp>(listen);
    if (!stream) {
        return false;
    }
    error_code error;
    close();
    closed = false;
    acceptor.open(stream->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*stream, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return false;
    }
    const udp::endpoint datagramEndpoint(stream->address(), acceptor.local_endpoint().port());
    datagrams.open(datagramEndpoint.protocol(), error);
    datagrams.bind(datagramEndpoint, error);
    return !error;
}

void PeerPort::State::close()
{
    closed = true;
    error_code ignored;
    datagrams.close(ignored);
    acceptor.close(ignored);
}

Outcome<Envelope, PeerError> PeerPort::State::decoded(std::string_view bytes)
{
    counters.bytesReceived += bytes.size();
    auto envelope = decode(bytes, secret);
    if (!envelope) {
        ++counters.dropped;
        return PeerError::Undecodable;
    }
    return std::move(envelope).assume_value();
}

// Receiving ends when the socket is closed. Other errors, such as an ICMP message about an earlier datagram, are
// skipped.
asio::awaitable<void> PeerPort::State::receiveDatagrams()
{
    const auto self = shared_from_this();
    std::array<char, config::MaxDatagramBytes + 1> buffer {};
    udp::endpoint sender;
    while (!closed) {
        error_code error;
        const auto size = co_await datagrams.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            continue;
        }
        ++counters.datagramsReceived;
        if (const auto envelope = decoded({buffer.data(), size})) {
            receiver(envelope.assume_value());
        }
    }
}

asio::awaitable<void> PeerPort::State::acceptStreams()
{
    const auto self = shared_from_this();
    while (!closed) {
        error_code error;
        tcp::socket socket(acceptor.get_executor());
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            co_await sleepFor(config::PeerAcceptBackoff);
        } else if (streams < config::MaxPeerStreams) {
            asio::co_spawn(acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> PeerPort::State::serve(tcp::socket socket)
{
    const auto self = shared_from_this();
    ++streams;
    const std::optional<TunnelRequest> tunnelRequest = co_await serveRequest(socket);
    --streams;
    if (tunnelRequest) {
        co_await serveTunnel(std::move(socket), *tunnelRequest);
    }
}

// Returns the request for a tunnel, which takes over the connection.
asio::awaitable<std::optional<TunnelRequest>> PeerPort::State::serveRequest(tcp::socket &socket)
{
    const Deadline deadline(socket, config::PeerRequestTimeout);
    const std::string bytes = co_await readFrame(socket);
    const auto envelope = decoded(bytes);
    if (!envelope || closed) {
        co_return std::nullopt;
    }
    ++counters.requestsServed;
    receiver(envelope.assume_value());
    if (const auto *tunnelRequest = std::get_if<TunnelRequest>(&envelope.assume_value().message)) {
        co_return *tunnelRequest;
    }
    if (const auto reply = responder(envelope.assume_value())) {
        const std::string message = encode(*reply, secret);
        counters.bytesSent += message.size();
        co_await writeFrame(socket, message);
    }
    co_return std::nullopt;
}

asio::awaitable<void> PeerPort::State::serveTunnel(tcp::socket socket, TunnelRequest request)
{
    const auto self = shared_from_this();
    if (!tunnelOpener) {
        co_return;
    }
    ++tunnels;
    OpenedTunnel opened = co_await tunnelOpener(request);
    const std::string reply = encode(opened.reply, secret);
    const error_code error = co_await writeFrame(socket, reply);
    if (opened.target && !error) {
        const std::function<bool()> draining = [self] { return self->drainsTunnels; };
        co_await runTunnel(std::move(socket), std::move(*opened.target), draining);
    }
    --tunnels;
}

asio::awaitable<Outcome<Envelope, PeerError>> PeerPort::State::request(Endpoint to, Envelope envelope)
{
    const auto self = shared_from_this();
    if (secret.empty()) {
        co_return PeerError::NoSecret;
    }
    const std::string message = encode(envelope, secret);
    const auto target = toAsioEndpoint<tcp>(to);
    if (message.size() > config::MaxStreamMessageBytes) {
        co_return PeerError::TooLarge;
    }
    if (!target) {
        co_return PeerError::Unreachable;
    }
    tcp::socket socket(acceptor.get_executor());
    const Deadline deadline(socket, config::PeerRequestTimeout);
    error_code error;
    co_await socket.async_connect(*target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return deadline.expired() ? PeerError::Timeout : PeerError::Unreachable;
    }
    ++counters.requestsSent;
    counters.bytesSent += message.size();
    error = co_await writeFrame(socket, message);
    std::string bytes;
    if (!error) {
        bytes = co_await readFrame(socket);
    }
    if (bytes.empty()) {
        co_return deadline.expired() ? PeerError::Timeout : PeerError::Closed;
    }
    co_return decoded(bytes);
}

PeerPort::PeerPort(asio::io_context &context, std::string secret)
    : m_state(std::make_shared<State>(context, std::move(secret)))
{ }

void PeerPort::setSecret(std::string secret)
{
    m_state->secret = std::move(secret);
}

PeerPort::~PeerPort()
{
    close();
}

// With port 0 the system picks a free TCP port. If the UDP port of the same number is in use, another pair is tried, up
// to BindAttempts times in total.
Outcome<Endpoint, PeerError> PeerPort::open(const Endpoint &listen)
{
    const int attempts = listen.port == 0 ? BindAttempts : 1;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        if (m_state->bind(listen)) {
            return Endpoint {listen.address, m_state->acceptor.local_endpoint().port()};
        }
    }
    return PeerError::CannotBind;
}

void PeerPort::start(Receiver receiver, Responder responder)
{
    m_state->receiver = std::move(receiver);
    m_state->responder = std::move(responder);
    const auto executor = m_state->acceptor.get_executor();
    asio::co_spawn(executor, m_state->receiveDatagrams(), asio::detached);
    asio::co_spawn(executor, m_state->acceptStreams(), asio::detached);
}

void PeerPort::serveTunnels(TunnelOpener opener)
{
    m_state->tunnelOpener = std::move(opener);
}

void PeerPort::drainTunnels()
{
    m_state->drainsTunnels = true;
}

std::size_t PeerPort::tunnels() const
{
    return m_state->tunnels;
}

TunnelTicketPtr PeerPort::tunnelTicket(const Helper &helper, const Envelope &request) const
{
    const boost::intrusive_ptr<TunnelTicket> ticket(new TunnelTicket);
    ticket->helper = helper;
    ticket->request = encode(request, m_state->secret);
    ticket->secret = m_state->secret;
    return ticket;
}

void PeerPort::close()
{
    m_state->close();
}

// A datagram that the system can't accept at once is dropped without an error. Callers must handle lost datagrams in
// any case, since the network may drop them too.
Outcome<void, PeerError> PeerPort::sendDatagram(const Endpoint &to, const Envelope &envelope)
{
    if (m_state->secret.empty()) {
        return PeerError::NoSecret;
    }
    const std::string message = encode(envelope, m_state->secret);
    if (message.size() > config::MaxDatagramBytes) {
        return PeerError::TooLarge;
    }
    const auto target = toAsioEndpoint<udp>(to);
    if (!target) {
        return PeerError::Unreachable;
    }
    error_code error;
    m_state->datagrams.non_blocking(true, error);
    m_state->datagrams.send_to(asio::buffer(message), *target, 0, error);
    ++m_state->counters.datagramsSent;
    m_state->counters.bytesSent += message.size();
    if (error && error != asio::error::would_block) {
        return PeerError::Unreachable;
    }
    return boost::outcome_v2::success();
}

asio::awaitable<Outcome<Envelope, PeerError>> PeerPort::request(Endpoint to, Envelope envelope)
{
    return m_state->request(std::move(to), std::move(envelope));
}

const PeerCounters &PeerPort::counters() const
{
    return m_state->counters;
}
}
