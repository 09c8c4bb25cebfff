#include <plumsill/document_freshness.h>

#include <algorithm>

namespace plumsill
{
// A read that found a version below the newest known one does not prove freshness, so it is ignored.
void DocumentFreshness::recordVersion(std::uint64_t version, TimePoint sentAt)
{
    if (version < m_newest) {
        return;
    }
    if (version > m_newest) {
        m_newest = version;
        m_provedAt = sentAt;
        return;
    }
    m_provedAt = m_provedAt ? std::max(*m_provedAt, sentAt) : sentAt;
}

bool DocumentFreshness::adopt(std::uint64_t version)
{
    if (version <= m_held) {
        return false;
    }
    m_held = version;
    if (version > m_newest) {
        m_newest = version;
        m_provedAt.reset();
    }
    return true;
}

std::optional<TimePoint> DocumentFreshness::currentAt() const
{
    return m_held > 0 && m_held == m_newest ? m_provedAt : std::nullopt;
}
}
