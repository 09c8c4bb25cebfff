#include "child_process.h"
#include "environment_p.h"
#include "http_client_p.h"

#include <boost/asio.hpp>

#include <memory>

// Included last because its macros replace "new".
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;
namespace asio = boost::asio;

/// Runs the store connection and operators' document changes against the stand-in platform in its own process.
TEST_GROUP(ProcessStore)
{
    const std::string documentText = "[service s]\nfloor = 50%\n[route r]\nprefix = /\nservice = s\nidempotent = yes\naccess = open\n";
    ChildProcess process {"standin-platform", {}};
    Endpoint platform = readyEndpoint(process.line(), "http");
    asio::io_context context;
    StoreConnection store {StoreSettings {platform}};

    void setFaults(const std::string &json)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/control/faults";
        request.body = json;
        CHECK(exchangeOnce(platform, std::move(request), 5s).has_value());
    }
    void runToCompletion(const std::function<asio::awaitable<void>()> &work)
    {
        asio::co_spawn(context, work, [](const std::exception_ptr &error) { CHECK(!error); });
        context.restart();
        context.run();
    }
    asio::awaitable<ChangeReply> change(std::uint64_t replaces)
    {
        ChangeOrder order {PutRequest {documentText, replaces}, "ann", "now", "write-" + std::to_string(replaces), TrialEnvironment, 0};
        const HoldersQuery holders = [](const DocumentStamp &) { return Holders {1, 1}; };
        const StoreCaller caller = makeOperatorStoreCaller(store);
        co_return co_await runChange(std::move(order), caller, holders);
    }
    ChangeReply put(std::uint64_t replaces)
    {
        ChangeReply reply;
        runToCompletion([&]() -> asio::awaitable<void> { reply = co_await change(replaces); });
        return reply;
    }
};

TEST(ProcessStore, ChangeIsAcceptedWhenAnswersAreLost)
{
    setFaults(R"({"lose_answers": 3})");
    CHECK(put(0).outcome == ChangeOutcome::Accepted);
    CHECK(put(0).outcome == ChangeOutcome::Conflict);
    runToCompletion([&]() -> asio::awaitable<void> {
        const StoreCaller caller = makeOperatorStoreCaller(store);
        const auto stored = co_await readDocument(caller, TrialEnvironment);
        CHECK(stored.value().text == documentText);
        LONGS_EQUAL(1, stored.value().manifest.stamp.version);
    });
}

TEST(ProcessStore, ChangeIsRefusedWhenTheStoreIsDownBeforeTheWrite)
{
    setFaults(R"({"down": true})");
    RuntimeClock::pause();
    asio::steady_timer ticker(context);
    // The change retries for 10 s of RuntimeClock. The test advances the paused clock by 50 ms about every millisecond,
    // so that the retries take less real time.
    const std::function<void(boost::system::error_code)> tick = [&](boost::system::error_code error) {
        if (!error) {
            RuntimeClock::advance(50ms);
            ticker.expires_after(1ms);
            ticker.async_wait(tick);
        }
    };
    tick({});
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    runToCompletion([&]() -> asio::awaitable<void> {
        outcome = (co_await change(0)).outcome;
        ticker.cancel();
    });
    RuntimeClock::resume();
    CHECK(outcome == ChangeOutcome::Refused);
    setFaults(R"({"down": false})");
    CHECK(put(0).outcome == ChangeOutcome::Accepted);
}

TEST(ProcessStore, StaleReadIsDiscarded)
{
    put(0);
    put(1);
    runToCompletion([&]() -> asio::awaitable<void> {
        const auto fresh = co_await store.read(manifestKey(TrialEnvironment));
        CHECK(fresh.has_value());
    });
    setFaults(R"({"stale_reads": true})");
    runToCompletion([&]() -> asio::awaitable<void> {
        const auto stale = co_await store.read(manifestKey(TrialEnvironment));
        CHECK(stale.error().fault == StoreFault::Stale);
    });
}

TEST(ProcessStore, WatchReportsChangesAndEndsWhenBookmarksStop)
{
    std::vector<std::string> keys;
    Duration detectionTime {};
    const std::function<void(const WatchEvent &)> handler = [&](const WatchEvent &event) {
        if (const auto *put = std::get_if<ObjectPut>(&event)) {
            keys.push_back(put->object.key);
            setFaults(R"({"silent_watch": true})");
            detectionTime = -RuntimeClock::now().time_since_epoch();
        }
    };
    runToCompletion([&]() -> asio::awaitable<void> {
        const auto created = co_await store.create("a/1", "x");
        CHECK(created.has_value());
        const auto end = co_await store.watch("a/", created.value().version - 1, handler);
        CHECK(end.fault == StoreFault::NoAnswer);
        detectionTime += RuntimeClock::now().time_since_epoch();
    });
    CHECK((keys == std::vector<std::string> {"a/1"}));
    const Duration expectedTime = config::MaxMissedWatchBookmarks * config::WatchBookmarkInterval;
    CHECK_TEXT(detectionTime >= expectedTime - 100ms && detectionTime <= expectedTime + config::WatchBookmarkInterval,
               std::to_string(seconds(detectionTime)).c_str());
}
