#include <plumsill/answer_pipeline.h>
#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint start {1h};
constexpr Duration IdleTimeout = 10s;

template<class Effect>
bool contains(const PipelineEffects &effects, const Effect &effect)
{
    return std::find(effects.begin(), effects.end(), PipelineEffect(effect)) != effects.end();
}
}

TEST_GROUP(AnswerPipeline)
{
    AnswerPipeline pipeline;

    PipelineEffects finish(RequestNumber request, bool complete = true)
    {
        return pipeline.finish(request, complete, start, IdleTimeout);
    }
    PipelineEffects checkAt(TimePoint now, bool stopping = false)
    {
        return pipeline.check({now, stopping, false, false, 0});
    }
};

TEST(AnswerPipeline, AnswersAreWrittenInTheOrderOfTheirRequests)
{
    const auto first = pipeline.add(true);
    const auto second = pipeline.add(true);
    CHECK(pipeline.mayWrite(first) && !pipeline.waits(first));
    CHECK(!pipeline.mayWrite(second) && pipeline.waits(second));
    CHECK(contains(finish(first), WakeRequest {second}));
    CHECK(pipeline.mayWrite(second) && !pipeline.waits(second));
}

// Guards against a timeout or a hedge's answer that is written into a streamed answer.
TEST(AnswerPipeline, OnlyTheFirstWriterOwnsAnAnswer)
{
    const auto ownership = pipeline.ownership(pipeline.add(true));
    CHECK(ownership->claim(2));
    CHECK(!ownership->claim(DaemonWrites));
    CHECK(ownership->owns(2) && !ownership->counts(1));
}

// Guards against a planned stop that cuts the answer to a slow reader.
TEST(AnswerPipeline, PlannedStopEndsTheReadAndNoWrite)
{
    pipeline.add(true);
    pipeline.beginRead(Reading::NextRequest, TimePoint::max());
    pipeline.beginWrite(start + config::BodyTimeout);
    CHECK(checkAt(start, true) == PipelineEffects {CancelRead {}});
    CHECK(pipeline.readExpired());
    CHECK(!pipeline.takesRequests());
}

// Guards against the time limit of a later request that cuts the answer to an earlier one.
TEST(AnswerPipeline, TimeLimitOfAReadEndsNoWrite)
{
    pipeline.add(true);
    pipeline.beginRead(Reading::Request, start + 1s);
    pipeline.beginWrite(start + config::BodyTimeout);
    CHECK(checkAt(start).empty());
    CHECK(checkAt(start + 1s) == PipelineEffects {CancelRead {}});
}

TEST(AnswerPipeline, TimeLimitOfAWriteGivesTheConnectionUp)
{
    const auto request = pipeline.add(true);
    pipeline.beginRead(Reading::NextRequest, TimePoint::max());
    pipeline.beginWrite(start);
    CHECK((checkAt(start) == PipelineEffects {ResetConnection {}, AbandonRequest {request}}));
}

// Guards against targets that are held by requests which wait behind an unread answer, after their caller has left.
TEST(AnswerPipeline, NothingWaitsAfterTheCallerHasLeft)
{
    const auto first = pipeline.add(true);
    const auto second = pipeline.add(true);
    CHECK((pipeline.callerLeft() == PipelineEffects {AbandonRequest {first}, AbandonRequest {second}}));
    CHECK(!pipeline.waits(second) && !pipeline.mayWrite(first) && !pipeline.mayWrite(second));
    CHECK(pipeline.callerLeft().empty());
}

TEST(AnswerPipeline, CallerIsLookedForWhileNothingIsRead)
{
    CHECK(!pipeline.blind());
    const auto request = pipeline.add(true);
    CHECK(pipeline.blind());
    CHECK((pipeline.check({start, false, false, true, 0}) == PipelineEffects {AbandonRequest {request}}));
    pipeline.beginRead(Reading::NextRequest, TimePoint::max());
    CHECK(!pipeline.blind());
}

TEST(AnswerPipeline, AllRequestsExpireNearTheEndOfAPlannedStop)
{
    const auto first = pipeline.add(true);
    const auto second = pipeline.add(true);
    CHECK((pipeline.check({start, true, true, false, 0}) == PipelineEffects {ExpireRequest {first}, ExpireRequest {second}}));
}

TEST(AnswerPipeline, LastAnswerOfAPlannedStopClosesTheConnection)
{
    const auto first = pipeline.add(true);
    const auto second = pipeline.add(true);
    CHECK(pipeline.keepsAlive(first, true));
    CHECK(!pipeline.takesRequests());
    finish(first);
    CHECK(!pipeline.keepsAlive(second, true));
}

TEST(AnswerPipeline, IdleTimeBeginsWithTheLastAnswer)
{
    const auto request = pipeline.add(true);
    pipeline.beginRead(Reading::NextRequest, TimePoint::max());
    CHECK(checkAt(start + 2 * IdleTimeout).empty());
    finish(request);
    CHECK(checkAt(start + IdleTimeout) == PipelineEffects {CancelRead {}});
}

// Guards against a reset that discards what the caller has not received yet.
TEST(AnswerPipeline, ConnectionIsReadUntilItsAnswersAreDelivered)
{
    pipeline.shutDown(start);
    const TimePoint later = start + config::CloseDrainTime;
    CHECK(pipeline.check({later, true, false, false, 1}).empty());
    CHECK(checkAt(later, true).empty());
    CHECK(checkAt(later + config::CloseDrainTime, true) == PipelineEffects {CancelRead {}});
    CHECK(contains(pipeline.check({start + config::BodyTimeout, true, false, false, 1}), ResetConnection {}));
}

// Guards against an answer that breaks off and takes an earlier one along, which the kernel still holds.
TEST(AnswerPipeline, CompleteAnswersCountAsDeliveredByTheirBytes)
{
    const auto first = pipeline.add(true);
    const auto second = pipeline.add(true);
    pipeline.written(100);
    finish(first);
    pipeline.written(30);
    CHECK(!pipeline.delivered(31));
    CHECK(pipeline.delivered(30));
    finish(second, false);
    CHECK(pipeline.delivered(30));
}
