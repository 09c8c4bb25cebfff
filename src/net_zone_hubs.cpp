#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <unordered_map>
#include <utility>

namespace plumsill
{
namespace
{
// Maximum number of running attempts in a heartbeat, so that the heartbeat fits into a datagram.
constexpr std::size_t MaxReportedAttempts = 16;

// Number of heartbeat intervals without a heartbeat of this daemon that show that its process stood still.
constexpr unsigned PausedHeartbeats = 4;

std::uint64_t toTimestamp(TimePoint time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

TimePoint fromTimestamp(std::uint64_t stamp)
{
    return TimePoint(Duration(static_cast<Duration::rep>(stamp)));
}

/// Calls @p apply for each of @p teams that has a report, with the team and the first report about it. Reports identify
/// a team only by the hash of its name.
template<class Report, class Apply>
void forEachReportedTeam(const std::vector<TeamName> &teams, const std::vector<Report> &reports, Apply apply)
{
    if (reports.empty()) {
        return;
    }
    std::unordered_map<std::uint32_t, const Report *> byTeam;
    for (const auto &report : reports) {
        byTeam.emplace(report.team, &report);
    }
    for (const auto &team : teams) {
        const auto found = byTeam.find(shortHash(team.value));
        if (found != byTeam.end()) {
            apply(team, *found->second);
        }
    }
}
}

void ZoneControl::received(const Envelope &envelope)
{
    if (envelope.sender == m_self.id) {
        return;
    }
    noticePause(RuntimeClock::now());
    m_hubs.recordMessage(envelope.sender, envelope.replyTo, RuntimeClock::now());
    if (const auto *place = std::get_if<PlaceRequest>(&envelope.message)) {
        received(envelope, *place);
    } else if (const auto *answer = std::get_if<PlaceReply>(&envelope.message)) {
        received(envelope, *answer);
    } else if (const auto *report = std::get_if<AttemptReport>(&envelope.message)) {
        const PlacementKey key {envelope.sender, report->id};
        if (const Target *target = m_scheduler.targetOf(key)) {
            recordNotice(m_scheduler.senderOf(key), target->name, *report, RuntimeClock::now());
        }
        m_scheduler.finishAttempt(key, report->end, std::chrono::milliseconds(report->durationMilliseconds), RuntimeClock::now());
        deliverQueuedPlacements();
    } else if (const auto *cancellation = std::get_if<PlacementCancellation>(&envelope.message)) {
        m_scheduler.cancelPlacement({envelope.sender, cancellation->id});
    } else if (const auto *heartbeat = std::get_if<MemberHeartbeat>(&envelope.message)) {
        received(envelope, *heartbeat);
    } else if (const auto *beacon = std::get_if<HubBeacon>(&envelope.message)) {
        received(envelope, *beacon);
    } else if (const auto *digest = std::get_if<HubDigest>(&envelope.message)) {
        received(envelope, *digest);
    } else if (const auto *remote = std::get_if<HubLoads>(&envelope.message)) {
        m_scheduler.setRemoteLoads(remote->zone, remote->loads, RuntimeClock::now());
    } else if (const auto *limits = std::get_if<TargetLimits>(&envelope.message)) {
        received(envelope, *limits);
    } else if (const auto *daemons = std::get_if<DaemonsWithoutReach>(&envelope.message)) {
        received(envelope, *daemons);
    } else if (const auto *services = std::get_if<ServicesOutOfReach>(&envelope.message)) {
        received(envelope, *services);
    } else if (const auto *notice = std::get_if<TunnelNotice>(&envelope.message)) {
        received(envelope, *notice);
    } else if (const auto *helperNotice = std::get_if<HelperNotice>(&envelope.message)) {
        received(envelope, *helperNotice);
    } else if (std::holds_alternative<TunnelRequest>(envelope.message)) {
        m_askers[envelope.sender.name] = {envelope.replyTo, RuntimeClock::now()};
    } else if (const auto *suspects = std::get_if<SuspectRequests>(&envelope.message)) {
        received(envelope, *suspects);
    } else if (const auto *trial = std::get_if<TrialRequest>(&envelope.message)) {
        received(envelope, *trial);
    } else if (const auto *granted = std::get_if<TrialReply>(&envelope.message)) {
        received(envelope, *granted);
    } else if (const auto *document = std::get_if<MemberDocument>(&envelope.message)) {
        received(envelope, *document);
    }
}

// A daemon acts as a hub when it is its zone's elected hub, or when a member has contacted it recently.
bool ZoneControl::actsAsHub(TimePoint now) const
{
    if (m_hubs.isHub(now)) {
        return true;
    }
    return std::any_of(m_members.begin(), m_members.end(), [now](const auto &entry) { return now - entry.second.lastReceivedAt < config::HubActiveTime; });
}

void ZoneControl::recordHub(TimePoint now)
{
    const auto currentHub = hub(now);
    const auto id = currentHub ? std::optional(currentHub->id) : std::nullopt;
    if (id != m_hub) {
        Event("hub", "hub-chosen").add("hub", id ? id->name.value : std::string()).add("self", currentHub && isSelf(*currentHub));
        m_hub = id;
        m_hubChosenAt = now;
        m_hubReceivedAt = now;
        m_hubListReadAt = TimePoint::max();
        m_hubDocument = 0;
        if (currentHub && !isSelf(*currentHub)) {
            sendHeartbeat(*currentHub, now);
        }
    }
}

boost::asio::awaitable<void> ZoneControl::runHeartbeats()
{
    while (true) {
        const TimePoint due = RuntimeClock::now() + config::MemberHeartbeatInterval;
        co_await sleepFor(config::MemberHeartbeatInterval);
        const TimePoint now = RuntimeClock::now();
        noticePause(now);
        m_lastHeartbeatAt = now;
        if (!m_registryRead) {
            continue;
        }
        recordHub(now);
        auto currentHub = hub(now);
        const bool wasBusy = now - due > config::ControlTick; // the hub's beacons may still wait in the socket
        if (!wasBusy && currentHub && !isSelf(*currentHub) && now - m_hubReceivedAt > config::MemberHeartbeatInterval * config::MaxUnansweredHeartbeats) {
            hubUnresponsive(*currentHub, now);
            recordHub(now);
            currentHub = hub(now);
        }
        if (currentHub && !isSelf(*currentHub)) {
            sendHeartbeat(*currentHub, now);
            tellHubOfDocument(now);
        }
        const auto unresponsive = m_hubs.unresponsiveHub(now);
        if (unresponsive && now >= m_nextProbeAt) {
            m_nextProbeAt = now + config::UnresponsiveHubProbeInterval;
            sendHeartbeat(*unresponsive, now);
        }
        updateShares(now);
        expireReachReports(now);
        logRepeatChanges(now);
        repeatSuspects(now);
    }
}

// Whichever comes first after a pause of the process, a message or the timer, must find the buckets told of it.
void ZoneControl::noticePause(TimePoint now)
{
    const Duration pause = now - m_lastHeartbeatAt;
    if (m_lastHeartbeatAt == TimePoint() || pause < config::MemberHeartbeatInterval * PausedHeartbeats) {
        return;
    }
    m_lastHeartbeatAt = now;
    m_proofExpectedUntil = std::max<TimePoint>(m_proofExpectedUntil, now + config::ProofAfterPause);
    m_list.recordPause(pause);
    publish(now);
    Event("daemon", "resumed").add("paused_ms", pause);
    for (const auto &team : m_scheduler.teams()) {
        m_scheduler.bucket(team)->recordPause(now);
    }
}

void ZoneControl::sendHeartbeat(const RegisteredDaemon &to, TimePoint now)
{
    MemberHeartbeat heartbeat;
    heartbeat.sentAt = toTimestamp(now);
    for (const auto &[id, running] : m_running) {
        if (heartbeat.running.size() == MaxReportedAttempts) {
            heartbeat.complete = false;
            break;
        }
        heartbeat.running.push_back(running.attempt);
        heartbeat.running.back().ageMilliseconds = wholeMilliseconds(now - running.startedAt);
    }
    heartbeat.taken = nextTokenReports();
    heartbeat.reaches = reachesAny();
    send(to.peer, std::move(heartbeat));
    if (!m_cutOff.empty() || m_toldOutOfReach) {
        m_toldOutOfReach = !m_cutOff.empty();
        send(to.peer, servicesOutOfReach(false, now));
    }
    // A hub knows the limits from the reports of its members; only one that has just taken over has to be told.
    if (now - m_hubChosenAt < config::MemberHeartbeatInterval * config::TokenReportRepeats || now >= m_nextLimitReportAt) {
        m_nextLimitReportAt = now + config::LimitReportInterval;
        for (auto &limits : limitMessages(false, now)) {
            send(to.peer, std::move(limits));
        }
    }
}

std::vector<TargetLimits> ZoneControl::limitMessages(bool fromHub, TimePoint now) const
{
    std::vector<TargetLimits> messages;
    const auto limits = m_scheduler.limits(now);
    for (std::size_t first = 0; first < limits.size(); first += TargetLimits::MaxLimits) {
        const auto begin = limits.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = static_cast<std::ptrdiff_t>(std::min(TargetLimits::MaxLimits, limits.size() - first));
        messages.push_back({fromHub, {begin, begin + count}});
    }
    return messages;
}

// The counts of a sender are running ones; the first report only sets the starting count.
void ZoneControl::received(const Envelope &envelope, const TargetLimits &limits)
{
    const TimePoint now = RuntimeClock::now();
    const auto member = m_members.find(envelope.sender);
    const auto hub = m_otherHubs.find(envelope.sender);
    auto *counts = limits.fromHub && hub != m_otherHubs.end() ? &hub->second.limitTaken
        : !limits.fromHub && member != m_members.end()        ? &member->second.limitTaken
                                                              : nullptr;
    if (counts != nullptr) {
        counts->beginReport(config::HubDigestLifetime, now);
    }
    for (const auto &named : limits.limits) {
        TargetLimit *limit = m_scheduler.limit(named.target);
        if (limit == nullptr) {
            continue;
        }
        limit->record(named.limited ? std::optional(named.perSecond) : std::nullopt, now - std::chrono::milliseconds(named.ageMilliseconds), now);
        if (counts == nullptr) {
            continue;
        }
        const std::uint32_t taken = counts->increase(named.target, named.taken).value_or(0);
        if (limits.fromHub) {
            limit->addRemoteTaken(static_cast<std::int32_t>(taken), now);
        } else if (taken <= config::MaxReportedTokens) {
            limit->addMemberTaken(taken, now);
        }
    }
}

// A daemon places its requests itself when its hub doesn't answer, although the hub may still count it as a member. The
// tokens that the daemon spends meanwhile are reported to the hub, so that the hub doesn't grant them again. Each count
// is sent in TokenReportRepeats heartbeats, since heartbeats may be lost.
std::vector<TokensTaken> ZoneControl::nextTokenReports()
{
    std::vector<TokensTaken> taken;
    for (const auto &team : m_scheduler.teams()) {
        const std::uint32_t total = m_scheduler.bucket(team)->taken();
        ReportedTokens &reported = m_reportedTokens[team];
        if (reported.taken != total) {
            reported = {total, config::TokenReportRepeats};
        }
        if (reported.remainingReports > 0 && taken.size() < MemberHeartbeat::MaxTokenCounts) {
            --reported.remainingReports;
            taken.push_back({shortHash(team.value), total});
        }
    }
    return taken;
}

// Heartbeats report running counts of the tokens that a member took without the hub; only increases are recorded. The
// first heartbeat sets the starting counts, since tokens taken earlier were reported to other hubs or came from the
// member's own part of the rate. An increase above MaxReportedTokens is ignored.
void ZoneControl::recordTaken(MemberRecord &record, const MemberHeartbeat &heartbeat, TimePoint now)
{
    const bool first = record.heartbeatSentAt == 0;
    forEachReportedTeam(m_scheduler.teams(), heartbeat.taken, [&](const TeamName &team, const TokensTaken &reported) {
        const std::uint32_t tokens = reported.taken - std::exchange(record.taken[reported.team], reported.taken);
        if (!first && tokens <= config::MaxReportedTokens) {
            m_scheduler.bucket(team)->addMemberTaken(tokens, now);
        }
    });
}

void ZoneControl::received(const Envelope &envelope, const MemberHeartbeat &heartbeat)
{
    const TimePoint now = RuntimeClock::now();
    // Removes earlier incarnations of the sender, which no longer run.
    std::erase_if(m_members,
                  [&envelope](const auto &entry) { return entry.first.name == envelope.sender.name && entry.first.incarnation < envelope.sender.incarnation; });
    MemberRecord &member = m_members[envelope.sender];
    recordTaken(member, heartbeat, now);
    member.peer = envelope.replyTo;
    member.lastReceivedAt = now;
    member.heartbeatSentAt = heartbeat.sentAt;
    member.heartbeatAt = now;
    member.reaches = heartbeat.reaches;
    m_scheduler.recordReach(envelope.sender.name, heartbeat.reaches, now);
    if (heartbeat.complete) {
        m_scheduler.reconcile(envelope.sender, heartbeat.running, now);
    }
    sendBeacon(member, now);
}

void ZoneControl::sendBeacon(const MemberRecord &record, TimePoint now)
{
    HubBeacon beacon;
    beacon.heartbeatSentAt = record.heartbeatSentAt;
    beacon.heldMilliseconds = wholeMilliseconds(now - record.heartbeatAt);
    beacon.document = documentProof(now);
    beacon.list = listProof(now);
    beacon.registry = m_hubs.registryHash();
    beacon.leaving = m_leaving;
    send(record.peer, beacon);
}

void ZoneControl::sendBeacons(TimePoint now)
{
    for (const auto &[id, record] : m_members) {
        if (record.heartbeatSentAt != 0 && now - record.lastReceivedAt < config::MemberLifetime) {
            sendBeacon(record, now);
        }
    }
}

// The ages in a beacon count back from the time when the hub wrote the beacon. This daemon knows only the earliest
// possible value of that time: when it sent the heartbeat that the beacon answers, plus the time for which the hub held
// that heartbeat. It uses this value, so that a beacon delayed in a buffer doesn't make its content appear newer.
void ZoneControl::received(const Envelope &envelope, const HubBeacon &beacon)
{
    const TimePoint now = RuntimeClock::now();
    if (beacon.leaving) {
        m_hubs.recordLeaving(envelope.sender, now);
        resendPendingRequests(envelope.sender);
        recordHub(now);
    }
    if (m_hub && m_hub->name == envelope.sender.name) {
        m_hubReceivedAt = now;
        m_hubDocument = beacon.document.known ? beacon.document.version : 0;
    }
    const TimePoint writtenAt = fromTimestamp(beacon.heartbeatSentAt) + std::chrono::milliseconds(beacon.heldMilliseconds);
    if (beacon.heartbeatSentAt == 0 || writtenAt > now) {
        return;
    }
    if (beacon.list.known && m_hub && m_hub->name == envelope.sender.name) {
        m_hubListReadAt = writtenAt - std::chrono::milliseconds(beacon.list.ageMilliseconds);
    }
    recordProof(beacon.document, writtenAt, envelope.replyTo);
    recordList(beacon.list, writtenAt, envelope.sender, envelope.replyTo);
    recordRegistry(beacon.registry, now);
}

void ZoneControl::recordRegistry(std::uint32_t hash, TimePoint now)
{
    if (hash != m_hubs.registryHash() && m_nextRegistryReadAt == TimePoint::max()) {
        // During a rolling stop the registry changes constantly, so reads are spaced out. Only the first reads after the
        // start, which find the other daemons, are urgent.
        const Duration pause = m_registryReads < 2 ? Duration::zero() : Duration(config::RegistryFollowInterval);
        m_nextRegistryReadAt = std::max<TimePoint>(now, m_registryReadAt + pause) + std::chrono::milliseconds(m_random() % 1000);
    }
}

SchedulerDemand ZoneControl::ownDemand(TimePoint now) const
{
    SchedulerDemand demand;
    demand.members = 1;
    for (const auto &[id, record] : m_members) {
        demand.members += now - record.lastReceivedAt < config::MemberLifetime ? 1 : 0;
    }
    for (const auto &team : m_scheduler.teams()) {
        const double value = m_scheduler.demand(team, now);
        if (value > config::MinReportedDemand) {
            demand.teams[shortHash(team.value)] = value;
        }
    }
    return demand;
}

bool ZoneControl::warmingUp(TimePoint now) const
{
    return !m_hubActiveSince || m_rewrite.knowsPart() || now - *m_hubActiveSince < config::SchedulerWarmUpTime;
}

// A hub that has just started, perhaps together with the entire fleet, doesn't know yet which other hubs spend tokens. Nor does one
// whose registry lacks entries. Until its warm-up time has passed, it assumes that each zone has an equal share of a team's rate. It uses at most the
// shares of its own zone and of the zones that it has received digests from.
double ZoneControl::maxPoolShare(TimePoint now)
{
    if (!actsAsHub(now)) {
        m_hubActiveSince.reset();
        return 1;
    }
    m_hubActiveSince = m_hubActiveSince.value_or(now);
    if (m_settings.zones <= 1 || !warmingUp(now)) {
        return 1;
    }
    std::set<ZoneName> liveZones {m_settings.zone};
    forEachLiveHub(now, [&liveZones](const MemberId & /*id*/, const HubRecord &hub) { liveZones.insert(hub.zone); });
    return static_cast<double>(liveZones.size()) / m_settings.zones;
}

void ZoneControl::updateShares(TimePoint now)
{
    std::erase_if(m_members, [now](const auto &entry) { return now - entry.second.lastReceivedAt > config::MemberRecordLifetime; });
    std::erase_if(m_otherHubs, [now](const auto &entry) { return now - entry.second.lastReceivedAt > config::MemberRecordLifetime; });
    for (const auto &[id, record] : m_members) {
        if (now - record.lastReceivedAt > config::MemberLifetime) {
            // The member has stopped, or uses another hub and reports to that one.
            m_scheduler.removeMember(id);
        }
    }
    const SchedulerDemand own = ownDemand(now);
    std::vector<const SchedulerDemand *> others;
    if (actsAsHub(now)) {
        forEachLiveHub(now, [&others](const MemberId & /*id*/, const HubRecord &hub) { others.push_back(&hub.demand); });
    }
    const auto registered = static_cast<unsigned>(m_hubs.registered().size());
    const bool wasActive = m_hubActiveSince.has_value();
    const double largest = maxPoolShare(now);
    for (const auto &team : m_scheduler.teams()) {
        if (!wasActive && m_hubActiveSince) {
            m_scheduler.bucket(team)->beginTakeOver();
        } else if (!warmingUp(now)) {
            m_scheduler.bucket(team)->endTakeOver();
        }
        m_scheduler.bucket(team)->setPart(m_enrolled ? quotaPart(team, own, others, registered, largest) : QuotaPart {config::UnenrolledShare, 1}, now);
    }
    // The schedulers share a target's limit by the number of their members.
    m_scheduler.setLimitPart(m_enrolled ? quotaPart({}, own, others, registered, largest) : QuotaPart {config::UnenrolledShare, 1}, now);
    m_scheduler.setFleetShare(m_enrolled ? static_cast<double>(own.members) / std::max(registered, own.members) : config::UnenrolledShare);
}

boost::asio::awaitable<void> ZoneControl::runDigests()
{
    while (true) {
        co_await sleepFor(config::HubDigestInterval);
        sendDigests(RuntimeClock::now());
    }
}

void ZoneControl::sendDigests(TimePoint now)
{
    if (!m_registryRead || !actsAsHub(now)) {
        return;
    }
    std::map<InstanceName, RegisteredDaemon> receivers;
    for (const auto &other : m_hubs.otherHubs(now)) {
        receivers.emplace(other.id.name, other);
    }
    forEachLiveHub(now, [&receivers](const MemberId &id, const HubRecord &hub) { receivers.emplace(id.name, RegisteredDaemon {id, hub.zone, hub.peer, 1}); });
    if (receivers.empty()) {
        return;
    }
    sendDaemonsWithoutReach(now);
    const HubDigest digest = ownDigest(now);
    const std::vector<HubLoads> loads = ownLoads(now);
    const std::vector<TargetLimits> limits = limitMessages(true, now);
    for (const auto &[name, other] : receivers) {
        sendDigest(other, digest, now);
        for (const auto &piece : loads) {
            send(other.peer, piece);
        }
        for (const auto &piece : limits) {
            send(other.peer, piece);
        }
    }
}

HubDigest ZoneControl::ownDigest(TimePoint now)
{
    HubDigest digest;
    digest.sentAt = toTimestamp(now);
    digest.document = documentProof(now);
    digest.list = listProof(now);
    digest.zone = m_settings.zone;
    digest.registry = m_hubs.registryHash();
    digest.readsStore = m_storeReadAt && now - *m_storeReadAt < config::RelayedProofMaxAge;
    const SchedulerDemand demand = ownDemand(now);
    digest.members = demand.members;
    for (const auto &team : m_scheduler.teams()) {
        const auto found = demand.teams.find(shortHash(team.value));
        if (found != demand.teams.end()) {
            digest.teams.push_back({found->first, static_cast<std::uint32_t>(found->second * 60), m_scheduler.bucket(team)->taken(),
                                    warmingUp(now) ? TeamDemand::UnknownTokens : m_scheduler.bucket(team)->level(now)});
        }
    }
    if (digest.teams.size() > HubDigest::MaxTeams) {
        // Only the teams with the highest demand are reported. For every other team, the hubs that receive the digest
        // assume the minimum demand for each member of this hub. The tokens taken for such a team are included in the
        // next report about it.
        std::partial_sort(digest.teams.begin(), digest.teams.begin() + HubDigest::MaxTeams, digest.teams.end(),
                          [](const TeamDemand &a, const TeamDemand &b) { return a.perMinute > b.perMinute; });
        digest.teams.resize(HubDigest::MaxTeams);
    }
    return digest;
}

std::vector<HubLoads> ZoneControl::ownLoads(TimePoint now) const
{
    std::vector<HubLoads> pieces;
    const auto loads = m_scheduler.loads(now);
    for (std::size_t first = 0; first < loads.size(); first += HubLoads::MaxLoads) {
        const auto begin = loads.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = static_cast<std::ptrdiff_t>(std::min(HubLoads::MaxLoads, loads.size() - first));
        pieces.push_back({m_settings.zone, {begin, begin + count}});
    }
    return pieces;
}

void ZoneControl::sendDigest(const RegisteredDaemon &to, HubDigest digest, TimePoint now)
{
    const auto record = m_otherHubs.find(to.id);
    if (record != m_otherHubs.end()) {
        digest.echo = record->second.sentAt;
        digest.echoHeldMilliseconds = wholeMilliseconds(now - record->second.lastReceivedAt);
    }
    send(to.peer, std::move(digest));
    // A daemon of another zone that sends no digest while more than MaxMissedDigests are sent to it is recorded as
    // unresponsive, since it does not act as that zone's hub.
    auto &unanswered = m_unansweredDigests[to.id.name];
    if (++unanswered > config::MaxMissedDigests && to.zone != m_settings.zone) {
        unanswered = 0;
        m_hubs.recordNoAnswer(to.id.name, now);
    }
}

// A digest reports a running count of the tokens that the hub took for a team; only increases are recorded. The first
// report only sets the starting count, because the number of tokens that the hub took earlier is unknown. The hub's
// part of the rate was reserved for it until its first digest.
void ZoneControl::recordTaken(HubRecord &record, const HubDigest &digest, TimePoint now)
{
    forEachReportedTeam(m_scheduler.teams(), digest.teams, [&](const TeamName &team, const TeamDemand &reported) {
        const auto increase = record.taken.increase(reported.team, reported.taken);
        if (!increase && warmingUp(now) && reported.remainingTokens != TeamDemand::UnknownTokens) {
            m_scheduler.bucket(team)->mergeRemoteLevel(reported.remainingTokens, now);
        }
        if (increase) {
            m_scheduler.bucket(team)->addRemoteTaken(static_cast<std::int32_t>(*increase), now);
        }
    });
}

void ZoneControl::received(const Envelope &envelope, const HubDigest &digest)
{
    const TimePoint now = RuntimeClock::now();
    HubRecord &record = m_otherHubs[envelope.sender];
    record.peer = envelope.replyTo;
    record.zone = digest.zone;
    record.lastReceivedAt = now;
    record.sentAt = digest.sentAt;
    record.readsStore = digest.readsStore;
    record.taken.beginReport(config::HubDigestLifetime, now);
    recordTaken(record, digest, now);
    record.demand.members = digest.members;
    record.demand.teams.clear();
    for (const auto &team : digest.teams) {
        record.demand.teams[team.team] = team.perMinute / 60.0;
    }
    m_unansweredDigests[envelope.sender.name] = 0;
    updateShares(now);
    const TimePoint writtenAt = fromTimestamp(digest.echo) + std::chrono::milliseconds(digest.echoHeldMilliseconds);
    if (digest.echo == 0 && actsAsHub(now)) {
        // The sender has no digest of this daemon, perhaps because it has just started.
        sendDigest({envelope.sender, digest.zone, envelope.replyTo, 1}, ownDigest(now), now);
    }
    if (digest.echo == 0 || writtenAt > now) {
        ++m_digestsWithoutEcho;
        return;
    }
    recordRegistry(digest.registry, now);
    recordProof(digest.document, writtenAt, envelope.replyTo);
    recordList(digest.list, writtenAt, envelope.sender, envelope.replyTo);
}
}
