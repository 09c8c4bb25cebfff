#pragma once

#include <plumsill/clock.h>

#include <optional>

/// How long a request waits at a daemon that can't check its key yet, but expects to in a moment.
namespace plumsill
{
/// Time after its start for which a daemon holds requests: the longest start without answers of other zones, and a transfer.
inline constexpr Duration StartHoldTime = std::chrono::milliseconds(1200);

/// What a traffic thread knows of the daemon's ability to check keys.
struct KeyCheckState {
    TimePoint trustedUntil; ///< until then keys can be checked
    TimePoint publishedAt = TimePoint::max(); ///< time of the newest snapshot
    TimePoint proofExpectedUntil; ///< after a start or a pause of the process: time until which a confirmation of the keys is expected
};

/// Time until which a request that arrived at @p arrivedAt waits for its key to be checked; not after @p now where it is to be refused. @p callerTime:
/// time that the caller gives it, where stated.
TimePoint holdUntil(const KeyCheckState &state, std::optional<Duration> callerTime, TimePoint arrivedAt, TimePoint now);
}
