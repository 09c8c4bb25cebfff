#include <plumsill/config.h>
#include <plumsill/registry_rewrite.h>

#include <algorithm>

namespace plumsill
{
Duration rewriteSpread(std::size_t daemons)
{
    return std::max<Duration>(config::MinRewriteSpread, fromSeconds(static_cast<double>(daemons) / config::RewritesPerSecond));
}

// The others may learn of the era a little later than this daemon, and each checks at an interval whether its write is due.
void RegistryRewrite::recordEra(StoreEra era, std::size_t daemons, double random, TimePoint now)
{
    if (m_era != 0 && era > m_era) {
        const Duration spread = rewriteSpread(daemons);
        m_writeAt = now + std::chrono::duration_cast<Duration>(spread * random);
        m_lacksUntil = now + spread + config::RewriteMargin;
    }
    m_era = std::max(m_era, era);
}

// A daemon that has read the registry before the loss keeps what it knew then.
void RegistryRewrite::recordRead(TimePoint now)
{
    m_knowsPart = (m_knowsPart || !m_read) && mayLackEntries(now);
    m_read = true;
}
}
