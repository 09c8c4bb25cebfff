#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plumsill
{
/// Whether both entries describe the same run of a target: same endpoint, service and start time.
bool sameRun(const Target &a, const Target &b);

/// The targets of the map, in the order of their names.
std::vector<Target> targetsOf(const std::map<TargetName, Target> &byName);

/// Changes of a list since an earlier revision.
struct ListChanges {
    std::vector<Target> changed; ///< added targets, and targets whose entry changed
    std::vector<TargetName> removed;

    auto operator<=>(const ListChanges &) const = default;
};

/// A read that gave another daemon its list of targets, as one of its messages tells of it.
struct RelayedRead {
    InstanceName daemon;
    TimePoint writtenAt; ///< when the message was written, or earlier
    Duration age {}; ///< time since the start of the read
    Duration graceLeft {}; ///< for so long the daemon keeps targets that an outage may have made expire

    auto operator<=>(const RelayedRead &) const = default;
};

/// The existing targets, from successive reads of the platform's listing.
class TargetList
{
public:
    /// Applies the result of a read that was sent at @p sentAt and answered at @p now by a store of @p era (0: unknown). A read that is not
    /// newer than the last one is ignored; the result is then false. The return of a store from a copy counts as an outage.
    bool read(const std::vector<Target> &targets, TimePoint sentAt, TimePoint now, StoreEra era = 0);
    /// Records that this process stood still for @p pause, which is no outage of the store.
    void recordPause(Duration pause) { m_paused += pause; }
    /// Takes over the grace period of another daemon, which has noticed an outage or a new era; this list then keeps missing targets as long.
    /// Returns false if that daemon's list must not be taken over: the reads of this list show that there was no outage, so the other has
    /// targets that are gone. @p eraSince: start of the store's era; none where it is not known to have changed.
    bool recordRelayed(const RelayedRead &relayed, TimePoint now, std::optional<TimePoint> eraSince = {});
    /// Records that another daemon's read, sent at @p sentAt, showed the same list. Targets kept for an outage are removed if the read was
    /// sent after the grace period.
    void confirm(TimePoint sentAt);
    /// Targets in use or leaving. After an outage of the platform, targets missing from its listing are kept for a grace
    /// period, so that their entries, which may have expired in the outage, can be written again.
    std::vector<Target> targets() const { return targetsOf(m_targets); }
    /// Target of that name; null if none is listed.
    const Target *find(const TargetName &name) const;
    /// Whether the run of a target at that endpoint was listed earlier and no longer is.
    bool wasRemoved(const TargetName &name, const Endpoint &endpoint) const;
    /// Changes after that revision; none if they are no longer kept.
    std::optional<ListChanges> changesSince(std::uint64_t revision) const;
    /// Revision of the list; incremented with each change.
    std::uint64_t revision() const { return m_revision; }
    /// Highest era of the store of which a list was applied; 0: unknown.
    StoreEra era() const { return m_era; }
    /// Number of targets that the last read didn't list and that are kept for an outage.
    std::size_t kept() const { return m_kept.size(); }
    /// Time for which targets that an outage may have made expire are still kept; zero if there was none.
    Duration graceLeft(TimePoint now) const;
    /// Time at which the newest read was sent; none before the first.
    std::optional<TimePoint> readAt() const { return m_readAt; }

private:
    struct Change {
        std::uint64_t revision = 0;
        TargetName name;
    };

    void recordChange(const TargetName &name);

    struct Removed {
        Target entry; ///< the last one
        StoreEra era = 0; ///< highest era known when the target was removed
    };

    void recordRead(TimePoint sentAt);
    /// Whether reads without the gap of an outage show that the platform answered right before @p time.
    bool readUpTo(TimePoint time) const;
    bool isOutdated(const Target &target, StoreEra era) const;
    void recordRemoved(const Target &target);
    void discardOldChanges();

    std::map<TargetName, Target> m_targets;
    std::set<TargetName> m_kept; ///< targets that the last read didn't list and that are kept for an outage
    std::map<TargetName, Removed> m_removed; ///< targets that are no longer listed
    std::deque<TargetName> m_removedOrder; ///< their names, oldest first
    StoreEra m_era = 0;
    std::deque<Change> m_changes; ///< oldest first
    std::uint64_t m_discardedRevision = 0; ///< revision up to which changes were discarded
    std::optional<TimePoint> m_readAt;
    TimePoint m_readSince; ///< first of the reads up to m_readAt with no gap of an outage between them
    std::map<InstanceName, TimePoint> m_refusedUntil; ///< by daemon: its lists read before then are not taken over
    std::optional<TimePoint> m_graceUntil; ///< end of the grace period after an outage
    Duration m_paused {}; ///< time since the last read in which this process stood still
    std::uint64_t m_revision = 0;
};
}
