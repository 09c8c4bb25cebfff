#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

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
    } else if (const auto *over = std::get_if<OverQuota>(&placement)) {
        reply.status = PlaceStatus::OverQuota;
        reply.retryAfterMilliseconds = wholeMilliseconds(over->retryAfter);
    } else if (const auto *none = std::get_if<NoCapacity>(&placement)) {
        reply.status = PlaceStatus::NoCapacity;
        reply.retryAfterMilliseconds = wholeMilliseconds(none->retryAfter);
    } else {
        reply.status = PlaceStatus::Queued;
    }
    return reply;
}

Placement toPlacement(const PlaceReply &reply)
{
    const auto retryAfter = std::chrono::milliseconds(reply.retryAfterMilliseconds);
    switch (reply.status) {
    case PlaceStatus::Placed:
        return Placed {reply.target, reply.endpoint, std::chrono::milliseconds(reply.hedgeAfterMilliseconds)};
    case PlaceStatus::OverQuota:
        return OverQuota {retryAfter};
    case PlaceStatus::Queued:
        return Queued {};
    case PlaceStatus::NoCapacity:
        break;
    }
    return NoCapacity {retryAfter};
}
}

void ZoneControl::requestPlacement(ThreadPlacementRequest wish)
{
    const std::uint64_t id = wish.ask.key.id;
    wish.ask.key.member = m_self.id;
    Pending pending;
    pending.wish = std::move(wish);
    m_pending.emplace(id, std::move(pending));
    askHub(id);
}

void ZoneControl::askHub(std::uint64_t id)
{
    const TimePoint now = RuntimeClock::now();
    const auto found = m_pending.find(id);
    const auto asked = hub(now);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    if (!asked || isSelf(*asked) || !m_enrolled || pending.hubs >= config::MaxUnresponsiveHubs) {
        askHere(id);
        return;
    }
    if (pending.hub != asked->id) {
        pending.hub = asked->id;
        pending.asks = 0;
    }
    const PlacementRequest &ask = pending.wish.ask;
    PlaceRequest request;
    request.id = id;
    request.service = ask.service;
    request.team = ask.team;
    request.route = ask.route;
    request.priority = ask.priority;
    request.idempotent = ask.idempotent;
    request.repeat = ask.repeat;
    request.objectiveMilliseconds = wholeMilliseconds(ask.objective - now);
    request.deadlineMilliseconds = wholeMilliseconds(ask.deadline - now);
    request.tried = ask.tried;
    ++pending.asks;
    send(asked->peer, std::move(request));
    if (!pending.timer) {
        pending.timer = std::make_unique<RuntimeTimer>(m_context);
    }
    pending.timer->expires_after(config::PlacementReplyTimeout);
    pending.timer->async_wait([this, id](const boost::system::error_code &error) {
        if (!error) {
            askTimedOut(id);
        }
    });
}

void ZoneControl::askTimedOut(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || found->second.queued) {
        return;
    }
    Pending &pending = found->second;
    if (pending.asks >= config::MaxUnansweredPlacementRequests) {
        const TimePoint now = RuntimeClock::now();
        const auto asked = hub(now);
        ++pending.hubs;
        if (asked && pending.hub == asked->id) {
            hubUnresponsive(*asked, now);
            return;
        }
    }
    askHub(id);
}

// Whoever waits for a silent scheduler asks the next one.
void ZoneControl::hubUnresponsive(const RegisteredDaemon &silent, TimePoint now)
{
    Event("hub", "hub-silent").add("hub", silent.id.name.value).add("heard_ms_ago", std::min<Duration>(now - m_hubReceivedAt, std::chrono::hours(1)));
    m_hubs.silent(silent.id.name, now);
    askAgain(silent.id);
}

void ZoneControl::askAgain(const MemberId &hub)
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
        askHub(id);
    }
}

void ZoneControl::askHere(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    found->second.hub.reset();
    const TimePoint now = RuntimeClock::now();
    const Placement placement = m_scheduler.ask(found->second.wish.ask, now);
    if (std::holds_alternative<Queued>(placement)) {
        found->second.queued = true;
        found->second.timer.reset();
    } else {
        deliver(id, placement, true);
    }
    sendLate();
}

void ZoneControl::deliver(std::uint64_t id, const Placement &placement, bool here)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const ThreadPlacementRequest wish = std::move(found->second.wish);
    m_pending.erase(found);
    ++(here ? m_localPlacements : m_hubPlacements);
    if (const auto *placed = std::get_if<Placed>(&placement)) {
        m_running[id] = {{id, wish.ask.service, placed->target, wish.ask.route, 0}, RuntimeClock::now(), here};
    }
    m_threads[wish.thread]->resolvePlacement(id, placement);
}

void ZoneControl::cancelRequest(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const auto asked = found->second.hub;
    m_pending.erase(found);
    m_scheduler.cancelPlacement({m_self.id, id});
    const auto present = hub(RuntimeClock::now());
    if (asked && present && !isSelf(*present)) {
        send(present->peer, PlacementCancellation {id});
    }
}

void ZoneControl::attemptEnded(const AttemptReport &report)
{
    const auto found = m_running.find(report.id);
    if (found == m_running.end()) {
        return;
    }
    const bool here = found->second.placedHere;
    m_running.erase(found);
    const TimePoint now = RuntimeClock::now();
    if (here) {
        m_scheduler.finishAttempt({m_self.id, report.id}, report.end, std::chrono::milliseconds(report.durationMilliseconds), now);
        sendLate();
        return;
    }
    const auto present = hub(now);
    if (present && !isSelf(*present)) {
        send(present->peer, report);
    }
}

void ZoneControl::reply(const Endpoint &to, std::uint64_t id, const Placement &placement)
{
    send(to, toReply(id, placement));
}

void ZoneControl::sendLate()
{
    for (const auto &late : m_scheduler.serve(RuntimeClock::now())) {
        const auto member = m_members.find(late.key.member);
        if (late.key.member == m_self.id) {
            deliver(late.key.id, late.placement, true);
        } else if (member != m_members.end()) {
            reply(member->second.peer, late.key.id, late.placement);
        }
    }
}

void ZoneControl::received(const Envelope &envelope, const PlaceRequest &request)
{
    const TimePoint now = RuntimeClock::now();
    MemberRecord &member = m_members[envelope.sender];
    member.peer = envelope.replyTo;
    member.lastReceivedAt = now;
    PlacementRequest ask;
    ask.key = {envelope.sender, request.id};
    ask.service = request.service;
    ask.team = request.team;
    ask.route = request.route;
    ask.priority = request.priority;
    ask.idempotent = request.idempotent;
    ask.repeat = request.repeat;
    ask.objective = now + std::chrono::milliseconds(request.objectiveMilliseconds);
    ask.deadline = now + std::chrono::milliseconds(request.deadlineMilliseconds);
    ask.tried = request.tried;
    reply(envelope.replyTo, request.id, m_scheduler.ask(ask, now));
    sendLate();
}

// A scheduler that is cut off from the platform may not know what this daemon has read there.
bool ZoneControl::knownToLeave(const Placed &placed) const
{
    const Target *target = m_list.find(placed.target);
    if (target != nullptr) {
        return target->leaving && target->endpoint == placed.endpoint;
    }
    const bool newer = m_list.readAt() && !m_listSource && *m_list.readAt() - config::NewerListMargin > m_hubListAt;
    return newer;
}

// A reply of a scheduler that was given up still holds: it has counted the attempt.
void ZoneControl::received(const Envelope &envelope, const PlaceReply &reply)
{
    const auto found = m_pending.find(reply.id);
    const Placement placement = toPlacement(reply);
    const bool known = found != m_pending.end();
    if (!known) {
        if (reply.status == PlaceStatus::Placed && !m_running.contains(reply.id)) {
            send(envelope.replyTo, AttemptReport {reply.id, AttemptEnd::Abandoned, 0});
        }
        return;
    }
    if (std::holds_alternative<Queued>(placement)) {
        found->second.queued = found->second.hub == envelope.sender;
        return;
    }
    m_scheduler.cancelPlacement({m_self.id, reply.id});
    const auto *placed = std::get_if<Placed>(&placement);
    if (placed != nullptr && knownToLeave(*placed)) {
        // The scheduler learns of it, and the request gets another target.
        send(envelope.replyTo, AttemptReport {reply.id, AttemptEnd::WrongTarget, 0});
        ThreadPlacementRequest wish = std::move(found->second.wish);
        m_pending.erase(found);
        wish.ask.tried.push_back(placed->target);
        Event("hub", "placement-refused").add("hub", envelope.sender.name.value).add("target", placed->target.value);
        requestPlacement(std::move(wish));
        return;
    }
    deliver(reply.id, placement, false);
}
}
