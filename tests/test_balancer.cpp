#include <plumsill/balancer.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr double ExploreShare = 0.1; // share of requests that go to a random target

Candidate candidate(double weight, double latency, unsigned inFlight = 0)
{
    Candidate made;
    made.weight = weight;
    made.latency = latency;
    made.inFlight = inFlight;
    return made;
}
}

TEST_GROUP(Balancer)
{
    Balancer balancer {7};

    double share(const std::vector<Candidate> &candidates, std::size_t index)
    {
        constexpr int Picks = 20'000;
        int hits = 0;
        for (int pick = 0; pick < Picks; ++pick) {
            hits += balancer.pick(candidates) == index ? 1 : 0;
        }
        return static_cast<double>(hits) / Picks;
    }
};

TEST(Balancer, NoUsableTarget)
{
    CHECK(!balancer.pick({}));
    auto tried = candidate(1, 0.1);
    tried.excluded = true;
    CHECK(!balancer.pick({tried, candidate(0, 0.1)}));
}

TEST(Balancer, TriedAndEjectedTargetsAreNotPicked)
{
    auto tried = candidate(1, 0.01);
    tried.excluded = true;
    DOUBLES_EQUAL(1, share({tried, candidate(0, 0.01), candidate(1, 5)}, 2), 0);
}

TEST(Balancer, LowestExpectedLatencyWins)
{
    DOUBLES_EQUAL(1 - ExploreShare / 2, share({candidate(1, 0.04), candidate(1, 0.4)}, 0), 0.01);
    DOUBLES_EQUAL(1 - ExploreShare / 2, share({candidate(1, 0.04, 2), candidate(1, 0.05)}, 1), 0.01);
    CHECK(share({candidate(1, 0.04), candidate(1, 0.4)}, 1) > ExploreShare / 4);
}

TEST(Balancer, EqualTargetsShareEqually)
{
    DOUBLES_EQUAL(0.25, share({candidate(1, 0), candidate(1, 0), candidate(1, 0), candidate(1, 0)}, 2), 0.02);
}

TEST(Balancer, PartialWeightGetsExactlyItsShare)
{
    // With full weight the share would be a quarter; a weight of 0.1 in a total of 3.1 gives 0.032.
    DOUBLES_EQUAL(0.1 / 3.1, share({candidate(1, 0.04), candidate(0.1, 0.001), candidate(1, 0.04), candidate(1, 0.04)}, 1), 0.01);
}

TEST(Balancer, TargetWithoutKnownLatencyCountsAsAverage)
{
    DOUBLES_EQUAL(ExploreShare / 3, share({candidate(1, 0.02), candidate(1, 0), candidate(1, 0.06)}, 1), 0.01);
}

TEST(Balancer, LatencyEstimateFollowsAnswersAndDecays)
{
    TimePoint now(1000s);
    LatencyEstimate estimate;
    DOUBLES_EQUAL(0, estimate.value(now), 0);
    estimate.add(100ms, now);
    DOUBLES_EQUAL(0.1, estimate.value(now), 1e-9);
    estimate.addWaiting(50ms, now);
    DOUBLES_EQUAL(0.1, estimate.value(now), 1e-9);
    estimate.addWaiting(600ms, now);
    CHECK(estimate.value(now) > 0.15);
    CHECK(estimate.value(now + 30s) < 0.05);
}

TEST(Balancer, FastFailuresRaiseTheLatencyEstimate)
{
    TimePoint now(1000s);
    LatencyEstimate failing;
    LatencyEstimate good;
    for (int count = 0; count < 10; ++count) {
        good.add(40ms, now);
        failing.addFailure(now);
    }
    CHECK(failing.value(now) > good.value(now));
}
