#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace plumsill
{
namespace
{
PlaceReply toReply(std::uint64_t id, const Placement &placement)
{
    PlaceReply reply;
    reply.id = id;
    if (const auto *placed = std::get_if<Placed>(&placement)) {
        reply.status = PlaceStatus::Placed;
        reply.target = placed->target;
        reply.endpoint = placed->endpoint;
        reply.hedgeAfterMilliseconds = wholeMilliseconds(placed->hedgeAfter);
        if (placed->helper) {
            reply.helper = placed->helper->name;
            reply.helperPeer = placed->helper->peer;
        }
    } else if (const auto *over = std::get_if<OverQuota>(&placement)) {
        reply.status = PlaceStatus::OverQuota;
        reply.retryAfterMilliseconds = wholeMilliseconds(over->retryAfter);
    } else if (const auto *none = std::get_if<NoCapacity>(&placement)) {
        reply.status = PlaceStatus::NoCapacity;
        reply.retryAfterMilliseconds = wholeMilliseconds(none->retryAfter);
        reply.reason = none->reason;
    } else {
        reply.status = std::holds_alternative<UnknownTeam>(placement) ? PlaceStatus::UnknownTeam : PlaceStatus::Queued;
    }
    return reply;
}

Placement toPlacement(const PlaceReply &reply)
{
    const auto retryAfter = std::chrono::milliseconds(reply.retryAfterMilliseconds);
    switch (reply.status) {
    case PlaceStatus::Placed:
        return Placed {reply.target, reply.endpoint, std::chrono::milliseconds(reply.hedgeAfterMilliseconds),
                       reply.helper.value.empty() ? std::nullopt : std::optional(Helper {reply.helper, reply.helperPeer})};
    case PlaceStatus::OverQuota:
        return OverQuota {retryAfter};
    case PlaceStatus::Queued:
        return Queued {};
    case PlaceStatus::UnknownTeam:
        return UnknownTeam {};
    case PlaceStatus::NoCapacity:
    case PlaceStatus::NotReady:
        break;
    }
    return NoCapacity {retryAfter, reply.reason};
}
}

void ZoneControl::requestPlacement(ThreadPlacementRequest threadRequest)
{
    if (holdBack(threadRequest)) {
        return;
    }
    const std::uint64_t id = threadRequest.request.key.id;
    threadRequest.request.key.member = m_self.id;
    threadRequest.request.relayed = needsHelper(threadRequest.request.service);
    Pending pending;
    pending.threadRequest = std::move(threadRequest);
    m_pending.emplace(id, std::move(pending));
    requestFromHub(id);
}

void ZoneControl::requestFromHub(std::uint64_t id)
{
    const TimePoint now = RuntimeClock::now();
    const auto found = m_pending.find(id);
    const auto currentHub = hub(now);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    if (!currentHub || isSelf(*currentHub) || !m_enrolled || pending.unresponsiveHubs >= config::MaxUnresponsiveHubs) {
        placeLocally(id);
        return;
    }
    if (pending.hub != currentHub->id) {
        pending.hub = currentHub->id;
        pending.wait = {};
    }
    const PlacementRequest &placementRequest = pending.threadRequest.request;
    PlaceRequest request;
    request.id = id;
    request.service = placementRequest.service;
    request.team = placementRequest.team;
    request.route = placementRequest.route;
    request.priority = placementRequest.priority;
    request.idempotent = placementRequest.idempotent;
    request.repeat = placementRequest.repeat;
    request.admitted = placementRequest.admitted;
    request.relayed = placementRequest.relayed;
    request.objectiveMilliseconds = wholeMilliseconds(placementRequest.objective - now);
    request.deadlineMilliseconds = wholeMilliseconds(placementRequest.deadline - now);
    request.tried = placementRequest.tried;
    pending.wait.recordSent(now);
    send(currentHub->peer, std::move(request));
    awaitPlacementReply(id);
}

void ZoneControl::awaitPlacementReply(std::uint64_t id)
{
    Pending &pending = m_pending.at(id);
    if (!pending.timer) {
        pending.timer = std::make_unique<RuntimeTimer>(m_context);
    }
    pending.timer->expires_at(pending.wait.expiresAt());
    pending.timer->async_wait([this, id](const boost::system::error_code &error) {
        if (!error) {
            placementReplyTimedOut(id);
        }
    });
}

void ZoneControl::placementReplyTimedOut(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || found->second.queued) {
        return;
    }
    Pending &pending = found->second;
    const TimePoint now = RuntimeClock::now();
    switch (pending.wait.timedOut(now)) {
    case ReplyTimeout::WaitLonger:
        awaitPlacementReply(id);
        return;
    case ReplyTimeout::SendAgain:
        break;
    case ReplyTimeout::Unresponsive: {
        const auto currentHub = hub(now);
        ++pending.unresponsiveHubs;
        if (currentHub && pending.hub == currentHub->id) {
            hubUnresponsive(*currentHub, now);
            return;
        }
        break;
    }
    }
    requestFromHub(id);
}

// Records that the hub doesn't answer, and sends the requests that wait for it to the zone's next hub.
void ZoneControl::hubUnresponsive(const RegisteredDaemon &unresponsive, TimePoint now)
{
    Event("hub", "hub-silent").add("hub", unresponsive.id.name.value).add("heard_ms_ago", std::min<Duration>(now - m_hubReceivedAt, std::chrono::hours(1)));
    m_hubs.recordNoAnswer(unresponsive.id.name, now);
    resendPendingRequests(unresponsive.id);
}

void ZoneControl::resendPendingRequests(const MemberId &hub)
{
    std::vector<std::uint64_t> waiting;
    for (auto &[id, pending] : m_pending) {
        if (pending.hub && pending.hub->name == hub.name) {
            pending.queued = false;
            pending.hub.reset();
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        requestFromHub(id);
    }
}

void ZoneControl::placeLocally(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    found->second.hub.reset();
    const TimePoint now = RuntimeClock::now();
    const Placement placement = submit(found->second.threadRequest.request, now);
    if (std::holds_alternative<Queued>(placement)) {
        found->second.queued = true;
        found->second.timer.reset();
    } else {
        deliver(id, placement, true);
    }
    deliverQueuedPlacements();
}

void ZoneControl::deliver(std::uint64_t id, const Placement &placement, bool placedLocally)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    ThreadPlacementRequest threadRequest = std::move(found->second.threadRequest);
    m_pending.erase(found);
    const bool mayRun = threadRequest.trial || std::holds_alternative<NotQuarantined>(m_quarantine.check(threadRequest.digest, RuntimeClock::now()));
    if (std::holds_alternative<Placed>(placement) && !mayRun) {
        releasePlacement(id, placedLocally);
        threadRequest.request.admitted = true;
        holdBack(threadRequest);
        return;
    }
    ++(placedLocally ? m_localPlacements : m_hubPlacements);
    if (const auto *placed = std::get_if<Placed>(&placement)) {
        const RunningAttempt attempt {id, threadRequest.request.service, placed->target, threadRequest.request.route, 0};
        m_running[id] = {attempt, RuntimeClock::now(), placedLocally, placed->hedgeAfter, placed->helper, threadRequest.digest, placed->endpoint};
        m_threads[threadRequest.thread]->resolvePlacement(id, placement, tunnelTicket(*placed));
        return;
    }
    m_threads[threadRequest.thread]->resolvePlacement(id, placement);
}

// Frees the slot of a placement that is not used.
void ZoneControl::releasePlacement(std::uint64_t id, bool placedLocally)
{
    const TimePoint now = RuntimeClock::now();
    const auto currentHub = hub(now);
    if (placedLocally) {
        m_scheduler.finishAttempt({m_self.id, id}, AttemptEnd::Abandoned, Duration::zero(), now);
    } else if (currentHub && !isSelf(*currentHub)) {
        send(currentHub->peer, AttemptReport {id, AttemptEnd::Abandoned, 0});
    }
}

void ZoneControl::cancelRequest(std::uint64_t id)
{
    m_heldBack.erase(id);
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const auto pendingHub = found->second.hub;
    m_pending.erase(found);
    m_scheduler.cancelPlacement({m_self.id, id});
    const auto currentHub = hub(RuntimeClock::now());
    if (pendingHub && currentHub && !isSelf(*currentHub)) {
        send(currentHub->peer, PlacementCancellation {id});
    }
}

void ZoneControl::attemptEnded(const EndedAttempt &ended)
{
    const AttemptReport &report = ended.report;
    const auto found = m_running.find(report.id);
    if (found == m_running.end()) {
        return;
    }
    const Running running = found->second;
    const TargetName &target = running.attempt.target;
    m_running.erase(found);
    const TimePoint now = RuntimeClock::now();
    if (ended.run == RunEnd::ConnectionLost) {
        Event("traffic", "attempt-lost")
            .add("digest", toString(running.digest))
            .add("target", target.value)
            .add("helper", running.helper ? running.helper->name.value : std::string())
            .add("ran_ms", now - running.startedAt);
        boost::asio::co_spawn(m_context, confirmCrash(running, now), boost::asio::detached);
    } else if (ended.run == RunEnd::Answered) {
        recordAnswered(running.digest, now);
    }
    recordNotice(running.helper ? running.helper->name : m_self.id.name, target, report, now);
    if (running.helper && (report.leaving || report.restMilliseconds > 0 || report.limit.stated)) {
        send(running.helper->peer, TunnelNotice {target, report.limit, report.leaving, report.restMilliseconds});
    }
    recordPath(running, report.end, now);
    if (running.placedLocally) {
        m_scheduler.finishAttempt({m_self.id, report.id}, report.end, std::chrono::milliseconds(report.durationMilliseconds), now);
        deliverQueuedPlacements();
        return;
    }
    const auto currentHub = hub(now);
    if (currentHub && !isSelf(*currentHub)) {
        send(currentHub->peer, report);
    }
}

void ZoneControl::recordNotice(const InstanceName &sender, const TargetName &target, const AttemptReport &report, TimePoint now)
{
    if (report.restMilliseconds > 0) {
        const Duration known = m_scheduler.restLeft(target, sender, now);
        m_scheduler.recordRest(target, sender, now + std::chrono::milliseconds(report.restMilliseconds));
        Event("targets", "target-rests")
            .add("target", target.value)
            .add("from", sender.value)
            .add("known_ms", known)
            .add("listed", m_list.find(target) != nullptr)
            .add("rest_ms", std::chrono::milliseconds(report.restMilliseconds));
    }
    const bool leaving = report.leaving && m_scheduler.recordLeaving(target);
    if (leaving) {
        Event("targets", "target-says-leaving").add("target", target.value);
    }
    if (sender == m_self.id.name && (leaving || report.restMilliseconds > 0)) {
        tellAskers({target, report.leaving, report.restMilliseconds}, now);
    }
    const LimitStatement &limit = report.limit;
    if (m_scheduler.recordLimit(target, limit, now)) {
        Event("limits", limit.limited ? "target-limited" : "target-limit-ended")
            .add("target", target.value)
            .add("per_minute", static_cast<std::int64_t>(limit.perSecond * 60));
    }
}

void ZoneControl::reply(const Endpoint &to, std::uint64_t id, const Placement &placement)
{
    send(to, toReply(id, placement));
}

void ZoneControl::deliverQueuedPlacements()
{
    for (const auto &decided : m_scheduler.serve(RuntimeClock::now())) {
        const auto member = m_members.find(decided.key.member);
        if (decided.key.member == m_self.id) {
            deliver(decided.key.id, decided.placement, true);
        } else if (member != m_members.end()) {
            reply(member->second.peer, decided.key.id, decided.placement);
        }
    }
}

void ZoneControl::received(const Envelope &envelope, const PlaceRequest &request)
{
    const TimePoint now = RuntimeClock::now();
    MemberRecord &member = m_members[envelope.sender];
    member.peer = envelope.replyTo;
    member.lastReceivedAt = now;
    if (!m_compiled || !m_list.readAt()) {
        send(envelope.replyTo, PlaceReply {request.id, PlaceStatus::NotReady, {}, {}, 0, 0, {}});
        return;
    }
    PlacementRequest placementRequest;
    placementRequest.key = {envelope.sender, request.id};
    placementRequest.service = request.service;
    placementRequest.team = request.team;
    placementRequest.route = request.route;
    placementRequest.priority = request.priority;
    placementRequest.idempotent = request.idempotent;
    placementRequest.repeat = request.repeat;
    placementRequest.admitted = request.admitted;
    placementRequest.relayed = request.relayed;
    placementRequest.objective = now + std::chrono::milliseconds(request.objectiveMilliseconds);
    placementRequest.deadline = now + std::chrono::milliseconds(request.deadlineMilliseconds);
    placementRequest.tried = request.tried;
    reply(envelope.replyTo, request.id, submit(placementRequest, now));
    deliverQueuedPlacements();
}

// A hub without a connection to the platform, or one that has stood still, may place requests at a target that is leaving or
// removed according to this daemon's list. A target that this daemon has never listed counts as removed only if this daemon read the list from
// the platform itself, more than NewerListMargin after the read that gave the hub its list. In a grace period the platform may lack entries of
// live targets.
bool ZoneControl::isKnownUnusable(const Placed &placed) const
{
    if (m_scheduler.saidLeaving(placed.target)) {
        return true;
    }
    const Target *target = m_list.find(placed.target);
    if (target != nullptr) {
        return target->leaving && target->endpoint == placed.endpoint;
    }
    if (m_list.wasRemoved(placed.target, placed.endpoint)) {
        return true;
    }
    const bool newer = m_list.readAt() && !m_listSource && *m_list.readAt() - config::NewerListMargin > m_hubListReadAt;
    return newer && m_list.graceLeft(RuntimeClock::now()) == Duration::zero();
}

// A placement by a hub that this daemon no longer uses is still valid, since that hub has counted the attempt. If the
// request no longer waits, the hub is informed that the attempt was abandoned.
void ZoneControl::received(const Envelope &envelope, const PlaceReply &reply)
{
    const auto found = m_pending.find(reply.id);
    const Placement placement = toPlacement(reply);
    const bool known = found != m_pending.end();
    if (!known) {
        ++m_repliesWithoutRequest;
        if (reply.status == PlaceStatus::Placed && !m_running.contains(reply.id)) {
            send(envelope.replyTo, AttemptReport {reply.id, AttemptEnd::Abandoned, 0});
        }
        return;
    }
    if (std::holds_alternative<Queued>(placement)) {
        found->second.queued = found->second.hub == envelope.sender;
        return;
    }
    if (reply.status == PlaceStatus::NotReady) {
        if (found->second.hub == envelope.sender) {
            ++found->second.unresponsiveHubs;
            hubUnresponsive({envelope.sender, m_settings.zone, envelope.replyTo, 0}, RuntimeClock::now());
        }
        return;
    }
    const TimePoint now = RuntimeClock::now();
    if (reply.status == PlaceStatus::UnknownTeam && found->second.hub == envelope.sender && hubDocumentIsOlder()) {
        // The request is sent again as if its reply were lost: to this hub, which fetches the document meanwhile, or to the next one.
        tellHubOfDocument(now);
        return;
    }
    m_scheduler.cancelPlacement({m_self.id, reply.id});
    const auto *placed = std::get_if<Placed>(&placement);
    const InstanceName &sender = placed != nullptr && placed->helper ? placed->helper->name : m_self.id.name;
    if (placed != nullptr && (isKnownUnusable(*placed) || m_scheduler.restLeft(placed->target, sender, now) > Duration::zero())) {
        // This daemon knows that the target is unusable, so it rejects the hub's choice: it informs the hub and
        // requests a new placement that excludes the target.
        AttemptReport report {reply.id, AttemptEnd::Unlisted, 0};
        if (const Duration rest = m_scheduler.restLeft(placed->target, sender, now); rest > Duration::zero()) {
            report.end = AttemptEnd::Abandoned;
            report.restMilliseconds = millisecondsRoundedUp(rest);
        }
        send(envelope.replyTo, report);
        ThreadPlacementRequest threadRequest = std::move(found->second.threadRequest);
        m_pending.erase(found);
        threadRequest.request.tried.push_back(placed->target);
        threadRequest.request.admitted = true;
        Event("hub", "placement-refused").add("hub", envelope.sender.name.value).add("target", placed->target.value);
        requestPlacement(std::move(threadRequest));
        return;
    }
    deliver(reply.id, placement, false);
}
}
