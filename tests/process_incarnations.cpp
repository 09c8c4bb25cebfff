#include "zone_fleet.h"

#include <csignal>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned Calls = 20; // sent at once in each life of the daemon

PlatformDocument document()
{
    PlatformDocument document;
    document.version = 1;
    document.services = {"lookup", "payments"};
    document.routes = {{"read", "/read/", "lookup", true, false, 2, 4000, 4000}, {"order", "/order/", "payments", false, false, 1, 4000, 4000}};
    document.teams = {{"red", {RedKey}, 0, 0}};
    return document;
}
}

/// A zone of two daemons, of which the one that doesn't place the requests is killed and started again.
TEST_GROUP(IncarnationProcess)
{
    ZoneFleet fleet;
    std::string scheduler;
    std::string member;
    std::vector<std::future<unsigned>> answers;

    void setup() override
    {
        CHECK(fleet.publish(document()));
        fleet.startTarget("payments-1", "payments", "z0", "1s");
        for (unsigned index = 0; index < 8; ++index) {
            fleet.startTarget("lookup-" + std::to_string(index), "lookup", "z0");
        }
        fleet.startDaemon("d0", "z0", true);
        fleet.startDaemon("d1", "z0", true);
        CHECK(eventually(20s, [this] { return fleet.allReady(); }));
        CHECK(eventually(10s, [this] { return findScheduler(); }));
    }
    bool findScheduler()
    {
        for (const auto &[name, daemon] : fleet.daemons) {
            if (fleet.metric(name, "plumsill_schedules_for") > 0) {
                scheduler = name;
                member = name == "d0" ? "d1" : "d0";
            }
        }
        return !scheduler.empty();
    }
    /// Sends Calls requests to the member at once.
    void call(const std::string &method, const std::string &path)
    {
        for (unsigned index = 0; index < Calls; ++index) {
            const std::string id = method + std::to_string(answers.size());
            answers.push_back(std::async(std::launch::async, [this, method, path, id] { return fleet.call(member, method, path, id, RedKey).status; }));
        }
    }
    /// Number of orders that targets of another service ran.
    unsigned misroutedOrders()
    {
        unsigned count = 0;
        for (const auto &[name, target] : fleet.targets) {
            const auto log = boost::json::parse(httpCall(target.control, "GET", "/control/log").body);
            for (const auto &run : log.as_array()) {
                count += target.service != "payments" && run.at("path").as_string().starts_with("/order/") ? 1 : 0;
            }
        }
        return count;
    }
};

// Guards against orders that run at another service: a scheduler that stood still answers the placement requests of a daemon that was
// killed meanwhile, and the daemon's next life has requests with the same ids (review/11, ROUTE).
TEST(IncarnationProcess, RepliesToAnEarlierLifePlaceNoRequestOfTheNextOne)
{
    fleet.daemons.at(scheduler).process->signal(SIGSTOP);
    call("GET", "/read/1");
    std::this_thread::sleep_for(200ms);
    fleet.daemons.at(member).process->signal(SIGKILL);
    fleet.daemons.at(member).process->wait();
    fleet.startDaemon(member, "z0");
    CHECK(eventually(10s, [this] { return fleet.ready(member); }));
    call("POST", "/order/1");
    std::this_thread::sleep_for(700ms);
    fleet.daemons.at(scheduler).process->signal(SIGCONT);
    unsigned served = 0;
    for (auto &answer : answers) {
        served += answer.get() == 200 ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(fleet.metric(member, "plumsill_placement_replies_without_request") > 0);
    LONGS_EQUAL(0, misroutedOrders());
}
