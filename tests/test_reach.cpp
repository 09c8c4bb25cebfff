#include <plumsill/helpers.h>
#include <plumsill/reach.h>

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);

TargetName target(unsigned number)
{
    return {"t" + std::to_string(number)};
}
}

TEST_GROUP(Reach)
{
    static constexpr std::size_t Targets = 10;
    Reach reach;
    TimePoint now = t0;

    /// Lets all due probes fail or succeed for @p time.
    void runProbes(Duration time, bool connected)
    {
        const TimePoint until = now + time;
        unsigned next = 0;
        for (; now < until; now += 10ms) {
            for (auto due = reach.takeDueProbes(Targets, now); due > 0; --due) {
                const TargetName probed = target(next++ % Targets);
                if (connected) {
                    reach.recordConnected(probed, now);
                } else {
                    reach.recordConnectFailure(probed, now);
                }
            }
        }
    }
    void cutOff()
    {
        reach.recordConnectFailure(target(99), now);
        runProbes(100ms, false);
        CHECK(reach.cutOff());
    }
    /// Time until the probes end the state.
    Duration timeToReturn()
    {
        const TimePoint start = now;
        while (reach.cutOff() && now - start < 20s) {
            runProbes(10ms, true);
        }
        return now - start;
    }
};

// Guards against a daemon that goes on to fail requests although none of its connections can be opened.
TEST(Reach, FailuresAtThreeTargetsShowThatTheDaemonIsCutOff)
{
    reach.recordConnectFailure(target(1), now);
    LONGS_EQUAL(2, reach.takeDueProbes(Targets, now));
    reach.recordConnectFailure(target(2), now);
    CHECK(!reach.cutOff());
    reach.recordConnectFailure(target(3), now);
    CHECK(reach.cutOff());
}

// Guards against a daemon that takes one lost target for a cut of its own.
TEST(Reach, OneLostTargetLeavesTheDaemonInReach)
{
    reach.recordConnectFailure(target(1), now);
    reach.takeDueProbes(Targets, now);
    reach.recordConnected(target(2), now);
    reach.recordConnectFailure(target(1), now + 10ms);
    CHECK(!reach.cutOff());
    CHECK(reach.undisturbed());
}

TEST(Reach, LostTargetsCauseFewProbes)
{
    std::size_t probes = 0;
    for (; now < t0 + 10s; now += 10ms) {
        reach.recordConnectFailure(target(1), now);
        const auto due = reach.takeDueProbes(Targets, now);
        probes += due;
        if (due > 0) {
            reach.recordConnected(target(2), now);
        }
    }
    CHECK(probes <= 20);
}

// Guards against requests that are lost on silent connections one after the other.
TEST(Reach, OverdueRequestWithoutAnyAnswerSinceStartsProbes)
{
    reach.recordAnswer(t0 + 10ms);
    reach.recordOverdue(t0, t0 + 2s);
    LONGS_EQUAL(0, reach.takeDueProbes(Targets, t0 + 2s));
    reach.recordOverdue(t0 + 20ms, t0 + 2s);
    LONGS_EQUAL(3, reach.takeDueProbes(Targets, t0 + 2s));
}

TEST(Reach, ServiceWithASingleTargetIsCutOffByThatTarget)
{
    reach.recordConnectFailure(target(1), now);
    LONGS_EQUAL(0, reach.takeDueProbes(1, now));
    CHECK(reach.cutOff());
}

TEST(Reach, ProbesWithoutResultEndTheSuspicion)
{
    reach.recordConnectFailure(target(1), now);
    reach.takeDueProbes(Targets, now);
    reach.takeDueProbes(Targets, now + 5s);
    CHECK(reach.undisturbed());
}

TEST(Reach, CutEndsWithinASecondOfTheFirstConnection)
{
    cutOff();
    runProbes(10s, false);
    CHECK(timeToReturn() < 1s);
}

// Guards against a link that comes and goes and takes the routing along each time.
TEST(Reach, FlappingLinkNeedsMoreProbesToReturn)
{
    cutOff();
    const Duration first = timeToReturn();
    cutOff();
    cutOff();
    const Duration second = timeToReturn();
    CHECK(second > first);
    now += 20s;
    cutOff();
    CHECK(timeToReturn() < second);
}

TEST(Reach, FewProbesRunWhileTheDaemonIsCutOff)
{
    cutOff();
    std::size_t probes = 0;
    for (const TimePoint until = now + 10s; now < until; now += 10ms) {
        const auto due = reach.takeDueProbes(Targets, now);
        probes += due;
        if (due > 0) {
            reach.recordConnectFailure(target(1), now);
        }
    }
    CHECK(probes <= 34);
}

TEST_GROUP(HelperPool)
{
    HelperPool pool;

    static HelperCandidate candidate(unsigned number, unsigned rank = 0)
    {
        return {{{"d" + std::to_string(number)}, {"10.0.0." + std::to_string(number), 7000}}, rank};
    }
    std::string choose(const std::string &asker, TimePoint now = t0)
    {
        const auto helper = pool.choose({asker}, {"lookup"}, now);
        return helper ? helper->name.value : std::string();
    }
};

TEST(HelperPool, AskersAreSpreadAndEachKeepsItsHelper)
{
    pool.setCandidates({candidate(1), candidate(2), candidate(3), candidate(4)});
    std::set<std::string> used;
    for (unsigned asker = 10; asker < 40; ++asker) {
        const std::string name = "d" + std::to_string(asker);
        used.insert(choose(name));
        CHECK(choose(name) == choose(name, t0 + 1s));
    }
    LONGS_EQUAL(4, used.size());
}

TEST(HelperPool, NoDaemonHelpsItself)
{
    pool.setCandidates({candidate(1)});
    CHECK(choose("d1").empty());
}

TEST(HelperPool, OtherZonesHelpOnlyWhereTheOwnCannot)
{
    pool.setCandidates({candidate(1, 0), candidate(2, 2)});
    CHECK(choose("d9") == "d1");
    pool.recordUnavailable({"d1"}, t0);
    CHECK(choose("d9") == "d2");
    CHECK(choose("d9", t0 + 3s) == "d1");
}

// Guards against one helper that takes the load of all daemons without reach.
TEST(HelperPool, FullHelperIsPassedOver)
{
    pool.setCandidates({candidate(1), candidate(2)});
    unsigned placed = 0;
    while (!choose("d9").empty() && placed < 1000) {
        pool.recordStart({choose("d9")});
        ++placed;
    }
    CHECK(placed < 1000);
    pool.recordEnd({"d1"});
    CHECK(choose("d9") == "d1");
}
