#pragma once

#include <plumsill/zone_messages.h>

#include <cstdint>
#include <map>

namespace plumsill
{
/// What a scheduler has decided on requests of one priority since its start.
struct AdmissionCount {
    std::uint64_t placed = 0;
    std::uint64_t waited = 0; ///< requests that were queued, whatever became of them
    std::uint64_t overRate = 0;
    std::uint64_t unknownTeam = 0;
    std::map<CapacityReason, std::uint64_t> refused;

    auto operator<=>(const AdmissionCount &) const = default;
};

/// By priority (see requestPriority()).
using AdmissionCounts = std::map<unsigned, AdmissionCount>;
}
