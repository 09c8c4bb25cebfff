#include <plumsill/zone_messages.h>

namespace plumsill
{
const char *toString(CapacityReason reason)
{
    switch (reason) {
    case CapacityReason::NoFreeTarget:
        return "no-free-target";
    case CapacityReason::RepeatBound:
        return "repeat-bound";
    case CapacityReason::Resting:
        return "targets-rest";
    case CapacityReason::QueueFull:
        return "queue-full";
    case CapacityReason::TooLate:
        return "too-late";
    case CapacityReason::Quarantined:
        return "quarantined";
    case CapacityReason::Unreachable:
        return "targets-unreachable";
    }
    return "";
}
}
