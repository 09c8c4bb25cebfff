#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <map>
#include <vector>

namespace plumsill
{
/// Idle connections to one target that daemons likely keep open, as a scheduler sees them from the ends of attempts.
class KeptConnections
{
public:
    /// Whether a request of the daemon can likely use one of its connections.
    bool usable(const InstanceName &daemon, bool idempotent, TimePoint now) const;
    /// Records that a request of the daemon was sent, which takes the connection that was used last. Returns whether there was a usable one.
    bool take(const InstanceName &daemon, bool idempotent, TimePoint now);
    /// Records a complete answer to a request of the daemon: its connection is idle.
    void add(const InstanceName &daemon, TimePoint now);

private:
    std::map<InstanceName, std::vector<TimePoint>> m_idle; ///< times of the last answers, in ascending order
};
}
