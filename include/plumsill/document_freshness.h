#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>
#include <optional>

namespace plumsill
{
/// Freshness of the document in force: the newest known version, and the latest time at which no newer version existed.
class DocumentFreshness
{
public:
    /// Records that a read sent at @p sentAt found @p version in a store of @p era (0: unknown). A version above the held one makes a
    /// fetch due. A read shortly after the store's return from a copy proves nothing.
    void recordVersion(std::uint64_t version, TimePoint sentAt, StoreEra era = 0);
    /// Records that the store was in @p era at @p seenAt. If an earlier era is known, the store has come back from a copy since.
    void recordEra(StoreEra era, TimePoint seenAt);
    /// Records what another daemon knows of the current era: it began at @p since.
    void recordEraStart(StoreEra era, TimePoint since);
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
    /// When the store was first seen in that era; none if no earlier era is known.
    std::optional<TimePoint> eraStart() const { return m_eraStart; }
    /// Time of the first read that found a version above the held one; none while no such version is known.
    std::optional<TimePoint> newerKnownSince() const { return fetchDue() ? m_newerKnownSince : std::nullopt; }
    /// Latest time at which no version above the held one existed; none before a read has confirmed that. A version above the
    /// held one keeps this time from advancing until it is adopted.
    std::optional<TimePoint> currentAt() const { return m_heldProvedAt; }

private:
    bool provesNothing(TimePoint sentAt) const;

    std::uint64_t m_held = 0;
    std::uint64_t m_newest = 0;
    std::optional<TimePoint> m_newerKnownSince;
    std::optional<TimePoint> m_newestProvedAt; ///< latest time at which m_newest was known to be the newest version
    std::optional<TimePoint> m_heldProvedAt;
    StoreEra m_era = 0;
    std::optional<TimePoint> m_eraStart;
};
}
