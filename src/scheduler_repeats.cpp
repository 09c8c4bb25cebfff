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

// A hedge is asked for while the attempt before still runs, and has run for long. Where its end is reported at the same time, the two
// datagrams may arrive in either order; where the report comes later or is lost, the retry of a slow attempt is taken for a hedge and may
// be refused while repeats are short. Other requests of the daemon may run at the same target: one that has just refused work tells of a retry.
RepeatKind Scheduler::repeatKind(const PlacementRequest &request, TimePoint now)
{
    const auto target = request.tried.empty() ? m_targets.end() : m_targets.find(request.tried.back());
    if (!request.idempotent || target == m_targets.end()) {
        return RepeatKind::Retry;
    }
    const TargetStatePtr &last = target->second;
    if (last->refusedUntil - now > config::RefusalBackoff - config::RetryAfterEnd) {
        return RepeatKind::Retry;
    }
    const Duration hedgeAfter = latency(service(request.service), request.route, (request.objective - now) / 3).quantile(config::HedgeShare);
    for (auto entry = m_running.lower_bound({request.key.member, 0}); entry != m_running.end() && entry->first.member == request.key.member; ++entry) {
        const Attempt &attempt = entry->second;
        if (attempt.target == last && attempt.route == request.route && now - attempt.startedAt > hedgeAfter / 2) {
            return RepeatKind::Hedge;
        }
    }
    return RepeatKind::Retry;
}

bool Scheduler::mayRepeat(const PlacementRequest &request, TimePoint now)
{
    auto &state = service(request.service);
    const TimePoint expectedEnd = now + latency(state, request.route, (request.objective - now) / 3).mean();
    const RepeatTiming timing = expectedEnd <= request.objective ? RepeatTiming::InTime
        : expectedEnd <= request.deadline                        ? RepeatTiming::Late
                                                                 : RepeatTiming::TooLate;
    return state.repeats.tryRepeat({request.priority, repeatKind(request, now), timing}, now);
}

std::map<ServiceName, RepeatBudget *> Scheduler::repeatBudgets()
{
    std::map<ServiceName, RepeatBudget *> budgets;
    for (auto &[name, state] : m_services) {
        budgets.emplace(name, &state.repeats);
    }
    return budgets;
}
}
