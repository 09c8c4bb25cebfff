#include <plumsill/config.h>
#include <plumsill/repeat_budget.h>

#include <algorithm>
#include <limits>

namespace plumsill
{
namespace
{
constexpr double MaxFloor = 10; // repeats; bounds what a priority that was quiet for long takes at once
}

const char *toString(RepeatKind kind)
{
    switch (kind) {
    case RepeatKind::Retry:
        return "retry";
    case RepeatKind::Hedge:
        return "hedge";
    }
    return "";
}

double RepeatBudget::neededForRetries(unsigned priorities, double margin, TimePoint now)
{
    double perSecond = 0;
    for (auto entry = m_retries.begin(); entry != m_retries.end() && entry->first < priorities; ++entry) {
        perSecond += entry->second.value(now);
    }
    return m_counter.neededFor(perSecond * margin, now);
}

// The order: retries that are answered in time, by priority; in each priority then those that are late; at the end hedges, and
// retries whose answer would find no caller.
double RepeatBudget::reserved(const RepeatWish &wish, TimePoint now)
{
    if (wish.kind == RepeatKind::Hedge || wish.timing == RepeatTiming::TooLate) {
        return neededForRetries(std::numeric_limits<unsigned>::max(), config::RepeatHedgeMargin, now);
    }
    return neededForRetries(wish.timing == RepeatTiming::InTime ? wish.priority : wish.priority + 1, 1, now);
}

// For each repeat, every less urgent priority that asks for repeats too gets a part of one, which it may use in spite of the reserve.
void RepeatBudget::grantFloor(unsigned priority, TimePoint now)
{
    for (auto entry = m_retries.upper_bound(priority); entry != m_retries.end(); ++entry) {
        if (entry->second.value(now) > config::MinReportedDemand) {
            double &floor = m_floor[entry->first];
            floor = std::min(floor + config::RepeatFloorShare, MaxFloor);
        }
    }
}

bool RepeatBudget::decide(const RepeatWish &wish, TimePoint now)
{
    const bool hasRoom = m_counter.left(now) >= 1 + reserved(wish, now);
    const bool mayUseFloor = wish.kind == RepeatKind::Retry && wish.timing == RepeatTiming::InTime;
    if (!hasRoom) {
        const auto floor = m_floor.find(wish.priority);
        if (!mayUseFloor || floor == m_floor.end() || floor->second < 1 || !m_counter.tryRepeat(now)) {
            return false;
        }
        floor->second -= 1;
        return true;
    }
    if (!m_counter.tryRepeat(now)) {
        return false;
    }
    if (mayUseFloor) {
        grantFloor(wish.priority, now);
    }
    return true;
}

bool RepeatBudget::tryRepeat(const RepeatWish &wish, TimePoint now)
{
    const bool countsAsNeeded = wish.kind == RepeatKind::Retry && wish.timing == RepeatTiming::InTime;
    if (countsAsNeeded) {
        m_retries[wish.priority].add(now);
    }
    const bool allowed = decide(wish, now);
    RepeatCounts &counts = m_counts[{wish.priority, wish.kind}];
    ++(allowed ? counts.allowed : counts.refused);
    if (!allowed) {
        m_refusedAt = now;
    }
    return allowed;
}

bool RepeatBudget::isShort(TimePoint now) const
{
    return m_refusedAt && now - *m_refusedAt < config::RepeatShortTime;
}

std::optional<RepeatChange> RepeatBudget::takeChange(TimePoint now)
{
    if (isShort(now) == m_reportedShort) {
        return std::nullopt;
    }
    m_reportedShort = !m_reportedShort;
    return m_reportedShort ? RepeatChange::BecameShort : RepeatChange::Recovered;
}
}
