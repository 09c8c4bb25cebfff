#include <plumsill/scheduler.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
const ServiceName dead {"dead"};
const ServiceName gray {"gray"};
constexpr unsigned Daemons = 4;

Target target(const ServiceName &service, unsigned number)
{
    const std::string name = service.value + std::to_string(number);
    return {{name}, service, {"x"}, {"10.0.0." + std::to_string(number), 80}, false, 3, 0, 1, 1};
}
}

/// A service that is down beside another one of which one target fails grayly.
TEST_GROUP(SchedulerReach)
{
    std::unique_ptr<Scheduler> scheduler;
    std::uint64_t nextId = 1;
    TimePoint now = t0;

    void start(unsigned deadTargets)
    {
        scheduler = std::make_unique<Scheduler>(ZoneName {"x"}, RepeatBound {0.2, 50, 10s});
        Document document;
        document.services = {{dead, 0.7, 3, {}, 0.999}, {gray, 0.7, 3, {}, 0.999}};
        scheduler->setDocument(document, t0);
        std::vector<Target> targets {target(gray, 1), target(gray, 2), target(gray, 3)};
        for (unsigned number = 1; number <= deadTargets; ++number) {
            targets.push_back(target(dead, number));
        }
        scheduler->setTargets(targets, t0);
        scheduler->setFleetShare(1);
    }
    PlacementRequest request(const ServiceName &service, unsigned daemon)
    {
        PlacementRequest request;
        request.key = {{{"d" + std::to_string(daemon)}, 1}, nextId++};
        request.service = service;
        request.route = 1;
        request.idempotent = true;
        request.objective = now + 1s;
        request.deadline = now + 3s;
        return request;
    }
    /// A request to the dead service; returns the decision when no target is left to try.
    Placement callDead(unsigned daemon)
    {
        PlacementRequest next = request(dead, daemon);
        Placement placement = scheduler->submit(next, now);
        while (const auto *placed = std::get_if<Placed>(&placement)) {
            scheduler->finishAttempt(next.key, AttemptEnd::Unreachable, 1ms, now);
            next.tried.push_back(placed->target);
            next.admitted = true;
            next.key.id = nextId++;
            placement = scheduler->submit(next, now);
        }
        return placement;
    }
    /// Number of requests that the gray target gets in 10 s; it fails all of them.
    unsigned failedWhile(bool serviceDown, bool reported)
    {
        unsigned failed = 0;
        for (unsigned round = 0; round < 200; ++round, now += 50ms) {
            const unsigned daemon = round % Daemons;
            if (serviceDown) {
                callDead(daemon);
            }
            if (reported && round > 20) {
                scheduler->recordServicesOutOfReach({"d" + std::to_string(daemon)}, {dead}, now);
            }
            const PlacementRequest next = request(gray, daemon);
            const auto placement = scheduler->submit(next, now);
            if (const auto *placed = std::get_if<Placed>(&placement)) {
                const bool fails = placed->target.value == "gray1";
                failed += fails ? 1 : 0;
                scheduler->finishAttempt(next.key, fails ? AttemptEnd::Failed : AttemptEnd::Good, 20ms, now + 20ms);
            }
        }
        return failed;
    }
};

// Guards against gray targets that keep their requests because all daemons fail to connect to another service, which is down.
TEST(SchedulerReach, GrayTargetIsFoundAsFastWhileAnotherServiceIsDown)
{
    start(3);
    const unsigned alone = failedWhile(false, false);
    for (const unsigned targets : {1U, 3U, 30U}) {
        for (const bool reported : {false, true}) {
            now = t0;
            start(targets);
            const unsigned beside = failedWhile(true, reported);
            CHECK_TEXT(beside <= alone + 1, (std::to_string(targets) + " targets: " + std::to_string(beside) + " for " + std::to_string(alone)).c_str());
        }
    }
}

// Guards against callers of a dead service that wait for their objective before they are refused.
TEST(SchedulerReach, RequestsToAServiceThatNobodyReachesAreRefusedAtOnce)
{
    for (const unsigned targets : {1U, 3U, 30U}) {
        start(targets);
        callDead(0);
        const auto placement = callDead(0);
        CHECK(std::holds_alternative<NoCapacity>(placement));
        CHECK(std::get<NoCapacity>(placement).reason == CapacityReason::Unreachable);
        CHECK(std::get<NoCapacity>(placement).retryAfter <= 5s);
    }
}

// Guards against what a daemon without any reach says of the targets, while one that misses a single service is heard.
TEST(SchedulerReach, DaemonThatIsCutOffAsAWholeIsNotHeard)
{
    start(3);
    scheduler->recordReach({"d0"}, false, now);
    scheduler->recordServicesOutOfReach({"d1"}, {dead}, now);
    const auto failAt = [this](unsigned daemon) {
        for (unsigned count = 0; count < 3; ++count) {
            const PlacementRequest next = request(gray, daemon);
            const auto placement = scheduler->submit(next, now);
            CHECK(std::holds_alternative<Placed>(placement));
            scheduler->finishAttempt(next.key, AttemptEnd::Failed, 1ms, now);
        }
        return scheduler->loads(now).size();
    };
    LONGS_EQUAL(0, failAt(0));
    CHECK(failAt(1) > 0);
}
