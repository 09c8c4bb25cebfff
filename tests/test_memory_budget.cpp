#include <plumsill/config.h>
#include <plumsill/instance_limits.h>
#include <plumsill/memory_budget.h>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace plumsill;

namespace
{
constexpr std::size_t AnswerBytes = config::MaxBufferedAnswerBytes;
constexpr std::size_t SmallBytes = 1500;
}

TEST_GROUP(MemoryBudget)
{
    const std::size_t bound = heldBytesBound({std::nullopt, 160.0, std::nullopt}, 1).value();
    MemoryBudget budget {bound};
    std::vector<HeldBytes> answers;

    // Callers that read so slowly that their answers stay in memory. Returns how many answers were refused.
    int addSlowCallers(int count)
    {
        int refused = 0;
        for (int i = 0; i < count; ++i) {
            answers.emplace_back(budget);
            refused += answers.back().trySet(AnswerBytes) ? 0 : 1;
        }
        return refused;
    }
};

// Guards against a process that is ended because it holds more than the memory of its instance.
TEST(MemoryBudget, FiftyCallersThatReadOneKilobyteASecond)
{
    CHECK(addSlowCallers(50) > 0);
    CHECK(budget.held() <= bound);
    CHECK(!budget.takesLarge(AnswerBytes));
}

// Guards against small requests that are refused because large ones hold the memory.
TEST(MemoryBudget, SlowCallersLeaveRoomForSmallRequests)
{
    addSlowCallers(1000);
    std::vector<HeldBytes> small;
    for (int i = 0; i < 1000; ++i) {
        small.emplace_back(budget);
        CHECK(budget.fits(SmallBytes));
        small.back().set(SmallBytes);
    }
    CHECK(budget.held() <= bound);
}

// Guards against large requests that are refused for good after a shortage.
TEST(MemoryBudget, LargeRequestsAreTakenAgainOnceSlowCallersHaveLeft)
{
    addSlowCallers(1000);
    answers.clear();
    LONGS_EQUAL(0, budget.held());
    CHECK(budget.takesLarge(AnswerBytes));
}

TEST(MemoryBudget, MovedBytesAreCountedOnce)
{
    HeldBytes first(budget);
    first.set(1000);
    HeldBytes second(std::move(first));
    HeldBytes third(budget);
    third.set(500);
    third = std::move(second);
    LONGS_EQUAL(1000, budget.held());
    third.set(0);
    LONGS_EQUAL(0, budget.held());
}

TEST(MemoryBudget, WithoutAKnownLimitNothingIsRefused)
{
    budget.setBound(std::nullopt);
    LONGS_EQUAL(0, addSlowCallers(1000));
    CHECK(budget.takesLarge(AnswerBytes) && budget.fits(AnswerBytes));
}
