#include <plumsill/failure_estimate.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
}

TEST_GROUP(LatencyModel)
{
    LatencyModel model {300ms};

    void learn(unsigned answers)
    {
        for (unsigned i = 0; i < answers; ++i) {
            model.add(200ms + 4ms * (i % 25));
        }
    }
};

TEST(LatencyModel, SurvivalFallsWithAge)
{
    learn(200);
    CHECK(model.survival(100ms) > 0.95);
    CHECK(model.survival(250ms) > 0.3);
    CHECK(model.survival(250ms) < 0.7);
    CHECK(model.survival(600ms) < 0.03);
    CHECK(model.survival(3s) >= 0);
}

TEST(LatencyModel, QuantileAndSurvivalAgree)
{
    learn(200);
    const Duration late = model.quantile(0.1);
    CHECK(late > model.mean());
    DOUBLES_EQUAL(0.1, model.survival(late), 0.02);
}

TEST(LatencyModel, MeanFollowsAChangeOfLatency)
{
    learn(200);
    for (unsigned i = 0; i < 200; ++i) {
        model.add(1s);
    }
    CHECK(model.mean() > 800ms);
}

TEST_GROUP(FailureEstimate)
{
    FailureEstimate estimate;
};

TEST(FailureEstimate, OneOverdueRequestRaisesSuspicion)
{
    estimate.recordGoodAnswer(t0);
    estimate.recordOverdue(0.02, t0 + 1s);
    CHECK(estimate.probability(t0 + 1s) > 0.5);
}

TEST(FailureEstimate, OneErrorAmongGoodAnswersRaisesNoSuspicion)
{
    for (unsigned i = 0; i < 5; ++i) {
        estimate.recordGoodAnswer(t0 + 100ms * i);
    }
    estimate.recordFailure(t0 + 600ms);
    estimate.recordGoodAnswer(t0 + 700ms);
    estimate.recordGoodAnswer(t0 + 800ms);
    CHECK(estimate.probability(t0 + 800ms) < 0.1);
}

TEST(FailureEstimate, SuspicionDecays)
{
    estimate.recordOverdue(0.001, t0);
    CHECK(estimate.probability(t0) > 0.8);
    CHECK(estimate.probability(t0 + 20s) < 0.15);
}

// A target that fails for a long time must not cost a request every few seconds, so the estimate decays more slowly after
// each failed trial.
TEST(FailureEstimate, EachFailedTrialDelaysTheNextOne)
{
    TimePoint now = t0;
    Duration last {};
    for (unsigned trial = 0; trial < 4; ++trial) {
        estimate.recordOverdue(0.001, now);
        const TimePoint since = now;
        while (estimate.probability(now) > 0.4) {
            now += 50ms;
        }
        CHECK(now - since >= last);
        last = now - since;
    }
    CHECK(last > 5s);
}

TEST(FailureEstimate, GoodAnswersResetTheDecayTime)
{
    TimePoint now = t0;
    for (unsigned trial = 0; trial < 4; ++trial) {
        estimate.recordOverdue(0.001, now);
        now += 15s;
    }
    for (unsigned i = 0; i < 6; ++i) {
        estimate.recordGoodAnswer(now);
    }
    estimate.recordOverdue(0.001, now);
    CHECK(estimate.probability(now + 5s) < 0.4);
}

TEST(FailureEstimate, NewTargetHasTheBaselineFailureProbability)
{
    CHECK(estimate.probability(t0) > 0);
    CHECK(estimate.probability(t0, 0.3) > estimate.probability(t0, 0.05));
}
