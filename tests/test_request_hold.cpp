#include <plumsill/config.h>
#include <plumsill/request_hold.h>

#include <CppUTest/TestHarness.h>

using namespace plumsill;
using namespace std::chrono_literals;

/// Load: callers who arrive while all daemons start again after a loss of power.
TEST_GROUP(RequestHold)
{
    const TimePoint startedAt = TimePoint(50s);
    KeyCheckState state {TimePoint(), startedAt, startedAt + StartHoldTime};
};

// Guards against callers who are sent away for a second by a daemon that can serve them a moment later.
TEST(RequestHold, RequestAtAStartingDaemonWaitsUntilItCanBeChecked)
{
    const TimePoint arrivedAt = startedAt + 10ms;
    CHECK(holdUntil(state, std::nullopt, arrivedAt, arrivedAt) >= startedAt + 1s);
    state.trustedUntil = startedAt + 5s;
    CHECK(holdUntil(state, std::nullopt, arrivedAt, startedAt + 300ms) <= startedAt + 300ms);
}

// Guards against a held request whose caller has no time left for an answer.
TEST(RequestHold, HeldRequestKeepsHalfOfItsCallersTime)
{
    const TimePoint arrivedAt = startedAt + 100ms;
    CHECK(holdUntil(state, 600ms, arrivedAt, arrivedAt) == arrivedAt + 300ms);
}

// Guards against callers who wait at a daemon that gets no document.
TEST(RequestHold, RequestIsRefusedOnceTheStartHasTakenTooLong)
{
    const TimePoint now = startedAt + StartHoldTime;
    state.publishedAt = now;
    CHECK(holdUntil(state, std::nullopt, now, now) <= now);
}

TEST(RequestHold, RequestAtAProcessThatHasStoodStillWaitsForTheNextProof)
{
    const TimePoint now = startedAt + 30s;
    CHECK(holdUntil(state, std::nullopt, now, now) == now + config::ProofAfterPause);
}
