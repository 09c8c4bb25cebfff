#pragma once

#include <plumsill/clock.h>
#include <plumsill/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace plumsill
{
/// Whether both tell of the same run of a target.
bool sameRun(const Target &a, const Target &b);

/// Targets by name, in the order of their names.
std::vector<Target> targetsOf(const std::map<TargetName, Target> &byName);

/// What happened to a list since an earlier revision of it.
struct ListChanges {
    std::vector<Target> changed; ///< came, or are no longer what they were
    std::vector<TargetName> gone;

    auto operator<=>(const ListChanges &) const = default;
};

/// The targets that exist, from successive reads of the platform's list.
class TargetList
{
public:
    /// Takes over what a read showed that was sent at @p sentAt and answered at @p now; older reads change nothing.
    void read(const std::vector<Target> &targets, TimePoint sentAt, TimePoint now);
    /// Another daemon's read, sent at @p sentAt, showed the same list.
    void confirm(TimePoint sentAt);
    /// Targets in use or leaving; one that the list lost after an outage stays until it had time to come back.
    std::vector<Target> targets() const { return targetsOf(m_targets); }
    /// The target of that name; null: none is listed.
    const Target *find(const TargetName &name) const;
    /// What changed after that revision; none where that is too long ago to be known.
    std::optional<ListChanges> changesSince(std::uint64_t revision) const;
    /// Rises with each change.
    std::uint64_t revision() const { return m_revision; }
    /// When the newest read was sent; none before the first.
    std::optional<TimePoint> readAt() const { return m_readAt; }

private:
    struct Change {
        std::uint64_t revision = 0;
        TargetName name;
    };

    void note(const TargetName &name);

    std::map<TargetName, Target> m_targets;
    std::deque<Change> m_changes; ///< oldest first
    std::uint64_t m_forgotten = 0; ///< revision up to which changes are no longer known
    std::optional<TimePoint> m_readAt;
    std::optional<TimePoint> m_graceUntil;
    std::uint64_t m_revision = 0;
};
}
