#include <plumsill/urgent_reserve.h>

#include <plumsill/config.h>

#include <algorithm>
#include <cmath>

namespace plumsill
{
// Arrivals within a short time are about Poisson distributed, so their variance is their mean.
unsigned reservedSlots(const UrgentLoad &load)
{
    const double time = std::chrono::duration<double>(config::UrgentSlotTime).count();
    const double arrivals = load.arrivals * time;
    if (arrivals < config::MinUrgentArrivals) {
        return 0;
    }
    const double needed = arrivals + config::UrgentDeviations * std::sqrt(arrivals) - load.completions * time;
    return static_cast<unsigned>(std::clamp(std::ceil(needed), 0.0, load.slots * config::MaxReservedShare));
}
}
