#pragma once

#include <plumsill/clock.h>

#include <cstdint>
#include <optional>

namespace plumsill
{
/// What is known of the newest document: its version, and the latest time at which no newer one existed.
class DocumentFreshness
{
public:
    /// A read that was sent at @p sentAt found @p version; a later version than the held one asks for a fetch.
    void proved(std::uint64_t version, TimePoint sentAt);
    /// The document of @p version is in force here from now on. Lower versions are refused.
    bool adopt(std::uint64_t version);

    std::uint64_t held() const { return m_held; }
    /// Highest version that is known to exist.
    std::uint64_t newest() const { return m_newest; }
    bool fetchDue() const { return m_newest > m_held; }
    /// Latest time at which the held version was the newest; none while a later one is known or nothing is proved.
    std::optional<TimePoint> currentAt() const;

private:
    std::uint64_t m_held = 0;
    std::uint64_t m_newest = 0;
    std::optional<TimePoint> m_provedAt; ///< of m_newest
};
}
