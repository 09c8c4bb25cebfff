#include "zone_fleet.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

/// Load: all machines lose power at once, and callers arrive while they start again.
TEST_GROUP(ReturnProcess)
{
    static constexpr unsigned Daemons = 6;
    ZoneFleet fleet;

    void setup() override
    {
        PlatformDocument document;
        document.version = 1;
        document.services = {"lookup"};
        document.routes = {{"read", "/read/", "lookup", true, false, 2, 3000, 1000}};
        document.teams = {{"red", {RedKey}, 0, 0}};
        CHECK(fleet.publish(document));
        for (unsigned index = 0; index < 3; ++index) {
            fleet.startTarget("t" + std::to_string(index), "lookup", "z" + std::to_string(index));
        }
        start(true);
        CHECK(eventually(20s, [this] { return fleet.allReady(); }));
    }
    static std::string name(unsigned index)
    {
        return "d" + std::to_string(index);
    }
    void start(bool firstStart)
    {
        for (unsigned index = 0; index < Daemons; ++index) {
            fleet.startDaemon(name(index), "z" + std::to_string(index % 3), firstStart);
        }
    }
    /// Status of the first answer that the daemon gives; connections that are refused are tried again.
    unsigned firstAnswer(const std::string &daemon)
    {
        HttpAnswer answer;
        eventually(5s, [&] {
            answer = fleet.call(daemon, "GET", "/read/1", "id-" + daemon, RedKey);
            return answer.status != 0;
        });
        return answer.status;
    }
};

// Guards against callers who are sent away for a second by daemons that can serve them a moment later.
TEST(ReturnProcess, FirstCallersOfAFleetThatHasLostPowerAreServedByTheDaemonTheyMeet)
{
    for (auto &[name, daemon] : fleet.daemons) {
        daemon.process->signal(SIGKILL);
    }
    for (auto &[name, daemon] : fleet.daemons) {
        daemon.process->wait();
    }
    start(false);
    std::map<std::string, std::future<unsigned>> answers;
    for (unsigned index = 0; index < Daemons; ++index) {
        answers.emplace(name(index), std::async(std::launch::async, [this, index] { return firstAnswer(name(index)); }));
    }
    for (auto &[daemon, answer] : answers) {
        LONGS_EQUAL_TEXT(200, answer.get(), daemon.c_str());
    }
}
