#include "zone_p.h"

#include <plumsill/config.h>
#include <plumsill/event.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace plumsill
{
namespace
{
// Keys stop being trusted this long before the proof of the document's freshness expires. The margin covers the time
// between the check of a request's key and the request's arrival at the target.
constexpr auto KeyTrustMargin = std::chrono::milliseconds(200);

void addSubsetGauges(const std::map<ServiceName, SubsetReport> &reports, std::vector<Gauge> &gauges)
{
    const auto add = [&](const char *name, const auto &value) {
        for (const auto &[service, report] : reports) {
            gauges.push_back({name, static_cast<double>(value(report)), "service=\"" + service.value + "\""});
        }
    };
    add("plumsill_subset_daemons", [](const SubsetReport &report) { return report.daemons; });
    add("plumsill_subset_mean_targets", [](const SubsetReport &report) { return report.meanSize; });
    add("plumsill_placements_in_subset", [](const SubsetReport &report) { return report.inside; });
    add("plumsill_placements_outside_subset", [](const SubsetReport &report) { return report.outside; });
    add("plumsill_placements_on_kept_connection", [](const SubsetReport &report) { return report.reused; });
    add("plumsill_placements_on_new_connection", [](const SubsetReport &report) { return report.opened; });
}

void addAdmissionGauges(const AdmissionCounts &counts, std::vector<Gauge> &gauges)
{
    for (const auto &[priority, count] : counts) {
        const std::string rank = "priority=\"" + std::to_string(priority) + "\",outcome=\"";
        const auto add = [&gauges, &rank](const std::string &outcome, std::uint64_t requests) {
            gauges.push_back({"plumsill_scheduled_requests", static_cast<double>(requests), rank + outcome + "\""});
        };
        add("placed", count.placed);
        add("waited", count.waited);
        add("over-rate", count.overRate);
        add("unknown-team", count.unknownTeam);
        for (const auto &[reason, requests] : count.refused) {
            add(toString(reason), requests);
        }
    }
}

RepeatBound repeatBound(const FleetBounds &bounds)
{
    return {bounds.repeatRatio, bounds.repeatSlack, bounds.repeatWindow};
}
}

ZoneControl::ZoneControl(boost::asio::io_context &context, const Settings &settings, DirectoryPort directory, PeerPort &peers, RegisteredDaemon self,
                         std::vector<std::unique_ptr<TrafficThread>> &threads)
    : m_context(context)
    , m_settings(settings)
    , m_peers(peers)
    , m_threads(threads)
    , m_self(std::move(self))
    , m_directory(std::move(directory))
    , m_hubs(m_self)
    , m_documentFreshness(settings.firstStart ? FleetStart::First : FleetStart::Later)
    , m_scheduler(settings.zone, repeatBound(settings.bounds))
{
    publish(m_startedAt); // before the traffic threads start, which hold the first requests by it
}

Envelope ZoneControl::envelope(Message message) const
{
    return {m_self.id, m_self.peer, 0, std::move(message)};
}

void ZoneControl::send(const Endpoint &to, Message message)
{
    const auto sent = m_peers.sendDatagram(to, envelope(std::move(message)));
    if (!sent) {
        Event("peer", "send-failed").add("to", toString(to)).add("reason", toString(sent.error()));
    }
}

Duration ZoneControl::randomDuration(Duration max)
{
    return fromSeconds(std::uniform_real_distribution<double>(0, seconds(max))(m_random));
}

void ZoneControl::recordStoreResult(bool reached, const char *call, const std::string &reason)
{
    if (reached != m_storeReached) {
        m_storeReached = reached;
        Event("store", reached ? "store-regained" : "store-lost").add("call", call).add("reason", reason);
    }
}

// One hub reads the store on behalf of the fleet: of the hubs that receive each other's digests and can read the store,
// the one with the lowest name.
bool ZoneControl::readsForFleet(TimePoint now) const
{
    if (!m_registryRead || !actsAsHub(now)) {
        return false;
    }
    for (const auto &[id, hub] : m_otherHubs) {
        if (now - hub.lastReceivedAt < config::RelayedProofMaxAge && hub.readsStore && id.name < m_self.id.name) {
            return false;
        }
    }
    return true;
}

void ZoneControl::startDueReads(TimePoint now)
{
    const ReadState state = readState(now);
    const DueReads due = dueReads(state, m_startedAt, now);
    const bool documentFails = due.document && m_documentRead.failed;
    if (due.document && !m_documentRead.running && (state.readsForFleet || relayOverdue(state, now) || m_documentRead.backoff.allowed(now))) {
        boost::asio::co_spawn(m_context, runRead(m_documentRead, &ZoneControl::readDocument), boost::asio::detached);
    }
    if (due.targets && !documentFails && !m_targetsRead.running && (state.readsForFleet || m_targetsRead.backoff.allowed(now)) && now >= m_nextListRead) {
        m_nextListRead = now + config::TargetsReadInterval;
        boost::asio::co_spawn(m_context, runRead(m_targetsRead, &ZoneControl::readTargets), boost::asio::detached);
    }
    if (due.targets && (documentFails || m_targetsRead.failed) && !m_otherHubs.empty() && !m_fetchingTargets) {
        const auto &[id, hub] = *std::next(m_otherHubs.begin(), static_cast<std::ptrdiff_t>(m_random() % m_otherHubs.size()));
        boost::asio::co_spawn(m_context, fetchTargets(hub.peer, id.name), boost::asio::detached);
    }
}

boost::asio::awaitable<void> ZoneControl::runReader()
{
    while (true) {
        startDueReads(RuntimeClock::now());
        const TimePoint checked = RuntimeClock::now();
        co_await sleepFor(nextReadCheck(readState(checked), checked) - checked);
    }
}

// Reads run beside each other, so that one without an answer delays no other.
boost::asio::awaitable<void> ZoneControl::runRead(DirectoryRead &state, boost::asio::awaitable<bool> (ZoneControl::*read)())
{
    state.running = true;
    const bool succeeded = co_await (this->*read)();
    state.running = false;
    state.failed = !succeeded;
    state.backoff.record(succeeded, std::uniform_real_distribution<double>(0, 1)(m_random), RuntimeClock::now());
}

ReadState ZoneControl::readState(TimePoint now) const
{
    const bool followsHub = m_hub && m_hub->name != m_self.id.name;
    ReadState state;
    state.readsForFleet = readsForFleet(now);
    state.documentProvedAt = m_documentFreshness.currentAt();
    state.listReadAt = m_list.readAt();
    state.hubChosenAt = followsHub ? std::optional(m_hubChosenAt) : std::nullopt;
    state.newerKnownSince = m_documentFreshness.newerKnownSince();
    state.isHub = m_registryRead && m_hubs.isHub(now); // without the registry each daemon knows only itself
    return state;
}

boost::asio::awaitable<bool> ZoneControl::readTargets()
{
    const auto result = co_await m_directory.targets();
    recordStoreResult("targets", result);
    if (!result) {
        co_return false;
    }
    const TargetsRead &read = result.assume_value();
    m_storeReadAt = read.sentAt;
    m_documentFreshness.recordEra(read.era, RuntimeClock::now());
    for (const auto &entry : m_rejectedTargets.record(read.rejected)) {
        Event("targets", "entry-rejected").add("name", entry.name).add("reason", entry.reason).add("rejected", static_cast<std::int64_t>(read.rejected.size()));
    }
    const std::uint64_t before = m_list.revision();
    if (m_list.read(read.targets, read.sentAt, RuntimeClock::now(), read.era)) {
        m_listSource.reset();
    }
    if (m_list.revision() != before) {
        listChanged("store");
    }
    co_return true;
}

void ZoneControl::listChanged(const std::string &from)
{
    const TimePoint now = RuntimeClock::now();
    const auto targets = m_list.targets();
    m_scheduler.setTargets(targets, now);
    const auto leaving = std::count_if(targets.begin(), targets.end(), [](const Target &target) { return target.leaving; });
    Event("targets", "targets-changed")
        .add("from", from)
        .add("revision", static_cast<std::int64_t>(m_list.revision()))
        .add("targets", static_cast<std::int64_t>(targets.size()))
        .add("leaving", static_cast<std::int64_t>(leaving))
        .add("unlisted", static_cast<std::int64_t>(m_list.kept()))
        .add("grace_ms", m_list.graceLeft(now));
    publishRegainedTrust(now);
    sendBeacons(now);
    sendDigests(now);
    deliverQueuedPlacements();
}

boost::asio::awaitable<void> ZoneControl::fetchTargets(Endpoint from, InstanceName daemon)
{
    if (m_fetchingTargets) {
        co_return;
    }
    m_fetchingTargets = true;
    const TimePoint requestedAt = RuntimeClock::now();
    const Envelope request = envelope(m_relayed.request(daemon));
    const auto reply = co_await m_peers.request(from, request);
    m_fetchingTargets = false;
    const auto *answer = reply ? std::get_if<ListReply>(&reply.assume_value().message) : nullptr;
    if (answer == nullptr) {
        co_return;
    }
    const RelayedRead read {daemon, requestedAt, std::chrono::milliseconds(answer->ageMilliseconds), std::chrono::milliseconds(answer->graceMilliseconds)};
    if (!acceptsList(read, answer->era) || !m_relayed.apply(daemon, *answer)) {
        co_return;
    }
    const std::uint64_t before = m_list.revision();
    const TimePoint readAt = requestedAt - read.age;
    if (!m_list.read(m_relayed.targets(), readAt, RuntimeClock::now(), answer->era)) {
        co_return; // this daemon has read the list itself meanwhile
    }
    m_listSource = m_relayed.source();
    if (m_list.revision() != before) {
        listChanged(toString(from));
    }
}

bool ZoneControl::acceptsList(const RelayedRead &read, StoreEra era)
{
    const TimePoint now = RuntimeClock::now();
    const auto eraSince = era > m_documentFreshness.era() ? std::optional(now) : m_documentFreshness.eraStart();
    return m_list.recordRelayed(read, now, eraSince);
}

void ZoneControl::recordList(const ListProof &proof, TimePoint writtenAt, const MemberId &daemon, const Endpoint &from)
{
    if (!proof.known) {
        return;
    }
    const ListSource source {daemon, proof.revision};
    const TimePoint readAt = writtenAt - std::chrono::milliseconds(proof.ageMilliseconds);
    m_targetsRead.backoff.recordRelayed(readAt);
    const RelayedRead read {daemon.name, writtenAt, std::chrono::milliseconds(proof.ageMilliseconds), std::chrono::milliseconds(proof.graceMilliseconds)};
    if (!acceptsList(read, 0)) {
        return;
    }
    if (m_listSource == source) {
        const std::uint64_t before = m_list.revision();
        m_list.confirm(readAt);
        if (m_list.revision() != before) {
            listChanged(toString(from));
        }
        return;
    }
    // Two daemons that relay the target list of a third daemon give the same content different revisions. Changing from
    // one to the other would fetch the same list again, so the current source is kept while its list is fresh.
    const bool otherSource = m_listSource && m_listSource->daemon != daemon;
    const bool fresh = m_list.readAt() && RuntimeClock::now() - *m_list.readAt() < config::ListSourceMaxAge;
    if ((!m_list.readAt() || readAt > *m_list.readAt()) && !(otherSource && fresh) && !m_fetchingTargets) {
        boost::asio::co_spawn(m_context, fetchTargets(from, daemon.name), boost::asio::detached);
    }
}

ListProof ZoneControl::listProof(TimePoint now) const
{
    const auto readAt = m_list.readAt();
    return readAt ? ListProof {true, m_list.revision(), wholeMilliseconds(now - *readAt), wholeMilliseconds(m_list.graceLeft(now))} : ListProof {};
}

std::optional<Envelope> ZoneControl::respond(const Envelope &request)
{
    const TimePoint now = RuntimeClock::now();
    if (std::holds_alternative<PackedDocumentRequest>(request.message) && m_document.text) {
        return envelope(packedDocument());
    }
    const auto *listRequest = std::get_if<ListRequest>(&request.message);
    if (listRequest != nullptr && m_list.readAt()) {
        return envelope(listReply(m_list, m_self.id, *listRequest, now));
    }
    return std::nullopt;
}

TimePoint ZoneControl::trustedUntil() const
{
    const auto provedAt = m_documentFreshness.currentAt();
    return provedAt ? *provedAt + m_settings.bounds.keyLifetime - KeyTrustMargin : TimePoint();
}

bool ZoneControl::ready(TimePoint now) const
{
    return !m_leaving && m_compiled && now < servesUntil();
}

// The traffic threads get no document before the targets are known: they would refuse what they hold now.
void ZoneControl::publish(TimePoint now)
{
    m_publishedAt = now;
    m_publishedTrust = servesUntil();
    const boost::intrusive_ptr<Snapshot> snapshot(new Snapshot);
    snapshot->compiled = m_list.readAt() ? m_compiled : nullptr;
    snapshot->leaving = m_leaving;
    snapshot->closeAt = m_closeAt;
    snapshot->takeBy = m_takeBy;
    snapshot->answerBy = m_answerBy;
    snapshot->limits = m_settings.limits;
    snapshot->trustedUntil = servesUntil();
    snapshot->publishedAt = now;
    snapshot->proofExpectedUntil = m_proofExpectedUntil;
    for (const auto &thread : m_threads) {
        thread->publish(snapshot);
    }
}

void ZoneControl::publishRegainedTrust(TimePoint now)
{
    if (m_publishedTrust <= now && servesUntil() > now) {
        publish(now);
    }
}

boost::asio::awaitable<void> ZoneControl::runPublisher()
{
    bool wasReady = false;
    while (true) {
        co_await sleepFor(m_scheduler.idle() ? Duration(config::ControlTick) : Duration(config::QueueServeInterval));
        const TimePoint now = RuntimeClock::now();
        updateReach(now);
        reviewHeldBack(now);
        deliverQueuedPlacements();
        if (!m_publishedAt || now - *m_publishedAt >= config::PublishInterval) {
            publish(now);
        }
        publishRegainedTrust(now);
        if (ready(now) != wasReady) {
            wasReady = !wasReady;
            Event("daemon", wasReady ? "ready" : "not-ready")
                .add("document", static_cast<std::int64_t>(m_documentFreshness.held()))
                .add("keys_left_ms", std::clamp<Duration>(trustedUntil() - now, Duration::zero(), std::chrono::hours(1)))
                .add("targets", static_cast<std::int64_t>(m_list.revision()))
                .add("leaving", m_leaving);
        }
        flushEvents();
    }
}

// Applies changes of the store's address, the capacity and the bounds. A change of any other setting needs a restart,
// for example of the names and addresses by which other daemons know this daemon.
bool ZoneControl::reload(const Settings &settings)
{
    const TimePoint now = RuntimeClock::now();
    if (settings.platform != m_settings.platform) {
        m_directory.setStoreAddress(settings.platform);
    }
    if (settings.capacity != m_settings.capacity) {
        m_self.capacity = settings.capacity;
        m_entryOutdated = true;
    }
    m_settings.platform = settings.platform;
    m_settings.capacity = settings.capacity;
    m_settings.limits = settings.limits;
    m_settings.bounds = settings.bounds;
    m_scheduler.setRepeatBound(repeatBound(settings.bounds));
    publish(now);
    Settings expected = settings;
    expected.firstStart = m_settings.firstStart;
    return expected == m_settings;
}

boost::asio::awaitable<void> ZoneControl::leave()
{
    m_leaving = true;
    const TimePoint now = RuntimeClock::now();
    const StopPlan plan = stopPlan(stopGrace());
    m_closeAt = now + plan.closeAt;
    m_takeBy = now + plan.takeBy;
    m_answerBy = now + plan.answerBy;
    m_peers.drainTunnels();
    Event("daemon", "stopping").add("requests", static_cast<std::int64_t>(m_running.size()));
    publish(now);
    sendBeacons(now);
    co_await sleepFor(m_closeAt - now);
    co_await withdraw();
}

std::string ZoneControl::metricsText(TimePoint now)
{
    std::vector<Gauge> gauges;
    const auto provedAt = m_documentFreshness.currentAt();
    gauges.push_back({"plumsill_document_version", static_cast<double>(m_documentFreshness.held())});
    gauges.push_back({"plumsill_document_age_seconds", provedAt ? seconds(now - *provedAt) : -1});
    gauges.push_back({"plumsill_document_newest_known", static_cast<double>(m_documentFreshness.newest())});
    gauges.push_back({"plumsill_digests_without_echo", static_cast<double>(m_digestsWithoutEcho)});
    gauges.push_back({"plumsill_store_era", static_cast<double>(m_directory.era())});
    gauges.push_back({"plumsill_targets_age_seconds", m_list.readAt() ? seconds(now - *m_list.readAt()) : -1});
    gauges.push_back({"plumsill_targets_rejected", static_cast<double>(m_rejectedTargets.count())});
    gauges.push_back({"plumsill_registered_daemons", static_cast<double>(m_hubs.registered().size())});
    gauges.push_back({"plumsill_schedules_for", static_cast<double>(m_members.size())});
    gauges.push_back({"plumsill_placements_by_hub", static_cast<double>(m_hubPlacements)});
    gauges.push_back({"plumsill_placements_alone", static_cast<double>(m_localPlacements)});
    gauges.push_back({"plumsill_placement_replies_without_request", static_cast<double>(m_repliesWithoutRequest)});
    gauges.push_back({"plumsill_running_requests", static_cast<double>(m_running.size())});
    gauges.push_back({"plumsill_services_out_of_reach", static_cast<double>(m_cutOff.size())});
    gauges.push_back({"plumsill_suspect_requests", static_cast<double>(m_quarantine.suspects())});
    gauges.push_back({"plumsill_quarantined_requests", static_cast<double>(m_quarantine.quarantined())});
    addRepeatGauges(gauges, now);
    gauges.push_back({"plumsill_tunnels_for_others", static_cast<double>(m_peers.tunnels())});
    gauges.push_back({"plumsill_platform_calls", static_cast<double>(m_directory.calls())});
    gauges.push_back({"plumsill_log_lines_left_out", static_cast<double>(droppedEvents())});
    gauges.push_back({"plumsill_ready", ready(now) ? 1.0 : 0.0});
    addSubsetGauges(m_scheduler.subsetReports(), gauges);
    addAdmissionGauges(m_scheduler.admissionCounts(), gauges);
    return m_metrics.prometheusText(gauges);
}
}
