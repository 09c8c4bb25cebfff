#include "traffic_fixture.h"

#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;

namespace
{
// More than the kernel buffers.
constexpr std::size_t BodyBytes = 16'000'000;
constexpr int SmallReceiveBuffer = 8 * 1024;

const std::string request = "GET /open HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string lastRequest = "GET /open HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const std::string beginOfRequest = "GET /open HT";
const std::string beginOfBody = "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe";

std::string answer(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}
}

/// A caller that has read only the first bytes of an answer, so that the daemon waits to write the rest.
TEST_GROUP(SlowReaders)
{
    ScriptedTarget target {{{answer(std::string(BodyBytes, 'x'))}, {answer("hello")}}};
    TrafficFixture fixture;
    std::unique_ptr<CallerConnection> slow;
    std::string received;
    bool isLarge = false; ///< the routes have large answers
    Duration idleTimeout = std::chrono::minutes(5);

    void setup() override
    {
        publish(TimePoint::max());
    }
    void teardown() override
    {
        RuntimeClock::resume();
    }
    /// Waits until the daemon has closed a connection that it has shut down.
    static void waitUntilClosed(CallerConnection & connection)
    {
        while (connection.trySend("x")) {
            std::this_thread::yield();
        }
    }
    void publish(TimePoint closeAt)
    {
        publish(closeAt, target.endpoint());
    }
    void publish(TimePoint closeAt, const Endpoint &endpoint)
    {
        Document document = testDocument();
        for (auto &route : document.routes) {
            route.timeout = std::chrono::minutes(5);
            route.large = isLarge;
        }
        document.limits.idleTimeout = idleTimeout;
        fixture.closeAt = closeAt;
        fixture.publish(document, {endpoint}, TimePoint::max());
    }
    /// Advances the paused clock by @p time and two checks of the limits, until the daemon refuses the request on @p other.
    static void advanceUntilRefused(CallerConnection & other, Duration time)
    {
        std::atomic<bool> refused {false};
        std::thread reader([&] { refused = contains(other.sendAndRead("", "HTTP/1.1 408"), "HTTP/1.1 408"); });
        const TimePoint until = RuntimeClock::now() + time + 2 * config::TrafficReportInterval;
        while (!refused) {
            RuntimeClock::advance(RuntimeClock::now() < until ? std::chrono::milliseconds(1) : Duration::zero());
            std::this_thread::yield();
        }
        reader.join();
        RuntimeClock::resume();
    }
    void beginToRead(const std::string &requests)
    {
        slow = std::make_unique<CallerConnection>(fixture.endpoint(), SmallReceiveBuffer);
        received = slow->sendAndRead(requests, "xxxx");
    }
    /// Reads the rest, and checks that it ends with @p expectedEnd after the body.
    void checkRest(const std::string &expectedEnd)
    {
        received += slow->sendAndRead("");
        CHECK(!contains(received, "[reset]"));
        const auto body = received.find("\r\n\r\n") + 4;
        CHECK(received.size() >= body + BodyBytes);
        CHECK(received.find_first_not_of('x', body) >= body + BodyBytes);
        STRCMP_EQUAL(expectedEnd.c_str(), received.substr(body + BodyBytes, expectedEnd.size()).c_str());
    }
};

// Guards against a planned stop that cancels the pending write of an answer and resets the connection.
TEST(SlowReaders, AnswerIsSentCompletelyThoughTheDaemonStops)
{
    beginToRead(request);
    CallerConnection idle(fixture.endpoint());
    publish(RuntimeClock::now());
    // The connections are checked in the order in which they were opened.
    STRCMP_EQUAL("", idle.sendAndRead("").c_str());
    checkRest("");
}

// Guards against bytes that arrive after the socket was closed and reset the connection, though the answer has not been delivered.
TEST(SlowReaders, AnswerIsDeliveredThoughTheCallerSendsMoreAfterTheDaemonHasWrittenIt)
{
    // The kernel takes all of it at once.
    constexpr std::size_t Bytes = 900'000;
    ScriptedTarget small({{answer(std::string(Bytes, 'x'))}});
    publish(TimePoint::max(), small.endpoint());
    slow = std::make_unique<CallerConnection>(fixture.endpoint(), SmallReceiveBuffer);
    received = slow->sendAndRead(request, "xxxx");
    CallerConnection idle(fixture.endpoint());
    publish(RuntimeClock::now(), small.endpoint());
    STRCMP_EQUAL("", idle.sendAndRead("").c_str());
    waitUntilClosed(idle);
    slow->send(request);
    received += slow->sendAndRead("");
    CHECK(!contains(received, "[reset]"));
    LONGS_EQUAL(Bytes, received.size() - received.find("\r\n\r\n") - 4);
}

// Guards against the time limit of a later request's body that cancels the pending write of an answer.
TEST(SlowReaders, AnswerIsSentCompletelyThoughTheBodyOfTheNextRequestComesTooSlowly)
{
    beginToRead(request + beginOfBody);
    CallerConnection other(fixture.endpoint());
    CHECK(contains(other.sendAndRead(request + beginOfBody, "hello"), "200 OK"));
    RuntimeClock::pause();
    // Both limits are of the same length, so that of the write has to begin anew.
    RuntimeClock::advance(config::BodyTimeout / 2);
    received += slow->read(BodyBytes / 2);
    advanceUntilRefused(other, config::BodyTimeout / 2);
    checkRest("HTTP/1.1 408");
}

TEST(SlowReaders, AnswerIsSentCompletelyThoughTheIdleTimePasses)
{
    idleTimeout = std::chrono::seconds(2);
    publish(TimePoint::max());
    beginToRead(lastRequest);
    CallerConnection idle(fixture.endpoint());
    CHECK(contains(idle.sendAndRead(request, "hello"), "200 OK"));
    std::atomic<bool> closed {false};
    std::thread reader([&] { closed = idle.sendAndRead("").empty(); });
    RuntimeClock::pause();
    const TimePoint until = RuntimeClock::now() + 3 * idleTimeout;
    while (!closed) {
        RuntimeClock::advance(RuntimeClock::now() < until ? std::chrono::milliseconds(1) : Duration::zero());
        std::this_thread::yield();
    }
    reader.join();
    RuntimeClock::resume();
    checkRest("");
}

// A new document without the route, the keys and the targets, and without trust in it.
TEST(SlowReaders, AnswerIsSentCompletelyThoughANewDocumentDropsItsRoute)
{
    beginToRead(lastRequest);
    Document other = testDocument();
    other.routes.clear();
    other.teams.clear();
    fixture.publish(other, {}, TimePoint());
    STRCMP_EQUAL("HTTP/1.1 404", fixture.sendAndRead(lastRequest).substr(0, 12).c_str());
    checkRest("");
}

// A reload changes the rate of the link and the bound of the memory.
TEST(SlowReaders, AnswerIsSentCompletelyThoughTheLimitsAreReloaded)
{
    isLarge = true;
    fixture.limits.linkMegabits = 1;
    publish(TimePoint::max());
    beginToRead(lastRequest);
    fixture.limits.memoryMegabytes = MemoryMegabytesRange.min;
    publish(TimePoint::max());
    fixture.limits.linkMegabits.reset();
    publish(TimePoint::max());
    checkRest("");
}

// Guards against a connection that stays open as long as its caller sends.
TEST(SlowReaders, CallerWhoSendsWithoutEndDoesNotKeepTheConnection)
{
    std::array<std::unique_ptr<CallerConnection>, 10> idle;
    for (auto &connection : idle) {
        connection = std::make_unique<CallerConnection>(fixture.endpoint());
    }
    publish(RuntimeClock::now());
    for (const auto &connection : idle) {
        STRCMP_EQUAL("", connection->sendAndRead("").c_str());
    }
    const TimePoint until = RuntimeClock::now() + config::CloseDrainTime + 4 * config::TrafficReportInterval;
    std::array<std::thread, idle.size()> senders;
    std::atomic<std::size_t> closed {0};
    for (std::size_t i = 0; i < senders.size(); ++i) {
        senders[i] = std::thread([&connection = *idle[i], &closed, until] {
            while (RuntimeClock::now() < until && connection.trySend(std::string(1000, 'x'))) {
            }
            closed += RuntimeClock::now() < until ? 1 : 0;
        });
    }
    for (auto &sender : senders) {
        sender.join();
    }
    LONGS_EQUAL(idle.size(), closed);
}

// Guards against the time limit of a later request's header that cancels the pending write of an answer.
TEST(SlowReaders, AnswerIsSentCompletelyThoughTheNextRequestComesTooSlowly)
{
    beginToRead(request + beginOfRequest);
    CallerConnection other(fixture.endpoint());
    CHECK(contains(other.sendAndRead(request + beginOfRequest, "hello"), "200 OK"));
    RuntimeClock::pause();
    advanceUntilRefused(other, config::HeaderTimeout);
    checkRest("HTTP/1.1 408");
}
