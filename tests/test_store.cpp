#include "fake_store.h"

#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
constexpr const char *Key = "k";
const std::string mine = toJson(TaggedValue {"id-1", "mine"});
const std::string other = toJson(TaggedValue {"id-2", "other"});

struct WriteRun {
    FakeStore store;
    TimePoint now {};
    std::vector<CallFault> faults; ///< faults of the calls in order; later calls have none
    std::size_t calls = 0;
    std::function<void(std::size_t)> beforeCall = [](std::size_t) {};

    CallFault nextFault() { return calls < faults.size() ? faults[calls] : CallFault::None; }

    WriteStep run(std::uint64_t expected)
    {
        ConditionalWrite write({Key, mine, "id-1", expected}, now + 5s);
        auto step = write.start();
        while (std::holds_alternative<ObjectCall>(step) || std::holds_alternative<WritePause>(step)) {
            if (std::holds_alternative<WritePause>(step)) {
                now += 100ms;
                step = write.resume();
                continue;
            }
            beforeCall(calls);
            const auto fault = nextFault();
            ++calls;
            now += 100ms;
            step = write.answered(store.call(std::get<ObjectCall>(step), fault), now);
        }
        return step;
    }
    std::uint64_t version() const { return store.find(Key)->version; }
};
}

TEST_GROUP(StoreClient) {};

TEST(StoreClient, BudgetBoundsTheRate)
{
    CallBudget budget(2, 10);
    TimePoint now {};
    unsigned calls = 0;
    for (; now < TimePoint(100s); now += 10ms) {
        calls += budget.take(now) ? 0 : 1;
    }
    CHECK(calls <= 2 * 100 + 10);
    CHECK(calls >= 2 * 100);
    budget.take(now); // takes the only token that can have been added since the last call
    const auto wait = budget.take(now);
    CHECK(wait && *wait > 0s && *wait <= 501ms);
}

TEST(StoreClient, BackoffGrowsToItsLimit)
{
    Backoff backoff(100ms, 1s);
    CHECK(backoff.next(0.5) == 50ms);
    CHECK(backoff.next(0.5) == 100ms);
    for (int i = 0; i < 10; ++i) {
        backoff.next(0);
    }
    CHECK(backoff.next(0.5) == 500ms);
    backoff.reset();
    CHECK(backoff.next(0.5) == 50ms);
}

TEST(StoreClient, OlderVersionIsDiscarded)
{
    VersionFilter filter;
    CHECK(filter.accept("a", 5));
    CHECK(filter.accept("a", 5));
    CHECK(!filter.accept("a", 4));
    CHECK(filter.accept("b", 1));
    CHECK(filter.accept("a", 6));
}

TEST(StoreClient, WatchIsUnresponsiveAfterThreeIntervals)
{
    WatchMonitor watch(TimePoint(0s));
    CHECK(!watch.unresponsive(TimePoint(2999ms)));
    CHECK(watch.unresponsive(TimePoint(3s)));
    watch.recordActivity(TimePoint(2s));
    CHECK(!watch.unresponsive(TimePoint(4999ms)));
    CHECK(watch.unresponsive(TimePoint(5s)));
}

TEST(StoreClient, WriteIsDoneOrInConflict)
{
    WriteRun run;
    CHECK(run.run(0) == WriteStep(WriteDone {1}));
    CHECK(run.run(0) == WriteStep(WriteConflict {}));
    CHECK(run.run(1) == WriteStep(WriteDone {2}));
    CHECK(run.run(1) == WriteStep(WriteConflict {}));
}

TEST(StoreClient, LostAnswerIsResolvedByReadingBack)
{
    WriteRun run;
    run.faults = {CallFault::LostAfter};
    CHECK(run.run(0) == WriteStep(WriteDone {1}));
    LONGS_EQUAL(2, run.calls);
}

TEST(StoreClient, LostCallIsRepeatedUnderTheSameCondition)
{
    WriteRun run;
    run.faults = {CallFault::LostBefore};
    CHECK(run.run(0) == WriteStep(WriteDone {1}));
}

TEST(StoreClient, DelayedWriteHasNoSecondEffect)
{
    WriteRun run;
    run.faults = {CallFault::Delayed};
    CHECK(run.run(0) == WriteStep(WriteDone {1}));
    run.store.deliverDelayed();
    LONGS_EQUAL(1, run.version());
}

TEST(StoreClient, StaleReadBackDoesNotFailTheWrite)
{
    WriteRun run;
    run.store.perform(CreateCall {Key, other});
    run.faults = {CallFault::LostAfter, CallFault::Stale};
    CHECK(run.run(1) == WriteStep(WriteDone {2}));
}

TEST(StoreClient, ConflictAfterALostAnswerIsReadBack)
{
    WriteRun run;
    run.faults = {CallFault::Delayed, CallFault::None, CallFault::None};
    // The first attempt of the write is delayed. It takes effect after the read that looks for its result and before the
    // second attempt, which therefore gets a conflict.
    run.beforeCall = [&](std::size_t call) {
        if (call == 2) {
            run.store.deliverDelayed();
        }
    };
    CHECK(run.run(0) == WriteStep(WriteDone {1}));
}

TEST(StoreClient, ConcurrentWriteIsDetected)
{
    WriteRun run;
    run.faults = {CallFault::LostBefore};
    run.beforeCall = [&](std::size_t call) {
        if (call == 1) {
            run.store.perform(CreateCall {Key, other});
        }
    };
    CHECK(run.run(0) == WriteStep(WriteSuperseded {}));
}

TEST(StoreClient, OutcomeIsUnknownWhileTheStoreIsUnreachable)
{
    WriteRun run;
    run.faults.assign(1000, CallFault::Down);
    run.faults[0] = CallFault::LostAfter;
    CHECK(run.run(0) == WriteStep(WriteUnknown {}));
    CHECK(run.now >= TimePoint(5s));
}

TEST(StoreClient, CallThatWasNotSentIsReportedAsNotDone)
{
    WriteRun run;
    run.faults = {CallFault::Down};
    CHECK(std::holds_alternative<WriteNotDone>(run.run(0)));
}

// Guards against one entry of another writer that hides every change of the targets.
TEST(StoreClient, EntryThatNamesNoTargetIsLeftOutOfTheListing)
{
    const std::string sound = R"({"name":"t","service":"s","zone":"z","endpoint":"127.0.0.1:80","state":"live"})";
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string &odd : {std::string(R"({"name":"x","service":"s","zone":"z","endpoint":"host:80","state":"live"})"),
                                   std::string(R"({"name":"x","service":"s","zone":"z","endpoint":"127.0.0.1:99999","state":"live"})"),
                                   std::string(R"({"name":"x","service":"s \ud83d"})"), std::string(R"({"name":"x","service":1e999999999999})"),
                                   R"({"name":"x","service":)" + deep + "}"}) {
        std::string list = "[";
        list.append(odd).append(",").append(sound).append("]");
        const auto listed = parseTargets(list).value();
        LONGS_EQUAL(1, listed.targets.size());
        LONGS_EQUAL(1, listed.rejected.size());
        STRCMP_EQUAL("x", listed.rejected.front().name.c_str());
    }
}

// Guards against a process that ends because of another writer's event. The reader of the watch reads the object anew after an error.
TEST(StoreClient, OddWatchEventIsAnError)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string &value : {deep, std::string("1e999999999999"), std::string(400, '9'), std::string("\"\xff\""), std::string(R"("\ud83d")")}) {
        std::string line = R"({"type":"put","key":"a","version":3,"value":)";
        line.append(value).append("}");
        CHECK(parseWatchEvent(line).error().fault == StoreFault::Malformed);
    }
    CHECK(parseWatchEvent(R"({"type":"put","key":"a","version":1e30,"value":"v"})").error().fault == StoreFault::Malformed);
}

TEST(StoreClient, AnswersAreParsedOrRejected)
{
    const auto targets = parseTargets(R"([{"name":"t","service":"s","zone":"z","endpoint":"127.0.0.1:80","state":"leaving"}])");
    CHECK(targets.value().targets == (std::vector<Target> {{{"t"}, {"s"}, {"z"}, {"127.0.0.1", 80}, true}}));
    CHECK(parseTargets(R"([{"name":"t")").error().fault == StoreFault::Malformed);
    CHECK(parseInstances("[{\"name\":\"i\",\"state\":\"live\"}]").value().front() == (ListedInstance {{"i"}, false}));
    CHECK(parseInstances("{").has_error());
    const auto list = parseObjectList(R"({"revision":7,"objects":[{"key":"a","version":3,"value":"v"}]})");
    CHECK(list.value() == (ObjectList {7, {{"a", 3, "v"}}}));
    CHECK(std::holds_alternative<WatchBookmark>(parseWatchEvent(R"({"type":"bookmark","version":9})").value()));
    CHECK(std::holds_alternative<ObjectDeleted>(parseWatchEvent(R"({"type":"delete","key":"a","version":9})").value()));
    CHECK(parseWatchEvent(R"({"type":"put","key":"a"})").has_error());
    CHECK(parseTaggedValue(mine) == std::optional(TaggedValue {"id-1", "mine"}));
    CHECK(!parseTaggedValue("[]"));
}
