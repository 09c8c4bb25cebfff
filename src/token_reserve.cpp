#include <plumsill/token_reserve.h>

#include <plumsill/config.h>

namespace plumsill
{
double TokenReserve::reserved(unsigned priority, TimePoint now) const
{
    const auto own = m_priorities.find(priority);
    if (own != m_priorities.end() && own->second.owed >= 1) {
        return 0;
    }
    double arrivals = 0;
    for (const auto &[other, state] : m_priorities) {
        arrivals += other < priority ? state.arrivals.value(now) : 0;
    }
    return arrivals * std::chrono::duration<double>(config::TokenReserveTime).count();
}

void TokenReserve::recordTaken(unsigned priority, bool taken, TimePoint now)
{
    Priority &own = m_priorities[priority];
    if (!taken) {
        own.refusedAt = now;
        return;
    }
    own.owed = own.owed >= 1 ? own.owed - 1 : own.owed;
    for (auto &[other, state] : m_priorities) {
        if (other > priority) {
            const bool refusedLately = now - state.refusedAt < config::ArrivalRateTime;
            state.owed = refusedLately ? state.owed + config::MinPriorityShare : 0;
        }
    }
}
}
