#include "zone_fleet.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned HeartbeatMilliseconds = 1500;
constexpr auto Outage = 6s; // longer than the three heartbeats after which an entry expires
constexpr auto ReturnTime = 4s; // entries of live targets are back within two seconds, and are read in the next ones

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

/// Entries of live targets that expire while the store refuses all calls.
TEST_GROUP(ExpiryProcess)
{
    ZoneFleet fleet {{false, 1, HeartbeatMilliseconds}};
    std::atomic<bool> stop {false};
    std::vector<std::thread> callers;

    void setup() override
    {
        CHECK(fleet.publish(document()));
        fleet.startTarget("t0", "lookup", "z0");
        fleet.startTarget("t1", "lookup", "z1");
        for (const char *name : {"d0", "d3"}) {
            fleet.startDaemon(name, "z0", true);
        }
        fleet.startDaemon("d1", "z1", true);
        CHECK(eventually(20s, [this] { return fleet.allReady(); }));
    }
    void teardown() override
    {
        stop = true;
        for (auto &caller : callers) {
            caller.join();
        }
    }
    unsigned served(const std::string &daemon, unsigned requests, unsigned firstId)
    {
        unsigned count = 0;
        for (unsigned index = 0; index < requests; ++index) {
            count += fleet.call(daemon, "GET", "/read/1", "id" + std::to_string(firstId + index), RedKey).status == 200 ? 1 : 0;
        }
        return count;
    }
};

// Guards against a zone without targets: a daemon that starts while their entries are expired told its hub that they are gone.
TEST(ExpiryProcess, DaemonThatStartsWhileEntriesAreExpiredDoesNotCloseItsZone)
{
    fleet.storeFault(R"({"refuse_share":1})");
    std::this_thread::sleep_for(Outage - 500ms);
    fleet.daemons.at("d0").process->signal(SIGKILL);
    fleet.daemons.at("d0").process->wait();
    fleet.startDaemon("d0", "z0");
    std::this_thread::sleep_for(500ms);
    callers.emplace_back([this] {
        for (unsigned id = 1000; !stop; ++id) {
            served("d0", 1, id);
        }
    });
    fleet.storeFault(R"({"refuse_share":0})");
    std::this_thread::sleep_for(ReturnTime);
    for (const char *daemon : {"d0", "d1", "d3"}) {
        LONGS_EQUAL_TEXT(20, served(daemon, 20, 0), daemon);
    }
}
