#include <plumsill/scheduler.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

namespace
{
const TimePoint t0 = TimePoint(50s);
const InstanceName sender {"d1"};

std::vector<Target> targets(unsigned count)
{
    std::vector<Target> all;
    for (unsigned number = 1; number <= count; ++number) {
        all.push_back({{"t" + std::to_string(number)}, {"orders"}, {"x"}, {"10.0.0." + std::to_string(number), 80}, false, 3, 0, 1, 1});
    }
    return all;
}
}

/// What targets say of themselves, kept while the list of targets changes.
TEST_GROUP(SchedulerNotices)
{
    Scheduler scheduler {{"x"}, {0.2, 50, 10s}};
};

// Guards against requests to a target whose rest and limit are forgotten since its entry is gone from the list for a moment.
TEST(SchedulerNotices, RestAndLimitOutlastTheAbsenceOfTheTargetsEntry)
{
    scheduler.setTargets(targets(2), t0);
    scheduler.recordRest({"t1"}, sender, t0 + 3s);
    CHECK(scheduler.recordLimit({"t1"}, {true, true, 5}, t0));
    auto others = targets(2);
    others.erase(others.begin());
    scheduler.setTargets(others, t0 + 1s);
    CHECK(scheduler.restLeft({"t1"}, sender, t0 + 1s) == 2s);
    scheduler.setTargets(targets(2), t0 + 2s);
    CHECK(scheduler.restLeft({"t1"}, sender, t0 + 2s) == 1s);
    CHECK(!scheduler.recordLimit({"t1"}, {true, true, 5}, t0 + 2s));
}

// Guards against a rest that a target asks for before this daemon has it on its list, as its scheduler had.
TEST(SchedulerNotices, RestOfATargetThatIsNotListedYetIsKept)
{
    scheduler.setTargets(targets(1), t0);
    scheduler.recordRest({"t2"}, sender, t0 + 3s);
    CHECK(scheduler.restLeft({"t2"}, sender, t0 + 1s) == 2s);
    scheduler.setTargets(targets(2), t0 + 1s);
    CHECK(scheduler.restLeft({"t2"}, sender, t0 + 1s) == 2s);
}
