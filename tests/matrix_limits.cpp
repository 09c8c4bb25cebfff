#include "limits_fleet.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>

using namespace plumsill;
using namespace plumsill::limits_fleet;

namespace
{
enum class Party
{
    Owner,
    Holder,
};

enum class Fault
{
    Crash,
    Pause,
    CutIncoming,
    CutOutgoing,
    CutBoth,
    Lost,
    Duplicated,
    Reordered,
    TwoAtOnce,
};

enum class Step
{
    Grant,
    TokenReturn,
    HandOver,
    Spend,
    Expire,
};

constexpr std::array<const char *, 2> PartyNames {"owner", "holder"};
constexpr std::array<const char *, 9> FaultNames {"crash",      "pause",     "one-way cut, incoming", "one-way cut, outgoing", "cut both ways", "lost",
                                                  "duplicated", "reordered", "two faults at once"};
constexpr std::array<const char *, 5> StepNames {"grant", "return tokens", "hand over", "spend", "expire"};

constexpr unsigned Daemons = 5;
constexpr auto FaultDuration = 3s;
constexpr auto LoadPause = 1s; ///< pause of the load before the fault ends, so that buckets are full by then
constexpr auto RecoveryDuration = 4s;

/// One row of the matrix. After one second of load, waits for the first step of the given kind, and injects the fault at the
/// owner or the holder that takes part in it.
class Row
{
public:
    Row(Party party, Fault fault, Step step)
        : m_party(party)
        , m_fault(fault)
        , m_step(step)
        , m_fleet(options(party, fault, step), {{{"large"}, {60, 48}}, {{"small"}, {8, 4}}})
    { }

    void run()
    {
        m_healAt = m_fleet.now() + 1s + FaultDuration;
        const auto end = m_healAt + RecoveryDuration;
        for (std::size_t team = 0; team < 2; ++team) {
            offer(team, team == 0 ? 48 : 6, end);
        }
        m_fleet.run(1s);
        m_fleet.onStep = [this](FleetStep step, unsigned owner, unsigned holder) { injectFault(step, owner, holder); };
        if (m_step == Step::HandOver) {
            const auto owner = m_fleet.ownerOf({{"large"}, 0});
            m_fleet.handOver(owner, (owner + 2) % Daemons);
        }
        m_fleet.run(FaultDuration);
        heal();
        m_fleet.run(RecoveryDuration / 2);
        const auto before = m_fleet.stats()[0].admitted;
        m_fleet.runUntil(end);
        recovered = seconds(RecoveryDuration / 2) * 48 * 0.5 < double(m_fleet.stats()[0].admitted - before);
        m_fleet.run(1s);
        injected = m_injected;
        overshoot = m_fleet.overshoot();
        waiting = m_fleet.waiting();
    }

    bool injected = false;
    bool recovered = false;
    double overshoot = 0;
    std::size_t waiting = 0;

private:
    static FleetOptions options(Party party, Fault fault, Step step)
    {
        FleetOptions options;
        options.daemons = Daemons;
        options.seed = 1 + 100 * unsigned(party) + 10 * unsigned(fault) + unsigned(step);
        options.drift = config::MaxClockDrift;
        return options;
    }
    static bool matches(Step step, FleetStep seen)
    {
        switch (step) {
        case Step::Grant:
        case Step::Expire:
            return seen == FleetStep::Grant;
        case Step::TokenReturn:
            return seen == FleetStep::TokenReturn;
        case Step::HandOver:
            return seen == FleetStep::HandOver;
        case Step::Spend:
            return seen == FleetStep::Spend;
        }
        return false;
    }
    void offer(std::size_t team, double rate, TimePoint end)
    {
        const auto next = m_fleet.now() + fromSeconds(-std::log(m_fleet.uniform(1e-9, 1)) / rate);
        if (next < end) {
            m_fleet.schedule(next, [this, team, rate, end] {
                if (m_fleet.now() < m_healAt - LoadPause || m_fleet.now() >= m_healAt) {
                    m_fleet.arrive(team, m_fleet.pick(Daemons));
                }
                offer(team, rate, end);
            });
        }
    }
    void injectFault(FleetStep seen, unsigned owner, unsigned holder)
    {
        if (m_injected || m_fleet.now() >= m_healAt - 2 * LoadPause || owner == holder || !matches(m_step, seen)) {
            return;
        }
        m_injected = true;
        m_victim = m_party == Party::Owner ? owner : holder;
        m_otherParty = m_party == Party::Owner ? holder : owner;
        // For Step::Expire, the fault begins shortly before the grant expires and lasts beyond the expiry.
        const Duration delay = m_step == Step::Expire ? config::GrantLifetime - 20ms : Duration(0);
        m_fleet.schedule(m_fleet.now() + delay, [this] { begin(); });
    }
    void begin()
    {
        auto &fault = m_fleet.options();
        fault.unreliable = m_victim;
        switch (m_fault) {
        case Fault::Crash:
            return crash();
        case Fault::Pause:
            return m_fleet.pause(m_victim);
        case Fault::CutIncoming:
            return m_fleet.isolate(m_victim, true, false);
        case Fault::CutOutgoing:
            return m_fleet.isolate(m_victim, false, true);
        case Fault::CutBoth:
            return m_fleet.isolate(m_victim, true, true);
        case Fault::Lost:
            fault.loss = 0.5;
            return;
        case Fault::Duplicated:
            fault.duplicate = 1;
            fault.late = 0.5;
            return;
        case Fault::Reordered:
            fault.late = 0.8;
            return;
        case Fault::TwoAtOnce:
            crash();
            m_fleet.isolate(m_otherParty, true, false);
            fault.unreliable.reset();
            fault.duplicate = 0.5;
            return;
        }
    }
    // Assigns the crashed daemon's parts to another owner, which may act once the old grants have expired.
    void crash()
    {
        m_fleet.crash(m_victim);
        for (const auto *team : {"large", "small"}) {
            for (unsigned part = 0; part < 8; ++part) {
                if (m_fleet.ownerOf({{team}, part}) == m_victim) {
                    m_fleet.reassign({{team}, part}, (m_victim + 1) % Daemons);
                }
            }
        }
    }
    void heal()
    {
        m_fleet.options().loss = m_fleet.options().duplicate = m_fleet.options().late = 0;
        if (!m_injected) {
            return;
        }
        m_fleet.isolate(m_victim, false, false);
        m_fleet.isolate(m_otherParty, false, false);
        if (m_fault == Fault::Crash || m_fault == Fault::TwoAtOnce) {
            m_fleet.restart(m_victim);
        } else {
            m_fleet.resume(m_victim, [this] { burst(); });
        }
        burst();
    }
    // Sends more requests than full buckets admit. If tokens from before the fault are wrongly still valid, they admit further
    // requests, and the overshoot shows this.
    void burst()
    {
        for (unsigned i = 0; i < Daemons; ++i) {
            for (unsigned n = 0; n < 30; ++n) {
                m_fleet.arrive(0, (m_victim + i) % Daemons);
            }
        }
    }

    const Party m_party;
    const Fault m_fault;
    const Step m_step;
    LimitsFleet m_fleet;
    TimePoint m_healAt;
    bool m_injected = false;
    unsigned m_victim = 0;
    unsigned m_otherParty = 0;
};

void runRows(Party party)
{
    for (unsigned fault = 0; fault < FaultNames.size(); ++fault) {
        for (unsigned step = 0; step < StepNames.size(); ++step) {
            Row row(party, Fault(fault), Step(step));
            row.run();
            const bool good = row.injected && row.recovered && row.overshoot <= 1e-6 && row.waiting == 0;
            std::printf("limits | %s | %s | %s | %s (overshoot %.3g, %s)\n", PartyNames.at(unsigned(party)), FaultNames.at(fault), StepNames.at(step),
                        good ? "ok" : "FAILED", row.overshoot, row.recovered ? "recovered" : "not recovered");
            CHECK(row.injected);
            CHECK(row.recovered);
            CHECK(row.overshoot <= 1e-6);
            LONGS_EQUAL(0, row.waiting);
        }
    }
}
}

TEST_GROUP(MatrixLimits) {};

TEST(MatrixLimits, FaultsOfAnOwner)
{
    runRows(Party::Owner);
}

TEST(MatrixLimits, FaultsOfAHolder)
{
    runRows(Party::Holder);
}

// Guards against overshoot while some owners use the old document and others the new one. The two documents split the team's
// bucket into different numbers of parts.
TEST(MatrixLimits, DocumentVersionsSideBySide)
{
    const TeamLimits onePart {40, 5};
    const TeamLimits manyParts {40, 40};
    for (unsigned seed = 1; seed <= 20; ++seed) {
        FleetOptions options;
        options.daemons = Daemons;
        options.seed = seed;
        LimitsFleet fleet(options, {{{"team"}, seed % 2 == 0 ? onePart : manyParts}});
        for (auto at = TimePoint {}; at < TimePoint {} + 7s; at += 5ms) {
            fleet.schedule(at, [&fleet] { fleet.arrive(0, fleet.pick(Daemons)); });
        }
        fleet.run(1s);
        fleet.changeLimits(0, seed % 2 == 0 ? manyParts : onePart);
        fleet.run(8s);
        std::printf("limits | document versions side by side, seed %u | overshoot %.3g\n", seed, fleet.overshoot());
        CHECK(fleet.overshoot() <= 1e-6);
        LONGS_EQUAL(0, fleet.waiting());
    }
}

// Guards against admissions above the team's rate when clocks run fast by up to the maximum drift.
TEST(MatrixLimits, FastClocksStayWithinTheRate)
{
    FleetOptions options;
    options.daemons = Daemons;
    options.drift = config::MaxClockDrift;
    std::vector<FleetTeam> teams;
    for (const auto *name : {"a", "b", "c", "d", "e", "f"}) {
        teams.push_back({{name}, {20, 5}});
    }
    LimitsFleet fleet(options, teams);
    for (auto at = TimePoint {}; at < TimePoint {} + 300s; at += 25ms) {
        for (std::size_t team = 0; team < teams.size(); ++team) {
            fleet.schedule(at, [&fleet, team] { fleet.arrive(team, fleet.pick(Daemons)); });
        }
    }
    fleet.run(302s);
    std::printf("limits | fast clocks | overshoot %.3g\n", fleet.overshoot());
    CHECK(fleet.overshoot() <= 1e-6);
    LONGS_EQUAL(0, fleet.waiting());
}
