// The store comes back from a copy that is some seconds old, and the daemons that place the zones' requests are killed at that moment.
#include "../rig-2/fleet.h"

namespace
{
using namespace review;

constexpr std::int64_t RevokeMilliseconds = 5000; // revoke-ms
constexpr std::int64_t SettleMilliseconds = 6000;
constexpr std::int64_t CopyAgeMilliseconds = 500; // before the configuration that takes the key away
constexpr std::int64_t RestoreAfterMilliseconds = 5200; // after the ack of that configuration
constexpr std::int64_t RewriteMilliseconds = 2000; // the operator writes again what the store has lost
constexpr std::int64_t RestartMilliseconds = 200;
constexpr std::int64_t LoadMilliseconds = 10'000;
constexpr std::int64_t ClientPauseMilliseconds = 50;
constexpr const char *KeptKey = "red-key-kept-0001";
constexpr const char *WithdrawnKey = "red-key-withdrawn-0001";

plumsill::test::PlatformDocument document(bool withdrawn)
{
    plumsill::test::PlatformDocument document;
    document.version = withdrawn ? 7 : 3;
    document.services = {"records"};
    document.routes = {{"read", "/read/", "records", true, false, 2, 3000, 1000}};
    document.teams = {{"red", {KeptKey}, 0, 0}};
    if (!withdrawn) {
        document.teams.front().keys.emplace_back(WithdrawnKey);
    }
    return document;
}

/// Whether the disruption's @p part is wanted: TROUBLE=restore or TROUBLE=kill runs one alone.
bool wanted(const std::string &part)
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) == "1" || value == part;
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Fleet fleet(record, {});
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
    fleet.copyStore();
    sleepUntil(unixMilliseconds() + CopyAgeMilliseconds);
    if (!fleet.publish(document(true))) {
        return NotRun;
    }
    const std::int64_t acknowledged = unixMilliseconds();
    std::vector<Sent> sent;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (const auto &daemon : fleet.daemons()) {
        const bool places = std::find(hubs.begin(), hubs.end(), daemon) != hubs.end();
        clients.emplace_back([&, daemon, places] {
            for (unsigned number = 0; unixMilliseconds() < acknowledged + LoadMilliseconds; ++number) {
                const bool withdrawn = !places || number % 2 == 0;
                const Sent request = fleet.request(daemon, "GET", "/read/1", daemon + "-" + std::to_string(number), withdrawn ? WithdrawnKey : KeptKey);
                {
                    const std::lock_guard lock(mutex);
                    sent.push_back(request);
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(ClientPauseMilliseconds));
            }
        });
    }
    sleepUntil(acknowledged + RestoreAfterMilliseconds);
    const std::int64_t restored = unixMilliseconds();
    if (wanted("restore")) {
        fleet.restoreStore();
        record.line("the store is back from a copy");
    }
    if (wanted("kill")) {
        for (const auto &hub : hubs) {
            fleet.signal(hub, SIGKILL);
            record.line(hub + " killed");
        }
        sleepUntil(restored + RestartMilliseconds);
        for (const auto &hub : hubs) {
            fleet.startDaemon(hub, false);
        }
        record.line("started again");
    }
    sleepUntil(restored + RewriteMilliseconds);
    if (wanted("restore") && !fleet.publish(document(true))) {
        return NotRun;
    }
    for (auto &client : clients) {
        client.join();
    }
    const auto runs = fleet.runs();
    std::map<std::string, Run> byId;
    for (const auto &ran : runs) {
        record.add(ran);
        byId.emplace(ran.id, ran);
    }
    std::size_t late = 0;
    std::map<std::string, std::size_t> lateAt;
    std::size_t kept = 0;
    std::sort(sent.begin(), sent.end(), [](const Sent &a, const Sent &b) { return a.at < b.at; });
    for (const auto &request : sent) {
        record.add(request);
        const bool ran = byId.contains(request.id);
        kept += request.key == KeptKey && ran ? 1 : 0;
        if (ran && request.key == WithdrawnKey && request.at > acknowledged + RevokeMilliseconds) {
            ++late;
            ++lateAt[request.daemon];
        }
    }
    for (const auto &[daemon, count] : lateAt) {
        record.line(daemon + " passed on " + std::to_string(count) + " requests with the withdrawn key, sent later than " + std::to_string(RevokeMilliseconds)
                    + " ms after the ack");
    }
    record.line(std::to_string(late) + " requests with the withdrawn key ran after the bound; " + std::to_string(kept) + " with the key that was kept ran");
    if (kept == 0) {
        return NotRun;
    }
    return late > 0 ? Broken : Held;
}
}

int main(int /*argc*/, char **argv)
{
    return review::guarded([&] { return run(argv[1]); });
}
