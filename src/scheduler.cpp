#include <plumsill/scheduler.h>

#include <plumsill/config.h>
#include <plumsill/target_list.h>

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace plumsill
{
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

// A target that starts anew under its old name shares nothing with its last run.
void Scheduler::setTargets(const std::vector<Target> &targets, TimePoint now)
{
    std::map<TargetName, TargetStatePtr> kept;
    m_byHash.clear();
    for (auto &[name, state] : m_services) {
        state.targets.clear();
    }
    for (const auto &target : targets) {
        TargetStatePtr state;
        const auto known = m_targets.find(target.name);
        const bool runsOn = known != m_targets.end() && sameRun(known->second->target, target);
        state = runsOn ? known->second : std::make_shared<TargetState>();
        if (!runsOn) {
            state->coldUntil = now + std::chrono::milliseconds(target.coldMilliseconds);
        }
        state->target = target;
        kept.emplace(target.name, state);
        m_byHash.emplace(shortHash(target.name.value), state);
        service(target.service).targets.push_back(state);
    }
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

double Scheduler::failingHere(const TargetState &state, TimePoint now) const
{
    return withOdds(state.belief.failing(now, m_baselineFailureShare), state.waiting);
}

// The word of the scheduler in the target's own zone counts as much as what was seen here.
double Scheduler::failing(const TargetState &state, TimePoint now) const
{
    double share = failingHere(state, now);
    for (const auto &[zone, remote] : state.remote) {
        if (now - remote.at < config::RemoteLoadLifetime) {
            share = std::max(share, remote.load.failingPercent / 100.0);
        }
    }
    return share;
}

// A target tells how many requests it works on; where it doesn't, its service's figure holds.
unsigned Scheduler::slotsOf(const ServiceState &service, const TargetState &state)
{
    return std::max(state.target.slots > 0 ? state.target.slots : service.slots, 1U);
}

// A target that has just refused work has room by our count: it may refuse by chance, so it is only the last choice.
bool Scheduler::hasCapacity(const ServiceState &service, const TargetState &state, TimePoint now) const
{
    unsigned running = state.running;
    for (const auto &[zone, remote] : state.remote) {
        // What runs for this zone's daemons is known from their heartbeats, also if another scheduler placed it.
        if (zone != m_zone && now - remote.at < config::RemoteLoadLifetime) {
            running += remote.load.running;
        }
    }
    return running < slotsOf(service, state);
}

// What a request to this target is expected to lose, in requests: it fails, or it costs bytes between zones, or it
// takes the last slot of a target that others could use.
double Scheduler::cost(ServiceState &service, const TargetState &state, const PlacementRequest &ask, TimePoint now)
{
    const unsigned slots = slotsOf(service, state);
    double sum = config::FailureCost * (ask.idempotent ? config::RepeatableShare : 1.0) * failing(state, now);
    sum += state.target.zone == m_zone ? 0 : config::OtherZoneCost;
    sum += config::LoadCost * state.running + (state.running + 1 >= slots ? config::LastSlotCost : 0);
    sum += now < state.fullUntil ? config::RefusedCost : 0;
    sum += now < state.coldUntil ? config::ColdCost : 0;
    const auto answered = state.answeredTo.find(ask.key.member.name);
    sum -= answered != state.answeredTo.end() && now - answered->second < config::FreshConnectionAge ? config::KeptConnectionBonus : 0;
    const bool quiet = state.running == 0 && now - state.lastPlaced > config::RetrialAfter;
    const bool forgotten
        = quiet && state.target.zone == m_zone && failing(state, now) < (ask.idempotent ? config::RepeatableTrialShare : config::RetrialThreshold);
    return sum - (forgotten ? config::RetrialBonus : 0);
}

std::optional<Placed> Scheduler::place(ServiceState &service, const PlacementRequest &ask, bool acceptRisk, TimePoint now)
{
    countOverdue(now);
    TargetStatePtr best;
    double least = std::numeric_limits<double>::infinity();
    bool sound = false; // some target of the service is worth a wait
    for (const auto &state : service.targets) {
        if (state->target.leaving || state->wrong || std::find(ask.tried.begin(), ask.tried.end(), state->target.name) != ask.tried.end()) {
            continue;
        }
        const auto unreachable = state->unreachableFrom.find(ask.key.member.name);
        if (unreachable != state->unreachableFrom.end() && unreachable->second > now) {
            continue;
        }
        const bool risky = failing(*state, now) > (ask.idempotent ? config::RepeatableTrialShare : config::RiskyShare);
        sound = sound || !risky;
        if (!hasCapacity(service, *state, now) || (risky && !acceptRisk)) {
            continue;
        }
        const double price = cost(service, *state, ask, now);
        if (price < least) {
            least = price;
            best = state;
        }
    }
    if (!best && !acceptRisk && !sound) {
        return place(service, ask, true, now);
    }
    if (!best) {
        return std::nullopt;
    }
    ++best->running;
    ++service.running;
    best->lastPlaced = now;
    m_running[ask.key] = {ask.service, best, ask.route, now, false};
    const LatencyModel &model = latency(service, ask.route, (ask.objective - now) / 3);
    const Duration cold = now < best->coldUntil ? Duration(config::ColdStartSlack) : Duration::zero();
    return Placed {best->target.name, best->target.endpoint, model.quantile(config::HedgeShare) + cold};
}

// Ages are looked at when a decision is due, so an idle scheduler needs no timer for them.
void Scheduler::countOverdue(TimePoint now)
{
    if (now - m_overdueAt < config::OverdueInterval) {
        return;
    }
    m_overdueAt = now;
    for (auto &[name, target] : m_targets) {
        target->waiting = 1;
    }
    for (auto &[key, attempt] : m_running) {
        if (attempt.overdue || now < attempt.target->coldUntil) {
            continue;
        }
        auto &state = service(attempt.service);
        const auto model = state.latency.find(attempt.route);
        const double survival = model == state.latency.end() ? 1 : model->second.survival(now - attempt.startedAt);
        if (survival < config::OverdueShare) {
            attempt.overdue = true;
            attempt.target->belief.overdue(survival, now);
        } else if (survival < config::WaitingShare) {
            attempt.target->waiting *= waitingOdds(survival);
        }
    }
    updateBaselineFailureShare(now);
}

// How many of the targets in use fail decides how soon one is suspected, and how far one without news is trusted.
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
            sum += failingHere(*state, now);
            count += 1;
        }
    }
    if (count > 0) {
        m_baselineFailureShare += config::BaselineUpdateWeight * (sum / count - m_baselineFailureShare);
        m_baselineFailureShare = std::clamp(m_baselineFailureShare, config::MinBaselineFailureShare, config::MaxBaselineFailureShare);
    }
}

std::optional<Placement> Scheduler::admit(const PlacementRequest &ask, TimePoint now)
{
    if (ask.repeat) {
        return service(ask.service).repeats.repeat(now) ? std::nullopt : std::optional<Placement>(NoCapacity {config::RetryAfterFailure});
    }
    service(ask.service).repeats.request(now);
    const auto team = m_teamStates.find(ask.team);
    if (team == m_teamStates.end()) {
        return std::nullopt;
    }
    team->second.demand.add(now);
    if (team->second.bucket.take(now)) {
        return std::nullopt;
    }
    return OverQuota {team->second.bucket.promise(now)};
}

// Asked twice, since a datagram may be lost: the answer is the same.
Placement Scheduler::ask(const PlacementRequest &ask, TimePoint now)
{
    const auto running = m_running.find(ask.key);
    if (running != m_running.end()) {
        const Target &target = running->second.target->target;
        const auto &model = latency(service(ask.service), ask.route, (ask.objective - now) / 3);
        return Placed {target.name, target.endpoint, model.quantile(config::HedgeShare)};
    }
    if (m_waiting.contains(ask.key)) {
        return Queued {};
    }
    if (const auto refused = admit(ask, now)) {
        return *refused;
    }
    auto &state = service(ask.service);
    const bool others
        = std::any_of(state.queues.begin(), state.queues.end(), [&ask](const auto &entry) { return entry.first <= ask.priority && !entry.second.empty(); });
    if (!others) {
        if (auto placed = place(state, ask, false, now)) {
            return *placed;
        }
    }
    return enqueue(state, ask, now);
}

Duration Scheduler::expectedCapacityDelay(const ServiceState &service, Duration wait) const
{
    Duration longest = config::MinRetryAfter;
    for (const auto &[route, model] : service.latency) {
        longest = std::max(longest, model.mean());
    }
    return std::max<Duration>(wait, longest / 2);
}

Placement Scheduler::enqueue(ServiceState &service, const PlacementRequest &ask, TimePoint now)
{
    const bool known = std::any_of(service.targets.begin(), service.targets.end(), [](const auto &state) { return !state->target.leaving; });
    const Duration usual = latency(service, ask.route, (ask.objective - now) / 3).mean();
    const TimePoint latest = (ask.objective - usual > now ? ask.objective : ask.deadline) - usual;
    if (!known || latest <= now) {
        refund(ask);
        return NoCapacity {expectedCapacityDelay(service, Duration::zero())};
    }
    auto &queue = service.queues.try_emplace(ask.priority, config::MaxQueuedRequests).first->second;
    const std::uint64_t id = m_nextQueueId++;
    const QueueResult verdict = queue.push({id, ask.team, latest, 1}, now);
    if (verdict.displaced) {
        const Waiting gone = takeWaiting(*verdict.displaced);
        refund(gone.ask);
        m_displaced.push_back({gone.ask.key, NoCapacity {expectedCapacityDelay(service, verdict.retryAfter)}});
    }
    if (!verdict.accepted) {
        refund(ask);
        return NoCapacity {expectedCapacityDelay(service, verdict.retryAfter)};
    }
    m_waiting.emplace(ask.key, Waiting {ask, id});
    m_keyOf.emplace(id, ask.key);
    return Queued {};
}

void Scheduler::refund(const PlacementRequest &ask)
{
    TeamBucket *tokens = bucket(ask.team);
    if (!ask.repeat && tokens != nullptr) {
        tokens->returnTokens();
    }
}

Scheduler::Waiting Scheduler::takeWaiting(std::uint64_t queueId)
{
    const auto key = m_keyOf.extract(queueId);
    auto entry = m_waiting.extract(key.mapped());
    return std::move(entry.mapped());
}

void Scheduler::withdraw(const PlacementKey &key)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end()) {
        return;
    }
    for (auto &[priority, queue] : service(found->second.ask.service).queues) {
        queue.remove(found->second.queueId);
    }
    m_keyOf.erase(found->second.queueId);
    refund(found->second.ask);
    m_waiting.erase(found);
}

void Scheduler::endAttempt(const Attempt &attempt)
{
    attempt.target->running -= attempt.target->running > 0 ? 1 : 0;
    auto &state = service(attempt.service);
    state.running -= state.running > 0 ? 1 : 0;
}

void Scheduler::finished(const PlacementKey &key, AttemptEnd end, Duration taken, TimePoint now)
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
    switch (end) {
    case AttemptEnd::Good:
        target.belief.answeredWell(now);
        target.unreachableFrom.erase(key.member.name);
        target.answeredTo[key.member.name] = now;
        if (now >= target.coldUntil) {
            latency(state, attempt.route, taken).add(taken);
        }
        break;
    case AttemptEnd::Failed:
        target.belief.failed(now);
        break;
    case AttemptEnd::TimedOut:
        if (!attempt.overdue) {
            target.belief.overdue(config::OverdueShare, now);
        }
        break;
    case AttemptEnd::NotExecuted:
        if (target.running + 1 < slots) {
            target.belief.refused(now);
        }
        target.fullUntil = now + config::FullPause;
        break;
    case AttemptEnd::WrongTarget:
        target.wrong = true;
        break;
    case AttemptEnd::Unreachable: {
        target.unreachableFrom[key.member.name] = now + config::UnreachableAvoidance;
        const auto recent = [now](const auto &entry) { return entry.second > now; };
        if (std::count_if(target.unreachableFrom.begin(), target.unreachableFrom.end(), recent) > 1) {
            target.belief.unreachable(now);
        }
        break;
    }
    case AttemptEnd::Abandoned:
        break;
    }
}

// A placement that the member had not heard of when it wrote is younger than a round trip.
void Scheduler::reconcile(const MemberId &member, const std::vector<RunningAttempt> &running, TimePoint now)
{
    std::set<std::uint64_t> named;
    for (const auto &attempt : running) {
        named.insert(attempt.id);
        const PlacementKey key {member, attempt.id};
        const auto target = m_targets.find(attempt.target);
        if (m_running.contains(key) || target == m_targets.end()) {
            continue;
        }
        m_running[key] = {attempt.service, target->second, attempt.route, now - std::chrono::milliseconds(attempt.ageMilliseconds), false};
        ++target->second->running;
        ++service(attempt.service).running;
    }
    const auto begin = m_running.lower_bound({{member.name, 0}, 0});
    for (auto entry = begin; entry != m_running.end() && entry->first.member.name == member.name;) {
        const bool otherRun = entry->first.member.incarnation < member.incarnation;
        const bool unnamed = !named.contains(entry->first.id) && now - entry->second.startedAt > config::ReconcileAfter;
        if (otherRun || unnamed) {
            endAttempt(entry->second);
            entry = m_running.erase(entry);
        } else {
            ++entry;
        }
    }
}

void Scheduler::forget(const MemberId &member)
{
    const auto begin = m_running.lower_bound({member, 0});
    auto entry = begin;
    for (; entry != m_running.end() && entry->first.member == member; ++entry) {
        endAttempt(entry->second);
    }
    m_running.erase(begin, entry);
}

// Those that can wait no longer take a target that seems to fail rather than none.
void Scheduler::serveExpired(ServiceState &service, FairQueue &queue, std::vector<LatePlacement> &decided, TimePoint now)
{
    for (const auto id : queue.expire(now)) {
        const Waiting waiting = takeWaiting(id);
        if (auto placed = place(service, waiting.ask, true, now)) {
            decided.push_back({waiting.ask.key, *placed});
            continue;
        }
        refund(waiting.ask);
        decided.push_back({waiting.ask.key, NoCapacity {expectedCapacityDelay(service, Duration::zero())}});
    }
}

void Scheduler::serveService(ServiceState &service, std::vector<LatePlacement> &decided, TimePoint now)
{
    for (auto &[priority, queue] : service.queues) {
        serveExpired(service, queue, decided, now);
        while (!queue.empty()) {
            const bool room = std::any_of(service.targets.begin(), service.targets.end(), [&](const auto &state) {
                return !state->target.leaving && !state->wrong && hasCapacity(service, *state, now) && failing(*state, now) <= config::RiskyShare;
            });
            const auto next = room ? queue.pop(now) : std::nullopt;
            if (!next) {
                break;
            }
            const Waiting waiting = takeWaiting(next->id);
            if (auto placed = place(service, waiting.ask, false, now)) {
                decided.push_back({waiting.ask.key, *placed});
            } else {
                // Only targets that it has tried have room.
                refund(waiting.ask);
                decided.push_back({waiting.ask.key, NoCapacity {expectedCapacityDelay(service, Duration::zero())}});
            }
        }
    }
}

std::vector<LatePlacement> Scheduler::serve(TimePoint now)
{
    std::vector<LatePlacement> decided = std::exchange(m_displaced, {});
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

// Targets that nothing is to be said of are left out: most of a large zone's are idle or like all others.
std::vector<TargetLoad> Scheduler::loads(TimePoint now) const
{
    std::vector<TargetLoad> loads;
    for (const auto &[name, state] : m_targets) {
        const auto percent = static_cast<std::uint8_t>(100 * failingHere(*state, now));
        if (state->running > 0 || percent > config::MinReportedFailingPercent) {
            loads.push_back({shortHash(name.value), static_cast<std::uint8_t>(std::min(state->running, 255U)), percent});
        }
    }
    return loads;
}
}
