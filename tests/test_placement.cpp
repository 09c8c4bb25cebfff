#include <plumsill/scheduler.h>

#include <plumsill/config.h>
#include <plumsill/quota.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <queue>
#include <random>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
const ServiceName orders {"orders"};

std::vector<Target> targets(unsigned count, unsigned slots)
{
    std::vector<Target> all;
    for (unsigned i = 1; i <= count; ++i) {
        all.push_back({{"t" + std::to_string(i)}, orders, {"x"}, {"10.0.0." + std::to_string(i), 80}, false, slots, 0, 1, 1});
    }
    return all;
}

/// Demand of one zone, and what its targets do.
struct Load {
    unsigned daemons = 15;
    unsigned targets = 100;
    unsigned slots = 4;
    double perSecond = 310;
    Duration work = 350ms;
    double idempotentShare = 0;
    double failedShare = 0.012;
    double shedShare = 0; ///< share of the requests that targets refuse
    double slowShare = 0.03; ///< share of the requests that take seven times as long
    Duration length = 12s;
    std::map<TargetName, double> slower {}; ///< factor on the work of single targets
};

struct Result {
    unsigned requests = 0;
    unsigned placed = 0;
    unsigned opened = 0; ///< requests for which the daemon had no connection that it could reuse
    std::map<TargetName, unsigned> arrivals;
    Duration longestGap {}; ///< longest time for which a target got no request

    double openedShare() const { return static_cast<double>(opened) / placed; }
    double spread() const
    {
        const auto busiest = std::max_element(arrivals.begin(), arrivals.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        return static_cast<double>(busiest->second) * static_cast<double>(arrivals.size()) / placed;
    }
};

/// Daemons that send requests at random times through the scheduler of their zone, and keep connections as daemons do. Counts begin
/// after the first 3 s.
class ZoneLoad
{
public:
    explicit ZoneLoad(const Load &load)
        : m_load(load)
    {
        Document document;
        document.services = {{orders, 0.7, load.slots, {}, 0.999}};
        m_scheduler.setDocument(document, t0);
        m_scheduler.setTargets(targets(load.targets, load.slots), t0);
        m_scheduler.setFleetShare(1);
    }

    Result run()
    {
        std::poisson_distribution<unsigned> arrivals(m_load.perSecond / 1000);
        for (TimePoint now = t0; now < t0 + m_load.length; now += 1ms) {
            m_counts = now >= t0 + 3s;
            endAttempts(now);
            for (const auto &late : m_scheduler.serve(now)) {
                start(late.key, late.placement, now);
            }
            for (unsigned left = arrivals(m_random); left > 0; --left) {
                const PlacementRequest request = nextRequest(now);
                m_result.requests += m_counts ? 1 : 0;
                start(request.key, m_scheduler.submit(request, now), now);
            }
        }
        return m_result;
    }

private:
    struct End {
        TimePoint at;
        PlacementKey key;
        TargetName target;
        Duration taken;
        AttemptEnd end;
        bool operator<(const End &other) const { return at > other.at; }
    };

    PlacementRequest nextRequest(TimePoint now)
    {
        PlacementRequest request;
        const auto daemon = std::uniform_int_distribution<unsigned>(1, m_load.daemons)(m_random);
        request.key = {{{"d" + std::to_string(daemon)}, 1}, m_nextId++};
        request.service = orders;
        request.route = 1;
        request.idempotent = m_unit(m_random) < m_load.idempotentShare;
        request.objective = now + 1s;
        request.deadline = now + 5s;
        m_idempotent[request.key] = request.idempotent;
        return request;
    }
    void start(const PlacementKey &key, const Placement &placement, TimePoint now)
    {
        const auto *placed = std::get_if<Placed>(&placement);
        if (placed == nullptr) {
            return;
        }
        const auto slower = m_load.slower.find(placed->target);
        const double factor = (slower == m_load.slower.end() ? 1 : slower->second) * m_spread(m_random) * (m_unit(m_random) < m_load.slowShare ? 7 : 1);
        const Duration taken = fromSeconds(seconds(m_load.work) * factor);
        const double chance = m_unit(m_random);
        if (chance < m_load.shedShare) {
            m_ends.push({now + 1ms, key, placed->target, 1ms, AttemptEnd::NotExecuted});
        } else {
            m_ends.push({now + taken, key, placed->target, taken, chance < m_load.shedShare + m_load.failedShare ? AttemptEnd::Failed : AttemptEnd::Good});
        }
        auto &idle = m_idle[{key.member.name, placed->target}];
        const bool reuses = !idle.empty() && now - idle.back() < (m_idempotent[key] ? Duration(8500ms) : Duration(config::FreshConnectionAge));
        if (reuses) {
            idle.pop_back();
        }
        if (m_counts) {
            ++m_result.placed;
            m_result.opened += reuses ? 0 : 1;
            ++m_result.arrivals[placed->target];
            const TimePoint last = m_lastArrival[placed->target];
            m_result.longestGap = last > TimePoint() ? std::max(m_result.longestGap, now - last) : m_result.longestGap;
        }
        m_lastArrival[placed->target] = now;
    }
    void endAttempts(TimePoint now)
    {
        while (!m_ends.empty() && m_ends.top().at <= now) {
            const End end = m_ends.top();
            m_ends.pop();
            m_idle[{end.key.member.name, end.target}].push_back(now);
            m_scheduler.finishAttempt(end.key, end.end, end.taken, now);
        }
    }

    Load m_load;
    Scheduler m_scheduler {{"x"}, {0.2, 50, 10s}};
    std::mt19937 m_random {7};
    std::uniform_real_distribution<double> m_unit {0, 1};
    std::lognormal_distribution<double> m_spread {-0.125, 0.5};
    std::priority_queue<End> m_ends;
    std::map<std::pair<InstanceName, TargetName>, std::vector<TimePoint>> m_idle; ///< last answers on idle connections
    std::map<PlacementKey, bool> m_idempotent;
    std::map<TargetName, TimePoint> m_lastArrival;
    std::uint64_t m_nextId = 1;
    bool m_counts = false;
    Result m_result;
};
}

TEST_GROUP(PlacementLoad) {};

// Guards against a fleet that opens a connection for every third request, because its daemons use all targets by turns.
TEST(PlacementLoad, RequestsOfFifteenDaemonsToAHundredTargetsReuseConnections)
{
    const Result result = ZoneLoad(Load {}).run();
    CHECK(result.openedShare() <= 0.2);
}

// Guards against connections that the scheduler takes for closed, because the last answer on them was a refusal.
TEST(PlacementLoad, ConnectionsToTargetsThatShedHalfOfTheRequestsAreReused)
{
    Load load;
    load.shedShare = 0.55;
    CHECK(ZoneLoad(load).run().openedShare() <= 0.2);
}

// Guards against small subsets that leave some of the targets to a few daemons.
TEST(PlacementLoad, EvenDemandOfThirtyEightDaemonsIsSpreadOverTheTargets)
{
    Load load;
    load.daemons = 38;
    load.targets = 63;
    load.slots = 2;
    load.perSecond = 220;
    load.work = 180ms;
    load.failedShare = 0;
    load.slowShare = 0;
    load.length = 23s;
    CHECK(ZoneLoad(load).run().spread() <= 1.6);
}

// Guards against targets without work: at a low rate, and where the demand of all daemons needs only a few of the targets.
TEST(PlacementLoad, EachTargetGetsARequestWithinTwoSecondsAtALowRate)
{
    Load load;
    load.perSecond = 90;
    load.failedShare = 0;
    load.slowShare = 0;
    const Result result = ZoneLoad(load).run();
    LONGS_EQUAL(100, result.arrivals.size());
    CHECK(result.longestGap <= 2s);
}

// Guards against large answers that cross zones as readily as small ones, here because of one refusal.
TEST(PlacementLoad, LargeAnswersStayInTheZoneWhileSmallOnesOverflow)
{
    Document document;
    document.services = {{orders, 0.7, 4, {}, 0.999}};
    document.routes.resize(2);
    document.routes[0].name = {"lookups"};
    document.routes[1].name = {"downloads"};
    document.routes[1].large = true;
    Scheduler scheduler({"x"}, {0.2, 50, 10s});
    scheduler.setDocument(document, t0);
    auto both = targets(2, 4);
    both[1].zone = {"y"};
    scheduler.setTargets(both, t0);
    scheduler.setFleetShare(1);
    const auto place = [&](std::uint64_t id, const char *route, Duration after) {
        PlacementRequest request;
        request.key = {{{"d1"}, 1}, id};
        request.service = orders;
        request.route = shortHash(route);
        request.idempotent = true;
        request.objective = t0 + after + 1s;
        request.deadline = t0 + after + 5s;
        return std::get<Placed>(scheduler.submit(request, t0 + after)).target.value;
    };
    STRCMP_EQUAL("t1", place(1, "lookups", 0ms).c_str());
    scheduler.finishAttempt({{{"d1"}, 1}, 1}, AttemptEnd::NotExecuted, 1ms, t0 + 1ms);
    STRCMP_EQUAL("t2", place(2, "lookups", 2ms).c_str());
    STRCMP_EQUAL("t1", place(3, "downloads", 2ms).c_str());
}

TEST_GROUP(TargetSubsets)
{
    TargetSubsets subsets;
    TimePoint now = t0;

    static std::vector<std::uint32_t> range(std::uint32_t count)
    {
        std::vector<std::uint32_t> all(count);
        std::iota(all.begin(), all.end(), 1);
        return all;
    }
    /// Two requests a second of each daemon, each of which takes 500 ms.
    void sendRequests(std::uint32_t daemons, Duration length)
    {
        subsets.recordDuration(500ms);
        for (const TimePoint end = now + length; now < end; now += 500ms) {
            for (std::uint32_t daemon = 1; daemon <= daemons; ++daemon) {
                subsets.recordPlacement(daemon, {}, now);
            }
        }
    }
    std::vector<unsigned> cover(std::uint32_t daemons, std::uint32_t targets) const
    {
        std::vector<unsigned> counts(targets + 1);
        for (std::uint32_t daemon = 1; daemon <= daemons; ++daemon) {
            for (const std::uint32_t target : subsets.subset(daemon)->targets()) {
                ++counts[target];
            }
        }
        return counts;
    }
};

// Guards against a movement of targets that renews the connections of all daemons.
TEST(TargetSubsets, ThirdOfThreeHundredTargetsLeavesAThousandDaemonsAtOnce)
{
    subsets.setTargets(range(300));
    sendRequests(1000, 8s);
    std::vector<std::vector<std::uint32_t>> before;
    for (std::uint32_t daemon = 1; daemon <= 1000; ++daemon) {
        before.push_back(subsets.subset(daemon)->targets());
    }
    subsets.setTargets(range(200));
    sendRequests(1000, 4s);
    unsigned remaining = 0;
    unsigned kept = 0;
    for (std::uint32_t daemon = 1; daemon <= 1000; ++daemon) {
        const TargetSubset &subset = *subsets.subset(daemon);
        LONGS_EQUAL(before[daemon - 1].size(), subset.size());
        for (const std::uint32_t target : before[daemon - 1]) {
            remaining += target <= 200 ? 1 : 0;
            kept += subset.contains(target) ? 1 : 0;
        }
    }
    CHECK(kept >= remaining * 9 / 10);
    const auto counts = cover(1000, 200);
    CHECK(*std::min_element(counts.begin() + 1, counts.end()) > 0);
    CHECK(*std::max_element(counts.begin() + 1, counts.end()) <= *std::min_element(counts.begin() + 1, counts.end()) + 2);
}

// Guards against a fleet that loses many daemons and leaves targets in nobody's subset.
TEST(TargetSubsets, TargetsOfADepartedThirdOfTheDaemonsStayCovered)
{
    subsets.setTargets(range(300));
    sendRequests(90, 8s);
    sendRequests(60, 20s);
    const auto counts = cover(60, 300);
    CHECK(*std::min_element(counts.begin() + 1, counts.end()) > 0);
}

// Guards against new targets that nobody uses, because all daemons are content with theirs.
TEST(TargetSubsets, NewTargetsAreTakenIntoSubsetsWithinFiveSeconds)
{
    subsets.setTargets(range(200));
    sendRequests(300, 8s);
    subsets.setTargets(range(300));
    sendRequests(300, 5s);
    const auto counts = cover(300, 300);
    CHECK(*std::min_element(counts.begin() + 1, counts.end()) > 0);
}

// Guards against a changed placement where the targets are few or the daemons few: every daemon uses all of them.
TEST(TargetSubsets, FewTargetsOrFewDaemonsHaveNoSubsets)
{
    subsets.setTargets(range(4));
    sendRequests(20, 8s);
    LONGS_EQUAL(0, subsets.report().daemons);
    TargetSubsets ofOne;
    ofOne.setTargets(range(100));
    ofOne.recordDuration(500ms);
    ofOne.recordPlacement(1, {}, now);
    POINTERS_EQUAL(nullptr, ofOne.subset(1));
}
