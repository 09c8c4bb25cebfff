#include "zone_fleet.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
constexpr auto DrainBound = 2s; // time from the store's word after which a leaving target must get no request
constexpr auto ResumeTime = 500ms; // time in which a daemon that stood still reads the list
constexpr auto ContactTime = 3s; // time after a cut from which the daemon's own requests count
constexpr unsigned Targets = 6;

PlatformDocument document()
{
    PlatformDocument document;
    document.version = 1;
    document.services = {"lookup"};
    document.routes = {{"read", "/read/", "lookup", true, false, 2, 3000, 1000}, {"order", "/order/", "lookup", false, false, 1, 3000, 1000}};
    document.teams = {{"red", {RedKey}, 0, 0}};
    return document;
}
}

/// Targets that leave under load, one after the other, while the daemons that read the store's list are in trouble.
TEST_GROUP(DrainProcess)
{
    std::unique_ptr<ZoneFleet> fleet;
    std::atomic<bool> stop {false};
    std::vector<std::thread> callers;

    void start(unsigned drainMilliseconds = 60'000, unsigned zones = 3)
    {
        ZoneFleetOptions options;
        options.proxied = true;
        // The targets go on running, so that they record requests that still arrive.
        options.drainMilliseconds = drainMilliseconds;
        options.lingerMilliseconds = 60'000;
        fleet = std::make_unique<ZoneFleet>(options);
        CHECK(fleet->publish(document()));
        for (unsigned index = 0; index < Targets; ++index) {
            fleet->startTarget("t" + std::to_string(index), "lookup", "z" + std::to_string(index % zones));
        }
        for (unsigned index = 0; index < 6; ++index) {
            fleet->startDaemon("d" + std::to_string(index), "z" + std::to_string(index % zones), true);
        }
        CHECK(eventually(20s, [this] { return fleet->allReady(); }));
        unsigned first = 0;
        for (const auto &[name, daemon] : fleet->daemons) {
            callers.emplace_back([this, name = name, id = first] { callWhileRunning(name, id); });
            first += 1'000'000;
        }
        ::poll(nullptr, 0, 2000);
    }
    void teardown() override
    {
        stop = true;
        for (const auto &[name, daemon] : fleet->daemons) {
            daemon.process->signal(SIGCONT);
        }
        for (auto &caller : callers) {
            caller.join();
        }
    }
    void callWhileRunning(const std::string &daemon, unsigned id)
    {
        while (!stop) {
            ++id;
            fleet->call(daemon, id % 2 == 0 ? "GET" : "POST", id % 2 == 0 ? "/read/1" : "/order/1", "id" + std::to_string(id), RedKey);
        }
    }
    /// Ids of the requests that arrived at the target, in their order. Those of the n-th daemon begin at n million.
    std::vector<std::string> arrivals(const std::string &target)
    {
        std::vector<std::string> ids;
        const auto log = boost::json::parse(httpCall(fleet->targets.at(target).control, "GET", "/control/log").body);
        for (const auto &entry : log.as_array()) {
            ids.push_back(boost::json::serialize(entry));
        }
        return ids;
    }
    /// Daemon that places the zone's requests; empty where there is none.
    std::string hubOf(const std::string &zone)
    {
        for (const auto &[name, daemon] : fleet->daemons) {
            if (daemon.zone == zone && fleet->metric(name, "plumsill_schedules_for") > 0) {
                return name;
            }
        }
        return {};
    }
    void cutFromStore(const std::string &daemon, bool cut)
    {
        const std::string lost = cut ? "true" : "false";
        fleet->linkFault("store-" + daemon, R"({"cut_to":)" + lost + R"(,"cut_from":)" + lost + "}");
    }
    /// Checks that after the first @p known arrivals only requests of the daemon's own callers arrived at the target.
    void checkOnlyFrom(const std::string &daemon, const std::string &target, std::size_t known)
    {
        const auto all = arrivals(target);
        const std::string own = "\"id\":\"id" + daemon.substr(1);
        for (std::size_t number = known; number < all.size(); ++number) {
            CHECK_TEXT(all[number].find(own) != std::string::npos, all[number].c_str());
        }
    }
    /// Has all targets but one leave at different moments, each after @p trouble, and checks that they get no request after the bound.
    void checkLeaving(const std::function<void(unsigned round)> &trouble)
    {
        for (unsigned round = 0; round + 1 < Targets; ++round) {
            const std::string name = "t" + std::to_string(round);
            trouble(round);
            ::poll(nullptr, 0, static_cast<int>(round) * 110);
            fleet->targets.at(name).process->signal(SIGTERM);
            std::this_thread::sleep_for(DrainBound + 100ms); // with the time of the target's own call
            const auto before = arrivals(name);
            std::this_thread::sleep_for(1s);
            LONGS_EQUAL_TEXT(before.size(), arrivals(name).size(), (name + " got requests after the bound").c_str());
        }
    }
};

TEST(DrainProcess, LeavingTargetsGetNoRequestAfterTheBound)
{
    start();
    checkLeaving([](unsigned /*round*/) {});
}

// Guards against a list of targets that stays old because the connections of its readers to the store have gone silent.
TEST(DrainProcess, LeavingTargetsGetNoRequestAfterTheBoundAlthoughStoreConnectionsAreSilent)
{
    start();
    checkLeaving([this](unsigned /*round*/) {
        for (const auto &[name, daemon] : fleet->daemons) {
            fleet->linkFault("store-" + name, R"({"silence":true})");
        }
    });
}

// Guards against a list of targets that stays old because the daemon that reads it for the fleet stands still.
TEST(DrainProcess, LeavingTargetsGetNoRequestAfterTheBoundAlthoughADaemonStandsStill)
{
    start();
    checkLeaving([this](unsigned round) {
        for (const auto &[name, daemon] : fleet->daemons) {
            daemon.process->signal(SIGCONT);
        }
        ::poll(nullptr, 0, 500);
        fleet->daemons.at("d" + std::to_string(round % 3)).process->signal(SIGSTOP);
    });
}

// Guards against a hub that keeps a target for its own outage of the store, although the target left while the hub stood still
// and the other daemons have seen it go.
TEST(DrainProcess, ResumedHubSendsNoRequestToATargetThatLeftMeanwhile)
{
    start(300);
    for (unsigned round = 0; round < 3; ++round) {
        const std::string target = "t" + std::to_string(round);
        const std::string zone = "z" + std::to_string(round);
        const std::string hub = hubOf(zone);
        CHECK(!hub.empty());
        fleet->daemons.at(hub).process->signal(SIGSTOP);
        ::poll(nullptr, 0, 300);
        fleet->targets.at(target).process->signal(SIGTERM);
        std::this_thread::sleep_for(4s);
        const auto before = arrivals(target);
        fleet->daemons.at(hub).process->signal(SIGCONT);
        std::this_thread::sleep_for(ResumeTime);
        const auto resumed = arrivals(target);
        // The hub itself, which was out of touch, may have sent requests of its own callers before it read the list.
        checkOnlyFrom(hub, target, before.size());
        std::this_thread::sleep_for(3s);
        LONGS_EQUAL_TEXT(resumed.size(), arrivals(target).size(), (target + " got requests after the bound").c_str());
    }
}

// Guards against a target without an entry that daemons use again: their hub, which was cut from the store, keeps it for an outage of the
// store and relays it to daemons that have read of its removal (review/13, DRAIN).
TEST(DrainProcess, HubThatWasCutFromTheStoreBringsNoRemovedTargetBack)
{
    start(0, 1);
    for (unsigned round = 0; round < 2; ++round) {
        const std::string target = "t" + std::to_string(round);
        const std::string hub = hubOf("z0");
        CHECK(!hub.empty());
        cutFromStore(hub, true);
        std::this_thread::sleep_for(2500ms);
        fleet->targets.at(target).process->signal(SIGTERM);
        std::this_thread::sleep_for(DrainBound + 100ms);
        const auto before = arrivals(target);
        std::this_thread::sleep_for(900ms);
        cutFromStore(hub, false);
        std::this_thread::sleep_for(ContactTime);
        checkOnlyFrom(hub, target, before.size());
        const auto inTouch = arrivals(target);
        std::this_thread::sleep_for(1s);
        LONGS_EQUAL_TEXT(inTouch.size(), arrivals(target).size(), (target + " got requests of the hub that is in touch again").c_str());
    }
}
