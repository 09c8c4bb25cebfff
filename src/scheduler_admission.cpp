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
    const bool anonymous = request.team.value.empty();
    const auto team = m_teamStates.find(request.team);
    if (!anonymous && team == m_teamStates.end()) {
        return UnknownTeam {};
    }
    service(request.service).repeats.recordRequest(now);
    if (anonymous) {
        return std::nullopt;
    }
    team->second.demand.add(now);
    auto &[bucket, demand, tokens] = team->second;
    tokens.recordArrival(request.priority, now);
    const bool taken = bucket.take(now, bucket.aboveRate(demand.value(now)) ? tokens.reserved(request.priority, now) : 0);
    tokens.recordTaken(request.priority, taken, now);
    if (taken) {
        return std::nullopt;
    }
    return OverQuota {bucket.nextRetryDelay(now)};
}

void Scheduler::returnToken(const PlacementRequest &request)
{
    TeamBucket *tokens = bucket(request.team);
    if (!request.repeat && tokens != nullptr) {
        tokens->returnTokens();
    }
}

// If it got the token back, a team above its rate would be refused at the queues, where its requests press on those of other teams, instead of
// by its rate.
void Scheduler::returnTokenWithinRate(const PlacementRequest &request, TimePoint now)
{
    const auto team = m_teamStates.find(request.team);
    if (team != m_teamStates.end() && !team->second.bucket.aboveRate(team->second.demand.value(now))) {
        returnToken(request);
    }
}

void Scheduler::count(unsigned priority, const Placement &placement)
{
    AdmissionCount &count = m_counts[priority];
    if (std::holds_alternative<Placed>(placement)) {
        ++count.placed;
    } else if (std::holds_alternative<OverQuota>(placement)) {
        ++count.overRate;
    } else if (std::holds_alternative<UnknownTeam>(placement)) {
        ++count.unknownTeam;
    } else if (const auto *none = std::get_if<NoCapacity>(&placement)) {
        ++count.refused[none->reason];
    } else {
        ++count.waited;
    }
}
}
