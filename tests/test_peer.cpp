#include <plumsill/config.h>

#include "peer_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
namespace asio = boost::asio;

namespace
{
Envelope envelopeOf(Message message)
{
    return {{InstanceName {"a"}, 1}, {"127.0.0.1", 1}, 1, std::move(message)};
}
}

TEST_GROUP(PeerPort)
{
    asio::io_context context;
    PeerPort sender {context, "secret"};
    PeerPort receiver {context, "secret"};
    Endpoint to;
    std::vector<Envelope> received;
    std::optional<Outcome<Envelope, PeerError>> reply;

    void setup() override
    {
        CHECK_TRUE(sender.open({"127.0.0.1", 0}).has_value());
        to = receiver.open({"127.0.0.1", 0}).assume_value();
        CHECK(to.port > 0);
        receiver.start([this](const Envelope &envelope) { received.push_back(envelope); },
                       [](const Envelope &envelope) -> std::optional<Envelope> {
                           if (const auto *request = std::get_if<DocumentRequest>(&envelope.message)) {
                               return envelopeOf(DocumentReply {request->known, std::string(200'000, 'x')});
                           }
                           return std::nullopt;
                       });
    }
    void runUntil(const std::function<bool()> &done)
    {
        while (!done() && context.run_one_for(std::chrono::seconds(5)) > 0) {
        }
        CHECK_TRUE(done());
    }
    asio::awaitable<void> requestAndStoreReply(Endpoint peer, Envelope envelope)
    {
        reply = co_await sender.request(std::move(peer), std::move(envelope));
    }
    void request(const Endpoint &peer, const Envelope &envelope)
    {
        asio::co_spawn(context, requestAndStoreReply(peer, envelope), asio::detached);
        runUntil([this] { return reply.has_value(); });
    }
    void sendRaw(const std::string &bytes)
    {
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        socket.send_to(asio::buffer(bytes), {asio::ip::make_address(to.address), to.port});
    }
};

TEST(PeerPort, DatagramsArrive)
{
    const auto envelope = envelopeOf(HeartbeatAck {5, MemberState::Serving, {}, false, 0});
    CHECK_TRUE(sender.sendDatagram(to, envelope).has_value());
    runUntil([this] { return !received.empty(); });
    CHECK(received.front() == envelope);
}

TEST(PeerPort, BadDatagramsAreDroppedAndCounted)
{
    sendRaw("nonsense");
    sendRaw(encode(envelopeOf(Heartbeat {}), "another secret"));
    sendRaw(std::string(config::MaxDatagramBytes + 100, 'x'));
    CHECK_TRUE(sender.sendDatagram(to, envelopeOf(Heartbeat {})).has_value());
    runUntil([this] { return !received.empty(); });
    LONGS_EQUAL(3, receiver.counters().dropped);
    LONGS_EQUAL(1, received.size());
}

// A daemon opens its port before it has fetched the fleet's secret.
TEST(PeerPort, WithoutASecretNothingIsAccepted)
{
    receiver.setSecret({});
    sendRaw(encode(envelopeOf(Heartbeat {}), {}));
    runUntil([this] { return receiver.counters().datagramsReceived == 1; });
    sender.setSecret(std::string(1, '\0')); // HMAC pads keys with zeros, so this one signs like an empty secret
    request(to, envelopeOf(DocumentRequest {}));
    CHECK(reply->has_error() && reply->assume_error() == PeerError::Closed);
    LONGS_EQUAL(2, receiver.counters().dropped);
    CHECK(received.empty());

    receiver.setSecret("secret");
    sender.setSecret("secret");
    CHECK_TRUE(sender.sendDatagram(to, envelopeOf(Heartbeat {})).has_value());
    runUntil([this] { return !received.empty(); });
}

TEST(PeerPort, WithoutASecretNothingIsSent)
{
    sender.setSecret({});
    const auto sent = sender.sendDatagram(to, envelopeOf(Heartbeat {}));
    CHECK(sent.has_error() && sent.assume_error() == PeerError::NoSecret);
    request(to, envelopeOf(DocumentRequest {}));
    CHECK(reply->has_error() && reply->assume_error() == PeerError::NoSecret);
    LONGS_EQUAL(0, sender.counters().datagramsSent + sender.counters().requestsSent);
}

TEST(PeerPort, TooLargeDatagramIsRejected)
{
    const auto result = sender.sendDatagram(to, envelopeOf(DocumentReply {{}, std::string(config::MaxDatagramBytes, 'x')}));
    CHECK(result.has_error() && result.assume_error() == PeerError::TooLarge);
}

TEST(PeerPort, RequestReceivesALargeReply)
{
    request(to, envelopeOf(DocumentRequest {}));
    CHECK_TRUE(reply->has_value());
    LONGS_EQUAL(200'000, std::get<DocumentReply>(reply->assume_value().message).text.size());
    LONGS_EQUAL(1, received.size());
}

TEST(PeerPort, RequestWithoutReplyIsClosed)
{
    request(to, envelopeOf(RosterRequest {}));
    CHECK(reply->has_error() && reply->assume_error() == PeerError::Closed);
}

TEST(PeerPort, PeerWithoutListenerIsUnreachable)
{
    receiver.close();
    request(to, envelopeOf(DocumentRequest {}));
    CHECK(reply->has_error() && reply->assume_error() == PeerError::Unreachable);
}

TEST(PeerPort, UnresponsivePeerTimesOut)
{
    asio::ip::tcp::acceptor listener(context, {asio::ip::make_address("127.0.0.1"), 0});
    RuntimeClock::pause();
    asio::co_spawn(context, requestAndStoreReply({"127.0.0.1", listener.local_endpoint().port()}, envelopeOf(DocumentRequest {})), asio::detached);
    for (auto waited = Duration::zero(); !reply && waited < 100 * config::PeerRequestTimeout; waited += std::chrono::milliseconds(10)) {
        context.poll();
        RuntimeClock::advance(std::chrono::milliseconds(10));
    }
    RuntimeClock::resume();
    CHECK_TRUE(reply.has_value());
    CHECK(reply->has_error() && reply->assume_error() == PeerError::Timeout);
}

TEST(PeerPort, OversizedFrameClosesTheConnection)
{
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(to.address), to.port});
    asio::write(socket, asio::buffer("\xff\xff\xff\xff", 4));
    char byte = 0;
    bool closed = false;
    socket.async_read_some(asio::buffer(&byte, 1), [&closed](const boost::system::error_code &error, std::size_t) { closed = static_cast<bool>(error); });
    runUntil([&closed] { return closed; });
    CHECK(received.empty());
}
