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

bool DocumentFreshness::provesNothing(TimePoint sentAt) const
{
    return m_eraStart && sentAt >= *m_eraStart && sentAt < *m_eraStart + RewriteTime;
}

void DocumentFreshness::recordEra(StoreEra era, TimePoint seenAt)
{
    if (era > m_era) {
        m_eraStart = m_era == 0 ? std::nullopt : std::optional(seenAt);
        m_era = era;
    }
}

// A daemon that has started in this era takes the proofs of its own reads back once another daemon tells when the era began.
void DocumentFreshness::recordEraStart(StoreEra era, TimePoint since)
{
    if (era < m_era || (era == m_era && m_eraStart && *m_eraStart <= since)) {
        return;
    }
    m_era = era;
    m_eraStart = since;
    for (auto *proof : {&m_newestProvedAt, &m_heldProvedAt}) {
        if (*proof && provesNothing(**proof)) {
            proof->reset();
        }
    }
}

// A read that found a version below the newest known one does not prove freshness, so it is ignored.
void DocumentFreshness::recordVersion(std::uint64_t version, TimePoint sentAt, StoreEra era)
{
    recordEra(era, sentAt);
    if (version < m_newest) {
        return;
    }
    if (version > m_held && m_newest <= m_held) {
        m_newerKnownSince = sentAt;
    }
    if (version > m_newest) {
        m_newestProvedAt.reset();
    }
    m_newest = version;
    if (provesNothing(sentAt)) {
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
