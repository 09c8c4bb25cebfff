// The store turns away the daemons that place the zones' requests. The operator adds a tenant, which sends more than its quota through the other daemons.
#include "../rig-2/load.h"

namespace
{
using namespace review;

constexpr Quota BulkQuota {5, 10};
constexpr std::int64_t SettleMilliseconds = 3000;
constexpr std::int64_t TurnedAwayMilliseconds = 3000; // before the configuration
constexpr std::int64_t LoadMilliseconds = 6000;
constexpr unsigned Clients = 6;
constexpr auto ClientPause = 20ms;
constexpr const char *FirstKey = "first-key-0000001";
constexpr const char *BulkKey = "bulk-key-00000001";

plumsill::test::PlatformDocument document(bool added)
{
    plumsill::test::PlatformDocument document;
    document.version = added ? 9 : 4;
    document.services = {"records"};
    document.routes = {{"place", "/place/", "records", false, false, 1, 3000, 1000}};
    document.teams = {{"first", {FirstKey}, 100, 100}};
    if (added) {
        document.teams.push_back({"bulk", {BulkKey}, BulkQuota.rate, BulkQuota.burst});
    }
    return document;
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    FleetOptions options;
    options.daemonsInZone = 3;
    options.proxied = true;
    Fleet fleet(record, options);
    if (!fleet.publish(document(false))) {
        return NotRun;
    }
    fleet.startServers("records", 6);
    fleet.startDaemons();
    if (!eventually(20s, [&fleet] { return fleet.allReady() && fleet.hubs().size() == 3; })) {
        record.line("the daemons did not become ready");
        return NotRun;
    }
    sleepUntil(unixMilliseconds() + SettleMilliseconds);
    const auto hubs = fleet.hubs();
    if (hubs.size() != 3) {
        return NotRun;
    }
    if (withTrouble()) {
        for (const auto &hub : hubs) {
            fleet.turnAway(hub);
            record.line("the store turns " + hub + " away");
        }
    }
    sleepUntil(unixMilliseconds() + TurnedAwayMilliseconds);
    if (!fleet.publish(document(true))) {
        return NotRun;
    }
    Load load(fleet, {fleet.daemonsExcept(hubs), Clients, ClientPause, BulkKey, unixMilliseconds() + LoadMilliseconds});
    const auto sent = load.finish();
    return judgeQuota(record, BulkQuota, sent, fleet.runs());
}
}

int main(int /*argc*/, char **argv)
{
    return review::guarded([&] { return run(argv[1]); });
}
