#include "traffic_fixture.h"

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
    dialect.makesRequestIds = false;
    dialect.fractionalRetryAfter = true;
    dialect.strayAnswers = true;
    dialect.openEndedAnswers = true;
    return dialect;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string answer(const std::string &body, const std::string &fields = "Sig: s\r\n")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string listing = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nAuthorization: Bearer red-key-0001\r\nConnection: close\r\n\r\n";
const std::string order
    = "POST /order HTTP/1.1\r\nHost: h\r\nReq-Id: r2\r\nAuthorization: Bearer red-key-0001\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";
}

/// A traffic thread whose placements the test decides: the n-th question gets the n-th entry, none where there is none.
TEST_GROUP(ZoneTraffic)
{
    std::unique_ptr<TrafficThread> thread;
    std::thread runner;
    Endpoint endpoint;
    std::mutex mutex;
    std::vector<Placement> placements;
    std::vector<PlacementRequest> asked;
    std::vector<AttemptEnd> ends;

    void setup() override
    {
        ControlPort control;
        control.report = [](const TrafficReport & /*report*/) {};
        control.requestPlacement = [this](const ThreadPlacementRequest &wish) { decide(wish); };
        control.cancelRequest = [](std::uint64_t /*id*/) {};
        control.attemptEnded = [this](const AttemptReport &report) {
            const std::lock_guard lock(mutex);
            ends.push_back(report.end);
        };
        thread = std::make_unique<TrafficThread>(0, 1, control, testDialect());
        endpoint = thread->open({"127.0.0.1", 0});
        publish(TimePoint::max());
        runner = std::thread([this] { thread->run(); });
    }
    void teardown() override
    {
        thread->stop();
        runner.join();
    }
    void decide(const ThreadPlacementRequest &wish)
    {
        const std::lock_guard lock(mutex);
        asked.push_back(wish.ask);
        if (asked.size() <= placements.size()) {
            thread->resolvePlacement(wish.ask.key.id, placements[asked.size() - 1]);
        }
    }
    void publish(TimePoint answerBy)
    {
        const boost::intrusive_ptr<Snapshot> snapshot(new Snapshot);
        Document document = testDocument();
        for (auto &route : document.routes) {
            route.timeout = 2s;
            route.attempts = 2;
        }
        snapshot->compiled = new CompiledDocument({1, "digest"}, std::make_shared<const Document>(document));
        snapshot->trustedUntil = TimePoint::max();
        snapshot->answerBy = answerBy;
        thread->publish(snapshot);
    }
    static Placement at(const ScriptedTarget &target, Duration hedgeAfter = 10s)
    {
        return Placed {{"t" + std::to_string(target.endpoint().port)}, target.endpoint(), hedgeAfter};
    }
    std::string talk(const std::string &bytes)
    {
        return CallerConnection(endpoint).talk(bytes);
    }
    std::vector<AttemptEnd> endsSoFar()
    {
        const std::lock_guard lock(mutex);
        return ends;
    }
};

TEST(ZoneTraffic, ThePlacedTargetGetsTheRequestUnderItsName)
{
    ScriptedTarget target({{answer("hello")}});
    placements = {at(target)};
    CHECK(contains(talk(listing), "hello"));
    CHECK(contains(target.lastRequest(), "Want-Target: t" + std::to_string(target.endpoint().port)));
    CHECK(contains(target.lastRequest(), "For-Team: red"));
    CHECK(contains(target.lastRequest(), "Req-Id: r1"));
    CHECK(!contains(target.lastRequest(), "red-key-0001"));
    CHECK(endsSoFar() == std::vector<AttemptEnd> {AttemptEnd::Good});
}

TEST(ZoneTraffic, ASilentTargetIsHedged)
{
    ScriptedTarget silent({{""}});
    ScriptedTarget good({{answer("second")}});
    placements = {at(silent, 20ms), at(good)};
    CHECK(contains(talk(listing), "second"));
    CHECK(asked[1].repeat);
    LONGS_EQUAL(1, asked[1].tried.size());
}

TEST(ZoneTraffic, WhatIsNotIdempotentIsSentOnce)
{
    ScriptedTarget silent({{""}});
    ScriptedTarget good({{answer("second")}});
    placements = {at(silent, 20ms), at(good)};
    const std::string result = talk(order);
    CHECK(contains(result, "HTTP/1.1 504"));
    LONGS_EQUAL(0, good.runs());
}

// The second question stays open: the first target's answer must not wait for it.
TEST(ZoneTraffic, AnAnswerThatComesWhileASecondTargetIsAskedForIsDelivered)
{
    ScriptedTarget slow({{answer("first")}}, 200ms);
    placements = {at(slow, 20ms)};
    const TimePoint start = RuntimeClock::now();
    CHECK(contains(talk(listing), "first"));
    CHECK(RuntimeClock::now() - start < 1500ms);
    LONGS_EQUAL(2, asked.size());
}

TEST(ZoneTraffic, ARefusalOfATargetMovesOn)
{
    ScriptedTarget full({{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}});
    ScriptedTarget good({{answer("second")}});
    placements = {at(full), at(good)};
    CHECK(contains(talk(order), "second"));
    CHECK(endsSoFar().front() == AttemptEnd::NotExecuted);
}

TEST(ZoneTraffic, RefusalsPromiseThatNothingRan)
{
    ScriptedTarget full({{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}});
    placements = {at(full), NoCapacity {300ms}};
    const std::string result = talk(order);
    CHECK(contains(result, "HTTP/1.1 503"));
    CHECK(contains(result, "Retry-After: 0.3"));
}

TEST(ZoneTraffic, A503WithoutThePromiseIsNotPassedOn)
{
    ScriptedTarget failing({{"HTTP/1.1 503 Service Unavailable\r\nSig: s\r\nContent-Length: 0\r\n\r\n"}});
    placements = {at(failing), NoCapacity {300ms}};
    CHECK(contains(talk(order), "HTTP/1.1 502"));
}

TEST(ZoneTraffic, OverQuotaIsToldAtOnce)
{
    placements = {OverQuota {1200ms}};
    const std::string result = talk(order);
    CHECK(contains(result, "HTTP/1.1 429"));
    CHECK(contains(result, "Retry-After: 1.2"));
}

TEST(ZoneTraffic, AnUnsignedSuccessIsNotTheTargets)
{
    ScriptedTarget forged({{answer("forged", "")}});
    placements = {at(forged), NoCapacity {}};
    const std::string result = talk(order);
    CHECK(contains(result, "HTTP/1.1 502"));
    CHECK(!contains(result, "forged"));
}

TEST(ZoneTraffic, AStrayAnswerIsSkipped)
{
    ScriptedTarget target({{answer("stray", "Sig: s\r\nReq-Id: other\r\n") + answer("right", "Sig: s\r\nReq-Id: r2\r\n")}});
    placements = {at(target)};
    const std::string result = talk(order);
    CHECK(contains(result, "right"));
    CHECK(!contains(result, "stray"));
}

TEST(ZoneTraffic, AnAnswerMayEndWithItsConnection)
{
    ScriptedTarget target({{"HTTP/1.1 200 OK\r\nSig: s\r\n\r\nopen-ended", true}});
    placements = {at(target)};
    const std::string result = talk(order);
    CHECK(contains(result, "Content-Length: 10"));
    CHECK(contains(result, "open-ended"));
}

TEST(ZoneTraffic, PipelinedRequestsRunSideBySideAndAreAnsweredInOrder)
{
    ScriptedTarget slow({{answer("one")}}, 150ms);
    ScriptedTarget fast({{answer("two")}});
    ScriptedTarget third({{answer("three")}});
    placements = {at(slow), at(fast), at(third)};
    const std::string kept = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    const std::string result = talk(kept + kept + listing);
    const auto one = result.find("one");
    const auto two = result.find("two");
    const auto three = result.find("three");
    CHECK(one < two && two < three && three != std::string::npos);
    LONGS_EQUAL(1, third.runs());
}

// A planned stop near its end: the answer that is ready reaches its caller behind one that never comes.
TEST(ZoneTraffic, AtTheEndOfAStopReadyAnswersAreDelivered)
{
    ScriptedTarget silent({{""}});
    ScriptedTarget good({{answer("ready")}});
    placements = {at(silent), at(good)};
    const std::string kept = "GET /listing/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key-0001\r\n\r\n";
    std::string result;
    std::thread caller([&] { result = talk(kept + listing); });
    while (endsSoFar().empty()) {
        std::this_thread::yield();
    }
    publish(RuntimeClock::now());
    caller.join();
    CHECK(contains(result, "HTTP/1.1 504"));
    CHECK(contains(result, "ready"));
}

TEST(ZoneTraffic, AnAbsoluteTargetIsServed)
{
    ScriptedTarget target({{answer("hello")}});
    placements = {at(target)};
    const std::string result = talk("GET http://h/listing/1?a=b HTTP/1.1\r\nHost: other\r\nAuthorization: Bearer red-key-0001\r\nConnection: close\r\n\r\n");
    CHECK(contains(result, "hello"));
    CHECK(contains(target.lastRequest(), "GET /listing/1?a=b HTTP/1.1"));
}
