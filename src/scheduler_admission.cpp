#include <plumsill/config.h>
#include <plumsill/scheduler.h>

// Admission by the rates of teams.
namespace plumsill
{
std::optional<Placement> Scheduler::admit(const PlacementRequest &request, TimePoint now)
{
    if (request.repeat) {
        return mayRepeat(request, now) ? std::nullopt : std::optional<Placement>(NoCapacity {config::RetryAfterFailure, CapacityReason::RepeatBound});
    }
    if (request.admitted) {
        return std::nullopt;
    }
    service(request.service).repeats.recordRequest(now);
    const auto team = m_teamStates.find(request.team);
    if (team == m_teamStates.end()) {
        return std::nullopt;
    }
    team->second.demand.add(now);
    if (team->second.bucket.take(now)) {
        return std::nullopt;
    }
    return OverQuota {team->second.bucket.nextRetryDelay(now)};
}

void Scheduler::returnToken(const PlacementRequest &request)
{
    TeamBucket *tokens = bucket(request.team);
    if (!request.repeat && tokens != nullptr) {
        tokens->returnTokens();
    }
}
}
