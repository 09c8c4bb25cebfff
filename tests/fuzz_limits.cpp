#include "fuzz_settings.h"
#include "limits_fleet.h"

#include <rapidcheck.h>

// Must be the last include, since it defines `new` as a macro.
#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace plumsill::limits_fleet;

namespace
{
enum class Fault
{
    Crash,
    Restart,
    Pause,
    Resume,
    CutIncoming,
    CutOutgoing,
    CutBoth,
    Heal,
    Reassign,
    HandOver,
    ChangeLimits,
    Lossy,
    Reliable,
    Burst,
};

struct Step {
    Fault fault;
    unsigned daemon;
    unsigned other;
    unsigned team;
    unsigned value;
};

void showValue(const Step &step, std::ostream &out)
{
    out << "{fault " << int(step.fault) << " daemon " << step.daemon << " other " << step.other << " team " << step.team << " value " << step.value << "}";
}

constexpr unsigned Daemons = 5;

std::vector<FleetTeam> teams()
{
    return {{{"large"}, {40, 30}}, {{"middle"}, {20, 10}}, {{"small"}, {5, 3}}, {{"single"}, {1, 1}}};
}

constexpr auto LoadPeriod = 700ms;

// Offers requests at twice the team's rate, so that the limit is reached. If @p steady is false, the load
// pauses during two of every three LoadPeriods, so that buckets fill up.
void offerLoad(LimitsFleet &fleet, std::size_t team, bool steady, TimePoint end)
{
    constexpr double Excess = 2;
    const auto gap = fromSeconds(-std::log(fleet.uniform(1e-9, 1)) / (Excess * fleet.limits(team).rate));
    const auto next = fleet.now() + std::min<Duration>(gap, 1s);
    if (next < end) {
        fleet.schedule(next, [&fleet, team, steady, end] {
            if (steady || (fleet.now().time_since_epoch() / LoadPeriod + std::int64_t(team)) % 3 == 0) {
                fleet.arrive(team, fleet.pick(Daemons));
            }
            offerLoad(fleet, team, steady, end);
        });
    }
}

void sendBurst(LimitsFleet &fleet, std::size_t team, unsigned daemon, unsigned count)
{
    for (unsigned i = 0; i < count; ++i) {
        fleet.arrive(team, daemon);
    }
}

void applyStep(LimitsFleet &fleet, const Step &step)
{
    switch (step.fault) {
    case Fault::Crash:
        return fleet.crash(step.daemon);
    case Fault::Restart:
        return fleet.restart(step.daemon);
    case Fault::Pause:
        return fleet.pause(step.daemon);
    case Fault::Resume:
        return fleet.resume(step.daemon, [&] {
            sendBurst(fleet, step.team, step.daemon, step.value);
            sendBurst(fleet, step.team, (step.daemon + 1) % Daemons, step.value);
        });
    case Fault::CutIncoming:
        return fleet.isolate(step.daemon, true, false);
    case Fault::CutOutgoing:
        return fleet.isolate(step.daemon, false, true);
    case Fault::CutBoth:
        return fleet.isolate(step.daemon, true, true);
    case Fault::Heal:
        return fleet.isolate(step.daemon, false, false);
    case Fault::Reassign:
        return fleet.reassign({teams()[step.team].name, step.value % 5}, step.other);
    case Fault::HandOver:
        if (fleet.usable(step.daemon)) {
            fleet.handOver(step.daemon, step.other);
        }
        return;
    case Fault::ChangeLimits:
        return fleet.changeLimits(step.team, {1.0 + step.value, 1.0 + step.value * 7 % 40});
    case Fault::Lossy:
        fleet.options().loss = 0.1;
        fleet.options().duplicate = 0.2;
        fleet.options().late = 0.3;
        return;
    case Fault::Reliable:
        fleet.options().loss = fleet.options().duplicate = fleet.options().late = 0;
        return;
    case Fault::Burst:
        return sendBurst(fleet, step.team, step.daemon, step.value);
    }
}

rc::Gen<Step> anyStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::fault, rc::gen::map(rc::gen::inRange(0, int(Fault::Burst) + 1), [](int value) { return Fault(value); })),
                                rc::gen::set(&Step::daemon, rc::gen::inRange(0U, Daemons)), rc::gen::set(&Step::other, rc::gen::inRange(0U, Daemons)),
                                rc::gen::set(&Step::team, rc::gen::inRange(0U, 4U)), rc::gen::set(&Step::value, rc::gen::inRange(0U, 40U)));
}
}

TEST_GROUP(FuzzLimits) {};

// Under any sequence of faults, no window of length t has more admissions than burst + rate * t, and every request gets a
// result.
TEST(FuzzLimits, AdmissionsStayWithinEveryWindow)
{
    fuzzSettings(1000);
    const bool held = rc::check("admissions stay within burst + rate * t", [] {
        const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
        const bool steady = *rc::gen::arbitrary<bool>();
        FleetOptions options;
        options.daemons = Daemons;
        options.seed = *rc::gen::arbitrary<std::uint64_t>();
        options.drift = config::MaxClockDrift * 0.9;
        LimitsFleet fleet(options, teams());
        const auto length = 300ms * (steps.size() + 4);
        for (std::size_t team = 0; team < teams().size(); ++team) {
            offerLoad(fleet, team, steady, fleet.now() + length);
        }
        fleet.run(600ms);
        for (const auto &step : steps) {
            applyStep(fleet, step);
            fleet.run(fromSeconds(fleet.uniform(0, 0.8)));
        }
        for (unsigned i = 0; i < Daemons; ++i) {
            fleet.resume(i);
        }
        fleet.run(length + 1s);
        RC_ASSERT(fleet.overshoot() <= 1e-6);
        RC_ASSERT(fleet.waiting() == 0U);
    });
    CHECK(held);
}
