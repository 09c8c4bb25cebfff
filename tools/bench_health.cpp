#include "health_fleet.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <thread>

/// Measures detection time, false ejections and cost of target health in simulated time.
/// Traffic: 32 daemons in 3 zones keep half of the slots of every target busy, unless a measurement sets another load. 80% of
/// the requests take 25 to 63 ms.
/// usage: bench-health [SEED [TARGET_HOURS [PART_OF_NAME]]]
using namespace plumsill;
using namespace plumsill::model;

namespace
{
constexpr unsigned Threads = 4;
constexpr unsigned RunsPerService = 7;
constexpr double DefaultTargetHours = 20;
constexpr double DetectionTimeLimit = 30; // seconds; time limit of a run, which is also the printed result if the fault was not detected by then
constexpr Duration Step = 50ms;

struct Deployment {
    const char *name;
    std::vector<std::size_t> services; ///< number of targets of each service
    unsigned slots;
};

const Deployment deployments[] = {{"three_slots", {8, 15, 13}, 3}, {"six_slots", {6, 11, 9}, 6}};

struct Profile {
    const char *name;
    HealthPolicy policy;
};

const Profile profiles[] = {{"few_false", FewFalseEjections {}}, {"fast", FastDetection {}}};

struct Fault {
    const char *name;
    TargetFault fault;
};

const Fault faults[] = {{"slow", {10, 0, 0, false, false}}, {"errors", {1, 0.3, 0, false, false}}, {"truncated", {1, 0, 0.5, false, false}}};

std::string nameFilter; ///< only figures whose name contains this text are measured

bool selected(const std::string &name)
{
    return name.find(nameFilter) != std::string::npos;
}

/// Calls @p work with 0 to @p count - 1 on several threads.
void runInParallel(std::size_t count, const std::function<void(std::size_t)> &work)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (unsigned thread = 0; thread < Threads; ++thread) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++) {
                work(index);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1];
}

struct Detection {
    double detectedAfter
        = DetectionTimeLimit; ///< seconds until the target is out of use: at one daemon if evidence is pooled, at half of the daemons otherwise
    double outEverywhereAfter = DetectionTimeLimit; ///< seconds until the target is out of use at all daemons
};

Detection detect(const FleetOptions &options, const TargetFault &fault)
{
    HealthFleet fleet(options);
    fleet.runFor(20s + std::chrono::milliseconds(options.seed * 37 % 500));
    const TimePoint start = fleet.now();
    const std::size_t target = options.seed % options.targets;
    fleet.faults[target] = fault;
    const std::size_t requiredDaemons = options.pooled ? 1 : options.daemons / 2;
    Detection detection;
    while (fleet.now() - start < fromSeconds(DetectionTimeLimit) && detection.outEverywhereAfter == DetectionTimeLimit) {
        fleet.runFor(Step);
        const std::size_t out = fleet.countUse(target, TargetUse::Ejected) + fleet.countUse(target, TargetUse::Trial);
        const double age = seconds(fleet.now() - start);
        if (detection.detectedAfter == DetectionTimeLimit && out >= requiredDaemons) {
            detection.detectedAfter = age;
        }
        if (out == options.daemons) {
            detection.outEverywhereAfter = age;
        }
        if (!options.pooled && detection.detectedAfter != DetectionTimeLimit) {
            break;
        }
    }
    return detection;
}

FleetOptions optionsOf(const Deployment &deployment, std::size_t targets, const Profile &profile, std::uint64_t seed)
{
    FleetOptions options;
    options.targets = targets;
    options.slots = deployment.slots;
    options.queueLimit = 4 * deployment.slots;
    options.policy = profile.policy;
    options.seed = seed;
    return options;
}

void measureDetection(const Deployment &deployment, const Profile &profile, const Fault &fault, bool pooled, double load, std::uint64_t seed)
{
    const std::string name = std::string("health.detect.") + deployment.name + "." + profile.name + "." + fault.name + (load < 0.5 ? ".load25" : ".load50")
        + (pooled ? ".pooled" : ".single_daemon");
    if (!selected(name)) {
        return;
    }
    std::vector<double> detectedAfter(deployment.services.size() * RunsPerService);
    std::vector<double> outEverywhereAfter(detectedAfter.size());
    runInParallel(detectedAfter.size(), [&](std::size_t index) {
        FleetOptions options = optionsOf(deployment, deployment.services[index / RunsPerService], profile, seed * 1000 + index);
        options.pooled = pooled;
        options.load = load;
        const Detection detection = detect(options, fault.fault);
        detectedAfter[index] = detection.detectedAfter;
        outEverywhereAfter[index] = detection.outEverywhereAfter;
    });
    std::printf("%s.median %.2f s\n%s.p95 %.2f s\n", name.c_str(), quantile(detectedAfter, 0.5), name.c_str(), quantile(detectedAfter, 0.95));
    if (pooled) {
        std::printf("%s.everywhere_median %.2f s\n", name.c_str(), quantile(outEverywhereAfter, 0.5));
    }
}

/// Alternates between 100% and 50% load every 30 s, as when a team with a quarter of the traffic sends five times its rate.
void runUneven(HealthFleet &fleet, Duration length)
{
    const TimePoint end = fleet.now() + length;
    while (fleet.now() < end) {
        fleet.setLoad(1.0);
        fleet.runFor(30s);
        fleet.setLoad(0.5);
        fleet.runFor(30s);
    }
}

void measureFalseEjections(const Deployment &deployment, const Profile &profile, bool uneven, double targetHours, std::uint64_t seed)
{
    constexpr Duration Length = 10min;
    const std::string name = std::string("health.false_ejections.") + deployment.name + "." + profile.name + (uneven ? ".team_at_5x" : ".no_fault");
    if (!selected(name)) {
        return;
    }
    std::size_t targets = 0;
    for (const std::size_t count : deployment.services) {
        targets += count;
    }
    const double hoursPerRound = static_cast<double>(targets) * seconds(Length) / 3600;
    const auto rounds = static_cast<std::size_t>(std::ceil(targetHours / hoursPerRound));
    std::atomic<std::uint64_t> ejections = 0;
    std::atomic<std::uint64_t> requests = 0;
    runInParallel(rounds * deployment.services.size(), [&](std::size_t index) {
        HealthFleet fleet(optionsOf(deployment, deployment.services[index % deployment.services.size()], profile, seed * 100'000 + index));
        if (uneven) {
            runUneven(fleet, Length);
        } else {
            fleet.runFor(Length);
        }
        for (const auto &event : fleet.seen) {
            ejections += std::holds_alternative<TargetEjected>(event.event) ? 1 : 0;
        }
        for (const auto &total : fleet.totals) {
            requests += total.requests;
        }
    });
    const double hours = hoursPerRound * static_cast<double>(rounds);
    const auto count = static_cast<unsigned long long>(ejections.load());
    std::printf("%s.count %llu ejections\n%s.watched %.0f target_hours\n", name.c_str(), count, name.c_str(), hours);
    std::printf("%s.per_100_target_hours %.3f ejections\n", name.c_str(), 100.0 * static_cast<double>(count) / hours);
    std::printf("%s.requests %llu requests\n", name.c_str(), static_cast<unsigned long long>(requests.load()));
    std::fflush(stdout);
}

template<class Value>
std::size_t encodedSize(Value value)
{
    std::ostringstream stream;
    cereal::BinaryOutputArchive archive(stream);
    archive(value);
    return stream.str().size();
}

double microsecondsSince(std::chrono::steady_clock::time_point start, std::size_t count)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / static_cast<double>(count);
}

/// Measures the processor time of a digest at the daemon that decides on ejections (HealthOwner), and of a tick at each daemon
/// (LocalHealth), for a service with @p targets targets.
void measureCost(std::size_t targets)
{
    constexpr std::size_t Digests = 4000;
    Service service;
    service.name = {"service"};
    std::vector<Target> listed;
    std::vector<TargetEvidence> evidence;
    for (std::size_t index = 0; index < targets; ++index) {
        const TargetName name {"target-" + std::to_string(1000 + index)};
        listed.push_back({name, service.name, {"z"}, {"10.0.0.1", static_cast<std::uint16_t>(index)}, false});
        evidence.push_back({name, 1, 1, 0, 0, 0, 0, 0, 0, -3});
    }
    TimePoint now(1000s);
    HealthOwner owner;
    owner.setServices({service});
    owner.setTargets(service.name, listed, now);
    auto start = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < Digests; ++count) {
        now += 10ms;
        const EvidenceSource source {{{"d" + std::to_string(count % 48)}, 1}, {"z" + std::to_string(count % 3)}};
        owner.handleDigest(source, {count / 48 + 1, service.name, evidence}, true, now);
    }
    std::printf("health.owner_digest.%zu_targets %.2f us\n", targets, microsecondsSince(start, Digests));
    LocalHealth local({{{"d"}, 1}, {"z"}});
    local.setServices({service});
    local.setTargets(service.name, listed, now);
    std::size_t bytes = 0;
    start = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < Digests; ++count) {
        now += 100ms;
        local.record(service.name, evidence, now);
        for (const auto &effect : local.tick(now)) {
            bytes += std::holds_alternative<SendDigest>(effect) ? encodedSize(std::get<SendDigest>(effect).digest) : 0;
        }
        local.view(service.name, now);
    }
    std::printf("health.daemon_tick.%zu_targets %.2f us\n", targets, microsecondsSince(start, Digests));
    std::printf("health.digest_bytes.%zu_targets %.0f B\n", targets, static_cast<double>(bytes) / (Digests / 5.0));
}

/// Measures the bytes that one daemon sends and receives for the services of a deployment at the deployment's current traffic.
void measureTraffic(const Deployment &deployment, std::uint64_t seed)
{
    double sent = 0;
    double received = 0;
    for (const std::size_t targets : deployment.services) {
        HealthFleet fleet(optionsOf(deployment, targets, profiles[0], seed));
        fleet.onDigest = [&](const HealthDigest &digest) { sent += static_cast<double>(encodedSize(digest)); };
        fleet.runFor(60s);
        received += static_cast<double>(fleet.verdicts * encodedSize(Verdict {1, {"service"}, {}, 1}));
    }
    const double daemonSeconds = 32 * 60;
    std::printf("health.digests.%s.per_daemon %.0f B/s\nhealth.verdicts.%s.per_daemon %.0f B/s\n", deployment.name, sent / daemonSeconds, deployment.name,
                received / daemonSeconds);
}
}

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const double targetHours = argc > 2 ? std::strtod(argv[2], nullptr) : DefaultTargetHours;
    nameFilter = argc > 3 ? argv[3] : "";
    std::printf("seed %llu number\n", static_cast<unsigned long long>(seed));
    for (const auto &deployment : deployments) {
        for (const auto &profile : profiles) {
            for (const auto &fault : faults) {
                measureDetection(deployment, profile, fault, true, 0.5, seed);
                measureDetection(deployment, profile, fault, false, 0.5, seed);
                measureDetection(deployment, profile, fault, true, 0.25, seed);
            }
            measureFalseEjections(deployment, profile, false, targetHours, seed);
            measureFalseEjections(deployment, profile, true, targetHours, seed);
        }
        if (selected("health.digests")) {
            measureTraffic(deployment, seed);
        }
    }
    for (const std::size_t targets : {6, 15, 60, 240}) {
        if (selected("health.cost")) {
            measureCost(targets);
        }
    }
    return 0;
}
