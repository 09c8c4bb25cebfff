#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <compare>
#include <cstdint>
#include <optional>

/// Reads of the directory, so that their number does not grow with the fleet: one hub reads for all daemons, and each other
/// daemon gets the data from its hub.
namespace plumsill
{
/// What a daemon knows when it decides on its reads.
struct ReadState {
    bool readsForFleet = false; ///< this daemon is the hub that reads for the fleet
    std::optional<TimePoint> documentProvedAt; ///< time for which the document is proved to be the newest; none before the first document
    std::optional<TimePoint> listReadAt; ///< time of the read that the list of targets came from; none before the first list
    std::optional<TimePoint> hubChosenAt; ///< when another daemon was chosen as hub; none while no hub is known or it is this daemon
    bool isHub = false; ///< this daemon is the hub of its zone
    std::optional<TimePoint> newerKnownSince; ///< when a document newer than the held one was known to exist; none while there is none

    auto operator<=>(const ReadState &) const = default;
};

/// Reads that are due.
struct DueReads {
    bool document = false;
    bool targets = false;

    auto operator<=>(const DueReads &) const = default;
};

/// Whether a newer document has been known for so long that its relay by a hub must have failed.
bool relayOverdue(const ReadState &state, TimePoint now);

/// Decides which reads are due. @p startedAt: start of the daemon.
DueReads dueReads(const ReadState &state, TimePoint startedAt, TimePoint now);

/// Time of the next decision on reads after one at @p now: after one interval, or when the relay of a newer document becomes overdue.
TimePoint nextReadCheck(const ReadState &state, TimePoint now);

/// What a starting daemon has learnt from others about the document.
struct StartState {
    std::uint64_t newest = 0; ///< highest version that other daemons have told of; 0: none
    bool proves = false; ///< the read shows the newest version
};

/// Whether a daemon without a document may put the one of @p version, which it has read, into force. The store may have come back from an
/// older copy.
bool mayAdoptFirstRead(const StartState &state, std::uint64_t version);

/// Paces the reads of a daemon that does not read for the fleet. While the directory is down, the data of all hubs grows old,
/// and all daemons would read it at once and again and again.
class ReadBackoff
{
public:
    bool allowed(TimePoint now) const { return now >= m_next; }
    /// Records the result of a read. @p random: random number from 0 to 1, which spreads the next reads of many daemons.
    void record(bool succeeded, double random, TimePoint now);
    /// Records that a hub relayed data that the directory returned at @p readAt, after which a pause has no reason.
    void recordRelayed(TimePoint readAt);

private:
    Duration m_pause {};
    TimePoint m_failedAt;
    TimePoint m_next;
};
}
