#include "traffic_fixture.h"

#include "text_port_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;

TEST_GROUP(TextPort)
{
    const Endpoint endpoint {"127.0.0.1", freePort()};
    boost::asio::io_context context;
    TextPort port {context};
    std::thread runner;

    static std::uint16_t freePort()
    {
        boost::asio::io_context unused;
        const boost::asio::ip::tcp::acceptor acceptor(unused, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return acceptor.local_endpoint().port();
    }
    void setup() override
    {
        port.add("/ready", [] { return TextPage {200, "ready\n"}; });
        port.open(endpoint);
        boost::asio::co_spawn(context, port.run(), boost::asio::detached);
        runner = std::thread([this] { context.run(); });
    }
    void teardown() override
    {
        context.stop();
        runner.join();
    }
};

// Guards against a page's bytes where a load balancer that probes with HEAD on one connection expects the next answer.
TEST(TextPort, AnswersToHeadRequestsHaveNoBody)
{
    const std::string head = "HEAD /ready HTTP/1.1\r\nHost: h\r\n";
    const std::string answers = CallerConnection(endpoint).sendAndRead(head + "\r\n" + head + "Connection: close\r\n\r\n");
    CHECK(answers.starts_with("HTTP/1.1 200"));
    CHECK(answers.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
    CHECK(answers.ends_with("\r\n\r\n"));
    CHECK(answers.find("Content-Length: 6") != std::string::npos);
}
