#include <plumsill/attempt.h>

#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

TEST_GROUP(Attempt)
{
    const TimePoint start {1000s};
    RetryBudget budget;

    void setup() override
    {
        for (int i = 0; i < 100; ++i) {
            budget.deposit();
        }
    }
};

TEST(Attempt, NonIdempotentRequestIsNotRetriedAfterBytesWereSent)
{
    for (const auto failure : {AttemptFailure::ConnectionLost, AttemptFailure::TimedOut, AttemptFailure::Truncated, AttemptFailure::Malformed}) {
        RequestAttempts request(false, start + 5s);
        const auto step = request.failed({failure, AttemptProgress::Sent}, true, budget, start);
        const auto *answer = std::get_if<GiveUp>(&step);
        CHECK(answer != nullptr);
        CHECK(answer->outcome == RunOutcome::Unknown);
        CHECK(answer->retryAfter == Duration::zero());
    }
}

TEST(Attempt, UnsentRequestIsRetriedAndReportedAsNotRun)
{
    RequestAttempts request(false, start + 5s);
    const AttemptFailed failure {AttemptFailure::ConnectFailed, AttemptProgress::NothingSent};
    CHECK(std::holds_alternative<TryAgain>(request.failed(failure, true, budget, start)));
    const auto step = request.failed(failure, false, budget, start);
    CHECK((step == NextStep(GiveUp {503, RunOutcome::NotRun, config::RetryAfterFailure})));
}

TEST(Attempt, OutcomeStaysUnknownAfterASentAttempt)
{
    RequestAttempts request(true, start + 5s);
    CHECK(std::holds_alternative<TryAgain>(request.failed({AttemptFailure::ConnectionLost, AttemptProgress::Sent}, true, budget, start)));
    const auto step = request.failed({AttemptFailure::ConnectFailed, AttemptProgress::NothingSent}, false, budget, start);
    CHECK(std::get<GiveUp>(step).outcome == RunOutcome::Unknown);
}

TEST(Attempt, CallerIsAbortedAfterTheAnswerStarted)
{
    RequestAttempts request(true, start + 5s);
    CHECK(std::holds_alternative<AbortCaller>(request.failed({AttemptFailure::Truncated, AttemptProgress::AnswerStarted}, true, budget, start)));
}

TEST(Attempt, RetriesAreLimitedByDeadlineAttemptsAndBudget)
{
    const AttemptFailed lost {AttemptFailure::ConnectionLost, AttemptProgress::Sent};
    RequestAttempts late(true, start + 5s);
    CHECK(std::holds_alternative<GiveUp>(late.failed(lost, true, budget, start + 5s)));
    RequestAttempts repeated(true, start + 5s);
    CHECK(std::holds_alternative<TryAgain>(repeated.failed(lost, true, budget, start)));
    CHECK(std::holds_alternative<TryAgain>(repeated.failed(lost, true, budget, start)));
    CHECK(std::holds_alternative<GiveUp>(repeated.failed(lost, true, budget, start)));
    RetryBudget empty;
    RequestAttempts unfunded(true, start + 5s);
    CHECK(std::holds_alternative<GiveUp>(unfunded.failed(lost, true, empty, start)));
}

TEST(Attempt, RetryBudgetIsAShareOfFirstAttempts)
{
    RetryBudget fresh;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        fresh.deposit();
        retries += fresh.withdraw() ? 1 : 0;
    }
    CHECK(retries <= 1000 * config::RetryBudgetShare);
    CHECK(retries >= 1000 * config::RetryBudgetShare - 1);
}

TEST(Attempt, ShedAnswerIsForwardedWhenNoTargetIsLeft)
{
    RequestAttempts request(false, start + 5s);
    CHECK(std::holds_alternative<PassOn>(request.failed({AttemptFailure::Shed, AttemptProgress::Sent}, true, budget, start)));
}

TEST(Attempt, DeadlineBeforeTheFirstAttemptReportsNotRun)
{
    const RequestAttempts request(false, start);
    CHECK((request.noTarget(start) == GiveUp {504, RunOutcome::NotRun, config::RetryAfterFailure}));
}

TEST(Attempt, IdleConnectionsCarryOnlyIdempotentRequests)
{
    const ConnectionFacts idle {start, start};
    const auto now = start + config::FreshConnectionAge;
    CHECK(!reusable(idle, false, std::nullopt, now));
    CHECK(reusable(idle, true, std::nullopt, now));
    CHECK(reusable(idle, false, std::nullopt, start + 1s));
}

TEST(Attempt, UnansweredRequestMakesOlderConnectionsSuspect)
{
    const auto suspect = suspectAfterNoAnswer(start + 10s, start + 20s);
    CHECK(!reusable({start, start + 19s}, true, suspect, start + 20s));
    CHECK(reusable({start + 11s, start + 19s}, true, suspect, start + 20s));
}

// Guards against a second copy of a large answer that only slows the first one down.
TEST(Attempt, HedgeOfALargeAnswerThatHasBegunIsWithheld)
{
    CHECK(!worthItsBytes({true, 0ms, 2000ms}));
    CHECK(worthItsBytes({false, 0ms, 2000ms}));
}

// Guards against copies that fill a slow link and arrive too late.
TEST(Attempt, HedgeOfALargeAnswerIsWithheldWhereTheLinkIsTooSlowForTwoCopies)
{
    CHECK(!worthItsBytes({false, 430ms, 800ms}));
    CHECK(worthItsBytes({false, 430ms, 900ms}));
}
