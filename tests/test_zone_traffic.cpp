#include "traffic_fixture.h"

#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
Dialect testDialect()
{
    Dialect dialect;
    dialect.requestId = "Req-Id";
    dialect.signature = "Sig";
    dialect.notExecuted = "Not-Run";
    dialect.targetName = "Want-Target";
    dialect.team = "For-Team";
    dialect.outcome = "";
    dialect.generatesRequestIds = false;
    dialect.fractionalRetryAfter = true;
    dialect.acceptsStrayAnswers = true;
    dialect.acceptsCloseDelimitedAnswers = true;
    return dialect;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

constexpr int SmallReceiveBuffer = 8 * 1024;

std::string answer(const std::string &body, const std::string &fields = "Sig: s\r\n")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An answer that is streamed, in two parts.
constexpr std::size_t LargeBytes = 3 * config::MaxBufferedAnswerBytes;
const std::string restOfLarge(100, 'x');
const std::string beginOfLarge
    = "HTTP/1.1 200 OK\r\nSig: s\r\nContent-Length: " + std::to_string(LargeBytes) + "\r\n\r\n" + std::string(LargeBytes - restOfLarge.size(), 'x');

const std::string listing = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nAuthorization: Bearer red-key-0001\r\nConnection: close\r\n\r\n";
std::string orderWithId(const std::string &id)
{
    return "POST /order HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nAuthorization: Bearer red-key-0001\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";
}

const std::string order = orderWithId("r2");
}

/// Traffic thread with scripted placements: the n-th placement request gets the n-th entry of placements, and no answer when there is no such entry.
TEST_GROUP(ZoneTraffic)
{
    std::unique_ptr<TrafficThread> thread;
    std::thread runner;
    Endpoint endpoint;
    std::mutex mutex;
    std::vector<Placement> placements;
    std::vector<PlacementRequest> requested;
    InstanceLimits limits; ///< published with the next snapshot; with a rate of the link, all routes have large answers
    std::atomic<unsigned> cancelled {0}; ///< placements that were no longer needed
    std::vector<AttemptEnd> ends;
    std::vector<std::uint32_t> rests; ///< milliseconds, by attempt

    void setup() override
    {
        ControlPort control;
        control.report = [](const TrafficReport & /*report*/) {};
        control.requestPlacement = [this](const ThreadPlacementRequest &placementRequest) { answerPlacement(placementRequest); };
        control.cancelRequest = [this](std::uint64_t /*id*/) { ++cancelled; };
        control.attemptEnded = [this](const EndedAttempt &ended) {
            const std::lock_guard lock(mutex);
            ends.push_back(ended.report.end);
            rests.push_back(ended.report.restMilliseconds);
        };
        thread = std::make_unique<TrafficThread>(MemberId {{"d0"}, 1}, 0, 1, control, testDialect());
        endpoint = thread->open({"127.0.0.1", 0});
        publish(TimePoint::max());
        runner = std::thread([this] { thread->run(); });
    }
    void teardown() override
    {
        thread->stop();
        runner.join();
    }
    void answerPlacement(const ThreadPlacementRequest &placementRequest)
    {
        const std::lock_guard lock(mutex);
        requested.push_back(placementRequest.request);
        if (requested.size() <= placements.size()) {
            thread->resolvePlacement(placementRequest.request.key.id, placements[requested.size() - 1]);
        }
    }
    void publish(TimePoint answerBy)
    {
        const boost::intrusive_ptr<Snapshot> snapshot(new Snapshot);
        Document document = testDocument();
        for (auto &route : document.routes) {
            route.timeout = 2s;
            route.attempts = 2;
            route.large = limits.linkMegabits.has_value();
        }
        snapshot->compiled = new CompiledDocument({1, "digest"}, std::make_shared<const Document>(document));
        snapshot->trustedUntil = TimePoint::max();
        snapshot->answerBy = answerBy;
        snapshot->limits = limits;
        thread->publish(snapshot);
    }
    static Placement placedAt(const ScriptedTarget &target, Duration hedgeAfter = 10s)
    {
        return Placed {{"t" + std::to_string(target.endpoint().port)}, target.endpoint(), hedgeAfter};
    }
    std::string sendAndRead(const std::string &bytes)
    {
        return CallerConnection(endpoint).sendAndRead(bytes);
    }
    static void waitUntil(const std::function<bool()> &done)
    {
        const TimePoint until = RuntimeClock::now() + 1s;
        while (!done() && RuntimeClock::now() < until) {
            std::this_thread::yield();
        }
    }
    static void checkLarge(const std::string &result)
    {
        const auto body = result.find("\r\n\r\n") + 4;
        CHECK(contains(result, "HTTP/1.1 200 OK"));
        LONGS_EQUAL(LargeBytes, result.size() - body);
        CHECK(result.find_first_not_of('x', body) == std::string::npos);
    }
    std::vector<AttemptEnd> recordedEnds()
    {
        const std::lock_guard lock(mutex);
        return ends;
    }
};

TEST(ZoneTraffic, RequestNamesThePlacedTarget)
{
    ScriptedTarget target({{answer("hello")}});
    placements = {placedAt(target)};
    CHECK(contains(sendAndRead(listing), "hello"));
    CHECK(contains(target.lastRequest(), "Want-Target: t" + std::to_string(target.endpoint().port)));
    CHECK(contains(target.lastRequest(), "For-Team: red"));
    CHECK(contains(target.lastRequest(), "Req-Id: r1"));
    CHECK(!contains(target.lastRequest(), "red-key-0001"));
    CHECK(recordedEnds() == std::vector<AttemptEnd> {AttemptEnd::Good});
}

TEST(ZoneTraffic, UnresponsiveTargetIsHedged)
{
    ScriptedTarget unresponsive({{""}});
    ScriptedTarget good({{answer("second")}});
    placements = {placedAt(unresponsive, 20ms), placedAt(good)};
    CHECK(contains(sendAndRead(listing), "second"));
    CHECK(requested[1].repeat);
    LONGS_EQUAL(1, requested[1].tried.size());
}

TEST(ZoneTraffic, NonIdempotentRequestIsSentOnce)
{
    ScriptedTarget unresponsive({{""}});
    ScriptedTarget good({{answer("second")}});
    placements = {placedAt(unresponsive, 20ms), placedAt(good)};
    const std::string result = sendAndRead(order);
    CHECK(contains(result, "HTTP/1.1 504"));
    LONGS_EQUAL(0, good.runs());
}

// The second placement request is never answered; the first target's answer must be delivered without waiting for that placement.
TEST(ZoneTraffic, AnswerIsDeliveredWhileASecondPlacementIsPending)
{
    ScriptedTarget slow({{answer("first")}}, 200ms);
    placements = {placedAt(slow, 20ms)};
    const TimePoint start = RuntimeClock::now();
    CHECK(contains(sendAndRead(listing), "first"));
    CHECK(RuntimeClock::now() - start < 1500ms);
    LONGS_EQUAL(2, requested.size());
}

TEST(ZoneTraffic, RequestRefusedByATargetIsSentToAnother)
{
    ScriptedTarget full({{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}});
    ScriptedTarget good({{answer("second")}});
    placements = {placedAt(full), placedAt(good)};
    CHECK(contains(sendAndRead(order), "second"));
    CHECK(recordedEnds().front() == AttemptEnd::NotExecuted);
}

// Guards against a bound on repeats that is used up by attempts in which nothing was sent, since no connection could be opened.
TEST(ZoneTraffic, AttemptAfterAFailedConnectIsNoRepeat)
{
    ScriptedTarget good({{answer("second")}});
    placements = {Placed {{"gone"}, {"127.0.0.1", 1}, 10s}, placedAt(good)};
    CHECK(contains(sendAndRead(order), "second"));
    CHECK(recordedEnds().front() == AttemptEnd::Unreachable);
    CHECK(!requested[1].repeat);
}

TEST(ZoneTraffic, RefusalsOfAllTargetsAreReportedNotRun)
{
    ScriptedTarget full({{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}});
    placements = {placedAt(full), NoCapacity {300ms}};
    const std::string result = sendAndRead(order);
    CHECK(contains(result, "HTTP/1.1 503"));
    CHECK(contains(result, "Retry-After: 0.3"));
}

// Guards against requests to a target that asked for rest in an answer whose body doesn't arrive.
TEST(ZoneTraffic, RestOfARefusalWithABrokenBodyIsReported)
{
    ScriptedTarget resting({{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 3\r\nContent-Length: 9\r\n\r\npart", true}});
    placements = {placedAt(resting), NoCapacity {300ms}};
    sendAndRead(order);
    const std::lock_guard lock(mutex);
    LONGS_EQUAL(3000, rests.front());
}

TEST(ZoneTraffic, Status503WithoutTheNotExecutedFieldIsNotPassedOn)
{
    ScriptedTarget failing({{"HTTP/1.1 503 Service Unavailable\r\nSig: s\r\nContent-Length: 0\r\n\r\n"}});
    placements = {placedAt(failing), NoCapacity {300ms}};
    CHECK(contains(sendAndRead(order), "HTTP/1.1 502"));
}

TEST(ZoneTraffic, RequestOverQuotaIsRefusedAtOnce)
{
    placements = {OverQuota {1200ms}};
    const std::string result = sendAndRead(order);
    CHECK(contains(result, "HTTP/1.1 429"));
    CHECK(contains(result, "Retry-After: 1.2"));
}

TEST(ZoneTraffic, SuccessWithoutSignatureIsNotPassedOn)
{
    ScriptedTarget unsignedTarget({{answer("forged", "")}});
    placements = {placedAt(unsignedTarget), NoCapacity {}};
    const std::string result = sendAndRead(order);
    CHECK(contains(result, "HTTP/1.1 502"));
    CHECK(!contains(result, "forged"));
}

TEST(ZoneTraffic, StrayAnswerIsSkipped)
{
    ScriptedTarget target({{answer("stray", "Sig: s\r\nReq-Id: other\r\n") + answer("right", "Sig: s\r\nReq-Id: r2\r\n")}});
    placements = {placedAt(target)};
    const std::string result = sendAndRead(order);
    CHECK(contains(result, "right"));
    CHECK(!contains(result, "stray"));
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken for the refusal of a request which the target runs.
TEST(ZoneTraffic, RefusalOfAnEarlierRequestIsNotTakenForThatOfTheNextOne)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    for (const std::string field : {"", "Req-Id: r0\r\n"}) {
        requested.clear();
        const std::string named = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + field + "Content-Length: 0\r\n\r\n";
        ScriptedTarget repeating({{refusal}, {named + answer("right", "Sig: s\r\nReq-Id: r2\r\n")}});
        ScriptedTarget other({{answer("second")}});
        placements = {placedAt(repeating), NoCapacity {300ms}, placedAt(repeating), placedAt(other)};
        CHECK(contains(sendAndRead(orderWithId("r0")), "HTTP/1.1 503"));
        const std::string result = sendAndRead(order);
        CHECK(contains(result, field.empty() ? "HTTP/1.1 502" : "right"));
        LONGS_EQUAL(2, repeating.runs());
        LONGS_EQUAL(1, repeating.connections());
        LONGS_EQUAL(0, other.runs());
    }
}

// Guards against an earlier refusal, written once more, that is taken for that of the same request when its caller sends it again.
TEST(ZoneTraffic, RequestIsNotSentAgainOnTheConnectionOnWhichItWasRefused)
{
    for (const std::string field : {"", "Req-Id: r2\r\n"}) {
        requested.clear();
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + field + "Content-Length: 0\r\n\r\n";
        const std::string right = answer("right", "Sig: s\r\nReq-Id: r2\r\n");
        ScriptedTarget repeating({{refusal, false, false, refusal, 50ms}, {right}});
        placements = {placedAt(repeating), NoCapacity {300ms}, placedAt(repeating)};
        CHECK(contains(sendAndRead(order), "HTTP/1.1 503"));
        CHECK(contains(sendAndRead(order), "right"));
        LONGS_EQUAL(2, repeating.runs());
        LONGS_EQUAL(2, repeating.connections());
    }
}

// The other way on which a request could meet its own refusal: a second attempt.
TEST(ZoneTraffic, SecondAttemptNamesTheTargetThatRefusedTheFirst)
{
    ScriptedTarget full({{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nReq-Id: r2\r\nContent-Length: 0\r\n\r\n"}});
    ScriptedTarget good({{answer("second")}});
    placements = {placedAt(full), placedAt(good)};
    CHECK(contains(sendAndRead(order), "second"));
    const Placed first = std::get<Placed>(placements[0]);
    CHECK(requested[1].tried == std::vector<TargetName> {first.target});
    LONGS_EQUAL(1, full.runs());
}

// Guards against the answer to an earlier request that is passed on because the caller's request has no id.
TEST(ZoneTraffic, RequestWithoutAnIdUsesAConnectionOfItsOwn)
{
    const std::string withoutId = "POST /order HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";
    ScriptedTarget target({{answer("first", "Sig: s\r\nReq-Id: r2\r\n")}, {answer("stray", "Sig: s\r\nReq-Id: r2\r\n") + answer("right")}});
    placements = {placedAt(target), placedAt(target)};
    CHECK(contains(sendAndRead(order), "first"));
    const std::string result = sendAndRead(withoutId);
    CHECK(contains(result, "HTTP/1.1 502"));
    CHECK(!contains(result, "stray"));
}

TEST(ZoneTraffic, CloseDelimitedAnswerIsAccepted)
{
    ScriptedTarget target({{"HTTP/1.1 200 OK\r\nSig: s\r\n\r\nopen-ended", true}});
    placements = {placedAt(target)};
    const std::string result = sendAndRead(order);
    CHECK(contains(result, "Content-Length: 10"));
    CHECK(contains(result, "open-ended"));
}

TEST(ZoneTraffic, PipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder)
{
    ScriptedTarget slow({{answer("one")}}, 150ms);
    ScriptedTarget fast({{answer("two")}});
    ScriptedTarget third({{answer("three")}});
    placements = {placedAt(slow), placedAt(fast), placedAt(third)};
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    const std::string result = sendAndRead(keptAlive + keptAlive + listing);
    const auto one = result.find("one");
    const auto two = result.find("two");
    const auto three = result.find("three");
    CHECK(one < two && two < three && three != std::string::npos);
    LONGS_EQUAL(1, third.runs());
}

// Near the end of a planned stop, a ready answer must reach its caller although the pipelined request before it never gets an answer from its target.
TEST(ZoneTraffic, ReadyAnswersAreDeliveredAtTheEndOfAPlannedStop)
{
    ScriptedTarget unresponsive({{""}});
    ScriptedTarget good({{answer("ready")}});
    placements = {placedAt(unresponsive), placedAt(good)};
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    std::string result;
    std::thread caller([&] { result = sendAndRead(keptAlive + listing); });
    while (recordedEnds().empty()) {
        std::this_thread::yield();
    }
    publish(RuntimeClock::now());
    caller.join();
    CHECK(contains(result, "HTTP/1.1 504"));
    CHECK(contains(result, "ready"));
}

// Guards against a timeout that is written into an answer which is being streamed at a planned stop.
TEST(ZoneTraffic, EndOfAPlannedStopDoesNotWriteIntoAStreamedAnswer)
{
    ScriptedTarget target({{beginOfLarge, false, false, restOfLarge, 800ms}});
    placements = {placedAt(target)};
    std::string result;
    std::thread caller([&] { result = sendAndRead(listing); });
    waitUntil([&] { return target.runs() == 1; });
    publish(RuntimeClock::now());
    caller.join();
    checkLarge(result);
}

// Guards against the answer to a hedge that is written into one which is being streamed.
TEST(ZoneTraffic, HedgeDoesNotWriteIntoAStreamedAnswer)
{
    ScriptedTarget slow({{beginOfLarge, false, false, restOfLarge, 1000ms}});
    ScriptedTarget fast({{answer("second")}});
    placements = {placedAt(slow, 600ms), placedAt(fast)};
    checkLarge(sendAndRead(listing));
    LONGS_EQUAL(0, fast.runs());
}

// Guards against an answer that begins to be streamed while a timeout waits for its turn, and is written behind or into it.
TEST(ZoneTraffic, TimeoutThatWaitsForItsTurnIsNotFollowedByAStream)
{
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    ScriptedTarget first({{beginOfLarge, false, false, restOfLarge, 900ms}});
    ScriptedTarget second({{beginOfLarge + restOfLarge}}, 500ms);
    placements = {placedAt(first), placedAt(second)};
    std::string result;
    std::thread caller([&] { result = sendAndRead(keptAlive + listing); });
    waitUntil([&] { return first.runs() == 1 && second.runs() == 1; });
    publish(RuntimeClock::now());
    caller.join();
    const auto end = result.find("HTTP/1.1", LargeBytes);
    checkLarge(result.substr(0, end));
    CHECK(result.compare(end, 12, "HTTP/1.1 504") == 0);
    CHECK(!contains(result, "[reset]"));
    LONGS_EQUAL(LargeBytes, std::count(result.begin(), result.end(), 'x'));
}

// Guards against the answer of an attempt that begins to be streamed while the answer to its hedge is being sent.
TEST(ZoneTraffic, StreamDoesNotBeginWhileTheAnswerToAHedgeIsSent)
{
    limits.linkMegabits = 10;
    publish(TimePoint::max());
    const std::string body(900'000, 'y');
    ScriptedTarget slow({{beginOfLarge + restOfLarge}}, 300ms);
    ScriptedTarget fast({{answer(body)}});
    placements = {placedAt(slow, 20ms), placedAt(fast)};
    const std::string result = sendAndRead(listing);
    LONGS_EQUAL(body.size(), std::count(result.begin(), result.end(), 'y'));
    LONGS_EQUAL(0, std::count(result.begin(), result.end(), 'x'));
    LONGS_EQUAL(result.size() - body.size(), result.find("\r\n\r\n") + 4);
}

// Guards against a hedge that waits for a target, and takes one from others, though its answer is no longer needed.
TEST(ZoneTraffic, PlacementOfAHedgeIsCancelledWhenAStreamBegins)
{
    ScriptedTarget slow({{beginOfLarge, false, false, restOfLarge, 500ms}}, 100ms);
    placements = {placedAt(slow, 20ms)};
    std::string result;
    std::thread caller([&] { result = sendAndRead(listing); });
    waitUntil([&] { return cancelled == 1; });
    LONGS_EQUAL(0, recordedEnds().size());
    caller.join();
    checkLarge(result);
    LONGS_EQUAL(1, cancelled);
}

// Guards against an answer that breaks off and takes an earlier one along, which the kernel still holds for a slow reader.
TEST(ZoneTraffic, AnswerThatBreaksOffLeavesTheEarlierOneWhole)
{
    const std::string first(500'000, 'y');
    ScriptedTarget good({{answer(first)}});
    ScriptedTarget truncating({{beginOfLarge.substr(0, config::MaxBufferedAnswerBytes + 100'000), true}});
    placements = {placedAt(good), placedAt(truncating)};
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    CallerConnection caller(endpoint, SmallReceiveBuffer);
    std::string result = caller.sendAndRead(keptAlive + listing, "yyyy");
    waitUntil([&] { return recordedEnds().size() == 2; });
    result += caller.sendAndRead("");
    LONGS_EQUAL(first.size(), std::count(result.begin(), result.end(), 'y'));
    CHECK(contains(result, "[reset]"));
}

// Guards against an attempt that waits for the link for ever, and keeps the slot of its target, when the caller of a paced download leaves.
TEST(ZoneTraffic, PacedDownloadGivesItsTargetBackWhenTheCallerLeaves)
{
    limits.linkMegabits = 0.1;
    publish(TimePoint::max());
    ScriptedTarget target({{beginOfLarge + restOfLarge}});
    placements = {placedAt(target), placedAt(target)};
    for (std::size_t round = 1; round <= placements.size(); ++round) {
        auto caller = std::make_unique<CallerConnection>(endpoint, SmallReceiveBuffer);
        caller->sendAndRead(listing, "xxxx");
        caller.reset();
        const TimePoint leftAt = RuntimeClock::now();
        waitUntil([&] { return recordedEnds().size() == round; });
        LONGS_EQUAL(round, recordedEnds().size());
        CHECK(RuntimeClock::now() - leftAt < 500ms);
    }
}

// Guards against targets that work on for a caller who has left behind more requests than the daemon reads ahead.
TEST(ZoneTraffic, CallerWhoLeavesBehindManyRequestsIsNoticed)
{
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    constexpr std::size_t Sent = config::MaxPipelined + 8;
    ScriptedTarget unresponsive({{""}});
    placements.assign(Sent, placedAt(unresponsive));
    auto caller = std::make_unique<CallerConnection>(endpoint);
    for (std::size_t i = 0; i < Sent; ++i) {
        caller->send(keptAlive);
    }
    waitUntil([&] { return unresponsive.runs() > config::MaxPipelined; });
    const std::size_t running = unresponsive.runs();
    caller.reset();
    const TimePoint leftAt = RuntimeClock::now();
    waitUntil([&] { return recordedEnds().size() == running; });
    LONGS_EQUAL(running, recordedEnds().size());
    CHECK(RuntimeClock::now() - leftAt < 500ms);
}

// Guards against targets that are held by streamed answers which wait behind an unread one, though their caller has ended the connection.
TEST(ZoneTraffic, AnswersBehindAnUnreadOneGiveTheirTargetsBackWhenTheCallerLeaves)
{
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    constexpr std::size_t Buffered = 10; // more than the kernel holds
    constexpr std::size_t Streamed = 3;
    ScriptedTarget small({{answer(std::string(config::MaxBufferedAnswerBytes, 'x'))}});
    ScriptedTarget large({{beginOfLarge + restOfLarge}});
    placements.assign(Buffered, placedAt(small));
    placements.insert(placements.end(), Streamed, placedAt(large));
    CallerConnection caller(endpoint, SmallReceiveBuffer);
    for (std::size_t i = 0; i < Buffered; ++i) {
        caller.send(keptAlive);
    }
    waitUntil([&] { return recordedEnds().size() == Buffered; });
    for (std::size_t i = 0; i < Streamed; ++i) {
        caller.send(keptAlive);
    }
    waitUntil([&] { return large.runs() == Streamed; });
    LONGS_EQUAL(Buffered, recordedEnds().size());
    caller.endSending();
    const TimePoint leftAt = RuntimeClock::now();
    waitUntil([&] { return recordedEnds().size() == Buffered + Streamed; });
    LONGS_EQUAL(Buffered + Streamed, recordedEnds().size());
    CHECK(RuntimeClock::now() - leftAt < 500ms);
}

// Guards against a crash: streamed answers that waited for their turn used their request after the caller had left.
TEST(ZoneTraffic, StreamedAnswersThatWaitForTheirTurnEndWhenTheCallerLeaves)
{
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    // The others wait for their turn by the time at which the first one is answered.
    ScriptedTarget first({{answer("first")}}, 100ms);
    ScriptedTarget large({{answer(std::string(4 * config::MaxBufferedAnswerBytes, 'x'))}});
    constexpr std::size_t Rounds = 10;
    constexpr std::size_t Large = 5;
    for (std::size_t round = 1; round <= Rounds; ++round) {
        placements.push_back(placedAt(first));
        placements.insert(placements.end(), Large, placedAt(large));
        auto caller = std::make_unique<CallerConnection>(endpoint, SmallReceiveBuffer);
        for (std::size_t i = 0; i < Large; ++i) {
            caller->send(keptAlive);
        }
        caller->sendAndRead(keptAlive, "first");
        caller.reset();
        waitUntil([&] { return recordedEnds().size() == (1 + Large) * round; });
        LONGS_EQUAL((1 + Large) * round, recordedEnds().size());
    }
}

// Guards against memory that is used up by streamed answers which wait for earlier ones, while the budget counts a few kilobytes of each.
TEST(ZoneTraffic, StreamsThatWaitForTheirTurnCountInTheMemoryBudget)
{
    limits.linkMegabits = 1000;
    limits.memoryMegabytes = MemoryMegabytesRange.min;
    publish(TimePoint::max());
    const std::string keptAlive = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    ScriptedTarget first({{answer("first")}}, 800ms);
    ScriptedTarget large({{beginOfLarge + restOfLarge}});
    placements = {placedAt(first), placedAt(large), placedAt(large), placedAt(large)};
    const std::size_t streams = placements.size() - 1;
    placements.resize(100'000, NoCapacity {10ms});
    CallerConnection caller(endpoint);
    caller.send(keptAlive + keptAlive + keptAlive + keptAlive);
    waitUntil([&] { return large.runs() == streams; });
    const auto isRefused = [&] { return contains(sendAndRead(listing), "memory-short"); };
    waitUntil(isRefused);
    // The answers have arrived by now and wait for the first one.
    const TimePoint until = RuntimeClock::now() + 300ms;
    while (RuntimeClock::now() < until) {
        CHECK(isRefused());
    }
    LONGS_EQUAL(0, recordedEnds().size());
}

TEST(ZoneTraffic, AbsoluteFormRequestIsServed)
{
    ScriptedTarget target({{answer("hello")}});
    placements = {placedAt(target)};
    const std::string result
        = sendAndRead("GET http://h/listing/1?a=b HTTP/1.1\r\nHost: other\r\nAuthorization: Bearer red-key-0001\r\nConnection: close\r\n\r\n");
    CHECK(contains(result, "hello"));
    CHECK(contains(target.lastRequest(), "GET /listing/1?a=b HTTP/1.1"));
}
