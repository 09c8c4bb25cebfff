#include "zone_fleet.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <mutex>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned Daemons = 6;
constexpr double BlueRate = 40; // requests per second
constexpr double BlueBurst = 10;
constexpr auto QuotaWindow = 5s;
constexpr double QuotaTolerance = 0.1;
constexpr double QuotaSlack = 20; // requests
constexpr auto SettleTime = 1500ms; // between two replacements

PlatformDocument document(unsigned version)
{
    PlatformDocument document;
    document.version = version;
    document.services = {"lookup"};
    document.routes = {{"read", "/read/", "lookup", true, false, 2, 3000, 1000}, {"order", "/order/", "lookup", false, false, 1, 3000, 1000}};
    if (version > 1) {
        document.routes.push_back({"added", "/added/", "lookup", true, false, 2, 3000, 1000});
    }
    document.teams = {{"red", {RedKey}, 0, 0}, {"blue", {BlueKey}, BlueRate, BlueBurst}};
    return document;
}

std::string folderOf(const char *variable)
{
    const char *folder = std::getenv(variable);
    const char *fallback = std::getenv("PLUMSILL_BIN");
    return folder != nullptr ? folder : fallback != nullptr ? fallback : ".";
}
}

/// Daemons of one build that are replaced, one after the other, by daemons of another build. PLUMSILL_FROM and PLUMSILL_TO name
/// the folders of both builds; without them a build replaces itself.
TEST_GROUP(UpgradeProcess)
{
    ZoneFleet fleet;
    std::map<std::string, Endpoint> ports;
    std::atomic<bool> stop {false};
    std::atomic<unsigned> nextId {0};
    std::atomic<unsigned> asked {0};
    std::atomic<unsigned> served {0};
    std::mutex mutex;
    std::vector<std::chrono::steady_clock::time_point> blueServed; ///< times of the answers
    std::vector<std::thread> callers;

    void teardown() override
    {
        stop = true;
        for (auto &caller : callers) {
            caller.join();
        }
    }
    void startFrom(const std::string &folder, const std::string &name, bool firstStart)
    {
        const std::string own = folderOf("PLUMSILL_BIN");
        ::setenv("PLUMSILL_BIN", folder.c_str(), 1);
        fleet.startDaemon(name, "z" + std::to_string((name.back() - '0') % 3), firstStart);
        ::setenv("PLUMSILL_BIN", own.c_str(), 1);
    }
    unsigned call(const std::string &name, const std::string &path, const std::string &key, bool order)
    {
        const std::string id = "id" + std::to_string(++nextId);
        const std::string fields = "Plumsill-Request-Id: " + id + "\r\nPlumsill-Deadline-Ms: 4000\r\nAuthorization: Bearer " + key + "\r\n";
        return httpCall(ports.at(name), order ? "POST" : "GET", path, fields, order ? "body" : "", FleetHost).status;
    }
    void callAsRed(const std::string &name)
    {
        for (unsigned count = 0; !stop; ++count) {
            const bool order = count % 2 == 1;
            const unsigned status = call(name, order ? "/order/1" : "/read/1", RedKey, order);
            asked += status == 0 ? 0 : 1; // 0: the daemon is being replaced
            served += status == 200 ? 1 : 0;
        }
    }
    void callAsBlue(const std::string &name)
    {
        while (!stop) {
            if (call(name, "/read/2", BlueKey, false) == 200) {
                const std::lock_guard lock(mutex);
                blueServed.push_back(std::chrono::steady_clock::now());
            }
            std::this_thread::sleep_for(20ms);
        }
    }
    /// Largest number of blue's requests that were served within QuotaWindow.
    std::ptrdiff_t mostBlueServed()
    {
        std::sort(blueServed.begin(), blueServed.end());
        std::ptrdiff_t most = 0;
        for (auto first = blueServed.begin(); first != blueServed.end(); ++first) {
            most = std::max(most, std::lower_bound(first, blueServed.end(), *first + QuotaWindow) - first);
        }
        return most;
    }
    std::int64_t mostRunsOfAnOrder()
    {
        std::map<std::string, std::int64_t> runs;
        for (const auto &[name, target] : fleet.targets) {
            const auto log = boost::json::parse(httpCall(target.control, "GET", "/control/log").body);
            for (const auto &run : log.as_array()) {
                runs[std::string(run.at("id").as_string())] += run.at("method").as_string() == "POST" ? 1 : 0;
            }
        }
        std::int64_t most = 0;
        for (const auto &[id, count] : runs) {
            most = std::max(most, count);
        }
        return most;
    }
};

// Guards against daemons of two builds that don't share limits, documents or placements while a fleet is upgraded or rolled back.
TEST(UpgradeProcess, RulesHoldWhileAllDaemonsAreReplacedOneByOne)
{
    CHECK(fleet.publish(document(1)));
    for (unsigned index = 0; index < 6; ++index) {
        fleet.startTarget("t" + std::to_string(index), "lookup", "z" + std::to_string(index % 3));
    }
    for (unsigned index = 0; index < Daemons; ++index) {
        startFrom(folderOf("PLUMSILL_FROM"), "d" + std::to_string(index), true);
    }
    CHECK(eventually(20s, [this] { return fleet.allReady(); }));
    for (const auto &[name, daemon] : fleet.daemons) {
        ports[name] = daemon.traffic();
    }
    std::this_thread::sleep_for(2s);
    for (const auto &[name, port] : ports) {
        callers.emplace_back([this, name = name] { callAsRed(name); });
        callers.emplace_back([this, name = name] { callAsBlue(name); });
    }
    for (const auto &[name, port] : ports) {
        fleet.daemons.at(name).process->signal(SIGTERM);
        fleet.daemons.at(name).process->wait();
        startFrom(folderOf("PLUMSILL_TO"), name, false);
        CHECK(eventually(10s, [this] { return fleet.allReady(); }));
        if (name == "d2") {
            CHECK(fleet.publish(document(2)));
        }
        std::this_thread::sleep_for(SettleTime);
        if (name == "d3") {
            for (const auto &entry : ports) {
                CHECK_TEXT(eventually(5s, [&] { return call(entry.first, "/added/1", RedKey, false) == 200; }), entry.first.c_str());
            }
        }
    }
    stop = true;
    for (auto &caller : callers) {
        caller.join();
    }
    callers.clear();
    const std::string text
        = std::to_string(served) + " of " + std::to_string(asked) + " served, at most " + std::to_string(mostBlueServed()) + " of blue in a window";
    std::printf("%s\n", text.c_str());
    CHECK_TEXT(served > asked * 0.97, text.c_str());
    const double allowed = (BlueRate * std::chrono::seconds(QuotaWindow).count() + BlueBurst) * (1 + QuotaTolerance) + QuotaSlack;
    CHECK_TEXT(static_cast<double>(mostBlueServed()) <= allowed, text.c_str());
    LONGS_EQUAL(1, mostRunsOfAnOrder());
}
