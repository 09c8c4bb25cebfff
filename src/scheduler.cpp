#include <plumsill/scheduler.h>

#include <plumsill/config.h>
#include <plumsill/target_list.h>

#include <algorithm>
#include <set>
#include <utility>

namespace plumsill
{
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
    m_largeRoutes.clear();
    for (const auto &route : document.routes) {
        if (route.large) {
            m_largeRoutes.insert(shortHash(route.name.value));
        }
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
        state->id = shortHash(target.name.value);
        const auto left = m_saidLeaving.find(target.name);
        state->saidLeaving = left != m_saidLeaving.end() && sameRun(left->second, target);
        if (left != m_saidLeaving.end() && !state->saidLeaving) {
            m_saidLeaving.erase(left);
        }
        kept.emplace(target.name, state);
        m_byHash.emplace(state->id, state);
        service(target.service).targets.push_back(state);
    }
    for (auto &[name, state] : m_services) {
        state.subsets.setTargets(subsetCandidates(state));
    }
    keepUnlisted(kept, now);
    m_targets = std::move(kept);
}

TeamBucket *Scheduler::bucket(const TeamName &team)
{
    const auto found = m_teamStates.find(team);
    return found == m_teamStates.end() ? nullptr : &found->second.bucket;
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
    Placement placement = decide(request, now);
    count(request.priority, placement);
    return placement;
}

Placement Scheduler::decide(const PlacementRequest &request, TimePoint now)
{
    if (const auto refused = admit(request, now)) {
        return *refused;
    }
    auto &state = service(request.service);
    state.queues.recordArrival(request.priority, state.work.work(request.route), now);
    if (!state.queues.waiting(request.priority) && !reservedForUrgent(state, request.priority, now)) {
        if (auto placed = place(state, request, false, now)) {
            return *placed;
        }
    }
    return enqueue(state, request, now);
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
        target.kept.add(shortHash(key.member.name.value), now);
        m_senders[sender].failedConnects.erase(attempt.service);
        if (now >= target.coldUntil) {
            latency(state, attempt.route, taken).add(taken);
            state.subsets.recordDuration(taken);
            state.work.add(attempt.route, taken);
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
        target.kept.add(shortHash(key.member.name.value), now); // a refusal is a complete answer
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
