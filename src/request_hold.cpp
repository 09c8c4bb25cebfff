#include <plumsill/request_hold.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
// Where control has published nothing for several intervals, it has stood still too, and doesn't know yet. Half of the caller's time is left for
// the service, or for another daemon after a refusal.
TimePoint holdUntil(const KeyCheckState &state, std::optional<Duration> callerTime, TimePoint arrivedAt, TimePoint now)
{
    const bool stoodStill = now - state.publishedAt > 3 * config::PublishInterval;
    if (now < state.trustedUntil || (now >= state.proofExpectedUntil && !stoodStill)) {
        return arrivedAt;
    }
    const TimePoint expected = std::max<TimePoint>(state.proofExpectedUntil, arrivedAt + config::ProofAfterPause);
    return callerTime ? std::min<TimePoint>(expected, arrivedAt + *callerTime / 2) : expected;
}
}
