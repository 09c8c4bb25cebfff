#include <plumsill/kept_connections.h>

#include <plumsill/config.h>

namespace plumsill
{
// The ages are those of reusable(). What a target announces is known to the daemon only, so an old connection may be gone.
bool KeptConnections::usable(const InstanceName &daemon, bool idempotent, TimePoint now) const
{
    const auto found = m_idle.find(daemon);
    return found != m_idle.end() && !found->second.empty()
        && now - found->second.back() < (idempotent ? Duration(config::MaxTargetConnectionIdle) : Duration(config::FreshConnectionAge));
}

bool KeptConnections::take(const InstanceName &daemon, bool idempotent, TimePoint now)
{
    const bool reuses = usable(daemon, idempotent, now);
    if (reuses) {
        m_idle[daemon].pop_back();
    }
    return reuses;
}

void KeptConnections::add(const InstanceName &daemon, TimePoint now)
{
    auto &idle = m_idle[daemon];
    idle.push_back(now);
    if (idle.size() > config::MaxConnectionsPerTarget) {
        idle.erase(idle.begin());
    }
}
}
