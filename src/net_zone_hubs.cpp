#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <unordered_map>
#include <utility>

namespace plumsill
{
namespace
{
// A heartbeat names at most this many running attempts, so that it fits a datagram.
constexpr std::size_t MostNamedAttempts = 16;

std::uint64_t stampOf(TimePoint time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

TimePoint timeOf(std::uint64_t stamp)
{
    return TimePoint(Duration(static_cast<Duration::rep>(stamp)));
}

/// Calls @p apply with each team and the first entry that tells of it; entries name teams by their hash alone.
template<class Told, class Apply>
void forEachTold(const std::vector<TeamName> &teams, const std::vector<Told> &told, Apply apply)
{
    if (told.empty()) {
        return;
    }
    std::unordered_map<std::uint32_t, const Told *> byTeam;
    for (const auto &entry : told) {
        byTeam.emplace(entry.team, &entry);
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
    m_hubs.heard(envelope.sender, envelope.replyTo, RuntimeClock::now());
    if (const auto *place = std::get_if<PlaceRequest>(&envelope.message)) {
        received(envelope, *place);
    } else if (const auto *answer = std::get_if<PlaceReply>(&envelope.message)) {
        received(envelope, *answer);
    } else if (const auto *report = std::get_if<AttemptReport>(&envelope.message)) {
        m_scheduler.finishAttempt({envelope.sender, report->id}, report->end, std::chrono::milliseconds(report->durationMilliseconds), RuntimeClock::now());
        sendLate();
    } else if (const auto *withdrawal = std::get_if<PlacementCancellation>(&envelope.message)) {
        m_scheduler.cancelPlacement({envelope.sender, withdrawal->id});
    } else if (const auto *heartbeat = std::get_if<MemberHeartbeat>(&envelope.message)) {
        received(envelope, *heartbeat);
    } else if (const auto *beacon = std::get_if<HubBeacon>(&envelope.message)) {
        received(envelope, *beacon);
    } else if (const auto *digest = std::get_if<HubDigest>(&envelope.message)) {
        received(envelope, *digest);
    } else if (const auto *told = std::get_if<HubLoads>(&envelope.message)) {
        m_scheduler.setRemoteLoads(told->zone, told->loads, RuntimeClock::now());
    }
}

// A scheduler is whoever is asked, or would be.
bool ZoneControl::acting(TimePoint now) const
{
    if (m_hubs.isHub(now)) {
        return true;
    }
    return std::any_of(m_members.begin(), m_members.end(), [now](const auto &entry) { return now - entry.second.lastReceivedAt < config::HubActiveTime; });
}

void ZoneControl::recordHub(TimePoint now)
{
    const auto present = hub(now);
    const auto id = present ? std::optional(present->id) : std::nullopt;
    if (id != m_hub) {
        Event("hub", "hub-chosen").add("hub", id ? id->name.value : std::string()).add("self", present && isSelf(*present));
        m_hub = id;
        m_hubReceivedAt = now;
        m_hubListAt = TimePoint::max();
        if (present && !isSelf(*present)) {
            sendHeartbeat(*present, now);
        }
    }
}

boost::asio::awaitable<void> ZoneControl::runHeartbeats()
{
    while (true) {
        co_await sleepFor(config::MemberHeartbeatInterval);
        const TimePoint now = RuntimeClock::now();
        if (!m_registryRead) {
            continue;
        }
        recordHub(now);
        auto present = hub(now);
        if (present && !isSelf(*present) && now - m_hubReceivedAt > config::MemberHeartbeatInterval * config::MaxUnansweredHeartbeats) {
            hubUnresponsive(*present, now);
            recordHub(now);
            present = hub(now);
        }
        if (present && !isSelf(*present)) {
            sendHeartbeat(*present, now);
        }
        const auto silent = m_hubs.unresponsiveHub(now);
        if (silent && now >= m_nextProbe) {
            m_nextProbe = now + config::UnresponsiveHubProbeInterval;
            sendHeartbeat(*silent, now);
        }
        updateShares(now);
    }
}

void ZoneControl::sendHeartbeat(const RegisteredDaemon &to, TimePoint now)
{
    MemberHeartbeat heartbeat;
    heartbeat.sentAt = stampOf(now);
    for (const auto &[id, running] : m_running) {
        if (heartbeat.running.size() == MostNamedAttempts) {
            heartbeat.complete = false;
            break;
        }
        heartbeat.running.push_back(running.attempt);
        heartbeat.running.back().ageMilliseconds = wholeMilliseconds(now - running.startedAt);
    }
    heartbeat.taken = recentlyTaken();
    send(to.peer, std::move(heartbeat));
}

// A daemon whose questions stay unanswered places by itself, while its scheduler still counts it. What it gives out then
// is told for a few heartbeats, since some of them may be lost.
std::vector<TokensTaken> ZoneControl::recentlyTaken()
{
    std::vector<TokensTaken> taken;
    for (const auto &team : m_scheduler.teams()) {
        const std::uint32_t present = m_scheduler.bucket(team)->taken();
        ToldTokens &told = m_toldTokens[team];
        if (told.taken != present) {
            told = {present, config::TokenReportRepeats};
        }
        if (told.beats > 0 && taken.size() < MemberHeartbeat::MaxTokenCounts) {
            --told.beats;
            taken.push_back({shortHash(team.value), present});
        }
    }
    return taken;
}

// What it took before it became a member was told to others, or was its own part of the rate.
void ZoneControl::recordTaken(MemberRecord &record, const MemberHeartbeat &heartbeat, TimePoint now)
{
    const bool first = record.heartbeatSentAt == 0;
    forEachTold(m_scheduler.teams(), heartbeat.taken, [&](const TeamName &team, const TokensTaken &told) {
        const std::uint32_t tokens = told.taken - std::exchange(record.taken[told.team], told.taken);
        if (!first && tokens <= config::MaxReportedTokens) {
            m_scheduler.bucket(team)->addMemberTaken(tokens, now);
        }
    });
}

void ZoneControl::received(const Envelope &envelope, const MemberHeartbeat &heartbeat)
{
    const TimePoint now = RuntimeClock::now();
    // An earlier run of the daemon asks nothing any more.
    std::erase_if(m_members,
                  [&envelope](const auto &entry) { return entry.first.name == envelope.sender.name && entry.first.incarnation < envelope.sender.incarnation; });
    MemberRecord &member = m_members[envelope.sender];
    recordTaken(member, heartbeat, now);
    member.peer = envelope.replyTo;
    member.lastReceivedAt = now;
    member.heartbeatSentAt = heartbeat.sentAt;
    member.heartbeatAt = now;
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

// Ages are counted from when this daemon's own heartbeat was sent, so a beacon that lay in a buffer proves no more
// than it did then.
void ZoneControl::received(const Envelope &envelope, const HubBeacon &beacon)
{
    const TimePoint now = RuntimeClock::now();
    if (beacon.leaving) {
        m_hubs.leaving(envelope.sender, now);
        askAgain(envelope.sender);
        recordHub(now);
    }
    if (m_hub && m_hub->name == envelope.sender.name) {
        m_hubReceivedAt = now;
    }
    const TimePoint writtenAt = timeOf(beacon.heartbeatSentAt) + std::chrono::milliseconds(beacon.heldMilliseconds);
    if (beacon.heartbeatSentAt == 0 || writtenAt > now) {
        return;
    }
    if (beacon.list.known && m_hub && m_hub->name == envelope.sender.name) {
        m_hubListAt = writtenAt - std::chrono::milliseconds(beacon.list.ageMilliseconds);
    }
    recordProof(beacon.document, writtenAt, envelope.replyTo);
    recordList(beacon.list, writtenAt, envelope.sender, envelope.replyTo);
    recordRegistry(beacon.registry, now);
}

void ZoneControl::recordRegistry(std::uint32_t hash, TimePoint now)
{
    if (hash != m_hubs.registryHash() && m_nextRegistryRead == TimePoint::max()) {
        // In a rolling stop the fleet changes all the time; only at the start is it urgent to find the others.
        const Duration pause = m_registryReads < 2 ? Duration::zero() : Duration(config::RegistryFollowInterval);
        m_nextRegistryRead = std::max<TimePoint>(now, m_registryReadAt + pause) + std::chrono::milliseconds(m_random() % 1000);
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

bool ZoneControl::young(TimePoint now) const
{
    return !m_actingSince || now - *m_actingSince < config::SchedulerWarmUpTime;
}

// One that has just begun, perhaps with the whole fleet, doesn't know yet who else gives out tokens: it keeps to its
// zone's part until it has heard of the others, or has had the time to.
double ZoneControl::largestPool(TimePoint now)
{
    if (!acting(now)) {
        m_actingSince.reset();
        return 1;
    }
    m_actingSince = m_actingSince.value_or(now);
    if (m_settings.zones <= 1 || !young(now)) {
        return 1;
    }
    std::set<ZoneName> heard {m_settings.zone};
    forEachLiveHub(now, [&heard](const MemberId & /*id*/, const HubRecord &hub) { heard.insert(hub.zone); });
    return static_cast<double>(heard.size()) / m_settings.zones;
}

void ZoneControl::updateShares(TimePoint now)
{
    std::erase_if(m_members, [now](const auto &entry) { return now - entry.second.lastReceivedAt > config::MemberRecordLifetime; });
    std::erase_if(m_otherHubs, [now](const auto &entry) { return now - entry.second.lastReceivedAt > config::MemberRecordLifetime; });
    for (const auto &[id, record] : m_members) {
        if (now - record.lastReceivedAt > config::MemberLifetime) {
            // It has ended, or asks another scheduler and reports to that one.
            m_scheduler.removeMember(id);
        }
    }
    const SchedulerDemand own = ownDemand(now);
    std::vector<const SchedulerDemand *> others;
    if (acting(now)) {
        forEachLiveHub(now, [&others](const MemberId & /*id*/, const HubRecord &hub) { others.push_back(&hub.demand); });
    }
    const auto registered = static_cast<unsigned>(m_hubs.registered().size());
    const double largest = largestPool(now);
    for (const auto &team : m_scheduler.teams()) {
        m_scheduler.bucket(team)->setPart(m_enrolled ? quotaPart(team, own, others, registered, largest) : QuotaPart {config::UnenrolledShare, 1}, now);
    }
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
    if (!m_registryRead || !acting(now)) {
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
    const HubDigest digest = ownDigest(now);
    const std::vector<HubLoads> loads = ownLoads(now);
    for (const auto &[name, other] : receivers) {
        sendDigest(other, digest, now);
        for (const auto &piece : loads) {
            send(other.peer, piece);
        }
    }
}

HubDigest ZoneControl::ownDigest(TimePoint now)
{
    HubDigest digest;
    digest.sentAt = stampOf(now);
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
                                    young(now) ? TeamDemand::UnknownTokens : m_scheduler.bucket(team)->level(now)});
        }
    }
    if (digest.teams.size() > HubDigest::MaxTeams) {
        // Those that ask most share first; the others keep to what the last digests said of them.
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
    const auto heard = m_otherHubs.find(to.id);
    if (heard != m_otherHubs.end()) {
        digest.echo = heard->second.sentAt;
        digest.echoHeldMilliseconds = wholeMilliseconds(now - heard->second.lastReceivedAt);
    }
    send(to.peer, std::move(digest));
    // A daemon of another zone that never answers doesn't schedule there.
    auto &unanswered = m_unansweredDigests[to.id.name];
    if (++unanswered > config::MaxMissedDigests && to.zone != m_settings.zone) {
        unanswered = 0;
        m_hubs.silent(to.id.name, now);
    }
}

// What a scheduler took before it was first heard isn't known; its part of the rate was kept for it until then.
void ZoneControl::recordTaken(HubRecord &record, const HubDigest &digest, TimePoint now)
{
    forEachTold(m_scheduler.teams(), digest.teams, [&](const TeamName &team, const TeamDemand &told) {
        const auto [known, first] = record.taken.emplace(told.team, told.taken);
        if (first && young(now) && told.remainingTokens != TeamDemand::UnknownTokens) {
            m_scheduler.bucket(team)->mergeRemoteLevel(told.remainingTokens, now);
        }
        if (!first) {
            m_scheduler.bucket(team)->addRemoteTaken(static_cast<std::int32_t>(told.taken - known->second), now);
            known->second = told.taken;
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
    recordTaken(record, digest, now);
    record.demand.members = digest.members;
    record.demand.teams.clear();
    for (const auto &team : digest.teams) {
        record.demand.teams[team.team] = team.perMinute / 60.0;
    }
    m_unansweredDigests[envelope.sender.name] = 0;
    updateShares(now);
    const TimePoint writtenAt = timeOf(digest.echo) + std::chrono::milliseconds(digest.echoHeldMilliseconds);
    if (digest.echo == 0 || writtenAt > now) {
        return;
    }
    recordRegistry(digest.registry, now);
    recordProof(digest.document, writtenAt, envelope.replyTo);
    recordList(digest.list, writtenAt, envelope.sender, envelope.replyTo);
}
}
