#include <plumsill/config.h>
#include <plumsill/scheduler.h>

#include <algorithm>
#include <limits>

// The choice of a target for one request.
namespace plumsill
{
bool Scheduler::avoided(const std::map<InstanceName, TimePoint> &until, const InstanceName &daemon, TimePoint now)
{
    const auto found = until.find(daemon);
    return found != until.end() && found->second > now;
}

// Number of slots that the target announces, or that of its service if it announces none.
unsigned Scheduler::slotsOf(const ServiceState &service, const TargetState &state)
{
    return std::max(state.target.slots > 0 ? state.target.slots : service.slots, 1U);
}

// Whether the target has a free slot by the count of this scheduler. A target that has just refused a request is not
// excluded, because it may refuse at random; cost() makes it the last choice.
bool Scheduler::hasCapacity(const ServiceState &service, const TargetState &state, TimePoint now) const
{
    unsigned running = state.running;
    for (const auto &[zone, remote] : state.remote) {
        // A report from this zone is not added: the requests of this zone's daemons are already counted from their heartbeats, even
        // if another scheduler placed them.
        if (zone != m_zone && now - remote.at < config::RemoteLoadLifetime) {
            running += remote.load.running;
        }
    }
    return running < slotsOf(service, state) && state.limit.available(now);
}

double Scheduler::otherZoneCost(const PlacementRequest &request) const
{
    return config::OtherZoneCost + (m_largeRoutes.contains(request.route) ? config::LargeAnswerZoneCost : 0);
}

// Expected cost of sending a request to this target, in lost requests: the request may fail, transfer data between zones,
// or take the last slot of a target that other requests could use.
double Scheduler::cost(const ServiceState &service, const TargetState &state, const AskingDaemon &daemon, const PlacementRequest &request, TimePoint now) const
{
    const unsigned slots = slotsOf(service, state);
    double sum = config::FailureCost * (request.idempotent ? config::RepeatableShare : 1.0) * failureProbability(state, now);
    sum += state.target.zone == m_zone ? 0 : otherZoneCost(request);
    sum += config::LoadCost * state.running + (state.running + 1 >= slots ? config::LastSlotCost : 0);
    sum += now < state.refusedUntil ? config::RefusedCost : 0;
    sum += now < state.coldUntil ? config::ColdCost : 0;
    if (daemon.subset != nullptr && daemon.subset->contains(state.id)) {
        sum -= config::SubsetBonus + config::SubsetIdleBonus * seconds(std::min<Duration>(now - state.lastPlaced, config::RetrialAfter));
    }
    sum -= state.kept.usable(daemon.id, request.idempotent, now) ? config::KeptConnectionBonus : 0;
    const bool unused = state.running == 0 && now - state.lastPlaced > config::RetrialAfter;
    const bool retrialDue = unused && state.target.zone == m_zone
        && failureProbability(state, now) < (request.idempotent ? config::RepeatableTrialShare : config::RetrialThreshold);
    return sum - (retrialDue ? config::RetrialBonus : 0);
}

std::vector<std::uint32_t> Scheduler::subsetCandidates(const ServiceState &service) const
{
    std::vector<std::uint32_t> own;
    std::vector<std::uint32_t> all;
    for (const auto &state : service.targets) {
        if (!inUse(*state)) {
            continue;
        }
        all.push_back(state->id);
        if (state->target.zone == m_zone) {
            own.push_back(state->id);
        }
    }
    return own.empty() ? all : own;
}

std::map<ServiceName, SubsetReport> Scheduler::subsetReports() const
{
    std::map<ServiceName, SubsetReport> reports;
    for (const auto &[name, state] : m_services) {
        reports.emplace(name, state.subsets.report());
    }
    return reports;
}

std::optional<Placed> Scheduler::place(ServiceState &service, const PlacementRequest &request, bool allowRisky, TimePoint now)
{
    updateOverdue(now);
    // The path that counts is that of the daemon which opens the connection.
    const auto helper = request.relayed ? m_helpers.choose(request.key.member.name, request.service, now) : std::nullopt;
    const InstanceName &sender = helper ? helper->name : request.key.member.name;
    const std::uint32_t askingId = shortHash(request.key.member.name.value);
    const AskingDaemon asking {askingId, service.subsets.subset(askingId)};
    TargetStatePtr best;
    double lowestCost = std::numeric_limits<double>::infinity();
    bool anyHealthy = false; // whether a usable target is healthy, so that waiting for one makes sense
    for (const auto &state : service.targets) {
        if (!inUse(*state) || std::find(request.tried.begin(), request.tried.end(), state->target.name) != request.tried.end()) {
            continue;
        }
        if (avoided(state->unreachableFrom, sender, now) || restsUntil(*state, sender) > now) {
            continue;
        }
        const bool risky = failureProbability(*state, now) > (request.idempotent ? config::RepeatableTrialShare : config::RiskyShare);
        anyHealthy = anyHealthy || !risky;
        if (!hasCapacity(service, *state, now) || (risky && !allowRisky)) {
            continue;
        }
        const double targetCost = cost(service, *state, asking, request, now);
        if (targetCost < lowestCost) {
            lowestCost = targetCost;
            best = state;
        }
    }
    if (!best && !allowRisky && !anyHealthy) {
        return place(service, request, true, now);
    }
    if (!best) {
        return std::nullopt;
    }
    ++best->running;
    ++service.running;
    best->lastPlaced = now;
    best->limit.take(now);
    const bool reuses = best->kept.take(asking.id, request.idempotent, now);
    service.subsets.recordPlacement(asking.id, {best->id, reuses}, now);
    m_running[request.key] = {request.service, best, request.route, now, false, helper};
    if (helper) {
        m_helpers.recordStart(helper->name);
    }
    const LatencyModel &model = latency(service, request.route, (request.objective - now) / 3);
    const Duration cold = now < best->coldUntil ? Duration(config::ColdStartSlack) : Duration::zero();
    return Placed {best->target.name, best->target.endpoint, model.quantile(config::HedgeShare) + cold, helper};
}
}
