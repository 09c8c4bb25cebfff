#include <plumsill/supervisor.h>

#include <plumsill/config.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

TEST_GROUP(RestartPolicy)
{
    RestartPolicy policy;
    const TimePoint start {1000s};
};

TEST(RestartPolicy, DelayDoublesWithEachFailure)
{
    CHECK((policy.childFailed(start) == RestartDecision(RestartChild {config::RestartDelay})));
    CHECK((policy.childFailed(start + 1s) == RestartDecision(RestartChild {2 * config::RestartDelay})));
    CHECK((policy.childFailed(start + 2s) == RestartDecision(RestartChild {4 * config::RestartDelay})));
}

TEST(RestartPolicy, ManyFailuresInOneWindowEscalate)
{
    for (std::size_t i = 0; i < config::MaxRestarts; ++i) {
        CHECK(std::holds_alternative<RestartChild>(policy.childFailed(start)));
    }
    CHECK(std::holds_alternative<Escalate>(policy.childFailed(start)));
}

TEST(RestartPolicy, FailuresOutsideTheWindowAreNotCounted)
{
    for (int i = 0; i < 100; ++i) {
        const auto now = start + i * 2 * Duration(config::RestartWindow);
        CHECK((policy.childFailed(now) == RestartDecision(RestartChild {config::RestartDelay})));
    }
}
