#include <plumsill/rejected_entries.h>

#include <utility>

namespace plumsill
{
std::vector<RejectedEntry> RejectedEntries::record(const std::vector<RejectedEntry> &rejected)
{
    std::vector<RejectedEntry> newEntries;
    std::set<RejectedEntry> reported;
    for (const auto &entry : rejected) {
        if (m_reported.contains(entry)) {
            reported.insert(entry);
        } else if (newEntries.size() < MaxNew && reported.insert(entry).second) {
            newEntries.push_back(entry);
        }
    }
    m_reported = std::move(reported);
    m_count = rejected.size();
    return newEntries;
}
}
