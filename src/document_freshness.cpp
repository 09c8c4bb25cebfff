#include <plumsill/document_freshness.h>

#include <algorithm>

namespace plumsill
{
// A read that found a version below the newest known one does not prove freshness, so it is ignored.
void DocumentFreshness::recordVersion(std::uint64_t version, TimePoint sentAt, StoreEra /*era*/)
{
    if (version < m_newest) {
        return;
    }
    if (version > m_held && m_newest <= m_held) {
        m_newerKnownSince = sentAt;
    }
    m_newestProvedAt = version > m_newest || !m_newestProvedAt ? sentAt : std::max(*m_newestProvedAt, sentAt);
    m_newest = version;
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
