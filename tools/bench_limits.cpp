#include "limits_baseline.h"
#include "limits_fleet.h"

#include <plumsill/fairqueue.h>

#include <popt.h>

#include <array>
#include <cstdio>
#include <ctime>

#include <malloc.h>

/// Measures the team limits in simulated time: wrongful refusals, overshoot, fairness and the cost of control.
namespace
{
using namespace plumsill;
using namespace plumsill::limits_fleet;

constexpr unsigned Daemons = 48;
constexpr double LoadShare = 0.9; ///< load of each team as a share of its rate
constexpr auto WarmUp = 5s;
constexpr auto MeasuredTime = 30s;
// Time from the crash of an owner until its successor acts: detection, change of the roster, end of the confirmation, clock
// drift, and lifetime of the last grants.
constexpr Duration OwnerGap = config::MemberSuspectAfter + (config::MinRosterChangeDelay + config::MaxRosterChangeDelay) / 2 + config::ConfirmationLifetime
    + config::ClockDriftMargin + config::GrantLifetime;

void print(const std::string &name, double value, const std::string &unit)
{
    std::printf("%s %.6g %s\n", name.c_str(), value, unit.c_str());
}

std::vector<FleetTeam> currentTeams()
{
    return {{{"team400"}, {400, 200}}, {{"team100"}, {100, 50}}, {{"team20a"}, {20, 10}}, {{"team20b"}, {20, 10}},
            {{"team5a"}, {5, 3}},      {{"team5b"}, {5, 3}},     {{"team1a"}, {1, 1}},    {{"team1b"}, {1, 1}}};
}

/// Distributes the requests of each team unevenly over the daemons. Which daemons get most of them differs between teams.
class UnevenLoad
{
public:
    UnevenLoad(std::size_t teams, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t team = 0; team < teams; ++team) {
            std::vector<double> weights;
            for (unsigned i = 1; i <= Daemons; ++i) {
                weights.push_back(1.0 / i);
            }
            std::shuffle(weights.begin(), weights.end(), m_random);
            m_daemon.emplace_back(weights.begin(), weights.end());
        }
    }
    unsigned daemon(std::size_t team) { return m_daemon[team](m_random); }
    Duration gap(double rate) { return fromSeconds(std::exponential_distribution<double>(rate)(m_random)); }

private:
    std::mt19937_64 m_random;
    std::vector<std::discrete_distribution<unsigned>> m_daemon;
};

/// Sends requests of one team to the fleet as a Poisson process until @p end.
template<class Fleet>
void sendRequests(Fleet &fleet, UnevenLoad &load, std::size_t team, double rate, TimePoint end)
{
    const auto next = fleet.now() + load.gap(rate);
    if (next < end) {
        fleet.schedule(next, [&fleet, &load, team, rate, end] {
            fleet.arrive(team, load.daemon(team));
            sendRequests(fleet, load, team, rate, end);
        });
    }
}

template<class Fleet>
void offerAll(Fleet &fleet, UnevenLoad &load, double firstTeamShare, TimePoint end)
{
    const auto teams = currentTeams();
    for (std::size_t team = 0; team < teams.size(); ++team) {
        sendRequests(fleet, load, team, teams[team].limits.rate * (team == 0 ? firstTeamShare : LoadShare), end);
    }
}

void addStats(std::vector<TeamStats> &sum, const std::vector<TeamStats> &part)
{
    sum.resize(part.size());
    for (std::size_t team = 0; team < part.size(); ++team) {
        sum[team].arrived += part[team].arrived;
        sum[team].admitted += part[team].admitted;
        sum[team].refused += part[team].refused;
        sum[team].wrongful += part[team].wrongful;
        sum[team].idealAdmitted += part[team].idealAdmitted;
        sum[team].waits.insert(sum[team].waits.end(), part[team].waits.begin(), part[team].waits.end());
    }
}

double percent(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 0 : 100.0 * double(part) / double(total);
}

/// Returns the percentage of all requests that were refused wrongfully: an ideal bucket would have admitted them.
double wrongfulPercent(const std::vector<TeamStats> &stats)
{
    std::uint64_t wrongful = 0;
    std::uint64_t arrived = 0;
    for (const auto &entry : stats) {
        wrongful += entry.wrongful;
        arrived += entry.arrived;
    }
    return percent(wrongful, arrived);
}

void printRefusals(const std::string &name, const std::vector<TeamStats> &stats, double overshoot)
{
    const auto teams = currentTeams();
    double worst = 0;
    for (std::size_t team = 0; team < stats.size(); ++team) {
        const auto &entry = stats[team];
        const auto prefix = name + "_" + teams[team].name.value;
        worst = std::max(worst, percent(entry.wrongful, entry.arrived));
        print(prefix + "_refused", percent(entry.refused, entry.arrived), "%");
        print(prefix + "_refused_by_ideal", percent(entry.arrived - entry.idealAdmitted, entry.arrived), "%");
        print(prefix + "_wrongful", percent(entry.wrongful, entry.arrived), "%");
    }
    print(name + "_wrongful_refusals", wrongfulPercent(stats), "%");
    print(name + "_wrongful_refusals_worst_team", worst, "%");
    print(name + "_limit_overshoot", overshoot + 0.0, "requests");
}

double percentile(std::vector<Duration> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * double(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return seconds(*at) * 1000;
}

void printWaits(const std::string &name, std::vector<TeamStats> &stats)
{
    std::vector<Duration> waits;
    const auto teams = currentTeams();
    for (std::size_t team = 0; team < stats.size(); ++team) {
        auto &own = stats[team].waits;
        waits.insert(waits.end(), own.begin(), own.end());
        print(name + "_" + teams[team].name.value + "_admission_wait_p99", percentile(own, 0.99), "ms");
    }
    print(name + "_admission_wait_p50", percentile(waits, 0.5), "ms");
    print(name + "_admission_wait_p99", percentile(waits, 0.99), "ms");
    print(name + "_admission_wait_p999", percentile(waits, 0.999), "ms");
}

struct Traffic {
    double messages = 0;
    double bytes = 0;
    double worstBytes = 0; ///< bytes sent and received by the busiest daemon
};

Traffic trafficOf(const LimitsFleet &fleet, const std::vector<DaemonStats> &before)
{
    Traffic traffic;
    for (unsigned i = 0; i < fleet.options().daemons; ++i) {
        const auto &after = fleet.daemonStats(i);
        const double sent = double(after.bytesSent - before[i].bytesSent);
        traffic.messages += double(after.messagesSent - before[i].messagesSent);
        traffic.bytes += sent;
        traffic.worstBytes = std::max(traffic.worstBytes, sent + double(after.bytesReceived - before[i].bytesReceived));
    }
    return traffic;
}

std::vector<DaemonStats> daemonStats(const LimitsFleet &fleet)
{
    std::vector<DaemonStats> stats;
    for (unsigned i = 0; i < fleet.options().daemons; ++i) {
        stats.push_back(fleet.daemonStats(i));
    }
    return stats;
}

FleetOptions fleetOptions(std::uint64_t seed, unsigned maxParts)
{
    FleetOptions options;
    options.daemons = Daemons;
    options.seed = seed;
    options.maxParts = maxParts;
    options.countBytes = true;
    return options;
}

/// Crashes the owner of the bucket part @p key. After the gap without an owner, all parts of the crashed daemon are assigned to
/// other daemons.
void crashOwner(LimitsFleet &fleet, const PartKey &key)
{
    const auto crashedOwner = fleet.ownerOf(key);
    fleet.crash(crashedOwner);
    fleet.schedule(fleet.now() + OwnerGap - config::GrantLifetime, [&fleet, crashedOwner] {
        for (const auto &team : currentTeams()) {
            for (unsigned part = 0; part < partCount(team.limits, fleet.options().maxParts); ++part) {
                if (fleet.ownerOf({team.name, part}) == crashedOwner) {
                    fleet.reassign({team.name, part}, (crashedOwner + 1 + part) % Daemons, config::GrantLifetime);
                }
            }
        }
    });
}

/// Runs the fleet with each team at 90 % of its rate. With @p crash, each run crashes the owner of a part of a
/// different team.
void measureFleet(const std::string &name, std::uint64_t seed, unsigned maxParts, bool crash, unsigned runs)
{
    std::vector<TeamStats> sum;
    Traffic traffic;
    double overshoot = -1e9;
    double worstRun = 0;
    double worstTeamOfCrashedOwner = 0;
    const auto teams = currentTeams();
    for (unsigned run = 0; run < runs; ++run) {
        LimitsFleet fleet(fleetOptions(seed + run, maxParts), teams);
        UnevenLoad load(teams.size(), seed + run);
        const auto end = TimePoint {} + WarmUp + MeasuredTime;
        offerAll(fleet, load, LoadShare, end);
        fleet.run(WarmUp);
        fleet.stats().assign(teams.size(), {});
        const auto before = daemonStats(fleet);
        if (crash) {
            const auto &team = teams[run % teams.size()];
            crashOwner(fleet, {team.name, run % partCount(team.limits, maxParts)});
        }
        fleet.runUntil(end + 1s);
        addStats(sum, fleet.stats());
        const auto &own = fleet.stats()[run % teams.size()];
        worstRun = std::max(worstRun, wrongfulPercent(fleet.stats()));
        worstTeamOfCrashedOwner = std::max(worstTeamOfCrashedOwner, percent(own.wrongful, own.arrived));
        overshoot = std::max(overshoot, fleet.overshoot());
        const auto added = trafficOf(fleet, before);
        traffic = {traffic.messages + added.messages, traffic.bytes + added.bytes, std::max(traffic.worstBytes, added.worstBytes)};
    }
    const double daemonSeconds = Daemons * runs * seconds(MeasuredTime);
    printRefusals(name, sum, overshoot);
    print(name + "_wrongful_refusals_worst_run", worstRun, "%");
    if (crash) {
        print(name + "_wrongful_refusals_worst_team_of_the_crashed_owner", worstTeamOfCrashedOwner, "%");
    }
    printWaits(name, sum);
    print(name + "_messages_sent_per_daemon", traffic.messages / daemonSeconds, "1/s");
    print(name + "_bytes_sent_per_daemon", traffic.bytes / daemonSeconds, "B/s");
    print(name + "_bytes_sent_and_received_busiest_daemon", traffic.worstBytes / seconds(MeasuredTime), "B/s");
}

void measureBaseline(const std::string &name, std::uint64_t seed, bool gossip, bool wholeToken)
{
    const auto teams = currentTeams();
    BaselineFleet fleet(teams, Daemons, gossip, wholeToken);
    UnevenLoad load(teams.size(), seed);
    const auto end = TimePoint {} + WarmUp + MeasuredTime;
    offerAll(fleet, load, LoadShare, end);
    fleet.runUntil(TimePoint {} + WarmUp);
    fleet.stats.assign(teams.size(), {});
    fleet.runUntil(end);
    printRefusals(name, fleet.stats, fleet.overshoot());
}

/// Measures the fleet while one team sends 5 times its rate and the others 90 % of theirs.
void measureGreedyTeam(std::uint64_t seed)
{
    const auto teams = currentTeams();
    LimitsFleet fleet(fleetOptions(seed, config::TeamParts), teams);
    UnevenLoad load(teams.size(), seed);
    const auto end = TimePoint {} + WarmUp + MeasuredTime;
    offerAll(fleet, load, 5, end);
    fleet.run(WarmUp);
    fleet.stats().assign(teams.size(), {});
    const auto before = daemonStats(fleet);
    fleet.runUntil(end);
    double worst = 100;
    for (std::size_t team = 1; team < teams.size(); ++team) {
        const auto &entry = fleet.stats()[team];
        worst = std::min(worst, 100 - percent(entry.wrongful, entry.idealAdmitted));
    }
    const auto traffic = trafficOf(fleet, before);
    print("greedy_team_worst_share_of_others", worst, "%");
    print("greedy_team_admitted_share_of_its_rate", 100 * double(fleet.stats()[0].admitted) / seconds(MeasuredTime) / teams[0].limits.rate, "%");
    print("greedy_team_bytes_sent_per_daemon", traffic.bytes / Daemons / seconds(MeasuredTime), "B/s");
    print("greedy_team_bytes_sent_and_received_busiest_daemon", traffic.worstBytes / seconds(MeasuredTime), "B/s");
    print("greedy_team_limit_overshoot", fleet.overshoot() + 0.0, "requests");
}

/// Measures a queue before targets with too little capacity. 8 teams have equal shares; one sends 5 times its share and each
/// other one all of its share.
template<class Queue>
void measureQueue(const std::string &name, Queue queue, std::uint64_t seed)
{
    constexpr double ServiceRate = 100;
    constexpr unsigned Teams = 8;
    constexpr auto Length = 60s;
    std::mt19937_64 random(seed);
    std::array<double, Teams> served {};
    std::array<double, Teams> offered {};
    std::array<TimePoint, Teams> next {};
    std::uint64_t id = 0;
    for (TimePoint slot {}; slot < TimePoint {} + Length; slot += fromSeconds(1 / ServiceRate)) {
        for (unsigned team = 0; team < Teams; ++team) {
            const double rate = ServiceRate / Teams * (team == 0 ? 5 : 1);
            for (; next[team] <= slot; next[team] += fromSeconds(std::exponential_distribution<double>(rate)(random))) {
                ++offered[team];
                queue.push({++id, {std::to_string(team)}, slot + 2s, 1}, slot);
            }
        }
        queue.expire(slot);
        if (const auto request = queue.pop(slot)) {
            ++served[std::stoul(request->team.value)];
        }
    }
    double worst = 100;
    for (unsigned team = 0; team < Teams; ++team) {
        const double share = std::min(offered[team], ServiceRate / Teams * seconds(Length));
        worst = std::min(worst, 100 * served[team] / share);
    }
    print(name + "_worst_team_share", worst, "%");
}

/// Measures the cost of one daemon against its number of active teams. Each team requests tokens from one owner, and each
/// daemon owns as many parts as it has active teams.
void measureCost(std::uint64_t seed, unsigned teams)
{
    constexpr unsigned DaemonCount = 8;
    constexpr double RatePerTeam = 0.5;
    constexpr auto Length = 10s;
    FleetOptions options;
    options.daemons = DaemonCount;
    options.seed = seed;
    options.countBytes = true;
    std::vector<FleetTeam> list;
    for (unsigned i = 0; i < teams * DaemonCount; ++i) {
        list.push_back({{"team-" + std::to_string(i)}, {RatePerTeam * 1.2, 5}});
    }
    LimitsFleet fleet(options, list);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(RatePerTeam);
    const auto end = TimePoint {} + Length;
    for (std::size_t team = 0; team < list.size(); ++team) {
        for (auto at = TimePoint {} + fromSeconds(gap(random)); at < end; at += fromSeconds(gap(random))) {
            fleet.schedule(at, [&fleet, team] { fleet.arrive(team, static_cast<unsigned>(team % DaemonCount)); });
        }
    }
    const auto before = daemonStats(fleet);
    const auto clockBefore = std::clock();
    fleet.runUntil(end);
    const double cpu = double(std::clock() - clockBefore) / CLOCKS_PER_SEC;
    const auto traffic = trafficOf(fleet, before);
    const double daemonSeconds = DaemonCount * seconds(Length);
    const auto name = "cost_" + std::to_string(teams) + "_active_teams_per_daemon";
    print(name + "_messages_sent", traffic.messages / daemonSeconds, "1/s");
    print(name + "_bytes_sent", traffic.bytes / daemonSeconds, "B/s");
    print(name + "_cpu_with_model", 100 * cpu / daemonSeconds, "%core");
}
std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

double cpuSeconds()
{
    return double(std::clock()) / CLOCKS_PER_SEC;
}

/// Measures processor time and memory of one daemon's state machines alone, without the simulated fleet.
void measureState(unsigned teams)
{
    const TeamLimits limits {100, 5};
    const MemberId self {{"entry-1"}, 1};
    const Tenure tenure {true, 1, TimePoint {}};
    LimitsOwner owner;
    LimitsHolder holder(1);
    const auto start = TimePoint {} + 1000s;
    const auto heapBefore = heapBytes();
    std::vector<SendGrantRequest> requests;
    const auto holderBefore = cpuSeconds();
    for (unsigned i = 0; i < teams; ++i) {
        const TeamName team {"team-" + std::to_string(i)};
        for (auto &effect : holder.requestToken(team, limits, i, start + 1s, start)) {
            requests.push_back(std::get<SendGrantRequest>(std::move(effect)));
        }
    }
    const auto holderHeap = heapBytes();
    const auto ownerBefore = cpuSeconds();
    std::vector<Grant> grants;
    grants.reserve(requests.size());
    for (const auto &entry : requests) {
        grants.push_back(*owner.onGrantRequest(self, entry.message, limits, tenure, start));
    }
    const auto ownerAfter = cpuSeconds();
    const auto ownerHeap = heapBytes();
    for (const auto &grant : grants) {
        holder.onGrant(grant, 1, start + 1ms);
    }
    const auto tickBefore = cpuSeconds();
    constexpr unsigned Ticks = 100;
    for (unsigned i = 1; i <= Ticks; ++i) {
        holder.tick(start + 10ms + 1us * i);
    }
    const auto tickAfter = cpuSeconds();
    const auto name = "state_" + std::to_string(teams) + "_active_teams";
    print(name + "_holder_cpu_per_request", 1e6 * (ownerBefore - holderBefore + tickBefore - ownerAfter) / teams, "us");
    print(name + "_owner_cpu_per_request", 1e6 * (ownerAfter - ownerBefore) / teams, "us");
    print(name + "_holder_cpu_per_team_and_tick", 1e9 * (tickAfter - tickBefore) / Ticks / teams, "ns");
    print(name + "_holder_memory_per_team", double(holderHeap - heapBefore) / teams, "B");
    print(name + "_owner_memory_per_part", double(ownerHeap - holderHeap) / teams, "B");
}
}

int main(int argc, const char **argv)
{
    long seed = 1;
    int runs = 4;
    const std::array<poptOption, 4> options {{{"seed", 's', POPT_ARG_LONG, &seed, 0, "seed of every random choice", "SEED"},
                                              {"runs", 'r', POPT_ARG_INT, &runs, 0, "runs of 30 simulated seconds for each figure", "RUNS"},
                                              POPT_AUTOHELP POPT_TABLEEND}};
    const auto context = poptGetContext("bench-limits", argc, argv, options.data(), 0);
    const int status = poptGetNextOpt(context);
    poptFreeContext(context);
    if (status < -1 || runs < 1) {
        std::fprintf(stderr, "bench-limits: bad option\n");
        return 2;
    }
    const auto base = static_cast<std::uint64_t>(seed);
    const auto count = static_cast<unsigned>(runs);
    std::printf("seed %ld -\n", seed);
    print("owner_gap_after_crash", seconds(OwnerGap), "s");
    measureFleet("owners", base, config::TeamParts, false, count);
    measureFleet("owners_crash", base, config::TeamParts, true, 2 * count);
    measureFleet("three_parts", base, 3, false, count);
    measureFleet("three_parts_crash", base, 3, true, 2 * count);
    measureFleet("one_owner", base, 1, false, count);
    measureFleet("one_owner_crash", base, 1, true, 2 * count);
    measureBaseline("rate_by_n", base, false, false);
    measureBaseline("rate_by_n_whole_token", base, false, true);
    measureBaseline("gossip", base, true, false);
    measureGreedyTeam(base);
    measureQueue("fair_queue", FairQueue(400), base);
    measureQueue("fifo_queue", FifoQueue(), base);
    for (const unsigned teams : {10U, 100U, 400U}) {
        measureCost(base, teams);
    }
    for (const unsigned teams : {1000U, 10000U}) {
        measureState(teams);
    }
    return 0;
}
