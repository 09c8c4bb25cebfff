#include <plumsill/config.h>
#include <plumsill/scheduler.h>

// The bound on repeats of each service.
namespace plumsill
{
RepeatBound Scheduler::repeatBound() const
{
    return {m_repeats.ratio * config::RepeatMargin, m_repeats.slack * config::RepeatMargin * m_fleetShare, m_repeats.window};
}

void Scheduler::setRepeatBound(const RepeatBound &repeats)
{
    m_repeats = repeats;
    setFleetShare(m_fleetShare);
}

void Scheduler::setFleetShare(double share)
{
    m_fleetShare = share;
    for (auto &[name, state] : m_services) {
        state.repeats.setBound(repeatBound());
    }
}

bool Scheduler::mayRepeat(const PlacementRequest &request, TimePoint now)
{
    return service(request.service).repeats.tryRepeat(now);
}
}
