#pragma once

#include <plumsill/clock.h>

#include <cstdint>
#include <map>
#include <vector>

namespace plumsill
{
/// Idle connections to one target that daemons likely keep open, as a scheduler sees them from the ends of attempts. Daemons are given
/// by shortHash() of their names.
class KeptConnections
{
public:
    /// Whether a request of the daemon can likely use one of its connections.
    bool usable(std::uint32_t daemon, bool idempotent, TimePoint now) const;
    /// Records that a request of the daemon was sent, which takes the connection that was used last. Returns whether there was a usable one.
    bool take(std::uint32_t daemon, bool idempotent, TimePoint now);
    /// Records a complete answer to a request of the daemon: its connection is idle.
    void add(std::uint32_t daemon, TimePoint now);

private:
    std::map<std::uint32_t, std::vector<TimePoint>> m_idle; ///< times of the last answers, in ascending order
    TimePoint m_cleanedAt;
};
}
