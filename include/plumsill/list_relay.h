#pragma once

#include <plumsill/messages.h>
#include <plumsill/target_list.h>
#include <plumsill/types.h>

#include <map>
#include <optional>
#include <vector>

namespace plumsill
{
/// Revision of the target list of another daemon.
struct ListSource {
    MemberId daemon;
    std::uint64_t revision = 0;

    auto operator<=>(const ListSource &) const = default;
};

/// Answer to a daemon that requested the list or its changes. @p list: list of this daemon, @p self.
ListReply listReply(const TargetList &list, const MemberId &self, const ListRequest &request, TimePoint now);

/// Copy of another daemon's target list, updated by the changes that daemon sends.
class RelayedList
{
public:
    /// Request for the changes since the held revision, or for the complete list if no list of that daemon is held.
    ListRequest request(const InstanceName &daemon) const;
    /// Applies the reply of that daemon. Returns false if it contains only changes of a list that is not held. The complete
    /// list must then be requested.
    bool apply(const InstanceName &daemon, const ListReply &reply);
    /// Daemon and revision of the held list; none before the first reply.
    std::optional<ListSource> source() const { return m_source; }
    std::vector<Target> targets() const { return targetsOf(m_targets); }

private:
    std::optional<ListSource> m_source;
    std::map<TargetName, Target> m_targets;
};
}
