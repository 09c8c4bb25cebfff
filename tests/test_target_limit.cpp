#include <plumsill/scheduler.h>
#include <plumsill/target_limit.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <deque>
#include <utility>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
constexpr unsigned Hubs = 3;
constexpr Duration Window = 4s;

/// Three schedulers that know one limited target. Each sends as many requests as its part allows.
struct Fleet {
    std::array<TargetLimit, Hubs> limits;
    std::array<std::uint32_t, Hubs> reported {};
    std::array<bool, Hubs> running {true, true, true};
    std::deque<TimePoint> sent; ///< requests in the last window
    unsigned most = 0; ///< maximum number of requests in a window
    unsigned total = 0;

    explicit Fleet(double perSecond)
    {
        for (unsigned hub = 0; hub < Hubs; ++hub) {
            limits[hub].setPart({1, 1.0 / Hubs}, t0);
            limits[hub].record(perSecond, t0, t0);
        }
    }
    void exchange(TimePoint now)
    {
        for (unsigned from = 0; from < Hubs; ++from) {
            const std::uint32_t taken = limits[from].report(1, now)->taken;
            const auto increase = static_cast<std::int32_t>(taken - std::exchange(reported[from], taken));
            for (unsigned to = 0; to < Hubs; ++to) {
                if (running[from] && to != from) {
                    limits[to].addRemoteTaken(increase, now);
                }
            }
        }
        for (auto &limit : limits) {
            limit.setPart({1, 1.0 / Hubs}, now);
        }
    }
    /// Each running scheduler tries to place 100 requests per second.
    void run(TimePoint from, TimePoint until)
    {
        for (TimePoint now = from; now < until; now += 10ms) {
            for (unsigned hub = 0; hub < Hubs; ++hub) {
                if (running[hub] && limits[hub].available(now)) {
                    limits[hub].take(now);
                    sent.push_back(now);
                    ++total;
                }
            }
            while (!sent.empty() && now - sent.front() > Window) {
                sent.pop_front();
            }
            most = std::max(most, static_cast<unsigned>(sent.size()));
            if ((now - t0) % 300ms == 0ms) {
                exchange(now);
            }
        }
    }
};

/// Requests that the platform allows in a window.
double allowed(double perSecond)
{
    return 1.5 * perSecond * seconds(Window) + 5;
}
}

TEST_GROUP(TargetLimit) {};

// Load: three zones want all of a target that accepts little.
TEST(TargetLimit, SchedulersTogetherStayWithinTheLimit)
{
    for (const double perSecond : {0.0, 0.3, 1.0, 1.2, 5.0, 50.0}) {
        Fleet fleet(perSecond);
        fleet.run(t0, t0 + 30s);
        CHECK(fleet.most <= allowed(perSecond));
        CHECK(fleet.total >= 0.7 * perSecond * 30);
        CHECK(fleet.total >= 1);
    }
}

// Load: a scheduler is lost, and another one of its zone knows nothing of what it sent.
TEST(TargetLimit, ReplacedSchedulerStaysWithinTheLimit)
{
    Fleet fleet(5);
    fleet.run(t0, t0 + 10s);
    fleet.limits[0] = {};
    fleet.reported[0] = 0;
    fleet.limits[0].setPart({1, 1.0 / Hubs}, t0 + 10s);
    fleet.limits[0].record(5, t0 + 10s, t0 + 10s);
    fleet.run(t0 + 10s, t0 + 20s);
    CHECK(fleet.most <= allowed(5));
}

TEST(TargetLimit, DaemonThatPlacesByItselfUsesItsOwnPart)
{
    TargetLimit limit;
    limit.setPart({0.02, 1}, t0);
    limit.record(5, t0, t0);
    unsigned sent = 0;
    for (TimePoint now = t0; now < t0 + 100s; now += 10ms) {
        if (limit.available(now)) {
            limit.take(now);
            ++sent;
        }
    }
    CHECK(sent >= 5 && sent <= 12);
}

TEST(TargetLimit, LimitIsRaisedLoweredAndEnded)
{
    TargetLimit limit;
    limit.setPart({1, 1}, t0);
    CHECK(limit.available(t0));
    CHECK(limit.record(2, t0, t0));
    CHECK(!limit.record(2, t0 + 1s, t0 + 1s));
    CHECK(limit.record(8, t0 + 2s, t0 + 2s));
    CHECK(limit.record(1, t0 + 3s, t0 + 3s));
    CHECK(!limit.record(50, t0 + 2500ms, t0 + 3s)); // reported late by another daemon
    CHECK(limit.perSecond() == 1.0);
    CHECK(limit.record(std::nullopt, t0 + 4s, t0 + 4s));
    for (unsigned request = 0; request < 100; ++request) {
        CHECK(limit.available(t0 + 4s));
        limit.take(t0 + 4s);
    }
    CHECK(!limit.report(1, t0 + 4s)->limited);
    CHECK(!limit.report(1, t0 + 20s));
}

TEST(TargetLimit, OnlyDecimalNumbersAreLimits)
{
    CHECK(parseDecimal("1.2") == 1.2);
    CHECK(parseDecimal("0") == 0.0);
    CHECK(parseDecimal("250") == 250.0);
    for (const char *text : {"", "-1", "nan", "inf", "1e400", "1e3", "1,5", " 1", "1 ", "ten", "0x10"}) {
        CHECK(!parseDecimal(text));
    }
}

// Load: a limited target among two healthy ones. The others take its work.
TEST(TargetLimit, OtherTargetsTakeTheWorkOfALimitedOne)
{
    const ServiceName orders {"orders"};
    Scheduler scheduler {{"x"}, {0.2, 50, 10s}};
    Document document;
    document.services = {{orders, 0.7, 3, {}, 0.999}};
    scheduler.setDocument(document, t0);
    std::vector<Target> targets;
    for (const std::string name : {"t1", "t2", "t3"}) {
        targets.push_back({{name}, orders, {"x"}, {"10.0.0.1", 80}, false, 3, 0, 1, 1});
    }
    scheduler.setTargets(targets, t0);
    scheduler.setFleetShare(1);
    scheduler.setLimitPart({1, 1}, t0);
    CHECK(scheduler.recordLimit({"t1"}, {true, true, 1}, t0));
    unsigned atLimited = 0;
    unsigned refused = 0;
    std::deque<PlacementKey> running;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        const TimePoint now = t0 + id * 25ms;
        PlacementRequest request;
        request.key = {{{"d1"}, 1}, id};
        request.service = orders;
        request.objective = now + 1s;
        request.deadline = now + 5s;
        const Placement placement = scheduler.submit(request, now);
        const auto *placed = std::get_if<Placed>(&placement);
        refused += placed == nullptr ? 1 : 0;
        atLimited += placed != nullptr && placed->target.value == "t1" ? 1 : 0;
        running.push_back(request.key);
        if (running.size() > 3) {
            scheduler.finishAttempt(running.front(), AttemptEnd::Good, 75ms, now);
            running.pop_front();
        }
    }
    LONGS_EQUAL(0, refused);
    CHECK(atLimited >= 5 && atLimited <= 15);
}
