#include <plumsill/codec.h>
#include <plumsill/quarantine.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr RequestDigest Deadly {1, 1};
}

/// Suspect requests as several daemons see them.
TEST_GROUP(Quarantine)
{
    Quarantine quarantine;
    TimePoint now = TimePoint(1h);

    void crash(Quarantine & at, unsigned target)
    {
        at.recordCrash(Deadly, target, now, now);
    }
    void crashes(unsigned count)
    {
        for (unsigned target = 0; target < count; ++target) {
            crash(quarantine, target);
        }
    }
    bool mayRun(const Quarantine &at) const
    {
        return std::holds_alternative<NotQuarantined>(at.check(Deadly, now));
    }
    /// Trials granted to copies that arrive every second for @p time; each crashes its target.
    unsigned trialsWithin(Duration time)
    {
        unsigned count = 0;
        for (const TimePoint end = now + time; now < end; now += 1s) {
            if (quarantine.beginTrial(Deadly, now)) {
                crash(quarantine, 100 + ++count);
            }
        }
        return count;
    }
};

// Guards against a fourth copy that is sent like any other.
TEST(Quarantine, RequestIsQuarantinedByItsThirdCrash)
{
    crashes(2);
    CHECK(mayRun(quarantine));
    crash(quarantine, 1); // the same target again
    CHECK(mayRun(quarantine));
    crash(quarantine, 2);
    CHECK(!mayRun(quarantine));
}

// Guards against more than three sends after the third crash, over any time.
TEST(Quarantine, TrialsOfACrashingRequestAreFew)
{
    crashes(3);
    LONGS_EQUAL(1, trialsWithin(50s));
    LONGS_EQUAL(1, trialsWithin(60s));
    LONGS_EQUAL(1, trialsWithin(2h));
    LONGS_EQUAL(0, trialsWithin(24h));
    CHECK(std::get<Quarantined>(quarantine.check(Deadly, now)).retryAfter == Duration::zero());
}

// Guards against copies that run beside the trial.
TEST(Quarantine, OtherCopiesWaitForTheTrialAndAreRefusedWhenItCrashes)
{
    crashes(3);
    now += 100ms;
    CHECK(quarantine.beginTrial(Deadly, now));
    CHECK(!quarantine.beginTrial(Deadly, now));
    CHECK(!std::get<AwaitsTrial>(quarantine.check(Deadly, now)).due);
    now += 20ms;
    crash(quarantine, 3);
    now += 1ms;
    CHECK(std::get<Quarantined>(quarantine.check(Deadly, now)).retryAfter > 50s);
}

// Guards against an innocent request that stays quarantined since it ran at targets that were lost together.
TEST(Quarantine, AnswerEndsTheQuarantineForAllDaemonsAlsoWhereOldReportsArriveLater)
{
    crashes(3);
    const SuspectRequest before = quarantine.report(Deadly, now);
    Quarantine other;
    CHECK(other.merge(before, now));
    now += 100ms;
    CHECK(quarantine.beginTrial(Deadly, now));
    CHECK(quarantine.recordAnswer(Deadly, now));
    CHECK(mayRun(quarantine));
    CHECK(other.merge(quarantine.report(Deadly, now), now));
    CHECK(mayRun(other));
    SuspectRequest late = before;
    for (auto &crash : late.crashes) {
        crash.ageMilliseconds += 100;
    }
    CHECK(!other.merge(late, now));
    CHECK(mayRun(other));
}

// Guards against crashes that are seen by different daemons and never add up, and against reports that circulate for ever.
TEST(Quarantine, CrashesSeenByDifferentDaemonsAddUp)
{
    std::vector<Quarantine> daemons(3);
    for (unsigned index = 0; index < 3; ++index) {
        crash(daemons.at(index), index);
    }
    for (auto &to : daemons) {
        for (const auto &from : daemons) {
            to.merge(from.report(Deadly, now), now);
        }
    }
    CHECK(daemons[0].merge(daemons[2].report(Deadly, now), now) == false);
    CHECK(!mayRun(daemons[0]) && !mayRun(daemons[1]) && !mayRun(daemons[2]));
    CHECK(daemons[0].beginTrial(Deadly, now));
    CHECK(daemons[1].merge(daemons[0].report(Deadly, now), now));
    CHECK(!daemons[1].beginTrial(Deadly, now));
}

// Guards against memory that grows with each request that ran at a crashed target.
TEST(Quarantine, MemoryAndReportsAreBoundedAndKeepTheMostSuspicious)
{
    crashes(3);
    for (unsigned index = 0; index < 5000; ++index) {
        quarantine.recordCrash({2, index + 1}, 7, now, now);
    }
    CHECK(quarantine.suspects() < 1000);
    CHECK(!mayRun(quarantine));
    const auto reports = quarantine.reports(now);
    CHECK(reports.front().requests.front().digest == Deadly);
    now += 1h;
    quarantine.expire(now);
    LONGS_EQUAL(1, quarantine.suspects());
}

// Guards against a report that fits into no datagram.
TEST(Quarantine, ReportFitsIntoADatagram)
{
    for (unsigned request = 0; request < 100; ++request) {
        for (unsigned target = 0; target < 6; ++target) {
            quarantine.recordCrash({~0ULL - request, ~0ULL}, ~0U - target, now, now);
        }
        quarantine.beginTrial({~0ULL - request, ~0ULL}, now);
    }
    now += 48h;
    for (const auto &message : quarantine.reports(now)) {
        CHECK(encode({{{"instance-with-a-long-name"}, ~0ULL}, {"255.255.255.255", 65535}, ~0ULL, message}, "secret").size() <= 1400);
    }
}
