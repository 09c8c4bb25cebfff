#include <plumsill/document_freshness.h>

#include <algorithm>

namespace plumsill
{
namespace
{
// Time in which a store that has come back from a copy may still lack a document that was acknowledged before: operators and targets
// write again what it has lost.
constexpr auto RewriteTime = std::chrono::seconds(2);
}

// A read in the current era that was sent before the latest possible start of that era counts as one after it: the store may have come
// back while the read was under way.
bool DocumentFreshness::proves(TimePoint sentAt, StoreEra era) const
{
    if (m_firstEra || !m_eraSince) {
        return true;
    }
    const bool before = era != m_era && sentAt < *m_eraSince;
    return before || sentAt >= *m_eraSince + RewriteTime;
}

// A daemon that starts can't know how long the store has been in the era that it finds, so its first answer counts as the era's start.
void DocumentFreshness::recordEra(StoreEra era, TimePoint seenAt)
{
    if (era > m_era) {
        m_firstEra = m_era == 0 && m_fleetStart == FleetStart::First;
        m_era = era;
        m_eraSince = seenAt;
    }
}

// The first start of the fleet is one no longer if another daemon has seen the store in this era before: the daemon takes the proofs of
// its own reads back.
void DocumentFreshness::recordEraStart(StoreEra era, TimePoint since)
{
    if (era < m_era || (era == m_era && m_eraSince && *m_eraSince <= since)) {
        return;
    }
    m_era = era;
    m_eraSince = since;
    m_firstEra = false;
    for (auto *proof : {&m_newestProvedAt, &m_heldProvedAt}) {
        if (*proof && !proves(**proof, 0)) {
            proof->reset();
        }
    }
}

void DocumentFreshness::recordSettledEra(StoreEra era, TimePoint now)
{
    if (era > 0 && !m_firstEra) {
        recordEraStart(era, now - RewriteTime);
    }
}

StoreEra DocumentFreshness::settledEra(TimePoint now) const
{
    return m_era > 0 && proves(now, m_era) ? m_era : 0;
}

void DocumentFreshness::recordNewer(std::uint64_t version, TimePoint now)
{
    if (version <= m_newest) {
        return;
    }
    if (version > m_held && m_newest <= m_held) {
        m_newerKnownSince = now;
    }
    m_newest = version;
    m_newestProvedAt.reset();
}

// A read that found a version below the newest known one does not prove freshness, so it is ignored.
void DocumentFreshness::recordVersion(std::uint64_t version, TimePoint sentAt, StoreEra era)
{
    recordEra(era, sentAt);
    if (version < m_newest) {
        return;
    }
    recordNewer(version, sentAt);
    if (!proves(sentAt, era)) {
        return;
    }
    m_newestProvedAt = std::max(m_newestProvedAt.value_or(sentAt), sentAt);
    if (m_held == m_newest) {
        m_heldProvedAt = m_newestProvedAt;
    }
}

// If no version above the previous one existed at some time, then none above the adopted version did, so the proof is kept.
bool DocumentFreshness::adopt(std::uint64_t version)
{
    if (version <= m_held) {
        return false;
    }
    m_held = version;
    if (version > m_newest) {
        m_newest = version;
        m_newestProvedAt.reset();
    }
    if (version == m_newest && m_newestProvedAt) {
        m_heldProvedAt = m_newestProvedAt;
    }
    return true;
}
}
