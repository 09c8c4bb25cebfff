#include <plumsill/read_plan.h>

#include <plumsill/config.h>

#include <algorithm>

namespace plumsill
{
namespace
{
// Time for which a daemon waits for the first data of its hub: the answer to one lost and one repeated heartbeat.
constexpr Duration HubPatience = 2 * config::MemberHeartbeatInterval;

// Time for which a daemon waits for the relay of a newer document: the spread of the members' fetches, and a transfer that takes as long.
constexpr Duration RelayPatience = 2 * config::DocumentFetchSpread + std::chrono::milliseconds(200);

// Pause after the first failed read, doubled after each further one. The hubs, which read on without a pause, relay the
// data as soon as the directory answers again.
constexpr Duration MinReadPause = std::chrono::milliseconds(1000);
constexpr Duration MaxReadPause = std::chrono::milliseconds(4000);

bool waitsForHub(const ReadState &state, TimePoint startedAt, TimePoint now)
{
    if (state.isHub || state.readsForFleet) {
        return false;
    }
    const TimePoint until = state.hubChosenAt ? *state.hubChosenAt + HubPatience : startedAt + config::FleetStartTime + HubPatience;
    return now < until;
}

bool due(bool readsForFleet, bool waits, std::optional<TimePoint> knownAt, Duration maxAge, TimePoint now)
{
    return readsForFleet || (knownAt ? now - *knownAt > maxAge : !waits);
}
}

bool relayOverdue(const ReadState &state, TimePoint now)
{
    return state.newerKnownSince && now - *state.newerKnownSince > RelayPatience;
}

// Without the wait, a restart of many daemons would make each of them read everything from the directory, although the
// hubs can send it to them as soon as one daemon has read it.
DueReads dueReads(const ReadState &state, TimePoint startedAt, TimePoint now)
{
    const bool waits = waitsForHub(state, startedAt, now);
    return {due(state.readsForFleet, waits, state.documentProvedAt, config::RelayedProofMaxAge, now) || relayOverdue(state, now),
            due(state.readsForFleet, waits, state.listReadAt, config::RelayedListMaxAge, now)};
}

bool mayAdoptFirstRead(const StartState &state, std::uint64_t version)
{
    return version >= state.newest && (state.proves || state.newest > 0);
}

TimePoint nextReadCheck(const ReadState &state, TimePoint now)
{
    const bool starting = !state.documentProvedAt || !state.listReadAt;
    const TimePoint next = now + (starting ? Duration(config::ControlTick) : Duration(config::DocumentReadInterval));
    const TimePoint overdueAt = state.newerKnownSince.value_or(now) + RelayPatience + std::chrono::milliseconds(1);
    return state.newerKnownSince && overdueAt > now ? std::min(next, overdueAt) : next;
}

void ReadBackoff::record(bool succeeded, double random, TimePoint now)
{
    if (succeeded) {
        *this = {};
        return;
    }
    m_pause = std::clamp(2 * m_pause, MinReadPause, MaxReadPause);
    m_failedAt = now;
    m_next = now + fromSeconds(seconds(m_pause) * (0.75 + random / 2));
}

void ReadBackoff::recordRelayed(TimePoint readAt)
{
    if (readAt > m_failedAt) {
        *this = {};
    }
}
}
