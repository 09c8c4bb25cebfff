#include "fleet_process.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <set>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

// Runs real processes on the real clock. The time limits that the tests check are those that the fleet is required to
// meet.
TEST_GROUP(FleetProcess)
{
    FleetProcesses fleet {4, 3};

    void setup() override
    {
        CHECK(fleet.promote(fleetDocument(), "d0"));
        CHECK(eventually(30s, [&] { return fleet.allMembersOfOneEpoch(); }));
        CHECK(eventually(30s, [&] { return allServe(); }));
    }
    bool allServe()
    {
        return std::all_of(fleet.daemons.begin(), fleet.daemons.end(),
                           [&](const auto &entry) { return fleet.listing(entry.first).status == 200 && fleet.listing(entry.first, BlueKey).status == 200; });
    }
    void checkNoOrderRanTwice()
    {
        for (const auto &[id, count] : fleet.runs()) {
            LONGS_EQUAL(1, count);
        }
    }
};

TEST(FleetProcess, WithdrawnKeyIsRefusedByAllDaemonsWithinFiveSecondsOfAcceptance)
{
    CHECK(fleet.promote(fleetDocument(true), "d1"));
    CHECK(eventually(5s, [&] {
        return std::all_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &entry) { return fleet.listing(entry.first, BlueKey).status == 401; });
    }));
    CHECK_EQUAL(200U, fleet.listing("d0").status);
}

TEST(FleetProcess, OtherDaemonsServeAfterADaemonIsKilled)
{
    fleet.daemons.at("d3").process->signal(SIGKILL);
    fleet.daemons.erase("d3");
    unsigned failedOrders = 0;
    for (int round = 0; round < 100; ++round) {
        for (const auto &[name, daemon] : fleet.daemons) {
            const auto answer = fleet.order(name, "kill-" + name + "-" + std::to_string(round));
            failedOrders += answer.status == 200 ? 0 : 1;
            CHECK(answer.status == 200 || answer.has("not-run") || answer.has("unknown"));
        }
    }
    CHECK(failedOrders <= 6); // 2 % of the 300 orders
    checkNoOrderRanTwice();
}

TEST(FleetProcess, PausedDaemonRefusesKeyedRoutesUntilItIsConfirmedAgain)
{
    auto &paused = fleet.daemons.at("d2");
    paused.process->signal(SIGSTOP);
    CHECK(fleet.promote(fleetDocument(true), "d0"));
    ::poll(nullptr, 0, 6000); // longer than a document stays trusted after its last confirmation
    paused.process->signal(SIGCONT);
    // The daemon may still hold the old document, but must not accept the withdrawn key, not even in its first answers.
    for (int round = 0; round < 50; ++round) {
        const auto answer = fleet.listing("d2", BlueKey);
        CHECK(answer.status == 401 || answer.status == 503);
    }
    CHECK(eventually(5s, [&] { return fleet.listing("d2", BlueKey).status == 401; }));
    CHECK(eventually(10s, [&] { return fleet.listing("d2").status == 200; }));
}

TEST(FleetProcess, DaemonsServeAndNewDaemonsStartDuringAPlatformOutage)
{
    fleet.platformFault(R"({"down":true})");
    for (int round = 0; round < 50; ++round) {
        for (const auto &[name, daemon] : fleet.daemons) {
            CHECK_EQUAL(200U, fleet.listing(name).status);
        }
    }
    fleet.startDaemon("new", "z1");
    CHECK(eventually(5s, [&] { return fleet.ready("new"); }));
    CHECK(eventually(5s, [&] { return httpCall(fleet.daemons.at("new").traffic, "GET", "/open").status == 200; }));
    CHECK_EQUAL(401U, fleet.listing("new", "a-wrong-key").status);
    fleet.platformFault(R"({"down":false})");
    CHECK(eventually(30s, [&] { return fleet.allMembersOfOneEpoch(); }));
}

TEST(FleetProcess, PlannedStopInterruptsNoRequest)
{
    const std::string stoppedAddress = toString(fleet.daemons.at("d1").traffic);
    std::string all = toString(fleet.daemons.at("d0").traffic) + "," + stoppedAddress;
    ChildProcess load("standin-caller", {"--to", all, "--rate", "100", "--seconds", "6", "--key", RedKey, "--path", "/order", "--method", "POST", "--json"});
    ::poll(nullptr, 0, 1500);
    fleet.daemons.at("d1").process->signal(SIGTERM);
    LONGS_EQUAL(0, fleet.daemons.at("d1").process->wait());
    const auto result = boost::json::parse(load.line()).as_object();
    LONGS_EQUAL(0, result.at("cut").to_number<std::int64_t>());
    LONGS_EQUAL(0, result.at("mismatched").to_number<std::int64_t>());
    LONGS_EQUAL(0, result.at("truncated").to_number<std::int64_t>());
    checkNoOrderRanTwice();
}

TEST(FleetProcess, OrdersRunAtMostOnceWhileTargetsFail)
{
    fleet.targetFault("t0", R"({"crash_before_first_byte_share":0.3,"truncate_share":0.2})");
    fleet.targetFault("t1", R"({"crash_after_first_byte_share":0.3,"late_ms":50})");
    std::set<std::string> notRunIds;
    std::map<std::string, unsigned> statuses;
    for (int round = 0; round < 100; ++round) {
        for (const auto &[name, daemon] : fleet.daemons) {
            const std::string id = "order-" + name + "-" + std::to_string(round);
            const auto answer = fleet.order(name, id);
            CHECK(answer.status != 0);
            if (answer.status == 200) {
                CHECK(answer.has(id));
            }
            if (answer.has("Plumsill-Outcome: not-run")) {
                notRunIds.insert(id);
            }
        }
    }
    for (const auto &[id, count] : fleet.runs()) {
        LONGS_EQUAL(1, count);
        CHECK(!notRunIds.contains(id));
    }
}

TEST(FleetProcess, NoTargetReceivesAKey)
{
    for (const auto &[name, endpoint] : fleet.targetControls) {
        CHECK(httpCall(endpoint, "GET", "/control/stats").has("\"seen_keys\":0"));
    }
}
