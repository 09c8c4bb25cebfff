#pragma once

#include <algorithm>
#include <optional>

namespace plumsill
{
inline constexpr unsigned MaxPriority = 1000; ///< lowest priority that a team or a route can have; 0 is the highest

/// Priority of a request among all that wait, 0 first: by the priority of its team, and among teams of equal priority by that of its route. A
/// team without a priority has that of the route.
inline unsigned requestPriority(std::optional<unsigned> team, unsigned route)
{
    const unsigned first = std::min(team.value_or(route), MaxPriority);
    return first * (MaxPriority + 1) + std::min(route, MaxPriority);
}
}
