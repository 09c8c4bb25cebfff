#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>
#include <optional>

namespace plumsill
{
/// Which start of the fleet a daemon takes part in.
enum class FleetStart
{
    First, ///< the whole fleet starts for the first time, so the store can't have lost anything yet
    Later
};

/// Freshness of the document in force: the newest known version, and the latest time at which no newer version existed.
class DocumentFreshness
{
public:
    explicit DocumentFreshness(FleetStart start = FleetStart::Later)
        : m_fleetStart(start)
    { }

    /// Records that a read sent at @p sentAt found @p version in a store of @p era (0: unknown). A version above the held one makes a
    /// fetch due. A read proves nothing as long as the store may lack what it has lost by a return from a copy.
    void recordVersion(std::uint64_t version, TimePoint sentAt, StoreEra era = 0);
    /// Records that another daemon holds @p version, which makes a fetch due if it is above the held one. It proves nothing.
    void recordNewer(std::uint64_t version, TimePoint now);
    /// Records that a call answered at @p seenAt found the store in @p era.
    void recordEra(StoreEra era, TimePoint seenAt);
    /// Records what another daemon knows of the current era: it began at @p since or earlier.
    void recordEraStart(StoreEra era, TimePoint since);
    /// Records that the registry calls @p era settled at @p now.
    void recordSettledEra(StoreEra era, TimePoint now);
    /// Whether a read sent at @p sentAt, answered by a store of @p era, shows the newest version.
    bool proves(TimePoint sentAt, StoreEra era) const;
    /// Records that the document of @p version is now in force. Returns false, without a change, unless @p version is above
    /// the held one.
    bool adopt(std::uint64_t version);

    /// Version of the document in force; 0 if there is none.
    std::uint64_t held() const { return m_held; }
    /// Highest version known to exist.
    std::uint64_t newest() const { return m_newest; }
    /// Whether a version above the held one is known.
    bool fetchDue() const { return m_newest > m_held; }
    /// Highest known era of the store; 0 if none is known.
    StoreEra era() const { return m_era; }
    /// Latest possible start of that era; none if the fleet's first start began in it.
    std::optional<TimePoint> eraStart() const { return m_firstEra ? std::nullopt : m_eraSince; }
    /// The era if it is settled at @p now: all writers have written again what the store lost at its start. 0 if it is not.
    StoreEra settledEra(TimePoint now) const;
    /// Time of the first read that found a version above the held one; none while no such version is known.
    std::optional<TimePoint> newerKnownSince() const { return fetchDue() ? m_newerKnownSince : std::nullopt; }
    /// Latest time at which no version above the held one existed; none before a read has confirmed that. A version above the
    /// held one keeps this time from advancing until it is adopted.
    std::optional<TimePoint> currentAt() const { return m_heldProvedAt; }

private:
    const FleetStart m_fleetStart;
    std::uint64_t m_held = 0;
    std::uint64_t m_newest = 0;
    std::optional<TimePoint> m_newerKnownSince;
    std::optional<TimePoint> m_newestProvedAt; ///< latest time at which m_newest was known to be the newest version
    std::optional<TimePoint> m_heldProvedAt;
    StoreEra m_era = 0;
    std::optional<TimePoint> m_eraSince; ///< latest possible start of m_era; none before the first answer of a store with eras
    bool m_firstEra = false; ///< the fleet's first start began in m_era
};
}
