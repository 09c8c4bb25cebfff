// Case 13: a scheduler that was partitioned from the store brings a backend back whose entry was removed meanwhile, also for daemons that
// have read of the removal.
#include "rig.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iostream>

using namespace review;
namespace asio = boost::asio;

namespace
{
constexpr const char *Zone = "osu";
constexpr const char *Key = "ctnfzs989anu6wsjnban";
constexpr const char *LeavingBackend = "r-leaving";

constexpr Milliseconds CutAfter(2000); ///< since the start of the traffic
constexpr Milliseconds CutTime(5500); ///< for_s of core_cut in the site file
constexpr Milliseconds RemovedAfter(2500); ///< since the begin of the cut
constexpr Milliseconds TrafficAfter(4000); ///< since the end of the cut
constexpr Milliseconds LastAnswers(3500);
constexpr std::int64_t DrainMilliseconds = 2000;
constexpr std::int64_t QueueMilliseconds = 500; ///< the log shows the begin of a run; a request that reached the backend before may have waited so long

struct Times {
    std::int64_t removedAt = 0;
    std::string scheduler;
};

asio::awaitable<void> play(asio::io_context &loop, Deployment &deployment, Clients &clients, bool trouble, Times &times, std::ofstream &record)
{
    for (const auto &name : deployment.daemonNames()) {
        if (deployment.metric(name, "plumsill_schedules_for") > 0) {
            times.scheduler = name;
        }
    }
    record << "scheduler of the zone: " << times.scheduler << "\n";
    asio::co_spawn(loop, clients.send({"GET", "/route/sheet", 90, 3000}, 2000), asio::detached);
    co_await pause(CutAfter);
    if (trouble) {
        deployment.cutFromStore(times.scheduler, true);
        record << clients.now() << " s " << times.scheduler << " is partitioned from the store\n";
    }
    co_await pause(RemovedAfter);
    times.removedAt = deployment.removeEntry();
    record << clients.now() << " s the entry of " << LeavingBackend << " is removed\n";
    co_await pause(CutTime - RemovedAfter);
    if (trouble) {
        deployment.cutFromStore(times.scheduler, false);
        record << clients.now() << " s " << times.scheduler << " reaches the store again\n";
    }
    co_await pause(TrafficAfter);
    clients.stop();
    co_await pause(LastAnswers);
    loop.stop();
}

int run(const std::string &programs, const std::string &recordFile, bool trouble)
{
    std::ofstream record(recordFile);
    Deployment deployment(programs);
    deployment.startProxy();
    const bool published = deployment.publish(configuration("00000003",
                                                            {resource("routes", "route-lookup",
                                                                      {{"host", "orders.example"},
                                                                       {"path-prefix", "/route/"},
                                                                       {"service", "routes"},
                                                                       {"kind", "idempotent"},
                                                                       {"attempts", 2},
                                                                       {"timeout-ms", 3000},
                                                                       {"target-latency-ms", 1500},
                                                                       {"priority", 1}}),
                                                             resource("services", "routes", {{"max-connections", 330}, {"health-path", "/health"}}),
                                                             resource("tenants", "kitchen", {{"api-keys", {Key}}, {"rate-per-s", 0}, {"burst", 0}})}));
    for (unsigned number = 0; number < 5; ++number) {
        deployment.startBackend({"r" + std::to_string(number), "routes", Zone, 6, 300});
    }
    deployment.startBackendWithoutDrain({LeavingBackend, "routes", Zone, 6, 300});
    for (const std::string name : {"edge-1", "edge-2", "edge-3"}) {
        deployment.startDaemon(name, Zone, true);
    }
    if (!published || !deployment.waitUntilReady()) {
        std::cout << "the deployment did not start\n";
        return 2;
    }
    asio::io_context loop;
    Balancer balancer(loop, deployment);
    Clients clients(loop, deployment, balancer, Key);
    Times times;
    asio::co_spawn(loop, play(loop, deployment, clients, trouble, times, record), asio::detached);
    loop.run();
    const auto runs = deployment.runs();
    writeRecord(record, clients, runs);
    std::map<std::string, std::string> daemonOf;
    for (const auto &exchange : clients.exchanges()) {
        daemonOf[exchange->id] = exchange->daemon;
    }
    std::size_t before = 0;
    std::size_t late = 0;
    for (const auto &run : runs) {
        if (run.backend != LeavingBackend) {
            continue;
        }
        before += run.startedAt < times.removedAt ? 1 : 0;
        // The scheduler that was partitioned isn't in touch; the two other daemons are all the while.
        const std::int64_t since = run.startedAt - times.removedAt;
        if (daemonOf[run.id] != times.scheduler && since > DrainMilliseconds + QueueMilliseconds) {
            ++late;
            record << "DRAIN: " << run.id << " from " << daemonOf[run.id] << " was run by " << run.backend << " " << since
                   << " ms after the ack of its removal\n";
        }
    }
    std::cout << before << " runs at " << LeavingBackend << " before its removal, " << late << " too late after it, from daemons in touch\n";
    if (before < 10) {
        return 2;
    }
    return late == 0 ? 0 : 1;
}
}

int main(int argc, const char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: removed_backend PROGRAMS RECORD TROUBLE\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], std::string(argv[3]) != "0");
    } catch (const std::exception &error) {
        std::cerr << "removed_backend: " << error.what() << "\n";
        return 2;
    }
}
