#include <plumsill/kept_connections.h>

#include <plumsill/config.h>

namespace plumsill
{
// The ages are those of reusable(). What a target announces is known to the daemon only, so an old connection may be gone.
bool KeptConnections::usable(std::uint32_t daemon, bool idempotent, TimePoint now) const
{
    const auto found = m_idle.find(daemon);
    return found != m_idle.end() && !found->second.empty()
        && now - found->second.back() < (idempotent ? Duration(config::MaxTargetConnectionIdle) : Duration(config::FreshConnectionAge));
}

bool KeptConnections::take(std::uint32_t daemon, bool idempotent, TimePoint now)
{
    const bool reuses = usable(daemon, idempotent, now);
    if (reuses) {
        m_idle[daemon].pop_back();
    }
    return reuses;
}

void KeptConnections::add(std::uint32_t daemon, TimePoint now)
{
    if (now - m_cleanedAt >= config::MaxTargetConnectionIdle) {
        m_cleanedAt = now;
        std::erase_if(m_idle, [now](const auto &entry) { return entry.second.empty() || now - entry.second.back() >= config::MaxTargetConnectionIdle; });
    }
    auto &idle = m_idle[daemon];
    idle.push_back(now);
    if (idle.size() > config::MaxConnectionsPerTarget) {
        idle.erase(idle.begin());
    }
}
}
