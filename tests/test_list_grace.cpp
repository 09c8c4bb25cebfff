#include <plumsill/target_list.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
constexpr auto GracePeriod = 2300ms; // of another daemon, from its first read after an outage

Target target(const std::string &name, std::uint16_t port)
{
    return {{name}, {"s"}, {"z"}, {"10.0.0.1", port}, false, 3, 0, 100, 1};
}

const InstanceName other {"entry-1"};
const std::vector<Target> both {target("a", 1), target("b", 2)};
const std::vector<Target> onlyFirst {target("a", 1)};
}

/// A list whose daemon hears that another one keeps missing targets, since that one had read nothing for some seconds.
TEST_GROUP(ListGrace)
{
    TargetList list;

    void readEach500ms(const std::vector<Target> &targets, TimePoint from, TimePoint to)
    {
        for (TimePoint at = from; at <= to; at += 500ms) {
            list.read(targets, at, at);
        }
    }
    /// The other daemon has read again at @p readAgainAt.
    bool hear(TimePoint readAgainAt, std::optional<TimePoint> eraSince = {})
    {
        return list.recordRelayed({other, readAgainAt + 100ms, 100ms, GracePeriod - 100ms}, readAgainAt + 100ms, eraSince);
    }
};

// Guards against a removed target that is used again: a daemon that was cut from the store takes that for an outage and keeps the target, while
// this one has read of its removal (review/13, DRAIN).
TEST(ListGrace, ReadsOfThisDaemonShowThatTheOtherAloneCouldNotRead)
{
    readEach500ms(both, t0, t0 + 3s);
    readEach500ms(onlyFirst, t0 + 3500ms, t0 + 6s);
    CHECK(!hear(t0 + 6200ms));
    CHECK(list.graceLeft(t0 + 6300ms) == Duration::zero());
    list.read({}, t0 + 6500ms, t0 + 6500ms);
    LONGS_EQUAL(0, list.targets().size());
}

// Guards against the same in the moment between the end of the other daemon's grace period and its next read, up to which it lists the target.
TEST(ListGrace, ListReadInARefusedGracePeriodIsRefusedAfterItsEnd)
{
    readEach500ms(both, t0, t0 + 3s);
    readEach500ms(onlyFirst, t0 + 3500ms, t0 + 6s);
    const TimePoint readAgainAt = t0 + 6200ms;
    CHECK(!hear(readAgainAt));
    const TimePoint end = readAgainAt + GracePeriod;
    CHECK(!list.recordRelayed({other, end + 200ms, 300ms, 0ms}, end + 200ms));
    CHECK(list.recordRelayed({{"entry-2"}, end + 200ms, 300ms, 0ms}, end + 200ms));
    CHECK(list.recordRelayed({other, end + 400ms, 100ms, 0ms}, end + 400ms));
}

TEST(ListGrace, ReadsThatOthersConfirmShowItToo)
{
    list.read(both, t0, t0);
    for (TimePoint at = t0 + 1s; at <= t0 + 6s; at += 1s) {
        list.confirm(at);
    }
    CHECK(!hear(t0 + 6200ms));
}

// Guards against the loss of targets whose entries expired in an outage that this daemon has not noticed yet.
TEST(ListGrace, OutageWithoutReadsOfThisDaemonIsBelieved)
{
    readEach500ms(both, t0, t0 + 3s);
    CHECK(hear(t0 + 6200ms));
    list.read(onlyFirst, t0 + 6500ms, t0 + 6500ms);
    LONGS_EQUAL(2, list.targets().size());
}

TEST(ListGrace, OutageThatThisDaemonNoticedTooIsBelieved)
{
    readEach500ms(both, t0, t0 + 1s);
    readEach500ms(both, t0 + 6s, t0 + 8500ms); // its own grace period ends at 8.3 s
    CHECK(list.recordRelayed({other, t0 + 8500ms, 1700ms, GracePeriod - 1700ms}, t0 + 8500ms)); // it read again at 6.8 s
    CHECK(list.graceLeft(t0 + 9s) > Duration::zero());
}

// Guards against a grace period that ends before the entries of a new era are written again: the other daemon saw the era later.
TEST(ListGrace, DaemonInAGracePeriodOfItsOwnTakesOverALaterEnd)
{
    for (TimePoint at = t0; at < t0 + 6s; at += 500ms) {
        list.read(both, at, at, 1);
    }
    list.read(onlyFirst, t0 + 6s, t0 + 6s, 2);
    CHECK(hear(t0 + 6200ms));
    CHECK(list.graceLeft(t0 + 8400ms) > Duration::zero());
}

TEST(ListGrace, DaemonThatHasJustStartedBelievesOthers)
{
    readEach500ms(onlyFirst, t0, t0 + 1s);
    CHECK(hear(t0 + 1200ms));
}

// A pause of the process is no outage of the store, but it hides one.
TEST(ListGrace, DaemonThatStoodStillBelievesOthers)
{
    readEach500ms(both, t0, t0 + 3s);
    list.recordPause(4s);
    readEach500ms(both, t0 + 7s, t0 + 8s);
    CHECK(hear(t0 + 6800ms));
}

// Guards against the loss of targets that a store lacks which has come back from a copy, although its reads never stopped.
TEST(ListGrace, NewEraIsBelievedAsLongAsEntriesMayBeWrittenAgain)
{
    readEach500ms(both, t0, t0 + 6s);
    CHECK(hear(t0 + 6200ms, t0 + 6s));
    list = {};
    readEach500ms(both, t0, t0 + 6s);
    CHECK(!hear(t0 + 6200ms, t0 + 1s));
}
