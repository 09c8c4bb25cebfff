#pragma once

#include "clock_p.h"
#include "directory_port_p.h"
#include "peer_p.h"
#include "snapshot_p.h"
#include "traffic_p.h"

#include <plumsill/config.h>
#include <plumsill/document_freshness.h>
#include <plumsill/hubs.h>
#include <plumsill/list_relay.h>
#include <plumsill/metrics.h>
#include <plumsill/quarantine.h>
#include <plumsill/quota.h>
#include <plumsill/reach.h>
#include <plumsill/read_plan.h>
#include <plumsill/registry_rewrite.h>
#include <plumsill/rejected_entries.h>
#include <plumsill/reply_wait.h>
#include <plumsill/request_hold.h>
#include <plumsill/scheduler.h>
#include <plumsill/settings.h>
#include <plumsill/stop_plan.h>
#include <plumsill/target_list.h>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// The control thread of a daemon in a zone fleet. In each zone an elected daemon, the hub, places the requests of all
/// daemons of the zone. This daemon can be the hub itself.
namespace plumsill
{
/// Membership, document, targets and placements of one daemon. Used by its control thread only.
class ZoneControl
{
public:
    ZoneControl(boost::asio::io_context &context, const Settings &settings, DirectoryPort directory, PeerPort &peers, RegisteredDaemon self,
                std::vector<std::unique_ptr<TrafficThread>> &threads);

    // Coroutines that run as children of the supervisor.
    boost::asio::awaitable<void> runRegistry();
    boost::asio::awaitable<void> runReader();
    boost::asio::awaitable<void> runHeartbeats();
    boost::asio::awaitable<void> runDigests();
    boost::asio::awaitable<void> runPublisher();

    // Called by the peer port.
    void received(const Envelope &envelope);
    std::optional<Envelope> respond(const Envelope &request);
    /// Connects to a target for another daemon.
    boost::asio::awaitable<OpenedTunnel> openTunnel(TunnelRequest request);

    // Called on the control thread for the traffic threads.
    void report(const TrafficReport &report) { m_metrics.add(report); }
    void requestPlacement(ThreadPlacementRequest threadRequest);
    void cancelRequest(std::uint64_t id);
    void attemptEnded(const EndedAttempt &ended);

    /// Applies changed settings; returns false where some of the changes need a restart.
    bool reload(const Settings &settings);
    /// Maximum duration of a graceful shutdown (planned stop).
    Duration stopGrace() const { return m_settings.bounds.stopGrace; }
    /// Starts a graceful shutdown and announces it to the load balancer and the other daemons. Returns once the daemon
    /// has left the registry or the attempt to leave it has failed.
    boost::asio::awaitable<void> leave();
    /// Removes this daemon's entry from the registry; returns once that has succeeded or failed.
    boost::asio::awaitable<void> withdraw();
    bool ready(TimePoint now) const;
    std::string metricsText(TimePoint now);

private:
    /// A request that waits for its placement.
    struct Pending {
        ThreadPlacementRequest threadRequest;
        std::unique_ptr<RuntimeTimer> timer;
        std::optional<MemberId> hub; ///< hub that the request was sent to; none where this daemon places it
        ReplyWait wait; ///< wait for the reply of that hub
        unsigned unresponsiveHubs = 0; ///< hubs that did not answer this request
        bool queued = false; ///< the request waits in the scheduler's queue
    };

    /// Number of a team's tokens that this daemon has taken without its hub, and number of further heartbeats in which
    /// it sends that number.
    struct ReportedTokens {
        std::uint32_t taken = 0;
        unsigned remainingReports = 0;
    };

    /// A running attempt of this daemon.
    struct Running {
        RunningAttempt attempt;
        TimePoint startedAt;
        bool placedLocally = false;
        Duration usualTime {}; ///< age at which most good answers have arrived
        std::optional<Helper> helper;
        RequestDigest digest;
        Endpoint endpoint; ///< of the target
    };

    /// A daemon that uses this one as its hub.
    struct MemberRecord {
        Endpoint peer;
        TimePoint lastReceivedAt;
        std::uint64_t heartbeatSentAt = 0; ///< timestamp in the member's last heartbeat, on the member's clock; 0 before the first
        TimePoint heartbeatAt; ///< when that heartbeat was received
        std::map<std::uint32_t, std::uint32_t> taken; ///< number of taken tokens in the last report, by hash of the team's name
        ReportedCounts limitTaken; ///< requests to limited targets, by hash of the target's name
        bool reaches = true; ///< false: the member reaches no targets at all
    };

    /// A copy of a quarantined request that waits for the result of a trial.
    struct HeldBack {
        ThreadPlacementRequest request;
        TimePoint since;
    };

    /// What another daemon said last of services out of reach.
    struct ReachReport {
        ServicesOutOfReach services;
        TimePoint at;
    };

    /// A daemon that has asked this one for tunnels.
    struct Asker {
        Endpoint peer;
        TimePoint lastAskedAt;
    };

    /// The last digest received from another hub.
    struct HubRecord {
        Endpoint peer;
        ZoneName zone;
        SchedulerDemand demand;
        ReportedCounts taken; ///< taken tokens, by hash of the team's name
        ReportedCounts limitTaken; ///< requests to limited targets, by hash of the target's name
        TimePoint lastReceivedAt;
        std::uint64_t sentAt = 0; ///< timestamp in the digest, on its sender's clock; echoed in digests to that hub
        bool readsStore = false; ///< the hub reads the directory itself rather than through other hubs
        std::vector<std::uint32_t> withoutReach; ///< daemons of its zone that do not reach some targets, by hash of the name
    };

    /// Repeated read of the directory.
    struct DirectoryRead {
        bool running = false;
        bool failed = false; ///< the last read that ended has failed
        ReadBackoff backoff;
    };

    // Registry, and reads of the document and of the listing of targets.
    boost::asio::awaitable<DirectoryResult<std::string>> peerSecret();
    /// Registers this daemon unless its entry exists already. Returns false if the directory can't be reached.
    boost::asio::awaitable<bool> enroll();
    boost::asio::awaitable<void> readRegistry();
    void recordRegistryEra(TimePoint now);
    /// Writes this daemon's entry again where it is missing, or after a new era of the store.
    boost::asio::awaitable<void> rewriteEntry();
    boost::asio::awaitable<DirectoryResult<bool>> writeEntry(bool firstStart);
    /// Makes this daemon write its entry again if the registry is to show that the store's era is settled.
    void recordSettledEra(TimePoint now);
    /// Writes the peer secret again if the store has lost it.
    boost::asio::awaitable<void> restoreSecret();
    /// Starts the reads of the directory that are due.
    void startDueReads(TimePoint now);
    boost::asio::awaitable<bool> readDocument();
    boost::asio::awaitable<bool> readTargets();
    boost::asio::awaitable<void> runRead(DirectoryRead &state, boost::asio::awaitable<bool> (ZoneControl::*read)());
    boost::asio::awaitable<void> fetchDocument();
    boost::asio::awaitable<void> fetchDocumentFrom(Endpoint from);
    const PackedDocument &packedDocument();
    boost::asio::awaitable<void> fetchTargets(Endpoint from, InstanceName daemon);
    bool readsForFleet(TimePoint now) const;
    ReadState readState(TimePoint now) const;
    void adopt(const DocumentRead &read, const std::string &from);
    void listChanged(const std::string &from);
    void recordProof(const DocumentProof &proof, TimePoint writtenAt, const Endpoint &from);
    /// Takes over the grace period of another daemon. Returns false where its list must not be taken over. @p era: era of the list, 0: unknown.
    bool acceptsList(const RelayedRead &read, StoreEra era);
    void recordList(const ListProof &proof, TimePoint writtenAt, const MemberId &daemon, const Endpoint &from);
    DocumentProof documentProof(TimePoint now) const;
    std::uint32_t eraAgeMilliseconds(TimePoint now) const;
    void recordEraAge(StoreEra era, std::uint32_t ageMilliseconds);
    /// Whether the hub's last beacon told of an older document than this daemon holds, or of none.
    bool hubDocumentIsOlder() const { return m_documentFreshness.held() > m_hubDocument; }
    /// Tells the hub of the document that this daemon holds, if the hub's is older.
    void tellHubOfDocument(TimePoint now);
    void received(const Envelope &envelope, const MemberDocument &document);
    ListProof listProof(TimePoint now) const;
    void recordStoreResult(bool reached, const char *call, const std::string &reason);
    template<class Value>
    void recordStoreResult(const char *call, const DirectoryResult<Value> &result)
    {
        recordStoreResult(result.has_value(), call, result ? "" : toString(result.error()));
    }

    // Placement.
    void requestFromHub(std::uint64_t id);
    void placeLocally(std::uint64_t id);
    void awaitPlacementReply(std::uint64_t id);
    void placementReplyTimedOut(std::uint64_t id);
    void resendPendingRequests(const MemberId &hub);
    bool isKnownUnusable(const Placed &placed) const;
    void deliver(std::uint64_t id, const Placement &placement, bool placedLocally);
    void releasePlacement(std::uint64_t id, bool placedLocally);
    void deliverQueuedPlacements();
    void reply(const Endpoint &to, std::uint64_t id, const Placement &placement);
    void received(const Envelope &envelope, const PlaceRequest &request);
    void received(const Envelope &envelope, const PlaceReply &reply);
    void received(const Envelope &envelope, const MemberHeartbeat &heartbeat);
    void received(const Envelope &envelope, const HubBeacon &beacon);
    void received(const Envelope &envelope, const HubDigest &digest);
    void received(const Envelope &envelope, const TargetLimits &limits);
    /// Records what the answer of the member's attempt said of its target.
    void recordNotice(const InstanceName &sender, const TargetName &target, const AttemptReport &report, TimePoint now);
    std::vector<TargetLimits> limitMessages(bool fromHub, TimePoint now) const;
    std::optional<RegisteredDaemon> hub(TimePoint now) const { return m_hubs.hub(m_settings.zone, now); }
    bool isSelf(const RegisteredDaemon &daemon) const { return daemon.id.name == m_self.id.name; }
    bool actsAsHub(TimePoint now) const;
    void hubUnresponsive(const RegisteredDaemon &unresponsive, TimePoint now);

    // Reach of this daemon, and tunnels (net_zone_reach.cpp).
    void recordPath(const Running &attempt, AttemptEnd end, TimePoint now);
    /// Starts the probes that are due, and sends word of a change.
    void updateReach(TimePoint now);
    void startDueProbes(const ServiceName &service, Reach &reach, TimePoint now);
    /// Logs the change, and tells the scheduler and the hub.
    void setServicesOutOfReach(std::set<ServiceName> services, TimePoint now);
    boost::asio::awaitable<void> probe(ServiceName service, Target target);
    boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>> connectTo(Endpoint endpoint, boost::system::error_code &error);
    std::vector<Target> probeTargets(const ServiceName &service, const Reach &reach, std::size_t count);
    /// Whether targets of some service are in reach. A daemon that misses single services may find them down.
    bool reachesAny() const;
    bool needsHelper(const ServiceName &service) const;
    std::vector<HelperCandidate> helperCandidates(TimePoint now) const;
    TunnelTicketPtr tunnelTicket(const Placed &placed) const;
    void received(const Envelope &envelope, const DaemonsWithoutReach &daemons);
    void received(const Envelope &envelope, const TunnelNotice &notice);
    void received(const Envelope &envelope, const HelperNotice &notice);
    /// Passes on what a target has said to this daemon.
    void tellAskers(const HelperNotice &notice, TimePoint now);
    void received(const Envelope &envelope, const ServicesOutOfReach &services);
    void expireReachReports(TimePoint now);
    void sendDaemonsWithoutReach(TimePoint now);
    /// Services out of reach of this daemon, and of its members where @p asHub is set.
    ServicesOutOfReach servicesOutOfReach(bool asHub, TimePoint now) const;
    /// Decides on a request at this daemon's scheduler.
    Placement submit(const PlacementRequest &request, TimePoint now);

    // Budgets of repeats (net_zone_repeats.cpp).
    void logRepeatChanges(TimePoint now);
    void addRepeatGauges(std::vector<Gauge> &gauges, TimePoint now);

    // Quarantine of requests that crash targets (net_zone_quarantine.cpp).
    /// Refuses a quarantined request, or keeps it until a trial has ended; false if the request may run.
    bool holdBack(ThreadPlacementRequest &threadRequest);
    void refuseQuarantined(const ThreadPlacementRequest &threadRequest, Duration retryAfter);
    /// Daemon that grants trials.
    std::optional<RegisteredDaemon> trialGranter(TimePoint now) const;
    void askForTrial(std::uint64_t id, TimePoint now);
    void runTrial(std::uint64_t id);
    /// Releases or refuses the requests that are held back, as far as it is decided.
    void reviewHeldBack(TimePoint now);
    /// Finds out whether the target of a lost attempt has ended.
    boost::asio::awaitable<void> confirmCrash(Running running, TimePoint lostAt);
    boost::asio::awaitable<bool> takesConnections(const Running &running);
    void recordAnswered(const RequestDigest &digest, TimePoint now);
    /// Passes on what is new of a suspect request. @p from: the daemon that told of it; empty where this daemon saw it.
    void suspectChanged(const RequestDigest &digest, std::size_t quarantinedBefore, const Endpoint &from, TimePoint now);
    std::vector<Endpoint> suspectReceivers(TimePoint now) const;
    void shareSuspect(const RequestDigest &digest, const Endpoint &from, TimePoint now);
    void repeatSuspects(TimePoint now);
    /// Reads the quarantined requests once from the directory where this daemon is a scheduler, and writes changes there where it
    /// grants the trials.
    boost::asio::awaitable<void> keepQuarantine();
    void received(const Envelope &envelope, const SuspectRequests &suspects);
    void received(const Envelope &envelope, const TrialRequest &request);
    void received(const Envelope &envelope, const TrialReply &reply);

    // Messages between hubs and members.
    void noticePause(TimePoint now);
    void sendHeartbeat(const RegisteredDaemon &to, TimePoint now);
    std::vector<TokensTaken> nextTokenReports();
    void recordTaken(MemberRecord &record, const MemberHeartbeat &heartbeat, TimePoint now);
    double maxPoolShare(TimePoint now);
    bool warmingUp(TimePoint now) const;
    void sendBeacon(const MemberRecord &record, TimePoint now);
    void sendBeacons(TimePoint now);
    void sendDigests(TimePoint now);
    /// The content of the digest that is the same for all other hubs.
    HubDigest ownDigest(TimePoint now);
    std::vector<HubLoads> ownLoads(TimePoint now) const;
    void sendDigest(const RegisteredDaemon &to, HubDigest digest, TimePoint now);
    /// Calls @p visit with each other hub whose last digest has not expired.
    template<class Visit>
    void forEachLiveHub(TimePoint now, Visit visit) const
    {
        for (const auto &[id, hub] : m_otherHubs) {
            if (now - hub.lastReceivedAt < config::HubDigestLifetime) {
                visit(id, hub);
            }
        }
    }
    void recordRegistry(std::uint32_t hash, TimePoint now);
    void updateShares(TimePoint now);
    void recordTaken(HubRecord &record, const HubDigest &digest, TimePoint now);
    void recordHub(TimePoint now);
    SchedulerDemand ownDemand(TimePoint now) const;
    void send(const Endpoint &to, Message message);
    Envelope envelope(Message message) const;
    void publish(TimePoint now);
    /// Publishes at once when keys are trusted again that the traffic threads hold for unconfirmed.
    void publishRegainedTrust(TimePoint now);
    TimePoint trustedUntil() const;
    /// Time until which this daemon can check keys and knows targets.
    TimePoint servesUntil() const { return m_list.readAt() ? trustedUntil() : TimePoint(); }
    /// Random duration up to @p max.
    Duration randomDuration(Duration max);

    boost::asio::io_context &m_context;
    Settings m_settings;
    PeerPort &m_peers;
    std::vector<std::unique_ptr<TrafficThread>> &m_threads;
    RegisteredDaemon m_self;
    DirectoryPort m_directory;
    HubDirectory m_hubs;
    DocumentFreshness m_documentFreshness;
    TargetList m_list;
    Scheduler m_scheduler;
    Metrics m_metrics;
    DocumentRead m_document;
    PackedDocument m_packedDocument; ///< compressed form of a document that was requested; not necessarily of m_document
    boost::intrusive_ptr<const CompiledDocument> m_compiled;
    RelayedList m_relayed;
    std::optional<ListSource> m_listSource; ///< daemon that m_list came from; none where this daemon read it
    std::optional<Endpoint> m_documentSource; ///< daemon that told of the newest document last; none where the document is too large to be relayed
    bool m_fetchingDocument = false;
    const TimePoint m_startedAt = RuntimeClock::now();
    bool m_fetchingTargets = false;
    bool m_storeReached = true;
    RejectedEntries m_rejectedTargets;
    std::map<std::uint64_t, Pending> m_pending;
    std::map<std::uint64_t, Running> m_running;
    Quarantine m_quarantine;
    std::map<std::uint64_t, HeldBack> m_heldBack; ///< by the id of the request
    TimePoint m_nextSuspectReportAt;
    bool m_quarantineRead = false;
    std::map<RequestDigest, std::uint32_t> m_storedTrials; ///< by request that the directory holds as quarantined
    std::map<MemberId, MemberRecord> m_members;
    std::map<ServiceName, Reach> m_reach;
    std::map<InstanceName, Asker> m_askers;
    std::set<ServiceName> m_cutOff; ///< services whose targets this daemon does not reach, as the others were told
    std::map<InstanceName, ReachReport> m_reachReports;
    bool m_toldOutOfReach = false; ///< the last heartbeat named services out of reach
    bool m_toldWithoutReach = false; ///< the last digests named daemons without reach
    std::map<MemberId, HubRecord> m_otherHubs;
    std::map<InstanceName, unsigned> m_unansweredDigests;
    std::map<TeamName, ReportedTokens> m_reportedTokens;
    std::optional<TimePoint> m_hubActiveSince; ///< when this daemon began to act as a hub; none while it isn't acting as one
    std::optional<MemberId> m_hub; ///< most recently chosen hub of the zone
    TimePoint m_hubChosenAt; ///< when that hub was chosen
    TimePoint m_hubListReadAt; ///< when the read that gave that hub its list of targets was sent; max while unknown
    std::uint64_t m_hubDocument = 0; ///< version of that hub's document in its last beacon; 0: none, or no beacon yet
    TimePoint m_hubReceivedAt; ///< when that hub was chosen or its last beacon was received
    TimePoint m_nextProbeAt;
    TimePoint m_lastHeartbeatAt; ///< last run of the heartbeat timer
    TimePoint m_nextLimitReportAt;
    TimePoint m_nextRegistryReadAt;
    TimePoint m_registryReadAt;
    unsigned m_registryReads = 0;
    RegistryRewrite m_rewrite;
    std::string m_secret; ///< key of the messages between daemons
    StoreEra m_secretEra = 0; ///< era of the store in which the secret is known to be stored
    TimePoint m_nextListRead;
    DirectoryRead m_documentRead;
    DirectoryRead m_targetsRead;
    std::optional<TimePoint> m_storeReadAt; ///< when this daemon sent its last successful read of the list of targets
    TimePoint m_publishedTrust; ///< end of trust in the last snapshot
    TimePoint m_proofExpectedUntil = m_startedAt + StartHoldTime; ///< end of the time after a start or a pause in which a proof is expected
    std::optional<TimePoint> m_publishedAt; ///< none before the first snapshot
    std::mt19937_64 m_random {std::random_device()()};
    std::uint64_t m_localPlacements = 0;
    std::uint64_t m_hubPlacements = 0;
    std::uint64_t m_repliesWithoutRequest = 0; ///< placement replies that came late, or to another incarnation's request
    std::uint64_t m_digestsWithoutEcho = 0; ///< digests of other hubs whose proofs were ignored, as their age is unknown
    bool m_leaving = false;
    TimePoint m_closeAt = TimePoint::max(); ///< time from which connections take no further request; set at a planned stop
    TimePoint m_takeBy = TimePoint::max(); ///< time from which requests are refused; set at a planned stop
    TimePoint m_answerBy = TimePoint::max(); ///< time from which requests that still run are ended; set at a planned stop
    bool m_withdrawing = false;
    bool m_withdrawn = false;
    bool m_enrolled = false;
    bool m_entryListed = false; ///< the last read of the registry showed this daemon's entry as it is now
    bool m_entryOutdated = false; ///< this daemon's entry in the registry must be written again
    StoreEra m_registeredEra = 0; ///< highest settled era that the registry shows
    bool m_registryRead = false; ///< the registry has been read at least once
};
}
