#include <plumsill/quota.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <utility>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
const TeamName red {"red"};
const TeamRate usual {20, 30};
constexpr unsigned Hubs = 3;

/// Three schedulers with one team, which tell each other what they took every @p delay.
struct Pool {
    std::array<TeamBucket, Hubs> buckets;
    std::array<std::uint32_t, Hubs> told {};

    explicit Pool(const TeamRate &rate, TimePoint now)
    {
        for (auto &bucket : buckets) {
            bucket.setRate(rate, now);
            bucket.setPart({1, 1.0 / Hubs}, now);
        }
    }
    void exchange(const std::array<double, Hubs> &shares, TimePoint now)
    {
        const auto before = told;
        for (unsigned from = 0; from < Hubs; ++from) {
            told[from] = buckets[from].taken();
            for (unsigned to = 0; to < Hubs; ++to) {
                if (to != from) {
                    buckets[to].addRemoteTaken(static_cast<std::int32_t>(told[from] - before[from]), now);
                }
            }
        }
        for (unsigned hub = 0; hub < Hubs; ++hub) {
            buckets[hub].setPart({1, shares[hub]}, now);
        }
    }
};

/// Requests admitted in 30 s where hub h is asked @p perSecond[h] times a second; most in any window of 5 s.
struct Outcome {
    unsigned admitted = 0;
    unsigned asked = 0;
    unsigned mostInWindow = 0;
};

Outcome simulate(Pool &pool, const std::array<double, Hubs> &perSecond, Duration length = 30s)
{
    Outcome outcome;
    std::vector<TimePoint> times;
    std::array<double, Hubs> due {};
    const double total = perSecond[0] + perSecond[1] + perSecond[2];
    const std::array<double, Hubs> shares {perSecond[0] / total, perSecond[1] / total, perSecond[2] / total};
    for (TimePoint now = t0 + 10s; now < t0 + 10s + length; now += 10ms) {
        for (unsigned hub = 0; hub < Hubs; ++hub) {
            due[hub] += perSecond[hub] / 100;
            while (due[hub] >= 1) {
                due[hub] -= 1;
                ++outcome.asked;
                if (pool.buckets[hub].take(now)) {
                    ++outcome.admitted;
                    times.push_back(now);
                }
            }
        }
        if ((now - t0) % 300ms == 0ms) {
            pool.exchange(shares, now);
        }
    }
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > 5s) {
            ++first;
        }
        outcome.mostInWindow = std::max(outcome.mostInWindow, static_cast<unsigned>(last - first + 1));
    }
    return outcome;
}
}

TEST_GROUP(Quota) {};

TEST(Quota, DemandWithinTheRateIsNeverRefused)
{
    Pool pool(usual, t0);
    const Outcome outcome = simulate(pool, {8, 6, 4});
    LONGS_EQUAL(outcome.asked, outcome.admitted);
}

TEST(Quota, DemandInOneZoneAloneMayUseTheWholeRate)
{
    Pool pool(usual, t0);
    const Outcome outcome = simulate(pool, {18, 0, 0});
    LONGS_EQUAL(outcome.asked, outcome.admitted);
}

// One team at 7.5 times its usual requests: the fleet's limit is rate times window and burst, and 20 for its delays.
TEST(Quota, AHotTeamStaysWithinItsLimitInEachWindow)
{
    Pool pool(usual, t0);
    const Outcome outcome = simulate(pool, {60, 50, 40});
    const double limit = 20 * 5 + 30 + 20;
    CHECK(outcome.mostInWindow <= limit);
    CHECK(outcome.admitted > 0.9 * 20 * 30);
}

TEST(Quota, WithoutWordOfTheOthersASchedulerKeepsToItsMembersPart)
{
    SchedulerDemand own;
    own.members = 16;
    own.teams[shortHash("red")] = 10;
    const QuotaPart alone = quotaPart(red, own, {}, 48, 1);
    DOUBLES_EQUAL(16.0 / 48, alone.pool, 1e-9);
    DOUBLES_EQUAL(1, alone.share, 1e-9);
}

TEST(Quota, PartsFollowTheDemand)
{
    SchedulerDemand own;
    own.members = 16;
    own.teams[shortHash("red")] = 9;
    SchedulerDemand other;
    other.members = 32;
    other.teams[shortHash("red")] = 3;
    const QuotaPart part = quotaPart(red, own, {&other}, 48, 1);
    DOUBLES_EQUAL(1, part.pool, 1e-9);
    CHECK(part.share > 0.65);
    CHECK(part.share < 0.8);
    const QuotaPart theirs = quotaPart(red, other, {&own}, 48, 1);
    DOUBLES_EQUAL(1, part.share + theirs.share, 1e-9);
}

TEST(Quota, NoLimitAdmitsAll)
{
    TeamBucket bucket;
    bucket.setRate({0, 0}, t0);
    for (unsigned i = 0; i < 1000; ++i) {
        CHECK(bucket.take(t0));
    }
}

// Refused requests are told different times, so that they don't come back as one wave.
TEST(Quota, PromisesAreSpread)
{
    TeamBucket bucket;
    bucket.setRate({10, 1}, t0);
    bucket.setPart({1, 1}, t0 + 10s);
    while (bucket.take(t0 + 10s)) {
    }
    Duration last {};
    for (unsigned i = 0; i < 10; ++i) {
        const Duration wait = bucket.promise(t0 + 10s);
        CHECK(wait >= last);
        last = wait;
    }
    CHECK(last >= 800ms);
}

// A restart of all schedulers forgets what was taken, so it must not bring a whole burst anew.
TEST(Quota, ARestartedFleetBringsAPartOfTheBurst)
{
    TeamBucket bucket;
    bucket.setRate({20, 200}, t0);
    bucket.setPart({1, 1}, t0);
    unsigned taken = 0;
    while (bucket.take(t0)) {
        ++taken;
    }
    CHECK(taken >= 5);
    CHECK(taken <= 10);
}

// Load: one team asks far beyond its rate while the schedulers of a zone stop one after the other. Each new one would
// start with tokens of its own, were it not told what the pool has left.
TEST(Quota, SuccessiveSchedulersOfAZoneStartFromTheLevelOfThePool)
{
    unsigned admitted = 0;
    TeamBucket steady;
    steady.setRate(usual, t0);
    steady.setPart({1, 0.5}, t0);
    std::uint32_t told = 0;
    for (int successor = 0; successor < 10; ++successor) {
        const TimePoint begin = t0 + 10s + successor * 500ms;
        TeamBucket fresh;
        fresh.setRate(usual, begin);
        fresh.setPart({1, 0.5}, begin);
        fresh.mergeRemoteLevel(steady.level(begin), begin);
        for (TimePoint now = begin; now < begin + 500ms; now += 5ms) {
            admitted += steady.take(now) ? 1 : 0;
            fresh.addRemoteTaken(static_cast<std::int32_t>(steady.taken() - std::exchange(told, steady.taken())), now);
            if (fresh.take(now)) {
                ++admitted;
                steady.addRemoteTaken(1, now);
            }
        }
    }
    CHECK(admitted <= usual.rate * 5 + usual.burst);
    CHECK(admitted >= usual.rate * 5 * 0.9);
}

// Load: a team asks far beyond its rate, and the daemons of a zone place by themselves now and then, since their questions
// go unanswered on a busy machine. What they give out has to come from the same pool.
TEST(Quota, TokensThatMembersGiveOutByThemselvesCountForTheirScheduler)
{
    constexpr unsigned Members = 5;
    TeamBucket scheduler;
    scheduler.setRate(usual, t0);
    scheduler.setPart({1, 1}, t0);
    std::array<TeamBucket, Members> alone;
    for (auto &bucket : alone) {
        bucket.setRate(usual, t0);
        bucket.setPart({1.0 / Members, 1}, t0);
    }
    unsigned admitted = 0;
    const TimePoint begin = t0 + 20s;
    for (TimePoint now = begin; now < begin + 20s; now += 5ms) {
        admitted += scheduler.take(now) ? 1 : 0;
        const bool heartbeat = (now - begin) % 250ms == 0ms;
        for (auto &bucket : alone) {
            const auto before = bucket.taken();
            admitted += bucket.take(now) ? 1 : 0;
            if (heartbeat || bucket.taken() != before) {
                scheduler.takenByMember(bucket.taken() - before, now);
            }
        }
    }
    // Its own burst, and what each daemon may hold of it.
    CHECK(admitted <= usual.rate * 20 + 2 * usual.burst);
}

TEST(Quota, ThePoolOfASchedulerThatHasJustBegunIsBound)
{
    SchedulerDemand own;
    own.members = 3;
    DOUBLES_EQUAL(1, quotaPart(red, own, {}, 3, 1).pool, 1e-9);
    DOUBLES_EQUAL(1.0 / 3, quotaPart(red, own, {}, 3, 1.0 / 3).pool, 1e-9);
    DOUBLES_EQUAL(3.0 / 48, quotaPart(red, own, {}, 48, 1.0 / 3).pool, 1e-9);
}
