#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstddef>
#include <optional>

/// What a daemon does when the store has come back from a copy: the copy may lack entries of live daemons and the peer secret.
namespace plumsill
{
/// Time over which a fleet spreads the writes of its entries, so that their number in a second doesn't grow with the fleet.
Duration rewriteSpread(std::size_t daemons);

/// Write of this daemon's entry after a new era of the store, and trust in the registry until all have written theirs.
class RegistryRewrite
{
public:
    /// Records the store's era. The first one is that in which this daemon has enrolled. @p random: from 0 to 1, the place of this daemon's
    /// write in the spread over @p daemons.
    void recordEra(StoreEra era, std::size_t daemons, double random, TimePoint now);
    /// Whether this daemon's entry is to be written.
    bool due(TimePoint now) const { return m_writeAt && now >= *m_writeAt; }
    void recordWritten() { m_writeAt.reset(); }
    /// Whether the registry may lack entries of live daemons.
    bool mayLackEntries(TimePoint now) const { return m_lacksUntil && now < *m_lacksUntil; }
    /// Records a read of the registry.
    void recordRead(TimePoint now);
    /// Whether each read so far may have lacked entries, so that this daemon may know only some of the others.
    bool knowsPart() const { return m_knowsPart; }

private:
    StoreEra m_era = 0;
    std::optional<TimePoint> m_writeAt;
    std::optional<TimePoint> m_lacksUntil;
    bool m_read = false;
    bool m_knowsPart = false;
};
}
