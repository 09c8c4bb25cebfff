#include "zone_fleet.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned Targets = 12;
constexpr int MaxSends = 3; // copies that may still reach targets once the third crash is known
constexpr auto ContactTime = 3s; // time in which daemons in touch know of the third crash

PlatformDocument document()
{
    PlatformDocument document;
    document.version = 1;
    document.services = {"lookup"};
    document.routes = {{"read", "/read/", "lookup", true, false, 2, 3000, 1000}};
    document.teams = {{"red", {RedKey}, 0, 0}};
    return document;
}
}

/// Requests that crash the targets that run them, and innocent ones that run beside them.
TEST_GROUP(QuarantineProcess)
{
    ZoneFleet fleet;
    std::atomic<unsigned> nextId {0};
    std::atomic<bool> stop {false};
    std::vector<std::thread> callers;

    void start(const std::string &serviceTime)
    {
        CHECK(fleet.publish(document()));
        for (unsigned index = 0; index < Targets; ++index) {
            fleet.startTarget("t" + std::to_string(index), "lookup", "z" + std::to_string(index % 2), serviceTime);
            fleet.targetFault("t" + std::to_string(index), R"({"crash_path":"/read/deadly"})");
        }
        for (unsigned index = 0; index < 4; ++index) {
            fleet.startDaemon("d" + std::to_string(index), "z" + std::to_string(index % 2), true);
        }
        CHECK(eventually(20s, [this] { return fleet.allReady(); }));
        CHECK(eventually(10s, [this] { return served("d0") && served("d1") && served("d2") && served("d3"); }));
    }
    void teardown() override
    {
        stop = true;
        for (auto &caller : callers) {
            caller.join();
        }
    }
    HttpAnswer call(const std::string &daemon, const std::string &path)
    {
        return fleet.call(daemon, "GET", path, "id" + std::to_string(++nextId), RedKey);
    }
    bool served(const std::string &daemon)
    {
        return call(daemon, "/read/1").status == 200;
    }
    int ended()
    {
        return static_cast<int>(
            std::count_if(fleet.targets.begin(), fleet.targets.end(), [](const auto &entry) { return entry.second.process->exitStatus() >= 0; }));
    }
};

// Guards against copies of a crashing request that reach further targets, since no daemon knows what became of the others (BUDGET).
TEST(QuarantineProcess, CopiesOfACrashingRequestAreRefusedAfterItsThirdCrashAlsoWithTheSchedulerLost)
{
    start("20ms");
    for (unsigned copy = 0; copy < 8 && ended() < 3; ++copy) {
        call("d" + std::to_string(copy % 4), "/read/deadly");
        eventually(200ms, [this] { return ended() >= 3; });
    }
    CHECK(ended() >= 3);
    std::this_thread::sleep_for(ContactTime);
    const int before = ended();
    const std::string scheduler = fleet.metric("d0", "plumsill_schedules_for") > 0 ? "d0" : "d2";
    fleet.daemons.at(scheduler).process->signal(SIGKILL);
    fleet.daemons.at(scheduler).process->wait();
    fleet.daemons.erase(scheduler);
    for (unsigned round = 0; round < 4; ++round) {
        for (const auto &[name, daemon] : fleet.daemons) {
            call(name, "/read/deadly");
        }
        std::this_thread::sleep_for(500ms);
    }
    CHECK_TEXT(ended() - before <= MaxSends, std::to_string(ended() - before).c_str());
    for (const auto &[name, daemon] : fleet.daemons) {
        CHECK_TEXT(served(name), name.c_str());
    }
}

// Guards against a quarantine that is forgotten when all daemons end at the same moment.
TEST(QuarantineProcess, QuarantineOutlastsTheLossOfAllDaemons)
{
    start("20ms");
    for (unsigned copy = 0; copy < 8 && ended() < 3; ++copy) {
        call("d" + std::to_string(copy % 4), "/read/deadly");
        eventually(200ms, [this] { return ended() >= 3; });
    }
    std::this_thread::sleep_for(ContactTime);
    const int before = ended();
    for (const auto &[name, daemon] : fleet.daemons) {
        daemon.process->signal(SIGKILL);
    }
    for (const char *name : {"d0", "d1", "d2", "d3"}) {
        fleet.daemons.at(name).process->wait();
        fleet.startDaemon(name, fleet.daemons.at(name).zone);
    }
    CHECK(eventually(20s, [this] { return fleet.allReady(); }));
    for (unsigned copy = 0; copy < 12; ++copy) {
        call("d" + std::to_string(copy % 4), "/read/deadly");
        std::this_thread::sleep_for(100ms);
    }
    CHECK_TEXT(ended() - before <= MaxSends, std::to_string(ended() - before).c_str());
    CHECK(served("d0") && served("d1"));
}

// Guards against the quarantine of a request that crashes nothing, but was running at targets that were lost together.
TEST(QuarantineProcess, RequestThatRanAtTargetsLostTogetherIsNotRefused)
{
    start("300ms");
    std::mutex mutex;
    std::set<std::string> refusals;
    for (unsigned caller = 0; caller < 24; ++caller) {
        callers.emplace_back([this, caller, &mutex, &refusals] {
            while (!stop) {
                const auto answer = call("d" + std::to_string(caller % 4), "/read/popular");
                if (answer.body.find("quarantined") != std::string::npos) {
                    const std::lock_guard lock(mutex);
                    refusals.insert(answer.body);
                }
            }
        });
    }
    std::this_thread::sleep_for(1s);
    for (const char *target : {"t0", "t1", "t2", "t3", "t5"}) {
        fleet.targets.at(target).process->signal(SIGKILL);
    }
    std::this_thread::sleep_for(4s);
    const std::lock_guard lock(mutex);
    LONGS_EQUAL_TEXT(0, refusals.size(), refusals.empty() ? "" : refusals.begin()->c_str());
}
