#include <plumsill/config.h>
#include <plumsill/detector.h>

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
TargetName target(std::size_t index)
{
    return {"t" + std::to_string(index)};
}

EvidenceSource daemonOf(std::size_t index, std::size_t zones = 3)
{
    return {{{"d" + std::to_string(index)}, 1}, {"z" + std::to_string(index % zones)}};
}

/// Answers of one target to one daemon within 100 ms, by outcome.
struct AnswerCounts {
    std::uint16_t fast = 4;
    std::uint16_t slow = 0;
    std::uint16_t errors = 0;
    std::uint16_t timeouts = 0;
    std::uint16_t truncated = 0;
    std::uint16_t shed = 0;
    std::uint16_t unreachable = 0;
};
}

TEST_GROUP(Detector)
{
    static constexpr std::size_t Targets = 6;
    static constexpr std::size_t Daemons = 3;
    TimePoint now = TimePoint(1000s);
    Detector detector {FewFalseEjections {}};
    std::size_t zones = 3;

    void setup() override
    {
        detector.setTargets(names(Targets), now);
    }

    static std::vector<TargetName> names(std::size_t count)
    {
        std::vector<TargetName> names;
        for (std::size_t index = 0; index < count; ++index) {
            names.push_back(target(index));
        }
        return names;
    }

    void add(std::size_t daemon, std::size_t index, const AnswerCounts &counts)
    {
        TargetEvidence evidence;
        evidence.target = target(index);
        evidence.good = counts.fast + counts.slow;
        evidence.fast = counts.fast;
        evidence.slow = counts.slow;
        evidence.errors = counts.errors;
        evidence.timeouts = counts.timeouts;
        evidence.truncated = counts.truncated;
        evidence.shed = counts.shed;
        evidence.unreachable = counts.unreachable;
        evidence.logLatencySum = static_cast<float>(counts.fast * std::log(0.04) + counts.slow * std::log(0.4));
        detector.add(daemonOf(daemon, zones), evidence, now);
    }

    /// Advances the time by @p length and adds the evidence of this period. The first @p affectedDaemons daemons get the
    /// answers @p faulty from the first @p faultyTargets targets; all other answers are good.
    void advance(Duration length, const AnswerCounts &faulty, std::size_t faultyTargets = 1, std::size_t affectedDaemons = Daemons)
    {
        for (const TimePoint end = now + length; now < end; now += 100ms) {
            for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
                for (std::size_t index = 0; index < Targets; ++index) {
                    add(daemon, index, index < faultyTargets && daemon < affectedDaemons ? faulty : AnswerCounts {});
                }
            }
        }
    }

    UnhealthyCause onlyCause()
    {
        const auto unhealthy = detector.unhealthy();
        LONGS_EQUAL(1, unhealthy.size());
        STRCMP_EQUAL("t0", unhealthy.at(0).target.value.c_str());
        return unhealthy.at(0).cause;
    }
};

TEST(Detector, HealthyTargetsAreNotReported)
{
    advance(30s, {});
    CHECK(detector.unhealthy().empty());
}

TEST(Detector, FailuresOfEachKindMakeTargetUnhealthy)
{
    const AnswerCounts failing[] = {{3, 0, 2}, {3, 0, 0, 2}, {3, 0, 0, 0, 2}};
    for (const auto &counts : failing) {
        detector = Detector(FewFalseEjections {});
        setup();
        advance(10s, {});
        advance(2s, counts);
        CHECK(onlyCause() == UnhealthyCause::Errors);
    }
}

TEST(Detector, SlowAnswersMakeTargetUnhealthy)
{
    advance(10s, {});
    CHECK(detector.slowAfter() > 150ms);
    CHECK(detector.slowAfter() < 250ms);
    advance(2s, {0, 4});
    CHECK(onlyCause() == UnhealthyCause::Slowness);
}

TEST(Detector, ShedRequestsDoNotMakeTargetUnhealthy)
{
    advance(10s, {});
    advance(10s, {1, 0, 0, 0, 0, 20});
    CHECK(detector.unhealthy().empty());
}

TEST(Detector, ServiceWideSlownessReportsNoTarget)
{
    advance(10s, {});
    advance(10s, {0, 4}, Targets);
    CHECK(detector.unhealthy().empty());
}

TEST(Detector, ServiceWideFailureReportsNoTarget)
{
    advance(10s, {});
    for (int round = 0; round < 50; ++round) {
        advance(100ms, {0, 0, 4}, Targets);
        CHECK(detector.unhealthy().empty());
    }
}

TEST(Detector, HalfOfTheTargetsCanBeUnhealthy)
{
    advance(10s, {});
    advance(2s, {1, 0, 3}, Targets / 2);
    LONGS_EQUAL(Targets / 2, detector.unhealthy().size());
}

TEST(Detector, SlowShareOfAllTargetsIsTheBaseline)
{
    advance(10s, {9, 1}, Targets);
    advance(60s, {8, 2}, 1);
    CHECK(detector.unhealthy().empty());
}

TEST(Detector, BurstOfLateRequestsIsNotEnoughEvidence)
{
    advance(10s, {});
    for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
        add(daemon, 0, {0, 30});
    }
    CHECK(detector.unhealthy().empty());
    advance(2s, {});
    CHECK(detector.unhealthy().empty());
}

TEST(Detector, EvidenceOfOneDaemonIsNotEnough)
{
    advance(10s, {});
    advance(10s, {0, 0, 0, 12}, 1, 1);
    CHECK(detector.unhealthy().empty());
}

TEST(Detector, EvidenceOfOneZoneIsNotEnough)
{
    zones = 2; // daemons 0 and 2 are in one zone, daemon 1 is in the other
    advance(10s, {});
    for (int round = 0; round < 100; ++round, now += 100ms) {
        add(0, 0, {0, 0, 0, 12});
        add(1, 0, {});
        add(2, 0, {0, 0, 0, 12});
    }
    CHECK(detector.unhealthy().empty());
}

TEST(Detector, SingleDaemonNeedsNoCorroboration)
{
    for (int round = 0; round < 100; ++round, now += 100ms) {
        for (std::size_t index = 0; index < Targets; ++index) {
            add(0, index, index == 0 && round > 60 ? AnswerCounts {0, 0, 4} : AnswerCounts {});
        }
    }
    CHECK(onlyCause() == UnhealthyCause::Errors);
}

TEST(Detector, ColdTargetMayBeSlowButNotFail)
{
    advance(10s, {});
    detector.setTargets(names(Targets + 1), now);
    CHECK(detector.cold(target(Targets), now));
    for (const TimePoint end = now + config::ColdStartGrace - 200ms; now < end;) {
        for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
            add(daemon, Targets, {0, 4});
        }
        advance(100ms, {});
    }
    CHECK(detector.unhealthy().empty());
    for (int round = 0; round < 10; ++round) {
        for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
            add(daemon, Targets, {0, 0, 4});
        }
        advance(100ms, {});
    }
    LONGS_EQUAL(1, detector.unhealthy().size());
}

TEST(Detector, UnreachableNeedsSeveralZones)
{
    const AnswerCounts unreachableOnly {0, 0, 0, 0, 0, 0, 4};
    advance(5s, {});
    advance(4s, unreachableOnly, 1, 1);
    CHECK(!detector.unreachable(target(0), now));
    advance(4s, unreachableOnly, 1, 3);
    CHECK(detector.unreachable(target(0), now));
    CHECK(onlyCause() == UnhealthyCause::Unreachable);
    advance(100ms, {});
    CHECK(!detector.unreachable(target(0), now));
}

TEST(Detector, FailedConnectionsOfOneDaemonDoNotMakeTargetUnreachable)
{
    advance(5s, {});
    now += config::EvidenceWindow + 1s;
    add(1, 1, {});
    add(2, 1, {});
    add(0, 0, {0, 0, 0, 0, 0, 0, 4});
    CHECK(!detector.unreachable(target(0), now));
    add(1, 0, {0, 0, 0, 0, 0, 0, 4});
    CHECK(detector.unreachable(target(0), now));
}

TEST(Detector, TrialEndsInRecoveryOrFailure)
{
    advance(10s, {});
    advance(2s, {0, 0, 4});
    detector.restart(target(0));
    CHECK(detector.trialResult(target(0)) == TrialResult::Open);
    add(0, 0, {0, 0, 4});
    CHECK(detector.trialResult(target(0)) == TrialResult::StillUnhealthy);
    detector.restart(target(0));
    advance(500ms, {});
    CHECK(detector.trialResult(target(0)) == TrialResult::Recovered);
}

TEST(Detector, FastProfileHasLowerThresholds)
{
    const auto fast = thresholdsOf(FastDetection {});
    const auto few = thresholdsOf(FewFalseEjections {});
    CHECK(fast.alarm < few.alarm);
    CHECK(fast.errorShare < few.errorShare);
    CHECK(fast.slowTime < few.slowTime);
}

TEST(Detector, AnswersAreCountedOnce)
{
    TargetEvidence evidence;
    countOverdue(evidence);
    countAnswer(evidence, AnswerKind::Good, 900ms, 200ms, true);
    countAnswer(evidence, AnswerKind::Good, 300ms, 200ms, false);
    countAnswer(evidence, AnswerKind::Good, 100ms, 200ms, false);
    LONGS_EQUAL(3, evidence.good);
    LONGS_EQUAL(1, evidence.fast);
    LONGS_EQUAL(2, evidence.slow);
    countAnswer(evidence, AnswerKind::Good, 900ms, 0ms, false);
    LONGS_EQUAL(2, evidence.slow);
    for (int count = 0; count < 70'000; ++count) {
        countAnswer(evidence, AnswerKind::Error, 1ms, 0ms, false);
    }
    LONGS_EQUAL(65'535, evidence.errors);
}
