// Measures a cell of real daemons: start time, withdrawal of a key, and store calls and cost of control of an idle fleet.

#include "fleet_process.h"

#include <plumsill/config.h>

#include <cstdio>
#include <iostream>

using namespace plumsill;
using namespace plumsill::test;
using namespace std::chrono_literals;

namespace
{
constexpr unsigned Daemons = 48;
constexpr unsigned Targets = 6;
constexpr auto StartTimeout = 60s;
constexpr auto SettleTime = 5s; // time in which the changes of epoch and document at the start reach every daemon
constexpr auto IdleTime = 10s;
constexpr double MaxPropagationSeconds = 5;
constexpr double MaxStoreReads = 60;
constexpr double MaxStoreWrites = 20;
constexpr double MaxCorePercent = 2.7;
constexpr double MaxMegabytes = 32;
constexpr double MaxBytesPerSecond = 14'000;

using SteadyClock = std::chrono::steady_clock;

double secondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

void print(const char *name, double value, const char *unit)
{
    std::printf("%s %.4g %s\n", name, value, unit);
}

void printBounded(const char *name, double value, const char *unit, double bound)
{
    std::printf("%s %.4g %s bound <=%g %s\n", name, value, unit, bound, value <= bound ? "met" : "MISSED");
}

/// User and system time that a process has used, in seconds.
double processorSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 0; field < 11; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// Resident memory of a process in megabytes.
double residentMegabytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

double metric(const std::string &page, const std::string &name)
{
    const auto position = page.find("\n" + name + " ");
    return position == std::string::npos ? 0 : std::stod(page.substr(position + name.size() + 2));
}

/// Resources that one daemon has used since its start.
struct Usage {
    double processor = 0; ///< processor time in seconds
    double bytes = 0; ///< bytes of peer messages, sent and received
};

Usage usageOf(const Daemon &daemon)
{
    const auto page = httpCall(daemon.admin, "GET", "/metrics").body;
    return {processorSeconds(daemon.process->pid()), metric(page, "plumsill_peer_bytes_sent") + metric(page, "plumsill_peer_bytes_received")};
}

/// Store calls since the start. A waiting watch counts as one read per second.
struct StoreCalls {
    double reads = 0;
    double writes = 0;
};

StoreCalls storeCalls(const Endpoint &platform)
{
    const auto parsed = boost::json::parse(httpCall(platform, "GET", "/control/stats").body);
    const auto &stats = parsed.as_object();
    return {stats.at("reads").to_number<double>() + stats.at("watch_seconds").to_number<double>(), stats.at("writes").to_number<double>()};
}

void measureIdle(FleetProcesses &fleet)
{
    ::poll(nullptr, 0, static_cast<int>(std::chrono::milliseconds(SettleTime).count()));
    std::map<std::string, Usage> before;
    for (const auto &[name, daemon] : fleet.daemons) {
        before[name] = usageOf(daemon);
    }
    const StoreCalls callsBefore = storeCalls(fleet.platform);
    const auto start = SteadyClock::now();
    ::poll(nullptr, 0, static_cast<int>(std::chrono::milliseconds(IdleTime).count()));
    const StoreCalls callsAfter = storeCalls(fleet.platform);
    const double span = secondsSince(start);
    Usage worst;
    double memory = 0;
    for (const auto &[name, daemon] : fleet.daemons) {
        const Usage after = usageOf(daemon);
        worst.processor = std::max(worst.processor, (after.processor - before[name].processor) / span);
        worst.bytes = std::max(worst.bytes, (after.bytes - before[name].bytes) / span);
        memory = std::max(memory, residentMegabytes(daemon.process->pid()));
    }
    printBounded("fleet.idle.store_reads", (callsAfter.reads - callsBefore.reads) / span, "calls/s", MaxStoreReads);
    printBounded("fleet.idle.store_writes", (callsAfter.writes - callsBefore.writes) / span, "calls/s", MaxStoreWrites);
    printBounded("fleet.idle.worst_processor", worst.processor * 100, "%_of_a_core", MaxCorePercent);
    printBounded("fleet.idle.worst_peer_bytes", worst.bytes, "bytes/s", MaxBytesPerSecond);
    printBounded("fleet.idle.worst_memory", memory, "MB", MaxMegabytes);
}

bool allAnswer(FleetProcesses &fleet, const std::string &key, unsigned status)
{
    return std::all_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &entry) { return fleet.listing(entry.first, key).status == status; });
}

bool measure()
{
    const auto start = SteadyClock::now();
    FleetProcesses fleet(Daemons, Targets);
    if (!fleet.promote(fleetDocument(), "d0") || !eventually(StartTimeout, [&] { return fleet.allMembersOfOneEpoch(); })) {
        std::cerr << "bench-fleet: the fleet did not start in time\n";
        return false;
    }
    print("fleet.start_until_one_epoch", secondsSince(start), "s");
    if (!eventually(StartTimeout, [&] { return allAnswer(fleet, BlueKey, 200); })) {
        std::cerr << "bench-fleet: not every daemon serves requests\n";
        return false;
    }
    print("fleet.start_until_all_serve", secondsSince(start), "s");
    measureIdle(fleet);
    if (!fleet.promote(fleetDocument(true), "d1")) {
        std::cerr << "bench-fleet: the second document was not accepted\n";
        return false;
    }
    const auto accepted = SteadyClock::now();
    const bool refused = eventually(StartTimeout, [&] { return allAnswer(fleet, BlueKey, 401); });
    printBounded("fleet.withdrawn_key_refused_by_all", refused ? secondsSince(accepted) : StartTimeout.count(), "s", MaxPropagationSeconds);
    return true;
}
}

int main()
{
    std::printf("fleet.daemons %u processes\n", Daemons);
    try {
        return measure() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "bench-fleet: " << error.what() << "\n";
        return 1;
    }
}
