// Case 11: a scheduler that stood still answers placement requests of a daemon's earlier life, and the daemon's next life takes the answers for
// those to its own requests.
#include "rig.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <iostream>

using namespace review;
namespace asio = boost::asio;

namespace
{
constexpr const char *Zone = "osu";
constexpr const char *Key = "ctnfzs989anu6wsjnban";

// Seconds of the traffic.
constexpr double FrozenAt = 2.0;
constexpr double MaxFreeze = 5.0;
constexpr double MinFreeze = 2.0;
constexpr Milliseconds KilledAfter(500);
constexpr Milliseconds RestartDelay(500);
constexpr Milliseconds TrafficAfter(2000);
constexpr Milliseconds LastAnswers(4500);

boost::json::object route(const std::string &name, const std::string &prefix, const std::string &service, const std::string &kind, unsigned attempts)
{
    return resource("routes", name,
                    {{"host", "orders.example"},
                     {"path-prefix", prefix},
                     {"service", service},
                     {"kind", kind},
                     {"attempts", attempts},
                     {"timeout-ms", 4000},
                     {"target-latency-ms", 1500},
                     {"priority", 1}});
}

asio::awaitable<void> disturb(Deployment &deployment, Clients &clients, const std::string &scheduler, const std::string &member, std::ofstream &record)
{
    co_await pause(Milliseconds(static_cast<int>(FrozenAt * 1000)));
    const double frozenAt = clients.now();
    deployment.daemon(scheduler).signal(SIGSTOP);
    record << frozenAt << " s " << scheduler << " stands still\n";
    co_await pause(KilledAfter);
    const std::size_t before = clients.sentTo(member);
    deployment.daemon(member).kill();
    record << clients.now() << " s " << member << " is killed\n";
    co_await pause(RestartDelay);
    const std::size_t meanwhile = clients.sentTo(member) - before;
    deployment.startDaemon(member, Zone, false);
    record << clients.now() << " s " << member << " starts again\n";
    // The scheduler goes on when the member has got about as many requests in this life as in the one before.
    while (clients.now() < frozenAt + MaxFreeze && (clients.now() < frozenAt + MinFreeze || clients.sentTo(member) - before - meanwhile < before)) {
        co_await pause(Milliseconds(20));
    }
    deployment.daemon(scheduler).signal(SIGCONT);
    record << clients.now() << " s " << scheduler << " goes on\n";
}

asio::awaitable<void> play(asio::io_context &loop, Deployment &deployment, Clients &clients, bool trouble, std::ofstream &record)
{
    std::string scheduler;
    std::string member;
    for (const auto &name : deployment.daemonNames()) {
        (deployment.metric(name, "plumsill_schedules_for") > 0 ? scheduler : member) = name;
    }
    record << "scheduler of the zone: " << scheduler << "\n";
    asio::co_spawn(loop, clients.send({"POST", "/voucher/issue", 180, 4000}, 1000), asio::detached);
    asio::co_spawn(loop, clients.send({"GET", "/route/sheet", 200, 3000}, 2000), asio::detached);
    if (trouble) {
        co_await disturb(deployment, clients, scheduler, member, record);
    } else {
        co_await pause(Milliseconds(static_cast<int>((FrozenAt + MaxFreeze) * 1000)));
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
    const bool published = deployment.publish(
        configuration("00000003",
                      {route("vendor-voucher", "/voucher/", "payments", "non_idempotent", 1), route("route-lookup", "/route/", "routes", "idempotent", 2),
                       resource("services", "payments", {{"max-connections", 330}, {"health-path", "/health"}}),
                       resource("services", "routes", {{"max-connections", 330}, {"health-path", "/health"}}),
                       resource("tenants", "kitchen", {{"api-keys", {Key}}, {"rate-per-s", 0}, {"burst", 0}})}));
    for (unsigned number = 0; number < 8; ++number) {
        deployment.startBackend({"p" + std::to_string(number), "payments", Zone, 6, 460});
    }
    for (unsigned number = 0; number < 10; ++number) {
        deployment.startBackend({"r" + std::to_string(number), "routes", Zone, 6, 100});
    }
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
    asio::co_spawn(loop, play(loop, deployment, clients, trouble, record), asio::detached);
    loop.run();
    const auto runs = deployment.runs();
    writeRecord(record, clients, runs);
    std::size_t wrong = 0;
    for (const auto &run : runs) {
        const std::string allowed = run.path.starts_with("/voucher/") ? "payments" : "routes";
        if (run.service != allowed) {
            ++wrong;
            record << "ROUTE: " << run.id << " " << run.path << " was run by " << run.backend << " of service " << run.service << "\n";
        }
    }
    std::cout << runs.size() << " runs, " << wrong << " by a service to which no configuration sends them\n";
    if (runs.size() < 100) {
        return 2;
    }
    return wrong == 0 ? 0 : 1;
}
}

int main(int argc, const char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: two_lives PROGRAMS RECORD TROUBLE\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], std::string(argv[3]) != "0");
    } catch (const std::exception &error) {
        std::cerr << "two_lives: " << error.what() << "\n";
        return 2;
    }
}
