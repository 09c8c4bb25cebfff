#include <plumsill/config.h>
#include <plumsill/event.h>
#include <plumsill/scheduler.h>
#include <plumsill/urgent_reserve.h>

#include <algorithm>
#include <limits>
#include <utility>

// Requests that wait for a target, and the refusal of those that cannot be served in time.
namespace plumsill
{
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
    const Duration answerTime = latency(service, request.route, (request.objective - now) / 3).quantile(config::LateAnswerShare);
    const TimePoint latest = (request.objective - answerTime > now ? request.objective : request.deadline) - answerTime;
    const auto helper = request.relayed ? m_helpers.choose(request.key.member.name, request.service, now) : std::nullopt;
    const Closure closure = closureOfAll(service, helper ? helper->name : request.key.member.name, now);
    if (!anyTarget || latest <= now + closure.left) {
        returnToken(request);
        return NoCapacity {expectedCapacityDelay(service, closure.left), closure.reason};
    }
    const std::uint64_t id = m_nextQueueId++;
    const QueueResult queueResult
        = service.queues.push(request.priority, {id, request.team, latest, service.work.work(request.route)}, assumedRate(service), now);
    if (queueResult.displaced) {
        const QueuedPlacement dropped = takeQueued(*queueResult.displaced);
        returnTokenWithinRate(dropped.request, now);
        ++m_counts[dropped.request.priority].refused[CapacityReason::QueueFull];
        m_displaced.push_back({dropped.request.key, NoCapacity {expectedCapacityDelay(service, queueResult.retryAfter), CapacityReason::QueueFull}});
    }
    if (!queueResult.accepted) {
        returnTokenWithinRate(request, now);
        if (now - service.shortageLoggedAt >= config::ShortageLogInterval) {
            service.shortageLoggedAt = now;
            Event("scheduler", "service-short")
                .add("service", request.service.value)
                .add("priority", static_cast<std::int64_t>(request.priority))
                .add("refused_for", toString(queueResult.full ? CapacityReason::QueueFull : CapacityReason::TooLate))
                .add("wait_ms", queueResult.retryAfter)
                .add("time_left_ms", latest - now)
                .add("waiting", static_cast<std::int64_t>(service.queues.size(request.priority)))
                .add("running", static_cast<std::int64_t>(service.running));
        }
        return NoCapacity {expectedCapacityDelay(service, queueResult.retryAfter), queueResult.full ? CapacityReason::QueueFull : CapacityReason::TooLate};
    }
    m_waiting.emplace(request.key, QueuedPlacement {request, id});
    m_keyByQueueId.emplace(id, request.key);
    return Queued {};
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
    service(found->second.request.service).queues.remove(found->second.queueId);
    m_keyByQueueId.erase(found->second.queueId);
    returnToken(found->second.request);
    m_waiting.erase(found);
}

// A request that can wait no longer is placed even at a target that seems to fail. It is refused only if no usable target
// has a free slot.
void Scheduler::placeExpired(ServiceState &service, unsigned priority, std::vector<DelayedPlacement> &decided, TimePoint now)
{
    for (const auto id : service.queues.expire(priority, now)) {
        const QueuedPlacement queued = takeQueued(id);
        Placement placement = NoCapacity {expectedCapacityDelay(service, Duration::zero()), CapacityReason::TooLate};
        if (auto placed = place(service, queued.request, true, now)) {
            placement = *placed;
        } else {
            returnTokenWithinRate(queued.request, now);
        }
        count(priority, placement);
        decided.push_back({queued.request.key, placement});
    }
}

double Scheduler::assumedRate(const ServiceState &service)
{
    const double mean = seconds(service.work.mean());
    return mean > 0 ? service.running / mean : 0;
}

// Looks at no more targets than it takes to find enough free slots, since it is asked for each request of a lower priority.
bool Scheduler::reservedForUrgent(const ServiceState &service, unsigned priority, TimePoint now) const
{
    UrgentLoad load {service.queues.requestsAbove(priority, now), assumedRate(service), std::numeric_limits<unsigned>::max()};
    const unsigned needed = reservedSlots(load);
    if (needed == 0) {
        return false;
    }
    load.slots = 0;
    unsigned freeSlots = 0;
    for (const auto &state : service.targets) {
        if (inUse(*state)) {
            const unsigned slots = slotsOf(service, *state);
            load.slots += slots;
            freeSlots += hasCapacity(service, *state, now) ? slots - state->running : 0;
        }
        if (freeSlots > needed) {
            return false;
        }
    }
    const unsigned reserved = reservedSlots(load);
    return reserved > 0 && freeSlots <= reserved;
}

// A request waits for healthy targets while there are any; else for those that are healthy enough for repeatable requests; else it is placed
// at whichever target is free, as place() does.
bool Scheduler::anyFreeTarget(const ServiceState &service, unsigned priority, TimePoint now) const
{
    const auto usable = [now](const TargetState &state) { return inUse(state) && state.unlistedUntil <= now; };
    double lowestFree = std::numeric_limits<double>::infinity();
    for (const auto &state : service.targets) {
        if (lowestFree > config::RiskyShare && usable(*state) && hasCapacity(service, *state, now)) {
            lowestFree = std::min(lowestFree, failureProbability(*state, now));
        }
    }
    if (lowestFree == std::numeric_limits<double>::infinity()) {
        return false;
    }
    if (lowestFree > config::RiskyShare) {
        double lowest = lowestFree;
        for (const auto &state : service.targets) {
            lowest = usable(*state) ? std::min(lowest, failureProbability(*state, now)) : lowest;
        }
        const double accepted = lowest <= config::RiskyShare ? config::RiskyShare : lowest <= config::RepeatableTrialShare ? config::RepeatableTrialShare : 1;
        if (lowestFree > accepted) {
            return false;
        }
    }
    return !reservedForUrgent(service, priority, now);
}

// A request that waited longest is placed before those of a lower priority, so each priority's expired requests come first.
void Scheduler::serveService(ServiceState &service, std::vector<DelayedPlacement> &decided, TimePoint now)
{
    for (const unsigned priority : service.queues.priorities()) {
        placeExpired(service, priority, decided, now);
        while (!service.queues.empty() && anyFreeTarget(service, priority, now)) {
            const auto next = service.queues.pop(priority, now);
            if (!next) {
                break;
            }
            const QueuedPlacement queued = takeQueued(next->id);
            Placement placement = NoCapacity {expectedCapacityDelay(service, Duration::zero())};
            if (auto placed = place(service, queued.request, false, now)) {
                service.queues.recordServed(next->cost, now);
                placement = *placed;
            } else {
                // Each healthy target with a free slot was already tried by this request, or its daemon could not connect to it.
                returnToken(queued.request);
            }
            count(queued.request.priority, placement);
            decided.push_back({queued.request.key, placement});
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
}
