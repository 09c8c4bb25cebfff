#include "zone_p.h"

#include <plumsill/event.h>

#include <map>
#include <string>

// Log lines and metrics of the budgets of repeats.
namespace plumsill
{
void ZoneControl::logRepeatChanges(TimePoint now)
{
    for (const auto &[service, budget] : m_scheduler.repeatBudgets()) {
        if (const auto change = budget->takeChange(now)) {
            Event("traffic", *change == RepeatChange::BecameShort ? "repeats-short" : "repeats-recovered")
                .add("service", service.value)
                .add("left", static_cast<std::int64_t>(budget->left(now)));
        }
    }
}

void ZoneControl::addRepeatGauges(std::vector<Gauge> &gauges, TimePoint now)
{
    std::map<RepeatClass, RepeatCounts> sums;
    double shortServices = 0;
    double left = 0;
    for (const auto &[service, budget] : m_scheduler.repeatBudgets()) {
        for (const auto &[repeats, counts] : budget->counts()) {
            sums[repeats].allowed += counts.allowed;
            sums[repeats].refused += counts.refused;
        }
        shortServices += budget->isShort(now) ? 1 : 0;
        left += budget->left(now);
    }
    const auto labels
        = [](const RepeatClass &repeats) { return "priority=\"" + std::to_string(repeats.priority) + "\",kind=\"" + toString(repeats.kind) + "\""; };
    for (const auto &[repeats, counts] : sums) {
        gauges.push_back({"plumsill_repeats_allowed", static_cast<double>(counts.allowed), labels(repeats)});
    }
    for (const auto &[repeats, counts] : sums) {
        gauges.push_back({"plumsill_repeats_refused", static_cast<double>(counts.refused), labels(repeats)});
    }
    gauges.push_back({"plumsill_repeats_left", left});
    gauges.push_back({"plumsill_services_short_of_repeats", shortServices});
}
}
