#include <plumsill/answer_ownership.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;

TEST_GROUP(AnswerOwnership)
{
    AnswerOwnership ownership;
};

TEST(AnswerOwnership, EveryAttemptCountsUntilOneHasBegun)
{
    CHECK(ownership.open());
    CHECK(ownership.counts(1));
    CHECK(ownership.counts(2));
    CHECK(!ownership.owns(1));
}

// Guards against bytes of another attempt, a refusal or a timeout within an answer that has begun.
TEST(AnswerOwnership, OnlyTheAttemptThatBeganFirstWrites)
{
    CHECK(ownership.claim(2));
    CHECK(!ownership.claim(1));
    CHECK(!ownership.claim(2));
    CHECK(!ownership.open());
    CHECK(ownership.owns(2));
    CHECK(ownership.counts(2));
    CHECK(!ownership.owns(1));
    CHECK(!ownership.counts(1));
}
