#include <plumsill/scheduler.h>

#include <plumsill/config.h>
#include <plumsill/target_list.h>

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace plumsill
{
namespace
{
// Whether the daemon is still to be given other targets.
bool avoided(const std::map<InstanceName, TimePoint> &until, const InstanceName &daemon, TimePoint now)
{
    const auto found = until.find(daemon);
    return found != until.end() && found->second > now;
}
}

RepeatBound Scheduler::repeatBound() const
{
    return {m_repeats.ratio * config::RepeatMargin, m_repeats.slack * config::RepeatMargin * m_fleetShare, m_repeats.window};
}

Scheduler::Scheduler(ZoneName zone, const RepeatBound &repeats)
    : m_zone(std::move(zone))
    , m_repeats(repeats)
{ }

Scheduler::ServiceState &Scheduler::service(const ServiceName &name)
{
    return m_services.try_emplace(name, repeatBound()).first->second;
}

LatencyModel &Scheduler::latency(ServiceState &service, std::uint32_t route, Duration expected)
{
    return service.latency.try_emplace(route, expected).first->second;
}

void Scheduler::setDocument(const Document &document, TimePoint now)
{
    m_teams.clear();
    std::set<TeamName> present;
    for (const auto &team : document.teams) {
        m_teams.push_back(team.name);
        present.insert(team.name);
        m_teamStates[team.name].bucket.setRate({team.rate, team.burst}, now);
    }
    std::erase_if(m_teamStates, [&present](const auto &entry) { return !present.contains(entry.first); });
    for (const auto &listed : document.services) {
        service(listed.name).slots = std::max(listed.slots, 1U);
    }
}

// A target that restarted under its old name gets a new state, since nothing is known about its new run.
void Scheduler::setTargets(const std::vector<Target> &targets, TimePoint now)
{
    std::map<TargetName, TargetStatePtr> kept;
    m_byHash.clear();
    for (auto &[name, state] : m_services) {
        state.targets.clear();
    }
    for (const auto &target : targets) {
        TargetStatePtr state = knownState(target);
        const bool listedBefore = state && m_targets.contains(target.name);
        if (!state) {
            state = std::make_shared<TargetState>();
            state->coldUntil = now + std::chrono::milliseconds(target.coldMilliseconds);
            state->restsFrom = takeEarlyRests(target.name);
        }
        if (!listedBefore) {
            state->limit.setPart(m_limitPart, now);
            state->wrongAddress = false;
            state->unlistedUntil = {};
        }
        state->target = target;
        const auto left = m_saidLeaving.find(target.name);
        state->saidLeaving = left != m_saidLeaving.end() && sameRun(left->second, target);
        if (left != m_saidLeaving.end() && !state->saidLeaving) {
            m_saidLeaving.erase(left);
        }
        kept.emplace(target.name, state);
        m_byHash.emplace(shortHash(target.name.value), state);
        service(target.service).targets.push_back(state);
    }
    keepUnlisted(kept, now);
    m_targets = std::move(kept);
}

TeamBucket *Scheduler::bucket(const TeamName &team)
{
    const auto found = m_teamStates.find(team);
    return found == m_teamStates.end() ? nullptr : &found->second.bucket;
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

void Scheduler::setRemoteLoads(const ZoneName &from, const std::vector<TargetLoad> &loads, TimePoint now)
{
    for (const auto &load : loads) {
        const auto found = m_byHash.find(load.target);
        if (found != m_byHash.end()) {
            found->second->remote[from] = {load, now};
        }
    }
}

double Scheduler::localFailureProbability(const TargetState &state, TimePoint now) const
{
    return applyOddsRatio(state.failureEstimate.probability(now, m_baselineFailureShare), state.waitingOddsRatio);
}

// Highest of the local failure probability and those that other schedulers, such as the one in the target's own zone,
// reported recently.
double Scheduler::failureProbability(const TargetState &state, TimePoint now) const
{
    double probability = localFailureProbability(state, now);
    for (const auto &[zone, remote] : state.remote) {
        if (now - remote.at < config::RemoteLoadLifetime) {
            probability = std::max(probability, remote.load.failingPercent / 100.0);
        }
    }
    return probability;
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

// Expected cost of sending a request to this target, in lost requests: the request may fail, transfer data between zones,
// or take the last slot of a target that other requests could use.
double Scheduler::cost(ServiceState &service, const TargetState &state, const PlacementRequest &request, TimePoint now)
{
    const unsigned slots = slotsOf(service, state);
    double sum = config::FailureCost * (request.idempotent ? config::RepeatableShare : 1.0) * failureProbability(state, now);
    sum += state.target.zone == m_zone ? 0 : config::OtherZoneCost;
    sum += config::LoadCost * state.running + (state.running + 1 >= slots ? config::LastSlotCost : 0);
    sum += now < state.refusedUntil ? config::RefusedCost : 0;
    sum += now < state.coldUntil ? config::ColdCost : 0;
    const auto answered = state.lastAnswerAt.find(request.key.member.name);
    sum -= answered != state.lastAnswerAt.end() && now - answered->second < config::FreshConnectionAge ? config::KeptConnectionBonus : 0;
    const bool unused = state.running == 0 && now - state.lastPlaced > config::RetrialAfter;
    const bool retrialDue = unused && state.target.zone == m_zone
        && failureProbability(state, now) < (request.idempotent ? config::RepeatableTrialShare : config::RetrialThreshold);
    return sum - (retrialDue ? config::RetrialBonus : 0);
}

std::optional<Placed> Scheduler::place(ServiceState &service, const PlacementRequest &request, bool allowRisky, TimePoint now)
{
    updateOverdue(now);
    // The path that counts is that of the daemon which opens the connection.
    const auto helper = request.relayed ? m_helpers.choose(request.key.member.name, request.service, now) : std::nullopt;
    const InstanceName &sender = helper ? helper->name : request.key.member.name;
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
        const double targetCost = cost(service, *state, request, now);
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
    m_running[request.key] = {request.service, best, request.route, now, false, helper};
    if (helper) {
        m_helpers.recordStart(helper->name);
    }
    const LatencyModel &model = latency(service, request.route, (request.objective - now) / 3);
    const Duration cold = now < best->coldUntil ? Duration(config::ColdStartSlack) : Duration::zero();
    return Placed {best->target.name, best->target.endpoint, model.quantile(config::HedgeShare) + cold, helper};
}

// Records requests without an answer as evidence against their targets, depending on their ages. Called when a decision is
// due, so that an idle scheduler needs no timer.
void Scheduler::updateOverdue(TimePoint now)
{
    if (now - m_overdueCheckedAt < config::OverdueInterval) {
        return;
    }
    m_overdueCheckedAt = now;
    for (auto &[name, target] : m_targets) {
        target->waitingOddsRatio = 1;
    }
    for (auto &[key, attempt] : m_running) {
        if (attempt.overdue || now < attempt.target->coldUntil || doubted(senderOf(key, attempt), attempt.service)) {
            continue;
        }
        auto &state = service(attempt.service);
        const auto model = state.latency.find(attempt.route);
        const double survival = model == state.latency.end() ? 1 : model->second.survival(now - attempt.startedAt);
        if (survival < config::OverdueShare) {
            attempt.overdue = true;
            recordEvidence(senderOf(key, attempt), attempt.target, attempt.target->failureEstimate.recordOverdue(survival, now), now);
        } else if (survival < config::WaitingShare) {
            attempt.target->waitingOddsRatio *= waitingOdds(survival);
        }
    }
    updateBaselineFailureShare(now);
}

// The baseline follows the mean failure probability of the targets with recent evidence. It determines how soon a target
// is suspected, and the failure probability that is assumed for a target without recent evidence.
void Scheduler::updateBaselineFailureShare(TimePoint now)
{
    if (now - m_baselineUpdatedAt < config::BaselineUpdateInterval) {
        return;
    }
    m_baselineUpdatedAt = now;
    double sum = 0;
    double count = 0;
    for (const auto &[name, state] : m_targets) {
        if (now - state->lastEvidenceAt < config::EvidenceLifetime) {
            sum += localFailureProbability(*state, now);
            count += 1;
        }
    }
    if (count > 0) {
        m_baselineFailureShare += config::BaselineUpdateWeight * (sum / count - m_baselineFailureShare);
        m_baselineFailureShare = std::clamp(m_baselineFailureShare, config::MinBaselineFailureShare, config::MaxBaselineFailureShare);
    }
}

std::optional<Placement> Scheduler::admit(const PlacementRequest &request, TimePoint now)
{
    if (request.repeat) {
        return service(request.service).repeats.tryRepeat(now) ? std::nullopt
                                                               : std::optional<Placement>(NoCapacity {config::RetryAfterFailure, CapacityReason::RepeatBound});
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

// A member repeats its request if a datagram is lost, so a repeated key gets the same answer.
Placement Scheduler::submit(const PlacementRequest &request, TimePoint now)
{
    const auto running = m_running.find(request.key);
    if (running != m_running.end()) {
        const Target &target = running->second.target->target;
        const auto &model = latency(service(request.service), request.route, (request.objective - now) / 3);
        return Placed {target.name, target.endpoint, model.quantile(config::HedgeShare), running->second.helper};
    }
    if (m_waiting.contains(request.key)) {
        return Queued {};
    }
    if (const auto refused = admit(request, now)) {
        return *refused;
    }
    auto &state = service(request.service);
    const bool othersWaiting = std::any_of(state.queues.begin(), state.queues.end(),
                                           [&request](const auto &entry) { return entry.first <= request.priority && !entry.second.empty(); });
    if (!othersWaiting) {
        if (auto placed = place(state, request, false, now)) {
            return *placed;
        }
    }
    return enqueue(state, request, now);
}

Duration Scheduler::expectedCapacityDelay(const ServiceState &service, Duration wait) const
{
    Duration longest = config::MinRetryAfter;
    for (const auto &[route, model] : service.latency) {
        longest = std::max(longest, model.mean());
    }
    return std::max<Duration>(wait, longest / 2);
}

Scheduler::Closure Scheduler::closureOfAll(const ServiceState &service, const InstanceName &daemon, TimePoint now)
{
    TimePoint earliest = TimePoint::max();
    CapacityReason reason = CapacityReason::TooLate;
    for (const auto &state : service.targets) {
        if (!inUse(*state)) {
            continue;
        }
        const TimePoint rest = std::max(now, restsUntil(*state, daemon));
        const auto unreachable = state->unreachableFrom.find(daemon);
        const TimePoint reached = unreachable == state->unreachableFrom.end() ? now : std::max(now, unreachable->second);
        if (std::max(rest, reached) < earliest) {
            earliest = std::max(rest, reached);
            reason = earliest == now ? CapacityReason::TooLate : reached > rest ? CapacityReason::Unreachable : CapacityReason::Resting;
        }
    }
    return earliest == TimePoint::max() ? Closure {} : Closure {std::max<Duration>(earliest - now, Duration::zero()), reason};
}

Placement Scheduler::enqueue(ServiceState &service, const PlacementRequest &request, TimePoint now)
{
    const bool anyTarget = std::any_of(service.targets.begin(), service.targets.end(), [](const auto &state) { return inUse(*state); });
    const Duration meanLatency = latency(service, request.route, (request.objective - now) / 3).mean();
    const TimePoint latest = (request.objective - meanLatency > now ? request.objective : request.deadline) - meanLatency;
    const auto helper = request.relayed ? m_helpers.choose(request.key.member.name, request.service, now) : std::nullopt;
    const Closure closure = closureOfAll(service, helper ? helper->name : request.key.member.name, now);
    if (!anyTarget || latest <= now + closure.left) {
        returnToken(request);
        return NoCapacity {expectedCapacityDelay(service, closure.left), closure.reason};
    }
    auto &queue = service.queues.try_emplace(request.priority, config::MaxQueuedRequests).first->second;
    const std::uint64_t id = m_nextQueueId++;
    const QueueResult queueResult = queue.push({id, request.team, latest, 1}, now);
    if (queueResult.displaced) {
        const QueuedPlacement dropped = takeQueued(*queueResult.displaced);
        returnToken(dropped.request);
        m_displaced.push_back({dropped.request.key, NoCapacity {expectedCapacityDelay(service, queueResult.retryAfter), CapacityReason::QueueFull}});
    }
    if (!queueResult.accepted) {
        returnToken(request);
        return NoCapacity {expectedCapacityDelay(service, queueResult.retryAfter), CapacityReason::QueueFull};
    }
    m_waiting.emplace(request.key, QueuedPlacement {request, id});
    m_keyByQueueId.emplace(id, request.key);
    return Queued {};
}

void Scheduler::returnToken(const PlacementRequest &request)
{
    TeamBucket *tokens = bucket(request.team);
    if (!request.repeat && tokens != nullptr) {
        tokens->returnTokens();
    }
}

Scheduler::QueuedPlacement Scheduler::takeQueued(std::uint64_t queueId)
{
    const auto key = m_keyByQueueId.extract(queueId);
    auto entry = m_waiting.extract(key.mapped());
    return std::move(entry.mapped());
}

void Scheduler::cancelPlacement(const PlacementKey &key)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end()) {
        return;
    }
    for (auto &[priority, queue] : service(found->second.request.service).queues) {
        queue.remove(found->second.queueId);
    }
    m_keyByQueueId.erase(found->second.queueId);
    returnToken(found->second.request);
    m_waiting.erase(found);
}

void Scheduler::endAttempt(const Attempt &attempt)
{
    attempt.target->running -= attempt.target->running > 0 ? 1 : 0;
    auto &state = service(attempt.service);
    state.running -= state.running > 0 ? 1 : 0;
    if (attempt.helper) {
        m_helpers.recordEnd(attempt.helper->name);
    }
}

void Scheduler::finishAttempt(const PlacementKey &key, AttemptEnd end, Duration taken, TimePoint now)
{
    const auto found = m_running.find(key);
    if (found == m_running.end()) {
        return;
    }
    const Attempt attempt = found->second;
    attempt.target->lastEvidenceAt = now;
    m_running.erase(found);
    endAttempt(attempt);
    auto &state = service(attempt.service);
    auto &target = *attempt.target;
    const unsigned slots = slotsOf(state, target);
    const InstanceName sender = senderOf(key, attempt);
    switch (end) {
    case AttemptEnd::Good:
        target.failureEstimate.recordGoodAnswer(now);
        target.unreachableFrom.erase(sender);
        target.lastAnswerAt[key.member.name] = now;
        m_senders[sender].failedConnects.erase(attempt.service);
        if (now >= target.coldUntil) {
            latency(state, attempt.route, taken).add(taken);
        }
        break;
    case AttemptEnd::Failed:
        if (!doubted(sender, attempt.service)) {
            recordEvidence(sender, attempt.target, target.failureEstimate.recordFailure(now), now);
        }
        break;
    case AttemptEnd::TimedOut:
        if (!attempt.overdue && !doubted(sender, attempt.service)) {
            recordEvidence(sender, attempt.target, target.failureEstimate.recordOverdue(config::OverdueShare, now), now);
        }
        break;
    case AttemptEnd::NotExecuted:
        if (target.running + 1 < slots && !avoided(target.restsFrom, sender, now)) {
            target.failureEstimate.recordRefusal(now);
        }
        target.refusedUntil = now + config::RefusalBackoff;
        break;
    case AttemptEnd::WrongTarget:
        target.wrongAddress = true;
        break;
    case AttemptEnd::Unlisted:
        target.unlistedUntil = now + config::UnlistedAvoidance;
        break;
    case AttemptEnd::Unreachable:
        recordUnreachable(sender, attempt.target, now);
        break;
    case AttemptEnd::HelperUnavailable:
        m_helpers.recordUnavailable(sender, now);
        break;
    case AttemptEnd::Abandoned:
        break;
    }
}

// Attempts younger than ReconcileAfter are kept: the member may not have received their placement when it sent the report.
void Scheduler::reconcile(const MemberId &member, const std::vector<RunningAttempt> &running, TimePoint now)
{
    std::set<std::uint64_t> reported;
    for (const auto &attempt : running) {
        reported.insert(attempt.id);
        const PlacementKey key {member, attempt.id};
        const auto target = m_targets.find(attempt.target);
        if (m_running.contains(key) || target == m_targets.end()) {
            continue;
        }
        m_running[key] = {attempt.service, target->second, attempt.route, now - std::chrono::milliseconds(attempt.ageMilliseconds), false, std::nullopt};
        ++target->second->running;
        ++service(attempt.service).running;
    }
    const auto begin = m_running.lower_bound({{member.name, 0}, 0});
    for (auto entry = begin; entry != m_running.end() && entry->first.member.name == member.name;) {
        const bool otherRun = entry->first.member.incarnation < member.incarnation;
        const bool unreported = !reported.contains(entry->first.id) && now - entry->second.startedAt > config::ReconcileAfter;
        if (otherRun || unreported) {
            endAttempt(entry->second);
            entry = m_running.erase(entry);
        } else {
            ++entry;
        }
    }
}

void Scheduler::removeMember(const MemberId &member)
{
    const auto begin = m_running.lower_bound({member, 0});
    auto entry = begin;
    for (; entry != m_running.end() && entry->first.member == member; ++entry) {
        endAttempt(entry->second);
    }
    m_running.erase(begin, entry);
}

// A request that can wait no longer is placed even at a target that seems to fail. It is refused only if no usable target
// has a free slot.
void Scheduler::placeExpired(ServiceState &service, FairQueue &queue, std::vector<DelayedPlacement> &decided, TimePoint now)
{
    for (const auto id : queue.expire(now)) {
        const QueuedPlacement queued = takeQueued(id);
        if (auto placed = place(service, queued.request, true, now)) {
            decided.push_back({queued.request.key, *placed});
            continue;
        }
        returnToken(queued.request);
        decided.push_back({queued.request.key, NoCapacity {expectedCapacityDelay(service, Duration::zero()), CapacityReason::TooLate}});
    }
}

void Scheduler::serveService(ServiceState &service, std::vector<DelayedPlacement> &decided, TimePoint now)
{
    for (auto &[priority, queue] : service.queues) {
        placeExpired(service, queue, decided, now);
        while (!queue.empty()) {
            const bool anyCapacity = std::any_of(service.targets.begin(), service.targets.end(), [&](const auto &state) {
                return inUse(*state) && state->unlistedUntil <= now && hasCapacity(service, *state, now)
                    && failureProbability(*state, now) <= config::RiskyShare;
            });
            const auto next = anyCapacity ? queue.pop(now) : std::nullopt;
            if (!next) {
                break;
            }
            const QueuedPlacement queued = takeQueued(next->id);
            if (auto placed = place(service, queued.request, false, now)) {
                decided.push_back({queued.request.key, *placed});
            } else {
                // Each healthy target with a free slot was already tried by this request, or its daemon could not connect to it.
                returnToken(queued.request);
                decided.push_back({queued.request.key, NoCapacity {expectedCapacityDelay(service, Duration::zero())}});
            }
        }
    }
}

std::vector<DelayedPlacement> Scheduler::serve(TimePoint now)
{
    std::vector<DelayedPlacement> decided = std::exchange(m_displaced, {});
    if (!m_waiting.empty()) {
        for (auto &[name, state] : m_services) {
            serveService(state, decided, now);
        }
    }
    return decided;
}

double Scheduler::demand(const TeamName &team, TimePoint now) const
{
    const auto found = m_teamStates.find(team);
    return found == m_teamStates.end() ? 0 : found->second.demand.value(now);
}

const Target *Scheduler::targetOf(const PlacementKey &key) const
{
    const auto found = m_running.find(key);
    return found == m_running.end() ? nullptr : &found->second.target->target;
}

// Omits targets that have neither running requests nor a raised failure probability: most targets of a large zone.
std::vector<TargetLoad> Scheduler::loads(TimePoint now) const
{
    std::vector<TargetLoad> loads;
    for (const auto &[name, state] : m_targets) {
        const auto percent = static_cast<std::uint8_t>(100 * localFailureProbability(*state, now));
        if (state->running > 0 || percent > config::MinReportedFailingPercent) {
            loads.push_back({shortHash(name.value), static_cast<std::uint8_t>(std::min(state->running, 255U)), percent});
        }
    }
    return loads;
}
}
