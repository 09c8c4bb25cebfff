#pragma once

#include "health_fleet_state.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Discrete-event model of daemons and the targets of one service, in simulated time.
namespace plumsill::model
{
class HealthFleet
{
public:
    explicit HealthFleet(const FleetOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , faults(options.targets)
        , totals(options.targets)
        , m_targets(options.targets)
    {
        m_service.name = {"service"};
        m_service.floor = options.floor;
        m_service.slots = options.slots;
        m_service.policy = options.policy;
        for (std::size_t index = 0; index < options.targets; ++index) {
            addListed(index);
        }
        for (std::size_t index = 0; index < options.daemons; ++index) {
            m_daemons.push_back(std::make_unique<Daemon>(sourceOf(index), options.seed * 1000 + index));
            startDaemon(index);
            schedule(m_now + randomDuration(0ms, 100ms), Kind::Tick, index);
        }
        scheduleArrival();
    }

    void runFor(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_now = end;
    }

    TimePoint now() const { return m_now; }
    TargetName name(std::size_t target) const { return {"t" + std::to_string(target)}; }
    void setLoad(double load) { m_options.load = load; }

    /// Delivers a listing of the platform to one daemon.
    void sendListing(std::size_t daemon, const std::vector<Target> &targets)
    {
        m_daemons[daemon]->local.setTargets(m_service.name, targets, m_now);
        updateOwnerTargets(daemon);
        refreshView(daemon);
    }

    void sendListingToAll()
    {
        for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
            sendListing(daemon, listed);
        }
    }

    /// Adds a target that is cold for @p coldFor and returns its index.
    std::size_t addTarget(Duration coldFor)
    {
        const std::size_t index = m_targets.size();
        m_targets.emplace_back();
        m_targets.back().coldUntil = m_now + coldFor;
        faults.emplace_back();
        totals.emplace_back();
        for (auto &daemon : m_daemons) {
            daemon->inFlight.emplace_back();
            daemon->latency.emplace_back();
        }
        addListed(index);
        return index;
    }

    void cutLink(std::size_t daemon, std::size_t target) { m_cutLinks.insert({daemon, target}); }
    void restoreLinks() { m_cutLinks.clear(); }
    void crashDaemon(std::size_t daemon) { m_daemons[daemon]->alive = false; }

    /// Makes daemon @p next the owner in a new epoch. The previous owner stops acting; @p next acts as owner after @p wait.
    void changeOwner(std::size_t next, Duration wait)
    {
        ++m_epoch;
        m_owner = next;
        m_ownerActsFrom = m_now + wait;
        for (auto &daemon : m_daemons) {
            daemon->local.recordEpoch(m_epoch);
        }
    }

    ServiceView view(std::size_t daemon) const { return m_daemons[daemon]->local.view(m_service.name, m_now); }

    /// Number of live daemons at which @p target has the use @p use.
    std::size_t countUse(std::size_t target, TargetUse use) const
    {
        std::size_t count = 0;
        for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
            for (const auto &seen : view(daemon).targets) {
                count += seen.target.name == name(target) && seen.use == use && m_daemons[daemon]->alive ? 1 : 0;
            }
        }
        return count;
    }

    bool outEverywhere(std::size_t target) const { return countUse(target, TargetUse::Ejected) + countUse(target, TargetUse::Trial) == aliveDaemons(); }

    std::size_t aliveDaemons() const
    {
        std::size_t count = 0;
        for (const auto &daemon : m_daemons) {
            count += daemon->alive ? 1 : 0;
        }
        return count;
    }

    /// Targets that are ejected or on trial at any daemon.
    std::set<TargetName> ejectedAnywhere() const
    {
        std::set<TargetName> found;
        for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
            for (const auto &seen : view(daemon).targets) {
                if (seen.use == TargetUse::Ejected || seen.use == TargetUse::Trial) {
                    found.insert(seen.target.name);
                }
            }
        }
        return found;
    }

private:
    FleetOptions m_options;
    std::mt19937_64 m_random;

public:
    std::vector<TargetFault> faults;
    std::vector<TargetTotals> totals;
    std::vector<Target> listed;
    std::vector<SeenEvent> seen;
    std::uint64_t digestBytes = 0;
    std::uint64_t digests = 0;
    std::uint64_t verdicts = 0;
    std::function<void(const HealthDigest &)> onDigest;
    std::function<void()> onTick; ///< called after each tick of a daemon

private:
    EvidenceSource sourceOf(std::size_t daemon) const { return {{{"d" + std::to_string(daemon)}, 1}, {"z" + std::to_string(daemon % m_options.zones)}}; }

    void addListed(std::size_t index)
    {
        const ZoneName zone {"z" + std::to_string(index % m_options.zones)};
        listed.push_back({name(index), m_service.name, zone, {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)}, false});
    }

    void startDaemon(std::size_t index)
    {
        Daemon &daemon = *m_daemons[index];
        daemon.inFlight.resize(m_targets.size());
        daemon.latency.resize(m_targets.size());
        daemon.local.setServices({m_service});
        daemon.owner.setServices({m_service});
        daemon.local.recordEpoch(m_epoch);
        sendListing(index, listed);
    }

    void updateOwnerTargets(std::size_t daemon)
    {
        m_daemons[daemon]->owner.setTargets(m_service.name, m_daemons[daemon]->local.targets(m_service.name), m_now);
    }
    void refreshView(std::size_t daemon) { m_daemons[daemon]->view = view(daemon); }

    void schedule(TimePoint at, Kind kind, std::size_t index) { m_events.push({at, kind, index, ++m_eventSequence}); }

    Duration randomDuration(Duration min, Duration max) { return fromSeconds(std::uniform_real_distribution<double>(seconds(min), seconds(max))(m_random)); }

    bool chance(double share) { return share > 0 && std::uniform_real_distribution<double>()(m_random) < share; }

    void scheduleArrival()
    {
        const double meanService = m_options.serviceMedian * std::exp(m_options.serviceSigma * m_options.serviceSigma / 2) * (1 + 9 * m_options.heavyShare);
        const double rate = m_options.load * m_options.slots * static_cast<double>(m_options.targets) / meanService;
        schedule(m_now + fromSeconds(std::exponential_distribution<double>(rate)(m_random)), Kind::Arrival, 0);
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            arrive();
            break;
        case Kind::AtTarget:
            reachTarget(event.index);
            break;
        case Kind::Done:
            finishAtTarget(event.index);
            break;
        case Kind::Answer:
            answer(event.index);
            break;
        case Kind::Tick:
            tick(event.index);
            break;
        case Kind::Digest:
        case Kind::Verdict:
        case Kind::Heartbeat:
            deliver(event.index);
            break;
        }
    }

    std::size_t newRequest()
    {
        if (m_freeRequests.empty()) {
            m_requests.emplace_back();
            return m_requests.size() - 1;
        }
        const std::size_t id = m_freeRequests.back();
        m_freeRequests.pop_back();
        m_requests[id] = {};
        return id;
    }

    void arrive()
    {
        scheduleArrival();
        const std::size_t daemon = std::uniform_int_distribution<std::size_t>(0, m_daemons.size() - 1)(m_random);
        if (!m_daemons[daemon]->alive) {
            return;
        }
        const std::size_t id = newRequest();
        m_requests[id].daemon = daemon;
        send(id);
    }

    std::size_t indexOf(const Target &target) const { return static_cast<std::size_t>(target.endpoint.port - 1000); }

    void send(std::size_t id)
    {
        Request &request = m_requests[id];
        Daemon &daemon = *m_daemons[request.daemon];
        m_candidates.clear();
        for (const auto &seenTarget : daemon.view.targets) {
            const std::size_t target = indexOf(seenTarget.target);
            const bool tried = std::find(request.tried.begin(), request.tried.end(), target) != request.tried.end();
            m_candidates.push_back(
                {seenTarget.weight, static_cast<unsigned>(daemon.inFlight[target].size()), m_options.slots, daemon.latency[target].value(m_now), tried});
        }
        const auto picked = daemon.balancer.pick(m_candidates);
        if (!picked || ++request.attempts > config::MaxAttempts) {
            m_freeRequests.push_back(id);
            return;
        }
        request.target = indexOf(daemon.view.targets[*picked].target);
        request.tried.push_back(request.target);
        request.sent = m_now;
        request.countedSlow = false;
        daemon.inFlight[request.target].insert(id);
        schedule(m_now + 1ms, Kind::AtTarget, id);
    }

    void reachTarget(std::size_t id)
    {
        Request &request = m_requests[id];
        const TargetFault &fault = faults[request.target];
        TargetState &target = m_targets[request.target];
        ++totals[request.target].requests;
        if (m_cutLinks.contains({request.daemon, request.target})) {
            request.outcome = AnswerKind::Timeout;
            schedule(request.sent + m_options.requestTimeout, Kind::Answer, id);
        } else if (fault.dead) {
            request.outcome = AnswerKind::Unreachable;
            schedule(m_now + 1ms, Kind::Answer, id);
        } else if (target.busySlots < m_options.slots) {
            start(id);
        } else if (target.queue.size() < m_options.queueLimit) {
            ++totals[request.target].queued;
            target.queue.push_back(id);
        } else {
            ++totals[request.target].shed;
            request.outcome = AnswerKind::Shed;
            schedule(m_now + 1ms, Kind::Answer, id);
        }
    }

    void start(std::size_t id)
    {
        Request &request = m_requests[id];
        const TargetFault &fault = faults[request.target];
        TargetState &target = m_targets[request.target];
        ++target.busySlots;
        double work = std::lognormal_distribution<double>(std::log(m_options.serviceMedian), m_options.serviceSigma)(m_random);
        work *= chance(m_options.heavyShare) ? 10 : 1;
        work *= fault.slowFactor * (m_now < target.coldUntil ? 8 : 1);
        request.outcome = AnswerKind::Good;
        if (chance(fault.errorShare + m_options.errorShare)) {
            request.outcome = AnswerKind::Error;
        } else if (chance(fault.truncatedShare)) {
            request.outcome = AnswerKind::Truncated;
        }
        schedule(m_now + fromSeconds(work), Kind::Done, id);
    }

    void finishAtTarget(std::size_t id)
    {
        TargetState &target = m_targets[m_requests[id].target];
        --target.busySlots;
        schedule(m_now + 1ms, Kind::Answer, id);
        if (!target.queue.empty()) {
            const std::size_t next = target.queue.front();
            target.queue.pop_front();
            start(next);
        }
    }

    void answer(std::size_t id)
    {
        Request &request = m_requests[id];
        Daemon &daemon = *m_daemons[request.daemon];
        const Duration latency = m_now - request.sent;
        daemon.inFlight[request.target].erase(id);
        countAnswer(daemon.evidence[request.target], request.outcome, latency, daemon.view.slowAfter, request.countedSlow);
        if (request.outcome == AnswerKind::Good) {
            daemon.latency[request.target].add(latency, m_now);
        } else {
            daemon.latency[request.target].addFailure(m_now);
        }
        if (faults[request.target].drains) {
            const std::size_t target = request.target;
            daemon.local.recordLeaving({name(target), listed[target].endpoint}, m_now);
            refreshView(request.daemon);
        }
        if (request.outcome == AnswerKind::Good) {
            m_freeRequests.push_back(id);
        } else {
            send(id);
        }
    }

    void countOverdueRequests(Daemon &daemon)
    {
        if (daemon.view.slowAfter == Duration::zero()) {
            return;
        }
        for (std::size_t target = 0; target < daemon.inFlight.size(); ++target) {
            for (const std::size_t id : daemon.inFlight[target]) {
                Request &request = m_requests[id];
                daemon.latency[target].addWaiting(m_now - request.sent, m_now);
                if (!request.countedSlow && m_now - request.sent > daemon.view.slowAfter) {
                    request.countedSlow = true;
                    countOverdue(daemon.evidence[target]);
                }
            }
        }
    }

    void tick(std::size_t index)
    {
        schedule(m_now + 100ms, Kind::Tick, index);
        Daemon &daemon = *m_daemons[index];
        if (!daemon.alive) {
            return;
        }
        countOverdueRequests(daemon);
        std::vector<TargetEvidence> evidence;
        for (auto &[target, part] : daemon.evidence) {
            part.target = name(target);
            evidence.push_back(part);
        }
        daemon.evidence.clear();
        daemon.local.record(m_service.name, evidence, m_now);
        for (const auto &effect : daemon.local.tick(m_now)) {
            if (const auto *digest = std::get_if<SendDigest>(&effect)) {
                sendDigest(index, digest->digest);
            } else {
                seen.push_back({m_now, index, false, std::get<HealthEvent>(effect)});
            }
        }
        sendHeartbeats(index);
        updateOwnerTargets(index);
        refreshView(index);
        if (onTick) {
            onTick();
        }
    }

    void sendDigest(std::size_t from, const HealthDigest &digest)
    {
        ++digests;
        if (onDigest) {
            onDigest(digest);
        }
        if (m_options.pooled) {
            sendMessage(Kind::Digest, {m_owner, from, m_epoch, digest});
        }
    }

    void sendHeartbeats(std::size_t from)
    {
        Daemon &daemon = *m_daemons[from];
        const auto leaving = daemon.local.leavingTargetsForHeartbeat(m_now);
        if (leaving.empty() || m_now - m_lastHeartbeatAt[from] < config::HeartbeatInterval) {
            return;
        }
        m_lastHeartbeatAt[from] = m_now;
        for (std::size_t to = 0; to < m_daemons.size(); ++to) {
            Heartbeat heartbeat;
            heartbeat.leavingTargets = leaving;
            sendMessage(Kind::Heartbeat, {to, from, m_epoch, heartbeat});
        }
    }

    void sendMessage(Kind kind, MessageInFlight envelope)
    {
        if (chance(m_options.loss)) {
            return;
        }
        std::size_t slot = m_messagesInFlight.size();
        if (m_freeMessageSlots.empty()) {
            m_messagesInFlight.push_back(std::move(envelope));
        } else {
            slot = m_freeMessageSlots.back();
            m_freeMessageSlots.pop_back();
            m_messagesInFlight[slot] = std::move(envelope);
        }
        schedule(m_now + randomDuration(m_options.delayMin, m_options.delayMax), kind, slot);
    }

    void deliver(std::size_t slot)
    {
        const MessageInFlight envelope = std::move(m_messagesInFlight[slot]);
        m_freeMessageSlots.push_back(slot);
        Daemon &daemon = *m_daemons[envelope.to];
        if (!daemon.alive) {
            return;
        }
        if (const auto *digest = std::get_if<HealthDigest>(&envelope.message)) {
            const bool acts = envelope.to == m_owner && m_now >= m_ownerActsFrom;
            for (const auto &effect : daemon.owner.handleDigest(m_daemons[envelope.from]->source, *digest, acts, m_now)) {
                if (const auto *verdict = std::get_if<SendVerdict>(&effect)) {
                    ++verdicts;
                    sendMessage(Kind::Verdict, {envelope.from, envelope.to, m_epoch, verdict->verdict});
                } else {
                    seen.push_back({m_now, envelope.to, true, std::get<HealthEvent>(effect)});
                }
            }
        } else if (const auto *verdict = std::get_if<Verdict>(&envelope.message)) {
            daemon.local.handleVerdict(envelope.epoch, *verdict, m_now);
            refreshView(envelope.to);
        } else if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message)) {
            for (const auto &target : heartbeat->leavingTargets) {
                daemon.local.recordLeaving(target, m_now);
            }
            refreshView(envelope.to);
        }
    }

    Service m_service;
    std::vector<TargetState> m_targets;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::deque<Request> m_requests;
    std::vector<std::size_t> m_freeRequests;
    std::deque<MessageInFlight> m_messagesInFlight;
    std::vector<std::size_t> m_freeMessageSlots;
    std::priority_queue<Event> m_events;
    std::vector<Candidate> m_candidates;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::map<std::size_t, TimePoint> m_lastHeartbeatAt;
    std::uint64_t m_eventSequence = 0;
    std::uint64_t m_epoch = 1;
    std::size_t m_owner = 0;
    TimePoint m_ownerActsFrom;
    TimePoint m_now = TimePoint(1000s);
};
}
