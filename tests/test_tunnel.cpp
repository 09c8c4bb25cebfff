#include "peer_p.h"

#include "clock_p.h"

#include <plumsill/codec.h>
#include <plumsill/config.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{
const Endpoint anyPort {"127.0.0.1", 0};
}

/// A helper's peer port, and a listening socket as the target.
TEST_GROUP(Tunnel)
{
    asio::io_context context;
    PeerPort helper {context, "secret"};
    PeerPort asker {context, "secret"};
    tcp::acceptor acceptor {context, {asio::ip::make_address("127.0.0.1"), 0}};
    Endpoint helperEndpoint;
    tcp::socket socket {context}; ///< asker's end
    tcp::socket target {context}; ///< target's end
    std::optional<TunnelStatus> status;
    TunnelStatus refusal = TunnelStatus::Unreachable;
    bool opens = true;

    void setup() override
    {
        helperEndpoint = helper.open(anyPort).assume_value();
        helper.start([](const Envelope & /*envelope*/) {}, [](const Envelope & /*envelope*/) { return std::nullopt; });
        helper.serveTunnels([this](const TunnelRequest &request) { return connect(request); });
    }
    static Envelope envelopeOf(Message message)
    {
        return {{InstanceName {"a"}, 1}, {"127.0.0.1", 1}, 1, std::move(message)};
    }
    asio::awaitable<OpenedTunnel> connect(TunnelRequest request)
    {
        if (!opens) {
            co_return OpenedTunnel {envelopeOf(TunnelReply {refusal}), std::nullopt};
        }
        tcp::socket opened(context);
        const tcp::endpoint endpoint(asio::ip::make_address(request.endpoint.address), request.endpoint.port);
        co_await opened.async_connect(endpoint, asio::use_awaitable);
        co_return OpenedTunnel {envelopeOf(TunnelReply {TunnelStatus::Open}), std::move(opened)};
    }
    asio::awaitable<void> ask(TunnelTicketPtr ticket)
    {
        status = co_await requestTunnel(socket, *ticket);
    }
    void runUntil(const std::function<bool()> &done)
    {
        while (!done() && context.run_one_for(std::chrono::seconds(5)) > 0) {
        }
        CHECK_TRUE(done());
    }
    void open(const PeerPort &signer)
    {
        const auto local = acceptor.local_endpoint();
        acceptor.async_accept(target, [](const error_code & /*error*/) {});
        socket.connect({asio::ip::make_address(helperEndpoint.address), helperEndpoint.port});
        const TunnelRequest request {{"t1"}, {local.address().to_string(), local.port()}};
        asio::co_spawn(context, ask(signer.tunnelTicket({{"h"}, helperEndpoint}, envelopeOf(request))), asio::detached);
        runUntil([this] { return status.has_value(); });
    }
    void openAndAccept()
    {
        open(asker);
        CHECK(status == TunnelStatus::Open);
        runUntil([this] { return target.is_open(); });
    }
    /// Sends bytes from one end, and returns what arrives at the other.
    std::string pass(tcp::socket & from, tcp::socket & to, const std::string &bytes)
    {
        std::string received(bytes.size(), ' ');
        bool done = false;
        asio::async_write(from, asio::buffer(bytes), [](const error_code & /*error*/, std::size_t /*count*/) {});
        asio::async_read(to, asio::buffer(received), [&done](const error_code & /*error*/, std::size_t /*count*/) { done = true; });
        runUntil([&done] { return done; });
        return received;
    }
    /// Error with which a read at that end returns.
    error_code readError(tcp::socket & at)
    {
        std::array<char, 1> byte {};
        std::optional<error_code> result;
        at.async_read_some(asio::buffer(byte), [&result](const error_code &error, std::size_t /*count*/) { result = error; });
        runUntil([&result] { return result.has_value(); });
        return *result;
    }
};

TEST(Tunnel, BytesPassUnchangedInBothDirections)
{
    openAndAccept();
    CHECK(pass(socket, target, "GET / HTTP/1.1\r\n\r\n") == "GET / HTTP/1.1\r\n\r\n");
    const std::string large(3'000'000, 'x');
    CHECK(pass(target, socket, large) == large);
    LONGS_EQUAL(1, helper.tunnels());
}

// Guards against an answer that ends early and looks complete because the helper closes its connection in an orderly way.
TEST(Tunnel, ResetOfTheTargetReachesTheAskerAsAReset)
{
    openAndAccept();
    target.set_option(asio::socket_base::linger(true, 0));
    target.close();
    CHECK(readError(socket) == asio::error::connection_reset);
    runUntil([this] { return helper.tunnels() == 0; });
}

// Guards against a target that works on for a caller who has left.
TEST(Tunnel, TargetSeesThatTheAskerHasClosed)
{
    openAndAccept();
    socket.close();
    CHECK(readError(target) == asio::error::eof);
    target.close();
    runUntil([this] { return helper.tunnels() == 0; });
}

TEST(Tunnel, RefusalsKeepTheirReason)
{
    opens = false;
    open(asker);
    CHECK(status == TunnelStatus::Unreachable);
    runUntil([this] { return helper.tunnels() == 0; });
}

// Guards against callers who use the helper's port to reach targets.
TEST(Tunnel, RequestWithAnotherSecretOpensNothing)
{
    PeerPort stranger(context, "another secret");
    open(stranger);
    CHECK(status == TunnelStatus::Unavailable);
    CHECK(!target.is_open());
}

// Guards against a planned stop of the helper that cuts a request short or waits for tunnels in which none runs.
TEST(Tunnel, DrainEndsATunnelOnlyAfterTheAnswer)
{
    openAndAccept();
    pass(socket, target, "request");
    helper.drainTunnels();
    const TimePoint until = RuntimeClock::now() + std::chrono::milliseconds(1200);
    runUntil([until] { return RuntimeClock::now() > until; });
    LONGS_EQUAL(1, helper.tunnels());
    pass(target, socket, "answer");
    runUntil([this] { return helper.tunnels() == 0; });
}

// Guards against a planned stop of the helper that resets an answer whose bytes wait for an asker that reads slowly.
TEST(Tunnel, DrainDoesNotCutAnAnswerThatIsReadSlowly)
{
    // More than the kernel buffers, so that the helper waits to write, and less.
    for (const std::size_t size : {64'000'000, 100'000}) {
        socket = tcp::socket(context);
        target = tcp::socket(context);
        status.reset();
        openAndAccept();
        const std::string answer(size, 'x');
        asio::async_write(target, asio::buffer(answer), [](const error_code & /*error*/, std::size_t /*count*/) {});
        helper.drainTunnels();
        const TimePoint until = RuntimeClock::now() + 3 * config::TunnelCheckInterval;
        runUntil([until] { return RuntimeClock::now() > until; });
        std::string received(size, ' ');
        std::optional<error_code> result;
        asio::async_read(socket, asio::buffer(received), [&result](const error_code &error, std::size_t /*count*/) { result = error; });
        runUntil([&result] { return result.has_value(); });
        CHECK(!*result);
        CHECK(received == answer);
        runUntil([this] { return helper.tunnels() == 0; });
    }
}
