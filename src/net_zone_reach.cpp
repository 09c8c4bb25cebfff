#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

// Reach of this daemon towards the targets, and its help for daemons that have none.
namespace plumsill
{
using boost::asio::ip::tcp;

namespace
{
// Ranks of helpers. The hub places requests and has work enough; other zones cost bytes between zones.
constexpr unsigned MemberRank = 0;
constexpr unsigned HubRank = 1;
constexpr unsigned OtherZoneRank = 2;

constexpr auto AskerLifetime = std::chrono::seconds(60);
}

bool ZoneControl::reachesAny() const
{
    if (m_cutOff.empty()) {
        return true;
    }
    const auto targets = m_list.targets();
    return std::any_of(targets.begin(), targets.end(), [this](const Target &target) { return !target.leaving && !m_cutOff.contains(target.service); });
}

bool ZoneControl::needsHelper(const ServiceName &service) const
{
    const auto found = m_reach.find(service);
    return found != m_reach.end() && found->second.cutOff();
}

void ZoneControl::recordPath(const Running &attempt, AttemptEnd end, TimePoint now)
{
    if (attempt.helper) {
        return;
    }
    Reach &reach = m_reach[attempt.attempt.service];
    if (end == AttemptEnd::Unreachable) {
        reach.recordConnectFailure(attempt.attempt.target, now);
        updateReach(now);
    } else if (end == AttemptEnd::TimedOut) {
        reach.recordOverdue(attempt.startedAt, now);
    } else if (end == AttemptEnd::Good || end == AttemptEnd::NotExecuted || end == AttemptEnd::WrongTarget) {
        reach.recordAnswer(now);
    }
}

std::vector<Target> ZoneControl::probeTargets(const ServiceName &service, const Reach &reach, std::size_t count)
{
    std::vector<Target> chosen;
    for (const auto &target : m_list.targets()) {
        if (target.service == service && !target.leaving && !m_scheduler.saidLeaving(target.name) && !reach.tried().contains(target.name)) {
            chosen.push_back(target);
        }
    }
    std::shuffle(chosen.begin(), chosen.end(), m_random);
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

void ZoneControl::updateReach(TimePoint now)
{
    for (const auto &[id, running] : m_running) {
        if (!running.helper && now - running.startedAt > running.usualTime) {
            m_reach[running.attempt.service].recordOverdue(running.startedAt, now);
        }
    }
    for (auto &[service, reach] : m_reach) {
        startDueProbes(service, reach, now);
    }
    std::set<ServiceName> cutOff;
    for (const auto &[service, reach] : m_reach) {
        if (reach.cutOff()) {
            cutOff.insert(service);
        }
    }
    if (cutOff == m_cutOff) {
        return;
    }
    const bool grown = cutOff.size() > m_cutOff.size();
    setServicesOutOfReach(std::move(cutOff), now);
    if (grown) {
        // What cut this service off has likely cut off the others as well.
        for (const auto &target : m_list.targets()) {
            m_reach[target.service].suspect(now);
        }
        updateReach(now);
    }
}

void ZoneControl::startDueProbes(const ServiceName &service, Reach &reach, TimePoint now)
{
    if (reach.undisturbed()) {
        return;
    }
    const auto targets = m_list.targets();
    const auto ofService
        = std::count_if(targets.begin(), targets.end(), [&service](const Target &target) { return target.service == service && !target.leaving; });
    const std::size_t due = reach.takeDueProbes(static_cast<std::size_t>(ofService), now);
    for (auto &target : probeTargets(service, reach, due)) {
        boost::asio::co_spawn(m_context, probe(service, std::move(target)), boost::asio::detached);
    }
}

void ZoneControl::setServicesOutOfReach(std::set<ServiceName> services, TimePoint now)
{
    for (const auto &service : services) {
        if (!m_cutOff.contains(service)) {
            Event("reach", "targets-out-of-reach").add("service", service.value);
        }
    }
    for (const auto &service : m_cutOff) {
        if (!services.contains(service)) {
            Event("reach", "targets-in-reach").add("service", service.value);
        }
    }
    m_cutOff = std::move(services);
    m_scheduler.recordReach(m_self.id.name, reachesAny(), now);
    m_scheduler.recordServicesOutOfReach(m_self.id.name, m_cutOff, now);
    if (const auto currentHub = hub(now); currentHub && !isSelf(*currentHub)) {
        sendHeartbeat(*currentHub, now);
    }
}

boost::asio::awaitable<std::optional<tcp::socket>> ZoneControl::connectTo(Endpoint endpoint, boost::system::error_code &error)
{
    const auto socket = std::make_shared<tcp::socket>(m_context);
    RuntimeTimer timer(m_context, RuntimeClock::now() + config::ScheduledConnectTimeout);
    timer.async_wait([socket](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (!error) {
        const tcp::endpoint peer(address, endpoint.port);
        co_await socket->async_connect(peer, errorInto(error));
    }
    timer.cancel();
    if (error || !socket->is_open()) {
        co_return std::nullopt;
    }
    co_return std::move(*socket);
}

boost::asio::awaitable<void> ZoneControl::probe(ServiceName service, Target target)
{
    boost::system::error_code error;
    const auto socket = co_await connectTo(target.endpoint, error);
    const TimePoint now = RuntimeClock::now();
    if (socket) {
        m_reach[service].recordConnected(target.name, now);
    } else {
        m_reach[service].recordConnectFailure(target.name, now);
    }
    updateReach(now);
}

// Members of this zone report their own reach. Of other zones' daemons only those are known that their hubs name; one that
// can't help refuses at once, and the next one is asked.
std::vector<HelperCandidate> ZoneControl::helperCandidates(TimePoint now) const
{
    std::set<std::uint32_t> withoutReach;
    forEachLiveHub(now,
                   [&withoutReach](const MemberId & /*id*/, const HubRecord &hub) { withoutReach.insert(hub.withoutReach.begin(), hub.withoutReach.end()); });
    std::map<std::uint32_t, std::set<std::uint32_t>> outOfReach; // by daemon
    const auto addReport = [&outOfReach](const ServicesOutOfReach &reported) {
        for (const auto &service : reported.services) {
            for (const auto daemon : service.daemons) {
                outOfReach[daemon].insert(service.service);
            }
        }
    };
    addReport(servicesOutOfReach(false, now));
    for (const auto &[name, report] : m_reachReports) {
        addReport(report.services);
    }
    std::vector<HelperCandidate> candidates;
    for (const auto &daemon : m_hubs.registered()) {
        const Helper helper {daemon.id.name, daemon.peer};
        if (isSelf(daemon)) {
            if (reachesAny() && !m_leaving) {
                candidates.push_back({helper, HubRank, outOfReach[shortHash(daemon.id.name.value)]});
            }
            continue;
        }
        const auto member = m_members.lower_bound({daemon.id.name, 0});
        const bool known = member != m_members.end() && member->first.name == daemon.id.name;
        const bool silent = known && now - member->second.lastReceivedAt >= config::MemberLifetime;
        if ((known && (silent || !member->second.reaches)) || withoutReach.contains(shortHash(daemon.id.name.value))) {
            continue;
        }
        candidates.push_back({helper, daemon.zone == m_settings.zone ? MemberRank : OtherZoneRank, outOfReach[shortHash(daemon.id.name.value)]});
    }
    return candidates;
}

Placement ZoneControl::submit(const PlacementRequest &request, TimePoint now)
{
    if (request.relayed) {
        m_scheduler.helpers().setCandidates(helperCandidates(now));
    }
    return m_scheduler.submit(request, now);
}

TunnelTicketPtr ZoneControl::tunnelTicket(const Placed &placed) const
{
    return placed.helper ? m_peers.tunnelTicket(*placed.helper, envelope(TunnelRequest {placed.target, placed.endpoint})) : nullptr;
}

boost::asio::awaitable<OpenedTunnel> ZoneControl::openTunnel(TunnelRequest request)
{
    TunnelStatus status = TunnelStatus::Unavailable;
    std::optional<tcp::socket> socket;
    const Target *listed = m_list.find(request.target);
    const bool inReach = listed == nullptr ? reachesAny() : !needsHelper(listed->service);
    if (!m_leaving && inReach && m_peers.tunnels() <= config::MaxTunnels) {
        const bool rests = m_scheduler.restLeft(request.target, m_self.id.name, RuntimeClock::now()) > Duration::zero();
        const bool usable = !rests && !isKnownUnusable({request.target, request.endpoint, {}, {}});
        if (usable) {
            boost::system::error_code error;
            socket = co_await connectTo(request.endpoint, error);
        }
        status = socket ? TunnelStatus::Open : TunnelStatus::Unreachable;
        const Target *target = m_list.find(request.target);
        if (usable && !socket && target != nullptr) {
            const TimePoint now = RuntimeClock::now();
            m_reach[target->service].recordConnectFailure(request.target, now);
            updateReach(now);
        }
    }
    OpenedTunnel opened {envelope(TunnelReply {status}), std::move(socket)};
    co_return opened;
}

void ZoneControl::received(const Envelope & /*envelope*/, const TunnelNotice &notice)
{
    AttemptReport report;
    report.limit = notice.limit;
    report.leaving = notice.leaving;
    report.restMilliseconds = notice.restMilliseconds;
    recordNotice(m_self.id.name, notice.target, report, RuntimeClock::now());
}

// Their tunnels stay open, and a target sees this daemon as the sender of what comes through them.
void ZoneControl::tellAskers(const HelperNotice &notice, TimePoint now)
{
    std::erase_if(m_askers, [now](const auto &entry) { return now - entry.second.lastAskedAt > AskerLifetime; });
    for (const auto &[name, asker] : m_askers) {
        send(asker.peer, notice);
    }
}

void ZoneControl::received(const Envelope &envelope, const HelperNotice &notice)
{
    if (notice.restMilliseconds > 0) {
        m_scheduler.recordRest(notice.target, envelope.sender.name, RuntimeClock::now() + std::chrono::milliseconds(notice.restMilliseconds));
    }
    if (notice.leaving) {
        m_scheduler.recordLeaving(notice.target);
    }
}

void ZoneControl::received(const Envelope &envelope, const DaemonsWithoutReach &daemons)
{
    const auto hub = m_otherHubs.find(envelope.sender);
    if (hub != m_otherHubs.end()) {
        hub->second.withoutReach = daemons.daemons;
    }
}

void ZoneControl::sendDaemonsWithoutReach(TimePoint now)
{
    DaemonsWithoutReach message {m_settings.zone, {}};
    if (!reachesAny()) {
        message.daemons.push_back(shortHash(m_self.id.name.value));
    }
    for (const auto &[id, member] : m_members) {
        if (!member.reaches && message.daemons.size() < DaemonsWithoutReach::MaxDaemons) {
            message.daemons.push_back(shortHash(id.name.value));
        }
    }
    const ServicesOutOfReach services = servicesOutOfReach(true, now);
    const bool any = !message.daemons.empty() || !services.services.empty();
    if (any || m_toldWithoutReach) {
        forEachLiveHub(now, [this, &message, &services](const MemberId & /*id*/, const HubRecord &hub) {
            send(hub.peer, message);
            send(hub.peer, services);
        });
    }
    m_toldWithoutReach = any;
}

ServicesOutOfReach ZoneControl::servicesOutOfReach(bool asHub, TimePoint now) const
{
    std::map<std::uint32_t, std::set<std::uint32_t>> daemons; // by service
    for (const auto &service : m_cutOff) {
        daemons[shortHash(service.value)].insert(shortHash(m_self.id.name.value));
    }
    for (const auto &[id, member] : m_members) {
        const auto report = m_reachReports.find(id.name);
        if (!asHub || report == m_reachReports.end() || now - member.lastReceivedAt >= config::MemberLifetime) {
            continue;
        }
        for (const auto &service : report->second.services.services) {
            daemons[service.service].insert(shortHash(id.name.value));
        }
    }
    ServicesOutOfReach message;
    std::size_t left = ServicesOutOfReach::MaxDaemons;
    for (const auto &[service, names] : daemons) {
        const std::size_t count = std::min(names.size(), left);
        if (count > 0) {
            message.services.push_back({service, {names.begin(), std::next(names.begin(), static_cast<std::ptrdiff_t>(count))}});
        }
        left -= count;
    }
    return message;
}

// A hub reports for its members, and a member for itself alone.
void ZoneControl::received(const Envelope &envelope, const ServicesOutOfReach &services)
{
    const TimePoint now = RuntimeClock::now();
    const std::uint32_t sender = shortHash(envelope.sender.name.value);
    std::set<ServiceName> missed;
    for (const auto &target : m_list.targets()) {
        const auto hash = shortHash(target.service.value);
        const bool reported = std::any_of(services.services.begin(), services.services.end(), [&](const ServiceOutOfReach &entry) {
            return entry.service == hash && std::find(entry.daemons.begin(), entry.daemons.end(), sender) != entry.daemons.end();
        });
        if (reported) {
            missed.insert(target.service);
        }
    }
    m_scheduler.recordServicesOutOfReach(envelope.sender.name, std::move(missed), now);
    m_reachReports[envelope.sender.name] = {services, now};
}

// The report that ends a state may be lost, and a daemon may end.
void ZoneControl::expireReachReports(TimePoint now)
{
    std::erase_if(m_reachReports, [this, now](const auto &entry) {
        const bool expired = now - entry.second.at > config::HubDigestLifetime;
        if (expired) {
            m_scheduler.recordServicesOutOfReach(entry.first, {}, now);
        }
        return expired || entry.second.services.services.empty();
    });
}
}
