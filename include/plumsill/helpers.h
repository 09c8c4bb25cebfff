#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

/// Choice of the daemon that passes requests on for a daemon that can't reach the targets itself.
namespace plumsill
{
/// Daemon that can open connections to targets for another one.
struct Helper {
    InstanceName name;
    Endpoint peer; ///< its port for messages between daemons

    auto operator<=>(const Helper &) const = default;
};

struct HelperCandidate {
    Helper helper;
    unsigned rank = 0; ///< candidates of a lower rank are chosen first
    std::set<std::uint32_t> outOfReach {}; ///< services that it does not reach itself, by shortHash() of their names

    auto operator<=>(const HelperCandidate &) const = default;
};

/// Daemons that may help. Spreads those that ask over those of the lowest rank, bounds the requests that run at each, and leaves
/// out for a while those that could not help.
class HelperPool
{
public:
    void setCandidates(std::vector<HelperCandidate> candidates);
    /// Helper for the requests of @p asker to @p service; none where nobody can help. An asker gets the same one as long as it can help, so
    /// that its open connections are used again.
    std::optional<Helper> choose(const InstanceName &asker, const ServiceName &service, TimePoint now) const;
    void recordStart(const InstanceName &helper) { ++m_running[helper]; }
    void recordEnd(const InstanceName &helper);
    /// Records that the daemon refused to help or could not be reached.
    void recordUnavailable(const InstanceName &helper, TimePoint now);

private:
    std::vector<HelperCandidate> m_candidates;
    std::map<InstanceName, unsigned> m_running; ///< requests that run through each helper
    std::map<InstanceName, TimePoint> m_unavailableUntil;
};
}
