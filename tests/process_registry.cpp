#include "zone_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

/// A store that comes back from a copy in which the fleet has not started yet: no secret, no entry of a daemon, no target.
TEST_GROUP(RegistryProcess)
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
        fleet.copyStore();
        for (unsigned index = 0; index < 3; ++index) {
            fleet.startTarget("t" + std::to_string(index), "lookup", "z" + std::to_string(index));
        }
        for (unsigned index = 0; index < Daemons; ++index) {
            fleet.startDaemon("d" + std::to_string(index), "z" + std::to_string(index % 3), true);
        }
        CHECK(eventually(20s, [this] { return fleet.allReady(); }));
        // A daemon is ready before its first read of the registry; one that reads it only after the loss can't know the others.
        CHECK(eventually(20s, [this] { return knownByAll(Daemons); }));
        fleet.restoreStore();
    }
    bool knownByAll(unsigned number)
    {
        return std::all_of(fleet.daemons.begin(), fleet.daemons.end(),
                           [&](const auto &entry) { return fleet.metric(entry.first, "plumsill_registered_daemons") == number; });
    }
    std::size_t entries()
    {
        const auto listed = boost::json::parse(httpCall(fleet.storeControl, "GET", "/api/objects/plumsill-daemons").body);
        return listed.at("items").as_array().size();
    }
    /// Numbers of daemons in the registry as the daemon has read it, in their order.
    std::vector<unsigned> registryReads(const std::string &daemon) const
    {
        static constexpr std::string_view Field = R"("event":"registry-read","daemons":)";
        std::vector<unsigned> numbers;
        const std::string log = fleet.log(daemon);
        for (auto place = log.find(Field); place != std::string::npos; place = log.find(Field, place + 1)) {
            numbers.push_back(static_cast<unsigned>(std::stoul(log.substr(place + Field.size(), 4))));
        }
        return numbers;
    }
};

// Guards against live daemons that the others forget, since the copy lacks their entries, and against entries that nobody writes again.
TEST(RegistryProcess, DaemonsWhoseEntriesTheStoreLostStayKnownAndWriteThemAgain)
{
    std::map<std::string, std::size_t> before;
    for (const auto &[name, daemon] : fleet.daemons) {
        before[name] = registryReads(name).size();
    }
    CHECK(eventually(12s, [this] { return entries() == Daemons; }));
    std::this_thread::sleep_for(5s); // with a further read of the registry
    for (const auto &[name, daemon] : fleet.daemons) {
        const auto reads = registryReads(name);
        for (std::size_t index = before[name]; index < reads.size(); ++index) {
            LONGS_EQUAL_TEXT(Daemons, reads[index], name.c_str());
        }
    }
}

// Guards against a second fleet: a daemon that starts finds no secret and creates another one.
TEST(RegistryProcess, DaemonThatStartsAfterTheStoreLostTheSecretJoinsTheFleet)
{
    fleet.startDaemon("d9", "z0");
    CHECK(eventually(15s, [this] { return fleet.ready("d9"); }));
    CHECK(eventually(15s, [this] { return fleet.log("d9").find(R"("event":"hub-chosen","hub":"d3","self":false)") != std::string::npos; }));
    CHECK(eventually(5s, [this] { return fleet.call("d9", "GET", "/read/1", "id1", RedKey).status == 200; }));
    std::this_thread::sleep_for(2s);
    CHECK(fleet.log("d9").find(R"("event":"hub-silent")") == std::string::npos);
}
