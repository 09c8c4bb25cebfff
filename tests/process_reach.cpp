#include "zone_fleet.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <set>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
PlatformDocument document()
{
    PlatformDocument document;
    document.version = 1;
    document.services = {"lookup"};
    document.routes = {{"read", "/read/", "lookup", true, false, 2, 3000, 1000}, {"order", "/order/", "lookup", false, false, 1, 3000, 1000}};
    document.teams = {{"red", {RedKey}, 0, 0}};
    return document;
}

constexpr auto DetectionTime = 3s; // time after which a cut daemon must serve its callers again
}

/// Daemons that are partitioned from all targets, while callers, the object service and the other daemons reach them.
TEST_GROUP(ReachProcess)
{
    std::unique_ptr<ZoneFleet> fleet;
    unsigned nextId = 0; ///< even: a request that may run twice
    bool onlyOrders = false;

    void start(unsigned daemons = 6)
    {
        ZoneFleetOptions options;
        options.partitionable = true;
        fleet = std::make_unique<ZoneFleet>(options);
        CHECK(fleet->publish(document()));
        for (unsigned index = 0; index < 6; ++index) {
            fleet->startTarget("t" + std::to_string(index), "lookup", "z" + std::to_string(index % 3));
        }
        for (unsigned index = 0; index < daemons; ++index) {
            fleet->startDaemon("d" + std::to_string(index), "z" + std::to_string(index % 3), true);
        }
        CHECK(eventually(20s, [this] { return fleet->allReady(); }));
        CHECK(eventually(10s, [this] { return served("d0") && served("d1") && served("d2"); }));
    }
    bool served(const std::string &daemon)
    {
        nextId += onlyOrders && nextId % 2 == 0 ? 1 : onlyOrders ? 2 : 1;
        const std::string id = "id" + std::to_string(nextId);
        return fleet->call(daemon, nextId % 2 == 0 ? "GET" : "POST", nextId % 2 == 0 ? "/read/1" : "/order/1", id, RedKey).status == 200;
    }
    /// Sends requests to the daemons by turns for @p time; returns the share that was served at the first attempt, by daemon.
    std::map<std::string, double> firstAttemptsServed(std::chrono::milliseconds time)
    {
        std::map<std::string, double> share;
        const auto until = std::chrono::steady_clock::now() + time;
        double rounds = 0;
        for (; std::chrono::steady_clock::now() < until; ++rounds) {
            for (const auto &[name, daemon] : fleet->daemons) {
                share[name] += served(name) ? 1 : 0;
            }
        }
        for (auto &[name, value] : share) {
            value /= rounds;
        }
        return share;
    }
    void checkServedWhile(const std::vector<std::string> &cut, const std::string &mode, bool idleFirst = false)
    {
        for (const auto &name : cut) {
            fleet->partition(name, mode);
        }
        if (idleFirst) {
            std::this_thread::sleep_for(DetectionTime);
            onlyOrders = true;
        } else {
            firstAttemptsServed(DetectionTime);
        }
        for (const auto &[name, share] : firstAttemptsServed(3s)) {
            CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
        }
        for (const auto &name : cut) {
            fleet->partition(name, "none");
        }
        for (const auto &[id, count] : runs()) {
            LONGS_EQUAL_TEXT(1, count, id.c_str());
        }
    }
    /// Runs of each request that isn't idempotent.
    std::map<std::string, std::int64_t> runs()
    {
        std::map<std::string, std::int64_t> sum;
        for (const auto &[name, target] : fleet->targets) {
            const auto targetRuns = boost::json::parse(httpCall(target.control, "GET", "/control/runs").body);
            for (const auto &entry : targetRuns.as_object()) {
                const std::string id(entry.key());
                if (std::stoul(id.substr(2)) % 2 == 1) {
                    sum[id] += entry.value().to_number<std::int64_t>();
                }
            }
        }
        return sum;
    }
};

// Guards against refusals at a daemon whose new connections to all targets are refused while the other daemons reach them; its
// open connections are too old for requests that must not run twice.
TEST(ReachProcess, CallersOfADaemonWithRefusedConnectionsAreServedAtTheFirstAttempt)
{
    start();
    checkServedWhile({"d0"}, "refuse", true);
}

// Guards against requests that are lost on silent connections of a daemon that is partitioned from all targets.
TEST(ReachProcess, CallersOfADaemonWithSilentConnectionsAreServedAtTheFirstAttempt)
{
    start();
    checkServedWhile({"d0"}, "hang");
}

// Guards against requests that are lost as a cut begins with the reset of open connections.
TEST(ReachProcess, CallersOfADaemonWithResetConnectionsAreServedAtTheFirstAttempt)
{
    start();
    checkServedWhile({"d0"}, "reset");
}

// Guards against a zone that has no daemon which reaches the targets, its scheduler among them.
TEST(ReachProcess, CallersOfAZoneWithoutReachAreServedByOtherZones)
{
    start();
    checkServedWhile({"d0", "d3"}, "refuse");
}

// Guards against targets that are taken for failing because most daemons can't reach them.
TEST(ReachProcess, TheOnlyDaemonWithReachServesTheCallersOfAll)
{
    start();
    checkServedWhile({"d0", "d1", "d2", "d3", "d4"}, "refuse");
}

// Guards against a helper whose loss costs the callers of the daemon that it helps.
TEST(ReachProcess, LossOfTheHelperIsMadeGoodByOthers)
{
    start();
    fleet->partition("d0", "refuse");
    firstAttemptsServed(DetectionTime);
    // d3 is the only other daemon of the zone, and so the helper.
    CHECK(fleet->metric("d3", "plumsill_tunnels_for_others") > 0);
    fleet->daemons.at("d3").process->signal(SIGKILL);
    fleet->daemons.at("d3").process->wait();
    fleet->daemons.erase("d3");
    firstAttemptsServed(DetectionTime);
    for (const auto &[name, share] : firstAttemptsServed(3s)) {
        CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
    }
}

// Guards against a helper that stands still and holds the requests of the daemon that it helps.
TEST(ReachProcess, HelperThatStandsStillIsReplaced)
{
    start();
    fleet->partition("d0", "refuse");
    firstAttemptsServed(DetectionTime);
    fleet->daemons.at("d3").process->signal(SIGSTOP);
    const auto stopped = std::move(fleet->daemons.at("d3"));
    fleet->daemons.erase("d3");
    firstAttemptsServed(DetectionTime);
    for (const auto &[name, share] : firstAttemptsServed(3s)) {
        CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
    }
}

// Guards against a daemon that goes on to use other daemons' connections after its own work again, and against lost requests meanwhile.
TEST(ReachProcess, DaemonServesDirectlyAgainAfterTheCut)
{
    start();
    fleet->partition("d0", "hang");
    firstAttemptsServed(DetectionTime);
    CHECK(fleet->metric("d0", "plumsill_services_out_of_reach") == 1);
    fleet->partition("d0", "none");
    for (const auto &[name, share] : firstAttemptsServed(2s)) {
        CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
    }
    CHECK(fleet->metric("d0", "plumsill_services_out_of_reach") == 0);
}

// Guards against a cut daemon that misses a change of the document, or loses requests as its helper stops as planned.
TEST(ReachProcess, DocumentChangesAndHelpersRestartDuringACut)
{
    start();
    fleet->partition("d0", "refuse");
    firstAttemptsServed(DetectionTime);
    auto changed = document();
    changed.version = 2;
    changed.routes.push_back({"added", "/added/", "lookup", true, true, 2, 3000, 1000});
    CHECK(fleet->publish(changed));
    fleet->daemons.at("d3").process->signal(SIGTERM);
    const auto stopping = std::move(fleet->daemons.at("d3"));
    fleet->daemons.erase("d3");
    for (const auto &[name, share] : firstAttemptsServed(3s)) {
        CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
    }
    LONGS_EQUAL(200, fleet->call("d0", "GET", "/added/1", "idx1").status);
}

// Guards against a daemon that starts without any reach and doesn't find out, or finds no helper.
TEST(ReachProcess, DaemonThatStartsDuringACutServesItsCallers)
{
    start();
    fleet->partition("d0", "refuse");
    for (unsigned restart = 0; restart < 2; ++restart) {
        fleet->daemons.at("d0").process->signal(SIGKILL);
        fleet->daemons.at("d0").process->wait();
        fleet->startDaemon("d0", "z0");
        CHECK(eventually(10s, [this] { return fleet->ready("d0"); }));
        firstAttemptsServed(DetectionTime);
        for (const auto &[name, share] : firstAttemptsServed(2s)) {
            CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
        }
    }
}

// Guards against requests that go on to a helper that has lost its own reach after it took a tunnel.
TEST(ReachProcess, HelperThatLosesItsReachIsReplaced)
{
    start();
    fleet->partition("d0", "refuse");
    firstAttemptsServed(DetectionTime);
    CHECK(fleet->metric("d3", "plumsill_tunnels_for_others") > 0);
    fleet->partition("d3", "hang");
    firstAttemptsServed(DetectionTime);
    for (const auto &[name, share] : firstAttemptsServed(3s)) {
        CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
    }
    for (const auto &[id, count] : runs()) {
        CHECK_TEXT(count <= 1, id.c_str());
    }
}

// Guards against tunnels that go silent for good, as do all connections between daemons that are open at a fault, and are used on.
TEST(ReachProcess, SilentTunnelsAreReplaced)
{
    start();
    fleet->partition("d0", "refuse");
    firstAttemptsServed(DetectionTime);
    CHECK(fleet->metric("d3", "plumsill_tunnels_for_others") > 0);
    fleet->silenceAccepted("d3");
    firstAttemptsServed(DetectionTime);
    for (const auto &[name, share] : firstAttemptsServed(3s)) {
        CHECK_TEXT(share > 0.9, (name + " served " + std::to_string(share)).c_str());
    }
    for (const auto &[id, count] : runs()) {
        CHECK_TEXT(count <= 1, id.c_str());
    }
}

// Guards against an order that runs twice, or is called not run, since its answer was lost behind or before the helper.
TEST(ReachProcess, OrdersWhoseAnswersAreLostOnEitherSideOfTheHelperRunAtMostOnce)
{
    start();
    fleet->partition("d0", "refuse");
    firstAttemptsServed(DetectionTime);
    onlyOrders = true;
    for (const auto &[name, target] : fleet->targets) {
        fleet->targetFault(name, R"({"crash_before_first_byte_share":0.3})");
    }
    std::set<std::string> refused; // 503 says that the request has not run
    std::thread caller([this, &refused] {
        for (unsigned number = 1'000'001; number < 1'000'201; number += 2) {
            const std::string id = "id" + std::to_string(number);
            if (fleet->call("d0", "POST", "/order/1", id, RedKey).status == 503) {
                refused.insert(id);
            }
        }
    });
    std::this_thread::sleep_for(700ms);
    fleet->daemons.at("d3").process->signal(SIGKILL);
    caller.join();
    for (const auto &[id, count] : runs()) {
        CHECK_TEXT(count <= (refused.contains(id) ? 0 : 1), id.c_str());
    }
}

// Guards against requests to a target that asked a helper for rest, from daemons that hold tunnels through this helper (BUDGET).
TEST(ReachProcess, TargetThatAskedAHelperForRestGetsNoRequestsThroughItsOpenTunnels)
{
    start();
    for (const char *name : {"d0", "d1", "d2", "d3", "d4"}) {
        fleet->partition(name, "refuse");
    }
    const auto callAll = [this](std::chrono::milliseconds time) {
        const auto until = std::chrono::steady_clock::now() + time;
        std::atomic<unsigned> id {100000};
        std::vector<std::thread> callers;
        for (unsigned caller = 0; caller < 18; ++caller) {
            callers.emplace_back([&, daemon = "d" + std::to_string(1 + caller % 4)] {
                while (std::chrono::steady_clock::now() < until) {
                    fleet->call(daemon, "GET", "/read/1", "id" + std::to_string(id += 2), RedKey);
                }
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
    };
    const auto refused = [this] {
        const auto stats = boost::json::parse(httpCall(fleet->targets.at("t0").control, "GET", "/control/stats").body);
        return stats.at("shed").to_number<std::int64_t>();
    };
    firstAttemptsServed(DetectionTime);
    callAll(3s);
    const auto shedBefore = refused();
    fleet->targetFault("t0", R"({"rest":"3"})");
    while (refused() == shedBefore) {
        served("d0");
    }
    const auto asked = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(asked + 500ms);
    const auto before = refused();
    callAll(2400ms);
    LONGS_EQUAL(0, refused() - before);
}
