#include "control_p.h"

#include <plumsill/config.h>
#include <plumsill/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>

namespace plumsill
{
Control::Control(boost::asio::io_context &context, const Settings &settings, PeerPort &peers, Member self, std::vector<std::unique_ptr<TrafficThread>> &threads)
    : m_context(context)
    , m_settings(settings)
    , m_peers(peers)
    , m_threads(threads)
    , m_store({settings.platform})
    , m_membership(*this, std::move(self), settings.peerSeeds)
    , m_document(*this)
    , m_limits(*this)
    , m_health(*this)
{ }

void Control::send(const Endpoint &to, Message message)
{
    const auto sent = m_peers.sendDatagram(to, m_membership.membership().envelope(std::move(message)));
    if (!sent) {
        logDebug(LogPart::Peer, "cannot send to " + toString(to) + ": " + toString(sent.error()));
    }
}

void Control::received(const Envelope &envelope)
{
    m_membership.received(envelope);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message)) {
        m_document.documentReported(envelope.sender, heartbeat->document);
        m_health.leavingTargetsReceived(heartbeat->leavingTargets);
        m_document.confirm();
    } else if (const auto *ack = std::get_if<HeartbeatAck>(&envelope.message)) {
        m_document.documentReported(envelope.sender, ack->document);
        m_document.confirm();
    } else if (const auto *request = std::get_if<GrantRequest>(&envelope.message)) {
        m_limits.received(envelope, *request);
    } else if (const auto *grant = std::get_if<Grant>(&envelope.message)) {
        m_limits.received(envelope, *grant);
    } else if (const auto *returnTokens = std::get_if<TokenReturn>(&envelope.message)) {
        m_limits.received(envelope, *returnTokens);
    } else if (const auto *handOver = std::get_if<HandOver>(&envelope.message)) {
        m_limits.received(envelope, *handOver);
    } else if (const auto *digest = std::get_if<HealthDigest>(&envelope.message)) {
        m_health.received(envelope, *digest);
    } else if (const auto *verdict = std::get_if<Verdict>(&envelope.message)) {
        m_health.received(envelope, *verdict);
    }
}

std::optional<Envelope> Control::respond(const Envelope &request)
{
    if (std::holds_alternative<DocumentRequest>(request.message)) {
        return m_document.respond(request);
    }
    if (std::holds_alternative<TargetsRequest>(request.message)) {
        return targetsReply();
    }
    return m_membership.respond(request);
}

std::optional<Envelope> Control::targetsReply() const
{
    if (!m_lists.readAt) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now() - *m_lists.readAt);
    return m_membership.membership().envelope(TargetsReply {static_cast<std::uint64_t>(age.count()), m_lists.targets});
}

void Control::report(const TrafficReport &report)
{
    m_metrics.add(report);
    m_health.report(report);
}

void Control::documentAdopted(const Document &before, const HeldDocument &held)
{
    m_membership.membership().documentChanged(held.stamp);
    m_limits.documentChanged(before, *held.document);
    m_health.documentChanged(*held.document);
    m_publishDue = true;
    logInfo(LogPart::Document, "document version " + std::to_string(held.stamp.version) + " is in force");
}

void Control::epochAdopted(std::uint64_t epoch)
{
    m_limits.epochAdopted(epoch);
    m_health.epochAdopted(epoch);
    logInfo(LogPart::Member, "epoch " + std::to_string(epoch) + " adopted");
}

void Control::startLeaving()
{
    m_leaving = true;
    m_closeAt = RuntimeClock::now() + config::LingerTime;
    m_membership.membership().leave();
    publish(RuntimeClock::now());
}

bool Control::ready(TimePoint now) const
{
    return !m_leaving && m_document.holder().trusted(now);
}

// Only the cell's watchers read the platform's listing at the short interval. Other daemons read it at the long interval
// and learn of leaving targets from heartbeats.
boost::asio::awaitable<void> Control::runLists()
{
    Backoff backoff(config::ListIntervalWatcher, config::ListInterval);
    while (true) {
        const bool read = co_await readLists();
        if (!read) {
            co_await fetchTargets();
            co_await sleepFor(config::ListIntervalWatcher + backoff.next(m_jitter(m_random)));
            continue;
        }
        backoff.reset();
        const bool often = m_membership.membership().isWatcher(RuntimeClock::now());
        co_await sleepFor(often ? Duration(config::ListIntervalWatcher) : Duration(config::ListInterval));
    }
}

boost::asio::awaitable<bool> Control::readLists()
{
    const auto targets = co_await m_store.targets();
    const auto instances = co_await m_store.instances();
    if (!targets || !instances) {
        logWarning(LogPart::Store, "cannot read the platform's listing: " + toString(targets ? instances.error() : targets.error()));
        co_return false;
    }
    const TimePoint now = RuntimeClock::now();
    for (const auto &entry : m_rejectedTargets.record(targets.value().rejected)) {
        logWarning(LogPart::Store, "target entry " + entry.name + " of the platform's listing rejected: " + entry.reason);
    }
    m_lists = {instances.value(), targets.value().targets, now};
    m_membership.membership().instancesListed(m_lists.instances, now);
    m_health.listsChanged();
    m_publishDue = true;
    co_return true;
}

// A daemon that starts while the platform is unreachable fetches the targets from a peer.
boost::asio::awaitable<void> Control::fetchTargets()
{
    std::vector<Endpoint> peers;
    for (const auto &peer : m_membership.membership().peers(RuntimeClock::now())) {
        if (!peer.suspected) {
            peers.push_back(peer.member.peer);
        }
    }
    if (m_lists.readAt || peers.empty()) {
        co_return;
    }
    const Endpoint from = peers[m_targetFetches++ % peers.size()];
    const Envelope request = m_membership.membership().envelope(TargetsRequest {});
    const auto reply = co_await m_peers.request(from, request);
    const auto *listed = reply ? std::get_if<TargetsReply>(&reply.value().message) : nullptr;
    if (listed == nullptr || m_lists.readAt) {
        co_return;
    }
    m_lists.targets = listed->targets;
    m_lists.readAt = RuntimeClock::now() - std::chrono::milliseconds(listed->ageMilliseconds);
    m_health.listsChanged();
    m_publishDue = true;
}

boost::asio::awaitable<void> Control::runPublisher()
{
    TimePoint lastAt;
    while (true) {
        co_await sleepFor(config::ControlTick);
        const TimePoint now = RuntimeClock::now();
        m_document.confirm();
        recordServing(now);
        recordHistory(now);
        stopIfSuperseded();
        if (m_publishDue || now - lastAt >= config::PublishInterval) {
            publish(now);
            lastAt = now;
        }
    }
}

// The daemon reports that it serves only once it has a trusted document. Without one it would refuse callers, since it
// can't check their keys.
void Control::recordServing(TimePoint now)
{
    if (!m_serving && ready(now)) {
        m_serving = true;
        m_membership.membership().serving();
        logInfo(LogPart::Supervisor, "serving");
    }
}

void Control::recordHistory(TimePoint now)
{
    if (now < m_nextHistoryAt) {
        return;
    }
    m_nextHistoryAt = now + config::PublishInterval;
    m_history.record(now, toBurnTotals(m_metrics.counts()));
}

std::string Control::historyText(TimePoint now) const
{
    const Document none;
    const Document &document = m_document.compiled() ? *m_document.compiled()->document : none;
    return historyJson({objectivesOf(document), m_history.samples(now)});
}

// Stops this daemon if a later incarnation has taken over its name, because the instance was replaced. Two daemons must
// not run under one name.
void Control::stopIfSuperseded()
{
    if (m_membership.membership().superseded() && !m_leaving) {
        logError(LogPart::Member, "another daemon with a later incarnation runs under this name; stopping");
        std::raise(SIGTERM);
        m_leaving = true;
    }
}

void Control::publish(TimePoint now)
{
    m_publishDue = false;
    const boost::intrusive_ptr<Snapshot> snapshot(new Snapshot);
    snapshot->compiled = m_document.compiled();
    snapshot->leaving = m_leaving;
    snapshot->closeAt = m_closeAt;
    snapshot->limits = m_settings.limits;
    snapshot->trustedUntil = m_document.holder().trustedUntil().value_or(TimePoint());
    if (snapshot->compiled) {
        for (const auto &service : snapshot->compiled->document->services) {
            ServiceView view = m_health.view(service.name, now);
            auto &published = m_views[service.name];
            if (!published || *published != view) {
                published = std::make_shared<const ServiceView>(std::move(view));
            }
            snapshot->services.emplace(service.name, published);
        }
    }
    m_views = snapshot->services;
    for (const auto &thread : m_threads) {
        thread->publish(snapshot);
    }
}
}
