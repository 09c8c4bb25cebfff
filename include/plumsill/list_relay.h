#pragma once

#include <plumsill/messages.h>
#include <plumsill/target_list.h>
#include <plumsill/types.h>

#include <map>
#include <optional>
#include <vector>

namespace plumsill
{
/// A list of targets that another daemon has.
struct ListSource {
    MemberId daemon;
    std::uint64_t revision = 0;

    auto operator<=>(const ListSource &) const = default;
};

/// Answer to a daemon that asked for the list, or for its changes.
ListReply listReply(const TargetList &list, const MemberId &self, const ListRequest &request, TimePoint now);

/// Another daemon's list, kept up by its changes.
class RelayedList
{
public:
    /// What to ask that daemon for.
    ListRequest request(const InstanceName &daemon) const;
    /// Takes over the reply of that daemon; false for changes of a list that isn't held: ask for the whole.
    bool apply(const InstanceName &daemon, const ListReply &reply);
    std::optional<ListSource> source() const { return m_source; }
    std::vector<Target> targets() const { return targetsOf(m_targets); }

private:
    std::optional<ListSource> m_source;
    std::map<TargetName, Target> m_targets;
};
}
