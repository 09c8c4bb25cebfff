#pragma once

#include <compare>

#include <cstdint>

namespace plumsill
{
/// Recent load of a service as a request of some priority finds it.
struct UrgentLoad {
    double arrivals = 0; ///< requests of higher priorities per second
    double completions = 0; ///< slots that become free per second
    unsigned slots = 0; ///< slots of all targets in use

    auto operator<=>(const UrgentLoad &) const = default;
};

/// Number of free slots that requests of a lower priority leave to those of higher ones: what may arrive within config::UrgentSlotTime beyond
/// the slots that become free meanwhile. At most half of the slots; none while nothing urgent has arrived lately.
unsigned reservedSlots(const UrgentLoad &load);
}
