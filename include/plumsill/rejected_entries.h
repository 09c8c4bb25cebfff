#pragma once

#include <compare>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace plumsill
{
/// Entry of the platform's listing that names no target to use.
struct RejectedEntry {
    std::string name; ///< empty: the name can't be read either
    std::string reason;

    auto operator<=>(const RejectedEntry &) const = default;
};

/// The rejected entries of successive reads of the listing.
class RejectedEntries
{
public:
    static constexpr std::size_t MaxNew = 16; ///< entries that one read reports

    /// Records the entries that the newest read rejected. Returns those to report: at most MaxNew that weren't reported for the same reason while they have
    /// been listed.
    std::vector<RejectedEntry> record(const std::vector<RejectedEntry> &rejected);
    /// Number of entries that the newest read rejected.
    std::size_t count() const { return m_count; }

private:
    std::set<RejectedEntry> m_reported; ///< those that the newest read rejected again
    std::size_t m_count = 0;
};
}
