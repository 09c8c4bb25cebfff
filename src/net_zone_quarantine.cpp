#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Evidence of requests that crash targets, and copies of them that are held back.
namespace plumsill
{
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{
// A target that ends closes its connections before or after its listening socket.
constexpr auto ConfirmationDelay = std::chrono::milliseconds(50);
constexpr auto MaxHeldBack = std::chrono::milliseconds(1500);
}

bool ZoneControl::holdBack(ThreadPlacementRequest &threadRequest)
{
    if (threadRequest.trial) {
        return false;
    }
    const TimePoint now = RuntimeClock::now();
    const auto decision = m_quarantine.check(threadRequest.digest, now);
    const std::uint64_t id = threadRequest.request.key.id;
    if (const auto *awaits = std::get_if<AwaitsTrial>(&decision)) {
        m_heldBack[id] = {std::move(threadRequest), now};
        if (awaits->due) {
            askForTrial(id, now);
        }
        return true;
    }
    if (const auto *quarantined = std::get_if<Quarantined>(&decision)) {
        refuseQuarantined(threadRequest, quarantined->retryAfter);
        return true;
    }
    return false;
}

void ZoneControl::refuseQuarantined(const ThreadPlacementRequest &threadRequest, Duration retryAfter)
{
    m_threads[threadRequest.thread]->resolvePlacement(threadRequest.request.key.id, NoCapacity {retryAfter, CapacityReason::Quarantined});
}

// One daemon of the fleet grants the trials, so that a single copy runs. All daemons choose the same: the scheduler of the first zone.
std::optional<RegisteredDaemon> ZoneControl::trialGranter(TimePoint now) const
{
    std::set<ZoneName> zones;
    for (const auto &daemon : m_hubs.registered()) {
        zones.insert(daemon.zone);
    }
    for (const auto &zone : zones) {
        if (auto found = m_hubs.hub(zone, now)) {
            return found;
        }
    }
    return std::nullopt;
}

void ZoneControl::askForTrial(std::uint64_t id, TimePoint now)
{
    const RequestDigest digest = m_heldBack.at(id).request.digest;
    const auto granter = trialGranter(now);
    if (!granter || !m_enrolled) {
        return;
    }
    if (!isSelf(*granter)) {
        send(granter->peer, TrialRequest {id, m_quarantine.report(digest, now)});
        return;
    }
    if (m_quarantine.beginTrial(digest, now)) {
        shareSuspect(digest, {}, now);
        runTrial(id);
    }
}

void ZoneControl::runTrial(std::uint64_t id)
{
    const auto found = m_heldBack.find(id);
    if (found == m_heldBack.end()) {
        return;
    }
    ThreadPlacementRequest threadRequest = std::move(found->second.request);
    m_heldBack.erase(found);
    threadRequest.trial = true;
    Event("quarantine", "trial-begins").add("digest", toString(threadRequest.digest)).add("service", threadRequest.request.service.value);
    requestPlacement(std::move(threadRequest));
}

void ZoneControl::reviewHeldBack(TimePoint now)
{
    if (m_heldBack.empty()) {
        return;
    }
    std::vector<ThreadPlacementRequest> released;
    for (auto entry = m_heldBack.begin(); entry != m_heldBack.end();) {
        auto &[request, since] = entry->second;
        const auto decision = m_quarantine.check(request.digest, now);
        if (std::holds_alternative<AwaitsTrial>(decision) && now - since < MaxHeldBack) {
            ++entry;
            continue;
        }
        if (std::holds_alternative<NotQuarantined>(decision)) {
            released.push_back(std::move(request));
        } else {
            const auto *quarantined = std::get_if<Quarantined>(&decision);
            refuseQuarantined(request, quarantined == nullptr ? Duration(config::RetryAfterFailure) : quarantined->retryAfter);
        }
        entry = m_heldBack.erase(entry);
    }
    for (auto &request : released) {
        requestPlacement(std::move(request));
    }
}

// The end of the connection alone is no evidence: a cut or a reset looks the same. A target that has crashed takes no
// connection either.
boost::asio::awaitable<void> ZoneControl::confirmCrash(Running running, TimePoint lostAt)
{
    co_await sleepFor(ConfirmationDelay);
    const bool open = co_await takesConnections(running);
    if (open) {
        co_return;
    }
    const TimePoint now = RuntimeClock::now();
    const std::uint32_t target = shortHash(running.attempt.target.value);
    const std::size_t before = m_quarantine.quarantined();
    if (m_quarantine.recordCrash(running.digest, target, lostAt, now)) {
        Event("quarantine", "target-crashed").add("digest", toString(running.digest)).add("target", running.attempt.target.value);
        suspectChanged(running.digest, before, {}, now);
    }
}

// A daemon that is cut off from the target sees no answer, not a refusal; its helper knows better.
boost::asio::awaitable<bool> ZoneControl::takesConnections(const Running &running)
{
    error_code error;
    const auto direct = co_await connectTo(running.endpoint, error);
    if (direct || !running.helper) {
        co_return direct.has_value();
    }
    if (error == boost::asio::error::connection_refused) {
        co_return false;
    }
    const auto ticket = tunnelTicket({running.attempt.target, running.endpoint, {}, running.helper});
    auto connected = co_await connectTo(running.helper->peer, error);
    if (!connected) {
        co_return true;
    }
    const auto socket = std::make_shared<tcp::socket>(std::move(*connected));
    RuntimeTimer timer(m_context, RuntimeClock::now() + 2 * config::ScheduledConnectTimeout);
    timer.async_wait([socket](const error_code &cancelled) {
        if (!cancelled) {
            error_code ignored;
            socket->close(ignored);
        }
    });
    const TunnelStatus status = co_await requestTunnel(*socket, *ticket);
    co_return status != TunnelStatus::Unreachable;
}

void ZoneControl::recordAnswered(const RequestDigest &digest, TimePoint now)
{
    const std::size_t before = m_quarantine.quarantined();
    if (m_quarantine.recordAnswer(digest, now)) {
        suspectChanged(digest, before, {}, now);
    }
}

void ZoneControl::suspectChanged(const RequestDigest &digest, std::size_t quarantinedBefore, const Endpoint &from, TimePoint now)
{
    const std::size_t quarantined = m_quarantine.quarantined();
    if (quarantined != quarantinedBefore) {
        Event("quarantine", quarantined > quarantinedBefore ? "request-quarantined" : "quarantine-ended").add("digest", toString(digest));
    }
    shareSuspect(digest, from, now);
    reviewHeldBack(now);
}

std::vector<Endpoint> ZoneControl::suspectReceivers(TimePoint now) const
{
    std::vector<Endpoint> receivers;
    if (const auto currentHub = hub(now); currentHub && !isSelf(*currentHub)) {
        receivers.push_back(currentHub->peer);
    }
    if (actsAsHub(now)) {
        for (const auto &[id, member] : m_members) {
            if (now - member.lastReceivedAt < config::MemberLifetime) {
                receivers.push_back(member.peer);
            }
        }
        forEachLiveHub(now, [&receivers](const MemberId & /*id*/, const HubRecord &other) { receivers.push_back(other.peer); });
    }
    return receivers;
}

// What is new to a daemon goes on to all that it exchanges messages with, so that it reaches all schedulers and members.
void ZoneControl::shareSuspect(const RequestDigest &digest, const Endpoint &from, TimePoint now)
{
    const SuspectRequests message {{m_quarantine.report(digest, now)}};
    for (const auto &receiver : suspectReceivers(now)) {
        if (receiver != from) {
            send(receiver, message);
        }
    }
}

// Messages may be lost, and a daemon that has just started or changed its zone's scheduler knows of none.
void ZoneControl::repeatSuspects(TimePoint now)
{
    if (now < m_nextSuspectReportAt) {
        return;
    }
    m_nextSuspectReportAt = now + config::SuspectReportInterval;
    m_quarantine.expire(now);
    const auto messages = m_quarantine.reports(now);
    if (messages.empty()) {
        return;
    }
    for (const auto &receiver : suspectReceivers(now)) {
        for (const auto &message : messages) {
            send(receiver, message);
        }
    }
}

// The directory outlasts the loss of all daemons at the same time.
boost::asio::awaitable<void> ZoneControl::keepQuarantine()
{
    TimePoint now = RuntimeClock::now();
    if (!m_quarantineRead && actsAsHub(now)) {
        const auto stored = co_await m_directory.quarantinedRequests();
        const bool none = !stored && stored.error() == DirectoryError::Missing;
        recordStoreResult(stored || none, "read quarantine", stored || none ? "" : toString(stored.error()));
        m_quarantineRead = stored || none;
        now = RuntimeClock::now();
        for (const auto &request : stored ? stored.assume_value() : std::vector<SuspectRequest>()) {
            m_storedTrials[request.digest] = request.trials;
            const std::size_t before = m_quarantine.quarantined();
            if (m_quarantine.merge(request, now)) {
                suspectChanged(request.digest, before, {}, now);
            }
        }
    }
    const auto granter = trialGranter(now);
    if (!m_quarantineRead || !granter || !isSelf(*granter)) {
        co_return;
    }
    std::vector<SuspectRequest> requests = m_quarantine.quarantinedRequests(now);
    std::map<RequestDigest, std::uint32_t> trials;
    for (const auto &request : requests) {
        trials[request.digest] = request.trials;
    }
    if (trials == m_storedTrials) {
        co_return;
    }
    const auto written = co_await m_directory.storeQuarantinedRequests(std::move(requests));
    recordStoreResult("store quarantine", written);
    if (written) {
        m_storedTrials = std::move(trials);
    }
}

void ZoneControl::received(const Envelope &envelope, const SuspectRequests &suspects)
{
    const TimePoint now = RuntimeClock::now();
    for (const auto &request : suspects.requests) {
        const std::size_t before = m_quarantine.quarantined();
        if (m_quarantine.merge(request, now)) {
            suspectChanged(request.digest, before, envelope.replyTo, now);
        }
    }
}

void ZoneControl::received(const Envelope &envelope, const TrialRequest &request)
{
    const TimePoint now = RuntimeClock::now();
    const RequestDigest &digest = request.request.digest;
    const std::size_t before = m_quarantine.quarantined();
    bool changed = m_quarantine.merge(request.request, now);
    const bool granted = m_quarantine.beginTrial(digest, now);
    changed = changed || granted;
    send(envelope.replyTo, TrialReply {request.id, granted, m_quarantine.report(digest, now)});
    if (changed) {
        suspectChanged(digest, before, envelope.replyTo, now);
    }
}

void ZoneControl::received(const Envelope &envelope, const TrialReply &reply)
{
    const TimePoint now = RuntimeClock::now();
    const std::size_t before = m_quarantine.quarantined();
    if (m_quarantine.merge(reply.request, now)) {
        suspectChanged(reply.request.digest, before, envelope.replyTo, now);
    }
    if (reply.granted) {
        runTrial(reply.id);
    }
}
}
